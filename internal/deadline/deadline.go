// Package deadline computes by when a waiting job should start so that its deadline and the
// objectives of its class are met. Jobs of the same priority are queued by this time.
package deadline

import (
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Job is what the latest start of a job depends on.
type Job struct {
	Record            *jobs.JobRecord
	RunnableSinceMS   int64   // time of day (Unix ms) since which it could have run
	RunSeconds        float64 // expected run time of a task
	CompletionSeconds float64 // expected time until jobs that depend on it can start
	// Deadlines are the times of day (Unix ms) by which it should be finished, for its own
	// deadline and for those of the jobs that depend on it; jobdag.NoDeadline for none.
	Deadlines jobdag.Deadlines
}

// StartByMS returns the time of day (Unix ms) by which a job should start: for a service its
// arrival; for an array its next deadline or objective, less the run time. An array that is too
// late for one objective is held to the next one, and if there is none left it comes after those
// that can still meet theirs. For gangs see gangStartByMS.
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

// IsObjectiveAtRisk reports whether a job has to start within DeadlineAtRiskMargin to meet a
// deadline or objective that it can still meet.
func IsObjectiveAtRisk(job Job, objectives []config.Objective, now time.Time) bool {
	startByMS, ok := nextObjectiveStartMS(job, objectives, now)
	return ok && isAtRisk(startByMS, now)
}

func isAtRisk(startByMS int64, now time.Time) bool {
	return startByMS < now.Add(tuning.DeadlineAtRiskMargin).UnixMilli()
}

// nextObjectiveStartMS returns the latest start (Unix ms) that meets the first deadline or
// objective that the job can still meet; ok is false if there is none left.
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

// gangStartByMS returns a time of day (Unix ms) by which waiting gangs are queued. Gangs whose next
// objective is at risk go first, then those that can still wait, then those that are too late for
// all, each time the shortest first, so that most of them are in time. By arrival every gang would
// be late in an overload: after a minute with three times the usual gangs, those that arrive long
// after it still wait behind it. To starve none, a gang that has waited for AgingPeriod goes before
// all others.
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
