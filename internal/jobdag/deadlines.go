package jobdag

import (
	"math"

	"cherrywall/internal/jobs"
)

// NoDeadline is the value (Unix ms) of a deadline that is not set.
const NoDeadline = math.MaxInt64

// Deadlines are the times (Unix ms) by which a job should be done. A time that is not set is
// NoDeadline.
type Deadlines struct {
	// DueMS is the job's deadline.
	DueMS int64
	// LastUsefulMS is the latest time at which the end of the job still counts towards the
	// objectives of its class, which are defined in multiples of the deadline.
	LastUsefulMS int64
}

// noDeadlines returns the deadlines of a job without a deadline.
func noDeadlines() Deadlines { return Deadlines{DueMS: NoDeadline, LastUsefulMS: NoDeadline} }

// OwnDeadlines returns a job's own deadlines, without those inherited from its dependents. They are
// relative to the job's acceptance, however long the job waits for its dependencies. deadlineMultiple
// returns the largest multiple of the deadline that still counts towards the objectives of a class; a
// value below 1 is treated as 1.
func OwnDeadlines(record *jobs.JobRecord, deadlineMultiple func(class string) float64) Deadlines {
	if record.DeadlineSeconds == nil {
		return noDeadlines()
	}
	dueS := *record.DeadlineSeconds
	return Deadlines{
		DueMS:        addSeconds(record.AcceptedAtMS, dueS),
		LastUsefulMS: addSeconds(record.AcceptedAtMS, dueS*max(1, deadlineMultiple(record.Class))),
	}
}

// earliestOf returns, for each field, the earlier of the deadlines d and other.
func (d Deadlines) earliestOf(other Deadlines) Deadlines {
	return Deadlines{
		DueMS:        min(d.DueMS, other.DueMS),
		LastUsefulMS: min(d.LastUsefulMS, other.LastUsefulMS),
	}
}

// shiftedEarlier returns the deadlines moved earlier by a time in seconds; unset ones stay unset.
func (d Deadlines) shiftedEarlier(seconds float64) Deadlines {
	return Deadlines{DueMS: subtractSeconds(d.DueMS, seconds), LastUsefulMS: subtractSeconds(d.LastUsefulMS, seconds)}
}

func subtractSeconds(deadlineMS int64, seconds float64) int64 {
	if deadlineMS == NoDeadline {
		return NoDeadline
	}
	return addSeconds(deadlineMS, -seconds)
}

func addSeconds(timeMS int64, seconds float64) int64 { return timeMS + int64(seconds*1000) }
