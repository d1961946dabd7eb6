package controller_test

import (
	"strings"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// maxWait is how long a job may wait while a machine that fits has room, once all faults are over.
const maxWait = 90 * time.Second

// workerLease is the duration of a worker's lease in the simulated clusters.
const workerLease = 10 * time.Second

// loseMachine stops a machine with all that is on it. It returns after the worker's lease has expired.
func loseMachine(t *testing.T, cluster *fake.Cluster, host string) {
	t.Helper()
	if err := cluster.Release(t.Context(), []string{host}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(workerLease)
}

// requireRunning waits until a task runs, at most for maxWait, and fails the test if it does not.
func requireRunning(t *testing.T, cluster *fake.Cluster, task string) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(cluster.RunningOn(task)) > 0 {
			return
		}
	}
	ref, _, _ := jobs.ParseTaskName(task)
	t.Fatalf("%s does not run after %v: %+v", task, maxWait, cluster.Poll("n1", ref))
}

// submitClaimedSmallJob submits a job of two tasks, each with the given CPUs, and checks that its acceptance
// has claimed all of it for the shard n0.
func submitClaimedSmallJob(t *testing.T, cluster *fake.Cluster, cpu float64) jobs.Spec {
	t.Helper()
	spec := fake.JobSpec("wk-1", jobs.Array, 2, cpu)
	requireAccepted(t, cluster, "n0", spec, 10*time.Minute)
	record, _ := cluster.Store.Value(jobs.JobKey(spec.Ref))
	if !strings.Contains(record, `"own":{"share":"n0"`) {
		t.Fatalf("the job is not claimed as a whole: %s", record)
	}
	return spec
}

// addMachinesWithSpares adds a machine in each given zone, which the controllers keep although they are idle, and
// waits until they have booted.
func addMachinesWithSpares(t *testing.T, cluster *fake.Cluster, zones ...string) (hosts []string) {
	t.Helper()
	setSpareMachines(t, cluster, "n0", 20)
	for _, zone := range zones {
		hosts = append(hosts, cluster.AddMachine(zone, false).Host)
	}
	time.Sleep(5 * time.Second)
	return hosts
}

// Guards against the fault of docs/incidents/2026-12-small-array-left-waiting.md: a task of a small job
// that had lost its machine stayed with the shard that had claimed the whole job, and was started nowhere,
// once another task of the job was done.
func TestRestOfSmallJobStartsInAnotherShardAfterMachineLoss(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		hosts := addMachinesWithSpares(t, cluster, "a", "b", "b")
		cluster.SetTaskRunTime("wk-1/0", 2*time.Second)
		cluster.SetTaskRunTime("wk-1/1", 30*time.Second)
		spec := submitClaimedSmallJob(t, cluster, 2)
		time.Sleep(6 * time.Second)
		loseMachine(t, cluster, hosts[0])
		requireRunning(t, cluster, "wk-1/1")
		requireDone(t, cluster, "n2", spec.Ref, time.Minute)
		if starts := cluster.StartCounts()["wk-1/0"]; starts != 1 {
			t.Errorf("the task that was done was started %d times", starts)
		}
		time.Sleep(30 * time.Second) // enough for the cleanup of records
		checkNoRecords(t, cluster, jobs.JobPrefix, jobs.RangePrefix, jobs.CompletionBatchPrefix)
	})
}

// As the test above, but the other task of the job still runs, for longer than the lost one may wait.
func TestLostTaskOfSmallJobStartsWhileOtherTasksRun(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		hosts := addMachinesWithSpares(t, cluster, "a", "a", "b", "b")
		submitClaimedSmallJob(t, cluster, 4) // each task fills a machine
		time.Sleep(6 * time.Second)
		runningHosts := cluster.RunningOn("wk-1/0")
		loseMachine(t, cluster, runningHosts[0])
		requireRunning(t, cluster, "wk-1/0")
		if starts := cluster.StartCounts()["wk-1/1"]; starts != 1 || len(cluster.RunningOn("wk-1/1")) != 1 {
			t.Errorf("the task that ran on was started %d times, it runs on %v of %v", starts, cluster.RunningOn("wk-1/1"), hosts)
		}
	})
}

