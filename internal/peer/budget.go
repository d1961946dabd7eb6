package peer

import "math"

// Meter is a client of the state service whose limits all controllers share.
type Meter interface {
	Usage() (reqs, writes float64)
	RecordPeerUsage(node string, reqs, writes float64)
}

// RateSharing adds to what a brain says what its controller asks of the state service, and
// takes the same from the others: each keeps to what they leave.
type RateSharing struct {
	Controller
	Meter Meter
	Peers map[string]bool // the names of all other controllers
}

// PeerHeartbeat is the brain's, with the use.
func (s RateSharing) PeerHeartbeat() (Heartbeat, bool) {
	heartbeat, ok := s.Controller.PeerHeartbeat()
	heartbeat.RequestsPerSecond, heartbeat.WritesPerSecond = s.Meter.Usage()
	return heartbeat, ok
}

// HandlePeerHeartbeat passes a beat on. What a stranger says of the service, and what is no amount,
// is not believed: a limit that is not a number would let no request pass any more.
func (s RateSharing) HandlePeerHeartbeat(heartbeat Heartbeat) {
	if s.Peers[heartbeat.Node] && isValidRate(heartbeat.RequestsPerSecond) && isValidRate(heartbeat.WritesPerSecond) {
		s.Meter.RecordPeerUsage(heartbeat.Node, heartbeat.RequestsPerSecond, heartbeat.WritesPerSecond)
	}
	s.Controller.HandlePeerHeartbeat(heartbeat)
}

func isValidRate(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
