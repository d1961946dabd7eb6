// Package harness builds the components of a controller without the actor that runs them, for tests of
// one component together with its dependencies. Messages to the actor wait until the test handles them
// with Harness.RunNext.
package harness

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinelifecycle"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/quota"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/startgate"
	"cherrywall/internal/statecache"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Self is the name of the harness's controller, and Incarnation is the incarnation of this
// controller. OtherNode is the name of another controller.
const (
	Self        = "n0"
	OtherNode   = "n1"
	Incarnation = 7
)

// machineRevision is the revision of the records that AddMachine writes.
const machineRevision = 3

// Harness has the components of a controller.
type Harness struct {
	T            testing.TB
	Cfg          *config.Config
	Mailbox      *actor.Mailbox // mailbox of the actor, whose messages the test handles
	Cloud        *Cloud
	Store        *Store
	Workers      workersession.WorkerClient // nil unless the function that is passed to New sets it
	Membership   *membership.Table
	MachineTypes *machinetype.Catalog
	ClassStats   *classstats.Stats
	Faults       *faultattribution.Attributor
	State        *clusterstate.State
	Cache        *statecache.Cache
	Claims       *claims.Writer
	Scheduler    *scheduler.Scheduler
	Reconciler   *reconciliation.Reconciler
	Sessions     *workersession.Manager
	Machines     *machinelifecycle.Manager
	Gate         *startgate.Gate
	Violations   *decisionlog.Violations

	log     *slog.Logger
	peers   *peerstatus.Tracker
	batches *completionbatch.Index
	gate    *featuregate.Gate
	quotas  *quota.Allocations

	expectedViolations uint64 // count of the last call of ExpectViolations
}

// New makes a harness with an empty cache. configure, if it is not nil, changes the settings and the
// fakes before the components are made.
func New(t testing.TB, configure func(h *Harness)) *Harness {
	t.Helper()
	h := &Harness{
		T:       t,
		Cfg:     newConfig(),
		Mailbox: actor.New(t.Context()),
		Cloud:   &Cloud{},
		Store:   &Store{},
		log:     slog.New(slog.DiscardHandler),
	}
	if configure != nil {
		configure(h)
	}
	h.buildState()
	h.buildCache()
	h.buildManagers()
	t.Cleanup(func() { h.ExpectViolations(t, h.expectedViolations) })
	return h
}

// ExpectViolations fails the test unless the number of invariant violations that were found so far is
// count. At the end of the test the number is checked again, against the count of the last call or 0.
func (h *Harness) ExpectViolations(t testing.TB, count uint64) {
	t.Helper()
	h.expectedViolations = count
	found := uint64(0)
	for _, invariantCount := range h.Violations.Counts() {
		found += invariantCount
	}
	if found != count {
		t.Errorf("%d invariant violations, expected %d: %v", found, count, h.Violations.Counts())
	}
}

func newConfig() *config.Config {
	cfg := &config.Config{Node: Self, Zone: "a", Peers: []config.Peer{{Node: OtherNode, Zone: "b"}}}
	cfg.Cluster.Workers.CancelSeconds, cfg.Cluster.Workers.LeaseSeconds, cfg.Cluster.Workers.HeartbeatIntervalSeconds = 30, 10, 5
	cfg.Cluster.State.TxnOps, cfg.Cluster.State.ValueKB = 40, 8
	return cfg
}

func (h *Harness) buildState() {
	names := []string{Self, OtherNode}
	h.Membership = membership.New(Self, Incarnation, names)
	h.MachineTypes = machinetype.New()
	h.ClassStats = classstats.New()
	h.Faults = faultattribution.New()
	h.peers = peerstatus.New(Self, Incarnation, names)
	h.batches = completionbatch.New()
	h.quotas = quota.New()
	h.gate = featuregate.New(Self, names)
	h.State = clusterstate.New(h.Cfg, h.Membership, h.MachineTypes, h.ClassStats, h.Faults, h.log)
}

