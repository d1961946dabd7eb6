package statecache

import (
	"encoding/json"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
)

// AcquireShards acquires the shards that this controller should own (see
// membership.Table.ShardsToAcquire), except those whose owners were requested to hand them over.
func (c *Cache) AcquireShards(now time.Time) {
	livenessRevision, ok := c.canAcquireShards(now)
	if !ok {
		return
	}
	hasFailed := func(controller string) bool { return c.hooks.HasControllerFailed(controller, now) }
	for _, id := range c.Membership.ShardsToAcquire(now, hasFailed) {
		shard := c.Membership.Shard(id)
		ownerIsLive := c.Membership.OwnerIsLive(shard)
		ownerFailed := ownerIsLive && hasFailed(shard.Owner())
		if ownerIsLive && !ownerFailed && c.hooks.ShouldAwaitHandover(id, now) {
			continue
		}
		if ownerFailed {
			c.log.Info("controller considered failed before its lease expired", "controller", shard.Owner(), "shard", id)
		}
		conditions := []kvstore.Condition{{Key: c.livenessKey(), Revision: livenessRevision}}
		if id != c.cfg.Node {
			// The home of the shard is down or considered failed. If the home's liveness
			// record is no longer the cached one, the home has restarted and should own the
			// shard itself, so this write must fail.
			conditions = append(conditions, kvstore.Condition{Key: jobs.LivenessPrefix + id, Revision: c.Membership.LivenessRevision(id)})
		}
		c.acquireShard(id, now, conditions...)
	}
}

// canAcquireShards reports whether this controller is live, is not about to shut down, and has a
// cache that is recent enough to decide on acquisitions. livenessRevision is the revision of the
// controller's liveness record.
func (c *Cache) canAcquireShards(now time.Time) (livenessRevision uint64, ok bool) {
	livenessRevision, live := c.Membership.OwnLivenessRevision()
	caughtUp := c.readBarrier.NewestRevision() <= c.appliedRevision
	return livenessRevision, live && !c.acquisitionStopped && caughtUp && !c.IsStale(now)
}

// AcquireTransferredShard acquires a shard that its owner has transferred to this controller.
func (c *Cache) AcquireTransferredShard(shard *membership.Shard, now time.Time) {
	if livenessRevision, ok := c.canAcquireShards(now); ok {
		c.acquireShard(shard.ID(), now, kvstore.Condition{Key: c.livenessKey(), Revision: livenessRevision})
	}
}

// StopAcquiringShards keeps this controller from acquiring further shards. It is called when the
// controller is about to shut down.
func (c *Cache) StopAcquiringShards() { c.acquisitionStopped = true }

// ReacquireShard begins a new epoch of a shard that this controller owns. From then on, operations
// under the old epoch fail, whichever controller attempts them.
func (c *Cache) ReacquireShard(shard *membership.Shard, now time.Time) {
	c.acquireShard(shard.ID(), now)
}

// acquireShard replaces a shard's record, provided that the stored record is still the cached one
// and the given conditions hold. It does nothing if such a write is already in flight.
func (c *Cache) acquireShard(id string, now time.Time, conditions ...kvstore.Condition) {
	if c.acquisitionsInFlight[id] {
		return
	}
	c.acquisitionsInFlight[id] = true
	shard := c.Membership.Shard(id)
	recordCondition := kvstore.Condition{Key: jobs.ShardPrefix + id} // revision 0: there is no record
	if shard != nil {
		recordCondition.Revision = shard.Epoch()
	}
	txn := kvstore.Txn{
		Conditions: append(conditions, recordCondition),
		Writes:     []kvstore.Write{{Key: recordCondition.Key, Value: membership.EncodeShard(c.cfg.Node, c.incarnation, shard, now)}},
	}
	c.Commit(kvstore.Urgent, txn, func(result kvstore.TxnResult, err error) {
		delete(c.acquisitionsInFlight, id)
		if err != nil || !result.Succeeded {
			c.log.Info("shard not acquired", "shard", id, "failed_keys", result.FailedKeys, "error", err)
		}
	})
}

// applyShard applies a shard's record. The record's revision is the shard's epoch, which is the
// fencing token of the shard owner's commands to workers.
func (c *Cache) applyShard(id string, value json.RawMessage, revision uint64) error {
	shard, err := c.Membership.ApplyShard(id, value, revision, time.Now())
	if shard == nil {
		return err
	}
	c.log.Info("shard acquired", "shard", shard.ID(), "owner", shard.Owner(), "local", shard.IsLocal(), "epoch", shard.Epoch())
	if c.synced {
		c.hooks.ShardAcquired(shard.Owner())
	}
	for _, machine := range c.State.ApplyShardRecord(shard) {
		c.hooks.MachineOwnerChanged(machine)
	}
	return nil
}

// HasReachedEpoch reports whether all changes up to the acquisition of a shard were applied. The
// acquisition by this controller is applied as soon as its write succeeds, perhaps before the watch
// has delivered earlier changes. If a heartbeat were accepted before these changes are applied, it
// could list a task of a range that the previous owner claimed shortly before it lost the shard. The
// task would be stopped as unknown. Once the range became known, the worker would count as having sent
// a heartbeat that does not list the task, so the task would be started on another worker and run
// twice.
func (c *Cache) HasReachedEpoch(shard *membership.Shard) bool {
	return c.appliedRevision >= shard.Epoch()
}
