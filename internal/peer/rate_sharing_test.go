package peer

import (
	"math"
	"slices"
	"testing"
)

// recorder is a Controller and a Meter that records the senders of heartbeats and of usage.
type recorder struct{ heartbeats, usages []string }

func (r *recorder) PeerHeartbeat() (Heartbeat, bool) { return Heartbeat{Node: "n0"}, true }

func (r *recorder) HandlePeerHeartbeat(heartbeat Heartbeat) {
	r.heartbeats = append(r.heartbeats, heartbeat.Node)
}

func (r *recorder) Usage() (requests, writes float64) { return 12, 3 }

func (r *recorder) RecordPeerUsage(controller string, _, _ float64) {
	r.usages = append(r.usages, controller)
}

// A recorded rate that is not a number would block all requests to the key-value store.
func TestOnlyValidRatesOfPeersAreRecorded(t *testing.T) {
	recorder := &recorder{}
	sharing := RateSharing{Controller: recorder, Meter: recorder, Peers: map[string]bool{"n1": true, "n2": true}}
	for _, heartbeat := range []Heartbeat{
		{Node: "n1", RequestsPerSecond: 5},
		{Node: "stranger", RequestsPerSecond: 5},
		{Node: "n2", WritesPerSecond: math.NaN()},
		{Node: "n2", RequestsPerSecond: math.Inf(1)},
		{Node: "n2", WritesPerSecond: -1},
		{Node: "n2"},
	} {
		sharing.HandlePeerHeartbeat(heartbeat)
	}
	if !slices.Equal(recorder.usages, []string{"n1", "n2"}) || len(recorder.heartbeats) != 6 {
		t.Errorf("usage recorded of %v, heartbeats passed on of %v", recorder.usages, recorder.heartbeats)
	}
	if heartbeat, ok := sharing.PeerHeartbeat(); !ok || heartbeat.RequestsPerSecond != 12 || heartbeat.WritesPerSecond != 3 {
		t.Errorf("%+v", heartbeat)
	}
}
