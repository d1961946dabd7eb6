package controller

import (
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// Stall blocks the controller's goroutine for d, as if the operating system did not schedule the process.
func (c *Controller) Stall(d time.Duration) { c.mailbox.Send(func() { time.Sleep(d) }) }

// SkipReadBarrier applies a mutation for tests of the invariant checker: users are answered from the cache,
// however old it is. The returned function undoes the mutation.
func SkipReadBarrier() (restore func()) {
	original := readBarrier
	readBarrier = func(_ *statecache.Cache, _ bool, done func(isCurrent bool)) { done(true) }
	return func() { readBarrier = original }
}

// AcceptInvalidJobs applies a mutation for tests of the invariant checker: jobs that can never run are
// accepted. The returned function undoes the mutation.
func AcceptInvalidJobs() (restore func()) {
	original := validateJob
	validateJob = func(*Controller, *jobs.Spec) admission.Decision { return admission.Decide(nil) }
	return func() { validateJob = original }
}
