package statecache_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// partitionScenario is how an evening of the gap goes.
type partitionScenario struct {
	leaseSeconds, cancelSeconds float64       // s
	refusalOffset               time.Duration // where in its reads the refusal meets the controller
	refusalToOutage             time.Duration // from the refusal to the outage
	cutFromPeers                bool          // it is cut from the other controllers, too
	restarts                    bool          // it ends, and is back within a fraction of a second
	othersRecoverFirst          bool          // the outage ends for the others first
	controller                  string
	mutateConfig                func(cfg *config.Config) // a breach
}

// lateTasks is how many tasks of cancelled jobs are on machines when their time is over, or start
// after that. The state service refuses one controller alone; another one confirms
// cancellations; then it is down for all for longer than those may take, while the workers
// report to the one that was refused.
func (g partitionScenario) lateTasks(t *testing.T) (late []string) {
	var mu sync.Mutex
	found := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		late = append(late, fmt.Sprintf(format, args...))
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "a", "n2": "a"}, func(cluster *fake.Cluster) {
			cluster.Cfg.Cluster.Workers.LeaseS, cluster.Cfg.Cluster.Workers.CancelS = g.leaseSeconds, g.cancelSeconds
			cluster.ConnectPeers, cluster.AlterConfig = true, g.mutateConfig
		})
		time.Sleep(3 * time.Second)
		for range 24 {
			cluster.AddMachine("a", false)
			time.Sleep(63 * time.Millisecond) // they do not report all at once
		}
		time.Sleep(8 * time.Second)
		tasks := map[string]int{"wk-1": 40, "wk-2": 12, "wk-3": 40}
		for ref, n := range tasks {
			kind := jobs.Array
			if ref == "wk-2" {
				kind = jobs.Gang
			}
			if r := cluster.Submit("n0", fake.JobSpec(ref, kind, n, 1), time.Hour); r.Code != 201 {
				t.Fatalf("%s: %+v", ref, r)
			}
		}
		time.Sleep(10 * time.Second)
		cluster.Store.DelayReads(g.controller, 2*time.Second) // longer than a client waits: the bound does not rest on that
		time.Sleep(3*time.Second + g.refusalOffset)
		cluster.Store.RefuseNode(g.controller, true)
		if g.cutFromPeers {
			cluster.SetPeerLink(fake.PeerLink{Isolated: g.controller})
		}
		// Counted from when a cancellation is on record, the first moment at which anybody may be
		// told of it: the answer waits for the controller that was refused.
		told := map[string]time.Time{}
		answers := make(chan controller.Response, len(tasks))
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			go func() { answers <- cluster.Cancel("n2", ref) }()
			for !cluster.IsCancelled(ref) {
				time.Sleep(time.Millisecond)
			}
			told[ref] = time.Now()
			time.AfterFunc(config.Seconds(g.cancelSeconds)+time.Millisecond, func() {
				for i := range tasks[ref] {
					if on := cluster.RunningOn(jobs.TaskName(ref, i)); len(on) > 0 {
						found("%s/%d is on %v", ref, i, on)
					}
				}
			})
		}
		cluster.OnTaskStart(func(task, host string, _ time.Time) {
			if ref, _, _ := jobs.ParseTask(task); time.Since(told[ref]).Seconds() > g.cancelSeconds {
				found("%s starts on %s after %v", task, host, time.Since(told[ref]))
			}
		})
		if g.restarts {
			cluster.CrashController(g.controller)
			time.Sleep(300 * time.Millisecond)
			cluster.StartController(g.controller)
		}
		time.Sleep(g.refusalToOutage)
		cluster.Store.SetOutage(true)
		for range tasks {
			if r := <-answers; r.Status != jobs.Cancelled {
				t.Errorf("a cancellation was answered %+v", r)
			}
		}
		time.Sleep(config.Seconds(g.cancelSeconds + 12))
		cluster.Store.RefuseNode(g.controller, g.othersRecoverFirst)
		cluster.Store.SetOutage(false)
		time.Sleep(10 * time.Second)
		cluster.Store.RefuseNode(g.controller, false)
		cluster.Store.DelayReads(g.controller, 0)
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(20 * time.Second)
		for ref := range tasks {
			for _, n := range []string{"n0", "n1", "n2"} {
				if r := cluster.Poll(n, ref); r.Status != jobs.Cancelled {
					found("%s is called %+v by %s", ref, r, n)
				}
			}
		}
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
	return late
}

// partitionScenarios are gaps of many kinds, with times like those of deployments in use.
func partitionScenarios() (all []partitionScenario) {
	for i, times := range [][2]float64{{25, 45}, {35, 60}, {10, 30}} {
		for k, between := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
			for began := range 3 {
				n := 15*i + 3*k + began
				all = append(all, partitionScenario{leaseSeconds: times[0], cancelSeconds: times[1], refusalToOutage: between, refusalOffset: time.Duration(n%30) * 100 * time.Millisecond,
					cutFromPeers: n%2 == 1, restarts: n%5 == 2, othersRecoverFirst: n%3 == 1, controller: []string{"n0", "n0", "n1"}[n%3]})
			}
		}
	}
	return all
}

// Refused alone, then an outage for all: docs/recovery.md, "How long a worker may be kept alive".
func TestCancelledTasksAreGoneInTheGap(t *testing.T) {
	for _, g := range partitionScenarios() {
		for _, x := range g.lateTasks(t) {
			t.Errorf("%+v: %s", g, x)
		}
	}
}

// It is the bound that does it, to the second.
func TestTheGapNeedsItsBound(t *testing.T) {
	found := func(what string, believes func(cfg *config.Config)) {
		for began := range 30 { // all through the time from one read to the next
			g := partitionScenario{leaseSeconds: 25, cancelSeconds: 45, refusalOffset: time.Duration(began) * 100 * time.Millisecond, refusalToOutage: 1500 * time.Millisecond,
				cutFromPeers: true, controller: "n0", mutateConfig: believes}
			if len(g.lateTasks(t)) > 0 {
				return
			}
		}
		t.Errorf("%s: not found", what)
	}
	found("no bound", func(cfg *config.Config) { cfg.Cluster.Workers.CancelS = 1e6 })
	found("too long by a lease", func(cfg *config.Config) { cfg.Cluster.Workers.CancelS += cfg.Cluster.Workers.LeaseS })
	defer statecache.TimestampReadsByResponse()()
	found("knowledge dated by the answer", nil)
}
