package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/membership"
	"cherrywall/internal/workerapi"
)

// The Apply methods update the state from records of the key-value store. A record is applied only
// if its revision is newer than what is known.

// ApplyMachineRecord updates the state from a machine's record. moved is whether a machine that was
// known before is in another shard now.
func (s *State) ApplyMachineRecord(host string, record workerapi.Record, revision uint64) (machine *Machine, moved bool) {
	machine = s.machines[host]
	if machine == nil {
		machine = entity.NewMachine(host)
		s.machines[host] = machine
		s.forgetTasks(machine)
	}
	if machine.Revision() >= revision {
		return machine, false
	}
	isNew := machine.Revision() == 0
	changesShard := machine.Record().Shard != record.Shard
	if changesShard {
		s.forgetTasks(machine)
		flags := entity.MutableFlags(machine)
		flags.Reported, flags.Lost = false, false
	}
	entity.SetMachineRecord(machine, record, revision)
	s.machinesChanged()
	entity.MutableTimes(machine).JoinedShardAt = time.Now()
	s.markChanged(machine)
	return machine, changesShard && !isNew
}

// forgetTasks forgets what is known of the tasks on a machine, and of its condition under the
// owner of its shard until now.
func (s *State) forgetTasks(machine *Machine) {
	for assignment := range machine.Assignments() {
		entity.ReleaseTask(assignment, TaskUnknown)
	}
	entity.ClearAssignments(machine)
	flags := entity.MutableFlags(machine)
	flags.Releasing, flags.Moving = false, false
	flags.ReportedEmpty, flags.ProbeUnanswered = false, false
	flags.NoInbound, flags.HeartbeatOverdue = false, false
	entity.MutableTimes(machine).IdleSince = time.Time{}
	s.markChanged(machine)
}

// ApplyMachineDeletion removes a machine whose record was deleted, and returns the machine; nil
// if it is not known or the deletion is older than its record.
func (s *State) ApplyMachineDeletion(host string, revision uint64) *Machine {
	machine := s.machines[host]
	if machine == nil || machine.Revision() > revision {
		return nil
	}
	s.MarkLost(machine)
	s.attributor.ForgetMachine(host)
	delete(s.machines, host)
	s.machinesChanged()
	s.markChanged(machine)
	return machine
}

// ApplyShardRecord updates the state after a shard's owner has changed: nothing is known of its
// machines and tasks until the workers report. It returns the machines that are not released.
func (s *State) ApplyShardRecord(shard *membership.Shard) []*Machine {
	s.ownedMachinesStale = true
	remaining := s.forgetShardMachines(shard)
	for taskRange := range s.TaskRangesIn(shard.ID()) {
		entity.ResetTasks(taskRange, shard.IsLocal(), TaskUnknown)
		s.clearUntrustedHosts(taskRange)
		// The workers will report the gang's present attempt. Gangs of other shards owned here
		// keep theirs: without it they would look like plans that have waited too long, and would
		// be stopped.
		s.ResetGangAttempt(taskRange.Job())
	}
	s.dirty = true
	return remaining
}

// forgetShardMachines forgets what is known of a shard's machines, and returns those that are not
// released.
func (s *State) forgetShardMachines(shard *membership.Shard) []*Machine {
	var remaining []*Machine
	for _, machine := range s.machines {
		if machine.Record().Shard != shard.ID() {
			continue
		}
		s.forgetTasks(machine)
		flags := entity.MutableFlags(machine)
		flags.Reported, flags.Lost = false, flags.Released
		if !flags.Released {
			remaining = append(remaining, machine)
		}
	}
	return remaining
}
