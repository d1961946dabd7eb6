package reconciliation_test

import (
	"encoding/json"
	"testing"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// gang records a gang of two, claimed by a share with a mark.
func gang(d *harness.Harness, ref, share string, stamp uint64, on ...string) *clusterstate.TaskRange {
	d.AddJob(jobs.Spec{Ref: ref, Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, stamp)
	d.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: share, Count: 2, GangWorkers: on}, stamp)
	return d.State.Job(ref).TaskRange(0)
}

// One kind of machine means that every silent one could run every task: nothing that was
// claimed started before all were heard or their time was over. A gang's mark says where
// it can be.
func TestASilentWorkerHoldsBackOnlyTheGangsMarkedForIt(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	d.SetOwner("n1", harness.OtherNode, 2)
	for _, h := range []string{"i-1", "i-2", "i-3"} {
		d.AddMachine(h, "n1", "m16", false)
	}
	here, there, anywhere := gang(d, "wk-1", "n1", 4, "i-1", "i-2"), gang(d, "wk-2", "n1", 5, "i-2", "i-3"), gang(d, "wk-3", "n1", 6)
	d.Cache.ApplyEvents(nil, 9)
	d.WriteRecord(jobs.ShardPrefix+"n1", json.RawMessage(membership.EncodeShard(harness.Self, harness.Incarnation, d.Membership.Shard("n1"), time.Now())), 10)
	d.SyncCache(10)
	d.Reconciler.Check(time.Now())
	if n := here.CountTasks(clusterstate.TaskReady); n != 0 {
		t.Fatalf("%d tasks are ready before anybody was heard", n)
	}
	for _, h := range []string{"i-1", "i-2"} {
		d.Sessions.ApplyHeartbeat(d.State.Machine(h), &workerapi.Heartbeat{Host: h, AgentEpoch: 1, Sequence: 1, FencingToken: 10}, time.Now())
	}
	d.Reconciler.Check(time.Now())
	if here.CountTasks(clusterstate.TaskReady) != 2 || there.CountTasks(clusterstate.TaskUnknown) != 2 || anywhere.CountTasks(clusterstate.TaskUnknown) != 2 {
		t.Errorf("ready %d of the gang on those heard; unknown %d that may be on the silent one, %d without a mark",
			here.CountTasks(clusterstate.TaskReady), there.CountTasks(clusterstate.TaskUnknown), anywhere.CountTasks(clusterstate.TaskUnknown))
	}
	v := d.Reconciler.Views(time.Now())
	if len(v) != 1 || v[0].Stage != "squaring reports" || v[0].UnconfirmedWorkers != 1 || v[0].UnconfirmedSample[0] != "i-3" || v[0].UnaccountedTasks != 4 {
		t.Errorf("the view says %+v", v)
	}
}

// A controller of an earlier version keeps to no marks: what it held is not to be trusted.
func TestMarksAreNotTrustedAfterAHolderThatKnewOfNone(t *testing.T) {
	d := harness.New(t, nil)
	d.SetOwner("n1", harness.OtherNode, 2)
	taskRange := gang(d, "wk-1", "n1", 4, "i-1")
	if taskRange.MayBeOn("i-2") {
		t.Error("a mark in force is not kept to")
	}
	d.WriteRecord(jobs.ShardPrefix+"n1", map[string]any{"holder": "n2", "boot": 3}, 6)
	if !taskRange.MayBeOn("i-2") {
		t.Error("trusted under a holder that knows of no marks")
	}
	d.WriteRecord(jobs.ShardPrefix+"n1", json.RawMessage(membership.EncodeShard(harness.Self, harness.Incarnation, d.Membership.Shard("n1"), time.Now())), 8)
	late := gang(d, "wk-2", "n1", 9, "i-1")
	if !taskRange.MayBeOn("i-2") || late.MayBeOn("i-2") {
		t.Errorf("of before %v, of after %v", taskRange.MayBeOn("i-2"), late.MayBeOn("i-2"))
	}
}

// A gang that is planned anew is ordered only once its mark is durable; a write without an
// answer leaves open which mark holds until the record has another stamp.
func TestAGangPlannedElsewhereWaitsForItsMark(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	d.SetOwner("n0", harness.Self, 2)
	a, b, c := d.AddMachine("i-1", "n0", "m16", false), d.AddMachine("i-2", "n0", "m16", false), d.AddMachine("i-3", "n0", "m16", false)
	for _, machine := range []*clusterstate.Machine{a, b, c} {
		d.State.EndHeartbeat(machine, true, false)
	}
	d.SyncCache(3)
	taskRange := gang(d, "wk-1", "n0", 4, "i-1", "i-2")
	job := taskRange.Job()
	plan := func(ms ...*clusterstate.Machine) {
		for i := range ms {
			if s := taskRange.Assignment(i); s != nil {
				d.State.Unplace(s)
			}
		}
		d.State.BeginGangAttempt(job, 9)
		for i, machine := range ms {
			d.State.Place(taskRange, i, machine, 9)
		}
	}
	plan(a, b)
	if !d.State.GangCanStart(job) {
		t.Fatal("planned where it is marked, and not ready")
	}
	plan(a, c)
	if d.State.GangCanStart(job) {
		t.Fatal("ready on a worker that no mark names")
	}
	d.Claims.RecordGangWorkers(taskRange) // the desk's state service does not answer
	if plan(a, b); d.State.GangCanStart(job) {
		t.Error("ready while its mark is being written")
	}
	d.RunNext()
	if d.State.GangCanStart(job) {
		t.Error("ready although it is not known which mark holds")
	}
	d.WriteRecord(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n0", Count: 2, GangWorkers: []string{"i-1", "i-3"}}, 11)
	if d.State.GangCanStart(job) {
		t.Error("the write was applied after all, and it is ready elsewhere")
	}
	if plan(a, c); !d.State.GangCanStart(job) {
		t.Error("not ready where the mark says")
	}
}
