//go:build review

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

type task struct {
	name   string
	try    uint64
	status string // pulling, gathering, running, saving, ended
	cause  string
	kept   bool
	job    *Job
	ends   time.Time // of pulling, running or saving
	since  time.Time // of running
	gang   *gang
}

// onMachine: from when it has its image until it exits.
func (t *task) onMachine() bool { return t.status != "pulling" && t.status != "ended" }

// gang is one attempt of a gang.
type gang struct {
	members map[int]*task
	hosts   map[int]*Worker
	running bool
	since   time.Time
	broken  time.Time // when a member was lost
	halted  time.Time // first halt
	told    map[int]bool
}

// Worker is a machine with its agent. The cluster's lock guards it.
type Worker struct {
	c                  *Cluster
	host, addr         string
	sku, zone          string
	loaner             bool
	born               time.Time
	session, tick      uint64
	baton              uint64
	leaseFrom          time.Time
	recall             time.Time
	tasks              map[string]*task
	images             map[string]time.Time
	refused            map[string]shift // refused attempts of tasks that are here with another attempt
	frozen, mute, deaf bool
	poke               chan struct{}
	gone               chan struct{}
}

type shift struct {
	Shift  string `json:"shift"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Kept   bool   `json:"kept,omitempty"`
}

type report struct {
	Host    string   `json:"host"`
	Addr    string   `json:"addr"`
	Build   string   `json:"build"`
	Valley  string   `json:"valley"`
	Loaners bool     `json:"loaners"`
	Watch   uint64   `json:"watch"`
	Tick    uint64   `json:"tick"`
	Baton   uint64   `json:"baton"`
	RecallS *float64 `json:"recallS"`
	Shifts  []shift  `json:"shifts"`
}

type order struct {
	Verb    string   `json:"verb"`
	Shift   string   `json:"shift"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leewayS"`
}

type answer struct {
	Baton  uint64  `json:"baton"`
	Orders []order `json:"orders"`
	Herald string  `json:"herald"`
}

func (w *Worker) change() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

func (w *Worker) fits(j *Job) bool {
	b := w.c.build(w.sku)
	cpu, cards, ram := b.Vcpus, b.Cards, b.RamGb
	for _, t := range w.tasks {
		if t.status != "ended" {
			cpu, cards, ram = cpu-t.job.Vcpus, cards-t.job.Cards, ram-t.job.RamGb
		}
	}
	return j.Vcpus <= cpu+1e-6 && j.Cards <= cards+1e-6 && j.RamGb <= ram+1e-6
}

func (w *Worker) killAll() {
	for name, t := range w.tasks {
		if t.onMachine() && !w.c.Quiet {
			w.c.Log.Printf("worker %s: %s try %d is killed (%s)", w.host, name, t.try, t.status)
		}
		w.lose(t)
		t.status = "ended"
	}
	w.tasks, w.refused = map[string]*task{}, map[string]shift{}
}

// lose notes in the gang that a member has disappeared.
func (w *Worker) lose(t *task) {
	if g := t.gang; g != nil {
		for i, m := range g.members {
			if m == t {
				delete(g.members, i)
				if g.running && g.broken.IsZero() {
					g.broken = time.Now()
				}
			}
		}
	}
}

// expire applies what the time has brought.
func (w *Worker) expire() {
	now := time.Now()
	if now.Sub(w.leaseFrom) > secs(w.c.T.LeaseS) {
		if len(w.tasks) > 0 {
			w.c.Log.Printf("worker %s: its lease ends, session %d, %d tasks", w.host, w.session, len(w.tasks))
		}
		w.killAll()
		w.session++
		w.leaseFrom = now
	}
	if w.frozen {
		return
	}
	for _, t := range w.tasks {
		w.step(t, now)
	}
}

func (w *Worker) step(t *task, now time.Time) {
	switch t.status {
	case "pulling":
		if now.After(t.ends) {
			w.images[t.job.Kit] = now
			w.begin(t, now)
			w.change()
		}
	case "gathering":
		if g := t.gang; g.running {
			t.status, t.since = "running", g.since
			w.change()
		} else if now.After(t.ends) {
			w.lose(t)
			w.exit(t, "alone")
		}
	case "running":
		w.stepRunning(t, now)
	case "saving":
		if now.After(t.ends) {
			w.endSaving(t, now)
		}
	}
}

