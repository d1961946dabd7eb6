package machinelifecycle_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// Each machine was returned by a call of its own; the cloud takes 3 a second.
func TestMachinesAreReturnedTogether(t *testing.T) {
	d := harness.New(t, nil)
	d.SetOwner("n0", harness.Self, 2)
	for i := range 130 {
		d.Machines.Release(d.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	d.Machines.SendReleases()
	d.RunNext() // the outcome
	if d.Cloud.ReleaseCalls != 1 || d.Cloud.ReleasedHosts != 100 || d.Machines.PendingReleases() != 30 {
		t.Errorf("%d calls for %d machines, %d wait", d.Cloud.ReleaseCalls, d.Cloud.ReleasedHosts, d.Machines.PendingReleases())
	}
}

type unreachableWorkers struct{}

func (unreachableWorkers) Inspect(context.Context, string) error { return context.DeadlineExceeded }

func (unreachableWorkers) Probe(context.Context, string, uint64, uint64) (*workerapi.Heartbeat, error) {
	return nil, context.DeadlineExceeded
}

func (unreachableWorkers) Execute(context.Context, string, workerapi.CommandRequest) (*workerapi.Heartbeat, bool, error) {
	return nil, false, context.DeadlineExceeded
}

// A machine that was being returned when its controller ended held back its share
// until it had missed three reports, although the cloud no longer listed it.
func TestAMachineThatDoesNotAnswerIsLookedForAtOnce(t *testing.T) {
	d := harness.New(t, func(d *harness.Harness) {
		d.Workers, d.Cfg.Cluster.Cloud.ListLagS = unreachableWorkers{}, 8
		d.Cloud.Machines = []cloud.Machine{{Host: "i-2", Status: "running"}}
	})
	for _, host := range []string{"i-1", "i-2"} {
		d.AddMachine(host, "n1", "m16", false)
	}
	d.SyncCache(100)
	d.SetOwner("n1", harness.Self, 6)
	d.RunNext()
	d.RunNext() // both greetings have failed
	d.Machines.CheckCloudListing(time.Now())
	d.RunNext() // the list
	if gone, silent := d.State.Machine("i-1").IsLost(), d.State.Machine("i-2").IsLost(); !gone || silent {
		t.Errorf("gone: %v, listed and only silent: %v", gone, silent)
	}
}

// A few long tasks on each of many machines kept all of them: half of what was
// paid for stood empty for four minutes.
func TestLongTasksAreGatheredOnFewerMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.OfferMachineTypes("m16")
		d.Cache.ApplyEvents(nil, 100)
		spec := jobs.Spec{Ref: "wk-1", Class: "c", Kind: jobs.Array, Urgency: "idle", Tasks: 12, CPU: 4, EstimatedRunSeconds: 300, Spot: true, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 3}
		d.AddJob(spec, 0, 5)
		d.SetOwner("n0", harness.Self, 6)
		taskRange := d.AddTaskRange("wk-1", "n0", 12, 7)
		next := 0
		for i, n := range []int{1, 2, 3} { // tasks on each machine
			machine := d.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false)
			d.State.EndHeartbeat(machine, false, false)
			for range n {
				d.State.UpdateStatus(d.State.Place(taskRange, next, machine, 1), workerapi.StatusRunning, time.Now())
				next++
			}
		}
		drained := func(i int) bool { return d.State.Machine(fmt.Sprintf("i-%d", i)).IsCordoned() }
		time.Sleep(4*time.Minute + 30*time.Second) // of 5 expected
		d.Machines.MarkSurplus()
		d.Machines.Consolidate(time.Now())
		if drained(0) {
			t.Error("a task that is nearly done is moved")
		}
		assignment := taskRange.Assignment(0)
		machine := assignment.Machine()
		d.State.Unplace(assignment)
		d.State.UpdateStatus(d.State.Place(taskRange, 0, machine, 2), workerapi.StatusRunning, time.Now())
		for i := 1; i < next; i++ {
			d.State.UpdateStatus(taskRange.Assignment(i), workerapi.StatusPulling, time.Now())
			d.State.UpdateStatus(taskRange.Assignment(i), workerapi.StatusRunning, time.Now())
		}
		time.Sleep(max(40*time.Second, tuning.ConsolidationInterval))
		d.Machines.MarkSurplus()
		d.Machines.Consolidate(time.Now())
		if !drained(0) || drained(1) || drained(2) {
			t.Error("the emptiest machine's task fits on the others: it alone is emptied")
		}
	})
}

