package clusterstate_test

import (
	"maps"
	"testing"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// claimedArray is a test fixture: a harness with one machine of 16 CPUs, and an array of three tasks
// with 4 CPUs each that is claimed by a shard owned here.
type claimedArray struct {
	*harness.Harness
	machine   *clusterstate.Machine
	taskRange *clusterstate.TaskRange
}

func newClaimedArray(t *testing.T) *claimedArray {
	t.Helper()
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	machine := h.AddMachine("i-1", "n0", "m16", false)
	h.Cache.ApplyEvents(nil, 5)
	h.SetOwner("n0", harness.Self, 5)
	h.State.EndHeartbeat(machine, true, false)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 3, CPU: 4}, 0, 6)
	return &claimedArray{Harness: h, machine: machine, taskRange: h.AddTaskRange("wk-1", "n0", 3, 7)}
}

// fitCount returns how many tasks of the array fit according to the table of free capacity.
func (c *claimedArray) fitCount() int {
	job := c.State.Job("wk-1")
	return c.State.FreeCapacity().Count(job.Need(), job.Record().Allows)
}

// The free capacity is up to date after each step of a task, from being planned to being done.
func TestFreeCapacityDuringTaskLifecycle(t *testing.T) {
	c := newClaimedArray(t)
	state, machine, taskRange := c.State, c.machine, c.taskRange
	if taskRange.CountTasks(clusterstate.TaskReady) != 3 || c.fitCount() != 4 {
		t.Fatalf("claimed in the current epoch: %d of 3 are ready, %d fit", taskRange.CountTasks(clusterstate.TaskReady), c.fitCount())
	}
	assignment := state.Place(taskRange, 1, machine, 9)
	if c.fitCount() != 3 || !assignment.Status().IsPlanned() || state.PendingCommandCount(machine) != 1 {
		t.Errorf("planned: %d fit, %d pending commands", c.fitCount(), state.PendingCommandCount(machine))
	}
	state.MarkStartSent(assignment)
	if isUnchanged := state.UpdateStatus(assignment, workerapi.StatusRunning, time.Now()); isUnchanged || state.PendingCommandCount(machine) != 0 {
		t.Errorf("running: unchanged %v, %d pending commands", isUnchanged, state.PendingCommandCount(machine))
	}
	state.Stop(assignment, 5)
	if c.fitCount() != 4 || state.FreeNow(machine).CPU != 16 { // without checkpoints, the task stops as soon as the command arrives
		t.Errorf("stopping: %d fit, %v free now", c.fitCount(), state.FreeNow(machine))
	}
	state.Stop(assignment, 8)
	if assignment.Status().GraceS != 5 {
		t.Error("a stopping task was given more time than before")
	}
	state.RemoveExited(assignment)
	state.MarkDone(taskRange, 1, assignment)
	done, active := taskRange.Job().Progress()
	if taskRange.TaskState(1) != clusterstate.TaskFinished || taskRange.DoneTaskCount() != 1 || done != 0 || active != 0 {
		t.Errorf("state %v, done %d, progress: %d done, %d active", taskRange.TaskState(1), taskRange.DoneTaskCount(), done, active)
	}
	if !taskRange.RecordWithDone().Done.Has(1) || taskRange.Record().Done.Has(1) {
		t.Error("the record to be written does not list the task as done, or the current record does")
	}
}

// A task that is on two workers must not count twice, and neither of its two assignments may be removed from the
// state while the task runs on the assigned worker.
func TestTaskOnSecondWorkerIsStopped(t *testing.T) {
	c := newClaimedArray(t)
	state, taskRange := c.State, c.taskRange
	other := c.AddMachine("i-2", "n0", "m16", false)
	state.EndHeartbeat(other, true, false)
	state.MarkStartSent(state.Place(taskRange, 0, c.machine, 9))
	reportedTask := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 7, Status: workerapi.StatusRunning}
	lookup := state.LookupTask(other, reportedTask)
	if want := (clusterstate.TaskLookup{JobKnown: true, IsClaimed: true, PlacedElsewhere: true}); lookup != want {
		t.Errorf("lookup: %+v", lookup)
	}
	second := state.AdoptTask(other, reportedTask, false)
	if !second.Status().Stopping || second.Job() != nil || other.AssignmentCount() != 1 || taskRange.Assignment(0).Machine() != c.machine {
		t.Errorf("second assignment: %+v; first assignment is on %s", second.Status(), taskRange.Assignment(0).Machine().Host())
	}
	state.EndJob(taskRange.Job())
	if first := taskRange.Assignment(0); first == nil || !first.Status().Stopping || first.Job() != nil {
		t.Error("a task of an ended job is not stopped")
	}
}

