package autoscaler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/jobs"
	"cherrywall/internal/scheduler"
)

func newTestAutoscaler() *Autoscaler {
	a := New("n0", 7, &config.Config{}, nil, nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.machineTypes["m4"] = cloud.MachineType{Name: "m4", CPU: 4, MemGB: 16, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 20, Zones: []string{"a", "b"}}
	return a
}

func waitingJob(kind string, tasks int, cpu, runs float64) scheduler.PendingJob {
	return scheduler.PendingJob{Record: jobs.JobRecord{Spec: jobs.Spec{Kind: kind, Tasks: tasks, OneZone: kind == jobs.Gang}},
		Need: capacity.Resources{CPU: cpu, MemGB: 1}, Tasks: tasks, RunSeconds: runs, Waiting: time.Second}
}

func machineCount(orders []cloud.ScaleOutRequest) int {
	n := 0
	for _, request := range orders {
		n += request.Count
	}
	return n
}

// An estimate of nothing made the work due nothing, and no machine was rented
// although there was none.
func TestAJobWithoutAnEstimateGetsAMachine(t *testing.T) {
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{waitingJob(jobs.Array, 5, 1, 0)}}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n != 1 {
		t.Errorf("%d machines ordered", n)
	}
}

func TestOnlyWhatAGangLacksIsRented(t *testing.T) {
	job := waitingJob(jobs.Gang, 8, 2, 60)
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job},
		FittingTasks: map[capacity.Resources]map[string]int{job.Need: {"a": 5, "b": 2}}}
	a := newTestAutoscaler()
	orders := a.planScaleOut(demand)
	if n := machineCount(orders); n != 2 || orders[0].Zone != "a" {
		t.Fatalf("%+v", orders)
	}
	// What is on its way is not ordered again.
	for i, host := range []string{"i-1", "i-2"} {
		_ = i
		a.pending[host] = &pendingMachine{capacity.Group{Zone: "a", MachineType: "m4"}, time.Now()}
	}
	demand.FittingTasks = map[capacity.Resources]map[string]int{job.Need: {"a": 5, "b": 2}}
	if again := a.planScaleOut(demand); len(again) != 0 {
		t.Errorf("ordered again: %+v", again)
	}
}

func TestArraysUseCheapMachinesAndExistingOnesFirst(t *testing.T) {
	job := waitingJob(jobs.Array, 40, 1, 30)
	job.Record.Spot = true
	a := newTestAutoscaler()
	orders := a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})
	for _, request := range orders {
		if !request.Spot {
			t.Errorf("an ordinary machine was ordered: %+v", request)
		}
	}
	more := machineCount(orders)
	// Three machines that are there. Dear ones count if they are there for urgent gangs
	// anyway; else cheap ones are to take their work over, but never more dear ones.
	for _, c := range []struct {
		spot bool
		kept float64
		want int
	}{{true, 0, more - 3}, {false, 12, more - 3}, {false, 4, more - 1}, {false, 0, more}} {
		have := map[string]capacity.Group{}
		for _, host := range []string{"i-1", "i-2", "i-3"} {
			have[host] = capacity.Group{Zone: "a", MachineType: "m4", Spot: c.spot}
		}
		demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, LiveMachines: have, UrgentGangCPU: c.kept}
		if n := machineCount(a.planScaleOut(demand)); n != c.want {
			t.Errorf("%+v: %d ordered, %d without them", c, n, more)
		}
		for zone := range a.zones() {
			a.refusedAt[capacity.Group{Zone: zone, MachineType: "m4", Spot: true}] = time.Now()
		}
		if n := machineCount(a.planScaleOut(demand)); n != more-3 {
			t.Errorf("%+v: %d dear ones ordered where cheap ones can't be had", c, n)
		}
		clear(a.refusedAt)
	}
}

func TestTheOperatorsLimitsHold(t *testing.T) {
	job := waitingJob(jobs.Array, 400, 1, 30)
	job.Record.Spot = true
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}}
	demand.Settings.Spot, demand.Settings.MaxMachines = false, 3
	orders := newTestAutoscaler().planScaleOut(demand)
	if n := machineCount(orders); n != 3 || orders[0].Spot {
		t.Errorf("%+v", orders)
	}
	demand.Settings.MaxMachinesPerType = map[string]int{"m4": 1}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n != 1 {
		t.Errorf("%d of a type limited to one", n)
	}
}

// The cloud gives at most 50 at once, and a kind that has no more was noticed
// one round later: a burst waited 15 s for its machines.
func TestALargeLackIsRentedInOneRound(t *testing.T) {
	a := newTestAutoscaler()
	c := &limitedCloud{remaining: map[bool]int{true: 30, false: 1000}}
	a.provider, a.controller = c, fixedDemand{scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(),
		Jobs: []scheduler.PendingJob{waitingJob(jobs.Array, 4000, 1, 60)}}}
	a.controller.(fixedDemand).demand.Jobs[0].Record.Spot = true
	a.listedAt, a.leaseID, a.leaseRenewedAt = time.Now(), 1, time.Now()
	a.runCycle(t.Context())
	if len(a.pending) < 200 || c.remaining[true] != 0 || c.largestRequest > 50 {
		t.Errorf("%d machines on their way, %d cheap ones left, %d asked at once", len(a.pending), c.remaining[true], c.largestRequest)
	}
}

