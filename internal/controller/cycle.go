package controller

import (
	"time"

	"cherrywall/internal/tuning"
)

// run is the controller's goroutine: it handles messages and ticks until the context ends.
func (c *Controller) run() {
	ticker := time.NewTicker(tuning.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.mailbox.Context().Done():
			return
		case handle := <-c.mailbox.Messages():
			handle()
		case <-ticker.C:
			c.tick()
		}
		if c.state.IsDirty() && !c.isCyclePending && c.cache.Synced() {
			c.scheduleCycle()
		}
	}
}

// scheduleCycle runs a scheduling cycle as soon as tuning.MinCycleInterval has passed since the
// previous one, so that a burst of events causes only one cycle.
func (c *Controller) scheduleCycle() {
	wait := tuning.MinCycleInterval - time.Since(c.lastCycleAt)
	if wait <= 0 {
		c.runCycle()
		return
	}
	c.isCyclePending = true
	c.mailbox.SendAfter(wait, func() {
		c.isCyclePending = false
		c.runCycle()
	})
}

// runCycleIfDue runs a scheduling cycle if the state has changed and more than
// tuning.MinHeartbeatCycleInterval has passed since the previous cycle. Worker sessions call it before
// they answer a heartbeat, so that the answer can start tasks on the capacity that the heartbeat
// reports as free.
func (c *Controller) runCycleIfDue() {
	if c.state.IsDirty() && time.Since(c.lastCycleAt) > tuning.MinHeartbeatCycleInterval {
		c.runCycle()
	}
}

// runCycle runs a scheduling cycle, and answers the pending heartbeats of workers for which there are now
// commands. A controller that may not renew worker leases only sends cancellations: another controller
// may already own its shards, and both would start the same tasks.
func (c *Controller) runCycle() {
	c.state.ClearDirty()
	c.lastCycleAt = time.Now()
	c.sessions.SendCancellations(c.lastCycleAt)
	if !c.cache.MayRenewWorkerLeases(c.lastCycleAt) {
		return
	}
	c.scheduler.RunCycle(c.lastCycleAt)
	c.sessions.SendResponses()
}

// tick runs the periodic work of all components. Until the cache is synced, it only updates the health
// status and refuses the worker heartbeats that have waited too long.
func (c *Controller) tick() {
	now := time.Now()
	c.updateHealth(now)
	if !c.cache.Synced() {
		c.sessions.ProcessDeferredHeartbeats()
		return
	}
	c.detectFailures(now)
	c.cache.Tick(now)
	c.handover.Tick(now)
	c.sessions.Tick(now)
	c.lifecycle.Tick(now)
	c.claims.Tick(now)
	c.cancelDependents(now)
	c.diagnostics.LogProblems(now)
	if now.Sub(c.lastRecountAt) >= tuning.RecountInterval {
		c.lastRecountAt = now
		c.recount(now)
	}
}

// recount recomputes derived values from the whole state: those that are otherwise updated at each change
// of the state, and those that depend on the time. It also stores changed machine types and logs the
// utilization.
func (c *Controller) recount(now time.Time) {
	c.scheduler.Recount(now)
	c.state.Dependencies().RefreshInheritedDeadlines()
	c.cache.StoreMachineTypes(now)
	c.lifecycle.LogUtilization()
}
