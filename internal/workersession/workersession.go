// Package workersession manages the agent sessions of the workers: it answers their heartbeats with
// commands, probes workers that have a new owner, sends commands that cannot wait for the next
// heartbeat directly, and applies what workers report of their tasks.
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
	// Inspect asks a worker for its heartbeat only to see whether the worker can be reached.
	Inspect(ctx context.Context, addr string) error
	// Execute sends commands. It returns the worker's present heartbeat, and whether the worker
	// has executed the commands.
	Execute(ctx context.Context, addr string, request workerapi.CommandRequest) (heartbeat *workerapi.Heartbeat, done bool, err error)
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
	mailbox  *actor.Mailbox
	cfg      *config.Config
	workers  WorkerClient // nil: no request is sent to workers
	schedule func()       // runs a scheduling cycle, so that its commands go out with a response
	log      *slog.Logger

	startedAt       time.Time                               // of this process
	sessions        map[*clusterstate.Machine]*agentSession // by worker
	lastHeartbeats  map[string]heartbeatID                  // by worker
	earlyHeartbeats []*pendingHeartbeat                     // see isEarly
	misdirected     map[string][]time.Time                  // by shard, see MisdirectedHeartbeats
	removedWorkers  *lru.Cache[string, bool]                // by worker, see RemoveWorker
	registrations   registrations
	inbound         reachability.Monitor
	firstContact    *reconciliation.FirstContact
	exchanges       directExchanges
	// isReadBarrierPending is true while requestReadBarrier waits for an answer.
	isReadBarrierPending bool
}

// New returns a manager without sessions. schedule is called when a heartbeat should be answered
// with new scheduling decisions. workers may be nil.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, workers WorkerClient, schedule func(), log *slog.Logger) *Manager {
	removedWorkers, err := lru.New[string, bool](tuning.MaxRememberedRemovedMachines)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	m := &Manager{
		Dependencies:   deps,
		mailbox:        mailbox,
		cfg:            cfg,
		workers:        workers,
		schedule:       schedule,
		log:            log,
		startedAt:      time.Now(),
		sessions:       map[*clusterstate.Machine]*agentSession{},
		lastHeartbeats: map[string]heartbeatID{},
		misdirected:    map[string][]time.Time{},
		removedWorkers: removedWorkers,
		registrations:  newRegistrations(),
	}
	var prober reconciliation.Prober
	if workers != nil {
		prober = workers
	}
	m.firstContact = reconciliation.NewFirstContact(mailbox, cfg, deps.Reconciler.Dependencies, prober, m)
	m.exchanges.limiter = reconciliation.NewContactLimiter(cfg, tuning.DirectCommandCPUFraction)
	return m
}

// Reset drops all sessions, since the records are read again. Probes and exchanges in flight still
// complete.
func (m *Manager) Reset() {
	for _, session := range m.sessions {
		session.refusePending()
	}
	m.sessions = map[*clusterstate.Machine]*agentSession{}
	m.exchanges.queue = nil
	m.isReadBarrierPending = false
	m.firstContact.Reset()
}

// FirstContact returns the first contacts with workers that have a new owner.
func (m *Manager) FirstContact() *reconciliation.FirstContact { return m.firstContact }

// RemoveWorker drops a worker that no longer exists. Its name is never used again and is remembered, so
// that a late copy of a heartbeat is refused. Such a copy once registered the worker anew: it counted
// as a paid machine, and its shard waited for it.
func (m *Manager) RemoveWorker(machine *clusterstate.Machine) {
	m.removedWorkers.Add(machine.Host(), true)
	delete(m.lastHeartbeats, machine.Host())
	delete(m.sessions, machine)
	m.firstContact.RemoveWorker(machine)
}

// Tick does the periodic work. The owning actor calls it several times a second.
func (m *Manager) Tick(now time.Time) {
	m.checkReachability(now)
	m.contactOverdue(now)
	m.clearSuspectedJobs(now)
	for shardID := range m.misdirected {
		m.MisdirectedHeartbeats(shardID, now) // drops the old ones
	}
	m.ProcessEarlyHeartbeats()
}

// isOwned reports whether a worker still exists and its shard is local.
func (m *Manager) isOwned(machine *clusterstate.Machine) bool {
	return m.State.OwnedShard(machine) != nil && m.State.IsCurrentMachine(machine)
}
