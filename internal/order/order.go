// Package order tells by when waiting jobs should start: it is what they are ordered
// by inside a priority.
package order

import (
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Job is what the order of a job depends on.
type Job struct {
	Rec *jobs.Record
	// SinceMS is the time of day (Unix ms) from which on it could have run.
	SinceMS int64
	Runs    float64 // expected run time of a task, seconds
	Takes   float64 // expected time to its end for the sake of jobs behind it, seconds
	// By are times (Unix ms) by which it should be done, see depend.Node: of its own
	// deadline, or one that a job behind it has. depend.Never: none.
	By [2]int64
}

// StartBy is the time (Unix ms) by which a job should start: for a service its arrival, for an array the deadline, or the
// aim of its class, less the run time. An array that is too late for one aim is held to
// the next, and at last comes after those that can still be in time. Gangs: see gang.
func StartBy(j Job, aims []config.Objective, now time.Time) int64 {
	switch j.Rec.Kind {
	case jobs.Gang:
		return gang(j, aims, now)
	case jobs.Service:
		return j.Rec.AcceptedMS
	}
	if by, ok := nextAim(j, aims, now); ok {
		return by
	}
	return j.SinceMS + tuning.LateAfter.Milliseconds()
}

// AtStake tells whether an aim that a job can still meet is lost soon.
func AtStake(j Job, aims []config.Objective, now time.Time) bool {
	by, ok := nextAim(j, aims, now)
	return ok && by < now.Add(tuning.AtStake).UnixMilli()
}

// nextAim is the latest start (Unix ms) with which the first aim that the job can
// still meet is met; ok is false if there is none left.
func nextAim(j Job, aims []config.Objective, now time.Time) (by int64, ok bool) {
	consider := func(t int64) {
		if t >= now.UnixMilli() && (!ok || t < by) {
			by, ok = t, true
		}
	}
	for _, t := range j.By {
		if t != depend.Never {
			consider(t - int64(max(j.Runs, j.Takes)*1000))
		}
	}
	for _, o := range aims {
		switch {
		case o.Class != j.Rec.Class:
		case o.Kind == config.Finished:
			consider(j.SinceMS + int64((o.WithinS-j.Runs)*1000))
		case o.Kind == config.Wait && j.Rec.Kind == jobs.Gang:
			consider(j.SinceMS + int64(o.WithinS*1000))
		}
	}
	return by, ok
}

// gang orders waiting gangs. With room for all of them any order would do. In
// an overload, by arrival, everybody was late: of a minute with three times the
// usual gangs those that came long after it still waited behind it. So the
// gangs whose next aim is at stake go first, then those that can wait for
// theirs, then those too late for any, each time the shortest first: most of them
// are in time then. Who has waited for LateAfter goes before all, so nobody is
// starved.
func gang(j Job, aims []config.Objective, now time.Time) int64 {
	age := time.Duration(now.UnixMilli()-j.SinceMS) * time.Millisecond
	if age > tuning.LateAfter || len(aims) == 0 {
		return j.SinceMS
	}
	by, inTime := nextAim(j, aims, now)
	shortest := int64(j.Runs * 1000)
	switch {
	case inTime && by < now.Add(tuning.AtStake).UnixMilli():
		return now.UnixMilli() + shortest
	case inTime:
		return now.Add(tuning.LateAfter).UnixMilli() + shortest
	}
	return now.Add(2*tuning.LateAfter).UnixMilli() + shortest
}
