package membership

import (
	"time"

	"cherrywall/internal/tuning"
)

// Which shares a controller takes when: no rule rests on it, since each taking is a
// conditional write, but every taking costs the share what was known of its machines.

// ToTake are the shares that this controller should take at a moment.
//
// Its own it takes at once if nobody who lives holds it. From another that holds it well
// it takes it back at once, too, but not for ever again: a controller that ended every
// few seconds took its share at each start, and its workers were greeted anew by two
// controllers in turn.
//
// Another's share it takes if that one is dead and it is the heir, but not in the first
// moments of its own life: when all start together the first one up took the share of the
// next, which took it back 0.6 s later. From a third one that lives it takes nothing.
func (t *Table) ToTake(now time.Time, failed func(node string) bool) []string {
	var out []string
	for _, id := range t.names {
		s := t.shares[id]
		if s != nil && s.mine || t.HeirBut(id, failed) != t.me {
			continue
		}
		held := t.HolderLives(s) && !failed(s.holder)
		wait := time.Duration(0)
		switch {
		case id != t.me && held:
			continue
		case id != t.me:
			wait = tuning.ColdWait
		case held:
			wait = s.pause(now)
		}
		if now.Sub(t.born) >= wait {
			out = append(out, id)
		}
	}
	return out
}

// Cold tells whether this controller has lived for so short a time that others which
// started with it may still be on their way.
func (t *Table) Cold(now time.Time) bool {
	return t.born.IsZero() || now.Sub(t.born) < tuning.ColdWait
}

// pause is how long its home leaves a share with the one that holds it after coming back:
// nothing as long as it has changed hands no more often than by one crash and the return
// from it, then longer with each taking of the last minutes.
func (s *Share) pause(now time.Time) time.Duration {
	lately := 0
	for _, ms := range s.takings {
		// Times of day differ a little from one controller to the next.
		if age := now.Sub(time.UnixMilli(ms)); age < tuning.TakingMemory && age > -tuning.TakingMemory {
			lately++
		}
	}
	if lately <= tuning.TakingsFree {
		return 0
	}
	return min(tuning.ReturnPause<<(lately-tuning.TakingsFree-1), tuning.ReturnPauseMost)
}
