// Package network is the state of the connections of an in-memory cluster: which of them tests have
// cut, blocked or delayed, and which machines are frozen.
package network

import (
	"context"
	"sync"
	"time"
)

// transferChunkTime is how long a chunk of a transfer between controllers takes at least.
const transferChunkTime = time.Millisecond

// PeerLink is the state of the connections between the controllers.
type PeerLink struct {
	IsCut      bool          // between all controllers
	Isolated   string        // a controller that neither receives nor sends peer messages
	DropChunks int           // how many of the next transfer chunks are lost
	Delay      time.Duration // of transfer chunks, beyond a millisecond each
}

// link is the connection between a controller and a machine.
type link struct{ node, host string }

// Network is the state of all connections. Its methods are safe for concurrent use.
type Network struct {
	mu              sync.Mutex
	peerLink        PeerLink
	cutLinks        map[link]bool
	isolated        map[string]bool // machines that nothing reaches and that reach nothing
	inboundBlocked  map[string]bool // machines that nothing reaches
	outboundBlocked map[string]bool // machines that reach no controller
	inboundDelays   map[string]time.Duration
	frozen          map[string]chan struct{} // by machine; closed when it continues
}

// New creates a network in which everything is connected.
func New() *Network {
	return &Network{
		cutLinks:        map[link]bool{},
		isolated:        map[string]bool{},
		inboundBlocked:  map[string]bool{},
		outboundBlocked: map[string]bool{},
		inboundDelays:   map[string]time.Duration{},
		frozen:          map[string]chan struct{}{},
	}
}

// CutLink cuts the connection between a controller and a machine, or restores it.
func (n *Network) CutLink(node, host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[link{node, host}] = on
}

// IsolateWorker cuts the connections between a machine and all controllers, or restores them.
func (n *Network) IsolateWorker(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = on
}

// IsCut reports whether a controller and a machine are not connected.
func (n *Network) IsCut(node, host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[link{node, host}] || n.isolated[host]
}

// BlockInbound blocks all that is sent to a machine, commands and answers, or ends that. Its heartbeats
// arrive.
func (n *Network) BlockInbound(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundBlocked[host] = on
}

// IsInboundBlocked reports whether nothing reaches a machine.
func (n *Network) IsInboundBlocked(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundBlocked[host]
}

// BlockOutbound blocks the heartbeats of a machine, or ends that. Direct commands reach it and are
// answered.
func (n *Network) BlockOutbound(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outboundBlocked[host] = on
}

// IsOutboundBlocked reports whether no heartbeat of a machine arrives.
func (n *Network) IsOutboundBlocked(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outboundBlocked[host]
}

// DelayInbound delays all that is sent to a machine, commands and answers; a delay of 0 ends that.
func (n *Network) DelayInbound(host string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundDelays[host] = delay
}

// InboundDelay is the delay of all that is sent to a machine.
func (n *Network) InboundDelay(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundDelays[host]
}

// SetFrozen freezes a machine or has it continue, and reports whether that has changed anything.
func (n *Network) SetFrozen(host string, on bool) (hasChanged bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	frozen := n.frozen[host]
	if on == (frozen != nil) {
		return false
	}
	if on {
		n.frozen[host] = make(chan struct{})
	} else {
		close(frozen)
		delete(n.frozen, host)
	}
	return true
}

// IsFrozen reports whether a machine is frozen.
func (n *Network) IsFrozen(host string) bool { return n.Unfrozen(host) != nil }

// Unfrozen returns a channel that is closed when a machine continues, nil if it is not frozen.
func (n *Network) Unfrozen(host string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen := n.frozen[host]; frozen != nil {
		return frozen
	}
	return nil
}

// WaitWhileFrozen returns once a machine is not frozen, or when ctx ends.
func (n *Network) WaitWhileFrozen(ctx context.Context, host string) {
	unfrozen := n.Unfrozen(host)
	if unfrozen == nil {
		return
	}
	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}

// SetPeerLink changes the connections between the controllers.
func (n *Network) SetPeerLink(peerLink PeerLink) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerLink = peerLink
}

// ArePeersCut reports whether two controllers are not connected.
func (n *Network) ArePeersCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerLink.IsCut || n.peerLink.Isolated == from || n.peerLink.Isolated == to
}

// NextChunk returns how long the next transfer chunk takes and whether it is lost. Each call counts as
// one chunk.
func (n *Network) NextChunk() (delay time.Duration, isDropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isDropped = n.peerLink.DropChunks > 0
	if isDropped {
		n.peerLink.DropChunks--
	}
	return n.peerLink.Delay + transferChunkTime, isDropped
}
