package handover

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// outgoingTransfer is the transfer of a shard of this controller that another one has requested.
type outgoingTransfer struct {
	epoch       uint64
	recipient   string
	requestedAt time.Time
	sentAt      time.Time // zero: waits for releases and moves of the shard's machines
}

func (o *outgoingTransfer) isSent() bool { return !o.sentAt.IsZero() }

// HandleRequests starts the transfer of the shards that another controller requests in its
// heartbeat. It is called for every such heartbeat.
func (c *Coordinator) HandleRequests(from string, ids []string, now time.Time) {
	for _, id := range ids {
		shard := c.Membership.Shard(id)
		if !c.canTransfer(shard, id, from, now) {
			continue
		}
		c.outgoing[id] = &outgoingTransfer{epoch: shard.Epoch(), recipient: from, requestedAt: now}
		shard.PrepareTransfer() // from now on none of its machines is released or moved
		c.sendShard(shard, now)
	}
}

// canTransfer reports whether a transfer of a shard can begin. Unless this controller is shutting
// down, a shard is transferred to its home only. An unreconciled shard is not transferred: the
// snapshot could lack tasks, which the recipient would start a second time. Nothing is transferred
// by a stale cache, which may not show yet that the shard has another owner.
func (c *Coordinator) canTransfer(shard *membership.Shard, id, recipient string, now time.Time) bool {
	switch {
	case id != recipient && !c.isLeaving:
		return false
	case shard == nil || !shard.IsLocal() || !shard.IsReconciled() || shard.IsTransferred():
		return false
	case c.outgoing[id] != nil || c.Cache.IsStale(now) || !c.Membership.IsLive(recipient, 0):
		return false
	}
	return now.Sub(c.failedAt[id]) >= tuning.TransferRetryDelay
}

// advanceOutgoing sends what could not be sent yet, and ends transfers that are done or have
// timed out.
func (c *Coordinator) advanceOutgoing(now time.Time) {
	for id, transfer := range c.outgoing {
		shard := c.Membership.Shard(id)
		switch {
		case shard == nil || !shard.IsLocal() || shard.Epoch() != transfer.epoch:
			c.endOutgoing(id, transfer, shard, now)
		case !transfer.isSent() && now.Sub(transfer.requestedAt) < tuning.TransferTimeout:
			c.sendShard(shard, now)
		case !transfer.isSent(): // releases or moves took too long: the shard stays here
			shard.AbortTransfer()
			delete(c.outgoing, id)
		case now.Sub(transfer.sentAt) > tuning.TransferTimeout:
			// The recipient has not acquired the shard. Its write may still arrive: without a
			// new epoch of ours both controllers could command the workers.
			c.Cache.ReacquireShard(shard, now)
		}
	}
}

// endOutgoing ends a transfer whose shard has another epoch now; shard is nil if its record is
// gone.
func (c *Coordinator) endOutgoing(id string, transfer *outgoingTransfer, shard *membership.Shard, now time.Time) {
	delete(c.outgoing, id)
	if !transfer.isSent() || shard == nil {
		return
	}
	switch {
	case shard.Owner() == transfer.recipient:
		c.record(id, transfer.recipient, OutcomeTransferred, transfer.sentAt, now)
		c.log.Info("shard transferred", "shard", id, "recipient", transfer.recipient, "after_s", now.Sub(transfer.sentAt).Seconds())
	case shard.IsLocal():
		c.failedAt[id] = now
		c.record(id, transfer.recipient, OutcomeReacquired, transfer.sentAt, now)
		c.log.Info("shard transfer failed, shard reacquired", "shard", id, "recipient", transfer.recipient)
	}
}

// reacquireForgotten acquires shards anew that were transferred, but whose transfer was dropped
// because the records were read again meanwhile.
func (c *Coordinator) reacquireForgotten(now time.Time) {
	for _, shard := range c.Membership.LocalShards() {
		if shard.IsTransferred() && c.outgoing[shard.ID()] == nil {
			c.Cache.ReacquireShard(shard, now)
		}
	}
}

// sendShard sends what is known of a shard to the recipient, and ends the responses to its workers.
// While one of the shard's machines is being released or moved it does nothing, and Tick calls it
// again: the result is not known yet, so the snapshot could be wrong about the machine. A shard too
// large for a transfer is kept.
func (c *Coordinator) sendShard(shard *membership.Shard, now time.Time) {
	transfer := c.outgoing[shard.ID()]
	var machines []*clusterstate.Machine
	for machine := range c.State.OwnedMachinesIn(shard.ID()) {
		if (machine.IsReleasing() || machine.IsMoving()) && !machine.IsReleased() {
			return
		}
		machines = append(machines, machine)
	}
	c.Sessions.FlushResponses(shard)
	chunks := c.buildChunks(shard, machines, now)
	if chunks == nil {
		shard.AbortTransfer()
		delete(c.outgoing, shard.ID())
		c.failedAt[shard.ID()] = now
		return
	}
	c.Membership.MarkTransferred(shard)
	transfer.sentAt = now
	// Kept for this controller, in case that the recipient does not acquire the shard.
	c.payloads[shard.ID()] = newCompletePayload(shard.Epoch(), chunks, now)
	queued := c.send(transfer.recipient, chunks)
	c.log.Info("shard transfer sent", "shard", shard.ID(), "recipient", transfer.recipient,
		"workers", len(machines), "chunks", len(chunks), "queued", queued)
}
