package clusterstate_test

import (
	"testing"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

func ready(t *testing.T) (d *harness.Harness, m *clusterstate.Machine, r *clusterstate.TaskRange) {
	t.Helper()
	d = harness.New(t, nil)
	d.OfferMachineTypes("m16")
	m = d.AddMachine("i-1", "n0", "m16", false)
	d.Cache.ApplyEvents(nil, 5)
	d.SetOwner("n0", harness.Self, 5)
	d.State.EndHeartbeat(m, true, false)
	d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 3, CPU: 4}, 0, 6)
	return d, m, d.AddTaskRange("wk-1", "n0", 3, 7)
}

func fit(d *harness.Harness) int {
	j := d.State.Job("wk-1")
	return d.State.FreeCapacity().Count(j.Need(), j.Record().Allows)
}

// A task's life, and the counts that follow each step of it.
func TestTheCountsFollowATaskFromThePlanToItsEnd(t *testing.T) {
	d, m, r := ready(t)
	if r.CountTasks(clusterstate.TaskReady) != 3 || fit(d) != 4 {
		t.Fatalf("claimed in our tenure: %d of 3 may start, %d fit", r.CountTasks(clusterstate.TaskReady), fit(d))
	}
	s := d.State.Place(r, 1, m, 9)
	if fit(d) != 3 || !s.Status().IsPlanned() || d.State.PendingCommands(m) != 1 {
		t.Errorf("planned: %d fit, %d orders wait", fit(d), d.State.PendingCommands(m))
	}
	d.State.MarkStartSent(s)
	if same := d.State.UpdateStatus(s, workerapi.StatusRunning, time.Now()); same || d.State.PendingCommands(m) != 0 {
		t.Errorf("shown to run: known before %v, %d orders wait", same, d.State.PendingCommands(m))
	}
	d.State.Stop(s, 5)
	if fit(d) != 4 || d.State.FreeNow(m).CPU != 16 { // it saves nothing: gone with the order
		t.Errorf("stopping: %d fit, %v free now", fit(d), d.State.FreeNow(m))
	}
	d.State.Stop(s, 8)
	if s.Status().GraceS != 5 {
		t.Error("given more time than before")
	}
	d.State.RemoveExited(s)
	d.State.MarkDone(r, 1, s)
	if done, active := r.Job().Progress(); r.TaskState(1) != clusterstate.TaskFinished || r.DoneTasks() != 1 || done != 0 || active != 0 {
		t.Errorf("state %d, done %d, told to users: %d done, %d active", r.TaskState(1), r.DoneTasks(), done, active)
	}
	if !r.RecordWithDone().Done.Has(1) || r.Record().Done.Has(1) {
		t.Error("what is to be recorded as done")
	}
}

// One attempt on two workers must not count twice, and neither of two may vanish from
// the books while it runs.
func TestATaskOnASecondWorkerIsStoppedThere(t *testing.T) {
	d, m, r := ready(t)
	other := d.AddMachine("i-2", "n0", "m16", false)
	d.State.EndHeartbeat(other, true, false)
	d.State.MarkStartSent(d.State.Place(r, 0, m, 9))
	entry := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 7, Status: workerapi.StatusRunning}
	lookup := d.State.LookupTask(other, entry)
	if want := (clusterstate.TaskLookup{JobKnown: true, IsClaimed: true, PlacedElsewhere: true}); lookup != want {
		t.Errorf("found %+v", lookup)
	}
	s := d.State.Adopt(other, entry, false)
	if !s.Status().Stopping || s.Job() != nil || other.AssignmentCount() != 1 || r.Assignment(0).Machine() != m {
		t.Errorf("the second: %+v, the first on %s", s.Status(), r.Assignment(0).Machine().Host())
	}
	d.State.EndJob(r.Job())
	if f := r.Assignment(0); f == nil || !f.Status().Stopping || f.Job() != nil {
		t.Error("a task of a job that is over goes on")
	}
}

// A gang starts as a whole; when one of its tasks is lost, the others have to go before
// the next try.
func TestAGangIsOneTry(t *testing.T) {
	d, m, _ := ready(t)
	j := d.AddJob(jobs.Spec{Ref: "wk-2", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, 8)
	r := d.AddTaskRange("wk-2", "n0", 2, 9)
	d.State.BeginGangAttempt(j, 4)
	first := d.State.Place(r, 0, m, 4)
	if d.State.GangCanStart(j) {
		t.Error("half a gang may start")
	}
	second := d.State.Place(r, 1, m, 4)
	if !d.State.GangCanStart(j) || !d.State.StartGang(j) || d.State.StartGang(j) {
		t.Error("the whole one may not, or begins twice")
	}
	d.State.MarkStartSent(first)
	d.State.MarkStartSent(second)
	d.State.Unplace(first) // lost
	if d.State.GangCanStart(j) {
		t.Error("a broken try goes on")
	}
	d.State.StopFailedGang(j)
	if !second.Status().Stopping {
		t.Error("the rest of a broken try is not stopped")
	}
	d.State.Unplace(second)
	d.State.StopFailedGang(j)
	if attempt, started := j.GangAttempt(); attempt != 0 || started {
		t.Errorf("the next try begins with %d, started %v", attempt, started)
	}
}

// What the holder before knew is booked as it was; a plan of a job that is over by now is not.
func TestWhatIsInheritedStandsAsItWas(t *testing.T) {
	d, m, r := ready(t)
	now, running := time.Now(), clusterstate.AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: workerapi.StatusRunning}
	d.State.RestoreAssignment(m, clusterstate.PreviousAssignment{TaskStatus: workerapi.TaskStatus{Task: "wk-1/0", Attempt: 9}, Progress: running, RanFor: time.Minute}, true, now)
	if s := r.Assignment(0); s == nil || s.Attempt() != 9 || s.Status().Stopping || now.Sub(s.Status().RunningSince) != time.Minute || r.TaskState(0) != clusterstate.TaskPlaced {
		t.Fatalf("%+v", s)
	}
	d.State.RestoreAssignment(m, clusterstate.PreviousAssignment{TaskStatus: workerapi.TaskStatus{Task: "wk-9/0", Attempt: 3}, Progress: running}, false, now)
	if s := m.Assignment("wk-9/0"); s == nil || !s.Status().Stopping || s.Status().StopSent {
		t.Errorf("a task of no known job: %+v", s)
	}
	d.State.RestoreAssignment(m, clusterstate.PreviousAssignment{TaskStatus: workerapi.TaskStatus{Task: "wk-9/1", Attempt: 3}}, false, now)
	if m.Assignment("wk-9/1") != nil {
		t.Error("a plan of no known job takes room")
	}
}
