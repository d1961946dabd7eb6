package controller

import (
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/cloud"
	"cherrywall/internal/peer"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// detectFailures looks for controllers that have failed. New suspicions are sent to the peers at
// once, since a controller counts as failed only if they suspect it, too.
func (c *Controller) detectFailures(now time.Time) {
	if !c.detector.Check(now, !c.cache.IsStale(now)) {
		return
	}
	c.log.Debug("controllers suspected", "controllers", c.detector.Suspects())
	c.sendHeartbeats()
}

// sendHeartbeats sends a heartbeat to each peer ahead of time.
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

// sendTransfer sends the state of a shard to another controller and reports whether it was queued.
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
			CancelledJobs:   c.announcedCancellations(now),
		}
		for _, shard := range c.members.Shards() {
			heartbeat.Shards = append(heartbeat.Shards, peer.Shard{ID: shard.ID(), Owner: shard.Owner(), Epoch: shard.Epoch()})
		}
		return heartbeat
	})
}

// HandlePeerHeartbeat takes in a heartbeat of another controller.
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

// HandleHeartbeat passes on a worker's heartbeat. The answer is sent to reply, which must have
// room for it.
func (c *Controller) HandleHeartbeat(heartbeat *workerapi.Heartbeat, reply chan workersession.HeartbeatReply) {
	receivedAt := time.Now()
	c.mailbox.Send(func() { c.sessions.HandleHeartbeat(heartbeat, receivedAt, reply) })
}

// SetMachineTypes sets the machine types that the cloud offers.
func (c *Controller) SetMachineTypes(types []cloud.MachineType) {
	c.mailbox.Send(func() {
		c.machineTypes.SetFromCloud(types)
		c.state.RecountAllMachines()
	})
}

// SetBootTimes sets the usual boot times that the autoscaler has observed, in seconds by machine
// type.
func (c *Controller) SetBootTimes(seconds map[string]float64) {
	c.mailbox.Send(func() { c.machineTypes.LearnBootTimes(seconds, time.Now()) })
}

// Demand returns what waits for machines, for the autoscaler. It is empty if the controller has
// ended.
func (c *Controller) Demand() scheduler.Demand {
	demand, _ := actor.Ask(c.mailbox, func() scheduler.Demand { return c.scheduler.Demand(time.Now(), c.incarnation) })
	return demand
}
