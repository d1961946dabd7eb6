package clusterstate

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// Machine is a worker as this controller knows it. What it runs is known only for
// workers of the shares held here.
type Machine struct {
	host           string
	record         workerapi.Record
	revision       uint64
	flags          machineFlags
	times          machineTimes
	assignments    map[string]*Assignment
	images         map[string]bool
	usage          usage
	recountPending bool // among those whose counts have changed
	usageStale     bool // sums are to be made again before they are used
}

// machineFlags is what this controller knows of a machine's condition.
type machineFlags struct {
	reported         bool
	lost             bool
	preempted        bool
	releasing        bool
	released         bool
	surplus          bool
	cordoned         bool
	suspected        bool
	reportedEmpty    bool
	moving           bool
	noInbound        bool
	probeUnanswered  bool
	heartbeatOverdue bool
}

// machineTimes are the moments at which a machine's condition last changed.
type machineTimes struct {
	joinedShardAt      time.Time
	lastHeartbeatAt    time.Time
	lostAt             time.Time
	noInboundChangedAt time.Time
	idleSince          time.Time
}

// usage are what the slots of a machine add up to. Decisions ask for them far more often
// than slots change.
type usage struct {
	free capacity.Resources // free once all that is told to stop has stopped
	// freeBelow is room and what work below a priority takes besides; arrays is the
	// same for tasks that are stopped one by one.
	freeBelow, freeBelowWithoutGangs [jobs.PriorityCount]capacity.Resources
	pendingCommands                  int // slots with a start or stop that was not ordered yet
	serviceReplicas                  int
	ordinaryTasks                    int // tasks, stopping ones too, that had to go to an ordinary machine: no array that may use cheap ones
	foregroundTasks                  int // tasks that are a reason to keep the machine: no background work
}

// Assignment is a task's place on a machine, from the plan until it is gone.
type Assignment struct {
	machine     *Machine
	name        string
	taskRange   *TaskRange // nil: no task of ours; only to be stopped
	index       int
	attempt     uint64
	need        capacity.Resources
	checkpointS float64
	status      AssignmentStatus
	// preemptedFor is the claim for which it will be stopped once that is durable, see Displace.
	preemptedFor *TaskRange
}

// AssignmentStatus is how far a task on a machine is.
type AssignmentStatus struct {
	StartSent    bool      // a launch was ordered
	Reported     bool      // the worker has reported it
	WorkerStatus string    // what it last said
	RunningSince time.Time // running since, as far as known
	Stopping     bool      // to be stopped
	GraceS       float64   // seconds for that
	StopSent     bool      // a halt was ordered
}

// IsPlanned tells whether the task is on the machine by plan only.
func (c AssignmentStatus) IsPlanned() bool { return !c.StartSent && !c.Reported }

// HasStarted tells whether the worker was seen to have the task's image.
func (c AssignmentStatus) HasStarted() bool {
	return c.Reported && c.WorkerStatus != workerapi.StatusPulling
}

// Host is the machine's name.
func (m *Machine) Host() string { return m.host }

// Record is what is recorded of it, for reading.
func (m *Machine) Record() *workerapi.Record { return &m.record }

// Revision is the record's.
func (m *Machine) Revision() uint64 { return m.revision }

// HasReported reports whether a heartbeat has arrived under the present fencing token.
func (m *Machine) HasReported() bool { return m.flags.reported }

// IsLost reports whether the worker's lease has expired, or it did not report in time after its
// shard was acquired. What it ran is no longer running.
func (m *Machine) IsLost() bool { return m.flags.lost }

// IsPreempted reports whether the cloud has given notice that it takes the machine back.
func (m *Machine) IsPreempted() bool { return m.flags.preempted }

// IsReleasing reports whether a request to release the machine is under way.
func (m *Machine) IsReleasing() bool { return m.flags.releasing }

// IsReleased reports whether the cloud has confirmed the release.
func (m *Machine) IsReleased() bool { return m.flags.released }

// IsSurplus reports whether an ordinary machine is to be emptied and released.
func (m *Machine) IsSurplus() bool { return m.flags.surplus }

// IsCordoned reports whether the machine takes no more tasks: every task fails on it, or an
// operator drains it.
func (m *Machine) IsCordoned() bool { return m.flags.cordoned }

// IsSuspected reports whether several jobs failed on the machine and it is left alone until it is
// known whether they work elsewhere (see faultattribution.Attributor).
func (m *Machine) IsSuspected() bool { return m.flags.suspected }

