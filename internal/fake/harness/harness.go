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
func New(t testing.TB, set func(d *Harness)) *Harness {
	t.Helper()
	d := &Harness{T: t, Cloud: &Cloud{}, Store: &Store{}, Mailbox: actor.New(t.Context()),
		Cfg: &config.Config{Node: Self, Zone: "a", Peers: []config.Peer{{Node: OtherNode, Zone: "b"}}}}
	d.Cfg.Cluster.Workers.CancelS, d.Cfg.Cluster.Workers.LeaseS, d.Cfg.Cluster.Workers.ReportS = 30, 10, 5
	d.Cfg.Cluster.State.TxnOps, d.Cfg.Cluster.State.ValueKB = 40, 8
	if set != nil {
		set(d)
	}
	log, done, limits := slog.New(slog.DiscardHandler), completionbatch.New(), quota.New()
	names := []string{Self, OtherNode}
	d.Membership, d.MachineTypes, d.ClassStats, d.Faults = membership.New(Self, Incarnation, names), machinetype.New(), classstats.New(), faultattribution.New()
	far := peerstatus.New(Self, names)
	d.State = clusterstate.New(d.Cfg, d.Membership, d.MachineTypes, d.ClassStats, d.Faults, log)
	d.Cache = statecache.New(d.Mailbox, d.Cfg, Incarnation, d.Store, statecache.Dependencies{State: d.State, Membership: d.Membership, MachineTypes: d.MachineTypes, CompletionBatches: done, Quotas: limits, FeatureGate: featuregate.New(Self, names)},
		statecache.Hooks{
			Reset:               func() {},
			MachineOwnerChanged: func(m *clusterstate.Machine) { d.Sessions.OwnerChanged(m) },
			MachineMoved:        func(m *clusterstate.Machine) { d.Sessions.FirstContact().EnqueueProbe(m) },
			MachineRemoved:      func(m *clusterstate.Machine) { d.Sessions.RemoveWorker(m) },
			CaughtUp:            func() { d.Sessions.FirstContact().Run() },
			AwaitHandover:       func(string, time.Time) bool { return false },
			ControllerFailed:    func(string, time.Time) bool { return false },
			ShardAcquired:       func(string) {},
			OwnerRecordWritten:  func(string) {},
			SetLogLevel:         func(string) {},
			FeaturesEnabled:     func() {},
			PipelineEvents:      func([]kvstore.Event, bool) {},
		}, log)
	d.Claims = claims.New(d.Mailbox, d.Cfg, claims.Dependencies{State: d.State, Membership: d.Membership, Cache: d.Cache, CompletionBatches: done, Faults: d.Faults,
		Quotas: limits}, log)
	d.Scheduler = scheduler.New(d.Mailbox, d.Cfg, scheduler.Dependencies{State: d.State, Membership: d.Membership, Cache: d.Cache, Claims: d.Claims,
		MachineTypes: d.MachineTypes, ClassStats: d.ClassStats, Faults: d.Faults, Peers: far}, log)
	d.Reconciler = reconciliation.New(d.Cfg, reconciliation.Dependencies{State: d.State, Membership: d.Membership, Cache: d.Cache}, log)
	d.Sessions = workersession.New(d.Mailbox, d.Cfg, workersession.Dependencies{State: d.State, Membership: d.Membership, Cache: d.Cache, Peers: far,
		Faults: d.Faults, ClassStats: d.ClassStats, Reconciler: d.Reconciler}, d.Workers, func() {}, log)
	d.Machines = machinelifecycle.New(d.Mailbox, d.Cfg, machinelifecycle.Dependencies{State: d.State, Membership: d.Membership, Cache: d.Cache, MachineTypes: d.MachineTypes,
		Faults: d.Faults, Sessions: d.Sessions, Scheduler: d.Scheduler, Reconciler: d.Reconciler}, d.Cloud, log)
	return d
}

// WriteRecord has the mirror follow a record, as if it had just been written.
func (d *Harness) WriteRecord(key string, rec any, stamp uint64) {
	raw, err := json.Marshal(rec)
	if err != nil {
		d.T.Fatal(err)
	}
	d.Cache.ApplyWrite(key, raw, stamp)
}

// Event is a record as the watch tells it.
func Event(key string, rec any, stamp uint64) kvstore.Event {
	return kvstore.Event{Key: key, Value: kvstore.Encode(rec), Revision: stamp}
}

// SetOwner has a share's record tell that a controller holds it, under a token.
func (d *Harness) SetOwner(share, holder string, token uint64) {
	boot := uint64(Incarnation)
	if holder != Self {
		boot++
	}
	d.Cache.ApplyWrite(jobs.ShardPrefix+share, membership.EncodeShard(holder, boot, nil, time.Now()), token)
}

// AddMachine records an ordinary machine of a type in zone a.
func (d *Harness) AddMachine(host, share, build string, spot bool) *clusterstate.Machine {
	d.WriteRecord(jobs.WorkerPrefix+host, workerapi.Record{Shard: share, Addr: "w:1", MachineType: build, Zone: "a", Spot: spot,
		RegisteredAtMS: time.Now().Add(-time.Hour).UnixMilli()}, 3)
	return d.State.Machine(host)
}

// AddJob records an unfinished job with tasks that nobody has claimed.
func (d *Harness) AddJob(spec jobs.Spec, free int, stamp uint64) *clusterstate.Job {
	rec := jobs.JobRecord{Spec: spec, AcceptedAtMS: time.Now().UnixMilli()}
	if free > 0 {
		rec.Unclaimed = []jobs.TaskInterval{{First: spec.Tasks - free, Count: free}}
	}
	d.WriteRecord(jobs.JobKey(spec.Ref), rec, stamp)
	return d.State.Job(spec.Ref)
}

// AddTaskRange records that a share has claimed a job's first tasks.
func (d *Harness) AddTaskRange(ref, share string, n int, stamp uint64) *clusterstate.TaskRange {
	d.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: share, Count: n}, stamp)
	return d.State.Job(ref).TaskRange(0)
}

// OfferMachineTypes has the cloud offer machines of 16 CPUs.
func (d *Harness) OfferMachineTypes(builds ...string) {
	for _, b := range builds {
		d.MachineTypes.SetFromCloud([]cloud.MachineType{{Name: b, CPU: 16, MemGB: 64, HourlyPrice: 1, SpotHourlyPrice: 0.3, StartupS: 15}})
	}
	d.State.RecountAllMachines()
}

// SyncCache has the mirror know all changes up to a revision, and that this is so now.
func (d *Harness) SyncCache(revision uint64) {
	d.Cache.ApplyEvents(nil, revision)
	known := false
	d.Cache.ReadBarrier(true, func(ok bool) { known = ok })
	for !known {
		d.RunNext()
	}
}

// Heartbeat has a machine report what it runs, under a token.
func (d *Harness) Heartbeat(host string, tick, token uint64, tasks ...workerapi.TaskStatus) workersession.HeartbeatReply {
	reply := make(chan workersession.HeartbeatReply, 1)
	d.Sessions.HandleHeartbeat(&workerapi.Heartbeat{Host: host, MachineType: "m16", Zone: "a", AgentEpoch: 1, Sequence: tick, FencingToken: token, Tasks: tasks},
		time.Now().Add(-time.Second), reply)
	select {
	case v := <-reply:
		return v
	default:
		return workersession.HeartbeatReply{} // kept for a moment
	}
}

// RunNext does what was said to the actor next, and waits for it.
func (d *Harness) RunNext() { (<-d.Mailbox.Messages())() }

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
