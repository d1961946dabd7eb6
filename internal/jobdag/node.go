package jobdag

import (
	"time"

	"cherrywall/internal/jobs"
)

// Node is a job in the dependency graph. A nil *Node is valid and stands for a job without
// dependencies and dependents.
type Node struct {
	ref          string
	record       *jobs.JobRecord // nil if the job has ended or its record is not known
	finalState   FinalState
	dependencies []*Node
	dependents   map[*Node]bool // unfinished jobs that depend on this one
	// openDependencyCount is the number of dependencies that are not known to be done.
	openDependencyCount int
	// cancelledByDependency is set if a dependency, direct or indirect, is cancelled.
	cancelledByDependency bool
	inheritance
	readyAt time.Time
}

// isUnknown reports whether both the record and the final state of the job are unknown.
func (n *Node) isUnknown() bool { return n.record == nil && n.finalState == Unfinished }

// IsBlocked reports whether the job may not run now: it waits for dependencies, or can never run.
func (n *Node) IsBlocked() bool {
	return n != nil && n.record != nil && (n.openDependencyCount > 0 || n.cancelledByDependency)
}

// IsCancelledByDependency reports whether the job can never run because a dependency, direct or
// indirect, is cancelled.
func (n *Node) IsCancelledByDependency() bool { return n != nil && n.cancelledByDependency }

// OpenDependencies returns the dependencies that are not known to be done.
func (n *Node) OpenDependencies() []string {
	if n == nil {
		return nil
	}
	var refs []string
	for _, dependency := range n.dependencies {
		if dependency.finalState != Done {
			refs = append(refs, dependency.ref)
		}
	}
	return refs
}

// DependentCount returns how many unfinished jobs depend directly on the job.
func (n *Node) DependentCount() int {
	if n == nil {
		return 0
	}
	return len(n.dependents)
}

// ExpectedRunSeconds returns the expected time in seconds from when the job becomes runnable until it
// ends, or 0 if that time was not computed.
func (n *Node) ExpectedRunSeconds() float64 {
	if n == nil {
		return 0
	}
	return n.expectedRunSeconds
}

// Priority returns the highest priority among the job and its dependents, direct and indirect. own is
// the job's own priority.
func (n *Node) Priority(own jobs.Priority) jobs.Priority {
	if n == nil || n.record == nil {
		return own
	}
	return max(own, n.priority)
}

// Deadlines returns the times by which the job should be done to meet its own deadlines and those of
// its dependents.
func (n *Node) Deadlines() Deadlines {
	if n == nil || n.record == nil {
		return noDeadlines()
	}
	return n.deadlines
}

// ReadyAt returns when the last dependency was done. It returns the zero time if the job had no
// dependencies or if some of them are not done yet.
func (n *Node) ReadyAt() time.Time {
	if n == nil {
		return time.Time{}
	}
	return n.readyAt
}
