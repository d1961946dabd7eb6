// Package detector judges which of the other controllers have failed, by what was heard of
// them and what the others say. No rule rests on it: a share is taken by one conditional
// write under a new stamp, whoever is wrong (docs/membership.md).
package detector

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// State is how a controller stands.
type State string

// The states. Suspicion is this controller's own and costs nothing; failed needs that all
// others who are alive agree.
const (
	Unknown   State = "unknown" // never heard
	Alive     State = "alive"
	Suspected State = "suspected"
	Failed    State = "failed"
	Left      State = "left" // it said so
)

// Detector has no locks: one actor owns it. All times are this process's own.
type Detector struct {
	me    string
	peers map[string]*peer
	ticks time.Time // the last look
	// quiet is until when this process accuses nobody: it stood still, or does not hear the
	// state service, and must hear more first.
	quiet time.Time
}

type peer struct {
	heard     time.Time // its last beat; zero: none
	gap, dev  float64   // usual time between two beats and its deviation, seconds
	beats     int
	seen      time.Time // the last sign of its work in the records
	leaving   bool
	proved    bool     // see Proved
	suspects  []string // whom it suspects, as it last said
	suspected time.Time
}

// New makes a detector among all controllers.
func New(me string, names []string) *Detector {
	d := &Detector{me: me, peers: map[string]*peer{}}
	for _, n := range names {
		if n != me {
			d.peers[n] = &peer{}
		}
	}
	return d
}

// Heard notes a beat.
func (d *Detector) Heard(node string, suspects []string, leaving bool, now time.Time) {
	p := d.peers[node]
	if p == nil {
		return
	}
	if !p.heard.IsZero() {
		if gap := now.Sub(p.heard).Seconds(); gap < tuning.PeerIdle.Seconds() { // longer ones were failures
			w := max(1/float64(p.beats+1), tuning.GapMean)
			p.dev += w * (math.Abs(gap-p.gap) - p.dev)
			p.gap += w * (gap - p.gap)
			p.beats++
		} else {
			p.beats = 0 // it has begun anew: its rhythm is to be learned again
		}
	}
	p.heard, p.suspects, p.leaving, p.suspected, p.proved = now, suspects, leaving, time.Time{}, false
}

// Seen notes that records tell of a controller's work at this moment: it does not speak to
// this one, perhaps, but it lives.
func (d *Detector) Seen(node string, now time.Time) {
	if p := d.peers[node]; p != nil {
		p.seen = now
	}
}

// Proved notes that a controller has taken a share: it lives, though the others may not hear
// it, and is suspected no more until it was heard again. Without this a share went to and fro
// between one that was cut off from the others only and its heir.
func (d *Detector) Proved(node string) {
	if p := d.peers[node]; p != nil {
		p.proved = true
	}
}

// Look is called all the time; well tells whether this process knows the present records.
// It returns whether somebody is suspected who was not before: the others should hear of it.
func (d *Detector) Look(now time.Time, well bool) (news bool) {
	// One that stood still has heard nobody, and proves nothing by it.
	if !well || !d.ticks.IsZero() && now.Sub(d.ticks) > tuning.HeldFor {
		d.quiet = now.Add(tuning.ListenFirst)
	}
	d.ticks = now
	if now.Before(d.quiet) {
		for _, p := range d.peers {
			p.suspected = time.Time{}
		}
		return false
	}
	for _, p := range d.peers {
		late := p.beats >= tuning.BeatsLearned && !p.leaving && !p.proved && now.Sub(p.heard) > p.patience() && now.Sub(p.seen) > tuning.SeenLately
		switch {
		case !late:
			p.suspected = time.Time{}
		case p.suspected.IsZero():
			p.suspected, news = now, true
		}
	}
	return news
}

// patience is how long a beat may be away: by the link's own history, within bounds.
func (p *peer) patience() time.Duration {
	s := p.gap + tuning.GapDeviations*p.dev
	return min(max(time.Duration(s*float64(time.Second)), tuning.SuspectLeast), tuning.GrantTTL)
}

// Suspects are whom this controller suspects.
func (d *Detector) Suspects() []string {
	var out []string
	for n, p := range d.peers {
		if !p.suspected.IsZero() {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// Failed is the verdict: this controller suspects one, so does every other who is heard, and
// there is at least one such.
func (d *Detector) Failed(node string, now time.Time) bool {
	p := d.peers[node]
	if p == nil || p.suspected.IsZero() {
		return false
	}
	agree := 0
	for n, o := range d.peers {
		switch {
		case n == node || now.Sub(o.heard) > tuning.SuspectLeast:
		case !slices.Contains(o.suspects, node):
			return false
		default:
			agree++
		}
	}
	return agree > 0
}

// State is how a controller stands, for people.
func (d *Detector) State(node string, now time.Time) State {
	switch p := d.peers[node]; {
	case p == nil || p.heard.IsZero():
		return Unknown
	case p.leaving:
		return Left
	case d.Failed(node, now):
		return Failed
	case !p.suspected.IsZero():
		return Suspected
	}
	return Alive
}
