package books

import (
	"time"

	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/worker"
)

// What the records say: of machines, shares, jobs and ranges. Each is followed only if
// it is newer than what is known.

// MachineRecorded follows a machine's record; moved is whether it changed share.
func (b *Books) MachineRecorded(host string, rec worker.Record, stamp uint64) (m *Machine, moved bool) {
	m = b.machines[host]
	if m == nil {
		m = &Machine{host: host}
		b.machines[host] = m
		b.forget(m)
	}
	if m.stamp >= stamp {
		return m, false
	}
	moved = m.rec.Share != rec.Share
	if moved {
		b.forget(m)
		m.is.Heard, m.is.Gone = false, false
	}
	moved = moved && m.stamp > 0 // not merely new here
	m.rec, m.stamp = rec, stamp
	b.heldOld, b.counted = true, nil
	m.when.Known = time.Now()
	b.recount(m)
	return m, moved
}

// forget drops what was known of the machine's tasks.
func (b *Books) forget(m *Machine) {
	for _, s := range m.slots {
		if s.r != nil && s.i < len(s.r.tasks) && s.r.tasks[s.i].slot == s {
			s.r.put(s.i, Unknown, nil)
		}
	}
	m.slots = map[string]*Slot{}
	if m.images == nil {
		m.images = map[string]bool{}
	}
	m.is.Releasing, m.is.Moving, m.is.Empty, m.is.Mute, m.is.Deaf, m.is.Overdue, m.when.Idle = false, false, false, false, false, false, time.Time{}
	b.recount(m)
}

// MachineDropped follows the end of a machine's record; nil if it is an older one's.
func (b *Books) MachineDropped(host string, stamp uint64) *Machine {
	m := b.machines[host]
	if m == nil || m.stamp > stamp {
		return nil
	}
	b.Lose(m)
	b.faults.ForgetHost(host)
	delete(b.machines, host)
	b.heldOld, b.counted = true, nil
	b.recount(m)
	return m
}

// ShareRecorded follows a share's new holder: nothing is known of its machines and tasks
// until the workers were heard. It tells the machines that may still be there.
func (b *Books) ShareRecorded(s *membership.Share) []*Machine {
	var there []*Machine
	b.heldOld = true
	for _, m := range b.machines {
		if m.rec.Share != s.ID() {
			continue
		}
		b.forget(m)
		m.is.Heard, m.is.Gone = false, m.is.Released
		if !m.is.Released {
			there = append(there, m)
		}
	}
	for _, j := range b.jobs {
		for _, r := range j.ranges {
			if r.rec.Share == s.ID() {
				r.load(s.Mine(), Unknown)
				b.trust(r)
				// What its gang's try is will be heard from the workers. Gangs of the
				// other shares held here go on: forgetting their tries, too, made
				// them look like plans that wait too long, and stopped them.
				j.gang = gangRun{}
			}
		}
	}
	b.touched = true
	return there
}

func newJob(ref string) *Job {
	return &Job{ref: ref, ranges: map[int]*Range{}, seen: time.Now()}
}

// Describe makes a job that is in no book yet; spot is whether cheap machines are in use.
func (b *Books) Describe(rec *jobs.Record, spot bool) *Job {
	j := newJob(rec.Ref)
	b.fill(j, rec, spot)
	return j
}

// fill sets what follows from a job's record.
func (b *Books) fill(j *Job, rec *jobs.Record, spot bool) {
	j.rec = *rec
	j.need = rec.Need()
	j.prio, j.due = rec.Priority(), depend.Due(rec, b.cfg.DueTimes)
	j.background = b.IsBackground(rec)
	j.leftover = j.mayWaitForCheap(time.Now(), spot)
}

// IsBackground tells whether a job gets only what is left over: an array of the lowest
// priority of which nothing is asked. A guest's 3,800 long tasks took every machine that
// could be rented within seconds, and for four minutes no deadline of the owners was met.
func (b *Books) IsBackground(rec *jobs.Record) bool {
	return rec.Kind == jobs.Array && rec.Priority() == 0 && rec.DueS == nil && !b.cfg.Aimed(rec.Class)
}

// JobRecorded follows a job's record. complete tells that all older records are known,
// see RangeRecorded; spot is whether cheap machines are in use.
func (b *Books) JobRecorded(rec *jobs.Record, stamp uint64, complete, spot bool) {
	j := b.jobs[rec.Ref]
	if j == nil {
		j = newJob(rec.Ref)
		b.jobs[rec.Ref] = j
		b.arrived = time.Now()
	}
	recorded := j.Recorded()
	if j.stamp >= stamp {
		return
	}
	j.stamp, j.over = stamp, false
	b.fill(j, rec, spot)
	b.depend.Recorded(&j.rec, time.Now())
	b.related(j.ref)
	if j.waits = j.node.Waits(); !recorded && !j.waits {
		b.classes.Arrived(rec, j.SinceMS(), time.Now())
	}
	b.ownRecorded(j, stamp, complete)
}

// unfinished is a job's record, nil if none is known or it is over.
func (b *Books) unfinished(ref string) *jobs.Record {
	if j := b.jobs[ref]; j != nil && j.Recorded() && !j.over {
		return &j.rec
	}
	return nil
}

// related follows what a job has to do with those that it waits for and those behind it.
func (b *Books) related(ref string) {
	j := b.jobs[ref]
	if j == nil || !j.Recorded() {
		return
	}
	j.node = b.depend.Node(ref)
	if p := j.node.Priority(j.rec.Priority()); p != j.prio {
		j.prio = p
		for _, r := range j.ranges {
			for i := range r.tasks {
				if s := r.tasks[i].slot; s != nil {
					b.recount(s.m)
				}
			}
		}
	}
	if j.background && (j.prio > 0 || j.node.By()[0] != depend.Never) {
		// Somebody waits for it of whom something is asked.
		j.background, j.leftover = false, false
	}
	if j.waits && !j.node.Waits() {
		// It becomes an ordinary job at this moment.
		j.waits, j.seen = false, time.Now()
		b.classes.Arrived(&j.rec, j.SinceMS(), j.seen)
	}
	b.touched = true
}

