package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/jobs"
)

// dependentJob returns the spec of an array that depends on other jobs.
func dependentJob(ref string, tasks int, dependsOn ...string) jobs.Spec {
	spec := fake.JobSpec(ref, jobs.Array, tasks, 1)
	spec.DependsOn = dependsOn
	return spec
}

// A chain of 20 jobs, each submitted at the next controller, runs in order in spite of a crash of all
// controllers. The simulated workers check that no task starts before the jobs that it depends on have
// ended.
func TestDependencyChainRunsInOrder(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		deadlineSeconds := 300.0
		writesBefore := cluster.Store.WriteCount()
		for i := range 20 {
			spec := dependentJob(jobRef(i+1), 1+i%6)
			if i > 0 {
				spec.DependsOn = []string{jobRef(i)}
			}
			if i == 19 {
				spec.DeadlineSeconds, spec.Urgency = &deadlineSeconds, "high"
			}
			requireAccepted(t, cluster, controllerName(i), spec, time.Second)
		}
		time.Sleep(12 * time.Second)
		if response := cluster.Poll("n1", "wk-20"); response.Status != jobs.Queued {
			t.Errorf("a poll of the last job was answered %+v", response)
		}
		restartControllers(cluster, 2*time.Second)
		requireDone(t, cluster, "n2", "wk-20", 200*time.Second)
		writes := cluster.Store.WriteCount() - writesBefore
		t.Logf("%d writes for a chain of 20", writes)
		if writes > 20*9 {
			t.Errorf("%d writes for a chain of 20", writes)
		}
	})
}

// A submission that depends on an unknown job or on a service is rejected. A dependency on an accepted job
// is valid, even after a restart of the controllers. During an outage of the store, a submission with an
// unknown dependency is refused as unavailable.
func TestSubmissionsWithInvalidDependenciesAreRejected(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 2)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 1, 1), time.Second)
		requireDone(t, cluster, "n0", "wk-1", 20*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Service, 1, 1), 0)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-3", jobs.Array, 3, 1), 100*time.Second)
		for _, c := range []struct {
			code   int
			status jobs.Status
			spec   jobs.Spec
		}{
			{http.StatusUnprocessableEntity, "", dependentJob("wk-10", 1, "wk-99")},
			{http.StatusUnprocessableEntity, "", dependentJob("wk-11", 1, "wk-3", "wk-2")},
			{http.StatusCreated, jobs.Queued, dependentJob("wk-12", 1, "wk-1")},
			{http.StatusCreated, jobs.Queued, dependentJob("wk-13", 1, "wk-1", "wk-3")},
			{http.StatusOK, jobs.Queued, dependentJob("wk-13", 1, "wk-99")}, // a repeated submission of a known job, whatever its dependencies
		} {
			if response := cluster.Submit("n1", c.spec, time.Second); response.Code != c.code || response.Status != c.status {
				t.Errorf("%s, which depends on %v, was answered %+v", c.spec.Ref, c.spec.DependsOn, response)
			}
		}
		// A restarted controller does not have the final state of wk-1 in its cache and reads it from the
		// store.
		restartControllers(cluster, time.Second)
		requireDone(t, cluster, "n0", "wk-12", 30*time.Second)
		cluster.Store.SetOutage(true)
		if response := cluster.Submit("n2", dependentJob("wk-14", 1, "wk-98"), time.Second); response.Code != http.StatusServiceUnavailable && response.Code != 0 {
			t.Errorf("a submission during an outage of the store was answered %+v", response)
		}
		cluster.Store.SetOutage(false)
	})
}

// A job that is blocked by its dependencies uses none of the team's quota, and runs like any other job
// once it is unblocked.
func TestBlockedJobUsesNoQuota(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		blockedJob := quotaJob("wk-2", jobs.Gang, 4)
		blockedJob.DependsOn = []string{"wk-1"}
		requireAccepted(t, cluster, "n0", quotaJob("wk-1", jobs.Gang, 2), 40*time.Second)
		requireAccepted(t, cluster, "n0", blockedJob, 5*time.Second)
		requireAccepted(t, cluster, "n1", quotaJob("wk-3", jobs.Gang, 2), 5*time.Second)
		requireDone(t, cluster, "n0", "wk-3", 30*time.Second)
		if response := cluster.Poll("n1", "wk-2"); response.Status != jobs.Queued {
			t.Errorf("a poll of the blocked job was answered %+v", response)
		}
		requireDone(t, cluster, "n1", "wk-2", 90*time.Second)
	})
}

