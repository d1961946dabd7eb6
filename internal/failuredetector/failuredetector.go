// Package detector judges which of the other controllers have failed, by what was heard of
// them and what the others say. No rule rests on it: a share is taken by one conditional
// write under a new stamp, whoever is wrong (docs/membership.md).
package failuredetector

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
	self        string
	peers       map[string]*peerState
	lastCheckAt time.Time // the last look
	// suppressedUntil is until when this process accuses nobody: it stood still, or does not hear the
	// state service, and must hear more first.
	suppressedUntil time.Time
}

type peerState struct {
	lastHeartbeatAt                     time.Time // its last beat; zero: none
	meanGapSeconds, gapDeviationSeconds float64   // usual time between two beats and its deviation, seconds
	gapSamples                          int
	lastActivityAt                      time.Time // the last sign of its work in the records
	isLeaving                           bool
	isProvenAlive                       bool     // see Proved
	suspects                            []string // whom it suspects, as it last said
	suspectedSince                      time.Time
}

// New makes a detector among all controllers.
func New(me string, names []string) *Detector {
	d := &Detector{self: me, peers: map[string]*peerState{}}
	for _, n := range names {
		if n != me {
			d.peers[n] = &peerState{}
		}
	}
	return d
}

// ObserveHeartbeat notes a beat.
func (d *Detector) ObserveHeartbeat(node string, suspects []string, leaving bool, now time.Time) {
	p := d.peers[node]
	if p == nil {
		return
	}
	if !p.lastHeartbeatAt.IsZero() {
		if gap := now.Sub(p.lastHeartbeatAt).Seconds(); gap < tuning.PeerIdleTimeout.Seconds() { // longer ones were failures
			w := max(1/float64(p.gapSamples+1), tuning.HeartbeatGapWeight)
			p.gapDeviationSeconds += w * (math.Abs(gap-p.meanGapSeconds) - p.gapDeviationSeconds)
			p.meanGapSeconds += w * (gap - p.meanGapSeconds)
			p.gapSamples++
		} else {
			p.gapSamples = 0 // it has begun anew: its rhythm is to be learned again
		}
	}
	p.lastHeartbeatAt, p.suspects, p.isLeaving, p.suspectedSince, p.isProvenAlive = now, suspects, leaving, time.Time{}, false
}

// ObserveActivity notes that records tell of a controller's work at this moment: it does not speak to
// this one, perhaps, but it lives.
func (d *Detector) ObserveActivity(node string, now time.Time) {
	if p := d.peers[node]; p != nil {
		p.lastActivityAt = now
	}
}

// ObserveAcquisition notes that a controller has taken a share: it lives, though the others may not hear
// it, and is suspected no more until it was heard again. Without this a share went to and fro
// between one that was cut off from the others only and its heir.
func (d *Detector) ObserveAcquisition(node string) {
	if p := d.peers[node]; p != nil {
		p.isProvenAlive = true
	}
}

// Check is called all the time; well tells whether this process knows the present records.
// It returns whether somebody is suspected who was not before: the others should hear of it.
func (d *Detector) Check(now time.Time, well bool) (news bool) {
	// One that stood still has heard nobody, and proves nothing by it.
	if !well || !d.lastCheckAt.IsZero() && now.Sub(d.lastCheckAt) > tuning.ProcessStallThreshold {
		d.suppressedUntil = now.Add(tuning.SuspicionSuppressionPeriod)
	}
	d.lastCheckAt = now
	if now.Before(d.suppressedUntil) {
		for _, p := range d.peers {
			p.suspectedSince = time.Time{}
		}
		return false
	}
	for _, p := range d.peers {
		late := p.gapSamples >= tuning.MinHeartbeatGapSamples && !p.isLeaving && !p.isProvenAlive && now.Sub(p.lastHeartbeatAt) > p.heartbeatTimeout() && now.Sub(p.lastActivityAt) > tuning.OwnerActivityValidity
		switch {
		case !late:
			p.suspectedSince = time.Time{}
		case p.suspectedSince.IsZero():
			p.suspectedSince, news = now, true
		}
	}
	return news
}

// heartbeatTimeout is how long a beat may be away: by the link's own history, within bounds.
func (p *peerState) heartbeatTimeout() time.Duration {
	s := p.meanGapSeconds + tuning.HeartbeatGapDeviations*p.gapDeviationSeconds
	return min(max(time.Duration(s*float64(time.Second)), tuning.MinSuspicionTimeout), tuning.ControllerLeaseTTL)
}

// Suspects are whom this controller suspects.
func (d *Detector) Suspects() []string {
	var out []string
	for n, p := range d.peers {
		if !p.suspectedSince.IsZero() {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// HasFailed is the verdict: this controller suspects one, so does every other who is heard, and
// there is at least one such.
func (d *Detector) HasFailed(node string, now time.Time) bool {
	p := d.peers[node]
	if p == nil || p.suspectedSince.IsZero() {
		return false
	}
	agree := 0
	for n, o := range d.peers {
		switch {
		case n == node || now.Sub(o.lastHeartbeatAt) > tuning.MinSuspicionTimeout:
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
	case p == nil || p.lastHeartbeatAt.IsZero():
		return Unknown
	case p.isLeaving:
		return Left
	case d.HasFailed(node, now):
		return Failed
	case !p.suspectedSince.IsZero():
		return Suspected
	}
	return Alive
}
