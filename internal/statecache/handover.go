package statecache

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Who lives, who holds which share, and what a new holder may take for granted.

// maintainLiveness holds the grant to which this controller's liveness key is
// attached.
func (m *Cache) maintainLiveness(ctx context.Context) {
	var leaseID uint64
	for ctx.Err() == nil {
		var err error
		if !m.livenessEnabled.Load() {
			leaseID = 0 // left to end; the key is dropped, see Leave
		} else if leaseID == 0 || m.rewriteLiveness.Swap(false) {
			leaseID, err = m.writeLivenessRecord(ctx)
		} else if err = m.store.KeepAlive(ctx, leaseID); errors.Is(err, kvstore.ErrExpired) {
			m.log.Info("grant ended, taking a new one")
			leaseID = 0
			continue
		}
		wait := tuning.ControllerLeaseRenewInterval
		if err != nil {
			wait = tuning.MinRetryDelay
		}
		if kvstore.Pause(ctx, wait) != nil {
			return
		}
	}
}

// writeLivenessRecord takes a grant and has the liveness key hang on it. The write holds only as long as the
// key is what it was: one that had gone without an answer was carried out after its successor,
// and the key went with the first grant, which nobody renewed. The controller had no record
// of its life from then on, and took no share any more.
func (m *Cache) writeLivenessRecord(ctx context.Context) (leaseID uint64, err error) {
	key := jobs.LivenessPrefix + m.cfg.Node
	row, _, _, err := m.store.Get(ctx, kvstore.Urgent, key) // no stamp: it does not exist
	if err != nil {
		return 0, err
	}
	if leaseID, err = m.store.GrantLease(ctx, tuning.ControllerLeaseTTL); err != nil {
		return 0, err
	}
	result, err := m.store.Commit(ctx, kvstore.Urgent, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: row.Revision}},
		Writes: []kvstore.Write{{Key: key, LeaseID: leaseID, Value: membership.EncodeLiveness(m.incarnation)}}})
	if err == nil && !result.Succeeded {
		err = errors.New("liveness key changed meanwhile")
	}
	if err != nil {
		return 0, err
	}
	return leaseID, nil
}

// checkLivenessRecord has this controller's liveness key written anew if its record has been missing,
// or that of another run of it, for longer than a grant lasts.
func (m *Cache) checkLivenessRecord(now time.Time) {
	if _, lives := m.Membership.OwnLivenessRevision(); lives || m.IsStale(now) || !m.livenessEnabled.Load() {
		m.livenessMissingSince = time.Time{}
	} else if m.livenessMissingSince.IsZero() {
		m.livenessMissingSince = now
	} else if now.Sub(m.livenessMissingSince) > tuning.ControllerLeaseTTL {
		m.log.Info("no record of this controller's life, written anew")
		m.livenessMissingSince = time.Time{}
		m.rewriteLiveness.Store(true)
	}
}

// ReleaseLiveness gives this controller's life up, so that others take its shares.
func (m *Cache) ReleaseLiveness() {
	m.livenessEnabled.Store(false)
	key := jobs.LivenessPrefix + m.cfg.Node
	livenessRevision, _ := m.Membership.OwnLivenessRevision()
	m.Commit(kvstore.Urgent, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: livenessRevision}},
		Writes: []kvstore.Write{{DeleteKey: key}}}, func(kvstore.TxnResult, error) {})
}

// ResumeLiveness takes it up again.
func (m *Cache) ResumeLiveness() { m.livenessEnabled.Store(true) }

