package entity

import (
	"fmt"
	"slices"
	"testing"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

func newTestJob(kind jobs.Kind, tasks int) *Job {
	job := NewJob("wk-1")
	record := &jobs.JobRecord{Spec: jobs.Spec{Ref: "wk-1", Kind: kind, Urgency: "normal", Tasks: tasks, CPU: 4, MemGB: 8}}
	SetSpec(job, record, job.ownDeadlines, false, false)
	return job
}

// newTestRange returns a range of ready tasks, as if the shard were owned here.
func newTestRange(job *Job, first, count int) *TaskRange {
	r := NewTaskRange(job, first, jobs.RangeRecord{Shard: "n0", Count: count}, 5)
	ResetTasks(r, true, TaskReady)
	AddTaskRange(r)
	return r
}

// placeTask assigns a task of a range to a machine.
func placeTask(r *TaskRange, index int, machine *Machine, attempt uint64) *Assignment {
	a := NewAssignment(machine, jobs.TaskName(r.job.ref, r.first+index), attempt, AssignmentStatus{})
	SetNeedFromJob(a, r.job)
	AddAssignment(a)
	AssignTask(a, r, index)
	return a
}

// checkTaskStates returns the states of a range's tasks, and fails the test if the range's counts by
// state are wrong.
func checkTaskStates(t *testing.T, r *TaskRange) []TaskState {
	t.Helper()
	var states []TaskState
	counts := [taskStateCount]int{}
	for i := range r.Len() {
		states = append(states, r.TaskState(i))
		counts[r.TaskState(i)]++
	}
	if counts != r.taskCounts {
		t.Errorf("counts by state %v are wrong for states %v", r.taskCounts, states)
	}
	return states
}

func TestResetTasksRestoresRecordedDoneTasks(t *testing.T) {
	record := jobs.RangeRecord{Shard: "n0", Count: 3}
	record.Done = record.Done.With(1)
	r := NewTaskRange(newTestJob(jobs.Array, 3), 0, record, 5)
	ResetTasks(r, true, TaskUnknown)
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskUnknown, TaskFinished, TaskUnknown}) || r.DoneTaskCount() != 1 {
		t.Errorf("after a reset as owned: states %v, %d done", got, r.DoneTaskCount())
	}
	r.MarkUnknownReady()
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskReady, TaskFinished, TaskReady}) {
		t.Errorf("after unknown tasks were marked ready: states %v", got)
	}
	ResetTasks(r, false, TaskUnknown)
	if r.IsOwned() || r.Len() != 0 || r.DoneTaskCount() != 1 {
		t.Errorf("after a reset as not owned: %d tasks, %d done", r.Len(), r.DoneTaskCount())
	}
}

func TestSplitMovesTasksAfterUnclaimed(t *testing.T) {
	job := newTestJob(jobs.Array, 6)
	r, machine := newTestRange(job, 10, 6), NewMachine("i-1")
	a := placeTask(r, 4, machine, 7)
	MarkTaskDone(r, 5)
	r.BeginUnclaim(1, 2)
	for _, test := range []struct {
		name     string
		first    int
		count    int
		revision uint64
		want     bool
	}{
		{"record of the tasks before the unclaimed ones", 10, 1, 6, true},
		{"record of the tasks after the unclaimed ones", 13, 3, 6, true},
		{"another length", 10, 2, 6, false},
		{"another first task", 12, 4, 6, false},
		{"not newer than the range", 10, 1, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := jobs.RangeRecord{Shard: "n0", Count: test.count}
			if got := IsSplitBy(r, test.first, record, test.revision); got != test.want {
				t.Errorf("the record shows the split: %v, want %v", got, test.want)
			}
		})
	}
	Split(r)
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskReady}) || r.record.Count != 1 {
		t.Errorf("range before the unclaimed tasks: states %v, record of %d tasks", got, r.record.Count)
	}
	tail := job.TaskRange(13)
	if got := checkTaskStates(t, tail); !slices.Equal(got, []TaskState{TaskReady, TaskPlaced, TaskFinished}) {
		t.Errorf("range after the unclaimed tasks: states %v", got)
	}
	if tail.Assignment(1) != a || a.taskRange != tail || a.index != 1 {
		t.Error("the assignment was not moved with its task")
	}
	if r.DoneTaskCount() != 0 || tail.DoneTaskCount() != 1 || !slices.Equal(tail.UnrecordedDoneTasks(), []string{"wk-1/15"}) {
		t.Errorf("done: %d before the unclaimed tasks, %d after them, names %v", r.DoneTaskCount(), tail.DoneTaskCount(), tail.UnrecordedDoneTasks())
	}
}

