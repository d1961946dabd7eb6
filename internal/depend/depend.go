// Package depend knows which jobs wait for others: what a job waits for, who waits for it,
// and what it inherits from them. It is an index over records that the mirror follows, and
// takes nothing for granted but facts that stay true: that a job is durably done, or
// durably cancelled. What it does not know yet it takes for not done.
package depend

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"cherrywall/internal/jobs"
)

// Fate is how a job ended, by a durable record.
type Fate uint8

// The fates: of a job without a record nothing is known until it was asked for.
const (
	Open Fate = iota
	Done
	Cancelled
)

// FateOf is the fate that a final status tells.
func FateOf(status string) Fate {
	switch status {
	case jobs.Done:
		return Done
	case jobs.Cancelled:
		return Cancelled
	}
	return Open
}

// Never is the time (Unix ms) of a due job that is due at no time.
const Never = math.MaxInt64

// Node is a job as the others' waiting sees it. A nil one is a job that has nothing to do
// with any other.
type Node struct {
	ref    string
	rec    *jobs.Record // nil: it is over, or not known here
	fate   Fate
	needs  []*Node
	behind map[*Node]bool // jobs that name it and are not over
	open   int            // of needs, not known to be done
	dead   bool           // one that it needs, directly or through others, is cancelled
	prio   jobs.Priority
	// by are the times (Unix ms) by which it should be done for the sake of itself and of
	// those behind it: for their deadline, and for the last of their deadlines' multiples.
	by    [2]int64
	takes float64 // expected time from when it may run to its end, seconds
	ready time.Time
}

// Index has no locks: one actor owns it.
type Index struct {
	nodes   map[string]*Node
	dead    map[string]bool  // unfinished jobs that can never run
	blank   map[string]*Node // jobs that others wait for, of which nothing is known
	live    func(ref string) *jobs.Record
	recall  func(ref string) Fate
	expect  func(rec *jobs.Record) float64 // time from when it may run to its end, seconds
	times   func(class string) float64     // the largest multiple of its deadline that is aimed at
	changed func(ref string)
	asked   map[string]time.Time // when the fates of unknown jobs were last asked for
}

// New makes an empty index. live is an unfinished job's record, nil if none is known; expect tells a job's expected run time, in seconds; times up to
// which multiple of its deadline a class should be done, 1 if nothing is said; changed is
// called for a job of which something has: it no longer waits, can never run, inherits more.
func New(live func(ref string) *jobs.Record, expect func(rec *jobs.Record) float64, times func(class string) float64,
	changed func(ref string)) *Index {
	x := &Index{live: live, recall: func(string) Fate { return Open }, expect: expect, times: times, changed: changed}
	x.Reset()
	return x
}

// Recall gives the index fates that are remembered elsewhere, of jobs for which nobody
// waited when they ended.
func (x *Index) Recall(fate func(ref string) Fate) { x.recall = fate }

// Reset forgets everything: the records are read anew.
func (x *Index) Reset() {
	x.nodes, x.dead, x.blank, x.asked = map[string]*Node{}, map[string]bool{}, map[string]*Node{}, map[string]time.Time{}
}

// Node is what is known of a job that waits, or that others wait for; nil if it is neither.
func (x *Index) Node(ref string) *Node { return x.nodes[ref] }

func (x *Index) node(ref string) *Node {
	n := x.nodes[ref]
	if n == nil {
		n = &Node{ref: ref, rec: x.live(ref), fate: x.recall(ref), behind: map[*Node]bool{}, by: [2]int64{Never, Never}}
		x.nodes[ref] = n
		x.note(n)
	}
	return n
}

// note keeps up the sets of jobs that somebody has to see to.
func (x *Index) note(n *Node) {
	if n.unknown() && x.nodes[n.ref] == n {
		x.blank[n.ref] = n
	} else {
		delete(x.blank, n.ref)
		delete(x.asked, n.ref)
	}
	if n.dead && n.rec != nil && x.nodes[n.ref] == n {
		x.dead[n.ref] = true
	} else {
		delete(x.dead, n.ref)
	}
}

