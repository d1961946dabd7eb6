package clusterstate

import (
	"time"

	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/tuning"
)

// setFlag sets a flag that affects whether a machine is used. If the flag's value changes, the machine
// is marked as changed.
func (s *State) setFlag(machine *Machine, flag *bool, value bool) {
	if *flag != value {
		*flag = value
		s.markMachineChanged(machine)
	}
}

// Cordon prevents further tasks from being placed on a machine. Tasks that already run there continue.
func (s *State) Cordon(machine *Machine) {
	s.setFlag(machine, &entity.MutableFlags(machine).Cordoned, true)
}

// SetSuspected sets whether a machine is suspected because several jobs failed on it.
func (s *State) SetSuspected(machine *Machine, suspected bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Suspected, suspected)
}

// SetSurplus sets whether an on-demand machine is to be drained and released.
func (s *State) SetSurplus(machine *Machine, surplus bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Surplus, surplus)
}

// SetMoving sets whether a write that assigns a machine to another shard is in flight.
func (s *State) SetMoving(machine *Machine, moving bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Moving, moving)
}

// SetReleasing sets whether a request to release a machine is under way.
func (s *State) SetReleasing(machine *Machine, releasing bool) {
	s.setFlag(machine, &entity.MutableFlags(machine).Releasing, releasing)
}

// MarkPreempted marks a machine as preempted: the cloud has given notice that it takes the machine
// back.
func (s *State) MarkPreempted(machine *Machine) { entity.MutableFlags(machine).Preempted = true }

// MarkReleased marks a machine as released after the cloud has confirmed the release, and unplaces its
// tasks, which have stopped with the machine.
func (s *State) MarkReleased(machine *Machine) {
	entity.MutableFlags(machine).Released = true
	s.machineCounts = nil
	s.MarkLost(machine)
}

// RecordContact records the time of a heartbeat whose content is not used. It does nothing for a lost
// machine, which stays lost, since the heartbeat may be a delayed duplicate.
func (s *State) RecordContact(machine *Machine, at time.Time) {
	if !machine.IsLost() {
		entity.MutableTimes(machine).LastHeartbeatAt = at
	}
}

// SetNoInbound sets whether responses and commands to a machine are lost. If they are, tasks that are
// only planned there are unplaced, so that they are placed elsewhere and the machine is sent no start
// command that it could execute late.
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

// MarkHeartbeatOverdue marks a machine that should have reported and has not. Tasks that are only
// planned there are unplaced, so that they are placed elsewhere, and no tasks are planned there until
// the machine reports. Otherwise these tasks would wait 28 s, until the lease expires, while other
// machines have free capacity.
func (s *State) MarkHeartbeatOverdue(machine *Machine) {
	s.setFlag(machine, &entity.MutableFlags(machine).HeartbeatOverdue, true)
	s.unplacePlanned(machine)
}

// unplacePlanned unplaces the tasks that are only planned on a machine.
func (s *State) unplacePlanned(machine *Machine) {
	for assignment := range machine.Assignments() {
		if assignment.Status().IsPlanned() {
			s.Unplace(assignment)
		}
	}
}

// BeginHeartbeat records a heartbeat under the current fencing token, before the tasks that it lists
// are processed. It reports whether the machine was considered lost until now.
func (s *State) BeginHeartbeat(machine *Machine, at time.Time) (wasLost bool) {
	flags, times := entity.MutableFlags(machine), entity.MutableTimes(machine)
	wasLost = flags.Lost
	if flags.Lost || !flags.Reported {
		// The machine was empty because it was unreachable, not because there was no work. If the
		// idle time during the outage counted, the machine would be scaled in before tasks could be
		// placed on it again.
		times.IdleSince = time.Time{}
	}
	times.LastHeartbeatAt = at
	flags.ProbeUnanswered, flags.Lost = false, false
	s.setFlag(machine, &flags.HeartbeatOverdue, false)
	return wasLost
}

// EndHeartbeat records that all tasks listed by a heartbeat were processed, and reports whether the
// heartbeat is the machine's first under the current fencing token. isEmpty tells whether the heartbeat
// listed no tasks. isUnchanged tells whether the heartbeat contained nothing new, which is the usual
// case; the machine is then marked as changed only if the heartbeat is the first.
func (s *State) EndHeartbeat(machine *Machine, isEmpty, isUnchanged bool) (isFirst bool) {
	flags := entity.MutableFlags(machine)
	isFirst = !flags.Reported
	flags.Reported, flags.ReportedEmpty = true, isEmpty
	if isFirst || !isUnchanged {
		s.markMachineChanged(machine)
	}
	return isFirst
}

// MarkProbeUnanswered marks a machine that did not answer a probe, unless the machine has sent a
// heartbeat under the current fencing token.
func (s *State) MarkProbeUnanswered(machine *Machine) {
	entity.MutableFlags(machine).ProbeUnanswered = !machine.HasReported()
}

// AssumeLost marks a machine as lost because it did not report in time after its shard was acquired.
func (s *State) AssumeLost(machine *Machine, now time.Time) {
	entity.MutableFlags(machine).Lost, entity.MutableTimes(machine).LostAt = true, now
}

// MarkLost marks a machine as lost and unplaces all its tasks. The tasks must certainly have stopped.
func (s *State) MarkLost(machine *Machine) {
	// A machine of another controller's shard is not counted: this controller does not know whether
	// it was released.
	if !machine.IsLost() && !machine.IsReleasing() && s.OwnedShard(machine) != nil {
		s.recordMachineFailure(time.Now())
	}
	for assignment := range machine.Assignments() {
		s.Unplace(assignment)
	}
	s.AssumeLost(machine, time.Now())
	s.markMachineChanged(machine)
}

// recordMachineFailure adds a time to the list of recent machine failures, whose length is limited.
func (s *State) recordMachineFailure(at time.Time) {
	s.failureTimes = append(s.failureTimes, at)
	if len(s.failureTimes) > tuning.MaxRecordedMachineFailures {
		s.failureTimes = s.failureTimes[1:]
	}
}

// RecentMachineFailureCount returns how many machines were lost without being released within
// tuning.MachineFailureWindow before now.
func (s *State) RecentMachineFailureCount(now time.Time) int {
	count := 0
	for _, at := range s.failureTimes {
		if now.Sub(at) < tuning.MachineFailureWindow {
			count++
		}
	}
	return count
}
