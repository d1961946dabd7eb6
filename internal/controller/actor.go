// Package placement is the actor that decides which tasks run where. It drives the
// slices that own what it knows (docs/design.md, "Slices"): their order in a tick, what
// of them follows a report or a record, and the answers to users, operators and the
// other actors of the process.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
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
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Controller is the placement actor. Its methods may be called from anywhere: they are
// messages to the one goroutine that touches the slices.
type Controller struct {
	cfg         *config.Config
	log         *slog.Logger
	incarnation uint64 // marks this run of the process
	mailbox     *actor.Mailbox

	members      *membership.Table
	machineTypes *machinetype.Catalog
	faults       *faultattribution.Attributor
	peers        *peerstatus.Tracker
	state        *clusterstate.State
	cache        *statecache.Cache
	claims       *claims.Writer
	scheduler    *scheduler.Scheduler
	gate         *featuregate.Gate
	detector     *failuredetector.Detector
	reconciler   *reconciliation.Reconciler
	sessions     *workersession.Manager
	handover     *handover.Coordinator
	lifecycle    *machinelifecycle.Manager

	cyclePending  bool // decisions will be made in a moment
	lastCycleAt   time.Time
	lastRecountAt time.Time
	// problemsLoggedAt is when troubles that last were logged.
	problemsLoggedAt         time.Time
	unstoredClaims           int // tasks of small jobs that are being accepted and claimed
	setLogLevel              func(level string)
	notifySubscriber         func(news []kvstore.Event, anew bool) // nil: nobody follows
	health                   atomic.Pointer[health]
	resumedAt                time.Time // when this process was last held until
	sendToPeer               func(to string, pieces []*peer.TransferChunk) bool
	isLeaving                bool
	dependentCancelsInFlight int    // writes under way of endDoomed
	onFeatureGateOpen        func() // nil: nobody waits for it
	recentCancellations      []cancellation
	unconfirmed              map[string]*unconfirmedCancellation // by job
	confirmScheduled         bool                                // confirm is called again in a moment
}

// New makes the actor, which works until ctx ends; Start starts it. setLevel is told the
// log level that the operators set.
func New(ctx context.Context, cfg *config.Config, st statecache.Store, cl machinelifecycle.Cloud, hands workersession.WorkerClient, boot uint64,
	setLevel func(level string), log *slog.Logger) *Controller {
	a := &Controller{cfg: cfg, log: log, incarnation: boot, mailbox: actor.New(ctx), setLogLevel: setLevel, unconfirmed: map[string]*unconfirmedCancellation{}}
	var names []string
	for _, m := range cfg.Members() {
		names = append(names, m.Node)
	}
	seen, done, limits := classstats.New(), completionbatch.New(), quota.New()
	a.gate, a.detector = featuregate.New(cfg.Node, names), failuredetector.New(cfg.Node, names)
	a.members = membership.New(cfg.Node, boot, names)
	a.machineTypes, a.faults, a.peers = machinetype.New(), faultattribution.New(), peerstatus.New(cfg.Node, names)
	a.state = clusterstate.New(cfg, a.members, a.machineTypes, seen, a.faults, log)
	a.cache = statecache.New(a.mailbox, cfg, boot, st, statecache.Dependencies{State: a.state, Membership: a.members, MachineTypes: a.machineTypes, CompletionBatches: done, Quotas: limits, FeatureGate: a.gate},
		a.cacheHooks(), log)
	a.claims = claims.New(a.mailbox, cfg, claims.Dependencies{State: a.state, Membership: a.members, Cache: a.cache, CompletionBatches: done, Faults: a.faults,
		Quotas: limits}, log)
	a.scheduler = scheduler.New(a.mailbox, cfg, scheduler.Dependencies{State: a.state, Membership: a.members, Cache: a.cache, Claims: a.claims,
		MachineTypes: a.machineTypes, ClassStats: seen, Faults: a.faults, Peers: a.peers}, log)
	a.reconciler = reconciliation.New(cfg, reconciliation.Dependencies{State: a.state, Membership: a.members, Cache: a.cache}, log)
	a.sessions = workersession.New(a.mailbox, cfg, workersession.Dependencies{State: a.state, Membership: a.members, Cache: a.cache, Peers: a.peers,
		Faults: a.faults, ClassStats: seen, Reconciler: a.reconciler}, hands, a.runCycleIfDue, log)
	a.handover = handover.New(cfg, handover.Dependencies{State: a.state, Membership: a.members, Cache: a.cache, Sessions: a.sessions,
		Reconciler: a.reconciler, Peers: a.peers}, func(to string, pieces []*peer.TransferChunk) bool {
		return a.sendToPeer != nil && a.sendToPeer(to, pieces)
	}, log)
	a.lifecycle = machinelifecycle.New(a.mailbox, cfg, machinelifecycle.Dependencies{State: a.state, Membership: a.members, Cache: a.cache, MachineTypes: a.machineTypes,
		Faults: a.faults, Sessions: a.sessions, Scheduler: a.scheduler, Reconciler: a.reconciler}, cl, log)
	return a
}

