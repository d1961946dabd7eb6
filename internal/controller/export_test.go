package controller

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// Hold keeps the actor from doing anything for a while, as a process that is not
// given the processor.
func (a *Controller) Hold(d time.Duration) { a.mailbox.Send(func() { time.Sleep(d) }) }

// AnswerUnread is a broken variant: users are answered from what is known here, however old that
// is. The returned function mends it.
func AnswerUnread() (mend func()) {
	right := waitUntilCurrent
	waitUntilCurrent = func(_ *statecache.Cache, _ bool, done func(ok bool)) { done(true) }
	return func() { waitUntilCurrent = right }
}

// TakeAnything is a broken variant: jobs are accepted that can never run. The returned function
// mends it.
func TakeAnything() (mend func()) {
	right := validateJob
	validateJob = func(*Controller, *jobs.Spec) (bool, error) { return true, nil }
	return func() { validateJob = right }
}
