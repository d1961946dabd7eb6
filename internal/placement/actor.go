// Package placement is the actor that decides which tasks run where. It drives the
// slices that own what it knows (docs/design.md, "Slices"): their order in a tick, what
// of them follows a report or a record, and the answers to users, operators and the
// other actors of the process.
package placement

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/catalog"
	"cherrywall/internal/claims"
	"cherrywall/internal/classes"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/decide"
	"cherrywall/internal/detector"
	"cherrywall/internal/gate"
	"cherrywall/internal/handover"
	"cherrywall/internal/lifetime"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/others"
	"cherrywall/internal/packs"
	"cherrywall/internal/peer"
	"cherrywall/internal/quota"
	"cherrywall/internal/recovery"
	"cherrywall/internal/sessions"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Actor is the placement actor. Its methods may be called from anywhere: they are
// messages to the one goroutine that touches the slices.
type Actor struct {
	cfg  *config.Config
	log  *slog.Logger
	boot uint64 // marks this run of the process
	loop *loop.Loop

	holders  *membership.Table
	types    *catalog.Catalog
	faults   *blame.Judge
	others   *others.Heard
	books    *books.Books
	mirror   *mirror.Mirror
	claims   *claims.Writer
	decider  *decide.Decider
	gate     *gate.Gate
	detector *detector.Detector
	recovery *recovery.Keeper
	sessions *sessions.Keeper
	handover *handover.Keeper
	machines *lifetime.Keeper

	armed       bool // decisions will be made in a moment
	lastDecide  time.Time
	lastRecount time.Time
	// toldTroubles is when troubles that last were logged.
	toldTroubles time.Time
	untold       int // tasks of small jobs that are being accepted and claimed
	setLevel     func(level string)
	apart        func(news []state.Event, anew bool) // nil: nobody follows
	health       atomic.Pointer[health]
	woke         time.Time // when this process was last held until
	send         func(to string, pieces []*peer.Piece) bool
	leaving      bool
	dooming      int    // writes under way of endDoomed
	opened       func() // nil: nobody waits for it
	cancels      []cancel
	confirming   map[string]*confirm // by job
	looking      bool                // confirm is called again in a moment
}

// New makes the actor, which works until ctx ends; Start starts it. setLevel is told the
// log level that the operators set.
func New(ctx context.Context, cfg *config.Config, st mirror.State, cl lifetime.Cloud, hands sessions.Workers, boot uint64,
	setLevel func(level string), log *slog.Logger) *Actor {
	a := &Actor{cfg: cfg, log: log, boot: boot, loop: loop.New(ctx), setLevel: setLevel, confirming: map[string]*confirm{}}
	var names []string
	for _, m := range cfg.Members() {
		names = append(names, m.Node)
	}
	seen, done, limits := classes.New(), packs.New(), quota.New()
	a.gate, a.detector = gate.New(cfg.Node, names), detector.New(cfg.Node, names)
	a.holders = membership.New(cfg.Node, boot, names)
	a.types, a.faults, a.others = catalog.New(), blame.New(), others.New(cfg.Node, names)
	a.books = books.New(cfg, a.holders, a.types, seen, a.faults, log)
	a.mirror = mirror.New(a.loop, cfg, boot, st, mirror.Slices{Books: a.books, Holders: a.holders, Types: a.types, Packs: done, Quotas: limits, Gate: a.gate},
		a.hooks(), log)
	a.claims = claims.New(a.loop, cfg, claims.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror, Packs: done, Faults: a.faults,
		Quotas: limits}, log)
	a.decider = decide.New(a.loop, cfg, decide.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror, Claims: a.claims,
		Types: a.types, Classes: seen, Faults: a.faults, Others: a.others}, log)
	a.recovery = recovery.New(cfg, recovery.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror}, log)
	a.sessions = sessions.New(a.loop, cfg, sessions.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror, Others: a.others,
		Faults: a.faults, Classes: seen, Recovery: a.recovery}, hands, a.decideSoon, log)
	a.handover = handover.New(cfg, handover.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror, Sessions: a.sessions,
		Recovery: a.recovery, Others: a.others}, func(to string, pieces []*peer.Piece) bool { return a.send != nil && a.send(to, pieces) }, log)
	a.machines = lifetime.New(a.loop, cfg, lifetime.Slices{Books: a.books, Holders: a.holders, Mirror: a.mirror, Types: a.types,
		Faults: a.faults, Sessions: a.sessions, Decider: a.decider, Recovery: a.recovery}, cl, log)
	return a
}

