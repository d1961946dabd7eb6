package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/jobs"
)

// dependentJob is a job that waits for others.
func dependentJob(ref string, tasks int, awaits ...string) jobs.Spec {
	s := fake.JobSpec(ref, jobs.Array, tasks, 1)
	s.DependsOn = awaits
	return s
}

// A chain of 20, submitted one after another at all controllers, runs in its order, through
// a crash of all in the middle. The stand-in's workers judge too_early.
func TestDependencyChainRunsInOrder(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		due := 300.0
		before := cluster.Store.WriteCount()
		for i := range 20 {
			s := dependentJob(fmt.Sprintf("wk-%d", i+1), 1+i%6)
			if i > 0 {
				s.DependsOn = []string{fmt.Sprintf("wk-%d", i)}
			}
			if i == 19 {
				s.DeadlineSeconds, s.Urgency = &due, "high"
			}
			requireAccepted(t, cluster, fmt.Sprintf("n%d", i%3), s, time.Second)
		}
		time.Sleep(12 * time.Second)
		if response := cluster.Poll("n1", "wk-20"); response.Status != jobs.Queued {
			t.Errorf("the last: %+v", response)
		}
		restartControllers(cluster, 2*time.Second)
		requireDone(t, cluster, "n2", "wk-20", 200*time.Second)
		n := cluster.Store.WriteCount() - before
		t.Logf("%d changes for a chain of 20", n)
		if n > 20*9 {
			t.Errorf("%d changes for a chain of 20", n)
		}
	})
}

func TestSubmissionDependencyValidation(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 2)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 1, 1), time.Second)
		requireDone(t, cluster, "n0", "wk-1", 20*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Service, 1, 1), 0)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-3", jobs.Array, 3, 1), 100*time.Second)
		for _, c := range []struct {
			code   int
			status string
			spec   jobs.Spec
		}{
			{422, "", dependentJob("wk-10", 1, "wk-99")},
			{422, "", dependentJob("wk-11", 1, "wk-3", "wk-2")},
			{201, jobs.Queued, dependentJob("wk-12", 1, "wk-1")},
			{201, jobs.Queued, dependentJob("wk-13", 1, "wk-1", "wk-3")},
			{200, jobs.Queued, dependentJob("wk-13", 1, "wk-99")}, // a retry, whatever it names now
		} {
			if response := cluster.Submit("n1", c.spec, time.Second); response.Code != c.code || response.Status != c.status {
				t.Errorf("%s after %v: %+v", c.spec.Ref, c.spec.DependsOn, response)
			}
		}
		// A controller that begins does not know wk-1 any more: it asks.
		restartControllers(cluster, time.Second)
		requireDone(t, cluster, "n0", "wk-12", 30*time.Second)
		cluster.Store.SetOutage(true)
		if response := cluster.Submit("n2", dependentJob("wk-14", 1, "wk-98"), time.Second); response.Code != 503 && response.Code != 0 {
			t.Errorf("with the state service away: %+v", response)
		}
		cluster.Store.SetOutage(false)
	})
}

// What waits takes no part of the team's limit, and is ordinary when it is free.
func TestBlockedJobUsesNoQuota(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		first, waits, other := fake.JobSpec("wk-1", jobs.Gang, 2, 1), fake.JobSpec("wk-2", jobs.Gang, 4, 1), fake.JobSpec("wk-3", jobs.Gang, 2, 1)
		for _, s := range []*jobs.Spec{&first, &waits, &other} {
			s.Team = "capped" // 4 CPUs
		}
		waits.DependsOn = []string{"wk-1"}
		requireAccepted(t, cluster, "n0", first, 40*time.Second)
		requireAccepted(t, cluster, "n0", waits, 5*time.Second)
		requireAccepted(t, cluster, "n1", other, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-3", 30*time.Second)
		if response := cluster.Poll("n1", "wk-2"); response.Status != jobs.Queued {
			t.Errorf("%+v", response)
		}
		requireDone(t, cluster, "n1", "wk-2", 90*time.Second)
	})
}

