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

// planner turns the demand into machines to request, for one job after the other.
type planner struct {
	*Autoscaler
	demand         scheduler.Demand
	machines       []*plannedMachine // pending ones and those that this plan requests
	requested      map[capacity.Group]int
	machinesInZone map[string]int
	// ahead is the work of the arrays planned so far and of running array tasks, by class.
	ahead map[string]scheduler.RunningWork
	// free is the number of gang tasks that fit on the machines there are, by task shape and
	// zone, less those of the jobs planned so far.
	free map[capacity.Resources]map[string]int
}

// plannedMachine is a machine that does not run yet, with the room that the jobs planned so far
// leave on it.
type plannedMachine struct {
	group     capacity.Group
	room      capacity.Resources
	requested bool // by this plan
}

// place takes the room of up to limit tasks of a shape and returns their number.
func (m *plannedMachine) place(need capacity.Resources, limit int) int {
	count := min(limit, capacity.FitCount(m.room, need))
	for range count {
		m.room = m.room.Sub(need)
	}
	return count
}

// planScaleOut returns the machines to request for the waiting jobs, which come with the most
// urgent first. Room on pending machines is used before more machines are requested.
func (a *Autoscaler) planScaleOut(demand scheduler.Demand) []cloud.ScaleOutRequest {
	p := a.newPlanner(demand)
	for _, job := range demand.Jobs {
		p.addJob(job)
	}
	return p.requests()
}

func (a *Autoscaler) newPlanner(demand scheduler.Demand) *planner {
	p := &planner{
		Autoscaler:     a,
		demand:         demand,
		requested:      map[capacity.Group]int{},
		machinesInZone: map[string]int{},
		ahead:          maps.Clone(demand.Running),
		free:           map[capacity.Resources]map[string]int{},
	}
	if p.ahead == nil {
		p.ahead = map[string]scheduler.RunningWork{}
	}
	for shape, tasksByZone := range demand.FittingTasks {
		p.free[shape] = maps.Clone(tasksByZone)
	}
	for _, group := range demand.LiveMachines {
		p.machinesInZone[group.Zone]++
	}
	for group, count := range a.expectedMachines() {
		machineType := a.machineTypes[group.MachineType]
		for range count {
			p.machines = append(p.machines, &plannedMachine{group: group, room: machineType.Total()})
		}
	}
	return p
}

// addJob plans the machines for one job.
func (p *planner) addJob(job scheduler.PendingJob) {
	missing, spotOnly, zone := job.Tasks, 0, ""
	switch job.Record.Kind {
	case jobs.Array:
		shortfall := p.shortfallOfArray(job)
		missing, spotOnly = shortfall.tasks, shortfall.spotOnly
	case jobs.Gang:
		shortfall := p.shortfallOfGang(job)
		missing, zone = shortfall.tasks, shortfall.zone
	}
	missing, zone = p.placeOnPlanned(job, missing, zone)
	p.requestMachines(job, missing, spotOnly, zone)
}

// placeOnPlanned places tasks on machines that do not run yet. It returns the number of tasks
// that remain and the zone of the last machine used.
func (p *planner) placeOnPlanned(job scheduler.PendingJob, missing int, zone string) (remaining int, lastZone string) {
	for _, machine := range p.machines {
		if missing <= 0 {
			break
		}
		if job.Record.Kind == jobs.Array && !machine.requested {
			continue // shortfallOfArray has counted the pending machines
		}
		if !p.fits(job, machine.group) || job.Record.OneZone && zone != "" && machine.group.Zone != zone {
			continue
		}
		count := machine.place(job.Need, missing)
		if count > 0 {
			zone = machine.group.Zone
		}
		missing -= count
	}
	return missing, zone
}

// requestMachines adds machines for tasks that have no room anywhere, the last spotOnly of them
// on spot machines only. It stops when no machine can be had.
func (p *planner) requestMachines(job scheduler.PendingJob, missing, spotOnly int, zone string) {
	remaining := missing + spotOnly
	for remaining > 0 {
		candidate := job
		candidate.BestEffort = candidate.BestEffort || remaining <= spotOnly
		group, ok := p.chooseGroup(candidate, p.demand.Settings.Spot, p.machinesInZone, zone, remaining)
		if !ok {
			return
		}
		machine := &plannedMachine{group: group, room: p.machineTypes[group.MachineType].Total(), requested: true}
		remaining -= machine.place(job.Need, remaining)
		p.machines = append(p.machines, machine)
		p.requested[group]++
		if job.Record.OneZone {
			zone = group.Zone
		}
	}
}

// requests returns the requests for the planned machines, within the operators' limits and no
// larger than the cloud accepts.
func (p *planner) requests() []cloud.ScaleOutRequest {
	total := len(p.pending) + len(p.demand.LiveMachines)
	countByType := map[string]int{}
	for _, group := range p.demand.LiveMachines {
		countByType[group.MachineType]++
	}
	for _, pending := range p.pending {
		countByType[pending.group.MachineType]++
	}
	var requests []cloud.ScaleOutRequest
	for group, count := range p.requested {
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

// splitRequest divides a request into ones that the cloud accepts.
func splitRequest(group capacity.Group, count int) []cloud.ScaleOutRequest {
	var requests []cloud.ScaleOutRequest
	for ; count > 0; count -= tuning.MaxScaleOutPerRequest {
		requests = append(requests, cloud.ScaleOutRequest{MachineType: group.MachineType, Zone: group.Zone, Spot: group.Spot,
			Count: min(count, tuning.MaxScaleOutPerRequest)})
	}
	return requests
}
