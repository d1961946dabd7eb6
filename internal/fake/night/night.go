// Package night lets all that can happen to controllers, machines, links and the state
// service happen in an order by chance, and judges by the rules what workers and users see.
package night

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

var names = []string{"n0", "n1", "n2"}

// Run runs a tale of three controllers and some machines in simulated time and returns the
// rules that were broken, as the workers and the users saw it. peers has the controllers
// hear one another.
func Run(t *testing.T, machines int, peers bool, tale func(n *Night)) (broken []string) {
	t.Helper()
	return RunOf(t, machines, func(w *fake.World) { w.Peers = peers }, tale)
}

// RunOf is the same with settings of its own.
func RunOf(t *testing.T, machines int, set func(w *fake.World), tale func(n *Night)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewWorldOf(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(w *fake.World) {
			w.Flavor[0].CPU, w.Flavor[0].MemGB = 8, 32
			set(w)
		})
		time.Sleep(3 * time.Second)
		for i := range machines {
			w.Add([]string{"a", "b"}[i%2], i%3 == 0)
		}
		time.Sleep(8 * time.Second)
		n := &Night{World: w, told: map[string]string{}, gone: map[string]due{}, gang: map[string]bool{}, tasks: map[string]int{},
			behind: map[string][]string{}, asked: map[string]bool{}, orphan: map[string]time.Time{}, rnd: rand.New(rand.NewPCG(1, 1))}
		w.OnStart(n.starts)
		tale(n)
		n.mu.Lock()
		broken = append(n.broken, w.Broken()...)
		n.mu.Unlock()
		stop()
		synctest.Wait()
	})
	return broken
}

// Night is a world and its users, who remember what they were told.
type Night struct {
	*fake.World
	refs   []string
	rnd    *rand.Rand
	waits  int // how many others the next job names at the most
	tasks  map[string]int
	gang   map[string]bool
	told   map[string]string // the last state that can't change, or "accepted"
	mu     sync.Mutex        // of gone and broken, which are also used when a task starts
	gone   map[string]due    // cancelled jobs
	broken []string
	// Meet has the troubles of meetings.go come, too.
	Meet    bool
	only    *Kind         // nil: of all kinds
	longest time.Duration // that a task runs
	// Graphs has half of the jobs wait for up to three others.
	Graphs bool
	behind map[string][]string  // jobs by one that they name
	asked  map[string]bool      // to be cancelled
	later  []func()             // what users of jobs that are called off at once have heard
	under  sync.WaitGroup       // their questions
	orphan map[string]time.Time // by when a job behind a cancelled one must be called cancelled
}

// due is by when the tasks of a cancelled job must be gone, and how many there are.
type due struct {
	told  time.Time
	by    time.Time
	tasks int
}

func (n *Night) breaks(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken = append(n.broken, fmt.Sprintf(format, args...))
}

// confirmed notes that a user was told that a job is cancelled: its tasks are looked for at
// the moment by which they must be gone.
func (n *Night) confirmed(ref string) {
	within := time.Duration(n.Cfg.Cluster.Workers.CancelS * float64(time.Second))
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gone[ref].by.IsZero() {
		n.gone[ref] = due{time.Now(), time.Now().Add(within), n.tasks[ref]}
		time.AfterFunc(within+time.Millisecond, n.look)
	}
}

// starts judges a start at the moment at which it happens: not after a cancelled job's time, and
// not at all if it was ordered after its user was told. What was ordered before and still fetches
// its image on a machine that can't be told may start.
func (n *Night) starts(task, host string, ordered time.Time) {
	ref, _, _ := jobs.ParseTask(task)
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.gone[ref]
	switch {
	case d.by.IsZero():
	case time.Now().After(d.by):
		n.broken = append(n.broken, fmt.Sprintf("ran_cancelled: %s starts on %s %v late", task, host, time.Since(d.by)))
	case ordered.After(d.told):
		n.broken = append(n.broken, fmt.Sprintf("started_cancelled: %s on %s, ordered %v after the cancellation", task, host, ordered.Sub(d.told)))
	}
}

// up are the controllers that run.
func (n *Night) up() []string {
	return slices.DeleteFunc(slices.Clone(names), func(x string) bool { return n.Nodes[x] == nil })
}

