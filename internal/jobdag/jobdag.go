// Package depend knows which jobs wait for others: what a job waits for, who waits for it,
// and what it inherits from them. It is an index over records that the mirror follows, and
// takes nothing for granted but facts that stay true: that a job is durably done, or
// durably cancelled. What it does not know yet it takes for not done.
package jobdag

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"cherrywall/internal/jobs"
)

// FinalState is how a job ended, by a durable record.
type FinalState uint8

// The fates: of a job without a record nothing is known until it was asked for.
const (
	Unfinished FinalState = iota
	Done
	Cancelled
)

// FinalStateOf is the fate that a final status tells.
func FinalStateOf(status string) FinalState {
	switch status {
	case jobs.Done:
		return Done
	case jobs.Cancelled:
		return Cancelled
	}
	return Unfinished
}

// NoDeadline is the time (Unix ms) of a due job that is due at no time.
const NoDeadline = math.MaxInt64

// Node is a job as the others' waiting sees it. A nil one is a job that has nothing to do
// with any other.
type Node struct {
	ref                   string
	record                *jobs.JobRecord // nil: it is over, or not known here
	finalState            FinalState
	dependencies          []*Node
	dependents            map[*Node]bool // jobs that name it and are not over
	openDependencies      int            // of needs, not known to be done
	cancelledByDependency bool           // one that it needs, directly or through others, is cancelled
	priority              jobs.Priority
	// deadlinesMS are the times (Unix ms) by which it should be done for the sake of itself and of
	// those behind it: for their deadline, and for the last of their deadlines' multiples.
	deadlinesMS  [2]int64
	expectedRunS float64 // expected time from when it may run to its end, seconds
	readyAt      time.Time
}

// Index has no locks: one actor owns it.
type Index struct {
	nodes                 map[string]*Node
	cancelledByDependency map[string]bool  // unfinished jobs that can never run
	unknown               map[string]*Node // jobs that others wait for, of which nothing is known
	unfinishedRecord      func(ref string) *jobs.JobRecord
	rememberedState       func(ref string) FinalState
	expectRunS            func(rec *jobs.JobRecord) float64 // time from when it may run to its end, seconds
	deadlineMultiple      func(class string) float64        // the largest multiple of its deadline that is aimed at
	onChange              func(ref string)
	askedAt               map[string]time.Time // when the fates of unknown jobs were last asked for
}

// New makes an empty index. live is an unfinished job's record, nil if none is known; expect tells a job's expected run time, in seconds; times up to
// which multiple of its deadline a class should be done, 1 if nothing is said; changed is
// called for a job of which something has: it no longer waits, can never run, inherits more.
func New(live func(ref string) *jobs.JobRecord, expect func(rec *jobs.JobRecord) float64, times func(class string) float64,
	changed func(ref string)) *Index {
	x := &Index{unfinishedRecord: live, rememberedState: func(string) FinalState { return Unfinished }, expectRunS: expect, deadlineMultiple: times, onChange: changed}
	x.Reset()
	return x
}

// SetRememberedState gives the index fates that are remembered elsewhere, of jobs for which nobody
// waited when they ended.
func (x *Index) SetRememberedState(fate func(ref string) FinalState) { x.rememberedState = fate }

// Reset forgets everything: the records are read anew.
func (x *Index) Reset() {
	x.nodes, x.cancelledByDependency, x.unknown, x.askedAt = map[string]*Node{}, map[string]bool{}, map[string]*Node{}, map[string]time.Time{}
}

// Node is what is known of a job that waits, or that others wait for; nil if it is neither.
func (x *Index) Node(ref string) *Node { return x.nodes[ref] }

func (x *Index) ensureNode(ref string) *Node {
	n := x.nodes[ref]
	if n == nil {
		n = &Node{ref: ref, record: x.unfinishedRecord(ref), finalState: x.rememberedState(ref), dependents: map[*Node]bool{}, deadlinesMS: [2]int64{NoDeadline, NoDeadline}}
		x.nodes[ref] = n
		x.updateSets(n)
	}
	return n
}

// updateSets keeps up the sets of jobs that somebody has to see to.
func (x *Index) updateSets(n *Node) {
	if n.isUnknown() && x.nodes[n.ref] == n {
		x.unknown[n.ref] = n
	} else {
		delete(x.unknown, n.ref)
		delete(x.askedAt, n.ref)
	}
	if n.cancelledByDependency && n.record != nil && x.nodes[n.ref] == n {
		x.cancelledByDependency[n.ref] = true
	} else {
		delete(x.cancelledByDependency, n.ref)
	}
}

