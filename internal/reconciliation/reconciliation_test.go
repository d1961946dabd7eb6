package reconciliation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
)

// A controller acquired a shard and applied its own write at once, before the watch had delivered a
// worker's record that was slightly older than the write. The controller considered all workers of the
// shard confirmed, and would have started the tasks of the missing worker a second time.
func TestAcquiredShardNotReconciledBeforeCacheReachesItsEpoch(t *testing.T) {
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 5)
	h.SetOwner("n0", harness.Self, 10)
	shard := h.Membership.Shard("n0")
	if !shard.IsLocal() {
		t.Fatal("the shard is not local")
	}
	h.Reconciler.CompleteRecoveries(time.Now())
	if shard.IsReconciled() {
		t.Fatal("reconciled while the cache is behind the shard's record")
	}
	record := workerapi.Record{Shard: "n0", MachineType: "m4", Zone: "a"}
	h.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.WorkerPrefix+"i-1", record, 8)}, 10)
	h.Reconciler.CompleteRecoveries(time.Now())
	if shard.IsReconciled() {
		t.Fatal("reconciled before a recorded worker was confirmed")
	}
	h.State.EndHeartbeat(h.State.Machine("i-1"), true, true)
	h.Reconciler.CompleteRecoveries(time.Now())
	if !shard.IsReconciled() {
		t.Fatal("not reconciled although every worker was confirmed")
	}
}

// One unconfirmed spot machine blocked every task of a shard that had a new owner, even the tasks of jobs
// that may not run on spot machines.
func TestUnconfirmedWorkerBlocksOnlyTasksItCouldRun(t *testing.T) {
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 100)
	h.OfferMachineTypes("m16")
	h.AddMachine("i-1", "n1", "m16", false)
	h.AddMachine("i-2", "n1", "m16", true)
	h.AddMachine("i-3", "n1", "m4", false)
	addJob := func(ref string, cpu float64, spot bool) {
		h.AddJob(jobs.Spec{Ref: ref, Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: cpu, Spot: spot}, 0, 4)
		h.AddTaskRange(ref, "n1", 2, 5)
	}
	addJob("wk-1", 7, false) // cannot be on i-2, a spot machine; may be on i-3 while the type of i-3 is unknown
	addJob("wk-2", 7, true)  // could be on i-2
	addJob("wk-3", 1, false) // could be on i-3
	h.SetOwner("n1", harness.Self, 6)
	h.State.EndHeartbeat(h.State.Machine("i-1"), true, true)
	countReadyTasks := func(ref string) int { return h.State.Job(ref).TaskRange(0).CountTasks(clusterstate.TaskReady) }
	h.Reconciler.CompleteRecoveries(time.Now())
	if countReadyTasks("wk-1") != 0 || countReadyTasks("wk-2") != 0 || countReadyTasks("wk-3") != 0 {
		t.Errorf("a worker of unknown type was ruled out: %d %d %d tasks are ready", countReadyTasks("wk-1"), countReadyTasks("wk-2"), countReadyTasks("wk-3"))
	}
	h.MachineTypes.SetCloudTypes([]cloud.MachineType{{Name: "m4", CPU: 4, MemGB: 16}})
	h.Reconciler.CompleteRecoveries(time.Now())
	if countReadyTasks("wk-1") != 2 || countReadyTasks("wk-2") != 0 || countReadyTasks("wk-3") != 0 {
		t.Errorf("ready tasks: %d %d %d", countReadyTasks("wk-1"), countReadyTasks("wk-2"), countReadyTasks("wk-3"))
	}
	h.State.MarkLost(h.State.Machine("i-2"))
	h.Reconciler.CompleteRecoveries(time.Now())
	if countReadyTasks("wk-2") != 2 || countReadyTasks("wk-3") != 0 {
		t.Errorf("ready tasks after the loss of the spot machine: %d %d", countReadyTasks("wk-2"), countReadyTasks("wk-3"))
	}
}

// A shard was acquired while many new machines started. At any time at least one of them had not sent
// two heartbeats yet, so tasks that had been claimed before the acquisition waited for the last of these
// machines. No previous owner can have sent a command to a worker that registered after the
// acquisition.
func TestMachinesRegisteredSinceAcquisitionAreNotAwaited(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.AddMachine("i-1", "n1", "m16", false)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1}, 0, 4)
	taskRange := h.AddTaskRange("wk-1", "n1", 2, 5)
	h.SetOwner("n1", harness.Self, 6)
	h.WriteRecord(jobs.WorkerPrefix+"i-2", workerapi.Record{Shard: "n1", MachineType: "m16", Zone: "a"}, 8)
	h.SyncCache(8)
	h.Reconciler.CompleteRecoveries(time.Now())
	if h.Membership.Shard("n1").IsReconciled() || taskRange.CountTasks(clusterstate.TaskReady) != 0 {
		t.Fatal("reconciled before the old worker was confirmed")
	}
	h.Sessions.ApplyHeartbeat(h.State.Machine("i-1"), &workerapi.Heartbeat{Host: "i-1", AgentEpoch: 1, Sequence: 1, FencingToken: 6}, time.Now())
	if !h.Membership.Shard("n1").IsReconciled() || taskRange.CountTasks(clusterstate.TaskReady) != 2 {
		t.Error("the shard waits for a worker that registered after its acquisition")
	}
}

// A worker that had been partitioned together with its previous owner reconnected late, got a response
// from this controller, and was partitioned again. The controller considered only the time of the
// shard's acquisition and assumed that the worker was lost, although up to a full lease remained: the
// response had renewed the worker's lease. The worker's tasks were started a second time.
func TestAnsweredWorkerIsLostOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, nil)
		h.OfferMachineTypes("m16")
		machine := h.AddMachine("i-1", "n1", "m16", false)
		h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 4)
		taskRange := h.AddTaskRange("wk-1", "n1", 1, 5)
		h.SetOwner("n1", harness.Self, 6)
		h.SyncCache(6)
		acquiredAt := time.Now()
		time.Sleep(h.Cfg.PreviousOwnerExpiryDelay() - 3*time.Second)
		h.SyncCache(6)
		runningTask := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning}
		if reply := h.Heartbeat("i-1", 1, 5, runningTask); reply.StatusCode != 200 || reply.Response.FencingToken != 6 {
			t.Fatalf("answered %+v", reply)
		}
		leaseExpiresAt := machine.LastHeartbeatAt().Add(config.Seconds(h.Cfg.Cluster.Workers.LeaseSeconds))
		for time.Now().Before(leaseExpiresAt) {
			h.Reconciler.CompleteRecoveries(time.Now())
			h.Machines.Tick(time.Now())
			if machine.IsLost() || taskRange.CountTasks(clusterstate.TaskReady) > 0 {
				t.Fatalf("%v after the acquisition: the worker is lost with %v of its lease left", time.Since(acquiredAt), time.Until(leaseExpiresAt))
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		h.Reconciler.CompleteRecoveries(time.Now())
		if taskRange.CountTasks(clusterstate.TaskReady) != 1 {
			t.Error("the location of the worker's task is still unknown after the worker's lease has expired")
		}
	})
}
