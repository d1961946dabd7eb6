//go:build review

// Command explore plays random jobs and random faults against the stand-ins.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cherrywall/review/standin"
)

type seen struct {
	accepted  bool
	final     string
	asked     bool
	lastOK    time.Time
	submitted time.Time
}

type explorer struct {
	d    *standin.Deployment
	log  *standin.Recorder
	mu   sync.Mutex
	rnd  *rand.Rand
	jobs map[string]*standin.Job
	seen map[string]*seen
	refs []string
	stop time.Time
	wg   sync.WaitGroup
}

func (e *explorer) n(k int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rnd.Intn(k)
}

func (e *explorer) f() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rnd.Float64()
}

func (e *explorer) node() string { return e.d.Nodes[e.n(len(e.d.Nodes))].Name }

func (e *explorer) check(ref, what, node string, s standin.Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.seen[ref]
	if s.Code == 404 && j.accepted {
		e.d.Cluster.Violate("forgotten: %s of %s at %s: 404", what, ref, node)
	}
	if (s.Code == 400 || s.Code == 422) && j.accepted {
		e.d.Cluster.Violate("forgotten: %s of %s at %s: %d %s", what, ref, node, s.Code, s.Error)
	}
	if s.Code != 200 && s.Code != 201 {
		return
	}
	j.lastOK = time.Now()
	if what != "poll" || true {
		j.accepted = true
	}
	if j.final != "" && s.Status != j.final {
		e.d.Cluster.Violate("went_back: %s at %s says %s is %s, it was %s", what, node, ref, s.Status, j.final)
	}
	if s.Status == "done" {
		if !e.d.Cluster.Complete(ref) {
			e.d.Cluster.Violate("not_done: %s at %s says %s is done", what, node, ref)
		}
		j.final = "done"
	}
	if s.Status == "aborted" {
		e.d.Cluster.Told(ref)
		if !j.asked && !e.ancestorAsked(ref) {
			e.d.Cluster.Violate("went_back: %s is aborted, nobody asked", ref)
		}
		j.final = "aborted"
	}
}

func (e *explorer) ancestorAsked(ref string) bool {
	for _, a := range e.jobs[ref].Awaits {
		if e.seen[a].asked || e.ancestorAsked(a) {
			return true
		}
	}
	return false
}

func (e *explorer) newJob(i int, zones []string) *standin.Job {
	j := &standin.Job{Ref: fmt.Sprintf("wk-%06d", i), Lot: "c" + strconv.Itoa(e.n(5)), Crew: []string{"limited", "free"}[e.n(2)], Shape: []string{"sweep", "sweep", "group", "daemon"}[e.n(4)],
		Urgency: []string{"idle", "normal", "high", "prod"}[e.n(4)], Shifts: 1 + e.n(6), Vcpus: float64(1 + e.n(5)), RamGb: 2, Kit: "img-" + strconv.Itoa(e.n(6)), ImageGb: e.f() * 2,
		Loaners: e.n(2) == 0, GuessS: 1 + e.f()*8}
	j.RunS = j.GuessS * (0.5 + e.f())
	if e.n(4) == 0 && j.Shape == "sweep" {
		j.Shifts = 10 + e.n(40)
		j.Vcpus = 1
	}
	if e.n(3) == 0 {
		j.Waypoint, j.StashS = 1+e.f()*3, e.f()*3
	}
	if j.Shape == "daemon" {
		j.GuessS, j.RunS = 0, 1000
	}
	if os.Getenv("LARGE") != "" && e.n(2) == 0 {
		j.Lot += strings.Repeat("x", 7000+e.n(9000))
	}
	switch e.n(8) {
	case 0, 1:
		j.OneZone = true
	case 2:
		if len(zones) > 1 {
			j.Spread = true
		}
	case 3:
		z := zones[e.n(len(zones))]
		j.Valley = &z
	case 4:
		j.Builds = []string{[]string{"small", "large"}[e.n(2)]}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.refs) > 3 && e.rnd.Intn(4) == 0 && j.Shape != "daemon" {
		for range 1 + e.rnd.Intn(3) {
			ref := e.refs[max(0, len(e.refs)-1-e.rnd.Intn(8))]
			if e.seen[ref].accepted && e.jobs[ref].Shape != "daemon" {
				j.Awaits = append(j.Awaits, ref)
			}
		}
	}
	e.jobs[j.Ref], e.seen[j.Ref] = j, &seen{}
	return j
}

