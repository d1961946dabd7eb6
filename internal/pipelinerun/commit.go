package pipelinerun

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// recordUnchangedCondition returns the precondition that the run's record still has the revision
// that is known to this controller.
func (r *runState) recordUnchangedCondition() kvstore.Condition {
	return kvstore.Condition{Key: runKey(r.id), Revision: r.revision}
}

// shardEpochCondition returns the precondition that the run's home shard still has the given epoch,
// so that no other controller has acquired the shard.
func (r *runState) shardEpochCondition(epoch uint64) kvstore.Condition {
	return kvstore.Condition{Key: jobs.ShardPrefix + r.record.HomeShard, Revision: epoch}
}

// writeRunRecord writes a run's record with an epoch of its home shard. The preconditions are that
// nobody else has changed the record and that the shard still has this epoch. onWritten is called
// on success.
func (l *Leader) writeRunRecord(run *runState, epoch uint64, record runRecord, onWritten func()) {
	record.Epoch = epoch
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.recordUnchangedCondition(), run.shardEpochCondition(epoch)},
		Writes:     []kvstore.Write{{Key: runKey(run.id), Value: kvstore.MustEncode(record)}},
	}
	l.commitRunTxn(run, txn, func(revision uint64) {
		if run.revision < revision {
			run.record, run.revision = record, revision
		}
		run.writtenAt = time.Now()
		onWritten()
	})
}

// commitRunTxn executes a transaction of a run. If it succeeds, onCommitted is called with its
// revision; if it fails or its conditions do not hold, the run is paused.
func (l *Leader) commitRunTxn(run *runState, txn kvstore.Txn, onCommitted func(revision uint64)) {
	run.isWriteInFlight = true
	l.commit(kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
		run.isWriteInFlight = false
		switch {
		case err != nil:
			run.pausedUntil = time.Now().Add(tuning.MinRetryDelay)
		case !result.Succeeded: // the watch is about to deliver the conflicting change
			run.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay)
		default:
			onCommitted(result.Revision)
		}
	})
}

// commitAfterWrites executes the transaction txn after other writes. The writes need no conditions,
// since their keys are new and no record refers to them yet. They are divided into as many
// transactions as the limits of the store require. If one of these fails, txn is not executed; the
// records written before the failure stay and are never read.
func (l *Leader) commitAfterWrites(writes []kvstore.Write, priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	batchSize := min(len(writes), l.cfg.EffectiveStateLimits().TxnOps, max(1, tuning.MaxTxnBytes/l.cfg.MaxValueBytes()))
	if batchSize == 0 {
		l.commit(priority, txn, done)
		return
	}
	l.commit(priority, kvstore.Txn{Writes: writes[:batchSize]}, func(result kvstore.TxnResult, err error) {
		if err != nil {
			done(result, err)
			return
		}
		l.commitAfterWrites(writes[batchSize:], priority, txn, done)
	})
}

// commit executes a transaction in a goroutine of its own, and passes the result to done on the
// actor's goroutine.
func (l *Leader) commit(priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	l.metrics.writes.Add(float64(len(txn.Writes)))
	go func() {
		result, err := l.store.Commit(l.mailbox.Context(), priority, txn)
		l.mailbox.Send(func() { done(result, err) })
	}()
}
