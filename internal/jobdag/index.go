package jobdag

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"cherrywall/internal/jobs"
)

// runTimeChangeThreshold is the relative change of a job's expected run time above which the
// deadlines of its dependencies are recomputed.
const runTimeChangeThreshold = 0.1

// Config provides the information about jobs that an index needs. The index calls the functions on the
// goroutine of its owner.
type Config struct {
	// UnfinishedRecord returns an unfinished job's record, nil if none is known.
	UnfinishedRecord func(ref string) *jobs.JobRecord
	// ExpectedRunSeconds returns the expected time in seconds from when a job becomes runnable until
	// it ends.
	ExpectedRunSeconds func(record *jobs.JobRecord) float64
	// DeadlineMultiple returns the largest multiple of the deadline at which the end of a job still
	// counts towards the objectives of its class. It returns 1 if no objective allows a larger
	// multiple.
	DeadlineMultiple func(class string) float64
	// OnChange is called for a job when it is linked to dependencies or dependents, when it is no
	// longer blocked, when it can never run any more, and when its inherited priority or deadlines
	// change. It may also be called without such a change.
	OnChange func(ref string)
}

// Index is the dependency graph of the unfinished jobs. It is not safe for concurrent use: one
// actor owns it.
type Index struct {
	cfg   Config
	nodes map[string]*Node
	// cancelledByDependency are the unfinished jobs that can never run because a dependency, direct
	// or indirect, is cancelled.
	cancelledByDependency map[string]bool
	// unknownNodes are the dependencies for which neither a record nor a final state is known.
	unknownNodes map[string]*Node
	// requestedAt is when UnknownJobs last returned each unknown job.
	requestedAt map[string]time.Time
	// lookUpFinalState returns the final state of a job from a cache outside the index.
	lookUpFinalState func(ref string) FinalState
	isDeferring      bool    // Batch runs
	deferred         []*Node // the jobs for which Batch will call propagate
}

// New returns an empty index.
func New(cfg Config) *Index {
	x := &Index{cfg: cfg, lookUpFinalState: func(string) FinalState { return Unfinished }}
	x.Reset()
	return x
}

// SetFinalStateLookup sets the function by which the index looks up the final state of a job that has no
// node yet, such as a job that had no dependents when it ended.
func (x *Index) SetFinalStateLookup(lookUp func(ref string) FinalState) {
	x.lookUpFinalState = lookUp
}

// Reset removes all jobs. It is called before all records are read anew.
func (x *Index) Reset() {
	x.nodes = map[string]*Node{}
	x.cancelledByDependency = map[string]bool{}
	x.unknownNodes = map[string]*Node{}
	x.requestedAt = map[string]time.Time{}
}

// Node returns a job's node, nil if the job has neither dependencies nor dependents.
func (x *Index) Node(ref string) *Node { return x.nodes[ref] }

func (x *Index) ensureNode(ref string) *Node {
	if n := x.nodes[ref]; n != nil {
		return n
	}
	n := &Node{
		ref:         ref,
		record:      x.cfg.UnfinishedRecord(ref),
		finalState:  x.lookUpFinalState(ref),
		dependents:  map[*Node]bool{},
		inheritance: inheritance{deadlines: noDeadlines()},
	}
	x.nodes[ref] = n
	x.updateSets(n)
	return n
}

// updateSets adds a job to unknownNodes and cancelledByDependency, or removes it from them.
func (x *Index) updateSets(n *Node) {
	isIndexed := x.nodes[n.ref] == n
	if isIndexed && n.isUnknown() {
		x.unknownNodes[n.ref] = n
	} else {
		delete(x.unknownNodes, n.ref)
		delete(x.requestedAt, n.ref)
	}
	if isIndexed && n.cancelledByDependency && n.record != nil {
		x.cancelledByDependency[n.ref] = true
	} else {
		delete(x.cancelledByDependency, n.ref)
	}
}

// ApplyRecord updates the graph from an unfinished job's record. A job that never had dependencies and
// has no dependents gets no node.
func (x *Index) ApplyRecord(record *jobs.JobRecord, now time.Time) {
	n := x.nodes[record.Ref]
	if n == nil && len(record.DependsOn) == 0 && record.DependenciesDoneAtMS == 0 {
		return
	}
	n = x.ensureNode(record.Ref)
	n.record = record
	wasLinked := false
	switch {
	case len(record.DependsOn) == 0:
		// A writer removes the dependencies from a record only after it has seen all of them done.
		x.unlink(n)
		n.cancelledByDependency = false
	case len(n.dependencies) == 0:
		wasLinked = true
		x.link(n, record.DependsOn)
	}
	switch {
	case record.DependenciesDoneAtMS != 0:
		n.readyAt = time.UnixMilli(record.DependenciesDoneAtMS)
	case wasLinked && n.openDependencyCount == 0:
		n.readyAt = now
	}
	x.updateSets(n)
	if n.cancelledByDependency {
		x.cancelDependents(n)
	}
	x.propagate(n)
	if wasLinked {
		x.propagate(n.dependencies...) // they may inherit from the job although nothing has changed for the job itself
		x.reportLinks(n)
	}
}

// link adds the edges from a job to its dependencies.
func (x *Index) link(n *Node, refs []string) {
	for _, ref := range refs {
		dependency := x.ensureNode(ref)
		n.dependencies = append(n.dependencies, dependency)
		dependency.dependents[n] = true
		if dependency.finalState != Done {
			n.openDependencyCount++
		}
		if dependency.finalState == Cancelled || dependency.cancelledByDependency {
			n.cancelledByDependency = true
		}
	}
}

