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

// newTestAutoscaler returns an autoscaler that knows one machine type, m4, in the zones a and b.
func newTestAutoscaler() *Autoscaler {
	a := New("n0", 7, &config.Config{}, nil, nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.machineTypes["m4"] = cloud.MachineType{Name: "m4", CPU: 4, MemGB: 16, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 20, Zones: []string{"a", "b"}}
	return a
}

func waitingJob(kind jobs.Kind, tasks int, cpu, runSeconds float64) scheduler.PendingJob {
	return scheduler.PendingJob{Record: jobs.JobRecord{Spec: jobs.Spec{Kind: kind, Tasks: tasks, OneZone: kind == jobs.Gang}},
		Need: capacity.Resources{CPU: cpu, MemGB: 1}, Tasks: tasks, RunSeconds: runSeconds, KnownFor: time.Second}
}

func machineCount(requests []cloud.ScaleOutRequest) int {
	count := 0
	for _, request := range requests {
		count += request.Count
	}
	return count
}

// An estimated run time of zero makes the needed CPUs zero. If no machine exists, one must be
// requested nevertheless.
func TestArrayWithoutEstimateGetsMachine(t *testing.T) {
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{waitingJob(jobs.Array, 5, 1, 0)}}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n != 1 {
		t.Errorf("%d machines requested, want 1", n)
	}
}

func TestGangScaleOutCountsFreeCapacityAndPendingMachines(t *testing.T) {
	job := waitingJob(jobs.Gang, 8, 2, 60)
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job},
		FittingTasks: map[capacity.Resources]map[string]int{job.Need: {"a": 5, "b": 2}}}
	a := newTestAutoscaler()
	requests := a.planScaleOut(demand)
	if n := machineCount(requests); n != 2 || requests[0].Zone != "a" {
		t.Fatalf("%+v", requests)
	}
	// Pending machines are not requested again.
	for _, host := range []string{"i-1", "i-2"} {
		a.pendingMachines[host] = &pendingMachine{capacity.Group{Zone: "a", MachineType: "m4"}, time.Now()}
	}
	demand.FittingTasks = map[capacity.Resources]map[string]int{job.Need: {"a": 5, "b": 2}}
	if repeatedRequests := a.planScaleOut(demand); len(repeatedRequests) != 0 {
		t.Errorf("requested again: %+v", repeatedRequests)
	}
}

func TestArrayPrefersSpotAndExistingMachines(t *testing.T) {
	job := waitingJob(jobs.Array, 40, 1, 30)
	job.Record.Spot = true
	a := newTestAutoscaler()
	requests := a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})
	for _, request := range requests {
		if !request.Spot {
			t.Errorf("on-demand machine requested: %+v", request)
		}
	}
	countWithoutLiveMachines := machineCount(requests)
	// Three machines are live. On-demand machines count as capacity if urgent gangs need them.
	// Otherwise spot machines are requested to take over the work of the on-demand machines, but no
	// further on-demand machines are requested.
	for _, test := range []struct {
		name          string
		spot          bool
		urgentGangCPU float64
		want          int
	}{
		{"spot machines", true, 0, countWithoutLiveMachines - 3},
		{"on-demand machines for urgent gangs", false, 12, countWithoutLiveMachines - 3},
		{"one on-demand machine for urgent gangs", false, 4, countWithoutLiveMachines - 1},
		{"excess on-demand machines", false, 0, countWithoutLiveMachines},
	} {
		t.Run(test.name, func(t *testing.T) {
			liveMachines := map[string]capacity.Group{}
			for _, host := range []string{"i-1", "i-2", "i-3"} {
				liveMachines[host] = capacity.Group{Zone: "a", MachineType: "m4", Spot: test.spot}
			}
			demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, LiveMachines: liveMachines, CPULeftByUrgentGangs: test.urgentGangCPU}
			if count := machineCount(a.planScaleOut(demand)); count != test.want {
				t.Errorf("%d requested, want %d; %d without live machines", count, test.want, countWithoutLiveMachines)
			}
			markSpotUnavailable(a)
			if count := machineCount(a.planScaleOut(demand)); count != countWithoutLiveMachines-3 {
				t.Errorf("%d on-demand machines requested without spot capacity, want %d", count, countWithoutLiveMachines-3)
			}
			clear(a.refusedAt)
		})
	}
}

// markSpotUnavailable makes the autoscaler treat spot machines as refused in every zone.
func markSpotUnavailable(a *Autoscaler) {
	for zone := range a.zones() {
		a.refusedAt[capacity.Group{Zone: zone, MachineType: "m4", Spot: true}] = time.Now()
	}
}

