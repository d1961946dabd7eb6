// Package readbarrier makes reads of a cache linearizable: any number of callers wait until the
// cache is as new as the store was when they asked, with one small read of the store's revision
// for all of them.
package readbarrier

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// maxAnsweredReadAge bounds how long the result of a read is kept while the cache has not reached
// its revision. Its callers have given up long before.
const maxAnsweredReadAge = 10 * tuning.StoreRequestTimeout

// Queue is the queue of callers at the barrier. It has no locks: all methods are called by the
// actor that owns it.
type Queue struct {
	startRead func(startedAt time.Time)
	wake      func()

	waiting        []waiter       // no read is in flight for them yet
	inFlight       []waiter       // served by the read in flight
	readInFlight   bool           // true also for a periodic read, which has no waiters
	answered       []answeredRead // whose revisions the cache has not reached yet
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

// answeredRead is a read whose revision is known. Its waiters are in the order of their deadlines.
type answeredRead struct {
	revision  uint64
	startedAt time.Time
	waiters   []waiter
}

// New makes a queue. startRead begins a read of the store's revision, whose result is passed to
// CompleteRead; it must not block. wake is called on another goroutine when the timer fires, and
// has to make the actor call HandleTimer.
func New(startRead func(startedAt time.Time), wake func()) *Queue {
	return &Queue{startRead: startRead, wake: wake}
}

// NewestRevision returns the newest revision of the store that was read, 0 before the first read.
func (q *Queue) NewestRevision() uint64 { return q.newestRevision }

// Wait calls done with true once the cache contains all changes decided before now, or with false if
// that takes longer than tuning.StoreRequestTimeout or the read fails. Callers that are not urgent
// wait longer for others with which they share a read.
func (q *Queue) Wait(now time.Time, urgent bool, done func(ok bool)) {
	q.waiting = append(q.waiting, waiter{deadline: now.Add(tuning.StoreRequestTimeout), urgent: urgent, done: done})
	q.StartIfDue(now)
}

// StartIfDue starts a read if one is due: for the waiting callers, or because the last one was
// tuning.RevisionReadInterval ago. If the last one is too recent for another, it sets the timer.
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

// minReadInterval returns the least time between two reads, which depends on who waits.
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

// Advance completes the reads whose revision the cache has reached, and fails those whose deadline
// has passed. appliedRevision is the revision up to which the cache has applied all changes; synced
// is whether it is complete.
//
// All changes decided before consistentAsOf were applied; it is zero if no read was completed. The
// caller has to record it and then call serve, which calls the callers' done functions: these may
// depend on the recorded time.
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

// finish calls the done functions of waiters.
func finish(waiters []waiter, ok bool) {
	for _, w := range waiters {
		w.done(ok)
	}
}