func (w *Worker) stepRunning(t *task, now time.Time) {
	g := t.gang
	if g != nil {
		for i, h := range g.hosts {
			if h.frozen && g.members[i] != nil && g.broken.IsZero() {
				g.broken = now
			}
		}
		if !g.broken.IsZero() && now.Sub(g.broken) > secs(w.c.T.GangPeerS)/2 {
			w.saveProgress(t, g.broken, true)
			w.lose(t)
			w.exit(t, "mates_gone")
			return
		}
		if !g.halted.IsZero() && now.Sub(g.halted) > secs(w.c.T.GangPeerS) {
			w.lose(t)
			w.exit(t, "mates_gone")
			return
		}
		if !g.broken.IsZero() || !g.halted.IsZero() {
			return
		}
	}
	if t.job.Shape != "daemon" && now.After(t.ends) {
		if g != nil {
			for i := range t.job.Shifts {
				w.c.doneTasks[t.job.Ref+"/"+strconv.Itoa(i)] = true
			}
		}
		w.c.doneTasks[t.name] = true
		w.exit(t, "done")
	}
}

// saveProgress keeps what has been done; partial: only multiples of the interval.
func (w *Worker) saveProgress(t *task, now time.Time, partial bool) {
	key := t.name
	if t.gang != nil {
		key = t.job.Ref
	}
	done := w.c.progress[key] + now.Sub(t.since).Seconds()
	if partial {
		if t.job.Waypoint <= 0 {
			return
		}
		done = float64(int(done/t.job.Waypoint)) * t.job.Waypoint
	}
	if done > w.c.progress[key] {
		w.c.progress[key] = done
		t.since = now
	}
}

func (w *Worker) endSaving(t *task, now time.Time) {
	g := t.gang
	if g == nil {
		w.saveProgress(t, now, false)
		t.kept = true
		w.exit(t, "stopped")
		return
	}
	for i := range g.members {
		if !g.told[i] {
			if now.Sub(g.halted) > secs(w.c.T.GangPeerS) {
				w.lose(t)
				w.exit(t, "mates_gone")
			}
			return
		}
	}
	if !g.broken.IsZero() {
		w.lose(t)
		w.exit(t, "mates_gone")
		return
	}
	key := t.job.Ref
	if d := g.halted.Sub(g.since).Seconds(); d > 0 {
		w.c.progress[key] += d
		g.since = g.halted
	}
	t.kept = true
	w.exit(t, "stopped")
}

func (w *Worker) exit(t *task, cause string) {
	t.status, t.cause = "ended", cause
	if !w.c.Quiet {
		w.c.Log.Printf("worker %s: %s try %d exits: %s", w.host, t.name, t.try, cause)
	}
	w.change()
}

func (w *Worker) begin(t *task, now time.Time) {
	t.status = "running"
	if t.job.Shape == "group" {
		t.status = "gathering"
	}
	t.since, t.ends = now, now.Add(24*time.Hour)
	if t.job.Shape == "group" {
		t.gang = &gang{members: map[int]*task{}, hosts: map[int]*Worker{}, told: map[int]bool{}}
	}
	w.c.taskStarts(w, t)
	if w.c.doneTasks[t.name] {
		w.exit(t, "done")
		return
	}
	if t.job.Shape != "group" {
		t.since = now
		t.ends = now.Add(secs(max(0.01, t.job.RunS-w.c.progress[t.name])))
		return
	}
	t.ends = now.Add(secs(w.c.T.GangWaitS))
	key := t.job.Ref + "#" + strconv.FormatUint(t.try, 10)
	g := w.c.gangs[key]
	if g == nil {
		g = &gang{members: map[int]*task{}, hosts: map[int]*Worker{}, told: map[int]bool{}}
		w.c.gangs[key] = g
	}
	t.gang = g
	_, n, _ := strings.Cut(t.name, "/")
	i, _ := strconv.Atoi(n)
	g.members[i], g.hosts[i] = t, w
	if len(g.members) == t.job.Shifts && !g.running {
		g.running, g.since = true, now
		for j, m := range g.members {
			m.status, m.since = "running", now
			m.ends = now.Add(secs(max(0.01, t.job.RunS-w.c.progress[t.job.Ref])))
			g.hosts[j].change()
		}
	}
}

func (w *Worker) execute(orders []order) {
	now := time.Now()
	for _, o := range orders {
		t := w.tasks[o.Shift]
		same := t != nil && t.try == o.Try
		if r, ok := w.refused[attempt(o.Shift, o.Try)]; ok && r.Status != "" {
			if o.Verb == "forget" {
				delete(w.refused, attempt(o.Shift, o.Try))
			}
			continue
		}
		switch o.Verb {
		case "launch":
			if !same {
				w.launch(o, t, now)
			}
		case "halt":
			if same && t.status != "ended" {
				w.halt(t, o, now)
			}
		case "forget":
			if same && t.status == "ended" {
				delete(w.tasks, o.Shift)
			}
		}
	}
	if len(orders) > 0 {
		w.change()
	}
}

