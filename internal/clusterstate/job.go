package clusterstate

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// TaskState is what is known of a task of a range held here.
type TaskState uint8

// The states of tasks.
const (
	TaskUnknown    TaskState = iota // taken over, not accounted for yet
	TaskReady                       // on no machine, may be started
	TaskPlaced                      // has a slot on a machine
	TaskFinished                    // done
	TaskUnclaiming                  // being given back to all shares
)

type task struct {
	state      TaskState
	assignment *Assignment
}

// Job is an unfinished job, or one that is over while its ranges still exist.
type Job struct {
	record        jobs.JobRecord
	revision      uint64
	ref           string
	need          capacity.Resources
	ended         bool
	ranges        map[int]*TaskRange
	knownSince    time.Time
	inTransaction bool // a transaction of ours on this job is under way
	// awaitedRevision is the revision at which a transaction of ours on the job was refused: what
	// has changed is not known here before the watch has reached it.
	awaitedRevision uint64
	gang            gangAttempt
	dependencyNode  *jobdag.Node // nil: it has nothing to do with other jobs
	priority        jobs.Priority
	ownDeadlines    jobdag.Deadlines // without inherited ones, see Deadlines
	blocked         bool             // for other jobs, as last looked at
	gangPlannedAt   time.Time        // since when the gang's plan waits for room
	background      bool
	bestEffort      bool
}

// gangAttempt is one try of a gang: one attempt number for all its tasks.
type gangAttempt struct {
	attempt uint64
	started bool // some task was told to start
	failed  bool // the try has failed; its tasks have to go before the next
}

// TaskRange is a claimed run of a job's tasks; what its tasks do is known only if its share
// is held here.
type TaskRange struct {
	job                *Job
	first              int
	record             jobs.RangeRecord
	revision           uint64
	tasks              []task                  // nil unless the share is ours
	taskCounts         [TaskUnclaiming + 1]int // tasks by state, kept up by put: see there
	recordedDone       int                     // tasks done as recorded
	unrecordedDone     map[int]bool
	unrecordedSince    time.Time
	writeInFlight      bool      // a write of ours that tells of done tasks is under way
	tentative          bool      // its claim is not durable yet
	lastPlacedAt       time.Time // the last time one of its tasks was
	deleting           bool
	inline             bool              // the claim is in the job's own record
	hostsWriteInFlight bool              // a write of its mark is under way
	unclaiming         jobs.TaskInterval // of its tasks, being given back; see Leave
	preemptions        []*Assignment     // tasks to be stopped once its claim is durable
	// uncertainHostsRevision is the stamp at which a write of its mark went without an answer: which mark
	// holds is not known until the record has another one.
	uncertainHostsRevision uint64
}

// Ref is the job's name.
func (j *Job) Ref() string { return j.ref }

// Record is its record, for reading; until its share of the records was read, empty.
func (j *Job) Record() *jobs.JobRecord { return &j.record }

// HasRecord tells whether its record is known, and not only a range of it.
func (j *Job) HasRecord() bool { return j.record.Ref != "" }

// Revision is the record's.
func (j *Job) Revision() uint64 { return j.revision }

// Need is what one of its tasks takes.
func (j *Job) Need() capacity.Resources { return j.need }

// HasEnded tells whether it is done or cancelled.
func (j *Job) HasEnded() bool { return j.ended }

// KnownSince is when it became known here.
func (j *Job) KnownSince() time.Time { return j.knownSince }

// IsBackground tells whether it gets only what is left over: an array of the lowest
// priority of which nothing is asked.
func (j *Job) IsBackground() bool { return j.background }

// IsBestEffort tells whether a background job is no reason to have any but cheap machines.
// It is lent room in the others as long as they are there for other work, and leaves
// those that are to be returned. It is not forgotten: after a while it counts like any
// other.
func (j *Job) IsBestEffort() bool { return j.bestEffort }

// Priority is the highest of its own and those of the jobs that need it.
func (j *Job) Priority() jobs.Priority { return j.priority }

