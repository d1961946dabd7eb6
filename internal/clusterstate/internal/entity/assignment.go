package entity

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Assignment is a task on a machine, from when it is planned there until it has left.
type Assignment struct {
	machine *Machine
	name    string
	// taskRange and index identify the task. taskRange is nil if the task is not one of this
	// controller's and is only to be stopped.
	taskRange *TaskRange
	index     int
	attempt   uint64
	// need is what the task takes if needKnown, else zero: see SetJobNeeds.
	need      capacity.Resources
	needKnown bool
	// checkpointIntervalSeconds is the job's, 0 if it saves no checkpoints.
	checkpointIntervalSeconds float64
	status                    AssignmentStatus
	// preemptedFor is the claim that preempts the task as soon as the claim is durable; nil for none.
	preemptedFor *TaskRange
	// lastRefusal is why the start command was last not sent, for operators.
	lastRefusal string
}

// AssignmentStatus is the progress of a task on a machine: which commands were sent for it and what
// its worker has reported.
type AssignmentStatus struct {
	StartSent    bool                // a start command was sent
	Reported     bool                // the worker has reported the task
	WorkerStatus workerapi.TaskState // as last reported
	RunningSince time.Time           // as far as known
	Stopping     bool                // the task is to be stopped
	GraceS       float64             // seconds that it has to stop
	StopSent     bool                // a stop command was sent
}

// IsPlanned reports whether the task is only planned for the machine: no start command was sent, and
// the worker has not reported the task.
func (s AssignmentStatus) IsPlanned() bool { return !s.StartSent && !s.Reported }

// HasStarted reports whether the worker has reported the task to be beyond pulling its image.
func (s AssignmentStatus) HasStarted() bool {
	return s.Reported && s.WorkerStatus != workerapi.StatusPulling
}

// hasPendingCommand reports whether a start or stop command is still to be sent.
func (s AssignmentStatus) hasPendingCommand() bool {
	if s.Stopping {
		return s.StartSent && !s.StopSent
	}
	return !s.StartSent
}

// NewAssignment returns an assignment of an attempt of a task to a machine, by the task's name.
// It is to be added to both ends.
func NewAssignment(machine *Machine, name string, attempt uint64, status AssignmentStatus) *Assignment {
	return &Assignment{machine: machine, name: name, attempt: attempt, status: status}
}

// Machine returns the machine that the task is on.
func (a *Assignment) Machine() *Machine { return a.machine }

// Name returns the task's name.
func (a *Assignment) Name() string { return a.name }

// Job returns the task's job; nil if this is no task of this controller and only to be stopped.
func (a *Assignment) Job() *Job {
	if a.taskRange == nil {
		return nil
	}
	return a.taskRange.job
}

// TaskRange returns the claimed range that the task is of; nil if this is no task of this controller
// and only to be stopped.
func (a *Assignment) TaskRange() *TaskRange { return a.taskRange }

// HoldsTask reports whether the assignment is the present one of its task.
func (a *Assignment) HoldsTask() bool {
	r := a.taskRange
	return r != nil && a.index < len(r.tasks) && r.tasks[a.index].assignment == a
}

// LastRefusal returns why the start of the task was last refused; empty if it was not.
func (a *Assignment) LastRefusal() string { return a.lastRefusal }

// IsTentative reports whether the task's claim is not durable yet.
func (a *Assignment) IsTentative() bool { return a.taskRange != nil && a.taskRange.tentative }

// Attempt returns the number of the task's attempt.
func (a *Assignment) Attempt() uint64 { return a.attempt }

// Need returns what the task takes, zero if that is not known: see NeedKnown.
func (a *Assignment) Need() capacity.Resources { return a.need }

// NeedKnown reports whether it is known what the task takes. Workers report no resources, so it is
// not known of a task that a worker reports after its job's record was deleted.
func (a *Assignment) NeedKnown() bool { return a.needKnown }

// Status returns how far the task is.
func (a *Assignment) Status() AssignmentStatus { return a.status }

// IsLeaving reports whether the task is to be stopped, or will be once the claim that preempts it
// is durable.
func (a *Assignment) IsLeaving() bool { return a.status.Stopping || a.preemptedFor != nil }

// stopsImmediately reports whether a stop command ends the task without a checkpoint.
func (a *Assignment) stopsImmediately() bool {
	if a.status.WorkerStatus == workerapi.StatusCheckpointing {
		return false
	}
	return a.status.GraceS == 0 || a.checkpointIntervalSeconds == 0 || a.status.WorkerStatus != workerapi.StatusRunning
}

// OccupiesNow reports whether the task still takes its resources after the commands of the present
// scheduling cycle are executed: it was sent or reported, and does not stop immediately.
func (a *Assignment) OccupiesNow() bool {
	if a.status.IsPlanned() {
		return false
	}
	return !a.status.Stopping || !a.stopsImmediately()
}

// needsOrdinaryMachine reports whether the task may not run on a spot machine: only tasks of arrays
// that allow spot machines may.
func (a *Assignment) needsOrdinaryMachine() bool {
	job := a.Job()
	return job != nil && (job.record.Kind != jobs.Array || !job.record.Spot)
}

// MutableStatus returns an assignment's status, to be changed.
func MutableStatus(a *Assignment) *AssignmentStatus { return &a.status }

// SetLastRefusal notes why the start command of a task is not sent, and reports whether that is another
// reason than before.
func SetLastRefusal(a *Assignment, refusal string) (isNew bool) {
	isNew = a.lastRefusal != refusal
	a.lastRefusal = refusal
	return isNew
}

// SetJobNeeds sets what an assignment takes by its job, unless the job's record is not known.
func SetJobNeeds(a *Assignment, job *Job) {
	if !job.HasRecord() {
		return
	}
	a.need, a.checkpointIntervalSeconds = job.need, job.record.CheckpointIntervalSeconds
	a.needKnown = true
}

// AssignTask makes an assignment the one of a task of a range.
func AssignTask(a *Assignment, r *TaskRange, index int) {
	a.taskRange, a.index = r, index
	SetTask(r, index, TaskPlaced, a)
}

// Abandon detaches an assignment from its task, so that it is only to be stopped. The task's state
// is unchanged.
func Abandon(a *Assignment) { a.taskRange = nil }

// ReleaseTask removes an assignment from its task and sets the task's state. It does nothing and
// returns false if the task has another assignment by now, or none.
func ReleaseTask(a *Assignment, state TaskState) bool {
	r := a.taskRange
	if r == nil || a.index >= len(r.tasks) || r.tasks[a.index].assignment != a {
		return false
	}
	SetTask(r, a.index, state, nil)
	return true
}

// CancelPreemption notes that an assignment no longer waits to be preempted by a claim.
func CancelPreemption(a *Assignment) { a.preemptedFor = nil }