func (e *explorer) follow(j *standin.Job) {
	defer e.wg.Done()
	e.d.Cluster.Upload(j)
	start := time.Now()
	ok := false
	for time.Since(start) < 60*time.Second {
		node := e.node()
		s := e.d.Submit(node, j)
		e.check(j.Ref, "submission", node, s)
		if s.Code == 422 || s.Code == 400 {
			e.log.Printf("note: %s refused: %s", j.Ref, s.Error)
			return
		}
		if s.Code == 200 || s.Code == 201 {
			ok = true
			break
		}
		time.Sleep(time.Second)
	}
	if !ok {
		return
	}
	e.mu.Lock()
	e.refs = append(e.refs, j.Ref)
	e.mu.Unlock()
	cancelAt := time.Time{}
	if e.n(3) == 0 || os.Getenv("CANCELS") != "" {
		cancelAt = time.Now().Add(time.Duration(e.f() * 12 * float64(time.Second)))
	}
	if j.Shape == "daemon" {
		cancelAt = time.Now().Add(time.Duration(e.f() * 30 * float64(time.Second)))
	}
	for time.Now().Before(e.stop) {
		if !cancelAt.IsZero() && time.Now().After(cancelAt) {
			e.mu.Lock()
			e.seen[j.Ref].asked = true
			e.mu.Unlock()
			node := e.node()
			e.check(j.Ref, "withdrawal", node, e.d.Withdraw(node, j.Ref))
		}
		if e.n(8) == 0 {
			node := e.node()
			e.check(j.Ref, "repeat", node, e.d.Submit(node, j))
		}
		node := e.node()
		e.check(j.Ref, "poll", node, e.d.Poll(node, j.Ref))
		e.mu.Lock()
		final := e.seen[j.Ref].final
		e.mu.Unlock()
		if final != "" {
			if e.n(2) == 0 {
				for _, n := range e.d.Nodes {
					e.check(j.Ref, "poll", n.Name, e.d.Poll(n.Name, j.Ref))
				}
			}
			return
		}
		time.Sleep(time.Duration(300+e.n(900)) * time.Millisecond)
	}
}

func main() { os.Exit(run()) }

