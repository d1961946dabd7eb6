// Package controller implements the actor that decides which tasks run on which machines.
//
// A Controller runs all its components on one goroutine, so that they can share state without locks.
// The components are the cluster state, the cache of the key-value store, the scheduler, the worker
// sessions, the reconciler, the handover of shards and the machine lifecycle. The package defines the
// order in which the components run in a tick and which of them are notified of a changed record. It
// also answers requests of users, of operators and of the other actors of the process.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/failuredetector"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/handover"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinelifecycle"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/quota"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/startgate"
	"cherrywall/internal/statecache"
	"cherrywall/internal/workersession"
)

// Controller schedules the tasks of the shards that it owns. Its exported methods may be called
// from any goroutine: they send a message to the goroutine that runs the components.
type Controller struct {
	cfg         *config.Config
	log         *slog.Logger
	incarnation uint64 // identifies this run of the process
	mailbox     *actor.Mailbox

	components
	diagnostics *diagnostics.Reporter

	// setLogLevel applies the log level of the operators' settings.
	setLogLevel func(level string)
	// sendToPeer queues messages to another controller; nil if there are no peers.
	sendToPeer PeerSender
	// onFeatureGateOpen is called when the feature gate opens; may be nil.
	onFeatureGateOpen func()
	// pipelineSubscriber is notified of changes of pipeline records; nil if there is no subscriber.
	pipelineSubscriber PipelineSubscriber

	isCyclePending bool // a scheduling cycle will run once tuning.MinCycleInterval has passed
	lastCycleAt    time.Time
	lastRecountAt  time.Time
	isLeaving      bool // Leave was called

	// inFlightClaimedTasks is the number of tasks that the acceptance transactions in flight claim.
	inFlightClaimedTasks int
	cancellations        cancellationLog
	// inFlightDependentCancels is the number of transactions in flight that cancelDependents has begun.
	inFlightDependentCancels int

	health    atomic.Pointer[healthStatus]
	resumedAt time.Time // when this process last resumed after a stall
}

// components are the parts of a controller. They may be used only on the controller's goroutine.
type components struct {
	members           *membership.Table
	machineTypes      *machinetype.Catalog
	classStats        *classstats.Stats
	completionBatches *completionbatch.Index
	quotas            *quota.Allocations
	faults            *faultattribution.Attributor
	peers             *peerstatus.Tracker
	state             *clusterstate.State
	cache             *statecache.Cache
	claims            *claims.Writer
	scheduler         *scheduler.Scheduler
	featureGate       *featuregate.Gate
	detector          *failuredetector.Detector
	reconciler        *reconciliation.Reconciler
	sessions          *workersession.Manager
	handover          *handover.Coordinator
	lifecycle         *machinelifecycle.Manager
	decisions         *decisionlog.Log
	violations        *decisionlog.Violations
}

// PeerSender queues messages to the named controller and reports whether the queue had room for
// them. Each entry of chunks makes one message: a heartbeat with the chunk or, if the entry is nil, a
// heartbeat without a transfer chunk.
type PeerSender func(to string, chunks []*peer.TransferChunk) bool

// PipelineSubscriber is notified of changes of the records under jobs.OpaquePrefix. If reread is set,
// changes may have been missed and the subscriber has to read all these records again. It is called on
// the controller's goroutine, which handles nothing else until the subscriber returns.
type PipelineSubscriber = func(events []kvstore.Event, reread bool)

// New returns a controller that runs from the call of Start until ctx ends. incarnation identifies
// this run of the process. setLogLevel is called with the log level that the operators set.
func New(ctx context.Context, cfg *config.Config, store statecache.Store, cloud machinelifecycle.Cloud, workers workersession.WorkerClient,
	incarnation uint64, setLogLevel func(level string), log *slog.Logger) *Controller {
	c := &Controller{
		cfg:           cfg,
		log:           log,
		incarnation:   incarnation,
		mailbox:       actor.New(ctx),
		setLogLevel:   setLogLevel,
		cancellations: cancellationLog{unconfirmed: map[string]*unconfirmedCancellation{}},
	}
	c.buildStateComponents(store) //nolint:contextcheck // its hooks run later, with the context of the mailbox
	c.buildSchedulingComponents(cloud, workers)
	c.diagnostics = diagnostics.New(cfg, diagnostics.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, Scheduler: c.scheduler, Sessions: c.sessions,
		Reconciler: c.reconciler, Handover: c.handover, MachineTypes: c.machineTypes, Faults: c.faults,
		Peers: c.peers, Detector: c.detector, FeatureGate: c.featureGate, Claims: c.claims, Decisions: c.decisions, Violations: c.violations,
		IsLeaving: func() bool { return c.isLeaving },
	}, log)
	return c
}

// buildStateComponents creates the components that hold the state of the cluster, the cache that keeps
// them up to date with the key-value store, and the components that track peers, failures and faults.
func (c *Controller) buildStateComponents(store statecache.Store) {
	var names []string
	for _, member := range c.cfg.Members() {
		names = append(names, member.Node)
	}
	c.classStats, c.completionBatches, c.quotas = classstats.New(), completionbatch.New(), quota.New()
	c.featureGate = featuregate.New(c.cfg.Node, names)
	c.detector = failuredetector.New(c.cfg.Node, names)
	c.members = membership.New(c.cfg.Node, c.incarnation, names)
	c.machineTypes = machinetype.New()
	c.faults = faultattribution.New()
	c.peers = peerstatus.New(c.cfg.Node, c.incarnation, names)
	c.state = clusterstate.New(c.cfg, c.members, c.machineTypes, c.classStats, c.faults, c.log)
	c.cache = statecache.New(c.mailbox, c.cfg, c.incarnation, store, statecache.Dependencies{
		State: c.state, Membership: c.members, MachineTypes: c.machineTypes, CompletionBatches: c.completionBatches,
		Quotas: c.quotas, FeatureGate: c.featureGate,
	}, c.cacheHooks(), c.log)
}