// The owner of the shard ends at different moments while the claim of a small job becomes a range record
// and the lost task is unclaimed. The job completes all the same, and no task runs twice.
func TestSmallJobCompletesIfOwnerEndsAfterMachineLoss(t *testing.T) {
	for _, end := range []struct {
		name  string
		crash func(cluster *fake.Cluster)
	}{
		{"crash", func(cluster *fake.Cluster) { cluster.CrashController("n0") }},
		{"restart", func(cluster *fake.Cluster) {
			cluster.CrashController("n0")
			time.Sleep(300 * time.Millisecond)
			cluster.StartController("n0")
		}},
		{"shutdown", func(cluster *fake.Cluster) { cluster.StopController("n0") }},
		{"lost response", func(cluster *fake.Cluster) { cluster.Nodes["n0"].Conn.DropResponses(3) }},
		{"late transaction", func(cluster *fake.Cluster) { cluster.Nodes["n0"].Conn.DelayNextTxn(5 * time.Second) }},
		{"records read anew", func(cluster *fake.Cluster) { cluster.Store.CompactWatch("n0") }},
	} {
		for _, moment := range []struct{ name, key, content string }{
			{"when the machine is lost", jobs.JobKey("wk-1"), `"own":`},
			{"when the claim has moved", jobs.RangeKey("wk-1", 0), `"share":"n0"`},
			{"when the task is unclaimed", jobs.JobKey("wk-1"), `"free":[{`},
		} {
			t.Run(end.name+" "+moment.name, func(t *testing.T) {
				runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
					hosts := addMachinesWithSpares(t, cluster, "a", "a", "b", "b")
					cluster.SetTaskRunTime("wk-1/1", time.Minute)
					cluster.SetTaskRunTime("wk-1/0", time.Minute)
					spec := submitClaimedSmallJob(t, cluster, 4)
					time.Sleep(6 * time.Second)
					loseMachine(t, cluster, hosts[0])
					awaitRecord(t, cluster, moment.key, moment.content)
					end.crash(cluster)
					requireDone(t, cluster, "n2", spec.Ref, maxWait+2*time.Minute)
				})
			})
		}
	}
}

// awaitRecord waits until the stored record with a key contains a text.
func awaitRecord(t *testing.T, cluster *fake.Cluster, key, content string) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if value, _ := cluster.Store.Value(key); strings.Contains(value, content) {
			return
		}
	}
	t.Fatalf("%s does not contain %s after %v", key, content, maxWait)
}

// A controller of a version that may take the move of a claim to a range record for the end of the claim
// keeps the others from moving claims.
func TestClaimOfSmallJobStaysInRecordWhileOldVersionRuns(t *testing.T) {
	configure := func(cluster *fake.Cluster) { // a controller that is down and has recorded no version
		cluster.Cfg.Peers = append(cluster.Cfg.Peers, config.Peer{Node: "n3", Zone: "c"})
	}
	runWithPeersConfigured(t, configure, func(t *testing.T, cluster *fake.Cluster) {
		hosts := addMachinesWithSpares(t, cluster, "a", "a", "b", "b")
		submitClaimedSmallJob(t, cluster, 4)
		time.Sleep(6 * time.Second)
		loseMachine(t, cluster, hosts[0])
		time.Sleep(time.Minute)
		if keys := cluster.Store.Keys(jobs.RangePrefix); len(keys) > 0 {
			t.Errorf("the claim has moved to %v", keys)
		}
		cluster.Store.Put(jobs.VersionPrefix+"n3", []byte(`{"v":3}`))
		requireRunning(t, cluster, "wk-1/0")
		requireRunning(t, cluster, "wk-1/1")
	})
}

