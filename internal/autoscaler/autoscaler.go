// Package fleet rents machines for what waits. Only the holder of a grant
// rents, so that three controllers do not answer one need three times.
// Machines are returned by the holders of their shares, who alone know that
// nothing runs there and can keep it so.
package autoscaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

const ownerKey = jobs.Prefix + "fleet/holder"

// Cloud is what the actor needs of the cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
	ScaleOut(ctx context.Context, o cloud.ScaleOutRequest) ([]string, error)
	Release(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]cloud.Machine, error)
}

// Store is what the actor needs of the state service.
type Store interface {
	Commit(ctx context.Context, p kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error)
	Get(ctx context.Context, p kvstore.Priority, key string) (kvstore.KeyValue, bool, uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, permit uint64) error
}

// Controller is what the actor needs of the decisions.
type Controller interface {
	SetMachineTypes(f []cloud.MachineType)
	SetBootTimes(usual map[string]float64)
	Demand() scheduler.Demand
}

// Autoscaler rents machines.
type Autoscaler struct {
	node        string
	incarnation uint64
	// objectives restate what is aimed at for the classes.
	objectives []config.Objective

	store      Store
	provider   Cloud
	controller Controller
	log        *slog.Logger

	machineTypes        map[string]cloud.MachineType
	machineTypesReadAt  time.Time
	listedAt            time.Time
	leaseID             uint64
	leaseRenewedAt      time.Time
	requestCount        int
	pending             map[string]*pendingMachine
	refusedAt           map[capacity.Group]time.Time
	unreportedSince     map[string]time.Time
	bootTimes           forecast.BootTimes
	expectedBootSeconds map[forecast.TypeZone]float64 // boot times in this round
	listLag             time.Duration
	// hasReported holds the machines that have reported: the list may show them as booting
	// long after, and they must not count as coming once they are returned.
	hasReported map[string]bool
}

// pendingMachine is a machine that was rented and has not reported yet.
type pendingMachine struct {
	group       capacity.Group
	requestedAt time.Time
}

// New makes the actor.
func New(node string, incarnation uint64, cluster *config.Config, store Store, provider Cloud, controller Controller, log *slog.Logger) *Autoscaler {
	return &Autoscaler{node: node, incarnation: incarnation, objectives: cluster.Cluster.Objectives,
		listLag: config.Seconds(cluster.Cluster.Cloud.ListLagS), store: store, provider: provider, controller: controller, log: log,
		machineTypes: map[string]cloud.MachineType{}, pending: map[string]*pendingMachine{},
		refusedAt: map[capacity.Group]time.Time{}, unreportedSince: map[string]time.Time{},
		hasReported: map[string]bool{}}
}

// Run works until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) {
	pause := tuning.MinRetryDelay
	for ctx.Err() == nil {
		if time.Since(a.machineTypesReadAt) > tuning.MachineTypeListInterval || len(a.machineTypes) == 0 {
			if machineTypes, err := a.provider.MachineTypes(ctx); err != nil {
				a.log.Info("machine types not read", "error", err)
			} else {
				a.machineTypesReadAt = time.Now()
				for _, machineType := range machineTypes {
					a.machineTypes[machineType.Name] = machineType
				}
				a.controller.SetMachineTypes(machineTypes)
			}
		}
		if len(a.machineTypes) == 0 {
			if kvstore.Pause(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, tuning.MaxRetryDelay)
			continue
		}
		if a.ensureLease(ctx) {
			a.runCycle(ctx)
		}
		if kvstore.Pause(ctx, tuning.DemandCheckInterval) != nil {
			return
		}
	}
}

