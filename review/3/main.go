//go:build review

// Command late-move plays case 3: the write that moves an idle machine to another controller is
// carried out late, and its repetition is refused. The old controller then starts to use the machine
// again and places tasks of an array there.
package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherrywall/review/standin"
)

// waitLimit is the limit of the rule: no job is left waiting for 90 s while a machine that fits has
// room and its team is under its limit.
const waitLimit = 90 * time.Second

// mover makes the first move of a machine late.
type mover struct {
	store   *standin.Store
	log     *standin.Recorder
	trouble bool
	early   time.Duration // for measurements only: how long before the repetition the late write is carried out

	mu     sync.Mutex
	key    string // of the machine whose move is late
	sentAt time.Time
	late   time.Duration // how late it was carried out; 0 until then
}

// onTxn sees the transactions of the controllers.
func (m *mover) onTxn(node string, t *standin.Txn) (standin.Verdict, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range t.Writes {
		isMove := strings.HasPrefix(w.Write, "cw/worker/") && slices.ContainsFunc(t.If, func(c standin.Cond) bool { return c.Key == w.Write && c.Stamp > 0 })
		if !isMove {
			continue
		}
		switch {
		case m.key == "":
			m.key, m.sentAt = w.Write, time.Now()
			m.log.Printf("state: %s writes %s, which moves the machine; late: %v", node, w.Write, m.trouble)
			if !m.trouble {
				return standin.Now, 0
			}
			if m.early > 0 {
				time.AfterFunc(3500*time.Millisecond-m.early, m.carryOut)
			}
			return standin.Late, 0
		case m.key == w.Write && m.trouble && m.late == 0:
			m.late = time.Since(m.sentAt)
			m.store.ApplyLate()
			m.log.Printf("state: %s repeats the write of %s; the first one was carried out %.1f s late", node, w.Write, m.late.Seconds())
		}
	}
	return standin.Now, 0
}

// carryOut carries out the late write before its repetition.
func (m *mover) carryOut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = time.Since(m.sentAt)
	m.store.ApplyLate()
}

func (m *mover) moveSeen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.key != ""
}

func (m *mover) lateness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late
}

// watchDelay returns how long the state service takes for the answer to an open watch at that moment:
// answers usually take under 10 ms, and occasionally a few hundred.
func watchDelay() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("WATCH_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 150 * time.Millisecond
}

func (m *mover) carriedOutAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.late == 0 {
		return time.Time{}
	}
	return m.sentAt.Add(m.late)
}

func main() { os.Exit(standin.RunCase(play)) }

func play(log *standin.Recorder, dir string, trouble bool) int {
	zone := []string{"toess-room"}
	timings := standin.Timings{ReportS: 5, LeaseS: 36, GangWaitS: 30, GangPeerS: 5, CancelS: 61}
	builds := []standin.Build{{Sku: "fackel-16", Vcpus: 16, RamGb: 64, CacheGb: 60, FetchGbPerS: 0.4, Hourly: 0.79, MarketPrice: 0.18, StartupS: 15, Valleys: zone}}
	d := standin.NewDeployment(log, dir, timings, []standin.Team{{Name: "lamp-ops"}}, builds, []string{"toess-room", "toess-room", "toess-room"}, zone)
	defer d.StopAll()
	early, _ := strconv.Atoi(os.Getenv("EARLY_MS"))
	m := &mover{store: d.Store, log: log, trouble: trouble, early: time.Duration(early) * time.Millisecond}
	if err := d.StartAll(15 * time.Second); err != nil {
		log.Printf("%v", err)
		return standin.CannotRun
	}
	for i := range 3 { // one after the other, so that each controller gets one
		host := d.Cluster.AddMachine("fackel-16", "toess-room", false)
		if !standin.WaitFor(10*time.Second, func() bool { return d.Store.Value("cw/worker/"+host) != "" }) {
			log.Printf("machine %d is not in use", i)
			return standin.CannotRun
		}
	}
	d.Store.OnTxn = m.onTxn
	d.Store.WatchDelay = func(string) time.Duration {
		if at := m.carriedOutAt(); !at.IsZero() {
			return time.Until(at.Add(watchDelay()))
		}
		return 0
	}
	gang := &standin.Job{Ref: "wk-000101", Lot: "dusk-push", Crew: "lamp-ops", Shape: "group", Urgency: "high", Shifts: 3, Vcpus: 15, RamGb: 51,
		Kit: "img-1", ImageGb: 0.2, Loaners: true, GuessS: 180, Waypoint: 15, StashS: 4, RunS: 3}
	array := &standin.Job{Ref: "wk-000102", Lot: "meter-clean", Crew: "lamp-ops", Shape: "sweep", Urgency: "idle", Shifts: 44, Vcpus: 1, RamGb: 3.2,
		Kit: "img-2", ImageGb: 0.2, Loaners: true, GuessS: 6, RunS: 4}
	if !d.SubmitUntil(gang, 15*time.Second) {
		return standin.CannotRun
	}
	if !standin.WaitFor(20*time.Second, m.moveSeen) {
		log.Printf("no machine was moved")
		return standin.CannotRun
	}
	if !d.SubmitUntil(array, 15*time.Second) {
		return standin.CannotRun
	}
	// Other work goes on, so that no machine is returned as idle.
	other := &standin.Job{Ref: "wk-000103", Lot: "fault-sweep", Crew: "lamp-ops", Shape: "sweep", Urgency: "idle", Shifts: 1, Vcpus: 2, RamGb: 3.9,
		Kit: "img-2", ImageGb: 0.2, GuessS: 200, RunS: 300}
	time.AfterFunc(12*time.Second, func() { d.SubmitUntil(other, 15*time.Second) })
	return watch(log, d, m, array, trouble)
}

// watch polls for the array, and measures for how long nothing of it is on a machine although one has room.
func watch(log *standin.Recorder, d *standin.Deployment, m *mover, array *standin.Job, trouble bool) int {
	last, waitingSince := "", time.Time{}
	for i, end := 0, time.Now().Add(112*time.Second-log.Elapsed()); time.Now().Before(end); i++ {
		node := d.Nodes[i%len(d.Nodes)].Name
		s := d.Poll(node, array.Ref)
		if text := fmt.Sprint(s); text != last {
			log.Printf("user: polls %s at %s: %d %s, done %d, running %d", array.Ref, node, s.Code, s.Status, s.Done, s.Running)
			last = text
		}
		if s.Status == "done" {
			log.Printf("the array is done; rules broken: %v", d.Cluster.Violations())
			return standin.Held
		}
		on, room := d.Cluster.OnMachines(array.Ref), d.Cluster.Room(array)
		switch troublesOver := !trouble || m.lateness() > 0; {
		case len(on) > 0 || len(room) == 0 || !troublesOver:
			waitingSince = time.Time{}
		case waitingSince.IsZero():
			waitingSince = time.Now()
			log.Printf("nothing of %s is on a machine, %v have room for its tasks", array.Ref, room)
		case time.Since(waitingSince) > waitLimit:
			log.Printf("BROKEN %s waits for %.0f s, no task of it is on a machine, %v have room; %d tasks began in all; all its tasks are done: %v",
				array.Ref, time.Since(waitingSince).Seconds(), room, d.Cluster.Starts(), d.Cluster.Complete(array.Ref))
			d.AppendLogs("moved", "shard acquired", "lasting problem")
			return standin.Broken
		}
		time.Sleep(250 * time.Millisecond)
	}
	log.Printf("the array is not done, and did not wait for %v either", waitLimit)
	return standin.CannotRun
}
