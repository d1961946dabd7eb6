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
	for _, last := range t.latest {
		if last.isValid(now) && last.heartbeat.Synced {
			capacities = append(capacities, last.heartbeat.Capacities...)
		}
	}
	return capacities
}

// GangRank returns how many other controllers have a better place for a gang than this one, whose
// capacities are own. need is the demand of one task. The tightest place that takes the gang
// without preemption ranks first, so that small gangs leave the large places to large ones.
func (t *Tracker) GangRank(record *jobs.JobRecord, need capacity.Resources, own []peer.ShapeCapacity, now time.Time) int {
	type candidate struct {
		controller string
		cost       int
	}
	candidates := []candidate{{t.self, gangPlacementCost(record, need, own)}}
	for controller, last := range t.latest {
		if last.isCurrent(now) && last.heartbeat.Synced {
			candidates = append(candidates, candidate{controller, gangPlacementCost(record, need, last.heartbeat.Capacities)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.controller, b.controller))
	})
	return slices.IndexFunc(candidates, func(c candidate) bool { return c.controller == t.self })
}

// gangPlacementCost returns the cost of the best place for a gang among a controller's capacities,
// lower being better: the room of the tightest zone that takes the gang; beyond that a place with
// preemption, by the number of tasks to be preempted; else tuning.RankNoRoom.
func gangPlacementCost(record *jobs.JobRecord, need capacity.Resources, capacities []peer.ShapeCapacity) int {
	least := tuning.RankNoRoom
	free, preemptible := 0, 0 // over all zones
	for _, zone := range capacities {
		if !isUsableFor(record, need, zone) {
			continue
		}
		free += zone.Free
		preemptible += zone.Preemptible
		if zone.Free >= record.Tasks {
			least = min(least, zone.Free)
		} else if zone.Free+zone.Preemptible >= record.Tasks {
			least = min(least, tuning.RankAfterPreemption+record.Tasks-zone.Free)
		}
	}
	if !record.OneZone && free+preemptible >= record.Tasks {
		least = min(least, tuning.RankAfterPreemption+max(0, record.Tasks-free))
	}
	return least
}

// isUsableFor reports whether a capacity is of the gang's task shape and in a zone that it allows.
func isUsableFor(record *jobs.JobRecord, need capacity.Resources, zone peer.ShapeCapacity) bool {
	hasShape := zone.CPU == need.CPU && zone.GPU == need.GPU && zone.Mem == need.MemGB
	return hasShape && (record.Zone == nil || *record.Zone == zone.Zone)
}
