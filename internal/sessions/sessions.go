// Package sessions is what is said with workers: their reports, the orders in the
// answers, the greeting of workers that have a new holder, and what reports show of
// tasks and of machines and jobs at fault.
package sessions

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/classes"
	"cherrywall/internal/config"
	"cherrywall/internal/hearing"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/others"
	"cherrywall/internal/recovery"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Workers is what is needed of the workers besides their reports.
type Workers interface {
	recovery.Greeter
	Inspect(ctx context.Context, addr string) error
	Do(ctx context.Context, addr string, c worker.Command) (rep *worker.Report, done bool, err error)
}

// Verdict is the reply to a report.
type Verdict struct {
	Status int
	Herald string
	Answer worker.Answer
}

// Slices are what sessions are kept with.
type Slices struct {
	Books   *books.Books
	Holders *membership.Table
	Mirror  *mirror.Mirror
	Others  *others.Heard
	Faults  *blame.Judge
	Classes *classes.Book
	// Recovery follows how shares that changed hands come back to work.
	Recovery *recovery.Keeper
}

// Keeper keeps the sessions. It has no locks: one actor owns it.
type Keeper struct {
	Slices
	loop   *loop.Loop
	cfg    *config.Config
	hands  Workers // may be nil: no worker is asked
	decide func()  // makes decisions, so that they go out with an answer
	log    *slog.Logger

	order     map[string]age // newest report of each worker by name
	sessions  map[*books.Machine]*session
	enrolling map[string]bool   // workers
	joining   map[[2]string]int // by share and type, those being enrolled
	contacts  *recovery.Contacts
	early     []*report // that came before what they are judged by was known
	began     time.Time // this run of the process
	// strays are when workers came whose share a live controller holds, by share.
	strays map[string][]time.Time
	ear    hearing.Ear
	buried *lru.Cache[string, bool] // workers that are no more
	direct direct
}

// session is what is known of the talk with a worker.
type session struct {
	parked *report   // a report that is not answered yet
	over   uint64    // sessions up to this one are
	told   int       // answers with the present token since it was last heard, see tuning.ToldInVain
	missed int       // see listens
	talk   talk      // at the worker's own address
	began  time.Time // when the worker's session was first heard of
}

// report is a report that waits for its answer.
type report struct {
	rep   *worker.Report
	at    time.Time
	reply chan<- Verdict
	held  bool
}

func (q *report) refuse() { q.reply <- Verdict{Status: 503} }

// age is that of a report: session and count.
type age struct{ watch, tick uint64 }

func (o age) before(p age) bool {
	return o.watch < p.watch || (o.watch == p.watch && o.tick <= p.tick)
}

// old is before, but in the tests' broken variant.
var old = age.before

// New makes a keeper; decide is called when what a report shows should be answered with
// new decisions.
func New(l *loop.Loop, cfg *config.Config, s Slices, hands Workers, decide func(), log *slog.Logger) *Keeper {
	k := &Keeper{Slices: s, loop: l, cfg: cfg, hands: hands, decide: decide, log: log, began: time.Now(), strays: map[string][]time.Time{},
		order: map[string]age{}, sessions: map[*books.Machine]*session{}, enrolling: map[string]bool{}, joining: map[[2]string]int{}}
	buried, err := lru.New[string, bool](tuning.BuriedKept)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	k.buried = buried
	var greeter recovery.Greeter
	if hands != nil {
		greeter = hands
	}
	k.contacts = recovery.NewContacts(l, cfg, s.Recovery.Slices, greeter,
		func(m *books.Machine) uint64 { return k.order[m.Host()].watch }, k.greeted)
	k.direct.pace = recovery.Pace(cfg, tuning.DirectPart)
	return k
}

// Reset forgets the machines: their records are read anew. Greetings under way still end.
func (k *Keeper) Reset() {
	for _, s := range k.sessions {
		if s.parked != nil {
			s.parked.refuse()
			s.parked = nil // what was to look at it later finds none
		}
	}
	k.sessions = map[*books.Machine]*session{}
	k.direct.Reset()
	k.contacts.Reset()
}

// Contacts are the first words with workers that have a new holder.
func (k *Keeper) Contacts() *recovery.Contacts { return k.contacts }

// Forget forgets a worker that is no more: its name is never given again. A late copy of a
// report had it enrolled anew, paid for in the counts and waited for.
func (k *Keeper) Forget(m *books.Machine) {
	k.buried.Add(m.Host(), true)
	delete(k.order, m.Host())
	delete(k.sessions, m)
	k.contacts.Forget(m)
}

