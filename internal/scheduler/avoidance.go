package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
)

// A job is not tried again for a while on a machine on which it has failed. The tables of free capacity
// know nothing of this, since they count for all jobs. So the tasks that would fit on such machines are
// subtracted from what the tables say for the job. Otherwise the job would wait for capacity that it does
// not use: a zone with such a machine would be preferred to one with room, nothing would be preempted, and
// no machine would be requested.

// avoids reports whether a job is not to be tried on a machine now. The clock is read only for the few
// machines on which the job has failed, since this is asked for every machine.
func (s *Scheduler) avoids(job *clusterstate.Job, machine *clusterstate.Machine) bool {
	return s.Faults.HasFailedOn(job.Ref(), machine.Host()) && s.Faults.ShouldAvoid(job.Ref(), machine.Host(), time.Now())
}

// avoidedMachines returns the usable machines that a job avoids now and whose groups are allowed. Most jobs
// avoid none.
func (s *Scheduler) avoidedMachines(job *clusterstate.Job, allow func(capacity.Group) bool) []*clusterstate.Machine {
	var machines []*clusterstate.Machine
	for host := range s.Faults.FailedHosts(job.Ref()) {
		machine := s.State.Machine(host)
		isCounted := machine != nil && s.State.IsUsable(machine) && allow(machine.Group())
		if isCounted && s.avoids(job, machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// avoidedTasks returns how many tasks of a job the table of free capacity counts on machines that the job
// avoids.
func (s *Scheduler) avoidedTasks(job *clusterstate.Job, allow func(capacity.Group) bool) int {
	tasks := 0
	for _, machine := range s.avoidedMachines(job, allow) {
		tasks += capacity.FitCount(s.State.Free(machine), job.Need())
	}
	return tasks
}

// avoidedExtraTasks returns how many more tasks of a job would fit on machines that the job avoids if
// lower-priority work were preempted.
func (s *Scheduler) avoidedExtraTasks(job *clusterstate.Job, allow func(capacity.Group) bool) int {
	tasks := 0
	for _, machine := range s.avoidedMachines(job, allow) {
		countWithPreemption := capacity.FitCount(s.State.FreeBelow(machine, s.preemptionPriority(job)), job.Need())
		tasks += countWithPreemption - capacity.FitCount(s.State.Free(machine), job.Need())
	}
	return tasks
}

// fittingTasks returns how many tasks of a job fit on the machines of the allowed groups that it does not
// avoid.
func (s *Scheduler) fittingTasks(job *clusterstate.Job, allow func(capacity.Group) bool) int {
	return s.State.FreeCapacity().Count(job.Need(), allow) - s.avoidedTasks(job, allow)
}

// allocableTasks returns the result of fittingTasks if the buffers are left free.
func (s *Scheduler) allocableTasks(job *clusterstate.Job, allow func(capacity.Group) bool, buffers []capacity.Buffer) int {
	return max(0, s.State.FreeCapacity().AllocableCount(job.Need(), allow, buffers)-s.avoidedTasks(job, allow))
}

// areAllAvoiding reports whether there are jobs and all of them avoid a machine.
func (s *Scheduler) areAllAvoiding(jobs []*clusterstate.Job, machine *clusterstate.Machine) bool {
	for _, job := range jobs {
		if !s.avoids(job, machine) {
			return false
		}
	}
	return len(jobs) > 0
}