func TestCancelUnclaimMakesOnlyUnclaimingTasksReady(t *testing.T) {
	r := newTestRange(newTestJob(jobs.Array, 3), 0, 3)
	r.BeginUnclaim(1, 2)
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskReady, TaskUnclaiming, TaskUnclaiming}) {
		t.Fatalf("after BeginUnclaim: states %v", got)
	}
	r.CancelUnclaim(1, 2)
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskReady, TaskReady, TaskReady}) {
		t.Errorf("after CancelUnclaim: states %v", got)
	}
	r.BeginUnclaim(1, 2)
	ResetTasks(r, true, TaskUnknown) // the shard was lost and acquired again
	r.CancelUnclaim(1, 2)
	if got := checkTaskStates(t, r); !slices.Equal(got, []TaskState{TaskUnknown, TaskUnknown, TaskUnknown}) {
		t.Errorf("after CancelUnclaim when the shard was acquired again: states %v", got)
	}
}

func TestNeedsHostsWriteOnlyForUnrecordedHosts(t *testing.T) {
	for _, test := range []struct {
		name       string
		recorded   []string
		prepare    func(r *TaskRange)
		wantsWrite bool
	}{
		{"planned as recorded", []string{"i-0", "i-1"}, func(*TaskRange) {}, false},
		{"planned elsewhere", []string{"i-0", "i-9"}, func(*TaskRange) {}, true},
		{"none recorded", nil, func(*TaskRange) {}, false},
		{"started already", []string{"i-9"}, func(r *TaskRange) { MutableGangAttempt(r.job).Started = true }, false},
		{"not all planned", []string{"i-9"}, func(r *TaskRange) { ReleaseTask(r.Assignment(1), TaskReady) }, false},
		{"claim not durable", []string{"i-9"}, func(r *TaskRange) { r.tentative = true }, false},
		{"last write unanswered", []string{"i-0", "i-1"}, func(r *TaskRange) { r.EndHostsWrite(false) }, true},
		{"new revision of the record since an unanswered write", []string{"i-0", "i-1"}, func(r *TaskRange) {
			r.EndHostsWrite(false)
			SetRangeRevision(r, 6)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRange(newTestJob(jobs.Gang, 2), 0, 2)
			for i := range 2 {
				placeTask(r, i, NewMachine(fmt.Sprintf("i-%d", i)), 1)
			}
			r.record.GangWorkers = test.recorded
			test.prepare(r)
			if got := r.NeedsHostsWrite(); got != test.wantsWrite {
				t.Errorf("needs a write: %v, want %v", got, test.wantsWrite)
			}
		})
	}
}

// A machine's usage is correct in each phase of a task that is assigned to the machine.
func TestUsageInEachPhaseOfTask(t *testing.T) {
	total := capacity.Resources{CPU: 16, MemGB: 64}
	runningStatus := AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: workerapi.StatusRunning}
	for _, test := range []struct {
		name            string
		status          AssignmentStatus
		checkpointS     float64
		freeCPU         float64
		pendingCommands int
		occupiesNow     bool
	}{
		{"planned", AssignmentStatus{}, 0, 12, 1, false},
		{"start sent", AssignmentStatus{StartSent: true}, 0, 12, 0, true},
		{"running", runningStatus, 0, 12, 0, true},
		{"to be stopped", withStopRequested(runningStatus, 5, false), 0, 16, 1, false},
		{"to be stopped with a checkpoint", withStopRequested(runningStatus, 5, false), 30, 16, 1, true},
		{"to be stopped at once", withStopRequested(runningStatus, 0, false), 30, 16, 1, false},
		{"stop sent", withStopRequested(runningStatus, 5, true), 30, 16, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine("i-1")
			a := placeTask(newTestRange(newTestJob(jobs.Array, 1), 0, 1), 0, machine, 1)
			a.status, a.checkpointIntervalSeconds = test.status, test.checkpointS
			usage := ComputeUsage(machine, total)
			if usage.Free.CPU != test.freeCPU || usage.PendingCommands != test.pendingCommands {
				t.Errorf("%v free, %d pending commands", usage.Free, usage.PendingCommands)
			}
			if usage.FreeBelow[jobs.PriorityCount-1] != total || usage.FreeBelow[0] != usage.Free {
				t.Errorf("free below: %v", usage.FreeBelow)
			}
			if a.OccupiesNow() != test.occupiesNow {
				t.Errorf("occupies now: %v", a.OccupiesNow())
			}
		})
	}
}

// withStopRequested returns a status in which the task is to be stopped within graceS seconds. isStopSent
// tells whether the stop command was sent.
func withStopRequested(status AssignmentStatus, graceS float64, isStopSent bool) AssignmentStatus {
	status.Stopping, status.GraceS, status.StopSent = true, graceS, isStopSent
	return status
}
