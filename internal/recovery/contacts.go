package recovery

import (
	"context"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/loop"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"

	"golang.org/x/time/rate"
)

// Greeter shows a worker a token, without any order, and returns its report of that
// moment. watch is the session in which it is believed to be.
type Greeter interface {
	Greet(ctx context.Context, addr string, token, watch uint64) (*worker.Report, error)
}

// Contacts are the first words with each worker of a share that has a new holder: the
// answer to its first report, which tells it the token, or a greeting. Each costs an
// exchange and makes the worker report once more, and after a start of all controllers
// all workers come within the same second. So they are spoken to at a pace that follows
// from the processor's share: those first that came by themselves, since their leases
// hang on the answer, then those that have not.
type Contacts struct {
	Slices
	loop  *loop.Loop
	hands Greeter // nil: no worker is asked
	pace  *rate.Limiter
	// watch tells the session of a worker's last report, greeted takes in the report
	// that answers a greeting under a token.
	watch   func(m *books.Machine) uint64
	greeted func(m *books.Machine, rep *worker.Report, token uint64)

	came   []func()                     // answers that wait for their turn, the oldest first
	told   map[*books.Machine]time.Time // when a worker that came was told the token
	queue  []*books.Machine             // to be greeted
	queued map[*books.Machine]bool
	timer  *time.Timer // Go is called at due
	due    time.Time
	// Greetings under way: begun a moment ago, and those that take long. The second are
	// most likely silent and must not hold up the others: a share with 230 machines behind
	// a cut needed 15 s for the rest.
	fresh, slow int
}

// NewContacts makes them.
func NewContacts(l *loop.Loop, cfg *config.Config, s Slices, hands Greeter, watch func(m *books.Machine) uint64,
	greeted func(m *books.Machine, rep *worker.Report, token uint64)) *Contacts {
	c := &Contacts{Slices: s, loop: l, hands: hands, watch: watch, greeted: greeted, pace: Pace(cfg, tuning.ContactPart)}
	c.Reset()
	return c
}

// Pace is how fast workers may be spoken to with a part of the processor's share.
func Pace(cfg *config.Config, part float64) *rate.Limiter {
	cores := cfg.Cluster.Limits.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	a := cores * part / tuning.ContactCost.Seconds()
	return rate.NewLimiter(rate.Limit(a), max(1, int(a*tuning.ContactBurst.Seconds())))
}

// Reset forgets the machines: their records are read anew. Greetings under way still end,
// answers that wait are still given.
func (c *Contacts) Reset() {
	c.queue, c.queued, c.told = nil, map[*books.Machine]bool{}, map[*books.Machine]time.Time{}
}

// Forget forgets a worker that is no more.
func (c *Contacts) Forget(m *books.Machine) {
	delete(c.told, m)
	delete(c.queued, m)
}

// Came has the first report of a worker under a new holder answered when its turn comes.
// The answer is to be given in any case; it must look anew whether it still may.
//
// It tells whether it will be in time; if more wait than can be answered while workers
// wait, the worker is to be refused at once.
func (c *Contacts) Came(m *books.Machine, answer func()) bool {
	if a := c.pace.Limit(); a != rate.Inf && float64(len(c.came)) > float64(a)*(tuning.ReportLate-tuning.ToldReports).Seconds() {
		return false
	}
	c.came = append(c.came, func() {
		c.told[m] = time.Now()
		answer()
	})
	c.Go()
	return true
}

// Greet asks a worker that has a new holder for its report, instead of waiting
// until it has found the holder, heard of the new token and reported once more:
// up to 15 s with reports every 5 s. The answer is as good as a report under the
// new token: it was made after the worker had seen it, and the worker obeys no
// older one from then on. Should the request arrive late, it shows a token that
// was ours: never more than our right.
func (c *Contacts) Greet(m *books.Machine) {
	is := m.Is()
	if c.Books.Holds(m) == nil || c.queued[m] || is.Heard || is.Gone || is.Releasing || m.Rec().Addr == "" || c.hands == nil {
		return
	}
	delete(c.told, m)
	c.queued[m] = true
	c.queue = append(c.queue, m)
	c.Go()
}

// Go speaks to those whose turn it is.
func (c *Contacts) Go() {
	for len(c.came) > 0 && c.turn() {
		answer := c.came[0]
		c.came = c.came[1:]
		answer()
	}
	if len(c.came) > 0 {
		return
	}
	for range len(c.queue) {
		if c.fresh >= tuning.GreetAtOnce || c.fresh+c.slow >= tuning.GreetMost {
			return
		}
		m := c.queue[0]
		s := c.Books.Holds(m)
		if s != nil && !c.Mirror.Knows(s) {
			return // until the watch has caught up
		}
		if is := m.Is(); s == nil || is.Heard || is.Gone || !c.Books.Has(m) {
			c.next()
			continue
		}
		if now := time.Now(); now.Sub(c.told[m]) < tuning.ToldReports {
			// It was told the token and reports again by itself.
			c.queue = append(c.queue[1:], m)
			c.wake(c.told[m].Add(tuning.ToldReports).Sub(now))
			continue
		}
		if !c.turn() {
			return
		}
		c.next()
		c.send(m, max(s.Stamp(), m.Stamp()))
	}
}

func (c *Contacts) next() {
	delete(c.queued, c.queue[0])
	c.queue = c.queue[1:]
}

// turn tells whether the pace allows one more; if not, Go is called when it does.
func (c *Contacts) turn() bool {
	r := c.pace.Reserve()
	wait := r.Delay()
	if wait == 0 {
		return true
	}
	r.Cancel()
	c.wake(wait)
	return false
}

func (c *Contacts) wake(wait time.Duration) {
	due := time.Now().Add(wait)
	if c.timer != nil {
		if !due.Before(c.due) {
			return
		}
		c.timer.Stop()
	}
	c.due = due
	c.timer = c.loop.After(wait, func() {
		c.timer = nil
		c.Go()
	})
}

func (c *Contacts) send(m *books.Machine, token uint64) {
	count := &c.fresh // where this one is counted
	*count++
	late := c.loop.After(tuning.GreetSlow, func() {
		if count == &c.fresh {
			c.fresh--
			c.slow++
			count = &c.slow
			c.Go()
		}
	})
	addr, watch := m.Rec().Addr, max(1, c.watch(m))
	go func() {
		rep, err := c.hands.Greet(c.loop.Context(), addr, token, watch)
		late.Stop()
		c.loop.Tell(func() {
			*count--
			count = nil // should the timer have spoken meanwhile, it is too late
			if err == nil {
				c.greeted(m, rep, token)
			} else {
				// Perhaps it was being returned when its old holder ended: the
				// machine list is asked at once, not after several reports.
				c.Books.Unanswered(m)
			}
			c.Go()
		})
	}()
}
