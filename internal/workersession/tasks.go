package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/workerapi"
)

// taskChanges describes what a heartbeat changes in the state of a worker's tasks.
type taskChanges struct {
	isUnchanged bool // the heartbeat contains nothing new about tasks or a preemption
	delivery    commandDelivery
}

// commandDelivery tells whether the last start commands arrived at the worker, as the worker's
// heartbeat shows.
type commandDelivery int

const (
	noCommands        commandDelivery = iota // no start commands were sent
	commandsDelivered                        // at least one of the start commands arrived
	commandsMissed                           // none of the start commands arrived
)

// applyTasks applies the tasks and the preemption notice of a heartbeat. A listed task is on the worker; a task
// whose start was sent and that is not listed is not on the worker.
func (m *Manager) applyTasks(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, isNewAgentEpoch bool) taskChanges {
	now := time.Now()
	changes := taskChanges{isUnchanged: true}
	if heartbeat.PreemptionInS != nil && !machine.IsPreempted() {
		m.log.Info("machine preempted by the cloud", "worker", machine.Host(), "in_s", *heartbeat.PreemptionInS)
		m.State.MarkPreempted(machine)
		m.prepareForPreemption(machine, *heartbeat.PreemptionInS)
		changes.isUnchanged = false
	}
	if isNewAgentEpoch {
		machine.ResetImages()
	}
	listedTasks := map[string]bool{}
	for _, task := range heartbeat.Tasks {
		if m.applyTask(machine, task, now, &changes) {
			listedTasks[task.Task] = true
		}
	}
	m.applyUnlisted(machine, listedTasks, isNewAgentEpoch, &changes)
	return changes
}

// applyTask applies one task of a heartbeat, and reports whether the task is on the worker.
func (m *Manager) applyTask(machine *clusterstate.Machine, task workerapi.TaskStatus, now time.Time, changes *taskChanges) bool {
	assignment := machine.Assignment(task.Task)
	if assignment != nil && assignment.Attempt() != task.Attempt {
		if task.Status == workerapi.StatusEnded {
			return false // an earlier attempt, which the response acknowledges
		}
		// Another attempt is on the worker, so the planned attempt is not.
		m.record(decisionlog.TaskLeft, assignment, "the worker lists another attempt")
		m.State.Unplace(assignment)
		assignment, changes.isUnchanged = nil, false
	}
	if task.Status == workerapi.StatusEnded {
		m.applyTaskEnd(machine, assignment, task)
		if assignment != nil {
			changes.isUnchanged = false
		}
		return false
	}
	if assignment == nil {
		lookup := m.State.LookupTask(machine, task)
		m.Reconciler.CountDiscrepancy(machine, reconciliation.Classify(lookup))
		assignment = m.State.AdoptTask(machine, task, reconciliation.KeepsRunning(lookup))
		changes.isUnchanged = false
	}
	if status := assignment.Status(); status.StartSent && !status.Reported {
		changes.delivery = commandsDelivered
	}
	if isSameStatus := m.State.UpdateStatus(assignment, task.Status, now); !isSameStatus {
		changes.isUnchanged = false
	}
	return true
}

// applyUnlisted handles the tasks whose start was sent and that the worker does not list. A task that the worker
// has listed before, or that is to be stopped, is unplaced; the start of any other task is sent again.
func (m *Manager) applyUnlisted(machine *clusterstate.Machine, listedTasks map[string]bool, isNewAgentEpoch bool, changes *taskChanges) {
	for assignment := range machine.Assignments() {
		status := assignment.Status()
		if listedTasks[assignment.Name()] || !status.StartSent {
			continue
		}
		changes.isUnchanged = false
		if status.Reported || status.Stopping {
			m.record(decisionlog.TaskLeft, assignment, "the worker does not list it any more")
			m.State.Unplace(assignment)
			continue
		}
		m.record(decisionlog.TaskLeft, assignment, "the worker does not list it: the start never arrived")
		// The start never arrived, or the worker's agent epoch had ended. The start will be sent again.
		m.State.ClearStartSent(assignment)
		if changes.delivery == noCommands && !isNewAgentEpoch {
			changes.delivery = commandsMissed
		}
	}
}

