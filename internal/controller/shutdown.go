package controller

import (
	"time"

	"cherrywall/internal/tuning"
)

// Leave hands this controller's shards over to its peers and releases its liveness record. It waits
// until this controller owns no shard any more, or no peer can take one, or
// tuning.ShutdownTransferTimeout has passed. Then it waits tuning.ShutdownLastWriteTimeout for the last
// writes. It returns early if the controller's context ends. The controller reports itself as unhealthy
// from the beginning, so that users are sent to other controllers.
func (c *Controller) Leave() {
	finished := make(chan struct{})
	startedAt := time.Now()
	c.mailbox.Send(func() {
		c.isLeaving = true
		c.handover.PrepareShutdown()
		c.awaitHandovers(startedAt, finished)
	})
	select {
	case <-finished:
	case <-c.mailbox.Context().Done():
	}
}

// awaitHandovers checks every tuning.TickInterval whether the handover of the shards has finished or has
// timed out. Then it releases the liveness record, and closes finished after
// tuning.ShutdownLastWriteTimeout.
func (c *Controller) awaitHandovers(startedAt time.Time, finished chan struct{}) {
	now := time.Now()
	isUnavailable := func(node string) bool { return node == c.cfg.Node || c.peers.IsLeaving(node, now) }
	successor := c.members.SuccessorExcluding(c.cfg.Node, isUnavailable)
	ownedShardCount := len(c.members.LocalShards())
	if ownedShardCount > 0 && successor != "" && now.Sub(startedAt) <= tuning.ShutdownTransferTimeout {
		c.mailbox.SendAfter(tuning.TickInterval, func() { c.awaitHandovers(startedAt, finished) })
		return
	}
	c.log.Info("controller leaving", "shards_left", ownedShardCount, "duration_s", time.Since(startedAt).Seconds())
	c.cache.ReleaseLiveness()
	c.mailbox.SendAfter(tuning.ShutdownLastWriteTimeout, func() { close(finished) })
}
