package jobdag

import (
	"slices"

	"cherrywall/internal/jobs"
)

// inheritance is what a job passes on to its dependencies.
type inheritance struct {
	priority  jobs.Priority
	deadlines Deadlines
	// expectedRunSeconds is by how much earlier than the job's deadlines its dependencies must be done.
	expectedRunSeconds float64
}

// Batch calls apply, which applies many changes, and recomputes only afterwards what jobs inherit. Without
// it a load of all records could visit a job once for each of the jobs that depend on it.
func (x *Index) Batch(apply func()) {
	x.isDeferring = true
	apply()
	x.isDeferring = false
	deferred := x.deferred
	x.deferred = nil
	x.propagate(deferred...)
}

// propagate recomputes the priority and the deadlines that the given jobs inherit from their dependents.
// Where they or the job's expected run time have changed, it does the same for the job's dependencies.
//
// Each job is visited at most once, after all of its dependents. Depth first and without that order, a job
// was visited once for each path to it on which its deadline became earlier, so that the deadline of a
// pipeline of 14 stages took more than a minute (docs/incidents/2026-12-pipeline-deadline.md).
func (x *Index) propagate(changed ...*Node) {
	if x.isDeferring {
		x.deferred = append(x.deferred, changed...)
		return
	}
	if len(changed) == 1 && x.update(changed[0]) {
		changed = changed[0].dependencies
	}
	if !slices.ContainsFunc(changed, x.isOutdated) {
		return // usually nothing changes beyond the job itself
	}
	outdated := map[*Node]bool{}
	for _, n := range changed {
		outdated[n] = true
	}
	for _, n := range dependentsFirst(changed) {
		if !outdated[n] || !x.update(n) {
			continue
		}
		for _, dependency := range n.dependencies {
			outdated[dependency] = true
		}
	}
}

// dependentsFirst returns the given jobs and all their dependencies, direct and indirect, each once and
// after its dependents. Records that depend on each other in a cycle are returned in any order.
func dependentsFirst(starts []*Node) []*Node {
	// frame is a job on the path to the one that is being visited.
	type frame struct {
		node *Node
		next int // index of the next dependency to visit
	}
	var order []*Node
	seen := map[*Node]bool{}
	for _, start := range starts {
		if seen[start] {
			continue
		}
		seen[start] = true
		for path := []frame{{node: start}}; len(path) > 0; {
			last := &path[len(path)-1]
			if last.next == len(last.node.dependencies) {
				order = append(order, last.node)
				path = path[:len(path)-1]
				continue
			}
			dependency := last.node.dependencies[last.next]
			last.next++
			if !seen[dependency] {
				seen[dependency] = true
				path = append(path, frame{node: dependency})
			}
		}
	}
	slices.Reverse(order)
	return order
}

// isOutdated reports whether a job passes on something else than its dependents and its record say now.
func (x *Index) isOutdated(n *Node) bool {
	return n.record != nil && x.computeInheritance(n) != n.inheritance
}

// update recomputes what a job passes on, and reports whether it has changed.
func (x *Index) update(n *Node) (hasChanged bool) {
	if n.record == nil {
		return false
	}
	current := x.computeInheritance(n)
	previous := n.inheritance
	if current == previous {
		return false
	}
	n.inheritance = current
	if current.priority != previous.priority || current.deadlines != previous.deadlines || current.deadlines != noDeadlines() {
		x.cfg.OnChange(n.ref)
	}
	return true
}

// computeInheritance returns the highest priority and the earliest deadlines among a job and its
// dependents. The deadlines of a dependent are reduced by its expected run time, since it starts after
// the job is done.
func (x *Index) computeInheritance(n *Node) inheritance {
	priority, deadlines := n.record.Priority(), OwnDeadlines(n.record, x.cfg.DeadlineMultiple)
	for dependent := range n.dependents {
		if dependent.record == nil || dependent.cancelledByDependency {
			continue
		}
		priority = max(priority, dependent.priority)
		deadlines = deadlines.earliestOf(dependent.deadlines.shiftedEarlier(dependent.expectedRunSeconds))
	}
	return inheritance{priority, deadlines, x.cfg.ExpectedRunSeconds(n.record)}
}
