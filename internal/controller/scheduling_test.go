package controller_test

import (
	"net/http"
	"testing"
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
			t.Errorf("%d of 12 tasks of a done job are reported as done", response.DoneTasks)
		}
		for i := range 12 {
			if count := cluster.StartCounts()[jobs.TaskName("wk-1", i)]; count != 1 {
				t.Errorf("task %d started %d times", i, count)
			}
		}
		checkNoRecords(t, cluster, jobs.JobPrefix, jobs.RangePrefix)
	})
}

// A claim for a long array contains many tasks. If the tasks were claimed one by one as others end, with
// five writes for each task, these writes would use up the store's write rate, and submissions would
// wait.
func TestLongArrayNeedsFewWrites(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for _, zone := range []string{"a", "a", "b", "b", "b", "b"} {
			cluster.AddMachine(zone, false)
		}
		time.Sleep(4 * time.Second)
		writesBefore := cluster.Store.WriteCount()
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 400, 1), 3*time.Second)
		requireDone(t, cluster, "n0", "wk-1", 150*time.Second)
		if writes := cluster.Store.WriteCount() - writesBefore; writes > 200 {
			t.Errorf("%d writes for 400 tasks", writes)
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
		urgentJob := fake.JobSpec("wk-5", jobs.Gang, 1, 4)
		urgentJob.Urgency = "high"
		requireAccepted(t, cluster, "n1", urgentJob, 5*time.Second)
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
		urgentJob := fake.JobSpec("wk-61", jobs.Array, 1, 1)
		urgentJob.Urgency = "prod"
		requireAccepted(t, cluster, "n1", urgentJob, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-61", 15*time.Second)
		requireDone(t, cluster, "n0", "wk-60", 60*time.Second)
	})
}

func TestGangLargerThanOneShardGetsIdleWorkers(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 2)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-40", jobs.Gang, 6, 4), 5*time.Second)
		spreadGang := fake.JobSpec("wk-41", jobs.Gang, 3, 4)
		spreadGang.Spread = true
		requireDone(t, cluster, "n1", "wk-40", 40*time.Second)
		requireAccepted(t, cluster, "n0", spreadGang, 5*time.Second)
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
		// Six CPUs are free. Two of them are reserved for the replicas of one machine, in case it fails.
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-91", jobs.Array, 6, 1), 30*time.Second)
		time.Sleep(10 * time.Second)
		if count := cluster.Poll("n0", "wk-91").ActiveTasks; count != 4 {
			t.Errorf("%d tasks of the array run, 4 fit beside the reserved capacity", count)
		}
		lowPriorityArray := fake.JobSpec("wk-92", jobs.Array, 2, 1)
		lowPriorityArray.Urgency = "idle"
		requireAccepted(t, cluster, "n0", lowPriorityArray, 3*time.Second)
		requireDone(t, cluster, "n0", "wk-92", 20*time.Second) // lower priorities may use reserved capacity
	})
}

func TestGPUsAreCounted(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		spec := fake.JobSpec("wk-85", jobs.Array, 4, 1)
		spec.GPU = 1
		requireAccepted(t, cluster, "n0", spec, 10*time.Second)
		time.Sleep(6 * time.Second)
		if count := cluster.Poll("n0", "wk-85").ActiveTasks; count != 2 {
			t.Errorf("%d tasks run on a machine with two GPUs", count)
		}
		requireDone(t, cluster, "n0", "wk-85", 40*time.Second)
		checkStartedOnce(t, cluster) // a task that a worker had refused for lack of a free GPU would have been started again
		spec = fake.JobSpec("wk-86", jobs.Array, 1, 1)
		spec.GPU = 3
		if response := cluster.Submit("n0", spec, time.Second); response.Code != http.StatusUnprocessableEntity {
			t.Errorf("more GPUs than any machine has: %+v", response)
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
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-80", jobs.Array, 1500, 0.05), 2*time.Second)
		requireDone(t, cluster, "n1", "wk-80", 3*time.Minute)
	})
}

// A job that is claimed one task at a time has more task ranges than fit into one transaction. The job must
// be reported as done nevertheless.
func TestJobWithManyTaskRangesCompletes(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.State.TxnOps = 4
		cluster.Store.SetMaxTxnOps(4)
		restartControllersInTurn(cluster)
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(5 * time.Second)
		// These jobs complete one after another, and each frees capacity for one task.
		for i := range 8 {
			requireAccepted(t, cluster, "n0", fake.JobSpec(jobRef(30+i), jobs.Array, 1, 1), time.Duration(5+3*i)*time.Second)
		}
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-30000", jobs.Array, 40, 1), 4*time.Second)
		requireDone(t, cluster, "n2", "wk-30000", 3*time.Minute)
		if response := cluster.Poll("n1", "wk-30000"); response.Code != http.StatusOK || response.Status != jobs.Done {
			t.Errorf("the done job was answered %+v", response)
		}
	})
}

