package controller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
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

func TestSubmissionIsIdempotent(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		cluster.Nodes["n0"].Conn.DropAnswers(1)
		s := fake.JobSpec("wk-2", jobs.Array, 1, 1)
		if response := cluster.Submit("n0", s, 5*time.Second); response.Code != 503 {
			t.Fatalf("a submission without an answer from the state service was answered %+v", response)
		}
		if response := cluster.Submit("n1", s, 5*time.Second); response.Code != 200 {
			t.Fatalf("the retry was answered %+v", response)
		}
		requireDone(t, cluster, "n2", "wk-2", 20*time.Second)
		if response := cluster.Submit("n2", s, 5*time.Second); response.Code != 200 || response.Status != jobs.Done {
			t.Errorf("a late retry was answered %+v", response)
		}
		if response := cluster.Poll("n0", "wk-99"); response.Code != 404 {
			t.Errorf("a job nobody submitted was answered %+v", response)
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

// Each taking of a dead controller's share stopped the gangs that ran in the
// share of the one which took it.
func TestFailoverKeepsRunningGangs(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-5", jobs.Gang, 2, 4), 90*time.Second)
		time.Sleep(30 * time.Second)
		cluster.CrashController("n2") // n0 is the next in the order of names
		time.Sleep(40 * time.Second)
		cluster.StartController("n2")
		requireDone(t, cluster, "n1", "wk-5", 40*time.Second)
		if n := cluster.StartCounts()["wk-5/0"]; n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// A new holder waited until its workers had found it and reported twice; with
// reports every 5 s that took 15 s of each takeover.
func TestNewOwnerProbesWorkersAtOnce(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 20 {
			cluster.AddMachine("a", false)
		}
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-6", jobs.Array, 60, 1), 20*time.Second)
		time.Sleep(3 * time.Second)
		cut := "i-000007" // one that is silent must not hold up the others
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CutLink(n, cut, true)
		}
		cluster.CrashController("n0")
		time.Sleep(5500 * time.Millisecond)
		if n := cluster.ProbeCount(); n != 19 {
			t.Errorf("%d workers greeted", n)
		}
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CutLink(n, cut, false)
		}
		requireDone(t, cluster, "n2", "wk-6", 90*time.Second)
	})
}

// A controller that started while the cloud was down refused every submission
// and started nothing on its workers until the cloud came back.
func TestStartWithoutCloudUsesStoredMachineTypes(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(10 * time.Second)
		cluster.WithoutMachineTypes = true
		restartControllers(cluster, 5*time.Second)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-7", jobs.Array, 4, 1), 5*time.Second)
		requireDone(t, cluster, "n2", "wk-7", 20*time.Second)
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

func TestTasksSurviveControllerCrash(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-6", jobs.Array, 8, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(6 * time.Second)
		cluster.StartController("n0")
		requireDone(t, cluster, "n1", "wk-6", 60*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

func TestAllControllersRestart(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-7", jobs.Array, 12, 1), 30*time.Second)
		time.Sleep(5 * time.Second)
		restartControllers(cluster, 6*time.Second)
		time.Sleep(3 * time.Second)
		requireDone(t, cluster, "n1", "wk-7", 90*time.Second)
	})
}

func TestCancelledTasksStopInTime(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder cut from the state service: %v", cut), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				cluster.AddMachine("a", false)
				time.Sleep(4 * time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-9", jobs.Service, 2, 1), 0)
				time.Sleep(5 * time.Second)
				if len(cluster.RunningOn("wk-9/0")) != 1 {
					t.Fatal("the service does not run")
				}
				// The worker reaches nobody but the controller that is cut off.
				for _, n := range []string{"n1", "n2"} {
					cluster.CutLink(n, "i-000001", cut)
				}
				cluster.Store.RefuseNode("n0", cut)
				if response := cluster.Cancel("n1", "wk-9"); response.Code != 200 || response.Status != jobs.Cancelled {
					t.Fatalf("cancellation answered %+v", response)
				}
				time.Sleep(30 * time.Second)
				if on := cluster.RunningOn("wk-9/0"); len(on) > 0 {
					t.Errorf("still on %v after the time for cancellations", on)
				}
				if response := cluster.Poll("n2", "wk-9"); response.Status != jobs.Cancelled {
					t.Errorf("poll says %+v", response)
				}
			})
		})
	}
}

