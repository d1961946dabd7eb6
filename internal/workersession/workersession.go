// Package sessions is what is said with workers: their reports, the orders in the
// answers, the greeting of workers that have a new holder, and what reports show of
// tasks and of machines and jobs at fault.
package workersession

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/reachability"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	lru "github.com/hashicorp/golang-lru/v2"
)

// WorkerClient is what is needed of the workers besides their reports.
type WorkerClient interface {
	reconciliation.Prober
	Inspect(ctx context.Context, addr string) error
	Execute(ctx context.Context, addr string, c workerapi.CommandRequest) (rep *workerapi.Heartbeat, done bool, err error)
}

// HeartbeatReply is the reply to a report.
type HeartbeatReply struct {
	StatusCode int
	OwnerNode  string
	Response   workerapi.HeartbeatResponse
}

// Dependencies are what sessions are kept with.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
	Peers      *peerstatus.Tracker
	Faults     *faultattribution.Attributor
	ClassStats *classstats.Stats
	// Reconciler follows how shares that changed hands come back to work.
	Reconciler *reconciliation.Reconciler
}

// Manager keeps the sessions. It has no locks: one actor owns it.
type Manager struct {
	Dependencies
	mailbox  *actor.Mailbox
	cfg      *config.Config
	workers  WorkerClient // may be nil: no worker is asked
	schedule func()       // makes decisions, so that they go out with an answer
	log      *slog.Logger

	lastHeartbeats    map[string]heartbeatID // newest report of each worker by name
	sessions          map[*clusterstate.Machine]*agentSession
	registering       map[string]bool   // workers
	registeringByType map[[2]string]int // by share and type, those being enrolled
	firstContact      *reconciliation.FirstContact
	earlyHeartbeats   []*pendingHeartbeat // that came before what they are judged by was known
	startedAt         time.Time           // this run of the process
	// misdirected are when workers came whose share a live controller holds, by share.
	misdirected    map[string][]time.Time
	inbound        reachability.Monitor
	removedWorkers *lru.Cache[string, bool] // workers that are no more
	exchanges      directExchanges
}

// agentSession is what is known of the talk with a worker.
type agentSession struct {
	pending              *pendingHeartbeat // a report that is not answered yet
	closedEpoch          uint64            // sessions up to this one are
	unconfirmedResponses int               // answers with the present token since it was last heard, see tuning.ToldInVain
	missedCommands       int               // see listens
	exchange             directExchange    // at the worker's own address
	startedAt            time.Time         // when the worker's session was first heard of
}

// pendingHeartbeat is a report that waits for its answer.
type pendingHeartbeat struct {
	heartbeat  *workerapi.Heartbeat
	receivedAt time.Time
	reply      chan<- HeartbeatReply
	isDelayed  bool
}

func (pending *pendingHeartbeat) refuse() { pending.reply <- HeartbeatReply{StatusCode: 503} }

// heartbeatID is that of a report: session and count.
type heartbeatID struct{ agentEpoch, sequence uint64 }

func (o heartbeatID) notAfter(p heartbeatID) bool {
	return o.agentEpoch < p.agentEpoch || (o.agentEpoch == p.agentEpoch && o.sequence <= p.sequence)
}

// isStale is before, but in the tests' broken variant.
var isStale = heartbeatID.notAfter

// New makes a keeper; decide is called when what a report shows should be answered with
// new decisions.
func New(mailbox *actor.Mailbox, cfg *config.Config, s Dependencies, workers WorkerClient, decide func(), log *slog.Logger) *Manager {
	k := &Manager{Dependencies: s, mailbox: mailbox, cfg: cfg, workers: workers, schedule: decide, log: log, startedAt: time.Now(), misdirected: map[string][]time.Time{},
		lastHeartbeats: map[string]heartbeatID{}, sessions: map[*clusterstate.Machine]*agentSession{}, registering: map[string]bool{}, registeringByType: map[[2]string]int{}}
	buried, err := lru.New[string, bool](tuning.MaxRememberedRemovedMachines)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	k.removedWorkers = buried
	var greeter reconciliation.Prober
	if workers != nil {
		greeter = workers
	}
	k.firstContact = reconciliation.NewFirstContact(mailbox, cfg, s.Reconciler.Dependencies, greeter, k)
	k.exchanges.limiter = reconciliation.NewContactLimiter(cfg, tuning.DirectCommandCPUFraction)
	return k
}

