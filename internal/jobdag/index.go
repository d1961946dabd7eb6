package jobdag

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"cherrywall/internal/jobs"
)

// refreshThreshold is the relative change of an expected run time from which on it is passed
// on to the dependencies.
const refreshThreshold = 0.1

// Config is what an index asks about jobs. All functions are called by the index's owner.
type Config struct {
	// UnfinishedRecord returns an unfinished job's record, nil if none is known.
	UnfinishedRecord func(ref string) *jobs.JobRecord
	// ExpectedRunSeconds returns a job's expected time from when it may run to its end, in seconds.
	ExpectedRunSeconds func(record *jobs.JobRecord) float64
	// DeadlineMultiple returns up to which multiple of its deadline a job of a class should be
	// done; 1 if no objective says more.
	DeadlineMultiple func(class string) float64
	// OnChange is called for a job that was linked to dependencies or dependents, is no longer
	// blocked, can never run, or inherits another priority or other deadlines than before. It may
	// also be called without such a change.
	OnChange func(ref string)
}

// Index is the dependency graph of the unfinished jobs. It is not safe for concurrent use: one
// actor owns it.
type Index struct {
	cfg   Config
	nodes map[string]*Node
	// cancelledByDependency are unfinished jobs that can never run.
	cancelledByDependency map[string]bool
	// unknown are dependencies of which neither a record nor a final state is known.
	unknown map[string]*Node
	// askedAt is when the final states of unknown jobs were last asked for.
	askedAt map[string]time.Time
	// rememberedState returns final states that are remembered outside the index.
	rememberedState func(ref string) FinalState
}

// New returns an empty index.
func New(cfg Config) *Index {
	x := &Index{cfg: cfg, rememberedState: func(string) FinalState { return Unfinished }}
	x.Reset()
	return x
}

// SetRememberedState sets where the index looks for final states of jobs that had no
// dependents when they ended.
func (x *Index) SetRememberedState(finalState func(ref string) FinalState) {
	x.rememberedState = finalState
}

// Reset removes all jobs, before the records are read anew.
func (x *Index) Reset() {
	x.nodes = map[string]*Node{}
	x.cancelledByDependency = map[string]bool{}
	x.unknown = map[string]*Node{}
	x.askedAt = map[string]time.Time{}
}

// Node returns a job's node; nil if it has neither dependencies nor dependents.
func (x *Index) Node(ref string) *Node { return x.nodes[ref] }

func (x *Index) ensureNode(ref string) *Node {
	if n := x.nodes[ref]; n != nil {
		return n
	}
	n := &Node{
		ref:        ref,
		record:     x.cfg.UnfinishedRecord(ref),
		finalState: x.rememberedState(ref),
		dependents: map[*Node]bool{},
		deadlines:  noDeadlines(),
	}
	x.nodes[ref] = n
	x.updateSets(n)
	return n
}

// updateSets updates the membership of a job in the sets of jobs that need attention.
func (x *Index) updateSets(n *Node) {
	isIndexed := x.nodes[n.ref] == n
	if isIndexed && n.isUnknown() {
		x.unknown[n.ref] = n
	} else {
		delete(x.unknown, n.ref)
		delete(x.askedAt, n.ref)
	}
	if isIndexed && n.cancelledByDependency && n.record != nil {
		x.cancelledByDependency[n.ref] = true
	} else {
		delete(x.cancelledByDependency, n.ref)
	}
}

// ApplyRecord updates the graph from an unfinished job's record. A job without dependencies and
// dependents is not indexed.
func (x *Index) ApplyRecord(record *jobs.JobRecord, now time.Time) {
	n := x.nodes[record.Ref]
	if n == nil && len(record.DependsOn) == 0 && record.DependenciesDoneAtMS == 0 {
		return
	}
	n = x.ensureNode(record.Ref)
	n.record = record
	linked := false
	switch {
	case len(record.DependsOn) == 0:
		// The writer of a record without dependencies had seen all of them done.
		x.detach(n)
		n.cancelledByDependency = false
	case len(n.dependencies) == 0:
		linked = true
		x.link(n, record.DependsOn)
	}
	switch {
	case record.DependenciesDoneAtMS != 0:
		n.readyAt = time.UnixMilli(record.DependenciesDoneAtMS)
	case linked && n.openDependencies == 0:
		n.readyAt = now
	}
	x.updateSets(n)
	x.propagate(n)
	if n.cancelledByDependency {
		x.cancelDependents(n)
	}
	if linked {
		x.announceLinks(n)
	}
}

// link adds the edges from a job to its dependencies.
func (x *Index) link(n *Node, refs []string) {
	for _, ref := range refs {
		dependency := x.ensureNode(ref)
		n.dependencies = append(n.dependencies, dependency)
		dependency.dependents[n] = true
		if dependency.finalState != Done {
			n.openDependencies++
		}
		if dependency.finalState == Cancelled || dependency.cancelledByDependency {
			n.cancelledByDependency = true
		}
	}
}

// announceLinks reports a job that was linked to its dependencies, and those dependencies.
func (x *Index) announceLinks(n *Node) {
	for _, dependency := range n.dependencies {
		x.propagate(dependency)
		x.cfg.OnChange(dependency.ref)
	}
	x.cfg.OnChange(n.ref)
}

// ApplyFinalState updates the graph after a job has reached a durable final state, which never
// changes again.
func (x *Index) ApplyFinalState(ref string, finalState FinalState, now time.Time) {
	n := x.nodes[ref]
	if n == nil || finalState == Unfinished || n.finalState == finalState {
		return
	}
	n.finalState = finalState
	x.updateSets(n)
	for _, dependent := range slices.Collect(maps.Keys(n.dependents)) {
		if finalState == Cancelled {
			x.cancelByDependency(dependent)
		} else {
			x.completeDependency(dependent, now)
		}
	}
	x.removeIfUnused(n)
}

