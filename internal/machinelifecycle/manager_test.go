package machinelifecycle_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// One release request per machine would exceed the cloud's limit of 3 requests a second.
func TestReleasesAreBatched(t *testing.T) {
	h := harness.New(t, nil)
	h.SetOwner("n0", harness.Self, 2)
	for i := range 130 {
		h.Machines.Release(h.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	h.Machines.SendReleases()
	h.RunNext() // handles the result of the request
	if h.Cloud.ReleaseCallCount != 1 || h.Cloud.ReleasedHostCount != 100 || h.Machines.PendingReleaseCount() != 30 {
		t.Errorf("%d requests for %d machines, %d pending", h.Cloud.ReleaseCallCount, h.Cloud.ReleasedHostCount, h.Machines.PendingReleaseCount())
	}
}

// unreachableWorkers fails every command with a timeout.
type unreachableWorkers struct{}

func (unreachableWorkers) Inspect(context.Context, string) error { return context.DeadlineExceeded }

func (unreachableWorkers) Probe(context.Context, string, uint64, uint64) (*workerapi.Heartbeat, error) {
	return nil, context.DeadlineExceeded
}

func (unreachableWorkers) Execute(context.Context, string, workerapi.CommandRequest) (*workerapi.Heartbeat, bool, error) {
	return nil, false, context.DeadlineExceeded
}

// A machine was being released when the controller that owned it ended. The machine delayed the
// reconciliation of its shard until it had missed three heartbeats, although the cloud no longer
// listed it.
func TestUnansweredProbeChecksCloudListingAtOnce(t *testing.T) {
	h := harness.New(t, func(h *harness.Harness) {
		h.Workers, h.Cfg.Cluster.Cloud.ListLagSeconds = unreachableWorkers{}, 8
		h.Cloud.Machines = []cloud.Machine{{Host: "i-2", Status: "running"}}
	})
	for _, host := range []string{"i-1", "i-2"} {
		h.AddMachine(host, "n1", "m16", false)
	}
	h.SyncCache(100)
	h.SetOwner("n1", harness.Self, 6)
	h.RunNext()
	h.RunNext() // the failures of both probes are handled
	h.Machines.CheckCloudListing(time.Now())
	h.RunNext() // handles the machine list
	isUnlistedMachineLost, isListedMachineLost := h.State.Machine("i-1").IsLost(), h.State.Machine("i-2").IsLost()
	if !isUnlistedMachineLost || isListedMachineLost {
		t.Errorf("lost: unlisted machine %v, listed machine %v", isUnlistedMachineLost, isListedMachineLost)
	}
}

// A few long tasks on each of many machines kept all machines from being released: half of the paid
// capacity was idle for four minutes.
func TestLongTasksAreConsolidated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, nil)
		h.OfferMachineTypes("m16")
		h.Cache.ApplyEvents(nil, 100)
		spec := jobs.Spec{Ref: "wk-1", Class: "c", Kind: jobs.Array, Urgency: "idle", Tasks: 12, CPU: 4, EstimatedRunSeconds: 300, Spot: true, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 3}
		h.AddJob(spec, 0, 5)
		h.SetOwner("n0", harness.Self, 6)
		taskRange := h.AddTaskRange("wk-1", "n0", 12, 7)
		nextTask := 0
		for i, taskCount := range []int{1, 2, 3} { // tasks on each machine
			machine := h.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false)
			h.State.EndHeartbeat(machine, false, false)
			for range taskCount {
				h.State.UpdateStatus(h.State.Place(taskRange, nextTask, machine, 1), workerapi.StatusRunning, time.Now())
				nextTask++
			}
		}
		isDrained := func(i int) bool { return h.State.Machine(fmt.Sprintf("i-%d", i)).IsCordoned() }
		time.Sleep(4*time.Minute + 30*time.Second) // the expected run time is 5 minutes
		h.Machines.MarkSurplus()
		h.Machines.Consolidate(time.Now())
		if isDrained(0) {
			t.Error("machine drained although its task is nearly done")
		}
		assignment := taskRange.Assignment(0)
		machine := assignment.Machine()
		h.State.Unplace(assignment)
		h.State.UpdateStatus(h.State.Place(taskRange, 0, machine, 2), workerapi.StatusRunning, time.Now())
		for i := 1; i < nextTask; i++ {
			h.State.UpdateStatus(taskRange.Assignment(i), workerapi.StatusPulling, time.Now())
			h.State.UpdateStatus(taskRange.Assignment(i), workerapi.StatusRunning, time.Now())
		}
		time.Sleep(max(40*time.Second, tuning.ConsolidationInterval))
		h.Machines.MarkSurplus()
		h.Machines.Consolidate(time.Now())
		if !isDrained(0) || isDrained(1) || isDrained(2) {
			t.Error("only the machine with the fewest tasks should be drained; its task fits on the others")
		}
	})
}

