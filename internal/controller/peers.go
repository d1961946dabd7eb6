package controller

import (
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// detectFailures runs the failure detector and sends new suspicions to the peers at once: a controller
// counts as failed only if its other peers suspect it as well, and each delay of a suspicion delays the
// failover.
func (c *Controller) detectFailures(now time.Time) {
	if !c.detector.Check(now, !c.cache.IsStale(now)) {
		return
	}
	c.log.Debug("controllers suspected", "controllers", c.detector.Suspects())
	c.sendHeartbeats()
}

// sendHeartbeats sends a heartbeat to each peer without waiting for the heartbeat interval.
func (c *Controller) sendHeartbeats() {
	if c.sendToPeer == nil {
		return
	}
	for _, node := range c.members.Controllers() {
		if node != c.cfg.Node {
			c.sendToPeer(node, []*peer.TransferChunk{nil})
		}
	}
}

// sendTransfer queues messages with the state of a shard for another controller, and reports whether the queue had
// room for them.
func (c *Controller) sendTransfer(to string, chunks []*peer.TransferChunk) bool {
	return c.sendToPeer != nil && c.sendToPeer(to, chunks)
}

// PeerHeartbeat returns the heartbeat that this controller sends to its peers; ok is false if the
// controller has ended.
func (c *Controller) PeerHeartbeat() (heartbeat peer.Heartbeat, ok bool) {
	return actor.Ask(c.mailbox, func() peer.Heartbeat {
		now := time.Now()
		heartbeat := peer.Heartbeat{
			Node:            c.cfg.Node,
			Incarnation:     c.incarnation,
			StoreSilentFor:  now.Sub(c.cache.LastContactAt()),
			Synced:          c.cache.Synced(),
			Capacities:      c.scheduler.FittingTasks(now),
			Suspects:        c.detector.Suspects(),
			FaultyJobs:      c.faults.FaultyJobs(tuning.MaxPeerHeartbeatFaultyJobs),
			RequestedShards: c.handover.RequestedShards(now),
			Leaving:         c.isLeaving,
			AppliedRevision: c.cache.AppliedRevision(),
			MadeAtMicros:    c.peers.RecordMade(now),
			Observed:        c.peers.ObservedHeartbeats(),
		}
		heartbeat.CancelledJobs, heartbeat.CancellationsKnownAfter = c.announcedCancellations(now)
		for _, shard := range c.members.Shards() {
			heartbeat.Shards = append(heartbeat.Shards, peer.Shard{ID: shard.ID(), Owner: shard.Owner(), Epoch: shard.Epoch()})
		}
		return heartbeat
	})
}

// HandlePeerHeartbeat handles a heartbeat of another controller, and the transfer chunk in it if there is
// one.
func (c *Controller) HandlePeerHeartbeat(heartbeat peer.Heartbeat) {
	c.mailbox.Send(func() {
		now := time.Now()
		c.detector.ObserveHeartbeat(heartbeat.Node, heartbeat.Suspects, heartbeat.Leaving, now)
		if !c.peers.Observe(heartbeat, now) || !c.cache.Synced() {
			return
		}
		c.applyPeerCancellations(heartbeat.CancelledJobs, now)
		c.handover.HandleRequests(heartbeat.Node, heartbeat.RequestedShards, now)
		if heartbeat.TransferChunk != nil {
			c.handover.HandleChunk(heartbeat.Node, heartbeat.TransferChunk, now)
		}
	})
}
