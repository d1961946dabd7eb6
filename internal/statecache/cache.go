// Package statecache keeps a controller's cache of the records in the key-value store. It loads the
// records, watches them for changes, commits writes, and tracks the time as of which the cache is
// consistent with the store. It passes the contents of the records to the cluster state and to the
// other components that own them.
package statecache

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admin"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/readbarrier"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Store is the key-value store whose records are cached.
type Store = kvstore.Service

// Hooks are the callbacks by which the cache notifies and consults other components. They are
// called on the actor.
type Hooks struct {
	// Reset is called after the cache was emptied and before all records are applied again.
	Reset func()
	// MachineOwnerChanged is called when this or another controller has acquired a machine's
	// shard.
	MachineOwnerChanged func(machine *clusterstate.Machine)
	// MachineMoved is called when a machine was moved to another shard. droppedTasks is the number of
	// tasks that were assigned to the machine; the move has dropped the assignments.
	MachineMoved func(machine *clusterstate.Machine, droppedTasks int)
	// MachineRemoved is called when a machine's record was deleted.
	MachineRemoved func(machine *clusterstate.Machine)
	// WatchEventsApplied is called after the changes that the watch delivered were applied.
	WatchEventsApplied func()
	// ShouldAwaitHandover reports whether to postpone the acquisition of a shard because its live owner
	// was requested to hand it over.
	ShouldAwaitHandover func(shard string, now time.Time) (wait bool)
	// HasControllerFailed reports whether a controller is considered failed although its lease has
	// not expired.
	HasControllerFailed func(controller string, now time.Time) bool
	// ShardAcquired is called when a controller has acquired a shard.
	ShardAcquired func(owner string)
	// OwnerRecordWritten is called after the cache has applied a record of a kind that only the
	// shard's owner writes.
	OwnerRecordWritten func(shard string)
	// JobCancelled is called when this controller learns that a job was cancelled, before the
	// job's claims are removed from the cluster state.
	JobCancelled func(cancellation JobCancellation)
	// SetLogLevel is called when the operators have changed the log level.
	SetLogLevel func(level string)
	// FeaturesEnabled is called once, when all controllers are known to run a version that can read
	// featuregate.Dependencies.
	FeaturesEnabled func()
	// PipelineEvents receives the changes of the records under jobs.OpaquePrefix, which the cache
	// passes on without decoding them. reload is true if some changes were missed, so that all of
	// these records have to be listed again.
	PipelineEvents func(events []kvstore.Event, reload bool)
}

// Dependencies are the components that own the contents of the records.
type Dependencies struct {
	State             *clusterstate.State
	Membership        *membership.Table
	MachineTypes      *machinetype.Catalog
	CompletionBatches *completionbatch.Index
	Quotas            *quota.Allocations
	FeatureGate       *featuregate.Gate
}

// Cache is the cache of the store's records. It has no locks: only the actor that owns it calls its
// exported methods.
type Cache struct {
	Dependencies
	mailbox     *actor.Mailbox
	cfg         *config.Config
	incarnation uint64
	store       Store
	log         *slog.Logger
	hooks       Hooks

	synced          bool
	appliedRevision uint64    // all changes up to this revision were applied
	loadedRevision  uint64    // the newest revision whose changes the last load may contain
	consistentAsOf  time.Time // all changes committed before this time were applied
	lastContactAt   time.Time // time of the last response of the store
	revisionHistory revisionHistory
	revisionWaiters []revisionWaiter
	// tombstones maps each key that was deleted after appliedRevision to the revision of the
	// deletion: the watch may still deliver older writes of the key.
	tombstones         map[string]uint64
	quarantinedRecords map[string]QuarantinedRecord
	readBarrier        *readbarrier.Queue

	cancelWatch      context.CancelFunc // ends the watch request in flight
	watchBehindSince time.Time          // since when the watch has lagged behind a known revision; zero if it does not lag

	finalStates             *lru.Cache[string, jobs.FinalState]
	finalStateReadsInFlight int // counts only reads that lookUpDependencyFinalStates has started

	settings         admin.Settings
	settingsRevision uint64

	acquisitionsInFlight map[string]bool // the shards that are being acquired
	acquisitionStopped   bool            // set by StopAcquiringShards

	livenessEnabled       atomic.Bool // read by maintainLiveness
	livenessRewriteNeeded atomic.Bool // read by maintainLiveness, set by checkLivenessRecord
	livenessMissingSince  time.Time   // since when this controller's liveness record has been missing; zero if it is not missing

	versionWriteInFlight bool // a write of the version record is in flight
	featuresEnabled      bool // hooks.FeaturesEnabled was called
	upgradeLogged        bool // the log says that all controllers run this version
}

