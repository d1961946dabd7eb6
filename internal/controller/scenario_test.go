package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// runWithoutPeers runs a tale in simulated time and fails it on any broken rule.
func runWithoutPeers(t *testing.T, scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewCluster(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"})
		time.Sleep(3 * time.Second)
		scenario(t, cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// runWithPeers is a story in which the controllers hear one another.
func runWithPeers(t *testing.T, scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	runWithPeersAnd(t, func(*fake.Cluster) {}, scenario)
}

// runWithPeersAnd is the same with settings of its own.
func runWithPeersAnd(t *testing.T, configure func(cluster *fake.Cluster), scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.ConnectPeers = true
			configure(cluster)
		})
		time.Sleep(3 * time.Second)
		scenario(t, cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// restartControllers crashes all controllers and boots them after a while.
func restartControllers(cluster *fake.Cluster, down time.Duration) {
	for _, n := range []string{"n0", "n1", "n2"} {
		cluster.CrashController(n)
	}
	time.Sleep(down)
	for _, n := range []string{"n0", "n1", "n2"} {
		cluster.StartController(n)
	}
}

func requireAccepted(t *testing.T, cluster *fake.Cluster, node string, s jobs.Spec, run time.Duration) {
	t.Helper()
	if response := cluster.Submit(node, s, run); response.Code != 201 {
		t.Fatalf("%s: submission answered %+v", s.Ref, response)
	}
}

func requireDone(t *testing.T, cluster *fake.Cluster, node, ref string, limit time.Duration) {
	t.Helper()
	if !cluster.WaitForStatus(node, ref, jobs.Done, limit) {
		t.Fatalf("%s not done after %v: %+v", ref, limit, cluster.Poll(node, ref))
	}
}

func addMachines(cluster *fake.Cluster, n int) {
	for i := range n {
		cluster.AddMachine([]string{"a", "b"}[i%2], false)
	}
	time.Sleep(5 * time.Second)
}
