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
	controllerStartTime = 3 * time.Second // until machines are added
	machineStartTime    = 8 * time.Second // until the scenario begins
	addedMachines       = 12              // once the faults are over, see Finish
)

// Run runs a scenario with three controllers and some machines in simulated time, and returns the
// violations of invariants that the workers and the users observed. connectPeers has the controllers
// exchange peer messages.
func Run(t *testing.T, machines int, connectPeers bool, scenario func(r *FaultRun)) (violations []string) {
	t.Helper()
	return RunWith(t, machines, func(cluster *fake.Cluster) { cluster.ConnectPeers = connectPeers }, scenario)
}

// RunWith is Run with a function that changes the cluster's settings before the controllers start.
func RunWith(t *testing.T, machines int, set func(cluster *fake.Cluster), scenario func(r *FaultRun)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
			set(cluster)
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

// FaultRun is a cluster and its users, whose answers are checked against each other. Except for the
// fields that mu protects, it is used by the scenario's goroutine alone.
type FaultRun struct {
	*fake.Cluster
	CombineFaults    bool // InjectFaults injects the faults of FaultKind, too
	WithDependencies bool // about half of the jobs depend on up to three others

	rnd    *rand.Rand
	faults singleFaults

	onlyKind        *FaultKind // nil: all kinds
	refs            []string   // of all submitted jobs
	maxDependencies int        // how many dependencies are drawn for the next job
	longestRunTime  time.Duration
	taskCounts      map[string]int
	isGang          map[string]bool
	// lastStatus has the last final status that a user was answered, else statusAccepted, by job. It
	// has no entry for a job that may not have been accepted.
	lastStatus        map[string]jobs.Status
	dependents        map[string][]string // jobs by a job that they depend on
	cancelRequested   map[string]bool
	cancelRequests    sync.WaitGroup       // that are not answered
	mustBeCancelledBy map[string]time.Time // of jobs that depend on a cancelled one

	mu            sync.Mutex
	cancellations map[string]cancellation // that were confirmed to a user
	violations    []string
	pendingChecks []func() // of the answers to cancelAsync, run by awaitCancelAnswers
}

// cancellation is a confirmed cancellation of a job.
type cancellation struct {
	confirmedAt time.Time
	deadline    time.Time // by when its tasks must have stopped
	taskCount   int
}

func newFaultRun(cluster *fake.Cluster) *FaultRun {
	return &FaultRun{
		Cluster:           cluster,
		rnd:               rand.New(rand.NewPCG(1, 1)),
		taskCounts:        map[string]int{},
		isGang:            map[string]bool{},
		lastStatus:        map[string]jobs.Status{},
		dependents:        map[string][]string{},
		cancelRequested:   map[string]bool{},
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

// leaseDuration is how long a worker's lease lasts.
func (r *FaultRun) leaseDuration() time.Duration {
	return config.Seconds(r.Cfg.Cluster.Workers.LeaseSeconds)
}

// cancelTimeout is how long a cancellation may take.
func (r *FaultRun) cancelTimeout() time.Duration {
	return config.Seconds(r.Cfg.Cluster.Workers.CancelSeconds)
}

// runningControllers lists the controllers that run.
func (r *FaultRun) runningControllers() []string {
	return slices.DeleteFunc(slices.Clone(controllerNames), func(name string) bool { return r.Nodes[name] == nil })
}

// anyOf returns one of several values at random, with one random number.
func anyOf[T any](rnd *rand.Rand, values []T) T { return values[rnd.IntN(len(values))] }

// randomMilliseconds returns a random duration below a number of milliseconds, with one random number.
func randomMilliseconds(rnd *rand.Rand, limit int) time.Duration {
	return time.Duration(rnd.IntN(limit)) * time.Millisecond
}
