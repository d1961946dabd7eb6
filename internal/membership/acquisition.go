package membership

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// Successor returns the controller that should own a shard: its home if that is live, else the
// first live controller after the home in the cyclic order of names. It returns "" if no controller
// is live.
func (t *Table) Successor(id string) string {
	return t.SuccessorExcluding(id, func(string) bool { return false })
}

// SuccessorExcluding is like Successor, but treats the excluded controllers as not live.
func (t *Table) SuccessorExcluding(id string, isExcluded func(controller string) bool) string {
	homeIndex := max(0, slices.Index(t.controllers, id))
	for i := range t.controllers {
		candidate := t.controllers[(homeIndex+i)%len(t.controllers)]
		if t.IsLive(candidate, 0) && !isExcluded(candidate) {
			return candidate
		}
	}
	return ""
}

// ShardsToAcquire returns the shards that this controller should acquire at now. hasFailed reports
// whether a controller is considered failed although its lease has not expired yet.
//
// The home of a shard acquires it at once unless the shard has a working owner, which is an owner
// that is live and not considered failed. If there is one, the home acquires the shard after
// returnDelay.
//
// Any other controller acquires a shard only if it is the shard's successor, the shard has no
// working owner, and the startup grace period of that controller is over. Without that period, when
// all controllers start together, the first one to be live would acquire the shard of the next one,
// and half a second later the next one would be live and acquire its shard back. With each change
// of owner, what the owner knew about the shard's machines is lost.
func (t *Table) ShardsToAcquire(now time.Time, hasFailed func(controller string) bool) []string {
	var ids []string
	for _, id := range t.controllers {
		shard := t.shards[id]
		isLocal := shard != nil && shard.isLocal
		if isLocal || t.SuccessorExcluding(id, hasFailed) != t.self {
			continue
		}
		hasWorkingOwner := t.OwnerIsLive(shard) && !hasFailed(shard.owner)
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

// InStartupGrace reports whether this controller has become live so recently that other controllers
// that were started together with it may not be up yet.
func (t *Table) InStartupGrace(now time.Time) bool {
	return t.liveSince.IsZero() || now.Sub(t.liveSince) < tuning.StartupGracePeriod
}

// returnDelay returns how long the shard's home controller waits after its own start before it
// acquires the shard from the present owner. The delay is 0 if there were at most
// tuning.MaxUndelayedAcquisitions recent acquisitions: a home that crashes, returns and crashes
// again causes that many. The first acquisition beyond that number causes the minimum delay, and
// each further one doubles the delay, up to a limit. Without the delay, a controller that crashed
// every few seconds would acquire its shard at each start, and two controllers would take turns
// probing the shard's workers.
func (s *Shard) returnDelay(now time.Time) time.Duration {
	recentAcquisitions := 0
	for _, acquiredMs := range s.acquisitions {
		// The clocks of controllers differ a little, so an acquisition can lie in the future.
		age := now.Sub(time.UnixMilli(acquiredMs))
		if age < tuning.AcquisitionWindow && age > -tuning.AcquisitionWindow {
			recentAcquisitions++
		}
	}
	if recentAcquisitions <= tuning.MaxUndelayedAcquisitions {
		return 0
	}
	doublings := recentAcquisitions - tuning.MaxUndelayedAcquisitions - 1
	return min(tuning.MinShardReturnDelay<<doublings, tuning.MaxShardReturnDelay)
}