func TestScaleOutRespectsOperatorLimits(t *testing.T) {
	job := waitingJob(jobs.Array, 400, 1, 30)
	job.Record.Spot = true
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}}
	demand.Settings.Spot, demand.Settings.MaxMachines = false, 3
	requests := newTestAutoscaler().planScaleOut(demand)
	if n := machineCount(requests); n != 3 || requests[0].Spot {
		t.Errorf("%+v", requests)
	}
	demand.Settings.MaxMachinesPerType = map[string]int{"m4": 1}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n != 1 {
		t.Errorf("%d machines of a type limited to one", n)
	}
}

// The cloud accepts at most 50 machines per request. If the plan replaced refused capacity only in the
// next cycle, a burst of jobs would wait 15 s for its machines.
func TestLargeShortfallIsRequestedInOneCycle(t *testing.T) {
	a := newTestAutoscaler()
	provider := &limitedCloud{remainingMachines: map[bool]int{true: 30, false: 1000}}
	a.provider, a.controller = provider, fixedDemandController{scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(),
		Jobs: []scheduler.PendingJob{waitingJob(jobs.Array, 4000, 1, 60)}}}
	a.controller.(fixedDemandController).demand.Jobs[0].Record.Spot = true
	a.listedAt, a.leaseID, a.leaseRenewedAt = time.Now(), 1, time.Now()
	a.runCycle(t.Context())
	if len(a.pendingMachines) < 200 || provider.remainingMachines[true] != 0 || provider.largestRequest > 50 {
		t.Errorf("%d pending machines, %d spot machines left, largest request %d", len(a.pendingMachines), provider.remainingMachines[true], provider.largestRequest)
	}
}

// fixedDemandController is a Controller with a constant demand.
type fixedDemandController struct{ demand scheduler.Demand }

func (c fixedDemandController) SetMachineTypes([]cloud.MachineType) {}
func (c fixedDemandController) SetBootTimes(map[string]float64)     {}
func (c fixedDemandController) Demand() scheduler.Demand            { return c.demand }

// limitedCloud is a Cloud with a limited number of machines.
type limitedCloud struct {
	remainingMachines            map[bool]int // by whether they are spot machines
	createdCount, largestRequest int
	listing                      []cloud.Machine
}

func (c *limitedCloud) ScaleOut(_ context.Context, request cloud.ScaleOutRequest) ([]string, error) {
	c.largestRequest = max(c.largestRequest, request.Count)
	if c.remainingMachines[request.Spot] == 0 {
		return nil, cloud.ErrNoCapacity
	}
	var hosts []string
	for range min(request.Count, c.remainingMachines[request.Spot]) {
		c.createdCount++
		c.remainingMachines[request.Spot]--
		hosts = append(hosts, fmt.Sprintf("i-%d", c.createdCount))
	}
	return hosts, nil
}
func (c *limitedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) { return nil, nil }
func (c *limitedCloud) List(context.Context) ([]cloud.Machine, error)             { return c.listing, nil }
func (c *limitedCloud) Release(context.Context, []string) error                   { return nil }

// If the whole work of long running background tasks counted against the next job's deadline, every
// possible machine would be requested for them.
func TestRunningBackgroundWorkIsNotDueWithinHorizon(t *testing.T) {
	job := waitingJob(jobs.Array, 40, 1, 10)
	job.Record.Spot = true
	liveMachines := map[string]capacity.Group{}
	for i := range 100 {
		liveMachines[fmt.Sprintf("i-%d", i)] = capacity.Group{Zone: "a", MachineType: "m4"}
	}
	demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, LiveMachines: liveMachines,
		Running: map[string]scheduler.RunningWork{"guest": {CPU: 390, RemainingSeconds: 300, IsBackground: true}}}
	if n := machineCount(newTestAutoscaler().planScaleOut(demand)); n > 10 {
		t.Errorf("%d machines requested for 40 short tasks", n)
	}
}

func TestBestEffortJobsGetNoOnDemandMachines(t *testing.T) {
	job := waitingJob(jobs.Array, 4000, 1, 300)
	job.Record.Spot, job.IsBackground, job.IsBestEffort = true, true, true
	a := newTestAutoscaler()
	for _, request := range a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}}) {
		if !request.Spot {
			t.Fatalf("on-demand machine requested: %+v", request)
		}
	}
	markSpotUnavailable(a)
	if n := machineCount(a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})); n != 0 {
		t.Errorf("%d on-demand machines requested", n)
	}
	job.IsBestEffort = false
	if n := machineCount(a.planScaleOut(scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}})); n == 0 {
		t.Error("no machine requested for a job that is worth on-demand machines")
	}
}