// ApplyRecord follows an unfinished job's record. A job that waits for none and for which none
// waits costs nothing.
func (x *Index) ApplyRecord(rec *jobs.JobRecord, now time.Time) {
	n := x.nodes[rec.Ref]
	if n == nil && len(rec.DependsOn) == 0 && rec.DependenciesDoneAtMS == 0 {
		return
	}
	n = x.ensureNode(rec.Ref)
	first := len(n.dependencies) == 0
	n.record = rec
	if len(rec.DependsOn) == 0 {
		// Whoever wrote it so had seen that all are done.
		first = false
		x.detach(n)
		n.cancelledByDependency = false
	} else if first {
		for _, ref := range rec.DependsOn {
			o := x.ensureNode(ref)
			n.dependencies = append(n.dependencies, o)
			o.dependents[n] = true
			if o.finalState != Done {
				n.openDependencies++
			}
			n.cancelledByDependency = n.cancelledByDependency || o.finalState == Cancelled || o.cancelledByDependency
		}
	}
	switch {
	case rec.DependenciesDoneAtMS != 0:
		n.readyAt = time.UnixMilli(rec.DependenciesDoneAtMS)
	case first && n.openDependencies == 0:
		n.readyAt = now
	}
	x.updateSets(n)
	x.propagate(n)
	if n.cancelledByDependency {
		x.cancelDependents(n)
	}
	if first {
		for _, o := range n.dependencies {
			x.propagate(o)
			x.onChange(o.ref)
		}
		x.onChange(n.ref)
	}
}

// ApplyFinalState follows a durable final state, which is for ever.
func (x *Index) ApplyFinalState(ref string, finalState FinalState, now time.Time) {
	n := x.nodes[ref]
	if n == nil || finalState == Unfinished || n.finalState == finalState {
		return
	}
	n.finalState = finalState
	x.updateSets(n)
	for _, c := range slices.Collect(maps.Keys(n.dependents)) {
		switch {
		case finalState == Cancelled:
			x.cancelByDependency(c)
		case c.record != nil && c.openDependencies > 0:
			if c.openDependencies--; c.openDependencies == 0 {
				c.readyAt = now
				x.onChange(c.ref)
			}
		}
	}
	x.removeIfUnused(n)
}

// ApplyRecordDeletion follows that a job's record is no more: it is done or cancelled, as Ended tells or
// has told.
func (x *Index) ApplyRecordDeletion(ref string) {
	n := x.nodes[ref]
	if n == nil {
		return
	}
	n.record = nil
	x.detach(n)
	n.deadlinesMS, n.priority = [2]int64{NoDeadline, NoDeadline}, 0
	x.updateSets(n)
	x.removeIfUnused(n)
}

// detach takes a job out of what the ones before it have to care for.
func (x *Index) detach(n *Node) {
	needs := n.dependencies
	n.dependencies, n.openDependencies = nil, 0
	for _, o := range needs {
		delete(o.dependents, n)
		x.propagate(o)
		x.removeIfUnused(o)
	}
}

// removeIfUnused forgets a job that is over and for which nobody waits.
func (x *Index) removeIfUnused(n *Node) {
	if n.record == nil && len(n.dependents) == 0 {
		delete(x.nodes, n.ref)
		x.updateSets(n)
	}
}

// cancelByDependency notes that a job can never run, and so none that needs it.
func (x *Index) cancelByDependency(n *Node) {
	if n.cancelledByDependency || n.record == nil {
		return
	}
	n.cancelledByDependency = true
	x.updateSets(n)
	x.onChange(n.ref)
	x.cancelDependents(n)
	for _, o := range n.dependencies { // for whom it is of no account any more
		x.propagate(o)
	}
}

func (x *Index) cancelDependents(n *Node) {
	for _, c := range slices.Collect(maps.Keys(n.dependents)) {
		x.cancelByDependency(c)
	}
}

// propagate works out anew what a job has from those behind it, and tells those before it if
// that has changed.
func (x *Index) propagate(n *Node) {
	if n.record == nil {
		return
	}
	prio, by := n.record.Priority(), OwnDeadlinesMS(n.record, x.deadlineMultiple)
	for c := range n.dependents {
		if c.record == nil || c.cancelledByDependency {
			continue
		}
		prio = max(prio, c.priority)
		for i, t := range c.deadlinesMS {
			if t != NoDeadline {
				by[i] = min(by[i], addSeconds(t, -c.expectedRunS))
			}
		}
	}
	takes := x.expectRunS(n.record)
	if prio == n.priority && by == n.deadlinesMS && takes == n.expectedRunS {
		return
	}
	raised := prio != n.priority
	n.priority, n.deadlinesMS, n.expectedRunS = prio, by, takes
	if raised || by != [2]int64{NoDeadline, NoDeadline} {
		x.onChange(n.ref)
	}
	for _, o := range n.dependencies {
		x.propagate(o)
	}
}

