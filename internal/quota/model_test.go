package quota

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"cherrywall/internal/config"

	"pgregory.net/rapid"
)

// The protocol of allocations as a small state machine around the real book: controllers that
// hold shares, lag behind the record, crash and wake up, workers that obey whoever they
// were heard by last, and transactions that are made late or whose answers are lost. What
// is to hold at every moment: no more is given out than the limit, and no more runs.

const (
	shares = 2
	nodes  = 2
	flying = 2 // transactions under way at most
)

// atOnce is how many transactions may be under way in this exploration.
var atOnce = flying

// team's limit is in tasks of one CPU.
var team = config.Team{Name: "t", MaxCPUs: 1}

var shareNames = [shares]string{"s0", "s1"}

func shareName(s int) string { return shareNames[s] }

// encoded are the records as they are kept, by how the limit is split.
var encoded = map[[shares]int8][]byte{}

func encode(by [shares]int8) []byte {
	raw := encoded[by]
	if raw == nil {
		raw = fmt.Appendf(nil, `{"by":{"s0":{"cpu":%d},"s1":{"cpu":%d}}}`, by[0], by[1])
		encoded[by] = raw
	}
	return raw
}

// split is how the limit is given out, under a stamp.
type split struct {
	by    [shares]int8
	stamp int8
}

// belief is what a controller believes of a share.
type belief struct {
	holds   bool
	tenure  int8 // the stamp of the share's record under which
	settled bool
	away    int8
	since   int8 // the stamp that the split had at the takeover
}

// flight is a transaction under way: a share's holder wants another split.
type flight struct {
	on            bool
	node, share   int8
	stamp, tenure int8 // its conditions
	by            [shares]int8
	back, unheard bool // it gives back; its answer is lost
}

// world is a state, comparable so that states can be counted.
type world struct {
	rec    split
	holder [shares]int8 // of the record
	tenure [shares]int8
	runs   [shares]int8 // tasks with the share's workers
	obeys  [shares]int8 // whom they obey
	knows  [nodes]split
	sent   [nodes]int8 // the stamp under which something was given back last
	think  [nodes][shares]belief
	fly    [flying]flight
}

// broken are ways to get it wrong, that must be found.
type broken struct {
	early bool // a share's allocation is used and given back before its tasks are accounted for
	loose bool // what is given back may be used until that is known to be made
	blind bool // writes do not rest on the share's record
	hasty bool // workers are heard before all that was before the takeover is known
}

func first() world {
	w := world{rec: split{stamp: 1}}
	for s := range shares {
		w.holder[s], w.tenure[s], w.obeys[s] = int8(s%nodes), 1, int8(s%nodes)
	}
	for n := range nodes {
		w.knows[n] = w.rec
		for s := range shares {
			if int(w.holder[s]) == n {
				w.think[n][s] = belief{holds: true, tenure: 1, settled: true}
			}
		}
	}
	return w
}

// book is the real book of a controller in a state.
func (w *world) book(n int) *Allocations {
	b := New()
	state := b.teamOf(team.Name)
	state.record, state.revision, state.releaseRevision = Record{map[string]Amount{}}, uint64(w.knows[n].stamp), uint64(w.sent[n])
	for s := range shares {
		if x := w.knows[n].by[s]; x > 0 {
			state.record.ByShard[shareName(s)] = Amount{CPU: float64(x)}
		}
		if x := w.think[n][s].away; x > 0 {
			state.releasing[shareName(s)] = Amount{CPU: float64(x)}
		}
	}
	return b
}

func (w *world) send(n, s int, record Record, back bool) bool {
	for i := range w.fly[:atOnce] {
		if w.fly[i].on {
			continue
		}
		f := flight{on: true, node: int8(n), share: int8(s), stamp: w.knows[n].stamp, tenure: w.think[n][s].tenure, back: back}
		for k := range shares {
			f.by[k] = int8(record.ByShard[shareName(k)].CPU)
		}
		w.fly[i] = f
		return true
	}
	return false
}

