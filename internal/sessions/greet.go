package sessions

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/hearing"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// What is asked of workers: the answers to greetings, and whether they can be reached at all.

// greeted takes the answer in, if the worker is still commanded by the token
// that it was shown.
func (k *Keeper) greeted(m *books.Machine, rep *worker.Report, token uint64) {
	s, is := k.Books.Holds(m), m.Is()
	at := age{rep.Watch, rep.Tick}
	if s == nil || !k.Books.Has(m) || is.Heard || is.Gone || max(s.Stamp(), m.Stamp()) != token ||
		rep.Host != m.Host() || rep.Token != token || rep.Watch <= k.of(m).over || at.before(k.order[m.Host()]) {
		return
	}
	k.Hear(m, rep, time.Now())
}

// checkHearing asks a few workers for their report if those that should report do
// not: see hearing.Ear.
func (k *Keeper) checkHearing(now time.Time) {
	k.ear.Tick(now)
	if k.Mirror.Stale(now) {
		return
	}
	n := 0
	for _, m := range k.Books.Held() {
		if is := m.Is(); is.Heard && !is.Gone && !is.Releasing {
			n++
		}
	}
	if k.ear.Ask(now, n, config.Seconds(k.cfg.Cluster.Workers.ReportS)) {
		k.probe(now)
	}
}

// probe asks a few workers, of any share, for their report.
func (k *Keeper) probe(now time.Time) {
	if k.hands == nil {
		return
	}
	var addrs []string
	for m := range k.Books.Machines() { // each of them as likely as the others
		if is := m.Is(); m.Rec().Addr != "" && !is.Gone && !is.Released {
			addrs = append(addrs, m.Rec().Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(len(addrs), tuning.ProbeWorkers)]
	if len(addrs) == 0 {
		return
	}
	k.ear.Asked()
	go func() {
		answers := make(chan bool, len(addrs))
		for _, addr := range addrs {
			go func() { answers <- k.hands.Inspect(k.loop.Context(), addr) == nil }()
		}
		any := false
		for range addrs {
			any = <-answers || any
		}
		k.loop.Tell(func() { k.probed(any, now) })
	}()
}

func (k *Keeper) probed(any bool, asked time.Time) {
	now := time.Now()
	switch k.ear.Answered(any, asked, now, k.Holders.AnotherLives()) {
	case hearing.Deaf:
		k.log.Info("no worker can be reached: shares are left to others", "silent_s", k.ear.Silent(now).Seconds())
		k.Mirror.Leave()
	case hearing.Back:
		k.log.Info("workers can be reached again")
		k.Mirror.ComeBack()
	}
}
