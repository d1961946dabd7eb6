package claims

import (
	"errors"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// taskSpan is a sequence of consecutive tasks of a range. offset is the distance of its first task
// from the range's first task.
type taskSpan struct{ offset, count int }

// end returns the offset of the first task after the span.
func (s taskSpan) end() int { return s.offset + s.count }

// unclaimUnplaceable unclaims tasks that have not fit on the machines of their shard for a while,
// so that any shard can claim them.
func (w *Writer) unclaimUnplaceable(now time.Time) {
	for taskRange := range w.unplacedSince {
		if !w.State.IsCurrentTaskRange(taskRange) {
			delete(w.unplacedSince, taskRange)
		}
	}
	for job := range w.State.Jobs() {
		if job.HasEnded() || job.InTransaction() {
			continue
		}
		for taskRange := range job.TaskRanges() {
			if span := w.unplaceableSpan(taskRange, now); span.count > 0 {
				w.unclaimSpan(taskRange, span)
				break
			}
		}
	}
}

// unclaimSpan unclaims a span of a range's tasks. If the span is a part of a job that was claimed as a
// whole, the claim first becomes a range record. Then the next call unclaims the span.
func (w *Writer) unclaimSpan(taskRange *clusterstate.TaskRange, span taskSpan) {
	switch {
	case !taskRange.IsInline() || span.count == taskRange.Len():
		w.unclaim(taskRange, span)
	case w.FeatureGate.IsOpen(featuregate.MovedClaims):
		w.moveClaimToRange(taskRange)
	}
}

// unplaceableSpan returns the tasks of a range that are to be unclaimed because they have not fit
// for a while. The span is empty if there are none. A gang is unclaimed as a whole or not at all.
// Each placement of a task of the range restarts the delay for the others, which may fit next. Ready
// tasks at the end of the range are preferred, since unclaiming them creates no further range
// record. If there are none, ready tasks in the middle are selected, which have lost their machine:
// otherwise they could wait indefinitely for capacity in their shard or zone.
func (w *Writer) unplaceableSpan(taskRange *clusterstate.TaskRange, now time.Time) taskSpan {
	job := taskRange.Job()
	if !canUnclaimFrom(taskRange) {
		return taskSpan{}
	}
	readyCount := taskRange.CountTasks(clusterstate.TaskReady)
	if readyCount == 0 || job.IsGang() && readyCount < taskRange.Len() {
		delete(w.unplacedSince, taskRange)
		return taskSpan{}
	}
	if w.isHeldBack(job, now) {
		delete(w.unplacedSince, taskRange) // the tasks were not placed although they may fit
		return taskSpan{}
	}
	since, known := w.unplacedSince[taskRange]
	if !known || taskRange.LastPlacedAt().After(since) {
		since = now
		w.unplacedSince[taskRange] = now
	}
	span := preferredReadySpan(taskRange)
	if now.Sub(since) < unclaimDelay(taskRange, span) {
		return taskSpan{}
	}
	return span
}

// isHeldBack reports whether the ready tasks of a job are not to be placed now, whatever fits: the job was
// found at fault, and is paused or runs one task to find out whether it works again.
func (w *Writer) isHeldBack(job *clusterstate.Job, now time.Time) bool {
	if !w.Faults.IsJobFaulty(job.Ref()) {
		return false
	}
	return w.Faults.IsPaused(job.Ref(), now) || job.HasPlacedTasks()
}

// canUnclaimFrom reports whether tasks of the range may be unclaimed now: this controller owns the
// range, its claim is stored, and no change of the claim is pending. The done tasks of a job that was
// claimed as a whole are recorded only when the claim moves to a range record.
func canUnclaimFrom(taskRange *clusterstate.TaskRange) bool {
	unrecordedTasks, _ := taskRange.UnrecordedDone()
	return taskRange.IsOwned() && !taskRange.IsTentative() && !taskRange.HasWriteInFlight() &&
		(unrecordedTasks == 0 || taskRange.IsInline())
}

// unclaimDelay returns how long a span of tasks that do not fit stays claimed.
func unclaimDelay(taskRange *clusterstate.TaskRange, span taskSpan) time.Duration {
	switch {
	case taskRange.Job().IsBackground():
		// Background work is preempted often. With the usual delay it would be unclaimed and
		// claimed again after each preemption, which takes four changes in the key-value store.
		return tuning.BackgroundUnclaimAfter
	case span.end() < taskRange.Len():
		return tuning.RangeSplitAfter
	default:
		return tuning.UnclaimAfter
	}
}

// preferredReadySpan returns the span of ready tasks at the range's end. If the last task is not
// ready, it returns the longest span of ready tasks.
func preferredReadySpan(taskRange *clusterstate.TaskRange) taskSpan {
	var preferred taskSpan
	for i := 0; i < taskRange.Len(); {
		start := i
		for i < taskRange.Len() && taskRange.TaskState(i) == clusterstate.TaskReady {
			i++
		}
		span := taskSpan{start, i - start}
		isLast := span.count > 0 && i == taskRange.Len()
		if span.count > preferred.count || isLast {
			preferred = span
		}
		i++
	}
	return preferred
}

// unclaim adds a span of a range's tasks to the job's unclaimed tasks. The tasks after the span
// become a new range.
func (w *Writer) unclaim(taskRange *clusterstate.TaskRange, span taskSpan) {
	job, shard := taskRange.Job(), w.localShard(taskRange)
	if shard == nil {
		return
	}
	record := job.RecordWithoutDependencies()
	interval := jobs.TaskInterval{First: taskRange.First() + span.offset, Count: span.count}
	record.Unclaimed = jobs.ReturnUnclaimed(record.Unclaimed, interval)
	if !w.FitsStore(record) {
		return // the record would have too many intervals: the tasks stay claimed and wait for capacity
	}
	if zone := taskRange.Record().Zone; zone != "" && record.Spread {
		record.ClaimedPerZone = addToZone(job.TasksByZone(), zone, -span.count)
	}
	record.WholeClaim = nil
	txn := unclaimTxn(taskRange, shard, span, record)
	job.BeginTransaction()
	taskRange.BeginUnclaim(span.offset, span.count) // the tasks must not start until the outcome is known
	epoch, since := shard.Epoch(), w.unplacedSince[taskRange]
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		delete(w.unplacedSince, taskRange)
		switch {
		case isCommitted(result, err):
			w.State.ResetGangAttempt(job)
			w.copyUnplacedSince(taskRange, span, since)
			w.log.Info("tasks unclaimed", "job", job.Ref(), "shard", shard.ID(), "tasks", span.count)
		case err == nil || !errors.Is(err, kvstore.ErrOutcomeUnknown): // certainly not committed
			taskRange.CancelUnclaim(span.offset, span.count)
		default:
			// The unclaim may still be carried out. It may also have been carried out already, and
			// then another shard may have claimed the tasks. Rewriting the range settles the
			// outcome: an unclaim that is carried out after that fails, because the range has
			// another revision.
			w.fenceUnclaim(taskRange, span, epoch)
		}
	})
}

