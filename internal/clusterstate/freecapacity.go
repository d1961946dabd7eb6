package clusterstate

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/jobs"
)

// Total returns the resources of a machine of this type; known is false as long as no worker of the
// type has reported them.
func (s *State) Total(machine *Machine) (total capacity.Resources, known bool) {
	return s.machineTypes.Capacity(machine.Record().MachineType)
}

func (s *State) usageOf(machine *Machine) *entity.Usage {
	if usage := entity.CurrentUsage(machine); usage != nil {
		return usage
	}
	total, _ := s.Total(machine)
	return entity.ComputeUsage(machine, total)
}

// Free returns what is free on a machine once all tasks that are to be stopped have left it.
func (s *State) Free(machine *Machine) capacity.Resources { return s.usageOf(machine).Free }

// FreeBelow returns Free plus what the tasks below a priority take. Gangs are left out, since their
// tasks cannot be stopped one by one.
func (s *State) FreeBelow(machine *Machine, priority jobs.Priority) capacity.Resources {
	return s.usageOf(machine).FreeBelowWithoutGangs[priority]
}

// FreeNow returns what is free on a machine when the commands of the present scheduling cycle are
// executed: tasks that write a checkpoint before they exit still take their resources.
func (s *State) FreeNow(machine *Machine) capacity.Resources {
	free, _ := s.Total(machine)
	for assignment := range machine.Assignments() {
		if assignment.OccupiesNow() {
			free = free.Sub(assignment.Need())
		}
	}
	return free
}

// UsedCPUFraction returns the fraction (0 to 1) of a machine's CPUs that tasks take; 0 if its type
// is not known.
func (s *State) UsedCPUFraction(machine *Machine) float64 {
	total, known := s.Total(machine)
	if !known || total.CPU <= 0 {
		return 0
	}
	return 1 - s.Free(machine).CPU/total.CPU
}

// OrdinaryTasks returns how many tasks on a machine, stopping ones too, may not run on a spot
// machine.
func (s *State) OrdinaryTasks(machine *Machine) int { return s.usageOf(machine).OrdinaryTasks }

// ServiceReplicas returns how many replicas of services run on a machine and are not to be stopped.
func (s *State) ServiceReplicas(machine *Machine) int { return s.usageOf(machine).ServiceReplicas }

// PendingCommands returns how many start and stop commands are still to be sent to a machine.
func (s *State) PendingCommands(machine *Machine) int { return s.usageOf(machine).PendingCommands }

// markChanged notes that a machine, or the tasks on it, have changed. The tables of free capacity
// follow when they are asked for, see FreeCapacity.
func (s *State) markChanged(machine *Machine) {
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
		s.markChanged(machine)
	}
}

// FreeCapacity returns the table of how many tasks fit into free capacity, up to date with the
// machines that have changed.
func (s *State) FreeCapacity() *capacity.Table {
	for _, machine := range s.changedMachines {
		entity.EndRecount(machine)
		if current := s.machines[machine.Host()]; current != nil && current != machine {
			continue // the machine was removed, and recorded anew under its name
		}
		s.updateFreeCapacity(machine)
	}
	s.changedMachines = s.changedMachines[:0]
	return s.free
}

func (s *State) updateFreeCapacity(machine *Machine) {
	host := machine.Host()
	if _, known := s.Total(machine); !known || !s.IsUsable(machine) || s.machines[host] == nil {
		s.free.Remove(host)
		for p := range s.freeBelow {
			s.freeBelow[p].Remove(host)
		}
		return
	}
	usage, group := s.usageOf(machine), machine.Group()
	s.free.Set(host, group, usage.Free)
	for p := range s.freeBelow {
		s.freeBelow[p].Set(host, group, usage.FreeBelow[p])
	}
}

// FreeCapacityBelow returns the table of how many tasks would fit if all tasks below a priority,
// gangs included, were preempted.
func (s *State) FreeCapacityBelow(priority jobs.Priority) *capacity.Table {
	s.FreeCapacity()
	return s.freeBelow[priority]
}

// RecountCapacity drops the counts of shapes that no job needs any more and computes the others
// anew. It also determines anew which jobs are best-effort work; spotInUse is whether the
// autoscaler may use spot machines.
func (s *State) RecountCapacity(now time.Time, spotInUse bool) {
	wanted := map[capacity.Resources]bool{}
	for _, job := range s.jobs {
		if !job.HasEnded() {
			wanted[job.Need()] = true
			entity.UpdateBestEffort(job, now, spotInUse)
		}
	}
	s.FreeCapacity().Recount(wanted)
	for p := range s.freeBelow {
		s.freeBelow[p].Recount(nil) // filled again when it is asked for
	}
	s.dirty = true
}
