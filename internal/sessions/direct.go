package sessions

import (
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"

	"golang.org/x/time/rate"
)

// What is said to workers at their own addresses because their next report would be too late,
// or does not come: tasks of cancelled jobs are stopped before they begin, and a worker that can
// open no connection is asked what became of its tasks. It renews no lease, and orders no start.

// direct are the exchanges under way and those that wait for their turn.
type direct struct {
	pace  *rate.Limiter
	queue []*books.Machine
	busy  int
	// freshAsked is whether newer knowledge was asked for, see wantFresh.
	freshAsked bool
}

// Reset forgets who was to be spoken to. Exchanges under way still end.
func (d *direct) Reset() { d.queue, d.freshAsked = nil, false }

// talk is what is known of the exchanges with a worker.
type talk struct {
	queued   bool
	asking   bool
	asked    time.Time // the last exchange began
	answered time.Time // the last answer came
	until    time.Time // as long it is told again to stop what was called off
}

// CallOff tells workers at once of tasks that are stopped for good and have perhaps not begun:
// with the next report they would begin in between, up to a report interval after their user was
// told that the job is cancelled. The worker that waits for an answer is told by that.
func (k *Keeper) CallOff(now time.Time) {
	for _, m := range k.Books.CalledOff() {
		if !k.Books.Has(m) || k.Books.Holds(m) == nil {
			continue
		}
		s := k.of(m)
		s.talk.until = now.Add(tuning.AnswerDead)
		if s.parked != nil {
			if k.unpark(m, s); s.parked == nil {
				k.later(m, s, tuning.DirectEvery) // should the answer be lost
				continue
			}
		}
		k.speak(m, s)
	}
}

// askOverdue asks those that should have reported for what became of their tasks, in turn. Not where
// nobody may be answered: their reports are refused, and all of them would be asked.
func (k *Keeper) askOverdue(now time.Time) {
	if k.hands == nil || !k.Mirror.MayAnswer(now) {
		return
	}
	for _, m := range k.Books.Held() {
		is := m.Is()
		if !is.Overdue || !is.Heard || is.Releasing || is.Released {
			continue
		}
		if s := k.of(m); now.Sub(s.talk.asked) >= tuning.DirectEvery {
			k.speak(m, s)
		}
	}
}

// AnswersDirectly tells whether a worker that does not report has answered at its own address a
// moment ago: it is well, and reaches no controller.
func (k *Keeper) AnswersDirectly(m *books.Machine, now time.Time) bool {
	s := k.sessions[m]
	return s != nil && !s.talk.answered.IsZero() && now.Sub(s.talk.answered) < tuning.DirectLately
}

// speak has a worker spoken to when its turn comes.
func (k *Keeper) speak(m *books.Machine, s *session) {
	if k.hands == nil || s.talk.queued || s.talk.asking || m.Rec().Addr == "" {
		return
	}
	s.talk.queued = true
	k.direct.queue = append(k.direct.queue, m)
	k.speakOn()
}

// speakOn speaks to those whose turn it is.
func (k *Keeper) speakOn() {
	d := &k.direct
	for len(d.queue) > 0 && d.busy < tuning.DirectAtOnce {
		r := d.pace.Reserve()
		if wait := r.Delay(); wait > 0 {
			r.Cancel()
			k.loop.After(wait, k.speakOn)
			return
		}
		m := d.queue[0]
		d.queue = d.queue[1:]
		if s := k.sessions[m]; s != nil {
			s.talk.queued = false
			if share := k.Books.Holds(m); share != nil && k.Books.Has(m) {
				k.exchange(m, s, max(share.Stamp(), m.Stamp()))
			}
		}
	}
}

// exchange tells a worker to stop what was called off, and takes its answer.
func (k *Keeper) exchange(m *books.Machine, s *session, token uint64) {
	c := worker.Command{Token: token, Watch: max(1, k.order[m.Host()].watch), Orders: []worker.Order{}}
	for x := range m.Slots() {
		if x.Is().Stop && x.Is().Sent && x.Job() == nil && len(c.Orders) < tuning.DirectOrders {
			leeway := 0.0 // nobody wants what a job does that is over
			c.Orders = append(c.Orders, worker.Order{Verb: worker.Halt, Task: x.Name(), Try: x.Try(), Leeway: &leeway})
		}
	}
	if len(c.Orders) == 0 && !m.Is().Overdue {
		s.talk.until = time.Time{}
		return
	}
	s.talk.asking, s.talk.asked = true, time.Now()
	k.direct.busy++
	reported, addr := m.When().Reported, m.Rec().Addr
	go func() {
		rep, done, err := k.hands.Do(k.loop.Context(), addr, c)
		k.loop.Tell(func() {
			k.direct.busy--
			s.talk.asking = false
			if err == nil && rep.Host == m.Host() {
				s.talk.answered = time.Now()
				if k.sessions[m] == s && m.When().Reported.Equal(reported) && silentFor(s.talk.asked.Sub(reported)) {
					k.inspected(m, s, rep, token)
				}
			}
			k.again(m, s, rep, err == nil && done)
			k.speakOn()
		})
	}()
}

