package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

func withObjective(h *harness.Harness) {
	h.Cfg.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "own"}}
}

// Without objective buffers the long tasks of background work took all capacity within seconds,
// and jobs with deadlines waited for minutes, because these jobs had the same priority as the
// background work and could not preempt it.
func TestBackgroundWorkLeavesObjectiveBuffersFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, withObjective)
		h.OfferMachineTypes("m16")
		h.SetOwner("n0", harness.Self, 4)
		for i := range 10 {
			h.State.EndHeartbeat(h.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
		}
		deadlineSeconds := 60.0
		objectiveSpec := jobs.Spec{Class: "own", Kind: jobs.Array, Urgency: "idle", Tasks: 40, CPU: 2, EstimatedRunSeconds: 20, DeadlineSeconds: &deadlineSeconds}
		for i := range 4 {
			objectiveSpec.Ref = fmt.Sprintf("wk-%d", i)
			arrivedAt := time.Now().Add(-time.Duration(40-10*i) * time.Second)
			h.ClassStats.RecordArrival(&jobs.JobRecord{Spec: objectiveSpec, AcceptedAtMS: arrivedAt.UnixMilli()}, arrivedAt.UnixMilli(), time.Now())
		}
		spec := jobs.Spec{Ref: "wk-9", Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 200, CPU: 1, EstimatedRunSeconds: 300, Spot: true}
		backgroundJob := h.AddJob(spec, 200, 5)
		if !backgroundJob.IsBackground() || !backgroundJob.IsBestEffort() {
			t.Fatalf("job without objective: background %v, best effort %v", backgroundJob.IsBackground(), backgroundJob.IsBestEffort())
		}
		if n := h.Scheduler.AllocableTasks(backgroundJob); n < 20 || n > 130 {
			t.Errorf("%d of 160 CPUs are allocable to background work", n)
		}
		// From here on no more work with an objective arrives.
		time.Sleep(5 * time.Minute)
		h.Scheduler.StartCycle()
		if n := h.Scheduler.AllocableTasks(backgroundJob); n != 160 {
			t.Errorf("%d of 160 CPUs are allocable while no other work arrives", n)
		}
		// After another minute of waiting, the background job is no longer best effort.
		time.Sleep(time.Minute)
		h.Scheduler.Recount(time.Now())
		if backgroundJob.IsBestEffort() {
			t.Error("background work is still best effort after a long wait, so it would never get a machine")
		}
	})
}

func TestBackgroundWorkIsOrderedByTeamUsage(t *testing.T) {
	h := harness.New(t, withObjective)
	addWaitingJob := func(ref, team string) *clusterstate.Job {
		return h.AddJob(jobs.Spec{Ref: ref, Team: team, Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 50, CPU: 1, EstimatedRunSeconds: 300, Spot: true}, 30, 5)
	}
	busyTeam, idleTeam := addWaitingJob("wk-1", "loud"), addWaitingJob("wk-2", "quiet")
	h.AddTaskRange("wk-1", "n1", 20, 6)
	queue := []*clusterstate.Job{busyTeam, idleTeam}
	h.Scheduler.SortQueue(queue)
	if queue[0] != idleTeam {
		t.Error("the team that has 20 tasks running goes before the one that has none")
	}
}

// When arrays used the on-demand machines that are retained for gangs in preference to spot
// machines, a seventh of the arrays' tasks was preempted, and the machines never became empty.
func TestArraysPreferMachinesWithoutUrgentGangs(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	array := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 1, 2)
	onDemandMachine, spotMachine := h.AddMachine("i-1", "n1", "m16", false), h.AddMachine("i-2", "n1", "m16", true)
	gang := jobs.Spec{Class: "g", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
	h.ClassStats.RecordArrival(&jobs.JobRecord{Spec: gang}, 0, time.Now())
	if h.Scheduler.Score(array, spotMachine) <= h.Scheduler.Score(array, onDemandMachine) {
		t.Error("retained on-demand machines are preferred to spot machines that gangs may not use")
	}
	gang.Spot = true
	h.ClassStats.RecordArrival(&jobs.JobRecord{Spec: gang}, 0, time.Now())
	if h.Scheduler.Score(array, onDemandMachine) <= h.Scheduler.Score(array, spotMachine) {
		t.Error("spot machines are preferred to retained ones where gangs may use both")
	}
}

// When there was only one timer for requested cycles, and it was set to the end of a faulty job's
// pause, which is minutes long, every claim that should have been made 120 ms later waited for the
// next recount.
func TestEarlierCycleRequestReplacesLaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, nil)
		h.Scheduler.RequestCycle(5 * time.Minute)
		h.Scheduler.RequestCycle(100 * time.Millisecond)
		h.Scheduler.RequestCycle(time.Second) // has no effect, since an earlier cycle is already requested
		h.State.ClearDirty()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		h.RunNext()
		if !h.State.IsDirty() || h.Scheduler.HasRequestedCycle() || len(h.Mailbox.Messages()) > 0 {
			t.Errorf("after 200 ms: dirty %v, requested %v, %d more messages", h.State.IsDirty(), h.Scheduler.HasRequestedCycle(), len(h.Mailbox.Messages()))
		}
	})
}

// When a machine was lost while a gang waited until its victims there had stopped, the gang's other
// tasks kept their assignments forever and the gang never started. This happened in the "zone" trials
// of sinai-huts-booking-fleet, with six of six seeds.
func TestGangIsReplannedAfterMachineLoss(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.SetOwner("n0", harness.Self, 2)
	for i := range 3 {
		h.State.EndHeartbeat(h.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
	}
	job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 0, 4)
	taskRange := h.AddTaskRange("wk-1", "n0", 4, 4)
	h.SyncCache(5)
	h.Reconciler.CompleteRecoveries(time.Now())
	h.Scheduler.RunCycle(time.Now())
	if n := taskRange.CountTasks(clusterstate.TaskPlaced); n != 4 {
		t.Fatalf("%d of 4 tasks placed", n)
	}
	lostMachine := taskRange.Assignment(0).Machine()
	h.State.MarkLost(lostMachine)
	for range 2 {
		h.Scheduler.RunCycle(time.Now())
	}
	if n := taskRange.CountTasks(clusterstate.TaskPlaced); n != 4 || lostMachine.AssignmentCount() > 0 {
		t.Errorf("%d of 4 tasks placed, %d on the lost machine", n, lostMachine.AssignmentCount())
	}
	if reason := h.Scheduler.WaitReason(job); reason != "" {
		t.Errorf("a job that does not wait has the wait reason %q", reason)
	}
}

// A gang that does not fit waits, and its wait reason says how many of its tasks fit.
func TestWaitReasonOfGangWithoutCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, nil)
		h.OfferMachineTypes("m16")
		h.SetOwner("n0", harness.Self, 2)
		h.State.EndHeartbeat(h.AddMachine("i-1", "n0", "m16", false), true, false)
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 4, 4)
		time.Sleep(3 * tuning.ClaimStaggerDelay)
		h.SyncCache(5)
		h.Scheduler.RunCycle(time.Now())
		if job.InTransaction() || h.Scheduler.WaitReason(job) != "2 tasks fit, 4 needed" {
			t.Errorf("in transaction %v, reason %q", job.InTransaction(), h.Scheduler.WaitReason(job))
		}
	})
}
