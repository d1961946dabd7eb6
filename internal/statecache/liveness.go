package statecache

import (
	"context"
	"errors"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

var errLivenessChanged = errors.New("liveness key changed meanwhile")

// maintainLiveness renews the lease to which this controller's liveness record is attached,
// until the context ends.
func (c *Cache) maintainLiveness(ctx context.Context) {
	var leaseID uint64 // 0: none
	for ctx.Err() == nil {
		var err error
		switch {
		case !c.livenessEnabled.Load():
			leaseID = 0 // left to expire; the record is deleted, see ReleaseLiveness
		case leaseID == 0 || c.rewriteLiveness.Swap(false):
			leaseID, err = c.writeLivenessRecord(ctx)
		default:
			err = c.store.KeepAlive(ctx, leaseID)
			if errors.Is(err, kvstore.ErrExpired) {
				c.log.Info("controller lease expired, obtaining a new one")
				leaseID = 0
				continue
			}
		}
		delay := tuning.ControllerLeaseRenewInterval
		if err != nil {
			delay = tuning.MinRetryDelay
		}
		if kvstore.Pause(ctx, delay) != nil {
			return
		}
	}
}

// writeLivenessRecord obtains a lease and attaches this controller's liveness record to it. The
// write has the precondition that the record is unchanged: without it, an earlier write that was
// never answered could be executed after its successor and attach the record to a lease that
// nobody renews. The record would be deleted with that lease, and the controller would acquire no
// shard any more.
func (c *Cache) writeLivenessRecord(ctx context.Context) (leaseID uint64, err error) {
	key := c.livenessKey()
	row, _, _, err := c.store.Get(ctx, kvstore.Urgent, key) // revision 0 if it does not exist
	if err != nil {
		return 0, err
	}
	leaseID, err = c.store.GrantLease(ctx, tuning.ControllerLeaseTTL)
	if err != nil {
		return 0, err
	}
	result, err := c.store.Commit(ctx, kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []kvstore.Write{{Key: key, LeaseID: leaseID, Value: membership.EncodeLiveness(c.incarnation)}},
	})
	if err != nil {
		return 0, err
	}
	if !result.Succeeded {
		return 0, errLivenessChanged
	}
	return leaseID, nil
}

// checkLivenessRecord has this controller's liveness record written anew if it has been missing,
// or has been that of another incarnation, for longer than a lease lasts. Without its record the
// controller acquires no shards, even if it renews a lease.
func (c *Cache) checkLivenessRecord(now time.Time) {
	_, live := c.Membership.OwnLivenessRevision()
	switch {
	case live || c.IsStale(now) || !c.livenessEnabled.Load():
		c.livenessMissingSince = time.Time{}
	case c.livenessMissingSince.IsZero():
		c.livenessMissingSince = now
	case now.Sub(c.livenessMissingSince) > tuning.ControllerLeaseTTL:
		c.log.Info("liveness record missing, writing it anew")
		c.livenessMissingSince = time.Time{}
		c.rewriteLiveness.Store(true)
	}
}

// ReleaseLiveness deletes this controller's liveness record, so that its peers take over its
// shards.
func (c *Cache) ReleaseLiveness() {
	c.livenessEnabled.Store(false)
	key := c.livenessKey()
	revision, _ := c.Membership.OwnLivenessRevision()
	c.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: revision}},
		Writes:     []kvstore.Write{{DeleteKey: key}},
	}, func(kvstore.TxnResult, error) {})
}

// ResumeLiveness has the liveness record written again after ReleaseLiveness.
func (c *Cache) ResumeLiveness() { c.livenessEnabled.Store(true) }

func (c *Cache) livenessKey() string { return jobs.LivenessPrefix + c.cfg.Node }
