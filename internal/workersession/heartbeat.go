package workersession

import (
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// pendingHeartbeat is a heartbeat that waits for its reply.
type pendingHeartbeat struct {
	heartbeat  *workerapi.Heartbeat
	receivedAt time.Time
	reply      chan<- HeartbeatReply
	isDelayed  bool // a timer will answer it
}

func (p *pendingHeartbeat) refuse() { p.reply <- *unavailableReply() }

// isExpired reports whether the heartbeat is so old that the worker has given up waiting.
func (p *pendingHeartbeat) isExpired() bool {
	return time.Since(p.receivedAt) > tuning.MaxHeartbeatAge
}

// HandleHeartbeat handles a heartbeat that was received at receivedAt. Exactly one reply is sent, now or
// later; the channel must have room for it.
func (m *Manager) HandleHeartbeat(heartbeat *workerapi.Heartbeat, receivedAt time.Time, reply chan<- HeartbeatReply) {
	m.process(&pendingHeartbeat{heartbeat: heartbeat, receivedAt: receivedAt, reply: reply})
}

// ProcessEarlyHeartbeats processes again the heartbeats that could not be processed when they came, see
// isEarly. It is called when the records are known or a shard was acquired, and regularly, to refuse those
// that have waited too long.
func (m *Manager) ProcessEarlyHeartbeats() {
	early := m.earlyHeartbeats
	m.earlyHeartbeats = nil
	for _, pending := range early {
		m.process(pending)
	}
}

func (m *Manager) process(pending *pendingHeartbeat) {
	if pending.isExpired() {
		pending.refuse()
		return
	}
	if m.isEarly(pending) {
		m.keepEarly(pending)
		return
	}
	if !m.Cache.Synced() {
		pending.refuse()
		return
	}
	host := pending.heartbeat.Host
	machine := m.State.Machine(host)
	switch {
	case machine != nil:
		m.processRegistered(pending, machine)
	case m.removedWorkers.Contains(host):
		pending.refuse()
	default:
		m.register(pending)
	}
}

// isEarly reports whether a heartbeat cannot be processed yet, but most likely can be in a moment: the
// records are being read, or all controllers have just started and nobody owns the worker's shard yet.
// Refused or redirected, the worker would try one controller after the other, a second each: after a
// start of all controllers each worker came three times before it found its owner.
func (m *Manager) isEarly(pending *pendingHeartbeat) bool {
	if !m.Cache.Synced() {
		// Only after a start, not while the key-value store is down: each heartbeat that waits
		// holds a connection.
		return time.Since(m.startedAt) < tuning.MaxHeartbeatAge
	}
	machine := m.State.Machine(pending.heartbeat.Host)
	if machine == nil {
		return false
	}
	if shard := m.State.OwnedShard(machine); shard != nil {
		return shard.IsTransferred() // the new owner is known in a moment
	}
	if !m.Membership.InStartupGrace(time.Now()) {
		return false
	}
	return !m.Membership.OwnerIsLive(m.Membership.Shard(machine.Record().Shard))
}

// keepEarly keeps an early heartbeat, within the limits of memory and connections: each one that waits holds
// a connection, and half of the sockets stay free for other uses.
func (m *Manager) keepEarly(pending *pendingHeartbeat) {
	count, maxSockets := len(m.earlyHeartbeats), m.cfg.Cluster.Limits.MaxSockets
	exceedsSockets := maxSockets > 0 && count >= maxSockets/2
	if count >= tuning.MaxQueuedHeartbeats || exceedsSockets {
		pending.refuse()
		return
	}
	m.earlyHeartbeats = append(m.earlyHeartbeats, pending)
}

// processRegistered processes the heartbeat of a worker that has a record.
func (m *Manager) processRegistered(pending *pendingHeartbeat, machine *clusterstate.Machine) {
	session := m.sessionOf(machine)
	fencingToken, refusal := m.authorize(pending, machine, session)
	if refusal != nil {
		pending.reply <- *refusal
		return
	}
	id := idOf(pending.heartbeat)
	if isStale(id, m.lastHeartbeats[machine.Host()]) {
		pending.refuse() // it came late: the worker has sent another one since
		return
	}
	session.refusePending() // the worker has given up waiting for that reply
	if pending.heartbeat.FencingToken != fencingToken || !m.Cache.HasReachedEpoch(m.State.OwnedShard(machine)) {
		m.lastHeartbeats[machine.Host()] = id
		m.announceToken(pending, machine, session)
		return
	}
	m.ApplyHeartbeat(machine, pending.heartbeat, pending.receivedAt)
	m.schedule() // so that what takes the freed resources goes out with this response
	session.pending = pending
	m.respondOrDelay(machine, session)
}

// announceToken answers a heartbeat that was sent before the worker knew the present fencing token. A
// network partition may have held it up for minutes, and the previous owner may have moved its tasks
// since: it counts for nothing, and is answered only to send the worker the token. The same holds while
// task ranges of the shard may still be unknown here, see Cache.HasReachedEpoch.
func (m *Manager) announceToken(pending *pendingHeartbeat, machine *clusterstate.Machine, session *agentSession) {
	if machine.IsLost() {
		session.unconfirmedResponses = 0 // its tasks may start elsewhere already: it may be answered
	} else if m.IgnoresToken(machine) {
		// Each answer counts as a renewal of the worker's lease. Without this limit the lease of a
		// worker that never receives the answers would never expire here, and the tasks that it may
		// run would never be started elsewhere.
		pending.refuse()
		return
	}
	m.State.RecordContact(machine, pending.receivedAt)
	respond := func() { m.respondWithToken(pending, machine) }
	if !m.firstContact.EnqueueResponse(machine, respond) {
		pending.refuse()
	}
}

// IgnoresToken reports whether a worker was answered with the present fencing token several times, and
// no heartbeat shows it.
func (m *Manager) IgnoresToken(machine *clusterstate.Machine) bool {
	session := m.sessions[machine]
	return session != nil && session.unconfirmedResponses >= tuning.MaxUnseenTokenAnswers
}

// authorize decides whether a heartbeat may be answered. It returns the fencing token for the response,
// or else the refusal.
func (m *Manager) authorize(pending *pendingHeartbeat, machine *clusterstate.Machine, session *agentSession) (fencingToken uint64, refusal *HeartbeatReply) {
	shard := m.State.OwnedShard(machine)
	if shard == nil {
		return 0, m.redirect(machine.Record().Shard)
	}
	if owner, isNewer := m.Peers.NewerOwner(shard.ID(), shard.Epoch()); isNewer {
		return 0, &HeartbeatReply{StatusCode: http.StatusMisdirectedRequest, OwnerNode: owner}
	}
	// A shard that was transferred may have its new owner already. An answer from here would then
	// renew a lease that the new owner does not know of.
	if shard.IsTransferred() || !m.Cache.MayRenewWorkerLeases(time.Now()) {
		return 0, unavailableReply()
	}
	fencingToken = reconciliation.FencingToken(shard, machine)
	// The worker has seen the token of a newer owner, or its lease has expired here: its tasks may run
	// elsewhere already.
	if pending.heartbeat.FencingToken > fencingToken || pending.heartbeat.AgentEpoch <= session.endedEpoch {
		return 0, unavailableReply()
	}
	return fencingToken, nil
}

// redirect refuses a heartbeat of a worker whose shard is not local, and names the owner if it lives.
func (m *Manager) redirect(shardID string) *HeartbeatReply {
	reply := &HeartbeatReply{StatusCode: http.StatusMisdirectedRequest}
	shard := m.Membership.Shard(shardID)
	if m.Membership.OwnerIsLive(shard) && shard.Owner() != m.cfg.Node {
		reply.OwnerNode = shard.Owner()
		m.misdirected[shardID] = append(m.misdirected[shardID], time.Now())
	}
	return reply
}

// MisdirectedHeartbeats returns how many heartbeats came within tuning.StrayWorkerWindow from workers of a
// shard that another live controller owns. They are many if that controller cannot reach its workers and
// this one can. Older ones are forgotten.
func (m *Manager) MisdirectedHeartbeats(shardID string, now time.Time) int {
	m.misdirected[shardID] = slices.DeleteFunc(m.misdirected[shardID], func(at time.Time) bool {
		return now.Sub(at) > tuning.StrayWorkerWindow
	})
	return len(m.misdirected[shardID])
}

// ApplyHeartbeat applies a heartbeat under the present fencing token.
func (m *Manager) ApplyHeartbeat(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, receivedAt time.Time) {
	isNewSession := heartbeat.AgentEpoch > m.AgentEpoch(machine)
	m.lastHeartbeats[machine.Host()] = idOf(heartbeat)
	m.inbound.ObserveHeartbeat(time.Now())
	wasLost := m.State.BeginHeartbeat(machine, receivedAt)
	changes := m.applyTasks(machine, heartbeat, isNewSession)
	m.trackCommandDelivery(machine, changes.delivery, isNewSession, receivedAt)
	isQuiet := changes.isQuiet && !wasLost && !isNewSession
	if m.State.EndHeartbeat(machine, len(heartbeat.Tasks) == 0, isQuiet) {
		m.Reconciler.WorkerConfirmed(machine, time.Now())
	}
}

// ProbeAnswered applies the heartbeat that answers a probe, if the fencing token that the worker was
// shown is still the present one.
func (m *Manager) ProbeAnswered(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64) {
	if !machine.HasReported() && m.isCurrentAnswer(machine, heartbeat, fencingToken) {
		m.ApplyHeartbeat(machine, heartbeat, time.Now())
	}
}

// isCurrentAnswer reports whether the heartbeat that answers a request still counts: the fencing token of
// the request is the present one and the worker has taken it, and the heartbeat is newer than the last
// one.
func (m *Manager) isCurrentAnswer(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64) bool {
	if heartbeat.Host != machine.Host() || !m.isOwned(machine) || machine.IsLost() {
		return false
	}
	current := reconciliation.FencingToken(m.State.OwnedShard(machine), machine)
	if fencingToken != current || heartbeat.FencingToken != current {
		return false
	}
	return heartbeat.AgentEpoch > m.sessionOf(machine).endedEpoch &&
		!idOf(heartbeat).notAfter(m.lastHeartbeats[machine.Host()])
}

// trackCommandDelivery decides whether a worker receives what is sent to it. Commands that do not show in
// the next heartbeat, and one expired lease after the other, show that it does not; an agent epoch that
// lasts longer than a lease shows that it does. (A worker that receives nothing tries one controller after
// the other, so that with a short lease each heartbeat to its owner is of another agent epoch.)
func (m *Manager) trackCommandDelivery(machine *clusterstate.Machine, delivery commandDelivery, isNewSession bool, now time.Time) {
	session := m.sessionOf(machine)
	session.unconfirmedResponses = 0
	hasExpired := isNewSession && !session.startedAt.IsZero()
	if isNewSession || session.startedAt.IsZero() {
		session.startedAt = now
	}
	outlastedLease := now.Sub(session.startedAt) > m.cfg.WorkerLeaseExpiryDelay()
	switch {
	case hasExpired || delivery == commandsMissed:
		session.missedCommands++
	case delivery == commandsDelivered || outlastedLease:
		session.missedCommands = 0
	}
	switch hadNoInbound := machine.HasNoInbound(); {
	case !hadNoInbound && session.missedCommands >= tuning.InboundLossThreshold:
		m.log.Info("worker receives no responses", "worker", machine.Host())
		m.State.SetNoInbound(machine, true, now)
	case hadNoInbound && session.missedCommands == 0:
		m.log.Info("worker receives responses again", "worker", machine.Host())
		m.State.SetNoInbound(machine, false, now)
	}
}
