package clusterstate

import (
	"time"

	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// What the records say: of machines, shares, jobs and ranges. Each is followed only if
// it is newer than what is known.

// ApplyMachineRecord follows a machine's record; moved is whether it changed share.
func (b *State) ApplyMachineRecord(host string, rec workerapi.Record, revision uint64) (m *Machine, moved bool) {
	m = b.machines[host]
	if m == nil {
		m = &Machine{host: host}
		b.machines[host] = m
		b.forgetTasks(m)
	}
	if m.revision >= revision {
		return m, false
	}
	moved = m.record.Shard != rec.Shard
	if moved {
		b.forgetTasks(m)
		m.flags.reported, m.flags.lost = false, false
	}
	moved = moved && m.revision > 0 // not merely new here
	m.record, m.revision = rec, revision
	b.ownedMachinesStale, b.machineCounts = true, nil
	m.times.joinedShardAt = time.Now()
	b.markChanged(m)
	return m, moved
}

// forgetTasks drops what was known of the machine's tasks.
func (b *State) forgetTasks(m *Machine) {
	for _, s := range m.assignments {
		if s.taskRange != nil && s.index < len(s.taskRange.tasks) && s.taskRange.tasks[s.index].assignment == s {
			s.taskRange.setTask(s.index, TaskUnknown, nil)
		}
	}
	m.assignments = map[string]*Assignment{}
	if m.images == nil {
		m.images = map[string]bool{}
	}
	m.flags.releasing, m.flags.moving, m.flags.reportedEmpty, m.flags.probeUnanswered, m.flags.noInbound, m.flags.heartbeatOverdue, m.times.idleSince = false, false, false, false, false, false, time.Time{}
	b.markChanged(m)
}

// ApplyMachineDeletion follows the end of a machine's record; nil if it is an older one's.
func (b *State) ApplyMachineDeletion(host string, revision uint64) *Machine {
	m := b.machines[host]
	if m == nil || m.revision > revision {
		return nil
	}
	b.MarkLost(m)
	b.attributor.ForgetMachine(host)
	delete(b.machines, host)
	b.ownedMachinesStale, b.machineCounts = true, nil
	b.markChanged(m)
	return m
}

// ApplyShardRecord follows a share's new holder: nothing is known of its machines and tasks
// until the workers were heard. It tells the machines that may still be there.
func (b *State) ApplyShardRecord(shard *membership.Shard) []*Machine {
	var there []*Machine
	b.ownedMachinesStale = true
	for _, m := range b.machines {
		if m.record.Shard != shard.ID() {
			continue
		}
		b.forgetTasks(m)
		m.flags.reported, m.flags.lost = false, m.flags.released
		if !m.flags.released {
			there = append(there, m)
		}
	}
	for _, j := range b.jobs {
		for _, r := range j.ranges {
			if r.record.Shard == shard.ID() {
				r.reset(shard.IsLocal(), TaskUnknown)
				b.clearUntrustedHosts(r)
				// What its gang's try is will be heard from the workers. Gangs of the
				// other shares held here go on: forgetting their tries, too, made
				// them look like plans that wait too long, and stopped them.
				j.gang = gangAttempt{}
			}
		}
	}
	b.dirty = true
	return there
}

func newJob(ref string) *Job {
	return &Job{ref: ref, ranges: map[int]*TaskRange{}, knownSince: time.Now()}
}

// NewUnrecordedJob makes a job that is in no book yet; spot is whether cheap machines are in use.
func (b *State) NewUnrecordedJob(rec *jobs.JobRecord, spot bool) *Job {
	j := newJob(rec.Ref)
	b.applySpec(j, rec, spot)
	return j
}

// applySpec sets what follows from a job's record.
func (b *State) applySpec(j *Job, rec *jobs.JobRecord, spot bool) {
	j.record = *rec
	j.need = rec.Need()
	j.priority, j.ownDeadlines = rec.Priority(), jobdag.OwnDeadlines(rec, b.cfg.DeadlineMultiple)
	j.background = b.IsBackground(rec)
	j.bestEffort = j.mayWaitForSpot(time.Now(), spot)
}

// IsBackground tells whether a job gets only what is left over: an array of the lowest
// priority of which nothing is asked. A guest's 3,800 long tasks took every machine that
// could be rented within seconds, and for four minutes no deadline of the owners was met.
func (b *State) IsBackground(rec *jobs.JobRecord) bool {
	return rec.Kind == jobs.Array && rec.Priority() == 0 && rec.DeadlineSeconds == nil && !b.cfg.HasObjective(rec.Class)
}

// ApplyJobRecord follows a job's record. complete tells that all older records are known,
// see RangeRecorded; spot is whether cheap machines are in use.
func (b *State) ApplyJobRecord(rec *jobs.JobRecord, revision uint64, complete, spot bool) {
	j := b.jobs[rec.Ref]
	if j == nil {
		j = newJob(rec.Ref)
		b.jobs[rec.Ref] = j
		b.lastJobArrivedAt = time.Now()
	}
	recorded := j.HasRecord()
	if j.revision >= revision {
		return
	}
	j.revision, j.ended = revision, false
	b.applySpec(j, rec, spot)
	b.dependencies.ApplyRecord(&j.record, time.Now())
	b.updateInherited(j.ref)
	if j.blocked = j.dependencyNode.IsBlocked(); !recorded && !j.blocked {
		b.classStats.RecordArrival(rec, j.RunnableSinceMS(), time.Now())
	}
	b.applyInlineClaim(j, revision, complete)
}

// unfinishedRecord is a job's record, nil if none is known or it is over.
func (b *State) unfinishedRecord(ref string) *jobs.JobRecord {
	if j := b.jobs[ref]; j != nil && j.HasRecord() && !j.ended {
		return &j.record
	}
	return nil
}

// updateInherited follows what a job has to do with those that it waits for and those behind it.
func (b *State) updateInherited(ref string) {
	j := b.jobs[ref]
	if j == nil || !j.HasRecord() {
		return
	}
	j.dependencyNode = b.dependencies.Node(ref)
	if p := j.dependencyNode.Priority(j.record.Priority()); p != j.priority {
		j.priority = p
		for _, r := range j.ranges {
			for i := range r.tasks {
				if s := r.tasks[i].assignment; s != nil {
					b.markChanged(s.machine)
				}
			}
		}
	}
	if j.background && (j.priority > 0 || j.dependencyNode.Deadlines().DueMS != jobdag.NoDeadline) {
		// Somebody waits for it of whom something is asked.
		j.background, j.bestEffort = false, false
	}
	if j.blocked && !j.dependencyNode.IsBlocked() {
		// It becomes an ordinary job at this moment.
		j.blocked, j.knownSince = false, time.Now()
		b.classStats.RecordArrival(&j.record, j.RunnableSinceMS(), j.knownSince)
	}
	b.dirty = true
}

// applyInlineClaim follows the claim of a small job in its own record.
func (b *State) applyInlineClaim(j *Job, revision uint64, complete bool) {
	r := j.ranges[0]
	claim := j.record.WholeClaim
	if claim == nil {
		if r != nil && r.inline && !r.tentative {
			b.removeRange(r)
		}
		return
	}
	shard := b.shards.Shard(claim.Shard)
	if r != nil && r.tentative && (shard == nil || claim.Epoch != shard.Epoch()) {
		// Not our claim, though it may look alike: an earlier holder's.
		b.UnplaceRange(r)
		delete(j.ranges, 0)
		r = nil
	}
	if r == nil || r.tentative || r.record.Shard != claim.Shard {
		// The record may be written again by others, so its stamp does not tell when it was
		// claimed. Claimed in this tenure, by us, and new to us: nothing was started.
		neverStarted := shard != nil && shard.IsLocal() && complete && claim.Epoch == shard.Epoch()
		b.applyClaim(j, 0, jobs.RangeRecord{Shard: claim.Shard, Count: claim.Count}, revision, neverStarted)
		j.ranges[0].inline = true
		return
	}
	r.revision = revision
}

// ApplyRangeRecord follows a claim. complete tells that all older records are known: a
// range that appears later in a share of ours was claimed in our tenure.
func (b *State) ApplyRangeRecord(ref string, first int, rec jobs.RangeRecord, revision uint64, complete bool) {
	j := b.jobs[ref]
	if j == nil {
		// Its job is over, or its record comes later in the same reading.
		j = newJob(ref)
		j.ended = true
		b.jobs[ref] = j
	}
	shard := b.shards.Shard(rec.Shard)
	// Only the holder of a share writes its ranges, under the share's stamp: one that appears
	// after we took the share was claimed by us and its tasks were never started. Read
	// together with the share (the first load), it was there before: unknown.
	b.applyClaim(j, first, rec, revision, shard != nil && shard.IsLocal() && complete && revision > shard.Epoch())
}

// applyClaim follows a claim; fresh says that, if it is new here, none of its tasks
// was ever started.
func (b *State) applyClaim(j *Job, first int, rec jobs.RangeRecord, revision uint64, neverStarted bool) {
	for _, r := range j.ranges {
		// Whichever of the two records of a split comes first.
		if at := r.unclaiming.First + r.unclaiming.Count; revision > r.revision && rec.Shard == r.record.Shard &&
			(first == r.first && r.isSplitAt(rec.Count) || first == r.first+at && r.isSplitAt(r.unclaiming.First) && rec.Count == len(r.tasks)-at) {
			b.split(r)
			break
		}
	}
	r := j.ranges[first]
	if r != nil && r.revision >= revision {
		return
	}
	shard := b.shards.Shard(rec.Shard)
	if r != nil && r.tentative && (r.record.Shard != rec.Shard || r.record.Count != rec.Count) {
		// Another claim came first, or an earlier one of ours after all.
		b.UnplaceRange(r)
		r = nil
	}
	if r == nil || r.record.Shard != rec.Shard {
		r = &TaskRange{job: j, first: first, record: rec, revision: revision}
		j.ranges[first] = r
		state := TaskUnknown
		if neverStarted {
			state = TaskReady
		}
		r.reset(shard != nil && shard.IsLocal(), state)
		b.clearUntrustedHosts(r)
		return
	}
	r.revision, r.tentative = revision, false
	b.executePreemptions(r)
	if r.tasks != nil && rec.Count < len(r.tasks) {
		r.Truncate(rec.Count)
	}
	r.record = rec
	b.clearUntrustedHosts(r)
	r.recordedDone = rec.Done.Count(rec.Count)
	if r.recordedDone == 0 {
		return
	}
	for i := range r.tasks {
		if rec.Done.Has(i) {
			delete(r.unrecordedDone, i)
			r.setTask(i, TaskFinished, r.tasks[i].assignment)
		}
	}
}

// ApplyRangeDeletion follows the end of a range's record.
func (b *State) ApplyRangeDeletion(ref string, first int, revision uint64) {
	if j := b.jobs[ref]; j != nil {
		if r := j.ranges[first]; r != nil && r.revision <= revision {
			if r.isSplitAt(0) {
				b.split(r)
			}
			b.removeRange(r)
		}
	}
}

func (b *State) removeRange(r *TaskRange) {
	b.abandonRange(r)
	delete(r.job.ranges, r.first)
	b.removeIfEnded(r.job)
}

// ApplyJobDeletion follows the end of a job's record.
func (b *State) ApplyJobDeletion(ref string, revision uint64) {
	if j := b.jobs[ref]; j != nil && j.revision <= revision {
		b.EndJob(j)
	}
}

// EndJob follows the end of a job: done or cancelled. Tasks still on machines are stopped;
// the ranges of our shares are still to be dropped.
func (b *State) EndJob(j *Job) {
	j.ended = true
	b.attributor.ForgetJob(j.ref)
	b.dependencies.ApplyRecordDeletion(j.ref)
	for _, r := range j.ranges {
		b.abandonRange(r)
	}
	if r := j.ranges[0]; r != nil && r.inline {
		delete(j.ranges, 0) // it has no record of its own
	}
	b.removeIfEnded(j)
}

func (b *State) abandonRange(r *TaskRange) {
	for i := range r.tasks {
		if s := r.tasks[i].assignment; s != nil {
			b.abandonAssignment(s)
		}
	}
}

// removeIfEnded forgets a job that is over and of which no range is left.
func (b *State) removeIfEnded(j *Job) {
	if j.ended && len(j.ranges) == 0 && b.jobs[j.ref] == j {
		delete(b.jobs, j.ref)
	}
}
