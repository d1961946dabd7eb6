//go:build review

package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"time"
)

// Machine is a rented machine with its worker.
type Machine struct {
	world *World
	Host  string
	Type  Type
	Zone  string
	Spot  bool

	addr        string
	listener    net.Listener
	rentedAt    time.Time
	endedAt     time.Time
	up          bool // its worker runs
	gone        bool // it stopped or was deleted
	deleted     bool // deleted or taken: no longer listed
	sick        bool // fails every task that it starts
	recall      *float64
	watch, tick uint64
	baton       uint64
	renewedAt   time.Time // when the last answered report was sent
	tasks       map[string]*task
	images      map[string]bool
	fetching    map[string]time.Time // end of the fetch, by image
	wake        chan struct{}
	silent      context.CancelFunc
}

// maxLine is the limit of a line of a response to workers.
const maxLine = 64 << 10

type task struct {
	machine     *Machine
	name        string
	job         *Job
	index       int
	try         uint64
	status      string
	cause       string
	kept        bool
	ran         bool
	gatherSince time.Time
	endsAt      time.Time
	brokenSince time.Time
}

func taskKey(name string, try uint64) string { return fmt.Sprintf("%s %d", name, try) }

// AddMachine adds a machine that is up already.
func (w *World) AddMachine(zone string, typeName string, spot bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.rent(zone, w.typeNamed(typeName), spot)
	m.rentedAt = time.Now().Add(-10 * time.Minute)
	m.start()
	return m.Host
}