// ReportedEmpty reports whether the last heartbeat listed no task, not even an exited one.
func (m *Machine) ReportedEmpty() bool { return m.flags.reportedEmpty }

// IsMoving reports whether a write that assigns the machine to another shard is under way.
func (m *Machine) IsMoving() bool { return m.flags.moving }

// HasNoInbound reports whether the machine's heartbeats arrive while responses and commands to it
// are lost.
func (m *Machine) HasNoInbound() bool { return m.flags.noInbound }

// ProbeUnanswered reports whether the machine did not answer a probe and has not reported since.
func (m *Machine) ProbeUnanswered() bool { return m.flags.probeUnanswered }

// HeartbeatOverdue reports whether a heartbeat should have arrived by now and has not.
func (m *Machine) HeartbeatOverdue() bool { return m.flags.heartbeatOverdue }

// JoinedShardAt is when the machine became known in its present shard.
func (m *Machine) JoinedShardAt() time.Time { return m.times.joinedShardAt }

// LastHeartbeatAt is when the last heartbeat was received, zero if none was.
func (m *Machine) LastHeartbeatAt() time.Time { return m.times.lastHeartbeatAt }

// LostAt is when the machine was found to be lost.
func (m *Machine) LostAt() time.Time { return m.times.lostAt }

// NoInboundChangedAt is when HasNoInbound last changed.
func (m *Machine) NoInboundChangedAt() time.Time { return m.times.noInboundChangedAt }

// IdleSince is since when nothing but best-effort work has used the machine; zero if something else does.
func (m *Machine) IdleSince() time.Time { return m.times.idleSince }

// EnrolledFor is for how long it has been enrolled.
func (m *Machine) EnrolledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.record.RegisteredAtMS) * time.Millisecond
}

// HasImage tells whether a task's image was seen on it in this session.
func (m *Machine) HasImage(image string) bool { return m.images[image] }

// AssignmentCount is the number of its slots.
func (m *Machine) AssignmentCount() int { return len(m.assignments) }

// Assignments are the places taken on it, in no order. Slots may be given up on the way.
func (m *Machine) Assignments() iter.Seq[*Assignment] { return maps.Values(m.assignments) }

// Assignment is the place of a task by its name, nil if it has none here.
func (m *Machine) Assignment(task string) *Assignment { return m.assignments[task] }

// Group is what the counts know it by.
func (m *Machine) Group() capacity.Group {
	return capacity.Group{Zone: m.record.Zone, MachineType: m.record.MachineType, Spot: m.record.Spot, Surplus: m.flags.surplus}
}

// Machine is where the slot is.
func (s *Assignment) Machine() *Machine { return s.machine }

// Name is the task's.
func (s *Assignment) Name() string { return s.name }

// Job is that of the task; nil if it is none of ours and only to be stopped.
func (s *Assignment) Job() *Job {
	if s.taskRange == nil {
		return nil
	}
	return s.taskRange.job
}

// IsTentative tells whether the task's claim is not durable yet.
func (s *Assignment) IsTentative() bool { return s.taskRange != nil && s.taskRange.tentative }

// Attempt is the task's attempt.
func (s *Assignment) Attempt() uint64 { return s.attempt }

// Need is what the task takes.
func (s *Assignment) Need() capacity.Resources { return s.need }

// Status is how far the task is.
func (s *Assignment) Status() AssignmentStatus { return s.status }

// IsLeaving tells whether the task is to be stopped, or will be once the claim is durable that takes its
// place.
func (s *Assignment) IsLeaving() bool { return s.status.Stopping || s.preemptedFor != nil }

// stopsImmediately tells whether a halt ends the task without saving.
func (s *Assignment) stopsImmediately() bool {
	return s.status.WorkerStatus != workerapi.StatusCheckpointing && (s.status.GraceS == 0 || s.checkpointS == 0 || s.status.WorkerStatus != workerapi.StatusRunning)
}

