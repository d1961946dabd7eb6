package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// newShard returns a harness that owns the reconciled shard n0, with one machine of 16 CPUs in each of the
// given zones: i-0, i-1 and so on.
func newShard(t *testing.T, zones ...string) (h *harness.Harness, machines []*clusterstate.Machine) {
	t.Helper()
	h = harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.SetOwner("n0", harness.Self, 4)
	for i, zone := range zones {
		host := fmt.Sprintf("i-%d", i)
		h.WriteRecord(jobs.WorkerPrefix+host, workerapi.Record{Shard: "n0", Addr: "w:1", MachineType: "m16", Zone: zone}, 3)
		machine := h.State.Machine(host)
		h.State.EndHeartbeat(machine, true, false)
		machines = append(machines, machine)
	}
	h.SyncCache(5)
	h.Reconciler.CompleteRecoveries(time.Now())
	return h, machines
}

// failJob records that the job wk-1 has failed on the machine i-0 now.
func failJob(h *harness.Harness) {
	h.Faults.RecordFailure("wk-1", "i-0", time.Second, time.Now(), faultattribution.Thresholds{MachineFailures: 3, JobFaultMachines: 3})
}

// runCycle runs a scheduling cycle after the controller's turn to claim new jobs has come.
func runCycle(h *harness.Harness) {
	time.Sleep(3 * tuning.ClaimStaggerDelay)
	h.SyncCache(6)
	h.Scheduler.RunCycle(time.Now())
}

// fillMachine places a task of another job on a machine, so that the given number of its 16 CPUs is left.
func fillMachine(h *harness.Harness, machine *clusterstate.Machine, ref string, freeCPU float64) {
	h.AddJob(jobs.Spec{Ref: ref, Kind: jobs.Array, Urgency: "prod", Tasks: 1, CPU: 16 - freeCPU}, 0, 4)
	h.State.Place(h.AddTaskRange(ref, "n0", 1, 4), 0, machine, 1)
}

// The counts for the autoscaler and for the job itself leave out the machine that the job avoids, so that a
// machine is requested instead. They include it again when the avoidance is over, and always for other jobs.
func TestCountsLeaveOutAvoidedMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newShard(t, "a")
		spec := jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}
		job := h.AddJob(spec, 2, 5)
		failJob(h)
		expectCounts := func(situation string, want int) {
			t.Helper()
			count := 0
			for _, shapeCapacity := range h.Scheduler.FittingTasks(time.Now()) {
				count += shapeCapacity.Free + shapeCapacity.Preemptible
			}
			if count != want {
				t.Errorf("%s: %d tasks fit, want %d", situation, count, want)
			}
		}
		runCycle(h)
		expectCounts("avoided", 0)
		if reason := h.Scheduler.WaitReason(job); job.InTransaction() || reason != "0 tasks fit, 2 needed; machines left out because the job failed there a short time ago: 1" {
			t.Errorf("in transaction %v, wait reason %q", job.InTransaction(), reason)
		}
		time.Sleep(tuning.MinMachineAvoidance - time.Second)
		spec.Ref = "wk-2"
		h.AddJob(spec, 2, 7)
		expectCounts("avoided by one of two gangs", 2)
		h.State.EndJob(h.State.Job("wk-2"))
		time.Sleep(time.Second)
		expectCounts("no longer avoided", 2)
		runCycle(h)
		if !job.InTransaction() {
			t.Errorf("the gang is not claimed, %s", h.Scheduler.WaitReason(job))
		}
	})
}

// An array that must run in one zone, or is spread over zones, is not placed in the zone with the most free
// capacity if the job avoids the machine that has this capacity.
func TestZoneOfAvoidedMachineIsNotSelected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, machines := newShard(t, "a", "a", "b")
		fillMachine(h, machines[1], "wk-8", 0)
		fillMachine(h, machines[2], "wk-9", 6)
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 3, OneZone: true}, 2, 5)
		failJob(h)
		runCycle(h)
		if taskRange := job.TaskRange(0); taskRange == nil || taskRange.Record().Zone != "b" {
			t.Errorf("claimed range: %+v, %s", taskRange, h.Scheduler.WaitReason(job))
		}
	})
}

// Work is preempted for an array if the only machine with free capacity is one that it avoids.
func TestWorkIsPreemptedIfFreeMachineIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, machines := newShard(t, "a", "a")
		h.AddJob(jobs.Spec{Ref: "wk-9", Kind: jobs.Array, Urgency: "idle", Tasks: 1, CPU: 16}, 0, 4)
		h.State.MarkStartSent(h.State.Place(h.AddTaskRange("wk-9", "n0", 1, 4), 0, machines[1], 1))
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "high", Tasks: 1, CPU: 3}, 1, 5)
		failJob(h)
		runCycle(h)
		if taskRange := job.TaskRange(0); taskRange == nil || taskRange.Assignment(0).Machine() != machines[1] {
			t.Errorf("claimed range: %+v, %s", taskRange, h.Scheduler.WaitReason(job))
		}
	})
}

// When the avoidance is over, a job still prefers the machines on which it has not failed.
func TestMachinesWithoutFailureArePreferred(t *testing.T) {
	for _, kind := range []jobs.Kind{jobs.Array, jobs.Gang} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, machines := newShard(t, "a", "a")
				fillMachine(h, machines[0], "wk-9", 8) // without the failure, the fuller machine would be preferred
				job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: kind, Urgency: "normal", Tasks: 1, CPU: 3}, 1, 5)
				failJob(h)
				time.Sleep(tuning.MinMachineAvoidance)
				runCycle(h)
				if taskRange := job.TaskRange(0); taskRange == nil || taskRange.Assignment(0).Machine() != machines[1] {
					t.Errorf("claimed range: %+v, %s", taskRange, h.Scheduler.WaitReason(job))
				}
			})
		})
	}
}
