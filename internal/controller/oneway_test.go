package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

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

// The reports of a machine arrive, but nothing that is said to it: it was taken for well, and
// tasks were ordered there for ever.
func TestMachineWithNoInboundDoesNotBlockJobs(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		hosts := cluster.Hosts()
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 16, 1), 25*time.Second)
		time.Sleep(4 * time.Second)
		cluster.BlockInbound(hosts[0], true)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 3, 3), 10*time.Second) // one on each of the others
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 12, 1), 5*time.Second)
		time.Sleep(30 * time.Second)
		cluster.BlockInbound(hosts[0], false)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			requireDone(t, cluster, "n1", ref, 90*time.Second)
		}
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-4", jobs.Gang, 4, 3), 5*time.Second) // all four are of use again
		requireDone(t, cluster, "n0", "wk-4", 40*time.Second)
		cluster.BlockInbound(hosts[1], true)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-5", jobs.Array, 20, 1), 5*time.Second)
		time.Sleep(3 * time.Minute)
		if cluster.IsUp(hosts[1]) {
			t.Error("a machine that never hears is still paid")
		}
		requireDone(t, cluster, "n0", "wk-5", time.Second)
	})
}

// A deaf machine, and all controllers start anew: nobody reaches it under their tokens, and
// what it ran was waited for as long as it reported.
func TestMachineWithNoInboundDoesNotBlockReconciliation(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 16, 1), 40*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 3, 1), 15*time.Second)
		time.Sleep(5 * time.Second)
		cluster.BlockInbound(cluster.Hosts()[0], true)
		cluster.BlockInbound(cluster.Hosts()[1], true)
		restartControllers(cluster, 100*time.Millisecond)
		for _, ref := range []string{"wk-1", "wk-2"} {
			requireDone(t, cluster, "n2", ref, 180*time.Second)
		}
	})
}

// Copies of reports come late, from seconds to well over a lease, at any controller, while
// controllers crash and machines go.
func TestDelayedDuplicateHeartbeatsAreIgnored(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				cluster.DuplicateHeartbeats(rand.New(rand.NewPCG(seed, 3)), 35*time.Second)
				addMachines(cluster, 8)
				for i := range 12 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", i%3), fake.JobSpec(fmt.Sprintf("wk-%d", i+1), []string{jobs.Array, jobs.Gang}[i%2], 4, 1), 12*time.Second)
					time.Sleep(2 * time.Second)
					if i%4 == 1 {
						n := fmt.Sprintf("n%d", i%3)
						cluster.CrashController(n)
						time.Sleep(200 * time.Millisecond)
						cluster.StartController(n)
					}
				}
				gone := cluster.Hosts()[0]
				if err := cluster.Release(t.Context(), []string{gone}); err != nil {
					t.Fatal(err)
				}
				for i := range 12 {
					requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", i+1), 120*time.Second)
				}
				time.Sleep(2 * time.Minute)
				if left := cluster.Store.Keys(jobs.WorkerPrefix + gone); len(left) > 0 {
					t.Errorf("a machine that is no more is recorded: %v", left)
				}
			})
		})
	}
}

// A controller loses the state service and the other controllers, but not its workers. It may
// go on answering them only as long as nobody relies on its silence.
func TestControllerIsolatedWithItsWorkers(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 9)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 30, 1), 50*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		cluster.Store.RefuseNode("n0", true)
		cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
		time.Sleep(10 * time.Second)
		if h := cluster.OwnerOf("n0"); h == "n0" {
			t.Error("its share was not taken")
		}
		if cluster.Nodes["n0"].Controller.Healthy() || !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("users are kept at it, or sent away from the others")
		}
		if response := cluster.Cancel("n1", "wk-2"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		requireAccepted(t, cluster, "n2", dependentJob("wk-3", 6), 5*time.Second)
		time.Sleep(time.Duration(cluster.Cfg.Cluster.Workers.CancelS * float64(time.Second)))
		if on := cluster.RunningOn("wk-2/0"); len(on) > 0 {
			t.Errorf("cancelled, and on %v", on)
		}
		cluster.Store.RefuseNode("n0", false)
		cluster.SetPeerLink(fake.PeerLink{})
		requireDone(t, cluster, "n0", "wk-1", 90*time.Second)
		requireDone(t, cluster, "n0", "wk-3", 60*time.Second)
		for task, n := range cluster.StartCounts() {
			if ref, _, _ := jobs.ParseTask(task); ref == "wk-1" && n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

// Processes and machines are back within a fraction of a second, also while shares are
// being taken.
func TestSubsecondRestarts(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 6)
				requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 20, 1), 30*time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 30*time.Second)
				for i := range 8 {
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					cluster.CrashController(n)
					pause := time.Duration(50+rnd.IntN(600)) * time.Millisecond
					if i%3 == 2 { // long enough for the others to begin to take its share
						pause += time.Duration(3500+rnd.IntN(900)) * time.Millisecond
					}
					time.Sleep(pause)
					cluster.StartController(n)
					h := cluster.Hosts()[rnd.IntN(6)]
					cluster.IsolateWorker(h, true)
					time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
					cluster.IsolateWorker(h, false)
				}
				for _, ref := range []string{"wk-1", "wk-2"} {
					requireDone(t, cluster, "n2", ref, 150*time.Second)
				}
			})
		})
	}
}