// Reset forgets the machines: their records are read anew. Greetings under way still end.
func (k *Manager) Reset() {
	for _, s := range k.sessions {
		if s.pending != nil {
			s.pending.refuse()
			s.pending = nil // what was to look at it later finds none
		}
	}
	k.sessions = map[*clusterstate.Machine]*agentSession{}
	k.exchanges.Reset()
	k.firstContact.Reset()
}

// FirstContact are the first words with workers that have a new holder.
func (k *Manager) FirstContact() *reconciliation.FirstContact { return k.firstContact }

// RemoveWorker forgets a worker that is no more: its name is never given again. A late copy of a
// report had it enrolled anew, paid for in the counts and waited for.
func (k *Manager) RemoveWorker(machine *clusterstate.Machine) {
	k.removedWorkers.Add(machine.Host(), true)
	delete(k.lastHeartbeats, machine.Host())
	delete(k.sessions, machine)
	k.firstContact.RemoveWorker(machine)
}

func (k *Manager) sessionOf(machine *clusterstate.Machine) *agentSession {
	s := k.sessions[machine]
	if s == nil {
		s = &agentSession{}
		k.sessions[machine] = s
	}
	return s
}

// OwnerChanged notes that a worker's share has a new holder. Taken for dead by a holder that
// was cut off, it may have been kept alive by another meanwhile.
func (k *Manager) OwnerChanged(machine *clusterstate.Machine) {
	k.sessionOf(machine).closedEpoch, k.sessionOf(machine).unconfirmedResponses = 0, 0
	k.firstContact.EnqueueProbe(machine)
}

// CloseSession has nothing count that a worker says in the session of its last report, or
// said in any before: its lease is over.
func (k *Manager) CloseSession(machine *clusterstate.Machine) {
	k.sessionOf(machine).closedEpoch = k.lastHeartbeats[machine.Host()].agentEpoch
}

// CloseAllSessions has nothing count that a worker may still say.
func (k *Manager) CloseAllSessions(machine *clusterstate.Machine) {
	k.sessionOf(machine).closedEpoch = ^uint64(0)
}

// LastHeartbeat is the newest report that is known of a worker, and up to which of its sessions
// nothing counts any more.
func (k *Manager) LastHeartbeat(machine *clusterstate.Machine) (agentEpoch, sequence, closedEpoch uint64) {
	o := k.lastHeartbeats[machine.Host()]
	return o.agentEpoch, o.sequence, k.sessionOf(machine).closedEpoch
}

// RestoreSession takes over what the holder before knew of a worker's reports.
func (k *Manager) RestoreSession(machine *clusterstate.Machine, agentEpoch, sequence, closedEpoch uint64) {
	if at := (heartbeatID{agentEpoch, sequence}); !at.notAfter(k.lastHeartbeats[machine.Host()]) {
		k.lastHeartbeats[machine.Host()] = at
	}
	k.sessionOf(machine).closedEpoch = closedEpoch
}

// MisdirectedHeartbeats is how many reports came lately of workers whose share another controller holds
// and lives: many, if it can't reach them and this one can.
func (k *Manager) MisdirectedHeartbeats(shardID string, now time.Time) int {
	k.misdirected[shardID] = slices.DeleteFunc(k.misdirected[shardID], func(at time.Time) bool { return now.Sub(at) > tuning.StrayWorkerWindow })
	return len(k.misdirected[shardID])
}

// FlushResponses answers the reports of a share's workers that wait for orders: nobody is answered
// once the share is given away.
func (k *Manager) FlushResponses(shard *membership.Shard) {
	for machine := range k.State.OwnedMachinesIn(shard.ID()) {
		if x := k.sessions[machine]; x != nil && x.pending != nil {
			k.respond(machine, x)
		}
	}
}

// Tick does what is due from time to time.
func (k *Manager) Tick(now time.Time) {
	k.checkReachability(now)
	k.contactOverdue(now)
	k.clearSuspectedJobs(now)
	for shardID := range k.misdirected {
		k.MisdirectedHeartbeats(shardID, now)
	}
	k.ProcessEarlyHeartbeats()
}

// HandleHeartbeat answers a worker's report that came at a moment; the verdict is sent to reply.
func (k *Manager) HandleHeartbeat(heartbeat *workerapi.Heartbeat, at time.Time, reply chan<- HeartbeatReply) {
	k.process(&pendingHeartbeat{heartbeat: heartbeat, receivedAt: at, reply: reply})
}

// ProcessEarlyHeartbeats looks again at the reports that came early: the records are known by now, or a
// share was taken.
func (k *Manager) ProcessEarlyHeartbeats() {
	early := k.earlyHeartbeats
	k.earlyHeartbeats = nil
	for _, pending := range early {
		k.process(pending)
	}
}

