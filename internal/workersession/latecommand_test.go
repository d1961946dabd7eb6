package workersession_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// lateCommandRun draws jobs, cancellations, short failures of controllers and machines, and preemptions,
// while a copy of each answered request to a worker arrives there again up to 20 s later.
type lateCommandRun struct {
	cluster *fake.Cluster
	rnd     *rand.Rand
	starts  *lateStarts
	// openRefs are the jobs that are not cancelled.
	openRefs []string
	// requests is the number of copies that arrived, the others are the numbers of commands in them.
	requests, copiedStarts, copiedStops int
	// copiesResponses is the mutation: responses to heartbeats are copied as if they were requests.
	copiesResponses bool
	// restartsMachines tells whether machines are replaced by new ones of the same name.
	restartsMachines bool
}

// maxCommandCopyJitter is the longest time by which a copy is late, apart from the shortest one.
const maxCommandCopyJitter = 20 * time.Second

// violationsOfLateCommands plays a lateCommandRun. It returns the violated rules and the tasks that were started by
// a command after the cancellation of their job was confirmed.
func violationsOfLateCommands(t *testing.T, seed uint64, configure func(run *lateCommandRun)) (run *lateCommandRun, violations []string) {
	t.Helper()
	run = &lateCommandRun{rnd: rand.New(rand.NewPCG(seed, 59))}
	violations = clusterViolations(t, 8, func(cluster *fake.Cluster) {
		run.cluster, run.starts = cluster, recordLateStarts(cluster)
		configure(run)
		cluster.SetImageFetchTime(1500 * time.Millisecond)
		cluster.CopyCommands(rand.New(rand.NewPCG(seed, 61)), maxCommandCopyJitter, run.copiesResponses)
		for i := range 24 {
			run.step(t, i)
			time.Sleep(randomDuration(run.rnd, 300, 1500))
		}
		time.Sleep(2 * maxCommandCopyJitter)
		run.requests, run.copiedStarts, run.copiedStops = cluster.CommandCopyCounts()
	})
	for _, task := range run.starts.tasksWithLateCommand {
		violations = append(violations, "started after the cancellation: "+task)
	}
	return run, violations
}

// step submits a job, and draws a cancellation or a failure.
func (r *lateCommandRun) step(t *testing.T, i int) {
	t.Helper()
	spec := fake.JobSpec(fmt.Sprintf("wk-%d", i+1), []jobs.Kind{jobs.Array, jobs.Gang}[i%2], 2+r.rnd.IntN(5), 1)
	spec.Urgency = []string{"idle", "normal", "prod"}[r.rnd.IntN(3)] // urgent work moves other tasks
	if response := r.cluster.Submit(fmt.Sprintf("n%d", i%3), spec, randomDuration(r.rnd, 2000, 15000)); response.Code == 201 {
		r.openRefs = append(r.openRefs, spec.Ref)
	}
	hosts := r.cluster.Hosts()
	host := hosts[r.rnd.IntN(len(hosts))]
	outage := randomDuration(r.rnd, 200, 900)
	switch r.rnd.IntN(7) {
	case 0, 1:
		r.cancelSome(t)
	case 2:
		node := fmt.Sprintf("n%d", r.rnd.IntN(3))
		r.cluster.CrashController(node)
		time.Sleep(outage)
		r.cluster.StartController(node)
	case 3:
		r.cluster.FreezeMachine(host, true)
		time.AfterFunc(outage, func() { r.cluster.FreezeMachine(host, false) })
	case 4: // the worker is asked at its own address
		r.cluster.BlockOutbound(host, true)
		time.AfterFunc(10*outage, func() { r.cluster.BlockOutbound(host, false) })
	case 5: // tasks move when the lease of the worker ends
		r.cluster.IsolateWorker(host, true)
		time.AfterFunc(20*outage, func() { r.cluster.IsolateWorker(host, false) })
	case 6:
		if r.restartsMachines {
			r.cluster.RestartMachine(host)
		}
	}
}

