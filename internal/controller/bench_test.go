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

// unavailableCloud is a cloud that answers every request with an error.
type unavailableCloud struct{}

func (unavailableCloud) Release(context.Context, []string) error { return cloud.ErrUnavailable }
func (unavailableCloud) List(context.Context) ([]cloud.Machine, error) {
	return nil, cloud.ErrUnavailable
}

// unavailableStore is a key-value store that answers every request with an error, except for reads of
// single keys, which it answers as if no key existed.
type unavailableStore struct{}

func (unavailableStore) Commit(context.Context, kvstore.Priority, kvstore.Txn) (kvstore.TxnResult, error) {
	return kvstore.TxnResult{}, kvstore.ErrUnavailable
}
func (unavailableStore) Get(context.Context, kvstore.Priority, string) (kvstore.GetResult, error) {
	return kvstore.GetResult{}, nil
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

// NewBenchController returns a controller that owns one shard. Each of the shard's machines is full: it runs
// 16 tasks of arrays of 1,000 tasks each. All other tasks of the arrays wait, and so do all gangs.
// NewBenchController also returns a heartbeat of each machine.
func NewBenchController(b *testing.B, machines, tasks, gangs int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	cfg := &config.Config{Node: benchShard, Zone: "a"}
	cfg.Cluster.Workers.HeartbeatIntervalSeconds, cfg.Cluster.Workers.LeaseSeconds, cfg.Cluster.Workers.CancelSeconds = 1.5, 10, 30
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 40, 8
	cfg.Cluster.Teams = []config.Team{{Name: "ops"}}
	c := New(b.Context(), cfg, unavailableStore{}, unavailableCloud{}, nil, benchIncarnation, func(string) {}, slog.New(slog.DiscardHandler))
	c.machineTypes.SetCloudTypes([]cloud.MachineType{{Name: "m16", CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 35, Zones: []string{"a"}}})
	c.cache.ApplyEvents(nil, 1<<30)
	c.passReadBarrier()
	c.cache.ApplyWrite(jobs.ShardPrefix+benchShard, membership.EncodeShard(benchShard, benchIncarnation, nil, time.Now()), benchEpoch)
	for i := range tasks / 1000 {
		array := benchSpec(fmt.Sprintf("wk-%d", i+1), jobs.Array, 1000, 1)
		c.cache.ApplyWrite(jobs.JobKey(array.Ref), kvstore.MustEncode(jobs.JobRecord{Spec: array}), 10)
		c.cache.ApplyWrite(jobs.RangeKey(array.Ref, 0), kvstore.MustEncode(jobs.RangeRecord{Shard: benchShard, Count: 1000}), 4)
	}
	for i := range gangs {
		gang := benchSpec(fmt.Sprintf("wk-%d", 900000+i), jobs.Gang, 8, 7)
		gang.OneZone = true
		c.cache.ApplyWrite(jobs.JobKey(gang.Ref), kvstore.MustEncode(jobs.JobRecord{Spec: gang, Unclaimed: []jobs.TaskInterval{{Count: 8}}}), 10)
	}
	var heartbeats []*workerapi.Heartbeat
	for i := range machines {
		heartbeat := benchHeartbeat(i)
		c.cache.ApplyWrite(jobs.WorkerPrefix+heartbeat.Host, kvstore.MustEncode(workerapi.Record{Shard: benchShard, MachineType: "m16", Zone: "a"}), 3)
		heartbeats = append(heartbeats, heartbeat)
		c.sessions.ApplyHeartbeat(c.state.Machine(heartbeat.Host), heartbeat, time.Now())
	}
	c.reconciler.CompleteRecoveries(time.Now())
	c.runCycle()
	return c, heartbeats
}

func benchSpec(ref string, kind jobs.Kind, tasks int, cpu float64) jobs.Spec {
	return jobs.Spec{Ref: ref, Class: string(kind), Team: "ops", Kind: kind, Urgency: "normal", Tasks: tasks, CPU: cpu, MemGB: 3, Image: "img",
		ImageGB: 1, EstimatedRunSeconds: 60}
}

// benchHeartbeat returns the heartbeat of a machine that runs 16 tasks of the arrays.
func benchHeartbeat(machine int) *workerapi.Heartbeat {
	heartbeat := &workerapi.Heartbeat{Host: fmt.Sprintf("i-%06d", machine), Addr: "10.0.0.1:9000", MachineType: "m16", Zone: "a",
		AgentEpoch: 1, Sequence: 1, FencingToken: benchEpoch}
	for i := range 16 {
		index := machine*16 + i
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task:    jobs.TaskName(fmt.Sprintf("wk-%d", index/1000+1), index%1000),
			Attempt: 1,
			Status:  workerapi.StatusRunning,
		})
	}
	return heartbeat
}

