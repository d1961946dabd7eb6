package entity

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Assignment is the assignment of a task to a machine. It exists from the time at which the task is
// planned on the machine until the task has left the machine.
type Assignment struct {
	machine *Machine
	name    string
	// taskRange and index identify the task. taskRange is nil if the task does not belong to this
	// controller and only has to be stopped.
	taskRange *TaskRange
	index     int
	attempt   uint64
	// need is the resources that the task takes; zero unless needKnown is set. SetNeedFromJob sets
	// both.
	need      capacity.Resources
	needKnown bool
	// checkpointIntervalSeconds is the checkpoint interval of the job; 0 if it saves no checkpoints.
	checkpointIntervalSeconds float64
	status                    AssignmentStatus
	// preemptingClaim is the claim that preempts the task as soon as the claim is durable; nil if there
	// is none.
	preemptingClaim *TaskRange
	// lastStartRefusal is the latest reason why the start command was not sent, shown to operators;
	// empty if there is none or the command was sent since.
	lastStartRefusal string
}

// AssignmentStatus is the progress of a task on a machine: the commands sent for the task and the
// state reported by its worker.
type AssignmentStatus struct {
	StartSent    bool                // a start command was sent
	Reported     bool                // the worker has reported the task
	WorkerStatus workerapi.TaskState // as last reported by the worker
	RunningSince time.Time           // since when the task is known to run; zero if that is not known
	Stopping     bool                // the task is to be stopped
	GraceS       float64             // seconds that the task has to save a checkpoint and stop
	StopSent     bool                // a stop command was sent
}

// IsPlanned reports whether the task is only planned on the machine: no start command was sent, and
// the worker has not reported the task.
func (s AssignmentStatus) IsPlanned() bool { return !s.StartSent && !s.Reported }

// HasStarted reports whether the worker has reported the task in a state that follows the pulling of
// the task's image.
func (s AssignmentStatus) HasStarted() bool {
	return s.Reported && s.WorkerStatus != workerapi.StatusPulling
}

// hasPendingCommand reports whether a start or stop command still has to be sent.
func (s AssignmentStatus) hasPendingCommand() bool {
	if s.Stopping {
		return s.StartSent && !s.StopSent
	}
	return !s.StartSent
}

// NewAssignment returns the assignment of an attempt of the named task to a machine. The caller has to
// add the assignment to the machine with AddAssignment and, if the task belongs to this controller, to
// the task with AssignTask.
func NewAssignment(machine *Machine, name string, attempt uint64, status AssignmentStatus) *Assignment {
	return &Assignment{machine: machine, name: name, attempt: attempt, status: status}
}

// Machine returns the machine that the task is assigned to.
func (a *Assignment) Machine() *Machine { return a.machine }

// Name returns the task's name.
func (a *Assignment) Name() string { return a.name }

// Job returns the task's job. It returns nil if the task does not belong to this controller and only
// has to be stopped.
func (a *Assignment) Job() *Job {
	if a.taskRange == nil {
		return nil
	}
	return a.taskRange.job
}

// TaskRange returns the claimed range that contains the task. It returns nil if the task does not
// belong to this controller and only has to be stopped.
func (a *Assignment) TaskRange() *TaskRange { return a.taskRange }

// IsCurrent reports whether the assignment is the current one of its task.
func (a *Assignment) IsCurrent() bool {
	r := a.taskRange
	return r != nil && a.index < len(r.tasks) && r.tasks[a.index].assignment == a
}

// LastRefusal returns the latest reason why the start command was not sent, or an empty string if there
// is none or the command was sent since.
func (a *Assignment) LastRefusal() string { return a.lastStartRefusal }

// IsTentative reports whether the task's claim is not durable yet.
func (a *Assignment) IsTentative() bool { return a.taskRange != nil && a.taskRange.tentative }

// Attempt returns the number of the task's attempt.
func (a *Assignment) Attempt() uint64 { return a.attempt }

// Need returns the resources that the task takes, or zero if NeedKnown is false.
func (a *Assignment) Need() capacity.Resources { return a.need }

// NeedKnown reports whether the resources that the task takes are known. Workers do not report
// resources, so they are not known for a task that a worker reports after the job's record was deleted.
func (a *Assignment) NeedKnown() bool { return a.needKnown }

// Status returns the progress of the task on the machine.
func (a *Assignment) Status() AssignmentStatus { return a.status }

// IsLeaving reports whether the task is to be stopped, or will be once the claim that preempts it
// is durable.
func (a *Assignment) IsLeaving() bool { return a.status.Stopping || a.preemptingClaim != nil }

// stopsImmediately reports whether a stop command ends the task without a checkpoint.
func (a *Assignment) stopsImmediately() bool {
	if a.status.WorkerStatus == workerapi.StatusCheckpointing {
		return false
	}
	return a.status.GraceS == 0 || a.checkpointIntervalSeconds == 0 || a.status.WorkerStatus != workerapi.StatusRunning
}

// OccupiesNow reports whether the task still takes its resources after the commands of the current
// scheduling cycle are executed: its start was sent or it was reported, and it does not stop
// immediately.
func (a *Assignment) OccupiesNow() bool {
	if a.status.IsPlanned() {
		return false
	}
	return !a.status.Stopping || !a.stopsImmediately()
}

// needsOnDemandMachine reports whether the task may not run on a spot machine. Only tasks of arrays
// that allow spot machines may run on one.
func (a *Assignment) needsOnDemandMachine() bool {
	job := a.Job()
	return job != nil && (job.record.Kind != jobs.Array || !job.record.Spot)
}

// MutableStatus returns an assignment's status for modification.
func MutableStatus(a *Assignment) *AssignmentStatus { return &a.status }

// SetLastRefusal sets the reason why the start command of a task is not sent, and reports whether it
// differs from the previous reason.
func SetLastRefusal(a *Assignment, refusal string) (isNew bool) {
	isNew = a.lastStartRefusal != refusal
	a.lastStartRefusal = refusal
	return isNew
}

// SetNeedFromJob sets the resources and the checkpoint interval of an assignment from its job. It does
// nothing if the job's record is not known.
func SetNeedFromJob(a *Assignment, job *Job) {
	if !job.HasRecord() {
		return
	}
	a.need, a.checkpointIntervalSeconds = job.need, job.record.CheckpointIntervalSeconds
	a.needKnown = true
}

// AssignTask makes an assignment the current one of a task and sets the task's state to TaskPlaced.
// index is the task's number within the range.
func AssignTask(a *Assignment, r *TaskRange, index int) {
	a.taskRange, a.index = r, index
	SetTask(r, index, TaskPlaced, a)
}

// DetachFromTask removes the link from an assignment to its task: all that remains to be done for the
// assignment is to stop the task on the machine. The task's state and the link from the task to the
// assignment do not change.
func DetachFromTask(a *Assignment) { a.taskRange = nil }

// ReleaseTask removes an assignment from its task and sets the task's state. It does nothing and
// returns false if the assignment is no longer the current one of the task.
func ReleaseTask(a *Assignment, state TaskState) bool {
	r := a.taskRange
	if r == nil || a.index >= len(r.tasks) || r.tasks[a.index].assignment != a {
		return false
	}
	SetTask(r, a.index, state, nil)
	return true
}

// CancelPreemption clears the claim that was to preempt an assignment's task.
func CancelPreemption(a *Assignment) { a.preemptingClaim = nil }