func (k *Keeper) of(m *books.Machine) *session {
	s := k.sessions[m]
	if s == nil {
		s = &session{}
		k.sessions[m] = s
	}
	return s
}

// Handover notes that a worker's share has a new holder. Taken for dead by a holder that
// was cut off, it may have been kept alive by another meanwhile.
func (k *Keeper) Handover(m *books.Machine) {
	k.of(m).over, k.of(m).told = 0, 0
	k.contacts.Greet(m)
}

// EndSession has nothing count that a worker says in the session of its last report, or
// said in any before: its lease is over.
func (k *Keeper) EndSession(m *books.Machine) { k.of(m).over = k.order[m.Host()].watch }

// Bury has nothing count that a worker may still say.
func (k *Keeper) Bury(m *books.Machine) { k.of(m).over = ^uint64(0) }

// Last is the newest report that is known of a worker, and up to which of its sessions
// nothing counts any more.
func (k *Keeper) Last(m *books.Machine) (watch, tick, over uint64) {
	o := k.order[m.Host()]
	return o.watch, o.tick, k.of(m).over
}

// Inherit takes over what the holder before knew of a worker's reports.
func (k *Keeper) Inherit(m *books.Machine, watch, tick, over uint64) {
	if at := (age{watch, tick}); !at.before(k.order[m.Host()]) {
		k.order[m.Host()] = at
	}
	k.of(m).over = over
}

// Strays is how many reports came lately of workers whose share another controller holds
// and lives: many, if it can't reach them and this one can.
func (k *Keeper) Strays(share string, now time.Time) int {
	k.strays[share] = slices.DeleteFunc(k.strays[share], func(at time.Time) bool { return now.Sub(at) > tuning.StrayFor })
	return len(k.strays[share])
}

// Flush answers the reports of a share's workers that wait for orders: nobody is answered
// once the share is given away.
func (k *Keeper) Flush(s *membership.Share) {
	for m := range k.Books.HeldIn(s.ID()) {
		if x := k.sessions[m]; x != nil && x.parked != nil {
			k.answer(m, x)
		}
	}
}

// Tick does what is due from time to time.
func (k *Keeper) Tick(now time.Time) {
	k.checkHearing(now)
	k.askOverdue(now)
	k.clearJobs(now)
	for share := range k.strays {
		k.Strays(share, now)
	}
	k.TakeEarly()
}

// Report answers a worker's report that came at a moment; the verdict is sent to reply.
func (k *Keeper) Report(rep *worker.Report, at time.Time, reply chan<- Verdict) {
	k.take(&report{rep: rep, at: at, reply: reply})
}

// TakeEarly looks again at the reports that came early: the records are known by now, or a
// share was taken.
func (k *Keeper) TakeEarly() {
	early := k.early
	k.early = nil
	for _, q := range early {
		k.take(q)
	}
}

// isEarly tells whether a report can't be judged yet, but is likely to be in a moment: the
// records are being read, or all controllers have just started and nobody holds the worker's
// share yet. Refused or sent on, the worker tried one controller after the other, a second
// each: after a start of all each came three times before it found its own.
func (k *Keeper) isEarly(q *report) bool {
	if !k.Mirror.Synced() {
		// Not in an outage: each that waits holds a connection.
		return time.Since(k.began) < tuning.ReportLate
	}
	m := k.Books.Machine(q.rep.Host)
	if m == nil {
		return false
	}
	if s := k.Books.Holds(m); s != nil {
		return s.Given() // its new holder is known in a moment
	}
	if !k.Holders.Cold(time.Now()) {
		return false
	}
	return !k.Holders.HolderLives(k.Holders.Share(m.Rec().Share))
}

