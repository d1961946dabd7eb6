package claims

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// Small jobs are recorded with few changes in the key-value store: if each job took six changes,
// 800 jobs of one task within a minute would take more changes than the store allows. The write
// that accepts a small job also claims it (jobs.JobRecord.WholeClaim), and one completion batch
// records that many small jobs are done. Later, when submissions do not use up the store's rate
// limit, cleanUpBatches replaces the jobs' own records by final states.

// IsSmallJob reports whether a job may be claimed as a whole in its own record. Jobs whose tasks
// are bound to zones or quotas may not, since the zones and quotas of tasks are tracked by task
// ranges.
func (w *Writer) IsSmallJob(record *jobs.JobRecord) bool {
	team, _ := w.cfg.Team(record.Team)
	return record.Kind == jobs.Array && record.Tasks <= tuning.MaxSmallJobTasks && !record.OneZone && !record.Spread &&
		record.CompletedTasks == 0 && !quota.IsLimited(team)
}

// NewWholeJobClaim returns the claim of all tasks of a job, which is stored in the job's own
// record.
func NewWholeJobClaim(shard *membership.Shard, tasks int) *jobs.WholeJobClaim {
	return &jobs.WholeJobClaim{Shard: shard.ID(), Epoch: shard.Epoch(), Count: tasks}
}

// isBatched reports whether the completion of a job is to be recorded in a completion batch.
func isBatched(record *jobs.JobRecord) bool {
	return record.WholeClaim != nil && !record.ExcludedFromBatches
}

// writeCompletionBatch records many completed small jobs of one shard in one write. The write is
// conditional on the revisions of the jobs' records, so it fails if ExcludeFromBatches has changed
// the record of one of the jobs to begin the job's cancellation.
func (w *Writer) writeCompletionBatch(now time.Time) {
	if w.isWritingBatch {
		return
	}
	completedByShard, isDue := w.completedSmallJobs(now)
	if !isDue {
		return
	}
	for shardID, doneJobs := range completedByShard {
		shard := w.ownedShard(shardID)
		if shard == nil {
			continue
		}
		w.addToBatch(shard, doneJobs)
		return
	}
}

// completedSmallJobs returns, by shard, the small jobs whose completion is not recorded yet. isDue
// is true if at least one of these jobs has been complete for CompletionBatchInterval.
func (w *Writer) completedSmallJobs(now time.Time) (completedByShard map[string][]*clusterstate.Job, isDue bool) {
	for job := range w.State.Jobs() {
		if job.HasEnded() || job.InTransaction() || !isBatched(job.Record()) {
			continue
		}
		taskRange := job.TaskRange(0)
		isCompletedHere := taskRange != nil && taskRange.IsOwned() && !taskRange.IsTentative() && taskRange.IsComplete()
		if !isCompletedHere {
			continue
		}
		if completedByShard == nil { // allocated only when needed, since this runs in each tick
			completedByShard = map[string][]*clusterstate.Job{}
		}
		shardID := taskRange.Record().Shard
		completedByShard[shardID] = append(completedByShard[shardID], job)
		_, since := taskRange.UnrecordedDone()
		isDue = isDue || now.Sub(since) >= tuning.CompletionBatchInterval
	}
	return completedByShard, isDue
}

// addToBatch writes as many completed jobs to the shard's open batch as one transaction can hold.
func (w *Writer) addToBatch(shard *membership.Shard, completedJobs []*clusterstate.Job) {
	batch := w.CompletionBatches.OpenBatch(shard.ID())
	entries := batch.Entries
	// The store allows four times as many preconditions as changes. Two preconditions are needed
	// for the batch and for the shard.
	count := min(len(completedJobs), 4*w.cfg.EffectiveStateLimits().TxnOps-2, tuning.MaxCompletionBatchJobs)
	addedJobs := completedJobs[:count]
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: batch.Key, Revision: batch.Revision}, ownershipCondition(shard)}}
	for _, job := range addedJobs {
		entries = append(entries, jobs.FormatBatchEntry(job.Ref(), job.Record().Tasks))
		txn.Conditions = append(txn.Conditions, jobCondition(job))
	}
	value := kvstore.MustEncode(entries)
	if !w.Cache.FitsOneValue(value) && len(batch.Entries) > 0 {
		w.CompletionBatches.MarkFull(batch.Key) // the jobs go into the next batch
		return
	}
	txn.Writes = []kvstore.Write{{Key: batch.Key, Value: value}}
	w.isWritingBatch = true
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		w.isWritingBatch = false
		if !isCommitted(result, err) {
			return
		}
		for _, job := range addedJobs {
			w.logJobDone(job)
		}
	})
}

// ExcludeFromBatches begins the cancellation of a job whose completion may be recorded in a batch.
// A batch does not change the job's own record, so ExcludeFromBatches first sets a flag in that
// record. From then on no batch can include the job. Once the cache has applied the flag, it is
// known whether an earlier batch included the job. onOutcome is called with the outcome of the
// write.
func (w *Writer) ExcludeFromBatches(job *clusterstate.Job, onOutcome func(err error)) {
	record := *job.Record()
	record.ExcludedFromBatches = true
	w.Cache.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{jobCondition(job), {Key: jobs.FinalKey(job.Ref())}},
		Writes:     []kvstore.Write{jobRecordWrite(job, record)},
	}, func(_ kvstore.TxnResult, err error) { onOutcome(err) })
}

// cleanUpBatches writes final states for some jobs of a completion batch and deletes the jobs'
// records. When no job of a batch remains, it deletes the batch. It runs only if no jobs are being
// submitted, since submissions need the store's rate limit, or if many batched jobs have
// accumulated.
func (w *Writer) cleanUpBatches(now time.Time) {
	if w.isCleaningUp || now.Sub(w.lastCleanupAt) < tuning.BatchCleanupInterval {
		return
	}
	isQuiet := now.Sub(w.State.LastJobArrivedAt()) >= tuning.BatchCleanupQuietPeriod
	if !isQuiet && w.CompletionBatches.JobCount() < tuning.BatchCleanupBacklog {
		return
	}
	w.lastCleanupAt = now
	maxJobs := min(tuning.BatchCleanupChanges, w.cfg.EffectiveStateLimits().TxnOps) / 2 // each job takes two changes
	cleanup, ok := w.CompletionBatches.NextCleanup(maxJobs, func(shardID string) bool {
		shard := w.ownedShard(shardID)
		return shard != nil && w.Cache.HasReachedEpoch(shard)
	})
	if !ok {
		return
	}
	txn := cleanupTxn(cleanup)
	txn.Conditions = append(txn.Conditions, ownershipCondition(w.Membership.Shard(cleanup.Shard)))
	w.isCleaningUp = true
	w.Cache.Commit(kvstore.Background, txn, func(kvstore.TxnResult, error) { w.isCleaningUp = false })
}

func cleanupTxn(cleanup completionbatch.Cleanup) kvstore.Txn {
	if len(cleanup.Pending) == 0 {
		return kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: cleanup.Key, Revision: cleanup.Revision}},
			Writes:     []kvstore.Write{{DeleteKey: cleanup.Key}},
		}
	}
	var txn kvstore.Txn
	for _, job := range cleanup.Pending {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.JobKey(job.Ref), Revision: job.RecordRevision})
		txn.Writes = append(txn.Writes, jobDoneWrites(job.Ref, job.Tasks)...)
	}
	return txn
}
