package claims

import (
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Claim claims up to count of a job's unclaimed tasks for a shard. One transaction removes them
// from the unclaimed tasks and creates a task range of the shard. Before the transaction, place
// assigns the tasks of the tentative range to machines and may truncate the range. If place returns
// false, nothing is written; if the transaction fails, the tasks are removed from their machines.
// zone is the zone to which the tasks are bound, or empty if they may run in any zone.
func (w *Writer) Claim(job *clusterstate.Job, shard *membership.Shard, count int, zone string, place func(taskRange *clusterstate.TaskRange) bool) {
	if job.Record().Kind != jobs.Gang { // a gang is always one range, since all its tasks are done at the same time
		count = min(count, tuning.MaxRangeTasks)
	}
	claimedTasks, remainingTasks := jobs.TakeUnclaimed(job.Record().Unclaimed, count)
	taskRange := w.State.NewTentativeRange(job, shard, claimedTasks, zone)
	if !place(taskRange) {
		w.State.UnplaceRange(taskRange)
		return
	}
	taskRange.SetPlannedHosts()
	if taskRange.Record().Count < claimedTasks.Count { // place has truncated the range
		claimedTasks, remainingTasks = jobs.TakeUnclaimed(job.Record().Unclaimed, taskRange.Record().Count)
	}
	record := job.RecordWithoutDependencies()
	record.Unclaimed = remainingTasks
	if zone != "" && record.Spread {
		record.ClaimedPerZone = addToZone(job.TasksByZone(), zone, claimedTasks.Count)
	}
	isInline := claimedTasks.Count == record.Tasks && w.IsSmallJob(job.Record())
	txn := claimTxn(taskRange, shard, record, isInline)
	w.State.AddTentativeRange(taskRange, isInline)
	job.BeginTransaction()
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		if w.State.Job(job.Ref()) != job || isCommitted(result, err) || !taskRange.IsTentative() {
			// If the range is no longer tentative, the cache has learned that the claim is durable,
			// even if this request failed: an earlier request with the same transaction may have
			// been carried out although its answer was lost. If the range were abandoned in that
			// case, a gang that was started in the meantime would lose its attempt.
			return
		}
		w.State.AbandonTentativeRange(taskRange)
	})
}

// claimTxn returns the transaction of a claim. An inline claim is stored in the job's record.
func claimTxn(taskRange *clusterstate.TaskRange, shard *membership.Shard, record jobs.JobRecord, isInline bool) kvstore.Txn {
	job := taskRange.Job()
	txn := kvstore.Txn{Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard)}}
	if isInline {
		record.WholeClaim = NewWholeJobClaim(shard, taskRange.Record().Count)
		txn.Writes = []kvstore.Write{jobRecordWrite(job, record)}
		return txn
	}
	key := rangeKey(taskRange)
	txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key})
	txn.Writes = []kvstore.Write{
		jobRecordWrite(job, record),
		{Key: key, Value: kvstore.MustEncode(taskRange.Record())},
	}
	return txn
}

// addToZone adds n to the task count of one zone and returns the counts. n may be negative. Zones without
// tasks are removed, so that the job's record does not grow with them.
func addToZone(counts map[string]int, zone string, n int) map[string]int {
	counts[zone] += n
	if counts[zone] == 0 {
		delete(counts, zone)
	}
	return counts
}

// tasksByZoneWithout returns the task counts by zone of a job that is spread over zones, without the tasks of
// some of its ranges.
func tasksByZoneWithout(job *clusterstate.Job, ranges []*clusterstate.TaskRange) map[string]int {
	counts := job.TasksByZone()
	for _, taskRange := range ranges {
		if zone := taskRange.Record().Zone; zone != "" {
			counts = addToZone(counts, zone, -taskRange.UnfinishedCount())
		}
	}
	return counts
}