func TestStoreOutageLosesNoWork(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-10", jobs.Array, 4, 1), 20*time.Second)
		time.Sleep(4 * time.Second)
		cluster.Store.SetOutage(true)
		if response := cluster.Poll("n1", "wk-10"); response.Code != 503 {
			t.Errorf("poll in an outage answered %+v", response)
		}
		time.Sleep(20 * time.Second)
		cluster.Store.SetOutage(false)
		requireDone(t, cluster, "n1", "wk-10", 10*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

func TestTeamNeverExceedsQuota(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 3 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(4 * time.Second)
		for i, n := range []string{"n0", "n1", "n2"} {
			s := fake.JobSpec(fmt.Sprintf("wk-2%d", i), jobs.Array, 6, 1)
			s.Team = "capped"
			requireAccepted(t, cluster, n, s, 5*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-20", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-21", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-22", 2*time.Minute)
		big := fake.JobSpec("wk-23", jobs.Gang, 5, 1)
		big.Team = "capped"
		if response := cluster.Submit("n0", big, time.Second); response.Code != 422 {
			t.Errorf("a gang above the cap was answered %+v", response)
		}
	})
}

func TestFaultyMachineIsReleased(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false).FailTasks = true
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-11", jobs.Array, 8, 1), 3*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-12", jobs.Array, 8, 1), 3*time.Second)
		requireDone(t, cluster, "n0", "wk-11", time.Minute)
		requireDone(t, cluster, "n0", "wk-12", time.Minute)
		if cluster.WorkerCount() > 1 {
			t.Errorf("%d machines are left", cluster.WorkerCount())
		}
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

func TestTeamReclaimsGuarantee(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-50", jobs.Array, 4, 1), time.Minute)
		time.Sleep(4 * time.Second)
		s := fake.JobSpec("wk-51", jobs.Array, 2, 1)
		s.Team = "sure"
		requireAccepted(t, cluster, "n1", s, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-51", 20*time.Second)
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

func TestSettingsReachAllControllersAndSurviveRestart(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		m := cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		s, version, _ := cluster.Nodes["n1"].Controller.Settings()
		s.Drain = []string{m.Host}
		if _, err := cluster.Nodes["n1"].Controller.ChangeSettings(s, version); err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.Nodes["n2"].Controller.ChangeSettings(s, version+99); !errors.Is(err, admin.ErrVersionConflict) {
			t.Errorf("a stale change was answered %v", err)
		}
		time.Sleep(8 * time.Second)
		if cluster.WorkerCount() != 0 {
			t.Error("the drained machine is still there")
		}
		cluster.CrashController("n0")
		cluster.StartController("n0")
		time.Sleep(3 * time.Second)
		if s, _, ok := cluster.Nodes["n0"].Controller.Settings(); !ok || len(s.Drain) != 1 {
			t.Errorf("after a restart: %+v", s)
		}
	})
}

// A record that no value holds is kept in parts, read by a controller that has never seen
// it, and leaves nothing behind; what no user may send is refused.
func TestSubmissionLargerThanValueIsChunked(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		s := fake.JobSpec("wk-70", jobs.Array, 12, 1)
		s.Class = strings.Repeat("c", 30<<10)
		requireAccepted(t, cluster, "n0", s, 3*time.Second)
		restartControllers(cluster, time.Second)
		requireDone(t, cluster, "n2", "wk-70", 60*time.Second)
		time.Sleep(4 * time.Minute)
		if left := append(cluster.Store.Keys(jobs.ChunkPrefix), cluster.Store.Keys(jobs.JobPrefix)...); len(left) > 0 {
			t.Errorf("%d records are left, %s", len(left), left[0])
		}
		s.Ref, s.Class = "wk-71", strings.Repeat("c", 100<<10)
		if response := cluster.Submit("n0", s, time.Second); response.Code != 400 {
			t.Errorf("answered %+v", response)
		}
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

// A capped team's jobs ran in one share. Its machines were full, those of the
// others idle, and as long as these were there the cloud had no more: the job
// waited (fleetbench real, after a controller was killed).
func TestQuotaLimitedJobGetsIdleMachinesOfOtherShards(t *testing.T) {
	for _, kind := range []string{jobs.Gang, jobs.Array} {
		runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			for _, z := range []string{"a", "b", "b"} {
				cluster.AddMachine(z, false)
			}
			time.Sleep(5 * time.Second)
			for i := range 3 { // each share is full but for one task's room
				requireAccepted(t, cluster, fmt.Sprintf("n%d", i), fake.JobSpec(fmt.Sprintf("wk-1%d", i), jobs.Array, 3, 1), 4*time.Minute)
			}
			time.Sleep(4 * time.Second)
			cluster.AddMachine("b", false)
			time.Sleep(2 * time.Second)
			s := fake.JobSpec("wk-20", kind, 4, 1)
			s.Team = "capped"
			requireAccepted(t, cluster, "n0", s, 4*time.Second)
			requireDone(t, cluster, "n1", s.Ref, 14*time.Second) // one by one on the last place it takes longer
		})
	}
}