// Recorded follows an unfinished job's record. A job that waits for none and for which none
// waits costs nothing.
func (x *Index) Recorded(rec *jobs.Record, now time.Time) {
	n := x.nodes[rec.Ref]
	if n == nil && len(rec.Awaits) == 0 && rec.ReadyMS == 0 {
		return
	}
	n = x.node(rec.Ref)
	first := len(n.needs) == 0
	n.rec = rec
	if len(rec.Awaits) == 0 {
		// Whoever wrote it so had seen that all are done.
		first = false
		x.free(n)
		n.dead = false
	} else if first {
		for _, ref := range rec.Awaits {
			o := x.node(ref)
			n.needs = append(n.needs, o)
			o.behind[n] = true
			if o.fate != Done {
				n.open++
			}
			n.dead = n.dead || o.fate == Cancelled || o.dead
		}
	}
	switch {
	case rec.ReadyMS != 0:
		n.ready = time.UnixMilli(rec.ReadyMS)
	case first && n.open == 0:
		n.ready = now
	}
	x.note(n)
	x.inherit(n)
	if n.dead {
		x.kill(n)
	}
	if first {
		for _, o := range n.needs {
			x.inherit(o)
			x.changed(o.ref)
		}
		x.changed(n.ref)
	}
}

// Ended follows a durable final state, which is for ever.
func (x *Index) Ended(ref string, fate Fate, now time.Time) {
	n := x.nodes[ref]
	if n == nil || fate == Open || n.fate == fate {
		return
	}
	n.fate = fate
	x.note(n)
	for _, c := range slices.Collect(maps.Keys(n.behind)) {
		switch {
		case fate == Cancelled:
			x.doom(c)
		case c.rec != nil && c.open > 0:
			if c.open--; c.open == 0 {
				c.ready = now
				x.changed(c.ref)
			}
		}
	}
	x.tidy(n)
}

// Over follows that a job's record is no more: it is done or cancelled, as Ended tells or
// has told.
func (x *Index) Over(ref string) {
	n := x.nodes[ref]
	if n == nil {
		return
	}
	n.rec = nil
	x.free(n)
	n.by, n.prio = [2]int64{Never, Never}, 0
	x.note(n)
	x.tidy(n)
}

// free takes a job out of what the ones before it have to care for.
func (x *Index) free(n *Node) {
	needs := n.needs
	n.needs, n.open = nil, 0
	for _, o := range needs {
		delete(o.behind, n)
		x.inherit(o)
		x.tidy(o)
	}
}

// tidy forgets a job that is over and for which nobody waits.
func (x *Index) tidy(n *Node) {
	if n.rec == nil && len(n.behind) == 0 {
		delete(x.nodes, n.ref)
		x.note(n)
	}
}

// doom notes that a job can never run, and so none that needs it.
func (x *Index) doom(n *Node) {
	if n.dead || n.rec == nil {
		return
	}
	n.dead = true
	x.note(n)
	x.changed(n.ref)
	x.kill(n)
	for _, o := range n.needs { // for whom it is of no account any more
		x.inherit(o)
	}
}

func (x *Index) kill(n *Node) {
	for _, c := range slices.Collect(maps.Keys(n.behind)) {
		x.doom(c)
	}
}

// inherit works out anew what a job has from those behind it, and tells those before it if
// that has changed.
func (x *Index) inherit(n *Node) {
	if n.rec == nil {
		return
	}
	prio, by := n.rec.Priority(), Due(n.rec, x.times)
	for c := range n.behind {
		if c.rec == nil || c.dead {
			continue
		}
		prio = max(prio, c.prio)
		for i, t := range c.by {
			if t != Never {
				by[i] = min(by[i], after(t, -c.takes))
			}
		}
	}
	takes := x.expect(n.rec)
	if prio == n.prio && by == n.by && takes == n.takes {
		return
	}
	raised := prio != n.prio
	n.prio, n.by, n.takes = prio, by, takes
	if raised || by != [2]int64{Never, Never} {
		x.changed(n.ref)
	}
	for _, o := range n.needs {
		x.inherit(o)
	}
}

