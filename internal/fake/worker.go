package fake

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake/workeragent"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Times of a worker, as the protocol gives them.
const (
	heartbeatTimeout = 4 * time.Second        // how long a worker waits for an answer
	retryInterval    = time.Second            // until a heartbeat to the next controller, without a good answer
	redirectInterval = 100 * time.Millisecond // until a heartbeat to the controller that it was referred to
	changeInterval   = 500 * time.Millisecond // until a heartbeat that reports a change
)

// Worker is a machine of the cluster. The cluster's lock protects its agent.
type Worker struct {
	*workeragent.Agent
	cluster *Cluster
	ctx     context.Context // ends when the machine is stopped
	stop    context.CancelFunc
	wake    chan struct{} // has a heartbeat sent at once
}

// run sends heartbeats until the machine is stopped. It stays with one controller until that one does
// not answer or refers it to another.
func (w *Worker) run() {
	target := 0 // index of a controller
	for w.ctx.Err() == nil {
		pause := w.heartbeatOnce(&target)
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(pause):
		case <-w.wake:
		}
	}
}

// outgoing is a heartbeat that is being sent, with the state of the network when it left.
type outgoing struct {
	heartbeat  *workerapi.Heartbeat
	agentEpoch uint64
	nodeName   string
	node       *Node // nil if the controller does not run
	isCut      bool  // the link to the controller is cut: there is no answer until the timeout
	isBlocked  bool  // the machine has no outbound: the worker notices it at once
	sentAt     time.Time
}

// heartbeatOnce sends a heartbeat to the target, executes the commands of the answer and returns the
// time until the next heartbeat. It selects the next target if there is no good answer.
func (w *Worker) heartbeatOnce(target *int) (pause time.Duration) {
	c := w.cluster
	c.WaitWhileFrozen(w.ctx, w.Host)
	out := w.prepareHeartbeat(c.controllers[*target%len(c.controllers)])
	reply := w.send(out)
	answeredAt := time.Now()
	if delay := c.InboundDelay(w.Host); delay > 0 {
		untilTimeout := time.Until(out.sentAt.Add(heartbeatTimeout))
		_ = kvstore.Pause(w.ctx, max(time.Millisecond, min(delay, untilTimeout)))
	}
	c.WaitWhileFrozen(w.ctx, w.Host)
	if time.Since(out.sentAt) >= heartbeatTimeout {
		reply = workersession.HeartbeatReply{} // the worker does not wait any more
	}
	switch {
	case reply.StatusCode == http.StatusOK:
		c.mu.Lock()
		hasChanged := w.Accept(out.agentEpoch, reply.Response, out.sentAt, answeredAt)
		c.mu.Unlock()
		if hasChanged {
			return changeInterval
		}
		return c.heartbeatInterval(w.Host)
	case reply.OwnerNode != "":
		if owner := slices.Index(c.controllers, reply.OwnerNode); owner >= 0 {
			*target = owner
		}
		return redirectInterval
	}
	*target++
	return retryInterval
}

func (w *Worker) prepareHeartbeat(nodeName string) outgoing {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.Expire()
	return outgoing{
		heartbeat:  w.Heartbeat(),
		agentEpoch: w.Epoch(),
		nodeName:   nodeName,
		node:       w.cluster.Nodes[nodeName],
		isCut:      w.cluster.IsCut(nodeName, w.Host),
		isBlocked:  w.cluster.IsOutboundBlocked(w.Host),
		sentAt:     time.Now(),
	}
}

// send sends a heartbeat and waits for the reply, which is empty if there is none.
func (w *Worker) send(out outgoing) workersession.HeartbeatReply {
	c := w.cluster
	switch {
	case out.isBlocked:
	case out.isCut:
		c.holdHeartbeat(out.nodeName, out.heartbeat)
		_ = kvstore.Pause(w.ctx, heartbeatTimeout)
	case c.sendHeartbeat != nil:
		return w.exchangeOverHTTP(out)
	case out.node != nil:
		return w.exchange(out)
	}
	return workersession.HeartbeatReply{}
}

// exchangeOverHTTP sends a heartbeat to a controller that is a process of its own, and waits for the reply.
func (w *Worker) exchangeOverHTTP(out outgoing) workersession.HeartbeatReply {
	w.cluster.maybeDuplicate(out.heartbeat)
	reply := w.cluster.sendHeartbeat(out.nodeName, out.heartbeat)
	if !w.cluster.IsInboundBlocked(w.Host) {
		return reply
	}
	_ = kvstore.Pause(w.ctx, time.Until(out.sentAt.Add(heartbeatTimeout)))
	return workersession.HeartbeatReply{}
}

// exchange passes a heartbeat to a running controller and waits for the reply.
func (w *Worker) exchange(out outgoing) workersession.HeartbeatReply {
	w.cluster.maybeDuplicate(out.heartbeat)
	replies := make(chan workersession.HeartbeatReply, 1)
	out.node.Controller.HandleHeartbeat(out.heartbeat, replies)
	if w.cluster.IsInboundBlocked(w.Host) {
		_ = kvstore.Pause(w.ctx, heartbeatTimeout)
		return workersession.HeartbeatReply{}
	}
	select {
	case reply := <-replies:
		return reply
	case <-time.After(heartbeatTimeout):
	case <-w.ctx.Done():
	}
	return workersession.HeartbeatReply{}
}

// heartbeatInterval returns a worker's time between two heartbeats: the configured one, varied by up to
// a quarter. The variation depends on the host's name alone, so that a scenario is repeatable.
func (c *Cluster) heartbeatInterval(host string) time.Duration {
	hash := 0
	for _, char := range host {
		hash = (hash*31 + int(char)) % 1000
	}
	return config.Seconds((0.75 + float64(hash)/2000) * c.Cfg.Cluster.Workers.HeartbeatIntervalSeconds)
}

// FreezeMachine freezes a machine while the time of its lease passes, or has it continue.
func (c *Cluster) FreezeMachine(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasChanged := c.SetFrozen(host, on)
	if worker := c.workers[host]; worker != nil && hasChanged {
		worker.FreezeFetches(on)
	}
}
