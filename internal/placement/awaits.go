package placement

import (
	"fmt"
	"strings"
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Jobs that wait for others (docs/dependencies.md): what the names in a submission are,
// and the end of those behind a cancelled one.

// resolve finds out what the jobs are that a submission names, and goes on with it. That
// one was never accepted is said only after the state service was asked: another controller
// may have accepted it a moment ago.
func (a *Actor) resolve(q submission) {
	if !a.gate.Open() {
		// A retry of what was accepted is answered, whoever runs what.
		a.find(q.ref, true, func(r Reply) {
			if r.Code == 404 {
				r = unavailable("awaits: not before all controllers run this version; missing: " + strings.Join(a.gate.Awaited(), ", "))
			}
			q.reply <- r
		})
		return
	}
	if len(a.name(&q)) == 0 {
		a.submit(q)
		return
	}
	a.mirror.Current(true, func(ok bool) {
		if !ok {
			q.reply <- unavailable("state service")
			return
		}
		ask := a.name(&q)
		a.fates(ask, func(found map[string]depend.Fate, err error) {
			if err != nil {
				q.reply <- unavailable("state service")
				return
			}
			for _, ref := range ask {
				fate, accepted := found[ref]
				if !accepted && q.bad == nil {
					q.bad = fmt.Errorf("awaits: %w: %s was never accepted", admission.ErrNever, ref)
				}
				q.named[ref] = fate
			}
			a.submit(q)
		})
	})
}

// name looks up what a submission names in what is known here, and returns what is not.
// That a job was accepted, and how it ended, stays true: to know that nothing has to be
// fresh.
func (a *Actor) name(q *submission) (unknown []string) {
	q.named = make(map[string]depend.Fate, len(q.spec.Awaits))
	for _, ref := range q.spec.Awaits {
		if f, over := a.mirror.Final(ref); over {
			q.named[ref] = depend.FateOf(f.Status)
		} else if j := a.books.Job(ref); j != nil && j.Recorded() && !j.Over() {
			if j.Rec().Kind == jobs.Service {
				q.bad = fmt.Errorf("awaits: %w: %s is a service", admission.ErrNever, ref)
			}
			q.named[ref] = depend.Open
		} else {
			unknown = append(unknown, ref)
		}
	}
	return unknown
}

// fates asks for the ends of jobs, a few at a time; those of which there is none, or that
// are known to be unfinished, are not among what is found.
func (a *Actor) fates(refs []string, done func(found map[string]depend.Fate, err error)) {
	found := map[string]depend.Fate{}
	if len(refs) == 0 {
		done(found, nil)
		return
	}
	next, under := 0, 0
	var failed error
	var ask func()
	ask = func() {
		for ; under < tuning.FatesAtOnce && next < len(refs) && failed == nil; next++ {
			ref := refs[next]
			under++
			a.mirror.LookUp(ref, func(f jobs.Final, ok bool, err error) {
				under--
				if err != nil {
					failed = err
				} else if ok {
					found[ref] = depend.FateOf(f.Status)
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

// endDoomed gives jobs behind a cancelled one a final state of their own. Their users are
// told by what follows from the cancellation, from the moment of it; so this may be done at
// any time, by any controller, any number of times.
func (a *Actor) endDoomed(now time.Time) {
	if a.mirror.Stale(now) || !a.first() {
		return
	}
	for ref := range a.books.Depend().Dead() {
		if a.dooming >= tuning.DoomedAtOnce {
			return
		}
		j := a.books.Job(ref)
		if j == nil || j.Over() || !j.Free(a.mirror.Position()) {
			continue
		}
		a.dooming++
		j.Begin()
		a.mirror.Txn(state.Normal, state.Txn{
			If: []state.Cond{{Key: jobs.JobKey(ref), Stamp: j.Stamp()}, {Key: jobs.FinalKey(ref)}},
			Writes: []state.Write{{Key: jobs.FinalKey(ref), Value: state.Encode(jobs.Final{Status: jobs.Cancelled})},
				{Drop: jobs.JobKey(ref)}},
		}, func(res state.Result, err error) {
			a.dooming--
			j.End(res, err)
			if err == nil && res.OK {
				a.log.Info("job cancelled with one that it needs", "job", ref)
			}
		})
	}
}
