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

func (c *Controller) updateHealth(now time.Time) {
	if last := c.health.Load(); last != nil && now.Sub(last.checkedAt) > tuning.ProcessStallThreshold {
		// This process was stalled: that nothing arrived does not prove an outage.
		c.resumedAt = now
	}
	storeSilentFor := now.Sub(c.cache.LastContactAt())
	isHealthy := !c.isLeaving && c.cache.Synced() &&
		(storeSilentFor < tuning.HealthGracePeriod || c.isStoreOutage(now)) &&
		!c.peers.IsCutOffFromStore(now, storeSilentFor)
	c.health.Store(&healthStatus{isHealthy, now})
}

// isStoreOutage reports whether the key-value store is silent for all controllers, so that users
// would be served no better elsewhere.
func (c *Controller) isStoreOutage(now time.Time) bool {
	if now.Sub(c.resumedAt) <= tuning.HealthGracePeriod || !c.peers.IsStoreDownForAll(now) {
		return false
	}
	// A controller that is reached by neither the store nor its live peers is cut off itself. Without
	// this condition users were kept at it for as long as that lasted.
	return c.peers.HasRecentHeartbeat(now) || !c.members.HasLivePeer()
}

// Healthy reports whether this controller can take requests. It does not wait for the
// controller's goroutine, since a health check must not queue behind a burst of requests. A
// status older than tuning.MaxHealthStatusAge, as after a stall of the process, does not count.
func (c *Controller) Healthy() bool {
	status := c.health.Load()
	return status != nil && status.isHealthy && time.Since(status.checkedAt) < tuning.MaxHealthStatusAge
}