// A gang's tasks are started only if all of them are placed. When one of its tasks is lost, the other
// tasks have to be stopped before the next attempt.
func TestGangRunsUnderOneAttempt(t *testing.T) {
	c := newClaimedArray(t)
	state, machine := c.State, c.machine
	job := c.AddJob(jobs.Spec{Ref: "wk-2", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, 8)
	taskRange := c.AddTaskRange("wk-2", "n0", 2, 9)
	state.BeginGangAttempt(job, 4)
	first := state.Place(taskRange, 0, machine, 4)
	if state.GangCanStart(job) {
		t.Error("the gang may start while only half of its tasks are placed")
	}
	second := state.Place(taskRange, 1, machine, 4)
	if !state.GangCanStart(job) || !state.StartGang(job) || state.StartGang(job) {
		t.Error("the gang may not start although all its tasks are placed, or its first start is reported twice")
	}
	state.MarkStartSent(first)
	state.MarkStartSent(second)
	state.Unplace(first) // as if its machine were lost
	if state.GangCanStart(job) {
		t.Error("tasks of a failed attempt may be started")
	}
	state.StopFailedGang(job)
	if !second.Status().Stopping {
		t.Error("the remaining task of a failed attempt is not stopped")
	}
	state.Unplace(second)
	state.StopFailedGang(job)
	if attempt, started := job.GangAttempt(); attempt != 0 || started {
		t.Errorf("the failed attempt was not reset: attempt %d, started %v", attempt, started)
	}
}

// An assignment of the shard's previous owner is restored unchanged, unless its job is not known: then
// the task is stopped if it runs, and the assignment is ignored if it was only planned.
func TestRestoreAssignmentStopsTasksOfUnknownJobs(t *testing.T) {
	now := time.Now()
	runningStatus := clusterstate.AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: workerapi.StatusRunning}
	newPreviousAssignment := func(task string, attempt uint64, progress clusterstate.AssignmentStatus) clusterstate.PreviousAssignment {
		return clusterstate.PreviousAssignment{TaskStatus: workerapi.TaskStatus{Task: task, Attempt: attempt}, Progress: progress}
	}
	t.Run("running task", func(t *testing.T) {
		c := newClaimedArray(t)
		assignment := newPreviousAssignment("wk-1/0", 9, runningStatus)
		assignment.RanFor = time.Minute
		c.State.RestoreAssignment(c.machine, assignment, true, now)
		restored := c.taskRange.Assignment(0)
		if restored == nil || restored.Attempt() != 9 || restored.Status().Stopping ||
			now.Sub(restored.Status().RunningSince) != time.Minute || c.taskRange.TaskState(0) != clusterstate.TaskPlaced {
			t.Fatalf("%+v", restored)
		}
	})
	t.Run("running task of an unknown job", func(t *testing.T) {
		c := newClaimedArray(t)
		c.State.RestoreAssignment(c.machine, newPreviousAssignment("wk-9/0", 3, runningStatus), false, now)
		if restored := c.machine.Assignment("wk-9/0"); restored == nil || !restored.Status().Stopping || restored.Status().StopSent {
			t.Errorf("%+v", restored)
		}
	})
	t.Run("planned task of an unknown job", func(t *testing.T) {
		c := newClaimedArray(t)
		c.State.RestoreAssignment(c.machine, newPreviousAssignment("wk-9/1", 3, clusterstate.AssignmentStatus{}), false, now)
		if c.machine.Assignment("wk-9/1") != nil {
			t.Error("the planned task was restored and takes resources")
		}
	})
}

// The tasks of a spread job that count for a zone are those that are claimed for it and not recorded as done.
// If a claimed range is not known, the counts of the job's record are used, which are never too low.
func TestTasksByZone(t *testing.T) {
	h := harness.New(t, nil)
	record := jobs.JobRecord{
		Spec:           jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 10, CPU: 1, Spread: true},
		CompletedTasks: 3,
		Unclaimed:      []jobs.TaskInterval{{First: 8, Count: 2}},
		ClaimedPerZone: map[string]int{"a": 5, "b": 3}, // of an earlier version: with the completed tasks
	}
	h.WriteRecord(jobs.JobKey("wk-1"), record, 6)
	h.WriteRecord(jobs.RangeKey("wk-1", 3), jobs.RangeRecord{Shard: "n0", Count: 2, Zone: "a", Done: jobs.Bitmap{}.With(1)}, 6)
	job := h.State.Job("wk-1")
	if counts := job.TasksByZone(); !maps.Equal(counts, record.ClaimedPerZone) {
		t.Errorf("with an unknown range: %v", counts)
	}
	h.WriteRecord(jobs.RangeKey("wk-1", 5), jobs.RangeRecord{Shard: "n1", Count: 3, Zone: "b"}, 6)
	if counts := job.TasksByZone(); !maps.Equal(counts, map[string]int{"a": 1, "b": 3}) {
		t.Errorf("tasks by zone: %v", counts)
	}
}