// cacheHooks are what follows from records in the slices that the mirror does not know.
func (a *Controller) cacheHooks() statecache.Hooks {
	return statecache.Hooks{
		Reset: func() {
			a.claims.Reset()
			a.dependentCancelsInFlight = 0
			a.reconciler.Reset()
			a.handover.Reset()
			a.sessions.Reset()
			a.lifecycle.Reset()
		},
		MachineOwnerChanged: func(machine *clusterstate.Machine) { a.sessions.OwnerChanged(machine) },
		MachineMoved:        func(machine *clusterstate.Machine) { a.sessions.FirstContact().EnqueueProbe(machine) },
		MachineRemoved:      func(machine *clusterstate.Machine) { a.sessions.RemoveWorker(machine) },
		AwaitHandover: func(id string, now time.Time) bool {
			return a.sendToPeer != nil && a.handover.ShouldAwaitTransfer(id, now)
		},
		CaughtUp: func() {
			a.handover.CacheAdvanced(time.Now())
			a.sessions.ProcessEarlyHeartbeats()
			a.sessions.FirstContact().Run()
		},
		ControllerFailed: func(node string, now time.Time) bool { return a.detector.HasFailed(node, now) },
		ShardAcquired:    func(holder string) { a.detector.ObserveAcquisition(holder) },
		OwnerRecordWritten: func(share string) {
			if shard := a.members.Shard(share); shard != nil && a.cache.Synced() {
				a.detector.ObserveActivity(shard.Owner(), time.Now())
			}
		},
		JobCancelled: a.noteCancellation,
		SetLogLevel:  a.setLogLevel,
		FeaturesEnabled: func() {
			if a.onFeatureGateOpen != nil {
				a.onFeatureGateOpen()
			}
		},
		PipelineEvents: func(news []kvstore.Event, anew bool) {
			if a.notifySubscriber != nil {
				a.notifySubscriber(news, anew)
			}
		},
	}
}

// Subscribe has another actor hear of the records that are kept apart (jobs.ApartPrefix): of
// changes, and that all are to be read anew, which is so at first. tell must not block for
// long.
func (a *Controller) Subscribe(tell func(news []kvstore.Event, anew bool)) {
	a.mailbox.Send(func() {
		a.notifySubscriber = tell
		if a.cache.Synced() {
			tell(nil, true)
		}
	})
}

// OnFeatureGateOpen has it told, before Start, when all controllers run a program like this one.
func (a *Controller) OnFeatureGateOpen(tell func()) { a.onFeatureGateOpen = tell }

// SetPeerSender has pieces of shares that are handed over sent to other controllers by way of
// send, which tells whether they found room. Without it no share is handed over.
func (a *Controller) SetPeerSender(send func(to string, pieces []*peer.TransferChunk) bool) {
	a.sendToPeer = send
}

