package handover

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// outgoingTransfer is the transfer of a local shard to the controller that has requested it.
type outgoingTransfer struct {
	epoch       uint64
	recipient   string
	requestedAt time.Time
	sentAt      time.Time // zero while the transfer waits for releases and moves of the shard's machines
}

func (o *outgoingTransfer) isSent() bool { return !o.sentAt.IsZero() }

// HandleRequests starts the transfer of the shards that another controller requests in its
// heartbeat. It is called for every such heartbeat.
func (c *Coordinator) HandleRequests(sender string, ids []string, now time.Time) {
	for _, id := range ids {
		shard := c.Membership.Shard(id)
		if !c.canTransfer(shard, id, sender, now) {
			continue
		}
		c.outgoingTransfers[id] = &outgoingTransfer{epoch: shard.Epoch(), recipient: sender, requestedAt: now}
		shard.PrepareTransfer() // prevents new releases and moves of the shard's machines
		c.sendShard(shard, now)
	}
}

// canTransfer reports whether a transfer of a shard can begin. Unless this controller is shutting
// down, it transfers a shard only to the shard's home controller. An unreconciled shard is not
// transferred: its snapshot could lack running tasks, which the recipient would start a second
// time. No shard is transferred while the cache is stale, because the cache may not show yet that
// the shard has another owner.
func (c *Coordinator) canTransfer(shard *membership.Shard, id, recipient string, now time.Time) bool {
	switch {
	case id != recipient && !c.isLeaving:
		return false
	case shard == nil || !shard.IsLocal() || !shard.IsReconciled() || shard.IsTransferred():
		return false
	case c.outgoingTransfers[id] != nil || c.Cache.IsStale(now) || !c.Membership.IsLive(recipient, 0):
		return false
	}
	return now.Sub(c.failedAt[id]) >= tuning.TransferRetryDelay
}

// advanceOutgoingTransfers sends the shards that could not be sent before, and ends transfers that
// are done or have timed out.
func (c *Coordinator) advanceOutgoingTransfers(now time.Time) {
	for id, transfer := range c.outgoingTransfers {
		shard := c.Membership.Shard(id)
		switch {
		case shard == nil || !shard.IsLocal() || shard.Epoch() != transfer.epoch:
			c.endOutgoingTransfer(id, transfer, shard, now)
		case !transfer.isSent() && now.Sub(transfer.requestedAt) < tuning.TransferTimeout:
			c.sendShard(shard, now)
		case !transfer.isSent(): // releases or moves took too long: this controller keeps the shard
			shard.AbortTransfer()
			delete(c.outgoingTransfers, id)
		case now.Sub(transfer.sentAt) > tuning.TransferTimeout:
			// The recipient has not acquired the shard, but its write may still arrive. A new
			// epoch of this controller makes that write fail. Otherwise both controllers could
			// command the workers.
			c.Cache.ReacquireShard(shard, now)
		}
	}
}

// endOutgoingTransfer ends a transfer after its shard got another owner or a new epoch. shard is
// nil if the shard's record no longer exists.
func (c *Coordinator) endOutgoingTransfer(id string, transfer *outgoingTransfer, shard *membership.Shard, now time.Time) {
	delete(c.outgoingTransfers, id)
	if !transfer.isSent() || shard == nil {
		return
	}
	switch {
	case shard.Owner() == transfer.recipient:
		c.recordEndedTransfer(id, transfer.recipient, OutcomeTransferred, transfer.sentAt, now)
		c.log.Info("shard transferred", "shard", id, "recipient", transfer.recipient, "after_s", now.Sub(transfer.sentAt).Seconds())
	case shard.IsLocal():
		c.failedAt[id] = now
		c.recordEndedTransfer(id, transfer.recipient, OutcomeReacquired, transfer.sentAt, now)
		c.log.Info("shard transfer failed, shard reacquired", "shard", id, "recipient", transfer.recipient)
	}
}

// reacquireUntrackedShards reacquires the local shards that are marked as transferred but have no
// outgoing transfer. This happens if the records were read again during a transfer: then Reset
// drops the outgoing transfer, but membership.Table keeps the mark.
func (c *Coordinator) reacquireUntrackedShards(now time.Time) {
	for _, shard := range c.Membership.LocalShards() {
		if shard.IsTransferred() && c.outgoingTransfers[shard.ID()] == nil {
			c.Cache.ReacquireShard(shard, now)
		}
	}
}

// sendShard sends the state of a shard to the recipient and stops responding to the shard's
// workers. While one of the shard's machines is being released or moved, sendShard does nothing and
// Tick calls it again: the result of the release or move is not known yet, so the snapshot could be
// wrong about the machine. If the shard is too large for a transfer, this controller keeps it.
func (c *Coordinator) sendShard(shard *membership.Shard, now time.Time) {
	transfer := c.outgoingTransfers[shard.ID()]
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
		delete(c.outgoingTransfers, shard.ID())
		c.failedAt[shard.ID()] = now
		return
	}
	c.Membership.MarkTransferred(shard)
	transfer.sentAt = now
	// This controller applies the payload itself if the recipient does not acquire the shard.
	c.payloads[shard.ID()] = newCompletePayload(shard.Epoch(), chunks, now)
	allQueued := c.send(transfer.recipient, chunks)
	c.log.Info("shard transfer sent", "shard", shard.ID(), "recipient", transfer.recipient,
		"workers", len(machines), "chunks", len(chunks), "queued", allQueued)
}