// Cancelling a job cancels all its direct and indirect dependents, including those that are submitted
// later. Every controller reports them as cancelled at once and permanently. The cancellation of a job
// that is done has no effect on its dependents.
func TestCancellationPropagatesToDependents(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 2)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 30*time.Second)
		for i := 2; i <= 9; i++ {
			requireAccepted(t, cluster, controllerName(i), dependentJob(jobRef(i), 2, jobRef(i-1)), 5*time.Second)
		}
		time.Sleep(8 * time.Second)
		requireCancelled(t, cluster, "n1", "wk-4")
		// The crash and the outage of the store come before the dependents' final states are stored.
		cluster.CrashController("n1")
		cluster.Store.SetOutage(true)
		time.Sleep(10 * time.Second)
		cluster.Store.SetOutage(false)
		cluster.CrashController("n0")
		cluster.StartController("n0")
		time.Sleep(3 * time.Second)
		for i := 4; i <= 9; i++ {
			checkCancelled(t, cluster, "n0", jobRef(i))
			checkCancelled(t, cluster, "n2", jobRef(i))
		}
		if response := cluster.Submit("n2", dependentJob("wk-10", 1, "wk-9"), time.Second); response.Code != http.StatusCreated {
			t.Errorf("a submission that depends on a cancelled job was answered %+v", response)
		}
		checkCancelled(t, cluster, "n0", "wk-10")
		if response := cluster.Submit("n0", dependentJob("wk-10", 1, "wk-9"), time.Second); response.Code != http.StatusOK || response.Status != jobs.Cancelled {
			t.Errorf("a repeated submission that depends on a cancelled job was answered %+v", response)
		}
		requireDone(t, cluster, "n0", "wk-3", 120*time.Second)
		if response := cluster.Cancel("n2", "wk-3"); response.Status != jobs.Done {
			t.Errorf("the cancellation of a done job was answered %+v", response)
		}
		requireAccepted(t, cluster, "n0", dependentJob("wk-11", 1, "wk-3"), time.Second)
		requireDone(t, cluster, "n2", "wk-11", 30*time.Second)
		checkNoRecords(t, cluster, jobs.JobPrefix+"wk-5")
	})
}

// checkCancelled checks that a controller answers that a job is cancelled.
func checkCancelled(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	if response := cluster.Poll(node, ref); response.Status != jobs.Cancelled {
		t.Errorf("a poll of the cancelled job %s at %s was answered %+v", ref, node, response)
	}
}

// Hundreds of jobs depend on one job, and another job depends on all of these hundreds, so that its record
// is stored in chunks. All jobs complete.
func TestJobsWithHundredsOfDependenciesComplete(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 8)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 1, 1), 90*time.Second)
		var refs []string
		for i := range 300 {
			spec := dependentJob(jobRef(100000+i), 1, "wk-1")
			spec.CPU, spec.MemGB = 0.05, 0.05
			requireAccepted(t, cluster, controllerName(i), spec, time.Second)
			refs = append(refs, spec.Ref)
		}
		requireAccepted(t, cluster, "n1", dependentJob("wk-2", 1, refs...), time.Second)
		restartControllers(cluster, time.Second)
		time.Sleep(20 * time.Second)
		if response := cluster.Poll("n2", "wk-2"); response.Status != jobs.Queued {
			t.Errorf("a poll of the job with 300 dependencies was answered %+v", response)
		}
		requireDone(t, cluster, "n2", "wk-2", 400*time.Second)
	})
}

// runDependencyGraphs runs jobs with random dependencies under random faults: crashes, partitions, lost and
// late transactions, refusals, outages and failovers. It returns the violations that the invariant checker
// found and the number of jobs that ended.
func runDependencyGraphs(t *testing.T, seed uint64, configure func(run *faultinjection.FaultRun)) (violations []string, endedJobCount int) {
	t.Helper()
	violations = faultinjection.Run(t, 12, seed%2 == 1, func(run *faultinjection.FaultRun) {
		run.WithDependencies = true
		if configure != nil {
			configure(run)
		}
		run.InjectFaults(rand.New(rand.NewPCG(seed, 29)), 200)
		endedJobCount = run.Finish()
	})
	return violations, endedJobCount
}

func TestDependencyGraphsKeepInvariantsUnderRandomFaults(t *testing.T) {
	totalEndedJobCount := 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			violations, endedJobCount := runDependencyGraphs(t, seed, nil)
			for _, violation := range violations {
				t.Error(violation)
			}
			totalEndedJobCount += endedJobCount
		})
	}
	if totalEndedJobCount < 200 {
		t.Errorf("the runs cover too little: only %d jobs ended", totalEndedJobCount)
	}
}