// again has a worker told once more that did not answer, or to which an order to start what was
// called off may still be on its way: it drops answers that are older than AnswerDead.
func (k *Keeper) again(m *books.Machine, s *session, rep *worker.Report, done bool) {
	wait := tuning.DirectAgain
	if !done {
		wait = tuning.DirectEvery
	} else if !k.underWay(m, rep) {
		return
	}
	k.later(m, s, wait)
}

func (k *Keeper) later(m *books.Machine, s *session, wait time.Duration) {
	k.loop.After(wait, func() {
		if k.sessions[m] == s && k.Books.Has(m) && time.Now().Before(s.talk.until) {
			k.speak(m, s)
		}
	})
}

// underWay tells whether a task that was called off is not in a worker's report, and may still come.
func (k *Keeper) underWay(m *books.Machine, rep *worker.Report) bool {
	listed := map[string]bool{}
	for _, e := range rep.Tasks {
		listed[e.Task] = true
	}
	for x := range m.Slots() {
		if x.Is().Stop && x.Is().Sent && x.Job() == nil && !listed[x.Name()] {
			return true
		}
	}
	return false
}

// silentFor tells whether a worker that was silent for so long when it was asked can be reached by no
// answer of ours any more: it drops those that are older than AnswerDead. Overdue alone does not say
// so where reports are close together: an order that was still on its way counted as lost, and its task
// was started elsewhere (ran_twice on a drawn night, docs/incidents/2026-12-night-852.md). Other than
// so in the tests' broken variant.
var silentFor = func(silent time.Duration) bool { return silent >= tuning.AnswerDead }

// inspected takes in what a worker answers at its own address that should have reported and has
// not. No answer of ours can reach it any more (silentFor), and it has sent no report that was taken
// in since it was asked. So what it does not list is not there. In a later session than that of its
// last report nothing of before is left.
func (k *Keeper) inspected(m *books.Machine, s *session, rep *worker.Report, token uint64) {
	is, share := m.Is(), k.Books.Holds(m)
	at := age{rep.Watch, rep.Tick}
	last := k.order[m.Host()]
	if share == nil || !k.Books.Has(m) || !is.Overdue || !is.Heard || is.Gone || s.parked != nil || max(share.Stamp(), m.Stamp()) != token ||
		rep.Token != token || rep.Watch <= s.over || at.before(last) {
		return
	}
	k.order[m.Host()] = at
	if rep.Watch > last.watch {
		k.log.Info("worker that reaches no controller has lost its lease", "worker", m.Host(), "tasks", m.Load())
		k.absorbEnds(m, rep) // those that it has done are done
		s.over = rep.Watch - 1
		k.Books.Lose(m)
		return
	}
	if quiet, _ := k.absorb(m, rep, false); !quiet {
		k.Books.Miss(m) // an order that never arrived goes elsewhere
		k.Books.Touch()
	}
}

// absorbEnds takes in what a report lists as done.
func (k *Keeper) absorbEnds(m *books.Machine, rep *worker.Report) {
	for _, e := range rep.Tasks {
		if e.Status == worker.Ended && e.Cause == worker.CauseDone {
			s := m.Slot(e.Task)
			if s != nil && s.Try() != e.Try {
				s = nil
			}
			k.ended(m, s, e)
		}
	}
}

// mayStart tells whether tasks may be ordered to start: what is known of cancellations is
// younger than tuning.StartsFor, so that no job is started that was confirmed to be cancelled
// (docs/recovery.md, "No start after a cancellation"). Longer, if all others say that nobody has
// reached the state service: then nobody can have confirmed one.
func (k *Keeper) mayStart(now time.Time) bool {
	return freshToStart(k.cfg, now, k.Mirror.Fresh()) || k.Others.NobodyReaches(now, tuning.StartsFor/2)
}

// freshToStart is so but in the tests' broken variant.
var freshToStart = (*config.Config).MayStart

// wantFresh has the state service asked when starts wait for newer knowledge.
func (k *Keeper) wantFresh(now time.Time) {
	if k.direct.freshAsked || now.Sub(k.Mirror.Fresh()) < tuning.StartsFor/2 {
		return
	}
	k.direct.freshAsked = true
	k.Mirror.Current(true, func(ok bool) {
		k.direct.freshAsked = false
		if ok {
			k.Answer()
		}
	})
}

// Unbegun tells whether a task of a job that is over may be on a worker of ours and has perhaps not
// begun.
func (k *Keeper) Unbegun(ref string) bool {
	now := time.Now()
	for m, s := range k.sessions {
		if !now.Before(s.talk.until) {
			continue
		}
		for x := range m.Slots() {
			if at, _, ok := jobs.ParseTask(x.Name()); ok && at == ref && x.Is().Stop && x.Is().Sent && !x.Is().Begun() {
				return true
			}
		}
	}
	return false
}