type fixedDemand struct{ demand scheduler.Demand }

func (p fixedDemand) SetMachineTypes([]cloud.MachineType) {}
func (p fixedDemand) SetBootTimes(map[string]float64)     {}
func (p fixedDemand) Demand() scheduler.Demand            { return p.demand }

// limitedCloud has so many machines left, by kind.
type limitedCloud struct {
	remaining               map[bool]int
	created, largestRequest int
	listing                 []cloud.Machine
}

func (c *limitedCloud) ScaleOut(_ context.Context, request cloud.ScaleOutRequest) ([]string, error) {
	c.largestRequest = max(c.largestRequest, request.Count)
	if c.remaining[request.Spot] == 0 {
		return nil, cloud.ErrNoCapacity
	}
	var out []string
	for range min(request.Count, c.remaining[request.Spot]) {
		c.created++
		c.remaining[request.Spot]--
		out = append(out, fmt.Sprintf("i-%d", c.created))
	}
	return out, nil
}
func (c *limitedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) { return nil, nil }
func (c *limitedCloud) Release(context.Context, []string) error                   { return nil }

// A guest's long tasks under way counted whole against the next job's deadline:
// every machine there was got rented for them.
func TestLongWorkUnderWayIsNotDueAtOnce(t *testing.T) {
	job := waitingJob(jobs.Array, 40, 1, 10)
	job.Record.Spot = true
	have := map[string]capacity.Group{}
	for i := range 100 {
		have[fmt.Sprintf("i-%d", i)] = capacity.Group{Zone: "a", MachineType: "m4"}
	}
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, LiveMachines: have,
		Running: map[string]scheduler.RunningWork{"guest": {CPU: 390, RemainingSeconds: 300, Background: true}}}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n > 10 {
		t.Errorf("%d machines for 40 short tasks", n)
	}
}

func TestBackgroundWorkHasNoDearMachinesRented(t *testing.T) {
	job := waitingJob(jobs.Array, 4000, 1, 300)
	job.Record.Spot, job.Background, job.Leftover = true, true, true
	a := newTestAutoscaler()
	for _, request := range a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}}) {
		if !request.Spot {
			t.Fatalf("ordered: %+v", request)
		}
	}
	for _, zone := range []string{"a", "b"} { // there are no cheap ones left
		a.refusedAt[capacity.Group{Zone: zone, MachineType: "m4", Spot: true}] = time.Now()
	}
	if n := machineCount(a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})); n != 0 {
		t.Errorf("%d dear machines ordered", n)
	}
	job.Leftover = false
	if n := machineCount(a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})); n == 0 {
		t.Error("forgotten")
	}
}

func (c *limitedCloud) List(context.Context) ([]cloud.Machine, error) { return c.listing, nil }

// Every machine that was late was ordered again; all of them were.
func TestLateMachinesAreNotOrderedAgainAndAgain(t *testing.T) {
	for _, missing := range []bool{false, true} {
		a := newTestAutoscaler()
		job := waitingJob(jobs.Array, 160, 1, 300)
		demand := scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, RecordedMachines: map[string]bool{}}
		a.controller = fixedDemand{demand}
		first := machineCount(a.planScaleOut(demand))
		booted := 0
		if missing {
			booted = first - 3 // the others were up in time
		}
		for i := range first {
			a.pending[fmt.Sprintf("i-%d", i)] = &pendingMachine{capacity.Group{Zone: "a", MachineType: "m4"}, time.Now().Add(-100 * time.Second)}
		}
		have := map[string]capacity.Group{}
		for i := range booted {
			host := fmt.Sprintf("i-%d", i)
			have[host] = a.pending[host].group
			a.bootTimes.Observe(forecast.TypeZone{MachineType: "m4", Zone: "a"}, time.Now().Add(-100*time.Second), 20*time.Second)
			delete(a.pending, host)
		}
		demand.LiveMachines = have
		a.updateBootTimes(demand)
		switch n := machineCount(a.planScaleOut(demand)); {
		case !missing && n > 0:
			t.Errorf("%d ordered anew while all are late", n)
		case missing && (n < 2 || n > 4):
			t.Errorf("%d ordered for three that are missing", n)
		}
	}
}

// A machine that booted in a second and was returned at once stood in the lagging
// list as booting, and counted as coming for minutes.
func TestAReturnedMachineInAnOldListIsNotComing(t *testing.T) {
	a := newTestAutoscaler()
	c := &limitedCloud{listing: []cloud.Machine{{Host: "i-1", MachineType: "m4", Zone: "a", Status: "booting", AgeS: 3},
		{Host: "i-2", MachineType: "m4", Zone: "a", Status: "booting", AgeS: 3}}}
	a.provider = c
	demand := scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(), RecordedMachines: map[string]bool{"i-1": true}}
	a.controller, a.leaseID, a.leaseRenewedAt, a.listedAt = fixedDemand{demand}, 1, time.Now(), time.Now()
	a.runCycle(t.Context())
	a.controller, a.listedAt = fixedDemand{scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings()}}, time.Time{}
	a.runCycle(t.Context())
	if a.pending["i-1"] != nil || a.pending["i-2"] == nil {
		t.Errorf("on their way: %v", a.pending)
	}
}
