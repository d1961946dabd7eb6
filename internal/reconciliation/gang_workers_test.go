package reconciliation_test

import (
	"testing"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// addGang adds the records of a gang of two tasks that a shard has claimed. The record of the claim
// names the given workers; if there are none, the gang's tasks may be on any worker.
func addGang(h *harness.Harness, ref, shard string, revision uint64, workers ...string) *clusterstate.TaskRange {
	h.AddJob(jobs.Spec{Ref: ref, Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, revision)
	h.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: shard, Count: 2, GangWorkers: workers}, revision)
	return h.State.Job(ref).TaskRange(0)
}

// If all machines are of one type, every unconfirmed worker could run every task, so no claimed task
// may start before all workers are confirmed or their leases have expired. Gangs whose record names
// workers are an exception: they wait only for these workers.
func TestUnconfirmedWorkerBlocksOnlyGangsRecordedForIt(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.SetOwner("n1", harness.OtherNode, 2)
	for _, host := range []string{"i-1", "i-2", "i-3"} {
		h.AddMachine(host, "n1", "m16", false)
	}
	confirmedGang := addGang(h, "wk-1", "n1", 4, "i-1", "i-2")
	unconfirmedGang := addGang(h, "wk-2", "n1", 5, "i-2", "i-3")
	unrestrictedGang := addGang(h, "wk-3", "n1", 6)
	h.Cache.ApplyEvents(nil, 9)
	h.WriteRecord(jobs.ShardPrefix+"n1", membership.EncodeShard(harness.Self, harness.Incarnation, h.Membership.Shard("n1"), time.Now()), 10)
	h.SyncCache(10)
	h.Reconciler.CompleteRecoveries(time.Now())
	if n := confirmedGang.CountTasks(clusterstate.TaskReady); n != 0 {
		t.Fatalf("%d tasks are ready before any worker is confirmed", n)
	}
	for _, host := range []string{"i-1", "i-2"} {
		h.Sessions.ApplyHeartbeat(h.State.Machine(host), &workerapi.Heartbeat{Host: host, AgentEpoch: 1, Sequence: 1, FencingToken: 10}, time.Now())
	}
	h.Reconciler.CompleteRecoveries(time.Now())
	if confirmedGang.CountTasks(clusterstate.TaskReady) != 2 || unconfirmedGang.CountTasks(clusterstate.TaskUnknown) != 2 || unrestrictedGang.CountTasks(clusterstate.TaskUnknown) != 2 {
		t.Errorf("ready: %d tasks of the gang on confirmed workers; unknown: %d tasks of the gang recorded for the unconfirmed worker, %d tasks of the gang without recorded workers",
			confirmedGang.CountTasks(clusterstate.TaskReady), unconfirmedGang.CountTasks(clusterstate.TaskUnknown), unrestrictedGang.CountTasks(clusterstate.TaskUnknown))
	}
	views := h.Reconciler.Views(time.Now())
	if len(views) != 1 || views[0].Stage != "squaring reports" || views[0].UnconfirmedWorkers != 1 || views[0].UnconfirmedSample[0] != "i-3" || views[0].UnaccountedTasks != 4 {
		t.Errorf("views: %+v", views)
	}
}

// A controller of an earlier version may start a gang on workers that the gang's record does not name. So
// the recorded workers are not trusted for ranges that such a controller owned.
func TestGangWorkersNotTrustedAfterOwnerOfEarlierVersion(t *testing.T) {
	h := harness.New(t, nil)
	h.SetOwner("n1", harness.OtherNode, 2)
	taskRange := addGang(h, "wk-1", "n1", 4, "i-1")
	if taskRange.MayBeOn("i-2") {
		t.Error("the recorded workers are ignored")
	}
	h.WriteRecord(jobs.ShardPrefix+"n1", map[string]any{"holder": "n2", "boot": 3}, 6)
	if !taskRange.MayBeOn("i-2") {
		t.Error("the recorded workers are trusted under an owner that records no gang workers")
	}
	h.WriteRecord(jobs.ShardPrefix+"n1", membership.EncodeShard(harness.Self, harness.Incarnation, h.Membership.Shard("n1"), time.Now()), 8)
	laterRange := addGang(h, "wk-2", "n1", 9, "i-1")
	if !taskRange.MayBeOn("i-2") || laterRange.MayBeOn("i-2") {
		t.Errorf("may be on another worker than the recorded one: the gang claimed before that owner: %v, the gang claimed after it: %v", taskRange.MayBeOn("i-2"), laterRange.MayBeOn("i-2"))
	}
}

// A gang that is planned again, on other workers, starts only once these workers are recorded. After a
// write without an answer it is unknown which workers are recorded, until the record has a new
// revision.
func TestReplannedGangWaitsForRecordedWorkers(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.SetOwner("n0", harness.Self, 2)
	a, b, c := h.AddMachine("i-1", "n0", "m16", false), h.AddMachine("i-2", "n0", "m16", false), h.AddMachine("i-3", "n0", "m16", false)
	for _, machine := range []*clusterstate.Machine{a, b, c} {
		h.State.EndHeartbeat(machine, true, false)
	}
	h.SyncCache(3)
	taskRange := addGang(h, "wk-1", "n0", 4, "i-1", "i-2")
	job := taskRange.Job()
	plan := func(machines ...*clusterstate.Machine) {
		for i := range machines {
			if assignment := taskRange.Assignment(i); assignment != nil {
				h.State.Unplace(assignment)
			}
		}
		h.State.BeginGangAttempt(job, 9)
		for i, machine := range machines {
			h.State.Place(taskRange, i, machine, 9)
		}
	}
	plan(a, b)
	if !h.State.GangCanStart(job) {
		t.Fatal("the gang cannot start although it is planned on the recorded workers")
	}
	plan(a, c)
	if h.State.GangCanStart(job) {
		t.Fatal("the gang can start on a worker that is not recorded")
	}
	h.Claims.RecordGangWorkers(taskRange) // the harness's key-value store does not answer
	if plan(a, b); h.State.GangCanStart(job) {
		t.Error("the gang can start while its workers are being written")
	}
	h.RunNext()
	if h.State.GangCanStart(job) {
		t.Error("the gang can start although it is not known which workers are recorded")
	}
	h.WriteRecord(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n0", Count: 2, GangWorkers: []string{"i-1", "i-3"}}, 11)
	if h.State.GangCanStart(job) {
		t.Error("the gang can start on workers that the record does not name any more")
	}
	if plan(a, c); !h.State.GangCanStart(job) {
		t.Error("the gang cannot start on the recorded workers")
	}
}
