package claims

import (
	"errors"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// taskRun is a run of consecutive tasks within a range, counted from the range's first task.
type taskRun struct{ offset, count int }

// end returns the offset of the task behind the run.
func (r taskRun) end() int { return r.offset + r.count }

// unclaimUnplaceable withdraws the claim of tasks that have found no room in their shard for a while,
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
			if run := w.unplaceableRun(taskRange, now); run.count > 0 {
				w.unclaim(taskRange, run)
				break
			}
		}
	}
}

// unplaceableRun returns the run of a range's tasks that is to be unclaimed because they have
// found no room for a while; it is empty if there is none. A gang, and a job claimed as a
// whole, is unclaimed as a whole or not at all. As long as some tasks are placed now and then,
// the others wait for their turn. Tasks at the end of the range are preferred, since they need no
// further range record. If there are none, tasks in the middle, where a machine was lost, are
// taken: otherwise they would wait for room in their shard or zone without bound.
func (w *Writer) unplaceableRun(taskRange *clusterstate.TaskRange, now time.Time) taskRun {
	job := taskRange.Job()
	if !canUnclaimFrom(taskRange) {
		return taskRun{}
	}
	ready := taskRange.CountTasks(clusterstate.TaskReady)
	onlyAsWhole := job.Record().Kind == jobs.Gang || taskRange.IsInline()
	if ready == 0 || onlyAsWhole && ready < taskRange.Len() {
		delete(w.unplacedSince, taskRange)
		return taskRun{}
	}
	since, known := w.unplacedSince[taskRange]
	if !known || taskRange.LastPlacedAt().After(since) {
		since = now
		w.unplacedSince[taskRange] = now
	}
	run := longestReadyRun(taskRange)
	if now.Sub(since) < unclaimDelay(taskRange, run) || w.Faults.IsJobFaulty(job.Ref()) {
		return taskRun{}
	}
	return run
}

// canUnclaimFrom reports whether the range's record may be changed now.
func canUnclaimFrom(taskRange *clusterstate.TaskRange) bool {
	unrecorded, _ := taskRange.UnrecordedDone()
	return taskRange.IsOwned() && !taskRange.IsTentative() && !taskRange.HasWriteInFlight() && unrecorded == 0
}

// unclaimDelay returns for how long the run's tasks must have found no room before they are
// unclaimed.
func unclaimDelay(taskRange *clusterstate.TaskRange, run taskRun) time.Duration {
	switch {
	case taskRange.Job().IsBackground():
		// Background work is preempted often. With the usual delay it would be unclaimed and
		// claimed again each time, at four changes in the key-value store.
		return tuning.BackgroundUnclaimAfter
	case run.end() < taskRange.Len():
		return tuning.RangeSplitAfter
	default:
		return tuning.UnclaimAfter
	}
}

// longestReadyRun returns the run of ready tasks at the range's end, or the longest one if the
// last task is not ready.
func longestReadyRun(taskRange *clusterstate.TaskRange) taskRun {
	var longest taskRun
	for i := 0; i < taskRange.Len(); {
		start := i
		for i < taskRange.Len() && taskRange.TaskState(i) == clusterstate.TaskReady {
			i++
		}
		run := taskRun{start, i - start}
		isLast := run.count > 0 && i == taskRange.Len()
		if run.count > longest.count || isLast {
			longest = run
		}
		i++
	}
	return longest
}