// isEarly tells whether a report can't be judged yet, but is likely to be in a moment: the
// records are being read, or all controllers have just started and nobody holds the worker's
// share yet. Refused or sent on, the worker tried one controller after the other, a second
// each: after a start of all each came three times before it found its own.
func (k *Manager) isEarly(pending *pendingHeartbeat) bool {
	if !k.Cache.Synced() {
		// Not in an outage: each that waits holds a connection.
		return time.Since(k.startedAt) < tuning.MaxHeartbeatAge
	}
	machine := k.State.Machine(pending.heartbeat.Host)
	if machine == nil {
		return false
	}
	if shard := k.State.OwnedShard(machine); shard != nil {
		return shard.IsTransferred() // its new holder is known in a moment
	}
	if !k.Membership.InStartupGrace(time.Now()) {
		return false
	}
	return !k.Membership.OwnerIsLive(k.Membership.Shard(machine.Record().Shard))
}

func (k *Manager) process(pending *pendingHeartbeat) {
	if time.Since(pending.receivedAt) > tuning.MaxHeartbeatAge {
		pending.refuse()
		return
	}
	if k.isEarly(pending) {
		if n := k.cfg.Cluster.Limits.MaxSockets; len(k.earlyHeartbeats) >= tuning.MaxQueuedHeartbeats || n > 0 && len(k.earlyHeartbeats) >= n/2 {
			pending.refuse()
			return
		}
		k.earlyHeartbeats = append(k.earlyHeartbeats, pending)
		return
	}
	if !k.Cache.Synced() {
		pending.refuse()
		return
	}
	machine := k.State.Machine(pending.heartbeat.Host)
	if machine == nil {
		if k.removedWorkers.Contains(pending.heartbeat.Host) {
			pending.refuse()
			return
		}
		k.register(pending)
		return
	}
	session := k.sessionOf(machine)
	fencingToken, reply := k.authorize(pending, machine, session)
	if reply.StatusCode != 0 {
		pending.reply <- reply
		return
	}
	at := heartbeatID{pending.heartbeat.AgentEpoch, pending.heartbeat.Sequence}
	if isStale(at, k.lastHeartbeats[machine.Host()]) {
		pending.refuse() // a late report: the worker has said more since
		return
	}
	if session.pending != nil {
		session.pending.refuse() // given up on by the worker
		session.pending = nil
	}
	if pending.heartbeat.FencingToken != fencingToken || !k.Cache.HasReachedEpoch(k.State.OwnedShard(machine)) {
		// Sent before the worker knew of this holder, perhaps held up by a cut
		// for minutes: the holder before may have moved its tasks since. It
		// counts for nothing but to tell the worker the token. The same while
		// ranges of the share may still be unknown here: see mirror.Knows.
		k.lastHeartbeats[machine.Host()] = at
		if machine.IsLost() {
			session.unconfirmedResponses = 0
		} else if k.IgnoresToken(machine) {
			// Answered on and on, its lease would count as running for ever, and what it
			// may run would be waited for.
			pending.refuse()
			return
		}
		k.State.RecordContact(machine, pending.receivedAt)
		if !k.firstContact.EnqueueResponse(machine, func() { k.respondWithToken(pending, machine) }) {
			pending.refuse()
		}
		return
	}
	k.ApplyHeartbeat(machine, pending.heartbeat, pending.receivedAt)
	k.schedule() // so that what takes the freed room goes out with this answer
	session.pending = pending
	k.respondOrDelay(machine, session)
}

// respondWithToken answers a worker with the token and nothing else.
func (k *Manager) respondWithToken(pending *pendingHeartbeat, machine *clusterstate.Machine) {
	fencingToken, reply := k.authorize(pending, machine, k.sessionOf(machine))
	if reply.StatusCode == 0 {
		reply = HeartbeatReply{StatusCode: 200, Response: workerapi.HeartbeatResponse{FencingToken: fencingToken, Commands: []workerapi.Command{}}}
	}
	if !k.State.IsCurrentMachine(machine) || time.Since(pending.receivedAt) > tuning.MaxHeartbeatAge {
		reply = HeartbeatReply{StatusCode: 503}
	}
	if reply.StatusCode == 200 {
		k.sessionOf(machine).unconfirmedResponses++
	}
	pending.reply <- reply
}

