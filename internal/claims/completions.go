package claims

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// writeCompletions records completed tasks, many in one write. The write that completes a job also
// records its final state. writeCompletions also deletes the range records of jobs that have ended.
func (w *Writer) writeCompletions(now time.Time) {
	for job := range w.State.Jobs() {
		if job.HasEnded() {
			w.deleteRanges(job)
			continue
		}
		if !job.CanWriteAt(w.Cache.AppliedRevision()) || isBatched(job.Record()) {
			continue
		}
		pending := w.pendingCompletions(job, now)
		if pending.mustCompact(job) {
			w.compactRanges(job, pending.completeRanges)
			continue
		}
		for _, taskRange := range pending.partialRanges {
			w.writeRangeCompletions(taskRange)
		}
	}
}

// pendingCompletions are the completions of a job that this controller has yet to record.
type pendingCompletions struct {
	partialRanges  []*clusterstate.TaskRange // ranges with completed tasks whose write is due
	completeRanges []*clusterstate.TaskRange // ranges whose tasks are all done
	doneTasks      int                       // number of done tasks in the job's record after the complete ranges are recorded
	isDue          bool                      // whether a complete range has waited for CompletionWriteDelay
	hasOpenTasks   bool                      // whether tasks are unclaimed, or are claimed by this controller's shards and not done
}

// mustCompact reports whether the complete ranges are to be recorded now. If no task of the job is
// unclaimed or open in this controller's shards, the ranges are recorded at once: another
// controller may have to know them to complete the job.
func (p *pendingCompletions) mustCompact(job *clusterstate.Job) bool {
	return len(p.completeRanges) > 0 && (p.doneTasks == job.Record().Tasks || p.isDue || !p.hasOpenTasks)
}

func (w *Writer) pendingCompletions(job *clusterstate.Job, now time.Time) pendingCompletions {
	// A transaction also needs one change for the job's record and one for the job's final state.
	maxRanges := w.cfg.EffectiveStateLimits().TxnOps - 2
	pending := pendingCompletions{doneTasks: job.Record().CompletedTasks, hasOpenTasks: len(job.Record().Unclaimed) > 0}
	for taskRange := range job.TaskRanges() {
		if !taskRange.IsOwned() {
			continue
		}
		pending.hasOpenTasks = pending.hasOpenTasks || !taskRange.IsComplete()
		if taskRange.HasWriteInFlight() || taskRange.IsTentative() {
			continue
		}
		unrecordedTasks, since := taskRange.UnrecordedDone()
		isDue := now.Sub(since) >= tuning.CompletionWriteDelay
		switch {
		case taskRange.IsComplete() && len(pending.completeRanges) < maxRanges:
			pending.completeRanges = append(pending.completeRanges, taskRange)
			pending.doneTasks += taskRange.Record().Count
			pending.isDue = pending.isDue || isDue
		case unrecordedTasks > 0 && !taskRange.IsInline() && isDue:
			pending.partialRanges = append(pending.partialRanges, taskRange)
		}
	}
	return pending
}

// writeRangeCompletions records the completed tasks of a range in the range's record.
func (w *Writer) writeRangeCompletions(taskRange *clusterstate.TaskRange) {
	shard := w.localShard(taskRange)
	if shard == nil {
		return
	}
	taskRange.BeginWrite()
	w.Cache.Commit(kvstore.Background, kvstore.Txn{
		Conditions: []kvstore.Condition{rangeCondition(taskRange), ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: rangeKey(taskRange), Value: kvstore.MustEncode(taskRange.RecordWithDone())}},
	}, func(kvstore.TxnResult, error) { taskRange.EndDoneWrite() })
}

// compactRanges adds the tasks of completed ranges to the count of completed tasks in the job's
// record, and deletes the ranges' records. The compaction that completes the job records its final
// state in the same transaction. Every compaction writes the job's record, so it conflicts with
// other compactions of the job and with the job's cancellation.
func (w *Writer) compactRanges(job *clusterstate.Job, completeRanges []*clusterstate.TaskRange) {
	record := job.RecordWithoutDependencies()
	txn := kvstore.Txn{Conditions: []kvstore.Condition{jobCondition(job)}}
	checkedShards := map[string]bool{} // shards whose ownership is already a condition
	for _, taskRange := range completeRanges {
		shard := w.localShard(taskRange)
		if shard == nil {
			return
		}
		if !checkedShards[shard.ID()] {
			checkedShards[shard.ID()] = true
			txn.Conditions = append(txn.Conditions, ownershipCondition(shard))
		}
		if !taskRange.IsInline() {
			txn.Conditions = append(txn.Conditions, rangeCondition(taskRange))
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: rangeKey(taskRange)})
		}
		record.CompletedTasks += taskRange.Record().Count
	}
	if record.Spread {
		record.ClaimedPerZone = tasksByZoneWithout(job, completeRanges)
	}
	isDone := record.CompletedTasks == record.Tasks
	if isDone {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.FinalKey(job.Ref())})
		txn.Writes = append(txn.Writes, jobDoneWrites(job.Ref(), record.Tasks)...)
	} else {
		txn.Writes = append(txn.Writes, jobRecordWrite(job, record))
	}
	job.BeginTransaction()
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		if isDone && isCommitted(result, err) {
			w.logJobDone(job)
		}
	})
}

func (w *Writer) logJobDone(job *clusterstate.Job) {
	w.log.Info("job done", "job", job.Ref(), "class", job.Record().Class, "duration_s", job.Age(time.Now()).Seconds())
}

// deleteRanges deletes the range records of a job that has ended.
func (w *Writer) deleteRanges(job *clusterstate.Job) {
	for taskRange := range job.TaskRanges() {
		shard := w.localShard(taskRange)
		hasOwnRecord := !taskRange.IsTentative() && !taskRange.IsInline()
		if shard == nil || taskRange.IsDeleting() || !hasOwnRecord {
			continue
		}
		taskRange.SetDeleting(true)
		w.Cache.Commit(kvstore.Background, kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: jobs.JobKey(job.Ref())}, ownershipCondition(shard), rangeCondition(taskRange)},
			Writes:     []kvstore.Write{{DeleteKey: rangeKey(taskRange)}},
		}, func(kvstore.TxnResult, error) { taskRange.SetDeleting(false) })
	}
}