// start starts the worker of a machine. The caller holds the lock.
func (m *Machine) start() {
	if m.up || m.gone {
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m.listener, m.addr = listener, listener.Addr().String()
	m.up, m.renewedAt = true, time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("/do", m.serveDo)
	mux.HandleFunc("/inspect", m.serveInspect)
	go func() { _ = http.Serve(listener, mux) }()
	ctx, cancel := context.WithCancel(context.Background())
	m.silent = cancel
	go m.report(ctx)
	m.world.Logf("machine %s (%s, %s) is up", m.Host, m.Type.Name, m.Zone)
}

// end ends a machine with all that is on it. The caller holds the lock.
func (m *Machine) end() {
	if m.gone {
		return
	}
	m.gone, m.endedAt = true, time.Now()
	if m.silent != nil {
		m.silent()
	}
	for _, t := range m.tasks {
		if t.status != "ended" {
			m.world.Logf("task %s try %d is gone with machine %s", t.name, t.try, m.Host)
		}
	}
	m.tasks = map[string]*task{}
}

// free returns the free resources; tasks that fetch their image count as well.
func (m *Machine) free() (cpus, ram float64) {
	cpus, ram = m.Type.CPUs, m.Type.RAM
	for _, t := range m.tasks {
		if t.status != "ended" {
			cpus -= t.job.CPUs
			ram -= t.job.RAM
		}
	}
	return cpus, ram
}

// advance lets time pass on one machine.
func (m *Machine) advance(now time.Time) {
	if now.Sub(m.renewedAt).Seconds() > m.world.Settings.LeaseS {
		if len(m.tasks) > 0 {
			m.world.Logf("lease of %s expired: its tasks are killed", m.Host)
		}
		m.tasks = map[string]*task{}
		m.fetching = map[string]time.Time{}
		m.watch++
		m.renewedAt = now
		m.changed()
	}
	for kit, at := range m.fetching {
		if now.After(at) {
			delete(m.fetching, kit)
			m.images[kit] = true
		}
	}
	for _, t := range m.tasks {
		switch t.status {
		case "pulling":
			if m.images[t.job.Kit] {
				t.arrive(now)
			} else if m.fetching[t.job.Kit].IsZero() {
				m.fetching[t.job.Kit] = now.Add(time.Duration(t.job.ImageGB / m.Type.FetchGBPerS * float64(time.Second)))
			}
		case "gathering":
			if now.Sub(t.gatherSince).Seconds() > m.world.Settings.GangWaitS {
				t.end("alone")
			}
		case "running", "saving":
			if !t.endsAt.IsZero() && now.After(t.endsAt) {
				switch {
				case t.status == "saving":
					t.kept = true
					t.end("stopped")
				case m.sick:
					t.end("error")
				default:
					t.end("done")
				}
			}
		}
	}
}

// arrive starts a task whose image is there.
func (t *task) arrive(now time.Time) {
	w := t.machine.world
	w.starts[t.name] = append(w.starts[t.name], Start{now, t.machine.Host, t.try})
	w.Logf("task %s try %d starts on %s", t.name, t.try, t.machine.Host)
	for _, other := range w.machines {
		if other == t.machine || other.gone {
			continue
		}
		for _, o := range other.tasks {
			if o.name == t.name && o.status != "ended" && o.status != "pulling" {
				w.Logf("RAN TWICE: task %s is on %s and starts on %s", t.name, other.Host, t.machine.Host)
			}
		}
	}
	if w.done[t.name] {
		t.end("done")
		return
	}
	if t.job.Shape == "group" && t.job.Shifts > 1 {
		t.status, t.gatherSince = "gathering", now
		t.machine.changed()
		return
	}
	t.run(now)
}

func (t *task) run(now time.Time) {
	t.status, t.ran = "running", true
	if d := t.job.runTime(t.index); d > 0 {
		t.endsAt = now.Add(d)
	}
	if t.machine.sick {
		t.endsAt = now.Add(200 * time.Millisecond)
	}
	t.machine.changed()
}

func (t *task) end(cause string) {
	t.status, t.cause = "ended", cause
	w := t.machine.world
	w.Logf("task %s try %d ended on %s: %s", t.name, t.try, t.machine.Host, cause)
	if cause == "done" {
		w.done[t.name] = true
		if t.job.Shape == "group" {
			for _, m := range w.machines {
				for _, o := range m.tasks {
					if o.job == t.job && o.try == t.try && o.status != "ended" {
						o.end("done")
					}
				}
			}
		}
	}
	t.machine.changed()
}

func (m *Machine) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

type command struct {
	Verb    string   `json:"verb"`
	Shift   string   `json:"shift"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leewayS"`
}

// execute executes commands in order. The caller holds the lock.
func (m *Machine) execute(orders []command) {
	for _, order := range orders {
		t := m.tasks[taskKey(order.Shift, order.Try)]
		m.world.Logf("%s executes %s %s try %d", m.Host, order.Verb, order.Shift, order.Try)
		switch order.Verb {
		case "launch":
			if t == nil {
				m.launch(order)
			}
		case "halt":
			leeway := 0.0
			if order.LeewayS != nil {
				leeway = *order.LeewayS
			}
			if t == nil || t.status == "ended" {
				continue
			}
			switch {
			case t.status == "running" && t.job.WaypointS > 0 && leeway >= t.job.StashS:
				t.status, t.endsAt = "saving", time.Now().Add(time.Duration(t.job.StashS*float64(time.Second)))
				m.changed()
			case t.status == "saving" && leeway > 0:
			default:
				t.end("stopped")
			}
		case "forget":
			if t != nil && t.status == "ended" {
				delete(m.tasks, taskKey(order.Shift, order.Try))
				m.changed()
			}
		}
	}
}

func (m *Machine) launch(order command) {
	job, index := m.world.taskJob(order.Shift)
	t := &task{machine: m, name: order.Shift, job: job, index: index, try: order.Try, status: "pulling"}
	defer m.changed()
	if job == nil {
		t.status, t.cause = "ended", "no_such"
		m.tasks[taskKey(order.Shift, order.Try)] = t
		return
	}
	for _, other := range m.tasks {
		if other.name == order.Shift && other.status != "ended" {
			t.status, t.cause = "ended", "busy"
		}
	}
	if cpus, ram := m.free(); t.status != "ended" && (job.CPUs > cpus+1e-9 || job.RAM > ram+1e-9) {
		t.status, t.cause = "ended", "full"
	}
	m.tasks[taskKey(order.Shift, order.Try)] = t
}

// body returns the report. The caller holds the lock.
func (m *Machine) body() []byte {
	m.tick++
	shifts := []map[string]any{}
	for _, t := range m.tasks {
		shift := map[string]any{"shift": t.name, "try": t.try, "status": t.status}
		if t.status == "ended" {
			shift["cause"] = t.cause
			if t.cause == "stopped" {
				shift["kept"] = t.kept
			}
		}
		shifts = append(shifts, shift)
	}
	sort.Slice(shifts, func(i, j int) bool { return shifts[i]["shift"].(string) < shifts[j]["shift"].(string) })
	raw, _ := json.Marshal(map[string]any{"host": m.Host, "addr": m.addr, "build": m.Type.Name, "valley": m.Zone, "loaners": m.Spot,
		"watch": m.watch, "tick": m.tick, "baton": m.baton, "recallS": m.recall, "shifts": shifts})
	return raw
}

// report sends reports until the machine ends.
func (m *Machine) report(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	w := m.world
	node := rand.IntN(max(1, len(w.nodes)))
	for ctx.Err() == nil {
		w.mu.Lock()
		if len(w.nodes) == 0 {
			w.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		raw, watch, target := m.body(), m.watch, w.nodes[node%len(w.nodes)]
		w.mu.Unlock()
		sentAt := time.Now()
		status, answer := post(ctx, client, "http://"+target.Listen+"/hello", raw, 4*time.Second)
		wait := time.Second
		switch {
		case status == http.StatusOK:
			wait = m.accept(answer, watch, sentAt)
		case status == http.StatusMisdirectedRequest:
			wait = w.redirect(answer, &node)
		default:
			if status == http.StatusBadRequest {
				w.Logf("%s: report of %d bytes is answered with 400", m.Host, len(raw))
			}
			node++
		}
		timer := time.NewTimer(max(wait-time.Since(sentAt), 10*time.Millisecond))
		if status == http.StatusOK {
			select {
			case <-timer.C:
			case <-m.wake:
				time.Sleep(max(0, 500*time.Millisecond-time.Since(sentAt)))
			case <-ctx.Done():
			}
		} else {
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		timer.Stop()
	}
}

// accept handles a response with status 200 and returns the time from the report that it answers to the next one.
func (m *Machine) accept(answer []byte, watch uint64, sentAt time.Time) time.Duration {
	w := m.world
	var response struct {
		Baton  uint64    `json:"baton"`
		Orders []command `json:"orders"`
	}
	interval := time.Duration(w.Settings.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
	w.mu.Lock()
	defer w.mu.Unlock()
	if json.Unmarshal(answer, &response) != nil || response.Baton < m.baton || m.gone || watch != m.watch {
		return interval
	}
	if response.Baton > m.baton {
		m.changed()
	}
	m.baton, m.renewedAt = response.Baton, sentAt
	for line := range bytes.Lines(answer) {
		if len(line) > maxLine {
			w.longLines++
			w.Logf("%s: the answer to its report has a line of %d bytes", m.Host, len(line))
		}
	}
	m.execute(response.Orders)
	return interval
}

// redirect handles a 421 and returns how long to wait.
func (w *World) redirect(answer []byte, node *int) time.Duration {
	var response struct {
		Herald string `json:"herald"`
	}
	_ = json.Unmarshal(answer, &response)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, n := range w.nodes {
		if n.Name == response.Herald && i != *node%len(w.nodes) {
			*node = i
			return 100 * time.Millisecond
		}
	}
	*node++
	return time.Second
}

func post(ctx context.Context, client *http.Client, url string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

func (m *Machine) serveDo(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Baton  *uint64   `json:"baton"`
		Watch  *uint64   `json:"watch"`
		Orders []command `json:"orders"`
	}
	raw, _ := io.ReadAll(r.Body)
	m.world.mu.Lock()
	if m.gone {
		m.world.mu.Unlock()
		<-r.Context().Done() // a machine that stopped is silent
		return
	}
	defer m.world.mu.Unlock()
	if json.Unmarshal(raw, &request) != nil || request.Baton == nil || request.Watch == nil {
		fail(rw, http.StatusBadRequest, "baton or watch is missing")
		return
	}
	status := http.StatusConflict
	if *request.Baton >= m.baton && *request.Watch == m.watch {
		status, m.baton = http.StatusOK, *request.Baton
		m.execute(request.Orders)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(m.body())
}

func (m *Machine) serveInspect(rw http.ResponseWriter, r *http.Request) {
	m.world.mu.Lock()
	if m.gone {
		m.world.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer m.world.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(m.body())
}
