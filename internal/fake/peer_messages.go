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

// sendPeerHeartbeats sends the heartbeats of a controller to its peers until ctx ends.
func (c *Cluster) sendPeerHeartbeats(ctx context.Context, name string, ctl *controller.Controller) {
	for kvstore.Sleep(ctx, tuning.PeerHeartbeatInterval) == nil {
		if heartbeat, ok := ctl.PeerHeartbeat(); ok {
			for _, to := range c.controllers {
				c.sendHeartbeatTo(name, to, heartbeat) //nolint:contextcheck // the receiver has a context of its own
			}
		}
	}
}

// sendHeartbeatTo passes a heartbeat from one controller to another, after PeerLink.HeartbeatDelay.
func (c *Cluster) sendHeartbeatTo(from, to string, heartbeat peer.Heartbeat) {
	delay := c.HeartbeatDelay()
	if delay == 0 {
		c.deliverPeerMessage(from, to, heartbeat)
		return
	}
	time.AfterFunc(delay, func() { c.deliverPeerMessage(from, to, heartbeat) })
}

// sendTransfer sends the chunks of a transfer in order. It continues even if the sending
// controller ends before all chunks are sent.
func (c *Cluster) sendTransfer(from, to string, chunks []*peer.TransferChunk) {
	for _, chunk := range chunks {
		delay, isDropped := c.NextChunk()
		if kvstore.Sleep(c.ctx, delay) != nil {
			return
		}
		if !isDropped {
			c.deliverPeerMessage(from, to, peer.Heartbeat{Node: from, TransferChunk: chunk, Synced: true})
		}
	}
}

// deliverPeerMessage passes a message in its encoded form from one controller to another.
func (c *Cluster) deliverPeerMessage(from, to string, message peer.Heartbeat) {
	node := c.node(to)
	if node == nil || from == to || c.ArePeersCut(from, to) {
		return
	}
	received, err := peer.ReadFrame(bytes.NewReader(peer.Encode(message)))
	if err != nil {
		panic(err)
	}
	node.Controller.HandlePeerHeartbeat(received)
}
