// Package packing finds places for the tasks of a gang: on which machines, and which
// tasks have to leave for them, at the least loss of work.
package binpacking

import (
	"cmp"
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/tuning"
)

// Victim is a task that may be stopped, and the work (CPU seconds) that is lost by it.
type Victim struct {
	Name           string
	Need           capacity.Resources
	LostCPUSeconds float64
}

// Machine is a machine in which a plan may look for room.
type Machine struct {
	Zone    string
	Free    capacity.Resources
	Victims []Victim
	// ImageCost is what it costs to fetch the image, in CPU seconds for which the room
	// stands idle.
	ImageCost float64
}

// Placement is room for one task: in which pool, by its index, and which of its prey leave.
type Placement struct {
	Machine int
	Victims []Victim
}

// candidate is a Pool while a plan is made; prey is what is left, the least loss first.
type candidate struct {
	*Machine
	free    capacity.Resources
	victims []Victim
	// The next task's price, and how many of prey it takes; none if it does not fit.
	fits        bool
	cost        float64
	victimCount int
}

func (p *candidate) evaluate(need capacity.Resources) {
	room, cost, k := p.free, 0.0, 0
	for !room.Covers(need) && k < len(p.victims) {
		room = room.Add(p.victims[k].Need)
		cost += 1 + p.victims[k].LostCPUSeconds
		k++
	}
	// Among equals the fuller machine is taken.
	p.fits, p.cost, p.victimCount = room.Covers(need), cost+p.ImageCost+tuning.TieBreakWeight*room.CPU, k
}

// Plan finds places for n tasks of a need, at most so many in a zone; ok is false if
// there are not enough.
func Plan(from []Machine, need capacity.Resources, n, perZone int) (steps []Placement, cost float64, ok bool) {
	candidates := make([]candidate, len(from))
	for i := range from {
		p := &candidates[i]
		p.Machine, p.free, p.victims = &from[i], from[i].Free, from[i].Victims
		slices.SortFunc(p.victims, func(x, y Victim) int {
			return cmp.Or(cmp.Compare(x.LostCPUSeconds, y.LostCPUSeconds), cmp.Compare(x.Name, y.Name))
		})
		p.evaluate(need)
	}
	inZone := map[string]int{}
	for range n {
		best := -1
		for i := range candidates {
			p := &candidates[i]
			if p.fits && (best < 0 || p.cost < candidates[best].cost) && inZone[p.Zone] < perZone {
				best = i
			}
		}
		if best < 0 {
			return nil, 0, false
		}
		p := &candidates[best]
		steps = append(steps, Placement{best, slices.Clone(p.victims[:p.victimCount])})
		cost += p.cost
		for _, v := range p.victims[:p.victimCount] {
			p.free = p.free.Add(v.Need)
		}
		p.free = p.free.Sub(need)
		p.victims = p.victims[p.victimCount:]
		p.evaluate(need)
		inZone[p.Zone]++
	}
	return steps, cost, true
}
