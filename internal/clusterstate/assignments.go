package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Place plans an attempt of a task on a machine. index is the task's number within the range.
func (s *State) Place(taskRange *TaskRange, index int, machine *Machine, attempt uint64) *Assignment {
	job := taskRange.Job()
	name := jobs.TaskName(job.Ref(), taskRange.First()+index)
	assignment := entity.NewAssignment(machine, name, attempt, AssignmentStatus{})
	entity.SetNeedFromJob(assignment, job)
	entity.AddAssignment(assignment)
	entity.AssignTask(assignment, taskRange, index)
	entity.SetLastPlacedAt(taskRange, time.Now())
	s.markMachineChanged(machine)
	return assignment
}

// Unplace removes an assignment whose task certainly does not run on the machine, because it was never
// started there or has stopped. The task is ready again.
func (s *State) Unplace(assignment *Assignment) {
	entity.RemoveAssignment(assignment)
	if entity.ReleaseTask(assignment, TaskReady) {
		failGangAttempt(assignment)
	}
	s.markMachineChanged(assignment.Machine())
}

// abandonTasks detaches and stops all assigned tasks of a range, whose results are no longer needed.
func (s *State) abandonTasks(taskRange *TaskRange) {
	for i := range taskRange.Len() {
		if assignment := taskRange.Assignment(i); assignment != nil {
			s.abandonAssignment(assignment)
		}
	}
}

// abandonAssignment detaches an assignment from its task, whose result is no longer needed, and stops
// the task on the machine.
func (s *State) abandonAssignment(assignment *Assignment) {
	entity.DetachFromTask(assignment)
	if assignment.Status().IsPlanned() {
		s.Unplace(assignment)
		return
	}
	machine := assignment.Machine()
	s.markMachineChanged(machine) // Stop may do nothing if the task is already stopping
	s.Stop(assignment, 0)
	mayNotHaveStarted := !assignment.Status().HasStarted()
	if mayNotHaveStarted || machine.HeartbeatOverdue() {
		s.urgentStops = append(s.urgentStops, machine)
	}
}

// TakeUrgentStops returns the machines to which stop commands have to be sent immediately, and clears
// the list. A machine is listed if a task on it was abandoned and the task may not have started yet or
// the machine's heartbeat is overdue. A machine may be listed more than once.
func (s *State) TakeUrgentStops() []*Machine {
	machines := s.urgentStops
	s.urgentStops = nil
	return machines
}

// HasUrgentStops reports whether TakeUrgentStops would return any machines.
func (s *State) HasUrgentStops() bool { return len(s.urgentStops) > 0 }

// Stop marks an assignment as to be stopped, with graceS seconds for a checkpoint. A task that is
// already stopping never gets more time than before.
func (s *State) Stop(assignment *Assignment, graceS float64) {
	status := entity.MutableStatus(assignment)
	if status.Stopping && graceS >= status.GraceS {
		return
	}
	status.Stopping, status.GraceS, status.StopSent = true, graceS, false
	s.markMachineChanged(assignment.Machine())
}

// Preempt stops a task to free its resources for another one. If the task belongs to a gang, all
// tasks of the gang are stopped. A task that is only planned is unplaced instead.
func (s *State) Preempt(assignment *Assignment) {
	job := assignment.Job()
	switch {
	case assignment.Status().IsPlanned():
		s.Unplace(assignment)
	case job != nil && job.IsGang():
		s.StopGang(job)
	default:
		s.Stop(assignment, 0)
	}
}

// PreemptForClaim stops a task once a claim is durable, to free resources for the tasks of the
// claim. If the task were stopped before the claim is durable, and another controller's claim of the
// same job came first, the preemption would be useless: over slow links, 248 tasks were preempted for
// 160 urgent ones.
func (s *State) PreemptForClaim(taskRange *TaskRange, assignment *Assignment) {
	if !taskRange.IsTentative() || assignment.Status().IsPlanned() {
		s.Preempt(assignment)
		return
	}
	entity.AddPreemption(taskRange, assignment)
	s.markMachineChanged(assignment.Machine())
}