// ensureLease keeps or obtains the right to rent.
func (a *Autoscaler) ensureLease(ctx context.Context) bool {
	now := time.Now()
	if a.leaseID != 0 {
		if now.Sub(a.leaseRenewedAt) < tuning.AutoscalerLeaseTTL/3 {
			return true
		}
		err := a.store.KeepAlive(ctx, a.leaseID)
		if err == nil {
			a.leaseRenewedAt = now
			return true
		}
		if errors.Is(err, kvstore.ErrExpired) {
			a.leaseID = 0
		}
		return false
	}
	if _, found, _, err := a.store.Get(ctx, kvstore.Background, ownerKey); err != nil || found {
		return false
	}
	leaseID, err := a.store.GrantLease(ctx, tuning.AutoscalerLeaseTTL)
	if err != nil {
		return false
	}
	value, err := json.Marshal(a.node)
	if err != nil {
		return false
	}
	result, err := a.store.Commit(ctx, kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: ownerKey}},
		Writes: []kvstore.Write{{Key: ownerKey, Value: value, LeaseID: leaseID}}})
	if err != nil || !result.Succeeded {
		return false
	}
	a.log.Info("renting machines from now on")
	a.leaseID, a.leaseRenewedAt = leaseID, now
	a.pending = map[string]*pendingMachine{}
	a.listedAt = time.Time{}
	return true
}

func (a *Autoscaler) runCycle(ctx context.Context) {
	demand := a.controller.Demand()
	if !demand.IsCurrent {
		return
	}
	if time.Since(a.listedAt) > tuning.MachineListInterval {
		list, err := a.provider.List(ctx)
		if err != nil {
			a.log.Info("machine list not read", "error", err)
		} else {
			a.listedAt = time.Now()
			a.updateBootTimes(demand)
			a.reviewListing(ctx, list, demand)
		}
	}
	for host, pending := range a.pending {
		age := time.Since(pending.requestedAt)
		switch {
		case demand.RecordedMachines[host]:
			a.bootTimes.Observe(forecast.TypeZone{MachineType: pending.group.MachineType, Zone: pending.group.Zone}, pending.requestedAt, age)
			delete(a.pending, host)
		case age.Seconds() > a.bootTimeoutSeconds(pending.group)+tuning.PendingMachineGracePeriod.Seconds():
			delete(a.pending, host)
		}
	}
	for host := range demand.RecordedMachines {
		a.hasReported[host] = true
	}
	a.updateBootTimes(demand)
	a.logDemand(demand)
	// What is refused is looked for elsewhere at once: a zone or a kind that has
	// no more must not cost a round of its own.
	for range tuning.ScaleOutPlanAttempts {
		filled := true
		for _, request := range a.planScaleOut(demand) {
			if !a.ensureLease(ctx) {
				return // a long round must not outlive the right to rent
			}
			filled = a.scaleOut(ctx, request) && filled
		}
		if filled {
			return
		}
	}
}

// logDemand logs what a round of renting goes by.
func (a *Autoscaler) logDemand(demand scheduler.Demand) {
	tasks, cpu := 0, 0.0
	for _, job := range demand.Jobs {
		tasks += job.Tasks
	}
	for _, r := range demand.Running {
		cpu += r.CPU
	}
	a.log.Debug("demand", "jobs", len(demand.Jobs), "tasks", tasks, "machines", len(demand.LiveMachines), "coming", len(a.pending),
		"array_cpu", cpu, "gang_cpu", demand.GangCPU, "reserve_cpu", demand.BackgroundReserveCPU)
}

// updateBootTimes works out the boot times of this round: each type's in each zone, from
// what booted lately and from what is late.
func (a *Autoscaler) updateBootTimes(demand scheduler.Demand) {
	awaited := map[forecast.TypeZone][]float64{}
	for _, pending := range a.pending {
		typeZone := forecast.TypeZone{MachineType: pending.group.MachineType, Zone: pending.group.Zone}
		awaited[typeZone] = append(awaited[typeZone], time.Since(pending.requestedAt).Seconds())
	}
	a.expectedBootSeconds = map[forecast.TypeZone]float64{}
	longest := map[string]float64{}
	for typeName, machineType := range a.machineTypes {
		stated := machineType.StartupS
		if s, known := demand.BootSeconds[typeName]; known && !a.bootTimes.HasSamples(typeName) {
			stated = s // what another controller has learned
		}
		for _, zone := range machineType.Zones {
			typeZone := forecast.TypeZone{MachineType: typeName, Zone: zone}
			a.expectedBootSeconds[typeZone] = a.bootTimes.ExpectedSeconds(typeZone, stated, awaited[typeZone], time.Now())
			longest[typeName] = max(longest[typeName], a.expectedBootSeconds[typeZone])
		}
	}
	a.controller.SetBootTimes(longest)
}