// ApplyHeartbeat takes in a report under the present token.
func (k *Manager) ApplyHeartbeat(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, at time.Time) {
	newSession := heartbeat.AgentEpoch > k.lastHeartbeats[machine.Host()].agentEpoch
	k.lastHeartbeats[machine.Host()] = heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
	k.inbound.ObserveHeartbeat(time.Now())
	wasGone := k.State.BeginHeartbeat(machine, at)
	quiet, delivery := k.applyTasks(machine, heartbeat, newSession)
	quiet = quiet && !wasGone && !newSession
	k.trackCommandDelivery(machine, delivery, newSession, at)
	if k.State.EndHeartbeat(machine, len(heartbeat.Tasks) == 0, quiet) {
		k.Reconciler.WorkerConfirmed(machine, time.Now())
	}
}

// trackCommandDelivery judges whether what is said to a worker arrives. Orders that do not show in the
// next report, and one lease that ends after the other, tell that it does not; a session that
// lasts longer than a lease tells that it does. (It then tries one controller after the
// other, so that with a short lease each report to its holder is of another session.)
func (k *Manager) trackCommandDelivery(machine *clusterstate.Machine, delivery commandDelivery, newSession bool, now time.Time) {
	session := k.sessionOf(machine)
	session.unconfirmedResponses = 0
	expired := newSession && !session.startedAt.IsZero()
	if newSession || session.startedAt.IsZero() {
		session.startedAt = now
	}
	switch lasts := now.Sub(session.startedAt) > k.cfg.WorkerLeaseExpiryDelay(); {
	case expired || delivery == commandsMissed:
		session.missedCommands++
	case delivery == commandsDelivered || lasts:
		session.missedCommands = 0
	}
	if isDeaf := machine.HasNoInbound(); !isDeaf && session.missedCommands >= tuning.InboundLossThreshold {
		k.log.Info("worker does not hear", "worker", machine.Host())
		k.State.SetNoInbound(machine, true, now)
	} else if isDeaf && session.missedCommands == 0 {
		k.log.Info("worker hears again", "worker", machine.Host())
		k.State.SetNoInbound(machine, false, now)
	}
}

// IgnoresToken tells whether a worker was answered with the present token again and again, and no
// report shows it.
func (k *Manager) IgnoresToken(machine *clusterstate.Machine) bool {
	session := k.sessions[machine]
	return session != nil && session.unconfirmedResponses >= tuning.MaxUnseenTokenAnswers
}

// authorize tells whether a report may be answered, and with which token; the
// verdict is set if not.
func (k *Manager) authorize(pending *pendingHeartbeat, machine *clusterstate.Machine, ses *agentSession) (uint64, HeartbeatReply) {
	shard := k.State.OwnedShard(machine)
	if shard == nil {
		reply := HeartbeatReply{StatusCode: 421}
		if h := k.Membership.Shard(machine.Record().Shard); k.Membership.OwnerIsLive(h) && h.Owner() != k.cfg.Node {
			reply.OwnerNode = h.Owner()
			k.misdirected[machine.Record().Shard] = append(k.misdirected[machine.Record().Shard], time.Now())
		}
		return 0, reply
	}
	if holder, yes := k.Peers.NewerOwner(shard.ID(), shard.Epoch()); yes {
		return 0, HeartbeatReply{StatusCode: 421, OwnerNode: holder}
	}
	fencingToken := max(shard.Epoch(), machine.Revision())
	// Given away, it may have another holder already, who counts on it that nobody is
	// answered any more.
	if shard.IsTransferred() || !k.Cache.MayRenewWorkerLeases(time.Now()) || pending.heartbeat.FencingToken > fencingToken || pending.heartbeat.AgentEpoch <= ses.closedEpoch {
		return 0, HeartbeatReply{StatusCode: 503}
	}
	return fencingToken, HeartbeatReply{}
}

// respondOrDelay answers a worker's report, or keeps it a moment longer if there is
// nothing to say: a launch that is decided meanwhile then needs no further
// report. It is kept no longer than the worker would be silent anyway (a
// change is reported half a second after the last report at the earliest), or,
// for a worker without tasks, for a part of its report interval.
func (k *Manager) respondOrDelay(machine *clusterstate.Machine, s *agentSession) {
	pending := s.pending
	if pending == nil {
		return
	}
	if !k.State.IsCurrentMachine(machine) {
		s.pending = nil
		pending.refuse()
		return
	}
	fencingToken, reply := k.authorize(pending, machine, s)
	if reply.StatusCode != 0 {
		s.pending = nil
		pending.reply <- reply
		return
	}
	left := k.MaxResponseDelay(machine.AssignmentCount() == 0 && len(pending.heartbeat.Tasks) == 0) - time.Since(pending.receivedAt)
	if left > 0 && pending.heartbeat.FencingToken == fencingToken && k.State.IsUsable(machine) && !k.hasCommands(machine) {
		if !pending.isDelayed {
			pending.isDelayed = true
			k.mailbox.SendAfter(left, func() {
				if s.pending == pending {
					k.respondOrDelay(machine, s)
				}
			})
		}
		return
	}
	k.respond(machine, s)
}

