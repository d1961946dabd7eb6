package claims

import (
	"errors"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// moveClaimToRange replaces the claim of a whole job, which is stored in the job's own record, by a range
// record. The tasks stay where they are. Afterwards, as for any other range, single tasks can be recorded
// as done or unclaimed, which the job's own record cannot express.
func (w *Writer) moveClaimToRange(taskRange *clusterstate.TaskRange) {
	shard := w.localShard(taskRange)
	if shard == nil {
		return
	}
	taskRange.Job().BeginTransaction()
	w.commitMove(taskRange, shard.Epoch())
}

// commitMove commits the transaction of moveClaimToRange. It repeats a transaction without an answer
// until one is answered, and keeps the job in the transaction until then: a move that is applied later
// must not follow a completion batch with the job, since a batch changes nothing that the move depends
// on. A move whose shard has begun another epoch can no longer be applied, and one that the store has
// rejected for its form never was.
func (w *Writer) commitMove(taskRange *clusterstate.TaskRange, epoch uint64) {
	job, shard := taskRange.Job(), w.localShard(taskRange)
	if shard == nil || shard.Epoch() != epoch || !w.State.IsCurrentTaskRange(taskRange) {
		job.EndTransaction(kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown)
		return
	}
	w.Cache.Commit(kvstore.Normal, moveTxn(taskRange, shard), func(result kvstore.TxnResult, err error) {
		if err != nil && !errors.Is(err, kvstore.ErrRejected) {
			w.mailbox.SendAfter(tuning.MaxRetryDelay, func() { w.commitMove(taskRange, epoch) })
			return
		}
		job.EndTransaction(result, err)
		if isCommitted(result, err) {
			w.log.Info("claim moved to a range record", "job", job.Ref(), "shard", shard.ID(), "done", taskRange.DoneTaskCount())
		}
	})
}

// moveTxn returns the transaction that moves the claim of a whole job of a shard to a range record. The record
// lists the tasks that are done so far.
func moveTxn(taskRange *clusterstate.TaskRange, shard *membership.Shard) kvstore.Txn {
	job, key := taskRange.Job(), rangeKey(taskRange)
	record := job.RecordWithoutDependencies()
	record.WholeClaim = nil
	return kvstore.Txn{
		Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard), {Key: key}},
		Writes: []kvstore.Write{
			jobRecordWrite(job, record),
			{Key: key, Value: kvstore.MustEncode(taskRange.RecordWithDone())},
		},
	}
}
