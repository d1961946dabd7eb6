package fake

import (
	"context"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// commandLatency is how long a direct command or probe takes.
const commandLatency = time.Millisecond

// commandClient sends the direct commands of one controller to the workers. It implements
// workersession.WorkerClient.
type commandClient struct {
	cluster *Cluster
	node    string
}

// reachableWorker returns the worker of an address, nil if the controller can not reach it. The
// cluster's lock must be held.
func (client commandClient) reachableWorker(addr string) *Worker {
	c := client.cluster
	worker := c.workers[addr]
	if worker == nil || c.IsInboundBlocked(addr) || c.IsCut(client.node, addr) {
		return nil
	}
	return worker
}

// Probe sends a worker a fencing token and returns its heartbeat. For an unreachable worker the error
// is returned only after the timeout of a first contact.
func (client commandClient) Probe(ctx context.Context, addr string, token, _ uint64) (*workerapi.Heartbeat, error) {
	if err := kvstore.Pause(ctx, commandLatency); err != nil {
		return nil, err
	}
	c := client.cluster
	if delay := c.InboundDelay(addr); delay > 0 {
		client.probeLate(addr, token, delay)
		return nil, waitForTimeout(ctx)
	}
	c.mu.Lock()
	worker := client.reachableWorker(addr)
	if worker == nil {
		c.mu.Unlock()
		return nil, waitForTimeout(ctx)
	}
	defer c.mu.Unlock()
	if err := worker.Probe(token); err != nil {
		return nil, err
	}
	c.probeCount++
	return worker.Heartbeat(), nil
}

// probeLate sends a worker a fencing token after a delay. The controller has timed out by then, but the
// token takes effect.
func (client commandClient) probeLate(addr string, token uint64, delay time.Duration) {
	c := client.cluster
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		worker := c.workers[addr]
		if worker != nil && !c.IsInboundBlocked(addr) && c.ctx.Err() == nil {
			_ = worker.Probe(token) // no controller waits for the answer
		}
	})
}

// Execute has a worker execute commands, and returns its heartbeat and whether it executed them. A
// delayed or frozen machine executes them after the controller has timed out.
func (client commandClient) Execute(ctx context.Context, addr string, request workerapi.CommandRequest) (*workerapi.Heartbeat, bool, error) {
	if err := kvstore.Pause(ctx, commandLatency); err != nil {
		return nil, false, err
	}
	c := client.cluster
	c.mu.Lock()
	worker := client.reachableWorker(addr)
	if worker == nil {
		c.mu.Unlock()
		return nil, false, waitForTimeout(ctx)
	}
	delay, unfrozen := c.InboundDelay(addr), c.Unfrozen(addr)
	if delay == 0 && unfrozen == nil {
		defer c.mu.Unlock()
		heartbeat, done := worker.Execute(request)
		return heartbeat, done, nil
	}
	c.mu.Unlock()
	go c.executeLate(worker, request, delay, unfrozen)
	return nil, false, waitForTimeout(ctx)
}

// executeLate has a worker execute commands after a delay and, if its machine was frozen when they
// were sent, once it continues.
func (c *Cluster) executeLate(worker *Worker, request workerapi.CommandRequest, delay time.Duration, unfrozen <-chan struct{}) {
	if delay > 0 && kvstore.Pause(c.ctx, delay) != nil {
		return
	}
	if unfrozen != nil {
		select {
		case <-unfrozen:
		case <-c.ctx.Done():
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[worker.Host] == worker && !c.IsInboundBlocked(worker.Host) {
		worker.Execute(request)
	}
}

// Inspect returns context.DeadlineExceeded, without any delay, if a worker is not reachable.
func (client commandClient) Inspect(_ context.Context, addr string) error {
	client.cluster.mu.Lock()
	defer client.cluster.mu.Unlock()
	if client.reachableWorker(addr) == nil {
		return context.DeadlineExceeded
	}
	return nil
}

// waitForTimeout waits as long as a controller does for a worker that does not answer.
func waitForTimeout(ctx context.Context) error {
	_ = kvstore.Pause(ctx, tuning.FirstContactTimeout)
	return context.DeadlineExceeded
}

// ProbeCount returns how many probes the workers have answered.
func (c *Cluster) ProbeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probeCount
}
