package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/admission"
	"cherrywall/internal/books"
	"cherrywall/internal/claims"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/mirror"
	"cherrywall/internal/state"
)

// Reply is the answer to a user.
type Reply struct {
	Code   int
	Ref    string
	Status string
	Done   int
	Active int
	Error  string
}

func unavailable(why string) Reply { return Reply{Code: 503, Error: why} }

// submission is a job on its way in.
type submission struct {
	ref   string
	spec  *jobs.Spec
	bad   error       // what was wrong with the body: it counts only if the job is not known already
	under *state.Cond // accepted only if this holds
	prio  state.Priority
	reply chan<- Reply
	tries int
	// named is what was found of the jobs that it waits for: nil until that was asked.
	named map[string]depend.Fate
}

// Submit takes a job. bad is what was wrong with the body: it counts only if
// the job is not known already.
func (a *Actor) Submit(ref string, spec *jobs.Spec, bad error, reply chan Reply) {
	a.loop.Tell(func() { a.submit(submission{ref: ref, spec: spec, bad: bad, prio: state.Urgent, reply: reply}) })
}

// SubmitUnder takes a job for another record of the state service, as long as that has a
// stamp: 409 if it has not. Users' submissions go before it.
func (a *Actor) SubmitUnder(spec *jobs.Spec, under state.Cond, reply chan<- Reply) {
	a.loop.Tell(func() {
		a.submit(submission{ref: spec.Ref, spec: spec, under: &under, prio: state.Background, reply: reply})
	})
}

func (a *Actor) submit(q submission) {
	if !a.mirror.Synced() {
		q.reply <- unavailable("state not read yet")
		return
	}
	if _, over := a.mirror.Final(q.ref); q.bad == nil && a.books.Job(q.ref) == nil && !over {
		if len(q.spec.Awaits) > 0 && q.named == nil {
			a.resolve(q)
			return
		}
		known, err := judge(a, q.spec)
		if !known {
			q.reply <- unavailable("machine types, or the other controllers' versions, not known yet")
			return
		}
		if err == nil {
			a.accept(q)
			return
		}
		q.bad = err
	}
	a.find(q.ref, true, func(r Reply) {
		if r.Code == 404 {
			switch {
			case q.bad == nil && q.tries < 3:
				q.tries++
				a.submit(q)
				return
			case q.bad == nil:
				r = unavailable("busy")
			case errors.Is(q.bad, admission.ErrNever):
				r = Reply{Code: 422, Error: q.bad.Error()}
			default:
				r = Reply{Code: 400, Error: q.bad.Error()}
			}
		}
		q.reply <- r
	})
}

// judge is that, but in the tests' broken variant.
var judge = (*Actor).judge

// judge tells whether a job could ever run here and is within the limits of its class;
// known is false as long as nothing is known of machine types.
func (a *Actor) judge(spec *jobs.Spec) (known bool, err error) {
	if rec := (jobs.Record{Spec: *spec}); !a.claims.Storable(rec) {
		// Kept in parts, as soon as all controllers can read them.
		return a.gate.Open(), errors.New("body: too large to be kept")
	}
	if known, err = admission.Judge(spec, a.cfg.Team, a.types.All()); !known || err != nil {
		return known, err
	}
	set, _ := a.mirror.Settings()
	l := set.ClassLimits[spec.Class] // none: no limit of these
	switch tasks, runs := l.Beyond(spec); {
	case tasks:
		err = fmt.Errorf("%w: %d tasks, but class %s allows %d", admission.ErrNever, spec.Tasks, spec.Class, l.Tasks)
	case runs:
		err = fmt.Errorf("%w: an estimate of %g s, but class %s allows %g", admission.ErrNever, spec.EstimateS, spec.Class, l.RunS)
	}
	return true, err
}

