package fake

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

const (
	duplicateEvery    = 4 // one of so many heartbeats is duplicated
	minDuplicateDelay = 2 * time.Second
)

// CutLink cuts the connection between a controller and a machine, or restores it.
func (c *Cluster) CutLink(node, host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.cutLinks[link{node, host}] = on
}

// IsolateWorker cuts the connections between a machine and all controllers, or restores them.
func (c *Cluster) IsolateWorker(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.isolated[host] = on
}

// isCut reports whether a controller and a machine are not connected. The lock must be held.
func (c *Cluster) isCut(node, host string) bool {
	return c.network.cutLinks[link{node, host}] || c.network.isolated[host]
}

// BlockInbound has nothing reach a machine although its heartbeats arrive, or ends that.
func (c *Cluster) BlockInbound(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[host].inboundBlocked = on
}

// BlockOutbound has no heartbeat of a machine arrive although direct commands reach it, or ends
// that.
func (c *Cluster) BlockOutbound(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[host].outboundBlocked = on
}

// DelayInbound delays all that is sent to a machine, commands and answers; 0 ends it.
func (c *Cluster) DelayInbound(host string, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.inboundDelays[host] = delay
}

func (c *Cluster) inboundDelay(host string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.network.inboundDelays[host]
}

// FreezeMachine has a machine stand still while its lease continues to run, or has it continue.
func (c *Cluster) FreezeMachine(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	frozen, worker := c.network.frozen[host], c.workers[host]
	if on == (frozen != nil) {
		return
	}
	if on {
		c.network.frozen[host] = make(chan struct{})
	} else {
		close(frozen)
		delete(c.network.frozen, host)
	}
	if worker != nil {
		worker.freezeFetches(on)
	}
}

// waitWhileFrozen returns once a machine is not frozen.
func (c *Cluster) waitWhileFrozen(ctx context.Context, host string) {
	c.mu.Lock()
	frozen := c.network.frozen[host]
	c.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

// SetImageFetchTime sets how long machines need to fetch a task's image; 0 for no time.
func (c *Cluster) SetImageFetchTime(fetchTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.imageFetchTime = fetchTime
}

// DuplicateHeartbeats has copies of random heartbeats arrive at random controllers, 2 s and up to
// delay late; a nil rnd ends it.
func (c *Cluster) DuplicateHeartbeats(rnd *rand.Rand, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.duplicateRand, c.network.duplicateDelay = rnd, delay
}

// maybeDuplicate sends a copy of a heartbeat, by chance.
func (c *Cluster) maybeDuplicate(heartbeat *workerapi.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rnd := c.network.duplicateRand
	if rnd == nil || rnd.IntN(duplicateEvery) > 0 {
		return
	}
	to := c.controllers[rnd.IntN(len(c.controllers))]
	duplicate := *heartbeat
	delay := minDuplicateDelay + time.Duration(rnd.Int64N(int64(c.network.duplicateDelay)))
	time.AfterFunc(delay, func() { c.DeliverHeartbeat(to, &duplicate) })
}

// heldHeartbeat is a heartbeat to a controller that arrives later.
type heldHeartbeat struct {
	node      string
	heartbeat *workerapi.Heartbeat
}

// HoldHeartbeats has the heartbeats of a machine that a cut stops held until it is called with false,
// and delivered then in their order.
func (c *Cluster) HoldHeartbeats(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.network.heldHeartbeats[host] = []heldHeartbeat{}
		return
	}
	held := c.network.heldHeartbeats[host]
	delete(c.network.heldHeartbeats, host)
	go func() {
		for _, each := range held {
			c.DeliverHeartbeat(each.node, each.heartbeat)
		}
	}()
}

// holdHeartbeat holds a heartbeat if those of its machine are held.
func (c *Cluster) holdHeartbeat(node string, heartbeat *workerapi.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, on := c.network.heldHeartbeats[heartbeat.Host]; on {
		c.network.heldHeartbeats[heartbeat.Host] = append(held, heldHeartbeat{node, heartbeat})
	}
}

// Heartbeats returns the heartbeats that the machines would send now. Their sequence numbers count
// as sent.
func (c *Cluster) Heartbeats() []*workerapi.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var heartbeats []*workerapi.Heartbeat
	for _, host := range slices.Sorted(maps.Keys(c.workers)) {
		c.workers[host].expire()
		heartbeats = append(heartbeats, c.workers[host].heartbeat())
	}
	return heartbeats
}

// DeliverHeartbeat delivers a heartbeat to a controller. Its reply is dropped.
func (c *Cluster) DeliverHeartbeat(node string, heartbeat *workerapi.Heartbeat) {
	target := c.node(node)
	if target != nil && c.ctx.Err() == nil {
		target.Controller.HandleHeartbeat(heartbeat, make(chan workersession.HeartbeatReply, 1))
	}
}
