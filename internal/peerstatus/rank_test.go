package peerstatus

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
)

func TestGangRankPrefersTightestPlacement(t *testing.T) {
	now := time.Now()
	tracker := New("n0", 7, []string{"n1", "n2"})
	need := capacity.Resources{CPU: 7, MemGB: 26}
	newCapacities := func(free, preemptible int) []peer.ShapeCapacity {
		return []peer.ShapeCapacity{{CPU: 7, Mem: 26, Zone: "a", Free: free, Preemptible: preemptible}}
	}
	tracker.Observe(peer.Heartbeat{Node: "n1", Synced: true, Capacities: newCapacities(9, 0)}, now)
	tracker.Observe(peer.Heartbeat{Node: "n2", Synced: true, Capacities: newCapacities(3, 30)}, now)
	record := &jobs.JobRecord{Spec: jobs.Spec{Kind: jobs.Gang, Tasks: 8, OneZone: true}}
	for free, want := range map[int]int{8: 0, 20: 1, 2: 2} {
		t.Run(fmt.Sprintf("room for %d", free), func(t *testing.T) {
			if rank := tracker.GangRank(record, need, newCapacities(free, 0), now); rank != want {
				t.Errorf("the rank is %d, want %d", rank, want)
			}
		})
	}
}
