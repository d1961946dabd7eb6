package reconciliation

import "cherrywall/internal/clusterstate"

// Discrepancy classifies the difference between the records and a worker's heartbeat, or between the
// records and the lack of a heartbeat. Agrees means that there is no difference.
type Discrepancy int

// The discrepancies of a task come first, then those of a worker.
const (
	Agrees               Discrepancy = iota // the task runs as recorded
	RunningUnclaimed                        // the task runs, but its shard has not claimed it
	ClaimedNotRunning                       // the task is claimed, but no worker runs it
	StaleAttempt                            // the task runs, but another attempt of it is assigned to a worker, or the task is done
	UnknownJob                              // the task runs, but no record of its job is known
	JobFinished                             // the task runs, but its job has ended
	CompletionUnrecorded                    // the task is done, but its completion is not recorded
	WorkerUnrecorded                        // a worker without a record sends heartbeats
	WorkerMissing                           // a recorded worker sends no heartbeats
	discrepancyCount
)

// Action is the response of reconciliation to a discrepancy.
type Action int

// The actions.
const (
	ActionKeep             Action = iota // the task keeps running where it is
	ActionStop                           // the task is stopped
	ActionStart                          // the task may be started
	ActionRecordCompletion               // the completion is recorded, and afterwards the worker may drop the task
	ActionRegisterWorker                 // a record of the worker is written before its heartbeat is answered
	ActionAwaitWorker                    // nothing is decided until the worker reports or its lease has expired
)

// Rule says which action follows from one discrepancy. docs/recovery.md shows the table of all rules.
type Rule struct {
	Name         string // as logs and operators' views show it; it must not change
	Action       Action
	ProtocolRule string // name of the protocol rule that any other action would break
}

// Rules holds the rule of each discrepancy. All decisions about discrepancies follow these rules.
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

// String returns the name of the discrepancy's rule.
func (d Discrepancy) String() string { return Rules[d].Name }

// KeepsRunning reports whether a task that a worker lists keeps running where it is.
func KeepsRunning(lookup clusterstate.TaskLookup) bool {
	return Rules[Classify(lookup)].Action == ActionKeep
}

// Classify returns the discrepancy of a task that a worker lists although the task is not assigned to
// the worker. It never returns ClaimedNotRunning, WorkerUnrecorded or WorkerMissing, which do not
// concern a listed task.
func Classify(lookup clusterstate.TaskLookup) Discrepancy {
	switch {
	case !lookup.JobKnown:
		return UnknownJob
	case lookup.JobEnded:
		return JobFinished
	case lookup.ReportedDone && lookup.IsClaimed && !lookup.IsFinished:
		return CompletionUnrecorded
	case lookup.PlacedElsewhere, lookup.IsFinished:
		return StaleAttempt
	case !lookup.IsClaimed:
		return RunningUnclaimed
	}
	return Agrees
}
