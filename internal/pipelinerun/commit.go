package pipelinerun

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// unchanged returns the precondition that the run's record is the one that is known here.
func (r *runState) unchanged() kvstore.Condition {
	return kvstore.Condition{Key: runKey(r.id), Revision: r.revision}
}

// ownedUnder returns the precondition that the run's home shard is still in an epoch: no other
// controller has acquired it.
func (r *runState) ownedUnder(epoch uint64) kvstore.Condition {
	return kvstore.Condition{Key: jobs.ShardPrefix + r.record.HomeShard, Revision: epoch}
}

// writeRunRecord writes a run's record under an epoch of its home shard, provided that both are
// unchanged; written is called on success.
func (l *Leader) writeRunRecord(run *runState, epoch uint64, record runRecord, written func()) {
	record.Epoch = epoch
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.unchanged(), run.ownedUnder(epoch)},
		Writes:     []kvstore.Write{{Key: runKey(run.id), Value: kvstore.Encode(record)}},
	}
	l.commitRunTxn(run, txn, func(revision uint64) {
		if run.revision < revision {
			run.record, run.revision = record, revision
		}
		run.writtenAt = time.Now()
		written()
	})
}

// commitRunTxn executes a transaction of a run; committed is called with its revision if the
// conditions held.
func (l *Leader) commitRunTxn(run *runState, txn kvstore.Txn, committed func(revision uint64)) {
	run.writeInFlight = true
	l.commit(kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
		run.writeInFlight = false
		switch {
		case err != nil:
			run.pausedUntil = time.Now().Add(tuning.MinRetryDelay)
		case !result.Succeeded: // the watch is about to deliver what has changed
			run.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay)
		default:
			committed(result.Revision)
		}
	})
}

// commitAfter executes a transaction after other writes, which need no conditions: their keys are
// new, and no record refers to them yet. The writes are divided into as many transactions as the
// limits of the store require. If one fails, the records written before it stay and are never read.
func (l *Leader) commitAfter(writes []kvstore.Write, priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
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
		l.commitAfter(writes[batchSize:], priority, txn, done)
	})
}

// commit executes a transaction off the actor and passes its result to done on the actor.
func (l *Leader) commit(priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	l.metrics.writes.Add(float64(len(txn.Writes)))
	go func() {
		result, err := l.store.Commit(l.mailbox.Context(), priority, txn)
		l.mailbox.Send(func() { done(result, err) })
	}()
}
