// Package handover transfers the ownership of a shard between two live controllers without the
// new owner having to probe the shard's workers.
//
// The old owner sends the state of the shard's machines and tasks to the recipient and stops
// responding to the shard's workers. The recipient acquires the shard by the usual conditional
// write and restores the received state (docs/membership.md). If the transfer fails at any point,
// one of the two controllers still ends up as the owner, and reconciliation establishes the missing
// state of the workers, as it does after a crash.
package handover

import (
	"log/slog"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workersession"
)

// Dependencies are the components whose state a transfer reads or changes. They belong to the same
// actor as the Coordinator.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
	Sessions   *workersession.Manager
	Reconciler *reconciliation.Reconciler
	Peers      *peerstatus.Tracker
}

// SendFunc queues chunks for another controller and reports whether the queue had room for all of
// them.
type SendFunc func(to string, chunks []*peer.TransferChunk) bool

// Coordinator runs all transfers in which this controller is the old owner or the recipient. It is
// not safe for concurrent use: a single actor owns it.
type Coordinator struct {
	Dependencies
	cfg  *config.Config
	log  *slog.Logger
	send SendFunc

	// The transfers in which this controller is the recipient, by shard.
	requestedAt map[string]time.Time // when this controller first requested the shard from its owner
	payloads    map[string]*payload  // received from the old owner, or sent by this controller

	// The transfers in which this controller is the old owner, by shard.
	outgoingTransfers map[string]*outgoingTransfer
	failedAt          map[string]time.Time // when a transfer of the shard last failed

	isLeaving      bool       // whether this controller is shutting down
	endedTransfers []Transfer // transfers that have ended, the latest last
}

// New returns a coordinator with no transfers under way.
func New(cfg *config.Config, dependencies Dependencies, send SendFunc, log *slog.Logger) *Coordinator {
	c := &Coordinator{Dependencies: dependencies, cfg: cfg, log: log, send: send}
	c.Reset()
	return c
}

// Reset drops all transfers under way, because the records are about to be read again. It does not
// change which shards are marked as transferred: membership.Table keeps these marks.
func (c *Coordinator) Reset() {
	c.requestedAt = map[string]time.Time{}
	c.payloads = map[string]*payload{}
	c.outgoingTransfers = map[string]*outgoingTransfer{}
	c.failedAt = map[string]time.Time{}
}

// PrepareShutdown prepares the shutdown of this controller. From then on the controller acquires no
// more shards, and transfers its own shards to any controller that requests them.
func (c *Coordinator) PrepareShutdown() {
	c.isLeaving = true
	c.Cache.StopAcquiringShards()
}

// Tick advances all transfers. It must be called several times a second.
func (c *Coordinator) Tick(now time.Time) {
	c.advanceOutgoingTransfers(now)
	c.reacquireUntrackedShards(now)
	c.requestFromLeavingOwners(now)
	c.advanceRequests(now)
	c.dropExpiredPayloads(now)
	c.ApplyPayloads(now)
}

// HandleCacheAdvance continues transfers that waited for the cache to apply later revisions.
// Waiting for the next Tick would double the time during which no controller responds to the
// shard's workers.
func (c *Coordinator) HandleCacheAdvance(now time.Time) {
	for id := range c.requestedAt {
		c.acquireIfComplete(id, now)
	}
	c.ApplyPayloads(now)
}

// isOwnedByLivePeer reports whether the shard's owner is another controller that is live.
func (c *Coordinator) isOwnedByLivePeer(shard *membership.Shard) bool {
	return c.Membership.OwnerIsLive(shard) && !shard.IsLocal()
}

// leavingPredicate returns a function that reports whether a controller has announced its shutdown.
func (c *Coordinator) leavingPredicate(now time.Time) func(controller string) bool {
	return func(controller string) bool { return c.Peers.IsLeaving(controller, now) }
}

// dropExpiredPayloads drops payloads that are too old to be used. A payload that this controller
// sent is kept until the shard has another owner, because this controller applies the payload
// itself if no other controller acquires the shard.
func (c *Coordinator) dropExpiredPayloads(now time.Time) {
	for id, payload := range c.payloads {
		shard := c.Membership.Shard(id)
		isExpired := now.Sub(payload.updatedAt) > 2*tuning.TransferTimeout
		if isExpired && (shard == nil || !shard.IsTransferred()) {
			delete(c.payloads, id)
		}
	}
}
