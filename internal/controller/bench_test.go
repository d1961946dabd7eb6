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

// unavailableStore is a state service that tells its revision and takes nothing.
type unavailableStore struct{}

func (unavailableCloud) Release(context.Context, []string) error       { return cloud.ErrUnavailable }
func (unavailableCloud) List(context.Context) ([]cloud.Machine, error) { return nil, cloud.ErrUnavailable }

type unavailableCloud struct{}

func (unavailableStore) Commit(context.Context, kvstore.Priority, kvstore.Txn) (kvstore.TxnResult, error) {
	return kvstore.TxnResult{}, kvstore.ErrUnavailable
}
func (unavailableStore) Get(context.Context, kvstore.Priority, string) (kvstore.KeyValue, bool, uint64, error) {
	return kvstore.KeyValue{}, false, 0, nil
}
func (unavailableStore) List(context.Context, string) ([]kvstore.KeyValue, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}
func (unavailableStore) Watch(context.Context, string, uint64) ([]kvstore.Event, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}
func (unavailableStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	return 0, kvstore.ErrUnavailable
}
func (unavailableStore) KeepAlive(context.Context, uint64) error { return kvstore.ErrUnavailable }

const benchShard, benchIncarnation, benchEpoch = "n0", 7, 5

// NewBenchController makes an actor that holds one share with every machine full: 16 tasks
// each, of arrays of 1,000 tasks of which the others wait, and gangs that wait.
func NewBenchController(b *testing.B, machines, tasks, gangs int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	cfg := &config.Config{Node: benchShard, Zone: "a"}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS = 1.5, 10, 30
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 40, 8
	cfg.Cluster.Teams = []config.Team{{Name: "ops"}}
	c := New(b.Context(), cfg, unavailableStore{}, unavailableCloud{}, nil, benchIncarnation, func(string) {}, slog.New(slog.DiscardHandler))
	c.machineTypes.SetFromCloud([]cloud.MachineType{{Name: "m16", CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 35, Zones: []string{"a"}}})
	c.cache.ApplyEvents(nil, 1<<30)
	c.passReadBarrier()
	c.cache.ApplyWrite(jobs.ShardPrefix+benchShard, membership.EncodeShard(benchShard, benchIncarnation, nil, time.Now()), benchEpoch)
	spec := func(ref, kind, urgency string, n int, cpu float64) jobs.Spec {
		return jobs.Spec{Ref: ref, Class: kind, Team: "ops", Kind: kind, Urgency: urgency, Tasks: n, CPU: cpu, MemGB: 3, Image: "img",
			ImageGB: 1, EstimatedRunSeconds: 60}
	}
	for k := range tasks / 1000 {
		ref := fmt.Sprintf("wk-%d", k+1)
		c.cache.ApplyWrite(jobs.JobKey(ref), kvstore.Encode(jobs.JobRecord{Spec: spec(ref, jobs.Array, "normal", 1000, 1)}), 10)
		c.cache.ApplyWrite(jobs.RangeKey(ref, 0), kvstore.Encode(jobs.RangeRecord{Shard: benchShard, Count: 1000}), 4)
	}
	for k := range gangs {
		ref := fmt.Sprintf("wk-%d", 900000+k)
		s := spec(ref, jobs.Gang, "normal", 8, 7)
		s.OneZone = true
		c.cache.ApplyWrite(jobs.JobKey(ref), kvstore.Encode(jobs.JobRecord{Spec: s, Unclaimed: []jobs.TaskInterval{{Count: 8}}}), 10)
	}
	var reports []*workerapi.Heartbeat
	for i := range machines {
		host := fmt.Sprintf("i-%06d", i)
		c.cache.ApplyWrite(jobs.WorkerPrefix+host, kvstore.Encode(workerapi.Record{Shard: benchShard, MachineType: "m16", Zone: "a"}), 3)
		r := &workerapi.Heartbeat{Host: host, Addr: "10.0.0.1:9000", MachineType: "m16", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: benchEpoch}
		for k := range 16 {
			at := i*16 + k
			r.Tasks = append(r.Tasks, workerapi.TaskStatus{Task: jobs.TaskName(fmt.Sprintf("wk-%d", at/1000+1), at%1000), Attempt: 1,
				Status: workerapi.StatusRunning})
		}
		reports = append(reports, r)
		c.sessions.ApplyHeartbeat(c.state.Machine(host), r, time.Now())
	}
	c.reconciler.Check(time.Now())
	c.runCycle()
	return c, reports
}

