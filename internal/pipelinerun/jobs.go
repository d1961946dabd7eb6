package pipelinerun

import (
	"net/http"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tuning"
)

// observe returns what is known about a job's current attempt. It uses the state that this
// controller has cached, or else the controller's response to an earlier call. If neither exists and
// no call is in flight, observe reports that the controller has no such job.
func (l *Leader) observe(run *runState, job int, local controller.LocalState) pipelineexec.Observation {
	ref := run.jobRef(job)
	_, isCached := local.Jobs[ref]
	observation, isAnswered := run.observations[ref]
	if isCached || !isAnswered && !l.callsInFlight[ref] {
		if localObservation, isKnown := l.observeFromCache(run, job, ref, local); isKnown {
			delete(run.observations, ref)
			return localObservation
		}
	}
	if isAnswered {
		return observation
	}
	return pipelineexec.Observation{IsUnknown: !l.callsInFlight[ref]}
}

// observeFromCache returns what this controller has cached about a job's attempt. isKnown is false if
// nothing is cached, or if the cached job belongs to another user. A job that became active in the
// current step is not in the local state yet. It is looked up immediately, so that a new leader
// catches up in one tick instead of one tick for each stage.
func (l *Leader) observeFromCache(run *runState, job int, ref string, local controller.LocalState) (observation pipelineexec.Observation, isKnown bool) {
	localJob, isCached := local.Jobs[ref]
	if !isCached {
		current, _ := l.controller.LocalState([]string{ref})
		localJob = current.Jobs[ref]
		if local.Jobs != nil {
			local.Jobs[ref] = localJob
		}
	}
	observation = pipelineexec.Observation{
		IsUnfinished:     localJob.IsUnfinished,
		IsDone:           localJob.FinalStatus == jobs.Done,
		IsCancelled:      localJob.FinalStatus == jobs.Cancelled,
		IsFaulty:         localJob.IsFaulty,
		AcceptedAtMS:     localJob.AcceptedAtMS,
		DoneTaskCount:    localJob.DoneTasks,
		RunningTaskCount: localJob.ActiveTasks,
	}
	isKnown = observation.IsUnfinished || observation.IsDone || observation.IsCancelled
	return observation, isKnown && run.matchesSpec(job, localJob)
}

// findSubmittedJobs finds out which jobs of a cancelled run were submitted by an earlier leader.
// actions are the result of a step that ignored the cancellation: the jobs that the step would
// submit are the candidates, and the controller is polled for each of them. When all polls are
// answered, the jobs that were not submitted become waiting again, and the cancellation takes effect.
func (l *Leader) findSubmittedJobs(run *runState, actions []pipelineexec.Action) {
	hasUnansweredPoll := false
	for _, action := range actions {
		if !action.IsSubmission || run.unsubmittedJobs[action.Job] {
			continue // cancellations are left to the steps after this search, which return them again
		}
		hasUnansweredPoll = true
		ref := run.jobRef(action.Job)
		if !l.callsInFlight[ref] && len(l.callsInFlight) < tuning.MaxConcurrentRunRequests {
			l.pollSubmission(run, action.Job, ref)
		}
	}
	if hasUnansweredPoll {
		return
	}
	states := run.execution.JobStates
	for job := range states {
		if run.unsubmittedJobs[job] && states[job].Status == pipelineexec.Active {
			states[job].Status = pipelineexec.Waiting
		}
	}
	run.isFindingSubmitted, run.unsubmittedJobs, run.execution.CancelMode = false, nil, run.record.CancelMode
}

func (l *Leader) pollSubmission(run *runState, job int, ref string) {
	reply := make(chan controller.Response, 1)
	l.controller.Poll(ref, reply)
	l.awaitResponse(run, ref, reply, func(response controller.Response) {
		switch {
		case response.Code != http.StatusNotFound:
			run.applyResponse(ref, response)
		case run.isFindingSubmitted && run.jobRef(job) == ref:
			run.unsubmittedJobs[job] = true
		}
	})
}

// submitJob submits a job's current attempt, on the precondition that the run's record still has
// the revision that is known to this controller. Without this precondition a job could start after
// the run was cancelled, or be started by a former leader.
func (l *Leader) submitJob(run *runState, job int) {
	state := run.execution.JobStates[job]
	ref := run.jobRef(job)
	if l.callsInFlight[ref] {
		return
	}
	spec := run.execution.Plan.Jobs[job].Spec
	spec.Ref = ref
	reply := make(chan controller.Response, 1)
	l.controller.SubmitIf(&spec, run.recordUnchangedCondition(), reply)
	l.metrics.submissions.Inc()
	l.awaitResponse(run, ref, reply, func(response controller.Response) {
		if run.execution.JobStates[job] == state {
			l.handleSubmission(run, job, ref, response)
		}
	})
}

func (l *Leader) handleSubmission(run *runState, job int, ref string, response controller.Response) {
	switch response.Code {
	case http.StatusOK:
		l.verifySubmission(run, job, ref, response)
	case http.StatusCreated:
		run.applyResponse(ref, response)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		l.log.Info("job of a run rejected", "run", run.id, "pipeline_job", run.jobName(job), "job", ref, "error", response.Error)
		state := &run.execution.JobStates[job]
		state.Status, state.Cause = pipelineexec.Failed, pipelineexec.CauseRejected
	case http.StatusConflict:
		// The record has changed; the watch is about to deliver it.
		run.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay)
	}
}

// verifySubmission handles the response that a job with the attempt's id already exists. That job
// is the attempt itself if this leader submitted it in a call that was not answered, or if an
// earlier leader submitted it. If its spec differs, it is another user's job, and the attempt gets
// another id.
func (l *Leader) verifySubmission(run *runState, job int, ref string, response controller.Response) {
	local, ok := l.controller.LocalState([]string{ref})
	if localJob, isKnown := local.Jobs[ref]; ok && isKnown && !run.matchesSpec(job, localJob) {
		l.log.Info("job id taken by another job", "run", run.id, "pipeline_job", run.jobName(job), "job", ref)
		run.execution.JobStates[job].Salt++
		return
	}
	run.applyResponse(ref, response)
}

// cancelJob cancels a job's current attempt.
func (l *Leader) cancelJob(run *runState, job int) {
	ref := run.jobRef(job)
	if l.callsInFlight[ref] {
		return
	}
	reply := make(chan controller.Response, 1)
	l.controller.Cancel(ref, reply)
	l.awaitResponse(run, ref, reply, func(response controller.Response) {
		switch response.Code {
		case http.StatusNotFound: // the attempt was never submitted
			run.observations[ref] = pipelineexec.Observation{IsCancelled: true}
		case http.StatusOK:
			if response.Status == jobs.Done || response.Status == jobs.Cancelled {
				run.applyResponse(ref, response)
			}
		}
	})
}

// awaitResponse waits in a goroutine of its own for the controller's response to a call about an
// attempt. It passes the response to handle on the actor's goroutine, unless the run is no longer
// known or its execution has been discarded.
func (l *Leader) awaitResponse(run *runState, ref string, reply <-chan controller.Response, handle func(response controller.Response)) {
	l.callsInFlight[ref] = true
	go func() {
		var response controller.Response
		select {
		case response = <-reply:
		case <-l.mailbox.Context().Done():
			return
		}
		l.mailbox.Send(func() {
			delete(l.callsInFlight, ref)
			if response.Code == http.StatusServiceUnavailable {
				run.pausedUntil = time.Now().Add(tuning.MinRetryDelay)
			}
			if l.runs[run.id] == run && run.execution != nil {
				handle(response)
			}
		})
	}()
}
