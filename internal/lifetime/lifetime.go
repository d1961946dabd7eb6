// Package lifetime follows machines to their ends: silent, gone, taken back, failing,
// idle, surplus, returned; and gives idle ones to the share that needs them.
package lifetime

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/catalog"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/decide"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/recovery"
	"cherrywall/internal/sessions"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Cloud is what is needed of the cloud.
type Cloud interface {
	Release(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]cloud.Machine, error)
}

// Slices are what the machines' lives are followed with.
type Slices struct {
	Books    *books.Books
	Holders  *membership.Table
	Mirror   *mirror.Mirror
	Types    *catalog.Catalog
	Faults   *blame.Judge
	Sessions *sessions.Keeper
	Decider  *decide.Decider
	Recovery *recovery.Keeper
}

// Keeper has no locks: one actor owns it.
type Keeper struct {
	Slices
	loop *loop.Loop
	cfg  *config.Config
	cl   Cloud
	log  *slog.Logger

	checked    int              // how many of the machines held were looked at in this turn
	returns    []*books.Machine // released, the cloud is not asked yet
	returnedAt time.Time
	returning  bool // a request to return machines is under way
	listing    bool // the machine list is being read
	listed     time.Time
	upkeepAt   time.Time
	gathered   time.Time // see gather
	looked     time.Time // the last check
	woke       time.Time // when this process was last held until
}

// New makes a keeper.
func New(l *loop.Loop, cfg *config.Config, s Slices, cl Cloud, log *slog.Logger) *Keeper {
	return &Keeper{Slices: s, loop: l, cfg: cfg, cl: cl, log: log}
}

// Reset forgets what was to be returned: the machines' records are read anew.
func (k *Keeper) Reset() { k.returns = nil }

// Tick does what is due from time to time.
func (k *Keeper) Tick(now time.Time) {
	k.check(now)
	if now.Sub(k.upkeepAt) >= tuning.UpkeepEvery {
		k.upkeepAt = now
		k.Upkeep(now)
	}
	k.sendReturns()
}

// Upkeep returns, empties and moves what has too little to do.
func (k *Keeper) Upkeep(now time.Time) {
	// Without the state service the record of a returned machine would stay,
	// and the next holder of the share would wait for a worker that is no more.
	if k.Mirror.Stale(now) {
		return
	}
	k.returnIdle(now)
	k.donate(now)
}

// check notes the workers whose leases have run out. Each tick looks at a
// part of the machines, so that all are looked at within a second.
func (k *Keeper) check(now time.Time) {
	suspects := false
	if now.Sub(k.looked) > tuning.HeldFor {
		k.woke = now // this process was held: that nobody was heard tells of no worker
	}
	k.looked = now
	set, _ := k.Mirror.Settings()
	part := k.Books.Held()
	if n := len(part); n > 0 {
		from := k.checked % n
		k.checked = from + max(tuning.CheckAtOnce, n/tuning.CheckParts+1)
		part = part[from:min(k.checked, n)]
		if k.checked >= n {
			k.checked = 0
		}
	}
	for _, m := range part {
		suspects = suspects || k.suspect(m, now)
		k.Books.Doubt(m, k.Faults.Doubt(m.Host(), now))
		k.checkSilence(m, now)
		if is := m.Is(); is.Heard && !is.Gone && !is.Overdue && now.Sub(later(m.When().Reported, k.woke)) > k.dueAfter(m) {
			k.Books.Miss(m)
		}
		if k.Mirror.Stale(now) {
			continue
		}
		k.checkEnd(m, now)
		if slices.Contains(set.Drain, m.Host()) && !m.Is().Drained {
			k.log.Info("machine drained by the operators", "worker", m.Host())
			k.Books.Drain(m)
		}
		if is := m.Is(); is.Drained && !is.Releasing && k.clear(m) {
			k.release(m)
		}
	}
	k.Recovery.Check(now)
	if suspects {
		k.lookForGone(now)
	}
}

