// Package readbarrier makes reads of a cache linearizable: callers wait until the cache contains all
// changes that the store contained when they called. Any number of callers share one small read of the
// store's revision.
package readbarrier

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// maxAnsweredReadAge bounds how long the result of a read is kept while the cache has not reached
// the revision that was read. The callers that waited for that revision have failed long before
// that age.
const maxAnsweredReadAge = 10 * tuning.StoreRequestTimeout

// Queue is the queue of callers that wait at the barrier. It is not safe for concurrent use: the actor
// that owns it calls all methods.
type Queue struct {
	startRead func(startedAt time.Time)
	wake      func()

	queuedWaiters   []waiter       // callers for which no read was started yet
	inFlightWaiters []waiter       // callers that the read in flight will serve
	readInFlight    bool           // true also for a periodic read, which has no waiters
	answeredReads   []answeredRead // reads whose revisions the cache has not reached yet
	newestRevision  uint64
	lastReadAt      time.Time
	nextReadAt      time.Time // the time for which the timer is set; zero if it is not set
	timer           *time.Timer
}

// waiter is a caller of Wait.
type waiter struct {
	deadline time.Time
	urgent   bool
	done     func(ok bool)
}

// answeredRead is a completed read of the store's revision. Its waiters are sorted by deadline.
type answeredRead struct {
	revision  uint64
	startedAt time.Time
	waiters   []waiter
}

// New returns a queue. startRead starts a read of the store's revision and must not block; the result
// of the read has to be passed to CompleteRead. wake is called on another goroutine when the timer
// fires, and has to make the actor call HandleTimer.
func New(startRead func(startedAt time.Time), wake func()) *Queue {
	return &Queue{startRead: startRead, wake: wake}
}

// NewestRevision returns the newest revision of the store that was read, 0 if none was read yet.
func (q *Queue) NewestRevision() uint64 { return q.newestRevision }

// Wait calls done with true once the cache contains all changes committed before now, or with false if
// that takes longer than tuning.StoreRequestTimeout or the read fails. Callers that are not urgent
// wait longer before their read starts, so that more callers share it.
func (q *Queue) Wait(now time.Time, urgent bool, done func(ok bool)) {
	q.queuedWaiters = append(q.queuedWaiters, waiter{deadline: now.Add(tuning.StoreRequestTimeout), urgent: urgent, done: done})
	q.StartIfDue(now)
}

// StartIfDue starts a read if callers wait for one, or if the last read was completed at least
// tuning.RevisionReadInterval ago. If the minimum interval since the last read has not passed, it
// sets the timer instead. It does nothing while a read is in flight.
func (q *Queue) StartIfDue(now time.Time) {
	if q.readInFlight || (len(q.queuedWaiters) == 0 && now.Sub(q.lastReadAt) < tuning.RevisionReadInterval) {
		return
	}
	dueAt := q.lastReadAt.Add(q.minReadInterval())
	switch {
	case !now.Before(dueAt):
		q.readInFlight = true
		q.inFlightWaiters, q.queuedWaiters = q.queuedWaiters, nil
		q.startRead(now)
	case q.nextReadAt.IsZero() || dueAt.Before(q.nextReadAt):
		if q.timer != nil {
			q.timer.Stop()
		}
		q.nextReadAt = dueAt
		q.timer = time.AfterFunc(dueAt.Sub(now), q.wake)
	}
}

// minReadInterval returns the minimum time between two reads, which is shorter if an urgent caller
// waits.
func (q *Queue) minReadInterval() time.Duration {
	if slices.ContainsFunc(q.queuedWaiters, func(w waiter) bool { return w.urgent }) {
		return tuning.MinRevisionReadGap
	}
	return tuning.MinPollRevisionReadGap
}

// HandleTimer starts the read for which the timer was set.
func (q *Queue) HandleTimer(now time.Time) {
	q.nextReadAt = time.Time{}
	q.StartIfDue(now)
}

// CompleteRead records the result of the read in flight: the store's revision as of startedAt, or an
// error. Advance and StartIfDue have to be called next.
func (q *Queue) CompleteRead(now, startedAt time.Time, revision uint64, err error) {
	q.readInFlight = false
	q.lastReadAt = now
	waiters := q.inFlightWaiters
	q.inFlightWaiters = nil
	if err != nil {
		finish(waiters, false)
		return
	}
	q.newestRevision = max(q.newestRevision, revision)
	q.answeredReads = append(q.answeredReads, answeredRead{revision: revision, startedAt: startedAt, waiters: waiters})
}

// Advance serves the waiters of the reads whose revision the cache has reached. It fails all waiters of
// any other read once the earliest of their deadlines has passed. appliedRevision is the revision up to
// which the cache has applied all changes; synced tells whether the cache is complete.
//
// The cache contains all changes that were committed before consistentAsOf. consistentAsOf is zero
// if the cache has not reached the revision of any further read since the last call. The caller has
// to record consistentAsOf first and then call serve. serve calls the done functions of the served
// waiters, and these functions may depend on the recorded time.
func (q *Queue) Advance(now time.Time, appliedRevision uint64, synced bool) (consistentAsOf time.Time, serve func()) {
	var remainingReads []answeredRead
	var servedWaiters []waiter
	for _, read := range q.answeredReads {
		switch {
		case synced && read.revision <= appliedRevision:
			if read.startedAt.After(consistentAsOf) {
				consistentAsOf = read.startedAt
			}
			servedWaiters = append(servedWaiters, read.waiters...)
		case len(read.waiters) > 0 && now.After(read.waiters[0].deadline):
			finish(read.waiters, false)
		case now.Sub(read.startedAt) < maxAnsweredReadAge:
			remainingReads = append(remainingReads, read)
		}
	}
	q.answeredReads = remainingReads
	return consistentAsOf, func() { finish(servedWaiters, true) }
}

// finish calls the done functions of waiters with ok.
func finish(waiters []waiter, ok bool) {
	for _, w := range waiters {
		w.done(ok)
	}
}