func (k *Keeper) take(q *report) {
	if time.Since(q.at) > tuning.ReportLate {
		q.refuse()
		return
	}
	if k.isEarly(q) {
		if n := k.cfg.Cluster.Limits.MaxSockets; len(k.early) >= tuning.EarlyReports || n > 0 && len(k.early) >= n/2 {
			q.refuse()
			return
		}
		k.early = append(k.early, q)
		return
	}
	if !k.Mirror.Synced() {
		q.refuse()
		return
	}
	m := k.Books.Machine(q.rep.Host)
	if m == nil {
		if k.buried.Contains(q.rep.Host) {
			q.refuse()
			return
		}
		k.enrol(q)
		return
	}
	s := k.of(m)
	token, v := k.entitled(q, m, s)
	if v.Status != 0 {
		q.reply <- v
		return
	}
	at := age{q.rep.Watch, q.rep.Tick}
	if old(at, k.order[m.Host()]) {
		q.refuse() // a late report: the worker has said more since
		return
	}
	if s.parked != nil {
		s.parked.refuse() // given up on by the worker
		s.parked = nil
	}
	if q.rep.Token != token || !k.Mirror.Knows(k.Books.Holds(m)) {
		// Sent before the worker knew of this holder, perhaps held up by a cut
		// for minutes: the holder before may have moved its tasks since. It
		// counts for nothing but to tell the worker the token. The same while
		// ranges of the share may still be unknown here: see mirror.Knows.
		k.order[m.Host()] = at
		if m.Is().Gone {
			s.told = 0
		} else if k.ToldInVain(m) {
			// Answered on and on, its lease would count as running for ever, and what it
			// may run would be waited for.
			q.refuse()
			return
		}
		k.Books.Says(m, q.at)
		if !k.contacts.Came(m, func() { k.tell(q, m) }) {
			q.refuse()
		}
		return
	}
	k.Hear(m, q.rep, q.at)
	k.decide() // so that what takes the freed room goes out with this answer
	s.parked = q
	k.unpark(m, s)
}

// tell answers a worker with the token and nothing else.
func (k *Keeper) tell(q *report, m *books.Machine) {
	token, v := k.entitled(q, m, k.of(m))
	if v.Status == 0 {
		v = Verdict{Status: 200, Answer: worker.Answer{Token: token, Orders: []worker.Order{}}}
	}
	if !k.Books.Has(m) || time.Since(q.at) > tuning.ReportLate {
		v = Verdict{Status: 503}
	}
	if v.Status == 200 {
		k.of(m).told++
	}
	q.reply <- v
}

// Hear takes in a report under the present token.
func (k *Keeper) Hear(m *books.Machine, rep *worker.Report, at time.Time) {
	newSession := rep.Watch > k.order[m.Host()].watch
	k.order[m.Host()] = age{rep.Watch, rep.Tick}
	k.ear.Heard(time.Now())
	wasGone := k.Books.Reports(m, at)
	quiet, missed := k.absorb(m, rep, newSession)
	quiet = quiet && !wasGone && !newSession
	k.listens(m, missed, newSession, at)
	if k.Books.Heard(m, len(rep.Tasks) == 0, quiet) {
		k.Recovery.Heard(m, time.Now())
	}
}

// listens judges whether what is said to a worker arrives. Orders that do not show in the
// next report, and one lease that ends after the other, tell that it does not; a session that
// lasts longer than a lease tells that it does. (It then tries one controller after the
// other, so that with a short lease each report to its holder is of another session.)
func (k *Keeper) listens(m *books.Machine, missed heed, newSession bool, now time.Time) {
	s := k.of(m)
	s.told = 0
	expired := newSession && !s.began.IsZero()
	if newSession || s.began.IsZero() {
		s.began = now
	}
	switch lasts := now.Sub(s.began) > k.cfg.LeaseOver(); {
	case expired || missed == unheeded:
		s.missed++
	case missed == heeded || lasts:
		s.missed = 0
	}
	if deaf := m.Is().Deaf; !deaf && s.missed >= tuning.DeafAfter {
		k.log.Info("worker does not hear", "worker", m.Host())
		k.Books.Deafen(m, true, now)
	} else if deaf && s.missed == 0 {
		k.log.Info("worker hears again", "worker", m.Host())
		k.Books.Deafen(m, false, now)
	}
}

// ToldInVain tells whether a worker was answered with the present token again and again, and no
// report shows it.
func (k *Keeper) ToldInVain(m *books.Machine) bool {
	s := k.sessions[m]
	return s != nil && s.told >= tuning.ToldInVain
}

// entitled tells whether a report may be answered, and with which token; the
// verdict is set if not.
func (k *Keeper) entitled(q *report, m *books.Machine, ses *session) (uint64, Verdict) {
	s := k.Books.Holds(m)
	if s == nil {
		v := Verdict{Status: 421}
		if h := k.Holders.Share(m.Rec().Share); k.Holders.HolderLives(h) && h.Holder() != k.cfg.Node {
			v.Herald = h.Holder()
			k.strays[m.Rec().Share] = append(k.strays[m.Rec().Share], time.Now())
		}
		return 0, v
	}
	if holder, yes := k.Others.Superseded(s.ID(), s.Stamp()); yes {
		return 0, Verdict{Status: 421, Herald: holder}
	}
	token := max(s.Stamp(), m.Stamp())
	// Given away, it may have another holder already, who counts on it that nobody is
	// answered any more.
	if s.Given() || !k.Mirror.MayAnswer(time.Now()) || q.rep.Token > token || q.rep.Watch <= ses.over {
		return 0, Verdict{Status: 503}
	}
	return token, Verdict{}
}

