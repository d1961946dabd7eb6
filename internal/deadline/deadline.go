// Package order tells by when waiting jobs should start: it is what they are ordered
// by inside a priority.
package deadline

import (
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Job is what the order of a job depends on.
type Job struct {
	Record *jobs.JobRecord
	// RunnableSinceMS is the time of day (Unix ms) from which on it could have run.
	RunnableSinceMS   int64
	RunSeconds        float64 // expected run time of a task, seconds
	CompletionSeconds float64 // expected time to its end for the sake of jobs behind it, seconds
	// Deadlines are times (Unix ms) by which it should be done, see depend.Node: of its own
	// deadline, or one that a job behind it has. depend.Never: none.
	Deadlines jobdag.Deadlines
}

// StartByMS is the time (Unix ms) by which a job should start: for a service its arrival, for an array the deadline, or the
// aim of its class, less the run time. An array that is too late for one aim is held to
// the next, and at last comes after those that can still be in time. Gangs: see gang.
func StartByMS(job Job, objectives []config.Objective, now time.Time) int64 {
	switch job.Record.Kind {
	case jobs.Gang:
		return gangStartByMS(job, objectives, now)
	case jobs.Service:
		return job.Record.AcceptedAtMS
	}
	if by, ok := nextObjectiveStartMS(job, objectives, now); ok {
		return by
	}
	return job.RunnableSinceMS + tuning.AgingPeriod.Milliseconds()
}

// IsObjectiveAtRisk tells whether an aim that a job can still meet is lost soon.
func IsObjectiveAtRisk(job Job, objectives []config.Objective, now time.Time) bool {
	by, ok := nextObjectiveStartMS(job, objectives, now)
	return ok && by < now.Add(tuning.DeadlineAtRiskMargin).UnixMilli()
}

// nextObjectiveStartMS is the latest start (Unix ms) with which the first aim that the job can
// still meet is met; ok is false if there is none left.
func nextObjectiveStartMS(job Job, objectives []config.Objective, now time.Time) (by int64, ok bool) {
	consider := func(t int64) {
		if t >= now.UnixMilli() && (!ok || t < by) {
			by, ok = t, true
		}
	}
	for _, t := range [2]int64{job.Deadlines.DueMS, job.Deadlines.LastUsefulMS} {
		if t != jobdag.NoDeadline {
			consider(t - int64(max(job.RunSeconds, job.CompletionSeconds)*1000))
		}
	}
	for _, o := range objectives {
		switch {
		case o.Class != job.Record.Class:
		case o.Kind == config.ObjectiveFinished:
			consider(job.RunnableSinceMS + int64((o.WithinSeconds-job.RunSeconds)*1000))
		case o.Kind == config.ObjectiveStarted && job.Record.Kind == jobs.Gang:
			consider(job.RunnableSinceMS + int64(o.WithinSeconds*1000))
		}
	}
	return by, ok
}

// gangStartByMS orders waiting gangs. With room for all of them any order would do. In
// an overload, by arrival, everybody was late: of a minute with three times the
// usual gangs those that came long after it still waited behind it. So the
// gangs whose next aim is at stake go first, then those that can wait for
// theirs, then those too late for any, each time the shortest first: most of them
// are in time then. Who has waited for LateAfter goes before all, so nobody is
// starved.
func gangStartByMS(job Job, objectives []config.Objective, now time.Time) int64 {
	age := time.Duration(now.UnixMilli()-job.RunnableSinceMS) * time.Millisecond
	if age > tuning.AgingPeriod || len(objectives) == 0 {
		return job.RunnableSinceMS
	}
	by, inTime := nextObjectiveStartMS(job, objectives, now)
	shortest := int64(job.RunSeconds * 1000)
	switch {
	case inTime && by < now.Add(tuning.DeadlineAtRiskMargin).UnixMilli():
		return now.UnixMilli() + shortest
	case inTime:
		return now.Add(tuning.AgingPeriod).UnixMilli() + shortest
	}
	return now.Add(2*tuning.AgingPeriod).UnixMilli() + shortest
}
