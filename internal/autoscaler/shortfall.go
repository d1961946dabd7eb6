package autoscaler

import (
	"math"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// gangShortfall is the number of a gang's tasks without room, and the zone to place them in
// ("" for any).
type gangShortfall struct {
	tasks int
	zone  string
}

// shortfallOfGang counts the tasks of a gang that have no room yet, in the zone with the smallest
// shortfall, and subtracts the room that the gang uses from p.free. Room on pending machines is
// used later, in placeOnPlanned.
func (p *planner) shortfallOfGang(job scheduler.PendingJob) gangShortfall {
	pendingRoom := map[string]int{}
	for _, machine := range p.machines {
		if p.fits(job, machine.group) {
			pendingRoom[machine.group.Zone] += capacity.FitCount(machine.room, job.Need)
		}
	}
	free := p.free[job.Need]
	if !job.Record.OneZone && job.Record.Zone == nil {
		return gangShortfall{tasks: takeFromAllZones(free, job.Tasks)}
	}
	zone := p.zoneWithLeastShortfall(job, free, pendingRoom)
	if zone == "" {
		return gangShortfall{}
	}
	used := min(job.Tasks, free[zone])
	if free != nil {
		free[zone] -= used
	}
	return gangShortfall{tasks: job.Tasks - used, zone: zone}
}

// takeFromAllZones takes the room of a number of tasks and returns how many have none.
func takeFromAllZones(free map[string]int, tasks int) (missing int) {
	for zone, room := range free {
		used := min(tasks, room)
		tasks -= used
		free[zone] -= used
	}
	return tasks
}

// zoneWithLeastShortfall returns the zone where the fewest tasks of a gang have no room; among
// equals the one with the most room now, then the first by name. A zone with a shortfall where no
// machine can be requested is left out. It returns "" if no zone remains.
func (p *planner) zoneWithLeastShortfall(job scheduler.PendingJob, free, pendingRoom map[string]int) string {
	best, leastShortfall := "", 0
	for zone := range p.zones() {
		if job.Record.Zone != nil && *job.Record.Zone != zone {
			continue
		}
		shortfall := max(0, job.Tasks-free[zone]-pendingRoom[zone])
		if shortfall > 0 {
			if _, ok := p.chooseGroup(job, p.demand.Settings.Spot, nil, zone, shortfall); !ok {
				continue
			}
		}
		isBetter := best == "" || shortfall < leastShortfall ||
			shortfall == leastShortfall && (free[zone] > free[best] || free[zone] == free[best] && zone < best)
		if isBetter {
			best, leastShortfall = zone, shortfall
		}
	}
	return best
}

// arrayShortfall is the number of an array's tasks that need new machines: of any kind, and
// beyond those on spot machines only.
type arrayShortfall struct{ tasks, spotOnly int }

// shortfallOfArray counts the tasks of an array that need new machines, so that the array and all
// work ahead of it are done by the time that is expected of the array. Machines count with what
// they can do until then, not with what is free now.
//
// Spot machines are also requested for work that the on-demand machines do only because they
// are there: it would keep those from being released. That shortfall alone is worth no
// on-demand machine.
func (p *planner) shortfallOfArray(job scheduler.PendingJob) arrayShortfall {
	class := job.Record.Class
	p.ahead[class] = p.ahead[class].Add(float64(job.Tasks)*job.Need.CPU, job.RunSeconds, job.Background)
	if job.Need.CPU <= 0 {
		return arrayShortfall{tasks: job.Tasks}
	}
	available := p.availableCPU(job)
	needed := p.neededCPU(job)
	tasks := p.tasksWithoutRoom(job, needed, available)
	if !job.Record.Spot || !p.demand.Settings.Spot {
		return arrayShortfall{tasks: tasks}
	}
	withSpot := p.tasksWithoutRoom(job, needed, p.withoutExcessOnDemand(job, available))
	return arrayShortfall{tasks: tasks, spotOnly: withSpot - tasks}
}

// tasksWithoutRoom is the number of an array's tasks by which the available CPUs fall short.
func (p *planner) tasksWithoutRoom(job scheduler.PendingJob, neededCPU, availableCPU float64) int {
	missingCPU := neededCPU - max(availableCPU, 0)
	count := max(0, int(math.Ceil(missingCPU/job.Need.CPU)))
	waitsTooLong := availableCPU <= 0 || job.Waiting > tuning.NoRoomScaleOutDelay
	if count == 0 && waitsTooLong && !p.hasPendingFor(job) {
		// Whatever the estimates say, a job that finds no room for so long gets a machine: an
		// estimate of zero must not keep it waiting for ever.
		count = 1
	}
	return min(job.Tasks, count)
}

// neededCPU is the number of CPUs that finish the work ahead of and in an array in time.
func (p *planner) neededCPU(job scheduler.PendingJob) float64 {
	horizon := max(p.timeBudget(job).Seconds(), job.RunSeconds, tuning.MinWorkHorizon.Seconds())
	// Long background tasks occupy their CPUs for the whole horizon, but need not be done within
	// it: counted whole, they would have every possible machine requested.
	cpuSeconds := 0.0
	for _, work := range p.ahead {
		cpuSeconds += work.CPUSecondsWithin(horizon)
	}
	return cpuSeconds / horizon
}

// availableCPU is the number of CPUs that a job's tasks can use on live and pending machines,
// beside gangs and, for background work, the reserve of the other classes.
func (p *planner) availableCPU(job scheduler.PendingJob) float64 {
	available := -p.demand.GangCPU
	if job.Background {
		available -= p.demand.BackgroundReserveCPU
	}
	for _, group := range p.demand.LiveMachines {
		available += p.usableCPU(job, group)
	}
	for _, pending := range p.pending {
		available += p.pendingWeight(pending) * p.usableCPU(job, pending.group)
	}
	return available
}

// usableCPU is the number of CPUs of a machine that a job's tasks can use.
func (a *Autoscaler) usableCPU(job scheduler.PendingJob, group capacity.Group) float64 {
	if !a.fits(job, group) {
		return 0
	}
	return job.Need.CPU * float64(capacity.FitCount(a.machineTypes[group.MachineType].Total(), job.Need))
}

// withoutExcessOnDemand subtracts from the available CPUs those of on-demand machines that are
// not there for urgent gangs anyway.
func (p *planner) withoutExcessOnDemand(job scheduler.PendingJob, available float64) float64 {
	onDemand := -p.demand.GangCPU
	for _, group := range p.demand.LiveMachines {
		if !group.Spot {
			onDemand += p.usableCPU(job, group)
		}
	}
	return available - max(0, onDemand-p.demand.UrgentGangCPU)
}

// hasPendingFor reports whether a pending machine can run the job.
func (a *Autoscaler) hasPendingFor(job scheduler.PendingJob) bool {
	for _, pending := range a.pending {
		if a.fits(job, pending.group) {
			return true
		}
	}
	return false
}

// timeBudget is the time for a job's work once requested machines run, from its deadline or the
// objective of its class, with a safety margin. It may be negative.
func (a *Autoscaler) timeBudget(job scheduler.PendingJob) time.Duration {
	if job.Background {
		return tuning.BackgroundHorizon
	}
	longestBoot := 0.0
	for typeName, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			// Late boots do not shorten the budget: that would request ever more of the machines
			// that do not boot.
			expected := a.bootSeconds(capacity.Group{MachineType: typeName, Zone: zone})
			longestBoot = max(longestBoot, min(machineType.StartupS, expected))
		}
	}
	target := config.TargetSeconds(a.objectives, job.Record.Class, job.Record.DeadlineSeconds) * tuning.DeadlineTargetFraction
	return time.Duration((target-longestBoot)*float64(time.Second)) - job.Age
}
