package autoscaler

import (
	"fmt"
	"maps"
	"sort"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// planner plans the machines to request for a demand, one job after the other.
type planner struct {
	*Autoscaler
	demand          scheduler.Demand
	machines        []*plannedMachine // pending machines and those that this plan requests
	requestedCounts map[capacity.Group]int
	machinesInZone  map[string]int
	// precedingWork is the work of the arrays planned so far and of running array tasks, by class.
	precedingWork map[string]scheduler.RunningWork
	// freeGangSlots is the number of gang tasks that fit on the existing machines, by task shape and
	// zone, less those of the jobs planned so far.
	freeGangSlots map[capacity.Resources]map[string]int
}

// plannedMachine is a machine that does not run yet, with the capacity that the jobs planned so far
// leave free.
type plannedMachine struct {
	group           capacity.Group
	free            capacity.Resources
	requestedByPlan bool // false if the machine was pending already
}

// place allocates free capacity to up to limit tasks of a shape and returns their number.
func (m *plannedMachine) place(need capacity.Resources, limit int) int {
	count := min(limit, capacity.FitCount(m.free, need))
	for range count {
		m.free = m.free.Sub(need)
	}
	return count
}

// planScaleOut returns the machines to request for the waiting jobs, which are listed with the most
// urgent first. Capacity on pending machines is used before more machines are requested.
func (a *Autoscaler) planScaleOut(demand scheduler.Demand) []cloud.ScaleOutRequest {
	p := a.newPlanner(demand)
	for _, job := range demand.Jobs {
		p.planJob(job)
	}
	return p.scaleOutRequests()
}

func (a *Autoscaler) newPlanner(demand scheduler.Demand) *planner {
	p := &planner{
		Autoscaler:      a,
		demand:          demand,
		requestedCounts: map[capacity.Group]int{},
		machinesInZone:  map[string]int{},
		precedingWork:   maps.Clone(demand.Running),
		freeGangSlots:   map[capacity.Resources]map[string]int{},
	}
	if p.precedingWork == nil {
		p.precedingWork = map[string]scheduler.RunningWork{}
	}
	for shape, tasksByZone := range demand.FittingTasks {
		p.freeGangSlots[shape] = maps.Clone(tasksByZone)
	}
	for _, group := range demand.LiveMachines {
		p.machinesInZone[group.Zone]++
	}
	for group, count := range a.expectedMachineCounts() {
		machineType := a.machineTypes[group.MachineType]
		for range count {
			p.machines = append(p.machines, &plannedMachine{group: group, free: machineType.Total()})
		}
	}
	return p
}

// planJob plans the machines for one job.
func (p *planner) planJob(job scheduler.PendingJob) {
	unplacedTasks, spotOnlyTasks, zone := job.Tasks, 0, ""
	switch job.Record.Kind {
	case jobs.Array:
		shortfall := p.computeArrayShortfall(job)
		unplacedTasks, spotOnlyTasks = shortfall.tasks, shortfall.spotOnlyTasks
	case jobs.Gang:
		shortfall := p.computeGangShortfall(job)
		unplacedTasks, zone = shortfall.tasks, shortfall.zone
	}
	unplacedTasks, zone = p.placeOnPlannedMachines(job, unplacedTasks, zone)
	p.requestMachines(job, unplacedTasks, spotOnlyTasks, zone)
}

// placeOnPlannedMachines places tasks on machines that do not run yet. It returns the number of
// tasks that remain and the zone of the last machine used, or the given zone if no machine was
// used.
func (p *planner) placeOnPlannedMachines(job scheduler.PendingJob, unplacedTasks int, zone string) (remainingTasks int, lastZone string) {
	for _, machine := range p.machines {
		if unplacedTasks <= 0 {
			break
		}
		if job.Record.Kind == jobs.Array && !machine.requestedByPlan {
			continue // computeArrayShortfall has already counted the pending machines
		}
		if !p.fits(job, machine.group) || job.Record.OneZone && zone != "" && machine.group.Zone != zone {
			continue
		}
		count := machine.place(job.Need, unplacedTasks)
		if count > 0 {
			zone = machine.group.Zone
		}
		unplacedTasks -= count
	}
	return unplacedTasks, zone
}

// requestMachines adds machines to the plan for unplacedTasks tasks, which fit on no existing,
// pending or planned machine, and spot machines for spotOnlyTasks further tasks. It stops when no
// machine can be requested.
func (p *planner) requestMachines(job scheduler.PendingJob, unplacedTasks, spotOnlyTasks int, zone string) {
	remainingTasks := unplacedTasks + spotOnlyTasks
	for remainingTasks > 0 {
		candidate := job
		candidate.IsBestEffort = candidate.IsBestEffort || remainingTasks <= spotOnlyTasks
		group, ok := p.chooseGroup(candidate, p.demand.Settings.Spot, p.machinesInZone, zone, remainingTasks)
		if !ok {
			return
		}
		machine := &plannedMachine{group: group, free: p.machineTypes[group.MachineType].Total(), requestedByPlan: true}
		remainingTasks -= machine.place(job.Need, remainingTasks)
		p.machines = append(p.machines, machine)
		p.requestedCounts[group]++
		if job.Record.OneZone {
			zone = group.Zone
		}
	}
}

// scaleOutRequests returns the requests for the planned machines, within the operators' limits and no
// larger than the cloud accepts.
func (p *planner) scaleOutRequests() []cloud.ScaleOutRequest {
	total := len(p.pendingMachines) + len(p.demand.LiveMachines)
	countByType := map[string]int{}
	for _, group := range p.demand.LiveMachines {
		countByType[group.MachineType]++
	}
	for _, pending := range p.pendingMachines {
		countByType[pending.group.MachineType]++
	}
	var requests []cloud.ScaleOutRequest
	for group, count := range p.requestedCounts {
		if limit, ok := p.demand.Settings.MaxMachinesPerType[group.MachineType]; ok {
			count = min(count, limit-countByType[group.MachineType])
		}
		if limit := p.demand.Settings.MaxMachines; limit > 0 {
			count = min(count, limit-total)
		}
		if count <= 0 {
			continue
		}
		countByType[group.MachineType] += count
		total += count
		requests = append(requests, splitRequest(group, count)...)
	}
	sort.Slice(requests, func(i, j int) bool { return fmt.Sprint(requests[i]) < fmt.Sprint(requests[j]) })
	return requests
}

// splitRequest divides a request into requests of a size that the cloud accepts.
func splitRequest(group capacity.Group, count int) []cloud.ScaleOutRequest {
	var requests []cloud.ScaleOutRequest
	for ; count > 0; count -= tuning.MaxScaleOutPerRequest {
		requests = append(requests, cloud.ScaleOutRequest{MachineType: group.MachineType, Zone: group.Zone, Spot: group.Spot,
			Count: min(count, tuning.MaxScaleOutPerRequest)})
	}
	return requests
}
