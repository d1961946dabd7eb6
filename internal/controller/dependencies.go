package controller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Jobs with dependencies (docs/dependencies.md): looking up what a submission depends on, and
// cancelling the dependents of a cancelled job.

// resolveDependencies looks up the jobs that a submission depends on, and goes on with it. A
// submission is refused for a job that was never accepted only after the key-value store was
// asked, since another controller may have accepted that job a moment ago.
func (c *Controller) resolveDependencies(sub submission) {
	if !c.gate.IsOpen() {
		// A controller of an older version would start the job without waiting. But a repeated
		// submission of a known job is answered, whatever versions the controllers run.
		c.findJob(sub.ref, true, func(response Response) {
			if response.Code == http.StatusNotFound {
				response = unavailable("awaits: not before all controllers run this version; missing: " + strings.Join(c.gate.PendingControllers(), ", "))
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

// resolveFromStore looks up in the key-value store what the cache does not know. It may be called
// only when the cache is current.
func (c *Controller) resolveFromStore(sub submission) {
	unknown := c.resolveLocally(&sub)
	c.fetchFinalStates(unknown, func(found map[string]jobdag.FinalState, err error) {
		if err != nil {
			sub.reply <- unavailable(reasonStoreUnavailable)
			return
		}
		for _, ref := range unknown {
			finalState, isAccepted := found[ref]
			if !isAccepted && sub.invalid == nil {
				sub.invalid = fmt.Errorf("awaits: %w: %s was never accepted", admission.ErrUnsatisfiable, ref)
			}
			sub.dependencies[ref] = finalState
		}
		c.submit(sub)
	})
}

// resolveLocally looks up the dependencies of a submission in the cache and returns those that it
// does not know. The cache need not be current: that a job was accepted, and how it ended, never
// changes.
func (c *Controller) resolveLocally(sub *submission) (unknown []string) {
	sub.dependencies = make(map[string]jobdag.FinalState, len(sub.spec.DependsOn))
	for _, ref := range sub.spec.DependsOn {
		if final, hasEnded := c.cache.Final(ref); hasEnded {
			sub.dependencies[ref] = jobdag.FinalStateOf(final.Status)
			continue
		}
		job := c.state.Job(ref)
		if job == nil || !job.HasRecord() || job.HasEnded() {
			unknown = append(unknown, ref)
			continue
		}
		if job.Record().Kind == jobs.Service {
			sub.invalid = fmt.Errorf("awaits: %w: %s is a service", admission.ErrUnsatisfiable, ref)
		}
		sub.dependencies[ref] = jobdag.Unfinished
	}
	return unknown
}

// finalStateFetch reads the final states of jobs, a few at a time.
type finalStateFetch struct {
	refs     []string
	next     int // index of the first job that has not been asked for
	inFlight int
	found    map[string]jobdag.FinalState
	err      error
	done     func(found map[string]jobdag.FinalState, err error)
}

// fetchFinalStates reads the final states of jobs from the key-value store and calls done once.
// Jobs without a final state, or known to be unfinished, are missing in what is found.
func (c *Controller) fetchFinalStates(refs []string, done func(found map[string]jobdag.FinalState, err error)) {
	fetch := &finalStateFetch{refs: refs, found: map[string]jobdag.FinalState{}, done: done}
	if len(refs) == 0 {
		done(fetch.found, nil)
		return
	}
	c.continueFetch(fetch)
}

// continueFetch begins as many reads as may be in flight. After an error it begins no more, and calls
// done when the last one in flight has ended.
func (c *Controller) continueFetch(fetch *finalStateFetch) {
	for fetch.inFlight < tuning.MaxConcurrentFinalStateReads && fetch.next < len(fetch.refs) && fetch.err == nil {
		ref := fetch.refs[fetch.next]
		fetch.inFlight++
		c.cache.LookUpFinal(ref, func(final jobs.FinalState, exists bool, err error) {
			fetch.inFlight--
			switch {
			case err != nil:
				fetch.err = err
			case exists:
				fetch.found[ref] = jobdag.FinalStateOf(final.Status)
			}
			if fetch.inFlight == 0 && (fetch.err != nil || fetch.next == len(fetch.refs)) {
				fetch.done(fetch.found, fetch.err)
				return
			}
			c.continueFetch(fetch)
		})
		fetch.next++
	}
}

// cancelDependents stores a final state for jobs that depend on a cancelled one. It may do so at any
// later time, since users are answered from the dependency graph as soon as the cancellation is known.
// One controller does it, which saves writes; if another one takes itself for the first live member,
// too, the second transaction fails by its preconditions.
func (c *Controller) cancelDependents(now time.Time) {
	if c.cache.IsStale(now) || !c.isFirstLiveMember() {
		return
	}
	for ref := range c.state.Dependencies().CancelledByDependency() {
		if c.dependentCancelsInFlight >= tuning.MaxConcurrentDependentCancellations {
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
	c.dependentCancelsInFlight++
	job.BeginTransaction()
	txn := cancelTxn(job, jobs.FinalState{Status: jobs.Cancelled})
	c.cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		c.dependentCancelsInFlight--
		job.EndTransaction(result, err)
		if err == nil && result.Succeeded {
			c.log.Info("job cancelled by dependency", "job", ref)
		}
	})
}