func (h *Harness) buildCache() {
	h.Cache = statecache.New(h.Mailbox, h.Cfg, Incarnation, h.Store, statecache.Dependencies{
		State:             h.State,
		Membership:        h.Membership,
		MachineTypes:      h.MachineTypes,
		CompletionBatches: h.batches,
		Quotas:            h.quotas,
		FeatureGate:       h.gate,
	}, statecache.Hooks{
		Reset:               func() {},
		MachineOwnerChanged: func(m *clusterstate.Machine) { h.Sessions.HandleOwnerChange(m) },
		MachineMoved:        func(m *clusterstate.Machine, droppedTasks int) { h.Sessions.HandleMove(m, droppedTasks) },
		MachineRemoved:      func(m *clusterstate.Machine) { h.Sessions.RemoveWorker(m) },
		WatchEventsApplied:  func() { h.Sessions.FirstContact().Run() },
		ShouldAwaitHandover: func(string, time.Time) bool { return false },
		HasControllerFailed: func(string, time.Time) bool { return false },
		ShardAcquired:       func(string) {},
		OwnerRecordWritten:  func(string) {},
		JobCancelled:        func(statecache.JobCancellation) {},
		SetLogLevel:         func(string) {},
		FeaturesEnabled:     func() {},
		PipelineEvents:      func([]kvstore.Event, bool) {},
	}, h.log)
}

func (h *Harness) buildManagers() {
	decisions := decisionlog.New(h.log)
	h.Violations = decisionlog.NewViolations(decisions, h.log)
	h.Claims = claims.New(h.Mailbox, h.Cfg, claims.Dependencies{
		State:             h.State,
		Membership:        h.Membership,
		Cache:             h.Cache,
		CompletionBatches: h.batches,
		Faults:            h.Faults,
		FeatureGate:       h.gate,
		Quotas:            h.quotas,
		Decisions:         decisions,
		Violations:        h.Violations,
	}, h.log)
	h.Scheduler = scheduler.New(h.Mailbox, h.Cfg, scheduler.Dependencies{
		State:        h.State,
		Membership:   h.Membership,
		Cache:        h.Cache,
		Claims:       h.Claims,
		MachineTypes: h.MachineTypes,
		ClassStats:   h.ClassStats,
		Faults:       h.Faults,
		Peers:        h.peers,
	})
	h.Reconciler = reconciliation.New(h.Cfg, reconciliation.Dependencies{
		State:      h.State,
		Membership: h.Membership,
		Cache:      h.Cache,
	}, h.log)
	h.Gate = startgate.New(h.Cfg, startgate.Dependencies{State: h.State, Cache: h.Cache, Peers: h.peers, Claims: h.Claims})
	h.Sessions = workersession.New(h.Mailbox, h.Cfg, workersession.Dependencies{
		State:      h.State,
		Membership: h.Membership,
		Cache:      h.Cache,
		Peers:      h.peers,
		Faults:     h.Faults,
		ClassStats: h.ClassStats,
		Reconciler: h.Reconciler,
		Claims:     h.Claims,
		Gate:       h.Gate,
		Decisions:  decisions,
		Violations: h.Violations,
	}, h.Workers, func() {}, h.log)
	h.Machines = machinelifecycle.New(h.Mailbox, h.Cfg, machinelifecycle.Dependencies{
		State:        h.State,
		Membership:   h.Membership,
		Cache:        h.Cache,
		MachineTypes: h.MachineTypes,
		Faults:       h.Faults,
		Sessions:     h.Sessions,
		Scheduler:    h.Scheduler,
		Reconciler:   h.Reconciler,
		Decisions:    decisions,
	}, h.Cloud, h.log)
}

// WriteRecord applies a record to the cache as if it had just been written.
func (h *Harness) WriteRecord(key string, record any, revision uint64) {
	h.T.Helper()
	raw, err := json.Marshal(record)
	if err != nil {
		h.T.Fatal(err)
	}
	h.Cache.ApplyWrite(key, raw, revision)
}

