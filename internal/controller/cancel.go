package controller

import (
	"net/http"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// maxCancelRetries is how often a cancellation is retried because the job's record has changed. After
// that the request is answered with 503, and the client may retry it.
const maxCancelRetries = 6

// Cancel cancels a job and sends the job's status to reply, which must have room for it. If that status is
// cancelled, the cancellation is durable and no task of the job starts any more. A job that is done stays
// done.
func (c *Controller) Cancel(ref string, reply chan Response) {
	c.mailbox.Send(func() { c.cancelJob(ref, reply, 0) })
}

func (c *Controller) cancelJob(ref string, reply chan Response, retries int) {
	c.findJob(ref, true, func(response Response) {
		job := c.state.Job(ref)
		isFinal := response.Status == jobs.Done || response.Status == jobs.Cancelled
		isUnfinished := response.Code == http.StatusOK && !isFinal && job != nil && !job.HasEnded()
		if !isUnfinished {
			reply <- response
			return
		}
		if retries > maxCancelRetries {
			reply <- unavailable(reasonBusy)
			return
		}
		if job.Record().WholeClaim != nil && !job.Record().ExcludedFromBatches {
			c.excludeAndCancel(job, reply, retries)
			return
		}
		c.storeCancellation(job, reply, retries)
	})
}

// excludeAndCancel excludes a job from completion batches and then cancels it. This is needed if the
// controller that owns the job's shard may write the job's completion to a batch: such a write does not
// change the job's record, so the preconditions of the cancellation would hold, and the job would be both
// done and cancelled.
func (c *Controller) excludeAndCancel(job *clusterstate.Job, reply chan Response, retries int) {
	ref := job.Ref()
	c.claims.ExcludeFromBatches(job, func(err error) {
		if err != nil {
			reply <- unavailable(reasonStoreUnavailable)
			return
		}
		c.cancelJob(ref, reply, retries+1)
	})
}

// storeCancellation writes the final state of a cancelled job, and retries the cancellation if the job's
// record has changed.
func (c *Controller) storeCancellation(job *clusterstate.Job, reply chan Response, retries int) {
	ref := job.Ref()
	finalState := jobs.FinalState{Status: jobs.Cancelled, Tasks: unfinishedResponse(job).DoneTasks}
	c.cache.Commit(kvstore.Urgent, cancelTxn(job, finalState), func(result kvstore.TxnResult, err error) {
		switch {
		case err != nil:
			reply <- unavailable(reasonStoreUnavailable)
		case result.Succeeded:
			c.log.Info("job cancelled", "job", ref)
			// findJob answers once no task of the job can start any more.
			c.findJob(ref, true, func(response Response) { reply <- response })
		default:
			c.cancelJob(ref, reply, retries+1)
		}
	})
}

// cancelTxn returns the transaction that replaces the record of an unfinished job by its final state, on
// the precondition that the record has not changed.
func cancelTxn(job *clusterstate.Job, finalState jobs.FinalState) kvstore.Txn {
	jobKey, finalKey := jobs.JobKey(job.Ref()), jobs.FinalKey(job.Ref())
	return kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: jobKey, Revision: job.Revision()}, {Key: finalKey}},
		Writes:     []kvstore.Write{{Key: finalKey, Value: kvstore.MustEncode(finalState)}, {DeleteKey: jobKey}},
	}
}