func (b *State) usageOf(m *Machine) *usage {
	if !m.usageStale {
		return &m.usage
	}
	m.usageStale = false
	var t usage
	t.free, _ = b.Total(m)
	for _, s := range m.assignments {
		if s.status.Stopping && s.status.StartSent && !s.status.StopSent || !s.status.StartSent && !s.status.Stopping {
			t.pendingCommands++
		}
		if s.taskRange != nil && (s.taskRange.job.record.Kind != jobs.Array || !s.taskRange.job.record.Spot) {
			t.ordinaryTasks++
		}
		if s.IsLeaving() {
			continue
		}
		t.free = t.free.Sub(s.need)
		if s.taskRange == nil {
			continue
		}
		rec := &s.taskRange.job.record
		if !s.taskRange.job.background {
			t.foregroundTasks++
		}
		if rec.Kind == jobs.Service {
			t.serviceReplicas++
		}
		for p := s.taskRange.job.priority + 1; p < jobs.PriorityCount; p++ {
			t.freeBelow[p] = t.freeBelow[p].Add(s.need)
			if rec.Kind != jobs.Gang {
				t.freeBelowWithoutGangs[p] = t.freeBelowWithoutGangs[p].Add(s.need)
			}
		}
	}
	for p := range t.freeBelow {
		t.freeBelow[p], t.freeBelowWithoutGangs[p] = t.freeBelow[p].Add(t.free), t.freeBelowWithoutGangs[p].Add(t.free)
	}
	m.usage = t
	return &m.usage
}

// Free is what is free once all that is told to stop has stopped.
func (b *State) Free(m *Machine) capacity.Resources { return b.usageOf(m).free }

// FreeBelow is Room and what tasks below a priority take that are stopped one by one.
func (b *State) FreeBelow(m *Machine, p jobs.Priority) capacity.Resources {
	return b.usageOf(m).freeBelowWithoutGangs[p]
}

// OrdinaryTasks is how many tasks, stopping ones too, had to go to an ordinary machine.
func (b *State) OrdinaryTasks(m *Machine) int { return b.usageOf(m).ordinaryTasks }

// ServiceReplicas is how many replicas of services are on a machine.
func (b *State) ServiceReplicas(m *Machine) int { return b.usageOf(m).serviceReplicas }

// PendingCommands is how many starts and stops were not ordered yet.
func (b *State) PendingCommands(m *Machine) int { return b.usageOf(m).pendingCommands }

// FreeNow is what is free when the orders of this answer are executed: tasks that save
// before they exit still take their place.
func (b *State) FreeNow(m *Machine) capacity.Resources {
	v, _ := b.Total(m)
	for _, s := range m.assignments {
		if (s.status.StartSent || s.status.Reported) && !(s.status.Stopping && s.stopsImmediately()) {
			v = v.Sub(s.need)
		}
	}
	return v
}

// RunsOnlyBestEffort tells whether a machine is used for nothing but work that is no reason to
// keep it.
func (m *Machine) RunsOnlyBestEffort() bool {
	if len(m.assignments) == 0 {
		return true
	}
	if m.record.Spot || !m.usageStale && m.usage.foregroundTasks > 0 {
		return false
	}
	for _, s := range m.assignments {
		if s.taskRange == nil || !s.taskRange.job.bestEffort {
			return false
		}
	}
	return true
}

// markChanged notes that the machine's part of the counts has changed. It is made up for
// when the counts are asked for: see Counts.
func (b *State) markChanged(m *Machine) {
	m.usageStale = true
	if !m.recountPending {
		m.recountPending = true
		b.changedMachines = append(b.changedMachines, m)
	}
	if !m.RunsOnlyBestEffort() {
		m.times.idleSince = time.Time{}
	} else if m.times.idleSince.IsZero() {
		m.times.idleSince = time.Now()
	}
	b.dirty = true
	b.changeCount++
}

// RecountAllMachines does so for all machines: types or settings have changed.
func (b *State) RecountAllMachines() {
	b.dirty = true
	for _, m := range b.machines {
		b.markChanged(m)
	}
}

// setFlag changes one of the things that decide whether a machine is used, and counts it
// anew if that is new.
func (b *State) setFlag(m *Machine, which *bool, to bool) {
	if *which != to {
		*which = to
		b.markChanged(m)
	}
}

// Drain has a machine get no more tasks.
func (b *State) Drain(m *Machine) { b.setFlag(m, &m.flags.cordoned, true) }

// SetSuspected notes whether several jobs failed on a machine.
func (b *State) SetSuspected(m *Machine, doubted bool) { b.setFlag(m, &m.flags.suspected, doubted) }

// SetSurplus notes whether an ordinary machine is wanted empty.
func (b *State) SetSurplus(m *Machine, surplus bool) { b.setFlag(m, &m.flags.surplus, surplus) }

