package entity

import (
	"time"

	"cherrywall/internal/jobs"
)

// DoneTasks returns how many of the range's tasks are done, recorded or not.
func (r *TaskRange) DoneTasks() int { return r.recordedDone + len(r.unrecordedDone) }

// IsComplete reports whether all of the range's tasks are done.
func (r *TaskRange) IsComplete() bool { return r.DoneTasks() == r.record.Count }

// UnrecordedDone returns how many tasks are done without being recorded so, and when their wait for
// a write began: when the first of them was done, or when the last write ended if that is later.
// Both are zero if there are none.
func (r *TaskRange) UnrecordedDone() (count int, since time.Time) {
	return len(r.unrecordedDone), r.unrecordedSince
}

// UnrecordedDoneTasks returns the names of the tasks that are done without being recorded so.
func (r *TaskRange) UnrecordedDoneTasks() []string {
	var names []string
	for i := range r.unrecordedDone {
		names = append(names, jobs.TaskName(r.job.ref, r.first+i))
	}
	return names
}

// RecordWithDone returns the range's record with all tasks that are known to be done.
func (r *TaskRange) RecordWithDone() jobs.RangeRecord {
	var indexes []int
	for i := range r.unrecordedDone {
		indexes = append(indexes, i)
	}
	record := r.record
	record.Done = record.Done.With(indexes...)
	return record
}

// HasWriteInFlight reports whether a write of this controller that records done tasks is in flight.
func (r *TaskRange) HasWriteInFlight() bool { return r.writeInFlight }

// BeginWrite notes that a write of the range's record begins.
func (r *TaskRange) BeginWrite() { r.writeInFlight = true }

// EndWrite notes that the write of the range's record has ended.
func (r *TaskRange) EndWrite() { r.writeInFlight = false }

// EndDoneWrite notes that a write that records done tasks has ended. The wait of those that are
// still unrecorded begins anew.
func (r *TaskRange) EndDoneWrite() {
	r.writeInFlight, r.unrecordedSince = false, time.Now()
	if len(r.unrecordedDone) == 0 {
		r.unrecordedSince = time.Time{}
	}
}

// MarkTaskDone notes that a task is done without being recorded so.
func MarkTaskDone(r *TaskRange, index int) {
	SetTask(r, index, TaskFinished, nil)
	r.unrecordedDone[index] = true
	if r.unrecordedSince.IsZero() {
		r.unrecordedSince = time.Now()
	}
}

// FollowRecordedDone marks the tasks as finished that the range's record lists as done.
func FollowRecordedDone(r *TaskRange) {
	r.recordedDone = r.record.Done.Count(r.record.Count)
	if r.recordedDone == 0 {
		return
	}
	for i := range r.tasks {
		if r.record.Done.Has(i) {
			delete(r.unrecordedDone, i)
			SetTask(r, i, TaskFinished, r.tasks[i].assignment)
		}
	}
}
