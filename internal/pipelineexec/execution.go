// Package pipelineexec decides how a run of a pipeline file proceeds. Its decisions are a deterministic
// function of the run's plan, the states of its jobs, and the observations of these jobs. The package
// performs no actions itself.
package pipelineexec

import (
	"slices"

	"cherrywall/internal/pipeline"
)

// Execution is the state of a run in memory. It is not safe for concurrent use.
type Execution struct {
	Plan       *pipeline.Plan
	JobStates  []JobState // in the order of the plan's jobs
	CancelMode CancelMode
}

// Observation is what the controller knows about the current attempt of a job. The zero value means that
// nothing is known yet: a response is still pending.
type Observation struct {
	IsUnknown        bool // according to the latest information, the controller does not have the job
	IsUnfinished     bool // the controller has the job, and the job has not ended
	IsDone           bool
	IsCancelled      bool
	IsFaulty         bool  // the job fails on several machines on which other jobs succeed
	AcceptedAtMS     int64 // Unix ms
	DoneTaskCount    int
	RunningTaskCount int
}

// ObserveFunc returns the observation of the current attempt of a job, which is given by its index in the plan.
type ObserveFunc func(job int) Observation

// Action is a submission or cancellation of a job's current attempt. Step has also changed the job states.
// Before an action is performed, those changes that another controller could not determine by itself must be
// recorded. Otherwise a controller that continues the run might decide differently.
type Action struct {
	Job           int  // index in the plan
	IsSubmission  bool // true for a submission, false for a cancellation
	RequiresGroup bool // the job may be submitted only while it owns its resource group
}

// Step advances the run as far as the observations allow, and returns the actions that are due. An action
// is returned again by each call until the observations show its effect. Step is deterministic: a
// controller that continues the run from the same record with the same observations reaches the same
// states.
func (e *Execution) Step(nowMS int64, observe ObserveFunc) []Action {
	for {
		var actions []Action
		before := slices.Clone(e.JobStates)
		for job := range e.JobStates {
			if action, isDue := e.stepJob(job, nowMS, observe); isDue {
				actions = append(actions, action)
			}
		}
		if slices.Equal(before, e.JobStates) {
			return actions
		}
	}
}

// stepJob advances one job. isDue reports whether an action is due.
func (e *Execution) stepJob(job int, nowMS int64, observe ObserveFunc) (action Action, isDue bool) {
	switch e.JobStates[job].Status {
	case Active:
		return e.stepActive(job, nowMS, observe(job))
	case Stopping:
		return e.stepStopping(job, observe(job))
	case Waiting:
		e.stepWaiting(job, nowMS)
	case Manual:
		e.stepManualOrDelayed(job, e.JobStates[job].ManuallyStarted)
	case Delayed:
		e.stepManualOrDelayed(job, nowMS >= e.JobStates[job].DelayedUntilMS)
	}
	return Action{}, false
}

// stepActive advances a job that was submitted or has to be submitted.
func (e *Execution) stepActive(index int, nowMS int64, observed Observation) (action Action, isDue bool) {
	state, job := &e.JobStates[index], &e.Plan.Jobs[index]
	switch {
	case observed.IsDone:
		state.Status, state.Cause = Succeeded, ""
	case observed.IsCancelled:
		state.Status, state.Cause = Failed, CauseJobCancelled
	case e.cancelsInProgress(job):
		state.Status, state.Cause = Stopping, CauseRunCancelled
	case observed.IsUnfinished && observed.IsFaulty:
		state.Status, state.Cause = Stopping, pipeline.CauseScriptFailure
	case observed.IsUnfinished && hasTimedOut(job, nowMS-observed.AcceptedAtMS):
		state.Status, state.Cause = Stopping, pipeline.CauseTimeout
	case observed.IsUnknown && !observed.IsUnfinished:
		return Action{Job: index, IsSubmission: true, RequiresGroup: job.ResourceGroup != ""}, true
	}
	return Action{}, false
}

// cancelsInProgress reports whether the run is cancelled in a mode that does not let a job in progress
// finish.
func (e *Execution) cancelsInProgress(job *pipeline.Job) bool {
	return e.CancelMode == CancelNow || e.CancelMode == CancelDrain && job.Interruptible
}

func hasTimedOut(job *pipeline.Job, elapsedMS int64) bool {
	return job.TimeoutSeconds > 0 && float64(elapsedMS) > job.TimeoutSeconds*1000
}

// stepStopping advances a job that is being cancelled.
func (e *Execution) stepStopping(index int, observed Observation) (action Action, isDue bool) {
	state, job := &e.JobStates[index], &e.Plan.Jobs[index]
	switch {
	case observed.IsDone: // the job completed before the cancellation took effect
		state.Status, state.Cause = Succeeded, ""
	case !observed.IsCancelled: // once cancelled, a job that was never submitted is observed as cancelled, too
		return Action{Job: index}, true
	case state.Cause == CauseRunCancelled || e.CancelMode != NotCancelled:
		state.Status, state.Cause = Cancelled, CauseRunCancelled
	case state.Attempt < job.Retries && slices.Contains(job.RetryOn, state.Cause):
		*state = JobState{Status: Active, Attempt: state.Attempt + 1, ManuallyStarted: state.ManuallyStarted}
	default:
		state.Status = Failed
	}
	return Action{}, false
}

