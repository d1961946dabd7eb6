package entity

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/workerapi"
)

// Machine is a worker as this controller knows it. What it runs is known only for machines of
// shards that this controller owns.
type Machine struct {
	host     string
	record   workerapi.Record
	revision uint64
	flags    MachineFlags
	times    MachineTimes

	assignments map[string]*Assignment // by the task's name
	images      map[string]bool

	usage          Usage
	usageStale     bool // usage is to be computed again before it is used
	recountPending bool // the machine is on the list of those to be counted again
}

// MachineFlags is what this controller knows of a machine's condition; see the methods of
// Machine for each.
type MachineFlags struct {
	Reported         bool
	Lost             bool
	Preempted        bool
	Releasing        bool
	Released         bool
	Surplus          bool
	Cordoned         bool
	Suspected        bool
	ReportedEmpty    bool
	Moving           bool
	NoInbound        bool
	ProbeUnanswered  bool
	HeartbeatOverdue bool
}

// acceptsTasks reports whether nothing in the machine's condition forbids to start tasks on it.
func (f MachineFlags) acceptsTasks() bool {
	isReachable := f.Reported && !f.Lost && !f.NoInbound && !f.HeartbeatOverdue
	isLeaving := f.Preempted || f.Releasing || f.Moving
	return isReachable && !isLeaving && !f.Cordoned && !f.Suspected
}

// MachineTimes are the moments at which a machine's condition last changed.
type MachineTimes struct {
	JoinedShardAt      time.Time
	LastHeartbeatAt    time.Time
	LostAt             time.Time
	NoInboundChangedAt time.Time
	IdleSince          time.Time
}

// NewMachine returns a machine of which nothing but the name is known.
func NewMachine(host string) *Machine {
	return &Machine{host: host, assignments: map[string]*Assignment{}, images: map[string]bool{}}
}

// Host returns the machine's name.
func (m *Machine) Host() string { return m.host }

// Record returns the machine's record, for reading only.
func (m *Machine) Record() *workerapi.Record { return &m.record }

// Revision returns the revision of the machine's record in the key-value store.
func (m *Machine) Revision() uint64 { return m.revision }

// HasReported reports whether a heartbeat has arrived under the present fencing token.
func (m *Machine) HasReported() bool { return m.flags.Reported }

// IsLost reports whether the worker's lease has expired, or it did not report in time after its
// shard was acquired. What it ran is no longer running.
func (m *Machine) IsLost() bool { return m.flags.Lost }

// IsPreempted reports whether the cloud has given notice that it takes the machine back.
func (m *Machine) IsPreempted() bool { return m.flags.Preempted }

// IsReleasing reports whether a request to release the machine is under way.
func (m *Machine) IsReleasing() bool { return m.flags.Releasing }

// IsReleased reports whether the cloud has confirmed the release.
func (m *Machine) IsReleased() bool { return m.flags.Released }

// IsSurplus reports whether an ordinary machine is to be drained and released.
func (m *Machine) IsSurplus() bool { return m.flags.Surplus }

// IsCordoned reports whether the machine takes no more tasks: every task fails on it, or an
// operator drains it.
func (m *Machine) IsCordoned() bool { return m.flags.Cordoned }

// IsSuspected reports whether several jobs failed on the machine, which therefore gets no tasks for
// a while, until it is known whether the jobs work elsewhere (see faultattribution.Attributor).
func (m *Machine) IsSuspected() bool { return m.flags.Suspected }

// ReportedEmpty reports whether the last heartbeat listed no task, not even an exited one.
func (m *Machine) ReportedEmpty() bool { return m.flags.ReportedEmpty }

// IsMoving reports whether a write that assigns the machine to another shard is in flight.
func (m *Machine) IsMoving() bool { return m.flags.Moving }

// HasNoInbound reports whether the machine's heartbeats arrive while responses and commands to it
// are lost.
func (m *Machine) HasNoInbound() bool { return m.flags.NoInbound }

// ProbeUnanswered reports whether the machine did not answer a probe and has not reported since.
func (m *Machine) ProbeUnanswered() bool { return m.flags.ProbeUnanswered }

// HeartbeatOverdue reports whether a heartbeat should have arrived by now and has not.
func (m *Machine) HeartbeatOverdue() bool { return m.flags.HeartbeatOverdue }

// AcceptsTasks reports whether nothing in the machine's condition forbids to start tasks on it. Its
// shard may still be owned by another controller.
func (m *Machine) AcceptsTasks() bool { return m.flags.acceptsTasks() }