// When all requested machines are late, no replacements must be requested.
func TestLateMachinesAreRequestedAgainOnlyIfOthersBooted(t *testing.T) {
	for _, test := range []struct {
		name             string
		missing          int // number of machines that have not booted although the others have; 0 if no machine has booted
		minimum, maximum int // bounds of the number of machines requested again
	}{
		{"all machines late", 0, 0, 0},
		{"three machines missing", 3, 2, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAutoscaler()
			job := waitingJob(jobs.Array, 160, 1, 300)
			demand := scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, RecordedMachines: map[string]bool{}}
			a.controller = fixedDemandController{demand}
			initialCount := machineCount(a.planScaleOut(demand))
			for i := range initialCount {
				a.pendingMachines[fmt.Sprintf("i-%d", i)] = &pendingMachine{capacity.Group{Zone: "a", MachineType: "m4"}, time.Now().Add(-100 * time.Second)}
			}
			bootedCount := 0
			if test.missing > 0 {
				bootedCount = initialCount - test.missing
			}
			liveMachines := map[string]capacity.Group{}
			for i := range bootedCount {
				host := fmt.Sprintf("i-%d", i)
				liveMachines[host] = a.pendingMachines[host].group
				a.bootTimes.Observe(forecast.TypeZone{MachineType: "m4", Zone: "a"}, time.Now().Add(-100*time.Second), 20*time.Second)
				delete(a.pendingMachines, host)
			}
			demand.LiveMachines = liveMachines
			a.updateBootTimes(demand)
			count := machineCount(a.planScaleOut(demand))
			if count < test.minimum {
				t.Errorf("%d machines requested again, want at least %d", count, test.minimum)
			}
			if count > test.maximum {
				t.Errorf("%d machines requested again, want at most %d", count, test.maximum)
			}
		})
	}
}

// A machine that boots in a second and is released at once may still be listed as booting. It must
// not be added to the pending machines, where it would stay for minutes.
func TestReleasedMachineInLaggingListIsNotPending(t *testing.T) {
	a := newTestAutoscaler()
	a.provider = &limitedCloud{listing: []cloud.Machine{{Host: "i-1", MachineType: "m4", Zone: "a", Status: "booting", AgeS: 3},
		{Host: "i-2", MachineType: "m4", Zone: "a", Status: "booting", AgeS: 3}}}
	demand := scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings(), RecordedMachines: map[string]bool{"i-1": true}}
	a.controller, a.leaseID, a.leaseRenewedAt, a.listedAt = fixedDemandController{demand}, 1, time.Now(), time.Now()
	a.runCycle(t.Context())
	a.controller, a.listedAt = fixedDemandController{scheduler.Demand{IsCurrent: true, Settings: admin.DefaultSettings()}}, time.Time{}
	a.runCycle(t.Context())
	if a.pendingMachines["i-1"] != nil || a.pendingMachines["i-2"] == nil {
		t.Errorf("pending: %v", a.pendingMachines)
	}
}

// Machines in zones in which no further task of an array may run, given its claimed tasks, neither count as
// capacity for the array nor are requested for it.
func TestArrayGetsMachinesInZonesThatItMayUse(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits scheduler.ZoneLimits
	}{
		{"half of the tasks in zone a", scheduler.ZoneLimits{MaxPerZone: 2, Tasks: map[string]int{"a": 2}}},
		{"all tasks in zone b", scheduler.ZoneLimits{Only: "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := waitingJob(jobs.Array, 4, 1, 60)
			job.Zones = test.limits
			job.Record.OneZone = test.limits.Only != ""
			a := newTestAutoscaler()
			demand := scheduler.Demand{Settings: admin.DefaultSettings(), Jobs: []scheduler.PendingJob{job}, LiveMachines: map[string]capacity.Group{}}
			for i := range 5 {
				demand.LiveMachines[fmt.Sprint("i-", i)] = capacity.Group{Zone: "a", MachineType: "m4"}
			}
			requests := a.planScaleOut(demand)
			if machineCount(requests) != 1 || requests[0].Zone != "b" {
				t.Errorf("%+v", requests)
			}
			a.pendingMachines["i-9"] = &pendingMachine{capacity.Group{Zone: "b", MachineType: "m4"}, time.Now()}
			if requests := a.planScaleOut(demand); len(requests) > 0 {
				t.Errorf("requested again: %+v", requests)
			}
		})
	}
}
