// Package reachability decides whether this controller can reach any worker.
//
// A controller that reaches the key-value store but no worker would keep its shards until the leases
// of all their machines have expired, and every task on these machines would be lost. Instead, such a
// controller gives up its shards to other controllers, and takes them back once it reaches workers
// again.
package reachability

import (
	"time"

	"cherrywall/internal/tuning"
)

// maxBackoffDoublings is the maximum number of times that the backoff is doubled after repeated losses
// of contact.
const maxBackoffDoublings = 4

// Monitor tracks the controller's contact with workers by their heartbeats and by probes. A probe sends
// a request to each worker of a sample; the owner of the Monitor starts a probe when heartbeats
// are missing. A Monitor is not safe for concurrent use: a single actor owns it. Its zero value is ready to
// use.
type Monitor struct {
	// lastContactAt is the time of the last heartbeat or successful probe. Tick and ShouldProbe set it to a
	// later time if the lack of heartbeats since then does not show that workers are unreachable.
	lastContactAt time.Time
	lastTickAt    time.Time

	isProbing   bool
	lastProbeAt time.Time

	isUnreachable        bool
	changedAt            time.Time // when isUnreachable last changed
	recentLossCount      int       // number of losses of contact that count for the backoff
	successfulProbeCount int       // number of successful probes in succession while isUnreachable is set
}

// ObserveHeartbeat records that a worker's heartbeat has arrived.
func (m *Monitor) ObserveHeartbeat(now time.Time) { m.lastContactAt = now }

// Tick detects stalls of this process, and must be called several times a second. If more than
// tuning.ProcessStallThreshold has passed since the previous call, Tick sets the time of the last
// contact to now, because heartbeats that were missed during the stall do not show that workers are
// unreachable.
func (m *Monitor) Tick(now time.Time) {
	if now.Sub(m.lastTickAt) > tuning.ProcessStallThreshold {
		m.lastContactAt = now
	}
	m.lastTickAt = now
}

// ShouldProbe reports whether a sample of workers should be probed now. workerCount is the number
// of workers that should send a heartbeat every interval.
func (m *Monitor) ShouldProbe(now time.Time, workerCount int, interval time.Duration) bool {
	switch {
	case m.isProbing || now.Sub(m.lastProbeAt) < tuning.ReachabilityProbeInterval:
		return false
	case m.isUnreachable:
		return true
	case workerCount == 0:
		// No heartbeat is expected. The time without workers must not count as missing contact
		// once there are workers.
		m.lastContactAt = now
		return false
	}
	// If the heartbeats are spread evenly, one arrives every interval/workers. A gap of three
	// times that period, plus one second for delays, is normal.
	normalGap := 3*interval/time.Duration(workerCount) + time.Second
	return m.TimeSinceLastContact(now) > max(tuning.MinInboundSilence, normalGap)
}

// RecordProbeStart records that a probe has started.
func (m *Monitor) RecordProbeStart() { m.isProbing = true }

// Transition is the change of reachability that follows from the result of a probe.
type Transition int

// The transitions.
const (
	NoTransition Transition = iota
	Unreachable             // no worker can be reached: the shards must be given up
	Restored                // workers can be reached again: the shards may be taken back
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

// RecordProbeResult records the result of a probe that was started at startedAt: whether any worker has
// responded. It returns the transition that follows from the result. hasLivePeer says whether another
// controller could take over the shards. Without such a controller there is no point in giving them
// up, so the transition is never Unreachable.
func (m *Monitor) RecordProbeResult(hasResponse bool, startedAt, now time.Time, hasLivePeer bool) Transition {
	m.isProbing = false
	m.lastProbeAt = now
	if now.Sub(startedAt) > tuning.ProcessStallThreshold+tuning.FirstContactTimeout {
		// The process was stalled during the probe and may have missed responses, so the result
		// is not reliable.
		return NoTransition
	}
	if m.isUnreachable {
		return m.recordResultWhileUnreachable(hasResponse, now)
	}
	if hasResponse {
		m.lastContactAt = now
		return NoTransition
	}
	if startedAt.After(m.lastContactAt) && hasLivePeer {
		m.markUnreachable(now)
		return Unreachable
	}
	return NoTransition
}

// markUnreachable records the start of a loss of contact, and counts the loss for the backoff before
// the next restoration. Earlier losses no longer count if more than tuning.InboundLossBackoffReset has
// passed since the last loss or restoration.
func (m *Monitor) markUnreachable(now time.Time) {
	if now.Sub(m.changedAt) > tuning.InboundLossBackoffReset {
		m.recentLossCount = 0
	}
	m.recentLossCount++
	m.isUnreachable = true
	m.changedAt = now
	m.successfulProbeCount = 0
}

// recordResultWhileUnreachable records a probe's result while workers are unreachable. It returns
// Restored once enough probes in succession have succeeded and the backoff has passed.
func (m *Monitor) recordResultWhileUnreachable(hasResponse bool, now time.Time) Transition {
	if !hasResponse {
		m.successfulProbeCount = 0
		return NoTransition
	}
	m.successfulProbeCount++
	// The backoff grows with each loss, so that an unstable link does not make the shards change
	// owners each time it recovers.
	backoff := tuning.InboundLossBackoff << min(m.recentLossCount-1, maxBackoffDoublings)
	if m.successfulProbeCount < tuning.ReachabilityProbeSuccesses || now.Sub(m.changedAt) <= backoff {
		return NoTransition
	}
	m.isUnreachable = false
	m.changedAt = now
	m.lastContactAt = now
	return Restored
}

// TimeSinceLastContact returns the time since the last contact with any worker.
func (m *Monitor) TimeSinceLastContact(now time.Time) time.Duration { return now.Sub(m.lastContactAt) }