// Event returns the event that a watch delivers for the write of a record.
func Event(key string, record any, revision uint64) kvstore.Event {
	return kvstore.Event{Key: key, Value: kvstore.MustEncode(record), Revision: revision}
}

// SetOwner records that a controller owns a shard. epoch is the revision of the shard's record, which is also
// the epoch of the ownership.
func (h *Harness) SetOwner(shard, owner string, epoch uint64) {
	incarnation := uint64(Incarnation)
	if owner != Self {
		incarnation++
	}
	h.Cache.ApplyWrite(jobs.ShardPrefix+shard, membership.EncodeShard(owner, incarnation, nil, time.Now()), epoch)
}

// AddMachine records a machine in zone a that was registered an hour ago, and returns its state.
func (h *Harness) AddMachine(host, shard, machineType string, spot bool) *clusterstate.Machine {
	h.T.Helper()
	h.WriteRecord(jobs.WorkerPrefix+host, workerapi.Record{
		Shard:          shard,
		Addr:           "w:1",
		MachineType:    machineType,
		Zone:           "a",
		Spot:           spot,
		RegisteredAtMS: time.Now().Add(-time.Hour).UnixMilli(),
	}, machineRevision)
	return h.State.Machine(host)
}

// AddJob records an unfinished job and returns its state. The last unclaimedCount tasks of the job are
// unclaimed.
func (h *Harness) AddJob(spec jobs.Spec, unclaimedCount int, revision uint64) *clusterstate.Job {
	h.T.Helper()
	record := jobs.JobRecord{Spec: spec, AcceptedAtMS: time.Now().UnixMilli()}
	if unclaimedCount > 0 {
		record.Unclaimed = []jobs.TaskInterval{{First: spec.Tasks - unclaimedCount, Count: unclaimedCount}}
	}
	h.WriteRecord(jobs.JobKey(spec.Ref), record, revision)
	return h.State.Job(spec.Ref)
}

// AddTaskRange records that a shard has claimed the first taskCount tasks of a job, and returns the state of
// this range.
func (h *Harness) AddTaskRange(ref, shard string, taskCount int, revision uint64) *clusterstate.TaskRange {
	h.T.Helper()
	h.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: shard, Count: taskCount}, revision)
	return h.State.Job(ref).TaskRange(0)
}

// OfferMachineTypes adds machine types with 16 CPUs to those that the cloud offers.
func (h *Harness) OfferMachineTypes(names ...string) {
	for _, name := range names {
		h.MachineTypes.SetCloudTypes([]cloud.MachineType{
			{Name: name, CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 15}})
	}
	h.State.RecountAllMachines()
}

// SyncCache makes the cache current at a revision: the cache has applied all changes up to that revision,
// and there are no later changes.
func (h *Harness) SyncCache(revision uint64) {
	h.Cache.ApplyEvents(nil, revision)
	isCurrent := false
	h.Cache.ReadBarrier(true, func(ok bool) { isCurrent = ok })
	for !isCurrent {
		h.RunNext()
	}
}

// Heartbeat passes a heartbeat with a fencing token and the tasks of a machine to the worker's session. It
// tells the session that the heartbeat was received a second ago. The reply is empty if the session replies later.
func (h *Harness) Heartbeat(host string, sequence, token uint64, tasks ...workerapi.TaskStatus) workersession.HeartbeatReply {
	replies := make(chan workersession.HeartbeatReply, 1)
	h.Sessions.HandleHeartbeat(&workerapi.Heartbeat{
		Host:         host,
		MachineType:  "m16",
		Zone:         "a",
		AgentEpoch:   1,
		Sequence:     sequence,
		FencingToken: token,
		Tasks:        tasks,
	}, time.Now().Add(-time.Second), replies)
	select {
	case reply := <-replies:
		return reply
	default:
		return workersession.HeartbeatReply{}
	}
}

// RunNext waits for the next message to the actor and handles it.
func (h *Harness) RunNext() { (<-h.Mailbox.Messages())() }
