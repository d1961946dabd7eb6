package placement

import (
	"time"

	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// greet asks a worker that has a new holder for its report, instead of waiting
// until it has found the holder, heard of the new baton and reported once more:
// up to 15 s with reports every 5 s. The answer is as good as a report under the
// new baton: it was made after the worker had seen it, and the worker obeys no
// older one from then on. Should the request arrive late, it shows a baton that
// was ours: never more than our right.
func (a *Actor) greet(m *machine) {
	if m.greet || m.heard || m.gone || m.releasing || m.rec.Addr == "" || a.hands == nil {
		return
	}
	m.greet = true
	a.greets = append(a.greets, m)
	a.sendGreets()
}

func (a *Actor) sendGreets() {
	for a.greeting < tuning.GreetAtOnce && len(a.greets) > 0 {
		m := a.greets[0]
		s := a.holds(m)
		if s != nil && !a.knowsShare(s) {
			return // until the watch has caught up: see applyNews
		}
		a.greets = a.greets[1:]
		m.greet = false
		if s == nil || m.heard || m.gone || a.workers[m.host] != m {
			continue
		}
		a.greeting++
		baton, addr, watch := max(s.stamp, m.stamp), m.rec.Addr, max(1, a.order[m.host].watch)
		go func() {
			rep, err := a.hands.Greet(a.ctx, addr, baton, watch)
			a.tell(call(func(a *Actor) {
				a.greeting--
				if err == nil {
					a.greeted(m, rep, baton)
				} else {
					// Perhaps it was being returned when its old holder ended: the
					// machine list is asked at once, not after several reports.
					m.mute = !m.heard
				}
				a.sendGreets()
			}))
		}()
	}
}

// greeted takes the answer in, if the worker is still commanded by the baton
// that it was shown.
func (a *Actor) greeted(m *machine, rep *worker.Report, baton uint64) {
	s := a.holds(m)
	at := order{rep.Watch, rep.Tick}
	if s == nil || a.workers[m.host] != m || m.heard || m.gone || max(s.stamp, m.stamp) != baton ||
		rep.Host != m.host || rep.Baton != baton || rep.Watch <= m.deadWatch || at.before(a.order[m.host]) {
		return
	}
	a.hear(m, rep, time.Now())
}
