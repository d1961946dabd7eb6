package controller

import (
	"net/http"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/statecache"
)

// Response is the answer to a user's request. Code is an HTTP status code; Error is set for codes from
// 400 on, the other fields for codes below 400.
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

// findJob calls done with the status of a job, never with an older one than any controller has
// answered before: a final state never changes, and any other is read behind a read barrier. While a
// cancellation of the job is unconfirmed, done is called only after its confirmation. A read that is
// not urgent may wait for a moment to share the read barrier of others.
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
		// The job was accepted, but its record can't be read. Answering that there is no such job
		// would have users submit it again and run it twice.
		done(unavailable("the job's record is set aside, see cherrywall doctor"))
		return
	}
	if job == nil || job.HasEnded() {
		c.answerFromStore(ref, done)
		return
	}
	// A job that this one depends on may have been cancelled before this controller began to watch,
	// and its final state not be cached. Then this job is cancelled, too; answering that it waits
	// would contradict what other controllers have answered.
	unknown := c.state.Dependencies().UnknownAncestors(ref)
	if len(unknown) == 0 {
		done(unfinishedResponse(job))
		return
	}
	c.fetchFinalStates(unknown, func(found map[string]jobdag.FinalState, err error) {
		if err != nil || len(found) < len(unknown) { // whether the job is cancelled can't be said without each of them
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

// answerFromStore answers with the final state of a job in the key-value store, since the cache does
// not have all of them. It may be called only when the cache is current and has no such unfinished job:
// without a final state the job was never accepted.
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
