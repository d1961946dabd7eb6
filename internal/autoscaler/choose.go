package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// zones returns all zones in which the cloud offers machines.
func (a *Autoscaler) zones() map[string]bool {
	zones := map[string]bool{}
	for _, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			zones[zone] = true
		}
	}
	return zones
}

// fits reports whether a task of the job can run on a machine of the group, given the zones of its claimed
// tasks.
func (a *Autoscaler) fits(job scheduler.PendingJob, group capacity.Group) bool {
	machineType, ok := a.machineTypes[group.MachineType]
	return ok && job.Record.Allows(group) && job.Zones.Allow(group.Zone) && slices.Contains(machineType.Zones, group.Zone) &&
		capacity.FitCount(machineType.Total(), job.Need) > 0
}

// chooseGroup returns the group with the lowest price per task. If onlyZone is not "", it considers
// only that zone. Among similar prices it prefers the zone with the most machines for a job that must
// stay in one zone, and the zone with the fewest for any other job. Equal costs are decided by name,
// so that the choice does not depend on the order of a map. ok is false if no machine can be
// requested.
func (a *Autoscaler) chooseGroup(job scheduler.PendingJob, spotAllowed bool, machinesInZone map[string]int, onlyZone string, tasks int) (best capacity.Group, ok bool) {
	lowestCost := 0.0
	for typeName, machineType := range a.machineTypes {
		for _, zone := range machineType.Zones {
			if onlyZone != "" && zone != onlyZone {
				continue
			}
			for _, spot := range []bool{true, false} {
				group := capacity.Group{Zone: zone, MachineType: typeName, Spot: spot}
				if !a.canRequest(job, group, spotAllowed) {
					continue
				}
				cost := groupCost(job, machineType, spot, tasks, machinesInZone[zone])
				if !ok || cost < lowestCost || cost == lowestCost && fmt.Sprint(group) < fmt.Sprint(best) {
					best, lowestCost, ok = group, cost, true
				}
			}
		}
	}
	return best, ok
}

// canRequest reports whether a machine of the group may be requested for the job. Spot machines are
// requested only if the operators allow them, and on-demand machines only if the job is not best-effort
// work. After the cloud had no capacity for the group, no machine of the group is requested for
// tuning.CapacityRefusalBackoff.
func (a *Autoscaler) canRequest(job scheduler.PendingJob, group capacity.Group, spotAllowed bool) bool {
	if group.Spot && !spotAllowed || !group.Spot && job.IsBestEffort {
		return false
	}
	return a.fits(job, group) && time.Since(a.refusedAt[group]) >= tuning.CapacityRefusalBackoff
}

// groupCost returns a machine's hourly price per task that the machine can run, weighted slightly by
// the number of machines in its zone.
func groupCost(job scheduler.PendingJob, machineType cloud.MachineType, spot bool, tasks, machinesInZone int) float64 {
	price := machineType.HourlyPrice
	if spot {
		price = machineType.SpotHourlyPrice
	}
	tasksPerMachine := min(tasks, capacity.FitCount(machineType.Total(), job.Need))
	cost := price / float64(tasksPerMachine)
	if job.Record.OneZone {
		return cost * (1 - tuning.TieBreakWeight*float64(machinesInZone))
	}
	return cost * (1 + tuning.TieBreakWeight*float64(machinesInZone))
}
