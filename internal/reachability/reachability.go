// Package hearing judges whether a controller can reach workers. One that reaches
// the state service but no worker kept its share until all leases had run out:
// every task on a third of the machines was lost. It leaves the others its shares,
// and comes back once it reaches workers again.
package reachability

import (
	"time"

	"cherrywall/internal/tuning"
)

// Monitor is what a controller knows of its own way to the workers. It has no locks:
// one actor owns it and passes what it sees.
type Monitor struct {
	lastContactAt    time.Time // a report, or a question that was answered
	isUnreachable    bool
	changedAt        time.Time // deaf or not since then
	recentLosses     int       // how often it has gone deaf lately
	isProbing        bool
	lastProbeAt      time.Time
	successfulProbes int // questions answered in a row while deaf
	lastTickAt       time.Time
}

// ObserveHeartbeat notes a report.
func (m *Monitor) ObserveHeartbeat(now time.Time) { m.lastContactAt = now }

// Tick is called all the time: a gap shows that this process was held, and that the
// silence says nothing of the workers.
func (m *Monitor) Tick(now time.Time) {
	if now.Sub(m.lastTickAt) > tuning.ProcessStallThreshold {
		m.lastContactAt = now
	}
	m.lastTickAt = now
}

// ShouldProbe tells whether a few workers should be asked for their report now: n of them
// should report every interval.
func (m *Monitor) ShouldProbe(now time.Time, n int, interval time.Duration) bool {
	switch {
	case m.isProbing || now.Sub(m.lastProbeAt) < tuning.ReachabilityProbeInterval:
		return false
	case m.isUnreachable:
		return true
	case n == 0:
		m.lastContactAt = now
		return false
	}
	quiet := max(tuning.MinInboundSilence, 3*interval/time.Duration(n)+time.Second)
	return now.Sub(m.lastContactAt) > quiet
}

// ProbeStarted notes that they are being asked.
func (m *Monitor) ProbeStarted() { m.isProbing = true }

// Transition is what follows from an answer.
type Transition int

// The changes.
const (
	NoTransition Transition = iota
	Unreachable             // leave the shares to the others
	Restored                // workers can be reached again
)

// ProbeFinished takes the outcome of a question that was asked at a moment: whether any
// worker answered. mayLeave tells whether another controller could take the shares.
func (m *Monitor) ProbeFinished(any bool, asked, now time.Time, mayLeave bool) Transition {
	m.isProbing, m.lastProbeAt = false, now
	if now.Sub(asked) > tuning.ProcessStallThreshold+tuning.FirstContactTimeout {
		return NoTransition // held meanwhile
	}
	switch {
	case !m.isUnreachable && any:
		m.lastContactAt = now
	case !m.isUnreachable && asked.After(m.lastContactAt) && mayLeave:
		if now.Sub(m.changedAt) > tuning.InboundLossBackoffReset {
			m.recentLosses = 0
		}
		m.isUnreachable, m.changedAt, m.successfulProbes = true, now, 0
		m.recentLosses++
		return Unreachable
	case m.isUnreachable && !any:
		m.successfulProbes = 0
	case m.isUnreachable:
		m.successfulProbes++
		// Longer each time: a line that comes and goes must not drag shares along.
		if m.successfulProbes >= tuning.ReachabilityProbeSuccesses && now.Sub(m.changedAt) > tuning.InboundLossBackoff<<min(m.recentLosses-1, 4) {
			m.isUnreachable, m.changedAt, m.lastContactAt = false, now, now
			return Restored
		}
	}
	return NoTransition
}

// SinceLastContact is how long nothing was heard.
func (m *Monitor) SinceLastContact(now time.Time) time.Duration { return now.Sub(m.lastContactAt) }