// Leave gives this controller's shares to the others and its life up; it returns when
// nothing is left to give, or after tuning.LeaveWithin. Users are sent elsewhere from the
// first moment on.
func (a *Controller) Leave() {
	gone := make(chan struct{})
	begun := time.Now()
	var look func()
	look = func() {
		now := time.Now()
		heir := a.members.SuccessorExcluding(a.cfg.Node, func(n string) bool { return n == a.cfg.Node || a.peers.IsLeaving(n, now) })
		if held := len(a.members.LocalShards()); held == 0 || heir == "" || now.Sub(begun) > tuning.ShutdownTransferTimeout {
			a.log.Info("leaving", "shares_left", held, "after_s", time.Since(begun).Seconds())
			a.cache.ReleaseLiveness()
			a.mailbox.SendAfter(tuning.ShutdownLastWriteTimeout, func() { close(gone) })
			return
		}
		a.mailbox.SendAfter(tuning.TickInterval, look)
	}
	a.mailbox.Send(func() {
		a.isLeaving = true
		a.handover.Leave()
		look()
	})
	select {
	case <-gone:
	case <-a.mailbox.Context().Done():
	}
}

// Start sets the actor going.
func (a *Controller) Start() {
	a.cache.Start()
	go a.run()
}

func (a *Controller) run() {
	ticker := time.NewTicker(tuning.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.mailbox.Context().Done():
			return
		case do := <-a.mailbox.Messages():
			do()
		case <-ticker.C:
			a.tick()
		}
		if a.state.IsDirty() && !a.cyclePending && a.cache.Synced() {
			a.scheduleCycle()
		}
	}
}

// scheduleCycle has decisions made soon, once for a burst of events.
func (a *Controller) scheduleCycle() {
	wait := tuning.MinCycleInterval - time.Since(a.lastCycleAt)
	if wait <= 0 {
		a.runCycle()
		return
	}
	a.cyclePending = true
	a.mailbox.SendAfter(wait, func() {
		a.cyclePending = false
		a.runCycle()
	})
}

// runCycleIfDue makes decisions at once if there is anything new and the last were not
// made a moment ago.
func (a *Controller) runCycleIfDue() {
	if a.state.IsDirty() && time.Since(a.lastCycleAt) > tuning.MinHeartbeatCycleInterval {
		a.runCycle()
	}
}

// runCycle makes a round of decisions and answers the workers that they concern.
func (a *Controller) runCycle() {
	a.state.ClearDirty()
	a.lastCycleAt = time.Now()
	a.sessions.SendCancellations(a.lastCycleAt)
	if !a.cache.MayRenewWorkerLeases(a.lastCycleAt) {
		return
	}
	a.scheduler.RunCycle(a.lastCycleAt)
	a.sessions.SendResponses()
}

func (a *Controller) tick() {
	now := time.Now()
	a.updateHealth(now)
	if !a.cache.Synced() {
		a.sessions.ProcessEarlyHeartbeats() // to refuse those that have waited too long
		return
	}
	a.detectFailures(now)
	a.cache.Tick(now)
	a.handover.Tick(now)
	a.sessions.Tick(now)
	a.lifecycle.Tick(now)
	a.claims.Tick(now)
	a.cancelDependents(now)
	a.logProblems(now)
	if now.Sub(a.lastRecountAt) >= tuning.RecountInterval {
		a.lastRecountAt = now
		a.scheduler.Recount(now)
		a.state.Dependencies().RefreshExpectedRuns()
		a.cache.StoreMachineTypes(now)
		a.lifecycle.LogUtilization()
	}
}

// detectFailures looks for controllers that have failed; whom this one suspects the others hear at
// once.
func (a *Controller) detectFailures(now time.Time) {
	if !a.detector.Check(now, !a.cache.IsStale(now)) {
		return
	}
	a.log.Debug("controllers suspected", "controllers", a.detector.Suspects())
	a.sendHeartbeats()
}

// sendHeartbeats tells the others a beat before its time.
func (a *Controller) sendHeartbeats() {
	if a.sendToPeer == nil {
		return
	}
	for _, n := range a.members.Controllers() {
		if n != a.cfg.Node {
			a.sendToPeer(n, []*peer.TransferChunk{nil})
		}
	}
}

