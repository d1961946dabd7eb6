package membership

import (
	"time"

	"cherrywall/internal/tuning"
)

// Which shares a controller takes when: no rule rests on it, since each taking is a
// conditional write, but every taking costs the share what was known of its machines.

// ShardsToAcquire are the shares that this controller should take at a moment.
//
// Its own it takes at once if nobody who lives holds it. From another that holds it well
// it takes it back at once, too, but not for ever again: a controller that ended every
// few seconds took its share at each start, and its workers were greeted anew by two
// controllers in turn.
//
// Another's share it takes if that one is dead and it is the heir, but not in the first
// moments of its own life: when all start together the first one up took the share of the
// next, which took it back 0.6 s later. From a third one that lives it takes nothing.
func (t *Table) ShardsToAcquire(now time.Time, failed func(node string) bool) []string {
	var out []string
	for _, id := range t.controllers {
		s := t.shards[id]
		if s != nil && s.isLocal || t.SuccessorExcluding(id, failed) != t.self {
			continue
		}
		held := t.OwnerIsLive(s) && !failed(s.owner)
		wait := time.Duration(0)
		switch {
		case id != t.self && held:
			continue
		case id != t.self:
			wait = tuning.StartupGracePeriod
		case held:
			wait = s.returnDelay(now)
		}
		if now.Sub(t.liveSince) >= wait {
			out = append(out, id)
		}
	}
	return out
}

// InStartupGrace tells whether this controller has lived for so short a time that others which
// started with it may still be on their way.
func (t *Table) InStartupGrace(now time.Time) bool {
	return t.liveSince.IsZero() || now.Sub(t.liveSince) < tuning.StartupGracePeriod
}

// returnDelay is how long its home leaves a share with the one that holds it after coming back:
// nothing as long as it has changed hands no more often than by one crash and the return
// from it, then longer with each taking of the last minutes.
func (s *Shard) returnDelay(now time.Time) time.Duration {
	lately := 0
	for _, ms := range s.acquisitions {
		// Times of day differ a little from one controller to the next.
		if age := now.Sub(time.UnixMilli(ms)); age < tuning.AcquisitionWindow && age > -tuning.AcquisitionWindow {
			lately++
		}
	}
	if lately <= tuning.MaxUndelayedAcquisitions {
		return 0
	}
	return min(tuning.MinShardReturnDelay<<(lately-tuning.MaxUndelayedAcquisitions-1), tuning.MaxShardReturnDelay)
}
