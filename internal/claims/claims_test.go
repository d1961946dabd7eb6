package claims_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// Tasks that were being given back when the share was lost, and whose giving
// back was never answered, must not become ready in a later tenure.
func TestGivingBackEndsWithTheTenure(t *testing.T) {
	d := harness.New(t, nil)
	d.Cache.ApplyEvents(nil, 5)
	d.SetOwner("n0", harness.Self, 10)
	d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 11)
	taskRange := d.AddTaskRange("wk-1", "n0", 1, 11)
	taskRange.BeginUnclaim(taskRange.Len()-1, 1)
	d.SetOwner("n0", harness.OtherNode, 20)
	d.SetOwner("n0", harness.Self, 30)
	taskRange.CancelUnclaim(0, 1)
	d.Claims.FenceUnclaim(taskRange, 0, 1, 10)
	if taskRange.TaskState(0) != clusterstate.TaskUnknown || taskRange.HasWriteInFlight() {
		t.Errorf("state %d, written: %v", taskRange.TaskState(0), taskRange.HasWriteInFlight())
	}
}

// A claim that the state service does not take leaves nothing behind: its tasks are off
// their machines, the job is as free as before, and the claim is made anew only if
// something has changed.
func TestAClaimThatIsNotMadeLeavesNothing(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	machine := d.AddMachine("i-1", "n0", "m16", false)
	d.SetOwner("n0", harness.Self, 5)
	d.SyncCache(5)
	d.Heartbeat("i-1", 1, 5)
	job := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 100, CPU: 1}, 100, 6)
	d.Claims.Claim(job, d.Membership.Shard("n0"), 10, "", func(taskRange *clusterstate.TaskRange) bool {
		for i := range 4 {
			d.State.Place(taskRange, i, machine, 1)
		}
		taskRange.Truncate(4)
		return true
	})
	if taskRange := job.TaskRange(0); taskRange == nil || !taskRange.IsTentative() || taskRange.Len() != 4 || !job.InTransaction() || d.State.Free(machine).CPU != 12 {
		t.Fatalf("the tentative claim: %+v, %v free", taskRange, d.State.Free(machine))
	}
	if taskRange, _ := d.State.FindTask("wk-1", 2); taskRange != nil {
		t.Error("a task of a claim that is not durable is found")
	}
	d.RunNext() // it is not taken
	if job.TaskRange(0) != nil || job.InTransaction() || d.State.Free(machine).CPU != 16 || machine.AssignmentCount() != 0 {
		t.Errorf("left over: %+v, busy %v, %v free", job.TaskRange(0), job.InTransaction(), d.State.Free(machine))
	}
}

// Tasks that find no place are given back after a while, counted from the last that
// found one.
func TestOnlyATailThatWaitsInVainIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.OfferMachineTypes("m16")
		machine := d.AddMachine("i-1", "n0", "m16", false)
		d.SetOwner("n0", harness.Self, 5)
		d.SyncCache(5)
		d.Heartbeat("i-1", 1, 5)
		job := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 0, 6)
		taskRange := d.AddTaskRange("wk-1", "n0", 20, 7)
		d.State.Place(taskRange, 0, machine, 1)
		d.Claims.Tick(time.Now())
		time.Sleep(tuning.UnclaimAfter - time.Second)
		d.Claims.Tick(time.Now())
		d.State.Place(taskRange, 1, machine, 2)
		time.Sleep(2 * time.Second)
		d.Claims.Tick(time.Now())
		if job.InTransaction() || taskRange.CountTasks(clusterstate.TaskUnclaiming) > 0 {
			t.Error("given back although one has just found a place")
		}
		time.Sleep(tuning.UnclaimAfter)
		d.Claims.Tick(time.Now())
		if !job.InTransaction() || taskRange.CountTasks(clusterstate.TaskUnclaiming) != 18 || taskRange.CountTasks(clusterstate.TaskPlaced) != 2 {
			t.Errorf("%d of 18 tasks are given back", taskRange.CountTasks(clusterstate.TaskUnclaiming))
		}
	})
}

// A team's limit is used here only as far as an allocation was taken, by a controller that
// knows all that runs; what it gives back it does not use from that moment on.
func TestAnAllocationIsUsedOnlyWhileItIsOurs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, func(d *harness.Harness) {
			d.Cfg.Cluster.Teams = []config.Team{{Name: "few", MaxCPUs: 6}}
		})
		d.OfferMachineTypes("m16")
		machine := d.AddMachine("i-1", "n0", "m16", false)
		other := d.AddMachine("i-2", "n0", "m16", false)
		d.Cache.ApplyEvents(nil, 5)
		d.SetOwner("n0", harness.Self, 5)
		d.WriteRecord(jobs.QuotaPrefix+"666577", quota.Record{ByShard: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 1}}}, 5)
		d.SyncCache(5)
		job := d.AddJob(jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 17, 6)
		taskRange := d.AddTaskRange("wk-1", "n0", 3, 7)
		shard := d.Membership.Shard("n0")
		d.Heartbeat("i-1", 1, 5)
		if n := d.Claims.TasksWithinQuota(job, shard); n != 0 {
			t.Errorf("%d tasks are allowed before all workers were heard", n)
		}
		d.Heartbeat("i-2", 1, 5)
		if n := d.Claims.TasksWithinQuota(job, shard); n != 4 {
			t.Errorf("%d tasks are allowed of 4", n)
		}
		d.State.Place(taskRange, 0, machine, 1)
		stopping := d.State.Place(taskRange, 1, other, 1)
		d.State.MarkStartSent(stopping)
		d.State.Stop(stopping, 5)
		if n := d.Claims.TasksWithinQuota(job, shard); n != 2 {
			t.Errorf("%d tasks are allowed beside one that is planned and one that still stops", n)
		}
		time.Sleep(tuning.QuotaShortfallValidity)
		d.SyncCache(7)
		d.Claims.Tick(time.Now()) // idle from now on
		time.Sleep(tuning.ContendedAllocationReleaseDelay)
		d.SyncCache(7)
		d.Claims.Tick(time.Now())
		if n := d.Claims.TasksWithinQuota(job, shard); n != 0 {
			t.Errorf("%d tasks are allowed of what is being given back", n)
		}
		synctest.Wait()
		d.RunNext() // no answer: it may have been made
		if n := d.Claims.TasksWithinQuota(job, shard); n != 0 {
			t.Errorf("%d tasks are allowed of what may be another share's", n)
		}
		d.WriteRecord(jobs.QuotaPrefix+"666577", quota.Record{ByShard: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 2}}}, 9)
		if n := d.Claims.TasksWithinQuota(job, shard); n != 2 {
			t.Errorf("%d tasks are allowed once the record is another, so that the late write can't come", n)
		}
	})
}