func run() int {
	seed, _ := strconv.ParseInt(os.Args[1], 10, 64)
	base := os.Args[2]
	_ = os.MkdirAll(base, 0o755)
	log, err := standin.NewRecorder(filepath.Join(base, "record.txt"))
	if err != nil {
		return 2
	}
	standin.FirstPort, standin.PortCount = 10000+2000*int(seed%10), 2000
	rnd := rand.New(rand.NewSource(seed))
	t := standin.Timings{ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 5, CancelS: 30}
	zones := []string{"a", "b", "c"}
	nodeZones := []string{"a", "b", "c"}
	if seed%2 == 0 {
		zones, nodeZones = []string{"a"}, []string{"a", "a", "a"}
	}
	builds := []standin.Build{
		{Sku: "large", Vcpus: 16, RamGb: 64, CacheGb: 50, FetchGbPerS: 1, Hourly: 0.7, MarketPrice: 0.2, StartupS: 20, Valleys: zones},
		{Sku: "small", Vcpus: 4, RamGb: 16, CacheGb: 50, FetchGbPerS: 1, Hourly: 0.2, MarketPrice: 0.05, StartupS: 20, Valleys: zones}}
	d := standin.NewDeployment(log, base, t, []standin.Team{{Name: "limited", CPUsMax: 24}, {Name: "free"}}, builds, nodeZones, zones)
	defer d.StopAll()
	d.Cluster.Capacity = 14
	for i := range 9 {
		d.Cluster.AddMachine([]string{"large", "large", "small"}[i%3], zones[i/3%len(zones)], i%4 == 3)
	}
	if err := d.StartAll(30 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(2 * time.Second)
	e := &explorer{d: d, log: log, rnd: rnd, jobs: map[string]*standin.Job{}, seen: map[string]*seen{}, stop: time.Now().Add(150 * time.Second)}
	go func() {
		for {
			time.Sleep(250 * time.Millisecond)
			d.Cluster.CheckCancelled()
		}
	}()
	var stateMu sync.Mutex
	lateShare, lostShare, watchDelay := 0.0, 0.0, time.Duration(0)
	d.Store.OnTxn = func(_ string, _ *standin.Txn) (standin.Verdict, time.Duration) {
		stateMu.Lock()
		defer stateMu.Unlock()
		x := rand.Float64()
		switch {
		case x < lateShare:
			return standin.LateAfter, time.Duration((2 + 10*rand.Float64()) * float64(time.Second))
		case x < lateShare+lostShare:
			return standin.Lost, 0
		}
		return standin.Now, 0
	}
	d.Store.WatchDelay = func(string) time.Duration {
		stateMu.Lock()
		defer stateMu.Unlock()
		return watchDelay
	}
	faultsEnd := time.Now().Add(65 * time.Second)
	go func() {
		for i := 0; time.Now().Before(faultsEnd); i++ {
			j := e.newJob(i, zones)
			e.wg.Add(1)
			go e.follow(j)
			time.Sleep(time.Duration(200+e.n(1000)) * time.Millisecond)
		}
	}()
	var faults sync.WaitGroup
	for time.Now().Before(faultsEnd.Add(-5 * time.Second)) {
		time.Sleep(time.Duration(500+e.n(5000)) * time.Millisecond)
		node := d.Nodes[e.n(len(d.Nodes))]
		length := time.Duration(1000+e.n(14000)) * time.Millisecond
		hosts := d.Cluster.Hosts()
		host := ""
		if len(hosts) > 0 {
			host = hosts[e.n(len(hosts))]
		}
		kind := e.n(23)
		if k := strings.Fields(os.Getenv("KINDS")); len(k) > 0 {
			kind, _ = strconv.Atoi(k[e.n(len(k))])
		}
		log.Printf("fault %d, controller %s, machine %s, %.1f s", kind, node.Name, host, length.Seconds())
		faults.Add(1)
		go func() {
			defer faults.Done()
			set := func(on bool) {
				stateMu.Lock()
				defer stateMu.Unlock()
				switch {
				case kind == 3 && on:
					lateShare = 0.15
				case kind == 3:
					lateShare = 0
				case kind == 4 && on:
					lostShare = 0.2
				case kind == 4:
					lostShare = 0
				case kind == 5 && on:
					watchDelay = 400 * time.Millisecond
				case kind == 5:
					watchDelay = 0
				}
			}
			switch kind {
			case 0:
				node.Kill(log)
				time.Sleep([]time.Duration{200 * time.Millisecond, 6 * time.Second}[e.n(2)])
				_ = node.Start(log)
			case 1:
				d.StopAll()
				time.Sleep([]time.Duration{200 * time.Millisecond, 6 * time.Second, 12 * time.Second}[e.n(3)])
				for _, n := range d.Nodes {
					_ = n.Start(log)
				}
			case 2:
				node.Signal(log, syscall.SIGSTOP)
				time.Sleep(length)
				node.Signal(log, syscall.SIGCONT)
			case 3, 4, 5:
				set(true)
				time.Sleep(length)
				set(false)
			case 6:
				d.Store.Refuse(node.Name, true)
				time.Sleep(length)
				d.Store.Refuse(node.Name, false)
			case 7:
				d.Store.SetDown(true)
				time.Sleep(length)
				d.Store.SetDown(false)
			case 8:
				d.CutPeers(node.Name, true)
				time.Sleep(length)
				d.CutPeers(node.Name, false)
			case 9:
				d.CutPeers(node.Name, true)
				d.Store.Refuse(node.Name, true)
				time.Sleep(length)
				d.Store.Refuse(node.Name, false)
				d.CutPeers(node.Name, false)
			case 10:
				d.Cluster.Machine(host, true, false, false)
				time.Sleep(length)
				d.Cluster.Machine(host, false, false, false)
			case 11:
				d.Cluster.Machine(host, false, true, false)
				time.Sleep(length)
				d.Cluster.Machine(host, false, false, false)
			case 12:
				d.Cluster.Machine(host, false, false, true)
				time.Sleep(length)
				d.Cluster.Machine(host, false, false, false)
			case 13:
				d.Cluster.Remove(host)
			case 14:
				d.Cluster.Recall(host, 3+e.f()*8)
			case 15:
				for _, z := range zones {
					d.Cluster.Cut(node.Name, z, true)
				}
				time.Sleep(length)
				for _, z := range zones {
					d.Cluster.Cut(node.Name, z, false)
				}
			case 21:
				node.Terminate(log, 7*time.Second)
				time.Sleep(300 * time.Millisecond)
				_ = node.Start(log)
			case 22: // all, one after the other
				for _, n := range d.Nodes {
					n.Terminate(log, 7*time.Second)
					_ = n.Start(log)
					time.Sleep(3 * time.Second)
				}
			case 19:
				d.Store.Hang(node.Name, true)
				time.Sleep(length)
				d.Store.Hang(node.Name, false)
			case 20:
				if len(zones) > 1 {
					d.CutZone(node.Zone, true)
					time.Sleep(length)
					d.CutZone(node.Zone, false)
				}
			case 17:
				d.Cluster.Late(0.3, 0)
				time.Sleep(length)
				d.Cluster.Late(0, 0)
			case 18:
				d.Cluster.Late(0, 0.5)
				time.Sleep(length)
				d.Cluster.Late(0, 0)
			case 16:
				d.CutPeers(node.Name, true)
				time.Sleep(time.Second)
				node.Kill(log)
				time.Sleep(300 * time.Millisecond)
				_ = node.Start(log)
				time.Sleep(length)
				d.CutPeers(node.Name, false)
			}
		}()
	}
	faults.Wait()
	for _, n := range d.Nodes {
		_ = n.Start(log)
	}
	log.Printf("all faults are over")
	e.wg.Wait()
	time.Sleep(time.Second)
	left := 0
	usedLimited, usedFree := d.Cluster.TeamUse("limited"), d.Cluster.TeamUse("free")
	log.Printf("limited uses %.0f, free %.0f", usedLimited, usedFree)
	e.mu.Lock()
	for ref, s := range e.seen {
		if s.accepted && s.final == "" {
			left++
			log.Printf("left: %s %.600v on %v, room on %v", ref, fmt.Sprintf("%+v", *e.jobs[ref]), d.Cluster.OnMachines(ref), d.Cluster.Room(e.jobs[ref]))
			j := e.jobs[ref]
			if len(d.Cluster.OnMachines(ref)) == 0 && (j.Crew == "free" || usedLimited+j.Vcpus*float64(j.Shifts) <= 24) && len(d.Cluster.Room(j)) > 0 {
				fmt.Printf("seed %d: left %s shape %s tasks %d crew %s, room %v, %s awaits %v oneZone %v spread %v cpus %v\n", seed, ref, e.jobs[ref].Shape, e.jobs[ref].Shifts, e.jobs[ref].Crew, d.Cluster.Room(e.jobs[ref]), j.Urgency, j.Awaits, j.OneZone, j.Spread, j.Vcpus)
			}
		}
	}
	e.mu.Unlock()
	for i, v := range d.Cluster.Violations() {
		if i > 20 {
			break
		}
		fmt.Printf("seed %d: %s\n", seed, v)
	}
	fmt.Printf("seed %d: %d jobs, %d starts, %d left, limited uses %.0f, free %.0f\n", seed, len(e.seen), d.Cluster.Starts(), left, usedLimited, usedFree)
	return 0
}
