package workersession_test

import (
	"testing"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// A report that a cut had held up was taken for news by the share's next
// holder: it booked the task where it had been, and when the worker's next
// report did not list it, took it for nowhere, while the holder in between had
// started it on another worker (ran_twice on five drawn days of sinai).
func TestAReportFromBeforeTheHandoverIsNoEvidence(t *testing.T) {
	d := harness.New(t, nil)
	d.Cache.ApplyEvents(nil, 5)
	d.AddMachine("i-1", "n0", "m4", false)
	d.AddMachine("i-2", "n0", "m4", false)
	d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 4)
	taskRange := d.AddTaskRange("wk-1", "n0", 1, 4)
	d.SetOwner("n0", harness.Self, 10)
	d.SyncCache(10)
	there := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning}
	if reply := d.Heartbeat("i-1", 5, 6, there); reply.StatusCode != 200 || reply.Response.FencingToken != 10 || len(reply.Response.Commands) > 0 {
		t.Fatalf("the old report was answered %+v", reply)
	}
	d.Heartbeat("i-1", 6, 10)
	if st := taskRange.TaskState(0); st != clusterstate.TaskUnknown {
		t.Fatalf("the task counts as state %d while a worker of the share is unheard", st)
	}
	d.Heartbeat("i-2", 9, 10, there)
	if st := taskRange.TaskState(0); st != clusterstate.TaskPlaced {
		t.Errorf("the task is in state %d, not booked where it runs", st)
	}
	if reply := d.Heartbeat("i-2", 8, 10); reply.StatusCode != 503 || taskRange.TaskState(0) != clusterstate.TaskPlaced {
		t.Errorf("a report that came late was answered %+v", reply)
	}
}

// A new holder heard its workers before the watch had told it of a range that
// the holder before had claimed last; the range's task ran on, the worker counted
// as heard without it, and it was started a second time.
func TestNoReportCountsBeforeTheRangesOfTheShareAreKnown(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	d.AddMachine("i-1", "n1", "m16", false)
	d.SyncCache(5)
	d.SetOwner("n1", harness.Self, 10) // our own write
	running := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 4, Status: workerapi.StatusRunning}
	d.Heartbeat("i-1", 1, 10, running)
	if machine := d.State.Machine("i-1"); machine.HasReported() || machine.AssignmentCount() > 0 {
		t.Error("heard before the ranges are known")
	}
	job := jobs.JobRecord{Spec: jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 7}}
	d.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.JobKey("wk-1"), job, 8),
		harness.Event(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n1", Count: 2}, 8)}, 10)
	taskRange := d.State.Job("wk-1").TaskRange(0)
	if taskRange.CountTasks(clusterstate.TaskUnknown) != 2 {
		t.Error("settled by a report that came too early")
	}
	d.Heartbeat("i-1", 2, 10, running)
	if assignment := taskRange.Assignment(0); assignment == nil || assignment.Attempt() != 4 || assignment.Status().Stopping || taskRange.CountTasks(clusterstate.TaskUnknown) != 0 {
		t.Errorf("the running task after the next report: %+v", assignment)
	}
}

// What a recall notice leaves time for is saved; what was only planned is freed at once.
func TestARecalledMachineSavesWhatItCan(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	machine := d.AddMachine("i-1", "n0", "m16", true)
	d.Cache.ApplyEvents(nil, 5)
	d.SetOwner("n0", harness.Self, 5)
	d.SyncCache(5)
	d.Heartbeat("i-1", 1, 5)
	d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1, CheckpointIntervalSeconds: 20, CheckpointSaveSeconds: 3}, 0, 6)
	taskRange := d.AddTaskRange("wk-1", "n0", 2, 7)
	d.State.MarkStartSent(d.State.Place(taskRange, 0, machine, 9))
	d.State.Place(taskRange, 1, machine, 9)
	d.Sessions.ApplyHeartbeat(machine, &workerapi.Heartbeat{Host: "i-1", AgentEpoch: 1, Sequence: 2, PreemptionInS: func() *float64 { s := 8.0; return &s }(),
		Tasks: []workerapi.TaskStatus{{Task: "wk-1/0", Attempt: 9, Status: workerapi.StatusRunning}}}, machine.LastHeartbeatAt())
	if assignment := taskRange.Assignment(0); assignment == nil || !assignment.Status().Stopping || assignment.Status().GraceS != 8 {
		t.Errorf("the running task: %+v", assignment)
	}
	if taskRange.TaskState(1) != clusterstate.TaskReady || d.State.IsUsable(machine) {
		t.Errorf("the planned one is in state %d, the machine usable: %v", taskRange.TaskState(1), d.State.IsUsable(machine))
	}
}

// On the nights on which troubles meet a report that came late and was taken for news would
// have a task run twice.
func TestAnOldReportTakenForNewsIsFound(t *testing.T) {
	defer workersession.AcceptStaleHeartbeats()()
	if !faultinjection.FindsViolation(t, 60, "ran_twice") {
		t.Error("60 nights of the broken variant kept the rule")
	}
}
