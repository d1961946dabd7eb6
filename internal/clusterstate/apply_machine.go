package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// The Apply methods update the state from records of the key-value store. A record is applied only
// if its revision is higher than the revision that is already known.

// ApplyMachineRecord updates the state from a machine's record. moved reports whether a machine that
// was already known has changed to another shard.
func (s *State) ApplyMachineRecord(host string, record workerapi.Record, revision uint64) (machine *Machine, moved bool) {
	machine = s.machines[host]
	if machine == nil {
		machine = entity.NewMachine(host)
		s.machines[host] = machine
		s.resetMachineState(machine)
	}
	if machine.Revision() >= revision {
		return machine, false
	}
	isNew := machine.Revision() == 0
	changesShard := machine.Record().Shard != record.Shard
	if changesShard {
		s.resetMachineState(machine)
		flags := entity.MutableFlags(machine)
		flags.Reported, flags.Lost = false, false
	}
	entity.SetMachineRecord(machine, record, revision)
	entity.MutableFlags(machine).Moving = false // a move that is under way fails, since its condition is the previous revision
	s.invalidateMachineLists()
	entity.MutableTimes(machine).JoinedShardAt = time.Now()
	s.markMachineChanged(machine)
	return machine, changesShard && !isNew
}

// resetMachineState removes all assignments of a machine, sets their tasks to TaskUnknown, and clears
// its idle time and the flags that were valid only under the previous owner of its shard.
func (s *State) resetMachineState(machine *Machine) {
	for assignment := range machine.Assignments() {
		entity.ReleaseTask(assignment, TaskUnknown)
	}
	entity.ClearAssignments(machine)
	flags := entity.MutableFlags(machine)
	flags.Releasing, flags.Moving = false, false
	flags.ReportedEmpty, flags.ProbeUnanswered = false, false
	flags.NoInbound, flags.HeartbeatOverdue = false, false
	entity.MutableTimes(machine).IdleSince = time.Time{}
	s.markMachineChanged(machine)
}

// ApplyMachineDeletion removes a machine whose record was deleted, and returns the machine. It returns
// nil if the machine is not known or the deletion is older than its record.
func (s *State) ApplyMachineDeletion(host string, revision uint64) *Machine {
	machine := s.machines[host]
	if machine == nil || machine.Revision() > revision {
		return nil
	}
	s.MarkLost(machine)
	s.attributor.ForgetMachine(host)
	delete(s.machines, host)
	s.invalidateMachineLists()
	s.markMachineChanged(machine)
	return machine
}

// ApplyShardRecord updates the state after a shard's owner has changed: the state of the shard's
// machines and tasks is unknown until the workers report. It returns the shard's machines that are
// not released.
func (s *State) ApplyShardRecord(shard *membership.Shard) []*Machine {
	s.ownedMachinesStale = true
	remainingMachines := s.resetShardMachines(shard)
	for taskRange := range s.TaskRangesIn(shard.ID()) {
		entity.ResetTasks(taskRange, shard.IsLocal(), TaskUnknown)
		s.clearUnreliableGangWorkers(taskRange)
		// The workers will report the gang's current attempt. Gangs of other shards owned here
		// keep their attempts: without an attempt they would look like plans that have waited too
		// long, and would be stopped.
		s.ResetGangAttempt(taskRange.Job())
	}
	s.dirty = true
	return remainingMachines
}

// resetShardMachines resets the state of a shard's machines, and returns the machines that are not
// released.
func (s *State) resetShardMachines(shard *membership.Shard) []*Machine {
	var remainingMachines []*Machine
	for _, machine := range s.machines {
		if machine.Record().Shard != shard.ID() {
			continue
		}
		s.resetMachineState(machine)
		flags := entity.MutableFlags(machine)
		flags.Reported, flags.Lost = false, flags.Released
		if !flags.Released {
			remainingMachines = append(remainingMachines, machine)
		}
	}
	return remainingMachines
}
