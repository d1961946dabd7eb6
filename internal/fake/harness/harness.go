// Package desk puts a controller's slices together without the actor that drives them,
// for tests that look at one slice among those below it. What is said to the actor
// waits until the test has it done.
package harness

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
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
	"cherrywall/internal/statecache"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Self and Boot are the controller's name and its run; N1 is another's.
const (
	Self        = "n0"
	OtherNode   = "n1"
	Incarnation = 7
)

// Harness is a controller's slices.
type Harness struct {
	T            testing.TB
	Cfg          *config.Config
	Mailbox      *actor.Mailbox
	Cloud        *Cloud
	Store        *Store
	Workers      workersession.WorkerClient
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
}

// New makes a desk whose mirror knows nothing; set changes its settings before.
func New(t testing.TB, set func(h *Harness)) *Harness {
	t.Helper()
	h := &Harness{T: t, Cloud: &Cloud{}, Store: &Store{}, Mailbox: actor.New(t.Context()),
		Cfg: &config.Config{Node: Self, Zone: "a", Peers: []config.Peer{{Node: OtherNode, Zone: "b"}}}}
	h.Cfg.Cluster.Workers.CancelS, h.Cfg.Cluster.Workers.LeaseS, h.Cfg.Cluster.Workers.ReportS = 30, 10, 5
	h.Cfg.Cluster.State.TxnOps, h.Cfg.Cluster.State.ValueKB = 40, 8
	if set != nil {
		set(h)
	}
	log, done, limits := slog.New(slog.DiscardHandler), completionbatch.New(), quota.New()
	names := []string{Self, OtherNode}
	h.Membership, h.MachineTypes, h.ClassStats, h.Faults = membership.New(Self, Incarnation, names), machinetype.New(), classstats.New(), faultattribution.New()
	far := peerstatus.New(Self, names)
	h.State = clusterstate.New(h.Cfg, h.Membership, h.MachineTypes, h.ClassStats, h.Faults, log)
	h.Cache = statecache.New(h.Mailbox, h.Cfg, Incarnation, h.Store, statecache.Dependencies{State: h.State, Membership: h.Membership, MachineTypes: h.MachineTypes, CompletionBatches: done, Quotas: limits, FeatureGate: featuregate.New(Self, names)},
		statecache.Hooks{
			Reset:               func() {},
			MachineOwnerChanged: func(m *clusterstate.Machine) { h.Sessions.OwnerChanged(m) },
			MachineMoved:        func(m *clusterstate.Machine) { h.Sessions.FirstContact().EnqueueProbe(m) },
			MachineRemoved:      func(m *clusterstate.Machine) { h.Sessions.RemoveWorker(m) },
			CaughtUp:            func() { h.Sessions.FirstContact().Run() },
			AwaitHandover:       func(string, time.Time) bool { return false },
			ControllerFailed:    func(string, time.Time) bool { return false },
			ShardAcquired:       func(string) {},
			OwnerRecordWritten:  func(string) {},
			SetLogLevel:         func(string) {},
			FeaturesEnabled:     func() {},
			PipelineEvents:      func([]kvstore.Event, bool) {},
		}, log)
	h.Claims = claims.New(h.Mailbox, h.Cfg, claims.Dependencies{State: h.State, Membership: h.Membership, Cache: h.Cache, CompletionBatches: done, Faults: h.Faults,
		Quotas: limits}, log)
	h.Scheduler = scheduler.New(h.Mailbox, h.Cfg, scheduler.Dependencies{State: h.State, Membership: h.Membership, Cache: h.Cache, Claims: h.Claims,
		MachineTypes: h.MachineTypes, ClassStats: h.ClassStats, Faults: h.Faults, Peers: far}, log)
	h.Reconciler = reconciliation.New(h.Cfg, reconciliation.Dependencies{State: h.State, Membership: h.Membership, Cache: h.Cache}, log)
	h.Sessions = workersession.New(h.Mailbox, h.Cfg, workersession.Dependencies{State: h.State, Membership: h.Membership, Cache: h.Cache, Peers: far,
		Faults: h.Faults, ClassStats: h.ClassStats, Reconciler: h.Reconciler}, h.Workers, func() {}, log)
	h.Machines = machinelifecycle.New(h.Mailbox, h.Cfg, machinelifecycle.Dependencies{State: h.State, Membership: h.Membership, Cache: h.Cache, MachineTypes: h.MachineTypes,
		Faults: h.Faults, Sessions: h.Sessions, Scheduler: h.Scheduler, Reconciler: h.Reconciler}, h.Cloud, log)
	return h
}

// WriteRecord has the mirror follow a record, as if it had just been written.
func (h *Harness) WriteRecord(key string, rec any, stamp uint64) {
	raw, err := json.Marshal(rec)
	if err != nil {
		h.T.Fatal(err)
	}
	h.Cache.ApplyWrite(key, raw, stamp)
}

// Event is a record as the watch tells it.
func Event(key string, rec any, stamp uint64) kvstore.Event {
	return kvstore.Event{Key: key, Value: kvstore.Encode(rec), Revision: stamp}
}

