package fake

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Times of a worker, as the protocol gives them.
const (
	heartbeatTimeout = 4 * time.Second        // how long a worker waits for an answer
	retryInterval    = time.Second            // until it tries the next controller
	redirectInterval = 100 * time.Millisecond // until it tries the controller that it was referred to
	changeInterval   = 500 * time.Millisecond // until it reports a change
)

// Worker is a machine whose agent sends heartbeats, executes commands and runs tasks by the protocol.
type Worker struct {
	Host             string
	FailTasks        bool     // has every task end with an error
	PreemptionNotice *float64 // seconds, in the heartbeat if it is set

	cluster     *Cluster
	addr        string // for direct commands, empty for none
	machineType string
	zone        string
	spot        bool
	ctx         context.Context // ends when the machine is stopped
	stop        context.CancelFunc
	wake        chan struct{} // has a heartbeat sent at once

	// The cluster's lock protects what follows.
	agentEpoch      uint64
	sequence        uint64 // of the heartbeats
	fencingToken    uint64 // the highest that was seen
	tasks           map[string]*runningTask
	leaseRenewedAt  time.Time
	answeredAt      time.Time // when a controller answered that whose commands are being executed
	inboundBlocked  bool
	outboundBlocked bool
}

// run sends heartbeats until the machine is stopped. It stays with one controller until that one does not answer
// or refers it to another.
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

// outgoing is a heartbeat that is being sent.
type outgoing struct {
	heartbeat  *workerapi.Heartbeat
	agentEpoch uint64
	nodeName   string
	node       *Node // nil if the controller does not run
	isCut      bool
	isBlocked  bool
	sentAt     time.Time
}

// heartbeatOnce sends a heartbeat to the target, executes the commands of the answer and returns the
// time until the next heartbeat. It selects the next target if there is no good answer.
func (w *Worker) heartbeatOnce(target *int) (pause time.Duration) {
	c := w.cluster
	c.waitWhileFrozen(w.ctx, w.Host)
	out := w.prepareHeartbeat(c.controllers[*target%len(c.controllers)])
	reply := w.send(out)
	answeredAt := time.Now()
	if delay := c.inboundDelay(w.Host); delay > 0 {
		untilTimeout := time.Until(out.sentAt.Add(heartbeatTimeout))
		_ = kvstore.Pause(w.ctx, max(time.Millisecond, min(delay, untilTimeout)))
	}
	c.waitWhileFrozen(w.ctx, w.Host)
	if time.Since(out.sentAt) >= heartbeatTimeout {
		reply = workersession.HeartbeatReply{} // the worker does not wait any more
	}
	switch {
	case reply.StatusCode == http.StatusOK:
		if w.accept(out, reply.Response, answeredAt) {
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
	w.expire()
	return outgoing{
		heartbeat:  w.heartbeat(),
		agentEpoch: w.agentEpoch,
		nodeName:   nodeName,
		node:       w.cluster.Nodes[nodeName],
		isCut:      w.cluster.isCut(nodeName, w.Host),
		isBlocked:  w.outboundBlocked,
		sentAt:     time.Now(),
	}
}

// send sends a heartbeat and waits for the reply, which is empty if there is none.
func (w *Worker) send(out outgoing) workersession.HeartbeatReply {
	c := w.cluster
	switch {
	case out.isBlocked: // no connection: the worker notices it at once
	case out.isCut:
		c.holdHeartbeat(out.nodeName, out.heartbeat)
		_ = kvstore.Pause(w.ctx, heartbeatTimeout)
	case c.sendHeartbeat != nil:
		return c.sendHeartbeat(out.nodeName, out.heartbeat)
	case out.node != nil:
		return w.exchange(out)
	}
	return workersession.HeartbeatReply{}
}

// exchange passes a heartbeat to a running controller and waits for the reply.
func (w *Worker) exchange(out outgoing) workersession.HeartbeatReply {
	w.cluster.maybeDuplicate(out.heartbeat)
	replies := make(chan workersession.HeartbeatReply, 1)
	out.node.Controller.HandleHeartbeat(out.heartbeat, replies)
	if w.isInboundBlocked() {
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

func (w *Worker) isInboundBlocked() bool {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return w.inboundBlocked
}

// accept renews the lease by an answer and executes its commands, unless the agent epoch has ended or
// a newer owner is known. It reports whether the next heartbeat has a change to report.
func (w *Worker) accept(out outgoing, response workerapi.HeartbeatResponse, answeredAt time.Time) (hasChanged bool) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if out.agentEpoch != w.agentEpoch || response.FencingToken < w.fencingToken {
		return false
	}
	isNewToken := response.FencingToken > w.fencingToken
	w.fencingToken, w.leaseRenewedAt, w.answeredAt = response.FencingToken, out.sentAt, answeredAt
	hasCommands := w.execute(response.Commands)
	return hasCommands || isNewToken
}

// heartbeatInterval is a worker's time between two heartbeats: the configured one, varied by up to a
// quarter. It depends on the name only, so that a scenario runs the same each time.
func (c *Cluster) heartbeatInterval(host string) time.Duration {
	hash := 0
	for _, char := range host {
		hash = (hash*31 + int(char)) % 1000
	}
	return config.Seconds((0.75 + float64(hash)/2000) * c.Cfg.Cluster.Workers.ReportS)
}

// expire ends the tasks whose run time is over, and all tasks if the lease has expired. The
// cluster's lock must be held.
func (w *Worker) expire() {
	now := time.Now()
	leaseDuration := config.Seconds(w.cluster.Cfg.Cluster.Workers.LeaseS)
	if now.Sub(w.leaseRenewedAt) > leaseDuration && !w.cluster.IgnoreStops {
		for _, task := range w.tasks {
			task.stopFetch()
		}
		w.tasks = map[string]*runningTask{}
		w.agentEpoch++
		w.leaseRenewedAt = now
	}
	for _, task := range w.tasks {
		if task.status == workerapi.StatusRunning && !task.endsAt.IsZero() && now.After(task.endsAt) {
			w.finish(task)
		}
	}
}

func (w *Worker) finish(task *runningTask) {
	if w.FailTasks || w.cluster.FaultyJobs[task.spec.Ref] {
		task.end(workerapi.CauseError)
		return
	}
	task.end(workerapi.CauseDone)
	w.cluster.markDone(task)
}

// heartbeat returns the next heartbeat. The cluster's lock must be held.
func (w *Worker) heartbeat() *workerapi.Heartbeat {
	w.sequence++
	heartbeat := &workerapi.Heartbeat{
		Host:          w.Host,
		Addr:          w.addr,
		MachineType:   w.machineType,
		Zone:          w.zone,
		Spot:          w.spot,
		AgentEpoch:    w.agentEpoch,
		Sequence:      w.sequence,
		FencingToken:  w.fencingToken,
		PreemptionInS: w.PreemptionNotice,
	}
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		task := w.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: name, Attempt: task.attempt, Status: task.status, Cause: task.cause})
	}
	return heartbeat
}