// pendingWeight is how much a machine that is on its way still counts.
func (a *Autoscaler) pendingWeight(pending *pendingMachine) float64 {
	return forecast.PendingWeight(time.Since(pending.requestedAt).Seconds(), a.bootSeconds(pending.group))
}

func (a *Autoscaler) bootSeconds(group capacity.Group) float64 {
	if s, known := a.expectedBootSeconds[forecast.TypeZone{MachineType: group.MachineType, Zone: group.Zone}]; known {
		return s
	}
	return a.machineTypes[group.MachineType].StartupS
}

// bootTimeoutSeconds is after how many seconds a machine that is still booting is returned:
// later if others take long, too.
func (a *Autoscaler) bootTimeoutSeconds(group capacity.Group) float64 {
	stated := a.machineTypes[group.MachineType].StartupS
	return min(tuning.BootTimeoutFactor*max(a.bootSeconds(group), stated), tuning.MaxBootTimeoutFactor*stated)
}

// reviewListing looks for machines that failed, never booted, or that nobody asked
// for and that never report.
func (a *Autoscaler) reviewListing(ctx context.Context, list []cloud.Machine, demand scheduler.Demand) {
	var back []string
	now := time.Now()
	listed := map[string]bool{}
	for _, machine := range list {
		listed[machine.Host] = true
		_, here := demand.LiveMachines[machine.Host]
		patience := a.bootTimeoutSeconds(capacity.Group{MachineType: machine.MachineType, Zone: machine.Zone})
		switch {
		case machine.Status == "failed":
			back = append(back, machine.Host)
		case here || demand.RecordedMachines[machine.Host]:
			delete(a.unreportedSince, machine.Host)
		case machine.Status == "booting" && machine.AgeS > patience:
			back = append(back, machine.Host)
		case a.hasReported[machine.Host]:
			// It has reported and was returned since: the list is behind.
		case machine.Status == "booting":
			if a.pending[machine.Host] == nil {
				a.pending[machine.Host] = &pendingMachine{capacity.Group{Zone: machine.Zone, MachineType: machine.MachineType, Spot: machine.Spot},
					now.Add(-time.Duration(machine.AgeS * float64(time.Second)))}
			}
		default:
			// Running, but its worker has not reported: give it time.
			if a.unreportedSince[machine.Host].IsZero() {
				a.unreportedSince[machine.Host] = now
			} else if now.Sub(a.unreportedSince[machine.Host]).Seconds() > patience {
				back = append(back, machine.Host)
			}
		}
	}
	for host := range a.unreportedSince {
		if !listed[host] {
			delete(a.unreportedSince, host)
		}
	}
	for host := range a.hasReported {
		if !listed[host] && !demand.RecordedMachines[host] {
			delete(a.hasReported, host)
		}
	}
	for host, pending := range a.pending {
		// Taken or returned before it was ever up.
		if !listed[host] && now.Sub(pending.requestedAt) > 2*a.listLag+tuning.ListAbsenceMargin {
			delete(a.pending, host)
		}
	}
	if len(back) == 0 {
		return
	}
	back = back[:min(len(back), tuning.MaxScaleInPerRequest)]
	a.log.Info("returning machines that are of no use", "machines", back)
	if err := a.provider.Release(ctx, back); err != nil {
		a.log.Info("release failed", "error", err)
		return
	}
	for _, host := range back {
		delete(a.pending, host)
		delete(a.unreportedSince, host)
	}
}

