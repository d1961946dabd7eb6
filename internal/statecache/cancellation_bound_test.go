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

// partitionScenario: the store refuses one controller alone; another one confirms
// cancellations; then the store is down for all for longer than those may take, while the
// workers send their heartbeats to the controller that was refused.
type partitionScenario struct {
	leaseSeconds, cancelSeconds float64
	refusalOffset               time.Duration // where between its reads the refusal meets the controller
	refusalToOutage             time.Duration
	cutFromPeers                bool // the refused controller is cut from its peers as well
	restarts                    bool // it crashes, and is back within a fraction of a second
	othersRecoverFirst          bool // the outage ends for the others first
	controller                  string
	mutateConfig                func(cfg *config.Config)
}

// partitionRun is one run of a scenario, with what it found.
type partitionRun struct {
	partitionScenario
	t       *testing.T
	cluster *fake.Cluster
	tasks   map[string]int // by job

	mu          sync.Mutex
	cancelledAt map[string]time.Time
	late        []string
}

var controllers = []string{"n0", "n1", "n2"}

// lateTasks runs the scenario and returns the tasks of cancelled jobs that are on machines when
// their time is over, or start after that.
func (s partitionScenario) lateTasks(t *testing.T) []string {
	t.Helper()
	r := &partitionRun{
		partitionScenario: s,
		tasks:             map[string]int{"wk-1": 40, "wk-2": 12, "wk-3": 40},
		cancelledAt:       map[string]time.Time{},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r.t = t
		r.startCluster(ctx)
		r.addMachines()
		r.submitJobs()
		r.refuseController()
		responses := r.cancelJobs()
		r.watchTaskStarts()
		if s.restarts {
			r.cluster.CrashController(s.controller)
			time.Sleep(300 * time.Millisecond)
			r.cluster.StartController(s.controller)
		}
		time.Sleep(s.refusalToOutage)
		r.cluster.Store.SetOutage(true)
		for range r.tasks {
			if response := <-responses; response.Status != jobs.Cancelled {
				t.Errorf("response to a cancellation: %+v", response)
			}
		}
		time.Sleep(config.Seconds(s.cancelSeconds + 12))
		r.recover()
		r.checkStatuses()
		for _, violation := range r.cluster.Violations() {
			t.Error("invariant violated:", violation)
		}
		stop()
		synctest.Wait()
	})
	return r.late
}

func (r *partitionRun) addLate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = append(r.late, fmt.Sprintf(format, args...))
}

func (r *partitionRun) startCluster(ctx context.Context) {
	r.cluster = fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "a", "n2": "a"}, func(cluster *fake.Cluster) {
		workers := &cluster.Cfg.Cluster.Workers
		workers.LeaseSeconds, workers.CancelSeconds = r.leaseSeconds, r.cancelSeconds
		cluster.ConnectPeers, cluster.AlterConfig = true, r.mutateConfig
	})
	time.Sleep(3 * time.Second)
}

func (r *partitionRun) addMachines() {
	for range 24 {
		r.cluster.AddMachine("a", false)
		time.Sleep(63 * time.Millisecond) // their heartbeats are spread
	}
	time.Sleep(8 * time.Second)
}

func (r *partitionRun) submitJobs() {
	for ref, taskCount := range r.tasks {
		kind := jobs.Array
		if ref == "wk-2" {
			kind = jobs.Gang
		}
		if response := r.cluster.Submit("n0", fake.JobSpec(ref, kind, taskCount, 1), time.Hour); response.Code != 201 {
			r.t.Fatalf("%s: %+v", ref, response)
		}
	}
	time.Sleep(10 * time.Second)
}

func (r *partitionRun) refuseController() {
	r.cluster.Store.DelayReads(r.controller, 2*time.Second) // longer than a client waits: the bound does not rest on that
	time.Sleep(3*time.Second + r.refusalOffset)
	r.cluster.Store.RefuseNode(r.controller, true)
	if r.cutFromPeers {
		r.cluster.SetPeerLink(fake.PeerLink{Isolated: r.controller})
	}
}

