package entity

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/workerapi"
)

// Machine is this controller's view of a worker. The tasks that it runs are known only for machines
// of shards that this controller owns.
type Machine struct {
	host     string
	record   workerapi.Record
	revision uint64
	flags    MachineFlags
	times    MachineTimes

	assignments map[string]*Assignment // by the task's name
	images      map[string]bool

	usage          Usage
	usageStale     bool // usage has to be computed again before it is used
	recountPending bool // the machine is on the list of machines whose free capacity is to be counted again
}

// MachineFlags describes a machine's condition as known to this controller. The methods of Machine
// document each flag.
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

// acceptsTasks reports whether the machine's condition allows starting tasks on it.
func (f MachineFlags) acceptsTasks() bool {
	isReachable := f.Reported && !f.Lost && !f.NoInbound && !f.HeartbeatOverdue
	isLeaving := f.Preempted || f.Releasing || f.Moving
	return isReachable && !isLeaving && !f.Cordoned && !f.Suspected
}

// MachineTimes holds the times of the latest events that concern a machine's condition. The methods of
// Machine document each time.
type MachineTimes struct {
	JoinedShardAt      time.Time
	LastHeartbeatAt    time.Time
	LostAt             time.Time
	NoInboundChangedAt time.Time
	IdleSince          time.Time
}

// NewMachine returns a machine with a name but without a record.
func NewMachine(host string) *Machine {
	return &Machine{host: host, assignments: map[string]*Assignment{}, images: map[string]bool{}}
}

// Host returns the machine's name.
func (m *Machine) Host() string { return m.host }

// Record returns the machine's record, for reading only.
func (m *Machine) Record() *workerapi.Record { return &m.record }

// Revision returns the revision of the machine's record in the key-value store.
func (m *Machine) Revision() uint64 { return m.revision }

// HasReported reports whether a heartbeat has arrived under the current fencing token.
func (m *Machine) HasReported() bool { return m.flags.Reported }

// IsLost reports whether the worker's lease has expired, or the worker did not report in time after
// its shard was acquired. Its tasks are no longer running.
func (m *Machine) IsLost() bool { return m.flags.Lost }

// IsPreempted reports whether the cloud has given notice that it takes the machine back.
func (m *Machine) IsPreempted() bool { return m.flags.Preempted }

// IsReleasing reports whether a request to release the machine is under way.
func (m *Machine) IsReleasing() bool { return m.flags.Releasing }

// IsReleased reports whether the cloud has confirmed the release.
func (m *Machine) IsReleased() bool { return m.flags.Released }

// IsSurplus reports whether the machine, an on-demand one, is to be drained and released.
func (m *Machine) IsSurplus() bool { return m.flags.Surplus }

// IsCordoned reports whether no more tasks may be placed on the machine, since every task fails on it
// or an operator drains it.
func (m *Machine) IsCordoned() bool { return m.flags.Cordoned }

// IsSuspected reports whether several jobs failed on the machine. A suspected machine gets no tasks
// until it is known whether these jobs succeed on other machines (see faultattribution.Attributor).
func (m *Machine) IsSuspected() bool { return m.flags.Suspected }

// ReportedEmpty reports whether the last heartbeat listed no task, not even an exited one.
func (m *Machine) ReportedEmpty() bool { return m.flags.ReportedEmpty }

// IsMoving reports whether a write that assigns the machine to another shard is in flight.
func (m *Machine) IsMoving() bool { return m.flags.Moving }

// HasNoInbound reports whether the machine's heartbeats arrive while responses and commands to it
// are lost.
func (m *Machine) HasNoInbound() bool { return m.flags.NoInbound }

// ProbeUnanswered reports whether the machine did not answer a probe and has sent no heartbeat since.
func (m *Machine) ProbeUnanswered() bool { return m.flags.ProbeUnanswered }

// HeartbeatOverdue reports whether a heartbeat should have arrived by now and has not.
func (m *Machine) HeartbeatOverdue() bool { return m.flags.HeartbeatOverdue }

// AcceptsTasks reports whether the machine's condition allows starting tasks on it. It does not check
// whether this controller owns the machine's shard.
func (m *Machine) AcceptsTasks() bool { return m.flags.acceptsTasks() }

// JoinedShardAt returns when the machine became known in its current shard.
func (m *Machine) JoinedShardAt() time.Time { return m.times.JoinedShardAt }

// LastHeartbeatAt returns when the last heartbeat was received, or zero if none was.
func (m *Machine) LastHeartbeatAt() time.Time { return m.times.LastHeartbeatAt }

