// Package recovery brings a share back to work after its holder changed or all
// controllers went down (docs/recovery.md): it contacts the share's workers at a pace
// that leaves the processor to users, squares what they report with the records, and
// says from when on a task that nobody reported is nowhere.
package recovery

import "cherrywall/internal/books"

// Outcome is what comes of comparing a report, or its absence, with the records.
type Outcome int

// The outcomes, first those of a task, then those of a machine.
const (
	Agrees         Outcome = iota // runs, as recorded
	Unrecorded                    // runs, but its share has no claim on it
	NotRunning                    // claimed, and on no machine
	OlderAttempt                  // runs where another attempt of it is booked
	UnknownJob                    // runs, and there is no such unfinished job
	Cancelled                     // runs, and its job is over
	DoneUnrecorded                // done, and not recorded so
	Unlisted                      // a machine without a record reports
	Missing                       // a recorded machine does not report
	outcomes
)

// Then is what follows from an outcome.
type Then int

// What can follow.
const (
	Keep   Then = iota // it goes on where it is
	Stop               // it is stopped
	Start              // it may be started
	Record             // its end is recorded, then the worker may forget it
	Enrol              // the machine is recorded, then answered
	Await              // it is waited for, until it is heard or provably gone
)

// Row is a line of the table of outcomes: docs/recovery.md shows the same.
type Row struct {
	Name string // as logs, views and metrics call it
	Then Then
	Rule string // of the protocol, that asks for it
}

// Table tells what follows from each outcome. It is the only place that says so.
var Table = [outcomes]Row{
	Agrees:         {"agrees", Keep, "ran_twice"},
	Unrecorded:     {"without a claim", Stop, "ran_twice"},
	NotRunning:     {"claimed, not running", Start, "forgotten"},
	OlderAttempt:   {"older attempt", Stop, "ran_twice"},
	UnknownJob:     {"unknown job", Stop, "ran_cancelled"},
	Cancelled:      {"job is over", Stop, "ran_cancelled"},
	DoneUnrecorded: {"done, not recorded", Record, "not_done"},
	Unlisted:       {"machine without a record", Enrol, "ran_twice"},
	Missing:        {"record without a machine", Await, "ran_twice"},
}

// String is the outcome's name.
func (o Outcome) String() string { return Table[o].Name }

// Stays tells whether a task that a worker lists goes on where it is.
func Stays(f books.Finding) bool { return Table[Square(f)].Then == Keep }

// Square compares a task that a worker lists and that is not booked there with what is
// recorded of it.
func Square(f books.Finding) Outcome {
	switch {
	case !f.Job:
		return UnknownJob
	case f.Over:
		return Cancelled
	case f.Ended && f.Claimed && !f.Finished:
		return DoneUnrecorded
	case f.Elsewhere, f.Finished:
		return OlderAttempt
	case !f.Claimed:
		return Unrecorded
	}
	return Agrees
}