func (n *Night) submit(node, kind string, tasks int, cpu float64, run time.Duration) {
	s := fake.Job(fmt.Sprintf("wk-%d", len(n.refs)+1), kind, tasks, cpu)
	s.Spot = kind == jobs.Array
	if len(n.refs)%3 == 0 && cpu*float64(tasks) <= 4 {
		s.Team = "capped"
	}
	if kind == jobs.Gang {
		s.Urgency, s.CheckpointS, s.SaveS = "high", 5, 1
	}
	n.refs, n.tasks[s.Ref] = append(n.refs, s.Ref), tasks
	n.gang[s.Ref] = kind == jobs.Gang
	for range n.waits {
		if ref := n.refs[n.rnd.IntN(len(n.refs))]; n.told[ref] != "" && !slices.Contains(s.Awaits, ref) {
			s.Awaits = append(s.Awaits, ref)
		}
	}
	n.longest = max(n.longest, run)
	r := n.Submit(node, s, run)
	if r.Code == 422 || r.Code == 404 || r.Code == 400 {
		n.breaks("forgotten: %s, naming %v, was answered %+v", s.Ref, s.Awaits, r)
	}
	for _, ref := range s.Awaits { // also if it was not answered: it may have been accepted
		n.behind[ref] = append(n.behind[ref], s.Ref)
	}
	if r.Code != 200 && r.Code != 201 {
		return
	}
	n.told[s.Ref] = "accepted"
	for _, ref := range s.Awaits {
		if n.told[ref] == jobs.Cancelled || !n.orphan[ref].IsZero() {
			n.doom(s.Ref)
		}
	}
}

// doom has a job and all behind it be called cancelled soon.
func (n *Night) doom(ref string) {
	if n.orphan[ref].IsZero() {
		n.orphan[ref] = time.Now().Add(time.Duration(n.Cfg.Cluster.Workers.CancelS * float64(time.Second)))
		for _, x := range n.behind[ref] {
			n.doom(x)
		}
	}
}

// cancelled tells whether somebody asked to cancel a job or one that it needs.
func (n *Night) cancelled(ref string) bool {
	if n.asked[ref] {
		return true
	}
	for x, all := range n.behind {
		if slices.Contains(all, ref) && n.cancelled(x) {
			return true
		}
	}
	return false
}

func (n *Night) hears(ref, what string, code int, status string) {
	before := n.told[ref]
	switch {
	case before != "" && code == 404:
		n.breaks("forgotten: %s", ref)
	case code != 200:
		return
	case (before == jobs.Done || before == jobs.Cancelled) && status != before:
		n.breaks("went_back: %s called %s, then %s by %s", ref, before, status, what)
	case status == jobs.Cancelled && before != jobs.Cancelled && !n.cancelled(ref):
		n.breaks("went_back: %s was called cancelled by %s, and nobody asked for it", ref, what)
	case !n.orphan[ref].IsZero() && time.Now().After(n.orphan[ref]) && status != jobs.Cancelled:
		n.breaks("orphaned: %s is called %s by %s", ref, status, what)
	case status == jobs.Done && before != jobs.Done:
		ran, starts := 0, n.Starts()
		for i := range n.tasks[ref] {
			if starts[jobs.TaskName(ref, i)] > 0 {
				ran++
			}
		}
		// The stand-in's gangs do not wait for all: the first that is done ends them.
		if ran < n.tasks[ref] && !n.gang[ref] || ran == 0 {
			n.breaks("not_done: %s, of which %d of %d tasks ran", ref, ran, n.tasks[ref])
		}
	}
	if status == jobs.Done || status == jobs.Cancelled {
		n.told[ref] = status
	}
	if status == jobs.Cancelled {
		n.confirmed(ref)
		n.doom(ref)
	}
}

// Ends has everything come to its end, and tells how many jobs did.
func (n *Night) Ends() int {
	n.machines()
	n.known()
	time.Sleep(80 * time.Second)
	for before := -1; n.Meet; { // some run for minutes, one after the other: as long as some start
		now := 0
		for _, k := range n.Starts() {
			now += k
		}
		if now == before {
			break
		}
		before = now
		n.machines() // those that idle meanwhile are returned, too
		time.Sleep(n.longest + time.Minute)
	}
	ended := 0
	for _, ref := range n.refs {
		r := n.Poll("n1", ref)
		n.hears(ref, "the last poll", r.Code, r.Status)
		if n.told[ref] == "accepted" {
			n.breaks("%s is %s after all", ref, r.Status)
		} else if n.told[ref] != "" {
			ended++
		}
	}
	n.look()
	return ended
}

// machines adds some: nobody rents here, and those that were silent were returned.
func (n *Night) machines() {
	for i := range 12 {
		n.Add([]string{"a", "b"}[i%2], false)
	}
}

// known checks, from the moment at which all troubles are over, that each job's question is answered
// within 75 s, whomever the user asks, and that no job waits for 90 s while machines that may run it
// have room and its team is under its limit.
func (n *Night) known() {
	open := slices.Clone(n.refs)
	type wait struct {
		since  time.Time
		starts int
	}
	waits := map[string]wait{}
	for k := range 24 {
		time.Sleep(5 * time.Second)
		if k < 15 {
			open = slices.DeleteFunc(open, func(ref string) bool {
				at := names[n.rnd.IntN(len(names))]
				r := n.Poll(at, ref)
				n.hears(ref, "a poll after the troubles", r.Code, r.Status)
				return r.Code == 200 || r.Code == 404 && n.told[ref] == ""
			})
		}
		for _, ref := range n.refs {
			if n.told[ref] != "accepted" || n.cancelled(ref) || n.behindOthers(ref) {
				delete(waits, ref)
				continue
			}
			_, starts, room := n.Lack(ref)
			if w := waits[ref]; !room || w.since.IsZero() || w.starts != starts {
				waits[ref] = wait{time.Now(), starts}
				if !room {
					delete(waits, ref)
				}
			} else if time.Since(w.since) >= 90*time.Second {
				n.breaks("left_waiting: %s for %v, with room for it", ref, time.Since(w.since))
				delete(waits, ref)
			}
		}
	}
	for _, ref := range open {
		n.breaks("forgotten: no question about %s was answered for 75 s", ref)
	}
}

