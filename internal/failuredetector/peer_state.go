package failuredetector

import (
	"math"
	"time"

	"cherrywall/internal/tuning"
)

// peerState is what the detector knows about one other controller.
type peerState struct {
	lastHeartbeatAt time.Time // zero if none was received
	// meanGapSeconds and gapDeviationSeconds are exponentially weighted means of the time
	// between two heartbeats and of the absolute deviation of that time from its mean, over
	// gapSamples gaps.
	meanGapSeconds, gapDeviationSeconds float64
	gapSamples                          int
	lastActivityAt                      time.Time // when the peer last wrote to the key-value store, as far as known
	isProvenAlive                       bool      // the peer has acquired a shard since its last heartbeat
	isLeaving                           bool
	suspects                            []string  // the controllers that the peer suspected in its last heartbeat
	suspectedSince                      time.Time // zero if not suspected
}

// recordGap updates the statistics of gaps with the time between the last heartbeat and one that
// arrives at now.
func (p *peerState) recordGap(now time.Time) {
	if p.lastHeartbeatAt.IsZero() {
		return
	}
	gap := now.Sub(p.lastHeartbeatAt).Seconds()
	if gap >= tuning.PeerIdleTimeout.Seconds() {
		// The peer had failed and has restarted: the statistics are those of another process.
		p.gapSamples = 0
		return
	}
	weight := max(1/float64(p.gapSamples+1), tuning.HeartbeatGapWeight)
	p.gapDeviationSeconds += weight * (math.Abs(gap-p.meanGapSeconds) - p.gapDeviationSeconds)
	p.meanGapSeconds += weight * (gap - p.meanGapSeconds)
	p.gapSamples++
}

// heartbeatTimeout returns how long after the last heartbeat the next one becomes overdue: the mean
// gap plus a multiple of the deviation, within fixed bounds.
func (p *peerState) heartbeatTimeout() time.Duration {
	seconds := p.meanGapSeconds + tuning.HeartbeatGapDeviations*p.gapDeviationSeconds
	timeout := time.Duration(seconds * float64(time.Second))
	return min(max(timeout, tuning.MinSuspicionTimeout), tuning.ControllerLeaseTTL)
}

func (p *peerState) isSuspected() bool { return !p.suspectedSince.IsZero() }

// isOverdue reports whether the peer has neither sent a heartbeat nor written to the key-value
// store for so long that it should be suspected.
func (p *peerState) isOverdue(now time.Time) bool {
	if p.gapSamples < tuning.MinHeartbeatGapSamples || p.isLeaving || p.isProvenAlive {
		return false
	}
	return now.Sub(p.lastHeartbeatAt) > p.heartbeatTimeout() &&
		now.Sub(p.lastActivityAt) > tuning.OwnerActivityValidity
}