// reportLinks calls OnChange for a job and for the dependencies to which it was linked.
func (x *Index) reportLinks(n *Node) {
	for _, dependency := range n.dependencies {
		x.cfg.OnChange(dependency.ref)
	}
	x.cfg.OnChange(n.ref)
}

// ApplyFinalState updates the graph after a job has reached a durable final state. A durable final
// state never changes.
func (x *Index) ApplyFinalState(ref string, finalState FinalState, now time.Time) {
	n := x.nodes[ref]
	if n == nil || finalState == Unfinished || n.finalState == finalState {
		return
	}
	n.finalState = finalState
	x.updateSets(n)
	if finalState == Cancelled {
		x.cancelDependents(n)
	} else {
		for _, dependent := range slices.Collect(maps.Keys(n.dependents)) {
			x.completeDependency(dependent, now)
		}
	}
	x.removeIfUnused(n)
}

// completeDependency counts one of a job's dependencies as done. If no other dependency is open, the job
// becomes ready at the time that the argument now gives.
func (x *Index) completeDependency(n *Node, now time.Time) {
	if n.record == nil || n.openDependencyCount == 0 {
		return
	}
	n.openDependencyCount--
	if n.openDependencyCount == 0 {
		n.readyAt = now
		x.cfg.OnChange(n.ref)
	}
}

// ApplyRecordDeletion updates the graph after the deletion of a job's record, which means that the job
// has ended. Its final state is passed to ApplyFinalState, before or after this call.
func (x *Index) ApplyRecordDeletion(ref string) {
	n := x.nodes[ref]
	if n == nil {
		return
	}
	n.record = nil
	x.unlink(n)
	n.deadlines, n.priority = noDeadlines(), 0
	x.updateSets(n)
	x.removeIfUnused(n)
}

// unlink removes the edges from a job to its dependencies, which then inherit nothing from it.
func (x *Index) unlink(n *Node) {
	dependencies := n.dependencies
	n.dependencies, n.openDependencyCount = nil, 0
	for _, dependency := range dependencies {
		delete(dependency.dependents, n)
	}
	x.propagate(dependencies...)
	for _, dependency := range dependencies {
		x.removeIfUnused(dependency)
	}
}

// removeIfUnused removes the node of a job that has no record and no dependents.
func (x *Index) removeIfUnused(n *Node) {
	if n.record == nil && len(n.dependents) == 0 {
		delete(x.nodes, n.ref)
		x.updateSets(n)
	}
}

// cancelDependents marks all jobs that depend on a job, directly or indirectly, as jobs that can never
// run.
func (x *Index) cancelDependents(n *Node) {
	var released []*Node // jobs that no longer inherit from a dependent
	for queue := []*Node{n}; len(queue) > 0; queue = queue[1:] {
		for _, dependent := range slices.Collect(maps.Keys(queue[0].dependents)) {
			if dependent.cancelledByDependency || dependent.record == nil {
				continue
			}
			dependent.cancelledByDependency = true
			x.updateSets(dependent)
			x.cfg.OnChange(dependent.ref)
			released = append(released, dependent.dependencies...)
			queue = append(queue, dependent)
		}
	}
	x.propagate(released...)
}

// RefreshInheritedDeadlines finds the jobs whose expected run time has changed by more than
// runTimeChangeThreshold since it was last used to compute deadlines, and recomputes the
// deadlines that their dependencies inherit.
func (x *Index) RefreshInheritedDeadlines() {
	var changed []*Node
	for _, n := range x.nodes {
		if n.record == nil || len(n.dependencies) == 0 {
			continue
		}
		difference := math.Abs(x.cfg.ExpectedRunSeconds(n.record) - n.expectedRunSeconds)
		if difference > runTimeChangeThreshold*n.expectedRunSeconds {
			changed = append(changed, n)
		}
	}
	x.propagate(changed...)
}

// UnknownJobs returns up to limit dependencies whose final states the caller has to look up, since
// neither a record nor a final state is known. It leaves out the dependencies that an earlier call
// returned after the time excludeRequestedAfter. The argument now is the time of this call.
func (x *Index) UnknownJobs(excludeRequestedAfter, now time.Time, limit int) []string {
	var refs []string
	for ref := range x.unknownNodes {
		if len(refs) == limit {
			break
		}
		if !x.requestedAt[ref].After(excludeRequestedAfter) {
			x.requestedAt[ref] = now
			refs = append(refs, ref)
		}
	}
	return refs
}

// UnknownAncestors returns the unknown dependencies of a job, direct and indirect. Their final states
// must be known before it is certain whether the job can run. The result is nil if the job is not
// blocked or can never run.
func (x *Index) UnknownAncestors(ref string) []string {
	n := x.nodes[ref]
	if n == nil || n.cancelledByDependency || n.openDependencyCount == 0 {
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

// JobsCancelledByDependency yields the unfinished jobs that can never run because a dependency, direct or
// indirect, is cancelled.
func (x *Index) JobsCancelledByDependency() iter.Seq[string] {
	return maps.Keys(x.cancelledByDependency)
}

// BlockedCount returns how many jobs are blocked by their dependencies.
func (x *Index) BlockedCount() int {
	count := 0
	for _, n := range x.nodes {
		if n.IsBlocked() {
			count++
		}
	}
	return count
}
