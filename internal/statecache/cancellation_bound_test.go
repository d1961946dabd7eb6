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

// partitionScenario describes a sequence of faults: the store refuses the requests of one
// controller while another controller confirms cancellations. Then the store is down for all
// controllers for longer than a cancellation may take, while the workers send their heartbeats to the
// refused controller.
type partitionScenario struct {
	leaseSeconds, cancelSeconds float64
	refusalOffset               time.Duration // added to the start of the refusal, to vary its position between two successive reads of the controller
	cancellationToOutage        time.Duration // time from the cancellations to the outage
	cutsPeerLinks               bool          // the refused controller is cut from its peers as well
	restartsRefusedController   bool          // the refused controller crashes and restarts within a fraction of a second
	othersRecoverFirst          bool          // the outage ends for the other controllers first
	refusedController           string
	mutateConfig                func(cfg *config.Config)
}

// partitionRun is one run of a scenario, with the violations found.
type partitionRun struct {
	partitionScenario
	t          *testing.T
	cluster    *fake.Cluster
	taskCounts map[string]int // number of tasks, by job

	mu          sync.Mutex
	cancelledAt map[string]time.Time
	violations  []string
}

var controllers = []string{"n0", "n1", "n2"}

// findViolations runs the scenario. It returns descriptions of the tasks of cancelled jobs that run or
// start later than cancelSeconds after the cancellation, and of the jobs with a wrong status.
func (s partitionScenario) findViolations(t *testing.T) []string {
	t.Helper()
	r := &partitionRun{
		partitionScenario: s,
		taskCounts:        map[string]int{"wk-1": 40, "wk-2": 12, "wk-3": 40},
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
		r.checkTaskStarts()
		if s.restartsRefusedController {
			r.cluster.CrashController(s.refusedController)
			time.Sleep(300 * time.Millisecond)
			r.cluster.StartController(s.refusedController)
		}
		time.Sleep(s.cancellationToOutage)
		r.cluster.Store.SetOutage(true)
		for range r.taskCounts {
			if response := <-responses; response.Status != jobs.Cancelled {
				t.Errorf("response to a cancellation: %+v", response)
			}
		}
		time.Sleep(config.Seconds(s.cancelSeconds + 12))
		r.endFaults()
		r.checkStatuses()
		for _, violation := range r.cluster.Violations() {
			t.Error("invariant violated:", violation)
		}
		stop()
		synctest.Wait()
	})
	return r.violations
}

func (r *partitionRun) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
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
		time.Sleep(63 * time.Millisecond) // spreads the machines' heartbeats over time
	}
	time.Sleep(8 * time.Second)
}

func (r *partitionRun) submitJobs() {
	for ref, taskCount := range r.taskCounts {
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
	r.cluster.Store.DelayReads(r.refusedController, 2*time.Second) // longer than a client's timeout, because the bound on renewing worker leases must not depend on that timeout
	time.Sleep(3*time.Second + r.refusalOffset)
	r.cluster.Store.RefuseNode(r.refusedController, true)
	if r.cutsPeerLinks {
		r.cluster.SetPeerLink(fake.PeerLink{IsolatedNode: r.refusedController})
	}
}

// cancelJobs cancels all jobs and returns the channel of the responses. The time that a cancellation
// may take begins when the cancellation is recorded, because a user may get a response from then on.
// cancelJobs does not wait for the responses, which are delayed by the refused controller.
func (r *partitionRun) cancelJobs() <-chan controller.Response {
	responses := make(chan controller.Response, len(r.taskCounts))
	for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
		go func() { responses <- r.cluster.Cancel("n2", ref) }()
		for !r.cluster.IsCancelled(ref) {
			time.Sleep(time.Millisecond)
		}
		r.cancelledAt[ref] = time.Now()
		time.AfterFunc(config.Seconds(r.cancelSeconds)+time.Millisecond, func() { r.checkNoTaskRuns(ref) })
	}
	return responses
}

