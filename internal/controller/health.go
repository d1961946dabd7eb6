package controller

import (
	"time"

	"cherrywall/internal/tuning"
)

// healthStatus is the health of this controller as determined in a tick.
type healthStatus struct {
	isHealthy bool
	checkedAt time.Time
}

// updateHealth updates the status that Healthy reports.
func (c *Controller) updateHealth(now time.Time) {
	if lastStatus := c.health.Load(); lastStatus != nil && now.Sub(lastStatus.checkedAt) > tuning.ProcessStallThreshold {
		// The process was stalled and has not handled any response of the store. If that were taken for
		// an outage of the store, users would keep sending requests to a controller that has lost its
		// shards.
		c.resumedAt = now
	}
	timeSinceStoreContact := now.Sub(c.cache.LastContactAt())
	isHealthy := !c.isLeaving && c.cache.Synced() &&
		(timeSinceStoreContact < tuning.HealthGracePeriod || c.isStoreOutage(now)) &&
		!c.peers.IsCutOffFromStore(now, timeSinceStoreContact)
	c.health.Store(&healthStatus{isHealthy, now})
}

// isStoreOutage reports whether the key-value store answers no controller. In that case this controller
// stays healthy, since no other controller would serve users any better.
func (c *Controller) isStoreOutage(now time.Time) bool {
	if now.Sub(c.resumedAt) <= tuning.HealthGracePeriod || !c.peers.IsStoreDownForAll(now) {
		return false
	}
	// A controller that receives nothing, neither from the store nor from a live peer, is partitioned
	// itself. If that were taken for an outage of the store, users would keep sending requests to this
	// controller for as long as the partition lasts.
	return c.peers.HasConnectedPeer(now) || !c.members.HasLivePeer()
}

// Healthy reports whether this controller can serve requests. It does not wait for the controller's
// goroutine, since a health check must not queue behind a burst of requests. The controller is not
// healthy if its status is older than tuning.MaxHealthStatusAge, for example after the process was
// stalled.
func (c *Controller) Healthy() bool {
	status := c.health.Load()
	return status != nil && status.isHealthy && time.Since(status.checkedAt) < tuning.MaxHealthStatusAge
}
