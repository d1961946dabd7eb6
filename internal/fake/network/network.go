// Package network holds the state of the connections in an in-memory cluster: which connections tests have
// cut, blocked or delayed, and which machines are frozen.
package network

import (
	"context"
	"sync"
	"time"
)

// minChunkTransferTime is the minimum time for sending one chunk of a transfer between controllers.
const minChunkTransferTime = time.Millisecond

// PeerLink is the state of the connections between the controllers.
type PeerLink struct {
	IsCut        bool          // no controller reaches another one
	IsolatedNode string        // a controller that neither receives nor sends peer messages, empty for none
	ChunksToDrop int           // how many of the next transfer chunks are lost
	Delay        time.Duration // time added to the minimum transfer time of each transfer chunk, which is a millisecond
	// HeartbeatDelay is the time for which each heartbeat is held on its way. Heartbeats that are on their way when it
	// is changed keep their delay.
	HeartbeatDelay time.Duration
}

// link is the connection between a controller and a machine.
type link struct{ node, host string }

// Network is the state of all connections. Its methods are safe for concurrent use.
type Network struct {
	mu              sync.Mutex
	peerLink        PeerLink
	cutLinks        map[link]bool
	isolated        map[string]bool // machines without a connection to any controller
	inboundBlocked  map[string]bool // machines that receive nothing
	outboundBlocked map[string]bool // machines whose heartbeats are lost
	inboundDelays   map[string]time.Duration
	frozen          map[string]chan struct{} // by frozen machine; the channel is closed when the machine resumes
}

// New creates a network without faults.
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

// IsCut reports whether the connection between a controller and a machine is cut.
func (n *Network) IsCut(node, host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[link{node, host}] || n.isolated[host]
}

// BlockInbound blocks or unblocks all inbound traffic of a machine: commands and responses. The machine's
// heartbeats still arrive.
func (n *Network) BlockInbound(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundBlocked[host] = on
}

// IsInboundBlocked reports whether the inbound traffic of a machine is blocked.
func (n *Network) IsInboundBlocked(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundBlocked[host]
}

// BlockOutbound blocks or unblocks the heartbeats of a machine. Direct commands still reach the machine,
// and the controller gets the responses.
func (n *Network) BlockOutbound(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outboundBlocked[host] = on
}

// IsOutboundBlocked reports whether the heartbeats of a machine are blocked.
func (n *Network) IsOutboundBlocked(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outboundBlocked[host]
}

// DelayInbound delays all inbound traffic of a machine: commands and responses. A delay of 0
// removes the delay.
func (n *Network) DelayInbound(host string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundDelays[host] = delay
}

// InboundDelay returns the delay of a machine's inbound traffic.
func (n *Network) InboundDelay(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundDelays[host]
}

// SetFrozen freezes or resumes a machine, and reports whether the state of the machine has changed.
func (n *Network) SetFrozen(host string, on bool) (hasChanged bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	resumeChannel := n.frozen[host]
	if on == (resumeChannel != nil) {
		return false
	}
	if on {
		n.frozen[host] = make(chan struct{})
	} else {
		close(resumeChannel)
		delete(n.frozen, host)
	}
	return true
}

// IsFrozen reports whether a machine is frozen.
func (n *Network) IsFrozen(host string) bool { return n.ResumeChannel(host) != nil }

// ResumeChannel returns a channel that is closed when a frozen machine resumes, or nil if the machine is
// not frozen.
func (n *Network) ResumeChannel(host string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumeChannel := n.frozen[host]; resumeChannel != nil {
		return resumeChannel
	}
	return nil
}

// WaitWhileFrozen waits while a machine is frozen, at most until ctx ends.
func (n *Network) WaitWhileFrozen(ctx context.Context, host string) {
	resumeChannel := n.ResumeChannel(host)
	if resumeChannel == nil {
		return
	}
	select {
	case <-resumeChannel:
	case <-ctx.Done():
	}
}

// SetPeerLink changes the connections between the controllers.
func (n *Network) SetPeerLink(peerLink PeerLink) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerLink = peerLink
}

// ArePeersCut reports whether the connection between two controllers is cut.
func (n *Network) ArePeersCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerLink.IsCut || n.peerLink.IsolatedNode == from || n.peerLink.IsolatedNode == to
}

// HeartbeatDelay returns how long the heartbeats of the controllers are held on their way.
func (n *Network) HeartbeatDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerLink.HeartbeatDelay
}

// NextChunk returns how long the next transfer chunk takes and whether it is lost. Each call counts as
// sending one chunk.
func (n *Network) NextChunk() (delay time.Duration, isDropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isDropped = n.peerLink.ChunksToDrop > 0
	if isDropped {
		n.peerLink.ChunksToDrop--
	}
	return n.peerLink.Delay + minChunkTransferTime, isDropped
}