func (w *Worker) launch(o order, old *task, now time.Time) {
	ref, n, _ := strings.Cut(o.Shift, "/")
	i, _ := strconv.Atoi(n)
	j := w.c.jobs[ref]
	if old != nil && old.status != "ended" {
		w.c.Log.Printf("worker %s: launch %s try %d refused: busy with try %d", w.host, o.Shift, o.Try, old.try)
		w.refused[attempt(o.Shift, o.Try)] = shift{o.Shift, o.Try, "ended", "busy", false}
		return
	}
	t := &task{name: o.Shift, try: o.Try, job: j}
	switch {
	case j == nil || i >= j.Shifts:
		t.job = &Job{Ref: ref}
		t.status, t.cause = "ended", "no_such"
	case !w.fits(j):
		t.status, t.cause = "ended", "full"
		w.c.Log.Printf("worker %s: launch %s try %d refused: full", w.host, o.Shift, o.Try)
	default:
		t.status = "pulling"
		if _, ok := w.images[j.Kit]; ok || j.ImageGb == 0 {
			t.ends = now
		} else {
			t.ends = now.Add(secs(j.ImageGb / w.c.build(w.sku).FetchGbPerS))
		}
	}
	w.tasks[o.Shift] = t
	if t.status == "pulling" {
		w.step(t, now.Add(time.Millisecond))
	}
}

func (w *Worker) halt(t *task, o order, now time.Time) {
	leeway := 0.0
	if o.LeewayS != nil {
		leeway = *o.LeewayS
	}
	g := t.gang
	canSave := t.status == "running" && t.job.Waypoint > 0 && leeway >= t.job.StashS
	if g != nil && g.running {
		_, n, _ := strings.Cut(t.name, "/")
		i, _ := strconv.Atoi(n)
		if canSave {
			g.told[i] = true
			if g.halted.IsZero() {
				g.halted = now
			}
		} else if g.broken.IsZero() {
			g.broken = now
		}
	}
	if t.status == "saving" && leeway > 0 {
		return
	}
	if canSave {
		t.status, t.ends = "saving", now.Add(secs(t.job.StashS))
		return
	}
	w.lose(t)
	w.exit(t, "stopped")
}

func attempt(name string, try uint64) string { return name + "#" + strconv.FormatUint(try, 10) }

// report returns the worker's report; next: with a new tick.
func (w *Worker) report(next bool) report {
	if next {
		w.tick++
	}
	r := report{Host: w.host, Addr: w.addr, Build: w.sku, Valley: w.zone, Loaners: w.loaner, Watch: w.session, Tick: w.tick, Baton: w.baton, Shifts: []shift{}}
	if !w.recall.IsZero() {
		s := max(0, time.Until(w.recall).Seconds())
		r.RecallS = &s
	}
	for _, t := range w.tasks {
		r.Shifts = append(r.Shifts, shift{t.name, t.try, t.status, t.cause, t.kept})
	}
	for _, refused := range w.refused {
		r.Shifts = append(r.Shifts, refused)
	}
	sort.Slice(r.Shifts, func(i, j int) bool { return r.Shifts[i].Shift < r.Shifts[j].Shift })
	return r
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	hang := func(r *http.Request) bool {
		for {
			w.c.mu.Lock()
			frozen, deaf := w.frozen, w.deaf || w.c.unreachable[w.zone]
			w.c.mu.Unlock()
			if deaf {
				<-r.Context().Done()
				return true
			}
			if !frozen {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) {
		var req struct {
			Baton  *uint64 `json:"baton"`
			Watch  *uint64 `json:"watch"`
			Orders []order `json:"orders"`
		}
		if !read(rw, r, &req) {
			return
		}
		if req.Baton == nil || req.Watch == nil {
			reply(rw, 400, struct{}{})
			return
		}
		if hang(r) {
			return
		}
		if w.c.lateCommand() {
			time.AfterFunc(secs(2+14*rand.Float64()), func() {
				w.c.mu.Lock()
				defer w.c.mu.Unlock()
				if w.c.workers[w.host] == w && *req.Baton >= w.baton && *req.Watch == w.session {
					w.baton = *req.Baton
					w.execute(req.Orders)
				}
			})
			<-r.Context().Done()
			return
		}
		w.c.mu.Lock()
		w.expire()
		code := 409
		if *req.Baton >= w.baton && *req.Watch == w.session && w.c.workers[w.host] == w {
			code = 200
			if *req.Baton > w.baton {
				w.baton = *req.Baton
				w.change()
			}
			w.execute(req.Orders)
		}
		rep := w.report(true)
		w.c.mu.Unlock()
		reply(rw, code, rep)
	})
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		if hang(r) {
			return
		}
		w.c.mu.Lock()
		w.expire()
		rep := w.report(true)
		w.c.mu.Unlock()
		reply(rw, 200, rep)
	})
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-w.gone:
			panic(http.ErrAbortHandler)
		default:
			mux.ServeHTTP(rw, r)
		}
	})
}

