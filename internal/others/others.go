// Package others is what a controller has heard from the other controllers. No rule
// rests on it: it tells an outage from a cut, makes an old holder yield early, and
// lets the best placed controller take a gang first.
package others

import (
	"slices"
	"sort"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Heard holds the latest beat of each. It has no locks: one actor owns it.
type Heard struct {
	me    string
	beats map[string]heard // by node; the keys are all that may speak
}

type heard struct {
	beat peer.Beat
	at   time.Time // zero: nothing heard
}

// New makes it for a node and the others.
func New(me string, nodes []string) *Heard {
	h := &Heard{me: me, beats: map[string]heard{}}
	for _, n := range nodes {
		if n != me {
			h.beats[n] = heard{}
		}
	}
	return h
}

// Says takes a beat; one of a node that is not known is ignored, and known is false.
func (h *Heard) Says(b peer.Beat, now time.Time) (known bool) {
	if _, known = h.beats[b.Node]; known {
		b.Piece = nil // for others to keep
		h.beats[b.Node] = heard{b, now}
	}
	return known
}

// Last is a controller's latest beat and how old it is; ok is false if there was none.
func (h *Heard) Last(node string, now time.Time) (b peer.Beat, age time.Duration, ok bool) {
	p := h.beats[node]
	return p.beat, now.Sub(p.at), !p.at.IsZero()
}

// Counts are the rooms that the others told of lately.
func (h *Heard) Counts(now time.Time) []peer.Count {
	var out []peer.Count
	for _, p := range h.beats {
		if now.Sub(p.at) < tuning.PeerIdle && p.beat.Synced {
			out = append(out, p.beat.Counts...)
		}
	}
	return out
}

// Blamed tells whether another found a job at fault: each judges the tasks of its own
// machines.
func (h *Heard) Blamed(ref string, now time.Time) bool {
	for _, p := range h.beats {
		if now.Sub(p.at) < tuning.PeerIdle && slices.Contains(p.beat.Blamed, ref) {
			return true
		}
	}
	return false
}

// Leaving tells whether a controller said lately that it is about to end.
func (h *Heard) Leaving(node string, now time.Time) bool {
	p := h.beats[node]
	return p.beat.Leaving && now.Sub(p.at) < tuning.PeerIdle
}

// Outage tells whether the state service is down for everybody as far as can
// be heard: then being away from it is no reason to send users elsewhere.
func (h *Heard) Outage(now time.Time) bool {
	for _, p := range h.beats {
		if now.Sub(p.at) < tuning.PeerIdle && p.beat.Synced && p.beat.Silent+now.Sub(p.at) < tuning.HealthGrace {
			return false
		}
	}
	return true
}

// NobodyReaches tells whether every other controller was heard a moment ago and says that the state
// service has not answered it for at least so long: then nobody has confirmed a cancellation
// meanwhile, and what was confirmed before has been told.
func (h *Heard) NobodyReaches(now time.Time, silent time.Duration) bool {
	for _, p := range h.beats {
		if p.at.IsZero() || now.Sub(p.at) > 3*tuning.BeatEvery || p.beat.Silent < silent {
			return false
		}
	}
	return true
}

// Reached tells whether a controller knows all changes up to a revision, by its latest beat.
func (h *Heard) Reached(node string, stamp uint64) bool { return h.beats[node].beat.Reached >= stamp }

// Told tells whether a controller has told its workers, as far as they can be reached, that a job is
// cancelled, by its latest beat.
func (h *Heard) Told(node, ref string) bool {
	return slices.ContainsFunc(h.beats[node].beat.Cancelled, func(c peer.Cancelled) bool { return c.Ref == ref && c.Told })
}

// Hears tells whether any other controller was heard lately.
func (h *Heard) Hears(now time.Time) bool {
	for _, p := range h.beats {
		if now.Sub(p.at) < tuning.PeerIdle {
			return true
		}
	}
	return false
}

// Alone tells whether the state service answers another controller and has not
// answered this one for so long: its users are sent on at once.
func (h *Heard) Alone(now time.Time, silent time.Duration) bool {
	if silent < tuning.AloneAfter {
		return false
	}
	for _, p := range h.beats {
		if now.Sub(p.at) < 3*tuning.BeatEvery && p.beat.Synced && p.beat.Silent+now.Sub(p.at) < silent-tuning.AloneAfter/2 &&
			p.beat.Silent < tuning.AloneAfter/2 {
			return true
		}
	}
	return false
}

// Superseded tells whether another controller knows a newer holder of a share than
// the one of the given stamp: then its workers are no longer answered, and find
// the new holder sooner than by waiting for the time bound.
func (h *Heard) Superseded(share string, stamp uint64) (holder string, yes bool) {
	for _, p := range h.beats {
		for _, o := range p.beat.Shares {
			if o.ID == share && o.Stamp > stamp && o.Holder != h.me {
				return o.Holder, true
			}
		}
	}
	return "", false
}

// Rank is how many others have a better place for a gang than this controller
// has: the tightest room that holds it without preemption comes first, so that
// small gangs leave the large rooms whole.
func (h *Heard) Rank(rec *jobs.Record, need capacity.Vec, mine []peer.Count, now time.Time) int {
	type place struct {
		node string
		cost int
	}
	places := []place{{h.me, cost(rec, need, mine)}}
	for n, p := range h.beats {
		if now.Sub(p.at) < 3*tuning.BeatEvery && p.beat.Synced {
			places = append(places, place{n, cost(rec, need, p.beat.Counts)})
		}
	}
	sort.Slice(places, func(i, k int) bool {
		if places[i].cost != places[k].cost {
			return places[i].cost < places[k].cost
		}
		return places[i].node < places[k].node
	})
	for i, p := range places {
		if p.node == h.me {
			return i
		}
	}
	return 0
}

// cost is how dear the best room for a gang is among a controller's counts.
func cost(rec *jobs.Record, need capacity.Vec, counts []peer.Count) int {
	least := tuning.NoPlace
	total, lent := 0, 0
	for _, c := range counts {
		if c.CPU != need.CPU || c.GPU != need.GPU || c.Mem != need.Mem || rec.Zone != nil && *rec.Zone != c.Zone {
			continue
		}
		total, lent = total+c.Free, lent+c.Lent
		if c.Free >= rec.Tasks {
			least = min(least, c.Free)
		} else if c.Free+c.Lent >= rec.Tasks {
			least = min(least, tuning.AfterPreemption+rec.Tasks-c.Free)
		}
	}
	if !rec.OneZone && total+lent >= rec.Tasks {
		least = min(least, tuning.AfterPreemption+max(0, rec.Tasks-total))
	}
	return least
}