// learn has a controller know the record, as the real book takes it in.
func (w *world) learn(n int, anew bool) {
	if !anew && w.knows[n] == w.rec {
		return
	}
	b := w.book(n)
	if anew {
		b.Reset()
	}
	if err := b.ApplyRecord(team.Name, encode(w.rec.by), uint64(w.rec.stamp)); err != nil {
		panic(err)
	}
	state := b.teamOf(team.Name)
	for s := range shares {
		w.think[n][s].away = int8(state.releasing[shareName(s)].CPU)
	}
	w.knows[n] = w.rec
}

// step is something that may happen; false if it can't in this state.
type step func(w *world, how broken) bool

func steps() map[string]step {
	all := map[string]step{}
	for s := range shares {
		all[fmt.Sprint("a task ends in ", s)] = func(w *world, _ broken) bool {
			w.runs[s]--
			return w.runs[s] >= 0
		}
		for n := range nodes {
			name := func(what string) string { return fmt.Sprintf("%d %s %d", n, what, s) }
			all[name("starts a task in")] = func(w *world, how broken) bool {
				t := w.think[n][s]
				used := w.runs[s]
				if how.early && !t.settled {
					used = 0 // as far as it has heard
				}
				ok := t.holds && (t.settled || how.early) && int(w.obeys[s]) == n && w.book(n).Available(team, shareName(s)).CPU >= float64(used+1)
				w.runs[s]++
				return ok
			}
			all[name("takes for")] = func(w *world, _ broken) bool {
				if !w.think[n][s].holds {
					return false
				}
				record, ok := w.book(n).Acquire(team, shareName(s), Amount{CPU: 1}, true)
				return ok && w.send(n, s, record, false)
			}
			all[name("gives back of")] = func(w *world, how broken) bool {
				t := &w.think[n][s]
				used := w.runs[s]
				if how.early && !t.settled {
					used = 0
				}
				b := w.book(n)
				if !t.holds || !t.settled && !how.early || b.IsReleasePending(team.Name) || b.Available(team, shareName(s)).CPU < float64(used+1) {
					return false
				}
				if !w.send(n, s, b.Release(team, shareName(s), Amount{CPU: 1}), true) {
					return false
				}
				if !how.loose {
					b.ReleaseSent(team.Name, shareName(s), Amount{CPU: 1})
					t.away, w.sent[n] = 1, w.knows[n].stamp
				}
				return true
			}
			all[name("takes over")] = func(w *world, _ broken) bool {
				if int(w.holder[s]) == n && w.think[n][s].holds || w.tenure[s] > 2 {
					return false
				}
				w.holder[s] = int8(n)
				w.tenure[s]++
				w.think[n][s] = belief{holds: true, tenure: w.tenure[s], away: w.think[n][s].away, since: w.rec.stamp}
				return true
			}
			all[name("has heard all workers of")] = func(w *world, how broken) bool {
				t := &w.think[n][s]
				ok := (w.knows[n].stamp >= t.since || how.hasty) && t.holds && !t.settled && t.tenure == w.tenure[s]
				t.settled, w.obeys[s] = true, int8(n)
				return ok
			}
		}
	}
	for n := range nodes {
		all[fmt.Sprint(n, " hears of the records")] = func(w *world, _ broken) bool {
			before := *w
			w.learn(n, false)
			for s := range shares {
				if t := &w.think[n][s]; t.holds && t.tenure != w.tenure[s] {
					*t = belief{away: t.away}
				}
			}
			return *w != before
		}
		all[fmt.Sprint(n, " reads all anew")] = func(w *world, _ broken) bool {
			before := *w
			w.learn(n, true)
			return *w != before
		}
		all[fmt.Sprint(n, " crashes")] = func(w *world, _ broken) bool {
			before := *w
			w.think[n], w.sent[n], w.knows[n] = [shares]belief{}, 0, w.rec // it reads all anew
			return *w != before
		}
	}
	for i := range flying {
		all[fmt.Sprint("transaction ", i, " is decided")] = func(w *world, how broken) bool {
			f := w.fly[i]
			if !f.on {
				return false
			}
			w.fly[i] = flight{}
			made := f.stamp == w.rec.stamp && (how.blind || f.tenure == w.tenure[f.share])
			if made {
				w.rec = split{f.by, w.rec.stamp + 1}
			}
			if !f.unheard && made {
				w.learn(int(f.node), false) // its own write
			} else if !f.unheard && f.back {
				w.think[f.node][f.share].away = 0 // certainly not made
			}
			return true
		}
		all[fmt.Sprint("the answer to ", i, " is lost")] = func(w *world, _ broken) bool {
			ok := w.fly[i].on && !w.fly[i].unheard
			w.fly[i].unheard = true
			return ok
		}
	}
	return all
}

