package workersession

import (
	"net/http"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	StatusCode int                         // HTTP status
	OwnerNode  string                      // the owner of the worker's shard, if known; set only with http.StatusMisdirectedRequest
	Response   workerapi.HeartbeatResponse // set only with http.StatusOK
}

// unavailableReply returns a refusal that names no owner.
func unavailableReply() *HeartbeatReply {
	return &HeartbeatReply{StatusCode: http.StatusServiceUnavailable}
}

func okReply(fencingToken uint64, commands []workerapi.Command) HeartbeatReply {
	return HeartbeatReply{
		StatusCode: http.StatusOK,
		Response:   workerapi.HeartbeatResponse{FencingToken: fencingToken, Commands: commands},
	}
}

// respondWithToken answers a worker's heartbeat with the fencing token and no command, or refuses the heartbeat if
// it may no longer be answered.
func (m *Manager) respondWithToken(pending *pendingHeartbeat, machine *clusterstate.Machine) {
	session := m.sessionOf(machine)
	fencingToken, refusal := m.authorize(pending, machine, session)
	switch {
	case !m.State.IsCurrentMachine(machine) || pending.isExpired():
		pending.refuse()
	case refusal != nil:
		pending.reply <- *refusal
	default:
		session.unconfirmedResponses++
		pending.reply <- okReply(fencingToken, []workerapi.Command{})
	}
}

// respondOrDelay answers a worker's pending heartbeat, or delays the response if there is no command: a start
// that is decided during the delay need not wait for the next heartbeat. A worker reports a change no earlier
// than half a second after its last heartbeat, so a response that is delayed for less than that time does not
// delay the report. A worker without tasks has nothing to report, and the response to it may be delayed for part
// of the heartbeat interval. MaxResponseDelay returns the longest delay.
func (m *Manager) respondOrDelay(machine *clusterstate.Machine, session *agentSession) {
	pending := session.pending
	if pending == nil {
		return
	}
	if !m.State.IsCurrentMachine(machine) {
		session.refusePending()
		return
	}
	fencingToken, refusal := m.authorize(pending, machine, session)
	if refusal != nil {
		session.pending = nil
		pending.reply <- *refusal
		return
	}
	isIdle := machine.AssignmentCount() == 0 && len(pending.heartbeat.Tasks) == 0
	delay := m.MaxResponseDelay(isIdle) - time.Since(pending.receivedAt)
	knowsToken := pending.heartbeat.FencingToken == fencingToken
	if delay <= 0 || !knowsToken || !m.State.IsUsable(machine) || m.hasCommands(machine) {
		m.respond(machine, session)
		return
	}
	if pending.isDelayed {
		return
	}
	pending.isDelayed = true
	m.mailbox.SendAfter(delay, func() {
		if session.pending == pending {
			m.respondOrDelay(machine, session)
		}
	})
}

// MaxResponseDelay returns how long the response to a heartbeat may wait for commands. An idle worker's response
// may wait longer.
func (m *Manager) MaxResponseDelay(isIdle bool) time.Duration {
	if !isIdle {
		return tuning.BusyHeartbeatAnswerDelay
	}
	halfInterval := config.Seconds(m.cfg.Cluster.Workers.HeartbeatIntervalSeconds / 2)
	return max(tuning.BusyHeartbeatAnswerDelay, min(tuning.IdleHeartbeatAnswerDelay, halfInterval))
}

// respond answers a worker's pending heartbeat with all commands for the worker.
func (m *Manager) respond(machine *clusterstate.Machine, session *agentSession) {
	pending := session.pending
	session.pending = nil
	fencingToken, refusal := m.authorize(pending, machine, session)
	if refusal != nil {
		pending.reply <- *refusal
		return
	}
	commands := m.responseCommands(machine, pending.heartbeat)
	m.reportUnadmittedStarts(machine, commands)
	m.Reconciler.CountCommandsSent(machine, commands, time.Now())
	pending.reply <- okReply(fencingToken, commands)
}

// SendResponses answers the pending heartbeats for which there are commands now. It also requests a read barrier
// if one is needed for starts.
func (m *Manager) SendResponses() {
	m.requestReadBarrier(time.Now())
	for _, machine := range m.State.OwnedMachines() {
		session := m.sessions[machine]
		if session != nil && session.pending != nil && m.hasCommands(machine) {
			m.respondOrDelay(machine, session)
		}
	}
}

// FlushResponses answers the pending heartbeats of a shard's workers. It is called before the shard is
// transferred, because heartbeats of the shard's workers are not answered afterwards.
func (m *Manager) FlushResponses(shard *membership.Shard) {
	for machine := range m.State.OwnedMachinesIn(shard.ID()) {
		session := m.sessions[machine]
		if session != nil && session.pending != nil {
			m.respond(machine, session)
		}
	}
}
