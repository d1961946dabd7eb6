//go:build review

// Command cut-zone plays case 2: a zone is cut off, another controller takes over its shard, and the
// user is told by it that a job is cancelled, while the controller in the zone still orders starts.
package main

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	"cherrywall/review/standin"
)

func main() { os.Exit(standin.RunCase(play)) }

// witness notes the commands to start tasks of a job after its user was told that it is cancelled.
type witness struct {
	mu     sync.Mutex
	ref    string
	toldAt time.Time
	late   int           // launches in answers to reports that were sent after that
	latest time.Duration // how long after that the last such report was sent
}

func (w *witness) onOrder(log *standin.Recorder) func(host, node, verb, task string, sentAt time.Time) {
	return func(host, node, verb, task string, sentAt time.Time) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if verb != "launch" || !strings.HasPrefix(task, w.ref+"/") || w.toldAt.IsZero() || !sentAt.After(w.toldAt) {
			return
		}
		w.late++
		w.latest = sentAt.Sub(w.toldAt)
		log.Printf("controller %s orders %s to launch %s, in the answer to a report that was sent %.3f s after the user was told", node, host, task, w.latest.Seconds())
	}
}

func (w *witness) told(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.toldAt = at
}

func (w *witness) result() (late int, latest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late, w.latest
}

func play(log *standin.Recorder, dir string, trouble bool) int {
	zones := []string{"dahab-rack", "katrin-rack", "cairo-rack"}
	timings := standin.Timings{ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 5, CancelS: 30}
	builds := []standin.Build{{Sku: "qasr-16", Vcpus: 16, RamGb: 64, CacheGb: 60, FetchGbPerS: 1, Hourly: 0.68, MarketPrice: 0.16, StartupS: 35, Valleys: zones}}
	d := standin.NewDeployment(log, dir, timings, []standin.Team{{Name: "bookings-desk"}}, builds, zones, zones)
	defer d.StopAll()
	array := &standin.Job{Ref: "wk-000301", Lot: "roster-build", Crew: "bookings-desk", Shape: "sweep", Urgency: "normal", Shifts: 286, Vcpus: 1, RamGb: 3.6,
		Kit: "img-1", ImageGb: 0.1, Loaners: true, GuessS: 1.5, RunS: 1}
	w := &witness{ref: array.Ref}
	d.Cluster.OnOrder = w.onOrder(log)
	d.Cluster.AddMachine("qasr-16", "dahab-rack", false)
	if err := d.StartAll(15 * time.Second); err != nil {
		log.Printf("%v", err)
		return standin.CannotRun
	}
	time.Sleep(3 * time.Second)
	old := d.Nodes[0]
	if s := d.Submit(old.Name, array); s.Code != 201 {
		return standin.CannotRun
	}
	if !standin.WaitFor(20*time.Second, func() bool { d.Poll(old.Name, array.Ref); return d.Cluster.Starts() >= 20 }) {
		log.Printf("the array does not run")
		return standin.CannotRun
	}
	through := d.Nodes[1].Name
	if trouble {
		log.Printf("zone %s is cut off from everything", old.Zone)
		d.CutZone(old.Zone, true)
		if !standin.WaitFor(10*time.Second, func() bool { through = holder(d, old.Name); return through != old.Name }) {
			log.Printf("no other controller took over")
			return standin.CannotRun
		}
		log.Printf("state: %s holds the share of %s now", through, old.Name)
	}
	if s := d.Withdraw(through, array.Ref); s.Status != "aborted" {
		return standin.CannotRun
	}
	w.told(time.Now())
	time.Sleep(10 * time.Second)
	d.CutZone(old.Zone, false)
	time.Sleep(5 * time.Second)
	if late, latest := w.result(); late > 0 {
		log.Printf("BROKEN after its user was told that %s is cancelled, %d of its tasks were ordered to start, the last one in the answer to a report sent %.2f s later", array.Ref, late, latest.Seconds())
		return standin.Broken
	}
	log.Printf("no task of %s was ordered to start after its user was told; rules broken: %v", array.Ref, d.Cluster.Violations())
	return standin.Held
}

// holder returns which controller holds a share, by its record.
func holder(d *standin.Deployment, share string) string {
	var record struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal([]byte(d.Store.Value("cw/share/"+share)), &record)
	return record.Holder
}