// planScaleOut turns waiting jobs into orders for machines, the most urgent first.
// Room that is on its way is used up before more is ordered.
func (a *Autoscaler) planScaleOut(demand scheduler.Demand) []cloud.ScaleOutRequest {
	type lot struct {
		group   capacity.Group
		room    capacity.Resources
		ordered bool // in this very plan
	}
	var pool []*lot
	for group, n := range a.expectedMachines() {
		machineType := a.machineTypes[group.MachineType]
		for range n {
			pool = append(pool, &lot{group, machineType.Total(), false})
		}
	}
	orders := map[capacity.Group]int{}
	ahead := maps.Clone(demand.Running) // of the array at hand: by class, itself included
	if ahead == nil {
		ahead = map[string]scheduler.RunningWork{}
	}
	free := map[capacity.Resources]map[string]int{} // of d.Room, what is left for those behind
	for v, per := range demand.FittingTasks {
		free[v] = maps.Clone(per)
	}
	for _, job := range demand.Jobs {
		left, cheap := job.Tasks, 0
		if job.Record.Kind == jobs.Array {
			ahead[job.Record.Class] = ahead[job.Record.Class].Add(float64(job.Tasks)*job.Need.CPU, job.RunSeconds, job.Background)
			left = a.arrayShortfall(job, demand, ahead, false)
			if job.Record.Spot && demand.Settings.Spot {
				cheap = a.arrayShortfall(job, demand, ahead, true) - left
			}
		}
		zone := ""
		if job.Record.Kind == jobs.Gang {
			coming := map[string]int{}
			for _, candidate := range pool {
				if a.fits(job, candidate.group) {
					coming[candidate.group.Zone] += capacity.FitCount(candidate.room, job.Need)
				}
			}
			left, zone = a.gangShortfall(job, demand.Settings, free[job.Need], coming)
		}
		for _, candidate := range pool {
			if left <= 0 || job.Record.Kind == jobs.Array && !candidate.ordered {
				continue // short has counted what is on its way
			}
			if !a.fits(job, candidate.group) || (job.Record.OneZone && zone != "" && candidate.group.Zone != zone) {
				continue
			}
			n := min(left, capacity.FitCount(candidate.room, job.Need))
			for range n {
				candidate.room = candidate.room.Sub(job.Need)
			}
			if n > 0 {
				zone = candidate.group.Zone
			}
			left -= n
		}
		for left += cheap; left > 0; {
			only := job
			only.Leftover = only.Leftover || left <= cheap
			group, ok := a.chooseGroup(only, demand, zone, left)
			if !ok {
				break
			}
			machineType := a.machineTypes[group.MachineType]
			total := machineType.Total()
			n := min(left, capacity.FitCount(total, job.Need))
			left -= n
			for range n {
				total = total.Sub(job.Need)
			}
			pool = append(pool, &lot{group, total, true})
			orders[group]++
			if job.Record.OneZone {
				zone = group.Zone
			}
		}
	}
	var out []cloud.ScaleOutRequest
	up := map[string]int{}
	total := len(a.pending)
	for _, group := range demand.LiveMachines {
		up[group.MachineType]++
		total++
	}
	for _, pending := range a.pending {
		up[pending.group.MachineType]++
	}
	for group, n := range orders {
		if most, set := demand.Settings.MaxMachinesPerType[group.MachineType]; set {
			n = min(n, most-up[group.MachineType])
		}
		if demand.Settings.MaxMachines > 0 {
			n = min(n, demand.Settings.MaxMachines-total)
		}
		if n <= 0 {
			continue
		}
		up[group.MachineType] += n
		total += n
		for ; n > 0; n -= tuning.MaxScaleOutPerRequest {
			out = append(out, cloud.ScaleOutRequest{MachineType: group.MachineType, Zone: group.Zone, Spot: group.Spot, Count: min(n, tuning.MaxScaleOutPerRequest)})
		}
	}
	sort.Slice(out, func(i, k int) bool { return fmt.Sprint(out[i]) < fmt.Sprint(out[k]) })
	return out
}

// expectedMachines is how many machines are likely to come up soon, by group.
func (a *Autoscaler) expectedMachines() map[capacity.Group]int {
	sum := map[capacity.Group]float64{}
	for _, pending := range a.pending {
		sum[pending.group] += a.pendingWeight(pending)
	}
	out := map[capacity.Group]int{}
	for group, x := range sum {
		out[group] = int(math.Round(x))
	}
	return out
}