// executePreemptions stops the tasks that a claim preempts. It is called once the claim is durable.
func (s *State) executePreemptions(taskRange *TaskRange) {
	for _, assignment := range entity.TakePreemptions(taskRange) {
		entity.CancelPreemption(assignment)
		if entity.IsOnMachine(assignment) {
			s.Preempt(assignment)
		}
		s.markMachineChanged(assignment.Machine())
	}
}

// MarkStartSent records that a start command was sent for a task.
func (s *State) MarkStartSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StartSent = true
	entity.SetLastRefusal(assignment, "")
	entity.MarkUsageStale(assignment.Machine())
}

// RecordStartRefusal records why the start command of a task is not sent, and reports whether the reason
// differs from the previous one.
func (s *State) RecordStartRefusal(assignment *Assignment, refusal string) (isNew bool) {
	return entity.SetLastRefusal(assignment, refusal)
}

// MarkStopSent records that a stop command was sent for a task.
func (s *State) MarkStopSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StopSent = true
	entity.MarkUsageStale(assignment.Machine())
}

// ClearStartSent records that a start command never arrived, or that the agent session to which it was
// sent is over.
func (s *State) ClearStartSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StartSent = false
}

// UpdateStatus sets a task's status as reported by its worker, and reports whether the status is the same
// as before.
func (s *State) UpdateStatus(assignment *Assignment, workerStatus workerapi.TaskState, now time.Time) (isUnchanged bool) {
	status := entity.MutableStatus(assignment)
	isUnchanged = status.Reported && status.WorkerStatus == workerStatus
	if workerStatus == workerapi.StatusRunning && status.WorkerStatus != workerapi.StatusRunning {
		status.RunningSince = now
	}
	status.Reported, status.StartSent, status.WorkerStatus = true, true, workerStatus
	recordImage(assignment)
	return isUnchanged
}

// recordImage records that a task's machine has the task's image, if the worker has reported a status
// that comes after the pulling of the image.
func recordImage(assignment *Assignment) {
	job := assignment.Job()
	if job != nil && assignment.Status().HasStarted() {
		entity.AddImage(assignment.Machine(), job.Record().Image)
	}
}

// RemoveExited removes a completed task's assignment from its machine. Until MarkDone is called, the
// task is not on any machine and not ready.
func (s *State) RemoveExited(assignment *Assignment) {
	entity.MutableStatus(assignment).Reported = true
	entity.RemoveAssignment(assignment)
	s.markMachineChanged(assignment.Machine())
}

// MarkDone marks a task as done. index is the task's number within the range. assignment is the one that
// RemoveExited has removed for the task, or nil if there is none.
func (s *State) MarkDone(taskRange *TaskRange, index int, assignment *Assignment) {
	if assignment != nil && taskRange.Assignment(index) == assignment {
		entity.SetTask(taskRange, index, TaskReady, nil)
	}
	s.markTaskDone(taskRange, index)
}

// markTaskDone marks a task as done unless it already is. If the task still has an assignment, the
// task is stopped on the assigned machine. If the task belongs to a gang, the whole gang is done.
func (s *State) markTaskDone(taskRange *TaskRange, index int) {
	if taskRange.TaskState(index) == TaskFinished {
		return
	}
	if assignment := taskRange.Assignment(index); assignment != nil {
		s.abandonAssignment(assignment)
	}
	entity.MarkTaskDone(taskRange, index)
	if job := taskRange.Job(); job.IsGang() {
		s.markGangDone(job)
	}
	s.dirty = true
}

// markGangDone marks all tasks of a gang as done: the whole gang is complete as soon as one of its
// tasks is.
func (s *State) markGangDone(job *Job) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			s.markTaskDone(taskRange, i)
		}
	}
}
