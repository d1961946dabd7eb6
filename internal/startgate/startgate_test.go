package startgate_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/quota"
	"cherrywall/internal/startgate"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

const (
	shard           = "n0"
	epoch           = 4
	quotaKey        = jobs.QuotaPrefix + "636170706564" // of the team "capped"
	fullQuota       = 8.0                               // CPUs
	appliedRevision = 20                                // the revision up to which the harness has applied all changes
)

// newPlacedTasks creates a controller that owns a reconciled shard with one machine, on which two tasks
// of 2 CPUs each are placed. Their team may use 8 CPUs in total, 4 of them in this shard.
func newPlacedTasks(t *testing.T) (h *harness.Harness, first, second *clusterstate.Assignment) {
	t.Helper()
	h = harness.New(t, func(h *harness.Harness) {
		h.Cfg.Cluster.Teams = []config.Team{{Name: "capped", MaxCPUs: fullQuota}}
	})
	h.OfferMachineTypes("m16")
	h.SetOwner(shard, harness.Self, epoch)
	machine := h.AddMachine("i-1", shard, "m16", false)
	h.State.EndHeartbeat(machine, true, false)
	h.AddJob(jobs.Spec{Ref: "wk-1", Team: "capped", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 2}, 0, 5)
	taskRange := h.AddTaskRange("wk-1", shard, 2, 6)
	allocate(h, 4, 7)
	h.SyncCache(appliedRevision)
	h.Membership.Shard(shard).MarkReconciled()
	taskRange.MarkUnknownReady()
	return h, h.State.Place(taskRange, 0, machine, 1), h.State.Place(taskRange, 1, machine, 2)
}

// allocate writes an allocation of CPUs to the shard into the team's quota record.
func allocate(h *harness.Harness, cpus float64, revision uint64) {
	h.WriteRecord(quotaKey, quota.Record{ByShard: map[string]quota.Amount{shard: {CPU: cpus}}}, revision)
}

// Conditions that held when a task was placed may no longer hold when its start is about to be sent.
func TestGateRefusesStartsInvalidatedSincePlacement(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *harness.Harness, first, second *clusterstate.Assignment)
		want   startgate.Refusal
	}{
		{"no change", func(*harness.Harness, *clusterstate.Assignment, *clusterstate.Assignment) {}, startgate.Allowed},
		{"another controller owns the shard", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			h.SetOwner(shard, harness.OtherNode, 30)
		}, startgate.NotOwned},
		{"the machine's record was deleted", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			h.Cache.ApplyDelete(jobs.WorkerPrefix+"i-1", 30)
		}, startgate.NotOwned},
		{"the machine is drained", func(h *harness.Harness, first, _ *clusterstate.Assignment) {
			h.State.Cordon(first.Machine())
		}, startgate.MachineLeaving},
		{"the task was moved", func(h *harness.Harness, first, _ *clusterstate.Assignment) {
			h.State.Unplace(first)
		}, startgate.NotPlaced},
		{"the job was cancelled", func(h *harness.Harness, first, _ *clusterstate.Assignment) {
			h.State.MarkStartSent(first)
			h.Cache.ApplyDelete(jobs.JobKey("wk-1"), 30)
		}, startgate.NotPlaced},
		{"the store was not read for 5 s", func(*harness.Harness, *clusterstate.Assignment, *clusterstate.Assignment) {
			time.Sleep(5 * time.Second)
		}, startgate.CancellationUnknown},
		{"the store was not read for a minute", func(*harness.Harness, *clusterstate.Assignment, *clusterstate.Assignment) {
			time.Sleep(time.Minute)
		}, startgate.StoreReadTooOld},
		{"the allocation was reduced, no task started", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			allocate(h, 2, 30)
		}, startgate.Allowed},
		{"the allocation was reduced to the usage", func(h *harness.Harness, _, second *clusterstate.Assignment) {
			allocate(h, 2, 30)
			h.State.MarkStartSent(second)
			h.Claims.RecordStartSent(second)
		}, startgate.QuotaExceeded},
		{"the allocation was removed", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			allocate(h, 0, 30)
		}, startgate.QuotaExceeded},
		{"a worker reports a task of an unknown job", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			h.State.AdoptTask(h.AddMachine("i-2", shard, "m16", false), workerapi.TaskStatus{Task: "wk-9/0", Attempt: 1}, false)
		}, startgate.QuotaUnknown},
		{"a worker of unknown machine type reports such a task", func(h *harness.Harness, _, _ *clusterstate.Assignment) {
			h.State.AdoptTask(h.AddMachine("i-2", shard, "m99", false), workerapi.TaskStatus{Task: "wk-9/0", Attempt: 1}, false)
		}, startgate.QuotaUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, first, second := newPlacedTasks(t)
				c.change(h, first, second)
				if got := h.Gate.Check(first, time.Now()); got != c.want {
					t.Errorf("refusal %q, want %q", got, c.want)
				}
			})
		})
	}
}