// MaxResponseDelay is how long a report may be kept for orders, the longer if its worker has no tasks.
func (k *Manager) MaxResponseDelay(idle bool) time.Duration {
	if !idle {
		return tuning.BusyHeartbeatAnswerDelay
	}
	return max(tuning.BusyHeartbeatAnswerDelay, min(tuning.IdleHeartbeatAnswerDelay, config.Seconds(k.cfg.Cluster.Workers.ReportS/2)))
}

// respond answers the report of a worker that waits, with all orders for it.
func (k *Manager) respond(machine *clusterstate.Machine, s *agentSession) {
	pending := s.pending
	s.pending = nil
	fencingToken, reply := k.authorize(pending, machine, s)
	if reply.StatusCode != 0 {
		pending.reply <- reply
		return
	}
	commands := k.commands(machine, pending.heartbeat)
	k.Reconciler.CommandsSent(machine, commands, time.Now())
	pending.reply <- HeartbeatReply{StatusCode: 200, Response: workerapi.HeartbeatResponse{FencingToken: fencingToken, Commands: commands}}
}

// SendResponses answers the reports that wait and for which there are orders by now.
func (k *Manager) SendResponses() {
	k.requestReadBarrier(time.Now())
	for _, machine := range k.State.OwnedMachines() {
		if session := k.sessions[machine]; session != nil && session.pending != nil && k.hasCommands(machine) {
			k.respondOrDelay(machine, session)
		}
	}
}

// register gives an unknown worker to a share, durably, before answering it.
func (k *Manager) register(pending *pendingHeartbeat) {
	host := pending.heartbeat.Host
	shardID := k.leastLoadedShard(pending.heartbeat.Zone, pending.heartbeat.MachineType)
	shard := k.Membership.Shard(shardID)
	if k.Cache.IsStale(time.Now()) || k.registering[host] || shard == nil {
		pending.refuse()
		return
	}
	key := jobs.WorkerPrefix + host
	place := [2]string{shardID, pending.heartbeat.MachineType}
	k.registering[host] = true
	k.registeringByType[place]++
	k.Cache.Commit(kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key}, {Key: jobs.ShardPrefix + shardID, Revision: shard.Epoch()}},
		Writes: []kvstore.Write{{Key: key, Value: kvstore.Encode(workerapi.Record{Shard: shardID, Addr: pending.heartbeat.Addr,
			MachineType: pending.heartbeat.MachineType, Zone: pending.heartbeat.Zone, Spot: pending.heartbeat.Spot, RegisteredAtMS: time.Now().UnixMilli()})}},
	}, func(kvstore.TxnResult, error) {
		delete(k.registering, host)
		k.registeringByType[place]--
		machine := k.State.Machine(host)
		if machine == nil {
			pending.refuse()
			return
		}
		k.Reconciler.WorkerRegistered(machine, time.Now())
		k.log.Info("worker enrolled", "worker", host, "share", machine.Record().Shard,
			"build", pending.heartbeat.MachineType, "zone", pending.heartbeat.Zone, "spot", pending.heartbeat.Spot)
		k.process(pending)
	})
}

// leastLoadedShard picks the share of a new worker: one whose home is in the worker's
// zone, and of these the one with the fewest workers of the type.
func (k *Manager) leastLoadedShard(zone, build string) string {
	var local, all []string
	for _, p := range k.cfg.Members() {
		all = append(all, p.Node)
		if p.Zone == zone {
			local = append(local, p.Node)
		}
	}
	if len(local) == 0 {
		local = all
	}
	slices.Sort(local)
	best, least := "", 0
	for _, n := range local {
		c := k.registeringByType[[2]string{n, build}] // a wave of new machines is spread, too
		for machine := range k.State.Machines() {
			if rec := machine.Record(); rec.Shard == n && rec.MachineType == build && !machine.IsLost() {
				c++
			}
		}
		if best == "" || c < least {
			best, least = n, c
		}
	}
	return best
}