// executeRequest executes direct commands, if they are for this agent epoch and not from an earlier
// owner, and returns a heartbeat and whether it did. The cluster's lock must be held.
func (w *Worker) executeRequest(request workerapi.CommandRequest) (heartbeat *workerapi.Heartbeat, done bool) {
	w.expire()
	done = request.FencingToken >= w.fencingToken && request.AgentEpoch == w.agentEpoch
	if done {
		w.fencingToken = request.FencingToken
		if w.execute(request.Commands) {
			w.reportSoon()
		}
	}
	return w.heartbeat(), done
}

// reportSoon has the next heartbeat sent at once.
func (w *Worker) reportSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// execute executes commands and reports whether there were any. The cluster's lock must be held.
func (w *Worker) execute(commands []workerapi.Command) bool {
	for _, command := range commands {
		task := w.tasks[command.Task]
		isCurrent := task != nil && task.attempt == command.Attempt
		switch command.Verb {
		case workerapi.VerbStart:
			if !isCurrent {
				w.startTask(command)
			}
		case workerapi.VerbStop:
			if isCurrent && task.status != workerapi.StatusEnded && !w.cluster.IgnoreStops {
				task.stopFetch()
				task.end(workerapi.CauseStopped)
			}
		case workerapi.VerbAcknowledge:
			if isCurrent && task.status == workerapi.StatusEnded {
				delete(w.tasks, command.Task)
			}
		}
	}
	return len(commands) > 0
}

// typeSpec returns the machine's type, empty if the cloud does not offer it.
func (w *Worker) typeSpec() cloud.MachineType {
	for _, offered := range w.cluster.OfferedTypes {
		if offered.Name == w.machineType {
			return offered
		}
	}
	return cloud.MachineType{}
}
