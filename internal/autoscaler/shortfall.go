package autoscaler

import (
	"math"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// gangShortfall is the number of a gang's tasks for which there is no capacity, and the zone in
// which to place them. The zone is "" if any zone will do.
type gangShortfall struct {
	tasks int
	zone  string
}

// computeGangShortfall counts the tasks of a gang for which the existing machines have no capacity:
// in the zone with the smallest shortfall if the gang needs a single zone, and otherwise in all
// zones together. It subtracts the slots that the gang uses from p.freeGangSlots. Capacity on
// pending machines is allocated later, by placeOnPlannedMachines.
func (p *planner) computeGangShortfall(job scheduler.PendingJob) gangShortfall {
	pendingSlots := map[string]int{}
	for _, machine := range p.machines {
		if p.fits(job, machine.group) {
			pendingSlots[machine.group.Zone] += capacity.FitCount(machine.free, job.Need)
		}
	}
	freeSlots := p.freeGangSlots[job.Need]
	if !job.Record.OneZone && job.Record.Zone == nil {
		return gangShortfall{tasks: useSlotsInAllZones(freeSlots, job.Tasks)}
	}
	zone := p.zoneWithLeastShortfall(job, freeSlots, pendingSlots)
	if zone == "" {
		return gangShortfall{}
	}
	usedSlots := min(job.Tasks, freeSlots[zone])
	if freeSlots != nil {
		freeSlots[zone] -= usedSlots
	}
	return gangShortfall{tasks: job.Tasks - usedSlots, zone: zone}
}

// useSlotsInAllZones allocates slots in any zones to the given number of tasks, and subtracts these
// slots from freeSlots. It returns the number of tasks that get no slot.
func useSlotsInAllZones(freeSlots map[string]int, tasks int) (unplacedTasks int) {
	for zone, slots := range freeSlots {
		usedSlots := min(tasks, slots)
		tasks -= usedSlots
		freeSlots[zone] -= usedSlots
	}
	return tasks
}

// zoneWithLeastShortfall returns the zone in which the fewest tasks of a gang lack capacity. Ties
// are broken by the most free slots now, then by name. A zone that has a shortfall is left out if
// no machine can be requested in it. If no zone remains, zoneWithLeastShortfall returns "".
func (p *planner) zoneWithLeastShortfall(job scheduler.PendingJob, freeSlots, pendingSlots map[string]int) string {
	best, leastShortfall := "", 0
	for zone := range p.zones() {
		if job.Record.Zone != nil && *job.Record.Zone != zone {
			continue
		}
		shortfall := max(0, job.Tasks-freeSlots[zone]-pendingSlots[zone])
		if shortfall > 0 {
			if _, ok := p.chooseGroup(job, p.demand.Settings.Spot, nil, zone, shortfall); !ok {
				continue
			}
		}
		isPreferred := best == "" || shortfall < leastShortfall ||
			shortfall == leastShortfall && (freeSlots[zone] > freeSlots[best] || freeSlots[zone] == freeSlots[best] && zone < best)
		if isPreferred {
			best, leastShortfall = zone, shortfall
		}
	}
	return best
}

// arrayShortfall is the number of an array's tasks that need new machines: tasks may be placed on
// machines of any kind, and spotOnlyTasks further ones on spot machines only.
type arrayShortfall struct{ tasks, spotOnlyTasks int }

// computeArrayShortfall counts the tasks of an array that need new machines so that the array and all
// preceding work are done within the array's time budget. Existing machines count with the work that
// they can do in that time, not with the capacity that is free now.
//
// Spot machines are also requested for work that on-demand machines do only because they already
// run, since this work would keep the on-demand machines from being released. No on-demand machine
// is requested for that part of the shortfall.
func (p *planner) computeArrayShortfall(job scheduler.PendingJob) arrayShortfall {
	class := job.Record.Class
	p.precedingWork[class] = p.precedingWork[class].Add(float64(job.Tasks)*job.Need.CPU, job.RunSeconds, job.IsBackground)
	if job.Need.CPU <= 0 {
		return arrayShortfall{tasks: job.Tasks}
	}
	availableCPUs := p.availableCPU(job)
	neededCPUs := p.neededCPU(job)
	tasks := p.tasksWithoutCapacity(job, neededCPUs, availableCPUs)
	if !job.Record.Spot || !p.demand.Settings.Spot {
		return arrayShortfall{tasks: tasks}
	}
	totalTasks := p.tasksWithoutCapacity(job, neededCPUs, p.cpuWithoutExcessOnDemand(job, availableCPUs))
	return arrayShortfall{tasks: tasks, spotOnlyTasks: totalTasks - tasks}
}

// tasksWithoutCapacity returns the number of an array's tasks for which the available CPUs do not
// suffice.
func (p *planner) tasksWithoutCapacity(job scheduler.PendingJob, neededCPU, availableCPU float64) int {
	missingCPU := neededCPU - max(availableCPU, 0)
	count := max(0, int(math.Ceil(missingCPU/job.Need.CPU)))
	waitsTooLong := availableCPU <= 0 || job.KnownFor > tuning.NoCapacityScaleOutDelay
	if count == 0 && waitsTooLong && !p.hasPendingMachineFor(job) {
		// A job that finds no capacity for so long gets a machine regardless of the estimates: an
		// estimate of zero must not keep it waiting forever.
		count = 1
	}
	return min(job.Tasks, count)
}

// neededCPU returns the number of CPUs that finish an array and all preceding work in time.
func (p *planner) neededCPU(job scheduler.PendingJob) float64 {
	horizon := max(p.timeBudget(job).Seconds(), job.RunSeconds, tuning.MinWorkHorizon.Seconds())
	// Long background tasks occupy their CPUs for the whole horizon, but need not be done within
	// it. If all of their work counted, every possible machine would be requested.
	cpuSeconds := 0.0
	for _, work := range p.precedingWork {
		cpuSeconds += work.CPUSecondsWithin(horizon)
	}
	return cpuSeconds / horizon
}

// availableCPU returns the number of CPUs that a job's tasks can use on live and pending machines. The
// CPUs that gangs use are subtracted, and for a background job also the reserve of the other classes.
func (p *planner) availableCPU(job scheduler.PendingJob) float64 {
	availableCPUs := -p.demand.GangCPU
	if job.IsBackground {
		availableCPUs -= p.demand.BackgroundReserveCPU
	}
	for _, group := range p.demand.LiveMachines {
		availableCPUs += p.usableCPU(job, group)
	}
	for _, pending := range p.pendingMachines {
		availableCPUs += p.pendingWeight(pending) * p.usableCPU(job, pending.group)
	}
	return availableCPUs
}

// usableCPU returns the number of CPUs of a machine that a job's tasks can use.
func (a *Autoscaler) usableCPU(job scheduler.PendingJob, group capacity.Group) float64 {
	if !a.fits(job, group) {
		return 0
	}
	return job.Need.CPU * float64(capacity.FitCount(a.machineTypes[group.MachineType].Total(), job.Need))
}

// cpuWithoutExcessOnDemand returns the available CPUs less those of on-demand machines that are not
// needed for urgent gangs.
func (p *planner) cpuWithoutExcessOnDemand(job scheduler.PendingJob, availableCPU float64) float64 {
	onDemandCPU := -p.demand.GangCPU
	for _, group := range p.demand.LiveMachines {
		if !group.Spot {
			onDemandCPU += p.usableCPU(job, group)
		}
	}
	return availableCPU - max(0, onDemandCPU-p.demand.CPULeftByUrgentGangs)
}

// hasPendingMachineFor reports whether a pending machine can run the job.
func (a *Autoscaler) hasPendingMachineFor(job scheduler.PendingJob) bool {
	for _, pending := range a.pendingMachines {
		if a.fits(job, pending.group) {
			return true
		}
	}
	return false
}

// timeBudget returns the time that is left for a job's work after requested machines have booted. It
// follows from the job's deadline or the objective of its class, with a safety margin, and may be
// negative.
func (a *Autoscaler) timeBudget(job scheduler.PendingJob) time.Duration {
	if job.IsBackground {
		return tuning.BackgroundHorizon
	}
	longestBootSeconds := 0.0
	for typeName, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			// Late boots do not shorten the budget: with a shorter budget, more and more of the
			// machines that do not boot would be requested.
			expectedSeconds := a.bootSeconds(capacity.Group{MachineType: typeName, Zone: zone})
			longestBootSeconds = max(longestBootSeconds, min(machineType.StartupS, expectedSeconds))
		}
	}
	targetSeconds := config.TargetSeconds(a.objectives, job.Record.Class, job.Record.DeadlineSeconds) * tuning.DeadlineTargetFraction
	return time.Duration((targetSeconds-longestBootSeconds)*float64(time.Second)) - job.Age
}