// The tasks of a worker are lost when its lease expires, and a later heartbeat of the same
// agent epoch does not restore them.
func TestHeartbeatAfterLeaseExpiryRestoresNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := harness.New(t, nil)
		h.OfferMachineTypes("m16")
		machine := h.AddMachine("i-1", "n0", "m16", false)
		h.Cache.ApplyEvents(nil, 5)
		h.SetOwner("n0", harness.Self, 5)
		h.SyncCache(5)
		h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 6)
		taskRange := h.AddTaskRange("wk-1", "n0", 1, 7)
		runningTask := workerapi.TaskStatus{Task: "wk-1/0", Attempt: 9, Status: workerapi.StatusRunning}
		h.Heartbeat("i-1", 1, 5, runningTask)
		if taskRange.Assignment(0) == nil {
			t.Fatal("no assignment for the reported task")
		}
		time.Sleep(h.Cfg.WorkerLeaseExpiryDelay() + 2*time.Second)
		h.SyncCache(5)
		h.Machines.Tick(time.Now())
		if !machine.IsLost() || taskRange.Assignment(0) != nil {
			t.Fatal("the task is still assigned after its worker's lease expired")
		}
		if response := h.Heartbeat("i-1", 2, 5, runningTask); response.StatusCode != 503 || taskRange.Assignment(0) != nil {
			t.Errorf("response to the late heartbeat: %+v", response)
		}
	})
}

// An idle machine is kept for a gang that waits for other machines to boot, but not for a gang that
// cannot start because of its team's quota.
func TestIdleMachineIsNotKeptForJobBlockedByQuota(t *testing.T) {
	for _, test := range []struct {
		name              string
		cpusUsedElsewhere float64
		wantKept          bool
	}{
		{"gang within quota", 0, true},
		{"gang above quota", 20, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := harness.New(t, func(h *harness.Harness) { h.Cfg.Cluster.Teams = []config.Team{{Name: "few", MaxCPUs: 28}} })
				h.OfferMachineTypes("m16")
				machine := h.AddMachine("i-1", "n0", "m16", false)
				h.Cache.ApplyEvents(nil, 5)
				h.SetOwner("n0", harness.Self, 5)
				h.SyncCache(5)
				h.Heartbeat("i-1", 1, 5)
				gang := jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
				h.AddJob(gang, 4, 6)
				if test.cpusUsedElsewhere > 0 { // a job in another shard uses a part of the quota
					h.AddJob(jobs.Spec{Ref: "wk-2", Team: "few", Kind: jobs.Array, Urgency: "high", Tasks: 1, CPU: test.cpusUsedElsewhere}, 0, 6)
					h.AddTaskRange("wk-2", "n1", 1, 7)
				}
				time.Sleep(tuning.MinChargedPeriod + tuning.MaxIdlePeriod)
				h.SyncCache(7)
				h.Heartbeat("i-1", 2, 5)
				h.Machines.Maintain(time.Now())
				if machine.IsReleasing() == test.wantKept {
					t.Errorf("%v of 28 CPUs used elsewhere: released %v", test.cpusUsedElsewhere, machine.IsReleasing())
				}
			})
		})
	}
}

// The owner of a shard changed soon after machines of the shard had been released. Their records
// remained, since the shard's epoch was a precondition of their deletion, and the next owner waited
// 13 to 36 s for machines that no longer existed.
func TestReleasedMachineRecordsAreDeletedAfterShardOwnerChange(t *testing.T) {
	h := harness.New(t, nil)
	h.SetOwner("n0", harness.Self, 2)
	h.Cloud.AcceptsReleases = true
	for i := range 50 {
		h.Machines.Release(h.AddMachine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	h.Machines.SendReleases()
	h.SetOwner("n0", harness.OtherNode, 8)
	h.Store.AcceptFrom(9)
	h.RunNext() // handles the result of the request
	h.RunNext()
	h.RunNext() // the results of both transactions are handled
	if _, remainingRecordCount := h.State.Sizes(); remainingRecordCount != 0 || len(h.Store.Transactions()) != 2 {
		t.Errorf("%d records left after %d transactions", remainingRecordCount, len(h.Store.Transactions()))
	}
	for _, txn := range h.Store.Transactions() {
		for _, condition := range txn.Conditions {
			if !strings.HasPrefix(condition.Key, jobs.WorkerPrefix) || condition.Revision == 0 {
				t.Errorf("unexpected precondition of a deletion: %+v", condition)
			}
		}
	}
}

// Tasks on a machine that moves to another shard would never run. No path leads there; if one does after all, it is
// reported.
func TestMoveOfMachineWithTasksIsReported(t *testing.T) {
	h := harness.New(t, nil)
	h.OfferMachineTypes("m16")
	h.Cache.ApplyEvents(nil, 5)
	h.SetOwner("n0", harness.Self, 6)
	h.AddJob(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 7)
	taskRange := h.AddTaskRange("wk-1", "n0", 1, 8)
	empty, used := h.AddMachine("i-1", "n0", "m16", false), h.AddMachine("i-2", "n0", "m16", false)
	h.State.Place(taskRange, 0, used, 1)
	for revision, machine := range []*clusterstate.Machine{empty, used} {
		record := *machine.Record()
		record.Shard = harness.OtherNode
		h.WriteRecord(jobs.WorkerPrefix+machine.Host(), record, uint64(20+revision))
	}
	if count := h.Violations.Counts()[decisionlog.MovedMachinesEmpty]; count != 1 {
		t.Errorf("%d violations reported for a machine without and one with a task, want one", count)
	}
	h.ExpectViolations(t, 1)
}
