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

// Timeout and delays of a worker, as defined by the worker protocol.
const (
	heartbeatTimeout  = 4 * time.Second        // how long a worker waits for the response to a heartbeat
	retryDelay        = time.Second            // time until the worker sends a heartbeat to the next controller, if the last heartbeat was neither accepted nor redirected
	redirectDelay     = 100 * time.Millisecond // time until the worker sends a heartbeat to the controller that it was redirected to
	changeReportDelay = 500 * time.Millisecond // time until the worker sends a heartbeat that reports a change
)

// Worker is a machine of the cluster. The cluster's lock protects its agent.
type Worker struct {
	*workeragent.Agent
	cluster    *Cluster
	ctx        context.Context // ends when the machine is stopped
	stop       context.CancelFunc
	wakeSignal chan struct{} // triggers the next heartbeat immediately
}

// run sends heartbeats until the machine is stopped. It sends them to the same controller until that
// controller does not answer or redirects the worker to another one.
func (w *Worker) run() {
	controllerIndex := 0
	for w.ctx.Err() == nil {
		nextDelay := w.sendNextHeartbeat(&controllerIndex)
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(nextDelay):
		case <-w.wakeSignal:
		}
	}
}

// outgoingHeartbeat is a heartbeat that is being sent, with the state of the network when it was sent.
type outgoingHeartbeat struct {
	heartbeat  *workerapi.Heartbeat
	agentEpoch uint64
	nodeName   string
	node       *Node // nil if the controller does not run
	isCut      bool  // the link to the controller is cut: the request times out
	isBlocked  bool  // the machine's outbound traffic is blocked: sending fails immediately
	sentAt     time.Time
}

// sendNextHeartbeat sends a heartbeat to the controller with the index *controllerIndex, executes the commands
// in the response and returns the time until the next heartbeat. If the response names the shard owner,
// *controllerIndex becomes the owner's index. If the heartbeat is neither accepted nor redirected,
// *controllerIndex is incremented.
func (w *Worker) sendNextHeartbeat(controllerIndex *int) (nextDelay time.Duration) {
	c := w.cluster
	c.WaitWhileFrozen(w.ctx, w.Host)
	outgoing := w.prepareHeartbeat(c.controllers[*controllerIndex%len(c.controllers)])
	reply := w.send(outgoing)
	answeredAt := time.Now()
	if delay := c.InboundDelay(w.Host); delay > 0 {
		remainingTime := time.Until(outgoing.sentAt.Add(heartbeatTimeout))
		_ = kvstore.Sleep(w.ctx, max(time.Millisecond, min(delay, remainingTime)))
	}
	c.WaitWhileFrozen(w.ctx, w.Host)
	if time.Since(outgoing.sentAt) >= heartbeatTimeout {
		reply = workersession.HeartbeatReply{} // the worker's request has timed out
	}
	switch {
	case reply.StatusCode == http.StatusOK:
		c.mu.Lock()
		hasChanged := w.HandleHeartbeatResponse(outgoing.agentEpoch, reply.Response, outgoing.sentAt, answeredAt)
		c.copyResponse(w.Host, outgoing.agentEpoch, reply.Response)
		c.mu.Unlock()
		if hasChanged {
			return changeReportDelay
		}
		return c.heartbeatInterval(w.Host)
	case reply.OwnerNode != "":
		if owner := slices.Index(c.controllers, reply.OwnerNode); owner >= 0 {
			*controllerIndex = owner
		}
		return redirectDelay
	}
	*controllerIndex++
	return retryDelay
}

func (w *Worker) prepareHeartbeat(nodeName string) outgoingHeartbeat {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.Expire()
	return outgoingHeartbeat{
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
func (w *Worker) send(outgoing outgoingHeartbeat) workersession.HeartbeatReply {
	c := w.cluster
	switch {
	case outgoing.isBlocked:
	case outgoing.isCut:
		c.holdHeartbeat(outgoing.nodeName, outgoing.heartbeat)
		_ = kvstore.Sleep(w.ctx, heartbeatTimeout)
	case c.sendHeartbeat != nil:
		return w.exchangeOverHTTP(outgoing)
	case outgoing.node != nil:
		return w.exchangeInMemory(outgoing)
	}
	return workersession.HeartbeatReply{}
}

// exchangeOverHTTP sends a heartbeat to a controller in a separate process, and waits for the reply.
func (w *Worker) exchangeOverHTTP(outgoing outgoingHeartbeat) workersession.HeartbeatReply {
	w.cluster.duplicateAtRandom(outgoing.heartbeat)
	reply := w.cluster.sendHeartbeat(outgoing.nodeName, outgoing.heartbeat)
	if !w.cluster.IsInboundBlocked(w.Host) {
		return reply
	}
	_ = kvstore.Sleep(w.ctx, time.Until(outgoing.sentAt.Add(heartbeatTimeout)))
	return workersession.HeartbeatReply{}
}

// exchangeInMemory passes a heartbeat to a controller in this process and waits for the reply.
func (w *Worker) exchangeInMemory(outgoing outgoingHeartbeat) workersession.HeartbeatReply {
	w.cluster.duplicateAtRandom(outgoing.heartbeat)
	replies := make(chan workersession.HeartbeatReply, 1)
	outgoing.node.Controller.HandleHeartbeat(outgoing.heartbeat, replies)
	if w.cluster.IsInboundBlocked(w.Host) {
		_ = kvstore.Sleep(w.ctx, heartbeatTimeout)
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

// heartbeatInterval returns the time between two heartbeats of a worker: the configured interval, varied
// by up to a quarter. The variation depends only on the host's name, so that a scenario is repeatable.
func (c *Cluster) heartbeatInterval(host string) time.Duration {
	hash := 0
	for _, char := range host {
		hash = (hash*31 + int(char)) % 1000
	}
	return config.Seconds((0.75 + float64(hash)/2000) * c.Cfg.Cluster.Workers.HeartbeatIntervalSeconds)
}

// FailTasksOn sets whether every task of a machine ends with an error.
func (c *Cluster) FailTasksOn(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if worker := c.workers[host]; worker != nil {
		worker.FailTasks = on
	}
}

// FinishTask ends the run time of a task now, on each machine that runs it.
func (c *Cluster) FinishTask(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.FinishTask(name)
	}
}

// FreezeMachine freezes or resumes a machine. The lease of a frozen machine can expire.
func (c *Cluster) FreezeMachine(host string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasChanged := c.SetFrozen(host, on)
	if worker := c.workers[host]; worker != nil && hasChanged {
		worker.FreezeFetches(on)
	}
}
