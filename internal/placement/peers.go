package placement

import (
	"sort"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// heardPeer is what another controller said last.
type heardPeer struct {
	beat peer.Beat
	at   time.Time
}

// Beat is what this controller tells the others.
func (a *Actor) Beat() (peer.Beat, bool) {
	out := make(chan peer.Beat, 1)
	a.tell(call(func(a *Actor) { out <- a.beat() }))
	select {
	case b := <-out:
		return b, true
	case <-a.ctx.Done():
		return peer.Beat{}, false
	}
}

func (a *Actor) beat() peer.Beat {
	now := time.Now()
	if now.Sub(a.beatAt) < tuning.BeatEvery/2 {
		return a.lastBeat // the same for both others
	}
	b := peer.Beat{Node: a.cfg.Node, Boot: a.boot, Silent: now.Sub(a.contact), Synced: a.synced}
	for _, s := range a.shares {
		b.Shares = append(b.Shares, peer.Share{ID: s.id, Holder: s.Holder, Stamp: s.stamp})
	}
	shapes := map[capacity.Vec]*jobs.Record{}
	for _, g := range a.growths(now) {
		shapes[g.need] = g.rec
	}
	for _, j := range a.jobs {
		if !j.dead && j.rec.Kind == jobs.Gang && len(j.rec.Free) > 0 && len(shapes) < tuning.MaxBeatShapes {
			shapes[j.need] = &j.rec
		}
	}
	for need, rec := range shapes {
		per := map[string]*peer.Count{}
		for _, m := range a.held() {
			if !a.usable(m) {
				continue
			}
			c := per[m.rec.Zone]
			if c == nil {
				c = &peer.Count{CPU: need.CPU, GPU: need.GPU, Mem: need.Mem, Zone: m.rec.Zone}
				per[m.rec.Zone] = c
			}
			if allowed(rec, a.group(m)) {
				free := capacity.Fit(a.room(m), need)
				c.Free += free
				c.Lent += a.lendable(m, growth{rec: rec, need: need}) - free
			}
		}
		for _, c := range per {
			b.Counts = append(b.Counts, *c)
		}
	}
	a.lastBeat, a.beatAt = b, now
	return b
}

// PeerSays takes another controller's beat.
func (a *Actor) PeerSays(b peer.Beat) {
	a.tell(call(func(a *Actor) {
		known := false
		for _, m := range a.members {
			known = known || m.Node == b.Node && m.Node != a.cfg.Node
		}
		if known {
			a.peers[b.Node] = heardPeer{b, time.Now()}
		}
	}))
}

// outage tells whether the state service is down for everybody as far as can
// be heard: then being away from it is no reason to send users elsewhere.
func (a *Actor) outage(now time.Time) bool {
	for _, p := range a.peers {
		if now.Sub(p.at) < tuning.PeerIdle && p.beat.Synced && p.beat.Silent+now.Sub(p.at) < tuning.HealthGrace {
			return false
		}
	}
	return true
}

// alone tells whether the state service answers another controller and has not
// answered this one for a while: its users are sent on at once.
func (a *Actor) alone(now time.Time) bool {
	silent := now.Sub(a.contact)
	if silent < tuning.AloneAfter {
		return false
	}
	for _, p := range a.peers {
		if now.Sub(p.at) < 3*tuning.BeatEvery && p.beat.Synced && p.beat.Silent+now.Sub(p.at) < silent-tuning.AloneAfter/2 &&
			p.beat.Silent < tuning.AloneAfter/2 {
			return true
		}
	}
	return false
}

// superseded tells whether a peer knows a newer holder of a share than this
// controller does: then its workers are no longer answered, and find the new
// holder sooner than by waiting for the time bound.
func (a *Actor) superseded(s *shareEntry) (holder string, yes bool) {
	for _, p := range a.peers {
		for _, o := range p.beat.Shares {
			if o.ID == s.id && o.Stamp > s.stamp && o.Holder != a.cfg.Node {
				return o.Holder, true
			}
		}
	}
	return "", false
}

// rank is how many others have a better place for a gang than this controller
// has: the tightest room that holds it without preemption comes first, so that
// small gangs leave the large rooms whole.
func (a *Actor) rank(j *job) int {
	now := time.Now()
	type place struct {
		node string
		cost int
	}
	best := func(counts []peer.Count) int {
		cost := tuning.NoPlace
		total, lent := 0, 0
		for _, c := range counts {
			if c.CPU != j.need.CPU || c.GPU != j.need.GPU || c.Mem != j.need.Mem {
				continue
			}
			if j.rec.Zone != nil && *j.rec.Zone != c.Zone {
				continue
			}
			total, lent = total+c.Free, lent+c.Lent
			if c.Free >= j.rec.Tasks {
				cost = min(cost, c.Free)
			} else if c.Free+c.Lent >= j.rec.Tasks {
				cost = min(cost, tuning.AfterPreemption+j.rec.Tasks-c.Free)
			}
		}
		if !j.rec.OneZone && total+lent >= j.rec.Tasks {
			cost = min(cost, tuning.AfterPreemption+max(0, j.rec.Tasks-total))
		}
		return cost
	}
	places := []place{{a.cfg.Node, best(a.beat().Counts)}}
	for n, p := range a.peers {
		if now.Sub(p.at) < 3*tuning.BeatEvery && p.beat.Synced {
			places = append(places, place{n, best(p.beat.Counts)})
		}
	}
	sort.Slice(places, func(i, k int) bool {
		if places[i].cost != places[k].cost {
			return places[i].cost < places[k].cost
		}
		return places[i].node < places[k].node
	})
	for i, p := range places {
		if p.node == a.cfg.Node {
			return i
		}
	}
	return 0
}
