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
	closedEpoch          uint64            // heartbeats up to this agent epoch no longer count
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

// OwnerChanged notes that a worker's shard has a new owner. Closed agent epochs count again: an owner
// that was partitioned may have taken the worker for lost while another owner kept it alive.
func (m *Manager) OwnerChanged(machine *clusterstate.Machine) {
	session := m.sessionOf(machine)
	session.closedEpoch, session.unconfirmedResponses = 0, 0
	m.firstContact.EnqueueProbe(machine)
}

// CloseSession ends a worker's present agent epoch, because its lease has expired: heartbeats of this
// and earlier epochs no longer count.
func (m *Manager) CloseSession(machine *clusterstate.Machine) {
	m.sessionOf(machine).closedEpoch = m.AgentEpoch(machine)
}

// CloseAllSessions ends all agent epochs of a worker, also future ones.
func (m *Manager) CloseAllSessions(machine *clusterstate.Machine) {
	m.sessionOf(machine).closedEpoch = math.MaxUint64
}

// LastHeartbeat returns the position of a worker's last heartbeat, and up to which agent epoch
// heartbeats no longer count.
func (m *Manager) LastHeartbeat(machine *clusterstate.Machine) (agentEpoch, sequence, closedEpoch uint64) {
	last := m.lastHeartbeats[machine.Host()]
	return last.agentEpoch, last.sequence, m.sessionOf(machine).closedEpoch
}

// RestoreSession applies what the previous owner's snapshot says of a worker's session, in the terms of
// LastHeartbeat.
func (m *Manager) RestoreSession(machine *clusterstate.Machine, agentEpoch, sequence, closedEpoch uint64) {
	id := heartbeatID{agentEpoch, sequence}
	if !id.notAfter(m.lastHeartbeats[machine.Host()]) {
		m.lastHeartbeats[machine.Host()] = id
	}
	m.sessionOf(machine).closedEpoch = closedEpoch
}
