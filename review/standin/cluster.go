//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is a submission as the protocol has it.
type Job struct {
	Ref      string   `json:"ref"`
	Lot      string   `json:"lot"`
	Crew     string   `json:"crew"`
	Shape    string   `json:"shape"`
	Urgency  string   `json:"urgency"`
	Shifts   int      `json:"shifts"`
	Vcpus    float64  `json:"vcpus"`
	Cards    float64  `json:"cards"`
	RamGb    float64  `json:"ramGb"`
	Kit      string   `json:"kit"`
	ImageGb  float64  `json:"imageGb"`
	Builds   []string `json:"builds"`
	Valley   *string  `json:"valley"`
	OneZone  bool     `json:"oneZone"`
	Spread   bool     `json:"spread"`
	Loaners  bool     `json:"loaners"`
	GuessS   float64  `json:"guessS"`
	Waypoint float64  `json:"waypointS"`
	StashS   float64  `json:"stashS"`
	DueS     *float64 `json:"dueS"`
	Awaits   []string `json:"awaits,omitempty"`

	// RunS is how long a task really runs; the workers know it from the job's description.
	RunS float64 `json:"-"`
}

// Build is a machine type.
type Build struct {
	Sku         string   `json:"sku"`
	Vcpus       float64  `json:"vcpus"`
	Cards       float64  `json:"cards"`
	RamGb       float64  `json:"ramGb"`
	CacheGb     float64  `json:"cacheGb"`
	FetchGbPerS float64  `json:"fetchGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	StartupS    float64  `json:"startupS"`
	Valleys     []string `json:"valleys"`
}

// Timings are the settings of the workers.
type Timings struct{ ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64 }

// Team is a team with its limit.
type Team struct {
	Name    string
	CPUsMax float64
}

// Cluster has the machines, the jobs that users have uploaded, and what is known of them from outside.
type Cluster struct {
	Log    *Recorder
	T      Timings
	Teams  []Team
	Builds []Build
	// Nodes are the addresses of the controllers, by name.
	Nodes map[string]string
	// NodeOrder is the order in which workers try them.
	NodeOrder []string
	// Capacity is how many machines the cloud still rents out.
	Capacity int
	// OnStart is called with the lock held when a task begins on a machine.
	OnStart func(task, host string)
	// OnOrder is told, with the lock held, of each order in an answer, and when the report was sent that got it.
	OnOrder func(host, node, verb, task string, sentAt time.Time)
	// MaxLine is the longest line of an answer that the workers read; 0: any.
	MaxLine int
	// Quiet leaves the begin and the end of each task out of the record.
	Quiet bool
	// OnReport is told of each report of a worker, its size and its answer.
	OnReport func(host, node string, size, code, answerLine int)

	mu                        sync.Mutex
	workers                   map[string]*Worker
	jobs                      map[string]*Job
	doneTasks                 map[string]bool // by task: it has completed on some machine
	progress                  map[string]float64
	gangs                     map[string]*gang
	told                      map[string]time.Time // when a user was first told that the job is cancelled
	asked                     map[string]bool      // jobs that a user asked to cancel
	violations                []string
	starts                    int
	lastHost                  int
	bookings                  map[string][]string
	unreachable               map[string]bool // zones whose workers' own addresses can't be reached
	lateReports, lateCommands float64
	cut                       map[string]bool // "node|zone" or "node|host": nothing passes
}

// NewCluster returns a cluster without machines.
func NewCluster(log *Recorder, t Timings, teams []Team, builds []Build) *Cluster {
	return &Cluster{Log: log, T: t, Teams: teams, Builds: builds, Nodes: map[string]string{}, workers: map[string]*Worker{}, jobs: map[string]*Job{},
		doneTasks: map[string]bool{}, progress: map[string]float64{}, gangs: map[string]*gang{}, told: map[string]time.Time{}, asked: map[string]bool{},
		bookings: map[string][]string{}, cut: map[string]bool{}, unreachable: map[string]bool{}}
}

// Upload makes the description of a job known to the workers.
func (c *Cluster) Upload(j *Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.Ref] = j
}

// Job returns an uploaded job.
func (c *Cluster) Job(ref string) *Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref]
}

func (c *Cluster) build(sku string) Build {
	for _, b := range c.Builds {
		if b.Sku == sku {
			return b
		}
	}
	return Build{}
}

// Violate records a broken rule.
func (c *Cluster) Violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(format, args...)
}

func (c *Cluster) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.Log.Printf("BROKEN %s", text)
}

// Violations returns the broken rules.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// Starts returns how many tasks began.
func (c *Cluster) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Complete reports whether all tasks of a job have completed.
func (c *Cluster) Complete(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete(ref)
}

func (c *Cluster) complete(ref string) bool {
	j := c.jobs[ref]
	if j == nil {
		return false
	}
	for i := range j.Shifts {
		if !c.doneTasks[ref+"/"+strconv.Itoa(i)] {
			return false
		}
	}
	return true
}

// OnMachines returns where tasks of a job are, with their states.
func (c *Cluster) OnMachines(ref string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, w := range c.workers {
		for name, t := range w.tasks {
			if strings.HasPrefix(name, ref+"/") && t.status != "ended" {
				out = append(out, fmt.Sprintf("%s on %s: %s", name, w.host, t.status))
			}
		}
	}
	sort.Strings(out)
	return out
}

// Hosts returns the names of the machines.
func (c *Cluster) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for h := range c.workers {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	return hosts
}

// AskCancel notes that a user asks to cancel a job, Told that the user was told so.
func (c *Cluster) AskCancel(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[ref] = true
}

// Told notes that a user was told that a job is cancelled.
func (c *Cluster) Told(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.told[ref]; !ok {
		c.told[ref] = time.Now()
		c.Log.Printf("user: told that %s is cancelled", ref)
	}
}

// CheckCancelled looks for tasks of cancelled jobs that are on a machine too long.
func (c *Cluster) CheckCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.expire()
		for name, t := range w.tasks {
			ref, _, _ := strings.Cut(name, "/")
			at, ok := c.told[ref]
			if ok && t.onMachine() && !w.frozen && time.Since(at) > secs(c.T.CancelS)+200*time.Millisecond {
				c.violate("ran_cancelled: %s is on %s %.1f s after its user was told", name, w.host, time.Since(at).Seconds())
			}
		}
	}
}

// taskStarts checks the rules when a task has its image.
func (c *Cluster) taskStarts(w *Worker, t *task) {
	c.starts++
	ref, _, _ := strings.Cut(t.name, "/")
	j := t.job
	if !c.Quiet {
		c.Log.Printf("worker %s: %s try %d begins", w.host, t.name, t.try)
	}
	used, inZone, zones := 0.0, 1, map[string]bool{w.zone: true}
	for _, o := range c.workers {
		o.expire()
		for name, ot := range o.tasks {
			if ot == t || !ot.onMachine() {
				continue
			}
			if name == t.name {
				c.violate("ran_twice: %s begins on %s (try %d) while it is on %s (try %d, %s)", name, w.host, t.try, o.host, ot.try, ot.status)
			}
			if ot.job.Ref == ref {
				zones[o.zone] = true
				if o.zone == w.zone {
					inZone++
				}
			}
			if ot.job.Crew == j.Crew {
				used += ot.job.Vcpus
			}
		}
	}
	used += j.Vcpus
	for _, team := range c.Teams {
		if team.Name == j.Crew && team.CPUsMax > 0 && used > team.CPUsMax+1e-6 {
			c.violate("quota: %s uses %.2f of %.2f when %s begins", team.Name, used, team.CPUsMax, t.name)
		}
	}
	ok := j.Builds == nil
	for _, b := range j.Builds {
		ok = ok || b == w.sku
	}
	switch {
	case !ok, j.Valley != nil && *j.Valley != w.zone, w.loaner && !j.Loaners:
		c.violate("wrong_place: %s on %s (%s, %s, loaner %v)", t.name, w.host, w.sku, w.zone, w.loaner)
	case j.OneZone && len(zones) > 1:
		c.violate("wrong_place: %s begins on %s in %s, others elsewhere (oneZone)", t.name, w.host, w.zone)
	case j.Spread && inZone > (j.Shifts+1)/2:
		c.violate("wrong_place: %s begins on %s: %d of %d in %s (spread)", t.name, w.host, inZone, j.Shifts, w.zone)
	}
	for _, need := range j.Awaits {
		if !c.complete(need) {
			c.violate("too_early: %s begins before %s is done", t.name, need)
		}
	}
	if at, ok := c.told[ref]; ok {
		c.Log.Printf("note: %s begins %.3f s after its user was told that it is cancelled", t.name, time.Since(at).Seconds())
		if time.Since(at) > secs(c.T.CancelS) {
			c.violate("ran_cancelled: %s begins", t.name)
		}
	}
	if c.OnStart != nil {
		c.OnStart(t.name, w.host)
	}
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ServeCloud serves the cloud and returns the address.
func (c *Cluster) ServeCloud() string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"builds": c.Builds}) })
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/release", func(w http.ResponseWriter, r *http.Request) {
		var req struct {
			Hosts []string `json:"hosts"`
		}
		if !read(w, r, &req) {
			return
		}
		for _, h := range req.Hosts {
			c.Log.Printf("cloud: %s is returned", h)
			c.Remove(h)
		}
		reply(w, 200, struct{}{})
	})
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		hosts := []map[string]any{}
		var names []string
		for h := range c.workers {
			if h > r.URL.Query().Get("from") {
				names = append(names, h)
			}
		}
		sort.Strings(names)
		for _, h := range names[:min(len(names), 500)] {
			wk := c.workers[h]
			hosts = append(hosts, map[string]any{"ref": h, "addr": wk.addr, "build": wk.sku, "valley": wk.zone, "loaners": wk.loaner,
				"status": "running", "ageS": time.Since(wk.born).Seconds()})
		}
		c.mu.Unlock()
		reply(w, 200, map[string]any{"hosts": hosts, "truncated": len(names) > 500})
	})
	return serve(mux)
}

func (c *Cluster) rent(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Booking string `json:"booking"`
		Build   string `json:"build"`
		Valley  string `json:"valley"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if !read(w, r, &req) {
		return
	}
	c.mu.Lock()
	if hosts, ok := c.bookings[req.Booking]; ok {
		c.mu.Unlock()
		reply(w, 200, map[string]any{"hosts": hosts})
		return
	}
	n := min(req.HowMany, c.Capacity)
	c.Capacity -= n
	c.mu.Unlock()
	if n == 0 {
		reply(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	var hosts []string
	for range n {
		hosts = append(hosts, c.AddMachine(req.Build, req.Valley, req.Loaners))
	}
	c.mu.Lock()
	c.bookings[req.Booking] = hosts
	c.mu.Unlock()
	c.Log.Printf("cloud: rents out %v", hosts)
	reply(w, 200, map[string]any{"hosts": hosts})
}

// AddMachine boots a machine and returns its name.
func (c *Cluster) AddMachine(sku, zone string, loaner bool) string {
	c.mu.Lock()
	c.lastHost++
	w := &Worker{c: c, host: fmt.Sprintf("i-%06d", c.lastHost), sku: sku, zone: zone, loaner: loaner, session: 1, leaseFrom: time.Now(), born: time.Now(),
		tasks: map[string]*task{}, refused: map[string]shift{}, images: map[string]time.Time{}, poke: make(chan struct{}, 1), gone: make(chan struct{})}
	c.workers[w.host] = w
	c.mu.Unlock()
	w.addr = serve(w.handler())
	go w.run()
	return w.host
}

// Remove ends a machine with all that is on it.
func (c *Cluster) Remove(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[host]; w != nil {
		w.killAll()
		delete(c.workers, host)
		close(w.gone)
	}
}

// Cut cuts a controller from a zone or a machine, or mends that.
func (c *Cluster) Cut(node, zoneOrHost string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[node+"|"+zoneOrHost] = on
}

// Machine changes the faults of a machine: it hangs, its reports are lost, or answers and commands to it are lost.
func (c *Cluster) Machine(host string, frozen, mute, deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[host]; w != nil {
		w.frozen, w.mute, w.deaf = frozen, mute, deaf
	}
}

// Recall sends a notice to a spot machine that ends after the given time.
func (c *Cluster) Recall(host string, s float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[host]
	if w == nil || !w.recall.IsZero() {
		return
	}
	w.recall = time.Now().Add(secs(s))
	w.change()
	time.AfterFunc(secs(s), func() { c.Remove(host) })
}

// Room returns the machines on which a task of a job would fit now, as the cloud and the workers see it.
func (c *Cluster) Room(j *Job) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for _, w := range c.workers {
		w.expire()
		ok := j.Builds == nil
		for _, b := range j.Builds {
			ok = ok || b == w.sku
		}
		if ok && (j.Valley == nil || *j.Valley == w.zone) && (j.Loaners || !w.loaner) && w.recall.IsZero() && !w.frozen && !w.mute && !w.deaf && w.fits(j) {
			hosts = append(hosts, w.host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

// Dump returns the tasks of a worker as JSON, for the record.
func (c *Cluster) Dump(host string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[host]
	if w == nil {
		return "gone"
	}
	raw, _ := json.Marshal(w.report(false))
	return string(raw)
}

// Late sets which share of the reports arrives again, and which share of the direct commands is carried out late.
func (c *Cluster) Late(reports, commands float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateReports, c.lateCommands = reports, commands
}

func (c *Cluster) lateReport() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.Float64() < c.lateReports
}

func (c *Cluster) lateCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.Float64() < c.lateCommands
}

// TeamUse returns how many CPUs a team's tasks use.
func (c *Cluster) TeamUse(team string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := 0.0
	for _, w := range c.workers {
		for _, t := range w.tasks {
			if t.status != "ended" && t.job.Crew == team {
				used += t.job.Vcpus
			}
		}
	}
	return used
}

// CompletedTasks returns how many tasks of a job have completed.
func (c *Cluster) CompletedTasks(ref string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for i := range c.jobs[ref].Shifts {
		if c.doneTasks[ref+"/"+strconv.Itoa(i)] {
			count++
		}
	}
	return count
}

// order looks at an order in an answer to a report that was sent at a time.
func (c *Cluster) order(host, node, verb, task string, sentAt time.Time) {
	ref, _, _ := strings.Cut(task, "/")
	if at, ok := c.told[ref]; ok && verb == "launch" && sentAt.After(at) {
		c.Log.Printf("note: %s orders %s to launch %s in the answer to a report sent %.3f s after the user was told that it is cancelled", node, host, task, sentAt.Sub(at).Seconds())
	}
	if c.OnOrder != nil {
		c.OnOrder(host, node, verb, task, sentAt)
	}
}