// prepareForPreemption stops the tasks of a machine that the cloud will preempt in remainingS seconds. Planned
// tasks are unplaced, and gangs are stopped. Any other task is stopped with a last checkpoint if there is time to
// save it; otherwise it is stopped at once if it belongs to a service, and continues if it belongs to an array.
func (m *Manager) prepareForPreemption(machine *clusterstate.Machine, remainingS float64) {
	for assignment := range machine.Assignments() {
		job := assignment.Job()
		if job == nil || assignment.Status().Stopping {
			continue
		}
		record := job.Record()
		switch {
		case assignment.Status().IsPlanned():
			m.State.Unplace(assignment)
		case record.Kind == jobs.Gang:
			m.State.StopGang(job)
		case record.CheckpointIntervalSeconds > 0 && remainingS > record.CheckpointSaveSeconds:
			m.State.Stop(assignment, remainingS)
		case record.Kind == jobs.Service:
			m.State.Stop(assignment, 0)
		}
	}
}

// applyCompletions applies the completions of tasks that a heartbeat reports, and ignores all other tasks.
func (m *Manager) applyCompletions(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) {
	for _, task := range heartbeat.Tasks {
		if task.Status != workerapi.StatusEnded || task.Cause != workerapi.CauseDone {
			continue
		}
		assignment := machine.Assignment(task.Task)
		if assignment != nil && assignment.Attempt() != task.Attempt {
			assignment = nil
		}
		m.applyTaskEnd(machine, assignment, task)
	}
}

// applyTaskEnd applies the end of a task. assignment is nil if the task is not assigned to the worker.
func (m *Manager) applyTaskEnd(machine *clusterstate.Machine, assignment *clusterstate.Assignment, task workerapi.TaskStatus) {
	ref, index, ok := jobs.ParseTaskName(task.Task)
	if !ok {
		return
	}
	if task.Cause == workerapi.CauseDone {
		m.applyCompletion(machine, assignment, task, ref, index)
		return
	}
	if assignment == nil {
		return
	}
	if assignment.Job() != nil {
		if task.Cause == workerapi.CauseError {
			m.recordFailure(machine, assignment)
		}
		if task.Cause != workerapi.CauseStopped {
			m.log.Info("task ended", "task", task.Task, "worker", machine.Host(), "attempt", task.Attempt, "cause", task.Cause)
		}
	}
	m.record(decisionlog.TaskLeft, assignment, "it ended: "+string(task.Cause))
	m.State.Unplace(assignment)
}

// applyCompletion applies the completion of a task. assignment is nil if the task is not assigned to the worker. A
// worker reports a completion until it is acknowledged. Only the first report finds the task still assigned and
// counts as a success.
func (m *Manager) applyCompletion(machine *clusterstate.Machine, assignment *clusterstate.Assignment, task workerapi.TaskStatus, ref string, index int) {
	if assignment != nil {
		m.recordSuccess(ref, machine)
		if runningSince := assignment.Status().RunningSince; !runningSince.IsZero() && assignment.Job() != nil {
			m.ClassStats.RecordRunTime(assignment.Job().Record(), time.Since(runningSince).Seconds())
		}
		m.record(decisionlog.TaskLeft, assignment, "it is done")
		m.State.RemoveExited(assignment)
	}
	taskRange, offset := m.State.FindTask(ref, index)
	if taskRange == nil {
		return
	}
	if reconciliation.Classify(m.State.LookupTask(machine, task)) == reconciliation.CompletionUnrecorded {
		m.Reconciler.CountDiscrepancy(machine, reconciliation.CompletionUnrecorded)
	}
	m.State.MarkDone(taskRange, offset, assignment)
}
