package controller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// This file handles jobs with dependencies (docs/dependencies.md): it looks up the jobs that a submission
// depends on, and cancels the dependents of a cancelled job.

// resolveDependencies looks up the jobs that a submission depends on, and then continues with the
// submission. A submission that depends on a job that was never accepted is rejected, but only after the
// key-value store has been read, since another controller may have accepted that job a moment ago.
func (c *Controller) resolveDependencies(sub submission) {
	if !c.featureGate.IsOpen(featuregate.Dependencies) {
		// A controller of an older version would start the job without waiting for its dependencies, so
		// the job is not accepted. A repeated submission of a known job is answered, whatever versions
		// the controllers run.
		c.findJob(sub.ref, true, func(response Response) {
			if response.Code == http.StatusNotFound {
				response = unavailable("awaits: supported only once all controllers run this version; missing: " + strings.Join(c.featureGate.PendingControllers(featuregate.Dependencies), ", "))
			}
			sub.reply <- response
		})
		return
	}
	if len(c.resolveLocally(&sub)) == 0 {
		c.submit(sub)
		return
	}
	c.cache.ReadBarrier(true, func(isCurrent bool) {
		if !isCurrent {
			sub.reply <- unavailable(reasonStoreUnavailable)
			return
		}
		c.resolveFromStore(sub)
	})
}

// resolveFromStore looks up a submission's dependencies, and reads those that the cache does not know
// from the key-value store. It may be called only when the cache is current.
func (c *Controller) resolveFromStore(sub submission) {
	unknownRefs := c.resolveLocally(&sub)
	c.fetchFinalStates(unknownRefs, func(finalStates map[string]jobdag.FinalState, err error) {
		if err != nil {
			sub.reply <- unavailable(reasonStoreUnavailable)
			return
		}
		for _, ref := range unknownRefs {
			finalState, isAccepted := finalStates[ref]
			if !isAccepted && sub.validationErr == nil {
				sub.validationErr = fmt.Errorf("awaits: %w: %s was never accepted", admission.ErrUnsatisfiable, ref)
			}
			sub.dependencies[ref] = finalState
		}
		c.submit(sub)
	})
}

// resolveLocally looks up the dependencies of a submission in the cache and returns those that the cache
// does not know. An outdated cache suffices: an accepted job remains accepted, and its final state never
// changes.
func (c *Controller) resolveLocally(sub *submission) (unknownRefs []string) {
	sub.dependencies = make(map[string]jobdag.FinalState, len(sub.spec.DependsOn))
	for _, ref := range sub.spec.DependsOn {
		if finalState, hasEnded := c.cache.CachedFinalState(ref); hasEnded {
			sub.dependencies[ref] = jobdag.FinalStateOf(finalState.Status)
			continue
		}
		job := c.state.Job(ref)
		if job == nil || !job.HasRecord() || job.HasEnded() {
			unknownRefs = append(unknownRefs, ref)
			continue
		}
		if job.Record().Kind == jobs.Service {
			sub.validationErr = fmt.Errorf("awaits: %w: %s is a service", admission.ErrUnsatisfiable, ref)
		}
		sub.dependencies[ref] = jobdag.Unfinished
	}
	return unknownRefs
}

// finalStateFetch is a read of the final states of several jobs, with a limited number of concurrent
// requests.
type finalStateFetch struct {
	refs        []string
	nextIndex   int // index of the first job for which no read has begun
	inFlight    int
	finalStates map[string]jobdag.FinalState
	err         error
	done        func(finalStates map[string]jobdag.FinalState, err error)
}

// fetchFinalStates reads the final states of jobs from the key-value store and calls done once. Jobs
// without a final state, such as unfinished ones, are missing in finalStates.
func (c *Controller) fetchFinalStates(refs []string, done func(finalStates map[string]jobdag.FinalState, err error)) {
	fetch := &finalStateFetch{refs: refs, finalStates: map[string]jobdag.FinalState{}, done: done}
	if len(refs) == 0 {
		done(fetch.finalStates, nil)
		return
	}
	c.continueFetch(fetch)
}

// continueFetch begins reads of further jobs as long as fewer than tuning.MaxConcurrentFinalStateReads are in
// flight. After an error it begins no more reads, and done is called when the last read in flight has
// ended.
func (c *Controller) continueFetch(fetch *finalStateFetch) {
	for fetch.inFlight < tuning.MaxConcurrentFinalStateReads && fetch.nextIndex < len(fetch.refs) && fetch.err == nil {
		ref := fetch.refs[fetch.nextIndex]
		fetch.inFlight++
		c.cache.ReadFinalState(ref, func(finalState jobs.FinalState, exists bool, err error) {
			fetch.inFlight--
			switch {
			case err != nil:
				fetch.err = err
			case exists:
				fetch.finalStates[ref] = jobdag.FinalStateOf(finalState.Status)
			}
			if fetch.inFlight == 0 && (fetch.err != nil || fetch.nextIndex == len(fetch.refs)) {
				fetch.done(fetch.finalStates, fetch.err)
				return
			}
			c.continueFetch(fetch)
		})
		fetch.nextIndex++
	}
}

// cancelDependents stores the final state of jobs that depend on a cancelled one, which is that they are
// cancelled. This is not urgent, since users are answered from the dependency graph as soon as the cancellation is
// known. Only the first live member (see IsFirstLiveMember) does it, which saves writes. If two controllers
// consider themselves the first live member, the preconditions make the later transaction fail.
func (c *Controller) cancelDependents(now time.Time) {
	if c.cache.IsStale(now) || !c.isFirstLiveMember() {
		return
	}
	for ref := range c.state.Dependencies().JobsCancelledByDependency() {
		if c.inFlightDependentCancels >= tuning.MaxConcurrentDependentCancellations {
			return
		}
		c.cancelDependent(ref)
	}
}

func (c *Controller) cancelDependent(ref string) {
	job := c.state.Job(ref)
	if job == nil || job.HasEnded() || !job.CanWriteAt(c.cache.AppliedRevision()) {
		return
	}
	c.inFlightDependentCancels++
	job.BeginTransaction()
	txn := cancelTxn(job, jobs.FinalState{Status: jobs.Cancelled})
	c.cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		c.inFlightDependentCancels--
		job.EndTransaction(result, err)
		if err == nil && result.Succeeded {
			c.log.Info("job cancelled by dependency", "job", ref)
		}
	})
}
