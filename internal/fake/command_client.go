package fake

import (
	"context"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// commandLatency is the duration of a direct command or probe to a reachable worker.
const commandLatency = time.Millisecond

// commandClient sends the direct commands of one controller to the workers. It implements
// workersession.WorkerClient.
type commandClient struct {
	cluster *Cluster
	node    string
}

// reachableWorker returns the worker with an address, or nil if the controller cannot reach it. The
// cluster's lock must be held.
func (client commandClient) reachableWorker(addr string) *Worker {
	c := client.cluster
	worker := c.workers[addr]
	if worker == nil || c.IsInboundBlocked(addr) || c.IsCut(client.node, addr) {
		return nil
	}
	return worker
}

// Probe sends a fencing token to a worker and returns the worker's heartbeat. If the worker is not
// reachable, it returns context.DeadlineExceeded after tuning.FirstContactTimeout.
func (client commandClient) Probe(ctx context.Context, addr string, token, _ uint64) (*workerapi.Heartbeat, error) {
	if err := kvstore.Sleep(ctx, commandLatency); err != nil {
		return nil, err
	}
	c := client.cluster
	if delay := c.InboundDelay(addr); delay > 0 {
		client.probeDelayed(addr, token, delay)
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
	c.answeredProbeCount++
	c.copyRequest(addr, workerapi.CommandRequest{FencingToken: token, AgentEpoch: worker.Epoch()})
	return worker.Heartbeat(), nil
}

// probeDelayed sends a fencing token to a worker after a delay. The controller's request times out, but
// the token takes effect.
func (client commandClient) probeDelayed(addr string, token uint64, delay time.Duration) {
	c := client.cluster
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		worker := c.workers[addr]
		if worker != nil && !c.IsInboundBlocked(addr) && c.ctx.Err() == nil {
			_ = worker.Probe(token) // no controller waits for the response
		}
	})
}

// Execute sends commands to a worker, and returns the worker's heartbeat and whether it executed the
// commands. If the machine is frozen or its inbound traffic is delayed, the controller's request times
// out, and the machine executes the commands later.
func (client commandClient) Execute(ctx context.Context, addr string, request workerapi.CommandRequest) (*workerapi.Heartbeat, bool, error) {
	if err := kvstore.Sleep(ctx, commandLatency); err != nil {
		return nil, false, err
	}
	c := client.cluster
	c.mu.Lock()
	worker := client.reachableWorker(addr)
	if worker == nil {
		c.mu.Unlock()
		return nil, false, waitForTimeout(ctx)
	}
	delay, resumeChannel := c.InboundDelay(addr), c.ResumeChannel(addr)
	if delay == 0 && resumeChannel == nil {
		defer c.mu.Unlock()
		heartbeat, isExecuted := worker.Execute(request)
		c.copyRequest(addr, request)
		return heartbeat, isExecuted, nil
	}
	c.mu.Unlock()
	go c.executeDelayed(worker, request, delay, resumeChannel)
	return nil, false, waitForTimeout(ctx)
}

// executeDelayed makes a worker execute commands after a delay. For a machine that was frozen when the
// commands were sent, resumeChannel is closed when the machine resumes, and the worker executes the commands
// only then. For any other machine resumeChannel is nil.
func (c *Cluster) executeDelayed(worker *Worker, request workerapi.CommandRequest, delay time.Duration, resumeChannel <-chan struct{}) {
	if delay > 0 && kvstore.Sleep(c.ctx, delay) != nil {
		return
	}
	if resumeChannel != nil {
		select {
		case <-resumeChannel:
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

// Inspect returns context.DeadlineExceeded if a worker is not reachable. It does not wait for a timeout.
func (client commandClient) Inspect(_ context.Context, addr string) error {
	client.cluster.mu.Lock()
	defer client.cluster.mu.Unlock()
	if client.reachableWorker(addr) == nil {
		return context.DeadlineExceeded
	}
	return nil
}

// waitForTimeout waits as long as a controller waits for a worker that does not answer, and returns
// context.DeadlineExceeded.
func waitForTimeout(ctx context.Context) error {
	_ = kvstore.Sleep(ctx, tuning.FirstContactTimeout)
	return context.DeadlineExceeded
}

// ProbeCount returns how many probes the workers have answered.
func (c *Cluster) ProbeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredProbeCount
}