// OwnDeadlinesMS are the times (Unix ms) of a job's own deadline and of the last multiple of it that is
// of use to its class. It counts from the submission, however long the job waits.
func OwnDeadlinesMS(rec *jobs.JobRecord, times func(class string) float64) [2]int64 {
	if rec.DeadlineSeconds == nil {
		return [2]int64{NoDeadline, NoDeadline}
	}
	return [2]int64{addSeconds(rec.AcceptedAtMS, *rec.DeadlineSeconds), addSeconds(rec.AcceptedAtMS, *rec.DeadlineSeconds*max(1, times(rec.Class)))}
}

func addSeconds(ms int64, s float64) int64 { return ms + int64(s*1000) }

// RefreshExpectedRuns works out anew what is inherited along jobs whose expected run time has changed.
func (x *Index) RefreshExpectedRuns() {
	for _, n := range x.nodes {
		if n.record == nil || len(n.dependencies) == 0 {
			continue
		}
		if takes := x.expectRunS(n.record); math.Abs(takes-n.expectedRunS) > refreshThreshold*n.expectedRunS {
			x.propagate(n)
		}
	}
}

// refreshThreshold is by which part an expected run time has to change to be passed on.
const refreshThreshold = 0.1

// UnknownJobs are jobs that others wait for, of which neither a record nor a fate is known and
// which nobody has asked for since; each is told once, so that it is asked for.
func (x *Index) UnknownJobs(since time.Time, now time.Time, most int) []string {
	var out []string
	for ref := range x.unknown {
		if len(out) == most {
			break
		}
		if !x.askedAt[ref].After(since) {
			x.askedAt[ref] = now
			out = append(out, ref)
		}
	}
	return out
}

func (n *Node) isUnknown() bool { return n.record == nil && n.finalState == Unfinished }

// UnknownAncestors are the jobs before a job, at any distance, whose fate has to be known before it
// can be said whether the job will run.
func (x *Index) UnknownAncestors(ref string) []string {
	n := x.nodes[ref]
	if n == nil || n.cancelledByDependency || n.openDependencies == 0 {
		return nil
	}
	var out []string
	seen := map[*Node]bool{}
	for queue := []*Node{n}; len(queue) > 0; queue = queue[1:] {
		for _, o := range queue[0].dependencies {
			if seen[o] {
				continue
			}
			seen[o] = true
			if o.isUnknown() {
				out = append(out, o.ref)
			}
			queue = append(queue, o)
		}
	}
	return out
}

// CancelledByDependency are the unfinished jobs that can never run.
func (x *Index) CancelledByDependency() iter.Seq[string] { return maps.Keys(x.cancelledByDependency) }

// BlockedCount is how many jobs wait for others.
func (x *Index) BlockedCount() int {
	n := 0
	for _, o := range x.nodes {
		if o.IsBlocked() {
			n++
		}
	}
	return n
}

// IsBlocked tells whether a job may not run now: it waits for others, or can never run.
func (n *Node) IsBlocked() bool {
	return n != nil && n.record != nil && (n.openDependencies > 0 || n.cancelledByDependency)
}

// IsCancelledByDependency tells whether a job can never run: one that it needs is cancelled.
func (n *Node) IsCancelledByDependency() bool { return n != nil && n.cancelledByDependency }

// OpenDependencies are the jobs for which it waits.
func (n *Node) OpenDependencies() []string {
	if n == nil {
		return nil
	}
	var out []string
	for _, o := range n.dependencies {
		if o.finalState != Done {
			out = append(out, o.ref)
		}
	}
	return out
}

// DependentCount is how many unfinished jobs name it.
func (n *Node) DependentCount() int {
	if n == nil {
		return 0
	}
	return len(n.dependents)
}

// ExpectedRunS is how long the job is expected to take from when it may run, in seconds; 0 if that
// was not asked.
func (n *Node) ExpectedRunS() float64 {
	if n == nil {
		return 0
	}
	return n.expectedRunS
}

// Priority is the highest of a job and of those that need it.
func (n *Node) Priority(own jobs.Priority) jobs.Priority {
	if n == nil || n.record == nil {
		return own
	}
	return max(own, n.priority)
}

// DeadlinesMS are the times (Unix ms) by which a job should be done for the sake of itself and of
// those behind it: for their deadline, and for the last multiple of it that is of use.
// Never: there is none.
func (n *Node) DeadlinesMS() [2]int64 {
	if n == nil || n.record == nil {
		return [2]int64{NoDeadline, NoDeadline}
	}
	return n.deadlinesMS
}

// ReadyAt is when the last job was done for which it waited; zero if it never waited.
func (n *Node) ReadyAt() time.Time {
	if n == nil {
		return time.Time{}
	}
	return n.readyAt
}
