package binpacking

import (
	"testing"

	"cherrywall/internal/capacity"
)

func TestTheLeastLossIsChosen(t *testing.T) {
	need := capacity.Resources{CPU: 7, MemGB: 20}
	cpu := func(n float64) capacity.Resources { return capacity.Resources{CPU: n, MemGB: 100} }
	machines := []Machine{
		{Zone: "a", Free: cpu(0), Victims: []Victim{{"old", cpu(8), 500}, {"young", cpu(8), 5}}},
		{Zone: "a", Free: cpu(16)},
		{Zone: "b", Free: cpu(7)},
		{Zone: "b", Free: cpu(7), ImageCost: 30},
	}
	steps, _, ok := Plan(machines, need, 4, 4)
	if !ok || len(steps) != 4 {
		t.Fatalf("%+v, %v", steps, ok)
	}
	// The exact room first, then the larger, at last the young task leaves.
	for i, want := range []int{2, 1, 1, 0} {
		if steps[i].Machine != want {
			t.Errorf("step %d in pool %d, want %d", i, steps[i].Machine, want)
		}
	}
	if l := steps[3].Victims; len(l) != 1 || l[0].Name != "young" {
		t.Errorf("%+v leave", l)
	}
	if steps, _, ok = Plan(machines, need, 5, 3); !ok || steps[4].Machine != 3 {
		t.Errorf("at most three in zone a: %+v, %v", steps, ok)
	}
	if _, _, ok = Plan(machines, need, 6, 2); ok {
		t.Error("six tasks with two in a zone at the most")
	}
}