// gangShortfall is how many of a gang's tasks have no room yet, in the zone that
// lacks least, and takes what it uses off the room for those behind it. What
// is on its way is not taken off here: plan gives it out machine by machine.
func (a *Autoscaler) gangShortfall(job scheduler.PendingJob, settings admin.Settings, room, coming map[string]int) (int, string) {
	n := job.Tasks
	if !job.Record.OneZone && job.Record.Zone == nil {
		for zone, r := range room {
			use := min(n, r)
			n -= use
			room[zone] -= use
		}
		return n, ""
	}
	best, lack := "", 0
	for zone := range a.zones() {
		if job.Record.Zone != nil && *job.Record.Zone != zone {
			continue
		}
		l := max(0, n-room[zone]-coming[zone])
		if _, ok := a.chooseGroup(job, scheduler.Demand{Settings: settings}, zone, max(l, 1)); l > 0 && !ok {
			continue // nothing to be had there now
		}
		if best == "" || l < lack || l == lack && (room[zone] > room[best] || room[zone] == room[best] && zone < best) {
			best, lack = zone, l
		}
	}
	if best == "" {
		return 0, ""
	}
	use := min(n, room[best])
	if room != nil {
		room[best] -= use
	}
	return n - use, best
}

func (a *Autoscaler) zones() map[string]bool {
	out := map[string]bool{}
	for _, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			out[zone] = true
		}
	}
	return out
}

// arrayShortfall is how many of an array's waiting tasks need new machines, so that all
// work ahead of and in it is done by the time that is expected of it. Existing
// machines count with what they can do until then, not with what is free now.
// With cheap set, dear machines count only as far as they are there anyway: what is
// short by that is worth no dear ones, but work that finds room on a dear machine that
// is to be returned keeps it.
func (a *Autoscaler) arrayShortfall(job scheduler.PendingJob, demand scheduler.Demand, ahead map[string]scheduler.RunningWork, cheap bool) int {
	if job.Need.CPU <= 0 {
		return job.Tasks
	}
	have := -demand.GangCPU
	if job.Background {
		have -= demand.BackgroundReserveCPU
	}
	for _, group := range demand.LiveMachines {
		have += a.usableCPU(job, group)
	}
	for _, pending := range a.pending {
		have += a.pendingWeight(pending) * a.usableCPU(job, pending.group)
	}
	if cheap {
		have = a.withoutExcessOnDemand(job, demand, have)
	}
	horizon := max(a.timeBudget(job).Seconds(), job.RunSeconds, tuning.MinWorkHorizon.Seconds())
	// A guest's long tasks hold their CPUs for the whole horizon, but are not to be
	// done within it: counted whole, they would have every machine rented.
	work := 0.0
	for _, r := range ahead {
		work += r.CPUSecondsWithin(horizon)
	}
	lack := work/horizon - max(have, 0)
	n := max(0, int(math.Ceil(lack/job.Need.CPU)))
	if n == 0 && (have <= 0 || job.Waiting > tuning.NoRoomScaleOutDelay) && !a.hasPending(job) {
		// Whatever the estimates say, a job that finds no room for so long gets
		// a machine: an estimate of nothing must not keep it waiting for ever.
		n = 1
	}
	return min(job.Tasks, n)
}

// usableCPU is how many CPUs a job's tasks can use of a machine.
func (a *Autoscaler) usableCPU(job scheduler.PendingJob, group capacity.Group) float64 {
	if !a.fits(job, group) {
		return 0
	}
	return job.Need.CPU * float64(capacity.FitCount(a.machineTypes[group.MachineType].Total(), job.Need))
}

// withoutExcessOnDemand takes off what dear machines have for a job beyond what is there anyway.
func (a *Autoscaler) withoutExcessOnDemand(job scheduler.PendingJob, demand scheduler.Demand, have float64) float64 {
	dear := -demand.GangCPU
	for _, group := range demand.LiveMachines {
		if !group.Spot {
			dear += a.usableCPU(job, group)
		}
	}
	return have - max(0, dear-demand.UrgentGangCPU)
}

func (a *Autoscaler) hasPending(job scheduler.PendingJob) bool {
	for _, pending := range a.pending {
		if a.fits(job, pending.group) {
			return true
		}
	}
	return false
}

