package clusterstate

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
)

// Total returns the total resources of a machine, according to its machine type. known is false as long
// as the type is not known.
func (s *State) Total(machine *Machine) (total capacity.Resources, known bool) {
	return s.machineTypes.Capacity(machine.Record().MachineType)
}

// machineUsage returns a machine's usage and computes it first if the assignments have changed.
func (s *State) machineUsage(machine *Machine) *entity.Usage {
	if usage := entity.CurrentUsage(machine); usage != nil {
		return usage
	}
	total, _ := s.Total(machine)
	return entity.ComputeUsage(machine, total)
}

// Free returns the resources that are free on a machine once all tasks that are to be stopped have
// left it.
func (s *State) Free(machine *Machine) capacity.Resources { return s.machineUsage(machine).Free }

// FreeBelow returns Free plus the resources of the tasks whose priority is lower than the given one.
// Tasks of gangs are not included, since they cannot be stopped one by one.
func (s *State) FreeBelow(machine *Machine, priority jobs.Priority) capacity.Resources {
	return s.machineUsage(machine).FreeBelowWithoutGangs[priority]
}

// FreeNow returns the resources that are free on a machine as soon as the commands of the current
// scheduling cycle have been executed. Tasks that save a checkpoint before they exit still take their
// resources at that time.
func (s *State) FreeNow(machine *Machine) capacity.Resources {
	free, _ := s.Total(machine)
	for assignment := range machine.Assignments() {
		if assignment.OccupiesNow() {
			free = free.Sub(assignment.Need())
		}
	}
	return free
}

// UsedCPUFraction returns the fraction (0 to 1) of a machine's CPUs that its tasks take, or 0 if the
// machine's total resources are not known.
func (s *State) UsedCPUFraction(machine *Machine) float64 {
	total, known := s.Total(machine)
	if !known || total.CPU <= 0 {
		return 0
	}
	return 1 - s.Free(machine).CPU/total.CPU
}

// OnDemandOnlyTaskCount returns how many tasks on a machine, including stopping ones, may not run on a spot
// machine.
func (s *State) OnDemandOnlyTaskCount(machine *Machine) int {
	return s.machineUsage(machine).OnDemandOnlyTasks
}

// ServiceReplicaCount returns how many replicas of services run on a machine and are not to be stopped.
func (s *State) ServiceReplicaCount(machine *Machine) int {
	return s.machineUsage(machine).ServiceReplicas
}

// PendingCommandCount returns how many start and stop commands have not been sent to a machine yet.
func (s *State) PendingCommandCount(machine *Machine) int {
	return s.machineUsage(machine).PendingCommands
}

// markMachineChanged records that a machine or the tasks on it have changed. FreeCapacity updates
// the tables of free capacity when they are next requested.
func (s *State) markMachineChanged(machine *Machine) {
	entity.MarkUsageStale(machine)
	if entity.BeginRecount(machine) {
		s.changedMachines = append(s.changedMachines, machine)
	}
	entity.UpdateIdleSince(machine)
	s.dirty = true
	s.changeCount++
}

// RecountAllMachines marks all machines for a recount, after machine types or settings have changed.
func (s *State) RecountAllMachines() {
	s.dirty = true
	for _, machine := range s.machines {
		s.markMachineChanged(machine)
	}
}

// FreeCapacity returns the table of how many tasks fit into free capacity, after updating it for all
// machines that have changed.
func (s *State) FreeCapacity() *capacity.Table {
	for _, machine := range s.changedMachines {
		entity.EndRecount(machine)
		if current := s.machines[machine.Host()]; current != nil && current != machine {
			continue // the machine was removed, and another one was recorded under its name
		}
		s.updateFreeCapacity(machine)
	}
	s.changedMachines = s.changedMachines[:0]
	return s.freeCapacity
}

// updateFreeCapacity updates a machine's entries in the tables of free capacity, and removes them if
// no tasks may be started on the machine.
func (s *State) updateFreeCapacity(machine *Machine) {
	host := machine.Host()
	if _, known := s.Total(machine); !known || !s.IsUsable(machine) || s.machines[host] == nil {
		s.freeCapacity.Remove(host)
		for p := range s.freeCapacityBelow {
			s.freeCapacityBelow[p].Remove(host)
		}
		return
	}
	usage, group := s.machineUsage(machine), machine.Group()
	s.freeCapacity.Set(host, group, usage.Free)
	for p := range s.freeCapacityBelow {
		s.freeCapacityBelow[p].Set(host, group, usage.FreeBelow[p])
	}
}

// FreeCapacityBelow returns the table of how many tasks would fit if all tasks whose priority is lower
// than the given one, gangs included, were preempted.
func (s *State) FreeCapacityBelow(priority jobs.Priority) *capacity.Table {
	s.FreeCapacity()
	return s.freeCapacityBelow[priority]
}

// RecountCapacity recomputes the counts for all task shapes that unfinished jobs need, and drops the
// counts for other shapes. The shape of a task is the resources that it takes. RecountCapacity also
// determines again which jobs are best-effort work; spotInUse tells whether the
// autoscaler may use spot machines.
func (s *State) RecountCapacity(now time.Time, spotInUse bool) {
	neededShapes := map[capacity.Resources]bool{}
	for _, job := range s.jobs {
		if !job.HasEnded() {
			neededShapes[job.Need()] = true
			entity.UpdateBestEffort(job, now, spotInUse)
		}
	}
	s.FreeCapacity().Recount(neededShapes)
	for p := range s.freeCapacityBelow {
		s.freeCapacityBelow[p].Recount(nil) // the counts are computed again when they are requested
	}
	s.dirty = true
}
