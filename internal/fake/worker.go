package fake

import (
	"context"
	"fmt"
	"sort"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

type runningTask struct {
	name           string
	attempt        uint64
	status         string
	cause          string
	endsAt         time.Time
	spec           jobs.Spec
	commandedAt    time.Time     // when a controller ordered its start
	fetchTimer     *time.Timer   // fires when its image is there, nil if it is
	imageReadyAt   time.Time     // when that is
	fetchRemaining time.Duration // until then, while the machine stands still
}

// isOnMachine tells whether a task is on its machine: it has its image, and has not ended.
func (t *runningTask) isOnMachine() bool {
	return t.status != workerapi.StatusEnded && t.status != workerapi.StatusPulling
}

// Worker is a machine that reports, obeys and runs tasks as the protocol says.
type Worker struct {
	cluster              *Cluster
	Host, addr           string
	machineType, zone    string
	spot                 bool
	agentEpoch, sequence uint64
	fencingToken         uint64
	tasks                map[string]*runningTask
	leaseRenewedAt       time.Time
	stop                 context.CancelFunc
	wake                 chan struct{}
	inboundBlocked       bool      // answers and commands do not reach it
	outboundBlocked      bool      // it reaches no controller
	answeredAt           time.Time // when a controller gave the answer that is being obeyed
	// FailTasks makes every task end with an error.
	FailTasks        bool
	PreemptionNotice *float64
}

func (m *Worker) run(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		m.cluster.waitWhileFrozen(ctx, m.Host)
		m.cluster.mu.Lock()
		m.expire()
		names := m.cluster.controllers
		node := names[at%len(names)]
		n, cut := m.cluster.Nodes[node], m.cluster.cutLinks[[2]string{node, m.Host}] || m.cluster.isolated[m.Host]
		rep := m.heartbeat()
		watch := m.agentEpoch
		m.cluster.mu.Unlock()
		mute := m.isOutboundBlocked()
		sent := time.Now()
		var v workersession.HeartbeatReply
		switch {
		case mute: // no connection: it tries the next one a second later
		case cut:
			m.cluster.holdHeartbeat(node, rep)
			_ = kvstore.Pause(ctx, 4*time.Second)
		case m.cluster.sendHeartbeat != nil:
			v = m.cluster.sendHeartbeat(node, rep)
		case n != nil:
			m.cluster.maybeDuplicate(rep)
			reply := make(chan workersession.HeartbeatReply, 1)
			n.Controller.HandleHeartbeat(rep, reply)
			if m.isInboundBlocked() {
				_ = kvstore.Pause(ctx, 4*time.Second)
				break
			}
			select {
			case v = <-reply:
			case <-time.After(4 * time.Second):
			case <-ctx.Done():
				return
			}
		}
		heard := time.Now()
		if late := m.cluster.inboundDelay(m.Host); late > 0 {
			_ = kvstore.Pause(ctx, max(time.Millisecond, min(late, sent.Add(4*time.Second).Sub(time.Now()))))
		}
		if m.cluster.waitWhileFrozen(ctx, m.Host); time.Since(sent) >= 4*time.Second {
			v = workersession.HeartbeatReply{} // it has given up waiting
		}
		wait := m.cluster.heartbeatInterval(m.Host)
		switch {
		case v.StatusCode == 200:
			m.cluster.mu.Lock()
			if watch == m.agentEpoch && v.Response.FencingToken >= m.fencingToken {
				anew := v.Response.FencingToken > m.fencingToken // a change that is reported
				m.fencingToken, m.leaseRenewedAt, m.answeredAt = v.Response.FencingToken, sent, heard
				if m.execute(v.Response.Commands) || anew {
					wait = 500 * time.Millisecond
				}
			}
			m.cluster.mu.Unlock()
		case v.OwnerNode != "":
			for i, x := range names {
				if x == v.OwnerNode {
					at = i
				}
			}
			wait = 100 * time.Millisecond
		default:
			at++
			wait = time.Second
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-m.wake:
		}
	}
}

