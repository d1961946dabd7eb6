// Package peerstatus keeps the latest heartbeat of each other controller and derives from them
// whether the key-value store is down or only this controller is cut off from it, whether a shard has
// a newer owner, and which controller has the best placement for a gang.
//
// Heartbeats can be lost, delayed or out of date. Safety depends only on statements that stay true
// (HasApplied, HasNotifiedWorkers) or whose age is bounded by this controller's own clock
// (StoreUnreachableAsOf).
package peerstatus

import (
	"maps"
	"slices"
	"time"

	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Tracker keeps the latest heartbeat of each other controller. It is not safe for concurrent use:
// a single actor owns it.
type Tracker struct {
	self             string
	incarnation      uint64
	startedAt        time.Time                    // the zero point of the times in this controller's heartbeats
	madeAt           map[uint64]time.Time         // when this controller made its latest heartbeats, by the times in them
	latestHeartbeats map[string]receivedHeartbeat // by controller; has an entry for each other controller
}

// maxCurrentHeartbeatAge is the age of the latest heartbeat beyond which more than two heartbeats in
// succession are missing.
const maxCurrentHeartbeatAge = 3 * tuning.PeerHeartbeatInterval

type receivedHeartbeat struct {
	heartbeat  peer.Heartbeat
	receivedAt time.Time // zero if none was received
}

func (r receivedHeartbeat) age(now time.Time) time.Duration { return now.Sub(r.receivedAt) }

// isRecent reports whether the heartbeat is so recent that the peer counts as connected.
func (r receivedHeartbeat) isRecent(now time.Time) bool { return r.age(now) < tuning.PeerIdleTimeout }

// isCurrent reports whether at most two heartbeats in succession are missing.
func (r receivedHeartbeat) isCurrent(now time.Time) bool {
	return r.age(now) < maxCurrentHeartbeatAge
}

// storeSilentFor returns an upper bound on the time since the key-value store last responded to the
// peer.
func (r receivedHeartbeat) storeSilentFor(now time.Time) time.Duration {
	return r.heartbeat.StoreSilentFor + r.age(now)
}

// New returns the tracker that an incarnation of the controller self uses for all other controllers.
func New(self string, incarnation uint64, controllers []string) *Tracker {
	t := &Tracker{self: self, incarnation: incarnation, startedAt: time.Now(), madeAt: map[uint64]time.Time{}, latestHeartbeats: map[string]receivedHeartbeat{}}
	for _, controller := range controllers {
		if controller != self {
			t.latestHeartbeats[controller] = receivedHeartbeat{}
		}
	}
	return t
}

// Observe records a heartbeat, without the transfer chunk that it may carry. It reports whether
// the sender is a known controller; heartbeats of others are ignored.
func (t *Tracker) Observe(heartbeat peer.Heartbeat, now time.Time) (known bool) {
	if _, known = t.latestHeartbeats[heartbeat.Node]; !known {
		return false
	}
	heartbeat.TransferChunk = nil // the chunk can be large, and package handover handles it on receipt
	t.latestHeartbeats[heartbeat.Node] = receivedHeartbeat{heartbeat: heartbeat, receivedAt: now}
	return true
}

// Latest returns a controller's latest heartbeat and its age; ok is false if there was none.
func (t *Tracker) Latest(controller string, now time.Time) (heartbeat peer.Heartbeat, age time.Duration, ok bool) {
	latest := t.latestHeartbeats[controller]
	return latest.heartbeat, latest.age(now), !latest.receivedAt.IsZero()
}

// HasConnectedPeer reports whether any other controller is connected.
func (t *Tracker) HasConnectedPeer(now time.Time) bool {
	for _, latest := range t.latestHeartbeats {
		if latest.isRecent(now) {
			return true
		}
	}
	return false
}

// IsLeaving reports whether a connected controller has announced its shutdown.
func (t *Tracker) IsLeaving(controller string, now time.Time) bool {
	latest := t.latestHeartbeats[controller]
	return latest.heartbeat.Leaving && latest.isRecent(now)
}

// HasApplied reports whether a controller knows all changes up to a revision, according to its latest
// heartbeat.
func (t *Tracker) HasApplied(controller string, revision uint64) bool {
	return t.latestHeartbeats[controller].heartbeat.AppliedRevision >= revision
}

// HasNotifiedWorkers reports whether a controller, according to its latest heartbeat, has notified all
// those of its workers that it can reach of the cancellation of a job.
func (t *Tracker) HasNotifiedWorkers(controller, ref string) bool {
	return slices.ContainsFunc(t.latestHeartbeats[controller].heartbeat.CancelledJobs, func(job peer.CancelledJob) bool {
		return job.Ref == ref && job.WorkersNotified
	})
}

// IsFaultyJob reports whether a connected controller attributes the failures of a job's tasks to
// the job itself. Each controller judges the tasks of its own machines only.
func (t *Tracker) IsFaultyJob(ref string, now time.Time) bool {
	for _, latest := range t.latestHeartbeats {
		if latest.isRecent(now) && slices.Contains(latest.heartbeat.FaultyJobs, ref) {
			return true
		}
	}
	return false
}

// IsStoreDownForAll reports whether no other connected controller reaches the key-value store. There
// is then no point in sending this controller's users to another controller.
func (t *Tracker) IsStoreDownForAll(now time.Time) bool {
	for _, latest := range t.latestHeartbeats {
		if latest.isRecent(now) && latest.heartbeat.Synced && latest.storeSilentFor(now) < tuning.HealthGracePeriod {
			return false
		}
	}
	return true
}

// RecordMade returns the time to put into a heartbeat that this controller makes at now, and records the
// heartbeat. A heartbeat older than tuning.MaxStartKnowledgeAge is not needed any more: no start may rest
// on a statement that is dated by it.
func (t *Tracker) RecordMade(now time.Time) (madeAtMicros uint64) {
	maps.DeleteFunc(t.madeAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > tuning.MaxStartKnowledgeAge })
	madeAtMicros = uint64(now.Sub(t.startedAt) / time.Microsecond)
	t.madeAt[madeAtMicros] = now
	return madeAtMicros
}

