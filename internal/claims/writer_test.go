package claims_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// newShardWithMachine returns a harness that owns the reconciled shard n0. The shard has one machine,
// "i-1", which has 16 CPUs and runs no tasks.
func newShardWithMachine(t *testing.T) (*harness.Harness, *clusterstate.Machine) {
	t.Helper()
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	machine := h.AddMachine("i-1", "n0", "m16", false)
	h.SetOwner("n0", harness.Self, 5)
	h.SyncCache(5)
	h.Heartbeat("i-1", 1, 5)
	return h, machine
}

// If the shard is lost before an unclaim is answered, the tasks of the unclaim must not become ready
// when the shard is owned again in a later epoch.
func TestUnclaimFenceEndsWithEpoch(t *testing.T) {
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 5)
	h.SetOwner("n0", harness.Self, 10)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 11)
	taskRange := h.AddTaskRange("wk-1", "n0", 1, 11)
	taskRange.BeginUnclaim(taskRange.Len()-1, 1)
	h.SetOwner("n0", harness.OtherNode, 20)
	h.SetOwner("n0", harness.Self, 30)
	taskRange.CancelUnclaim(0, 1)
	h.Claims.FenceUnclaim(taskRange, 0, 1, 10)
	if taskRange.TaskState(0) != clusterstate.TaskUnknown || taskRange.HasWriteInFlight() {
		t.Errorf("task state %d, write in flight: %v", taskRange.TaskState(0), taskRange.HasWriteInFlight())
	}
}

// A claim that the key-value store refuses is undone: its tasks are removed from their machines, and
// the job is unclaimed as before.
func TestRefusedClaimIsAbandoned(t *testing.T) {
	h, machine := newShardWithMachine(t)
	job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 100, CPU: 1}, 100, 6)
	h.Claims.Claim(job, h.Membership.Shard("n0"), 10, "", func(taskRange *clusterstate.TaskRange) bool {
		for i := range 4 {
			h.State.Place(taskRange, i, machine, 1)
		}
		taskRange.Truncate(4)
		return true
	})
	if taskRange := job.TaskRange(0); taskRange == nil || !taskRange.IsTentative() || taskRange.Len() != 4 || !job.InTransaction() || h.State.Free(machine).CPU != 12 {
		t.Fatalf("tentative claim: %+v, %v free", taskRange, h.State.Free(machine))
	}
	if taskRange, _ := h.State.FindTask("wk-1", 2); taskRange != nil {
		t.Error("FindTask finds a task of a tentative claim")
	}
	h.RunNext() // the transaction is refused
	if job.TaskRange(0) != nil || job.InTransaction() || h.State.Free(machine).CPU != 16 || machine.AssignmentCount() != 0 {
		t.Errorf("after the refusal: %+v, in transaction: %v, %v free", job.TaskRange(0), job.InTransaction(), h.State.Free(machine))
	}
}

// Tasks that do not fit are unclaimed after tuning.UnclaimAfter, counted from when a task of the
// range was last placed.
func TestUnplaceableTailIsUnclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, machine := newShardWithMachine(t)
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 0, 6)
		taskRange := h.AddTaskRange("wk-1", "n0", 20, 7)
		h.State.Place(taskRange, 0, machine, 1)
		h.Claims.Tick(time.Now())
		time.Sleep(tuning.UnclaimAfter - time.Second)
		h.Claims.Tick(time.Now())
		h.State.Place(taskRange, 1, machine, 2)
		time.Sleep(2 * time.Second)
		h.Claims.Tick(time.Now())
		if job.InTransaction() || taskRange.CountTasks(clusterstate.TaskUnclaiming) > 0 {
			t.Error("unclaimed although a task has just been placed")
		}
		time.Sleep(tuning.UnclaimAfter)
		h.Claims.Tick(time.Now())
		if !job.InTransaction() || taskRange.CountTasks(clusterstate.TaskUnclaiming) != 18 || taskRange.CountTasks(clusterstate.TaskPlaced) != 2 {
			t.Errorf("%d of 18 tasks are unclaimed", taskRange.CountTasks(clusterstate.TaskUnclaiming))
		}
	})
}

