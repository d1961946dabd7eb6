package entity

import (
	"time"

	"cherrywall/internal/jobs"
)

// TaskRange is a claimed range of a job's tasks. The state of its tasks is known only if this
// controller owns the shard that claimed the range.
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
	// unclaimInterval is the interval of tasks whose claim is being withdrawn. Its first task is
	// numbered within the range.
	unclaimInterval jobs.TaskInterval
	// pendingPreemptions are assignments of other jobs that are stopped once the claim is durable.
	pendingPreemptions []*Assignment

	recordedDoneCount   int          // number of tasks that the record lists as done
	unrecordedDone      map[int]bool // tasks that are done but not yet recorded as done
	unrecordedSince     time.Time    // second result of UnrecordedDone
	recordWriteInFlight bool         // result of HasWriteInFlight

	hostsWriteInFlight bool // result of HasHostsWriteInFlight
	// uncertainHostsRevision is the revision that the range's record had when a write of the range's
	// gang workers ended with an unknown outcome. Until the record has a new revision, it is not
	// known which workers the record names.
	uncertainHostsRevision uint64
}

type task struct {
	state      TaskState
	assignment *Assignment
}

// NewTaskRange returns a range with a record. The caller has to set its tasks with ResetTasks.
func NewTaskRange(job *Job, first int, record jobs.RangeRecord, revision uint64) *TaskRange {
	return &TaskRange{job: job, first: first, record: record, revision: revision}
}

// NewTentativeTaskRange returns a range whose claim is not durable yet. All its tasks are ready.
func NewTentativeTaskRange(job *Job, first int, record jobs.RangeRecord) *TaskRange {
	r := &TaskRange{job: job, first: first, record: record, tentative: true}
	ResetTasks(r, true, TaskReady)
	return r
}

// Job returns the job that the range's tasks belong to.
func (r *TaskRange) Job() *Job { return r.job }

// First returns the number, within the job, of the range's first task.
func (r *TaskRange) First() int { return r.first }

// Record returns the range's record, for reading only.
func (r *TaskRange) Record() *jobs.RangeRecord { return &r.record }

// Revision returns the revision of the range's record in the key-value store. For an inline claim, it
// returns the revision of the job's record.
func (r *TaskRange) Revision() uint64 { return r.revision }

// IsOwned reports whether this controller owns the range's shard, so that the state of its tasks is
// known.
func (r *TaskRange) IsOwned() bool { return r.tasks != nil }

// Len returns the number of the range's tasks, or 0 if the shard is not owned here.
func (r *TaskRange) Len() int { return len(r.tasks) }

// TaskState returns the state of a task. index is the task's number within the range.
func (r *TaskRange) TaskState(index int) TaskState { return r.tasks[index].state }

// Assignment returns the assignment of a task, or nil if the task has none. index is the task's number
// within the range.
func (r *TaskRange) Assignment(index int) *Assignment { return r.tasks[index].assignment }

// CountTasks returns how many of the range's tasks are in a state.
func (r *TaskRange) CountTasks(state TaskState) int { return r.taskCounts[state] }

// activeTaskCount returns how many tasks are on workers. If the shard is not owned here, all tasks that
// are not recorded as done are counted.
func (r *TaskRange) activeTaskCount() int {
	if !r.IsOwned() {
		return r.UnfinishedCount()
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

// LastPlacedAt returns when a task of the range was last placed on a machine, or zero if none was.
func (r *TaskRange) LastPlacedAt() time.Time { return r.lastPlacedAt }

// IsTentative reports whether the range's claim is not durable yet.
func (r *TaskRange) IsTentative() bool { return r.tentative }

// IsInline reports whether the range's claim is in the job's own record.
func (r *TaskRange) IsInline() bool { return r.inline }

// IsDeleting reports whether a deletion of the range's record is in flight.
func (r *TaskRange) IsDeleting() bool { return r.deleting }

// SetDeleting sets whether a deletion of the range's record is in flight.
func (r *TaskRange) SetDeleting(deleting bool) { r.deleting = deleting }

// Truncate removes all tasks except the first count ones. The removed tasks belong to other ranges
// now.
func (r *TaskRange) Truncate(count int) {
	for i := count; i < len(r.tasks); i++ {
		r.taskCounts[r.tasks[i].state]--
	}
	r.tasks, r.record.Count = r.tasks[:count], count
}

// MarkUnknownReady sets the range's unknown tasks to TaskReady. The caller must be certain that
// these tasks are not on any machine, since they may be started from then on.
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

// ResetTasks clears the state of a range's tasks, and forgets which tasks are done but not recorded as
// done, which claims are being withdrawn, and whether a write is in flight. If the shard is owned here,
// ResetTasks then sets the tasks that are recorded as done to TaskFinished and the others to the given
// state.
func ResetTasks(r *TaskRange, isOwned bool, state TaskState) {
	r.tasks, r.unrecordedDone, r.recordWriteInFlight, r.unclaimInterval = nil, map[int]bool{}, false, jobs.TaskInterval{}
	r.taskCounts = [taskStateCount]int{}
	r.recordedDoneCount = r.record.Done.Count(r.record.Count)
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

// SetTask sets a task's state and assignment. index is the task's number within the range. Every change of a
// task's state goes through SetTask, so that the counts by state are always up to date. The scheduler reads these
// counts, so that its cost does not grow with the number of tasks.
func SetTask(r *TaskRange, index int, state TaskState, assignment *Assignment) {
	r.taskCounts[r.tasks[index].state]--
	r.tasks[index] = task{state: state, assignment: assignment}
	r.taskCounts[state]++
}

// SetInline sets whether a range's claim is in the job's own record.
func SetInline(r *TaskRange, inline bool) { r.inline = inline }

// SetLastPlacedAt sets when a task of a range was last placed.
func SetLastPlacedAt(r *TaskRange, at time.Time) { r.lastPlacedAt = at }

// SetRangeRevision sets the revision of a range's record.
func SetRangeRevision(r *TaskRange, revision uint64) { r.revision = revision }

// ConfirmClaim marks a range's claim as durable and sets its revision.
func ConfirmClaim(r *TaskRange, revision uint64) {
	r.revision, r.tentative = revision, false
}

// SetRangeRecord sets the record of a range whose claim is durable. Tasks beyond the end of the
// recorded range are removed.
func SetRangeRecord(r *TaskRange, record jobs.RangeRecord) {
	if r.tasks != nil && record.Count < len(r.tasks) {
		r.Truncate(record.Count)
	}
	r.record = record
}

// AddPreemption adds an assignment to those that are stopped once a range's tentative claim is durable.
func AddPreemption(r *TaskRange, a *Assignment) {
	a.preemptingClaim = r
	r.pendingPreemptions = append(r.pendingPreemptions, a)
}

// TakePreemptions removes and returns the assignments that a range's claim preempts.
func TakePreemptions(r *TaskRange) []*Assignment {
	preemptions := r.pendingPreemptions
	r.pendingPreemptions = nil
	return preemptions
}
