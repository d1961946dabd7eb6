//go:build review

// Command tiny-tasks plays case 3: an array of many tiny tasks is placed whole on one large machine,
// whose reports are then longer than a request may be. They are refused, its lease ends, and all
// tasks are lost, again and again.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"cherrywall/review/standin"
)

// The limits of the protocol page.
const (
	maxBytes  = 64 << 10         // of a request body, and of a line of a response to workers or users
	waitLimit = 90 * time.Second // no job is left waiting so long while a machine that fits has room
)

func main() { os.Exit(standin.RunCase(play)) }

// answers counts the answers to the workers that are too long.
type answers struct {
	mu                 sync.Mutex
	longLines, longest int
}

func play(log *standin.Recorder, dir string, trouble bool) int {
	zone := []string{"dahab-rack"}
	timings := standin.Timings{ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 5, CancelS: 30}
	builds := []standin.Build{{Sku: "g8", Vcpus: 96, Cards: 8, RamGb: 768, CacheGb: 200, FetchGbPerS: 1, Hourly: 12, MarketPrice: 4.5, StartupS: 45, Valleys: zone}}
	d := standin.NewDeployment(log, dir, timings, []standin.Team{{Name: "trail-survey"}}, builds, []string{"dahab-rack", "dahab-rack", "dahab-rack"}, zone)
	defer d.StopAll()
	d.Cluster.Quiet, d.Cluster.MaxLine, d.Cluster.Capacity = true, maxBytes, 3
	var r answers
	d.Cluster.OnReport = func(host, node string, _, _, line int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if line > maxBytes {
			r.longLines++
			r.longest = max(r.longest, line)
			log.Printf("controller %s answers a report of %s with a line of %d bytes; the worker can't read it", node, host, line)
		}
	}
	for range 3 {
		d.Cluster.AddMachine("g8", "dahab-rack", false)
	}
	if err := d.StartAll(15 * time.Second); err != nil {
		log.Printf("%v", err)
		return standin.CannotRun
	}
	if !standin.WaitFor(15*time.Second, func() bool { return len(d.Store.Keys("cw/worker/")) == 3 }) {
		log.Printf("the machines are not in use")
		return standin.CannotRun
	}
	array := &standin.Job{Ref: "wk-000201", Lot: "spring-pings", Crew: "trail-survey", Shape: "sweep", Urgency: "idle", Shifts: 1150, Vcpus: 0.08, RamGb: 0.5,
		Kit: "img-1", ImageGb: 0.1, Loaners: true, GuessS: 15, RunS: 10}
	if !trouble {
		array.Shifts = 200
	}
	if !d.SubmitUntil(array, 15*time.Second) {
		return standin.CannotRun
	}
	return watch(log, d, &r, array)
}

func watch(log *standin.Recorder, d *standin.Deployment, r *answers, array *standin.Job) int {
	last, since := "", time.Now()
	for i := 0; time.Since(since) < waitLimit+5*time.Second; i++ {
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
		time.Sleep(time.Second)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	started, room := d.Cluster.Starts(), d.Cluster.Room(array)
	log.Printf("after %.0f s: %d tasks began, %d answers had a line of more than %d bytes, up to %d; machines %v, room on %v",
		time.Since(since).Seconds(), started, r.longLines, maxBytes, r.longest, d.Cluster.Hosts(), room)
	if r.longLines > 0 && started == 0 {
		log.Printf("BROKEN %s was accepted, and none of its tasks has begun", array.Ref)
		return standin.Broken
	}
	return standin.CannotRun
}