// stepManualOrDelayed starts a job with the status Manual or Delayed if mayStart is true and the run is not
// cancelled.
func (e *Execution) stepManualOrDelayed(job int, mayStart bool) {
	if !e.cancelUnstarted(job) && mayStart {
		e.JobStates[job].Status = Active
	}
}

// stepWaiting starts, delays or skips a job whose dependencies have ended, or lets it wait for a user.
func (e *Execution) stepWaiting(index int, nowMS int64) {
	if e.cancelUnstarted(index) {
		return
	}
	state, job := &e.JobStates[index], &e.Plan.Jobs[index]
	dependencies := e.summarizeDependencies(job)
	switch {
	case dependencies.hasUnfinished:
	case job.When == pipeline.Always:
		state.Status = Active
	case job.When == pipeline.OnFailure:
		state.Status = Skipped
		if dependencies.hasFailed {
			state.Status = Active
		}
	case dependencies.hasFailed || dependencies.hasMissing:
		state.Status = Skipped
	case job.When == pipeline.Manual:
		state.Status = Manual
	case job.When == pipeline.Delayed:
		state.Status, state.DelayedUntilMS = Delayed, nowMS+int64(job.StartInSeconds*1000)
	default:
		state.Status = Active
	}
}

// cancelUnstarted cancels a job that was not submitted if the run is cancelled. It reports whether the run is
// cancelled.
func (e *Execution) cancelUnstarted(job int) bool {
	if e.CancelMode == NotCancelled {
		return false
	}
	state := &e.JobStates[job]
	state.Status, state.Cause = Cancelled, CauseRunCancelled
	return true
}

// dependencySummary summarizes the jobs that a job depends on.
type dependencySummary struct {
	hasUnfinished bool // a dependency has not ended
	hasFailed     bool // a dependency whose failure is not allowed has failed or was cancelled
	hasMissing    bool // a dependency named in the job's needs was skipped, or is optional and a user may never start it
}

func (e *Execution) summarizeDependencies(job *pipeline.Job) dependencySummary {
	var summary dependencySummary
	if !job.WaitsForEarlierStages {
		for _, needed := range job.Needs {
			e.addDependency(&summary, job, needed)
		}
		return summary
	}
	for other := range e.Plan.Jobs {
		if e.Plan.Jobs[other].Stage < job.Stage {
			e.addDependency(&summary, job, other)
		}
	}
	return summary
}

func (e *Execution) addDependency(summary *dependencySummary, job *pipeline.Job, dependency int) {
	status, isFailureAllowed := e.JobStates[dependency].Status, e.Plan.Jobs[dependency].AllowFailure
	switch {
	case status == Manual && isFailureAllowed: // an optional job, which a user may never start
		summary.hasMissing = summary.hasMissing || !job.WaitsForEarlierStages
	case !status.IsFinal():
		summary.hasUnfinished = true
	case status == Failed || status == Cancelled:
		summary.hasFailed = summary.hasFailed || !isFailureAllowed
	case status == Skipped:
		summary.hasMissing = summary.hasMissing || !job.WaitsForEarlierStages
	}
}

// Status returns the run's status and whether it is final. It ignores jobs that wait for a user and whose
// failure is allowed: they are optional, and no other job waits for them.
func (e *Execution) Status() (status RunStatus, isFinal bool) {
	counts := map[Status]int{}
	hasFailed := false
	for i, state := range e.JobStates {
		isFailureAllowed := e.Plan.Jobs[i].AllowFailure
		if state.Status == Manual && isFailureAllowed {
			continue
		}
		counts[state.Status]++
		hasFailed = hasFailed || state.Status == Failed && !isFailureAllowed
	}
	inProgressCount := counts[Delayed] + counts[Active] + counts[Stopping]
	waitingOrInProgressCount := counts[Waiting] + inProgressCount
	switch {
	case e.CancelMode != NotCancelled && waitingOrInProgressCount+counts[Manual] > 0:
		return RunStopping, false
	case inProgressCount == 0 && counts[Manual] > 0:
		return RunManual, false
	case waitingOrInProgressCount > 0:
		return RunRunning, false
	case counts[Cancelled] > 0:
		return RunCancelled, true
	case hasFailed:
		return RunFailed, true
	}
	return RunSucceeded, true
}

// SkipOptional skips the jobs that wait for a user. It must be called only when the run's status is final: then
// only optional jobs still wait for a user.
func (e *Execution) SkipOptional() {
	for i := range e.JobStates {
		if e.JobStates[i].Status == Manual {
			e.JobStates[i].Status = Skipped
		}
	}
}
