package controller

import (
	"net/http"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// Response is the answer to a user's request. Code is an HTTP status code. Error is set if the code is 400
// or higher, the other fields if it is lower.
type Response struct {
	Code        int
	Ref         string
	Status      jobs.Status
	DoneTasks   int
	ActiveTasks int
	Error       string
}

// Reasons for an answer with the code 503, which users see as the error.
const (
	reasonNotSynced        = "state not read yet"
	reasonStoreUnavailable = "state service unavailable"
	reasonBusy             = "busy"
)

func unavailable(reason string) Response {
	return Response{Code: http.StatusServiceUnavailable, Error: reason}
}

// Poll sends the status of a job to reply, which must have room for it.
func (c *Controller) Poll(ref string, reply chan Response) {
	c.mailbox.Send(func() { c.findJob(ref, false, func(response Response) { reply <- response }) })
}

// readBarrier is (*statecache.Cache).ReadBarrier. It is a variable so that tests of the invariant checker
// can replace it.
var readBarrier = (*statecache.Cache).ReadBarrier

// findJob calls done with the status of a job. The status is at least as recent as any status of the job
// that a controller has answered before: a final state never changes, and any other status is read after
// a read barrier. While a cancellation of the job is unconfirmed, done is called only after its
// confirmation. A read that is not urgent may wait for a moment to share a read barrier with other
// reads.
func (c *Controller) findJob(ref string, urgent bool, done func(Response)) {
	retry := func() { c.findJob(ref, urgent, done) }
	if pending := c.cancellations.findUnconfirmed(ref); pending != nil {
		pending.waiters = append(pending.waiters, retry)
		return
	}
	if finalState, hasEnded := c.cache.CachedFinalState(ref); hasEnded {
		done(finalResponse(ref, finalState))
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
		if c.cancellations.findUnconfirmed(ref) != nil { // cancelled during the read barrier
			retry()
			return
		}
		if finalState, hasEnded := c.cache.CachedFinalState(ref); hasEnded {
			done(finalResponse(ref, finalState))
			return
		}
		c.answerFromCurrentCache(ref, done)
	})
}

// answerFromCurrentCache calls done with the status of a job whose final state, if it has one, is not
// cached. It may be called only when the cache is current.
func (c *Controller) answerFromCurrentCache(ref string, done func(Response)) {
	job := c.state.Job(ref)
	if c.cache.IsQuarantined(jobs.JobKey(ref)) {
		// The job was accepted, but its record can't be decoded. If the answer were that there is no
		// such job, users would submit it again and it would run twice.
		done(unavailable("the job's record is quarantined, see cherrywall doctor"))
		return
	}
	if job == nil || job.HasEnded() {
		c.answerFromStore(ref, done)
		return
	}
	// A job that this one depends on may have been cancelled before this controller began to watch the
	// store, so that its final state is not cached. Then this job is cancelled as well, and an answer that
	// this job is queued would contradict the answers of other controllers.
	unknownRefs := c.state.Dependencies().UnknownAncestors(ref)
	if len(unknownRefs) == 0 {
		done(unfinishedResponse(job))
		return
	}
	c.fetchFinalStates(unknownRefs, func(finalStates map[string]jobdag.FinalState, err error) {
		switch {
		case err != nil || len(finalStates) < len(unknownRefs): // one unknown final state leaves open whether the job is cancelled
			done(unavailable(reasonStoreUnavailable))
		case c.cancellations.findUnconfirmed(ref) != nil: // cancelled during the reads
			c.findJob(ref, false, done)
		default:
			done(c.statusFromCache(ref))
		}
	})
}

// statusFromCache returns the status of a job from the current content of the cache.
func (c *Controller) statusFromCache(ref string) Response {
	if finalState, hasEnded := c.cache.CachedFinalState(ref); hasEnded {
		return finalResponse(ref, finalState)
	}
	if job := c.state.Job(ref); job != nil && !job.HasEnded() {
		return unfinishedResponse(job)
	}
	return unavailable(reasonBusy)
}

// answerFromStore answers with the final state of a job in the key-value store, since the cache does not
// hold all final states. It may be called only when the cache is current and holds no unfinished job with
// this reference: if there is no final state in the store either, the job was never accepted.
func (c *Controller) answerFromStore(ref string, done func(Response)) {
	c.cache.ReadFinalState(ref, func(finalState jobs.FinalState, exists bool, err error) {
		switch {
		case err != nil:
			done(unavailable(reasonStoreUnavailable))
		case !exists:
			done(Response{Code: http.StatusNotFound, Error: "no such job"})
		case c.cancellations.findUnconfirmed(ref) != nil: // the read has shown that the job is cancelled
			c.findJob(ref, true, done)
		default:
			done(finalResponse(ref, finalState))
		}
	})
}

func finalResponse(ref string, finalState jobs.FinalState) Response {
	return Response{Code: http.StatusOK, Ref: ref, Status: finalState.Status, DoneTasks: finalState.Tasks}
}

func unfinishedResponse(job *clusterstate.Job) Response {
	response := Response{Code: http.StatusOK, Ref: job.Ref(), Status: jobs.Queued}
	if job.IsCancelledByDependency() { // the job has not run and never will; its final state is stored later
		response.Status = jobs.Cancelled
		return response
	}
	response.DoneTasks, response.ActiveTasks = job.Progress()
	if response.ActiveTasks > 0 {
		response.Status = jobs.Running
	}
	return response
}
