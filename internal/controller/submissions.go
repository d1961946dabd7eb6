package controller

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admission"
	"cherrywall/internal/claims"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// maxSubmitRetries is how often a submission is retried because the cluster changed between the
// decision and the transaction. After that the request is answered with 503, and the client may retry it.
const maxSubmitRetries = 3

// errRecordTooLarge is the reason for rejecting a job whose record does not fit into the key-value
// store.
var errRecordTooLarge = errors.New("body: too large to be stored")

// submission is a job that is being submitted.
type submission struct {
	ref  string
	spec *jobs.Spec
	// validationErr says why the request is invalid; nil if it is valid. The response contains the error
	// only if the job is unknown: a repeated submission of a known job is answered with the job's status,
	// whatever the content of the request.
	validationErr error
	// precondition has to hold for the job to be accepted; nil if there is none.
	precondition *kvstore.Condition
	priority     kvstore.Priority
	reply        chan<- Response
	retries      int // number of retries so far, at most maxSubmitRetries
	// dependencies are the states of the jobs on which this one depends, by job; nil until they have been
	// looked up.
	dependencies map[string]jobdag.FinalState
}

// Submit accepts a job. validationErr says why the request is invalid, nil if it is valid; it is ignored
// if the job is already known. The answer is sent to reply, which must have room for it.
func (c *Controller) Submit(ref string, spec *jobs.Spec, validationErr error, reply chan Response) {
	c.mailbox.Send(func() {
		c.submit(submission{ref: ref, spec: spec, validationErr: validationErr, priority: kvstore.Urgent, reply: reply})
	})
}

// SubmitIf accepts a job if a condition on another record of the key-value store holds. The condition is
// checked in the transaction that stores the job. If it does not hold, the answer has the code 409. If this
// controller already knows the job, the answer is the job's status, whether or not the condition holds.
// Submissions of users have priority over this one. The answer is sent to reply, which must have room
// for it.
func (c *Controller) SubmitIf(spec *jobs.Spec, condition kvstore.Condition, reply chan<- Response) {
	c.mailbox.Send(func() {
		c.submit(submission{ref: spec.Ref, spec: spec, precondition: &condition, priority: kvstore.Background, reply: reply})
	})
}

// submit validates a submission and accepts its job. If the job is already known, submit answers with
// the job's status; if the submission is invalid, it answers with the error.
func (c *Controller) submit(sub submission) {
	if !c.cache.Synced() {
		sub.reply <- unavailable(reasonNotSynced)
		return
	}
	_, hasEnded := c.cache.CachedFinalState(sub.ref)
	isKnown := hasEnded || c.state.Job(sub.ref) != nil
	if sub.validationErr == nil && !isKnown {
		if len(sub.spec.DependsOn) > 0 && sub.dependencies == nil {
			c.resolveDependencies(sub)
			return
		}
		decision := validateJob(c, sub.spec)
		switch decision.Verdict {
		case admission.Undecided:
			sub.reply <- unavailable("machine types or versions of the other controllers not known yet")
			return
		case admission.Admitted:
			c.acceptJob(sub)
			return
		case admission.Rejected:
			sub.validationErr = decision.Err
		}
	}
	c.answerSubmission(sub)
}

// answerSubmission answers a submission with the status of the job if the job is known, else with the
// error that says why the request is invalid. A valid submission of an unknown job is retried.
func (c *Controller) answerSubmission(sub submission) {
	c.findJob(sub.ref, true, func(response Response) {
		if response.Code != http.StatusNotFound {
			sub.reply <- response
			return
		}
		switch {
		case sub.validationErr == nil && sub.retries < maxSubmitRetries:
			sub.retries++
			c.submit(sub)
		case sub.validationErr == nil:
			sub.reply <- unavailable(reasonBusy)
		case errors.Is(sub.validationErr, admission.ErrUnsatisfiable):
			sub.reply <- Response{Code: http.StatusUnprocessableEntity, Error: sub.validationErr.Error()}
		default:
			sub.reply <- Response{Code: http.StatusBadRequest, Error: sub.validationErr.Error()}
		}
	})
}

// validateJob is (*Controller).validate. It is a variable so that tests of the invariant checker can
// replace it.
var validateJob = (*Controller).validate

// validate rejects a job that can never run in this cluster or exceeds the limits of its class. The
// verdict is undecided as long as the machine types or the versions of the peers are not known.
func (c *Controller) validate(spec *jobs.Spec) admission.Decision {
	if record := (jobs.JobRecord{Spec: *spec}); !c.claims.FitsStore(record) {
		// Such a record is stored in chunks once all controllers can read chunks.
		if !c.featureGate.IsOpen(featuregate.Dependencies) {
			return admission.Decision{Verdict: admission.Undecided}
		}
		return admission.Decide(errRecordTooLarge)
	}
	if decision := admission.Check(spec, c.cfg.Team, c.machineTypes.All()); decision.Verdict != admission.Admitted {
		return decision
	}
	return admission.Decide(c.checkClassLimit(spec))
}

// checkClassLimit returns an error if a job exceeds the limits that the operators have set for its class.
func (c *Controller) checkClassLimit(spec *jobs.Spec) error {
	settings, _ := c.cache.Settings()
	limit := settings.ClassLimits[spec.Class] // the zero value sets no limit
	switch {
	case limit.ExceededByTasks(spec):
		return fmt.Errorf("%w: %d tasks, but class %s allows %d", admission.ErrUnsatisfiable, spec.Tasks, spec.Class, limit.MaxTasks)
	case limit.ExceededByRunTime(spec):
		return fmt.Errorf("%w: an estimate of %g s, but class %s allows %g", admission.ErrUnsatisfiable, spec.EstimatedRunSeconds, spec.Class, limit.MaxRunSeconds)
	}
	return nil
}

