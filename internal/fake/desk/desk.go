// Package desk puts a controller's slices together without the actor that drives them,
// for tests that look at one slice among those below it. What is said to the actor
// waits until the test has it done.
package desk

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/catalog"
	"cherrywall/internal/claims"
	"cherrywall/internal/classes"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/decide"
	"cherrywall/internal/gate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/lifetime"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/others"
	"cherrywall/internal/packs"
	"cherrywall/internal/quota"
	"cherrywall/internal/recovery"
	"cherrywall/internal/sessions"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

// Me and Boot are the controller's name and its run; N1 is another's.
const (
	Me   = "n0"
	N1   = "n1"
	Boot = 7
)

// Desk is a controller's slices.
type Desk struct {
	T        testing.TB
	Cfg      *config.Config
	Loop     *loop.Loop
	Cloud    *Cloud
	State    *Service
	Hands    sessions.Workers
	Holders  *membership.Table
	Types    *catalog.Catalog
	Classes  *classes.Book
	Faults   *blame.Judge
	Books    *books.Books
	Mirror   *mirror.Mirror
	Claims   *claims.Writer
	Decider  *decide.Decider
	Recovery *recovery.Keeper
	Sessions *sessions.Keeper
	Machines *lifetime.Keeper
}

// New makes a desk whose mirror knows nothing; set changes its settings before.
func New(t testing.TB, set func(d *Desk)) *Desk {
	t.Helper()
	d := &Desk{T: t, Cloud: &Cloud{}, State: &Service{}, Loop: loop.New(t.Context()),
		Cfg: &config.Config{Node: Me, Zone: "a", Others: []config.Peer{{Node: N1, Zone: "b"}}}}
	d.Cfg.Cluster.Workers.CancelS, d.Cfg.Cluster.Workers.LeaseS, d.Cfg.Cluster.Workers.ReportS = 30, 10, 5
	d.Cfg.Cluster.State.TxnOps, d.Cfg.Cluster.State.ValueKB = 40, 8
	if set != nil {
		set(d)
	}
	log, done, limits := slog.New(slog.DiscardHandler), packs.New(), quota.New()
	names := []string{Me, N1}
	d.Holders, d.Types, d.Classes, d.Faults = membership.New(Me, Boot, names), catalog.New(), classes.New(), blame.New()
	far := others.New(Me, names)
	d.Books = books.New(d.Cfg, d.Holders, d.Types, d.Classes, d.Faults, log)
	d.Mirror = mirror.New(d.Loop, d.Cfg, Boot, d.State, mirror.Slices{Books: d.Books, Holders: d.Holders, Types: d.Types, Packs: done, Quotas: limits, Gate: gate.New(Me, names)},
		mirror.Hooks{
			Reset:    func() {},
			Held:     func(m *books.Machine) { d.Sessions.Handover(m) },
			Moved:    func(m *books.Machine) { d.Sessions.Contacts().Greet(m) },
			Dropped:  func(m *books.Machine) { d.Sessions.Forget(m) },
			Caught:   func() { d.Sessions.Contacts().Go() },
			HandOver: func(string, time.Time) bool { return false },
			Failed:   func(string, time.Time) bool { return false },
			Taken:    func(string) {},
			Wrote:    func(string) {},
			SetLevel: func(string) {},
			Opened:   func() {},
			Apart:    func([]state.Event, bool) {},
		}, log)
	d.Claims = claims.New(d.Loop, d.Cfg, claims.Slices{Books: d.Books, Holders: d.Holders, Mirror: d.Mirror, Packs: done, Faults: d.Faults,
		Quotas: limits}, log)
	d.Decider = decide.New(d.Loop, d.Cfg, decide.Slices{Books: d.Books, Holders: d.Holders, Mirror: d.Mirror, Claims: d.Claims,
		Types: d.Types, Classes: d.Classes, Faults: d.Faults, Others: far}, log)
	d.Recovery = recovery.New(d.Cfg, recovery.Slices{Books: d.Books, Holders: d.Holders, Mirror: d.Mirror}, log)
	d.Sessions = sessions.New(d.Loop, d.Cfg, sessions.Slices{Books: d.Books, Holders: d.Holders, Mirror: d.Mirror, Others: far,
		Faults: d.Faults, Classes: d.Classes, Recovery: d.Recovery}, d.Hands, func() {}, log)
	d.Machines = lifetime.New(d.Loop, d.Cfg, lifetime.Slices{Books: d.Books, Holders: d.Holders, Mirror: d.Mirror, Types: d.Types,
		Faults: d.Faults, Sessions: d.Sessions, Decider: d.Decider, Recovery: d.Recovery}, d.Cloud, log)
	return d
}

// Wrote has the mirror follow a record, as if it had just been written.
func (d *Desk) Wrote(key string, rec any, stamp uint64) {
	raw, err := json.Marshal(rec)
	if err != nil {
		d.T.Fatal(err)
	}
	d.Mirror.Write(key, raw, stamp)
}