// SetOwner has a share's record tell that a controller holds it, under a token.
func (h *Harness) SetOwner(share, holder string, token uint64) {
	boot := uint64(Incarnation)
	if holder != Self {
		boot++
	}
	h.Cache.ApplyWrite(jobs.ShardPrefix+share, membership.EncodeShard(holder, boot, nil, time.Now()), token)
}

// AddMachine records an ordinary machine of a type in zone a.
func (h *Harness) AddMachine(host, share, build string, spot bool) *clusterstate.Machine {
	h.WriteRecord(jobs.WorkerPrefix+host, workerapi.Record{Shard: share, Addr: "w:1", MachineType: build, Zone: "a", Spot: spot,
		RegisteredAtMS: time.Now().Add(-time.Hour).UnixMilli()}, 3)
	return h.State.Machine(host)
}

// AddJob records an unfinished job with tasks that nobody has claimed.
func (h *Harness) AddJob(spec jobs.Spec, free int, stamp uint64) *clusterstate.Job {
	rec := jobs.JobRecord{Spec: spec, AcceptedAtMS: time.Now().UnixMilli()}
	if free > 0 {
		rec.Unclaimed = []jobs.TaskInterval{{First: spec.Tasks - free, Count: free}}
	}
	h.WriteRecord(jobs.JobKey(spec.Ref), rec, stamp)
	return h.State.Job(spec.Ref)
}

// AddTaskRange records that a share has claimed a job's first tasks.
func (h *Harness) AddTaskRange(ref, share string, n int, stamp uint64) *clusterstate.TaskRange {
	h.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: share, Count: n}, stamp)
	return h.State.Job(ref).TaskRange(0)
}

// OfferMachineTypes has the cloud offer machines of 16 CPUs.
func (h *Harness) OfferMachineTypes(builds ...string) {
	for _, b := range builds {
		h.MachineTypes.SetFromCloud([]cloud.MachineType{{Name: b, CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 15}})
	}
	h.State.RecountAllMachines()
}

// SyncCache has the mirror know all changes up to a revision, and that this is so now.
func (h *Harness) SyncCache(revision uint64) {
	h.Cache.ApplyEvents(nil, revision)
	known := false
	h.Cache.ReadBarrier(true, func(ok bool) { known = ok })
	for !known {
		h.RunNext()
	}
}

// Heartbeat has a machine report what it runs, under a token.
func (h *Harness) Heartbeat(host string, tick, token uint64, tasks ...workerapi.TaskStatus) workersession.HeartbeatReply {
	reply := make(chan workersession.HeartbeatReply, 1)
	h.Sessions.HandleHeartbeat(&workerapi.Heartbeat{Host: host, MachineType: "m16", Zone: "a", AgentEpoch: 1, Sequence: tick, FencingToken: token, Tasks: tasks},
		time.Now().Add(-time.Second), reply)
	select {
	case v := <-reply:
		return v
	default:
		return workersession.HeartbeatReply{} // kept for a moment
	}
}

// RunNext does what was said to the actor next, and waits for it.
func (h *Harness) RunNext() { (<-h.Mailbox.Messages())() }

// Cloud is one that refuses to take machines back unless told otherwise, and lists some.
type Cloud struct {
	AcceptsReleases             bool // takes machines back after all
	Machines                    []cloud.Machine
	ReleaseCalls, ReleasedHosts int // that were to be taken back
}

// Release refuses.
func (c *Cloud) Release(_ context.Context, hosts []string) error {
	c.ReleaseCalls++
	c.ReleasedHosts += len(hosts)
	if c.AcceptsReleases {
		return nil
	}
	return cloud.ErrUnavailable
}

// List lists the machines.
func (c *Cloud) List(context.Context) ([]cloud.Machine, error) { return c.Machines, nil }

// Store is a state service that tells its revision, and takes or refuses all.
type Store struct {
	mu           sync.Mutex
	nextRevision uint64 // the revision of the next change that it takes; 0: it takes none
	transactions []kvstore.Txn
}

// AcceptFrom has it take changes from a revision on.
func (s *Store) AcceptFrom(from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextRevision = from
}

// Transactions are the changes that it was asked for.
func (s *Store) Transactions() []kvstore.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.transactions)
}

// Commit takes a change without a look at its conditions, or none.
func (s *Store) Commit(_ context.Context, _ kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions = append(s.transactions, t)
	if s.nextRevision == 0 {
		return kvstore.TxnResult{}, kvstore.ErrUnavailable
	}
	s.nextRevision++
	return kvstore.TxnResult{Succeeded: true, Revision: s.nextRevision - 1}, nil
}

// Get: see Service.
func (*Store) Get(context.Context, kvstore.Priority, string) (kvstore.KeyValue, bool, uint64, error) {
	return kvstore.KeyValue{}, false, 0, nil
}

// List: see Service.
func (*Store) List(context.Context, string) ([]kvstore.KeyValue, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}

// Watch: see Service.
func (*Store) Watch(context.Context, string, uint64) ([]kvstore.Event, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}

// Grant: see Service.
func (*Store) GrantLease(context.Context, time.Duration) (uint64, error) {
	return 0, kvstore.ErrUnavailable
}

// Touch: see Service.
func (*Store) KeepAlive(context.Context, uint64) error { return kvstore.ErrUnavailable }