// A worker that is silent for longer than its lease has lost its tasks, and what it says
// later in the same session brings none of them back.
func TestAWorkerThatComesBackLateHasNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := harness.New(t, nil)
		d.OfferMachineTypes("m16")
		machine := d.AddMachine("i-1", "n0", "m16", false)
		d.Cache.ApplyEvents(nil, 5)
		d.SetOwner("n0", harness.Self, 5)
		d.SyncCache(5)
		d.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 6)
		taskRange := d.AddTaskRange("wk-1", "n0", 1, 7)
		running := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 9, Status: workerapi.StatusRunning}
		d.Heartbeat("i-1", 1, 5, running)
		if taskRange.Assignment(0) == nil {
			t.Fatal("the task is not known where it runs")
		}
		time.Sleep(d.Cfg.WorkerLeaseExpiryDelay() + 2*time.Second)
		d.SyncCache(5)
		d.Machines.Tick(time.Now())
		if !machine.IsLost() || taskRange.Assignment(0) != nil {
			t.Fatal("the task of a worker without a lease has its place yet")
		}
		if v := d.Heartbeat("i-1", 2, 5, running); v.StatusCode != 503 || taskRange.Assignment(0) != nil {
			t.Errorf("its report was answered %+v", v)
		}
	})
}

// An idle machine is kept for a gang that waits for others to boot, but not for one that
// its team's limit keeps from starting.
func TestNoMachineIsKeptForWhatALimitKeepsFromStarting(t *testing.T) {
	for used, kept := range map[float64]bool{0: true, 20: false} {
		synctest.Test(t, func(t *testing.T) {
			d := harness.New(t, func(d *harness.Harness) { d.Cfg.Cluster.Teams = []config.Team{{Name: "few", MaxCPUs: 28}} })
			d.OfferMachineTypes("m16")
			machine := d.AddMachine("i-1", "n0", "m16", false)
			d.Cache.ApplyEvents(nil, 5)
			d.SetOwner("n0", harness.Self, 5)
			d.SyncCache(5)
			d.Heartbeat("i-1", 1, 5)
			gang := jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
			d.AddJob(gang, 4, 6)
			if used > 0 { // by another share
				d.AddJob(jobs.Spec{Ref: "wk-2", Team: "few", Kind: jobs.Array, Urgency: "high", Tasks: 1, CPU: used}, 0, 6)
				d.AddTaskRange("wk-2", "n1", 1, 7)
			}
			time.Sleep(tuning.MinChargedPeriod + tuning.MaxIdlePeriod)
			d.SyncCache(7)
			d.Heartbeat("i-1", 2, 5)
			d.Machines.Maintain(time.Now())
			if machine.IsReleasing() == kept {
				t.Errorf("%v of 28 CPUs used elsewhere: returned %v", used, machine.IsReleasing())
			}
		})
	}
}

// A share changed hands a moment after machines of it had been returned. The records
// stayed, since dropping them was bound to the share, and its next holder waited for 13 to
// 36 s for machines that were gone.
func TestWhatWasReturnedIsDroppedWhoeverHoldsTheShare(t *testing.T) {
	d := harness.New(t, nil)
	d.SetOwner("n0", harness.Self, 2)
	d.Cloud.AcceptsReleases = true
	for i := range 50 {
		d.Machines.Release(d.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	d.Machines.SendReleases()
	d.SetOwner("n0", harness.OtherNode, 8)
	d.Store.AcceptFrom(9)
	d.RunNext() // the cloud's answer
	d.RunNext()
	d.RunNext() // both changes
	if _, left := d.State.Sizes(); left != 0 || len(d.Store.Transactions()) != 2 {
		t.Errorf("%d records left after %d changes", left, len(d.Store.Transactions()))
	}
	for _, x := range d.Store.Transactions() {
		for _, c := range x.Conditions {
			if !strings.HasPrefix(c.Key, jobs.WorkerPrefix) || c.Revision == 0 {
				t.Errorf("a drop is bound to %+v", c)
			}
		}
	}
}