// LostAt returns when the machine was marked as lost.
func (m *Machine) LostAt() time.Time { return m.times.LostAt }

// NoInboundChangedAt returns when HasNoInbound last changed.
func (m *Machine) NoInboundChangedAt() time.Time { return m.times.NoInboundChangedAt }

// IdleSince returns since when RunsOnlyBestEffort has been true: the machine has been empty, or used only
// by work that is no reason to keep the machine. It returns zero while other work uses the machine.
func (m *Machine) IdleSince() time.Time { return m.times.IdleSince }

// TimeSinceRegistration returns the time since the machine was registered.
func (m *Machine) TimeSinceRegistration(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.record.RegisteredAtMS) * time.Millisecond
}

// HasImage reports whether a task with an image was seen on the machine in the current agent session.
func (m *Machine) HasImage(image string) bool { return m.images[image] }

// AssignmentCount returns the number of the machine's assignments.
func (m *Machine) AssignmentCount() int { return len(m.assignments) }

// Assignments yields the machine's assignments, in no order. Assignments may be removed during the
// iteration.
func (m *Machine) Assignments() iter.Seq[*Assignment] { return maps.Values(m.assignments) }

// Assignment returns the assignment of a task by its name, or nil if there is none.
func (m *Machine) Assignment(task string) *Assignment { return m.assignments[task] }

// Group returns the group under which the machine's free capacity is counted.
func (m *Machine) Group() capacity.Group {
	group := m.PoolGroup()
	group.Surplus = m.flags.Surplus
	return group
}

// PoolGroup returns the machine's group without the distinction between surplus and other machines.
func (m *Machine) PoolGroup() capacity.Group {
	return capacity.Group{Zone: m.record.Zone, MachineType: m.record.MachineType, Spot: m.record.Spot}
}

// RunsOnlyBestEffort reports whether the machine is empty or, unless it is a spot machine, runs only
// best-effort work. Best-effort work is no reason to keep an on-demand machine, but any work is a
// reason to keep a spot machine.
func (m *Machine) RunsOnlyBestEffort() bool {
	if len(m.assignments) == 0 {
		return true
	}
	if m.record.Spot {
		return false
	}
	hasForegroundTasks := !m.usageStale && m.usage.ForegroundTasks > 0
	if hasForegroundTasks { // the loop would give the same result at a higher cost
		return false
	}
	for _, a := range m.assignments {
		if job := a.Job(); job == nil || !job.bestEffort {
			return false
		}
	}
	return true
}

// ResetImages removes all known images of the machine. It is called when a new agent session begins.
func (m *Machine) ResetImages() { m.images = map[string]bool{} }

// MutableFlags returns a machine's flags for modification.
func MutableFlags(m *Machine) *MachineFlags { return &m.flags }

// MutableTimes returns a machine's times for modification.
func MutableTimes(m *Machine) *MachineTimes { return &m.times }

// SetMachineRecord sets a machine's record and its revision.
func SetMachineRecord(m *Machine, record workerapi.Record, revision uint64) {
	m.record, m.revision = record, revision
}

// AddAssignment adds an assignment to its machine.
func AddAssignment(a *Assignment) { a.machine.assignments[a.name] = a }

// RemoveAssignment removes an assignment from its machine, unless the machine now has another
// assignment for the task.
func RemoveAssignment(a *Assignment) {
	if IsOnMachine(a) {
		delete(a.machine.assignments, a.name)
	}
}

// IsOnMachine reports whether an assignment is the current one for its task on its machine.
func IsOnMachine(a *Assignment) bool { return a.machine.assignments[a.name] == a }

// ClearAssignments removes all assignments of a machine.
func ClearAssignments(m *Machine) { m.assignments = map[string]*Assignment{} }

// AddImage records that a task with an image was seen on a machine.
func AddImage(m *Machine, image string) { m.images[image] = true }

// UpdateIdleSince updates Machine.IdleSince after a change of the assignments of a machine.
func UpdateIdleSince(m *Machine) {
	if !m.RunsOnlyBestEffort() {
		m.times.IdleSince = time.Time{}
	} else if m.times.IdleSince.IsZero() {
		m.times.IdleSince = time.Now()
	}
}

// BeginRecount marks a machine as being on the list of machines whose free capacity is to be counted
// again, and reports whether the machine is new on the list.
func BeginRecount(m *Machine) bool {
	if m.recountPending {
		return false
	}
	m.recountPending = true
	return true
}

// EndRecount marks a machine as removed from the list of machines whose free capacity is to be counted
// again.
func EndRecount(m *Machine) { m.recountPending = false }