// Check validates a job without submitting it: it rejects a job that can never run in this cluster or
// exceeds the limits of its class. The verdict is undecided as long as the records, the machine types or the
// versions of the peers are not known, and if the controller has ended.
func (c *Controller) Check(spec *jobs.Spec) admission.Decision {
	decision, _ := actor.Ask(c.mailbox, func() admission.Decision {
		if !c.cache.Synced() {
			return admission.Decision{Verdict: admission.Undecided}
		}
		return c.validate(spec)
	})
	return decision
}

// acceptance is a new job with the transaction that accepts it.
type acceptance struct {
	record       jobs.JobRecord
	txn          kvstore.Txn
	status       jobs.Status // status of the job once the transaction has succeeded
	claimedTasks int         // number of tasks that the transaction claims for a shard of this controller
}

// acceptJob stores a valid new job and answers its submission.
func (c *Controller) acceptJob(sub submission) {
	newJob := c.newAcceptance(sub)
	c.inFlightClaimedTasks += newJob.claimedTasks
	c.cache.Commit(sub.priority, newJob.txn, func(result kvstore.TxnResult, err error) {
		c.inFlightClaimedTasks -= newJob.claimedTasks
		switch {
		case err != nil:
			c.log.Debug("submission not stored", "job", sub.ref, "error", err)
			sub.reply <- unavailable(reasonStoreUnavailable)
		case result.Succeeded:
			spec := sub.spec
			c.log.Info("job accepted", "job", sub.ref, "class", spec.Class, "kind", spec.Kind, "tasks", spec.Tasks,
				"cpu", spec.CPU, "priority", spec.Urgency, "dependencies", len(newJob.record.DependsOn), "status", newJob.status)
			sub.reply <- Response{Code: http.StatusCreated, Ref: sub.ref, Status: newJob.status}
		case sub.precondition != nil && slices.Contains(result.FailedKeys, sub.precondition.Key):
			sub.reply <- Response{Code: http.StatusConflict, Error: "the record that the submission depends on has changed"}
		default:
			c.handleAcceptanceConflict(sub, newJob)
		}
	})
}

// newAcceptance returns the transaction that accepts a job. Its preconditions are that the job has
// neither a record nor a final state. The same transaction claims the tasks of a small job, which saves
// the writes of a separate claim. A job that depends on a cancelled one is stored as cancelled.
func (c *Controller) newAcceptance(sub submission) acceptance {
	spec := sub.spec
	newJob := acceptance{status: jobs.Queued}
	newJob.record = jobs.JobRecord{
		Spec:         *spec,
		AcceptedAtMS: time.Now().UnixMilli(),
		AcceptedBy:   c.cfg.Node,
		Unclaimed:    []jobs.TaskInterval{{First: 0, Count: spec.Tasks}},
	}
	isDone := func(ref string) bool { return sub.dependencies[ref] == jobdag.Done }
	isCancelled := func(ref string) bool { return sub.dependencies[ref] == jobdag.Cancelled }
	newJob.record.DependsOn = slices.DeleteFunc(slices.Clone(spec.DependsOn), isDone)
	newJob.txn.Conditions = []kvstore.Condition{{Key: jobs.JobKey(sub.ref)}, {Key: jobs.FinalKey(sub.ref)}}
	if len(newJob.record.DependsOn) == 0 {
		c.claimImmediately(&newJob)
	}
	if sub.precondition != nil {
		newJob.txn.Conditions = append(newJob.txn.Conditions, *sub.precondition)
	}
	if slices.ContainsFunc(newJob.record.DependsOn, isCancelled) {
		newJob.status = jobs.Cancelled
		newJob.txn.Writes = []kvstore.Write{{Key: jobs.FinalKey(sub.ref), Value: kvstore.MustEncode(jobs.FinalState{Status: jobs.Cancelled})}}
		return newJob
	}
	newJob.txn.Writes = []kvstore.Write{{Key: jobs.JobKey(sub.ref), Value: kvstore.MustEncode(newJob.record)}}
	return newJob
}

// claimImmediately adds a claim of all tasks of a small job to the job's acceptance. The claim is for a
// shard of this controller whose machines have room for the tasks, on the precondition that this
// controller still owns the shard. claimImmediately changes nothing if there is no such shard.
func (c *Controller) claimImmediately(newJob *acceptance) {
	shard := c.scheduler.ShardForImmediateClaim(&newJob.record, c.inFlightClaimedTasks)
	if shard == nil {
		return
	}
	newJob.claimedTasks = newJob.record.Tasks
	newJob.record.WholeClaim = claims.NewWholeJobClaim(shard, newJob.record.Tasks)
	newJob.record.Unclaimed = []jobs.TaskInterval{}
	newJob.txn.Conditions = append(newJob.txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + shard.ID(), Revision: shard.Epoch()})
}

// handleAcceptanceConflict handles a submission whose transaction failed because a precondition did not
// hold. If another submission has stored the job, the answer is the job's status. If the shard that was to
// run the job has a new owner, the submission is retried, at most maxSubmitRetries times.
func (c *Controller) handleAcceptanceConflict(sub submission, newJob acceptance) {
	c.findJob(sub.ref, true, func(response Response) {
		switch {
		case response.Code == http.StatusNotFound && newJob.claimedTasks > 0 && sub.retries < maxSubmitRetries:
			sub.retries++
			c.submit(sub)
		case response.Code == http.StatusNotFound:
			sub.reply <- unavailable(reasonBusy)
		default:
			sub.reply <- response
		}
	})
}