// Run runs the controller's goroutine without a watch of the key-value store.
func (c *Controller) Run() { c.run() }

// passReadBarrier handles messages until a read barrier has made the cache current.
func (c *Controller) passReadBarrier() {
	isCurrent := false
	c.cache.ReadBarrier(true, func(bool) { isCurrent = true })
	for !isCurrent {
		(<-c.mailbox.Messages())()
	}
}

// drainMailbox handles the queued messages of a controller whose goroutine does not run, and passes a read
// barrier before the cache becomes stale.
func drainMailbox(c *Controller) {
	for len(c.mailbox.Messages()) > 0 {
		(<-c.mailbox.Messages())()
	}
	if c.cache.IsStale(time.Now().Add(time.Second)) {
		c.passReadBarrier()
	}
}

// machineCounts are the numbers of machines with which the benchmarks run. For each machine there are a hundred
// tasks, and 16 of them run.
var machineCounts = []int{300, 1200, 5000, 20_000}

func forEachMachineCount(b *testing.B, benchmark func(b *testing.B, machines int)) {
	for _, machines := range machineCounts {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			benchmark(b, machines)
		})
	}
}

// newLoadedController returns a controller whose load grows with the number of machines: for each machine there
// are a hundred tasks, 16 of them running, and for every ten machines there is one waiting gang.
func newLoadedController(b *testing.B, machines int) (*Controller, []*workerapi.Heartbeat) {
	b.Helper()
	return NewBenchController(b, machines, 100*machines, machines/10)
}

// BenchmarkSchedulingCycle measures a scheduling cycle in which no waiting task fits on a machine.
func BenchmarkSchedulingCycle(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newLoadedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.runCycle()
		}
	})
}

// BenchmarkTaskReplacement measures the scheduling cycle that starts another task in place of one that has
// ended.
func BenchmarkTaskReplacement(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, heartbeats := newLoadedController(b, machines)
		machine := c.state.Machine(heartbeats[0].Host)
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

// BenchmarkHeartbeat measures the handling of a worker's heartbeat that reports no changes.
func BenchmarkHeartbeat(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, heartbeats := newLoadedController(b, machines)
		nextIndex := 0
		for b.Loop() {
			heartbeat := heartbeats[nextIndex%len(heartbeats)]
			nextIndex++
			heartbeat.Sequence++
			c.sessions.ApplyHeartbeat(c.state.Machine(heartbeat.Host), heartbeat, time.Now())
		}
	})
}

// BenchmarkTick measures a tick of the components whose work depends on the number of machines.
func BenchmarkTick(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newLoadedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			now := time.Now()
			c.sessions.Tick(now)
			c.lifecycle.Tick(now)
			c.claims.Tick(now)
		}
	})
}

// BenchmarkLifecycleMaintenance measures the maintenance that the machine lifecycle does once a second.
func BenchmarkLifecycleMaintenance(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newLoadedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.lifecycle.Maintain(time.Now())
		}
	})
}

// BenchmarkRecount measures the scheduler's recount, which the controller does every five seconds, and the
// scheduling cycle after it.
func BenchmarkRecount(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, _ := newLoadedController(b, machines)
		for b.Loop() {
			drainMailbox(c)
			c.scheduler.Recount(time.Now())
			c.runCycle()
		}
	})
}

// BenchmarkShardAcquisition measures the acquisition of a shard to which all machines belong: it applies the
// shard's record and the heartbeats of all workers, which reconciles all tasks, and runs the first
// scheduling cycle.
func BenchmarkShardAcquisition(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		c, heartbeats := newLoadedController(b, machines)
		epoch := uint64(100)
		for b.Loop() {
			drainMailbox(c)
			epoch++
			c.cache.ApplyWrite(jobs.ShardPrefix+benchShard, membership.EncodeShard(benchShard, benchIncarnation, nil, time.Now()), epoch)
			for _, heartbeat := range heartbeats {
				heartbeat.Sequence++
				c.sessions.ApplyHeartbeat(c.state.Machine(heartbeat.Host), heartbeat, time.Now())
			}
			c.runCycle()
		}
	})
}

// BenchmarkStartup measures the application of all records and of the first heartbeats of all workers. It
// also reports the heap size, in bytes per machine, including the machine's 16 running and 84 waiting
// tasks.
func BenchmarkStartup(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, machines int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, _ := newLoadedController(b, machines)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytesPerMachine := float64(after.HeapAlloc-before.HeapAlloc) / float64(machines)
		runtime.KeepAlive(c)
		for b.Loop() {
			newLoadedController(b, machines)
		}
		b.ReportMetric(bytesPerMachine, "held-B/machine")
	})
}
