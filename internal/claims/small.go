package claims

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// Small jobs cost few changes in the state service: 800 jobs of one task within a
// minute took six each, which is more than there are. The write that accepts
// one also claims it (jobs.Record.Own), and one record tells of many that they
// are done (a pack). Their own records follow when there is time for it: see
// tidy.

// IsSmallJob tells whether a job may be claimed as a whole in its own record. The
// tasks of others are bound to zones or limits, which ranges keep track of.
func (w *Writer) IsSmallJob(record *jobs.JobRecord) bool {
	team, _ := w.cfg.Team(record.Team)
	return record.Kind == jobs.Array && record.Tasks <= tuning.MaxSmallJobTasks && !record.OneZone && !record.Spread &&
		record.Completed == 0 && !quota.IsLimited(team)
}

// NewWholeJobClaim is the claim of a whole job in its own record.
func NewWholeJobClaim(shard *membership.Shard, n int) *jobs.WholeJobClaim {
	return &jobs.WholeJobClaim{Shard: shard.ID(), Epoch: shard.Epoch(), Count: n}
}

// writeCompletionBatch makes completed small jobs durable, many in one change. That none
// was cancelled meanwhile rests on the stamps of their records, see Mark.
func (w *Writer) writeCompletionBatch(now time.Time) {
	if w.isWritingBatch {
		return
	}
	per := map[string][]*clusterstate.Job{}
	due := false
	for job := range w.State.Jobs() {
		taskRange := job.TaskRange(0)
		if job.HasEnded() || job.InTransaction() || job.Record().WholeClaim == nil || job.Record().ExcludedFromBatches || taskRange == nil || !taskRange.IsOwned() || taskRange.IsTentative() || !taskRange.IsComplete() {
			continue
		}
		share := taskRange.Record().Shard
		per[share] = append(per[share], job)
		_, since := taskRange.UnrecordedDone()
		due = due || now.Sub(since) >= tuning.CompletionBatchInterval
	}
	if !due {
		return
	}
	for share, batched := range per {
		shard := w.Membership.Shard(share)
		if shard == nil || !shard.IsLocal() {
			continue
		}
		key, names, stamp := w.CompletionBatches.OpenBatch(share)
		old := len(names)
		most := min(len(batched), 4*w.cfg.EffectiveStateLimits().TxnOps-2, tuning.MaxCompletionBatchJobs)
		batched = batched[:most]
		txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: stamp}, ownershipCondition(shard)}}
		for _, job := range batched {
			names = append(names, jobs.BatchEntry(job.Ref(), job.Record().Tasks))
			txn.Conditions = append(txn.Conditions, jobCondition(job))
		}
		value := kvstore.Encode(names)
		if !w.Cache.FitsOneValue(value) && old > 0 {
			w.CompletionBatches.MarkFull(key) // the next one takes them
			return
		}
		txn.Writes = []kvstore.Write{{Key: key, Value: value}}
		w.isWritingBatch = true
		w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
			w.isWritingBatch = false
			if err == nil && result.Succeeded {
				for _, job := range batched {
					w.logJobDone(job)
				}
			}
		})
		return
	}
}

// ExcludeFromBatches begins the cancellation of a job whose end may be written to a
// pack, which leaves its own record as it is: that record is marked first.
// From then on no pack can take the job, and once the mirror has reached the
// mark it is known whether one has before.
func (w *Writer) ExcludeFromBatches(job *clusterstate.Job, done func(err error)) {
	record := *job.Record()
	record.ExcludedFromBatches = true
	w.Cache.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{jobCondition(job), {Key: jobs.FinalKey(job.Ref())}},
		Writes:     []kvstore.Write{{Key: jobs.JobKey(job.Ref()), Value: kvstore.Encode(record)}},
	}, func(_ kvstore.TxnResult, err error) { done(err) })
}

// cleanUpBatches gives packed jobs a final state of their own and drops their records, and
// then the pack: as long as nothing better is to be done with the changes that
// the state service allows.
func (w *Writer) cleanUpBatches(now time.Time) {
	if w.isCleaningUp || now.Sub(w.lastCleanupAt) < tuning.BatchCleanupInterval ||
		now.Sub(w.State.LastJobArrivedAt()) < tuning.BatchCleanupQuietPeriod && w.CompletionBatches.JobCount() < tuning.BatchCleanupBacklog {
		return
	}
	w.lastCleanupAt = now
	key, share, stamp, open, ok := w.CompletionBatches.NextCleanup(min(tuning.BatchCleanupChanges, w.cfg.EffectiveStateLimits().TxnOps)/2, func(share string) bool {
		shard := w.Membership.Shard(share)
		return shard != nil && shard.IsLocal() && w.Cache.HasReachedEpoch(shard)
	})
	if !ok {
		return
	}
	var txn kvstore.Txn
	for _, batched := range open {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.JobKey(batched.Ref), Revision: batched.RecordRevision})
		txn.Writes = append(txn.Writes, kvstore.Write{Key: jobs.FinalKey(batched.Ref), Value: kvstore.Encode(jobs.FinalState{Status: jobs.Done, Tasks: batched.Tasks})},
			kvstore.Write{DeleteKey: jobs.JobKey(batched.Ref)})
	}
	if len(open) == 0 {
		txn.Conditions = []kvstore.Condition{{Key: key, Revision: stamp}}
		txn.Writes = []kvstore.Write{{DeleteKey: key}}
	}
	txn.Conditions = append(txn.Conditions, ownershipCondition(w.Membership.Shard(share)))
	w.isCleaningUp = true
	w.Cache.Commit(kvstore.Background, txn, func(kvstore.TxnResult, error) { w.isCleaningUp = false })
}
