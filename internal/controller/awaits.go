package controller

import (
	"fmt"
	"strings"
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Jobs that wait for others (docs/dependencies.md): what the names in a submission are,
// and the end of those behind a cancelled one.

// resolveDependencies finds out what the jobs are that a submission names, and goes on with it. That
// one was never accepted is said only after the state service was asked: another controller
// may have accepted it a moment ago.
func (a *Controller) resolveDependencies(sub submission) {
	if !a.gate.IsOpen() {
		// A retry of what was accepted is answered, whoever runs what.
		a.findJob(sub.ref, true, func(response Response) {
			if response.Code == 404 {
				response = unavailable("awaits: not before all controllers run this version; missing: " + strings.Join(a.gate.PendingControllers(), ", "))
			}
			sub.reply <- response
		})
		return
	}
	if len(a.resolveLocally(&sub)) == 0 {
		a.submit(sub)
		return
	}
	a.cache.ReadBarrier(true, func(ok bool) {
		if !ok {
			sub.reply <- unavailable("state service")
			return
		}
		ask := a.resolveLocally(&sub)
		a.fetchFates(ask, func(found map[string]jobdag.FinalState, err error) {
			if err != nil {
				sub.reply <- unavailable("state service")
				return
			}
			for _, ref := range ask {
				fate, accepted := found[ref]
				if !accepted && sub.invalid == nil {
					sub.invalid = fmt.Errorf("awaits: %w: %s was never accepted", admission.ErrUnsatisfiable, ref)
				}
				sub.dependencies[ref] = fate
			}
			a.submit(sub)
		})
	})
}

// resolveLocally looks up what a submission names in what is known here, and returns what is not.
// That a job was accepted, and how it ended, stays true: to know that nothing has to be
// fresh.
func (a *Controller) resolveLocally(sub *submission) (unknown []string) {
	sub.dependencies = make(map[string]jobdag.FinalState, len(sub.spec.DependsOn))
	for _, ref := range sub.spec.DependsOn {
		if f, over := a.cache.Final(ref); over {
			sub.dependencies[ref] = jobdag.FinalStateOf(f.Status)
		} else if job := a.state.Job(ref); job != nil && job.HasRecord() && !job.HasEnded() {
			if job.Record().Kind == jobs.Service {
				sub.invalid = fmt.Errorf("awaits: %w: %s is a service", admission.ErrUnsatisfiable, ref)
			}
			sub.dependencies[ref] = jobdag.Unfinished
		} else {
			unknown = append(unknown, ref)
		}
	}
	return unknown
}

// fetchFates asks for the ends of jobs, a few at a time; those of which there is none, or that
// are known to be unfinished, are not among what is found.
func (a *Controller) fetchFates(refs []string, done func(found map[string]jobdag.FinalState, err error)) {
	found := map[string]jobdag.FinalState{}
	if len(refs) == 0 {
		done(found, nil)
		return
	}
	next, under := 0, 0
	var failed error
	var ask func()
	ask = func() {
		for ; under < tuning.MaxConcurrentFinalStateReads && next < len(refs) && failed == nil; next++ {
			ref := refs[next]
			under++
			a.cache.LookUpFinal(ref, func(f jobs.FinalState, ok bool, err error) {
				under--
				if err != nil {
					failed = err
				} else if ok {
					found[ref] = jobdag.FinalStateOf(f.Status)
				}
				if under == 0 && (failed != nil || next == len(refs)) {
					done(found, failed)
					return
				}
				ask()
			})
		}
	}
	ask()
}

// cancelDependents gives jobs behind a cancelled one a final state of their own. Their users are
// told by what follows from the cancellation, from the moment of it; so this may be done at
// any time, by any controller, any number of times.
func (a *Controller) cancelDependents(now time.Time) {
	if a.cache.IsStale(now) || !a.isFirstLiveMember() {
		return
	}
	for ref := range a.state.Dependencies().CancelledByDependency() {
		if a.dependentCancelsInFlight >= tuning.MaxConcurrentDependentCancellations {
			return
		}
		job := a.state.Job(ref)
		if job == nil || job.HasEnded() || !job.CanWriteAt(a.cache.AppliedRevision()) {
			continue
		}
		a.dependentCancelsInFlight++
		job.BeginTransaction()
		a.cache.Commit(kvstore.Normal, kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: jobs.JobKey(ref), Revision: job.Revision()}, {Key: jobs.FinalKey(ref)}},
			Writes: []kvstore.Write{{Key: jobs.FinalKey(ref), Value: kvstore.Encode(jobs.FinalState{Status: jobs.Cancelled})},
				{DeleteKey: jobs.JobKey(ref)}},
		}, func(res kvstore.TxnResult, err error) {
			a.dependentCancelsInFlight--
			job.EndTransaction(res, err)
			if err == nil && res.Succeeded {
				a.log.Info("job cancelled with one that it needs", "job", ref)
			}
		})
	}
}