// unclaimTxn returns the transaction that removes a span from its range. record is the job's new
// record.
func unclaimTxn(taskRange *clusterstate.TaskRange, shard *membership.Shard, span taskSpan, record jobs.JobRecord) kvstore.Txn {
	job := taskRange.Job()
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard)},
		Writes:     []kvstore.Write{jobRecordWrite(job, record)},
	}
	if taskRange.IsInline() { // the range has no record of its own
		return txn
	}
	key := rangeKey(taskRange)
	txn.Conditions = append(txn.Conditions, rangeCondition(taskRange))
	headWrite := kvstore.Write{DeleteKey: key}
	if span.offset > 0 {
		headWrite = kvstore.Write{Key: key, Value: kvstore.MustEncode(taskRange.Subrange(0, span.offset))}
	}
	txn.Writes = append(txn.Writes, headWrite)
	if tailCount := taskRange.Len() - span.end(); tailCount > 0 {
		tailKey := jobs.RangeKey(job.Ref(), taskRange.First()+span.end())
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: tailKey})
		txn.Writes = append(txn.Writes, kvstore.Write{Key: tailKey, Value: kvstore.MustEncode(taskRange.Subrange(span.end(), tailCount))})
	}
	return txn
}

// copyUnplacedSince records that the remaining parts of a split range have waited as long as the span
// that was removed.
func (w *Writer) copyUnplacedSince(taskRange *clusterstate.TaskRange, span taskSpan, since time.Time) {
	for _, first := range []int{taskRange.First(), taskRange.First() + span.end()} {
		if remainingRange := taskRange.Job().TaskRange(first); remainingRange != nil {
			w.unplacedSince[remainingRange] = since
		}
	}
}

// fenceUnclaim rewrites a range so that an unclaim without an answer can no longer be applied, and
// then allows the tasks of the unclaim to start. It is retried only within the epoch in which the
// tasks were known to run nowhere. In a later epoch, tasks that another owner of the shard has
// started in between would become ready here, and run twice.
func (w *Writer) fenceUnclaim(taskRange *clusterstate.TaskRange, span taskSpan, epoch uint64) {
	shard := w.localShard(taskRange)
	if shard == nil || shard.Epoch() != epoch || !w.State.IsCurrentTaskRange(taskRange) {
		return
	}
	key, value := rangeKey(taskRange), kvstore.MustEncode(taskRange.Record())
	if taskRange.IsInline() {
		key, value = jobs.JobKey(taskRange.Job().Ref()), kvstore.MustEncode(taskRange.Job().Record())
	}
	taskRange.BeginWrite()
	w.Cache.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: taskRange.Revision()}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: value}},
	}, func(result kvstore.TxnResult, err error) {
		taskRange.EndWrite()
		if isCommitted(result, err) {
			taskRange.CancelUnclaim(span.offset, span.count)
			w.State.MarkDirty()
			return
		}
		w.mailbox.SendAfter(tuning.MaxRetryDelay, func() { w.fenceUnclaim(taskRange, span, epoch) })
	})
}
