package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Place plans an attempt of a task, numbered within its range, on a machine.
func (s *State) Place(taskRange *TaskRange, index int, machine *Machine, attempt uint64) *Assignment {
	job := taskRange.Job()
	name := jobs.TaskName(job.Ref(), taskRange.First()+index)
	assignment := entity.NewAssignment(machine, name, attempt, AssignmentStatus{})
	entity.SetJobNeeds(assignment, job)
	entity.AddAssignment(assignment)
	entity.AssignTask(assignment, taskRange, index)
	entity.SetLastPlacedAt(taskRange, time.Now())
	s.markChanged(machine)
	return assignment
}

// Unplace removes an assignment whose task is certainly not on the machine (any more). The task
// is ready again.
func (s *State) Unplace(assignment *Assignment) {
	entity.RemoveAssignment(assignment)
	if entity.ReleaseTask(assignment, TaskReady) {
		failGangAttemptOf(assignment)
	}
	s.markChanged(assignment.Machine())
}

// abandonTasks stops all tasks of a range whose results are no longer needed.
func (s *State) abandonTasks(taskRange *TaskRange) {
	for i := range taskRange.Len() {
		if assignment := taskRange.Assignment(i); assignment != nil {
			s.abandon(assignment)
		}
	}
}

// abandon stops an assignment whose task's result is no longer needed.
func (s *State) abandon(assignment *Assignment) {
	entity.Abandon(assignment)
	if assignment.Status().IsPlanned() {
		s.Unplace(assignment)
		return
	}
	machine := assignment.Machine()
	s.markChanged(machine) // Stop does nothing if the task is stopping already
	s.Stop(assignment, 0)
	mayNotHaveStarted := !assignment.Status().HasStarted()
	if mayNotHaveStarted || machine.HeartbeatOverdue() {
		s.urgentStops = append(s.urgentStops, machine)
	}
}

// TakeUrgentStops returns the machines to which stop commands have to be sent at once, and clears
// the list: on them a task was abandoned that may not have started yet, or whose machine does not
// report. A machine may be listed more than once.
func (s *State) TakeUrgentStops() []*Machine {
	machines := s.urgentStops
	s.urgentStops = nil
	return machines
}

// Stop notes that an assignment is to be stopped, with graceS seconds for a checkpoint. A task
// that is stopping already never gets more time than before.
func (s *State) Stop(assignment *Assignment, graceS float64) {
	status := entity.MutableStatus(assignment)
	if status.Stopping && graceS >= status.GraceS {
		return
	}
	status.Stopping, status.GraceS, status.StopSent = true, graceS, false
	s.markChanged(assignment.Machine())
}

// Preempt stops a task to make room for another one. Of a gang it stops all tasks. A task that is
// only planned is unplaced instead.
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

// PreemptFor stops a task to make room for those of a claim, once the claim is durable. Stopped
// before, it would be lost for nothing if another controller's claim of the same job came first:
// over slow links 248 tasks were preempted for 160 urgent ones.
func (s *State) PreemptFor(taskRange *TaskRange, assignment *Assignment) {
	if !taskRange.IsTentative() || assignment.Status().IsPlanned() {
		s.Preempt(assignment)
		return
	}
	entity.AddPreemption(taskRange, assignment)
	s.markChanged(assignment.Machine())
}

// executePreemptions stops the tasks that a claim preempts, once the claim is durable.
func (s *State) executePreemptions(taskRange *TaskRange) {
	for _, assignment := range entity.TakePreemptions(taskRange) {
		entity.CancelPreemption(assignment)
		if entity.IsOnMachine(assignment) {
			s.Preempt(assignment)
		}
		s.markChanged(assignment.Machine())
	}
}

// MarkStartSent notes that a start command was sent.
func (s *State) MarkStartSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StartSent = true
	entity.SetLastRefusal(assignment, "")
	entity.MarkUsageStale(assignment.Machine())
}

// NoteStartRefused notes why the start command of a task is not sent, and reports whether that is
// another reason than before.
func (s *State) NoteStartRefused(assignment *Assignment, refusal string) (isNew bool) {
	return entity.SetLastRefusal(assignment, refusal)
}

// MarkStopSent notes that a stop command was sent.
func (s *State) MarkStopSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StopSent = true
	entity.MarkUsageStale(assignment.Machine())
}

// ClearStartSent notes that a start command never arrived, or that its agent session is over.
func (s *State) ClearStartSent(assignment *Assignment) {
	entity.MutableStatus(assignment).StartSent = false
}

// UpdateStatus notes a task's status as reported by its worker, and reports whether it is the same
// as before.
func (s *State) UpdateStatus(assignment *Assignment, workerStatus workerapi.TaskState, now time.Time) (unchanged bool) {
	status := entity.MutableStatus(assignment)
	unchanged = status.Reported && status.WorkerStatus == workerStatus
	if workerStatus == workerapi.StatusRunning && status.WorkerStatus != workerapi.StatusRunning {
		status.RunningSince = now
	}
	status.Reported, status.StartSent, status.WorkerStatus = true, true, workerStatus
	noteImage(assignment)
	return unchanged
}

// noteImage notes that a machine has the image of a task that is reported to be beyond pulling it.
func noteImage(assignment *Assignment) {
	job := assignment.Job()
	if job != nil && assignment.Status().HasStarted() {
		entity.AddImage(assignment.Machine(), job.Record().Image)
	}
}

// RemoveExited removes the assignment of a task that is done from its machine. Until MarkDone, the
// task is on no machine and not ready.
func (s *State) RemoveExited(assignment *Assignment) {
	entity.MutableStatus(assignment).Reported = true
	entity.RemoveAssignment(assignment)
	s.markChanged(assignment.Machine())
}

// MarkDone notes that a task, numbered within its range, is done. assignment is the one that it
// left by RemoveExited, nil if there is none.
func (s *State) MarkDone(taskRange *TaskRange, index int, assignment *Assignment) {
	if assignment != nil && taskRange.Assignment(index) == assignment {
		entity.SetTask(taskRange, index, TaskReady, nil)
	}
	s.markDone(taskRange, index)
}

func (s *State) markDone(taskRange *TaskRange, index int) {
	if taskRange.TaskState(index) == TaskFinished {
		return
	}
	if assignment := taskRange.Assignment(index); assignment != nil {
		s.abandon(assignment)
	}
	entity.MarkTaskDone(taskRange, index)
	if job := taskRange.Job(); job.IsGang() {
		s.markGangDone(job)
	}
	s.dirty = true
}

// markGangDone notes that all tasks of a gang are done: a gang completes as a whole, as soon as
// one of its tasks does.
func (s *State) markGangDone(job *Job) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			s.markDone(taskRange, i)
		}
	}
}