func (r *partitionRun) checkNoTaskRuns(ref string) {
	for i := range r.taskCounts[ref] {
		if machines := r.cluster.RunningOn(jobs.TaskName(ref, i)); len(machines) > 0 {
			r.addViolation("%s/%d is on %v", ref, i, machines)
		}
	}
}

func (r *partitionRun) checkTaskStarts() {
	r.cluster.OnTaskStart(func(task, host string, _ time.Time) {
		if ref, _, _ := jobs.ParseTaskName(task); time.Since(r.cancelledAt[ref]).Seconds() > r.cancelSeconds {
			r.addViolation("%s starts on %s after %v", task, host, time.Since(r.cancelledAt[ref]))
		}
	})
}

// endFaults ends the refusal and the outage. If othersRecoverFirst is set, the refusal ends 10 s after
// the outage.
func (r *partitionRun) endFaults() {
	store := r.cluster.Store
	store.RefuseNode(r.refusedController, r.othersRecoverFirst)
	store.SetOutage(false)
	time.Sleep(10 * time.Second)
	store.RefuseNode(r.refusedController, false)
	store.DelayReads(r.refusedController, 0)
	r.cluster.SetPeerLink(fake.PeerLink{})
	time.Sleep(20 * time.Second)
}

func (r *partitionRun) checkStatuses() {
	for ref := range r.taskCounts {
		for _, node := range controllers {
			if response := r.cluster.Poll(node, ref); response.Status != jobs.Cancelled {
				r.addViolation("%s has the status %+v at %s", ref, response, node)
			}
		}
	}
}

// partitionScenarios returns many combinations of faults, with lease and cancellation times like
// those of real deployments.
func partitionScenarios() []partitionScenario {
	var scenarios []partitionScenario
	for i, seconds := range []struct{ lease, cancel float64 }{{25, 45}, {35, 60}, {10, 30}} {
		for k, cancellationToOutage := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
			for offset := range 3 {
				n := 15*i + 3*k + offset
				scenarios = append(scenarios, partitionScenario{
					leaseSeconds:              seconds.lease,
					cancelSeconds:             seconds.cancel,
					cancellationToOutage:      cancellationToOutage,
					refusalOffset:             time.Duration(n%30) * 100 * time.Millisecond,
					cutsPeerLinks:             n%2 == 1,
					restartsRefusedController: n%5 == 2,
					othersRecoverFirst:        n%3 == 1,
					refusedController:         []string{"n0", "n0", "n1"}[n%3],
				})
			}
		}
	}
	return scenarios
}

// Cancelled tasks must stop in time even if the store first refuses one controller and then is down for
// all of them. docs/recovery.md, "How long a worker may be kept alive", explains the bound that ensures
// it.
func TestCancelledTasksStopInTimeDuringPartitionAndOutage(t *testing.T) {
	for _, scenario := range partitionScenarios() {
		for _, violation := range scenario.findViolations(t) {
			t.Errorf("%+v: %s", scenario, violation)
		}
	}
}

// The bound on renewing worker leases is necessary, and is exact to the second: each of the mutations
// below relaxes the bound, the last one only by the 2 s for which reads are delayed, and under each
// mutation some scenario has a violation.
func TestCancellationBoundIsNecessary(t *testing.T) {
	requireViolation := func(mutation string, mutateConfig func(cfg *config.Config)) {
		t.Helper()
		for offset := range 30 { // all offsets between two successive reads
			scenario := partitionScenario{
				leaseSeconds:         25,
				cancelSeconds:        45,
				refusalOffset:        time.Duration(offset) * 100 * time.Millisecond,
				cancellationToOutage: 1500 * time.Millisecond,
				cutsPeerLinks:        true,
				refusedController:    "n0",
				mutateConfig:         mutateConfig,
			}
			if len(scenario.findViolations(t)) > 0 {
				return
			}
		}
		t.Errorf("%s: no scenario has a violation", mutation)
	}
	requireViolation("no bound", func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds = 1e6 })
	requireViolation("bound longer by one lease", func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds += cfg.Cluster.Workers.LeaseSeconds })
	defer statecache.TimestampReadsByResponse()()
	requireViolation("reads timestamped by their response", nil)
}
