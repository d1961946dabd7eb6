package entity

import "cherrywall/internal/jobs"

// BeginUnclaim keeps count tasks, beginning with first within the range, from being started, since
// their claim is being withdrawn. When that is durable, the tasks behind them become a range of
// their own.
func (r *TaskRange) BeginUnclaim(first, count int) {
	for i := first; i < first+count; i++ {
		SetTask(r, i, TaskUnclaiming, nil)
	}
	r.unclaiming = jobs.TaskInterval{First: first, Count: count}
}

// CancelUnclaim makes tasks ready again whose claim was not withdrawn. If the shard was lost and
// acquired again meanwhile, its tasks are no longer unclaiming but unknown, and stay so.
func (r *TaskRange) CancelUnclaim(first, count int) {
	r.unclaiming = jobs.TaskInterval{}
	for i := first; i < first+count && i < len(r.tasks); i++ {
		if r.tasks[i].state == TaskUnclaiming {
			SetTask(r, i, TaskReady, nil)
		}
	}
}

// Subrange returns the record of count tasks, beginning with first within the range, as a range.
func (r *TaskRange) Subrange(first, count int) jobs.RangeRecord {
	record := r.record
	record.Count, record.Done = count, nil
	var done []int
	for i := range count {
		if r.record.Done.Has(first + i) {
			done = append(done, i)
		}
	}
	if len(done) > 0 {
		record.Done = record.Done.With(done...)
	}
	return record
}

// behindUnclaimed returns the number, within the range, of the first task behind those whose claim
// is being withdrawn.
func (r *TaskRange) behindUnclaimed() int { return r.unclaiming.First + r.unclaiming.Count }

// IsSplitAt reports whether a record that ends the range before a task shows that a split of the
// range, written by this controller, is durable.
func IsSplitAt(r *TaskRange, count int) bool {
	return r != nil && r.tasks != nil && r.unclaiming.Count > 0 &&
		count == r.unclaiming.First && r.behindUnclaimed() < len(r.tasks)
}

// IsSplitBy reports whether a range record shows that a split of the range is durable: it is the
// record of what is left before the unclaimed tasks, or of what is behind them, whichever is seen
// first.
func IsSplitBy(r *TaskRange, first int, record jobs.RangeRecord, revision uint64) bool {
	if revision <= r.revision || record.Shard != r.record.Shard {
		return false
	}
	if first == r.first {
		return IsSplitAt(r, record.Count)
	}
	behind := r.behindUnclaimed()
	isRestBehind := first == r.first+behind && record.Count == len(r.tasks)-behind
	return isRestBehind && IsSplitAt(r, r.unclaiming.First)
}

// Split divides a range whose tasks in the middle were unclaimed. The tasks behind them, some of
// which may be on machines, become a range of their own.
func Split(r *TaskRange) {
	at := r.behindUnclaimed()
	behind := &TaskRange{job: r.job, first: r.first + at, record: r.Subrange(at, len(r.tasks)-at), lastPlacedAt: r.lastPlacedAt}
	ResetTasks(behind, true, TaskUnknown)
	for i := range behind.tasks {
		t := r.tasks[at+i]
		SetTask(behind, i, t.state, t.assignment)
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
	AddTaskRange(behind)
}