// holdHeartbeat has a report wait on its way, if those of its machine do.
func (w *Cluster) holdHeartbeat(node string, rep *workerapi.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if all, on := w.heldHeartbeats[rep.Host]; on {
		w.heldHeartbeats[rep.Host] = append(all, heldHeartbeat{node, rep})
	}
}

func (m *Worker) isOutboundBlocked() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.outboundBlocked
}

func (m *Worker) isInboundBlocked() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.inboundBlocked
}

// expire ends tasks whose time has come, and the session if its lease is over.
func (m *Worker) expire() {
	now := time.Now()
	if now.Sub(m.leaseRenewedAt) > time.Duration(m.cluster.Cfg.Cluster.Workers.LeaseS*float64(time.Second)) && !m.cluster.IgnoreStops {
		for _, t := range m.tasks {
			t.stopFetch()
		}
		m.tasks = map[string]*runningTask{}
		m.agentEpoch++
		m.leaseRenewedAt = now
	}
	for _, t := range m.tasks {
		if t.status == workerapi.StatusRunning && !t.endsAt.IsZero() && now.After(t.endsAt) {
			t.status, t.cause = workerapi.StatusEnded, workerapi.CauseDone
			if m.FailTasks || m.cluster.FaultyJobs[t.spec.Ref] {
				t.cause = workerapi.CauseError
			} else {
				m.cluster.markDone(t)
			}
		}
	}
}

func (m *Worker) heartbeat() *workerapi.Heartbeat {
	m.sequence++
	r := &workerapi.Heartbeat{Host: m.Host, Addr: m.addr, MachineType: m.machineType, Zone: m.zone, Spot: m.spot, AgentEpoch: m.agentEpoch, Sequence: m.sequence,
		FencingToken: m.fencingToken, PreemptionInS: m.PreemptionNotice}
	var names []string
	for n := range m.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := m.tasks[n]
		r.Tasks = append(r.Tasks, workerapi.TaskStatus{Task: n, Attempt: t.attempt, Status: t.status, Cause: t.cause})
	}
	return r
}

func (m *Worker) execute(orders []workerapi.Command) bool {
	for _, o := range orders {
		t := m.tasks[o.Task]
		switch o.Verb {
		case workerapi.VerbStart:
			if t != nil && t.attempt == o.Attempt {
				continue
			}
			m.startTask(o)
		case workerapi.VerbStop:
			if t != nil && t.attempt == o.Attempt && t.status != workerapi.StatusEnded && !m.cluster.IgnoreStops {
				t.stopFetch()
				t.status, t.cause = workerapi.StatusEnded, workerapi.CauseStopped
			}
		case workerapi.VerbAcknowledge:
			if t != nil && t.attempt == o.Attempt && t.status == workerapi.StatusEnded {
				delete(m.tasks, o.Task)
			}
		}
	}
	return len(orders) > 0
}

func (m *Worker) machineSpec() cloud.MachineType {
	for _, f := range m.cluster.OfferedTypes {
		if f.Name == m.machineType {
			return f
		}
	}
	return cloud.MachineType{}
}

func (m *Worker) startTask(o workerapi.Command) {
	w := m.cluster
	ref, _, _ := jobs.ParseTask(o.Task)
	spec, ok := w.specs[ref]
	run := w.runTimes[ref]
	if !ok {
		spec, run, ok = w.recordedSpec(ref)
	}
	used, cards := 0.0, 0.0
	for _, t := range m.tasks {
		if t.status != workerapi.StatusEnded {
			used += t.spec.CPU
			cards += t.spec.GPU
		}
	}
	t := &runningTask{name: o.Task, attempt: o.Attempt, status: workerapi.StatusRunning, spec: spec, commandedAt: m.answeredAt}
	switch {
	case !ok:
		t.status, t.cause = workerapi.StatusEnded, workerapi.CauseNoSuch
	case w.RefuseStarts || used+spec.CPU > m.machineSpec().CPU+1e-6 || cards+spec.GPU > m.machineSpec().GPU+1e-6:
		t.status, t.cause = workerapi.StatusEnded, workerapi.CauseFull
	default:
		if w.imageFetchTime == 0 {
			m.beginTask(t, run)
			break
		}
		t.status = workerapi.StatusPulling
		t.imageReadyAt = time.Now().Add(w.imageFetchTime)
		t.fetchTimer = time.AfterFunc(w.imageFetchTime, func() { m.imageFetched(t, run) })
	}
	m.tasks[o.Task] = t
	w.startedOn[o.Task] = append(w.startedOn[o.Task], m)
}