// cancelJobs cancels all jobs. Their time is counted from when a cancellation is on record, the
// first moment at which a user may get a response: the response waits for the controller that
// was refused.
func (r *partitionRun) cancelJobs() <-chan controller.Response {
	responses := make(chan controller.Response, len(r.tasks))
	for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
		go func() { responses <- r.cluster.Cancel("n2", ref) }()
		for !r.cluster.IsCancelled(ref) {
			time.Sleep(time.Millisecond)
		}
		r.cancelledAt[ref] = time.Now()
		time.AfterFunc(config.Seconds(r.cancelSeconds)+time.Millisecond, func() { r.findRunningTasks(ref) })
	}
	return responses
}

func (r *partitionRun) findRunningTasks(ref string) {
	for i := range r.tasks[ref] {
		if machines := r.cluster.RunningOn(jobs.TaskName(ref, i)); len(machines) > 0 {
			r.addLate("%s/%d is on %v", ref, i, machines)
		}
	}
}

func (r *partitionRun) watchTaskStarts() {
	r.cluster.OnTaskStart(func(task, host string, _ time.Time) {
		if ref, _, _ := jobs.ParseTask(task); time.Since(r.cancelledAt[ref]).Seconds() > r.cancelSeconds {
			r.addLate("%s starts on %s after %v", task, host, time.Since(r.cancelledAt[ref]))
		}
	})
}

// recover ends the outage, for the refused controller last if othersRecoverFirst.
func (r *partitionRun) recover() {
	store := r.cluster.Store
	store.RefuseNode(r.controller, r.othersRecoverFirst)
	store.SetOutage(false)
	time.Sleep(10 * time.Second)
	store.RefuseNode(r.controller, false)
	store.DelayReads(r.controller, 0)
	r.cluster.SetPeerLink(fake.PeerLink{})
	time.Sleep(20 * time.Second)
}

func (r *partitionRun) checkStatuses() {
	for ref := range r.tasks {
		for _, node := range controllers {
			if response := r.cluster.Poll(node, ref); response.Status != jobs.Cancelled {
				r.addLate("%s has the status %+v at %s", ref, response, node)
			}
		}
	}
}

// partitionScenarios are scenarios of many kinds, with times like those of deployments in use.
func partitionScenarios() []partitionScenario {
	var scenarios []partitionScenario
	for i, seconds := range []struct{ lease, cancel float64 }{{25, 45}, {35, 60}, {10, 30}} {
		for k, refusalToOutage := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
			for offset := range 3 {
				n := 15*i + 3*k + offset
				scenarios = append(scenarios, partitionScenario{
					leaseSeconds:       seconds.lease,
					cancelSeconds:      seconds.cancel,
					refusalToOutage:    refusalToOutage,
					refusalOffset:      time.Duration(n%30) * 100 * time.Millisecond,
					cutFromPeers:       n%2 == 1,
					restarts:           n%5 == 2,
					othersRecoverFirst: n%3 == 1,
					controller:         []string{"n0", "n0", "n1"}[n%3],
				})
			}
		}
	}
	return scenarios
}

// One controller is refused, then the store is down for all: docs/recovery.md, "How long a worker
// may be kept alive".
func TestCancelledTasksStopInTimeDuringPartitionAndOutage(t *testing.T) {
	for _, scenario := range partitionScenarios() {
		for _, late := range scenario.lateTasks(t) {
			t.Errorf("%+v: %s", scenario, late)
		}
	}
}

// The bound on renewing leases of workers is necessary, to the second: each mutation is found.
func TestCancellationBoundIsNecessary(t *testing.T) {
	requireLateTasks := func(mutation string, mutateConfig func(cfg *config.Config)) {
		t.Helper()
		for offset := range 30 { // all offsets between one read and the next
			scenario := partitionScenario{
				leaseSeconds:    25,
				cancelSeconds:   45,
				refusalOffset:   time.Duration(offset) * 100 * time.Millisecond,
				refusalToOutage: 1500 * time.Millisecond,
				cutFromPeers:    true,
				controller:      "n0",
				mutateConfig:    mutateConfig,
			}
			if len(scenario.lateTasks(t)) > 0 {
				return
			}
		}
		t.Errorf("%s: not found", mutation)
	}
	requireLateTasks("no bound", func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds = 1e6 })
	requireLateTasks("a lease too long", func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds += cfg.Cluster.Workers.LeaseSeconds })
	defer statecache.TimestampReadsByResponse()()
	requireLateTasks("reads dated by their response", nil)
}