// IsBlocked tells whether it may not run now: it waits for others, or can never run since one of
// them is cancelled. No part of a limit, a guarantee, a count or a claim is for it then.
func (j *Job) IsBlocked() bool { return j.dependencyNode.IsBlocked() }

// IsCancelledByDependency tells whether one that it needs, directly or through others, is cancelled: so is it.
func (j *Job) IsCancelledByDependency() bool { return j.dependencyNode.IsCancelledByDependency() }

// DependencyNode is what it has to do with other jobs, nil for nothing.
func (j *Job) DependencyNode() *jobdag.Node { return j.dependencyNode }

// Deadlines are the times (Unix ms) by which it should be done for the sake of itself and of those
// behind it.
func (j *Job) Deadlines() jobdag.Deadlines {
	if j.dependencyNode == nil {
		return j.ownDeadlines
	}
	return j.dependencyNode.Deadlines()
}

// RunnableSinceMS is the time of day (Unix ms) from which on it could have run: that of its
// acceptance, or when the last job was done that it waited for.
func (j *Job) RunnableSinceMS() int64 {
	if ready := j.dependencyNode.ReadyAt(); !ready.IsZero() {
		return max(j.record.AcceptedAtMS, ready.UnixMilli())
	}
	return j.record.RunnableSinceMS()
}

// RecordWithoutDependencies is its record without the jobs that it waited for, all of which are done: what a
// write says that is made now.
func (j *Job) RecordWithoutDependencies() jobs.JobRecord {
	return j.record.WithDependenciesDone(time.UnixMilli(j.RunnableSinceMS()))
}

// Age is the time since it could have run.
func (j *Job) Age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-j.RunnableSinceMS()) * time.Millisecond
}

func (j *Job) mayWaitForSpot(now time.Time, spot bool) bool {
	return j.background && j.record.Spot && spot && j.Age(now) < tuning.BackgroundSpotOnlyPeriod
}

// TaskRanges are its claimed ranges, in no order.
func (j *Job) TaskRanges() iter.Seq[*TaskRange] { return maps.Values(j.ranges) }

// TaskRange is the one that begins with a task, nil if there is none.
func (j *Job) TaskRange(first int) *TaskRange { return j.ranges[first] }

// HasReadyTasks tells whether some of its claimed tasks are ready for a place.
func (j *Job) HasReadyTasks() bool {
	for _, r := range j.ranges {
		if r.taskCounts[TaskReady] > 0 {
			return true
		}
	}
	return false
}

// OpenTasks is how many of its tasks are claimed and not done, in all shares.
func (j *Job) OpenTasks() int {
	n := 0
	for _, r := range j.ranges {
		n += r.record.Count - r.DoneTasks()
	}
	return n
}

// Progress is how many of its tasks are done, and how many are with workers.
func (j *Job) Progress() (done, active int) {
	done = j.record.Completed
	for _, r := range j.ranges {
		if r.tentative {
			continue
		}
		done += r.recordedDone
		if r.tasks == nil {
			active += r.record.Count - r.recordedDone
			continue
		}
		if r.taskCounts[TaskPlaced] == 0 {
			continue
		}
		for i := range r.tasks {
			if s := r.tasks[i].assignment; s != nil && s.status.Reported {
				active++
			}
		}
	}
	return done, active
}

// CanWriteAt tells whether no transaction of ours on it is under way, and what was refused
// lately is explained by what the watch, at a revision, has told.
func (j *Job) CanWriteAt(revision uint64) bool {
	return !j.inTransaction && j.awaitedRevision <= revision
}

// InTransaction tells whether a transaction of ours on it is under way.
func (j *Job) InTransaction() bool { return j.inTransaction }

// BeginTransaction notes that a transaction on it begins.
func (j *Job) BeginTransaction() { j.inTransaction = true }

// EndTransaction notes how it ended. Made again before the watch had told what has changed, it
// failed again and again: each gang that two controllers claimed at the same moment cost
// six requests and twelve changes for nothing.
func (j *Job) EndTransaction(res kvstore.TxnResult, err error) {
	j.inTransaction = false
	if err == nil && !res.Succeeded {
		j.awaitedRevision = max(j.awaitedRevision, res.Revision)
	}
}