// AcquireShards takes the shares that fall to this controller, but for one that is being
// handed over.
func (m *Cache) AcquireShards(now time.Time) {
	livenessRevision, ok := m.canAcquireShards(now)
	if !ok {
		return
	}
	failed := func(node string) bool { return m.hooks.ControllerFailed(node, now) }
	for _, id := range m.Membership.ShardsToAcquire(now, failed) {
		if shard := m.Membership.Shard(id); m.Membership.OwnerIsLive(shard) && !failed(shard.Owner()) && m.hooks.AwaitHandover(id, now) {
			continue
		}
		conditions := []kvstore.Condition{{Key: jobs.LivenessPrefix + m.cfg.Node, Revision: livenessRevision}}
		if shard := m.Membership.Shard(id); m.Membership.OwnerIsLive(shard) && failed(shard.Owner()) {
			m.log.Info("controller judged failed, its grant still runs", "controller", shard.Owner(), "share", id)
		}
		if id != m.cfg.Node {
			// Its home has no grant, or is the one that was judged to have failed and
			// has not begun anew since.
			conditions = append(conditions, kvstore.Condition{Key: jobs.LivenessPrefix + id, Revision: m.Membership.LivenessRevision(id)})
		}
		m.acquireShard(id, now, conditions...)
	}
}

// canAcquireShards tells whether this controller knows enough to take shares, and the stamp of its
// own record.
func (m *Cache) canAcquireShards(now time.Time) (livenessRevision uint64, ok bool) {
	livenessRevision, lives := m.Membership.OwnLivenessRevision()
	return livenessRevision, lives && !m.acquisitionStopped && m.readBarrier.NewestRevision() <= m.appliedRevision && !m.IsStale(now)
}

// AcquireTransferredShard takes a share that its holder has given to this controller.
func (m *Cache) AcquireTransferredShard(shard *membership.Shard, now time.Time) {
	if livenessRevision, ok := m.canAcquireShards(now); ok {
		m.acquireShard(shard.ID(), now, kvstore.Condition{Key: jobs.LivenessPrefix + m.cfg.Node, Revision: livenessRevision})
	}
}

// StopAcquiringShards has this controller take no share any more: it is about to end.
func (m *Cache) StopAcquiringShards() { m.acquisitionStopped = true }

// ReacquireShard replaces the record of a share held here by one of ours: what was to be done
// under the old one, by whomever, can no longer be.
func (m *Cache) ReacquireShard(shard *membership.Shard, now time.Time) {
	m.acquireShard(shard.ID(), now)
}

// acquireShard replaces a share's record as it is known, if the conditions hold as well, and if
// that is not under way already.
func (m *Cache) acquireShard(id string, now time.Time, conditions ...kvstore.Condition) {
	if m.acquiring[id] {
		return
	}
	m.acquiring[id] = true
	shard := m.Membership.Shard(id)
	known := kvstore.Condition{Key: jobs.ShardPrefix + id} // it has no record
	if shard != nil {
		known.Revision = shard.Epoch()
	}
	m.Commit(kvstore.Urgent, kvstore.Txn{Conditions: append(conditions, known), Writes: []kvstore.Write{{Key: known.Key,
		Value: membership.EncodeShard(m.cfg.Node, m.incarnation, shard, now)}}}, func(result kvstore.TxnResult, err error) {
		delete(m.acquiring, id)
		if err != nil || !result.Succeeded {
			m.log.Info("share not taken", "share", id, "failed", result.FailedKeys, "error", err)
		}
	})
}

// applyShard follows a share's record. Whoever holds it commands its
// workers with the record's stamp as the lower bound of their tokens.
func (m *Cache) applyShard(id string, value json.RawMessage, revision uint64) error {
	shard, err := m.Membership.ApplyShard(id, value, revision, time.Now())
	if shard == nil {
		return err
	}
	m.log.Info("share", "share", shard.ID(), "holder", shard.Owner(), "mine", shard.IsLocal(), "token", shard.Epoch())
	if m.synced {
		m.hooks.ShardAcquired(shard.Owner())
	}
	for _, machine := range m.State.ApplyShardRecord(shard) {
		m.hooks.MachineOwnerChanged(machine)
	}
	return nil
}

// HasReachedEpoch tells whether the mirror has reached the taking of a share: our own
// write of it is known before the watch has told of earlier changes. A report
// taken in before that may list a task of a range that the holder before claimed
// at the last moment: it would be stopped as unknown, and when the range became
// known, the worker counted as heard without it and the task was started on
// another (ran_twice on a drawn day of sinai-huts-booking-grown).
func (m *Cache) HasReachedEpoch(shard *membership.Shard) bool {
	return m.appliedRevision >= shard.Epoch()
}
