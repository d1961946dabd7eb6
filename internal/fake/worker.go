package fake

import (
	"context"
	"fmt"
	"sort"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/sessions"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

type running struct {
	task   string
	try    uint64
	status string
	cause  string
	ends   time.Time
	spec   jobs.Spec
	given  time.Time     // when a controller ordered its start
	image  *time.Timer   // fires when its image is there, nil if it is
	ready  time.Time     // when that is
	left   time.Duration // until then, while the machine stands still
}

// there tells whether a task is on its machine: it has its image, and has not ended.
func (t *running) there() bool { return t.status != worker.Ended && t.status != worker.Pulling }

// Worker is a machine that reports, obeys and runs tasks as the protocol says.
type Worker struct {
	w           *World
	Host, addr  string
	build, zone string
	spot        bool
	watch, tick uint64
	token       uint64
	tasks       map[string]*running
	lease       time.Time
	stop        context.CancelFunc
	wake        chan struct{}
	deaf        bool      // answers and commands do not reach it
	mute        bool      // it reaches no controller
	heard       time.Time // when a controller gave the answer that is being obeyed
	// Fails makes every task end with an error.
	Fails  bool
	Recall *float64
}

func (m *Worker) live(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		m.w.goesOn(ctx, m.Host)
		m.w.mu.Lock()
		m.age()
		names := m.w.names
		node := names[at%len(names)]
		n, cut := m.w.Nodes[node], m.w.cut[[2]string{node, m.Host}] || m.w.cutNode[m.Host]
		rep := m.report()
		watch := m.watch
		m.w.mu.Unlock()
		mute := m.isMute()
		sent := time.Now()
		var v sessions.Verdict
		switch {
		case mute: // no connection: it tries the next one a second later
		case cut:
			m.w.hold(node, rep)
			_ = state.Pause(ctx, 4*time.Second)
		case m.w.send != nil:
			v = m.w.send(node, rep)
		case n != nil:
			m.w.copies(rep)
			reply := make(chan sessions.Verdict, 1)
			n.Brain.Report(rep, reply)
			if m.isDeaf() {
				_ = state.Pause(ctx, 4*time.Second)
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
		if late := m.w.delay(m.Host); late > 0 {
			_ = state.Pause(ctx, max(time.Millisecond, min(late, sent.Add(4*time.Second).Sub(time.Now()))))
		}
		if m.w.goesOn(ctx, m.Host); time.Since(sent) >= 4*time.Second {
			v = sessions.Verdict{} // it has given up waiting
		}
		wait := m.w.reportEvery(m.Host)
		switch {
		case v.Status == 200:
			m.w.mu.Lock()
			if watch == m.watch && v.Answer.Token >= m.token {
				anew := v.Answer.Token > m.token // a change that is reported
				m.token, m.lease, m.heard = v.Answer.Token, sent, heard
				if m.obey(v.Answer.Orders) || anew {
					wait = 500 * time.Millisecond
				}
			}
			m.w.mu.Unlock()
		case v.Herald != "":
			for i, x := range names {
				if x == v.Herald {
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

// hold has a report wait on its way, if those of its machine do.
func (w *World) hold(node string, rep *worker.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if all, on := w.kept[rep.Host]; on {
		w.kept[rep.Host] = append(all, late{node, rep})
	}
}

func (m *Worker) isMute() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.mute
}

func (m *Worker) isDeaf() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.deaf
}

// age ends tasks whose time has come, and the session if its lease is over.
func (m *Worker) age() {
	now := time.Now()
	if now.Sub(m.lease) > time.Duration(m.w.Cfg.Cluster.Workers.LeaseS*float64(time.Second)) && !m.w.Stubborn {
		for _, t := range m.tasks {
			t.stopFetch()
		}
		m.tasks = map[string]*running{}
		m.watch++
		m.lease = now
	}
	for _, t := range m.tasks {
		if t.status == worker.Running && !t.ends.IsZero() && now.After(t.ends) {
			t.status, t.cause = worker.Ended, worker.CauseDone
			if m.Fails || m.w.Faulty[t.spec.Ref] {
				t.cause = worker.CauseError
			} else {
				m.w.ended(t)
			}
		}
	}
}

func (m *Worker) report() *worker.Report {
	m.tick++
	r := &worker.Report{Host: m.Host, Addr: m.addr, Build: m.build, Zone: m.zone, Spot: m.spot, Watch: m.watch, Tick: m.tick,
		Token: m.token, Recall: m.Recall}
	var names []string
	for n := range m.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := m.tasks[n]
		r.Tasks = append(r.Tasks, worker.Entry{Task: n, Try: t.try, Status: t.status, Cause: t.cause})
	}
	return r
}

func (m *Worker) obey(orders []worker.Order) bool {
	for _, o := range orders {
		t := m.tasks[o.Task]
		switch o.Verb {
		case worker.Launch:
			if t != nil && t.try == o.Try {
				continue
			}
			m.launch(o)
		case worker.Halt:
			if t != nil && t.try == o.Try && t.status != worker.Ended && !m.w.Stubborn {
				t.stopFetch()
				t.status, t.cause = worker.Ended, worker.CauseStopped
			}
		case worker.Forget:
			if t != nil && t.try == o.Try && t.status == worker.Ended {
				delete(m.tasks, o.Task)
			}
		}
	}
	return len(orders) > 0
}

func (m *Worker) flavor() cloud.Flavor {
	for _, f := range m.w.Flavor {
		if f.SKU == m.build {
			return f
		}
	}
	return cloud.Flavor{}
}

func (m *Worker) launch(o worker.Order) {
	w := m.w
	ref, _, _ := jobs.ParseTask(o.Task)
	spec, ok := w.specs[ref]
	run := w.runs[ref]
	if !ok {
		spec, run, ok = w.recorded(ref)
	}
	used, cards := 0.0, 0.0
	for _, t := range m.tasks {
		if t.status != worker.Ended {
			used += t.spec.CPU
			cards += t.spec.GPU
		}
	}
	t := &running{task: o.Task, try: o.Try, status: worker.Running, spec: spec, given: m.heard}
	switch {
	case !ok:
		t.status, t.cause = worker.Ended, worker.CauseNoSuch
	case w.Refusing || used+spec.CPU > m.flavor().CPU+1e-6 || cards+spec.GPU > m.flavor().GPU+1e-6:
		t.status, t.cause = worker.Ended, worker.CauseFull
	default:
		if w.fetch == 0 {
			m.begin(t, run)
			break
		}
		t.status = worker.Pulling
		t.ready = time.Now().Add(w.fetch)
		t.image = time.AfterFunc(w.fetch, func() { m.fetched(t, run) })
	}
	m.tasks[o.Task] = t
	w.at[o.Task] = append(w.at[o.Task], m)
}

// fetched starts a task whose image has come, if it is still wanted.
func (m *Worker) fetched(t *running, run time.Duration) {
	w := m.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung[m.Host] != nil || w.workers[m.Host] != m || w.ctx.Err() != nil {
		return
	}
	m.age()
	if m.tasks[t.task] == t && t.status == worker.Pulling {
		t.image, t.status = nil, worker.Running
		m.begin(t, run)
		select {
		case m.wake <- struct{}{}: // a change is reported
		default:
		}
	}
}

func (t *running) stopFetch() {
	if t.image != nil {
		t.image.Stop()
		t.image = nil
	}
}

// still has images come no further, or go on to come, with the world's lock held.
func (m *Worker) still(on bool) {
	m.age()
	for _, t := range m.tasks {
		switch {
		case t.image == nil:
		case on:
			t.image.Stop()
			t.left = max(time.Millisecond, time.Until(t.ready))
		default:
			t.ready = time.Now().Add(t.left)
			t.image.Reset(t.left)
		}
	}
}

// do executes a command, if it is for this session and not below the highest token.
func (m *Worker) do(c worker.Command) (rep *worker.Report, done bool) {
	m.age()
	if done = c.Token >= m.token && c.Watch == m.watch; done {
		m.token = c.Token
		if m.obey(c.Orders) {
			select {
			case m.wake <- struct{}{}:
			default:
			}
		}
	}
	return m.report(), done
}

// begin is the start of a task: the moment at which it is on its machine.
func (m *Worker) begin(t *running, run time.Duration) {
	w, spec, ref := m.w, t.spec, t.spec.Ref
	if on := w.on(t.task); len(on) > 0 && !(len(on) == 1 && on[0] == m.Host && m.tasks[t.task] == t) {
		w.broken = append(w.broken, fmt.Sprintf("ran_twice: %s on %v and %s", t.task, on, m.Host))
	}
	more := spec.CPU
	if m.tasks[t.task] == t {
		more = 0 // it is counted already
	}
	for _, c := range w.Cfg.Cluster.Teams {
		if c.Name != spec.Team || c.CPUsMax <= 0 {
			continue
		}
		if team := w.teamUses(spec.Team) + more; team > c.CPUsMax+1e-6 {
			w.broken = append(w.broken, fmt.Sprintf("quota: %s takes %v", spec.Team, team))
		}
	}
	if spec.Zone != nil && *spec.Zone != m.zone || m.spot && !spec.Spot {
		w.broken = append(w.broken, "wrong_place: "+t.task)
	}
	for _, before := range spec.Awaits {
		if !w.whole(before) {
			w.broken = append(w.broken, fmt.Sprintf("too_early: %s before %s", t.task, before))
		}
	}
	w.starts[t.task]++
	if w.started != nil {
		w.started(t.task, m.Host, t.given)
	}
	if spec.Kind != jobs.Service {
		if own, ok := w.lasts[t.task]; ok {
			run = own
		}
		if w.over[ref][t.task] {
			run = 0 // its result is kept
		}
		t.ends = time.Now().Add(run)
	}
}
