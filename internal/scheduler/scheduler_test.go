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

func aimed(d *harness.Harness) {
	d.Cfg.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "own"}}
}

// A guest's long tasks took all the room within seconds, and work with deadlines
// of the same priority, which may not stop them, waited for minutes.
func TestBackgroundWorkLeavesRoomToClassesWithAnAim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, aimed)
		d.OfferMachineTypes("m16")
		d.SetOwner("n0", harness.Self, 4)
		for i := range 10 {
			d.State.EndHeartbeat(d.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
		}
		due := 60.0
		own := jobs.Spec{Class: "own", Kind: jobs.Array, Urgency: "idle", Tasks: 40, CPU: 2, EstimatedRunSeconds: 20, DeadlineSeconds: &due}
		for i := range 4 {
			own.Ref = fmt.Sprintf("wk-%d", i)
			at := time.Now().Add(-time.Duration(40-10*i) * time.Second)
			d.ClassStats.RecordArrival(&jobs.JobRecord{Spec: own, AcceptedAtMS: at.UnixMilli()}, at.UnixMilli(), time.Now())
		}
		spec := jobs.Spec{Ref: "wk-9", Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 200, CPU: 1, EstimatedRunSeconds: 300, Spot: true}
		guest := d.AddJob(spec, 200, 5)
		if !guest.IsBackground() || !guest.IsBestEffort() {
			t.Fatalf("the guest's work: background %v, leftover %v", guest.IsBackground(), guest.IsBestEffort())
		}
		if n := d.Scheduler.AllocableTasks(guest); n < 20 || n > 130 {
			t.Errorf("%d of 160 CPUs are open to the guest", n)
		}
		// Then no more of the others come.
		time.Sleep(5 * time.Minute)
		d.Scheduler.StartCycle()
		if n := d.Scheduler.AllocableTasks(guest); n != 160 {
			t.Errorf("%d of 160 CPUs are open while nothing else comes", n)
		}
		// Neither forgotten.
		time.Sleep(time.Minute)
		d.Scheduler.Recount(time.Now())
		if guest.IsBestEffort() {
			t.Error("no machine is rented for it, however long it waits")
		}
	})
}

func TestWhatIsLeftOverIsSharedByTeam(t *testing.T) {
	d := harness.New(t, aimed)
	waiting := func(ref, team string) *clusterstate.Job {
		return d.AddJob(jobs.Spec{Ref: ref, Team: team, Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 50, CPU: 1, EstimatedRunSeconds: 300, Spot: true}, 30, 5)
	}
	flood, late := waiting("wk-1", "loud"), waiting("wk-2", "quiet")
	d.AddTaskRange("wk-1", "n1", 20, 6)
	queue := []*clusterstate.Job{flood, late}
	d.Scheduler.SortQueue(queue)
	if queue[0] != late {
		t.Error("the team that has 20 tasks running goes before the one that has none")
	}
}

// Arrays went to the ordinary room that is kept for gangs before cheap machines:
// a seventh of their tasks was stopped again, and the machines never fell empty.
func TestArraysGoFirstWhereNoUrgentGangMayStopThem(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	array := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 1, 2)
	dear, cheap := d.AddMachine("i-1", "n1", "m16", false), d.AddMachine("i-2", "n1", "m16", true)
	gang := jobs.Spec{Class: "g", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
	d.ClassStats.RecordArrival(&jobs.JobRecord{Spec: gang}, 0, time.Now())
	if d.Scheduler.Score(array, cheap) <= d.Scheduler.Score(array, dear) {
		t.Error("kept ordinary room goes before cheap machines that gangs may not use")
	}
	gang.Spot = true
	d.ClassStats.RecordArrival(&jobs.JobRecord{Spec: gang}, 0, time.Now())
	if d.Scheduler.Score(array, dear) <= d.Scheduler.Score(array, cheap) {
		t.Error("where gangs may use both, what is kept for them is lent first")
	}
}

// The pause of a blamed job, minutes long, was armed in the one timer there was,
// and every claim that staggers by 120 ms waited for the next recount.
func TestALongWaitDoesNotDelayAShortOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.Scheduler.RequestCycle(5 * time.Minute)
		d.Scheduler.RequestCycle(100 * time.Millisecond)
		d.Scheduler.RequestCycle(time.Second) // the one before it will do
		d.State.ClearDirty()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		d.RunNext()
		if !d.State.IsDirty() || d.Scheduler.HasRequestedCycle() || len(d.Mailbox.Messages()) > 0 {
			t.Errorf("after 200 ms: touched %v, armed %v, %d more", d.State.IsDirty(), d.Scheduler.HasRequestedCycle(), len(d.Mailbox.Messages()))
		}
	})
}

// A machine was lost while a gang waited for room there: its other tasks kept
// their places for ever and it never started (sinai-huts-booking-fleet, zone, six
// seeds of six).
func TestAPlannedGangThatLosesAMachineIsPlacedAnew(t *testing.T) {
	d := harness.New(t, nil)
	d.OfferMachineTypes("m16")
	d.SetOwner("n0", harness.Self, 2)
	for i := range 3 {
		d.State.EndHeartbeat(d.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
	}
	job := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 0, 4)
	taskRange := d.AddTaskRange("wk-1", "n0", 4, 4)
	d.SyncCache(5)
	d.Reconciler.Check(time.Now())
	d.Scheduler.RunCycle(time.Now())
	if n := taskRange.CountTasks(clusterstate.TaskPlaced); n != 4 {
		t.Fatalf("%d of 4 tasks placed", n)
	}
	lost := taskRange.Assignment(0).Machine()
	d.State.MarkLost(lost)
	for range 2 {
		d.Scheduler.RunCycle(time.Now())
	}
	if n := taskRange.CountTasks(clusterstate.TaskPlaced); n != 4 || lost.AssignmentCount() > 0 {
		t.Errorf("%d of 4 tasks placed, %d on the lost machine", n, lost.AssignmentCount())
	}
	if why := d.Scheduler.WaitReason(job); why != "" {
		t.Errorf("a job that does not wait waits for %q", why)
	}
}

// The best placed controller claims a new job; another waits for its turn, and the job
// says why nothing was found for it.
func TestAJobTellsWhyItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.OfferMachineTypes("m16")
		d.SetOwner("n0", harness.Self, 2)
		d.State.EndHeartbeat(d.AddMachine("i-1", "n0", "m16", false), true, false)
		job := d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 4, 4)
		time.Sleep(3 * tuning.ClaimStaggerDelay)
		d.SyncCache(5)
		d.Scheduler.RunCycle(time.Now())
		if job.InTransaction() || d.Scheduler.WaitReason(job) != "2 tasks fit, 4 needed" {
			t.Errorf("busy %v, why: %q", job.InTransaction(), d.Scheduler.WaitReason(job))
		}
	})
}