// Job is whose tasks they are.
func (r *TaskRange) Job() *Job { return r.job }

// First is the number of its first task.
func (r *TaskRange) First() int { return r.first }

// Record is what is recorded of it, for reading.
func (r *TaskRange) Record() *jobs.RangeRecord { return &r.record }

// Revision is the record's; of an inline claim, the job's.
func (r *TaskRange) Revision() uint64 { return r.revision }

// IsOwned tells whether its tasks are known: its share is held here.
func (r *TaskRange) IsOwned() bool { return r.tasks != nil }

// TaskState is a task's.
func (r *TaskRange) TaskState(i int) TaskState { return r.tasks[i].state }

// Assignment is a task's, nil if it has none.
func (r *TaskRange) Assignment(i int) *Assignment { return r.tasks[i].assignment }

// CountTasks is how many tasks are in a state.
func (r *TaskRange) CountTasks(state TaskState) int { return r.taskCounts[state] }

// DoneTasks is how many of its tasks are done, recorded or not.
func (r *TaskRange) DoneTasks() int { return r.recordedDone + len(r.unrecordedDone) }

// IsComplete tells whether all are.
func (r *TaskRange) IsComplete() bool { return r.DoneTasks() == r.record.Count }

// UnrecordedDone is how many are done without being recorded, and since when the first.
func (r *TaskRange) UnrecordedDone() (n int, since time.Time) {
	return len(r.unrecordedDone), r.unrecordedSince
}

// IsTentative tells whether its claim is not durable yet.
func (r *TaskRange) IsTentative() bool { return r.tentative }

// IsInline tells whether its claim is in the job's own record.
func (r *TaskRange) IsInline() bool { return r.inline }

// HasWriteInFlight tells whether a write of ours on it is under way.
func (r *TaskRange) HasWriteInFlight() bool { return r.writeInFlight }

// IsDeleting tells whether its record is being dropped.
func (r *TaskRange) IsDeleting() bool { return r.deleting }

// SetDeleting notes that, or that it no longer is.
func (r *TaskRange) SetDeleting(on bool) { r.deleting = on }

// BeginWrite notes that a write of ours on it begins.
func (r *TaskRange) BeginWrite() { r.writeInFlight = true }

// EndWrite notes that it has ended.
func (r *TaskRange) EndWrite() { r.writeInFlight = false }

// EndDoneWrite notes that a write that told of done tasks has ended.
func (r *TaskRange) EndDoneWrite() {
	r.writeInFlight, r.unrecordedSince = false, time.Now()
	if len(r.unrecordedDone) == 0 {
		r.unrecordedSince = time.Time{}
	}
}

// UnrecordedDoneTasks are the names of those.
func (r *TaskRange) UnrecordedDoneTasks() []string {
	var out []string
	for i := range r.unrecordedDone {
		out = append(out, jobs.TaskName(r.job.ref, r.first+i))
	}
	return out
}

// RecordWithDone is its record with all that is known to be done.
func (r *TaskRange) RecordWithDone() jobs.RangeRecord {
	var places []int
	for i := range r.unrecordedDone {
		places = append(places, i)
	}
	rec := r.record
	rec.Done = rec.Done.With(places...)
	return rec
}

// IsCurrentTaskRange tells whether it is still its job's, which is not over.
func (b *State) IsCurrentTaskRange(r *TaskRange) bool {
	return r.job.ranges[r.first] == r && b.jobs[r.job.ref] == r.job && !r.job.ended
}

// LastPlacedAt is when one of its tasks last found a place, zero if none has.
func (r *TaskRange) LastPlacedAt() time.Time { return r.lastPlacedAt }

// Len is the number of its tasks that are known here.
func (r *TaskRange) Len() int { return len(r.tasks) }

