// Package statecache keeps a controller's cache of the records in the key-value store: it loads
// them, follows their changes, commits writes, and knows as of which moment the cache is
// consistent with the store. What the records contain goes to the cluster state and to the other
// components that own it.
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

// Store is the key-value store that the cache follows.
type Store = kvstore.Service

// Hooks are called on the actor when something has happened on which other components act.
type Hooks struct {
	// Reset is called before all records are loaded anew.
	Reset func()
	// MachineOwnerChanged is called when a machine's shard was acquired by a controller, this
	// one or another.
	MachineOwnerChanged func(machine *clusterstate.Machine)
	// MachineMoved is called when a machine was moved to another shard.
	MachineMoved func(machine *clusterstate.Machine)
	// MachineRemoved is called when a machine's record was deleted.
	MachineRemoved func(machine *clusterstate.Machine)
	// CaughtUp is called when changes from the watch were applied.
	CaughtUp func()
	// AwaitHandover reports whether not to acquire a shard yet that another live controller owns,
	// because that one was requested to hand it over.
	AwaitHandover func(shard string, now time.Time) (wait bool)
	// ControllerFailed reports whether a controller is considered failed although its lease has
	// not expired.
	ControllerFailed func(controller string, now time.Time) bool
	// ShardAcquired is called when a controller has acquired a shard.
	ShardAcquired func(owner string)
	// OwnerRecordWritten is called for each record that only the owner of a shard writes.
	OwnerRecordWritten func(shard string)
	// JobCancelled is called when a job becomes known to be cancelled by the record of a
	// revision, before its claims are removed from the cluster state. doneTasks is how many of
	// its tasks had finished.
	JobCancelled func(ref string, doneTasks int, revision uint64)
	// SetLogLevel is called when the operators have changed the log level.
	SetLogLevel func(level string)
	// FeaturesEnabled is called once when all controllers are known to run a program like this
	// one or a later one.
	FeaturesEnabled func()
	// PipelineEvents gets the changes of records that the cache passes on without reading them
	// (jobs.OpaquePrefix). reload reports that some changes were missed, so that all of
	// these records have to be listed again.
	PipelineEvents func(events []kvstore.Event, reload bool)
}

// Dependencies are the components that own what the records contain.
type Dependencies struct {
	State             *clusterstate.State
	Membership        *membership.Table
	MachineTypes      *machinetype.Catalog
	CompletionBatches *completionbatch.Index
	Quotas            *quota.Allocations
	FeatureGate       *featuregate.Gate
}

// Cache is the cache of the store's records. It has no locks: all methods are called by the
// actor that owns it.
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
	loadedRevision  uint64    // the newest revision that the last load may contain changes of
	consistentAsOf  time.Time // all changes decided before this moment were applied
	lastContactAt   time.Time // last response of the store
	// tombstones are the revisions of keys that were deleted beyond appliedRevision: the watch
	// may still deliver older writes of them.
	tombstones  map[string]uint64
	quarantined map[string]QuarantinedRecord
	readBarrier *readbarrier.Queue

	cancelWatch      context.CancelFunc // ends the watch request in flight
	watchBehindSince time.Time          // zero: not behind; see restartStuckWatch

	finalStates  *lru.Cache[string, jobs.FinalState]
	finalLookups int // in flight, see lookUpDependencyFinals

	settings         admin.Settings
	settingsRevision uint64

	acquiring          map[string]bool // shards whose acquisition is in flight
	acquisitionStopped bool            // see StopAcquiringShards

	livenessEnabled      atomic.Bool // read by maintainLiveness
	rewriteLiveness      atomic.Bool // read by maintainLiveness, set by checkLivenessRecord
	livenessMissingSince time.Time   // see checkLivenessRecord

	writingVersion  bool // the version record's write is in flight
	featuresEnabled bool // hooks.FeaturesEnabled was called
}

// New makes an empty cache for an incarnation of the controller's process; Start has it follow
// the store.
func New(mailbox *actor.Mailbox, cfg *config.Config, incarnation uint64, store Store, dependencies Dependencies, hooks Hooks, log *slog.Logger) *Cache {
	finalStates, err := lru.New[string, jobs.FinalState](tuning.MaxCachedFinalStates)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	c := &Cache{
		Dependencies: dependencies,
		mailbox:      mailbox,
		cfg:          cfg,
		incarnation:  incarnation,
		store:        store,
		log:          log,
		hooks:        hooks,
		finalStates:  finalStates,
		settings:     admin.DefaultSettings(),
		acquiring:    map[string]bool{},
		tombstones:   map[string]uint64{},
		quarantined:  map[string]QuarantinedRecord{},
	}
	c.readBarrier = readbarrier.New(c.readRevision, func() {
		mailbox.Send(func() { c.readBarrier.HandleTimer(time.Now()) })
	})
	c.livenessEnabled.Store(true)
	c.State.Dependencies().SetRememberedState(func(ref string) jobdag.FinalState {
		final, _ := c.Final(ref)
		return jobdag.FinalStateOf(final.Status)
	})
	return c
}

// Start follows the store, and keeps this controller's liveness record, until the actor ends.
func (c *Cache) Start() {
	go c.syncLoop(c.mailbox.Context())
	go c.maintainLiveness(c.mailbox.Context())
}

// Synced reports whether the cache holds a complete load of the records. It is false before the
// first load, and after each until the watch has delivered the changes that happened during it.
func (c *Cache) Synced() bool { return c.synced }

// AppliedRevision returns the revision up to which all changes were applied.
func (c *Cache) AppliedRevision() uint64 { return c.appliedRevision }

// LastContactAt returns when the store last responded to this controller.
func (c *Cache) LastContactAt() time.Time { return c.lastContactAt }

// ConsistentAsOf returns the time as of which the cache is consistent with the store: all changes
// decided before it were applied, later ones may be missing.
func (c *Cache) ConsistentAsOf() time.Time { return c.consistentAsOf }

// IsStale reports whether the cache is too old to decide on records that other controllers may
// have changed as well.
func (c *Cache) IsStale(now time.Time) bool {
	return now.Sub(c.consistentAsOf) > tuning.ControllerLeaseTTL
}

// MayRenewWorkerLeases reports whether heartbeats of workers may be answered, which renews their
// leases: see config.MayAnswerHeartbeats.
func (c *Cache) MayRenewWorkerLeases(now time.Time) bool {
	return c.synced && c.cfg.MayAnswerHeartbeats(now, c.consistentAsOf)
}

// Settings returns the operators' settings in force and their version, which is the revision of
// their record (0: there is none, and these are the defaults).
func (c *Cache) Settings() (settings admin.Settings, version uint64) {
	return c.settings, c.settingsRevision
}

// Tick does the periodic work. The actor calls it several times a second.
func (c *Cache) Tick(now time.Time) {
	c.restartStuckWatch(now)
	c.checkLivenessRecord(now)
	c.writeVersionRecord()
	c.lookUpDependencyFinals(now)
	c.AcquireShards(now)
	c.readBarrier.StartIfDue(now)
}

// reset empties the cache before a load is applied.
func (c *Cache) reset() {
	c.synced = false
	c.tombstones = map[string]uint64{}
	c.quarantined = map[string]QuarantinedRecord{}
	c.Membership.Reset()
	c.State.Reset()
	c.CompletionBatches.Reset()
	c.Quotas.Reset()
	c.FeatureGate.Reset()
	c.hooks.Reset()
}