// completeDependency notes that one of a job's dependencies is done.
func (x *Index) completeDependency(n *Node, now time.Time) {
	if n.record == nil || n.openDependencies == 0 {
		return
	}
	n.openDependencies--
	if n.openDependencies == 0 {
		n.readyAt = now
		x.cfg.OnChange(n.ref)
	}
}

// ApplyRecordDeletion updates the graph after the deletion of a job's record: the job has ended. How
// it has ended is given to ApplyFinalState, before or after.
func (x *Index) ApplyRecordDeletion(ref string) {
	n := x.nodes[ref]
	if n == nil {
		return
	}
	n.record = nil
	x.detach(n)
	n.deadlines, n.priority = noDeadlines(), 0
	x.updateSets(n)
	x.removeIfUnused(n)
}

// detach removes the edges from a job to its dependencies, so that they inherit nothing from it.
func (x *Index) detach(n *Node) {
	dependencies := n.dependencies
	n.dependencies, n.openDependencies = nil, 0
	for _, dependency := range dependencies {
		delete(dependency.dependents, n)
		x.propagate(dependency)
		x.removeIfUnused(dependency)
	}
}

// removeIfUnused removes a job that has ended and has no dependents.
func (x *Index) removeIfUnused(n *Node) {
	if n.record == nil && len(n.dependents) == 0 {
		delete(x.nodes, n.ref)
		x.updateSets(n)
	}
}

// cancelByDependency notes that a job can never run, and with it all that depend on it.
func (x *Index) cancelByDependency(n *Node) {
	if n.cancelledByDependency || n.record == nil {
		return
	}
	n.cancelledByDependency = true
	x.updateSets(n)
	x.cfg.OnChange(n.ref)
	x.cancelDependents(n)
	for _, dependency := range n.dependencies { // they inherit nothing from it any more
		x.propagate(dependency)
	}
}

func (x *Index) cancelDependents(n *Node) {
	for _, dependent := range slices.Collect(maps.Keys(n.dependents)) {
		x.cancelByDependency(dependent)
	}
}

// propagate computes anew what a job inherits from its dependents, and passes a change on to
// its dependencies.
func (x *Index) propagate(n *Node) {
	if n.record == nil {
		return
	}
	priority, deadlines := x.inherited(n)
	expectedRunSeconds := x.cfg.ExpectedRunSeconds(n.record)
	if priority == n.priority && deadlines == n.deadlines && expectedRunSeconds == n.expectedRunSeconds {
		return
	}
	priorityChanged := priority != n.priority
	n.priority, n.deadlines, n.expectedRunSeconds = priority, deadlines, expectedRunSeconds
	if priorityChanged || deadlines != noDeadlines() {
		x.cfg.OnChange(n.ref)
	}
	for _, dependency := range n.dependencies {
		x.propagate(dependency)
	}
}

// inherited returns a job's priority and deadlines with those of its dependents. A dependent
// needs its own expected run time after the job is done.
func (x *Index) inherited(n *Node) (jobs.Priority, Deadlines) {
	priority, deadlines := n.record.Priority(), OwnDeadlines(n.record, x.cfg.DeadlineMultiple)
	for dependent := range n.dependents {
		if dependent.record == nil || dependent.cancelledByDependency {
			continue
		}
		priority = max(priority, dependent.priority)
		deadlines = deadlines.earliest(dependent.deadlines.before(dependent.expectedRunSeconds))
	}
	return priority, deadlines
}

// RefreshExpectedRuns passes on the expected run times that have changed considerably.
func (x *Index) RefreshExpectedRuns() {
	for _, n := range x.nodes {
		if n.record == nil || len(n.dependencies) == 0 {
			continue
		}
		change := math.Abs(x.cfg.ExpectedRunSeconds(n.record) - n.expectedRunSeconds)
		if change > refreshThreshold*n.expectedRunSeconds {
			x.propagate(n)
		}
	}
}

// UnknownJobs returns up to limit dependencies of which neither a record nor a final state is
// known and which were not returned after since, so that the caller asks for them. It notes
// that they were asked for at now.
func (x *Index) UnknownJobs(since, now time.Time, limit int) []string {
	var refs []string
	for ref := range x.unknown {
		if len(refs) == limit {
			break
		}
		if !x.askedAt[ref].After(since) {
			x.askedAt[ref] = now
			refs = append(refs, ref)
		}
	}
	return refs
}

// UnknownAncestors returns the dependencies of a job, direct and indirect, whose final state
// has to be known before it can be said whether the job will run.
func (x *Index) UnknownAncestors(ref string) []string {
	n := x.nodes[ref]
	if n == nil || n.cancelledByDependency || n.openDependencies == 0 {
		return nil
	}
	var refs []string
	seen := map[*Node]bool{}
	for queue := []*Node{n}; len(queue) > 0; queue = queue[1:] {
		for _, dependency := range queue[0].dependencies {
			if seen[dependency] {
				continue
			}
			seen[dependency] = true
			if dependency.isUnknown() {
				refs = append(refs, dependency.ref)
			}
			queue = append(queue, dependency)
		}
	}
	return refs
}

// CancelledByDependency yields the unfinished jobs that can never run.
func (x *Index) CancelledByDependency() iter.Seq[string] { return maps.Keys(x.cancelledByDependency) }

// BlockedCount returns how many jobs are blocked by dependencies.
func (x *Index) BlockedCount() int {
	count := 0
	for _, n := range x.nodes {
		if n.IsBlocked() {
			count++
		}
	}
	return count
}
