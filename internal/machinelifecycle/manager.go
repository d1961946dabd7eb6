// Package machinelifecycle manages the machines of the local shards until they are released. It
// handles missed heartbeats, lease expiry, drains by operators, idle and surplus machines, the
// release through the cloud, and the transfer of idle machines to a shard that needs them for a gang.
package machinelifecycle

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workersession"
)

// Cloud is the part of the cloud's interface that the manager uses. The manager calls it from
// separate goroutines, never from the actor's goroutine.
type Cloud interface {
	// Release returns machines to the cloud. It is idempotent.
	Release(ctx context.Context, hosts []string) error
	// List returns the cloud's list of machines, which may be out of date.
	List(ctx context.Context) ([]cloud.Machine, error)
}

// Dependencies are the components of the same actor that the manager reads and changes.
type Dependencies struct {
	State        *clusterstate.State
	Membership   *membership.Table
	Cache        *statecache.Cache
	MachineTypes *machinetype.Catalog
	Faults       *faultattribution.Attributor
	Sessions     *workersession.Manager
	Scheduler    *scheduler.Scheduler
	Reconciler   *reconciliation.Reconciler
	Decisions    *decisionlog.Log
}

// Manager manages the machines of the local shards. It has no locks: all methods are called
// by the actor that owns the Manager.
type Manager struct {
	Dependencies
	mailbox  *actor.Mailbox
	cfg      *config.Config
	provider Cloud
	log      *slog.Logger

	checkCursor         int                     // number of owned machines checked in the current pass
	pendingReleases     []*clusterstate.Machine // machines marked as releasing whose release is not requested from the cloud yet
	lastReleaseAt       time.Time               // when the last release request was sent
	isReleaseInFlight   bool
	isListInFlight      bool
	lastListAt          time.Time // when the last machine list was received
	lastMaintenanceAt   time.Time // when Maintain last ran
	lastConsolidationAt time.Time // when consolidate last ran
	lastCheckAt         time.Time // when checkMachines last ran
	stallEndedAt        time.Time // end of the last stall of this process
}

// New returns a manager without pending work.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, provider Cloud, log *slog.Logger) *Manager {
	return &Manager{Dependencies: deps, mailbox: mailbox, cfg: cfg, provider: provider, log: log}
}

// Reset discards the pending releases. It is called when the machines' records are read again.
func (m *Manager) Reset() { m.pendingReleases = nil }

// Tick checks a batch of machines, calls Maintain when it is due, and sends the pending releases.
func (m *Manager) Tick(now time.Time) {
	m.checkMachines(now)
	if now.Sub(m.lastMaintenanceAt) >= tuning.MaintenanceInterval {
		m.lastMaintenanceAt = now
		m.Maintain(now)
	}
	m.sendReleases()
}

// Maintain releases idle machines, marks and consolidates surplus machines, and transfers empty
// machines to shards that need them for a gang. It does nothing while the cache is stale.
func (m *Manager) Maintain(now time.Time) {
	// Without the key-value store the record of a released machine would stay, and the next
	// owner of the shard would wait for a worker that no longer exists.
	if m.Cache.IsStale(now) {
		return
	}
	buffers := m.Scheduler.GrowthBuffers(now)
	m.releaseIdle(now, buffers)
	m.markSurplus(buffers)
	m.consolidate(now)
	m.transferIdleMachines(now)
}
