package peerstatus

import (
	"testing"
	"time"

	"cherrywall/internal/peer"
)

func TestStoreOutageDistinguishedFromPartition(t *testing.T) {
	now := time.Now()
	tracker := New("n0", []string{"n0", "n1", "n2"})
	if !tracker.IsStoreDownForAll(now) || tracker.IsCutOffFromStore(now, time.Minute) {
		t.Error("the controller counts as cut off although there was no heartbeat")
	}
	tracker.Observe(peer.Heartbeat{Node: "n1", Synced: true, StoreSilentFor: 20 * time.Second}, now)
	if !tracker.IsStoreDownForAll(now) || tracker.IsCutOffFromStore(now, 20*time.Second) {
		t.Error("the controller counts as cut off although the peer does not reach the store either")
	}
	tracker.Observe(peer.Heartbeat{Node: "n1", Synced: true}, now)
	tracker.Observe(peer.Heartbeat{Node: "stranger", Synced: true}, now)
	if tracker.IsStoreDownForAll(now) || !tracker.IsCutOffFromStore(now, 10*time.Second) || tracker.IsCutOffFromStore(now, time.Second) {
		t.Error("outage or partition judged wrongly although the peer reaches the store")
	}
	if later := now.Add(time.Minute); !tracker.IsStoreDownForAll(later) || tracker.IsCutOffFromStore(later, time.Minute) {
		t.Error("an old heartbeat still counts")
	}
}

func TestNewerOwnerNeedsLaterEpoch(t *testing.T) {
	now := time.Now()
	tracker := New("n0", []string{"n1", "n2"})
	tracker.Observe(peer.Heartbeat{Node: "n1", Shards: []peer.Shard{{ID: "n0", Owner: "n1", Epoch: 7}}}, now)
	if owner, ok := tracker.NewerOwner("n0", 6); !ok || owner != "n1" {
		t.Error("a newer owner is not found")
	}
	if _, ok := tracker.NewerOwner("n0", 7); ok {
		t.Error("an owner under the same epoch is not newer")
	}
}
