// Package others is what a controller has heard from the other controllers. No rule
// rests on it: it tells an outage from a cut, makes an old holder yield early, and
// lets the best placed controller take a gang first.
package peerstatus

import (
	"slices"
	"sort"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Tracker holds the latest beat of each. It has no locks: one actor owns it.
type Tracker struct {
	self   string
	latest map[string]receivedHeartbeat // by node; the keys are all that may speak
}

type receivedHeartbeat struct {
	heartbeat  peer.Heartbeat
	receivedAt time.Time // zero: nothing heard
}

// New makes it for a node and the others.
func New(me string, nodes []string) *Tracker {
	t := &Tracker{self: me, latest: map[string]receivedHeartbeat{}}
	for _, node := range nodes {
		if node != me {
			t.latest[node] = receivedHeartbeat{}
		}
	}
	return t
}

// Observe takes a beat; one of a node that is not known is ignored, and known is false.
func (t *Tracker) Observe(heartbeat peer.Heartbeat, now time.Time) (known bool) {
	if _, known = t.latest[heartbeat.Node]; known {
		heartbeat.TransferChunk = nil // for others to keep
		t.latest[heartbeat.Node] = receivedHeartbeat{heartbeat, now}
	}
	return known
}

// Latest is a controller's latest beat and how old it is; ok is false if there was none.
func (t *Tracker) Latest(node string, now time.Time) (heartbeat peer.Heartbeat, age time.Duration, ok bool) {
	last := t.latest[node]
	return last.heartbeat, now.Sub(last.receivedAt), !last.receivedAt.IsZero()
}

// Capacities are the rooms that the others told of lately.
func (t *Tracker) Capacities(now time.Time) []peer.ShapeCapacity {
	var out []peer.ShapeCapacity
	for _, last := range t.latest {
		if now.Sub(last.receivedAt) < tuning.PeerIdleTimeout && last.heartbeat.Synced {
			out = append(out, last.heartbeat.Capacities...)
		}
	}
	return out
}

// IsFaultyJob tells whether another found a job at fault: each judges the tasks of its own
// machines.
func (t *Tracker) IsFaultyJob(ref string, now time.Time) bool {
	for _, last := range t.latest {
		if now.Sub(last.receivedAt) < tuning.PeerIdleTimeout && slices.Contains(last.heartbeat.FaultyJobs, ref) {
			return true
		}
	}
	return false
}

// IsLeaving tells whether a controller said lately that it is about to end.
func (t *Tracker) IsLeaving(node string, now time.Time) bool {
	last := t.latest[node]
	return last.heartbeat.Leaving && now.Sub(last.receivedAt) < tuning.PeerIdleTimeout
}

// IsStoreDownForAll tells whether the state service is down for everybody as far as can
// be heard: then being away from it is no reason to send users elsewhere.
func (t *Tracker) IsStoreDownForAll(now time.Time) bool {
	for _, last := range t.latest {
		if now.Sub(last.receivedAt) < tuning.PeerIdleTimeout && last.heartbeat.Synced && last.heartbeat.StoreSilentFor+now.Sub(last.receivedAt) < tuning.HealthGracePeriod {
			return false
		}
	}
	return true
}

// NoPeerReachesStore tells whether every other controller was heard a moment ago and says that the state
// service has not answered it for at least so long: then nobody has confirmed a cancellation
// meanwhile, and what was confirmed before has been told.
func (t *Tracker) NoPeerReachesStore(now time.Time, silent time.Duration) bool {
	for _, last := range t.latest {
		if last.receivedAt.IsZero() || now.Sub(last.receivedAt) > 3*tuning.PeerHeartbeatInterval || last.heartbeat.StoreSilentFor < silent {
			return false
		}
	}
	return true
}

// HasApplied tells whether a controller knows all changes up to a revision, by its latest beat.
func (t *Tracker) HasApplied(node string, stamp uint64) bool {
	return t.latest[node].heartbeat.AppliedRevision >= stamp
}

// HasNotifiedWorkers tells whether a controller has told its workers, as far as they can be reached, that a job is
// cancelled, by its latest beat.
func (t *Tracker) HasNotifiedWorkers(node, ref string) bool {
	return slices.ContainsFunc(t.latest[node].heartbeat.CancelledJobs, func(c peer.CancelledJob) bool { return c.Ref == ref && c.WorkersNotified })
}

// HasRecentHeartbeat tells whether any other controller was heard lately.
func (t *Tracker) HasRecentHeartbeat(now time.Time) bool {
	for _, last := range t.latest {
		if now.Sub(last.receivedAt) < tuning.PeerIdleTimeout {
			return true
		}
	}
	return false
}

// IsCutOffFromStore tells whether the state service answers another controller and has not
// answered this one for so long: its users are sent on at once.
func (t *Tracker) IsCutOffFromStore(now time.Time, silent time.Duration) bool {
	if silent < tuning.IsolatedHealthGracePeriod {
		return false
	}
	for _, last := range t.latest {
		if now.Sub(last.receivedAt) < 3*tuning.PeerHeartbeatInterval && last.heartbeat.Synced && last.heartbeat.StoreSilentFor+now.Sub(last.receivedAt) < silent-tuning.IsolatedHealthGracePeriod/2 &&
			last.heartbeat.StoreSilentFor < tuning.IsolatedHealthGracePeriod/2 {
			return true
		}
	}
	return false
}

// NewerOwner tells whether another controller knows a newer holder of a share than
// the one of the given stamp: then its workers are no longer answered, and find
// the new holder sooner than by waiting for the time bound.
func (t *Tracker) NewerOwner(share string, stamp uint64) (holder string, yes bool) {
	for _, last := range t.latest {
		for _, owned := range last.heartbeat.Shards {
			if owned.ID == share && owned.Epoch > stamp && owned.Owner != t.self {
				return owned.Owner, true
			}
		}
	}
	return "", false
}

// GangRank is how many others have a better place for a gang than this controller
// has: the tightest room that holds it without preemption comes first, so that
// small gangs leave the large rooms whole.
func (t *Tracker) GangRank(record *jobs.JobRecord, need capacity.Resources, mine []peer.ShapeCapacity, now time.Time) int {
	type place struct {
		node string
		cost int
	}
	places := []place{{t.self, gangPlacementCost(record, need, mine)}}
	for node, last := range t.latest {
		if now.Sub(last.receivedAt) < 3*tuning.PeerHeartbeatInterval && last.heartbeat.Synced {
			places = append(places, place{node, gangPlacementCost(record, need, last.heartbeat.Capacities)})
		}
	}
	sort.Slice(places, func(i, k int) bool {
		if places[i].cost != places[k].cost {
			return places[i].cost < places[k].cost
		}
		return places[i].node < places[k].node
	})
	for i, p := range places {
		if p.node == t.self {
			return i
		}
	}
	return 0
}

// gangPlacementCost is how dear the best room for a gang is among a controller's counts.
func gangPlacementCost(record *jobs.JobRecord, need capacity.Resources, counts []peer.ShapeCapacity) int {
	least := tuning.RankNoRoom
	total, lent := 0, 0
	for _, room := range counts {
		if room.CPU != need.CPU || room.GPU != need.GPU || room.Mem != need.MemGB || record.Zone != nil && *record.Zone != room.Zone {
			continue
		}
		total, lent = total+room.Free, lent+room.Preemptible
		if room.Free >= record.Tasks {
			least = min(least, room.Free)
		} else if room.Free+room.Preemptible >= record.Tasks {
			least = min(least, tuning.RankAfterPreemption+record.Tasks-room.Free)
		}
	}
	if !record.OneZone && total+lent >= record.Tasks {
		least = min(least, tuning.RankAfterPreemption+max(0, record.Tasks-total))
	}
	return least
}
