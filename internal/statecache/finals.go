package statecache

import (
	"encoding/json"
	"time"

	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// JobCancellation is a cancellation of which this controller learns.
type JobCancellation struct {
	Ref       string
	DoneTasks int    // number of the job's tasks that had finished
	Revision  uint64 // revision of the record that cancelled the job
	// AreClaimsKnown reports whether the cluster state has all claims of the job's tasks that were
	// in force when the job was cancelled. If not, any shard may have claimed some of the tasks.
	AreClaimsKnown bool
}

// CachedFinalState returns a job's final state; known is false if the state is not cached.
func (c *Cache) CachedFinalState(ref string) (final jobs.FinalState, known bool) {
	if final, batched := c.CompletionBatches.FinalState(ref); batched {
		return final, true
	}
	return c.finalStates.Get(ref)
}

// ReadFinalState reads a final state from the store and passes it to done on the actor; found is
// false if the job has none.
func (c *Cache) ReadFinalState(ref string, done func(final jobs.FinalState, found bool, err error)) {
	go func() {
		record, err := c.store.Get(c.mailbox.Context(), kvstore.Normal, jobs.FinalKey(ref))
		c.mailbox.Send(func() {
			var final jobs.FinalState
			if err == nil && record.Found {
				if err = json.Unmarshal(record.Row.Value, &final); err == nil {
					c.learnFinalState(ref, final, record.Row.Revision, false)
				}
			}
			done(final, record.Found, err)
		})
	}()
}

// applyFinalState applies a final state that is recorded in the store.
func (c *Cache) applyFinalState(ref string, final jobs.FinalState) {
	c.finalStates.Add(ref, final)
	c.State.Dependencies().ApplyFinalState(ref, jobdag.FinalStateOf(final.Status), time.Now())
}

// applyFinalRecord applies the record of a final state.
func (c *Cache) applyFinalRecord(ref string, value json.RawMessage, revision uint64) error {
	var final jobs.FinalState
	if err := json.Unmarshal(value, &final); err != nil {
		return err
	}
	// The watch has delivered all earlier changes before this one. If this controller has written the
	// record, the write had the precondition that the job's record, which changes with each claim, is
	// the cached one. But a load that was made later does not contain the job.
	areClaimsKnown := c.synced && revision > c.loadedRevision
	c.learnFinalState(ref, final, revision, areClaimsKnown)
	return nil
}

// learnFinalState applies a final state, which was recorded at revision, and reports a cancellation
// that was not known before. areClaimsKnown is as in JobCancellation.
func (c *Cache) learnFinalState(ref string, final jobs.FinalState, revision uint64, areClaimsKnown bool) {
	if _, known := c.CachedFinalState(ref); !known && final.Status == jobs.Cancelled {
		c.hooks.JobCancelled(JobCancellation{Ref: ref, DoneTasks: final.Tasks, Revision: revision, AreClaimsKnown: areClaimsKnown})
	}
	c.applyFinalState(ref, final)
}

// ApplyPeerCancellation applies a cancellation that a peer has read from the store. revision is the
// revision of the record that cancelled the job, and doneTasks is the number of the job's tasks that
// were done. Such a cancellation is as reliable as one that the watch delivers, and it arrives even
// while this controller cannot reach the store.
func (c *Cache) ApplyPeerCancellation(ref string, doneTasks int, revision uint64) {
	if _, known := c.CachedFinalState(ref); known || !c.synced || !jobs.ValidRef(ref) {
		return
	}
	// The peer's watch may be ahead of this controller's, which may not have delivered the last claims.
	c.learnFinalState(ref, jobs.FinalState{Status: jobs.Cancelled, Tasks: doneTasks}, revision, false)
	c.ApplyDelete(jobs.JobKey(ref), revision)
}

// lookUpDependencyFinalStates reads unknown final states of jobs on which other jobs depend. A load
// does not contain final states, so those of jobs that ended before this controller started are
// unknown at first. The dependent jobs wait until these states are known.
func (c *Cache) lookUpDependencyFinalStates(now time.Time) {
	if !c.synced || c.finalStateReadsInFlight >= tuning.MaxConcurrentFinalStateReads {
		return
	}
	retryBefore := now.Add(-tuning.FinalStateReadRetryInterval)
	limit := tuning.MaxConcurrentFinalStateReads - c.finalStateReadsInFlight
	for _, ref := range c.State.Dependencies().UnknownJobs(retryBefore, now, limit) {
		c.finalStateReadsInFlight++
		c.ReadFinalState(ref, func(jobs.FinalState, bool, error) { c.finalStateReadsInFlight-- })
	}
}
