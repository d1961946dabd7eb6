package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
)

// NewUnrecordedJob returns a job for a record that is not written yet. The job is not part of the
// state. spotInUse tells whether the autoscaler may use spot machines.
func (s *State) NewUnrecordedJob(record *jobs.JobRecord, spotInUse bool) *Job {
	job := entity.NewJob(record.Ref)
	s.setSpec(job, record, spotInUse)
	return job
}

func (s *State) setSpec(job *Job, record *jobs.JobRecord, spotInUse bool) {
	ownDeadlines := jobdag.OwnDeadlines(record, s.cfg.DeadlineMultiple)
	entity.SetSpec(job, record, ownDeadlines, s.IsBackground(record), spotInUse)
}

// IsBackground reports whether a job is background work: an array of the lowest priority without a
// deadline or objective. Background work gets only capacity that no other job needs. Without this
// distinction, 3,800 long tasks of one team took, within seconds, every machine that could be added, and
// no deadline of other teams was met for four minutes.
func (s *State) IsBackground(record *jobs.JobRecord) bool {
	return record.Kind == jobs.Array && record.Priority() == 0 && record.DeadlineSeconds == nil &&
		!s.cfg.HasObjective(record.Class)
}

// ApplyJobRecord updates the state from a job's record. initialLoadDone tells whether the first load
// of all records is over, as in ApplyRangeRecord. spotInUse tells whether the autoscaler may use spot
// machines.
func (s *State) ApplyJobRecord(record *jobs.JobRecord, revision uint64, initialLoadDone, spotInUse bool) {
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
	s.updateDependencyState(job.Ref())
	isBlocked := entity.UpdateBlocked(job)
	if !hadRecord && !isBlocked {
		s.classStats.RecordArrival(record, job.RunnableSinceMS(), time.Now())
	}
	s.applyInlineClaim(job, revision, initialLoadDone)
}

// unfinishedRecord returns a job's record, or nil if no record is known or the job has ended.
func (s *State) unfinishedRecord(ref string) *jobs.JobRecord {
	job := s.jobs[ref]
	if job == nil || !job.HasRecord() || job.HasEnded() {
		return nil
	}
	return job.Record()
}

// updateDependencyState updates the attributes that a job gets from its dependencies and dependents:
// its priority, whether it is background work, and whether it is blocked.
func (s *State) updateDependencyState(ref string) {
	job := s.jobs[ref]
	if job == nil || !job.HasRecord() {
		return
	}
	if entity.SetDependencyNode(job, s.dependencies.Node(ref)) {
		s.markJobMachinesChanged(job)
	}
	entity.EndBackground(job)
	if entity.Unblock(job, time.Now()) {
		s.classStats.RecordArrival(job.Record(), job.RunnableSinceMS(), job.KnownSince())
	}
	s.dirty = true
}

// markJobMachinesChanged marks all machines that have tasks of a job as changed.
func (s *State) markJobMachinesChanged(job *Job) {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if assignment := taskRange.Assignment(i); assignment != nil {
				s.markMachineChanged(assignment.Machine())
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

// EndJob marks a job as ended, since it is done or cancelled, and stops its tasks that are still on
// machines. The caller still has to delete the records of the job's ranges in shards owned here.
func (s *State) EndJob(job *Job) {
	entity.SetEnded(job)
	s.attributor.ForgetJob(job.Ref())
	s.dependencies.ApplyRecordDeletion(job.Ref())
	for taskRange := range job.TaskRanges() {
		s.abandonTasks(taskRange)
	}
	if taskRange := job.TaskRange(0); taskRange != nil && taskRange.IsInline() {
		entity.RemoveTaskRange(job, 0) // an inline range has no record of its own
	}
	s.removeIfEnded(job)
}

// removeIfEnded removes a job from the state if it has ended and has no ranges left.
func (s *State) removeIfEnded(job *Job) {
	if job.HasEnded() && !entity.HasTaskRanges(job) && s.jobs[job.Ref()] == job {
		delete(s.jobs, job.Ref())
	}
}
