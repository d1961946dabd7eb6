package placement

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

// away is a state service that tells its revision and takes nothing.
type away struct{}

func (awayCloud) Release(context.Context, []string) error       { return cloud.ErrTrouble }
func (awayCloud) List(context.Context) ([]cloud.Machine, error) { return nil, cloud.ErrTrouble }

type awayCloud struct{}

func (away) Do(context.Context, state.Priority, state.Txn) (state.Result, error) {
	return state.Result{}, state.ErrUnavailable
}
func (away) Get(context.Context, state.Priority, string) (state.Row, bool, uint64, error) {
	return state.Row{}, false, 0, nil
}
func (away) List(context.Context, string) ([]state.Row, uint64, error) {
	return nil, 0, state.ErrUnavailable
}
func (away) Watch(context.Context, string, uint64) ([]state.Event, uint64, error) {
	return nil, 0, state.ErrUnavailable
}
func (away) Grant(context.Context, time.Duration) (uint64, error) { return 0, state.ErrUnavailable }
func (away) Touch(context.Context, uint64) error                  { return state.ErrUnavailable }

const benchShare, benchBoot, benchToken = "n0", 7, 5

// Crowded makes an actor that holds one share with every machine full: 16 tasks
// each, of arrays of 1,000 tasks of which the others wait, and gangs that wait.
func Crowded(b *testing.B, machines, tasks, gangs int) (*Actor, []*worker.Report) {
	b.Helper()
	cfg := &config.Config{Node: benchShare, Zone: "a"}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS = 1.5, 10, 30
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 40, 8
	cfg.Cluster.Teams = []config.Team{{Name: "ops"}}
	a := New(b.Context(), cfg, away{}, awayCloud{}, nil, benchBoot, func(string) {}, slog.New(slog.DiscardHandler))
	a.types.Hear([]cloud.Flavor{{SKU: "m16", CPU: 16, MemGB: 64, Hourly: 1, SpotHourly: 0.3, StartupS: 35, Zones: []string{"a"}}})
	a.mirror.News(nil, 1<<30)
	a.refresh()
	a.mirror.Write(jobs.SharePrefix+benchShare, membership.ShareRecord(benchShare, benchBoot, nil, time.Now()), benchToken)
	spec := func(ref, kind, urgency string, n int, cpu float64) jobs.Spec {
		return jobs.Spec{Ref: ref, Class: kind, Team: "ops", Kind: kind, Urgency: urgency, Tasks: n, CPU: cpu, MemGB: 3, Image: "img",
			ImageGB: 1, EstimateS: 60}
	}
	for k := range tasks / 1000 {
		ref := fmt.Sprintf("wk-%d", k+1)
		a.mirror.Write(jobs.JobKey(ref), state.Encode(jobs.Record{Spec: spec(ref, jobs.Array, "normal", 1000, 1)}), 10)
		a.mirror.Write(jobs.RangeKey(ref, 0), state.Encode(jobs.Range{Share: benchShare, N: 1000}), 4)
	}
	for k := range gangs {
		ref := fmt.Sprintf("wk-%d", 900000+k)
		s := spec(ref, jobs.Gang, "normal", 8, 7)
		s.OneZone = true
		a.mirror.Write(jobs.JobKey(ref), state.Encode(jobs.Record{Spec: s, Free: []jobs.Span{{N: 8}}}), 10)
	}
	var reports []*worker.Report
	for i := range machines {
		host := fmt.Sprintf("i-%06d", i)
		a.mirror.Write(jobs.WorkerPrefix+host, state.Encode(worker.Record{Share: benchShare, Build: "m16", Zone: "a"}), 3)
		r := &worker.Report{Host: host, Addr: "10.0.0.1:9000", Build: "m16", Zone: "a", Watch: 1, Tick: 1, Token: benchToken}
		for k := range 16 {
			at := i*16 + k
			r.Tasks = append(r.Tasks, worker.Entry{Task: jobs.TaskName(fmt.Sprintf("wk-%d", at/1000+1), at%1000), Try: 1,
				Status: worker.Running})
		}
		reports = append(reports, r)
		a.sessions.Hear(a.books.Machine(host), r, time.Now())
	}
	a.recovery.Check(time.Now())
	a.decide()
	return a, reports
}

// Loop runs the actor without following a state service.
func (a *Actor) Loop() { a.run() }

// refresh has the mirror know that nothing has changed until now.
func (a *Actor) refresh() {
	known := false
	a.mirror.Current(true, func(bool) { known = true })
	for !known {
		(<-a.loop.In())()
	}
}

// steady keeps an actor, that nobody runs, from growing stale or full of messages.
func steady(a *Actor) {
	for len(a.loop.In()) > 0 {
		(<-a.loop.In())()
	}
	if a.mirror.Stale(time.Now().Add(time.Second)) {
		a.refresh()
	}
}

// sizes are machines, each with a hundred tasks: 16 that run and the others waiting.
var sizes = []int{300, 1200, 5000, 20_000}

func eachSize(b *testing.B, f func(b *testing.B, machines int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

// crowd grows with the machines in all: see sizes, and a gang waits for every ten.
func crowd(b *testing.B, machines int) (*Actor, []*worker.Report) {
	b.Helper()
	return Crowded(b, machines, 100*machines, machines/10)
}

// A round of decisions in which nothing fits.
func BenchmarkDecide(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			a.decide()
		}
	})
}

// A task ends and another takes its place: one machine's sums, one place.
func BenchmarkTaskEndsAndNextStarts(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, reports := crowd(b, machines)
		m := a.books.Machine(reports[0].Host)
		for b.Loop() {
			steady(a)
			for s := range m.Slots() {
				a.books.Unplace(s)
				break
			}
			a.decide()
		}
	})
}

// A report that says nothing new, as it reaches the actor.
func BenchmarkReport(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, reports := crowd(b, machines)
		at := 0
		for b.Loop() {
			r := reports[at%len(reports)]
			at++
			r.Tick++
			a.sessions.Hear(a.books.Machine(r.Host), r, time.Now())
		}
	})
}

// What the actor does four times a second, whatever happens; once a second it is more.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			now := time.Now()
			a.sessions.Tick(now)
			a.machines.Tick(now)
			a.claims.Tick(now)
		}
	})
}

// What it does once a second.
func BenchmarkUpkeep(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			a.machines.Upkeep(time.Now())
		}
	})
}

// What it does every five seconds.
func BenchmarkRecount(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			a.decider.Recount(time.Now())
			a.decide()
		}
	})
}

// A share of all machines changes hands: from the record to the last worker's report,
// all tasks accounted for and the first round of decisions made.
func BenchmarkTakeover(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, reports := crowd(b, machines)
		stamp := uint64(100)
		for b.Loop() {
			steady(a)
			stamp++
			a.mirror.Write(jobs.SharePrefix+benchShare, membership.ShareRecord(benchShare, benchBoot, nil, time.Now()), stamp)
			for _, r := range reports {
				r.Tick++
				a.sessions.Hear(a.books.Machine(r.Host), r, time.Now())
			}
			a.decide()
		}
	})
}

// All records are read anew, decoded, and the share is heard as above; bytes held
// for each machine with its 16 running and 84 waiting tasks.
func BenchmarkStart(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a, _ := crowd(b, machines)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc-before.HeapAlloc) / float64(machines)
		runtime.KeepAlive(a)
		for b.Loop() {
			crowd(b, machines)
		}
		b.ReportMetric(held, "held-B/machine")
	})
}
