package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/tuning"
)

// setFlag sets a flag that decides whether a machine is used. If that changes the flag, the
// machine is marked for a recount.
func (s *State) setFlag(machine *Machine, flag *bool, value bool) {
	if *flag != value {
		*flag = value
		s.markChanged(machine)
	}
}

// Cordon keeps further tasks from a machine; those that run there continue.
func (s *State) Cordon(machine *Machine) {
	s.setFlag(machine, &entity.MutableFlags(machine).Cordoned, true)
}

// SetSuspected notes whether several jobs failed on a machine.
func (s *State) SetSuspected(machine *Machine, suspected bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Suspected, suspected)
}

// SetSurplus notes whether an ordinary machine is to be drained and released.
func (s *State) SetSurplus(machine *Machine, surplus bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Surplus, surplus)
}

// SetMoving notes whether a write that assigns a machine to another shard is in flight.
func (s *State) SetMoving(machine *Machine, moving bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Moving, moving)
}

// SetReleasing notes whether a request to release a machine is under way.
func (s *State) SetReleasing(machine *Machine, releasing bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Releasing, releasing)
}

// MarkPreempted notes that the cloud has given notice that it takes a machine back.
func (s *State) MarkPreempted(machine *Machine) { entity.MutableFlags(machine).Preempted = true }

// MarkReleased notes that the cloud has confirmed the release of a machine, whose tasks have
// stopped with it.
func (s *State) MarkReleased(machine *Machine) {
	entity.MutableFlags(machine).Released = true
	s.machineCounts = nil
	s.MarkLost(machine)
}

// RecordContact notes the time of a heartbeat from which nothing else is used. A lost machine stays
// lost: the heartbeat may be a late copy.
func (s *State) RecordContact(machine *Machine, at time.Time) {
	if !machine.IsLost() {
		entity.MutableTimes(machine).LastHeartbeatAt = at
	}
}

// SetNoInbound notes whether responses and commands to a machine are lost. Tasks that are only
// planned there are placed elsewhere then, since commands must not be executed late.
func (s *State) SetNoInbound(machine *Machine, noInbound bool, now time.Time) {
	if machine.HasNoInbound() == noInbound {
		return
	}
	entity.MutableTimes(machine).NoInboundChangedAt = now
	s.setFlag(machine, &entity.MutableFlags(machine).NoInbound, noInbound)
	if noInbound {
		s.unplacePlanned(machine)
	}
}

// MarkHeartbeatOverdue notes that a machine should have reported and has not. Tasks that are only
// planned there are placed elsewhere, and nothing is planned there until it reports: otherwise they
// would wait for as long as the lease, 28 s, while other machines have free capacity.
func (s *State) MarkHeartbeatOverdue(machine *Machine) {
	s.setFlag(machine, &entity.MutableFlags(machine).HeartbeatOverdue, true)
	s.unplacePlanned(machine)
}

// unplacePlanned removes the tasks that are on a machine by plan only.
func (s *State) unplacePlanned(machine *Machine) {
	for assignment := range machine.Assignments() {
		if assignment.Status().IsPlanned() {
			s.Unplace(assignment)
		}
	}
}

// BeginHeartbeat notes a heartbeat under the present fencing token, before the tasks that it lists
// are processed. It reports whether the machine counted as lost until now.
func (s *State) BeginHeartbeat(machine *Machine, at time.Time) (wasLost bool) {
	flags, times := entity.MutableFlags(machine), entity.MutableTimes(machine)
	wasLost = flags.Lost
	if flags.Lost || !flags.Reported {
		// The machine was empty because it was unreachable, not for lack of work. If the idle time
		// of the outage counted, it would be scaled in before its tasks could be placed again.
		times.IdleSince = time.Time{}
	}
	times.LastHeartbeatAt = at
	flags.ProbeUnanswered, flags.Lost = false, false
	s.setFlag(machine, &flags.HeartbeatOverdue, false)
	return wasLost
}

// EndHeartbeat notes that all tasks that a heartbeat lists were processed, and reports whether it is
// the machine's first one under the present fencing token. empty is whether it listed no task;
// unchanged is whether it said nothing new, as most do: then the machine is not marked as changed,
// unless it is the first.
func (s *State) EndHeartbeat(machine *Machine, empty, unchanged bool) (first bool) {
	flags := entity.MutableFlags(machine)
	first = !flags.Reported
	flags.Reported, flags.ReportedEmpty = true, empty
	if first || !unchanged {
		s.markChanged(machine)
	}
	return first
}

// MarkProbeUnanswered notes that a machine did not answer a probe, unless it has reported meanwhile.
func (s *State) MarkProbeUnanswered(machine *Machine) {
	entity.MutableFlags(machine).ProbeUnanswered = !machine.HasReported()
}

// AssumeLost notes that a machine did not report in time after its shard was acquired.
func (s *State) AssumeLost(machine *Machine, now time.Time) {
	entity.MutableFlags(machine).Lost, entity.MutableTimes(machine).LostAt = true, now
}

// MarkLost notes that the tasks of a machine have certainly stopped, and unplaces all of them.
func (s *State) MarkLost(machine *Machine) {
	// Whether a machine of another controller's shard was released is not known here.
	if !machine.IsLost() && !machine.IsReleasing() && s.OwnedShard(machine) != nil {
		s.recordMachineFailure(time.Now())
	}
	for assignment := range machine.Assignments() {
		s.Unplace(assignment)
	}
	s.AssumeLost(machine, time.Now())
	s.markChanged(machine)
}

func (s *State) recordMachineFailure(at time.Time) {
	s.failureTimes = append(s.failureTimes, at)
	if len(s.failureTimes) > tuning.MaxRecordedMachineFailures {
		s.failureTimes = s.failureTimes[1:]
	}
}

// RecentMachineFailures returns how many machines were lately lost without being released.
func (s *State) RecentMachineFailures(now time.Time) int {
	count := 0
	for _, at := range s.failureTimes {
		if now.Sub(at) < tuning.MachineFailureWindow {
			count++
		}
	}
	return count
}
