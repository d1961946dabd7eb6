package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// A controller that reaches the state service but no worker kept its share until
// all leases had run out: every task on a third of the machines was lost. It
// leaves the others its shares by ending its liveness, and comes back once it
// reaches workers again.

// hearing is what a controller knows of its own way to the workers.
type hearing struct {
	last    time.Time // a report, or a probe that was answered
	deaf    bool
	since   time.Time // deaf or not since then
	times   int       // how often it has gone deaf lately
	probing bool
	probed  time.Time
	well    int // probes answered in a row while deaf
	tick    time.Time
}

// checkHearing looks whether workers that should report do.
func (a *Actor) checkHearing(now time.Time) {
	h := &a.hearing
	if now.Sub(h.tick) > tuning.HeldFor {
		// This process was held: the silence says nothing of the workers.
		h.last = now
	}
	h.tick = now
	if now.Sub(a.fresh) > tuning.GrantTTL || h.probing || now.Sub(h.probed) < tuning.ProbeEvery {
		return
	}
	if h.deaf {
		a.probe(now)
		return
	}
	n := 0
	for _, m := range a.held() {
		if m.heard && !m.gone && !m.releasing {
			n++
		}
	}
	if n == 0 {
		h.last = now
		return
	}
	quiet := max(tuning.DeafLeast, config.Seconds(3*a.cfg.Cluster.Workers.ReportS/float64(n))+time.Second)
	if now.Sub(h.last) > quiet {
		a.probe(now)
	}
}

// probe asks a few workers, of any share, for their report.
func (a *Actor) probe(now time.Time) {
	h := &a.hearing
	if a.hands == nil {
		return
	}
	var addrs []string
	for _, m := range a.workers { // each of them as likely as the others
		if m.rec.Addr != "" && !m.gone && !m.released {
			addrs = append(addrs, m.rec.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	addrs = addrs[:min(len(addrs), tuning.ProbeWorkers)]
	if len(addrs) == 0 {
		return
	}
	h.probing = true
	go func() {
		answers := make(chan bool, len(addrs))
		for _, addr := range addrs {
			go func() { answers <- a.hands.Inspect(a.ctx, addr) == nil }()
		}
		any := false
		for range addrs {
			any = <-answers || any
		}
		a.tell(call(func(a *Actor) { a.probed(any, now) }))
	}()
}

func (a *Actor) probed(any bool, asked time.Time) {
	h, now := &a.hearing, time.Now()
	h.probing, h.probed = false, now
	if now.Sub(asked) > tuning.HeldFor+tuning.GreetTimeout {
		return // held meanwhile
	}
	switch {
	case !h.deaf && any:
		h.last = now
	case !h.deaf && asked.After(h.last) && a.anotherLives():
		if now.Sub(h.since) > tuning.DeafMemory {
			h.times = 0
		}
		h.deaf, h.since, h.well = true, now, 0
		h.times++
		a.log.Info("no worker can be reached: shares are left to others", "silent_s", now.Sub(h.last).Seconds())
		a.mayLive.Store(false)
		key := jobs.LivePrefix + a.cfg.Node
		a.txn(state.Urgent, state.Txn{If: []state.Cond{{Key: key, Stamp: a.live[a.cfg.Node].stamp}},
			Writes: []state.Write{{Drop: key}}}, func(state.Result, error) {})
	case h.deaf && !any:
		h.well = 0
	case h.deaf:
		h.well++
		// Longer each time: a line that comes and goes must not drag shares along.
		if h.well >= tuning.ProbesWell && now.Sub(h.since) > tuning.DeafPause<<min(h.times-1, 4) {
			h.deaf, h.since, h.last = false, now, now
			a.log.Info("workers can be reached again")
			a.mayLive.Store(true)
		}
	}
}

// anotherLives tells whether another controller could take the shares, and this
// one is known to live itself.
func (a *Actor) anotherLives() bool {
	if !a.isLive(a.cfg.Node, a.boot) {
		return false
	}
	for _, m := range a.members {
		if m.Node != a.cfg.Node && a.isLive(m.Node, 0) {
			return true
		}
	}
	return false
}

// Workers is what the actor needs of the workers besides their reports.
type Workers interface {
	Greet(ctx context.Context, addr string, baton, watch uint64) (*worker.Report, error)
	Inspect(ctx context.Context, addr string) error
}