// unclaim returns a run of a range's tasks to the unclaimed ones. The tasks behind the run
// become a range of their own.
func (w *Writer) unclaim(taskRange *clusterstate.TaskRange, run taskRun) {
	job, shard := taskRange.Job(), w.localShard(taskRange)
	if shard == nil {
		return
	}
	record := job.RecordWithoutDependencies()
	returned := jobs.TaskInterval{First: taskRange.First() + run.offset, Count: run.count}
	record.Unclaimed = jobs.ReturnUnclaimed(record.Unclaimed, returned)
	if !w.FitsStore(record) {
		return // the record would have too many intervals: the tasks stay claimed and wait for room
	}
	if zone := taskRange.Record().Zone; zone != "" && record.Spread {
		record.ClaimedPerZone = addToZone(record.ClaimedPerZone, zone, -run.count)
	}
	record.WholeClaim = nil
	txn := unclaimTxn(taskRange, shard, run, record)
	job.BeginTransaction()
	taskRange.BeginUnclaim(run.offset, run.count) // not to be started meanwhile
	epoch, since := shard.Epoch(), w.unplacedSince[taskRange]
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		delete(w.unplacedSince, taskRange)
		switch {
		case isCommitted(result, err):
			w.State.ResetGangAttempt(job)
			w.keepUnplacedSince(taskRange, run, since)
			w.log.Info("tasks unclaimed", "job", job.Ref(), "shard", shard.ID(), "tasks", run.count)
		case err == nil || !errors.Is(err, kvstore.ErrOutcomeUnknown): // certainly not made
			taskRange.CancelUnclaim(run.offset, run.count)
		default:
			// The tasks may be another shard's by now, or become so later. Rewriting the range
			// decides it: the late transaction then finds another revision.
			w.fenceUnclaim(taskRange, run, epoch)
		}
	})
}

// unclaimTxn returns the transaction that removes a run from its range. record is the job's new
// record.
func unclaimTxn(taskRange *clusterstate.TaskRange, shard *membership.Shard, run taskRun, record jobs.JobRecord) kvstore.Txn {
	job := taskRange.Job()
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard)},
		Writes:     []kvstore.Write{writeJob(job, record)},
	}
	if taskRange.IsInline() { // it has no record of its own
		return txn
	}
	key := rangeKey(taskRange)
	txn.Conditions = append(txn.Conditions, rangeCondition(taskRange))
	before := kvstore.Write{DeleteKey: key}
	if run.offset > 0 {
		before = kvstore.Write{Key: key, Value: kvstore.Encode(taskRange.Subrange(0, run.offset))}
	}
	txn.Writes = append(txn.Writes, before)
	if behind := taskRange.Len() - run.end(); behind > 0 {
		behindKey := jobs.RangeKey(job.Ref(), taskRange.First()+run.end())
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: behindKey})
		txn.Writes = append(txn.Writes, kvstore.Write{Key: behindKey, Value: kvstore.Encode(taskRange.Subrange(run.end(), behind))})
	}
	return txn
}

// keepUnplacedSince notes that the remaining tasks of a split range have waited as long as the
// run that was removed.
func (w *Writer) keepUnplacedSince(taskRange *clusterstate.TaskRange, run taskRun, since time.Time) {
	for _, first := range []int{taskRange.First(), taskRange.First() + run.end()} {
		if remaining := taskRange.Job().TaskRange(first); remaining != nil {
			w.unplacedSince[remaining] = since
		}
	}
}

// fenceUnclaim rewrites a range so that an unclaim without an answer can no longer be applied,
// and then allows its tasks to start. It is retried only within the epoch in which the tasks were
// known to run nowhere: beyond it, tasks that another owner of the shard has started meanwhile
// would become ready here, and run twice.
func (w *Writer) fenceUnclaim(taskRange *clusterstate.TaskRange, run taskRun, epoch uint64) {
	shard := w.localShard(taskRange)
	if shard == nil || shard.Epoch() != epoch || !w.State.IsCurrentTaskRange(taskRange) {
		return
	}
	key, value := rangeKey(taskRange), kvstore.Encode(taskRange.Record())
	if taskRange.IsInline() {
		key, value = jobs.JobKey(taskRange.Job().Ref()), kvstore.Encode(taskRange.Job().Record())
	}
	taskRange.BeginWrite()
	w.Cache.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: taskRange.Revision()}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: value}},
	}, func(result kvstore.TxnResult, err error) {
		taskRange.EndWrite()
		if isCommitted(result, err) {
			taskRange.CancelUnclaim(run.offset, run.count)
			w.State.MarkDirty()
			return
		}
		w.mailbox.SendAfter(tuning.MaxRetryDelay, func() { w.fenceUnclaim(taskRange, run, epoch) })
	})
}