// A claim went without an answer and was made again; the first write was carried out after all,
// the watch told of it, the gang was started, and then the second one was answered: refused. The
// gang forgot its try and was stopped.
func TestAClaimThatWasMadeByItsFirstWriteStands(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	machine := d.AddMachine("i-1", "n0", "m16", false)
	d.SetOwner("n0", harness.Self, 5)
	d.SyncCache(5)
	d.Heartbeat("i-1", 1, 5)
	spec := jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 1}
	job := d.AddJob(spec, 2, 6)
	d.Claims.Claim(job, d.Membership.Shard("n0"), 2, "", func(taskRange *clusterstate.TaskRange) bool {
		d.State.BeginGangAttempt(job, 9)
		for i := range 2 {
			d.State.Place(taskRange, i, machine, 9)
		}
		return true
	})
	d.WriteRecord(jobs.RangeKey("wk-1", 0), jobs.RangeRecord{Shard: "n0", Count: 2, GangWorkers: []string{"i-1"}}, 7)
	d.WriteRecord(jobs.JobKey("wk-1"), jobs.JobRecord{Spec: spec}, 7)
	if !d.State.GangCanStart(job) {
		t.Fatal("the claim is durable, and the gang is not started")
	}
	d.State.StartGang(job)
	d.RunNext() // the second write was refused
	if try, started := job.GangAttempt(); try != 9 || !started || job.TaskRange(0) == nil || job.TaskRange(0).CountTasks(clusterstate.TaskPlaced) != 2 {
		t.Errorf("its try is %d, started: %v", try, started)
	}
}

// Tasks in the middle of a range are given back: those behind them go on where they are, in a range of
// their own, whichever of the records of that write the watch tells first, and also if none is left
// before them.
func TestARangeIsSplitInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		k, n  int
		order []int // of the records of the write
	}{{1, 3, []int{0, 1, 2}}, {1, 3, []int{2, 1, 0}}, {0, 4, []int{0, 1, 2}}, {0, 4, []int{2, 0, 1}}} {
		d := harness.New(t, nil)
		d.Cache.ApplyEvents(nil, 5)
		d.AddMachine("i-1", "n0", "m16", false)
		job := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 5, CPU: 1}, 0, 4)
		taskRange := d.AddTaskRange("wk-1", "n0", 5, 4)
		d.SetOwner("n0", harness.Self, 10)
		d.SyncCache(10)
		there := []workerapi.TaskStatus{{Task: "wk-1/4", Attempt: 3, Status: workerapi.StatusRunning}}
		if c.k > 0 {
			there = append(there, workerapi.TaskStatus{Task: "wk-1/0", Attempt: 3, Status: workerapi.StatusRunning})
		}
		d.Heartbeat("i-1", 5, 10, there...)
		taskRange.MarkUnknownReady()
		taskRange.BeginUnclaim(c.k, c.n)
		record := *job.Record()
		record.Unclaimed = []jobs.TaskInterval{{First: c.k, Count: c.n}}
		first := kvstore.Event{DeletedKey: jobs.RangeKey("wk-1", 0), Revision: 20}
		if c.k > 0 {
			first = harness.Event(jobs.RangeKey("wk-1", 0), taskRange.Subrange(0, c.k), 20)
		}
		news := []kvstore.Event{harness.Event(jobs.JobKey("wk-1"), record, 20), first, harness.Event(jobs.RangeKey("wk-1", 4), taskRange.Subrange(4, 1), 20)}
		var told []kvstore.Event
		for _, i := range c.order {
			told = append(told, news[i])
		}
		d.Cache.ApplyEvents(told, 20)
		behind := job.TaskRange(4)
		if behind == nil || behind.Len() != 1 || behind.TaskState(0) != clusterstate.TaskPlaced || behind.Assignment(0).Machine().Host() != "i-1" {
			t.Fatalf("%+v: behind: %+v", c, behind)
		}
		if before := job.TaskRange(0); (before != nil) != (c.k > 0) || before != nil && (before.Len() != 1 || before.TaskState(0) != clusterstate.TaskPlaced) {
			t.Errorf("%+v: before: %+v", c, before)
		}
		if taskRange, at := d.State.FindTask("wk-1", 2); taskRange != nil {
			t.Errorf("%+v: a task that was given back is in a range, at %d", c, at)
		}
		if assignment := d.State.Machine("i-1").Assignment("wk-1/4"); assignment == nil || assignment.Status().Stopping || assignment.Job() != job {
			t.Errorf("%+v: the task behind is %+v", c, assignment)
		}
	}
}