// ownRecorded follows the claim of a small job in its own record.
func (b *Books) ownRecorded(j *Job, stamp uint64, complete bool) {
	r := j.ranges[0]
	o := j.rec.Own
	if o == nil {
		if r != nil && r.inline && !r.tentative {
			b.dropRange(r)
		}
		return
	}
	s := b.holders.Share(o.Share)
	if r != nil && r.tentative && (s == nil || o.Tenure != s.Stamp()) {
		// Not our claim, though it may look alike: an earlier holder's.
		b.TakeOff(r)
		delete(j.ranges, 0)
		r = nil
	}
	if r == nil || r.tentative || r.rec.Share != o.Share {
		// The record may be written again by others, so its stamp does not tell when it was
		// claimed. Claimed in this tenure, by us, and new to us: nothing was started.
		fresh := s != nil && s.Mine() && complete && o.Tenure == s.Stamp()
		b.rangeIs(j, 0, jobs.Range{Share: o.Share, N: o.N}, stamp, fresh)
		j.ranges[0].inline = true
		return
	}
	r.stamp = stamp
}

// RangeRecorded follows a claim. complete tells that all older records are known: a
// range that appears later in a share of ours was claimed in our tenure.
func (b *Books) RangeRecorded(ref string, first int, rec jobs.Range, stamp uint64, complete bool) {
	j := b.jobs[ref]
	if j == nil {
		// Its job is over, or its record comes later in the same reading.
		j = newJob(ref)
		j.over = true
		b.jobs[ref] = j
	}
	s := b.holders.Share(rec.Share)
	// Only the holder of a share writes its ranges, under the share's stamp: one that appears
	// after we took the share was claimed by us and its tasks were never started. Read
	// together with the share (the first load), it was there before: unknown.
	b.rangeIs(j, first, rec, stamp, s != nil && s.Mine() && complete && stamp > s.Stamp())
}

// rangeIs follows a claim; fresh says that, if it is new here, none of its tasks
// was ever started.
func (b *Books) rangeIs(j *Job, first int, rec jobs.Range, stamp uint64, fresh bool) {
	for _, r := range j.ranges {
		// Whichever of the two records of a split comes first.
		if at := r.leaving.First + r.leaving.N; stamp > r.stamp && rec.Share == r.rec.Share &&
			(first == r.first && r.splits(rec.N) || first == r.first+at && r.splits(r.leaving.First) && rec.N == len(r.tasks)-at) {
			b.split(r)
			break
		}
	}
	r := j.ranges[first]
	if r != nil && r.stamp >= stamp {
		return
	}
	s := b.holders.Share(rec.Share)
	if r != nil && r.tentative && (r.rec.Share != rec.Share || r.rec.N != rec.N) {
		// Another claim came first, or an earlier one of ours after all.
		b.TakeOff(r)
		r = nil
	}
	if r == nil || r.rec.Share != rec.Share {
		r = &Range{job: j, first: first, rec: rec, stamp: stamp}
		j.ranges[first] = r
		st := Unknown
		if fresh {
			st = Ready
		}
		r.load(s != nil && s.Mine(), st)
		b.trust(r)
		return
	}
	r.stamp, r.tentative = stamp, false
	b.stopPrey(r)
	if r.tasks != nil && rec.N < len(r.tasks) {
		r.Cut(rec.N)
	}
	r.rec = rec
	b.trust(r)
	r.recDone = rec.Done.Count(rec.N)
	if r.recDone == 0 {
		return
	}
	for i := range r.tasks {
		if rec.Done.Has(i) {
			delete(r.newDone, i)
			r.put(i, Finished, r.tasks[i].slot)
		}
	}
}

// RangeDropped follows the end of a range's record.
func (b *Books) RangeDropped(ref string, first int, stamp uint64) {
	if j := b.jobs[ref]; j != nil {
		if r := j.ranges[first]; r != nil && r.stamp <= stamp {
			if r.splits(0) {
				b.split(r)
			}
			b.dropRange(r)
		}
	}
}

func (b *Books) dropRange(r *Range) {
	b.disownAll(r)
	delete(r.job.ranges, r.first)
	b.forgetOver(r.job)
}

// JobDropped follows the end of a job's record.
func (b *Books) JobDropped(ref string, stamp uint64) {
	if j := b.jobs[ref]; j != nil && j.stamp <= stamp {
		b.End(j)
	}
}

// End follows the end of a job: done or cancelled. Tasks still on machines are stopped;
// the ranges of our shares are still to be dropped.
func (b *Books) End(j *Job) {
	j.over = true
	b.faults.ForgetJob(j.ref)
	b.depend.Over(j.ref)
	for _, r := range j.ranges {
		b.disownAll(r)
	}
	if r := j.ranges[0]; r != nil && r.inline {
		delete(j.ranges, 0) // it has no record of its own
	}
	b.forgetOver(j)
}

func (b *Books) disownAll(r *Range) {
	for i := range r.tasks {
		if s := r.tasks[i].slot; s != nil {
			b.disown(s)
		}
	}
}

// forgetOver forgets a job that is over and of which no range is left.
func (b *Books) forgetOver(j *Job) {
	if j.over && len(j.ranges) == 0 && b.jobs[j.ref] == j {
		delete(b.jobs, j.ref)
	}
}
