package autoscaler

import (
	"math"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/forecast"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

func typeZoneOf(group capacity.Group) forecast.TypeZone {
	return forecast.TypeZone{MachineType: group.MachineType, Zone: group.Zone}
}

// updatePendingMachines removes the pending machines that have sent a heartbeat, and learns from
// their boot times. It also removes those that are older than the boot timeout plus a grace period.
func (a *Autoscaler) updatePendingMachines(demand scheduler.Demand) {
	for host, pending := range a.pendingMachines {
		age := time.Since(pending.requestedAt)
		switch {
		case demand.RecordedMachines[host]:
			a.bootTimes.Observe(typeZoneOf(pending.group), pending.requestedAt, age)
			delete(a.pendingMachines, host)
		case age.Seconds() > a.bootTimeoutSeconds(pending.group)+tuning.PendingMachineGracePeriod.Seconds():
			delete(a.pendingMachines, host)
		}
	}
	for host := range demand.RecordedMachines {
		a.reportedHosts[host] = true
	}
}

// updateBootTimes estimates the boot time of each machine type in each zone from recent boots
// and from the ages of the pending machines.
func (a *Autoscaler) updateBootTimes(demand scheduler.Demand) {
	pendingAges := map[forecast.TypeZone][]float64{}
	for _, pending := range a.pendingMachines {
		typeZone := typeZoneOf(pending.group)
		pendingAges[typeZone] = append(pendingAges[typeZone], time.Since(pending.requestedAt).Seconds())
	}
	a.expectedBootSeconds = map[forecast.TypeZone]float64{}
	longestByType := map[string]float64{}
	for typeName, machineType := range a.machineTypes {
		initialSeconds := machineType.StartupS
		if recordedSeconds, ok := demand.BootSeconds[typeName]; ok && !a.bootTimes.HasSamples(typeName) {
			initialSeconds = recordedSeconds // learned by another controller
		}
		for _, zone := range machineType.Zones {
			typeZone := forecast.TypeZone{MachineType: typeName, Zone: zone}
			a.expectedBootSeconds[typeZone] = a.bootTimes.ExpectedSeconds(typeZone, initialSeconds, pendingAges[typeZone], time.Now())
			longestByType[typeName] = max(longestByType[typeName], a.expectedBootSeconds[typeZone])
		}
	}
	a.controller.SetBootTimes(longestByType)
}

// bootSeconds returns the expected boot time of a group in seconds. If no boot time was learned, it
// returns the one that the cloud states.
func (a *Autoscaler) bootSeconds(group capacity.Group) float64 {
	if seconds, ok := a.expectedBootSeconds[typeZoneOf(group)]; ok {
		return seconds
	}
	return a.machineTypes[group.MachineType].StartupS
}

// bootTimeoutSeconds returns the age in seconds at which a machine that is still booting is
// released. It is higher if other machines of the group boot slowly, too.
func (a *Autoscaler) bootTimeoutSeconds(group capacity.Group) float64 {
	statedSeconds := a.machineTypes[group.MachineType].StartupS
	return min(tuning.BootTimeoutFactor*max(a.bootSeconds(group), statedSeconds), tuning.MaxBootTimeoutFactor*statedSeconds)
}

// pendingWeight returns the weight, from 0 to 1, with which a pending machine counts as available
// capacity. The longer the machine is overdue, the lower the weight.
func (a *Autoscaler) pendingWeight(pending *pendingMachine) float64 {
	return forecast.PendingWeight(time.Since(pending.requestedAt).Seconds(), a.bootSeconds(pending.group))
}

// expectedMachineCounts returns the number of pending machines that are likely to boot soon, by group.
func (a *Autoscaler) expectedMachineCounts() map[capacity.Group]int {
	weights := map[capacity.Group]float64{}
	for _, pending := range a.pendingMachines {
		weights[pending.group] += a.pendingWeight(pending)
	}
	counts := map[capacity.Group]int{}
	for group, weight := range weights {
		counts[group] = int(math.Round(weight))
	}
	return counts
}
