// Package workersession manages the agent sessions of the workers: it answers their heartbeats with
// commands, probes workers whose shard has a new owner, sends commands that cannot wait for the next
// heartbeat directly to the workers, and applies the task states that workers report.
package workersession

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/membership"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/reachability"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/startgate"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	lru "github.com/hashicorp/golang-lru/v2"
)

// WorkerClient sends requests to workers at their own addresses.
type WorkerClient interface {
	reconciliation.Prober
	// Inspect asks a worker for its heartbeat, only to check whether the worker can be reached.
	Inspect(ctx context.Context, addr string) error
	// Execute sends commands. It returns the worker's current heartbeat, and whether the worker
	// has executed the commands.
	Execute(ctx context.Context, addr string, request workerapi.CommandRequest) (heartbeat *workerapi.Heartbeat, executed bool, err error)
}

// Dependencies are the components of the same actor that the manager reads and changes.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
	Peers      *peerstatus.Tracker
	Faults     *faultattribution.Attributor
	ClassStats *classstats.Stats
	Reconciler *reconciliation.Reconciler
	Claims     *claims.Writer
	Gate       *startgate.Gate
	Decisions  *decisionlog.Log
	Violations *decisionlog.Violations
}

// Manager manages the agent sessions. It has no locks: the actor whose mailbox it was given owns it.
type Manager struct {
	Dependencies
	mailbox      *actor.Mailbox
	cfg          *config.Config
	workerClient WorkerClient // if nil, no requests are sent to workers
	schedule     func()       // runs a scheduling cycle before a response, which can then contain the new commands
	log          *slog.Logger

	startedAt           time.Time                               // when this process started
	sessions            map[*clusterstate.Machine]*agentSession // by worker
	lastHeartbeats      map[string]heartbeatID                  // by host name
	deferredHeartbeats  []*pendingHeartbeat                     // heartbeats for which mustDefer returned true
	misdirectedAt       map[string][]time.Time                  // by shard, the times at which heartbeats were redirected
	removedWorkers      *lru.Cache[string, bool]                // host names of workers that RemoveWorker has dropped
	registrations       registrations
	reachabilityMonitor reachability.Monitor
	firstContact        *reconciliation.FirstContact
	directRequests      directRequestQueue
	// isReadBarrierPending is true while a read that requestReadBarrier has requested is in flight.
	isReadBarrierPending bool
}

// New returns a manager without sessions. schedule runs a scheduling cycle; it is called before a heartbeat is
// answered, so that the response contains the new decisions. If workerClient is nil, no requests are sent to
// workers.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, workerClient WorkerClient, schedule func(), log *slog.Logger) *Manager {
	removedWorkers, err := lru.New[string, bool](tuning.MaxRememberedRemovedMachines)
	if err != nil {
		panic(err) // lru.New fails only if the size is below 1
	}
	m := &Manager{
		Dependencies:   deps,
		mailbox:        mailbox,
		cfg:            cfg,
		workerClient:   workerClient,
		schedule:       schedule,
		log:            log,
		startedAt:      time.Now(),
		sessions:       map[*clusterstate.Machine]*agentSession{},
		lastHeartbeats: map[string]heartbeatID{},
		misdirectedAt:  map[string][]time.Time{},
		removedWorkers: removedWorkers,
		registrations:  newRegistrations(),
	}
	var prober reconciliation.Prober
	if workerClient != nil {
		prober = workerClient
	}
	m.firstContact = reconciliation.NewFirstContact(mailbox, cfg, deps.Reconciler.Dependencies, prober, m)
	m.directRequests.limiter = reconciliation.NewContactLimiter(cfg, tuning.DirectRequestCPUFraction)
	return m
}

// Reset drops all sessions. It is called when the records are read again. Probes and direct requests that are in
// flight are not aborted.
func (m *Manager) Reset() {
	for _, session := range m.sessions {
		session.refusePending()
	}
	m.sessions = map[*clusterstate.Machine]*agentSession{}
	m.directRequests.queue = nil
	m.isReadBarrierPending = false
	m.firstContact.Reset()
}

// FirstContact returns the component that contacts workers for the first time after their shard was acquired.
func (m *Manager) FirstContact() *reconciliation.FirstContact { return m.firstContact }

// RemoveWorker drops a worker that no longer exists. The worker's name, which is never used again, is kept, so that a
// heartbeat that arrives late is refused. Otherwise such a heartbeat would register the worker again: the worker
// would count as a paid machine, and its shard would wait for it.
func (m *Manager) RemoveWorker(machine *clusterstate.Machine) {
	m.removedWorkers.Add(machine.Host(), true)
	delete(m.lastHeartbeats, machine.Host())
	delete(m.sessions, machine)
	m.firstContact.RemoveWorker(machine)
}

// Tick does the periodic work. The actor that owns the manager calls it several times a second.
func (m *Manager) Tick(now time.Time) {
	m.checkReachability(now)
	m.queryOverdueWorkers(now)
	m.clearSuspectedJobs(now)
	for shardID := range m.misdirectedAt {
		m.MisdirectedHeartbeatCount(shardID, now) // called to drop old entries
	}
	m.ProcessDeferredHeartbeats()
}

// isOwned reports whether a worker still exists and its shard is local.
func (m *Manager) isOwned(machine *clusterstate.Machine) bool {
	return m.State.OwnedShard(machine) != nil && m.State.IsCurrentMachine(machine)
}
