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

var errLivenessChanged = errors.New("another write has changed the liveness record")

// maintainLiveness writes this controller's liveness record and renews the lease to which the
// record is attached, until the context ends.
func (c *Cache) maintainLiveness(ctx context.Context) {
	var leaseID uint64 // 0 while there is no lease
	for ctx.Err() == nil {
		var err error
		switch {
		case !c.livenessEnabled.Load():
			leaseID = 0 // the lease is left to expire; ReleaseLiveness deletes the record
		case leaseID == 0 || c.livenessRewriteNeeded.Swap(false):
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
		if kvstore.Sleep(ctx, delay) != nil {
			return
		}
	}
}

// writeLivenessRecord obtains a lease and attaches this controller's liveness record to it. The
// write has the precondition that the record has not changed since this function read it. Without
// that condition, an earlier write
// that got no response could be executed after this one and attach the record to a lease that nobody
// renews. The store would delete the record together with that lease, and the controller would
// acquire no more shards.
func (c *Cache) writeLivenessRecord(ctx context.Context) (leaseID uint64, err error) {
	key := c.livenessKey()
	record, err := c.store.Get(ctx, kvstore.Urgent, key) // the row's revision is 0 if the record does not exist
	if err != nil {
		return 0, err
	}
	leaseID, err = c.store.GrantLease(ctx, tuning.ControllerLeaseTTL)
	if err != nil {
		return 0, err
	}
	result, err := c.store.Commit(ctx, kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: record.Row.Revision}},
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

// checkLivenessRecord makes maintainLiveness write this controller's liveness record again if the
// record has been missing, or has been that of another incarnation, for longer than a lease lasts.
// Without its record the controller acquires no shards, even if it renews a lease.
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
		c.livenessRewriteNeeded.Store(true)
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

// ResumeLiveness makes maintainLiveness write the liveness record again after ReleaseLiveness.
func (c *Cache) ResumeLiveness() { c.livenessEnabled.Store(true) }

func (c *Cache) livenessKey() string { return jobs.LivenessPrefix + c.cfg.Node }