// A controller uses a team's quota in a shard only within the shard's allocation, and only if it
// knows all tasks that run there. An amount whose release was sent is no longer used.
func TestAllocationIsUsedOnlyUntilRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, func(h *harness.Harness) {
			h.Cfg.Cluster.Teams = []config.Team{{Name: "few", MaxCPUs: 6}}
		})
		h.OfferMachineTypes("m16")
		machine := h.AddMachine("i-1", "n0", "m16", false)
		otherMachine := h.AddMachine("i-2", "n0", "m16", false)
		h.Cache.ApplyEvents(nil, 5)
		h.SetOwner("n0", harness.Self, 5)
		h.WriteRecord(jobs.QuotaPrefix+"666577", quota.Record{ByShard: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 1}}}, 5)
		h.SyncCache(5)
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 17, 6)
		taskRange := h.AddTaskRange("wk-1", "n0", 3, 7)
		shard := h.Membership.Shard("n0")
		expectAllowed := func(situation string, want int) {
			t.Helper()
			if got := h.Claims.TasksWithinQuota(job, shard); got != want {
				t.Errorf("%s: %d tasks are allowed, want %d", situation, got, want)
			}
		}
		h.Heartbeat("i-1", 1, 5)
		expectAllowed("before all workers have reported", 0)
		h.Heartbeat("i-2", 1, 5)
		expectAllowed("after all workers have reported", 4)
		h.State.Place(taskRange, 0, machine, 1)
		stoppingTask := h.State.Place(taskRange, 1, otherMachine, 1)
		h.State.MarkStartSent(stoppingTask)
		h.State.Stop(stoppingTask, 5)
		expectAllowed("with one task planned and one stopping", 2)
		time.Sleep(tuning.QuotaShortfallValidity)
		h.SyncCache(7)
		h.Claims.Tick(time.Now()) // the allocation is idle from now on
		time.Sleep(tuning.ContendedAllocationReleaseDelay)
		h.SyncCache(7)
		h.Claims.Tick(time.Now())
		expectAllowed("during the release", 0)
		synctest.Wait()
		h.RunNext() // no answer: the release may have succeeded
		expectAllowed("after a release without an answer", 0)
		h.WriteRecord(jobs.QuotaPrefix+"666577", quota.Record{ByShard: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 2}}}, 9)
		expectAllowed("under a newer record, which excludes a late write", 2)
	})
}

// A claim had no answer and was repeated. The first request had been carried out, the watch delivered
// its changes, the gang was started, and then the second request was refused. Because of the refusal
// the gang lost its attempt and was stopped.
func TestGangKeepsAttemptIfUnansweredClaimIsCommitted(t *testing.T) {
	h, machine := newShardWithMachine(t)
	spec := jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 1}
	job := h.AddJob(spec, 2, 6)
	h.Claims.Claim(job, h.Membership.Shard("n0"), 2, "", func(taskRange *clusterstate.TaskRange) bool {
		h.State.BeginGangAttempt(job, 9)
		for i := range 2 {
			h.State.Place(taskRange, i, machine, 9)
		}
		return true
	})
	h.WriteRecord(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n0", Count: 2, GangWorkers: []string{"i-1"}}, 7)
	h.WriteRecord(jobs.JobKey("wk-1"), jobs.JobRecord{Spec: spec}, 7)
	if !h.State.GangCanStart(job) {
		t.Fatal("the claim is durable, but the gang cannot start")
	}
	h.State.StartGang(job)
	h.RunNext() // the second write was refused
	if attempt, started := job.GangAttempt(); attempt != 9 || !started || job.TaskRange(0) == nil || job.TaskRange(0).CountTasks(clusterstate.TaskPlaced) != 2 {
		t.Errorf("attempt %d, started: %v", attempt, started)
	}
}

// When tasks in the middle of a range are unclaimed, the tasks after them stay on their machines, in
// a new range, regardless of the order in which the watch delivers the records of that write.
func TestRangeSplitInAnyEventOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		offset, count int   // the tasks that are unclaimed, of a range of five
		order         []int // the order in which the records of the write are delivered
	}{
		{"middle, job first", 1, 3, []int{0, 1, 2}},
		{"middle, job last", 1, 3, []int{2, 1, 0}},
		{"start, job first", 0, 4, []int{0, 1, 2}},
		{"start, remaining range first", 0, 4, []int{2, 0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) { testRangeSplit(t, c.offset, c.count, c.order) })
	}
}