// Event is a record as the watch tells it.
func Event(key string, rec any, stamp uint64) state.Event {
	return state.Event{Key: key, Value: state.Encode(rec), Stamp: stamp}
}

// Holds has a share's record tell that a controller holds it, under a token.
func (d *Desk) Holds(share, holder string, token uint64) {
	boot := uint64(Boot)
	if holder != Me {
		boot++
	}
	d.Mirror.Write(jobs.SharePrefix+share, membership.ShareRecord(holder, boot, nil, time.Now()), token)
}

// Machine records an ordinary machine of a type in zone a.
func (d *Desk) Machine(host, share, build string, spot bool) *books.Machine {
	d.Wrote(jobs.WorkerPrefix+host, worker.Record{Share: share, Addr: "w:1", Build: build, Zone: "a", Spot: spot,
		SinceMS: time.Now().Add(-time.Hour).UnixMilli()}, 3)
	return d.Books.Machine(host)
}

// Job records an unfinished job with tasks that nobody has claimed.
func (d *Desk) Job(spec jobs.Spec, free int, stamp uint64) *books.Job {
	rec := jobs.Record{Spec: spec, AcceptedMS: time.Now().UnixMilli()}
	if free > 0 {
		rec.Free = []jobs.Span{{First: spec.Tasks - free, N: free}}
	}
	d.Wrote(jobs.JobKey(spec.Ref), rec, stamp)
	return d.Books.Job(spec.Ref)
}

// Range records that a share has claimed a job's first tasks.
func (d *Desk) Range(ref, share string, n int, stamp uint64) *books.Range {
	d.Wrote(jobs.RangeKey(ref, 0), jobs.Range{Share: share, N: n}, stamp)
	return d.Books.Job(ref).Range(0)
}

// Offers has the cloud offer machines of 16 CPUs.
func (d *Desk) Offers(builds ...string) {
	for _, b := range builds {
		d.Types.Hear([]cloud.Flavor{{SKU: b, CPU: 16, MemGB: 64, Hourly: 1, SpotHourly: 0.3, StartupS: 15}})
	}
	d.Books.RecountAll()
}

// Knows has the mirror know all changes up to a revision, and that this is so now.
func (d *Desk) Knows(revision uint64) {
	d.Mirror.News(nil, revision)
	known := false
	d.Mirror.Current(true, func(ok bool) { known = ok })
	for !known {
		d.Next()
	}
}

// Hears has a machine report what it runs, under a token.
func (d *Desk) Hears(host string, tick, token uint64, tasks ...worker.Entry) sessions.Verdict {
	reply := make(chan sessions.Verdict, 1)
	d.Sessions.Report(&worker.Report{Host: host, Build: "m16", Zone: "a", Watch: 1, Tick: tick, Token: token, Tasks: tasks},
		time.Now().Add(-time.Second), reply)
	select {
	case v := <-reply:
		return v
	default:
		return sessions.Verdict{} // kept for a moment
	}
}

// Next does what was said to the actor next, and waits for it.
func (d *Desk) Next() { (<-d.Loop.In())() }

// Cloud is one that refuses to take machines back unless told otherwise, and lists some.
type Cloud struct {
	Takes        bool // takes machines back after all
	Listed       []cloud.Machine
	Calls, Hosts int // that were to be taken back
}

// Release refuses.
func (c *Cloud) Release(_ context.Context, hosts []string) error {
	c.Calls++
	c.Hosts += len(hosts)
	if c.Takes {
		return nil
	}
	return cloud.ErrTrouble
}

// List lists the machines.
func (c *Cloud) List(context.Context) ([]cloud.Machine, error) { return c.Listed, nil }

// Service is a state service that tells its revision, and takes or refuses all.
type Service struct {
	mu    sync.Mutex
	takes uint64 // the revision of the next change that it takes; 0: it takes none
	asked []state.Txn
}

// Takes has it take changes from a revision on.
func (s *Service) Takes(from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takes = from
}

// Asked are the changes that it was asked for.
func (s *Service) Asked() []state.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.asked)
}

// Do takes a change without a look at its conditions, or none.
func (s *Service) Do(_ context.Context, _ state.Priority, t state.Txn) (state.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, t)
	if s.takes == 0 {
		return state.Result{}, state.ErrUnavailable
	}
	s.takes++
	return state.Result{OK: true, Epoch: s.takes - 1}, nil
}

// Get: see Service.
func (*Service) Get(context.Context, state.Priority, string) (state.Row, bool, uint64, error) {
	return state.Row{}, false, 0, nil
}

// List: see Service.
func (*Service) List(context.Context, string) ([]state.Row, uint64, error) {
	return nil, 0, state.ErrUnavailable
}

// Watch: see Service.
func (*Service) Watch(context.Context, string, uint64) ([]state.Event, uint64, error) {
	return nil, 0, state.ErrUnavailable
}

// Grant: see Service.
func (*Service) Grant(context.Context, time.Duration) (uint64, error) { return 0, state.ErrUnavailable }

// Touch: see Service.
func (*Service) Touch(context.Context, uint64) error { return state.ErrUnavailable }
