package faultinjection

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// statusAccepted stands for all statuses of an accepted job that are not final.
const statusAccepted jobs.Status = "accepted"

// submit submits a job, with up to maxDependencies random dependencies.
func (r *FaultRun) submit(node string, kind jobs.Kind, tasks int, cpu float64, runTime time.Duration) {
	spec := fake.JobSpec(fmt.Sprintf("wk-%d", len(r.jobRefs)+1), kind, tasks, cpu)
	spec.Spot = kind == jobs.Array
	if len(r.jobRefs)%3 == 0 && cpu*float64(tasks) <= 4 {
		spec.Team = "capped"
	}
	if kind == jobs.Gang {
		spec.Urgency, spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = "high", 5, 1
	}
	if r.alterSpec != nil {
		r.alterSpec(&spec)
	}
	r.jobRefs = append(r.jobRefs, spec.Ref)
	r.taskCounts[spec.Ref] = spec.Tasks
	r.isGang[spec.Ref] = spec.Kind == jobs.Gang
	for range r.maxDependencies {
		ref := randomElement(r.rnd, r.jobRefs)
		if r.lastStatus[ref] != "" && !slices.Contains(spec.DependsOn, ref) {
			spec.DependsOn = append(spec.DependsOn, ref)
		}
	}
	r.longestRunTime = max(r.longestRunTime, runTime)
	r.checkSubmission(spec, r.Submit(node, spec, runTime))
}

// checkSubmission checks the response to a valid submission, and records what later checks expect of the job.
func (r *FaultRun) checkSubmission(spec jobs.Spec, response controller.Response) {
	switch response.Code {
	case http.StatusUnprocessableEntity, http.StatusNotFound, http.StatusBadRequest:
		r.reportViolation("forgotten: a submission of %s with dependencies %v was answered %+v", spec.Ref, spec.DependsOn, response)
	}
	for _, ref := range spec.DependsOn { // recorded even if the response is not valid, since the job may have been accepted
		r.dependents[ref] = append(r.dependents[ref], spec.Ref)
	}
	if response.Code != http.StatusOK && response.Code != http.StatusCreated {
		return
	}
	r.lastStatus[spec.Ref] = statusAccepted
	for _, ref := range spec.DependsOn {
		if r.lastStatus[ref] == jobs.Cancelled || !r.mustBeCancelledBy[ref].IsZero() {
			r.expectCancelled(spec.Ref)
		}
	}
}

// runTime converts a run time in seconds to a duration. If faults are combined, it makes some run times longer, so
// that tasks still run at the deadline of a cancellation or when a lease has expired.
func (r *FaultRun) runTime(seconds int) time.Duration {
	if r.CombineFaults && r.rnd.IntN(2) == 0 {
		seconds *= 1 + r.rnd.IntN(9)
	}
	return time.Duration(seconds) * time.Second
}

// poll polls a job and checks the response. description describes the poll in the text of a violation.
func (r *FaultRun) poll(node, ref, description string) controller.Response {
	response := r.Poll(node, ref)
	r.checkResponse(ref, description, response)
	return response
}

// cancel asks a controller to cancel a job and checks the response.
func (r *FaultRun) cancel(node, ref string) {
	r.isCancelRequested[ref] = true
	r.checkCancelResponse(ref, r.Cancel(node, ref))
}

// cancelAsync asks a controller to cancel a job without waiting for the response. awaitCancelResponses waits
// for it and checks it.
func (r *FaultRun) cancelAsync(node, ref string) {
	r.isCancelRequested[ref] = true
	r.pendingCancels.Go(func() {
		response := r.Cancel(node, ref)
		if response.Code != http.StatusOK {
			return
		}
		if response.Status == jobs.Cancelled {
			r.recordConfirmedCancellation(ref)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pendingChecks = append(r.pendingChecks, func() { r.checkCancelResponse(ref, response) })
	})
}

// awaitCancelResponses waits for the responses to cancelAsync and checks them.
func (r *FaultRun) awaitCancelResponses() {
	r.pendingCancels.Wait()
	for _, check := range r.pendingChecks {
		check()
	}
	r.pendingChecks = nil
}

// expectCancelled records that a job and all jobs that depend on it must be reported cancelled once the cancel
// timeout is over.
func (r *FaultRun) expectCancelled(ref string) {
	if !r.mustBeCancelledBy[ref].IsZero() {
		return
	}
	r.mustBeCancelledBy[ref] = time.Now().Add(r.cancelTimeout())
	for _, dependent := range r.dependents[ref] {
		r.expectCancelled(dependent)
	}
}

// isCancellationExpected reports whether a user asked to cancel a job or one that it depends on.
func (r *FaultRun) isCancellationExpected(ref string) bool {
	if r.isCancelRequested[ref] {
		return true
	}
	for dependency, dependents := range r.dependents {
		if slices.Contains(dependents, ref) && r.isCancellationExpected(dependency) {
			return true
		}
	}
	return false
}

// waitsForDependency reports whether a job depends on one that is not done.
func (r *FaultRun) waitsForDependency(ref string) bool {
	for dependency, dependents := range r.dependents {
		if slices.Contains(dependents, ref) && !r.IsComplete(dependency) {
			return true
		}
	}
	return false
}
