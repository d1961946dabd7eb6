package tuning

import "time"

// Fault attribution: whether a job or a machine is at fault for failed tasks.
const (
	// MachineQuarantineFailures is the number of failures of a single job, with no task done on the
	// machine in between, that are sufficient evidence to quarantine a machine. Failures of two
	// jobs are always sufficient.
	MachineQuarantineFailures = 3
	// MinJobBackoff is the first pause of a job that fails on several machines.
	MinJobBackoff = 10 * time.Second
	// MaxJobBackoff is the longest pause of a job that fails on several machines. The machines may
	// have been at fault, and a job may wait for at most 90 s while a machine that fits has room.
	MaxJobBackoff = time.Minute
	// MinMachineAvoidance is for how long a job is not tried again on a machine after it has failed
	// there for the first time. The time is doubled with each further attempt that fails there.
	MinMachineAvoidance = 10 * time.Second
	// MaxMachineAvoidance is the longest time for which a job is not tried again on a machine on which
	// it has failed. The machine may work again, and a job may wait for at most 90 s while a machine
	// that fits has room.
	MaxMachineAvoidance = time.Minute
	// JobFaultMachines is the number of machines on which a job must fail before the fault is
	// attributed to the job and not to the machines.
	JobFaultMachines = 3
	// JobFaultFailureFactor times JobFaultMachines is the number of failures at which the
	// fault is attributed to the job even if there are too few machines to compare.
	JobFaultFailureFactor = 4
	// SuspectMachinePause is how long a machine on which several jobs failed gets no tasks. In
	// this time a few retries of these jobs show whether they work elsewhere.
	SuspectMachinePause = 10 * time.Second
	// JobSuccessRunTimeMargin is added to twice the run time of the longest failed task of a job. A
	// task of the job that runs for longer than the sum proves that the job works.
	JobSuccessRunTimeMargin = 3 * time.Second
)
