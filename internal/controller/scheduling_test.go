package controller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestArrayRunsOnAllShards(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 12, 1), 5*time.Second)
		requireDone(t, cluster, "n0", "wk-1", 15*time.Second)
		if response := cluster.Poll("n2", "wk-1"); response.DoneTasks != 12 {
			t.Errorf("a done job tells %d of 12 tasks", response.DoneTasks)
		}
		for i := range 12 {
			if n := cluster.StartCounts()[jobs.TaskName("wk-1", i)]; n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		if left := append(cluster.Store.Keys(jobs.JobPrefix), cluster.Store.Keys(jobs.RangePrefix)...); len(left) > 0 {
			t.Errorf("records left of a finished job: %v", left)
		}
	})
}

// Freed places were claimed one by one, at five changes in the state service
// for each task; submissions then waited for its limits.
func TestLongArrayNeedsFewWrites(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for _, z := range []string{"a", "a", "b", "b", "b", "b"} {
			cluster.AddMachine(z, false)
		}
		time.Sleep(4 * time.Second)
		before := cluster.Store.WriteCount()
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 400, 1), 3*time.Second)
		requireDone(t, cluster, "n0", "wk-1", 150*time.Second)
		if n := cluster.Store.WriteCount() - before; n > 200 {
			t.Errorf("%d changes for 400 tasks", n)
		}
	})
}

func TestGangStartsAllOrNothing(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-3", jobs.Gang, 2, 4), 5*time.Second)
		time.Sleep(10 * time.Second)
		if len(cluster.StartCounts()) != 0 {
			t.Fatalf("a part of a gang was started: %v", cluster.StartCounts())
		}
		cluster.AddMachine("a", false)
		requireDone(t, cluster, "n1", "wk-3", 30*time.Second)
	})
}

func TestHighPriorityGangPreemptsArray(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-4", jobs.Array, 4, 1), time.Minute)
		time.Sleep(5 * time.Second)
		urgent := fake.JobSpec("wk-5", jobs.Gang, 1, 4)
		urgent.Urgency = "high"
		requireAccepted(t, cluster, "n1", urgent, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-5", 15*time.Second)
		requireDone(t, cluster, "n0", "wk-4", 90*time.Second)
	})
}

func TestHighPriorityArrayPreemptsGang(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-60", jobs.Gang, 2, 2), 20*time.Second)
		time.Sleep(4 * time.Second)
		s := fake.JobSpec("wk-61", jobs.Array, 1, 1)
		s.Urgency = "prod"
		requireAccepted(t, cluster, "n1", s, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-61", 15*time.Second)
		requireDone(t, cluster, "n0", "wk-60", 60*time.Second)
	})
}

func TestGangLargerThanOneShardGetsIdleWorkers(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 2 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-40", jobs.Gang, 6, 4), 5*time.Second)
		spread := fake.JobSpec("wk-41", jobs.Gang, 3, 4)
		spread.Spread = true
		requireDone(t, cluster, "n1", "wk-40", 40*time.Second)
		requireAccepted(t, cluster, "n0", spread, 5*time.Second)
		requireDone(t, cluster, "n1", "wk-41", 40*time.Second)
	})
}

func TestCapacityIsReservedForServiceReplicas(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-90", jobs.Service, 2, 1), 0)
		time.Sleep(4 * time.Second)
		// Six places are left; two are kept for the replicas on one machine.
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-91", jobs.Array, 6, 1), 30*time.Second)
		time.Sleep(10 * time.Second)
		if n := cluster.Poll("n0", "wk-91").ActiveTasks; n != 4 {
			t.Errorf("%d tasks of the array run, 4 fit beside the kept room", n)
		}
		lower := fake.JobSpec("wk-92", jobs.Array, 2, 1)
		lower.Urgency = "idle"
		requireAccepted(t, cluster, "n0", lower, 3*time.Second)
		requireDone(t, cluster, "n0", "wk-92", 20*time.Second) // the kept room is lent
	})
}

func TestGPUsAreCounted(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		s := fake.JobSpec("wk-85", jobs.Array, 4, 1)
		s.GPU = 1
		requireAccepted(t, cluster, "n0", s, 10*time.Second)
		time.Sleep(6 * time.Second)
		if n := cluster.Poll("n0", "wk-85").ActiveTasks; n != 2 {
			t.Errorf("%d tasks run on a machine with two cards", n)
		}
		requireDone(t, cluster, "n0", "wk-85", 40*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times: refused for want of a card", task, n)
			}
		}
		s = fake.JobSpec("wk-86", jobs.Array, 1, 1)
		s.GPU = 3
		if response := cluster.Submit("n0", s, time.Second); response.Code != 422 {
			t.Errorf("more cards than any machine has: %+v", response)
		}
	})
}

func TestLargeArrayCompletes(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 4 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		s := fake.JobSpec("wk-80", jobs.Array, 1500, 0.05)
		requireAccepted(t, cluster, "n0", s, 2*time.Second)
		requireDone(t, cluster, "n1", "wk-80", 3*time.Minute)
	})
}

