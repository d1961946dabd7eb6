//go:build review

package standin2

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings are the settings of the small deployment, which the settings files of the controllers repeat.
type Settings struct {
	Zones     []string // of the controllers, in their order
	ReportS   float64
	LeaseS    float64
	GangWaitS float64
	GangPeerS float64
	CancelS   float64
	State     Limits
	ListLagS  float64
	Types     []Type
	Teams     []Team
}

// Team is a team with its limit; 0 is none.
type Team struct {
	Name    string
	CPUsMax float64
}

// Type is a machine type of the cloud.
type Type struct {
	Name           string
	CPUs, RAM      float64
	CacheGB        float64
	FetchGBPerS    float64
	Price, Spot    float64
	BootS          float64
	BootsAfter     time.Duration // how long a machine really takes to boot
	Zones          []string
	CapacityByZone map[string]int // machines that can be rented, by zone
}

// Job is a job as a user submits it.
type Job struct {
	Ref        string    `json:"ref"`
	Lot        string    `json:"lot"`
	Crew       string    `json:"crew"`
	Shape      string    `json:"shape"`
	Urgency    string    `json:"urgency"`
	Shifts     int       `json:"shifts"`
	CPUs       float64   `json:"vcpus"`
	Cards      float64   `json:"cards"`
	RAM        float64   `json:"ramGb"`
	Kit        string    `json:"kit"`
	ImageGB    float64   `json:"imageGb"`
	Builds     []string  `json:"builds"`
	Valley     *string   `json:"valley"`
	OneZone    bool      `json:"oneZone"`
	Spread     bool      `json:"spread"`
	Loaners    bool      `json:"loaners"`
	GuessS     float64   `json:"guessS"`
	WaypointS  float64   `json:"waypointS"`
	StashS     float64   `json:"stashS"`
	DueS       *float64  `json:"dueS"`
	Awaits     []string  `json:"awaits,omitempty"`
	RunSeconds []float64 `json:"-"` // run time of each task; the last one stands for all further tasks
}

// runTime returns the run time of a task; 0 stands for a task that runs until it is stopped.
func (j *Job) runTime(index int) time.Duration {
	if j.Shape == "daemon" || len(j.RunSeconds) == 0 {
		return 0
	}
	return time.Duration(j.RunSeconds[min(index, len(j.RunSeconds)-1)] * float64(time.Second))
}

// World holds the workers, the cloud's machines and what users submitted. One lock guards all of it.
type World struct {
	Settings Settings
	State    *State

	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	jobs      map[string]*Job
	done      map[string]bool // tasks that have completed; their results are kept
	machines  map[string]*Machine
	names     []string // all machines that were ever rented, in their order
	bookings  map[string][]string
	snapshots []snapshot // of the machine list, for its lag
	nodes     []Node
	starts    map[string][]Start // by task
	longLines int                // lines of responses to workers that were longer than allowed

	lateNode    string // the controller whose transactions are late, as LateWrites set it
	lateDelay   time.Duration
	lateSelects func(body string) bool
}

// Start is the start of a task on a machine.
type Start struct {
	At   time.Time
	Host string
	Try  uint64
}

type snapshot struct {
	at   time.Time
	rows []listed
}

// NewWorld returns a world without machines. What happens is written to the file record.
func NewWorld(settings Settings, record *os.File) *World {
	w := &World{Settings: settings, State: NewState(settings.State), record: record, startedAt: time.Now(),
		jobs: map[string]*Job{}, done: map[string]bool{}, machines: map[string]*Machine{}, bookings: map[string][]string{}, starts: map[string][]Start{}}
	go func() {
		for range time.Tick(25 * time.Millisecond) {
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
	}()
	return w
}

// Logf writes a line with the time since the start to the record.
func (w *World) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// RegisterJob makes the description of a job known to the workers, as the user's upload does.
func (w *World) RegisterJob(job Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.Ref] = &job
}

