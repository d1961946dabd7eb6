package peer

import (
	"math"
	"slices"
	"testing"
)

type recorder struct{ heartbeats, usages []string }

func (n *recorder) PeerHeartbeat() (Heartbeat, bool) { return Heartbeat{Node: "n0"}, true }
func (n *recorder) HandlePeerHeartbeat(heartbeat Heartbeat) {
	n.heartbeats = append(n.heartbeats, heartbeat.Node)
}
func (n *recorder) Usage() (reqs, writes float64)             { return 12, 3 }
func (n *recorder) RecordPeerUsage(node string, _, _ float64) { n.usages = append(n.usages, node) }

// A rate that is not a number would have let no request to the state service pass.
func TestOnlyAmountsOfKnownControllersAreBelieved(t *testing.T) {
	n := &recorder{}
	s := RateSharing{Controller: n, Meter: n, Peers: map[string]bool{"n1": true, "n2": true}}
	for _, heartbeat := range []Heartbeat{{Node: "n1", RequestsPerSecond: 5}, {Node: "stranger", RequestsPerSecond: 5}, {Node: "n2", WritesPerSecond: math.NaN()},
		{Node: "n2", RequestsPerSecond: math.Inf(1)}, {Node: "n2", WritesPerSecond: -1}, {Node: "n2"}} {
		s.HandlePeerHeartbeat(heartbeat)
	}
	if !slices.Equal(n.usages, []string{"n1", "n2"}) || len(n.heartbeats) != 6 {
		t.Errorf("told of %v, beats of %v", n.usages, n.heartbeats)
	}
	if heartbeat, ok := s.PeerHeartbeat(); !ok || heartbeat.RequestsPerSecond != 12 || heartbeat.WritesPerSecond != 3 {
		t.Errorf("%+v", heartbeat)
	}
}