// run sends reports until the machine is gone.
func (w *Worker) run() {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	at := rand.Intn(len(w.c.NodeOrder))
	go func() { // time passes for the tasks, too
		for {
			select {
			case <-w.gone:
				return
			case <-time.After(20 * time.Millisecond):
			}
			w.c.mu.Lock()
			if w.c.workers[w.host] == w {
				w.expire()
			}
			w.c.mu.Unlock()
		}
	}()
	for {
		wait, ok := w.exchange(client, &at)
		if !ok {
			return
		}
		sentAt := time.Now()
		select {
		case <-w.gone:
			return
		case <-time.After(wait):
		case <-w.poke:
			if wait >= time.Second || wait < 0 {
				// a change: no more often than every half second
				select {
				case <-w.gone:
					return
				case <-time.After(max(0, 500*time.Millisecond-time.Since(sentAt))):
				}
			} else {
				time.Sleep(max(0, wait-time.Since(sentAt)))
			}
		}
		for w.isFrozen() {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (w *Worker) isFrozen() bool {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.frozen
}

// exchange sends one report and handles the answer. It returns the wait until the next one.
func (w *Worker) exchange(client *http.Client, at *int) (time.Duration, bool) {
	node := w.c.NodeOrder[*at%len(w.c.NodeOrder)]
	w.c.mu.Lock()
	if w.c.workers[w.host] != w {
		w.c.mu.Unlock()
		return 0, false
	}
	w.expire()
	rep := w.report(true)
	mute, cut := w.mute, w.c.cut[node+"|"+w.zone] || w.c.cut[node+"|"+w.host]
	addr := w.c.Nodes[node]
	w.c.mu.Unlock()
	sentAt := time.Now()
	raw, _ := json.Marshal(rep)
	code, body := 0, []byte(nil)
	if !mute && w.c.lateReport() {
		time.AfterFunc(secs(2+14*rand.Float64()), func() {
			for _, n := range w.c.NodeOrder {
				_, _ = post(client, "http://"+w.c.Nodes[n]+"/hello", raw, 4*time.Second)
			}
		})
	}
	if mute || cut {
		time.Sleep(4 * time.Second)
	} else {
		code, body = post(client, "http://"+addr+"/hello", raw, 4*time.Second)
	}
	for w.isFrozen() {
		time.Sleep(20 * time.Millisecond)
	}
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	if w.deaf {
		code = 0
	}
	if time.Since(sentAt) > 4*time.Second {
		code = 0
	}
	if w.c.OnReport != nil {
		w.c.OnReport(w.host, node, len(raw), code, longestLine(body))
	}
	if w.c.MaxLine > 0 && longestLine(body) > w.c.MaxLine {
		code = 0 // the answer can't be read, as with a connection that fails
	}
	var a answer
	_ = json.Unmarshal(body, &a)
	switch {
	case code == 200:
		w.expire()
		if rep.Watch == w.session && a.Baton >= w.baton {
			if a.Baton > w.baton {
				w.baton = a.Baton
				w.change()
			}
			w.leaseFrom = sentAt
			for _, o := range a.Orders {
				w.c.order(w.host, node, o.Verb, o.Shift, sentAt)
			}
			w.execute(a.Orders)
		}
		return secs(w.c.T.ReportS * (0.75 + rand.Float64()/2)), true
	case code == 421 && a.Herald != "" && a.Herald != node:
		for i, n := range w.c.NodeOrder {
			if n == a.Herald {
				*at = i
				return secs(rand.Float64() / 2), true
			}
		}
	}
	*at++
	return time.Second, true
}

func longestLine(body []byte) int {
	longest := 0
	for _, line := range bytes.Split(body, []byte("\n")) {
		longest = max(longest, len(line))
	}
	return longest
}

func post(client *http.Client, url string, raw []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
