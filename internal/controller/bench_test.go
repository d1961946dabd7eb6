package controller

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
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// away is a state service that tells its revision and takes nothing.
type away struct{}

func (awayCloud) Release(context.Context, []string) error       { return cloud.ErrUnavailable }
func (awayCloud) List(context.Context) ([]cloud.Machine, error) { return nil, cloud.ErrUnavailable }

type awayCloud struct{}

func (away) Commit(context.Context, kvstore.Priority, kvstore.Txn) (kvstore.TxnResult, error) {
	return kvstore.TxnResult{}, kvstore.ErrUnavailable
}
func (away) Get(context.Context, kvstore.Priority, string) (kvstore.KeyValue, bool, uint64, error) {
	return kvstore.KeyValue{}, false, 0, nil
}
func (away) List(context.Context, string) ([]kvstore.KeyValue, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}
func (away) Watch(context.Context, string, uint64) ([]kvstore.Event, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}
func (away) GrantLease(context.Context, time.Duration) (uint64, error) {
	return 0, kvstore.ErrUnavailable
}
func (away) KeepAlive(context.Context, uint64) error { return kvstore.ErrUnavailable }

const benchShare, benchBoot, benchToken = "n0", 7, 5

// Crowded makes an actor that holds one share with every machine full: 16 tasks
// each, of arrays of 1,000 tasks of which the others wait, and gangs that wait.
func Crowded(b *testing.B, machines, tasks, gangs int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	cfg := &config.Config{Node: benchShare, Zone: "a"}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS = 1.5, 10, 30
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 40, 8
	cfg.Cluster.Teams = []config.Team{{Name: "ops"}}
	a := New(b.Context(), cfg, away{}, awayCloud{}, nil, benchBoot, func(string) {}, slog.New(slog.DiscardHandler))
	a.machineTypes.SetFromCloud([]cloud.MachineType{{Name: "m16", CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 35, Zones: []string{"a"}}})
	a.cache.ApplyEvents(nil, 1<<30)
	a.refresh()
	a.cache.ApplyWrite(jobs.ShardPrefix+benchShare, membership.EncodeShard(benchShare, benchBoot, nil, time.Now()), benchToken)
	spec := func(ref, kind, urgency string, n int, cpu float64) jobs.Spec {
		return jobs.Spec{Ref: ref, Class: kind, Team: "ops", Kind: kind, Urgency: urgency, Tasks: n, CPU: cpu, MemGB: 3, Image: "img",
			ImageGB: 1, EstimatedRunSeconds: 60}
	}
	for k := range tasks / 1000 {
		ref := fmt.Sprintf("wk-%d", k+1)
		a.cache.ApplyWrite(jobs.JobKey(ref), kvstore.Encode(jobs.JobRecord{Spec: spec(ref, jobs.Array, "normal", 1000, 1)}), 10)
		a.cache.ApplyWrite(jobs.RangeKey(ref, 0), kvstore.Encode(jobs.RangeRecord{Shard: benchShare, Count: 1000}), 4)
	}
	for k := range gangs {
		ref := fmt.Sprintf("wk-%d", 900000+k)
		s := spec(ref, jobs.Gang, "normal", 8, 7)
		s.OneZone = true
		a.cache.ApplyWrite(jobs.JobKey(ref), kvstore.Encode(jobs.JobRecord{Spec: s, Unclaimed: []jobs.TaskInterval{{Count: 8}}}), 10)
	}
	var reports []*workerapi.Heartbeat
	for i := range machines {
		host := fmt.Sprintf("i-%06d", i)
		a.cache.ApplyWrite(jobs.WorkerPrefix+host, kvstore.Encode(workerapi.Record{Shard: benchShare, MachineType: "m16", Zone: "a"}), 3)
		r := &workerapi.Heartbeat{Host: host, Addr: "10.0.0.1:9000", MachineType: "m16", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: benchToken}
		for k := range 16 {
			at := i*16 + k
			r.Tasks = append(r.Tasks, workerapi.TaskStatus{Task: jobs.TaskName(fmt.Sprintf("wk-%d", at/1000+1), at%1000), Attempt: 1,
				Status: workerapi.StatusRunning})
		}
		reports = append(reports, r)
		a.sessions.ApplyHeartbeat(a.state.Machine(host), r, time.Now())
	}
	a.reconciler.Check(time.Now())
	a.runCycle()
	return a, reports
}

// Loop runs the actor without following a state service.
func (a *Controller) Loop() { a.run() }

// refresh has the mirror know that nothing has changed until now.
func (a *Controller) refresh() {
	known := false
	a.cache.ReadBarrier(true, func(bool) { known = true })
	for !known {
		(<-a.mailbox.Messages())()
	}
}

// steady keeps an actor, that nobody runs, from growing stale or full of messages.
func steady(a *Controller) {
	for len(a.mailbox.Messages()) > 0 {
		(<-a.mailbox.Messages())()
	}
	if a.cache.IsStale(time.Now().Add(time.Second)) {
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
func crowd(b *testing.B, machines int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	return Crowded(b, machines, 100*machines, machines/10)
}

// A round of decisions in which nothing fits.
func BenchmarkDecide(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			a.runCycle()
		}
	})
}

// A task ends and another takes its place: one machine's sums, one place.
func BenchmarkTaskEndsAndNextStarts(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, reports := crowd(b, machines)
		machine := a.state.Machine(reports[0].Host)
		for b.Loop() {
			steady(a)
			for assignment := range machine.Assignments() {
				a.state.Unplace(assignment)
				break
			}
			a.runCycle()
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
			r.Sequence++
			a.sessions.ApplyHeartbeat(a.state.Machine(r.Host), r, time.Now())
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
			a.lifecycle.Tick(now)
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
			a.lifecycle.Maintain(time.Now())
		}
	})
}

// What it does every five seconds.
func BenchmarkRecount(b *testing.B) {
	eachSize(b, func(b *testing.B, machines int) {
		a, _ := crowd(b, machines)
		for b.Loop() {
			steady(a)
			a.scheduler.Recount(time.Now())
			a.runCycle()
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
			a.cache.ApplyWrite(jobs.ShardPrefix+benchShare, membership.EncodeShard(benchShare, benchBoot, nil, time.Now()), stamp)
			for _, r := range reports {
				r.Sequence++
				a.sessions.ApplyHeartbeat(a.state.Machine(r.Host), r, time.Now())
			}
			a.runCycle()
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
