package binpacking

import (
	"testing"

	"cherrywall/internal/capacity"
)

func TestPlanMinimizesLostWork(t *testing.T) {
	need := capacity.Resources{CPU: 7, MemGB: 20}
	withCPUs := func(n float64) capacity.Resources { return capacity.Resources{CPU: n, MemGB: 100} }
	machines := []Machine{
		{Zone: "a", Free: withCPUs(0), Victims: []Victim{{"old", withCPUs(8), 500}, {"young", withCPUs(8), 5}}},
		{Zone: "a", Free: withCPUs(16)},
		{Zone: "b", Free: withCPUs(7)},
		{Zone: "b", Free: withCPUs(7), StartCost: 30},
	}
	placements, _, ok := Plan(machines, need, 4, 4)
	if !ok || len(placements) != 4 {
		t.Fatalf("plan of four tasks: placements %+v, ok: %v", placements, ok)
	}
	// The machine that a task fills completely is used first, then the larger machine, and last the
	// machine on which a victim is preempted: the victim with the least lost work.
	for i, want := range []int{2, 1, 1, 0} {
		if placements[i].Machine != want {
			t.Errorf("placement %d on machine %d, want %d", i, placements[i].Machine, want)
		}
	}
	if victims := placements[3].Victims; len(victims) != 1 || victims[0].Name != "young" {
		t.Errorf("victims %+v, want young", victims)
	}
	if placements, _, ok = Plan(machines, need, 5, 3); !ok || placements[4].Machine != 3 {
		t.Errorf("five tasks with at most three in a zone: %+v, %v", placements, ok)
	}
	if _, _, ok = Plan(machines, need, 6, 2); ok {
		t.Error("six tasks were placed in two zones with at most two tasks in each")
	}
}