func (a *Actor) accept(q submission) {
	spec := q.spec
	now := time.Now()
	rec := jobs.Record{Spec: *spec, AcceptedMS: now.UnixMilli(), By: a.cfg.Node,
		Free: []jobs.Span{{First: 0, N: spec.Tasks}}}
	rec.Awaits = slices.DeleteFunc(slices.Clone(spec.Awaits), func(ref string) bool { return q.named[ref] == depend.Done })
	t := state.Txn{If: []state.Cond{{Key: jobs.JobKey(q.ref)}, {Key: jobs.FinalKey(q.ref)}}}
	claimed := 0
	doomed := slices.ContainsFunc(rec.Awaits, func(ref string) bool { return q.named[ref] == depend.Cancelled })
	if len(rec.Awaits) == 0 {
		if s := a.decider.TakeAtOnce(&rec, a.untold); s != nil {
			claimed = spec.Tasks
			rec.Own, rec.Free = claims.Whole(s, spec.Tasks), []jobs.Span{}
			t.If = append(t.If, state.Cond{Key: jobs.SharePrefix + s.ID(), Stamp: s.Stamp()})
		}
	}
	if q.under != nil {
		t.If = append(t.If, *q.under)
	}
	status := jobs.Queued
	t.Writes = []state.Write{{Key: jobs.JobKey(q.ref), Value: state.Encode(rec)}}
	if doomed { // accepted, and over with the same write
		status = jobs.Cancelled
		t.Writes = []state.Write{{Key: jobs.FinalKey(q.ref), Value: state.Encode(jobs.Final{Status: status})}}
	}
	a.untold += claimed
	a.mirror.Txn(q.prio, t, func(res state.Result, err error) {
		a.untold -= claimed
		switch {
		case err != nil:
			a.log.Debug("submission not stored", "job", q.ref, "error", err)
			q.reply <- unavailable("state service")
		case res.OK:
			a.log.Info("job accepted", "job", q.ref, "class", spec.Class, "kind", spec.Kind, "tasks", spec.Tasks,
				"cpu", spec.CPU, "priority", spec.Urgency, "awaits", len(rec.Awaits), "status", status)
			q.reply <- Reply{Code: 201, Ref: q.ref, Status: status}
		case q.under != nil && slices.Contains(res.Failed, q.under.Key):
			q.reply <- Reply{Code: 409, Error: "what it is submitted for has changed"}
		default:
			a.find(q.ref, true, func(r Reply) {
				switch {
				case r.Code == 404 && claimed > 0 && q.tries < 3: // the share has changed hands
					q.tries++
					a.submit(q)
					return
				case r.Code == 404:
					r = unavailable("busy")
				}
				q.reply <- r
			})
		}
	})
}

// Peek is what is known here of some jobs, without asking the state service.
type Peek struct {
	Synced bool
	Shares map[string]uint64  // held here, with the stamps of their records
	Jobs   map[string]JobPeek // all that were asked for
}

// JobPeek is a job in a Peek; of one that is not known here nothing is set.
type JobPeek struct {
	Open         bool // known and not over
	Spec         jobs.Spec
	AcceptedMS   int64 // Unix ms
	Blamed       bool  // it fails on several machines where others work
	Done, Active int   // tasks
	Final        string
}

// Peek looks at jobs; ok is false if the actor has ended.
func (a *Actor) Peek(refs []string) (Peek, bool) {
	return loop.Ask(a.loop, func() Peek {
		p := Peek{Synced: a.mirror.Synced(), Shares: map[string]uint64{}, Jobs: map[string]JobPeek{}}
		if !p.Synced || !a.mirror.MayAnswer(time.Now()) {
			return p
		}
		for _, s := range a.holders.Mine() {
			if a.mirror.Knows(s) {
				p.Shares[s.ID()] = s.Stamp()
			}
		}
		for _, ref := range refs {
			var x JobPeek
			if j := a.books.Job(ref); j != nil && !j.Over() {
				x = JobPeek{Open: true, Spec: j.Rec().Spec, AcceptedMS: j.Rec().AcceptedMS, Blamed: a.faults.Blamed(ref) || a.others.Blamed(ref, time.Now())}
				x.Done, x.Active = j.Progress()
			} else if f, over := a.mirror.Final(ref); over {
				x = JobPeek{Final: f.Status, Done: f.Tasks}
			}
			p.Jobs[ref] = x
		}
		return p
	})
}

// Check tells whether a job could ever run here and is within the limits of its class;
// known is false as long as too little is known to say.
func (a *Actor) Check(spec *jobs.Spec) (known bool, err error) {
	type answer struct {
		known bool
		err   error
	}
	r, _ := loop.Ask(a.loop, func() (r answer) {
		if a.mirror.Synced() {
			r.known, r.err = a.judge(spec)
		}
		return r
	})
	return r.known, r.err
}

// Poll tells a job's state.
func (a *Actor) Poll(ref string, reply chan Reply) {
	a.loop.Tell(func() { a.find(ref, false, func(r Reply) { reply <- r }) })
}

// current waits until the mirror is current, but in the tests' broken variant.
var current = (*mirror.Mirror).Current

