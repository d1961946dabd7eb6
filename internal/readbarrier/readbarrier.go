// Package fresh lets any number of callers wait until what is known here is as new
// as the state service was when they asked, with one small read for all of them.
package readbarrier

import (
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// Queue has no locks: one actor owns it.
type Queue struct {
	startRead func(started time.Time) // begins a read of the revision; its outcome is told to Read
	wake      func()                  // has Start called on the actor

	waiting        []waiter       // asked, no read under way for them yet
	inFlight       []waiter       // the read under way serves these
	newestRevision uint64         // newest revision known
	answered       []answeredRead // answered by the service, the watch has to catch up
	readInFlight   bool
	lastReadAt     time.Time
	nextReadAt     time.Time // when the next read begins, if it is set
	timer          *time.Timer
}

type waiter struct {
	deadline time.Time
	urgent   bool
	done     func(ok bool)
}

type answeredRead struct {
	revision  uint64
	startedAt time.Time
	waiters   []waiter
}

// New makes a queue. ask must not block; wake may be called from any goroutine.
func New(ask func(startedAt time.Time), wake func()) *Queue {
	return &Queue{startRead: ask, wake: wake}
}

// NewestRevision is the newest revision that the service has told.
func (q *Queue) NewestRevision() uint64 { return q.newestRevision }

// Wait calls done once the knowledge is at least as new as now, or with false if
// that can't be had in time. Polls are less urgent: more of them share a read.
func (q *Queue) Wait(now time.Time, urgent bool, done func(ok bool)) {
	q.waiting = append(q.waiting, waiter{now.Add(tuning.StoreRequestTimeout), urgent, done})
	q.StartIfDue(now)
}

// StartIfDue begins a read if one is due: for those that wait, and now and then for its
// own sake.
func (q *Queue) StartIfDue(now time.Time) {
	if q.readInFlight || (len(q.waiting) == 0 && now.Sub(q.lastReadAt) < tuning.RevisionReadInterval) {
		return
	}
	gap := tuning.MinPollRevisionReadGap
	if slices.ContainsFunc(q.waiting, func(r waiter) bool { return r.urgent }) {
		gap = tuning.MinRevisionReadGap
	}
	due := q.lastReadAt.Add(gap)
	switch {
	case !now.Before(due):
		q.readInFlight = true
		q.inFlight, q.waiting = q.waiting, nil
		q.startRead(now)
	case q.nextReadAt.IsZero() || due.Before(q.nextReadAt):
		if q.timer != nil {
			q.timer.Stop()
		}
		q.nextReadAt = due
		q.timer = time.AfterFunc(due.Sub(now), q.wake)
	}
}

// HandleTimer is Start after a wake.
func (q *Queue) HandleTimer(now time.Time) {
	q.nextReadAt = time.Time{}
	q.StartIfDue(now)
}

// CompleteRead takes the outcome of a read; Advance and Start are to be called next.
func (q *Queue) CompleteRead(now, startedAt time.Time, revision uint64, err error) {
	q.readInFlight = false
	q.lastReadAt = now
	waiters := q.inFlight
	q.inFlight = nil
	if err != nil {
		for _, r := range waiters {
			r.done(false)
		}
		return
	}
	q.newestRevision = max(q.newestRevision, revision)
	q.answered = append(q.answered, answeredRead{revision, startedAt, waiters})
}

// Advance looks whose revision the watch has reached, and whose time is over. All
// that was decided before the moment it returns is known now (zero: nothing new);
// once the caller has noted that, serve answers those that waited for it.
func (q *Queue) Advance(now time.Time, appliedRevision uint64, synced bool) (consistentAsOf time.Time, serve func()) {
	var keep []answeredRead
	var served []waiter
	for _, read := range q.answered {
		switch {
		case synced && read.revision <= appliedRevision:
			if read.startedAt.After(consistentAsOf) {
				consistentAsOf = read.startedAt
			}
			served = append(served, read.waiters...)
		case len(read.waiters) > 0 && now.After(read.waiters[0].deadline):
			for _, r := range read.waiters {
				r.done(false)
			}
		case now.Sub(read.startedAt) < 10*tuning.StoreRequestTimeout:
			keep = append(keep, read)
		}
	}
	q.answered = keep
	return consistentAsOf, func() {
		for _, r := range served {
			r.done(true)
		}
	}
}
