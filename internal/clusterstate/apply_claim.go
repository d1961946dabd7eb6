package clusterstate

import (
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
)

// NewTentativeRange returns a range for a shard's claim of a job's tasks. The claim is not durable yet.
// The range is not part of the state until AddTentativeRange is called, but its tasks may already be
// placed. zone is the zone in which the tasks have to run, "" for any zone.
func (s *State) NewTentativeRange(job *Job, shard *membership.Shard, interval jobs.TaskInterval, zone string) *TaskRange {
	record := jobs.RangeRecord{Shard: shard.ID(), Count: interval.Count, Zone: zone}
	return entity.NewTentativeTaskRange(job, interval.First, record)
}

// AddTentativeRange adds a tentative claim to the state. inline tells whether the claim is made in
// the job's own record.
func (s *State) AddTentativeRange(taskRange *TaskRange, inline bool) {
	entity.SetInline(taskRange, inline)
	entity.AddTaskRange(taskRange)
}

// AbandonTentativeRange removes a tentative claim whose transaction failed, and unplaces its tasks.
func (s *State) AbandonTentativeRange(taskRange *TaskRange) {
	job := taskRange.Job()
	if entity.IsCurrent(taskRange) && taskRange.IsTentative() {
		s.UnplaceRange(taskRange)
		entity.RemoveTaskRange(job, taskRange.First())
		s.removeIfEnded(job)
	}
	s.ResetGangAttempt(job)
	s.dirty = true
}

// UnplaceRange removes the assignments of a tentative claim and cancels its preemptions. These
// assignments are only planned.
func (s *State) UnplaceRange(taskRange *TaskRange) {
	for _, assignment := range entity.TakePreemptions(taskRange) {
		entity.CancelPreemption(assignment)
		s.markMachineChanged(assignment.Machine())
	}
	for i := range taskRange.Len() {
		if assignment := taskRange.Assignment(i); assignment != nil {
			s.Unplace(assignment)
		}
	}
}

// ApplyRangeRecord updates the state from the record of a claimed range. initialLoadDone tells whether
// the first load of all records is over. If a range of a shard owned here first appears after that load,
// the range must have been claimed in the shard's current epoch.
func (s *State) ApplyRangeRecord(ref string, first int, record jobs.RangeRecord, revision uint64, initialLoadDone bool) {
	job := s.jobs[ref]
	if job == nil {
		// The job has ended, or its record follows later in the same read.
		job = entity.NewJob(ref)
		entity.SetEnded(job)
		s.jobs[ref] = job
	}
	shard := s.shards.Shard(record.Shard)
	// Only a shard's owner writes its ranges, under the shard's epoch. A range that appears after
	// this controller acquired the shard was therefore claimed by this controller, and its tasks
	// were never started. A range that is read together with the shard in the first load existed
	// before: its tasks are unknown.
	neverStarted := shard != nil && shard.IsLocal() && initialLoadDone && revision > shard.Epoch()
	s.applyClaim(job, first, record, revision, neverStarted)
}

// applyInlineClaim updates the state from the claim of a small job in the job's own record.
func (s *State) applyInlineClaim(job *Job, revision uint64, initialLoadDone bool) {
	taskRange, claim := job.TaskRange(0), job.Record().WholeClaim
	if claim == nil {
		s.endInlineClaim(job)
		return
	}
	shard := s.shards.Shard(claim.Shard)
	isFromOtherEpoch := shard == nil || claim.Epoch != shard.Epoch()
	if taskRange != nil && taskRange.IsTentative() && isFromOtherEpoch {
		// The durable claim was not made in the shard's current epoch, even if it looks like the
		// tentative claim, so the tasks of the durable claim may be running.
		s.UnplaceRange(taskRange)
		entity.RemoveTaskRange(job, 0)
		taskRange = nil
	}
	if taskRange != nil && !taskRange.IsTentative() && taskRange.Record().Shard == claim.Shard {
		entity.SetRangeRevision(taskRange, revision)
		return
	}
	// Other controllers may rewrite the job's record, so its revision does not show when the claim
	// was made. If this controller made the claim in the shard's current epoch and the claim is new
	// here, none of its tasks was started.
	neverStarted := shard != nil && shard.IsLocal() && initialLoadDone && claim.Epoch == shard.Epoch()
	s.applyClaim(job, 0, jobs.RangeRecord{Shard: claim.Shard, Count: claim.Count}, revision, neverStarted)
	entity.SetInline(job.TaskRange(0), true)
}

