package workersession

import (
	"math"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/workerapi"
)

// agentSession is what the manager knows of the communication with a worker.
type agentSession struct {
	pending              *pendingHeartbeat // the heartbeat that is not answered yet
	endedEpoch           uint64            // heartbeats up to this agent epoch no longer count
	unconfirmedResponses int               // responses with the present token since the last heartbeat that showed it
	missedCommands       int               // see trackCommandDelivery
	exchange             directExchange
	startedAt            time.Time // first heartbeat of the present agent epoch
}

// refusePending refuses the pending heartbeat, if there is one. A timer that was to answer it later
// finds none.
func (s *agentSession) refusePending() {
	if s.pending != nil {
		s.pending.refuse()
		s.pending = nil
	}
}

// heartbeatID orders the heartbeats of a worker.
type heartbeatID struct{ agentEpoch, sequence uint64 }

func idOf(heartbeat *workerapi.Heartbeat) heartbeatID {
	return heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
}

// notAfter reports whether a heartbeat is the other one or was sent before it.
func (id heartbeatID) notAfter(other heartbeatID) bool {
	if id.agentEpoch != other.agentEpoch {
		return id.agentEpoch < other.agentEpoch
	}
	return id.sequence <= other.sequence
}

// isStale is a variable so that a mutation test can replace it.
var isStale = heartbeatID.notAfter

// sessionOf returns a worker's session, a new one if it has none.
func (m *Manager) sessionOf(machine *clusterstate.Machine) *agentSession {
	session := m.sessions[machine]
	if session == nil {
		session = &agentSession{}
		m.sessions[machine] = session
	}
	return session
}

// AgentEpoch returns the agent epoch of a worker's last heartbeat, 0 if there was none.
func (m *Manager) AgentEpoch(machine *clusterstate.Machine) uint64 {
	return m.lastHeartbeats[machine.Host()].agentEpoch
}

// OwnerChanged notes that a worker's shard has a new owner. Ended agent epochs count again: an owner
// that was partitioned may have taken the worker for lost while another owner kept it alive.
func (m *Manager) OwnerChanged(machine *clusterstate.Machine) {
	session := m.sessionOf(machine)
	session.endedEpoch, session.unconfirmedResponses = 0, 0
	m.firstContact.EnqueueProbe(machine)
}

// CloseSession ends a worker's present agent epoch, because its lease has expired: heartbeats of this
// and earlier epochs no longer count.
func (m *Manager) CloseSession(machine *clusterstate.Machine) {
	m.sessionOf(machine).endedEpoch = m.AgentEpoch(machine)
}

// CloseAllSessions ends all agent epochs of a worker, also future ones. It is called when the cloud has
// terminated the machine, so that a heartbeat that arrives late is refused.
func (m *Manager) CloseAllSessions(machine *clusterstate.Machine) {
	m.sessionOf(machine).endedEpoch = math.MaxUint64
}

// SessionState is what a new owner needs to know of a worker's session.
type SessionState struct {
	AgentEpoch, Sequence uint64 // of the last heartbeat
	EndedAgentEpoch      uint64 // heartbeats up to this agent epoch no longer count
}

// SessionState returns the state of a worker's session, for the snapshot of a shard that is transferred.
func (m *Manager) SessionState(machine *clusterstate.Machine) SessionState {
	last := m.lastHeartbeats[machine.Host()]
	return SessionState{
		AgentEpoch:      last.agentEpoch,
		Sequence:        last.sequence,
		EndedAgentEpoch: m.sessionOf(machine).endedEpoch,
	}
}

// RestoreSession applies what the previous owner's snapshot says of a worker's session.
func (m *Manager) RestoreSession(machine *clusterstate.Machine, state SessionState) {
	id := heartbeatID{state.AgentEpoch, state.Sequence}
	if !id.notAfter(m.lastHeartbeats[machine.Host()]) {
		m.lastHeartbeats[machine.Host()] = id
	}
	m.sessionOf(machine).endedEpoch = state.EndedAgentEpoch
}
