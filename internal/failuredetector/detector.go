// Package failuredetector decides which of the other controllers have failed, from their
// heartbeats, from their writes to the key-value store and from the suspicions that they report.
//
// The only effect of such a decision is that a failover starts before the failed controller's lease
// expires. Safety does not depend on the decision: a shard is acquired by one conditional write under
// a new epoch, even if controllers are wrong about each other's failures (docs/membership.md).
package failuredetector

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// State is the detector's assessment of a controller.
type State string

// The states of a controller. Suspected is the assessment of this controller alone and causes no
// failover. Failed requires that all other controllers that have sent a heartbeat recently share
// the suspicion.
const (
	Unknown   State = "unknown" // no heartbeat was received yet
	Alive     State = "alive"
	Suspected State = "suspected"
	Failed    State = "failed"
	Left      State = "left" // the controller has announced its shutdown
)

// Detector is one controller's view of the others. It is not safe for concurrent use: a single
// actor owns it. All times are of this process's clock.
type Detector struct {
	peers       map[string]*peerState
	lastCheckAt time.Time
	// suppressedUntil is the time until which this controller suspects no other, because it was
	// stalled or out of contact with the key-value store and first has to receive heartbeats
	// again.
	suppressedUntil time.Time
}

// New returns the detector that the controller self uses for all other controllers.
func New(self string, controllers []string) *Detector {
	d := &Detector{peers: map[string]*peerState{}}
	for _, controller := range controllers {
		if controller != self {
			d.peers[controller] = &peerState{}
		}
	}
	return d
}

// ObserveHeartbeat records a heartbeat of a controller. suspects are the controllers that the sender
// suspects, and leaving reports whether the sender is shutting down. Heartbeats of unknown
// controllers are ignored.
func (d *Detector) ObserveHeartbeat(controller string, suspects []string, leaving bool, now time.Time) {
	peer := d.peers[controller]
	if peer == nil {
		return
	}
	peer.recordGap(now)
	peer.lastHeartbeatAt = now
	peer.suspects = suspects
	peer.isLeaving = leaving
	peer.suspectedSince = time.Time{}
	peer.isProvenAlive = false
}

// ObserveActivity records that the controller has written to the key-value store: it is alive,
// even if its heartbeats do not arrive here.
func (d *Detector) ObserveActivity(controller string, now time.Time) {
	if peer := d.peers[controller]; peer != nil {
		peer.lastActivityAt = now
	}
}

// ObserveAcquisition records that the controller has acquired a shard: it is alive, and is not
// suspected until its next heartbeat has arrived. Without this rule, a shard would move back and
// forth between its successor and a home that is cut off from the other controllers but not from the
// key-value store.
func (d *Detector) ObserveAcquisition(controller string) {
	if peer := d.peers[controller]; peer != nil {
		peer.isProvenAlive = true
	}
}

// Check updates the suspicions and reports whether there is a new one. The other controllers should
// be notified of a new suspicion immediately, since a failure needs their agreement. Check has to be
// called several times a second. upToDate reports whether this controller's cache of the key-value
// store is up to date.
func (d *Detector) Check(now time.Time, upToDate bool) (newSuspicion bool) {
	// A process that was stalled has missed heartbeats that were sent, so their absence proves
	// nothing.
	isStalled := !d.lastCheckAt.IsZero() && now.Sub(d.lastCheckAt) > tuning.ProcessStallThreshold
	if !upToDate || isStalled {
		d.suppressedUntil = now.Add(tuning.SuspicionSuppressionPeriod)
	}
	d.lastCheckAt = now
	isSuppressed := now.Before(d.suppressedUntil)
	for _, peer := range d.peers {
		switch {
		case isSuppressed || !peer.isOverdue(now):
			peer.suspectedSince = time.Time{}
		case !peer.isSuspected():
			peer.suspectedSince = now
			newSuspicion = true
		}
	}
	return newSuspicion
}

// Suspects returns the names of the controllers that this one suspects, in ascending order.
func (d *Detector) Suspects() []string {
	var suspects []string
	for controller, peer := range d.peers {
		if peer.isSuspected() {
			suspects = append(suspects, controller)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// HasFailed reports whether a controller is considered failed. That is the case if this controller
// suspects it, a further controller has sent a heartbeat recently, and every further controller
// with a recent heartbeat suspects it too.
func (d *Detector) HasFailed(controller string, now time.Time) bool {
	suspect := d.peers[controller]
	if suspect == nil || !suspect.isSuspected() {
		return false
	}
	agreeingWitnesses := 0 // a witness is another controller whose present suspicions are known
	for other, peer := range d.peers {
		isWitness := other != controller && now.Sub(peer.lastHeartbeatAt) <= tuning.MinSuspicionTimeout
		if !isWitness {
			continue
		}
		if !slices.Contains(peer.suspects, controller) {
			return false
		}
		agreeingWitnesses++
	}
	return agreeingWitnesses > 0
}

// State returns a controller's state, for display.
func (d *Detector) State(controller string, now time.Time) State {
	peer := d.peers[controller]
	switch {
	case peer == nil || peer.lastHeartbeatAt.IsZero():
		return Unknown
	case peer.isLeaving:
		return Left
	case d.HasFailed(controller, now):
		return Failed
	case peer.isSuspected():
		return Suspected
	}
	return Alive
}
