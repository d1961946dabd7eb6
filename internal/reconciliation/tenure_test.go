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

// A controller that took a share over applied its own write before the watch
// had told it of a worker recorded just before: it counted the share as fully
// heard, and would have started that worker's tasks a second time.
func TestATakenShareIsNotSettledBeforeTheWatchHasPassedIt(t *testing.T) {
	d := harness.New(t, nil)
	d.Cache.ApplyEvents(nil, 5)
	d.SetOwner("n0", harness.Self, 10)
	shard := d.Membership.Shard("n0")
	if !shard.IsLocal() {
		t.Fatal("the share is not ours")
	}
	d.Reconciler.Check(time.Now())
	if shard.IsReconciled() {
		t.Fatal("settled while the watch is behind the share's record")
	}
	rec := workerapi.Record{Shard: "n0", MachineType: "m4", Zone: "a"}
	d.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.WorkerPrefix+"i-1", rec, 8)}, 10)
	d.Reconciler.Check(time.Now())
	if shard.IsReconciled() {
		t.Fatal("settled before a recorded worker was heard")
	}
	d.State.EndHeartbeat(d.State.Machine("i-1"), true, true)
	d.Reconciler.Check(time.Now())
	if !shard.IsReconciled() {
		t.Fatal("not settled although every worker was heard")
	}
}

// One silent cheap machine held back every task of a share that changed hands,
// also of jobs that may not run on it.
func TestASilentWorkerHoldsBackOnlyWhatItCouldRun(t *testing.T) {
	d := harness.New(t, nil)
	d.Cache.ApplyEvents(nil, 100)
	d.OfferMachineTypes("m16")
	d.AddMachine("i-1", "n1", "m16", false)
	d.AddMachine("i-2", "n1", "m16", true)
	d.AddMachine("i-3", "n1", "m4", false)
	job := func(ref string, cpu float64, spot bool) {
		d.AddJob(jobs.Spec{Ref: ref, Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: cpu, Spot: spot}, 0, 4)
		d.AddTaskRange(ref, "n1", 2, 5)
	}
	job("wk-1", 7, false) // could not be on i-2, which is cheap; on i-3 perhaps: its type is not known
	job("wk-2", 7, true)  // could be on i-2
	job("wk-3", 1, false) // could be on i-3
	d.SetOwner("n1", harness.Self, 6)
	d.State.EndHeartbeat(d.State.Machine("i-1"), true, true)
	open := func(ref string) int { return d.State.Job(ref).TaskRange(0).CountTasks(clusterstate.TaskReady) }
	d.Reconciler.Check(time.Now())
	if open("wk-1") != 0 || open("wk-2") != 0 || open("wk-3") != 0 {
		t.Errorf("a worker of a type not known was ruled out: %d %d %d", open("wk-1"), open("wk-2"), open("wk-3"))
	}
	d.MachineTypes.SetFromCloud([]cloud.MachineType{{Name: "m4", CPU: 4, MemGB: 16}})
	d.Reconciler.Check(time.Now())
	if open("wk-1") != 2 || open("wk-2") != 0 || open("wk-3") != 0 {
		t.Errorf("may start: %d %d %d", open("wk-1"), open("wk-2"), open("wk-3"))
	}
	d.State.MarkLost(d.State.Machine("i-2"))
	d.Reconciler.Check(time.Now())
	if open("wk-2") != 2 || open("wk-3") != 0 {
		t.Errorf("may start after the loss: %d %d", open("wk-2"), open("wk-3"))
	}
}

// A share was taken while a wave of new machines came up: there was always one that had not
// reported twice, and what had been claimed before waited for the last of them. No earlier
// holder can have ordered anything to a worker that was enrolled since.
func TestMachinesEnrolledSinceTheTakingAreNotWaitedFor(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	d.AddMachine("i-1", "n1", "m16", false)
	d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1}, 0, 4)
	taskRange := d.AddTaskRange("wk-1", "n1", 2, 5)
	d.SetOwner("n1", harness.Self, 6)
	d.WriteRecord(jobs.WorkerPrefix+"i-2", workerapi.Record{Shard: "n1", MachineType: "m16", Zone: "a"}, 8)
	d.SyncCache(8)
	d.Reconciler.Check(time.Now())
	if d.Membership.Shard("n1").IsReconciled() || taskRange.CountTasks(clusterstate.TaskReady) != 0 {
		t.Fatal("settled before the old worker was heard")
	}
	d.Sessions.ApplyHeartbeat(d.State.Machine("i-1"), &workerapi.Heartbeat{Host: "i-1", AgentEpoch: 1, Sequence: 1, FencingToken: 6}, time.Now())
	if !d.Membership.Shard("n1").IsReconciled() || taskRange.CountTasks(clusterstate.TaskReady) != 2 {
		t.Error("it waits for a worker that is younger than the taking")
	}
}

// A worker came over late from a holder that was cut off with it, was answered here, and was
// cut off itself. It was taken for gone by the time of the taking alone, with up to a lease left
// of our own answer, and its tasks were started a second time.
func TestAWorkerAnsweredHereIsGoneOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.OfferMachineTypes("m16")
		machine := d.AddMachine("i-1", "n1", "m16", false)
		d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 4)
		taskRange := d.AddTaskRange("wk-1", "n1", 1, 5)
		d.SetOwner("n1", harness.Self, 6)
		d.SyncCache(6)
		taken := time.Now()
		time.Sleep(d.Cfg.PreviousOwnerExpiryDelay() - 3*time.Second)
		d.SyncCache(6)
		there := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning}
		if v := d.Heartbeat("i-1", 1, 5, there); v.StatusCode != 200 || v.Response.FencingToken != 6 {
			t.Fatalf("answered %+v", v)
		}
		lease := machine.LastHeartbeatAt().Add(config.Seconds(d.Cfg.Cluster.Workers.LeaseS))
		for time.Now().Before(lease) {
			d.Reconciler.Check(time.Now())
			d.Machines.Tick(time.Now())
			if machine.IsLost() || taskRange.CountTasks(clusterstate.TaskReady) > 0 {
				t.Fatalf("%v after the taking: taken for gone with %v of its lease left", time.Since(taken), time.Until(lease))
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		d.Reconciler.Check(time.Now())
		if taskRange.CountTasks(clusterstate.TaskReady) != 1 {
			t.Error("its task is still waited for")
		}
	})
}