// wrong tells what does not hold in a state.
func (w *world) wrong() string {
	given, run, limit := int8(0), int8(0), int8(team.MaxCPUs)
	for s := range shares {
		given += w.rec.by[s]
		run += w.runs[s]
	}
	switch {
	case given > limit:
		return fmt.Sprintf("%d is given out of %d", given, limit)
	case run > limit:
		return fmt.Sprintf("%d tasks run within a limit of %d", run, limit)
	}
	return ""
}

// explore tries all steps in all states down to a depth; it tells how many states there
// are, and the way to one in which something is wrong.
func explore(how broken, quiet bool, most int) (states int, way []string) {
	type from struct {
		before world
		step   string
	}
	seen := map[world]from{}
	level := []world{first()}
	seen[level[0]] = from{}
	all := steps()
	if atOnce = flying; quiet { // deeper in the same time
		atOnce = 1
		maps.DeleteFunc(all, func(name string, _ step) bool {
			return strings.Contains(name, "crashes") || strings.Contains(name, "answer") || strings.Contains(name, "anew")
		})
	}
	for len(level) > 0 && len(seen) < most {
		var next []world
		for _, w := range level {
			for name, do := range all {
				x := w
				if !do(&x, how) {
					continue
				}
				if _, known := seen[x]; known {
					continue
				}
				seen[x] = from{w, name}
				if bad := x.wrong(); bad != "" {
					way = append(way, bad)
					for at := x; at != first(); at = seen[at].before {
						way = append([]string{seen[at].step}, way...)
					}
					return len(seen), way
				}
				next = append(next, x)
			}
		}
		level = next
	}
	return len(seen), nil
}

func TestAllocationsHoldInEveryOrderOfEvents(t *testing.T) {
	defer func(was float64) { team.MaxCPUs = was }(team.MaxCPUs)
	for team.MaxCPUs = 1; team.MaxCPUs <= 2; team.MaxCPUs++ {
		for quiet, most := range map[bool]int{false: 20_000, true: 60_000} {
			states, way := explore(broken{}, quiet, most)
			if way != nil {
				t.Fatalf("%q", way)
			}
			t.Logf("a limit of %v, without crashes %v: %d states", team.MaxCPUs, quiet, states)
			if states < most {
				t.Errorf("only %d states: the machine does not move", states)
			}
		}
	}
}

// The same machine finds what is wrong with three variants, so that it would find it in
// the real one.
func TestBrokenAllocationsAreFound(t *testing.T) {
	for name, how := range map[string]broken{"used before its tasks are accounted for": {early: true},
		"used while it is given back": {loose: true}, "written without the share's record": {blind: true},
		"settled before the records of the holder before are known": {hasty: true}} {
		if _, way := explore(how, true, 400_000); way == nil {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %q", name, way)
		}
	}
}

// Far longer ways than can be tried out all, at random.
func TestAllocationsHoldOnLongWays(t *testing.T) {
	atOnce = flying
	all := steps()
	var names []string
	for name := range all {
		names = append(names, name)
	}
	run := func(how broken) func(t *rapid.T) {
		return func(t *rapid.T) {
			w := first()
			for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 50, 150).Draw(t, "steps") {
				if x := w; all[name](&x, how) {
					w = x
				}
				if w.rec.stamp > 100 {
					return // stamps are small here
				}
				if bad := w.wrong(); bad != "" {
					t.Fatal(bad)
				}
			}
		}
	}
	rapid.Check(t, run(broken{}))
}