// behindOthers tells whether a job waits for one that is not done.
func (n *Night) behindOthers(ref string) bool {
	for x, all := range n.behind {
		if slices.Contains(all, ref) && !n.Whole(x) {
			return true
		}
	}
	return false
}

// look checks that no cancelled job is on a machine after its time.
func (n *Night) look() {
	n.mu.Lock()
	gone := maps.Clone(n.gone)
	n.mu.Unlock()
	for ref, d := range gone {
		if time.Now().Before(d.by) {
			continue
		}
		for i := range d.tasks {
			if on := n.On(jobs.TaskName(ref, i)); len(on) > 0 {
				n.breaks("ran_cancelled: %s/%d on %v", ref, i, on)
			}
		}
	}
}

// Troubles come in an order by chance, so many steps, while users come and go; at last all
// is well again.
func (n *Night) Troubles(rnd *rand.Rand, steps int) {
	n.rnd = rnd
	refused, out := "", false
	cut := map[string]bool{}
	for range steps {
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		n.look()
		if n.Meet && len(n.Hosts()) < 8 { // silent machines are returned
			n.Add([]string{"a", "b"}[rnd.IntN(2)], false)
		}
		up := n.up()
		if len(up) == 0 {
			for _, x := range names {
				if rnd.IntN(3) > 0 {
					n.Boot(x)
				}
			}
			continue
		}
		some := up[rnd.IntN(len(up))]
		if n.Meet && rnd.IntN(5) == 0 {
			n.meet(some, rnd)
			continue
		}
		if n.waits = 0; n.Graphs && len(n.refs) > 0 && rnd.IntN(2) == 0 {
			n.waits = 1 + rnd.IntN(3)
		}
		switch k := rnd.IntN(100); {
		case k < 25:
			n.submit(some, jobs.Gang, 1+rnd.IntN(6), 3, n.length(2+rnd.IntN(12)))
		case k < 35:
			n.submit(some, jobs.Array, 1+rnd.IntN(20), 1, n.length(1+rnd.IntN(9)))
		case k < 50 && len(n.refs) > 0:
			ref := n.refs[rnd.IntN(len(n.refs))]
			r := n.Poll(some, ref)
			n.hears(ref, "poll", r.Code, r.Status)
		case k < 56 && len(n.refs) > 0:
			ref := n.refs[rnd.IntN(len(n.refs))]
			n.cancel(some, ref)
		case k < 62:
			if rnd.IntN(3) == 0 {
				n.Leave(some)
			} else {
				n.Crash(some)
			}
		case k < 66: // all
			for _, x := range up {
				n.Crash(x)
			}
		case k < 76:
			for _, x := range names {
				if n.Nodes[x] == nil && rnd.IntN(2) == 0 {
					n.Boot(x)
				}
			}
		case k < 86:
			h := n.Hosts()[rnd.IntN(len(n.Hosts()))]
			cut[h] = !cut[h]
			n.CutOff(h, cut[h])
		case k < 91:
			n.Store.Refuse(refused, false)
			if refused = ""; rnd.IntN(2) == 0 {
				refused = some
				n.Store.Refuse(refused, true)
			}
		case k < 94:
			out = !out && rnd.IntN(2) == 0
			n.Store.Outage(out)
		case k < 96:
			n.SetLink(fake.Link{Cut: rnd.IntN(4) == 0, Lose: rnd.IntN(2), Late: time.Duration(rnd.IntN(2)*rnd.IntN(3000)) * time.Millisecond})
		case k < 98:
			n.Store.LagWatch(some, time.Duration(rnd.IntN(600))*time.Millisecond)
		case k < 99:
			n.Nodes[some].Port.Late(time.Duration(rnd.IntN(20000)) * time.Millisecond)
		default:
			n.Nodes[some].Port.Lose(1)
		}
	}
	n.part()
	n.SetLink(fake.Link{})
	n.Store.Refuse(refused, false)
	n.Store.Outage(false)
	for h := range cut {
		n.CutOff(h, false)
	}
	for _, x := range names {
		n.Store.LagWatch(x, 0)
		if n.Nodes[x] == nil {
			n.Boot(x)
		}
	}
}