// imageFetched starts a task whose image has come, if it is still wanted.
func (m *Worker) imageFetched(t *runningTask, run time.Duration) {
	w := m.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen[m.Host] != nil || w.workers[m.Host] != m || w.ctx.Err() != nil {
		return
	}
	m.expire()
	if m.tasks[t.name] == t && t.status == workerapi.StatusPulling {
		t.fetchTimer, t.status = nil, workerapi.StatusRunning
		m.beginTask(t, run)
		select {
		case m.wake <- struct{}{}: // a change is reported
		default:
		}
	}
}

func (t *runningTask) stopFetch() {
	if t.fetchTimer != nil {
		t.fetchTimer.Stop()
		t.fetchTimer = nil
	}
}

// freeze has images come no further, or go on to come, with the world's lock held.
func (m *Worker) freeze(on bool) {
	m.expire()
	for _, t := range m.tasks {
		switch {
		case t.fetchTimer == nil:
		case on:
			t.fetchTimer.Stop()
			t.fetchRemaining = max(time.Millisecond, time.Until(t.imageReadyAt))
		default:
			t.imageReadyAt = time.Now().Add(t.fetchRemaining)
			t.fetchTimer.Reset(t.fetchRemaining)
		}
	}
}

// executeCommand executes a command, if it is for this session and not below the highest token.
func (m *Worker) executeCommand(c workerapi.CommandRequest) (rep *workerapi.Heartbeat, done bool) {
	m.expire()
	if done = c.FencingToken >= m.fencingToken && c.AgentEpoch == m.agentEpoch; done {
		m.fencingToken = c.FencingToken
		if m.execute(c.Commands) {
			select {
			case m.wake <- struct{}{}:
			default:
			}
		}
	}
	return m.heartbeat(), done
}

// beginTask is the start of a task: the moment at which it is on its machine.
func (m *Worker) beginTask(t *runningTask, run time.Duration) {
	w, spec, ref := m.cluster, t.spec, t.spec.Ref
	if on := w.runningOn(t.name); len(on) > 0 && !(len(on) == 1 && on[0] == m.Host && m.tasks[t.name] == t) {
		w.violations = append(w.violations, fmt.Sprintf("ran_twice: %s on %v and %s", t.name, on, m.Host))
	}
	more := spec.CPU
	if m.tasks[t.name] == t {
		more = 0 // it is counted already
	}
	for _, c := range w.Cfg.Cluster.Teams {
		if c.Name != spec.Team || c.MaxCPUs <= 0 {
			continue
		}
		if team := w.teamUsage(spec.Team) + more; team > c.MaxCPUs+1e-6 {
			w.violations = append(w.violations, fmt.Sprintf("quota: %s takes %v", spec.Team, team))
		}
	}
	if spec.Zone != nil && *spec.Zone != m.zone || m.spot && !spec.Spot {
		w.violations = append(w.violations, "wrong_place: "+t.name)
	}
	for _, before := range spec.DependsOn {
		if !w.isComplete(before) {
			w.violations = append(w.violations, fmt.Sprintf("too_early: %s before %s", t.name, before))
		}
	}
	w.startCounts[t.name]++
	if w.onTaskStart != nil {
		w.onTaskStart(t.name, m.Host, t.commandedAt)
	}
	if spec.Kind != jobs.Service {
		if own, ok := w.taskRunTimes[t.name]; ok {
			run = own
		}
		if w.doneTasks[ref][t.name] {
			run = 0 // its result is kept
		}
		t.endsAt = time.Now().Add(run)
	}
}
