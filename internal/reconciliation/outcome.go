// Package recovery brings a share back to work after its holder changed or all
// controllers went down (docs/recovery.md): it contacts the share's workers at a pace
// that leaves the processor to users, squares what they report with the records, and
// says from when on a task that nobody reported is nowhere.
package reconciliation

import "cherrywall/internal/clusterstate"

// Discrepancy is what comes of comparing a report, or its absence, with the records.
type Discrepancy int

// The outcomes, first those of a task, then those of a machine.
const (
	Agrees               Discrepancy = iota // runs, as recorded
	RunningUnclaimed                        // runs, but its share has no claim on it
	ClaimedNotRunning                       // claimed, and on no machine
	StaleAttempt                            // runs where another attempt of it is booked
	UnknownJob                              // runs, and there is no such unfinished job
	JobFinished                             // runs, and its job is over
	CompletionUnrecorded                    // done, and not recorded so
	WorkerUnrecorded                        // a machine without a record reports
	WorkerMissing                           // a recorded machine does not report
	discrepancyCount
)

// Action is what follows from an outcome.
type Action int

// What can follow.
const (
	ActionKeep             Action = iota // it goes on where it is
	ActionStop                           // it is stopped
	ActionStart                          // it may be started
	ActionRecordCompletion               // its end is recorded, then the worker may forget it
	ActionRegisterWorker                 // the machine is recorded, then answered
	ActionAwaitWorker                    // it is waited for, until it is heard or provably gone
)

// Rule is a line of the table of outcomes: docs/recovery.md shows the same.
type Rule struct {
	Name         string // as logs, views and metrics call it
	Action       Action
	ProtocolRule string // of the protocol, that asks for it
}

// Rules tells what follows from each outcome. It is the only place that says so.
var Rules = [discrepancyCount]Rule{
	Agrees:               {"agrees", ActionKeep, "ran_twice"},
	RunningUnclaimed:     {"without a claim", ActionStop, "ran_twice"},
	ClaimedNotRunning:    {"claimed, not running", ActionStart, "forgotten"},
	StaleAttempt:         {"older attempt", ActionStop, "ran_twice"},
	UnknownJob:           {"unknown job", ActionStop, "ran_cancelled"},
	JobFinished:          {"job is over", ActionStop, "ran_cancelled"},
	CompletionUnrecorded: {"done, not recorded", ActionRecordCompletion, "not_done"},
	WorkerUnrecorded:     {"machine without a record", ActionRegisterWorker, "ran_twice"},
	WorkerMissing:        {"record without a machine", ActionAwaitWorker, "ran_twice"},
}

// String is the outcome's name.
func (discrepancy Discrepancy) String() string { return Rules[discrepancy].Name }

// KeepsRunning tells whether a task that a worker lists goes on where it is.
func KeepsRunning(finding clusterstate.TaskLookup) bool {
	return Rules[Classify(finding)].Action == ActionKeep
}

// Classify compares a task that a worker lists and that is not booked there with what is
// recorded of it.
func Classify(finding clusterstate.TaskLookup) Discrepancy {
	switch {
	case !finding.JobKnown:
		return UnknownJob
	case finding.JobEnded:
		return JobFinished
	case finding.ReportedDone && finding.IsClaimed && !finding.IsFinished:
		return CompletionUnrecorded
	case finding.PlacedElsewhere, finding.IsFinished:
		return StaleAttempt
	case !finding.IsClaimed:
		return RunningUnclaimed
	}
	return Agrees
}