func (r *TaskRange) reset(mine bool, state TaskState) {
	r.tasks, r.unrecordedDone, r.writeInFlight, r.unclaiming = nil, map[int]bool{}, false, jobs.TaskInterval{}
	r.taskCounts = [TaskUnclaiming + 1]int{}
	r.recordedDone = r.record.Done.Count(r.record.Count)
	if !mine {
		return
	}
	r.tasks = make([]task, r.record.Count)
	r.taskCounts[TaskUnknown] = r.record.Count
	for i := range r.tasks {
		if r.record.Done.Has(i) {
			r.setTask(i, TaskFinished, nil)
		} else {
			r.setTask(i, state, nil)
		}
	}
}

// setTask is the only way a task changes state: decisions look at the counts, so that their
// cost does not follow the number of tasks.
func (r *TaskRange) setTask(i int, state TaskState, s *Assignment) {
	r.taskCounts[r.tasks[i].state]--
	r.tasks[i] = task{state: state, assignment: s}
	r.taskCounts[state]++
}

// Truncate keeps the first n tasks; the others belong to other ranges now.
func (r *TaskRange) Truncate(n int) {
	for i := n; i < len(r.tasks); i++ {
		r.taskCounts[r.tasks[i].state]--
	}
	r.tasks, r.record.Count = r.tasks[:n], n
}

// MarkUnknownReady notes that its unknown tasks are on no machine.
func (r *TaskRange) MarkUnknownReady() {
	if r.taskCounts[TaskUnknown] == 0 {
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state == TaskUnknown {
			r.setTask(i, TaskReady, nil)
		}
	}
}

// BeginUnclaim keeps n tasks from the k-th on from being started: they are being given back, and those
// behind them become a range of their own, should that be written.
func (r *TaskRange) BeginUnclaim(k, n int) {
	for i := k; i < k+n; i++ {
		r.setTask(i, TaskUnclaiming, nil)
	}
	r.unclaiming = jobs.TaskInterval{First: k, Count: n}
}

// Subrange is the record of n of its tasks from the k-th on, as a range.
func (r *TaskRange) Subrange(k, n int) jobs.RangeRecord {
	part := r.record
	part.Count, part.Done = n, nil
	var done []int
	for i := range n {
		if r.record.Done.Has(k + i) {
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
func (b *State) split(r *TaskRange) {
	at := r.unclaiming.First + r.unclaiming.Count
	behind := &TaskRange{job: r.job, first: r.first + at, record: r.Subrange(at, len(r.tasks)-at), unrecordedDone: map[int]bool{}, lastPlacedAt: r.lastPlacedAt}
	behind.reset(true, TaskUnknown)
	for i := range behind.tasks {
		t := r.tasks[at+i]
		behind.setTask(i, t.state, t.assignment)
		if t.assignment != nil {
			t.assignment.taskRange, t.assignment.index = behind, i
		}
		if r.unrecordedDone[at+i] {
			delete(r.unrecordedDone, at+i)
			behind.unrecordedDone[i] = true
			behind.unrecordedSince = r.unrecordedSince
		}
	}
	r.Truncate(r.unclaiming.First)
	r.unclaiming = jobs.TaskInterval{}
	r.job.ranges[behind.first] = behind
}

// isSplitAt tells whether the record of a range's beginning tells that its range was split, of which
// the write is ours.
func (r *TaskRange) isSplitAt(n int) bool {
	return r != nil && r.tasks != nil && r.unclaiming.Count > 0 && n == r.unclaiming.First && r.unclaiming.First+r.unclaiming.Count < len(r.tasks)
}

// CancelUnclaim makes n tasks from the k-th on, that were to be given back, ready again. Those of
// a share that was lost and taken back meanwhile are no longer leaving but unknown.
func (r *TaskRange) CancelUnclaim(k, n int) {
	r.unclaiming = jobs.TaskInterval{}
	for i := k; i < k+n && i < len(r.tasks); i++ {
		if r.tasks[i].state == TaskUnclaiming {
			r.setTask(i, TaskReady, nil)
		}
	}
}
