package fake

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

const (
	duplicateEvery    = 4 // one in so many heartbeats is duplicated
	minDuplicateDelay = 2 * time.Second
)

// DuplicateHeartbeats has copies of random heartbeats arrive at random controllers, late by 2 s and a
// random time below delay; a nil rnd ends it.
func (c *Cluster) DuplicateHeartbeats(rnd *rand.Rand, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duplicateRand, c.duplicateDelay = rnd, delay
}

// maybeDuplicate sends a copy of a heartbeat, by chance.
func (c *Cluster) maybeDuplicate(heartbeat *workerapi.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rnd := c.duplicateRand
	if rnd == nil || rnd.IntN(duplicateEvery) > 0 {
		return
	}
	to := c.controllers[rnd.IntN(len(c.controllers))]
	duplicate := *heartbeat
	delay := minDuplicateDelay + time.Duration(rnd.Int64N(int64(c.duplicateDelay)))
	time.AfterFunc(delay, func() { c.DeliverHeartbeat(to, &duplicate) })
}

// heldHeartbeat is a heartbeat to a controller that arrives later.
type heldHeartbeat struct {
	node      string
	heartbeat *workerapi.Heartbeat
}

// HoldHeartbeats starts or ends the holding of a machine's heartbeats. While it is on, heartbeats that
// a cut link stops are held instead of lost; when it ends, they are delivered in sequence.
func (c *Cluster) HoldHeartbeats(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.heldHeartbeats[host] = []heldHeartbeat{}
		return
	}
	held := c.heldHeartbeats[host]
	delete(c.heldHeartbeats, host)
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
	if held, on := c.heldHeartbeats[heartbeat.Host]; on {
		c.heldHeartbeats[heartbeat.Host] = append(held, heldHeartbeat{node, heartbeat})
	}
}

// Heartbeats returns the next heartbeat of each machine without sending it. The machines continue with
// higher sequence numbers, so that these heartbeats are outdated once others were sent.
func (c *Cluster) Heartbeats() []*workerapi.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var heartbeats []*workerapi.Heartbeat
	for _, host := range slices.Sorted(maps.Keys(c.workers)) {
		c.workers[host].Expire()
		heartbeats = append(heartbeats, c.workers[host].Heartbeat())
	}
	return heartbeats
}

// DeliverHeartbeat delivers a heartbeat to a controller. Its reply is dropped.
func (c *Cluster) DeliverHeartbeat(node string, heartbeat *workerapi.Heartbeat) {
	if c.sendHeartbeat != nil {
		go c.sendHeartbeat(node, heartbeat)
		return
	}
	target := c.node(node)
	if target != nil && c.ctx.Err() == nil {
		target.Controller.HandleHeartbeat(heartbeat, make(chan workersession.HeartbeatReply, 1))
	}
}
