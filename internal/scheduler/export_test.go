package scheduler

import (
	"time"

	"cherrywall/internal/clusterstate"
)

// The methods in this file export steps of a scheduling cycle, for tests of a single step.

func (s *Scheduler) SortQueue(queue []*clusterstate.Job) { s.sortQueue(queue, time.Now()) }

func (s *Scheduler) Score(job *clusterstate.Job, machine *clusterstate.Machine) float64 {
	return s.score(job, machine)
}

func (s *Scheduler) RequestCycle(delay time.Duration) { s.requestCycle(delay) }

func (s *Scheduler) HasRequestedCycle() bool { return !s.nextCycleAt.IsZero() }

func (s *Scheduler) StartCycle() { s.cycle = cycle{} }

func (s *Scheduler) AllocableTasks(job *clusterstate.Job) int {
	return s.State.FreeCapacity().AllocableCount(job.Need(), job.Record().Allows, s.buffersFor(job))
}