// Run runs the actor without following a state service.
func (c *Controller) Run() { c.run() }

// passReadBarrier has the mirror know that nothing has changed until now.
func (c *Controller) passReadBarrier() {
	known := false
	c.cache.ReadBarrier(true, func(bool) { known = true })
	for !known {
		(<-c.mailbox.Messages())()
	}
}

// drainMailbox keeps an actor, that nobody runs, from growing stale or full of messages.
func drainMailbox(c *Controller) {
	for len(c.mailbox.Messages()) > 0 {
		(<-c.mailbox.Messages())()
	}
	if c.cache.IsStale(time.Now().Add(time.Second)) {
		c.passReadBarrier()
	}
}

// machineCounts are machines, each with a hundred tasks: 16 that run and the others waiting.
var machineCounts = []int{300, 1200, 5000, 20_000}

func forEachMachineCount(b *testing.B, f func(b *testing.B, machines int)) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

// newCrowdedController grows with the machines in all: see sizes, and a gang waits for every ten.
func newCrowdedController(b *testing.B, machines int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	return NewBenchController(b, machines, 100*machines, machines/10)
}

// A round of decisions in which nothing fits.
func BenchmarkSchedulingCycle(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newCrowdedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.runCycle()
		}
	})
}

// A task ends and another takes its place: one machine's sums, one place.
func BenchmarkTaskReplacement(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, reports := newCrowdedController(b, machines)
		machine := c.state.Machine(reports[0].Host)
		for b.Loop() {
			drainMailbox(c)
			for assignment := range machine.Assignments() {
				c.state.Unplace(assignment)
				break
			}
			c.runCycle()
		}
	})
}

// A report that says nothing new, as it reaches the actor.
func BenchmarkHeartbeat(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, reports := newCrowdedController(b, machines)
		at := 0
		for b.Loop() {
			r := reports[at%len(reports)]
			at++
			r.Sequence++
			c.sessions.ApplyHeartbeat(c.state.Machine(r.Host), r, time.Now())
		}
	})
}

// What the actor does four times a second, whatever happens; once a second it is more.
func BenchmarkTick(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newCrowdedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			now := time.Now()
			c.sessions.Tick(now)
			c.lifecycle.Tick(now)
			c.claims.Tick(now)
		}
	})
}

// What it does once a second.
func BenchmarkLifecycleMaintenance(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newCrowdedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.lifecycle.Maintain(time.Now())
		}
	})
}

// What it does every five seconds.
func BenchmarkRecount(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newCrowdedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.scheduler.Recount(time.Now())
			c.runCycle()
		}
	})
}

// A share of all machines changes hands: from the record to the last worker's report,
// all tasks accounted for and the first round of decisions made.
func BenchmarkShardAcquisition(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, reports := newCrowdedController(b, machines)
		stamp := uint64(100)
		for b.Loop() {
			drainMailbox(c)
			stamp++
			c.cache.ApplyWrite(jobs.ShardPrefix+benchShard, membership.EncodeShard(benchShard, benchIncarnation, nil, time.Now()), stamp)
			for _, r := range reports {
				r.Sequence++
				c.sessions.ApplyHeartbeat(c.state.Machine(r.Host), r, time.Now())
			}
			c.runCycle()
		}
	})
}

// All records are read anew, decoded, and the share is heard as above; bytes held
// for each machine with its 16 running and 84 waiting tasks.
func BenchmarkStartup(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, _ := newCrowdedController(b, machines)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc-before.HeapAlloc) / float64(machines)
		runtime.KeepAlive(c)
		for b.Loop() {
			newCrowdedController(b, machines)
		}
		b.ReportMetric(held, "held-B/machine")
	})
}