// The records of a huge array stay within the size limit of the store's values, and the number of writes
// does not grow with the number of tasks.
func TestHugeArrayWithinValueLimit(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.State.ValueKB = 1
		cluster.Store.SetMaxValueBytes(1 << 10)
		restartControllersInTurn(cluster)
		for range 2 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(6 * time.Second)
		writesBefore := cluster.Store.WriteCount()
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 100_000, 0.1), 3*time.Second)
		time.Sleep(30 * time.Second)
		response := cluster.Poll("n1", "wk-1")
		if response.DoneTasks < 900 || response.ActiveTasks < 100 {
			t.Errorf("after 30 s: %+v", response)
		}
		if writes := cluster.Store.WriteCount() - writesBefore; writes > 150 {
			t.Errorf("%d writes in 30 s for %d tasks", writes, response.DoneTasks)
		}
		if response := cluster.Cancel("n2", "wk-1"); response.Status != jobs.Cancelled {
			t.Errorf("the cancellation was answered %+v", response)
		}
		time.Sleep(10 * time.Second)
		if response := cluster.Poll("n0", "wk-1"); response.ActiveTasks > 0 || response.Status != jobs.Cancelled {
			t.Errorf("10 s after the cancellation: %+v", response)
		}
	})
}

// zoneCase is a case of TestZoneConstrainedJobsCompleteAfterMachineLoss.
type zoneCase struct {
	name         string
	kind         jobs.Kind
	needsOneZone bool
	isSpread     bool
	isZoneFull   bool // other tasks fill the zone; if false, its machines are released and it is empty
}

// A job that has to run in one zone, or is spread over zones, loses machines. Its remaining tasks are started
// again in the zone that still runs some of its tasks. They move to another zone if the previous zone runs
// none of them any more and has no capacity. The simulated workers check the placement.
func TestZoneConstrainedJobsCompleteAfterMachineLoss(t *testing.T) {
	for _, c := range []zoneCase{
		{"array in one zone", jobs.Array, true, false, false},
		{"array in one full zone", jobs.Array, true, false, true},
		{"gang in one zone", jobs.Gang, true, false, false},
		{"spread array", jobs.Array, false, true, false},
		{"array anywhere", jobs.Array, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { checkCompletionAfterMachineLoss(t, cluster, c) })
		})
	}
}

func checkCompletionAfterMachineLoss(t *testing.T, cluster *fake.Cluster, c zoneCase) {
	for range 3 {
		cluster.AddMachine("a", false)
	}
	time.Sleep(5 * time.Second)
	spec := fake.JobSpec("wk-1", c.kind, 9, 1)
	spec.OneZone, spec.Spread = c.needsOneZone, c.isSpread
	// Half of the first eight tasks complete before the machines are lost, and the other half do not. The
	// last task runs longer than all others.
	for i := range 8 {
		cluster.SetTaskRunTime(jobs.TaskName("wk-1", i), []time.Duration{2 * time.Second, 25 * time.Second}[i%2])
	}
	cluster.SetTaskRunTime(jobs.TaskName("wk-1", 8), 70*time.Second)
	if c.isSpread {
		cluster.AddMachine("b", false)
		time.Sleep(3 * time.Second)
	}
	requireAccepted(t, cluster, "n0", spec, 25*time.Second)
	time.Sleep(6 * time.Second)
	lostHosts := cluster.Hosts()
	if c.isSpread {
		lostHosts = lostHosts[:3]
	}
	if c.isZoneFull { // another job takes the capacity of the lost tasks for a long time
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 12, 1), 10*time.Minute)
		lostHosts = lostHosts[:2]
	}
	for range 4 {
		cluster.AddMachine("b", false)
	}
	for _, host := range lostHosts {
		_ = cluster.Release(t.Context(), []string{host})
	}
	if c.isSpread { // at most half of the tasks, rounded up, may be in one zone at a time
		time.Sleep(40 * time.Second)
		cluster.AddMachine("a", false)
	}
	if c.isZoneFull {
		time.Sleep(5 * time.Second)
		cluster.AddMachine("b", false)
		cluster.AddMachine("b", false)
	}
	// The limit lets the tasks run one after another on one machine, in case the last task leaves no capacity
	// for more of them there.
	requireDone(t, cluster, "n1", "wk-1", 220*time.Second)
}

// An array that has to run in one zone is placed in a zone that has capacity, and not in the zone whose
// name comes first.
func TestOneZoneArrayPicksZoneWithCapacity(t *testing.T) {
	zones := map[string]string{"n0": "a", "n1": "a", "n2": "a"} // so that each shard has machines of both zones
	runScenario(t, zones, func(*fake.Cluster) {}, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		zone := "a"
		spec := fake.JobSpec("wk-1", jobs.Array, 12, 1)
		spec.Zone = &zone
		requireAccepted(t, cluster, "n0", spec, 10*time.Minute)
		time.Sleep(5 * time.Second)
		spec = fake.JobSpec("wk-2", jobs.Array, 4, 1)
		spec.OneZone = true
		requireAccepted(t, cluster, "n0", spec, 2*time.Second)
		requireDone(t, cluster, "n0", "wk-2", 15*time.Second)
	})
}