// A job that was claimed a task at a time had more ranges than one transaction
// may name, and was never called done (lumenweg, steady day, seed 22).
func TestJobWithManyTaskRangesCompletes(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.State.TxnOps = 4
		cluster.Store.SetMaxTxnOps(4)
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CrashController(n)
			cluster.StartController(n)
		}
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(5 * time.Second)
		// Tasks of another job end one by one and leave room for one each.
		for i := range 8 {
			requireAccepted(t, cluster, "n0", fake.JobSpec(fmt.Sprintf("wk-3%d", i), jobs.Array, 1, 1), time.Duration(5+3*i)*time.Second)
		}
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-30000", jobs.Array, 40, 1), 4*time.Second)
		requireDone(t, cluster, "n2", "wk-30000", 3*time.Minute)
		if response := cluster.Poll("n1", "wk-30000"); response.Code != 200 || response.Status != jobs.Done {
			t.Errorf("%+v", response)
		}
	})
}

// Records stay within the limit on values however many tasks a job has, and cost
// does not follow their number.
func TestHugeArrayWithinValueLimit(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.State.ValueKB = 1
		cluster.Store.SetMaxValueBytes(1 << 10)
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CrashController(n)
			cluster.StartController(n)
		}
		for range 2 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(6 * time.Second)
		before := cluster.Store.WriteCount()
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 100_000, 0.1), 3*time.Second)
		time.Sleep(30 * time.Second)
		response := cluster.Poll("n1", "wk-1")
		if response.DoneTasks < 900 || response.ActiveTasks < 100 {
			t.Errorf("after 30 s: %+v", response)
		}
		if n := cluster.Store.WriteCount() - before; n > 150 {
			t.Errorf("%d changes in 30 s for %d tasks", n, response.DoneTasks)
		}
		if response := cluster.Cancel("n2", "wk-1"); response.Status != jobs.Cancelled {
			t.Errorf("%+v", response)
		}
		time.Sleep(10 * time.Second)
		if on := cluster.Poll("n0", "wk-1"); on.ActiveTasks > 0 || on.Status != jobs.Cancelled {
			t.Errorf("%+v", on)
		}
	})
}

// An array in one zone, or spread over them, loses machines: what is left stays in the zone that
// holds any of it, and moves when nothing is left there and the zone has no room. The stand-in's
// workers judge wrong_place.
func TestZoneConstrainedJobsLoseMachines(t *testing.T) {
	for _, c := range []struct {
		kind            string
		oneZone, spread bool
		full            bool // the zone is full of others instead of empty
	}{{jobs.Array, true, false, false}, {jobs.Array, true, false, true}, {jobs.Gang, true, false, false}, {jobs.Array, false, true, false}, {jobs.Array, false, false, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				for range 3 {
					cluster.AddMachine("a", false)
				}
				time.Sleep(5 * time.Second)
				s := fake.JobSpec("wk-1", c.kind, 9, 1)
				s.OneZone, s.Spread = c.oneZone, c.spread
				// The first tasks end at once, later ones in the middle never on these machines.
				for i := range 8 {
					cluster.SetTaskRunTime(jobs.TaskName("wk-1", i), []time.Duration{2 * time.Second, 25 * time.Second}[i%2])
				}
				cluster.SetTaskRunTime(jobs.TaskName("wk-1", 8), 70*time.Second) // and the last goes on where it is
				if c.spread {
					cluster.AddMachine("b", false)
					time.Sleep(3 * time.Second)
				}
				requireAccepted(t, cluster, "n0", s, 25*time.Second)
				time.Sleep(6 * time.Second)
				lost := cluster.Hosts()
				if c.spread {
					lost = lost[:3]
				}
				if c.full { // others take the places of those that are lost, for long
					requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 12, 1), 10*time.Minute)
				}
				for range 4 {
					cluster.AddMachine("b", false)
				}
				for i, h := range lost {
					if !c.full || i < 2 {
						_ = cluster.Release(t.Context(), []string{h})
					}
				}
				if c.spread { // half of it may be in one zone, whatever is done by then
					time.Sleep(40 * time.Second)
					cluster.AddMachine("a", false)
				}
				if c.full {
					time.Sleep(5 * time.Second)
					cluster.AddMachine("b", false)
					cluster.AddMachine("b", false)
				}
				// One after the other in one place, if what goes on there has left room for no more.
				requireDone(t, cluster, "n1", "wk-1", 220*time.Second)
			})
		})
	}
}

// An array that has to be in one zone takes one that has room, not the first by name.
func TestOneZoneArrayPicksZoneWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewCluster(ctx, map[string]string{"n0": "a", "n1": "a", "n2": "a"}) // so each holds machines of both zones
		time.Sleep(3 * time.Second)
		addMachines(cluster, 6)
		zone := "a"
		s := fake.JobSpec("wk-1", jobs.Array, 12, 1)
		s.Zone = &zone
		requireAccepted(t, cluster, "n0", s, 10*time.Minute)
		time.Sleep(5 * time.Second)
		s = fake.JobSpec("wk-2", jobs.Array, 4, 1)
		s.OneZone = true
		requireAccepted(t, cluster, "n0", s, 2*time.Second)
		requireDone(t, cluster, "n0", "wk-2", 15*time.Second)
		stop()
		synctest.Wait()
	})
}
