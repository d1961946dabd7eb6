package clusterstate

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"cherrywall/internal/capacity"
	"cherrywall/internal/membership"
)

// Machine returns the recorded machine with a name, or nil if there is none.
func (s *State) Machine(host string) *Machine { return s.machines[host] }

// Machines yields all recorded machines, in no order.
func (s *State) Machines() iter.Seq[*Machine] { return maps.Values(s.machines) }

// IsCurrentMachine reports whether a machine is still part of the state: its record was not deleted,
// and no other machine was recorded under its name since.
func (s *State) IsCurrentMachine(machine *Machine) bool { return s.machines[machine.Host()] == machine }

// OwnedShard returns the machine's shard if this controller owns it, else nil.
func (s *State) OwnedShard(machine *Machine) *membership.Shard {
	shard := s.shards.Shard(machine.Record().Shard)
	if shard == nil || !shard.IsLocal() {
		return nil
	}
	return shard
}

// IsUsable reports whether tasks may be started on a machine.
func (s *State) IsUsable(machine *Machine) bool {
	return machine.AcceptsTasks() && s.OwnedShard(machine) != nil
}

// OwnedMachines returns the machines of the shards owned here, sorted by name. The list is for reading
// only, and valid until the next change of the state.
func (s *State) OwnedMachines() []*Machine {
	if !s.ownedMachinesStale {
		return s.ownedMachines
	}
	s.ownedMachinesStale = false
	s.ownedMachines = s.ownedMachines[:0]
	for _, machine := range s.machines {
		if s.OwnedShard(machine) != nil {
			s.ownedMachines = append(s.ownedMachines, machine)
		}
	}
	slices.SortFunc(s.ownedMachines, func(x, y *Machine) int { return strings.Compare(x.Host(), y.Host()) })
	return s.ownedMachines
}

// OwnedMachinesIn yields the machines of one shard if it is owned here, sorted by name.
func (s *State) OwnedMachinesIn(shard string) iter.Seq[*Machine] {
	return func(yield func(*Machine) bool) {
		for _, machine := range s.OwnedMachines() {
			if machine.Record().Shard == shard && !yield(machine) {
				return
			}
		}
	}
}

// ShardGroup identifies the machines of one capacity group in one shard.
type ShardGroup struct {
	Shard string
	Group capacity.Group
}

// MachineCounts returns the numbers of recorded machines by shard and group. Surplus machines count,
// released ones don't. The result is for reading only. It is cached, since callers need it for each
// waiting job.
func (s *State) MachineCounts() map[ShardGroup]int {
	if s.machineCounts != nil {
		return s.machineCounts
	}
	s.machineCounts = map[ShardGroup]int{}
	for _, machine := range s.machines {
		if !machine.IsReleased() {
			s.machineCounts[ShardGroup{Shard: machine.Record().Shard, Group: machine.PoolGroup()}]++
		}
	}
	return s.machineCounts
}

// MachineCountIn returns how many recorded machines a shard has, without released ones.
func (s *State) MachineCountIn(shard string) int {
	total := 0
	for group, count := range s.MachineCounts() {
		if group.Shard == shard {
			total += count
		}
	}
	return total
}

// invalidateMachineLists drops the cached lists and counts of machines, after machines were added,
// removed or moved to another shard.
func (s *State) invalidateMachineLists() {
	s.ownedMachinesStale, s.machineCounts = true, nil
}