// Due are the times (Unix ms) of a job's own deadline and of the last multiple of it that is
// of use to its class. It counts from the submission, however long the job waits.
func Due(rec *jobs.Record, times func(class string) float64) [2]int64 {
	if rec.DueS == nil {
		return [2]int64{Never, Never}
	}
	return [2]int64{after(rec.AcceptedMS, *rec.DueS), after(rec.AcceptedMS, *rec.DueS*max(1, times(rec.Class)))}
}

func after(ms int64, s float64) int64 { return ms + int64(s*1000) }

// Renew works out anew what is inherited along jobs whose expected run time has changed.
func (x *Index) Renew() {
	for _, n := range x.nodes {
		if n.rec == nil || len(n.needs) == 0 {
			continue
		}
		if takes := x.expect(n.rec); math.Abs(takes-n.takes) > renewFrom*n.takes {
			x.inherit(n)
		}
	}
}

// renewFrom is by which part an expected run time has to change to be passed on.
const renewFrom = 0.1

// Unknown are jobs that others wait for, of which neither a record nor a fate is known and
// which nobody has asked for since; each is told once, so that it is asked for.
func (x *Index) Unknown(since time.Time, now time.Time, most int) []string {
	var out []string
	for ref := range x.blank {
		if len(out) == most {
			break
		}
		if !x.asked[ref].After(since) {
			x.asked[ref] = now
			out = append(out, ref)
		}
	}
	return out
}

func (n *Node) unknown() bool { return n.rec == nil && n.fate == Open }

// Unsure are the jobs before a job, at any distance, whose fate has to be known before it
// can be said whether the job will run.
func (x *Index) Unsure(ref string) []string {
	n := x.nodes[ref]
	if n == nil || n.dead || n.open == 0 {
		return nil
	}
	var out []string
	seen := map[*Node]bool{}
	for queue := []*Node{n}; len(queue) > 0; queue = queue[1:] {
		for _, o := range queue[0].needs {
			if seen[o] {
				continue
			}
			seen[o] = true
			if o.unknown() {
				out = append(out, o.ref)
			}
			queue = append(queue, o)
		}
	}
	return out
}

// Dead are the unfinished jobs that can never run.
func (x *Index) Dead() iter.Seq[string] { return maps.Keys(x.dead) }

// Waiting is how many jobs wait for others.
func (x *Index) Waiting() int {
	n := 0
	for _, o := range x.nodes {
		if o.Waits() {
			n++
		}
	}
	return n
}

// Waits tells whether a job may not run now: it waits for others, or can never run.
func (n *Node) Waits() bool { return n != nil && n.rec != nil && (n.open > 0 || n.dead) }

// Dead tells whether a job can never run: one that it needs is cancelled.
func (n *Node) Dead() bool { return n != nil && n.dead }

// For are the jobs for which it waits.
func (n *Node) For() []string {
	if n == nil {
		return nil
	}
	var out []string
	for _, o := range n.needs {
		if o.fate != Done {
			out = append(out, o.ref)
		}
	}
	return out
}

// Behind is how many unfinished jobs name it.
func (n *Node) Behind() int {
	if n == nil {
		return 0
	}
	return len(n.behind)
}

// Takes is how long the job is expected to take from when it may run, in seconds; 0 if that
// was not asked.
func (n *Node) Takes() float64 {
	if n == nil {
		return 0
	}
	return n.takes
}

// Priority is the highest of a job and of those that need it.
func (n *Node) Priority(own jobs.Priority) jobs.Priority {
	if n == nil || n.rec == nil {
		return own
	}
	return max(own, n.prio)
}

// By are the times (Unix ms) by which a job should be done for the sake of itself and of
// those behind it: for their deadline, and for the last multiple of it that is of use.
// Never: there is none.
func (n *Node) By() [2]int64 {
	if n == nil || n.rec == nil {
		return [2]int64{Never, Never}
	}
	return n.by
}

// Ready is when the last job was done for which it waited; zero if it never waited.
func (n *Node) Ready() time.Time {
	if n == nil {
		return time.Time{}
	}
	return n.ready
}