// ObservedHeartbeats identifies the latest heartbeat of each other controller, sorted by name.
func (t *Tracker) ObservedHeartbeats() []peer.ObservedHeartbeat {
	var observed []peer.ObservedHeartbeat
	for _, controller := range slices.Sorted(maps.Keys(t.latestHeartbeats)) {
		if latest := t.latestHeartbeats[controller]; !latest.receivedAt.IsZero() {
			observed = append(observed, peer.ObservedHeartbeat{
				Node:         controller,
				Incarnation:  latest.heartbeat.Incarnation,
				MadeAtMicros: latest.heartbeat.MadeAtMicros,
			})
		}
	}
	return observed
}

// madeAfter returns a time after which a heartbeat was certainly made: it names the latest heartbeat of
// this controller that its sender had received by then. The time at which the heartbeat arrived proves
// nothing, since it may have been held on its way. ok is false if the heartbeat names none, or one that is
// too old to be known.
func (t *Tracker) madeAfter(heartbeat peer.Heartbeat) (at time.Time, ok bool) {
	for _, observed := range heartbeat.Observed {
		if observed.Node == t.self && observed.Incarnation == t.incarnation {
			at, ok = t.madeAt[observed.MadeAtMicros]
			return at, ok
		}
	}
	return time.Time{}, false
}

// StoreUnreachableAsOf returns the latest time as of which no other controller had a response of the
// key-value store for silentFor, and this controller knows all cancellations that the others knew.
// appliedRevision is the revision up to which this controller has applied all changes. No controller
// has confirmed a cancellation that this one does not know before that time, and none confirms one
// earlier than config.Config.CancellationEffectiveDelay after it. The time is zero if the heartbeats
// of the others do not prove one, and now if there are no other controllers.
func (t *Tracker) StoreUnreachableAsOf(now time.Time, silentFor time.Duration, appliedRevision uint64) time.Time {
	earliest := now
	for _, latest := range t.latestHeartbeats {
		madeAfter, ok := t.madeAfter(latest.heartbeat)
		knowsCancellations := latest.heartbeat.CancellationsKnownAfter <= appliedRevision
		if !ok || !knowsCancellations || latest.heartbeat.StoreSilentFor < silentFor {
			return time.Time{}
		}
		if madeAfter.Before(earliest) {
			earliest = madeAfter
		}
	}
	return earliest
}

// IsCutOffFromStore reports whether the key-value store, which has not responded to this
// controller for silentFor, responds to another controller. That controller can then serve this
// controller's users better.
func (t *Tracker) IsCutOffFromStore(now time.Time, silentFor time.Duration) bool {
	if silentFor < tuning.IsolatedHealthGracePeriod {
		return false
	}
	// Even in an outage, the last responses to two controllers are some time apart, so only a
	// difference larger than this margin shows that the other controller still gets responses.
	const margin = tuning.IsolatedHealthGracePeriod / 2
	for _, latest := range t.latestHeartbeats {
		reachesStore := latest.storeSilentFor(now) < silentFor-margin && latest.heartbeat.StoreSilentFor < margin
		if latest.isCurrent(now) && latest.heartbeat.Synced && reachesStore {
			return true
		}
	}
	return false
}

// NewerOwner returns the owner of a shard under a later epoch than the given one, if another
// controller knows of such an owner. The owner under the given epoch then stops responding to the
// shard's workers, so that they find the new owner before their leases expire.
func (t *Tracker) NewerOwner(id string, epoch uint64) (owner string, ok bool) {
	for _, latest := range t.latestHeartbeats {
		for _, shard := range latest.heartbeat.Shards {
			if shard.ID == id && shard.Epoch > epoch && shard.Owner != t.self {
				return shard.Owner, true
			}
		}
	}
	return "", false
}
