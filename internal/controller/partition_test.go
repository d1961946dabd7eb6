package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

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

// Some machines reach no controller, while direct commands reach them: nothing more is planned
// there, what they have done is known soon, cancelled tasks are stopped, and what ran is started
// elsewhere only when their leases are over. A minute of it is no reason to return them.
func TestMachinesWithNoOutbound(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 6, 1), 8*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 4, 1), time.Minute)
		time.Sleep(3 * time.Second)
		hosts := cluster.Hosts()
		for _, h := range hosts {
			cluster.BlockOutbound(h, true)
		}
		addMachines(cluster, 4) // 5 s
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 8, 1), 2*time.Second)
		requireDone(t, cluster, "n2", "wk-3", 6*time.Second) // no lease is over by then
		if response := cluster.Poll("n1", "wk-1"); response.Status != jobs.Done {
			t.Errorf("done on machines that do not report, and called %+v", response)
		}
		if response := cluster.Cancel("n0", "wk-2"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 4 {
			for _, h := range cluster.RunningOn(jobs.TaskName("wk-2", i)) {
				t.Errorf("wk-2/%d is still on %s", i, h)
			}
		}
		time.Sleep(45 * time.Second)
		for _, h := range hosts {
			if !cluster.IsUp(h) {
				t.Fatalf("%s was returned after a minute", h)
			}
			cluster.BlockOutbound(h, false)
		}
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-4", jobs.Array, 32, 1), 2*time.Second) // all machines at once
		requireDone(t, cluster, "n0", "wk-4", 8*time.Second)
		for _, h := range hosts[:2] {
			cluster.BlockOutbound(h, true)
		}
		time.Sleep(3 * time.Minute)
		if cluster.IsUp(hosts[0]) || cluster.IsUp(hosts[1]) {
			t.Error("machines that reach no controller for minutes are still paid")
		}
	})
}

// A task on a machine that reaches no controller starts elsewhere when its lease is over, and not
// before; in a later session of the machine nothing of before is left, and that is asked for.
func TestTasksOnMachinesWithNoOutbound(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 12, 1), 40*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 3), 40*time.Second)
		time.Sleep(4 * time.Second)
		for i, h := range cluster.Hosts() {
			if i < 2 {
				cluster.BlockOutbound(h, true)
			}
		}
		addMachines(cluster, 6)
		time.Sleep(8 * time.Second) // their leases of 10 s are over soon
		for _, ref := range []string{"wk-1", "wk-2"} {
			requireDone(t, cluster, "n2", ref, 60*time.Second)
		}
	})
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

// A zone with workers and a controller is cut off for longer than a lease, with packets held or
// connections refused; users are outside, jobs are cancelled and submitted there. The zone's workers
// may be kept at work inside as long as it may be, and no task is in both places.
func TestZonePartitionWithController(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprint("held ", held), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 10)
				for k := range 6 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], []int{12, 3}[k%2], 1), 50*time.Second)
				}
				time.Sleep(4 * time.Second)
				inside := cluster.HostsInZone("a")
				cut := func(on bool) {
					for _, h := range inside {
						cluster.CutLink("n1", h, on)
						cluster.CutLink("n2", h, on)
						if held {
							cluster.HoldHeartbeats(h, on)
						}
					}
					cluster.Store.RefuseNode("n0", on)
					link := fake.PeerLink{}
					if on {
						link.Isolated = "n0"
					}
					cluster.SetPeerLink(link)
				}
				cut(true)
				for range 8 { // room for what runs in the zone, should it count as gone
					cluster.AddMachine("b", false)
				}
				time.Sleep(2 * time.Second)
				if response := cluster.Cancel("n1", "wk-1"); response.Status != jobs.Cancelled {
					t.Fatalf("%+v", response)
				}
				told := time.Now()
				requireAccepted(t, cluster, "n2", fake.JobSpec("wk-7", jobs.Array, 4, 1), 5*time.Second)
				requireDone(t, cluster, "n1", "wk-7", 60*time.Second)
				time.Sleep(time.Until(told.Add(time.Duration(cluster.Cfg.Cluster.Workers.CancelS * float64(time.Second)))))
				for i := range 12 {
					if on := cluster.RunningOn(jobs.TaskName("wk-1", i)); len(on) > 0 {
						t.Errorf("wk-1/%d is on %v after its time", i, on)
					}
				}
				cut(false)
				addMachines(cluster, 3)
				for k := 1; k < 6; k++ {
					requireDone(t, cluster, "n0", fmt.Sprintf("wk-%d", k+1), 200*time.Second)
				}
				if h := cluster.OwnerOf("n0"); h != "n0" {
					t.Errorf("the share of the zone's controller is held by %q", h)
				}
			})
		})
	}
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

// Commands and answers are held up for seconds, machines stand still and go on just before their
// leases end, while controllers hand shares to and fro.
func TestDelayedCommandsAndFrozenMachines(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				for k := range 8 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], 3, 1), 30*time.Second)
				}
				lease := time.Duration(cluster.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
				for range 5 {
					some := cluster.Hosts()
					for _, h := range some {
						cluster.DelayInbound(h, time.Duration(rnd.IntN(2)*(500+rnd.IntN(4500)))*time.Millisecond)
						cluster.FreezeMachine(h, rnd.IntN(3) == 0)
					}
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					cluster.CrashController(n)
					time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
					cluster.StartController(n)
					time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
					for _, h := range some {
						cluster.FreezeMachine(h, false)
					}
					time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
				}
				for _, h := range cluster.Hosts() {
					cluster.DelayInbound(h, 0)
				}
				addMachines(cluster, 3)
				for k := range 8 {
					requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", k+1), 150*time.Second)
				}
			})
		})
	}
}
