package handover_test

import (
	"fmt"
	"testing"
)

// The model of a share that goes from hand to hand: three controllers, two workers, one
// task. A state is a value, so that all that can follow can be explored in every order:
// orders that arrive or do not, reports, gifts that arrive at any time or never, takings
// that are applied late, what the watch tells late, ends of controllers.

const (
	unknown = -2
	nowhere = -1
)

type mind struct {
	holds uint8 // the stamp under which it believes to hold the share, 0: it does not
	seen  uint8 // the newest stamp that it knows of
	given bool
	loc   int8 // where it believes the task to be
	heard [2]bool
}

type model struct {
	stamp  uint8 // of the share's record
	holder int8
	minds  [3]mind
	token  [2]uint8
	runs   [2]bool
	// What was given under each stamp, whoever may have received it by now.
	gift   [5]int8
	isGift [5]bool
	// A taking that was sent and may be applied at any time, under a stamp.
	late [3]uint8
}

// variant breaks the model on purpose.
type variant struct{ answersOn, anyRecord bool }

const stamps = 4 // the last record

func (m model) settled(c int) bool { return m.minds[c].loc != unknown }

// taken is the model after a controller's taking was applied.
func (m model) taken(c int, v variant) model {
	before := m.stamp
	m.stamp++
	m.holder = int8(c)
	x := mind{holds: m.stamp, seen: m.stamp, loc: unknown}
	for s := before; s > 0; s-- {
		if m.isGift[s] && (s == before || v.anyRecord) {
			x.loc, x.heard = m.gift[s], [2]bool{true, true}
			break
		}
	}
	m.minds[c] = x
	return m
}

func (m model) next(v variant) []model {
	var out []model
	add := func(n model) { out = append(out, n) }
	for c := range m.minds {
		x := m.minds[c]
		n := m // ends, and starts with nothing remembered
		n.minds[c] = mind{loc: unknown}
		add(n)
		if x.seen < m.stamp { // the watch tells
			n = m
			n.minds[c].seen = m.stamp
			if m.holder != int8(c) || x.holds != m.stamp {
				n.minds[c] = mind{seen: m.stamp, loc: unknown}
			}
			add(n)
		}
		if x.seen == m.stamp && m.stamp < stamps && x.holds == 0 {
			add(m.taken(c, v))
			if m.late[c] == 0 {
				n = m
				n.late[c] = m.stamp
				add(n)
			}
		}
		if m.late[c] == m.stamp && m.stamp < stamps { // the answer is lost: the watch will tell
			n = m.taken(c, v)
			n.minds[c], n.late[c] = x, 0
			add(n)
			n = m.taken(c, v)
			n.late[c] = 0
			add(n)
		}
		if x.holds == 0 {
			continue
		}
		if x.given && x.holds == m.stamp && m.stamp < stamps { // nobody took it
			add(m.taken(c, v))
		}
		if !x.given && m.settled(c) { // gives it away
			n = m
			n.minds[c].given = true
			n.gift[x.holds], n.isGift[x.holds] = x.loc, true
			add(n)
		}
		if x.given && !v.answersOn {
			continue
		}
		for w := range m.runs {
			if x.holds < m.token[w] {
				continue // obeys a newer one
			}
			if m.token[w] < x.holds { // is told the token
				n = m
				n.token[w] = x.holds
				add(n)
				continue
			}
			n = m // reports under it
			y := &n.minds[c]
			y.heard[w] = true
			switch {
			case m.runs[w]:
				y.loc = int8(w)
			case y.loc == int8(w), y.loc == unknown && y.heard[0] && y.heard[1]:
				y.loc = nowhere
			}
			add(n)
			if x.loc == nowhere { // is ordered to start it, which arrives or does not
				n.minds[c].loc = int8(w)
				add(n)
				n.runs[w] = true
				add(n)
			}
		}
	}
	for w := range m.runs { // the task is stopped or lost
		if m.runs[w] {
			n := m
			n.runs[w] = false
			add(n)
		}
	}
	return out
}

// explore looks at all states that can follow within so many steps; it returns how many there
// are, and the first that breaks the rule.
func explore(v variant, depth int) (states int, broken *model) {
	start := model{stamp: 1, holder: 0, token: [2]uint8{1, 1}}
	for c := range start.minds {
		start.minds[c] = mind{seen: 1, loc: unknown}
	}
	start.minds[0] = mind{holds: 1, seen: 1, loc: nowhere, heard: [2]bool{true, true}}
	seen, level := map[model]bool{start: true}, []model{start}
	for range depth {
		var more []model
		for _, m := range level {
			for _, n := range m.next(v) {
				if seen[n] {
					continue
				}
				seen[n] = true
				if n.runs[0] && n.runs[1] {
					return len(seen), &n
				}
				more = append(more, n)
			}
		}
		level = more
	}
	return len(seen), nil
}

// In no order of events does the task run twice, and each part of the argument is needed:
// a giver that answers on, and a taker that goes on from what was given under an older
// record, are found.
func TestNoOrderOfEventsRunsATaskTwice(t *testing.T) {
	states, broken := explore(variant{}, 10)
	if broken != nil {
		t.Errorf("it runs on both: %+v", *broken)
	}
	if states < 50_000 {
		t.Errorf("only %d states", states)
	}
	for name, v := range map[string]variant{"the giver answers on": {answersOn: true}, "any record": {anyRecord: true}} {
		if _, broken := explore(v, 9); broken == nil {
			t.Error("not found: " + name)
		}
	}
	t.Log(fmt.Sprint(states, " states"))
}
