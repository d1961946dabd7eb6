package books

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// TaskState is what is known of a task of a range held here.
type TaskState uint8

// The states of tasks.
const (
	Unknown  TaskState = iota // taken over, not accounted for yet
	Ready                     // on no machine, may be started
	Placed                    // has a slot on a machine
	Finished                  // done
	Leaving                   // being given back to all shares
)

type task struct {
	st   TaskState
	slot *Slot
}

// Job is an unfinished job, or one that is over while its ranges still exist.
type Job struct {
	rec    jobs.Record
	stamp  uint64
	ref    string
	need   capacity.Vec
	over   bool
	ranges map[int]*Range
	seen   time.Time
	busy   bool // a transaction of ours on this job is under way
	// behind is the revision at which a transaction of ours on the job was refused: what
	// has changed is not known here before the watch has reached it.
	behind     uint64
	gang       gangRun
	node       *depend.Node // nil: it has nothing to do with other jobs
	prio       jobs.Priority
	due        [2]int64  // Unix ms, its own; see By
	waits      bool      // for other jobs, as last looked at
	planned    time.Time // since when the gang's plan waits for room
	background bool
	leftover   bool
}

// gangRun is one try of a gang: one attempt number for all its tasks.
type gangRun struct {
	try     uint64
	started bool // some task was told to start
	broken  bool // the try has failed; its tasks have to go before the next
}

// Range is a claimed run of a job's tasks; what its tasks do is known only if its share
// is held here.
type Range struct {
	job       *Job
	first     int
	rec       jobs.Range
	stamp     uint64
	tasks     []task           // nil unless the share is ours
	count     [Leaving + 1]int // tasks by state, kept up by put: see there
	recDone   int              // tasks done as recorded
	newDone   map[int]bool
	doneSince time.Time
	writing   bool      // a write of ours that tells of done tasks is under way
	tentative bool      // its claim is not durable yet
	placed    time.Time // the last time one of its tasks was
	dropping  bool
	inline    bool      // the claim is in the job's own record
	marking   bool      // a write of its mark is under way
	leaving   jobs.Span // of its tasks, being given back; see Leave
	prey      []*Slot   // tasks to be stopped once its claim is durable
	// doubt is the stamp at which a write of its mark went without an answer: which mark
	// holds is not known until the record has another one.
	doubt uint64
}

// Ref is the job's name.
func (j *Job) Ref() string { return j.ref }

// Rec is its record, for reading; until its share of the records was read, empty.
func (j *Job) Rec() *jobs.Record { return &j.rec }

// Recorded tells whether its record is known, and not only a range of it.
func (j *Job) Recorded() bool { return j.rec.Ref != "" }

// Stamp is the record's.
func (j *Job) Stamp() uint64 { return j.stamp }

// Need is what one of its tasks takes.
func (j *Job) Need() capacity.Vec { return j.need }

// Over tells whether it is done or cancelled.
func (j *Job) Over() bool { return j.over }

// Seen is when it became known here.
func (j *Job) Seen() time.Time { return j.seen }

// Background tells whether it gets only what is left over: an array of the lowest
// priority of which nothing is asked.
func (j *Job) Background() bool { return j.background }

// Leftover tells whether a background job is no reason to have any but cheap machines.
// It is lent room in the others as long as they are there for other work, and leaves
// those that are to be returned. It is not forgotten: after a while it counts like any
// other.
func (j *Job) Leftover() bool { return j.leftover }

// Priority is the highest of its own and those of the jobs that need it.
func (j *Job) Priority() jobs.Priority { return j.prio }

// Waits tells whether it may not run now: it waits for others, or can never run since one of
// them is cancelled. No part of a limit, a guarantee, a count or a claim is for it then.
func (j *Job) Waits() bool { return j.node.Waits() }

// Dead tells whether one that it needs, directly or through others, is cancelled: so is it.
func (j *Job) Dead() bool { return j.node.Dead() }

// Node is what it has to do with other jobs, nil for nothing.
func (j *Job) Node() *depend.Node { return j.node }

// By are the times (Unix ms) by which it should be done for the sake of itself and of those
// behind it, see depend.Node.
func (j *Job) By() [2]int64 {
	if j.node == nil {
		return j.due
	}
	return j.node.By()
}

// SinceMS is the time of day (Unix ms) from which on it could have run: that of its
// acceptance, or when the last job was done that it waited for.
func (j *Job) SinceMS() int64 {
	if ready := j.node.Ready(); !ready.IsZero() {
		return max(j.rec.AcceptedMS, ready.UnixMilli())
	}
	return j.rec.SinceMS()
}