// buildSchedulingComponents creates the components that decide and act on the state of the cluster. It
// must be called after buildStateComponents.
func (c *Controller) buildSchedulingComponents(cloud machinelifecycle.Cloud, workers workersession.WorkerClient) {
	c.decisions = decisionlog.New(c.log)
	c.violations = decisionlog.NewViolations(c.decisions, c.log)
	c.claims = claims.New(c.mailbox, c.cfg, claims.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, CompletionBatches: c.completionBatches, Faults: c.faults,
		FeatureGate: c.featureGate, Quotas: c.quotas,
		Decisions: c.decisions, Violations: c.violations,
	}, c.log)
	c.scheduler = scheduler.New(c.mailbox, c.cfg, scheduler.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, Claims: c.claims, MachineTypes: c.machineTypes,
		ClassStats: c.classStats, Faults: c.faults, Peers: c.peers,
	})
	c.reconciler = reconciliation.New(c.cfg, reconciliation.Dependencies{State: c.state, Membership: c.members, Cache: c.cache}, c.log)
	startGate := startgate.New(c.cfg, startgate.Dependencies{State: c.state, Cache: c.cache, Peers: c.peers, Claims: c.claims})
	c.sessions = workersession.New(c.mailbox, c.cfg, workersession.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, Peers: c.peers, Faults: c.faults,
		ClassStats: c.classStats, Reconciler: c.reconciler, Claims: c.claims, Gate: startGate,
		Decisions: c.decisions, Violations: c.violations,
	}, workers, c.runCycleIfDue, c.log)
	c.handover = handover.New(c.cfg, handover.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, Sessions: c.sessions, Reconciler: c.reconciler, Peers: c.peers,
	}, c.sendTransfer, c.log)
	c.lifecycle = machinelifecycle.New(c.mailbox, c.cfg, machinelifecycle.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, MachineTypes: c.machineTypes, Faults: c.faults,
		Sessions: c.sessions, Scheduler: c.scheduler, Reconciler: c.reconciler, Decisions: c.decisions,
	}, cloud, c.log)
}

// cacheHooks returns the functions by which the cache notifies the components on which the cache does not
// depend.
func (c *Controller) cacheHooks() statecache.Hooks {
	return statecache.Hooks{
		Reset:               c.resetComponents,
		MachineOwnerChanged: func(machine *clusterstate.Machine) { c.sessions.HandleOwnerChange(machine) },
		MachineMoved: func(machine *clusterstate.Machine, droppedTasks int) {
			c.sessions.HandleMove(machine, droppedTasks)
		},
		MachineRemoved: func(machine *clusterstate.Machine) { c.sessions.RemoveWorker(machine) },
		ShouldAwaitHandover: func(shard string, now time.Time) bool {
			return c.sendToPeer != nil && c.handover.ShouldAwaitTransfer(shard, now)
		},
		WatchEventsApplied: func() {
			c.handover.HandleCacheAdvance(time.Now())
			c.sessions.ProcessDeferredHeartbeats()
			c.sessions.FirstContact().Run()
		},
		HasControllerFailed: c.detector.HasFailed,
		ShardAcquired:       c.detector.ObserveAcquisition,
		OwnerRecordWritten: func(shardID string) {
			if shard := c.members.Shard(shardID); shard != nil && c.cache.Synced() {
				c.detector.ObserveActivity(shard.Owner(), time.Now())
			}
		},
		JobCancelled: c.recordCancellation,
		SetLogLevel:  c.setLogLevel,
		FeaturesEnabled: func() {
			if c.onFeatureGateOpen != nil {
				c.onFeatureGateOpen()
			}
		},
		PipelineEvents: func(events []kvstore.Event, reread bool) {
			if c.pipelineSubscriber != nil {
				c.pipelineSubscriber(events, reread)
			}
		},
	}
}

// resetComponents drops the state that components have derived from records, since the cache is about
// to read all records again.
func (c *Controller) resetComponents() {
	c.claims.Reset()
	c.inFlightDependentCancels = 0
	c.reconciler.Reset()
	c.handover.Reset()
	c.sessions.Reset()
	c.lifecycle.Reset()
}

// Subscribe registers the subscriber for changes of pipeline records, in place of any previous one. The
// subscriber is first notified as soon as this controller has read the key-value store, with reread set.
func (c *Controller) Subscribe(subscriber PipelineSubscriber) {
	c.mailbox.Send(func() {
		c.pipelineSubscriber = subscriber
		if c.cache.Synced() {
			subscriber(nil, true)
		}
	})
}

// OnFeatureGateOpen makes the controller call callback as soon as all controllers support the features of
// this version. It must be called before Start.
func (c *Controller) OnFeatureGateOpen(callback func()) { c.onFeatureGateOpen = callback }

// SetPeerSender gives the controller a way to send messages to its peers. It must be called before
// Start. Without a sender no shard is handed over, and peers learn of suspicions and cancellations only
// from the regular heartbeats.
func (c *Controller) SetPeerSender(send PeerSender) { c.sendToPeer = send }

// Start starts the cache and the controller's goroutine, which ends with the context given to New.
func (c *Controller) Start() {
	c.cache.Start()
	go c.run()
}
