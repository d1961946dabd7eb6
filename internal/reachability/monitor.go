// Package reachability decides whether this controller can reach workers at all.
//
// A controller that reaches the key-value store but no worker would keep its shards until the
// leases of all their machines have expired, and lose every task on them. It gives its shards up
// to other controllers instead, and takes them back once it reaches workers again.
package reachability

import (
	"time"

	"cherrywall/internal/tuning"
)

// maxBackoffDoublings bounds how often the backoff after repeated losses is doubled.
const maxBackoffDoublings = 4

// Monitor tracks the controller's contact with workers, by their heartbeats and by probes: when
// heartbeats are missing, the owner of the Monitor sends a request to a sample of workers. It is
// not safe for concurrent use: a single actor owns it. Its zero value is ready to use.
type Monitor struct {
	lastContactAt time.Time // of a heartbeat, or of a probe with a response
	lastTickAt    time.Time

	isProbing   bool
	lastProbeAt time.Time

	isUnreachable    bool
	changedAt        time.Time // when isUnreachable last changed
	recentLosses     int       // how often workers have become unreachable lately
	successfulProbes int       // in succession, while unreachable
}

// ObserveHeartbeat records that a worker's heartbeat has arrived.
func (m *Monitor) ObserveHeartbeat(now time.Time) { m.lastContactAt = now }

// Tick has to be called several times a second. A gap between calls shows that this process was
// stalled, so that the missing heartbeats do not count against the workers.
func (m *Monitor) Tick(now time.Time) {
	if now.Sub(m.lastTickAt) > tuning.ProcessStallThreshold {
		m.lastContactAt = now
	}
	m.lastTickAt = now
}

// ShouldProbe reports whether a sample of workers should be probed now. workers is the number of
// those that should send a heartbeat every interval.
func (m *Monitor) ShouldProbe(now time.Time, workers int, interval time.Duration) bool {
	switch {
	case m.isProbing || now.Sub(m.lastProbeAt) < tuning.ReachabilityProbeInterval:
		return false
	case m.isUnreachable:
		return true
	case workers == 0:
		// No heartbeat is due, so its absence must not count once there are workers.
		m.lastContactAt = now
		return false
	}
	// Heartbeats of workers that are spread evenly arrive interval/workers apart. Three missing
	// ones in succession, and a second for delays, still prove nothing.
	explainedSilence := 3*interval/time.Duration(workers) + time.Second
	return m.SinceLastContact(now) > max(tuning.MinInboundSilence, explainedSilence)
}

// ProbeStarted records that a probe is under way.
func (m *Monitor) ProbeStarted() { m.isProbing = true }

// Transition is the consequence of a probe.
type Transition int

// The transitions.
const (
	NoTransition Transition = iota
	Unreachable             // no worker can be reached: give the shards up
	Restored                // workers can be reached again: take the shards back
)

// String returns the transition's name.
func (t Transition) String() string {
	switch t {
	case Unreachable:
		return "unreachable"
	case Restored:
		return "restored"
	}
	return "none"
}

// ProbeFinished records the result of a probe that was started at startedAt: whether any worker
// has responded. hasLivePeer says whether another controller could take the shards over; without
// one there is nothing to gain by giving them up.
func (m *Monitor) ProbeFinished(anyResponse bool, startedAt, now time.Time, hasLivePeer bool) Transition {
	m.isProbing = false
	m.lastProbeAt = now
	if now.Sub(startedAt) > tuning.ProcessStallThreshold+tuning.FirstContactTimeout {
		// The process was stalled meanwhile and may have missed responses, so the result proves
		// nothing.
		return NoTransition
	}
	if m.isUnreachable {
		return m.probedWhileUnreachable(anyResponse, now)
	}
	if anyResponse {
		m.lastContactAt = now
		return NoTransition
	}
	if startedAt.After(m.lastContactAt) && hasLivePeer {
		m.becomeUnreachable(now)
		return Unreachable
	}
	return NoTransition
}

// becomeUnreachable begins a loss of contact, and counts it for the backoff of the next restoration.
func (m *Monitor) becomeUnreachable(now time.Time) {
	if now.Sub(m.changedAt) > tuning.InboundLossBackoffReset {
		m.recentLosses = 0
	}
	m.recentLosses++
	m.isUnreachable = true
	m.changedAt = now
	m.successfulProbes = 0
}

// probedWhileUnreachable restores contact after enough successful probes in succession and the
// backoff.
func (m *Monitor) probedWhileUnreachable(anyResponse bool, now time.Time) Transition {
	if !anyResponse {
		m.successfulProbes = 0
		return NoTransition
	}
	m.successfulProbes++
	// The backoff grows with each loss: an unstable link must not make the shards change owners
	// each time.
	backoff := tuning.InboundLossBackoff << min(m.recentLosses-1, maxBackoffDoublings)
	if m.successfulProbes < tuning.ReachabilityProbeSuccesses || now.Sub(m.changedAt) <= backoff {
		return NoTransition
	}
	m.isUnreachable = false
	m.changedAt = now
	m.lastContactAt = now
	return Restored
}

// SinceLastContact returns the time since the last contact with any worker.
func (m *Monitor) SinceLastContact(now time.Time) time.Duration { return now.Sub(m.lastContactAt) }
