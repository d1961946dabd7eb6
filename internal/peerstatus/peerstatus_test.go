package peerstatus

import (
	"testing"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
)

func TestAnOutageIsToldFromACut(t *testing.T) {
	now := time.Now()
	h := New("n0", []string{"n0", "n1", "n2"})
	if !h.IsStoreDownForAll(now) || h.IsCutOffFromStore(now, time.Minute) {
		t.Error("nothing heard was taken for a cut")
	}
	h.Observe(peer.Heartbeat{Node: "n1", Synced: true, StoreSilentFor: 20 * time.Second}, now)
	if !h.IsStoreDownForAll(now) || h.IsCutOffFromStore(now, 20*time.Second) {
		t.Error("the other is without the state service, too")
	}
	h.Observe(peer.Heartbeat{Node: "n1", Synced: true}, now)
	h.Observe(peer.Heartbeat{Node: "stranger", Synced: true}, now)
	if h.IsStoreDownForAll(now) || !h.IsCutOffFromStore(now, 10*time.Second) || h.IsCutOffFromStore(now, time.Second) {
		t.Error("the other is served")
	}
	if later := now.Add(time.Minute); !h.IsStoreDownForAll(later) || h.IsCutOffFromStore(later, time.Minute) {
		t.Error("an old word still counts")
	}
}

func TestTheTightestRoomTakesAGangFirst(t *testing.T) {
	now := time.Now()
	h := New("n0", []string{"n1", "n2"})
	need := capacity.Resources{CPU: 7, MemGB: 26}
	count := func(free, lent int) []peer.ShapeCapacity {
		return []peer.ShapeCapacity{{CPU: 7, Mem: 26, Zone: "a", Free: free, Preemptible: lent}}
	}
	h.Observe(peer.Heartbeat{Node: "n1", Synced: true, Capacities: count(9, 0)}, now)
	h.Observe(peer.Heartbeat{Node: "n2", Synced: true, Capacities: count(3, 30)}, now)
	record := &jobs.JobRecord{Spec: jobs.Spec{Kind: jobs.Gang, Tasks: 8, OneZone: true}}
	for free, want := range map[int]int{8: 0, 20: 1, 2: 2} {
		if r := h.GangRank(record, need, count(free, 0), now); r != want {
			t.Errorf("with room for %d the rank is %d, want %d", free, r, want)
		}
	}
	h.Observe(peer.Heartbeat{Node: "n1", Shards: []peer.Shard{{ID: "n0", Owner: "n1", Epoch: 7}}}, now)
	if holder, yes := h.NewerOwner("n0", 6); !yes || holder != "n1" {
		t.Error("a newer holder is not noticed")
	}
	if _, yes := h.NewerOwner("n0", 7); yes {
		t.Error("the same stamp is no newer one")
	}
}