// hooks are what follows from records in the slices that the mirror does not know.
func (a *Actor) hooks() mirror.Hooks {
	return mirror.Hooks{
		Reset: func() {
			a.claims.Reset()
			a.dooming = 0
			a.recovery.Reset()
			a.handover.Reset()
			a.sessions.Reset()
			a.machines.Reset()
		},
		Held:     func(m *books.Machine) { a.sessions.Handover(m) },
		Moved:    func(m *books.Machine) { a.sessions.Contacts().Greet(m) },
		Dropped:  func(m *books.Machine) { a.sessions.Forget(m) },
		HandOver: func(id string, now time.Time) bool { return a.send != nil && a.handover.Wait(id, now) },
		Caught: func() {
			a.handover.Caught(time.Now())
			a.sessions.TakeEarly()
			a.sessions.Contacts().Go()
		},
		Failed: func(node string, now time.Time) bool { return a.detector.Failed(node, now) },
		Taken:  func(holder string) { a.detector.Proved(holder) },
		Wrote: func(share string) {
			if s := a.holders.Share(share); s != nil && a.mirror.Synced() {
				a.detector.Seen(s.Holder(), time.Now())
			}
		},
		Cancelled: a.cancelled,
		SetLevel:  a.setLevel,
		Opened: func() {
			if a.opened != nil {
				a.opened()
			}
		},
		Apart: func(news []state.Event, anew bool) {
			if a.apart != nil {
				a.apart(news, anew)
			}
		},
	}
}

// Follow has another actor hear of the records that are kept apart (jobs.ApartPrefix): of
// changes, and that all are to be read anew, which is so at first. tell must not block for
// long.
func (a *Actor) Follow(tell func(news []state.Event, anew bool)) {
	a.loop.Tell(func() {
		a.apart = tell
		if a.mirror.Synced() {
			tell(nil, true)
		}
	})
}

// WhenOpen has it told, before Start, when all controllers run a program like this one.
func (a *Actor) WhenOpen(tell func()) { a.opened = tell }

// Through has pieces of shares that are handed over sent to other controllers by way of
// send, which tells whether they found room. Without it no share is handed over.
func (a *Actor) Through(send func(to string, pieces []*peer.Piece) bool) { a.send = send }

// Leave gives this controller's shares to the others and its life up; it returns when
// nothing is left to give, or after tuning.LeaveWithin. Users are sent elsewhere from the
// first moment on.
func (a *Actor) Leave() {
	gone := make(chan struct{})
	begun := time.Now()
	var look func()
	look = func() {
		now := time.Now()
		heir := a.holders.HeirBut(a.cfg.Node, func(n string) bool { return n == a.cfg.Node || a.others.Leaving(n, now) })
		if held := len(a.holders.Mine()); held == 0 || heir == "" || now.Sub(begun) > tuning.LeaveWithin {
			a.log.Info("leaving", "shares_left", held, "after_s", time.Since(begun).Seconds())
			a.mirror.Leave()
			a.loop.After(tuning.LeaveWord, func() { close(gone) })
			return
		}
		a.loop.After(tuning.TickEvery, look)
	}
	a.loop.Tell(func() {
		a.leaving = true
		a.handover.Leave()
		look()
	})
	select {
	case <-gone:
	case <-a.loop.Context().Done():
	}
}

// Start sets the actor going.
func (a *Actor) Start() {
	a.mirror.Start()
	go a.run()
}

func (a *Actor) run() {
	ticker := time.NewTicker(tuning.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-a.loop.Context().Done():
			return
		case do := <-a.loop.In():
			do()
		case <-ticker.C:
			a.tick()
		}
		if a.books.Touched() && !a.armed && a.mirror.Synced() {
			a.arm()
		}
	}
}

// arm has decisions made soon, once for a burst of events.
func (a *Actor) arm() {
	wait := tuning.DecideEvery - time.Since(a.lastDecide)
	if wait <= 0 {
		a.decide()
		return
	}
	a.armed = true
	a.loop.After(wait, func() {
		a.armed = false
		a.decide()
	})
}

// decideSoon makes decisions at once if there is anything new and the last were not
// made a moment ago.
func (a *Actor) decideSoon() {
	if a.books.Touched() && time.Since(a.lastDecide) > tuning.DecideLeast {
		a.decide()
	}
}

// decide makes a round of decisions and answers the workers that they concern.
func (a *Actor) decide() {
	a.books.Seen()
	a.lastDecide = time.Now()
	a.sessions.CallOff(a.lastDecide)
	if !a.mirror.MayAnswer(a.lastDecide) {
		return
	}
	a.decider.Round(a.lastDecide)
	a.sessions.Answer()
}