// Freed is its record without the jobs that it waited for, all of which are done: what a
// write says that is made now.
func (j *Job) Freed() jobs.Record { return j.rec.Freed(time.UnixMilli(j.SinceMS())) }

// Age is the time since it could have run.
func (j *Job) Age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-j.SinceMS()) * time.Millisecond
}

func (j *Job) mayWaitForCheap(now time.Time, spot bool) bool {
	return j.background && j.rec.Spot && spot && j.Age(now) < tuning.BackgroundPatience
}

// Ranges are its claimed ranges, in no order.
func (j *Job) Ranges() iter.Seq[*Range] { return maps.Values(j.ranges) }

// Range is the one that begins with a task, nil if there is none.
func (j *Job) Range(first int) *Range { return j.ranges[first] }

// HasReady tells whether some of its claimed tasks are ready for a place.
func (j *Job) HasReady() bool {
	for _, r := range j.ranges {
		if r.count[Ready] > 0 {
			return true
		}
	}
	return false
}

// Open is how many of its tasks are claimed and not done, in all shares.
func (j *Job) Open() int {
	n := 0
	for _, r := range j.ranges {
		n += r.rec.N - r.Done()
	}
	return n
}

// Progress is how many of its tasks are done, and how many are with workers.
func (j *Job) Progress() (done, active int) {
	done = j.rec.Completed
	for _, r := range j.ranges {
		if r.tentative {
			continue
		}
		done += r.recDone
		if r.tasks == nil {
			active += r.rec.N - r.recDone
			continue
		}
		if r.count[Placed] == 0 {
			continue
		}
		for i := range r.tasks {
			if s := r.tasks[i].slot; s != nil && s.is.Seen {
				active++
			}
		}
	}
	return done, active
}

// Free tells whether no transaction of ours on it is under way, and what was refused
// lately is explained by what the watch, at a revision, has told.
func (j *Job) Free(revision uint64) bool { return !j.busy && j.behind <= revision }

// Busy tells whether a transaction of ours on it is under way.
func (j *Job) Busy() bool { return j.busy }

// Begin notes that a transaction on it begins.
func (j *Job) Begin() { j.busy = true }

// End notes how it ended. Made again before the watch had told what has changed, it
// failed again and again: each gang that two controllers claimed at the same moment cost
// six requests and twelve changes for nothing.
func (j *Job) End(res state.Result, err error) {
	j.busy = false
	if err == nil && !res.OK {
		j.behind = max(j.behind, res.Epoch)
	}
}

// Job is whose tasks they are.
func (r *Range) Job() *Job { return r.job }

// First is the number of its first task.
func (r *Range) First() int { return r.first }

// Rec is what is recorded of it, for reading.
func (r *Range) Rec() *jobs.Range { return &r.rec }

// Stamp is the record's; of an inline claim, the job's.
func (r *Range) Stamp() uint64 { return r.stamp }

// Here tells whether its tasks are known: its share is held here.
func (r *Range) Here() bool { return r.tasks != nil }

// State is a task's.
func (r *Range) State(i int) TaskState { return r.tasks[i].st }

// Slot is a task's, nil if it has none.
func (r *Range) Slot(i int) *Slot { return r.tasks[i].slot }

// Count is how many tasks are in a state.
func (r *Range) Count(st TaskState) int { return r.count[st] }

// Done is how many of its tasks are done, recorded or not.
func (r *Range) Done() int { return r.recDone + len(r.newDone) }

// Whole tells whether all are.
func (r *Range) Whole() bool { return r.Done() == r.rec.N }

// Untold is how many are done without being recorded, and since when the first.
func (r *Range) Untold() (n int, since time.Time) { return len(r.newDone), r.doneSince }

// Tentative tells whether its claim is not durable yet.
func (r *Range) Tentative() bool { return r.tentative }

// Inline tells whether its claim is in the job's own record.
func (r *Range) Inline() bool { return r.inline }

// Writing tells whether a write of ours on it is under way.
func (r *Range) Writing() bool { return r.writing }

// Dropping tells whether its record is being dropped.
func (r *Range) Dropping() bool { return r.dropping }

// Drops notes that, or that it no longer is.
func (r *Range) Drops(on bool) { r.dropping = on }

// Writes notes that a write of ours on it begins.
func (r *Range) Writes() { r.writing = true }

// Written notes that it has ended.
func (r *Range) Written() { r.writing = false }

// Told notes that a write that told of done tasks has ended.
func (r *Range) Told() {
	r.writing, r.doneSince = false, time.Now()
	if len(r.newDone) == 0 {
		r.doneSince = time.Time{}
	}
}