// taskJob returns the job and the number of a task, nil if there is none.
func (w *World) taskJob(task string) (*Job, int) {
	ref, number, _ := strings.Cut(task, "/")
	job := w.jobs[ref]
	index, err := strconv.Atoi(number)
	if job == nil || err != nil || index < 0 || index >= job.Shifts {
		return nil, 0
	}
	return job, index
}

// Starts returns the starts of a task so far.
func (w *World) Starts(task string) []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Start{}, w.starts[task]...)
}

// OnMachines returns the machines on which a task is at present.
func (w *World) OnMachines(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []string
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.name == task && t.status != "ended" && t.status != "pulling" && !m.gone {
				hosts = append(hosts, m.Host)
			}
		}
	}
	sort.Strings(hosts)
	return hosts
}

// IsDone reports whether a task has completed.
func (w *World) IsDone(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// Room is a machine with the resources that are free on it.
type Room struct {
	Host, Zone string
	CPUs, RAM  float64
}

// Rooms returns the machines whose worker runs and starts tasks without failing them.
func (w *World) Rooms() []Room {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rooms []Room
	for _, name := range w.names {
		m := w.machines[name]
		if m == nil || m.gone || m.sick || !m.up || m.recall != nil {
			continue
		}
		cpus, ram := m.free()
		rooms = append(rooms, Room{m.Host, m.Zone, cpus, ram})
	}
	return rooms
}

// MachinesIn returns the names of the running machines of a zone.
func (w *World) MachinesIn(zone string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []string
	for _, name := range w.names {
		if m := w.machines[name]; m != nil && !m.gone && m.up && m.Zone == zone {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// Stop stops a machine with all that is on it. Connections to it hang from then on.
func (w *World) Stop(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[host]
	if m == nil || m.gone {
		return
	}
	w.Logf("machine %s stops with all that is on it", host)
	m.end()
}

// SetSick makes a machine fail every task that it starts, or ends that.
func (w *World) SetSick(host string, sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[host].sick = sick
	w.Logf("machine %s fails every task that it starts: %v", host, sick)
}

// advance lets time pass for all tasks, leases and gangs. The caller holds the lock.
func (w *World) advance(now time.Time) {
	for _, m := range w.machines {
		if m.up && !m.gone {
			m.advance(now)
		}
	}
	w.advanceGangs(now)
	w.snapshot(now)
}

type gangKey struct {
	ref string
	try uint64
}

// advanceGangs starts gangs that are complete, and ends those that lost a task.
func (w *World) advanceGangs(now time.Time) {
	for key, tasks := range w.presentGangs() {
		job := w.jobs[key.ref]
		gathered, ran := 0, false
		for _, t := range tasks {
			if t.status == "gathering" {
				gathered++
			}
			ran = ran || t.ran
		}
		if gathered == job.Shifts {
			for _, t := range tasks {
				t.run(now)
			}
		}
		if ran && len(tasks) < job.Shifts {
			w.breakGang(tasks, now)
		}
	}
}

// presentGangs returns the tasks of gangs that are on machines, by attempt.
func (w *World) presentGangs() map[gangKey][]*task {
	gangs := map[gangKey][]*task{}
	for _, m := range w.machines {
		if m.gone || !m.up {
			continue
		}
		for _, t := range m.tasks {
			if t.job != nil && t.job.Shape == "group" && t.status != "ended" {
				key := gangKey{t.job.Ref, t.try}
				gangs[key] = append(gangs[key], t)
			}
		}
	}
	return gangs
}

// breakGang ends the running tasks of a gang that lost a task, once they have noticed it.
func (w *World) breakGang(tasks []*task, now time.Time) {
	for _, t := range tasks {
		if t.brokenSince.IsZero() {
			t.brokenSince = now
		}
		if t.status == "running" && now.Sub(t.brokenSince).Seconds() > w.Settings.GangPeerS*0.8 {
			t.end("mates_gone")
		}
	}
}

// Finish lets a running task complete now.
func (w *World) Finish(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.name == name && t.status == "running" {
				t.endsAt = time.Now()
			}
		}
	}
}

// ZoneOf returns the zone of a machine.
func (w *World) ZoneOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[host].Zone
}