// spreadCase is a case of TestSpreadArrayUsesZoneOfDoneTasks.
type spreadCase struct {
	name string
	// lastingInA is how many of the two tasks in zone a still run when the machine in zone b is lost.
	lastingInA int
	// beforeLoss changes the cluster before the machine is lost; may be nil.
	beforeLoss func(cluster *fake.Cluster)
}

// Guards against the fault of docs/incidents/2026-12-spread-array-kept-out-of-zone.md: an array that is spread
// over zones could not use a zone in which half of its tasks had run, although they were done.
func TestSpreadArrayUsesZoneOfDoneTasks(t *testing.T) {
	restart := func(cluster *fake.Cluster) { restartControllers(cluster, 2*time.Second) }
	for _, c := range []spreadCase{
		{"all done in the other zone", 0, nil},
		{"one runs in the other zone", 1, nil},
		{"controllers restarted", 0, restart},
		{"controllers restarted, one runs", 1, restart},
		{"owner crashed", 0, func(cluster *fake.Cluster) { cluster.CrashController("n0") }},
		{"owner shut down", 0, func(cluster *fake.Cluster) { cluster.StopController("n0") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { checkSpreadAfterLoss(t, cluster, c) })
		})
	}
}

func checkSpreadAfterLoss(t *testing.T, cluster *fake.Cluster, c spreadCase) {
	t.Helper()
	hosts := addMachinesWithSpares(t, cluster, "a", "b")
	spec := fake.JobSpec("wk-1", jobs.Array, 4, 1)
	spec.Spread = true
	requireAccepted(t, cluster, "n0", spec, 10*time.Minute)
	time.Sleep(8 * time.Second)
	var lostTasks []string
	lasting := c.lastingInA
	for i := range spec.Tasks {
		task := jobs.TaskName(spec.Ref, i)
		switch isInB := cluster.RunningOn(task)[0] == hosts[1]; {
		case isInB:
			lostTasks = append(lostTasks, task)
		case lasting > 0:
			lasting--
		default:
			cluster.FinishTask(task)
		}
	}
	if len(lostTasks) != 2 {
		t.Fatalf("tasks in zone b: %v", lostTasks)
	}
	time.Sleep(6 * time.Second) // the done tasks are recorded
	if c.beforeLoss != nil {
		c.beforeLoss(cluster)
		time.Sleep(6 * time.Second)
	}
	loseMachine(t, cluster, hosts[1])
	requireRunning(t, cluster, lostTasks[0])
	time.Sleep(10 * time.Second)
	if isRunning := len(cluster.RunningOn(lostTasks[1])) > 0; isRunning != (c.lastingInA == 0) {
		t.Errorf("two of four tasks may run in a zone, and %d lasted there: the second lost task runs: %v", c.lastingInA, isRunning)
	}
}

// A record of an earlier version counts the done tasks of deleted ranges. It does not keep the array out of
// a zone either.
func TestSpreadArrayOfEarlierVersionUsesZoneOfDoneTasks(t *testing.T) {
	runScenario(t, controllerZones, func(cluster *fake.Cluster) {
		spec := fake.JobSpec("wk-1", jobs.Array, 4, 1)
		spec.Spread = true
		cluster.RegisterJob(spec, 10*time.Second)
		cluster.Store.Put(jobs.JobKey("wk-1"), kvstore.MustEncode(jobs.JobRecord{
			Spec:           spec,
			AcceptedAtMS:   time.Now().UnixMilli(),
			Unclaimed:      []jobs.TaskInterval{{First: 2, Count: 2}},
			CompletedTasks: 2,
			ClaimedPerZone: map[string]int{"a": 2},
		}))
	}, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesWithSpares(t, cluster, "a")
		requireDone(t, cluster, "n1", "wk-1", maxWait)
	})
}
