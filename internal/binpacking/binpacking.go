// Package binpacking plans on which machines the tasks of a job run, and which other tasks are
// preempted there, so that as little work as possible is lost.
package binpacking

import (
	"cmp"
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/tuning"
)

// Victim is a task that may be preempted.
type Victim struct {
	Name           string
	Need           capacity.Resources
	LostCPUSeconds float64 // the work that is lost if the task is preempted
}

// Machine is a machine that a plan may use.
type Machine struct {
	Zone    string
	Free    capacity.Resources
	Victims []Victim // Plan sorts this slice in place
	// StartCost is the cost (CPU seconds) of each task of the job on this machine, apart from
	// preemption: the time for which the task's resources are idle until the image is there, and the
	// risk that the task fails.
	StartCost float64
}

// Placement is the machine for one task, and the tasks that are preempted to make room for it.
type Placement struct {
	Machine int // index into the machines that were passed to Plan
	Victims []Victim
}

// candidate is the state of a machine while a plan is computed.
type candidate struct {
	*Machine
	free    capacity.Resources
	victims []Victim // tasks that can still be preempted, those with the least lost work first

	fits        bool    // whether one more task fits
	cost        float64 // cost (CPU seconds) of placing that task
	victimCount int     // number of victims that are preempted for that task
}

func newCandidate(machine *Machine, need capacity.Resources) candidate {
	slices.SortFunc(machine.Victims, func(x, y Victim) int {
		return cmp.Or(cmp.Compare(x.LostCPUSeconds, y.LostCPUSeconds), cmp.Compare(x.Name, y.Name))
	})
	c := candidate{Machine: machine, free: machine.Free, victims: machine.Victims}
	c.evaluate(need)
	return c
}

// evaluate computes whether one more task fits, what it costs to place that task, and how many victims
// are preempted for it.
func (c *candidate) evaluate(need capacity.Resources) {
	free, cost, victimCount := c.free, 0.0, 0
	for !free.Covers(need) && victimCount < len(c.victims) {
		free = free.Add(c.victims[victimCount].Need)
		cost += 1 + c.victims[victimCount].LostCPUSeconds // 1 is added so that every preemption has a cost
		victimCount++
	}
	c.fits = free.Covers(need)
	// Among machines of equal cost, the one with fewer free CPUs is preferred.
	c.cost = cost + c.StartCost + tuning.TieBreakWeight*free.CPU
	c.victimCount = victimCount
}

// place adds one more task to the candidate: it removes the victims, deducts the task's need from
// the free resources, and returns the victims.
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

// Plan finds machines for a number of tasks that have the same need, with at most maxPerZone tasks in
// a zone. It places one task after another, each on the machine with the least cost, and returns the
// sum of the costs (CPU seconds, with a small amount added to break ties). ok is false if not all tasks
// can be placed.
func Plan(machines []Machine, need capacity.Resources, tasks, maxPerZone int) (placements []Placement, cost float64, ok bool) {
	candidates := make([]candidate, len(machines))
	for i := range machines {
		candidates[i] = newCandidate(&machines[i], need)
	}
	tasksInZone := map[string]int{}
	for range tasks {
		best := cheapestIndex(candidates, func(zone string) bool { return tasksInZone[zone] < maxPerZone })
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

// cheapestIndex returns the index of the candidate with the least cost among those that fit one more task
// and are in an allowed zone, or -1 if there is none.
func cheapestIndex(candidates []candidate, allowsZone func(zone string) bool) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.fits && (best < 0 || c.cost < candidates[best].cost) && allowsZone(c.Zone) {
			best = i
		}
	}
	return best
}
