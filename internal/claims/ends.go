package claims

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// The ends of tasks and jobs.

// writeCompletions makes completed tasks durable, many in one write; the write that
// completes a job makes it done in the same transaction.
func (w *Writer) writeCompletions(now time.Time) {
	for job := range w.State.Jobs() {
		if job.HasEnded() {
			w.deleteRanges(job)
			continue
		}
		if !job.CanWriteAt(w.Cache.AppliedRevision()) || job.Record().WholeClaim != nil && !job.Record().ExcludedFromBatches {
			continue // see flushPack
		}
		var partial, complete []*clusterstate.TaskRange
		due, done, open := false, job.Record().Completed, len(job.Record().Unclaimed) > 0
		for taskRange := range job.TaskRanges() {
			if !taskRange.IsOwned() {
				continue
			}
			open = open || !taskRange.IsComplete()
			if taskRange.HasWriteInFlight() || taskRange.IsTentative() {
				continue
			}
			untold, since := taskRange.UnrecordedDone()
			switch {
			case taskRange.IsComplete() && len(complete) < w.cfg.EffectiveStateLimits().TxnOps-2:
				complete = append(complete, taskRange)
				done += taskRange.Record().Count
				due = due || now.Sub(since) >= tuning.CompletionWriteDelay
			case untold > 0 && !taskRange.IsInline() && now.Sub(since) >= tuning.CompletionWriteDelay:
				partial = append(partial, taskRange)
			}
		}
		// The last of this controller's part goes at once: another may be waiting
		// for it to complete the job.
		if len(complete) > 0 && (done == job.Record().Tasks || due || !open) {
			w.compactRanges(job, complete)
			continue
		}
		for _, taskRange := range partial {
			w.writeRangeCompletions(taskRange)
		}
	}
}

func (w *Writer) writeRangeCompletions(taskRange *clusterstate.TaskRange) {
	shard := w.localShard(taskRange)
	if shard == nil {
		return
	}
	key := rangeKey(taskRange)
	taskRange.BeginWrite()
	w.Cache.Commit(kvstore.Background, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: taskRange.Revision()}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.Encode(taskRange.RecordWithDone())}},
	}, func(kvstore.TxnResult, error) { taskRange.EndDoneWrite() })
}

// compactRanges takes completed ranges into the job's record and drops them; the fold
// that completes the job makes it done in the same transaction. All folds of a
// job write its record, so they exclude each other and a cancellation.
func (w *Writer) compactRanges(job *clusterstate.Job, complete []*clusterstate.TaskRange) {
	record := job.RecordWithoutDependencies()
	txn := kvstore.Txn{Conditions: []kvstore.Condition{jobCondition(job)}}
	shares := map[string]bool{}
	for _, taskRange := range complete {
		shard := w.localShard(taskRange)
		if shard == nil {
			return
		}
		if !shares[shard.ID()] {
			shares[shard.ID()] = true
			txn.Conditions = append(txn.Conditions, ownershipCondition(shard))
		}
		if !taskRange.IsInline() {
			key := rangeKey(taskRange)
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: taskRange.Revision()})
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: key})
		}
		record.Completed += taskRange.Record().Count
	}
	over := record.Completed == record.Tasks
	if over {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.FinalKey(job.Ref())})
		txn.Writes = append(txn.Writes, kvstore.Write{Key: jobs.FinalKey(job.Ref()), Value: kvstore.Encode(jobs.FinalState{Status: jobs.Done, Tasks: record.Tasks})},
			kvstore.Write{DeleteKey: jobs.JobKey(job.Ref())})
	} else {
		txn.Writes = append(txn.Writes, kvstore.Write{Key: jobs.JobKey(job.Ref()), Value: kvstore.Encode(record)})
	}
	job.BeginTransaction()
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		if over && err == nil && result.Succeeded {
			w.logJobDone(job)
		}
	})
}

func (w *Writer) logJobDone(job *clusterstate.Job) {
	w.log.Info("job done", "job", job.Ref(), "class", job.Record().Class, "took_s", job.Age(time.Now()).Seconds())
}

// deleteRanges removes what is left of jobs that are over.
func (w *Writer) deleteRanges(job *clusterstate.Job) {
	for taskRange := range job.TaskRanges() {
		shard := w.localShard(taskRange)
		if shard == nil || taskRange.IsDeleting() || taskRange.IsTentative() || taskRange.IsInline() {
			continue
		}
		taskRange.SetDeleting(true)
		w.Cache.Commit(kvstore.Background, kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: jobs.JobKey(job.Ref())}, ownershipCondition(shard), {Key: rangeKey(taskRange), Revision: taskRange.Revision()}},
			Writes:     []kvstore.Write{{DeleteKey: rangeKey(taskRange)}},
		}, func(kvstore.TxnResult, error) { taskRange.SetDeleting(false) })
	}
}
