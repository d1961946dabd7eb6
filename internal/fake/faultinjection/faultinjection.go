// Package faultinjection runs a cluster with random faults of controllers, machines, links and the
// key-value store, and checks the invariants that workers and users can observe.
package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

var (
	controllerNames = []string{"n0", "n1", "n2"}
	zones           = []string{"a", "b"}
)

const (
	controllerStartTime = 3 * time.Second // time from the start of the controllers until machines are added
	machineStartTime    = 8 * time.Second // time from the addition of the machines until the scenario begins
	addedMachineCount   = 12              // machines that each call of addMachines adds, once the faults are over
)

// Run runs a scenario with three controllers and the given number of machines in simulated time, and returns
// the violations of invariants that the workers and the users observed. With connectPeers the controllers
// exchange peer messages.
func Run(t *testing.T, machines int, connectPeers bool, scenario func(r *FaultRun)) (violations []string) {
	t.Helper()
	return RunWith(t, machines, func(cluster *fake.Cluster) { cluster.ConnectPeers = connectPeers }, scenario)
}

// RunWith is like Run, but calls configure to change the cluster's settings before the controllers start.
func RunWith(t *testing.T, machines int, configure func(cluster *fake.Cluster), scenario func(r *FaultRun)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
			configure(cluster)
		})
		time.Sleep(controllerStartTime)
		for i := range machines {
			cluster.AddMachine(zones[i%len(zones)], i%3 == 0)
		}
		time.Sleep(machineStartTime)
		r := newFaultRun(cluster)
		cluster.OnTaskStart(r.checkTaskStart)
		scenario(r)
		violations = slices.Concat(r.reportedViolations(), cluster.Violations())
		stop()
		synctest.Wait()
	})
	return violations
}

// FaultRun is a cluster and its users. The responses that the users get are checked against each other. Only
// the scenario's goroutine may use a FaultRun; other goroutines may use only the fields that mu protects.
type FaultRun struct {
	*fake.Cluster
	CombineFaults    bool // InjectFaults also injects the faults of FaultKind
	WithDependencies bool // about half of the jobs depend on up to three others

	rnd    *rand.Rand
	faults singleFaults

	onlyKind        *FaultKind            // nil: all kinds
	minMachines     int                   // number of machines below which one is added while faults are combined
	alterSpec       func(spec *jobs.Spec) // changes the jobs that are submitted; nil: none is changed
	jobRefs         []string              // ids of all submitted jobs
	maxDependencies int                   // number of dependencies that submit draws at random for the next job, some of which it may discard
	longestRunTime  time.Duration
	taskCounts      map[string]int  // by job
	isGang          map[string]bool // by job
	// lastStatus has, by job, the last final status that a user got in a response, or statusAccepted if
	// there was none. It has no entry for a job that may not have been accepted.
	lastStatus        map[string]jobs.Status
	dependents        map[string][]string // by job: the jobs that depend on it
	isCancelRequested map[string]bool     // by job: whether a user asked to cancel it
	pendingCancels    sync.WaitGroup      // cancellation requests of cancelAsync that have no response yet
	// mustBeCancelledBy has the deadlines, by job, after which cancelled jobs and the jobs that depend on them
	// must be reported as cancelled.
	mustBeCancelledBy map[string]time.Time

	mu            sync.Mutex
	cancellations map[string]cancellation // by job; recordConfirmedCancellation adds them
	violations    []string
	pendingChecks []func() // checks of the responses to cancelAsync, run by awaitCancelResponses
}

// cancellation is the cancellation of a job that a controller confirmed to a user.
type cancellation struct {
	confirmedAt time.Time
	deadline    time.Time // by when the job's tasks must have stopped
	taskCount   int
}

func newFaultRun(cluster *fake.Cluster) *FaultRun {
	return &FaultRun{
		Cluster:           cluster,
		minMachines:       minMachines,
		rnd:               rand.New(rand.NewPCG(1, 1)),
		taskCounts:        map[string]int{},
		isGang:            map[string]bool{},
		lastStatus:        map[string]jobs.Status{},
		dependents:        map[string][]string{},
		isCancelRequested: map[string]bool{},
		mustBeCancelledBy: map[string]time.Time{},
		cancellations:     map[string]cancellation{},
	}
}

func (r *FaultRun) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *FaultRun) reportedViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// leaseDuration returns the duration of a worker's lease.
func (r *FaultRun) leaseDuration() time.Duration {
	return config.Seconds(r.Cfg.Cluster.Workers.LeaseSeconds)
}

// cancelTimeout returns how long a cancellation may take.
func (r *FaultRun) cancelTimeout() time.Duration {
	return config.Seconds(r.Cfg.Cluster.Workers.CancelSeconds)
}

// runningControllers lists the controllers that run.
func (r *FaultRun) runningControllers() []string {
	return slices.DeleteFunc(slices.Clone(controllerNames), func(name string) bool { return r.Nodes[name] == nil })
}

// randomElement returns a random one of several values. It draws one random number.
func randomElement[T any](rnd *rand.Rand, values []T) T { return values[rnd.IntN(len(values))] }

// randomMilliseconds returns a random duration below limit milliseconds. It draws one random number.
func randomMilliseconds(rnd *rand.Rand, limit int) time.Duration {
	return time.Duration(rnd.IntN(limit)) * time.Millisecond
}
