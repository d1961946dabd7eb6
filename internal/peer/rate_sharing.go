package peer

import "math"

// UsageMeter measures how much this controller uses the key-value store, and records how much its
// peers use it. All controllers share the request limits of the store.
type UsageMeter interface {
	// Usage returns the present rates of this controller's requests and writes, per second.
	Usage() (requests, writes float64)
	// RecordPeerUsage records the rates of another controller's requests and writes, per second.
	RecordPeerUsage(controller string, requests, writes float64)
}

// RateSharing is a Controller whose heartbeats also exchange the rates of requests to the key-value
// store, so that each controller keeps to the part of the limits that the others leave unused.
type RateSharing struct {
	Controller
	Meter UsageMeter
	Peers map[string]bool // the names of all other controllers
}

// PeerHeartbeat returns the Controller's heartbeat with this controller's usage added.
func (r RateSharing) PeerHeartbeat() (heartbeat Heartbeat, ok bool) {
	heartbeat, ok = r.Controller.PeerHeartbeat()
	heartbeat.RequestsPerSecond, heartbeat.WritesPerSecond = r.Meter.Usage()
	return heartbeat, ok
}

// HandlePeerHeartbeat records the sender's usage and passes the heartbeat on to the Controller. The
// usage of unknown senders and invalid rates are ignored: a rate of NaN would make this
// controller's limit NaN, and no further request would pass.
func (r RateSharing) HandlePeerHeartbeat(heartbeat Heartbeat) {
	isValid := isValidRate(heartbeat.RequestsPerSecond) && isValidRate(heartbeat.WritesPerSecond)
	if r.Peers[heartbeat.Node] && isValid {
		r.Meter.RecordPeerUsage(heartbeat.Node, heartbeat.RequestsPerSecond, heartbeat.WritesPerSecond)
	}
	r.Controller.HandlePeerHeartbeat(heartbeat)
}

// isValidRate reports whether a rate is a number, not negative and finite.
func isValidRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }
