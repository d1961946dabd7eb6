package controller

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admission"
	"cherrywall/internal/claims"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/statecache"
)

// Response is the answer to a user.
type Response struct {
	Code        int
	Ref         string
	Status      string
	DoneTasks   int
	ActiveTasks int
	Error       string
}

func unavailable(why string) Response { return Response{Code: 503, Error: why} }

// submission is a job on its way in.
type submission struct {
	ref          string
	spec         *jobs.Spec
	invalid      error              // what was wrong with the body: it counts only if the job is not known already
	precondition *kvstore.Condition // accepted only if this holds
	priority     kvstore.Priority
	reply        chan<- Response
	attempts     int
	// dependencies is what was found of the jobs that it waits for: nil until that was asked.
	dependencies map[string]jobdag.FinalState
}

// Submit takes a job. bad is what was wrong with the body: it counts only if
// the job is not known already.
func (a *Controller) Submit(ref string, spec *jobs.Spec, bad error, reply chan Response) {
	a.mailbox.Send(func() {
		a.submit(submission{ref: ref, spec: spec, invalid: bad, priority: kvstore.Urgent, reply: reply})
	})
}

// SubmitIf takes a job for another record of the state service, as long as that has a
// stamp: 409 if it has not. Users' submissions go before it.
func (a *Controller) SubmitIf(spec *jobs.Spec, under kvstore.Condition, reply chan<- Response) {
	a.mailbox.Send(func() {
		a.submit(submission{ref: spec.Ref, spec: spec, precondition: &under, priority: kvstore.Background, reply: reply})
	})
}

func (a *Controller) submit(sub submission) {
	if !a.cache.Synced() {
		sub.reply <- unavailable("state not read yet")
		return
	}
	if _, over := a.cache.Final(sub.ref); sub.invalid == nil && a.state.Job(sub.ref) == nil && !over {
		if len(sub.spec.DependsOn) > 0 && sub.dependencies == nil {
			a.resolveDependencies(sub)
			return
		}
		known, err := validateJob(a, sub.spec)
		if !known {
			sub.reply <- unavailable("machine types, or the other controllers' versions, not known yet")
			return
		}
		if err == nil {
			a.acceptJob(sub)
			return
		}
		sub.invalid = err
	}
	a.findJob(sub.ref, true, func(response Response) {
		if response.Code == 404 {
			switch {
			case sub.invalid == nil && sub.attempts < 3:
				sub.attempts++
				a.submit(sub)
				return
			case sub.invalid == nil:
				response = unavailable("busy")
			case errors.Is(sub.invalid, admission.ErrUnsatisfiable):
				response = Response{Code: 422, Error: sub.invalid.Error()}
			default:
				response = Response{Code: 400, Error: sub.invalid.Error()}
			}
		}
		sub.reply <- response
	})
}

// validateJob is that, but in the tests' broken variant.
var validateJob = (*Controller).validate

// validate tells whether a job could ever run here and is within the limits of its class;
// known is false as long as nothing is known of machine types.
func (a *Controller) validate(spec *jobs.Spec) (known bool, err error) {
	if rec := (jobs.JobRecord{Spec: *spec}); !a.claims.FitsStore(rec) {
		// Kept in parts, as soon as all controllers can read them.
		return a.gate.IsOpen(), errors.New("body: too large to be kept")
	}
	if known, err = admission.Check(spec, a.cfg.Team, a.machineTypes.All()); !known || err != nil {
		return known, err
	}
	set, _ := a.cache.Settings()
	l := set.ClassLimits[spec.Class] // none: no limit of these
	switch {
	case l.ExceededByTasks(spec):
		err = fmt.Errorf("%w: %d tasks, but class %s allows %d", admission.ErrUnsatisfiable, spec.Tasks, spec.Class, l.MaxTasks)
	case l.ExceededByRunTime(spec):
		err = fmt.Errorf("%w: an estimate of %g s, but class %s allows %g", admission.ErrUnsatisfiable, spec.EstimatedRunSeconds, spec.Class, l.MaxRunSeconds)
	}
	return true, err
}

func (a *Controller) acceptJob(sub submission) {
	spec := sub.spec
	now := time.Now()
	rec := jobs.JobRecord{Spec: *spec, AcceptedAtMS: now.UnixMilli(), AcceptedBy: a.cfg.Node,
		Unclaimed: []jobs.TaskInterval{{First: 0, Count: spec.Tasks}}}
	rec.DependsOn = slices.DeleteFunc(slices.Clone(spec.DependsOn), func(ref string) bool { return sub.dependencies[ref] == jobdag.Done })
	t := kvstore.Txn{Conditions: []kvstore.Condition{{Key: jobs.JobKey(sub.ref)}, {Key: jobs.FinalKey(sub.ref)}}}
	claimed := 0
	doomed := slices.ContainsFunc(rec.DependsOn, func(ref string) bool { return sub.dependencies[ref] == jobdag.Cancelled })
	if len(rec.DependsOn) == 0 {
		if shard := a.scheduler.ShardForImmediateClaim(&rec, a.unstoredClaims); shard != nil {
			claimed = spec.Tasks
			rec.WholeClaim, rec.Unclaimed = claims.NewWholeJobClaim(shard, spec.Tasks), []jobs.TaskInterval{}
			t.Conditions = append(t.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + shard.ID(), Revision: shard.Epoch()})
		}
	}
	if sub.precondition != nil {
		t.Conditions = append(t.Conditions, *sub.precondition)
	}
	status := jobs.Queued
	t.Writes = []kvstore.Write{{Key: jobs.JobKey(sub.ref), Value: kvstore.Encode(rec)}}
	if doomed { // accepted, and over with the same write
		status = jobs.Cancelled
		t.Writes = []kvstore.Write{{Key: jobs.FinalKey(sub.ref), Value: kvstore.Encode(jobs.FinalState{Status: status})}}
	}
	a.unstoredClaims += claimed
	a.cache.Commit(sub.priority, t, func(res kvstore.TxnResult, err error) {
		a.unstoredClaims -= claimed
		switch {
		case err != nil:
			a.log.Debug("submission not stored", "job", sub.ref, "error", err)
			sub.reply <- unavailable("state service")
		case res.Succeeded:
			a.log.Info("job accepted", "job", sub.ref, "class", spec.Class, "kind", spec.Kind, "tasks", spec.Tasks,
				"cpu", spec.CPU, "priority", spec.Urgency, "awaits", len(rec.DependsOn), "status", status)
			sub.reply <- Response{Code: 201, Ref: sub.ref, Status: status}
		case sub.precondition != nil && slices.Contains(res.FailedKeys, sub.precondition.Key):
			sub.reply <- Response{Code: 409, Error: "what it is submitted for has changed"}
		default:
			a.findJob(sub.ref, true, func(response Response) {
				switch {
				case response.Code == 404 && claimed > 0 && sub.attempts < 3: // the share has changed hands
					sub.attempts++
					a.submit(sub)
					return
				case response.Code == 404:
					response = unavailable("busy")
				}
				sub.reply <- response
			})
		}
	})
}

// LocalState is what is known here of some jobs, without asking the state service.
type LocalState struct {
	Synced bool
	Shards map[string]uint64   // held here, with the stamps of their records
	Jobs   map[string]LocalJob // all that were asked for
}

// LocalJob is a job in a Peek; of one that is not known here nothing is set.
type LocalJob struct {
	IsUnfinished           bool // known and not over
	Spec                   jobs.Spec
	AcceptedMS             int64 // Unix ms
	IsFaulty               bool  // it fails on several machines where others work
	DoneTasks, ActiveTasks int   // tasks
	FinalStatus            string
}

// LocalState looks at jobs; ok is false if the actor has ended.
func (a *Controller) LocalState(refs []string) (LocalState, bool) {
	return actor.Ask(a.mailbox, func() LocalState {
		p := LocalState{Synced: a.cache.Synced(), Shards: map[string]uint64{}, Jobs: map[string]LocalJob{}}
		if !p.Synced || !a.cache.MayRenewWorkerLeases(time.Now()) {
			return p
		}
		for _, shard := range a.members.LocalShards() {
			if a.cache.HasReachedEpoch(shard) {
				p.Shards[shard.ID()] = shard.Epoch()
			}
		}
		for _, ref := range refs {
			var x LocalJob
			if job := a.state.Job(ref); job != nil && !job.HasEnded() {
				x = LocalJob{IsUnfinished: true, Spec: job.Record().Spec, AcceptedMS: job.Record().AcceptedAtMS, IsFaulty: a.faults.IsJobFaulty(ref) || a.peers.IsFaultyJob(ref, time.Now())}
				x.DoneTasks, x.ActiveTasks = job.Progress()
			} else if f, over := a.cache.Final(ref); over {
				x = LocalJob{FinalStatus: f.Status, DoneTasks: f.Tasks}
			}
			p.Jobs[ref] = x
		}
		return p
	})
}

// Check tells whether a job could ever run here and is within the limits of its class;
// known is false as long as too little is known to say.
func (a *Controller) Check(spec *jobs.Spec) (known bool, err error) {
	type answer struct {
		known bool
		err   error
	}
	r, _ := actor.Ask(a.mailbox, func() (r answer) {
		if a.cache.Synced() {
			r.known, r.err = a.validate(spec)
		}
		return r
	})
	return r.known, r.err
}

// Poll tells a job's state.
func (a *Controller) Poll(ref string, reply chan Response) {
	a.mailbox.Send(func() { a.findJob(ref, false, func(response Response) { reply <- response }) })
}

// waitUntilCurrent waits until the mirror is current, but in the tests' broken variant.
var waitUntilCurrent = (*statecache.Cache).ReadBarrier