// A refused start is left out of the response, and its reason is shown to operators. The other start is
// sent.
func TestResponseContainsOnlyAllowedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first, second := newPlacedTasks(t)
		allocate(h, 2, 30)
		reply := h.Heartbeat("i-1", 1, epoch)
		var startedTasks []string
		for _, command := range reply.Response.Commands {
			if command.Verb == workerapi.VerbStart {
				startedTasks = append(startedTasks, command.Task)
			}
		}
		if len(startedTasks) != 1 {
			t.Fatalf("started %v, want one task, which is all that the allocation covers", startedTasks)
		}
		refusedTask := first
		if slices.Contains(startedTasks, first.Name()) {
			refusedTask = second
		}
		if refusedTask.LastRefusal() != string(startgate.QuotaExceeded) || !refusedTask.Status().IsPlanned() {
			t.Errorf("%s: refusal %q, status %+v", refusedTask.Name(), refusedTask.LastRefusal(), refusedTask.Status())
		}
	})
}

// Known tasks that use more than the allocation violate an invariant. Each check counts and reports
// the violation once. The test causes a violation by starting tasks without a check by the gate.
func TestUsageBeyondAllocationIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first, second := newPlacedTasks(t)
		for _, assignment := range []*clusterstate.Assignment{first, second} {
			h.State.MarkStartSent(assignment)
			h.Claims.RecordStartSent(assignment)
		}
		h.Claims.Tick(time.Now())
		h.ExpectViolations(t, 0)
		allocate(h, 2, 30)
		h.Claims.Tick(time.Now())
		h.ExpectViolations(t, 1)
	})
}

// A gang starts as a whole: its first task may not start if the quota allows only a part of the gang.
func TestGangStartsOnlyIfWholeGangIsWithinQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, _ := newPlacedTasks(t)
		h.AddJob(jobs.Spec{Ref: "wk-2", Team: "capped", Kind: jobs.Gang, Urgency: "normal", Tasks: 2, CPU: 1}, 0, 8)
		taskRange := h.AddTaskRange("wk-2", shard, 2, 9)
		taskRange.MarkUnknownReady()
		gang := taskRange.Job()
		h.State.BeginGangAttempt(gang, 3)
		machine := h.State.Machine("i-1")
		first := h.State.Place(taskRange, 0, machine, 3)
		h.State.Place(taskRange, 1, machine, 3)
		allocate(h, 1, 40)
		if got := h.Gate.Check(first, time.Now()); got != startgate.QuotaExceeded {
			t.Errorf("allocation for half of the gang: refusal %q", got)
		}
		allocate(h, 2, 41)
		if got := h.Gate.Check(first, time.Now()); got != startgate.Allowed {
			t.Errorf("allocation for the whole gang: refusal %q", got)
		}
	})
}

// The usage of a team is cached until a machine changes. An unexpected task that a worker reports must
// invalidate the cached usage.
func TestAdoptedTaskInvalidatesCachedUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first, _ := newPlacedTasks(t)
		otherMachine := h.AddMachine("i-2", shard, "m16", false)
		if got := h.Gate.Check(first, time.Now()); got != startgate.Allowed {
			t.Fatalf("refusal %q before the task is reported", got)
		}
		h.State.AdoptTask(otherMachine, workerapi.TaskStatus{Task: "wk-9/0", Attempt: 1, Status: workerapi.StatusRunning}, false)
		if got := h.Gate.Check(first, time.Now()); got != startgate.QuotaUnknown {
			t.Errorf("refusal %q after the task is reported", got)
		}
	})
}

// Claims.Tick compares the usage with the recorded allocation, from which a release without a response
// is not deducted: if the shard had another owner since the release was sent, that owner may have used
// the amount, and the release, which belongs to an earlier epoch, can no longer succeed.
func TestUnansweredReleaseIsNoViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first, second := newPlacedTasks(t)
		taskRange, machine := second.TaskRange(), second.Machine()
		h.State.Unplace(second)
		h.Claims.Tick(time.Now())
		time.Sleep(tuning.AllocationReleaseDelay)
		h.SyncCache(appliedRevision + 1)
		h.Claims.Tick(time.Now()) // releases the unused half; the store does not respond
		if available := h.Claims.QuotaUsages()[0].AllocatedCPU; available != 2 {
			t.Fatalf("%v CPUs are available after the release was sent", available)
		}
		second = h.State.Place(taskRange, 1, machine, 3)
		for _, assignment := range []*clusterstate.Assignment{first, second} {
			h.State.MarkStartSent(assignment)
			h.Claims.RecordStartSent(assignment)
		}
		h.Claims.Tick(time.Now())
		h.ExpectViolations(t, 0)
		allocate(h, 2, 30) // the release was written
		h.Claims.Tick(time.Now())
		h.ExpectViolations(t, 1)
	})
}