func (a *Actor) tick() {
	now := time.Now()
	a.tellHealth(now)
	if !a.mirror.Synced() {
		a.sessions.TakeEarly() // to refuse those that have waited too long
		return
	}
	a.suspect(now)
	a.mirror.Tick(now)
	a.handover.Tick(now)
	a.sessions.Tick(now)
	a.machines.Tick(now)
	a.claims.Tick(now)
	a.endDoomed(now)
	a.tellTroubles(now)
	if now.Sub(a.lastRecount) >= tuning.Recount {
		a.lastRecount = now
		a.decider.Recount(now)
		a.books.Depend().Renew()
		a.mirror.KeepCatalog(now)
		a.machines.Describe()
	}
}

// suspect looks for controllers that have failed; whom this one suspects the others hear at
// once.
func (a *Actor) suspect(now time.Time) {
	if !a.detector.Look(now, !a.mirror.Stale(now)) {
		return
	}
	a.log.Debug("controllers suspected", "controllers", a.detector.Suspects())
	a.beatNow()
}

// beatNow tells the others a beat before its time.
func (a *Actor) beatNow() {
	if a.send == nil {
		return
	}
	for _, n := range a.holders.Names() {
		if n != a.cfg.Node {
			a.send(n, []*peer.Piece{nil})
		}
	}
}

// Report asks the actor for the answer to a worker's report.
func (a *Actor) Report(rep *worker.Report, reply chan sessions.Verdict) {
	at := time.Now()
	a.loop.Tell(func() { a.sessions.Report(rep, at, reply) })
}

// SetFlavors tells the actor the machine types, as the cloud has them.
func (a *Actor) SetFlavors(f []cloud.Flavor) {
	a.loop.Tell(func() {
		a.types.Hear(f)
		a.books.RecountAll()
	})
}

// SetBoots tells the actor the boot times that the renting actor has learned, in
// seconds by type.
func (a *Actor) SetBoots(usual map[string]float64) {
	a.loop.Tell(func() { a.types.LearnBoots(usual, time.Now()) })
}

// Demand asks what waits for machines.
func (a *Actor) Demand() decide.Demand {
	d, _ := loop.Ask(a.loop, func() decide.Demand { return a.decider.Demand(time.Now(), a.boot) })
	return d
}

// Beat is what this controller tells the others.
func (a *Actor) Beat() (peer.Beat, bool) {
	return loop.Ask(a.loop, func() peer.Beat {
		now := time.Now()
		b := peer.Beat{Node: a.cfg.Node, Boot: a.boot, Silent: now.Sub(a.mirror.Contact()), Synced: a.mirror.Synced(),
			Counts: a.decider.Rooms(now), Suspects: a.detector.Suspects(), Blamed: a.faults.AllBlamed(tuning.MaxBeatBlamed), Wants: a.handover.Wants(now), Leaving: a.leaving,
			Reached: a.mirror.Position(), Cancelled: a.toldCancels(now)}
		for _, s := range a.holders.Shares() {
			b.Shares = append(b.Shares, peer.Share{ID: s.ID(), Holder: s.Holder(), Stamp: s.Stamp()})
		}
		return b
	})
}

// PeerSays takes another controller's beat.
func (a *Actor) PeerSays(b peer.Beat) {
	a.loop.Tell(func() {
		now := time.Now()
		a.detector.Heard(b.Node, b.Suspects, b.Leaving, now)
		if !a.others.Says(b, now) || !a.mirror.Synced() {
			return
		}
		a.hearCancels(b.Cancelled, now)
		a.handover.Asked(b.Node, b.Wants, now)
		if b.Piece != nil {
			a.handover.Hear(b.Node, b.Piece, now)
		}
	})
}

// health is what the last tick said of this controller.
type health struct {
	ok bool
	at time.Time
}

func (a *Actor) tellHealth(now time.Time) {
	if h := a.health.Load(); h != nil && now.Sub(h.at) > tuning.HeldFor {
		// This process was held: that it heard nothing tells of no outage.
		a.woke = now
	}
	silent := now.Sub(a.mirror.Contact())
	// One that hears neither the state service nor controllers that live is cut off itself:
	// users were kept at it for as long as that lasted.
	outage := now.Sub(a.woke) > tuning.HealthGrace && a.others.Outage(now) && (a.others.Hears(now) || !a.holders.AnotherLives())
	ok := !a.leaving && a.mirror.Synced() && (silent < tuning.HealthGrace || outage) && !a.others.Alone(now, silent)
	a.health.Store(&health{ok, now})
}

// Healthy tells whether this controller can take requests. It does not wait for
// the actor: a health check must not stand behind a storm of polls. What was
// said long ago, before this process was held perhaps, does not count.
func (a *Actor) Healthy() bool {
	h := a.health.Load()
	return h != nil && h.ok && time.Since(h.at) < tuning.HealthStale
}
