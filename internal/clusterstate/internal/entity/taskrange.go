package entity

import (
	"time"

	"cherrywall/internal/jobs"
)

// TaskRange is a claimed range of a job's tasks. What its tasks do is known only if this
// controller owns the shard that claimed it.
type TaskRange struct {
	job      *Job
	first    int
	record   jobs.RangeRecord
	revision uint64

	tentative bool // the claim is not durable yet
	inline    bool // the claim is in the job's own record
	deleting  bool // a deletion of the record is in flight

	tasks        []task // nil unless the shard is owned here
	taskCounts   [taskStateCount]int
	lastPlacedAt time.Time
	// unclaiming are the tasks whose claim is being withdrawn, numbered within the range.
	unclaiming jobs.TaskInterval
	// preemptions are assignments of other jobs to be stopped once the claim is durable.
	preemptions []*Assignment

	recordedDone    int          // tasks done by the record
	unrecordedDone  map[int]bool // tasks done and not yet recorded so
	unrecordedSince time.Time
	writeInFlight   bool // a write of this controller that records done tasks

	hostsWriteInFlight bool // a write of the record's gang workers
	// uncertainHostsRevision is the record's revision when a write of its gang workers went
	// unanswered: which workers are recorded is not known until the record has a new revision.
	uncertainHostsRevision uint64
}

type task struct {
	state      TaskState
	assignment *Assignment
}

// NewTaskRange returns a range by its record. Its tasks are to be set by ResetTasks.
func NewTaskRange(job *Job, first int, record jobs.RangeRecord, revision uint64) *TaskRange {
	return &TaskRange{job: job, first: first, record: record, revision: revision}
}

// NewTentativeTaskRange returns a range whose claim is not durable yet. All its tasks are ready.
func NewTentativeTaskRange(job *Job, first int, record jobs.RangeRecord) *TaskRange {
	r := &TaskRange{job: job, first: first, record: record, tentative: true}
	ResetTasks(r, true, TaskReady)
	return r
}

// Job returns the job whose tasks these are.
func (r *TaskRange) Job() *Job { return r.job }

// First returns the number, within the job, of the range's first task.
func (r *TaskRange) First() int { return r.first }

// Record returns the range's record, for reading only.
func (r *TaskRange) Record() *jobs.RangeRecord { return &r.record }

// Revision returns the revision of the range's record in the key-value store; of an inline claim,
// that of the job's record.
func (r *TaskRange) Revision() uint64 { return r.revision }

// IsOwned reports whether the range's tasks are known, since this controller owns its shard.
func (r *TaskRange) IsOwned() bool { return r.tasks != nil }

// Len returns the number of tasks that are known here; 0 if the shard is not owned here.
func (r *TaskRange) Len() int { return len(r.tasks) }

// TaskState returns the state of a task, numbered within the range.
func (r *TaskRange) TaskState(index int) TaskState { return r.tasks[index].state }

// Assignment returns the assignment of a task, numbered within the range; nil if it has none.
func (r *TaskRange) Assignment(index int) *Assignment { return r.tasks[index].assignment }

// CountTasks returns how many of the range's tasks are in a state.
func (r *TaskRange) CountTasks(state TaskState) int { return r.taskCounts[state] }

// activeTasks returns how many tasks are with workers. Of a shard that is not owned here, it is
// all that are not recorded as done.
func (r *TaskRange) activeTasks() int {
	if !r.IsOwned() {
		return r.record.Count - r.recordedDone
	}
	if r.CountTasks(TaskPlaced) == 0 {
		return 0
	}
	count := 0
	for i := range r.tasks {
		if a := r.tasks[i].assignment; a != nil && a.status.Reported {
			count++
		}
	}
	return count
}

// LastPlacedAt returns when a task of the range was last placed on a machine, zero if none was.
func (r *TaskRange) LastPlacedAt() time.Time { return r.lastPlacedAt }

// IsTentative reports whether the range's claim is not durable yet.
func (r *TaskRange) IsTentative() bool { return r.tentative }

// IsInline reports whether the range's claim is in the job's own record.
func (r *TaskRange) IsInline() bool { return r.inline }

// IsDeleting reports whether a deletion of the range's record is in flight.
func (r *TaskRange) IsDeleting() bool { return r.deleting }

// SetDeleting notes whether a deletion of the range's record is in flight.
func (r *TaskRange) SetDeleting(deleting bool) { r.deleting = deleting }

// Truncate keeps the first count tasks; the others belong to other ranges now.
func (r *TaskRange) Truncate(count int) {
	for i := count; i < len(r.tasks); i++ {
		r.taskCounts[r.tasks[i].state]--
	}
	r.tasks, r.record.Count = r.tasks[:count], count
}

// MarkUnknownReady notes that the range's unknown tasks are on no machine, so that they may be
// started.
func (r *TaskRange) MarkUnknownReady() {
	if r.CountTasks(TaskUnknown) == 0 {
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state == TaskUnknown {
			SetTask(r, i, TaskReady, nil)
		}
	}
}

// ResetTasks forgets what is known of a range's tasks. If the shard is owned here, it then sets those
// that are not recorded as done to the given state.
func ResetTasks(r *TaskRange, isOwned bool, state TaskState) {
	r.tasks, r.unrecordedDone, r.writeInFlight, r.unclaiming = nil, map[int]bool{}, false, jobs.TaskInterval{}
	r.taskCounts = [taskStateCount]int{}
	r.recordedDone = r.record.Done.Count(r.record.Count)
	if !isOwned {
		return
	}
	r.tasks = make([]task, r.record.Count)
	r.taskCounts[TaskUnknown] = r.record.Count
	for i := range r.tasks {
		if r.record.Done.Has(i) {
			SetTask(r, i, TaskFinished, nil)
		} else {
			SetTask(r, i, state, nil)
		}
	}
}

// SetTask sets a task's state and assignment. It is the only way a task changes its state, and
// keeps the counts by state up to date: the scheduler reads the counts, so that its cost does not
// grow with the number of tasks.
func SetTask(r *TaskRange, index int, state TaskState, assignment *Assignment) {
	r.taskCounts[r.tasks[index].state]--
	r.tasks[index] = task{state: state, assignment: assignment}
	r.taskCounts[state]++
}

// SetInline notes that a range's claim is in the job's own record.
func SetInline(r *TaskRange, inline bool) { r.inline = inline }

// SetLastPlacedAt notes when a task of a range was placed.
func SetLastPlacedAt(r *TaskRange, at time.Time) { r.lastPlacedAt = at }

// SetRangeRevision sets the revision of a range's record.
func SetRangeRevision(r *TaskRange, revision uint64) { r.revision = revision }

// ConfirmClaim notes that a range's claim is durable.
func ConfirmClaim(r *TaskRange, revision uint64) {
	r.revision, r.tentative = revision, false
}

// SetRangeRecord sets the record of a range whose claim is durable. Tasks beyond its end are
// dropped.
func SetRangeRecord(r *TaskRange, record jobs.RangeRecord) {
	if r.tasks != nil && record.Count < len(r.tasks) {
		r.Truncate(record.Count)
	}
	r.record = record
}

// AddPreemption notes that an assignment is to be stopped once a tentative claim is durable.
func AddPreemption(r *TaskRange, a *Assignment) {
	a.preemptedFor = r
	r.preemptions = append(r.preemptions, a)
}

// TakePreemptions removes and returns the assignments that a range's claim is to preempt.
func TakePreemptions(r *TaskRange) []*Assignment {
	preemptions := r.preemptions
	r.preemptions = nil
	return preemptions
}