// JoinedShardAt returns when the machine became known in its present shard.
func (m *Machine) JoinedShardAt() time.Time { return m.times.JoinedShardAt }

// LastHeartbeatAt returns when the last heartbeat was received, zero if none was.
func (m *Machine) LastHeartbeatAt() time.Time { return m.times.LastHeartbeatAt }

// LostAt returns when the machine was found to be lost.
func (m *Machine) LostAt() time.Time { return m.times.LostAt }

// NoInboundChangedAt returns when HasNoInbound last changed.
func (m *Machine) NoInboundChangedAt() time.Time { return m.times.NoInboundChangedAt }

// IdleSince returns since when nothing but best-effort work has used the machine; zero if
// something else does.
func (m *Machine) IdleSince() time.Time { return m.times.IdleSince }

// EnrolledFor returns the time since the machine was registered.
func (m *Machine) EnrolledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.record.RegisteredAtMS) * time.Millisecond
}

// HasImage reports whether a task with an image was seen on the machine in this agent session.
func (m *Machine) HasImage(image string) bool { return m.images[image] }

// AssignmentCount returns the number of the machine's assignments.
func (m *Machine) AssignmentCount() int { return len(m.assignments) }

// Assignments yields the machine's assignments, in no order. They may be removed meanwhile.
func (m *Machine) Assignments() iter.Seq[*Assignment] { return maps.Values(m.assignments) }

// Assignment returns the assignment of a task by its name, nil if there is none.
func (m *Machine) Assignment(task string) *Assignment { return m.assignments[task] }

// Group returns the group by which the machine's free capacity is counted.
func (m *Machine) Group() capacity.Group {
	group := m.PoolGroup()
	group.Surplus = m.flags.Surplus
	return group
}

// PoolGroup returns the group by which machines are counted whether surplus or not.
func (m *Machine) PoolGroup() capacity.Group {
	return capacity.Group{Zone: m.record.Zone, MachineType: m.record.MachineType, Spot: m.record.Spot}
}

// RunsOnlyBestEffort reports whether the machine is empty, or all that it runs is best-effort work,
// which is no reason to keep it. For a spot machine any work is one.
func (m *Machine) RunsOnlyBestEffort() bool {
	if len(m.assignments) == 0 {
		return true
	}
	if m.record.Spot {
		return false
	}
	hasForegroundTasks := !m.usageStale && m.usage.ForegroundTasks > 0
	if hasForegroundTasks { // the loop would find the same, at a higher cost
		return false
	}
	for _, a := range m.assignments {
		if job := a.Job(); job == nil || !job.bestEffort {
			return false
		}
	}
	return true
}

// ResetImages notes that the agent's session is new: the machine has no images.
func (m *Machine) ResetImages() { m.images = map[string]bool{} }

// MutableFlags returns a machine's flags, to be changed.
func MutableFlags(m *Machine) *MachineFlags { return &m.flags }

// MutableTimes returns a machine's times, to be changed.
func MutableTimes(m *Machine) *MachineTimes { return &m.times }

// SetMachineRecord sets a machine's record.
func SetMachineRecord(m *Machine, record workerapi.Record, revision uint64) {
	m.record, m.revision = record, revision
}

// AddAssignment adds an assignment to its machine.
func AddAssignment(a *Assignment) { a.machine.assignments[a.name] = a }

// RemoveAssignment removes an assignment from its machine, unless the machine has another one for
// the task by now.
func RemoveAssignment(a *Assignment) {
	if IsOnMachine(a) {
		delete(a.machine.assignments, a.name)
	}
}

// IsOnMachine reports whether an assignment is the one that its machine has for the task.
func IsOnMachine(a *Assignment) bool { return a.machine.assignments[a.name] == a }

// ClearAssignments removes all assignments of a machine.
func ClearAssignments(m *Machine) { m.assignments = map[string]*Assignment{} }

// AddImage notes that a task with an image was seen on a machine.
func AddImage(m *Machine, image string) { m.images[image] = true }

// UpdateIdleSince updates Machine.IdleSince after a change of the work on a machine.
func UpdateIdleSince(m *Machine) {
	if !m.RunsOnlyBestEffort() {
		m.times.IdleSince = time.Time{}
	} else if m.times.IdleSince.IsZero() {
		m.times.IdleSince = time.Now()
	}
}

// BeginRecount notes that a machine is on the list of those to be counted again, and reports whether
// it was not on it before.
func BeginRecount(m *Machine) bool {
	if m.recountPending {
		return false
	}
	m.recountPending = true
	return true
}

// EndRecount notes that a machine was taken off that list.
func EndRecount(m *Machine) { m.recountPending = false }
