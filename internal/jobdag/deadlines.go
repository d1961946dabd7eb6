package jobdag

import (
	"math"

	"cherrywall/internal/jobs"
)

// NoDeadline is the time (Unix ms) of a deadline that is not set.
const NoDeadline = math.MaxInt64

// Deadlines are the times (Unix ms) by which a job should be done; each is NoDeadline if it is
// not set.
type Deadlines struct {
	// DueMS is the deadline itself.
	DueMS int64
	// LastUsefulMS is the largest multiple of the deadline that the objectives of the job's
	// class still count.
	LastUsefulMS int64
}

// noDeadlines returns the deadlines of a job that has none.
func noDeadlines() Deadlines { return Deadlines{DueMS: NoDeadline, LastUsefulMS: NoDeadline} }

// OwnDeadlines returns a job's own deadlines, without those inherited from its dependents.
// They count from the submission, however long the job waits. multiple returns the largest
// multiple of the deadline that is of use to a class.
func OwnDeadlines(record *jobs.JobRecord, multiple func(class string) float64) Deadlines {
	if record.DeadlineSeconds == nil {
		return noDeadlines()
	}
	dueS := *record.DeadlineSeconds
	return Deadlines{
		DueMS:        addSeconds(record.AcceptedAtMS, dueS),
		LastUsefulMS: addSeconds(record.AcceptedAtMS, dueS*max(1, multiple(record.Class))),
	}
}

// earliest returns the earlier of each of two jobs' deadlines.
func (d Deadlines) earliest(other Deadlines) Deadlines {
	return Deadlines{
		DueMS:        min(d.DueMS, other.DueMS),
		LastUsefulMS: min(d.LastUsefulMS, other.LastUsefulMS),
	}
}

// before returns the deadlines of a job that has to end a time before another one's.
func (d Deadlines) before(seconds float64) Deadlines {
	return Deadlines{DueMS: secondsBefore(d.DueMS, seconds), LastUsefulMS: secondsBefore(d.LastUsefulMS, seconds)}
}

func secondsBefore(deadlineMS int64, seconds float64) int64 {
	if deadlineMS == NoDeadline {
		return NoDeadline
	}
	return addSeconds(deadlineMS, -seconds)
}

func addSeconds(timeMS int64, seconds float64) int64 { return timeMS + int64(seconds*1000) }