// UntoldTasks are the names of those.
func (r *Range) UntoldTasks() []string {
	var out []string
	for i := range r.newDone {
		out = append(out, jobs.TaskName(r.job.ref, r.first+i))
	}
	return out
}

// DoneRecord is its record with all that is known to be done.
func (r *Range) DoneRecord() jobs.Range {
	var places []int
	for i := range r.newDone {
		places = append(places, i)
	}
	rec := r.rec
	rec.Done = rec.Done.With(places...)
	return rec
}

// Current tells whether it is still its job's, which is not over.
func (b *Books) Current(r *Range) bool {
	return r.job.ranges[r.first] == r && b.jobs[r.job.ref] == r.job && !r.job.over
}

// LastPlaced is when one of its tasks last found a place, zero if none has.
func (r *Range) LastPlaced() time.Time { return r.placed }

// Len is the number of its tasks that are known here.
func (r *Range) Len() int { return len(r.tasks) }

func (r *Range) load(mine bool, st TaskState) {
	r.tasks, r.newDone, r.writing, r.leaving = nil, map[int]bool{}, false, jobs.Span{}
	r.count = [Leaving + 1]int{}
	r.recDone = r.rec.Done.Count(r.rec.N)
	if !mine {
		return
	}
	r.tasks = make([]task, r.rec.N)
	r.count[Unknown] = r.rec.N
	for i := range r.tasks {
		if r.rec.Done.Has(i) {
			r.put(i, Finished, nil)
		} else {
			r.put(i, st, nil)
		}
	}
}

// put is the only way a task changes state: decisions look at the counts, so that their
// cost does not follow the number of tasks.
func (r *Range) put(i int, st TaskState, s *Slot) {
	r.count[r.tasks[i].st]--
	r.tasks[i] = task{st: st, slot: s}
	r.count[st]++
}

// Cut keeps the first n tasks; the others belong to other ranges now.
func (r *Range) Cut(n int) {
	for i := n; i < len(r.tasks); i++ {
		r.count[r.tasks[i].st]--
	}
	r.tasks, r.rec.N = r.tasks[:n], n
}

// Nowhere notes that its unknown tasks are on no machine.
func (r *Range) Nowhere() {
	if r.count[Unknown] == 0 {
		return
	}
	for i := range r.tasks {
		if r.tasks[i].st == Unknown {
			r.put(i, Ready, nil)
		}
	}
}

// Leave keeps n tasks from the k-th on from being started: they are being given back, and those
// behind them become a range of their own, should that be written.
func (r *Range) Leave(k, n int) {
	for i := k; i < k+n; i++ {
		r.put(i, Leaving, nil)
	}
	r.leaving = jobs.Span{First: k, N: n}
}

// Part is the record of n of its tasks from the k-th on, as a range.
func (r *Range) Part(k, n int) jobs.Range {
	part := r.rec
	part.N, part.Done = n, nil
	var done []int
	for i := range n {
		if r.rec.Done.Has(k + i) {
			done = append(done, i)
		}
	}
	if len(done) > 0 {
		part.Done = part.Done.With(done...)
	}
	return part
}

// split follows, in the books, that tasks from the middle were given back: what was behind them, on
// machines perhaps, is the range of that record now.
func (b *Books) split(r *Range) {
	at := r.leaving.First + r.leaving.N
	behind := &Range{job: r.job, first: r.first + at, rec: r.Part(at, len(r.tasks)-at), newDone: map[int]bool{}, placed: r.placed}
	behind.load(true, Unknown)
	for i := range behind.tasks {
		t := r.tasks[at+i]
		behind.put(i, t.st, t.slot)
		if t.slot != nil {
			t.slot.r, t.slot.i = behind, i
		}
		if r.newDone[at+i] {
			delete(r.newDone, at+i)
			behind.newDone[i] = true
			behind.doneSince = r.doneSince
		}
	}
	r.Cut(r.leaving.First)
	r.leaving = jobs.Span{}
	r.job.ranges[behind.first] = behind
}

// splits tells whether the record of a range's beginning tells that its range was split, of which
// the write is ours.
func (r *Range) splits(n int) bool {
	return r != nil && r.tasks != nil && r.leaving.N > 0 && n == r.leaving.First && r.leaving.First+r.leaving.N < len(r.tasks)
}

// Stay makes n tasks from the k-th on, that were to be given back, ready again. Those of
// a share that was lost and taken back meanwhile are no longer leaving but unknown.
func (r *Range) Stay(k, n int) {
	r.leaving = jobs.Span{}
	for i := k; i < k+n && i < len(r.tasks); i++ {
		if r.tasks[i].st == Leaving {
			r.put(i, Ready, nil)
		}
	}
}
