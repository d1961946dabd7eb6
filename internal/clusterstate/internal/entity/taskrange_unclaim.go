package entity

import "cherrywall/internal/jobs"

// BeginUnclaim sets count tasks, beginning with number first within the range, to TaskUnclaiming, so that
// they are not started while their claim is being withdrawn. When the withdrawal is durable, the tasks
// after them become a separate range.
func (r *TaskRange) BeginUnclaim(first, count int) {
	for i := first; i < first+count; i++ {
		SetTask(r, i, TaskUnclaiming, nil)
	}
	r.unclaimInterval = jobs.TaskInterval{First: first, Count: count}
}

// CancelUnclaim makes tasks ready again because their claim was not withdrawn. If the shard was
// lost and acquired again since BeginUnclaim, the tasks are unknown instead of unclaiming, and stay
// unknown.
func (r *TaskRange) CancelUnclaim(first, count int) {
	r.unclaimInterval = jobs.TaskInterval{}
	for i := first; i < first+count && i < len(r.tasks); i++ {
		if r.tasks[i].state == TaskUnclaiming {
			SetTask(r, i, TaskReady, nil)
		}
	}
}

// Subrange returns the record of a range that consists of count tasks, beginning with number first
// within this range.
func (r *TaskRange) Subrange(first, count int) jobs.RangeRecord {
	record := r.record
	record.Count, record.Done = count, nil
	var doneIndexes []int
	for i := range count {
		if r.record.Done.Has(first + i) {
			doneIndexes = append(doneIndexes, i)
		}
	}
	if len(doneIndexes) > 0 {
		record.Done = record.Done.With(doneIndexes...)
	}
	return record
}

// firstAfterUnclaimed returns the number, within the range, of the first task after the tasks whose
// claim is being withdrawn.
func (r *TaskRange) firstAfterUnclaimed() int {
	return r.unclaimInterval.First + r.unclaimInterval.Count
}

// IsSplitAt reports whether a record that ends the range after count tasks shows that a split of the
// range, written by this controller, is durable.
func IsSplitAt(r *TaskRange, count int) bool {
	return r != nil && r.tasks != nil && r.unclaimInterval.Count > 0 &&
		count == r.unclaimInterval.First && r.firstAfterUnclaimed() < len(r.tasks)
}

// IsSplitBy reports whether a range record shows that a split of the range is durable. It may be the
// record of the tasks before the unclaimed ones or the record of the tasks after them, whichever arrives
// first.
func IsSplitBy(r *TaskRange, first int, record jobs.RangeRecord, revision uint64) bool {
	if revision <= r.revision || record.Shard != r.record.Shard {
		return false
	}
	if first == r.first {
		return IsSplitAt(r, record.Count)
	}
	tailStart := r.firstAfterUnclaimed()
	isTail := first == r.first+tailStart && record.Count == len(r.tasks)-tailStart
	return isTail && IsSplitAt(r, r.unclaimInterval.First)
}

// Split divides a range whose tasks in the middle were unclaimed. The tasks after them become a
// separate range. Some of these tasks may be on machines.
func Split(r *TaskRange) {
	tailStart := r.firstAfterUnclaimed()
	tail := &TaskRange{job: r.job, first: r.first + tailStart, record: r.Subrange(tailStart, len(r.tasks)-tailStart), lastPlacedAt: r.lastPlacedAt}
	ResetTasks(tail, true, TaskUnknown)
	for i := range tail.tasks {
		movedTask := r.tasks[tailStart+i]
		SetTask(tail, i, movedTask.state, movedTask.assignment)
		if movedTask.assignment != nil {
			movedTask.assignment.taskRange, movedTask.assignment.index = tail, i
		}
		if r.unrecordedDone[tailStart+i] {
			delete(r.unrecordedDone, tailStart+i)
			tail.unrecordedDone[i] = true
			tail.unrecordedSince = r.unrecordedSince
		}
	}
	r.Truncate(r.unclaimInterval.First)
	r.unclaimInterval = jobs.TaskInterval{}
	AddTaskRange(tail)
}