// HandleHeartbeat asks the actor for the answer to a worker's report.
func (a *Controller) HandleHeartbeat(rep *workerapi.Heartbeat, reply chan workersession.HeartbeatReply) {
	at := time.Now()
	a.mailbox.Send(func() { a.sessions.HandleHeartbeat(rep, at, reply) })
}

// SetMachineTypes tells the actor the machine types, as the cloud has them.
func (a *Controller) SetMachineTypes(f []cloud.MachineType) {
	a.mailbox.Send(func() {
		a.machineTypes.SetFromCloud(f)
		a.state.RecountAllMachines()
	})
}

// SetBootTimes tells the actor the boot times that the renting actor has learned, in
// seconds by type.
func (a *Controller) SetBootTimes(usual map[string]float64) {
	a.mailbox.Send(func() { a.machineTypes.LearnBootTimes(usual, time.Now()) })
}

// Demand asks what waits for machines.
func (a *Controller) Demand() scheduler.Demand {
	d, _ := actor.Ask(a.mailbox, func() scheduler.Demand { return a.scheduler.Demand(time.Now(), a.incarnation) })
	return d
}

// PeerHeartbeat is what this controller tells the others.
func (a *Controller) PeerHeartbeat() (peer.Heartbeat, bool) {
	return actor.Ask(a.mailbox, func() peer.Heartbeat {
		now := time.Now()
		b := peer.Heartbeat{Node: a.cfg.Node, Incarnation: a.incarnation, StoreSilentFor: now.Sub(a.cache.LastContactAt()), Synced: a.cache.Synced(),
			Capacities: a.scheduler.FittingTasks(now), Suspects: a.detector.Suspects(), FaultyJobs: a.faults.FaultyJobs(tuning.MaxPeerHeartbeatFaultyJobs), RequestedShards: a.handover.RequestedShards(now), Leaving: a.isLeaving,
			AppliedRevision: a.cache.AppliedRevision(), CancelledJobs: a.advertisedCancellations(now)}
		for _, shard := range a.members.Shards() {
			b.Shards = append(b.Shards, peer.Shard{ID: shard.ID(), Owner: shard.Owner(), Epoch: shard.Epoch()})
		}
		return b
	})
}

// HandlePeerHeartbeat takes another controller's beat.
func (a *Controller) HandlePeerHeartbeat(b peer.Heartbeat) {
	a.mailbox.Send(func() {
		now := time.Now()
		a.detector.ObserveHeartbeat(b.Node, b.Suspects, b.Leaving, now)
		if !a.peers.Observe(b, now) || !a.cache.Synced() {
			return
		}
		a.applyPeerCancellations(b.CancelledJobs, now)
		a.handover.HandleRequests(b.Node, b.RequestedShards, now)
		if b.TransferChunk != nil {
			a.handover.HandleChunk(b.Node, b.TransferChunk, now)
		}
	})
}

// health is what the last tick said of this controller.
type health struct {
	isHealthy bool
	checkedAt time.Time
}

func (a *Controller) updateHealth(now time.Time) {
	if h := a.health.Load(); h != nil && now.Sub(h.checkedAt) > tuning.ProcessStallThreshold {
		// This process was held: that it heard nothing tells of no outage.
		a.resumedAt = now
	}
	silent := now.Sub(a.cache.LastContactAt())
	// One that hears neither the state service nor controllers that live is cut off itself:
	// users were kept at it for as long as that lasted.
	outage := now.Sub(a.resumedAt) > tuning.HealthGracePeriod && a.peers.IsStoreDownForAll(now) && (a.peers.HasRecentHeartbeat(now) || !a.members.HasLivePeer())
	ok := !a.isLeaving && a.cache.Synced() && (silent < tuning.HealthGracePeriod || outage) && !a.peers.IsCutOffFromStore(now, silent)
	a.health.Store(&health{ok, now})
}

// Healthy tells whether this controller can take requests. It does not wait for
// the actor: a health check must not stand behind a storm of polls. What was
// said long ago, before this process was held perhaps, does not count.
func (a *Controller) Healthy() bool {
	h := a.health.Load()
	return h != nil && h.isHealthy && time.Since(h.checkedAt) < tuning.MaxHealthStatusAge
}