// cancelSome cancels up to three jobs.
func (r *lateCommandRun) cancelSome(t *testing.T) {
	t.Helper()
	var refs []string
	for range min(3, len(r.openRefs)) {
		i := r.rnd.IntN(len(r.openRefs))
		if r.cluster.Poll("n0", r.openRefs[i]).Status != jobs.Done {
			refs = append(refs, r.openRefs[i])
		}
		r.openRefs = append(r.openRefs[:i:i], r.openRefs[i+1:]...)
	}
	for _, ref := range refs {
		if r.cluster.Cancel("n1", ref).Status == jobs.Cancelled {
			r.starts.recordConfirmation(ref)
		}
	}
}

// violationsOfMove moves a task from one machine to another while copies of answered requests arrive. It returns
// the violated rules.
func violationsOfMove(t *testing.T, seed uint64, copiesResponses bool) (violations []string) {
	t.Helper()
	return clusterViolations(t, 1, func(cluster *fake.Cluster) {
		cluster.CopyCommands(rand.New(rand.NewPCG(seed, 60)), maxCommandCopyJitter, copiesResponses)
		movedSpec, urgentSpec := fake.JobSpec("wk-1", jobs.Array, 1, 4), fake.JobSpec("wk-2", jobs.Array, 1, 4)
		zone := "a"
		movedSpec.Urgency, urgentSpec.Urgency, urgentSpec.Zone = "normal", "high", &zone
		submit(t, cluster, "n0", movedSpec, time.Minute)
		time.Sleep(3 * time.Second)
		cluster.AddMachine("b", false)
		submit(t, cluster, "n0", urgentSpec, 8*time.Second)
		time.Sleep(2 * maxCommandCopyJitter)
		if hosts := cluster.CommandedHosts("wk-1/0"); !slices.Contains(hosts, cluster.HostsInZone("b")[0]) {
			t.Errorf("seed %d: the task was not moved, it was started on %v", seed, hosts)
		}
	})
}

// Starts are sent only in responses to heartbeats, which no network delivers again. So a late copy of a request
// to a worker, which was carried out and answered before, starts nothing: not after the task was moved or cancelled,
// and not after a controller or the machine has been away for less than a second.
func TestLateCopiesOfRequestsStartNothing(t *testing.T) {
	requests, stops := 0, 0
	for seed := range uint64(12) {
		run, violations := violationsOfLateCommands(t, seed, func(run *lateCommandRun) { run.restartsMachines = seed%2 == 1 })
		violations = append(violations, violationsOfMove(t, seed, false)...)
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if run.copiedStarts > 0 {
			t.Errorf("seed %d: %d starts were sent in requests", seed, run.copiedStarts)
		}
		requests += run.requests
		stops += run.copiedStops
	}
	if requests < 200 || stops < 20 {
		t.Errorf("only %d copies of requests with %d stops arrived", requests, stops)
	}
}

// If starts were sent in requests, late copies of these would run moved tasks twice and start cancelled ones.
func TestMutationSendingStartsInRequestsIsDetected(t *testing.T) {
	ranTwice, startedLate := false, false
	for seed := uint64(0); seed < 30 && (!ranTwice || !startedLate); seed++ {
		violations := violationsOfMove(t, seed, true)
		_, lateViolations := violationsOfLateCommands(t, seed, func(run *lateCommandRun) { run.copiesResponses = true })
		for _, violation := range append(violations, lateViolations...) {
			ranTwice = ranTwice || strings.HasPrefix(violation, "ran_twice")
			startedLate = startedLate || strings.HasPrefix(violation, "started after")
		}
	}
	if !ranTwice || !startedLate {
		t.Errorf("30 scenarios of the mutation: a task ran twice %v, a cancelled one was started %v", ranTwice, startedLate)
	}
}
