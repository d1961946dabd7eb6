// Package deadline computes the latest time at which a waiting job should start so that its deadline
// and the objectives of its class are met. Jobs of the same priority are queued in the order of these
// times.
package deadline

import (
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Job holds the properties of a job on which its latest start depends.
type Job struct {
	Record            *jobs.JobRecord
	RunnableSinceMS   int64   // wall-clock time (Unix ms) since which it could have run
	RunSeconds        float64 // expected run time of a task
	CompletionSeconds float64 // expected time from its start until jobs that depend on it can start
	// Deadlines are the wall-clock times (Unix ms) by which the job should be finished, so that its
	// own deadline and those of the jobs that depend on it are met; jobdag.NoDeadline if there are none.
	Deadlines jobdag.Deadlines
}

// StartByMS returns the wall-clock time (Unix ms) by which a job should start. For a service it is
// the time of its arrival. For an array it is the next deadline or objective less the run time: an
// array that is too late for one objective is queued by the next one. An array that is too late for
// all of them is queued by the time at which it has waited for tuning.AgingPeriod. So it comes
// after most arrays that can still meet an objective, but does not starve. gangStartByMS returns
// the time for a gang.
func StartByMS(job Job, objectives []config.Objective, now time.Time) int64 {
	switch job.Record.Kind {
	case jobs.Gang:
		return gangStartByMS(job, objectives, now)
	case jobs.Service:
		return job.Record.AcceptedAtMS
	}
	if startByMS, ok := nextObjectiveStartMS(job, objectives, now); ok {
		return startByMS
	}
	return job.RunnableSinceMS + tuning.AgingPeriod.Milliseconds()
}

// IsObjectiveAtRisk reports whether a job has to start within tuning.DeadlineAtRiskMargin to meet
// the first of its deadlines and objectives that it can still meet.
func IsObjectiveAtRisk(job Job, objectives []config.Objective, now time.Time) bool {
	startByMS, ok := nextObjectiveStartMS(job, objectives, now)
	return ok && isAtRisk(startByMS, now)
}

// isAtRisk reports whether less than tuning.DeadlineAtRiskMargin is left until a latest start.
func isAtRisk(startByMS int64, now time.Time) bool {
	return startByMS < now.Add(tuning.DeadlineAtRiskMargin).UnixMilli()
}

// nextObjectiveStartMS returns the latest start (Unix ms) that meets the first deadline or
// objective that the job can still meet; ok is false if it can't meet any.
func nextObjectiveStartMS(job Job, objectives []config.Objective, now time.Time) (startByMS int64, ok bool) {
	consider := func(latestStartMS int64) {
		if latestStartMS >= now.UnixMilli() && (!ok || latestStartMS < startByMS) {
			startByMS, ok = latestStartMS, true
		}
	}
	for _, deadlineMS := range [2]int64{job.Deadlines.DueMS, job.Deadlines.LastUsefulMS} {
		if deadlineMS != jobdag.NoDeadline {
			consider(deadlineMS - milliseconds(max(job.RunSeconds, job.CompletionSeconds)))
		}
	}
	for _, objective := range objectives {
		switch {
		case objective.Class != job.Record.Class:
		case objective.Kind == config.ObjectiveFinished:
			consider(job.RunnableSinceMS + milliseconds(objective.WithinSeconds-job.RunSeconds))
		case objective.Kind == config.ObjectiveStarted && job.Record.Kind == jobs.Gang:
			consider(job.RunnableSinceMS + milliseconds(objective.WithinSeconds))
		}
	}
	return startByMS, ok
}

func milliseconds(seconds float64) int64 { return int64(seconds * 1000) }

// gangStartByMS returns a wall-clock time (Unix ms) by which waiting gangs are ordered in the
// queue. Gangs whose next objective is at risk go first, then gangs that can still wait, then gangs
// that are too late for all objectives. Within each of these groups the shortest gang goes first,
// so that most gangs meet an objective. If gangs were queued by arrival, every gang would be late
// in an overload: after a minute with three times the usual number of gangs, gangs that arrive long
// after that minute would still wait behind the backlog. To prevent starvation, a gang that has
// waited for longer than tuning.AgingPeriod goes before all others.
func gangStartByMS(job Job, objectives []config.Objective, now time.Time) int64 {
	age := time.Duration(now.UnixMilli()-job.RunnableSinceMS) * time.Millisecond
	if age > tuning.AgingPeriod || len(objectives) == 0 {
		return job.RunnableSinceMS
	}
	startByMS, isInTime := nextObjectiveStartMS(job, objectives, now)
	runMS := milliseconds(job.RunSeconds)
	switch {
	case isInTime && isAtRisk(startByMS, now):
		return now.UnixMilli() + runMS
	case isInTime:
		return now.Add(tuning.AgingPeriod).UnixMilli() + runMS
	}
	return now.Add(2*tuning.AgingPeriod).UnixMilli() + runMS
}
