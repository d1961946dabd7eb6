package workersession_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// A heartbeat that a network partition had delayed was applied like a new one by the shard's next owner. The
// heartbeat listed a task that its worker had run before, so the owner assigned the task to that worker. When the
// worker's next heartbeat did not list the task, the owner treated the task as not running, although an
// intermediate owner had started the task on another worker. The task then ran twice at the same time, which
// violated the rule ran_twice in five test days with random faults.
func TestHeartbeatWithOldTokenIsNotApplied(t *testing.T) {
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 5)
	h.AddMachine("i-1", "n0", "m4", false)
	h.AddMachine("i-2", "n0", "m4", false)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 4)
	taskRange := h.AddTaskRange("wk-1", "n0", 1, 4)
	h.SetOwner("n0", harness.Self, 10)
	h.SyncCache(10)
	runningTask := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning}
	if reply := h.Heartbeat("i-1", 5, 6, runningTask); reply.StatusCode != 200 || reply.Response.FencingToken != 10 || len(reply.Response.Commands) > 0 {
		t.Fatalf("reply to the heartbeat with the old token: %+v", reply)
	}
	h.Heartbeat("i-1", 6, 10)
	if state := taskRange.TaskState(0); state != clusterstate.TaskUnknown {
		t.Fatalf("the task is in state %d while a worker of the shard is unconfirmed", state)
	}
	h.Heartbeat("i-2", 9, 10, runningTask)
	if state := taskRange.TaskState(0); state != clusterstate.TaskPlaced {
		t.Errorf("the task is in state %d, not assigned to the worker that runs it", state)
	}
	if reply := h.Heartbeat("i-2", 8, 10); reply.StatusCode != 503 || taskRange.TaskState(0) != clusterstate.TaskPlaced {
		t.Errorf("reply to a heartbeat that arrived late: %+v", reply)
	}
}

// A new owner applied the heartbeat of a worker before the watch had delivered the task range that the previous
// owner had claimed last. The worker counted as confirmed without a task of the range, although it still ran the
// task, and the task was started a second time.
func TestHeartbeatIsNotAppliedBeforeCacheReachesEpoch(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.AddMachine("i-1", "n1", "m16", false)
	h.SyncCache(5)
	h.SetOwner("n1", harness.Self, 10) // the controller's own write
	runningTask := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 4, Status: workerapi.StatusRunning}
	h.Heartbeat("i-1", 1, 10, runningTask)
	if machine := h.State.Machine("i-1"); machine.HasReported() || machine.AssignmentCount() > 0 {
		t.Error("the worker was confirmed before the task ranges were known")
	}
	job := jobs.JobRecord{Spec: jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 7}}
	h.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.JobKey("wk-1"), job, 8),
		harness.Event(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n1", Count: 2}, 8)}, 10)
	taskRange := h.State.Job("wk-1").TaskRange(0)
	if taskRange.CountTasks(clusterstate.TaskUnknown) != 2 {
		t.Error("the state of the tasks is known from a heartbeat that arrived before the task range")
	}
	h.Heartbeat("i-1", 2, 10, runningTask)
	if assignment := taskRange.Assignment(0); assignment == nil || assignment.Attempt() != 4 || assignment.Status().Stopping || taskRange.CountTasks(clusterstate.TaskUnknown) != 0 {
		t.Errorf("the running task after the next heartbeat: %+v", assignment)
	}
}

// After a preemption notice, a task saves a checkpoint if there is time, and tasks that were only planned are
// unplaced at once.
func TestPreemptedMachineSavesCheckpoints(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	machine := h.AddMachine("i-1", "n0", "m16", true)
	h.Cache.ApplyEvents(nil, 5)
	h.SetOwner("n0", harness.Self, 5)
	h.SyncCache(5)
	h.Heartbeat("i-1", 1, 5)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1, CheckpointIntervalSeconds: 20, CheckpointSaveSeconds: 3}, 0, 6)
	taskRange := h.AddTaskRange("wk-1", "n0", 2, 7)
	h.State.MarkStartSent(h.State.Place(taskRange, 0, machine, 9))
	h.State.Place(taskRange, 1, machine, 9)
	preemptionInS := 8.0
	h.Sessions.ApplyHeartbeat(machine, &workerapi.Heartbeat{
		Host:          "i-1",
		AgentEpoch:    1,
		Sequence:      2,
		PreemptionInS: &preemptionInS,
		Tasks:         []workerapi.TaskStatus{{Task: "wk-1/0", Attempt: 9, Status: workerapi.StatusRunning}},
	}, machine.LastHeartbeatAt())
	if assignment := taskRange.Assignment(0); assignment == nil || !assignment.Status().Stopping || assignment.Status().GraceS != 8 {
		t.Errorf("the running task: %+v", assignment)
	}
	if taskRange.TaskState(1) != clusterstate.TaskReady || h.State.IsUsable(machine) {
		t.Errorf("the planned task is in state %d, the machine is usable: %v", taskRange.TaskState(1), h.State.IsUsable(machine))
	}
}

// violationsOfStaleHeartbeat makes a heartbeat arrive that a machine sent before it ran a task, while its newer
// heartbeats are lost and its lease has not expired. Another machine of the shard suits the task better by then. It
// returns the violated rules.
func violationsOfStaleHeartbeat(t *testing.T) (violations []string) {
	t.Helper()
	return clusterViolations(t, 1, func(cluster *fake.Cluster) {
		// The first machine is full until one of its two tasks ends, and fuller than the second one afterwards.
		submit(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 1, 2), 10*time.Minute)
		submit(t, cluster, "n0", fake.JobSpec("wk-3", jobs.Array, 1, 2), 10*time.Minute)
		time.Sleep(3 * time.Second)
		host := cluster.AddMachine("a", false).Host
		time.Sleep(3 * time.Second)
		staleHeartbeats := cluster.Heartbeats()
		submit(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 1, 2), time.Minute)
		time.Sleep(3 * time.Second)
		if !slices.Equal(cluster.RunningOn("wk-1/0"), []string{host}) {
			t.Fatalf("the task runs on %v", cluster.RunningOn("wk-1/0"))
		}
		cluster.FinishTask("wk-3/0")
		time.Sleep(3 * time.Second)
		cluster.BlockOutbound(host, true)
		for _, heartbeat := range staleHeartbeats {
			if heartbeat.Host == host {
				cluster.DeliverHeartbeat("n0", heartbeat)
			}
		}
		time.Sleep(6 * time.Second) // less than the lease of the second machine
	})
}

// A heartbeat that arrives after newer ones is not applied: it proves nothing about the tasks that the worker was
// commanded to start since.
func TestStaleHeartbeatIsNotApplied(t *testing.T) {
	for _, violation := range violationsOfStaleHeartbeat(t) {
		t.Error(violation)
	}
}

// If a heartbeat that arrives late is applied like a new one, a task runs twice: in the scenario of
// TestStaleHeartbeatIsNotApplied always, and in about one of 20 runs with injected faults, whose outcome depends on the
// order in which goroutines run.
func TestMutationAcceptingStaleHeartbeatsIsDetected(t *testing.T) {
	defer workersession.AcceptStaleHeartbeats()()
	ranTwice := func(violation string) bool { return strings.HasPrefix(violation, "ran_twice") }
	if violations := violationsOfStaleHeartbeat(t); !slices.ContainsFunc(violations, ranTwice) {
		t.Errorf("the stale heartbeat of the mutation did not violate the rule: %v", violations)
	}
	if !faultinjection.FindsViolation(t, 400, "ran_twice") {
		t.Error("400 runs of the mutation did not violate the rule")
	}
}