// dueAfter is after how long without a report a worker is overdue: its last may have waited for
// an answer, the longer if it had no task.
func (k *Keeper) dueAfter(m *books.Machine) time.Duration {
	every := config.Seconds(k.cfg.Cluster.Workers.ReportS)
	return every + every/4 + k.Sessions.MayHold(m.Load() == 0) + tuning.OverdueMargin
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// checkSilence notes whether a worker has been silent for so long that its tasks are
// gone.
func (k *Keeper) checkSilence(m *books.Machine, now time.Time) {
	if is := m.Is(); !is.Gone && is.Heard && now.Sub(m.When().Reported) > k.cfg.LeaseOver() {
		k.log.Info("worker silent, its lease is over", "worker", m.Host(), "tasks", m.Load())
		k.Sessions.EndSession(m)
		k.Books.Lose(m)
	}
	// Known only by its record, or by a report that came late: nobody can
	// have kept it alive for so long.
	taken := later(k.Books.Holds(m).Since(), m.When().Known)
	if is := m.Is(); !is.Gone && !is.Heard && now.After(k.cfg.GoneBy(taken, m.When().Reported)) {
		k.Books.Lose(m)
	}
}

// checkEnd returns a machine that is silent for too long, and drops the record of one
// that is no more.
func (k *Keeper) checkEnd(m *books.Machine, now time.Time) {
	switch is := m.Is(); {
	case is.Released && !is.Releasing:
		k.Books.Return(m, true)
		k.drop(m)
	case is.Deaf && now.Sub(m.When().Deaf) > k.patience():
		k.log.Info("worker that does not hear is returned", "worker", m.Host())
		k.release(m)
	case is.Gone && k.Sessions.AnswersDirectly(m, now) && now.Sub(m.When().Gone) < k.patience():
		// It is well and reaches no controller: a bad minute of a zone is no reason to
		// return and rent anew all that is there.
	case is.Gone && now.Sub(m.When().Gone) > tuning.SilentRelease:
		k.release(m)
	case !is.Gone && !is.Heard && k.silence(m, now) > k.cfg.AnswersFor()+tuning.ComeOver:
		// Its old holder has had to stop answering it and it has not come:
		// it is most likely dead, and its return proves it.
		k.release(m)
	}
}

// patience is how long a machine is kept that is well and can't be used, since what is said to it or
// what it says does not arrive.
func (k *Keeper) patience() time.Duration { return max(tuning.DeafRelease, 2*k.cfg.LeaseOver()) }

// clear stops all that is on a drained machine, with time to save; it tells whether
// nothing was left.
func (k *Keeper) clear(m *books.Machine) bool {
	empty := m.Load() == 0
	for s := range m.Slots() {
		switch j := s.Job(); {
		case j == nil || s.Is().Stop:
		case j.Rec().Kind == jobs.Gang:
			k.Books.StopGang(j)
		default:
			k.Books.Halt(s, j.Rec().SaveS+1)
		}
	}
	return empty
}

// suspect tells whether a worker that should report does not.
func (k *Keeper) suspect(m *books.Machine, now time.Time) bool {
	is := m.Is()
	if k.Books.Holds(m) == nil || is.Released || is.Gone && is.Heard {
		return false
	}
	return is.Mute || k.silence(m, now) > 3*config.Seconds(k.cfg.Cluster.Workers.ReportS)
}

// silence is how long a worker of a share held here has said nothing, counted
// from the taking of the share or its record at the earliest.
func (k *Keeper) silence(m *books.Machine, now time.Time) time.Duration {
	when := m.When()
	return min(now.Sub(k.Books.Holds(m).Since()), now.Sub(when.Known), now.Sub(when.Reported))
}

// lookForGone reads the machine list while a worker that should report does
// not: one that is listed as failed, or no longer listed, is gone, and its
// tasks need not wait for its lease. A list may describe a moment long ago, so
// only machines that were up before that count as missing: a young one that
// boots in a second and is not listed yet may well run tasks.
func (k *Keeper) lookForGone(now time.Time) {
	if k.listing || now.Sub(k.listed) < tuning.ListSuspects || k.Mirror.Stale(now) {
		return
	}
	k.listing = true
	asked := time.Now()
	go func() {
		list, err := k.cl.List(k.loop.Context())
		k.loop.Tell(func() {
			k.listing, k.listed = false, time.Now()
			if err == nil {
				k.hearList(list, asked)
			}
		})
	}()
}

func (k *Keeper) hearList(list []cloud.Machine, asked time.Time) {
	lag := config.Seconds(tuning.ListLagMost * k.cfg.Cluster.Cloud.ListLagS)
	status := map[string]string{}
	for _, x := range list {
		status[x.Host] = x.Status
	}
	now := time.Now()
	for _, m := range k.Books.Held() {
		st, there := status[m.Host()]
		old := m.Up(asked) > lag+tuning.ListMargin
		if k.suspect(m, now) && (st == "failed" || !there && old) {
			k.log.Info("machine gone from the list", "worker", m.Host(), "status", st, "tasks", m.Load())
			k.bury(m)
		}
	}
}

// bury notes that the cloud has taken a machine back: nothing it may have said before
// counts now.
func (k *Keeper) bury(m *books.Machine) {
	k.Sessions.Bury(m)
	k.Books.Returned(m)
}

// release returns a machine; once the cloud confirms, it and its tasks are
// gone, and its record goes too.
func (k *Keeper) release(m *books.Machine) {
	if s := k.Books.Holds(m); m.Is().Releasing || s != nil && s.Prepared() {
		return // being returned, or its share is being handed over
	}
	k.Books.Return(m, true)
	k.returns = append(k.returns, m)
}

// sendReturns asks the cloud to take back what was released since the last
// time, in one request: the cloud takes few of them.
func (k *Keeper) sendReturns() {
	if k.returning || len(k.returns) == 0 || time.Since(k.returnedAt) < tuning.ReturnEvery {
		return
	}
	var ms []*books.Machine
	var hosts []string
	for len(k.returns) > 0 && len(hosts) < tuning.MaxReleaseAtOnce {
		m := k.returns[0]
		k.returns = k.returns[1:]
		// What changed hands meanwhile is for its new holder to judge.
		if k.Books.Has(m) && m.Is().Releasing && k.Books.Holds(m) != nil {
			ms, hosts = append(ms, m), append(hosts, m.Host())
		}
	}
	if len(hosts) == 0 {
		return
	}
	k.returning, k.returnedAt = true, time.Now()
	go func() {
		err := k.cl.Release(k.loop.Context(), hosts)
		k.loop.Tell(func() {
			k.returning = false
			if err != nil {
				k.log.Info("release failed", "workers", hosts, "error", err)
			}
			var gone []*books.Machine
			for _, m := range ms {
				if k.returned(m, err) {
					gone = append(gone, m)
				}
			}
			k.drop(gone...)
		})
	}()
}

// returned notes the outcome of a machine's return; it tells whether the machine is gone.
func (k *Keeper) returned(m *books.Machine, err error) bool {
	switch {
	case !k.Books.Has(m) || err != nil && k.Books.Holds(m) == nil:
	case err != nil:
		k.loop.After(tuning.RetryMax, func() { k.Books.Return(m, false) })
	default:
		k.log.Info("machine returned", "worker", m.Host(), "silent", m.Is().Gone)
		k.bury(m)
		return true
	}
	return false
}

// drop drops the records of machines that are no more, many in one change. Whoever holds
// their share by now: that the cloud has taken a machine back stays true, and its name is
// never given again. With the share among the conditions the records stayed when it changed
// hands a moment after the return, and its next holder waited up to 36 s for machines that
// were gone. In a hurry for the same reason.
func (k *Keeper) drop(ms ...*books.Machine) {
	for part := range slices.Chunk(ms, k.cfg.Limits().TxnOps) {
		var t state.Txn
		for _, m := range part {
			key := jobs.WorkerPrefix + m.Host()
			t.If = append(t.If, state.Cond{Key: key, Stamp: m.Stamp()})
			t.Writes = append(t.Writes, state.Write{Drop: key})
		}
		k.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
			if err == nil && res.OK {
				return
			}
			// One record that was written again holds up the others, or nobody answered.
			for _, m := range part {
				k.loop.After(tuning.RetryMax, func() {
					if k.Books.Has(m) {
						k.drop(m)
					}
				})
			}
		})
	}
}
