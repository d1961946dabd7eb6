package peerstatus

import (
	"cmp"
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Capacities returns the capacities that connected controllers have announced.
func (t *Tracker) Capacities(now time.Time) []peer.ShapeCapacity {
	var capacities []peer.ShapeCapacity
	for _, latest := range t.latestHeartbeats {
		if latest.isRecent(now) && latest.heartbeat.Synced {
			capacities = append(capacities, latest.heartbeat.Capacities...)
		}
	}
	return capacities
}

// GangRank returns how many other controllers have a better placement for a gang than this one.
// ownCapacities are the capacities of this controller, and need is the resources that one task
// needs. The tightest placement that fits the gang without preemption ranks first, so that small
// gangs leave the large capacities to large gangs.
func (t *Tracker) GangRank(record *jobs.JobRecord, need capacity.Resources, ownCapacities []peer.ShapeCapacity, now time.Time) int {
	type candidate struct {
		controller string
		cost       int
	}
	candidates := []candidate{{t.self, gangPlacementCost(record, need, ownCapacities)}}
	for controller, latest := range t.latestHeartbeats {
		if latest.isCurrent(now) && latest.heartbeat.Synced {
			candidates = append(candidates, candidate{controller, gangPlacementCost(record, need, latest.heartbeat.Capacities)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.controller, b.controller))
	})
	return slices.IndexFunc(candidates, func(c candidate) bool { return c.controller == t.self })
}

// gangPlacementCost returns the cost of the best placement for a gang among a controller's
// capacities; a lower cost is better. If some zones fit the gang without preemption, the cost is the
// number of tasks that fit in the tightest of them. Otherwise it is tuning.GangCostAfterPreemption
// plus the number of the gang's tasks that fit only after preemption, in one zone or, if the gang
// need not be in one zone, over all zones. If the gang does not fit at all, the cost is
// tuning.GangCostNoCapacity.
func gangPlacementCost(record *jobs.JobRecord, need capacity.Resources, capacities []peer.ShapeCapacity) int {
	lowestCost := tuning.GangCostNoCapacity
	free, preemptible := 0, 0 // over all zones
	for _, zoneCapacity := range capacities {
		if !matchesGang(record, need, zoneCapacity) {
			continue
		}
		free += zoneCapacity.Free
		preemptible += zoneCapacity.Preemptible
		if zoneCapacity.Free >= record.Tasks {
			lowestCost = min(lowestCost, zoneCapacity.Free)
		} else if zoneCapacity.Free+zoneCapacity.Preemptible >= record.Tasks {
			lowestCost = min(lowestCost, tuning.GangCostAfterPreemption+record.Tasks-zoneCapacity.Free)
		}
	}
	if !record.OneZone && free+preemptible >= record.Tasks {
		lowestCost = min(lowestCost, tuning.GangCostAfterPreemption+max(0, record.Tasks-free))
	}
	return lowestCost
}

// matchesGang reports whether a capacity is for the gang's task shape and in a zone that the gang
// allows.
func matchesGang(record *jobs.JobRecord, need capacity.Resources, zoneCapacity peer.ShapeCapacity) bool {
	hasShape := zoneCapacity.CPU == need.CPU && zoneCapacity.GPU == need.GPU && zoneCapacity.Mem == need.MemGB
	return hasShape && (record.Zone == nil || *record.Zone == zoneCapacity.Zone)
}
