package tuning

import "time"

// Fault attribution: whether a job or a machine is at fault for failed tasks.
const (
	// MachineQuarantineFailures is how many failed tasks in a row, of at least two jobs or with
	// none done in between, quarantine a machine.
	MachineQuarantineFailures = 3
	// MinJobBackoff is the first pause of a job that fails on several machines.
	MinJobBackoff = 10 * time.Second
	// MaxJobBackoff bounds that pause.
	MaxJobBackoff = 5 * time.Minute
	// JobFaultMachines is on how many machines a job must fail before the fault is attributed
	// to the job and not to the machines.
	JobFaultMachines = 3
	// JobFaultFailureFactor times JobFaultMachines failures attribute the fault to the job even
	// if there are too few machines to compare.
	JobFaultFailureFactor = 4
	// SuspectMachinePause is how long a machine on which several jobs failed gets no tasks
	// while it shows whether they work elsewhere: a few of their retries.
	SuspectMachinePause = 10 * time.Second
	// JobWorksAfter is added to twice the longest time for which a task of a job ran until it
	// failed: another task of the job that runs for so long shows that the job works.
	JobWorksAfter = 3 * time.Second
)
