// Package binpacking plans on which machines the tasks of a job run, and which tasks are preempted
// there, at the least loss of work.
package binpacking

import (
	"cmp"
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/tuning"
)

// Victim is a task that may be preempted, and the work (CPU seconds) that is lost by it.
type Victim struct {
	Name           string
	Need           capacity.Resources
	LostCPUSeconds float64
}

// Machine is a machine that a plan may use.
type Machine struct {
	Zone    string
	Free    capacity.Resources
	Victims []Victim // Plan sorts them
	// ImageCost is the cost of fetching the image: the CPU seconds for which the task's resources
	// are idle meanwhile.
	ImageCost float64
}

// Placement is the machine of one task, by its index, and the tasks that are preempted for it.
type Placement struct {
	Machine int
	Victims []Victim
}

// candidate is a machine while a plan is made.
type candidate struct {
	*Machine
	free    capacity.Resources
	victims []Victim // that are left, the least loss first

	fits        bool    // whether one more task fits
	cost        float64 // of that task
	victimCount int     // how many of victims are preempted for it
}

func newCandidate(machine *Machine, need capacity.Resources) candidate {
	slices.SortFunc(machine.Victims, func(x, y Victim) int {
		return cmp.Or(cmp.Compare(x.LostCPUSeconds, y.LostCPUSeconds), cmp.Compare(x.Name, y.Name))
	})
	c := candidate{Machine: machine, free: machine.Free, victims: machine.Victims}
	c.evaluate(need)
	return c
}

// evaluate computes whether one more task fits, and at what cost.
func (c *candidate) evaluate(need capacity.Resources) {
	free, cost, victimCount := c.free, 0.0, 0
	for !free.Covers(need) && victimCount < len(c.victims) {
		free = free.Add(c.victims[victimCount].Need)
		cost += 1 + c.victims[victimCount].LostCPUSeconds // a preemption costs something even if no work is lost
		victimCount++
	}
	c.fits = free.Covers(need)
	// Among machines of equal cost the fuller one is preferred.
	c.cost = cost + c.ImageCost + tuning.TieBreakWeight*free.CPU
	c.victimCount = victimCount
}

// place deducts the next task and its victims from the candidate, and returns the victims.
func (c *candidate) place(need capacity.Resources) []Victim {
	victims := slices.Clone(c.victims[:c.victimCount])
	for _, victim := range victims {
		c.free = c.free.Add(victim.Need)
	}
	c.free = c.free.Sub(need)
	c.victims = c.victims[c.victimCount:]
	c.evaluate(need)
	return victims
}

// Plan finds machines for a number of tasks of the same need, with at most maxPerZone of them in a
// zone, and returns the sum of their costs (CPU seconds, with a small amount added to break ties).
// It places one task after another, each at the least cost. ok is false if there are not enough
// machines.
func Plan(machines []Machine, need capacity.Resources, tasks, maxPerZone int) (placements []Placement, cost float64, ok bool) {
	candidates := make([]candidate, len(machines))
	for i := range machines {
		candidates[i] = newCandidate(&machines[i], need)
	}
	tasksInZone := map[string]int{}
	for range tasks {
		best := cheapest(candidates, func(zone string) bool { return tasksInZone[zone] < maxPerZone })
		if best < 0 {
			return nil, 0, false
		}
		chosen := &candidates[best]
		cost += chosen.cost
		placements = append(placements, Placement{Machine: best, Victims: chosen.place(need)})
		tasksInZone[chosen.Zone]++
	}
	return placements, cost, true
}

// cheapest returns the index of the candidate of the least cost that fits one more task, -1 for
// none.
func cheapest(candidates []candidate, allowsZone func(zone string) bool) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.fits && (best < 0 || c.cost < candidates[best].cost) && allowsZone(c.Zone) {
			best = i
		}
	}
	return best
}
