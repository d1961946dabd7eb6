package controller

import (
	"time"

	"cherrywall/internal/tuning"
)

// healthStatus is what the last tick found out about this controller.
type healthStatus struct {
	isHealthy bool
	checkedAt time.Time
}

// updateHealth updates the status that Healthy reports.
func (c *Controller) updateHealth(now time.Time) {
	if last := c.health.Load(); last != nil && now.Sub(last.checkedAt) > tuning.ProcessStallThreshold {
		// The process was stalled, so that nothing could arrive. Taking that for an outage of the
		// store would keep users at a controller that has lost its shards.
		c.resumedAt = now
	}
	storeSilentFor := now.Sub(c.cache.LastContactAt())
	isHealthy := !c.isLeaving && c.cache.Synced() &&
		(storeSilentFor < tuning.HealthGracePeriod || c.isStoreOutage(now)) &&
		!c.peers.IsCutOffFromStore(now, storeSilentFor)
	c.health.Store(&healthStatus{isHealthy, now})
}

// isStoreOutage reports whether the key-value store answers no controller, so that users would be
// served no better elsewhere.
func (c *Controller) isStoreOutage(now time.Time) bool {
	if now.Sub(c.resumedAt) <= tuning.HealthGracePeriod || !c.peers.IsStoreDownForAll(now) {
		return false
	}
	// A controller that neither the store nor a live peer reaches is cut off itself. Taking that for
	// an outage would keep users at it for as long as the partition lasts.
	return c.peers.HasRecentHeartbeat(now) || !c.members.HasLivePeer()
}

// Healthy reports whether this controller can take requests. It does not wait for the controller's
// goroutine, since a health check must not queue behind a burst of requests. If the status is older
// than tuning.MaxHealthStatusAge, as after a stall of the process, the controller is not healthy.
func (c *Controller) Healthy() bool {
	status := c.health.Load()
	return status != nil && status.isHealthy && time.Since(status.checkedAt) < tuning.MaxHealthStatusAge
}
