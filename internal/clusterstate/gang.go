package clusterstate

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/tuning"
)

// All tasks of a gang run under one attempt number, or none of them runs.

// BeginGangAttempt begins an attempt to place a gang, under an attempt number.
func (s *State) BeginGangAttempt(job *Job, attempt uint64) { entity.BeginGangAttempt(job, attempt) }

// ResetGangAttempt removes a gang's attempt. It is called when the gang's claim failed or was
// withdrawn, when its tasks have left their machines, and when their state is no longer known.
func (s *State) ResetGangAttempt(job *Job) { *entity.MutableGangAttempt(job) = entity.GangAttempt{} }

// adoptGangAttempt updates a gang's attempt from the attempt number of a task that a worker
// reports. An attempt that was not started is replaced by the reported one. A started attempt fails
// if the reported number differs from its own. adoptGangAttempt does nothing for a job that is not
// a gang.
func adoptGangAttempt(job *Job, attempt uint64) {
	if !job.IsGang() {
		return
	}
	gangAttempt := entity.MutableGangAttempt(job)
	switch {
	case gangAttempt.Attempt == 0 || !gangAttempt.Started:
		*gangAttempt = entity.GangAttempt{Attempt: attempt, Started: true}
	case gangAttempt.Attempt != attempt:
		gangAttempt.Failed = true
	}
}

// failGangAttempt marks a gang's attempt as failed after one of its tasks was lost, if the attempt was
// started. It does nothing for a job that is not a gang.
func failGangAttempt(assignment *Assignment) {
	job := assignment.Job()
	if !job.IsGang() {
		return
	}
	if gangAttempt := entity.MutableGangAttempt(job); gangAttempt.Started && assignment.Attempt() == gangAttempt.Attempt {
		gangAttempt.Failed = true
	}
}

// StartGang marks a gang's attempt as started when a start command is sent for one of its tasks, and
// reports whether it is the first start command of the attempt.
func (s *State) StartGang(job *Job) (isFirst bool) {
	gangAttempt := entity.MutableGangAttempt(job)
	isFirst = !gangAttempt.Started
	gangAttempt.Started = true
	return isFirst
}

// StopGang marks a gang's attempt as failed and stops all the gang's tasks, with time to save a
// checkpoint.
func (s *State) StopGang(job *Job) {
	entity.MutableGangAttempt(job).Failed = true
	s.stopGangTasks(job, job.Record().CheckpointSaveSeconds+s.cfg.Cluster.Workers.GangPeerTimeoutSeconds)
}

// stopGangTasks stops the remaining tasks of a gang, with graceS seconds for a checkpoint. Tasks that
// are already stopping keep their grace period.
func (s *State) stopGangTasks(job *Job, graceS float64) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if assignment := taskRange.Assignment(i); assignment != nil {
				s.stopGangTask(assignment, graceS)
			}
		}
	}
}

// stopGangTask unplaces a task that is only planned, and stops any other task that is not stopping yet.
func (s *State) stopGangTask(assignment *Assignment, graceS float64) {
	status := assignment.Status()
	switch {
	case status.IsPlanned():
		s.Unplace(assignment)
	case !status.Stopping:
		s.Stop(assignment, graceS)
	}
}

// GangCanStart reports whether a gang's tasks may be started: all of them are placed on workers that
// its records allow, and fit there as soon as the commands of this scheduling cycle are executed.
// Once one task was started, the others may be started without this check. If the attempt has failed,
// no task may be started.
func (s *State) GangCanStart(job *Job) bool {
	gangAttempt := entity.MutableGangAttempt(job)
	if gangAttempt.Failed {
		return false
	}
	if gangAttempt.Started {
		return true
	}
	needByMachine := map[*Machine]capacity.Resources{}
	for taskRange := range job.TaskRanges() {
		if !addPlannedResources(needByMachine, taskRange) {
			return false
		}
	}
	for machine, need := range needByMachine {
		if !s.FreeNow(machine).Covers(need) {
			return false
		}
	}
	return true
}

// addPlannedResources adds the resources of a range's tasks to the totals by machine. It reports
// whether all tasks are placed, on workers that the range's record allows.
func addPlannedResources(needByMachine map[*Machine]capacity.Resources, taskRange *TaskRange) bool {
	if !taskRange.HostsAreRecorded() {
		return false
	}
	for i := range taskRange.Len() {
		assignment := taskRange.Assignment(i)
		if assignment == nil {
			return false
		}
		machine := assignment.Machine()
		needByMachine[machine] = needByMachine[machine].Add(assignment.Need())
	}
	return true
}

// StopFailedGang stops the remaining tasks of a gang whose attempt has failed. All of them must have left
// their machines before the next attempt. It does nothing for a job that is not a gang.
func (s *State) StopFailedGang(job *Job) {
	if !job.IsGang() {
		return
	}
	gangAttempt := entity.MutableGangAttempt(job)
	tasks := countGangTasks(job)
	if tasks.placed == 0 {
		if tasks.unknown == 0 {
			s.ResetGangAttempt(job)
		}
		return
	}
	if tasks.ready > 0 {
		// Some tasks are placed and some are not, since a machine was lost. If the attempt were not marked
		// as failed, a gang that waits for free resources would never start, and its placed tasks would occupy
		// their machines forever.
		gangAttempt.Failed = true
	}
	if !gangAttempt.Started && tasks.ready == 0 && entity.TimeSinceGangPlanned(job) > tuning.MaxPreemptionWait {
		gangAttempt.Failed = true // the resources that the gang waited for did not become free in time
	}
	if gangAttempt.Failed {
		s.stopGangTasks(job, 0)
	}
}

// gangTaskCounts holds the numbers of a gang's tasks by state, in shards owned here.
type gangTaskCounts struct{ placed, ready, unknown int }

// countGangTasks counts a gang's tasks by state. It counts all states in one pass, since it is called
// for every waiting gang in each scheduling cycle.
func countGangTasks(job *Job) gangTaskCounts {
	var counts gangTaskCounts
	for taskRange := range job.TaskRanges() {
		counts.placed += taskRange.CountTasks(TaskPlaced)
		counts.ready += taskRange.CountTasks(TaskReady)
		counts.unknown += taskRange.CountTasks(TaskUnknown)
	}
	return counts
}
