// Package jobdag maintains the dependency graph of jobs: the dependencies that a job waits for, the
// dependents that wait for it, and the priority and deadlines that it inherits from its dependents.
//
// The Index is derived from the job records in the cache of the key-value store. It relies only
// on facts that never change: that a job is durably done or durably cancelled. A job whose
// final state is not known yet counts as unfinished, so that no dependent starts too early.
package jobdag

import "cherrywall/internal/jobs"

// FinalState is how a job ended according to its durable record.
type FinalState uint8

// The final states of a job.
const (
	// Unfinished is the state of a job that has not ended, or whose end the index does not know
	// yet.
	Unfinished FinalState = iota
	// Done is the state of a job whose tasks are all done.
	Done
	// Cancelled is the state of a job that was cancelled.
	Cancelled
)

// String returns the state's name for logs and test failures.
func (s FinalState) String() string {
	switch s {
	case Done:
		return "done"
	case Cancelled:
		return "cancelled"
	default:
		return "unfinished"
	}
}

// FinalStateOf returns the final state for a job's recorded status, Unfinished if the status is not a
// final one.
func FinalStateOf(status jobs.Status) FinalState {
	switch status {
	case jobs.Done:
		return Done
	case jobs.Cancelled:
		return Cancelled
	default:
		return Unfinished
	}
}