// New returns an empty cache for one incarnation (process run) of the controller. The cache does not
// access the store before Start.
func New(mailbox *actor.Mailbox, cfg *config.Config, incarnation uint64, store Store, dependencies Dependencies, hooks Hooks, log *slog.Logger) *Cache {
	finalStates, err := lru.New[string, jobs.FinalState](tuning.MaxCachedFinalStates)
	if err != nil {
		panic(err) // lru.New fails only for sizes below 1
	}
	c := &Cache{
		Dependencies:         dependencies,
		mailbox:              mailbox,
		cfg:                  cfg,
		incarnation:          incarnation,
		store:                store,
		log:                  log,
		hooks:                hooks,
		finalStates:          finalStates,
		settings:             admin.DefaultSettings(),
		acquisitionsInFlight: map[string]bool{},
		tombstones:           map[string]uint64{},
		quarantinedRecords:   map[string]QuarantinedRecord{},
		revisionHistory:      revisionHistory{maxAge: cfg.CancellationEffectiveDelay()},
	}
	c.readBarrier = readbarrier.New(c.readRevision, func() {
		mailbox.Send(func() { c.readBarrier.HandleTimer(time.Now()) })
	})
	c.livenessEnabled.Store(true)
	c.State.Dependencies().SetFinalStateLookup(func(ref string) jobdag.FinalState {
		final, _ := c.CachedFinalState(ref)
		return jobdag.FinalStateOf(final.Status)
	})
	return c
}

// Start starts the goroutines that load and watch the records and maintain this controller's liveness
// record. They run until the actor ends.
func (c *Cache) Start() {
	go c.syncLoop(c.mailbox.Context())
	go c.maintainLiveness(c.mailbox.Context())
}

// Synced reports whether the cache holds a complete load of the records. It is false before the
// first load, and after each load until the watch has delivered the changes made during that load.
func (c *Cache) Synced() bool { return c.synced }

// AppliedRevision returns the revision up to which all changes were applied.
func (c *Cache) AppliedRevision() uint64 { return c.appliedRevision }

// LoadedRevision returns the newest revision whose changes the last load may contain. The cache did not
// learn of changes up to that revision one by one, such as of the cancellation of a job.
func (c *Cache) LoadedRevision() uint64 { return c.loadedRevision }

// LastContactAt returns when the store last responded to this controller.
func (c *Cache) LastContactAt() time.Time { return c.lastContactAt }

// ConsistentAsOf returns the time as of which the cache is consistent with the store: all changes
// committed before that time were applied, and later changes may be missing.
func (c *Cache) ConsistentAsOf() time.Time { return c.consistentAsOf }

// IsKnownToAll reports whether the change with a revision was committed so long ago that no controller
// starts a task without knowing of the change.
func (c *Cache) IsKnownToAll(revision uint64, now time.Time) bool {
	return c.revisionHistory.isOlder(revision, c.cfg.CancellationEffectiveDelay(), now)
}

// IsStale reports whether the cache is too old for decisions that depend on records which other
// controllers may have changed.
func (c *Cache) IsStale(now time.Time) bool {
	return now.Sub(c.consistentAsOf) > tuning.ControllerLeaseTTL
}

// MayRenewWorkerLeases reports whether this controller may answer workers' heartbeats, which renews
// the workers' leases. The rule is explained at config.Config.MayAnswerHeartbeats.
func (c *Cache) MayRenewWorkerLeases(now time.Time) bool {
	return c.synced && c.cfg.MayAnswerHeartbeats(now, c.consistentAsOf)
}

// Settings returns the operators' current settings and their version, which is the revision of
// their record. The version is 0 if there is no record, and the settings are then the defaults.
func (c *Cache) Settings() (settings admin.Settings, version uint64) {
	return c.settings, c.settingsRevision
}

// Tick does the periodic work. The actor calls it several times a second.
func (c *Cache) Tick(now time.Time) {
	c.revisionHistory.observe(c.appliedRevision, now)
	c.restartStuckWatch(now)
	c.checkLivenessRecord(now)
	c.writeVersionRecord()
	c.lookUpDependencyFinalStates(now)
	c.AcquireShards(now)
	c.readBarrier.StartIfDue(now)
}

// reset empties the cache before a load is applied.
func (c *Cache) reset() {
	c.synced = false
	c.tombstones = map[string]uint64{}
	c.quarantinedRecords = map[string]QuarantinedRecord{}
	c.Membership.Reset()
	c.State.Reset()
	c.CompletionBatches.Reset()
	c.Quotas.Reset()
	c.FeatureGate.Reset()
	c.hooks.Reset()
}