// find tells a job's state, never an older one than any controller has told:
// final states are for ever, any other is checked against the revision of the
// state service.
func (a *Actor) find(ref string, urgent bool, done func(Reply)) {
	if c := a.confirming[ref]; c != nil {
		c.waits = append(c.waits, func() { a.find(ref, urgent, done) })
		return
	}
	if final, ok := a.mirror.Final(ref); ok {
		done(finalReply(ref, final))
		return
	}
	if !a.mirror.Synced() {
		done(unavailable("state not read yet"))
		return
	}
	current(a.mirror, urgent, func(ok bool) {
		if !ok {
			done(unavailable("state service"))
			return
		}
		if a.confirming[ref] != nil { // since it was asked
			a.find(ref, urgent, done)
			return
		}
		if final, ok := a.mirror.Final(ref); ok {
			done(finalReply(ref, final))
			return
		}
		a.current(ref, done)
	})
}

// current tells a job's state when the mirror is current.
func (a *Actor) current(ref string, done func(Reply)) {
	j := a.books.Job(ref)
	if a.mirror.IsAside(jobs.JobKey(ref)) {
		// It was accepted, and what it says can't be followed: neither known nor unknown.
		done(unavailable("the job's record is set aside, see cherrywall doctor"))
		return
	}
	if j == nil || j.Over() {
		a.lookUp(ref, done)
		return
	}
	// Whether one that it needs was cancelled has to be known before it is called anything
	// else: that may have happened before this controller began to look.
	unsure := a.books.Depend().Unsure(ref)
	if len(unsure) == 0 {
		done(stand(j))
		return
	}
	a.fates(unsure, func(found map[string]depend.Fate, err error) {
		if err != nil || len(found) < len(unsure) { // one may have become known here since
			done(unavailable("state service"))
			return
		}
		done(a.now(ref))
	})
}

// now is what is known of a job without asking anybody.
func (a *Actor) now(ref string) Reply {
	if final, ok := a.mirror.Final(ref); ok {
		return finalReply(ref, final)
	}
	if j := a.books.Job(ref); j != nil && !j.Over() {
		return stand(j)
	}
	return unavailable("busy")
}

// lookUp asks for a final state that is not remembered. The mirror was
// current and held no such unfinished job: without a final state there was
// none at that moment.
func (a *Actor) lookUp(ref string, done func(Reply)) {
	a.mirror.LookUp(ref, func(final jobs.Final, found bool, err error) {
		switch {
		case err != nil:
			done(unavailable("state service"))
		case !found:
			done(Reply{Code: 404, Error: "no such job"})
		default:
			done(finalReply(ref, final))
		}
	})
}

func finalReply(ref string, f jobs.Final) Reply {
	return Reply{Code: 200, Ref: ref, Status: f.Status, Done: f.Tasks}
}

// stand is the reply that tells where an unfinished job stands.
func stand(j *books.Job) Reply {
	r := Reply{Code: 200, Ref: j.Ref(), Status: jobs.Queued}
	if j.Dead() { // it has never run, and can never; its own record follows
		r.Status = jobs.Cancelled
		return r
	}
	if r.Done, r.Active = j.Progress(); r.Active > 0 {
		r.Status = jobs.Running
	}
	return r
}

// Withdraw cancels a job: durable first, then answered.
func (a *Actor) Withdraw(ref string, reply chan Reply) {
	a.loop.Tell(func() { a.withdraw(ref, reply, 0) })
}

func (a *Actor) withdraw(ref string, reply chan Reply, tries int) {
	a.find(ref, true, func(r Reply) {
		j := a.books.Job(ref)
		if r.Code != 200 || r.Status == jobs.Done || r.Status == jobs.Cancelled || j == nil || j.Over() {
			reply <- r
			return
		}
		if tries > 6 {
			reply <- unavailable("busy")
			return
		}
		if j.Rec().Own != nil && !j.Rec().Sole {
			// Its end may be written to a pack.
			a.claims.Mark(j, func(err error) {
				if err != nil {
					reply <- unavailable("state service")
					return
				}
				a.withdraw(ref, reply, tries+1)
			})
			return
		}
		final := jobs.Final{Status: jobs.Cancelled, Tasks: stand(j).Done}
		a.mirror.Txn(state.Urgent, state.Txn{
			If: []state.Cond{{Key: jobs.JobKey(ref), Stamp: j.Stamp()}, {Key: jobs.FinalKey(ref)}},
			Writes: []state.Write{{Key: jobs.FinalKey(ref), Value: state.Encode(final)},
				{Drop: jobs.JobKey(ref)}},
		}, func(res state.Result, err error) {
			switch {
			case err != nil:
				reply <- unavailable("state service")
			case res.OK:
				a.log.Info("job cancelled", "job", ref)
				a.find(ref, true, func(r Reply) { reply <- r }) // once nothing of it starts any more
			default:
				a.withdraw(ref, reply, tries+1)
			}
		})
	})
}
