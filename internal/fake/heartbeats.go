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
	heartbeatsPerDuplicate = 4 // one in four heartbeats is duplicated, on average
	minDuplicateDelay      = 2 * time.Second
)

// DuplicateHeartbeats makes copies of random heartbeats arrive at random controllers. Each copy is
// delayed by 2 s plus a random time below maxJitter. A nil rnd ends the duplication.
func (c *Cluster) DuplicateHeartbeats(rnd *rand.Rand, maxJitter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duplicateRand, c.maxDuplicateJitter = rnd, maxJitter
}

// duplicateAtRandom sends, with a probability of one in heartbeatsPerDuplicate, a delayed copy of a heartbeat to
// a random controller. It does nothing unless DuplicateHeartbeats is in effect.
func (c *Cluster) duplicateAtRandom(heartbeat *workerapi.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rnd := c.duplicateRand
	if rnd == nil || rnd.IntN(heartbeatsPerDuplicate) > 0 {
		return
	}
	receiver := c.controllers[rnd.IntN(len(c.controllers))]
	duplicate := *heartbeat
	delay := minDuplicateDelay + time.Duration(rnd.Int64N(int64(c.maxDuplicateJitter)))
	time.AfterFunc(delay, func() { c.DeliverHeartbeat(receiver, &duplicate) })
}

// heldHeartbeat is a heartbeat that HoldHeartbeats keeps for later delivery to a controller.
type heldHeartbeat struct {
	node      string
	heartbeat *workerapi.Heartbeat
}

// HoldHeartbeats starts or ends the buffering of a machine's heartbeats. Heartbeats that the machine sends over
// a cut link are normally lost. With buffering they are kept, and are delivered in the order of sending when
// buffering ends.
func (c *Cluster) HoldHeartbeats(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.heldHeartbeats[host] = []heldHeartbeat{}
		return
	}
	heldHeartbeats := c.heldHeartbeats[host]
	delete(c.heldHeartbeats, host)
	go func() {
		for _, held := range heldHeartbeats {
			c.DeliverHeartbeat(held.node, held.heartbeat)
		}
	}()
}

// holdHeartbeat keeps a heartbeat for later delivery if HoldHeartbeats has started the buffering of
// its machine's heartbeats.
func (c *Cluster) holdHeartbeat(node string, heartbeat *workerapi.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, isBuffered := c.heldHeartbeats[heartbeat.Host]; isBuffered {
		c.heldHeartbeats[heartbeat.Host] = append(held, heldHeartbeat{node, heartbeat})
	}
}

// Heartbeats returns the next heartbeat of each machine without sending it. The machines continue with
// higher sequence numbers, so a returned heartbeat is outdated once its machine has sent another one.
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

// DeliverHeartbeat delivers a heartbeat to a controller and discards the reply. It does nothing if the
// controller does not run.
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
