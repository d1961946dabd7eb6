package entity

import (
	"time"

	"cherrywall/internal/jobs"
)

// DoneTaskCount returns how many of the range's tasks are done, whether recorded as done or not.
func (r *TaskRange) DoneTaskCount() int { return r.recordedDoneCount + len(r.unrecordedDone) }

// UnfinishedCount returns how many of the range's tasks its record does not list as done.
func (r *TaskRange) UnfinishedCount() int { return r.record.Count - r.recordedDoneCount }

// IsComplete reports whether all of the range's tasks are done.
func (r *TaskRange) IsComplete() bool { return r.DoneTaskCount() == r.record.Count }

// UnrecordedDone returns how many tasks are done but not yet recorded as done, and since when they wait
// for a write: since the first of them was done or since the last write ended, whichever is later. Both
// results are zero if there are no such tasks.
func (r *TaskRange) UnrecordedDone() (count int, since time.Time) {
	return len(r.unrecordedDone), r.unrecordedSince
}

// UnrecordedDoneTasks returns the names of the tasks that are done but not yet recorded as done.
func (r *TaskRange) UnrecordedDoneTasks() []string {
	var names []string
	for i := range r.unrecordedDone {
		names = append(names, jobs.TaskName(r.job.ref, r.first+i))
	}
	return names
}

// RecordWithDone returns the range's record with all tasks that are known to be done listed as done.
func (r *TaskRange) RecordWithDone() jobs.RangeRecord {
	var indexes []int
	for i := range r.unrecordedDone {
		indexes = append(indexes, i)
	}
	record := r.record
	record.Done = record.Done.With(indexes...)
	return record
}

// HasWriteInFlight reports whether a write of the range's record, begun with BeginWrite, is in flight.
func (r *TaskRange) HasWriteInFlight() bool { return r.recordWriteInFlight }

// BeginWrite marks the beginning of a write of the range's record.
func (r *TaskRange) BeginWrite() { r.recordWriteInFlight = true }

// EndWrite marks the end of a write, begun with BeginWrite, that records no done tasks.
func (r *TaskRange) EndWrite() { r.recordWriteInFlight = false }

// EndDoneWrite marks the end of a write that records done tasks. The wait of the done tasks that are
// still not recorded, which UnrecordedDone returns, starts again at the present time.
func (r *TaskRange) EndDoneWrite() {
	r.recordWriteInFlight, r.unrecordedSince = false, time.Now()
	if len(r.unrecordedDone) == 0 {
		r.unrecordedSince = time.Time{}
	}
}

// MarkTaskDone marks a task as done but not yet recorded as done. index is the task's number within the
// range.
func MarkTaskDone(r *TaskRange, index int) {
	SetTask(r, index, TaskFinished, nil)
	r.unrecordedDone[index] = true
	if r.unrecordedSince.IsZero() {
		r.unrecordedSince = time.Now()
	}
}

// ApplyRecordedDone sets the tasks that the range's record lists as done to TaskFinished.
func ApplyRecordedDone(r *TaskRange) {
	r.recordedDoneCount = r.record.Done.Count(r.record.Count)
	if r.recordedDoneCount == 0 {
		return
	}
	for i := range r.tasks {
		if r.record.Done.Has(i) {
			delete(r.unrecordedDone, i)
			SetTask(r, i, TaskFinished, r.tasks[i].assignment)
		}
	}
}
