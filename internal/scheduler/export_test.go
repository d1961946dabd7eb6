package scheduler

import (
	"time"

	"cherrywall/internal/clusterstate"
)

// Parts of a round, for tests of one alone.

func (d *Scheduler) SortQueue(queue []*clusterstate.Job) { d.sortQueue(queue, time.Now()) }
func (d *Scheduler) Score(job *clusterstate.Job, machine *clusterstate.Machine) float64 {
	return d.score(job, machine)
}
func (d *Scheduler) RequestCycle(after time.Duration) { d.requestCycle(after) }
func (d *Scheduler) HasRequestedCycle() bool          { return !d.nextCycleAt.IsZero() }
func (d *Scheduler) StartCycle()                      { d.cycle = cycle{} }
func (d *Scheduler) AllocableTasks(job *clusterstate.Job) int {
	return d.State.FreeCapacity().Allocable(job.Need(), job.Record().Allows, d.buffersFor(job))
}
