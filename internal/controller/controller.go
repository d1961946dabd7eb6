// Package controller is the actor that decides which tasks run on which machines.
//
// A Controller owns one goroutine and the components that share its state: the cluster state and
// its cache of the store, the scheduler, the sessions of the workers, the reconciliation, the
// handover of shards and the lifecycle of the machines. The package determines the sequence in which
// they run in a tick and which components a changed record concerns, and it answers users, operators
// and the other actors of the process.
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
// from any goroutine: they send a message to the one goroutine that uses the components.
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
	// notifySubscriber passes on changes of the records of pipelines; nil without a subscriber.
	notifySubscriber PipelineSubscriber

	isCyclePending bool // a scheduling cycle will run when MinCycleInterval is over
	lastCycleAt    time.Time
	lastRecountAt  time.Time
	isLeaving      bool // Leave was called

	// unstoredClaims is the number of tasks that are claimed by acceptance transactions in flight.
	unstoredClaims int
	cancellations  cancellationLog
	// dependentCancelsInFlight counts the transactions in flight of cancelDependents.
	dependentCancelsInFlight int

	health    atomic.Pointer[healthStatus]
	resumedAt time.Time // when this process last resumed after a stall
}

// components are the parts of a controller. They are used only on its goroutine.
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
	gate              *featuregate.Gate
	detector          *failuredetector.Detector
	reconciler        *reconciliation.Reconciler
	sessions          *workersession.Manager
	handover          *handover.Coordinator
	lifecycle         *machinelifecycle.Manager
	decisions         *decisionlog.Log
	violations        *decisionlog.Violations
}

// PeerSender queues messages to the named controller and reports whether there was room for
// them. A nil chunk stands for a heartbeat without a transfer.
type PeerSender func(to string, chunks []*peer.TransferChunk) bool

// PipelineSubscriber is notified of changes of the records under jobs.OpaquePrefix. If reread is set,
// changes may have been missed and all these records have to be read again. It is called on the
// controller's goroutine, which handles nothing else until it returns.
type PipelineSubscriber = func(events []kvstore.Event, reread bool)

// New returns a controller that works until ctx ends; Start starts it. incarnation identifies
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
	c.buildKnowledge(store) //nolint:contextcheck // its hooks run later, with the context of the mailbox
	c.buildActors(cloud, workers)
	c.diagnostics = diagnostics.New(cfg, diagnostics.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, Scheduler: c.scheduler, Sessions: c.sessions,
		Reconciler: c.reconciler, Handover: c.handover, MachineTypes: c.machineTypes, Faults: c.faults,
		Peers: c.peers, Detector: c.detector, FeatureGate: c.gate, Claims: c.claims, Decisions: c.decisions, Violations: c.violations,
		IsLeaving: func() bool { return c.isLeaving },
	}, log)
	return c
}

// buildKnowledge makes the components with the state of the cluster, the cache that keeps them up to
// date with the store, and those that rate peers and faults.
func (c *Controller) buildKnowledge(store statecache.Store) {
	var names []string
	for _, member := range c.cfg.Members() {
		names = append(names, member.Node)
	}
	c.classStats, c.completionBatches, c.quotas = classstats.New(), completionbatch.New(), quota.New()
	c.gate = featuregate.New(c.cfg.Node, names)
	c.detector = failuredetector.New(c.cfg.Node, names)
	c.members = membership.New(c.cfg.Node, c.incarnation, names)
	c.machineTypes = machinetype.New()
	c.faults = faultattribution.New()
	c.peers = peerstatus.New(c.cfg.Node, names)
	c.state = clusterstate.New(c.cfg, c.members, c.machineTypes, c.classStats, c.faults, c.log)
	c.cache = statecache.New(c.mailbox, c.cfg, c.incarnation, store, statecache.Dependencies{
		State: c.state, Membership: c.members, MachineTypes: c.machineTypes, CompletionBatches: c.completionBatches,
		Quotas: c.quotas, FeatureGate: c.gate,
	}, c.cacheHooks(), c.log)
}

// buildActors makes the components that act on the state of the cluster.
func (c *Controller) buildActors(cloud machinelifecycle.Cloud, workers workersession.WorkerClient) {
	c.decisions = decisionlog.New(c.log)
	c.violations = decisionlog.NewViolations(c.decisions, c.log)
	c.claims = claims.New(c.mailbox, c.cfg, claims.Dependencies{
		State: c.state, Membership: c.members, Cache: c.cache, CompletionBatches: c.completionBatches, Faults: c.faults, Quotas: c.quotas,
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

// cacheHooks returns what has to follow from changed records in components that the cache does
// not know.
func (c *Controller) cacheHooks() statecache.Hooks {
	return statecache.Hooks{
		Reset:               c.resetComponents,
		MachineOwnerChanged: func(machine *clusterstate.Machine) { c.sessions.OwnerChanged(machine) },
		MachineMoved:        func(machine *clusterstate.Machine) { c.sessions.FirstContact().EnqueueProbe(machine) },
		MachineRemoved:      func(machine *clusterstate.Machine) { c.sessions.RemoveWorker(machine) },
		AwaitHandover: func(shard string, now time.Time) bool {
			return c.sendToPeer != nil && c.handover.ShouldAwaitTransfer(shard, now)
		},
		CaughtUp: func() {
			c.handover.CacheAdvanced(time.Now())
			c.sessions.ProcessEarlyHeartbeats()
			c.sessions.FirstContact().Run()
		},
		ControllerFailed: c.detector.HasFailed,
		ShardAcquired:    c.detector.ObserveAcquisition,
		OwnerRecordWritten: func(shardID string) {
			if shard := c.members.Shard(shardID); shard != nil && c.cache.Synced() {
				c.detector.ObserveActivity(shard.Owner(), time.Now())
			}
		},
		JobCancelled: c.noteCancellation,
		SetLogLevel:  c.setLogLevel,
		FeaturesEnabled: func() {
			if c.onFeatureGateOpen != nil {
				c.onFeatureGateOpen()
			}
		},
		PipelineEvents: func(events []kvstore.Event, reread bool) {
			if c.notifySubscriber != nil {
				c.notifySubscriber(events, reread)
			}
		},
	}
}

// resetComponents drops what was derived from records, which are about to be read anew.
func (c *Controller) resetComponents() {
	c.claims.Reset()
	c.dependentCancelsInFlight = 0
	c.reconciler.Reset()
	c.handover.Reset()
	c.sessions.Reset()
	c.lifecycle.Reset()
}

// Subscribe makes subscriber follow the records of pipelines, instead of a former subscriber. Its first
// notification has reread set and comes as soon as this controller has read the store.
func (c *Controller) Subscribe(subscriber PipelineSubscriber) {
	c.mailbox.Send(func() {
		c.notifySubscriber = subscriber
		if c.cache.Synced() {
			subscriber(nil, true)
		}
	})
}

// OnFeatureGateOpen makes the controller call opened once all controllers support the features
// of this version. It must be called before Start.
func (c *Controller) OnFeatureGateOpen(opened func()) { c.onFeatureGateOpen = opened }

// SetPeerSender gives the controller a way to send messages to its peers. It must be called before
// Start. Without it no shard is handed over, and peers learn of suspicions and cancellations only by
// the regular heartbeats.
func (c *Controller) SetPeerSender(send PeerSender) { c.sendToPeer = send }

// Start starts the controller's goroutine, which ends with the context given to New.
func (c *Controller) Start() {
	c.cache.Start()
	go c.run()
}