// SetMoving notes that a machine is being given to another share, or no longer.
func (b *State) SetMoving(m *Machine, moving bool) { b.setFlag(m, &m.flags.moving, moving) }

// SetReleasing notes that a machine is being returned, or no longer.
func (b *State) SetReleasing(m *Machine, releasing bool) { b.setFlag(m, &m.flags.releasing, releasing) }

// MarkPreempted notes that the cloud takes a machine back.
func (b *State) MarkPreempted(m *Machine) { m.flags.preempted = true }

// MarkReleased notes that the cloud has taken a machine back: its tasks are gone.
func (b *State) MarkReleased(m *Machine) {
	m.flags.released = true
	b.machineCounts = nil
	b.MarkLost(m)
}

// RecordContact notes a report that counts for nothing but that the machine is there. One that is
// taken for gone stays so: the report may be a late copy.
func (b *State) RecordContact(m *Machine, at time.Time) {
	if !m.flags.lost {
		m.times.lastHeartbeatAt = at
	}
}

// SetNoInbound notes that what is said to a machine does not arrive, or arrives again. What was
// planned there, or ordered and never seen, goes elsewhere: orders are not executed late.
func (b *State) SetNoInbound(m *Machine, deaf bool, now time.Time) {
	if m.flags.noInbound == deaf {
		return
	}
	m.times.noInboundChangedAt = now
	b.setFlag(m, &m.flags.noInbound, deaf)
	for _, s := range m.assignments {
		if deaf && s.status.IsPlanned() {
			b.Unplace(s)
		}
	}
}

// MarkHeartbeatOverdue notes that a machine should have reported and has not. What was only planned there goes
// elsewhere, and nothing more is planned there until it is heard: tasks waited there for as long as
// its lease, 28 s, while others had room.
func (b *State) MarkHeartbeatOverdue(m *Machine) {
	b.setFlag(m, &m.flags.heartbeatOverdue, true)
	for _, s := range m.assignments {
		if s.status.IsPlanned() {
			b.Unplace(s)
		}
	}
}

// BeginHeartbeat notes a report under the present token, before what it lists is taken in; it
// tells whether the machine was taken for gone until now.
func (b *State) BeginHeartbeat(m *Machine, at time.Time) (wasGone bool) {
	wasGone = m.flags.lost
	if m.flags.lost || !m.flags.reported {
		// It was empty because nobody reached it, not for want of work: with the idle
		// time of a silence it was returned before its tasks could be placed again.
		m.times.idleSince = time.Time{}
	}
	m.times.lastHeartbeatAt, m.flags.probeUnanswered, m.flags.lost = at, false, false
	b.setFlag(m, &m.flags.heartbeatOverdue, false)
	return wasGone
}

// EndHeartbeat notes that all that a report lists was taken in; first is whether it is the
// first under this token. Most reports say nothing new, and no decision follows from
// them: then quiet is true.
func (b *State) EndHeartbeat(m *Machine, empty, quiet bool) (first bool) {
	first, m.flags.reported, m.flags.reportedEmpty = !m.flags.reported, true, empty
	if first || !quiet {
		b.markChanged(m)
	}
	return first
}

// MarkProbeUnanswered notes that a machine did not answer the greeting.
func (b *State) MarkProbeUnanswered(m *Machine) { m.flags.probeUnanswered = !m.flags.reported }

// ResetImages notes that a worker began anew: it has no images.
func (m *Machine) ResetImages() { m.images = map[string]bool{} }

// AssumeLost notes that a machine of which nothing was heard in time is gone.
func (b *State) AssumeLost(m *Machine, now time.Time) { m.flags.lost, m.times.lostAt = true, now }

// MarkLost takes all tasks off a machine that is provably gone.
func (b *State) MarkLost(m *Machine) {
	// Of other holders' machines it is not known whether they were returned.
	if !m.flags.lost && !m.flags.releasing && b.OwnedShard(m) != nil {
		b.failureTimes = append(b.failureTimes, time.Now())
		if len(b.failureTimes) > tuning.MaxRecordedMachineFailures {
			b.failureTimes = b.failureTimes[1:]
		}
	}
	for _, s := range m.assignments {
		b.Unplace(s)
	}
	m.flags.lost, m.times.lostAt = true, time.Now()
	b.markChanged(m)
}