// endInlineClaim updates the state from a job's record without an inline claim. If the job had one, its
// tasks are unclaimed now, or the claim has moved to a range record. That record has the same revision and
// may be applied before or after the job's record.
func (s *State) endInlineClaim(job *Job) {
	taskRange := job.TaskRange(0)
	if taskRange == nil || !taskRange.IsInline() || taskRange.IsTentative() {
		return
	}
	if job.Record().UnclaimedCount() > 0 {
		s.removeRange(taskRange)
	} else {
		entity.SetInline(taskRange, false)
	}
}

// applyClaim updates the state from a durable claim. neverStarted tells whether the claim's tasks were
// never started, which matters only if the claim is new here.
func (s *State) applyClaim(job *Job, first int, record jobs.RangeRecord, revision uint64, neverStarted bool) {
	applySplit(job, first, record, revision)
	taskRange := job.TaskRange(first)
	if taskRange != nil && taskRange.Revision() >= revision {
		return
	}
	if taskRange != nil && taskRange.IsTentative() && !claimsSameTasks(taskRange.Record(), &record) {
		// Another claim came first: a claim of another controller, or an earlier claim of this
		// controller.
		s.UnplaceRange(taskRange)
		taskRange = nil
	}
	if taskRange == nil || taskRange.Record().Shard != record.Shard {
		s.addClaim(job, first, record, revision, neverStarted)
		return
	}
	entity.ConfirmClaim(taskRange, revision)
	entity.SetInline(taskRange, false) // applyInlineClaim sets it again for a claim in the job's record
	s.executePreemptions(taskRange)
	entity.SetRangeRecord(taskRange, record)
	s.clearUnreliableGangWorkers(taskRange)
	entity.ApplyRecordedDone(taskRange)
}

// applySplit splits a range of the job if the record shows that this split is durable.
func applySplit(job *Job, first int, record jobs.RangeRecord, revision uint64) {
	for taskRange := range job.TaskRanges() {
		if entity.IsSplitBy(taskRange, first, record, revision) {
			entity.Split(taskRange)
			return
		}
	}
}

// claimsSameTasks reports whether two records of ranges with the same first task claim the same tasks
// for the same shard.
func claimsSameTasks(a, b *jobs.RangeRecord) bool {
	return a.Shard == b.Shard && a.Count == b.Count
}

// addClaim adds a claim that is new here. It replaces the claim of another shard if there is one.
func (s *State) addClaim(job *Job, first int, record jobs.RangeRecord, revision uint64, neverStarted bool) {
	taskRange := entity.NewTaskRange(job, first, record, revision)
	entity.AddTaskRange(taskRange)
	initialState := TaskUnknown
	if neverStarted {
		initialState = TaskReady
	}
	shard := s.shards.Shard(record.Shard)
	entity.ResetTasks(taskRange, shard != nil && shard.IsLocal(), initialState)
	s.clearUnreliableGangWorkers(taskRange)
}

// clearUnreliableGangWorkers clears the list of workers in the record of a gang's range if, since the
// record was written, an owner of the shard may have started the gang's tasks on workers that it did not
// record (see membership.Shard.TrustsGangWorkers).
func (s *State) clearUnreliableGangWorkers(taskRange *TaskRange) {
	shard := s.shards.Shard(taskRange.Record().Shard)
	if shard == nil || !shard.TrustsGangWorkers(taskRange.Revision()) {
		entity.ClearGangWorkers(taskRange)
	}
}

// ApplyRangeDeletion updates the state after the deletion of a range's record.
func (s *State) ApplyRangeDeletion(ref string, first int, revision uint64) {
	job := s.jobs[ref]
	if job == nil {
		return
	}
	taskRange := job.TaskRange(first)
	if taskRange == nil || taskRange.Revision() > revision {
		return
	}
	if entity.IsSplitAt(taskRange, 0) {
		entity.Split(taskRange)
	}
	s.removeRange(taskRange)
}

// removeRange removes a range whose record is gone and stops its tasks.
func (s *State) removeRange(taskRange *TaskRange) {
	s.abandonTasks(taskRange)
	entity.RemoveTaskRange(taskRange.Job(), taskRange.First())
	s.removeIfEnded(taskRange.Job())
}
