package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// TaskLookup is what is recorded of a task that a worker lists and that has no assignment there.
type TaskLookup struct {
	JobKnown        bool // its job is known and has a record here
	JobEnded        bool // the job is done or cancelled
	IsClaimed       bool // the worker's shard has claimed it
	IsFinished      bool // it is done already
	PlacedElsewhere bool // it has an assignment to another worker
	ReportedDone    bool // the worker says that it is done
}

// LookupTask returns what is recorded of a task that a worker lists.
func (s *State) LookupTask(machine *Machine, reported workerapi.TaskStatus) TaskLookup {
	lookup := TaskLookup{ReportedDone: reported.Status == workerapi.StatusEnded && reported.Cause == workerapi.CauseDone}
	ref, task, ok := jobs.ParseTask(reported.Task)
	job := s.jobs[ref]
	if !ok || job == nil {
		return lookup
	}
	lookup.JobKnown, lookup.JobEnded = job.HasRecord(), job.HasEnded()
	taskRange, index := s.FindTask(ref, task)
	if taskRange == nil || taskRange.Record().Shard != machine.Record().Shard {
		return lookup
	}
	state := taskRange.TaskState(index)
	lookup.IsClaimed = true
	lookup.IsFinished = state == TaskFinished
	lookup.PlacedElsewhere = state == TaskPlaced
	return lookup
}

// Adopt adds an assignment for a task that a worker reports and that has none there. If keepsRunning
// is false, the assignment only accounts for the task's resources until the task has stopped; what
// it takes is not known if its job's record was deleted (see UsageBound).
func (s *State) Adopt(machine *Machine, reported workerapi.TaskStatus, keepsRunning bool) *Assignment {
	status := AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: reported.Status}
	assignment := entity.NewAssignment(machine, reported.Task, reported.Attempt, status)
	entity.AddAssignment(assignment)
	ref, task, _ := jobs.ParseTask(reported.Task)
	if job := s.jobs[ref]; job != nil {
		entity.SetJobNeeds(assignment, job)
	}
	s.markChanged(machine)
	taskRange, index := s.FindTask(ref, task)
	if taskRange == nil || !keepsRunning {
		s.logDuplicate(assignment, taskRange, index)
		entity.MutableStatus(assignment).Stopping = true
		return assignment
	}
	entity.AssignTask(assignment, taskRange, index)
	adoptGangAttempt(taskRange.Job(), reported.Attempt)
	return assignment
}

// logDuplicate logs an assignment that is to be stopped if its task is on another worker as well.
func (s *State) logDuplicate(assignment *Assignment, taskRange *TaskRange, index int) {
	machine := assignment.Machine()
	if taskRange == nil || taskRange.Record().Shard != machine.Record().Shard || taskRange.TaskState(index) != TaskPlaced {
		return
	}
	s.log.Error("task reported on a second worker", "task", assignment.Name(), "worker", machine.Host(),
		"attempt", assignment.Attempt(), "other_worker", taskRange.Assignment(index).Machine().Host())
}

// PreviousAssignment is a task on a machine as the former owner of its shard knew it.
type PreviousAssignment struct {
	workerapi.TaskStatus
	Progress AssignmentStatus
	RanFor   time.Duration // 0: not known to run
}

// RestoreAssignment adds an assignment as the former owner of the shard had it. If keepsRunning is
// false, the assignment only waits for the task to stop.
func (s *State) RestoreAssignment(machine *Machine, previous PreviousAssignment, keepsRunning bool, now time.Time) {
	if previous.Progress.IsPlanned() && !keepsRunning {
		// No command for it was ever sent: the worker does not know it and could never report that
		// it has stopped, so the assignment would stay forever.
		return
	}
	assignment := s.Adopt(machine, previous.TaskStatus, keepsRunning)
	status := entity.MutableStatus(assignment)
	mustStop := status.Stopping
	*status = previous.Progress
	if mustStop && !status.Stopping {
		status.Stopping, status.StopSent = true, false
	}
	if previous.RanFor > 0 {
		status.RunningSince = now.Add(-previous.RanFor)
	}
	noteImage(assignment)
	s.markChanged(machine)
}