func testRangeSplit(t *testing.T, offset, count int, order []int) {
	t.Helper()
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 5)
	h.AddMachine("i-1", "n0", "m16", false)
	job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 5, CPU: 1}, 0, 4)
	taskRange := h.AddTaskRange("wk-1", "n0", 5, 4)
	h.SetOwner("n0", harness.Self, 10)
	h.SyncCache(10)
	runningTasks := []workerapi.TaskStatus{{Task: "wk-1/4", Attempt: 3, Status: workerapi.StatusRunning}}
	if offset > 0 {
		runningTasks = append(runningTasks, workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning})
	}
	h.Heartbeat("i-1", 5, 10, runningTasks...)
	taskRange.MarkUnknownReady()
	taskRange.BeginUnclaim(offset, count)
	record := *job.Record()
	record.Unclaimed = []jobs.TaskInterval{{First: offset, Count: count}}
	firstRange := kvstore.Event{DeletedKey: jobs.RangeKey("wk-1", 0), Revision: 20}
	if offset > 0 {
		firstRange = harness.Event(jobs.RangeKey("wk-1", 0), taskRange.Subrange(0, offset), 20)
	}
	writtenEvents := []kvstore.Event{
		harness.Event(jobs.JobKey("wk-1"), record, 20),
		firstRange,
		harness.Event(jobs.RangeKey("wk-1", 4), taskRange.Subrange(4, 1), 20),
	}
	var deliveredEvents []kvstore.Event
	for _, i := range order {
		deliveredEvents = append(deliveredEvents, writtenEvents[i])
	}
	h.Cache.ApplyEvents(deliveredEvents, 20)
	rangeAfter := job.TaskRange(4)
	if rangeAfter == nil || rangeAfter.Len() != 1 || rangeAfter.TaskState(0) != clusterstate.TaskPlaced || rangeAfter.Assignment(0).Machine().Host() != "i-1" {
		t.Fatalf("range after the unclaimed tasks: %+v", rangeAfter)
	}
	rangeBefore := job.TaskRange(0)
	if (rangeBefore != nil) != (offset > 0) || rangeBefore != nil && (rangeBefore.Len() != 1 || rangeBefore.TaskState(0) != clusterstate.TaskPlaced) {
		t.Errorf("range before the unclaimed tasks: %+v", rangeBefore)
	}
	if taskRange, i := h.State.FindTask("wk-1", 2); taskRange != nil {
		t.Errorf("an unclaimed task is in a range, at %d", i)
	}
	assignment := h.State.Machine("i-1").Assignment("wk-1/4")
	if assignment == nil || assignment.Status().Stopping || assignment.Job() != job {
		t.Errorf("assignment of the task after the unclaimed ones: %+v", assignment)
	}
}

// The tasks of a job that was found at fault are unclaimed if they do not fit, like those of any other job.
// The pause of the job, and the time in which one of its tasks runs to find out whether it works again, do not
// count, since the tasks are held back then.
func TestTasksOfFaultyJobAreUnclaimedIfNothingFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, machine := newShardWithMachine(t)
		job := h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 3, CPU: 1}, 0, 6)
		taskRange := h.AddTaskRange("wk-1", "n0", 3, 7)
		var pause time.Duration
		for pause == 0 {
			pause = h.Faults.RecordFailure("wk-1", "i-1", time.Second, time.Now(), faultattribution.Thresholds{MachineFailures: 3, JobFaultMachines: 3}).JobPause
		}
		expectUnclaiming := func(situation string, after time.Duration, want int) {
			t.Helper()
			h.Claims.Tick(time.Now())
			time.Sleep(after)
			h.Claims.Tick(time.Now())
			if count := taskRange.CountTasks(clusterstate.TaskUnclaiming); count != want || job.InTransaction() != (want > 0) {
				t.Errorf("%s: %d tasks are being unclaimed, want %d", situation, count, want)
			}
		}
		expectUnclaiming("paused", pause-time.Second, 0)
		time.Sleep(time.Second)
		probe := h.State.Place(taskRange, 0, machine, 1)
		h.State.MarkStartSent(probe)
		expectUnclaiming("one task runs", 2*tuning.UnclaimAfter, 0)
		h.State.Unplace(probe)
		expectUnclaiming("not for long enough", tuning.UnclaimAfter-time.Second, 0)
		expectUnclaiming("nothing fits", time.Second, 3)
	})
}
