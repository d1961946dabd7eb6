// Package autoscaler requests machines from the cloud for jobs that wait for capacity.
//
// Only the controller that holds the autoscaler lease scales out, so that three controllers do
// not request machines for the same demand three times. Scaling in is left to the owners of the
// shards (package machinelifecycle): only they know that nothing runs on a machine, and can prevent new
// tasks from starting there. The autoscaler itself releases only machines that failed or whose
// worker never sent a heartbeat.
package autoscaler

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// Cloud is the part of the cloud's interface that the autoscaler uses.
type Cloud interface {
	// MachineTypes reads the machine types on offer.
	MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
	// ScaleOut requests machines and returns the hosts that will boot, which may be fewer than
	// requested. A repeated call with the same idempotency key starts nothing twice. The error
	// is cloud.ErrNoCapacity if no machine is available, and cloud.ErrUnavailable if the result
	// is unknown.
	ScaleOut(ctx context.Context, request cloud.ScaleOutRequest) ([]string, error)
	// Release returns machines to the cloud. Releasing a machine twice does no harm.
	Release(ctx context.Context, hosts []string) error
	// List reads the cloud's list of machines, which may lag behind their actual state.
	List(ctx context.Context) ([]cloud.Machine, error)
}

// Store is the part of the key-value store that the autoscaler uses for its lease.
type Store interface {
	Commit(ctx context.Context, p kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error)
	Get(ctx context.Context, p kvstore.Priority, key string) (kvstore.GetResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, leaseID uint64) error
}

// Controller is the part of the controller that the autoscaler uses. Its methods may be called from any
// goroutine.
type Controller interface {
	// SetMachineTypes tells the controller which machine types the cloud offers.
	SetMachineTypes(machineTypes []cloud.MachineType)
	// SetBootTimes tells the controller the learned boot times, in seconds, by machine type.
	SetBootTimes(bootSeconds map[string]float64)
	// Demand returns the jobs that wait for capacity and the existing machines.
	Demand() scheduler.Demand
}

// Autoscaler scales out. All its state belongs to the goroutine of Run.
type Autoscaler struct {
	node        string
	incarnation uint64
	objectives  []config.Objective // service-level objectives of the job classes
	listLag     time.Duration      // the maximum lag of the cloud's machine list, as configured

	store      Store
	provider   Cloud
	controller Controller
	log        *slog.Logger

	leaseID        uint64 // 0 if this controller does not hold the lease
	leaseRenewedAt time.Time
	requestCount   int

	machineTypes       map[string]cloud.MachineType
	machineTypesReadAt time.Time
	listedAt           time.Time // when the machine list was last read

	pendingMachines map[string]*pendingMachine   // by host
	refusedAt       map[capacity.Group]time.Time // when the cloud last had no capacity, by group
	unreportedSince map[string]time.Time         // since when a machine has been listed as running without having sent a heartbeat, by host
	// reportedHosts holds the hosts of the machines that have sent a heartbeat. The cloud's
	// list may show these machines as booting long after their first heartbeat, and they must
	// not count as pending once they are released.
	reportedHosts map[string]bool

	bootTimes           forecast.BootTimes
	expectedBootSeconds map[forecast.TypeZone]float64 // by machine type and zone, as last estimated
}

// pendingMachine is a machine that was requested and has not sent a heartbeat yet.
type pendingMachine struct {
	group       capacity.Group
	requestedAt time.Time
}

// New returns an autoscaler for the given controller process; Run starts it.
func New(node string, incarnation uint64, cfg *config.Config, store Store, provider Cloud, controller Controller, log *slog.Logger) *Autoscaler {
	return &Autoscaler{
		node:            node,
		incarnation:     incarnation,
		objectives:      cfg.Cluster.Objectives,
		listLag:         config.Seconds(cfg.Cluster.Cloud.ListLagSeconds),
		store:           store,
		provider:        provider,
		controller:      controller,
		log:             log,
		machineTypes:    map[string]cloud.MachineType{},
		pendingMachines: map[string]*pendingMachine{},
		refusedAt:       map[capacity.Group]time.Time{},
		unreportedSince: map[string]time.Time{},
		reportedHosts:   map[string]bool{},
	}
}

// Run reads the machine types and tries to hold the autoscaler lease until ctx ends. While it holds
// the lease, it runs scaling cycles.
func (a *Autoscaler) Run(ctx context.Context) {
	retryDelay := tuning.MinRetryDelay
	for ctx.Err() == nil {
		a.refreshMachineTypes(ctx)
		if len(a.machineTypes) == 0 {
			if kvstore.Sleep(ctx, retryDelay) != nil {
				return
			}
			retryDelay = min(2*retryDelay, tuning.MaxRetryDelay)
			continue
		}
		if a.ensureLease(ctx) {
			a.runCycle(ctx)
		}
		if kvstore.Sleep(ctx, tuning.DemandCheckInterval) != nil {
			return
		}
	}
}

// refreshMachineTypes reads the machine types if they are unknown or old.
func (a *Autoscaler) refreshMachineTypes(ctx context.Context) {
	if time.Since(a.machineTypesReadAt) <= tuning.MachineTypeListInterval && len(a.machineTypes) > 0 {
		return
	}
	machineTypes, err := a.provider.MachineTypes(ctx)
	if err != nil {
		a.log.Info("reading machine types failed", "error", err)
		return
	}
	a.machineTypesReadAt = time.Now()
	for _, machineType := range machineTypes {
		a.machineTypes[machineType.Name] = machineType
	}
	a.controller.SetMachineTypes(machineTypes)
}

// runCycle reviews the machine list when that is due, updates the pending machines and scales out
// for the current demand.
func (a *Autoscaler) runCycle(ctx context.Context) {
	demand := a.controller.Demand()
	if !demand.IsCurrent {
		return
	}
	if time.Since(a.listedAt) > tuning.MachineListInterval {
		a.refreshListing(ctx, demand)
	}
	a.updatePendingMachines(demand)
	a.updateBootTimes(demand)
	a.logDemand(demand)
	// Capacity that the cloud refuses is requested in another zone or of another machine type
	// within the same cycle, so that a refusal does not delay the request by a cycle.
	for range tuning.ScaleOutPlanAttempts {
		if !a.planAndRequest(ctx, demand) {
			return
		}
	}
}

// planAndRequest plans and requests machines once. It reports whether to plan again, because
// the cloud refused some of the capacity.
func (a *Autoscaler) planAndRequest(ctx context.Context, demand scheduler.Demand) (planAgain bool) {
	for _, request := range a.planScaleOut(demand) {
		if !a.ensureLease(ctx) {
			return false // a long cycle must not outlive the lease
		}
		if a.scaleOut(ctx, request) == capacityRefused {
			planAgain = true
		}
	}
	return planAgain
}

// logDemand logs the demand for which a cycle scales out.
func (a *Autoscaler) logDemand(demand scheduler.Demand) {
	tasks, arrayCPU := 0, 0.0
	for _, job := range demand.Jobs {
		tasks += job.Tasks
	}
	for _, work := range demand.Running {
		arrayCPU += work.CPU
	}
	a.log.Debug("demand", "jobs", len(demand.Jobs), "tasks", tasks, "machines", len(demand.LiveMachines), "pending", len(a.pendingMachines),
		"array_cpu", arrayCPU, "gang_cpu", demand.GangCPU, "reserve_cpu", demand.BackgroundReserveCPU)
}