// A limit is held by all shares together: a team with a limit of four CPUs uses all of
// them wherever there is room, its gangs get what other shares have no use for, and it
// never uses more (the workers' side counts), whatever happens to the controllers and to
// their transactions.
func TestQuotaUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				rnd := rand.New(rand.NewPCG(seed, 16))
				for range 3 {
					cluster.AddMachine("a", false)
					cluster.AddMachine("b", false)
					cluster.AddMachine("b", false)
				}
				time.Sleep(5 * time.Second)
				if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
					t.Fatal(err)
				}
				names := []string{"n0", "n1", "n2"}
				var refs, unanswered []string
				for i := range 24 {
					s := fake.JobSpec(fmt.Sprintf("wk-%d", i), jobs.Array, 1+rnd.IntN(8), 1)
					if i%4 == 3 {
						s = fake.JobSpec(s.Ref, jobs.Gang, 2+rnd.IntN(3), 1)
					}
					s.Team = "capped"
					s.Urgency = []string{"idle", "normal", "high"}[rnd.IntN(3)]
					node := names[rnd.IntN(3)]
					if cluster.Nodes[node] == nil {
						node = "n0"
					}
					if cluster.Nodes[node] != nil && cluster.Submit(node, s, time.Duration(1+rnd.IntN(6))*time.Second).Code != 201 {
						unanswered = append(unanswered, s.Ref)
					} else if cluster.Nodes[node] != nil {
						refs = append(refs, s.Ref)
					}
					n := names[rnd.IntN(3)]
					switch rnd.IntN(6) {
					case 0:
						if cluster.Nodes[n] != nil && len(cluster.Nodes) == 3 {
							cluster.CrashController(n)
							time.Sleep(time.Duration(rnd.IntN(9)) * time.Second)
							cluster.StartController(n)
						}
					case 1:
						cluster.Store.RefuseNode(n, true)
						time.Sleep(time.Duration(rnd.IntN(12)) * time.Second)
						cluster.Store.RefuseNode(n, false)
					case 2:
						if cluster.Nodes[n] != nil {
							cluster.Nodes[n].Conn.DropAnswers(1 + rnd.IntN(4))
						}
					case 3:
						cluster.Store.DelayWatch(n, time.Duration(rnd.IntN(1500))*time.Millisecond)
					}
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				}
				for _, n := range names {
					cluster.Store.DelayWatch(n, 0)
				}
				for _, ref := range unanswered { // it may have been accepted all the same
					if cluster.Poll("n1", ref).Code == 200 {
						refs = append(refs, ref)
					}
				}
				for _, ref := range refs {
					requireDone(t, cluster, "n1", ref, 6*time.Minute)
				}
				time.Sleep(15 * time.Second)
				for _, key := range cluster.Store.Keys(jobs.QuotaPrefix) {
					if v, _ := cluster.Store.Value(key); strings.Contains(v, "cpu") {
						t.Errorf("an allocation is kept for nothing: %s", v)
					}
				}
			})
		})
	}
}

// What the operators allow a class holds for submissions by hand as for files, at every
// controller, and is no longer asked of a job that is accepted already.
func TestClassLimitsApplyToSubmissions(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 9, 0.1), time.Second)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) {
			s.ClassLimits = map[string]jobs.ClassLimits{"c": {MaxTasks: 5, MaxRunSeconds: 20}}
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		long := fake.JobSpec("wk-3", jobs.Array, 1, 0.1)
		long.EstimatedRunSeconds = 30
		for _, s := range []jobs.Spec{fake.JobSpec("wk-2", jobs.Array, 6, 0.1), long} {
			if response := cluster.Submit("n2", s, time.Second); response.Code != 422 || !strings.Contains(response.Error, "class c allows") {
				t.Errorf("%s: answered %+v", s.Ref, response)
			}
		}
		if response := cluster.Resubmit("n2", fake.JobSpec("wk-1", jobs.Array, 9, 0.1)); response.Code != 200 {
			t.Errorf("a retry of an accepted job was answered %+v", response)
		}
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-4", jobs.Array, 5, 0.1), time.Second)
		requireDone(t, cluster, "n0", "wk-4", 30*time.Second)
	})
}