// unpark answers a worker's report, or keeps it a moment longer if there is
// nothing to say: a launch that is decided meanwhile then needs no further
// report. It is kept no longer than the worker would be silent anyway (a
// change is reported half a second after the last report at the earliest), or,
// for a worker without tasks, for a part of its report interval.
func (k *Keeper) unpark(m *books.Machine, s *session) {
	q := s.parked
	if q == nil {
		return
	}
	if !k.Books.Has(m) {
		s.parked = nil
		q.refuse()
		return
	}
	token, v := k.entitled(q, m, s)
	if v.Status != 0 {
		s.parked = nil
		q.reply <- v
		return
	}
	left := k.MayHold(m.Load() == 0 && len(q.rep.Tasks) == 0) - time.Since(q.at)
	if left > 0 && q.rep.Token == token && k.Books.Usable(m) && !k.hasOrders(m) {
		if !q.held {
			q.held = true
			k.loop.After(left, func() {
				if s.parked == q {
					k.unpark(m, s)
				}
			})
		}
		return
	}
	k.answer(m, s)
}

// MayHold is how long a report may be kept for orders, the longer if its worker has no tasks.
func (k *Keeper) MayHold(idle bool) time.Duration {
	if !idle {
		return tuning.HoldBusy
	}
	return max(tuning.HoldBusy, min(tuning.HoldIdle, config.Seconds(k.cfg.Cluster.Workers.ReportS/2)))
}

// answer answers the report of a worker that waits, with all orders for it.
func (k *Keeper) answer(m *books.Machine, s *session) {
	q := s.parked
	s.parked = nil
	token, v := k.entitled(q, m, s)
	if v.Status != 0 {
		q.reply <- v
		return
	}
	orders := k.orders(m, q.rep)
	k.Recovery.Ordered(m, orders, time.Now())
	q.reply <- Verdict{Status: 200, Answer: worker.Answer{Token: token, Orders: orders}}
}

// Answer answers the reports that wait and for which there are orders by now.
func (k *Keeper) Answer() {
	k.wantFresh(time.Now())
	for _, m := range k.Books.Held() {
		if s := k.sessions[m]; s != nil && s.parked != nil && k.hasOrders(m) {
			k.unpark(m, s)
		}
	}
}

// enrol gives an unknown worker to a share, durably, before answering it.
func (k *Keeper) enrol(q *report) {
	host := q.rep.Host
	share := k.leastShare(q.rep.Zone, q.rep.Build)
	s := k.Holders.Share(share)
	if k.Mirror.Stale(time.Now()) || k.enrolling[host] || s == nil {
		q.refuse()
		return
	}
	key := jobs.WorkerPrefix + host
	place := [2]string{share, q.rep.Build}
	k.enrolling[host] = true
	k.joining[place]++
	k.Mirror.Txn(state.Normal, state.Txn{
		If: []state.Cond{{Key: key}, {Key: jobs.SharePrefix + share, Stamp: s.Stamp()}},
		Writes: []state.Write{{Key: key, Value: state.Encode(worker.Record{Share: share, Addr: q.rep.Addr,
			Build: q.rep.Build, Zone: q.rep.Zone, Spot: q.rep.Spot, SinceMS: time.Now().UnixMilli()})}},
	}, func(state.Result, error) {
		delete(k.enrolling, host)
		k.joining[place]--
		m := k.Books.Machine(host)
		if m == nil {
			q.refuse()
			return
		}
		k.Recovery.Enrolled(m, time.Now())
		k.log.Info("worker enrolled", "worker", host, "share", m.Rec().Share,
			"build", q.rep.Build, "zone", q.rep.Zone, "spot", q.rep.Spot)
		k.take(q)
	})
}

// leastShare picks the share of a new worker: one whose home is in the worker's
// zone, and of these the one with the fewest workers of the type.
func (k *Keeper) leastShare(zone, build string) string {
	var local, all []string
	for _, p := range k.cfg.Members() {
		all = append(all, p.Node)
		if p.Zone == zone {
			local = append(local, p.Node)
		}
	}
	if len(local) == 0 {
		local = all
	}
	slices.Sort(local)
	best, least := "", 0
	for _, n := range local {
		c := k.joining[[2]string{n, build}] // a wave of new machines is spread, too
		for m := range k.Books.Machines() {
			if rec := m.Rec(); rec.Share == n && rec.Build == build && !m.Is().Gone {
				c++
			}
		}
		if best == "" || c < least {
			best, least = n, c
		}
	}
	return best
}
