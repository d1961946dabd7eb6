// Package machinelifecycle follows the machines of the local shards until they are released:
// missed heartbeats, lease expiry, operator drains, idle and surplus machines, release through
// the cloud, and the transfer of idle machines to a shard that needs them for a gang.
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

// Cloud is the part of the cloud's interface that the manager uses. It is called from
// goroutines of the manager's own, never from the actor.
type Cloud interface {
	// Release gives machines back. Releasing a machine twice does no harm.
	Release(ctx context.Context, hosts []string) error
	// List reads the cloud's list of machines, which may lag behind.
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
// by the actor that owns it.
type Manager struct {
	Dependencies
	mailbox  *actor.Mailbox
	cfg      *config.Config
	provider Cloud
	log      *slog.Logger

	checkCursor     int                     // number of owned machines already checked in this pass
	pendingReleases []*clusterstate.Machine // marked as releasing, not yet sent to the cloud
	lastReleaseAt   time.Time               // when the last release request was sent
	releaseInFlight bool
	listInFlight    bool
	listedAt        time.Time // when the last machine list was received
	maintainedAt    time.Time // when Maintain last ran
	consolidatedAt  time.Time // when consolidate last ran
	lastCheckAt     time.Time // when checkMachines last ran
	resumedAt       time.Time // end of the last stall of this process
}

// New returns a manager without pending work.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, provider Cloud, log *slog.Logger) *Manager {
	return &Manager{Dependencies: deps, mailbox: mailbox, cfg: cfg, provider: provider, log: log}
}

// Reset discards the pending releases. It is called when the machines' records are read anew.
func (m *Manager) Reset() { m.pendingReleases = nil }

// Tick checks a batch of machines, runs the maintenance when it is due and sends pending
// releases.
func (m *Manager) Tick(now time.Time) {
	m.checkMachines(now)
	if now.Sub(m.maintainedAt) >= tuning.MaintenanceInterval {
		m.maintainedAt = now
		m.Maintain(now)
	}
	m.sendReleases()
}

// Maintain releases idle machines, marks and consolidates surplus ones, and transfers empty
// machines to shards that wait for them. It does nothing while the cache is stale.
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
