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

// pendingHeartbeat is a heartbeat that has not been replied to.
type pendingHeartbeat struct {
	heartbeat  *workerapi.Heartbeat
	receivedAt time.Time
	reply      chan<- HeartbeatReply
	isDelayed  bool // a timer is set that will reply to it
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

// ProcessDeferredHeartbeats processes the deferred heartbeats again. The comment of mustDefer says why heartbeats
// are deferred. It is called when the records have been read or a shard was acquired, and periodically, to refuse
// heartbeats that have waited too long.
func (m *Manager) ProcessDeferredHeartbeats() {
	deferredHeartbeats := m.deferredHeartbeats
	m.deferredHeartbeats = nil
	for _, pending := range deferredHeartbeats {
		m.process(pending)
	}
}

func (m *Manager) process(pending *pendingHeartbeat) {
	if pending.isExpired() {
		pending.refuse()
		return
	}
	if m.mustDefer(pending) {
		m.deferHeartbeat(pending)
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

// mustDefer reports whether a heartbeat cannot be processed yet, but most likely can be soon: the records are
// being read, or all controllers have just started and the worker's shard has no owner yet. If such a
// heartbeat were refused or redirected, the worker would try one controller after the other, one per second.
// When such heartbeats were not deferred, each worker made three attempts after a start of all controllers
// before it found the owner of its shard.
func (m *Manager) mustDefer(pending *pendingHeartbeat) bool {
	if !m.Cache.Synced() {
		// Heartbeats are deferred only after the start of this process, not while the key-value
		// store is down, because each deferred heartbeat holds a connection.
		return time.Since(m.startedAt) < tuning.MaxHeartbeatAge
	}
	machine := m.State.Machine(pending.heartbeat.Host)
	if machine == nil {
		return false
	}
	if shard := m.State.OwnedShard(machine); shard != nil {
		return shard.IsTransferred() // the new owner will be known soon
	}
	if !m.Membership.InStartupGrace(time.Now()) {
		return false
	}
	return !m.Membership.OwnerIsLive(m.Membership.Shard(machine.Record().Shard))
}

// deferHeartbeat keeps a heartbeat until it can be processed, or refuses it if a limit of memory or connections
// is reached: each deferred heartbeat holds a connection, and half of the sockets stay free for other uses.
func (m *Manager) deferHeartbeat(pending *pendingHeartbeat) {
	count, maxSockets := len(m.deferredHeartbeats), m.cfg.Cluster.Limits.MaxSockets
	exceedsSocketLimit := maxSockets > 0 && count >= maxSockets/2
	if count >= tuning.MaxQueuedHeartbeats || exceedsSocketLimit {
		pending.refuse()
		return
	}
	m.deferredHeartbeats = append(m.deferredHeartbeats, pending)
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
		pending.refuse() // it arrived late: the worker has sent another one since
		return
	}
	session.refusePending() // the worker no longer waits for the reply to its earlier heartbeat
	if pending.heartbeat.FencingToken != fencingToken || !m.Cache.HasReachedEpoch(m.State.OwnedShard(machine)) {
		m.lastHeartbeats[machine.Host()] = id
		m.announceToken(pending, machine, session)
		return
	}
	m.ApplyHeartbeat(machine, pending.heartbeat, pending.receivedAt)
	m.schedule() // so that this response contains the starts of tasks that use the freed resources
	session.pending = pending
	m.respondOrDelay(machine, session)
}

// announceToken answers a heartbeat that was sent before the worker knew the current fencing token. A
// network partition may have delayed the heartbeat for minutes, and the previous owner may have started the
// worker's tasks elsewhere since. The heartbeat is therefore not applied, and is answered only to send the
// worker the token. A heartbeat is treated in the same way until Cache.HasReachedEpoch returns true,
// because some task ranges of the shard may still be unknown to this controller.
func (m *Manager) announceToken(pending *pendingHeartbeat, machine *clusterstate.Machine, session *agentSession) {
	if machine.IsLost() {
		session.unconfirmedResponses = 0 // no limit for a lost worker: its tasks may be started elsewhere whatever answers it gets
	} else if m.IgnoresToken(machine) {
		// Each answer renews the worker's lease as far as this controller knows. Without the limit
		// of IgnoresToken, the lease of a worker that never receives the answers would never expire
		// here, and the tasks that it may run would never be started elsewhere.
		pending.refuse()
		return
	}
	m.State.RecordContact(machine, pending.receivedAt)
	respond := func() { m.respondWithToken(pending, machine) }
	if !m.firstContact.EnqueueResponse(machine, respond) {
		pending.refuse()
	}
}

// IgnoresToken reports whether a worker was sent the current fencing token at least
// tuning.MaxUnconfirmedTokenAnswers times, and none of its heartbeats has contained the token since.
func (m *Manager) IgnoresToken(machine *clusterstate.Machine) bool {
	session := m.sessions[machine]
	return session != nil && session.unconfirmedResponses >= tuning.MaxUnconfirmedTokenAnswers
}

// authorize decides whether a heartbeat may be answered. It returns the fencing token for the response, or the
// refusal if the heartbeat may not be answered.
func (m *Manager) authorize(pending *pendingHeartbeat, machine *clusterstate.Machine, session *agentSession) (fencingToken uint64, refusal *HeartbeatReply) {
	shard := m.State.OwnedShard(machine)
	if shard == nil {
		return 0, m.redirect(machine.Record().Shard)
	}
	if owner, isNewer := m.Peers.NewerOwner(shard.ID(), shard.Epoch()); isNewer {
		return 0, &HeartbeatReply{StatusCode: http.StatusMisdirectedRequest, OwnerNode: owner}
	}
	// A shard that was transferred may already have its new owner. An answer of this controller would
	// then renew a lease that the new owner does not know of.
	if shard.IsTransferred() || !m.Cache.MayRenewWorkerLeases(time.Now()) {
		return 0, unavailableReply()
	}
	fencingToken = reconciliation.FencingToken(shard, machine)
	// The worker has received the token of a newer owner, or its lease has expired according to this controller:
	// its tasks may already run elsewhere.
	if pending.heartbeat.FencingToken > fencingToken || pending.heartbeat.AgentEpoch <= session.endedEpoch {
		return 0, unavailableReply()
	}
	return fencingToken, nil
}

// redirect refuses a heartbeat of a worker whose shard is not local. The reply names the shard's owner if the owner
// is another controller and is live.
func (m *Manager) redirect(shardID string) *HeartbeatReply {
	reply := &HeartbeatReply{StatusCode: http.StatusMisdirectedRequest}
	shard := m.Membership.Shard(shardID)
	if m.Membership.OwnerIsLive(shard) && shard.Owner() != m.cfg.Node {
		reply.OwnerNode = shard.Owner()
		m.misdirectedAt[shardID] = append(m.misdirectedAt[shardID], time.Now())
	}
	return reply
}

// MisdirectedHeartbeatCount returns how many heartbeats this controller received in the last
// tuning.MisdirectedWorkerWindow from workers of a shard that another live controller owns, and forgets older ones.
// The number is high if the workers can reach this controller but not the owner.
func (m *Manager) MisdirectedHeartbeatCount(shardID string, now time.Time) int {
	m.misdirectedAt[shardID] = slices.DeleteFunc(m.misdirectedAt[shardID], func(at time.Time) bool {
		return now.Sub(at) > tuning.MisdirectedWorkerWindow
	})
	return len(m.misdirectedAt[shardID])
}

// ApplyHeartbeat applies a heartbeat that contains the current fencing token.
func (m *Manager) ApplyHeartbeat(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, receivedAt time.Time) {
	isNewAgentEpoch := heartbeat.AgentEpoch > m.AgentEpoch(machine)
	m.lastHeartbeats[machine.Host()] = idOf(heartbeat)
	m.reachabilityMonitor.ObserveHeartbeat(time.Now())
	wasLost := m.State.BeginHeartbeat(machine, receivedAt)
	changes := m.applyTasks(machine, heartbeat, isNewAgentEpoch)
	m.trackCommandDelivery(machine, changes.delivery, isNewAgentEpoch, receivedAt)
	isUnchanged := changes.isUnchanged && !wasLost && !isNewAgentEpoch
	if m.State.EndHeartbeat(machine, len(heartbeat.Tasks) == 0, isUnchanged) {
		m.Reconciler.ConfirmWorker(machine, time.Now())
	}
}

// HandleProbeAnswer applies the heartbeat with which a worker answered a probe. fencingToken is the token that the
// probe contained. The heartbeat is ignored if the token is no longer current or if the worker has already reported.
func (m *Manager) HandleProbeAnswer(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64) {
	if !machine.HasReported() && m.isCurrentAnswer(machine, heartbeat, fencingToken) {
		m.ApplyHeartbeat(machine, heartbeat, time.Now())
	}
}

// isCurrentAnswer reports whether the heartbeat that answers a request may be applied: the worker is not lost,
// the fencing token of the request is the current one, the heartbeat contains it, and the heartbeat is newer
// than the last one.
func (m *Manager) isCurrentAnswer(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64) bool {
	if heartbeat.Host != machine.Host() || !m.isOwned(machine) || machine.IsLost() {
		return false
	}
	currentToken := reconciliation.FencingToken(m.State.OwnedShard(machine), machine)
	if fencingToken != currentToken || heartbeat.FencingToken != currentToken {
		return false
	}
	return heartbeat.AgentEpoch > m.sessionOf(machine).endedEpoch &&
		!idOf(heartbeat).isNotNewerThan(m.lastHeartbeats[machine.Host()])
}

// trackCommandDelivery decides whether a worker receives responses, and logs and records each change. The signs that
// the worker receives nothing are commands that the next heartbeat does not reflect, and leases that expire
// repeatedly: such a worker tries one controller after the other, so that with a short lease each heartbeat that
// reaches the owner of the worker's shard has another agent epoch. The signs that the worker receives responses are
// commands that the next heartbeat reflects, and an agent epoch that lasts longer than a lease.
func (m *Manager) trackCommandDelivery(machine *clusterstate.Machine, delivery commandDelivery, isNewAgentEpoch bool, now time.Time) {
	session := m.sessionOf(machine)
	session.unconfirmedResponses = 0
	hasLeaseExpired := isNewAgentEpoch && !session.epochStartedAt.IsZero()
	if isNewAgentEpoch || session.epochStartedAt.IsZero() {
		session.epochStartedAt = now
	}
	hasOutlastedLease := now.Sub(session.epochStartedAt) > m.cfg.WorkerLeaseExpiryDelay()
	switch {
	case hasLeaseExpired || delivery == commandsMissed:
		session.inboundLossSigns++
	case delivery == commandsDelivered || hasOutlastedLease:
		session.inboundLossSigns = 0
	}
	switch hadNoInbound := machine.HasNoInbound(); {
	case !hadNoInbound && session.inboundLossSigns >= tuning.InboundLossThreshold:
		m.log.Info("worker receives no responses", "worker", machine.Host())
		m.State.SetNoInbound(machine, true, now)
	case hadNoInbound && session.inboundLossSigns == 0:
		m.log.Info("worker receives responses again", "worker", machine.Host())
		m.State.SetNoInbound(machine, false, now)
	}
}