// Cancelling one cancels all behind it, at once at every controller and for ever, also those
// submitted later; if it is done by then, they go on.
func TestCancellationPropagatesToDependents(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 2)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 30*time.Second)
		for i := 2; i <= 9; i++ {
			requireAccepted(t, cluster, fmt.Sprintf("n%d", i%3), dependentJob(fmt.Sprintf("wk-%d", i), 2, fmt.Sprintf("wk-%d", i-1)), 5*time.Second)
		}
		time.Sleep(8 * time.Second)
		gone := func(node, ref string) {
			t.Helper()
			if response := cluster.Poll(node, ref); response.Status != jobs.Cancelled {
				t.Errorf("%s at %s: %+v", ref, node, response)
			}
		}
		if response := cluster.Cancel("n1", "wk-4"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		cluster.CrashController("n1") // with the state service away, and nothing written of those behind
		cluster.Store.SetOutage(true)
		time.Sleep(10 * time.Second)
		cluster.Store.SetOutage(false)
		cluster.CrashController("n0")
		cluster.StartController("n0")
		time.Sleep(3 * time.Second)
		for _, n := range []string{"n0", "n2"} {
			for i := 4; i <= 9; i++ {
				gone(n, fmt.Sprintf("wk-%d", i))
			}
		}
		if response := cluster.Submit("n2", dependentJob("wk-10", 1, "wk-9"), time.Second); response.Code != 201 {
			t.Errorf("%+v", response)
		}
		gone("n0", "wk-10")
		if response := cluster.Submit("n0", dependentJob("wk-10", 1, "wk-9"), time.Second); response.Code != 200 || response.Status != jobs.Cancelled {
			t.Errorf("a retry: %+v", response)
		}
		requireDone(t, cluster, "n0", "wk-3", 120*time.Second)
		if response := cluster.Cancel("n2", "wk-3"); response.Status != jobs.Done {
			t.Errorf("%+v", response)
		}
		requireAccepted(t, cluster, "n0", dependentJob("wk-11", 1, "wk-3"), time.Second)
		requireDone(t, cluster, "n2", "wk-11", 30*time.Second)
		if left := cluster.Store.Keys(jobs.JobPrefix + "wk-5"); len(left) > 0 {
			t.Errorf("%v is left", left)
		}
	})
}

// Hundreds of jobs named by one, kept in parts; and hundreds that wait for one.
func TestWideDependencyFanInAndFanOut(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 8)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 1, 1), 90*time.Second)
		var all []string
		for i := range 300 {
			s := dependentJob(fmt.Sprintf("wk-%d", 100000+i), 1, "wk-1")
			s.CPU, s.MemGB = 0.05, 0.05
			requireAccepted(t, cluster, fmt.Sprintf("n%d", i%3), s, time.Second)
			all = append(all, s.Ref)
		}
		requireAccepted(t, cluster, "n1", dependentJob("wk-2", 1, all...), time.Second)
		restartControllers(cluster, time.Second)
		time.Sleep(20 * time.Second)
		if response := cluster.Poll("n2", "wk-2"); response.Status != jobs.Queued {
			t.Errorf("%+v", response)
		}
		requireDone(t, cluster, "n2", "wk-2", 400*time.Second)
	})
}

// runDependencyGraphs is a night of jobs that wait for one another by chance, among crashes, cuts, lost
// and late transactions, refusals, outages and takeovers.
func runDependencyGraphs(t *testing.T, seed uint64, configure func(n *faultinjection.FaultRun)) (broken []string, ended int) {
	broken = faultinjection.Run(t, 12, seed%2 == 1, func(n *faultinjection.FaultRun) {
		n.WithDependencies = true
		if configure != nil {
			configure(n)
		}
		n.InjectFaults(rand.New(rand.NewPCG(seed, 29)), 200)
		ended = n.Finish()
	})
	return broken, ended
}

func TestDependencyGraphsUnderRandomFaults(t *testing.T) {
	all := 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			broken, ended := runDependencyGraphs(t, seed, nil)
			for _, b := range broken {
				t.Error(b)
			}
			all += ended
		})
	}
	if all < 200 {
		t.Errorf("the nights tell little: %d jobs ended", all)
	}
}
