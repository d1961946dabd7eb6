package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
)

// NewUnrecordedJob returns a job for a record that is not written yet. It is not part of the
// state. spotInUse is whether the autoscaler may use spot machines.
func (s *State) NewUnrecordedJob(record *jobs.JobRecord, spotInUse bool) *Job {
	job := entity.NewJob(record.Ref)
	s.setSpec(job, record, spotInUse)
	return job
}

func (s *State) setSpec(job *Job, record *jobs.JobRecord, spotInUse bool) {
	ownDeadlines := jobdag.OwnDeadlines(record, s.cfg.DeadlineMultiple)
	entity.SetSpec(job, record, ownDeadlines, s.IsBackground(record), spotInUse)
}

// IsBackground reports whether a job is background work, which gets only capacity that no other
// job needs: an array of the lowest priority without a deadline or objective. Without this
// distinction 3,800 long tasks of one team took every machine that could be added within seconds,
// and for four minutes no deadline of other teams was met.
func (s *State) IsBackground(record *jobs.JobRecord) bool {
	return record.Kind == jobs.Array && record.Priority() == 0 && record.DeadlineSeconds == nil &&
		!s.cfg.HasObjective(record.Class)
}

// ApplyJobRecord updates the state from a job's record. complete is whether the first load of all
// records is over, see ApplyRangeRecord; spotInUse is whether the autoscaler may use spot machines.
func (s *State) ApplyJobRecord(record *jobs.JobRecord, revision uint64, complete, spotInUse bool) {
	job := s.jobs[record.Ref]
	if job == nil {
		job = entity.NewJob(record.Ref)
		s.jobs[record.Ref] = job
		s.lastJobArrivedAt = time.Now()
	}
	hadRecord := job.HasRecord()
	if job.Revision() >= revision {
		return
	}
	entity.SetJobRevision(job, revision)
	s.setSpec(job, record, spotInUse)
	s.dependencies.ApplyRecord(job.Record(), time.Now())
	s.updateInherited(job.Ref())
	isBlocked := entity.SetBlocked(job)
	if !hadRecord && !isBlocked {
		s.classStats.RecordArrival(record, job.RunnableSinceMS(), time.Now())
	}
	s.applyInlineClaim(job, revision, complete)
}

// unfinishedRecord returns a job's record, nil if none is known or the job has ended.
func (s *State) unfinishedRecord(ref string) *jobs.JobRecord {
	job := s.jobs[ref]
	if job == nil || !job.HasRecord() || job.HasEnded() {
		return nil
	}
	return job.Record()
}

// updateInherited updates what a job inherits from its dependencies and dependents after a change.
func (s *State) updateInherited(ref string) {
	job := s.jobs[ref]
	if job == nil || !job.HasRecord() {
		return
	}
	if entity.SetDependencyNode(job, s.dependencies.Node(ref)) {
		s.markMachinesChanged(job)
	}
	entity.EndBackground(job)
	if entity.Unblock(job, time.Now()) {
		s.classStats.RecordArrival(job.Record(), job.RunnableSinceMS(), job.KnownSince())
	}
	s.dirty = true
}

// markMachinesChanged notes that the usage of all machines that run tasks of a job has changed.
func (s *State) markMachinesChanged(job *Job) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if assignment := taskRange.Assignment(i); assignment != nil {
				s.markChanged(assignment.Machine())
			}
		}
	}
}

// ApplyJobDeletion updates the state after the deletion of a job's record.
func (s *State) ApplyJobDeletion(ref string, revision uint64) {
	if job := s.jobs[ref]; job != nil && job.Revision() <= revision {
		s.EndJob(job)
	}
}

// EndJob notes that a job is done or cancelled. Its tasks that are still on machines are stopped;
// the records of ranges of shards owned here are still to be deleted.
func (s *State) EndJob(job *Job) {
	entity.SetEnded(job)
	s.attributor.ForgetJob(job.Ref())
	s.dependencies.ApplyRecordDeletion(job.Ref())
	for taskRange := range job.TaskRanges() {
		s.abandonTasks(taskRange)
	}
	if taskRange := job.TaskRange(0); taskRange != nil && taskRange.IsInline() {
		entity.RemoveTaskRange(job, 0) // it has no record of its own
	}
	s.removeIfEnded(job)
}

// removeIfEnded removes a job that has ended and of which no range is left.
func (s *State) removeIfEnded(job *Job) {
	if job.HasEnded() && !entity.HasTaskRanges(job) && s.jobs[job.Ref()] == job {
		delete(s.jobs, job.Ref())
	}
}