// findJob tells a job's state, never an older one than any controller has told:
// final states are for ever, any other is checked against the revision of the
// state service.
func (a *Controller) findJob(ref string, urgent bool, done func(Response)) {
	if pending := a.unconfirmed[ref]; pending != nil {
		pending.waiters = append(pending.waiters, func() { a.findJob(ref, urgent, done) })
		return
	}
	if final, ok := a.cache.Final(ref); ok {
		done(finalResponse(ref, final))
		return
	}
	if !a.cache.Synced() {
		done(unavailable("state not read yet"))
		return
	}
	waitUntilCurrent(a.cache, urgent, func(ok bool) {
		if !ok {
			done(unavailable("state service"))
			return
		}
		if a.unconfirmed[ref] != nil { // since it was asked
			a.findJob(ref, urgent, done)
			return
		}
		if final, ok := a.cache.Final(ref); ok {
			done(finalResponse(ref, final))
			return
		}
		a.currentStatus(ref, done)
	})
}

// currentStatus tells a job's state when the mirror is current.
func (a *Controller) currentStatus(ref string, done func(Response)) {
	job := a.state.Job(ref)
	if a.cache.IsQuarantined(jobs.JobKey(ref)) {
		// It was accepted, and what it says can't be followed: neither known nor unknown.
		done(unavailable("the job's record is set aside, see cherrywall doctor"))
		return
	}
	if job == nil || job.HasEnded() {
		a.lookUpFinal(ref, done)
		return
	}
	// Whether one that it needs was cancelled has to be known before it is called anything
	// else: that may have happened before this controller began to look.
	unsure := a.state.Dependencies().UnknownAncestors(ref)
	if len(unsure) == 0 {
		done(unfinishedResponse(job))
		return
	}
	a.fetchFates(unsure, func(found map[string]jobdag.FinalState, err error) {
		if err != nil || len(found) < len(unsure) { // one may have become known here since
			done(unavailable("state service"))
			return
		}
		done(a.knownStatus(ref))
	})
}

// knownStatus is what is known of a job without asking anybody.
func (a *Controller) knownStatus(ref string) Response {
	if final, ok := a.cache.Final(ref); ok {
		return finalResponse(ref, final)
	}
	if job := a.state.Job(ref); job != nil && !job.HasEnded() {
		return unfinishedResponse(job)
	}
	return unavailable("busy")
}

// lookUpFinal asks for a final state that is not remembered. The mirror was
// current and held no such unfinished job: without a final state there was
// none at that moment.
func (a *Controller) lookUpFinal(ref string, done func(Response)) {
	a.cache.LookUpFinal(ref, func(final jobs.FinalState, found bool, err error) {
		switch {
		case err != nil:
			done(unavailable("state service"))
		case !found:
			done(Response{Code: 404, Error: "no such job"})
		default:
			done(finalResponse(ref, final))
		}
	})
}

func finalResponse(ref string, f jobs.FinalState) Response {
	return Response{Code: 200, Ref: ref, Status: f.Status, DoneTasks: f.Tasks}
}

// unfinishedResponse is the reply that tells where an unfinished job stands.
func unfinishedResponse(job *clusterstate.Job) Response {
	response := Response{Code: 200, Ref: job.Ref(), Status: jobs.Queued}
	if job.IsCancelledByDependency() { // it has never run, and can never; its own record follows
		response.Status = jobs.Cancelled
		return response
	}
	if response.DoneTasks, response.ActiveTasks = job.Progress(); response.ActiveTasks > 0 {
		response.Status = jobs.Running
	}
	return response
}

// Cancel cancels a job: durable first, then answered.
func (a *Controller) Cancel(ref string, reply chan Response) {
	a.mailbox.Send(func() { a.cancelJob(ref, reply, 0) })
}

func (a *Controller) cancelJob(ref string, reply chan Response, tries int) {
	a.findJob(ref, true, func(response Response) {
		job := a.state.Job(ref)
		if response.Code != 200 || response.Status == jobs.Done || response.Status == jobs.Cancelled || job == nil || job.HasEnded() {
			reply <- response
			return
		}
		if tries > 6 {
			reply <- unavailable("busy")
			return
		}
		if job.Record().WholeClaim != nil && !job.Record().ExcludedFromBatches {
			// Its end may be written to a pack.
			a.claims.ExcludeFromBatches(job, func(err error) {
				if err != nil {
					reply <- unavailable("state service")
					return
				}
				a.cancelJob(ref, reply, tries+1)
			})
			return
		}
		final := jobs.FinalState{Status: jobs.Cancelled, Tasks: unfinishedResponse(job).DoneTasks}
		a.cache.Commit(kvstore.Urgent, kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: jobs.JobKey(ref), Revision: job.Revision()}, {Key: jobs.FinalKey(ref)}},
			Writes: []kvstore.Write{{Key: jobs.FinalKey(ref), Value: kvstore.Encode(final)},
				{DeleteKey: jobs.JobKey(ref)}},
		}, func(res kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply <- unavailable("state service")
			case res.Succeeded:
				a.log.Info("job cancelled", "job", ref)
				a.findJob(ref, true, func(response Response) { reply <- response }) // once nothing of it starts any more
			default:
				a.cancelJob(ref, reply, tries+1)
			}
		})
	})
}
