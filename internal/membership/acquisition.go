package membership

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// Successor returns the controller that should own a shard: its home if that is live, else the
// next live one in the order of names. It returns "" if no controller is live.
func (t *Table) Successor(id string) string {
	return t.SuccessorExcluding(id, func(string) bool { return false })
}

// SuccessorExcluding is Successor as if the excluded controllers were not live.
func (t *Table) SuccessorExcluding(id string, excluded func(controller string) bool) string {
	home := max(0, slices.Index(t.controllers, id))
	for i := range t.controllers {
		candidate := t.controllers[(home+i)%len(t.controllers)]
		if t.IsLive(candidate, 0) && !excluded(candidate) {
			return candidate
		}
	}
	return ""
}

// ShardsToAcquire returns the shards that this controller should acquire at now. failed reports
// whether a controller is considered failed although its lease has not expired yet.
//
// The home of a shard acquires it at once if it has no working owner (live and not failed), and
// after returnDelay if it has one.
//
// Another controller acquires a shard only if it is the successor and there is no working owner, and
// not in its own startup grace period: when all controllers start together, the first one up would
// acquire the shard of the next, which would acquire it back half a second later. Each change of
// owner costs the shard what its owner knew of the machines.
func (t *Table) ShardsToAcquire(now time.Time, failed func(controller string) bool) []string {
	var ids []string
	for _, id := range t.controllers {
		shard := t.shards[id]
		isOwned := shard != nil && shard.isLocal
		if isOwned || t.SuccessorExcluding(id, failed) != t.self {
			continue
		}
		hasWorkingOwner := t.OwnerIsLive(shard) && !failed(shard.owner)
		isHome := id == t.self
		delay := time.Duration(0)
		switch {
		case !isHome && hasWorkingOwner:
			continue
		case !isHome:
			delay = tuning.StartupGracePeriod
		case hasWorkingOwner:
			delay = shard.returnDelay(now)
		}
		if now.Sub(t.liveSince) >= delay {
			ids = append(ids, id)
		}
	}
	return ids
}

// InStartupGrace reports whether this controller has become live so recently that others which
// were started together with it may not be up yet.
func (t *Table) InStartupGrace(now time.Time) bool {
	return t.liveSince.IsZero() || now.Sub(t.liveSince) < tuning.StartupGracePeriod
}

// returnDelay returns for how long after its start the home leaves the shard with its present
// owner: not at all if the shard has changed owners no more often lately than one crash and the
// return from it explain, and twice as long with each acquisition beyond that, up to a limit. A
// controller that crashed every few seconds would otherwise acquire its shard at each start, and
// two controllers in turn would probe its workers.
func (s *Shard) returnDelay(now time.Time) time.Duration {
	recent := 0
	for _, acquiredMs := range s.acquisitions {
		// The clocks of controllers differ a little, so an acquisition can lie in the future.
		age := now.Sub(time.UnixMilli(acquiredMs))
		if age < tuning.AcquisitionWindow && age > -tuning.AcquisitionWindow {
			recent++
		}
	}
	if recent <= tuning.MaxUndelayedAcquisitions {
		return 0
	}
	doublings := recent - tuning.MaxUndelayedAcquisitions - 1
	return min(tuning.MinShardReturnDelay<<doublings, tuning.MaxShardReturnDelay)
}
