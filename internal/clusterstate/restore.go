package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// TaskLookup describes what this controller knows about a task that a worker lists and that has no
// assignment to that worker.
type TaskLookup struct {
	JobKnown        bool // the task's job is known and has a record here
	JobEnded        bool // the job is done or cancelled
	IsClaimed       bool // the worker's shard has claimed the task
	IsFinished      bool // the task is already done
	PlacedElsewhere bool // the task has an assignment to another worker
	ReportedDone    bool // the worker reports that the task is done
}

// LookupTask returns what this controller knows about a task that a worker lists.
func (s *State) LookupTask(machine *Machine, reportedTask workerapi.TaskStatus) TaskLookup {
	lookup := TaskLookup{ReportedDone: reportedTask.Status == workerapi.StatusEnded && reportedTask.Cause == workerapi.CauseDone}
	ref, task, ok := jobs.ParseTaskName(reportedTask.Task)
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

// AdoptTask adds an assignment for a task that a worker reports and that is not assigned to the worker. If
// keepsRunning is false, the assignment only accounts for the task's resources until the task has
// stopped; these resources are not known if the job's record was deleted (see Assignment.NeedKnown).
func (s *State) AdoptTask(machine *Machine, reportedTask workerapi.TaskStatus, keepsRunning bool) *Assignment {
	status := AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: reportedTask.Status}
	assignment := entity.NewAssignment(machine, reportedTask.Task, reportedTask.Attempt, status)
	entity.AddAssignment(assignment)
	ref, task, _ := jobs.ParseTaskName(reportedTask.Task)
	if job := s.jobs[ref]; job != nil {
		entity.SetNeedFromJob(assignment, job)
	}
	s.markMachineChanged(machine)
	taskRange, index := s.FindTask(ref, task)
	if taskRange == nil || !keepsRunning {
		s.logDuplicateTask(assignment, taskRange, index)
		entity.MutableStatus(assignment).Stopping = true
		return assignment
	}
	entity.AssignTask(assignment, taskRange, index)
	adoptGangAttempt(taskRange.Job(), reportedTask.Attempt)
	return assignment
}

// logDuplicateTask logs an error if the task of an assignment that will be stopped is also on another
// worker.
func (s *State) logDuplicateTask(assignment *Assignment, taskRange *TaskRange, index int) {
	machine := assignment.Machine()
	if taskRange == nil || taskRange.Record().Shard != machine.Record().Shard || taskRange.TaskState(index) != TaskPlaced {
		return
	}
	s.log.Error("task reported on a second worker", "task", assignment.Name(), "worker", machine.Host(),
		"attempt", assignment.Attempt(), "other_worker", taskRange.Assignment(index).Machine().Host())
}

// PreviousAssignment describes a task on a machine as known to the previous owner of the shard.
type PreviousAssignment struct {
	workerapi.TaskStatus
	Progress AssignmentStatus
	RanFor   time.Duration // how long the task has been running; 0 if it is not known to run
}

// RestoreAssignment adds an assignment with the status that the previous owner of the shard reported.
// If keepsRunning is false, the task is stopped, and an assignment that is only planned is not added.
func (s *State) RestoreAssignment(machine *Machine, previousAssignment PreviousAssignment, keepsRunning bool, now time.Time) {
	if previousAssignment.Progress.IsPlanned() && !keepsRunning {
		// No command was ever sent for the task: the worker does not know the task and could never
		// report that it has stopped, so the assignment would stay forever.
		return
	}
	assignment := s.AdoptTask(machine, previousAssignment.TaskStatus, keepsRunning)
	status := entity.MutableStatus(assignment)
	mustStop := status.Stopping
	*status = previousAssignment.Progress
	if mustStop && !status.Stopping {
		status.Stopping, status.StopSent = true, false
	}
	if previousAssignment.RanFor > 0 {
		status.RunningSince = now.Add(-previousAssignment.RanFor)
	}
	recordImage(assignment)
	s.markMachineChanged(machine)
}
