package clusterstate

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/tuning"
)

// All tasks of a gang run under one attempt number, or none does.

// BeginGangAttempt notes that a gang is to be placed under an attempt number.
func (s *State) BeginGangAttempt(job *Job, attempt uint64) { entity.BeginGangAttempt(job, attempt) }

// ResetGangAttempt forgets a gang's attempt: its claim failed or was withdrawn, its tasks have left
// their machines, or it is no longer known what they do.
func (s *State) ResetGangAttempt(job *Job) { *entity.MutableGang(job) = entity.GangAttempt{} }

// adoptGangAttempt updates a gang's attempt from a task that a worker reports to run under an
// attempt: another attempt than the present one makes the gang fail. It does nothing for other jobs.
func adoptGangAttempt(job *Job, attempt uint64) {
	if !job.IsGang() {
		return
	}
	gang := entity.MutableGang(job)
	switch {
	case gang.Attempt == 0 || !gang.Started:
		*gang = entity.GangAttempt{Attempt: attempt, Started: true}
	case gang.Attempt != attempt:
		gang.Failed = true
	}
}

// failGangAttemptOf notes that a task was lost, which fails the gang attempt that it was of.
func failGangAttemptOf(assignment *Assignment) {
	job := assignment.Job()
	if !job.IsGang() {
		return
	}
	if gang := entity.MutableGang(job); gang.Started && assignment.Attempt() == gang.Attempt {
		gang.Failed = true
	}
}

// StartGang notes that a start command is sent for a task of a gang, and reports whether it is the
// first.
func (s *State) StartGang(job *Job) (first bool) {
	gang := entity.MutableGang(job)
	first = !gang.Started
	gang.Started = true
	return first
}

// StopGang stops all tasks of a gang with time for a checkpoint.
func (s *State) StopGang(job *Job) {
	entity.MutableGang(job).Failed = true
	s.stopGangTasks(job, job.Record().CheckpointSaveSeconds+s.cfg.Cluster.Workers.GangPeerTimeoutSeconds)
}

// stopGangTasks stops what is left of a gang; tasks that are stopping already keep the time that
// they were given.
func (s *State) stopGangTasks(job *Job, graceS float64) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if assignment := taskRange.Assignment(i); assignment != nil {
				s.stopGangTask(assignment, graceS)
			}
		}
	}
}

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
// Once one task was started the others may follow without this check; after a failure none may.
func (s *State) GangCanStart(job *Job) bool {
	gang := entity.MutableGang(job)
	if gang.Failed {
		return false
	}
	if gang.Started {
		return true
	}
	needs := map[*Machine]capacity.Resources{}
	for taskRange := range job.TaskRanges() {
		if !addPlannedNeeds(needs, taskRange) {
			return false
		}
	}
	for machine, need := range needs {
		if !s.FreeNow(machine).Covers(need) {
			return false
		}
	}
	return true
}

// addPlannedNeeds adds what a range's tasks take to the needs by machine. It reports whether all of
// them are placed, on workers that the range's record allows.
func addPlannedNeeds(needs map[*Machine]capacity.Resources, taskRange *TaskRange) bool {
	if !taskRange.HostsAreRecorded() {
		return false
	}
	for i := range taskRange.Len() {
		assignment := taskRange.Assignment(i)
		if assignment == nil {
			return false
		}
		machine := assignment.Machine()
		needs[machine] = needs[machine].Add(assignment.Need())
	}
	return true
}

// StopFailedGang stops what is left of a failed attempt of a gang. All of its tasks must have left
// their machines before the next attempt. It does nothing for other jobs.
func (s *State) StopFailedGang(job *Job) {
	if !job.IsGang() {
		return
	}
	gang := entity.MutableGang(job)
	tasks := countGangTasks(job)
	if tasks.placed == 0 {
		if tasks.unknown == 0 {
			s.ResetGangAttempt(job)
		}
		return
	}
	if tasks.ready > 0 {
		// Some tasks are placed and some are not, since a machine was lost. A gang that still waits
		// for free resources would never start, and would occupy the machines of its other tasks
		// forever.
		gang.Failed = true
	}
	if !gang.Started && tasks.ready == 0 && entity.GangPlannedFor(job) > tuning.MaxPreemptionWait {
		gang.Failed = true // the resources that it waited for did not become free
	}
	if gang.Failed {
		s.stopGangTasks(job, 0)
	}
}

// gangTaskCounts are the numbers of a gang's tasks by state, of shards owned here.
type gangTaskCounts struct{ placed, ready, unknown int }

// countGangTasks counts in one pass: every waiting gang is looked at in each scheduling cycle.
func countGangTasks(job *Job) gangTaskCounts {
	var counts gangTaskCounts
	for taskRange := range job.TaskRanges() {
		counts.placed += taskRange.CountTasks(TaskPlaced)
		counts.ready += taskRange.CountTasks(TaskReady)
		counts.unknown += taskRange.CountTasks(TaskUnknown)
	}
	return counts
}
