package workersession

import (
	"math"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/workerapi"
)

// agentSession is the state of the communication with a worker.
type agentSession struct {
	pending              *pendingHeartbeat // the heartbeat that is not answered yet, or nil
	endedEpoch           uint64            // heartbeats of this and earlier agent epochs are refused
	unconfirmedResponses int               // number of responses with the current token since the last heartbeat that contained the token
	inboundLossSigns     int               // number of successive signs, counted by trackCommandDelivery, that responses do not reach the worker
	directRequest        directRequestState
	epochStartedAt       time.Time // when the first heartbeat of the current agent epoch was received
}

// refusePending refuses the pending heartbeat, if there is one. A timer that was set to answer it will then do
// nothing.
func (s *agentSession) refusePending() {
	if s.pending != nil {
		s.pending.refuse()
		s.pending = nil
	}
}

// heartbeatID identifies a heartbeat of a worker and orders the worker's heartbeats.
type heartbeatID struct{ agentEpoch, sequence uint64 }

func idOf(heartbeat *workerapi.Heartbeat) heartbeatID {
	return heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
}

// isNotNewerThan reports whether the heartbeat is the same as other or was sent before other.
func (id heartbeatID) isNotNewerThan(other heartbeatID) bool {
	if id.agentEpoch != other.agentEpoch {
		return id.agentEpoch < other.agentEpoch
	}
	return id.sequence <= other.sequence
}

// isStale is a variable so that a mutation test can replace it.
var isStale = heartbeatID.isNotNewerThan

// sessionOf returns a worker's session. It creates the session if there is none.
func (m *Manager) sessionOf(machine *clusterstate.Machine) *agentSession {
	session := m.sessions[machine]
	if session == nil {
		session = &agentSession{}
		m.sessions[machine] = session
	}
	return session
}

// AgentEpoch returns the agent epoch of a worker's last heartbeat, or 0 if there was none.
func (m *Manager) AgentEpoch(machine *clusterstate.Machine) uint64 {
	return m.lastHeartbeats[machine.Host()].agentEpoch
}

// HandleOwnerChange handles a change of the owner of a worker's shard: the worker is probed, and heartbeats of ended
// agent epochs are accepted again, since an owner that was partitioned may have treated the worker as lost while
// another owner renewed the worker's lease.
func (m *Manager) HandleOwnerChange(machine *clusterstate.Machine) {
	session := m.sessionOf(machine)
	session.endedEpoch, session.unconfirmedResponses = 0, 0
	m.firstContact.EnqueueProbe(machine)
}

// HandleMove handles the move of a machine to another shard: the worker is probed. droppedTasks is the number of tasks
// whose assignments the move has dropped. There are none, since only machines without tasks are moved: such tasks
// would be unknown in a shard that is reconciled, where nothing settles them, and would never run.
func (m *Manager) HandleMove(machine *clusterstate.Machine, droppedTasks int) {
	if droppedTasks > 0 {
		m.Violations.Report(decisionlog.MovedMachinesEmpty, "worker", machine.Host(), "shard", machine.Record().Shard, "tasks", droppedTasks)
	}
	m.firstContact.EnqueueProbe(machine)
}

// EndAgentEpoch ends a worker's current agent epoch, because the worker's lease has expired: heartbeats of
// this and earlier epochs are refused from now on.
func (m *Manager) EndAgentEpoch(machine *clusterstate.Machine) {
	m.sessionOf(machine).endedEpoch = m.AgentEpoch(machine)
}

// EndAllAgentEpochs ends all agent epochs of a worker, including future ones. It is called when the cloud has
// terminated the machine, so that a heartbeat that arrives late is refused.
func (m *Manager) EndAllAgentEpochs(machine *clusterstate.Machine) {
	m.sessionOf(machine).endedEpoch = math.MaxUint64
}

// SessionState is the part of a worker's session that the snapshot for a new owner contains.
type SessionState struct {
	AgentEpoch, Sequence uint64 // of the last heartbeat
	EndedAgentEpoch      uint64 // heartbeats of this and earlier agent epochs are refused
}

// SessionState returns the state of a worker's session, for the snapshot of a shard that is transferred.
func (m *Manager) SessionState(machine *clusterstate.Machine) SessionState {
	lastHeartbeat := m.lastHeartbeats[machine.Host()]
	return SessionState{
		AgentEpoch:      lastHeartbeat.agentEpoch,
		Sequence:        lastHeartbeat.sequence,
		EndedAgentEpoch: m.sessionOf(machine).endedEpoch,
	}
}

// RestoreSession applies the state of a worker's session from the previous owner's snapshot. If this controller has
// already received a newer heartbeat of the worker, the newer one stays the last heartbeat.
func (m *Manager) RestoreSession(machine *clusterstate.Machine, state SessionState) {
	id := heartbeatID{state.AgentEpoch, state.Sequence}
	if !id.isNotNewerThan(m.lastHeartbeats[machine.Host()]) {
		m.lastHeartbeats[machine.Host()] = id
	}
	m.sessionOf(machine).endedEpoch = state.EndedAgentEpoch
}
