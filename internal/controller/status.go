package controller

import (
	"net/http"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// Response is the answer to a user's request. Code is an HTTP status code; Error is set for codes
// from 400 on, the other fields below that.
type Response struct {
	Code        int
	Ref         string
	Status      jobs.Status
	DoneTasks   int
	ActiveTasks int
	Error       string
}

// Reasons for answering 503. Users see them.
const (
	reasonNotSynced        = "state not read yet"
	reasonStoreUnavailable = "state service"
	reasonBusy             = "busy"
)

func unavailable(reason string) Response {
	return Response{Code: http.StatusServiceUnavailable, Error: reason}
}

// Poll sends the status of a job to reply, which must have room for it.
func (c *Controller) Poll(ref string, reply chan Response) {
	c.mailbox.Send(func() { c.findJob(ref, false, func(response Response) { reply <- response }) })
}

// readBarrier is (*statecache.Cache).ReadBarrier, except in tests of invariant checkers, which
// replace it.
var readBarrier = (*statecache.Cache).ReadBarrier

// findJob calls done with the status of a job, never an older one than any controller has
// answered: a final state never changes, any other is read behind a read barrier. A read that is
// not urgent may be delayed to use the barrier of others.
func (c *Controller) findJob(ref string, urgent bool, done func(Response)) {
	retry := func() { c.findJob(ref, urgent, done) }
	if pending := c.cancellations.pending(ref); pending != nil {
		pending.waiters = append(pending.waiters, retry)
		return
	}
	if final, hasEnded := c.cache.Final(ref); hasEnded {
		done(finalResponse(ref, final))
		return
	}
	if !c.cache.Synced() {
		done(unavailable(reasonNotSynced))
		return
	}
	readBarrier(c.cache, urgent, func(isCurrent bool) {
		if !isCurrent {
			done(unavailable(reasonStoreUnavailable))
			return
		}
		if c.cancellations.pending(ref) != nil { // cancelled since the request
			retry()
			return
		}
		if final, hasEnded := c.cache.Final(ref); hasEnded {
			done(finalResponse(ref, final))
			return
		}
		c.answerFromCurrentCache(ref, done)
	})
}

// answerFromCurrentCache calls done with the status of a job without a known final state. It may
// be called only when the cache is current.
func (c *Controller) answerFromCurrentCache(ref string, done func(Response)) {
	job := c.state.Job(ref)
	if c.cache.IsQuarantined(jobs.JobKey(ref)) {
		// The job was accepted, but its record can't be read: it is neither known nor unknown.
		done(unavailable("the job's record is set aside, see cherrywall doctor"))
		return
	}
	if job == nil || job.HasEnded() {
		c.answerFromStore(ref, done)
		return
	}
	// A job that this one depends on may have been cancelled before this controller began to
	// watch. Then this job is cancelled, too, and must not be called anything else.
	unknown := c.state.Dependencies().UnknownAncestors(ref)
	if len(unknown) == 0 {
		done(unfinishedResponse(job))
		return
	}
	c.fetchFinalStates(unknown, func(found map[string]jobdag.FinalState, err error) {
		if err != nil || len(found) < len(unknown) { // one may have become known here since
			done(unavailable(reasonStoreUnavailable))
			return
		}
		done(c.cachedStatus(ref))
	})
}

// cachedStatus returns the status of a job by what the cache holds now.
func (c *Controller) cachedStatus(ref string) Response {
	if final, hasEnded := c.cache.Final(ref); hasEnded {
		return finalResponse(ref, final)
	}
	if job := c.state.Job(ref); job != nil && !job.HasEnded() {
		return unfinishedResponse(job)
	}
	return unavailable(reasonBusy)
}

// answerFromStore reads the final state of a job from the key-value store. The cache was current
// and held no such unfinished job, so that a job without a final state did not exist then.
func (c *Controller) answerFromStore(ref string, done func(Response)) {
	c.cache.LookUpFinal(ref, func(final jobs.FinalState, exists bool, err error) {
		switch {
		case err != nil:
			done(unavailable(reasonStoreUnavailable))
		case !exists:
			done(Response{Code: http.StatusNotFound, Error: "no such job"})
		default:
			done(finalResponse(ref, final))
		}
	})
}

func finalResponse(ref string, final jobs.FinalState) Response {
	return Response{Code: http.StatusOK, Ref: ref, Status: final.Status, DoneTasks: final.Tasks}
}

func unfinishedResponse(job *clusterstate.Job) Response {
	response := Response{Code: http.StatusOK, Ref: job.Ref(), Status: jobs.Queued}
	if job.IsCancelledByDependency() { // it has not run and never will; its final state is stored later
		response.Status = jobs.Cancelled
		return response
	}
	response.DoneTasks, response.ActiveTasks = job.Progress()
	if response.ActiveTasks > 0 {
		response.Status = jobs.Running
	}
	return response
}
