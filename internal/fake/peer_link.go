package fake

import (
	"bytes"
	"context"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// transferChunkTime is how long a chunk of a transfer takes at least.
const transferChunkTime = time.Millisecond

// PeerLink is the state of the connections between the controllers.
type PeerLink struct {
	IsCut      bool          // between all controllers
	Isolated   string        // a controller that neither receives nor sends peer messages
	DropPieces int           // how many of the next transfer chunks are lost
	Delay      time.Duration // of transfer chunks, beyond a millisecond each
}

// SetPeerLink changes the connections between the controllers.
func (c *Cluster) SetPeerLink(peerLink PeerLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.peerLink = peerLink
}

// sendPeerHeartbeats sends the heartbeats of a controller to its peers until ctx ends.
func (c *Cluster) sendPeerHeartbeats(ctx context.Context, name string, ctl *controller.Controller) {
	for kvstore.Pause(ctx, tuning.PeerHeartbeatInterval) == nil {
		if heartbeat, ok := ctl.PeerHeartbeat(); ok {
			for _, to := range c.controllers {
				c.deliverPeerMessage(name, to, heartbeat) //nolint:contextcheck // the receiver has a context of its own
			}
		}
	}
}

// sendTransfer sends the chunks of a transfer one after another. The sender may have ended before
// they arrive.
func (c *Cluster) sendTransfer(from, to string, chunks []*peer.TransferChunk) {
	for _, chunk := range chunks {
		delay, isDropped := c.nextChunk()
		if kvstore.Pause(c.ctx, delay) != nil {
			return
		}
		if !isDropped {
			c.deliverPeerMessage(from, to, peer.Heartbeat{Node: from, TransferChunk: chunk, Synced: true})
		}
	}
}

// nextChunk returns how long the next transfer chunk takes and whether it is lost.
func (c *Cluster) nextChunk() (delay time.Duration, isDropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isDropped = c.network.peerLink.DropPieces > 0
	if isDropped {
		c.network.peerLink.DropPieces--
	}
	return c.network.peerLink.Delay + transferChunkTime, isDropped
}

// deliverPeerMessage passes a message in its encoded form from one controller to another.
func (c *Cluster) deliverPeerMessage(from, to string, message peer.Heartbeat) {
	c.mu.Lock()
	peerLink, node := c.network.peerLink, c.Nodes[to]
	c.mu.Unlock()
	isCut := peerLink.IsCut || peerLink.Isolated == from || peerLink.Isolated == to
	if node == nil || isCut || from == to {
		return
	}
	received, err := peer.ReadFrame(bytes.NewReader(peer.Encode(message)))
	if err != nil {
		panic(err)
	}
	node.Controller.HandlePeerHeartbeat(received)
}
