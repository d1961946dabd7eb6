// Package readbarrier makes reads of a cache linearizable: any number of callers wait until the
// cache is as new as the store was when they asked, with one small read of the store's revision
// for all of them.
package readbarrier

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// maxAnsweredReadAge is how long the result of a read is kept for the cache to reach its
// revision, in timeouts of a request to the store.
const maxAnsweredReadAge = 10 * tuning.StoreRequestTimeout

// Queue is the queue of callers at the barrier. It has no locks: all methods are called by the
// actor that owns it.
type Queue struct {
	startRead func(startedAt time.Time)
	wake      func()

	waiting        []waiter       // no read is in flight for them yet
	inFlight       []waiter       // served by the read in flight
	readInFlight   bool           // also without waiters
	answered       []answeredRead // the cache has to reach their revisions
	newestRevision uint64
	lastReadAt     time.Time
	nextReadAt     time.Time // for which the timer is set; zero: none
	timer          *time.Timer
}

// waiter is one call of Wait.
type waiter struct {
	deadline time.Time
	urgent   bool
	done     func(ok bool)
}

// answeredRead is a read whose revision is known.
type answeredRead struct {
	revision  uint64
	startedAt time.Time
	waiters   []waiter
}

// New makes a queue. startRead begins a read of the store's revision, whose result is passed to
// CompleteRead; it must not block. wake, which is called on another goroutine, has HandleTimer
// called on the actor.
func New(startRead func(startedAt time.Time), wake func()) *Queue {
	return &Queue{startRead: startRead, wake: wake}
}

// NewestRevision is the newest revision of the store that was read.
func (q *Queue) NewestRevision() uint64 { return q.newestRevision }

// Wait calls done with true once the cache is at least as new as now, or with false if that is
// not reached in time. Callers that are not urgent wait longer for others to share a read with.
func (q *Queue) Wait(now time.Time, urgent bool, done func(ok bool)) {
	q.waiting = append(q.waiting, waiter{deadline: now.Add(tuning.StoreRequestTimeout), urgent: urgent, done: done})
	q.StartIfDue(now)
}

// StartIfDue starts a read if one is due: for the waiting callers, or because the last one is long
// ago. If callers have to wait for the pace of the reads, it sets the timer.
func (q *Queue) StartIfDue(now time.Time) {
	if q.readInFlight || (len(q.waiting) == 0 && now.Sub(q.lastReadAt) < tuning.RevisionReadInterval) {
		return
	}
	dueAt := q.lastReadAt.Add(q.minReadInterval())
	switch {
	case !now.Before(dueAt):
		q.readInFlight = true
		q.inFlight, q.waiting = q.waiting, nil
		q.startRead(now)
	case q.nextReadAt.IsZero() || dueAt.Before(q.nextReadAt):
		if q.timer != nil {
			q.timer.Stop()
		}
		q.nextReadAt = dueAt
		q.timer = time.AfterFunc(dueAt.Sub(now), q.wake)
	}
}

func (q *Queue) minReadInterval() time.Duration {
	if slices.ContainsFunc(q.waiting, func(w waiter) bool { return w.urgent }) {
		return tuning.MinRevisionReadGap
	}
	return tuning.MinPollRevisionReadGap
}

// HandleTimer starts the read for which the timer was set.
func (q *Queue) HandleTimer(now time.Time) {
	q.nextReadAt = time.Time{}
	q.StartIfDue(now)
}

// CompleteRead takes the result of a read: the store's revision as of startedAt, or an error.
// Advance and StartIfDue are to be called next.
func (q *Queue) CompleteRead(now, startedAt time.Time, revision uint64, err error) {
	q.readInFlight = false
	q.lastReadAt = now
	waiters := q.inFlight
	q.inFlight = nil
	if err != nil {
		finish(waiters, false)
		return
	}
	q.newestRevision = max(q.newestRevision, revision)
	q.answered = append(q.answered, answeredRead{revision: revision, startedAt: startedAt, waiters: waiters})
}

// Advance serves the reads whose revision the cache has reached, and fails those whose deadline
// has passed. All changes decided before consistentAsOf (zero: nothing new) were applied to the
// cache; once the caller has noted that, it calls serve, which serves the callers that waited.
func (q *Queue) Advance(now time.Time, appliedRevision uint64, synced bool) (consistentAsOf time.Time, serve func()) {
	var remaining []answeredRead
	var served []waiter
	for _, read := range q.answered {
		switch {
		case synced && read.revision <= appliedRevision:
			if read.startedAt.After(consistentAsOf) {
				consistentAsOf = read.startedAt
			}
			served = append(served, read.waiters...)
		case len(read.waiters) > 0 && now.After(read.waiters[0].deadline):
			finish(read.waiters, false)
		case now.Sub(read.startedAt) < maxAnsweredReadAge:
			remaining = append(remaining, read)
		}
	}
	q.answered = remaining
	return consistentAsOf, func() { finish(served, true) }
}

func finish(waiters []waiter, ok bool) {
	for _, w := range waiters {
		w.done(ok)
	}
}
