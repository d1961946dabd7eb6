package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/workerapi"
)

// recordFailure records the failure of a task, which is attributed to the task's job or to the machine. If the
// machine is at fault, it is quarantined.
func (m *Manager) recordFailure(machine *clusterstate.Machine, assignment *clusterstate.Assignment) {
	now, ref := time.Now(), assignment.Job().Ref()
	var runTime time.Duration
	if runningSince := assignment.Status().RunningSince; !runningSince.IsZero() {
		runTime = now.Sub(runningSince)
	}
	attribution := m.Faults.RecordFailure(ref, machine.Host(), runTime, now, m.faultThresholds())
	if attribution.JobPause > 0 {
		m.log.Info("job fails on several machines", "job", ref, "pause_s", attribution.JobPause.Seconds())
	}
	if attribution.IsMachineFaulty {
		m.quarantine(machine.Host())
	}
}

// recordSuccess records that a task of a job works on a machine. It quarantines the machines on which the job
// fails if the success shows that they are at fault.
func (m *Manager) recordSuccess(ref string, machine *clusterstate.Machine) {
	m.quarantine(m.Faults.RecordSuccess(ref, machine.Host(), m.faultThresholds())...)
}

// clearSuspectedJobs looks for jobs that failed on one machine and have run on another machine for much longer than
// they ran before the failure. For each of them it records a success, which shows that the first machine is at
// fault and not the job.
func (m *Manager) clearSuspectedJobs(now time.Time) {
	for ref, minimumRunTime := range m.Faults.UnprovenJobs() {
		job := m.State.Job(ref)
		if job == nil || job.HasEnded() {
			m.Faults.ForgetJob(ref)
			continue
		}
		for taskRange := range job.TaskRanges() {
			m.recordLongRuns(ref, taskRange, minimumRunTime, now)
		}
	}
}

// recordLongRuns records a success for each task of a range that has run for longer than minimumRunTime.
func (m *Manager) recordLongRuns(ref string, taskRange *clusterstate.TaskRange, minimumRunTime time.Duration, now time.Time) {
	for index := range taskRange.Len() {
		assignment := taskRange.Assignment(index)
		if assignment == nil {
			continue
		}
		status := assignment.Status()
		if status.WorkerStatus != workerapi.StatusRunning || status.RunningSince.IsZero() {
			continue
		}
		if now.Sub(status.RunningSince) > minimumRunTime {
			m.recordSuccess(ref, assignment.Machine())
		}
	}
}

func (m *Manager) faultThresholds() faultattribution.Thresholds {
	settings, _ := m.Cache.Settings()
	return faultattribution.Thresholds{MachineFailures: settings.QuarantineFailures, JobFaultMachines: settings.JobFaultMachines}
}

// quarantine cordons machines that are at fault: tasks that work on other machines fail on them.
func (m *Manager) quarantine(hosts ...string) {
	for _, host := range hosts {
		machine := m.State.Machine(host)
		if machine == nil || machine.IsCordoned() {
			continue
		}
		m.State.Cordon(machine)
		m.log.Info("machine quarantined", "worker", host, "failures", m.Faults.FailureCount(host))
	}
}