// timeBudget is the time left for a job's work once machines are up, from its
// deadline or from what is aimed at for its class, with a part held back.
func (a *Autoscaler) timeBudget(job scheduler.PendingJob) time.Duration {
	if job.Background {
		return tuning.BackgroundHorizon
	}
	boot := 0.0
	for typeName, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			// Late boots do not shorten the time: that would ask for ever more of the
			// machines that do not come.
			boot = max(boot, min(machineType.StartupS, a.bootSeconds(capacity.Group{MachineType: typeName, Zone: zone})))
		}
	}
	return time.Duration((config.TargetSeconds(a.objectives, job.Record.Class, job.Record.DeadlineSeconds)*tuning.DeadlineTargetFraction-boot)*float64(time.Second)) - job.Age
}

func (a *Autoscaler) fits(job scheduler.PendingJob, group capacity.Group) bool {
	machineType, ok := a.machineTypes[group.MachineType]
	return ok && job.Record.Allows(group) && slices.Contains(machineType.Zones, group.Zone) &&
		capacity.FitCount(machineType.Total(), job.Need) > 0
}

// chooseGroup picks the cheapest kind of machine per task it can hold, and the
// zone with the most machines of it for a job bound to one zone, else the one
// with the fewest.
func (a *Autoscaler) chooseGroup(job scheduler.PendingJob, demand scheduler.Demand, zone string, left int) (capacity.Group, bool) {
	inZone := map[string]int{}
	for _, group := range demand.LiveMachines {
		inZone[group.Zone]++
	}
	var best capacity.Group
	bestCost, found := 0.0, false
	for typeName, machineType := range a.machineTypes {
		for _, z := range machineType.Zones {
			if zone != "" && z != zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				group := capacity.Group{Zone: z, MachineType: typeName, Spot: spot}
				if spot && !demand.Settings.Spot || !spot && job.Leftover {
					continue // as the operators have set, and as long as it can wait
				}
				if !a.fits(job, group) || time.Since(a.refusedAt[group]) < tuning.CapacityRefusalBackoff {
					continue
				}
				price := machineType.HourlyPrice
				if spot {
					price = machineType.SpotHourlyPrice
				}
				n := min(left, capacity.FitCount(machineType.Total(), job.Need))
				cost := price / float64(n)
				if job.Record.OneZone {
					cost *= 1 - tuning.TieBreakWeight*float64(inZone[z])
				} else {
					cost *= 1 + tuning.TieBreakWeight*float64(inZone[z])
				}
				if !found || cost < bestCost || cost == bestCost && fmt.Sprint(group) < fmt.Sprint(best) {
					best, bestCost, found = group, cost, true
				}
			}
		}
	}
	return best, found
}

// scaleOut tells whether looking elsewhere is of no use: the order was filled, or
// the cloud does not answer.
func (a *Autoscaler) scaleOut(ctx context.Context, request cloud.ScaleOutRequest) bool {
	a.requestCount++
	// The boot mark makes the name new after a restart, the node's name among
	// controllers.
	request.IdempotencyKey = fmt.Sprintf("%s-%x-%d", a.node, a.incarnation, a.requestCount)
	group := capacity.Group{Zone: request.Zone, MachineType: request.MachineType, Spot: request.Spot}
	if time.Since(a.refusedAt[group]) < tuning.CapacityRefusalBackoff {
		return false // refused since it was planned
	}
	hosts, err := a.provider.ScaleOut(ctx, request)
	if errors.Is(err, cloud.ErrUnavailable) {
		// The same name rents nothing twice: ask once more.
		hosts, err = a.provider.ScaleOut(ctx, request)
	}
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		a.refusedAt[group] = time.Now()
		a.log.Info("no capacity", "build", request.MachineType, "zone", request.Zone, "spot", request.Spot)
		return false
	case err != nil:
		a.log.Info("rental failed", "error", err)
		a.listedAt = time.Time{}
	default:
		if len(hosts) < request.Count {
			a.refusedAt[group] = time.Now()
		}
		a.log.Info("machines rented", "build", request.MachineType, "zone", request.Zone, "spot", request.Spot, "asked", request.Count, "got", len(hosts))
		for _, host := range hosts {
			a.pending[host] = &pendingMachine{group, time.Now()}
		}
		return len(hosts) == request.Count
	}
	return true
}
