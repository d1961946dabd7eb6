package pipelinerun

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tuning"
)

// Response is the response to a user's request. Code is an HTTP status code; Error is set for codes
// from 400 on. Run is nil in errors and in responses about schedules.
type Response struct {
	Code  int
	Error string
	Run   *RunView
}

// runReplyFunc receives the response to a request for a run, and the digest of the run's file. The
// digest is empty if the response is an error.
type runReplyFunc func(response Response, digest string)

func errorResponse(code int, text string) Response { return Response{Code: code, Error: text} }

func unavailableResponse(text string) Response {
	return errorResponse(http.StatusServiceUnavailable, text)
}

// ask has the actor handle a request, and waits for the response. handle may call reply after it
// has returned.
func (l *Leader) ask(handle func(reply func(Response))) Response {
	responses := make(chan Response, 1)
	l.mailbox.Send(func() { handle(func(response Response) { responses <- response }) })
	select {
	case response := <-responses:
		return response
	case <-l.mailbox.Context().Done():
		return unavailableResponse("ending")
	}
}

// Create starts a run of a plan that was parsed from a file. The response has the code 201 once the
// run's record is durable. The request is idempotent: if a run with the same id exists, the
// response has the code 200 and the state of that run, or the code 409 if that run has another
// file.
func (l *Leader) Create(id, name string, file []byte, plan *pipeline.Plan) Response {
	record, chunks, err := l.newRunRecord(name, file, plan, id)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: runKey(id)}, {Key: finalKey(id)}},
		Writes:     []kvstore.Write{{Key: runKey(id), Value: kvstore.MustEncode(record)}},
	}
	if record.Epoch != 0 {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + record.HomeShard, Revision: record.Epoch})
	}
	return l.ask(func(reply func(Response)) {
		if !l.isSynced {
			reply(unavailableResponse("state not read yet"))
			return
		}
		l.commitAfterWrites(chunks, kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply(unavailableResponse("state service unavailable"))
			case result.Succeeded:
				reply(l.acceptRun(id, record, plan, result.Revision))
			default:
				l.replyExisting(id, record.Digest, reply)
			}
		})
	})
}

// acceptRun applies the record of a new run, and starts its first jobs.
func (l *Leader) acceptRun(id string, record runRecord, plan *pipeline.Plan, revision uint64) Response {
	l.applyWrite(runKey(id), kvstore.MustEncode(record), revision)
	l.tick(time.Now())
	l.log.Info("run accepted", "run", id, "name", record.Name, "jobs", len(plan.Jobs))
	execution := &pipelineexec.Execution{Plan: plan, JobStates: pipelineexec.NewJobStates(len(plan.Jobs))}
	return Response{Code: http.StatusCreated, Run: newRunView(id, record, execution, nil)}
}

// replyExisting answers a request to create a run after a precondition of the write has failed. The
// most likely reason is that the run exists.
func (l *Leader) replyExisting(id, requestDigest string, reply func(Response)) {
	l.lookUpRun(id, func(response Response, digest string) {
		if response.Code == http.StatusNotFound { // the home shard has a new owner
			response = unavailableResponse("busy")
		}
		if response.Code == http.StatusOK && digest != requestDigest {
			response = errorResponse(http.StatusConflict, "another run has this id")
		}
		reply(response)
	})
}

// Get returns the state of a run.
func (l *Leader) Get(id string) Response {
	return l.ask(func(reply func(Response)) {
		l.lookUpRun(id, func(response Response, _ string) { reply(response) })
	})
}

// lookUpRun passes the state of a run to done. Unless the final record is cached, it reads the
// run's record from the store: another controller may already have returned a newer state to a user
// than this controller has cached.
func (l *Leader) lookUpRun(id string, done runReplyFunc) {
	if record, isFinished := l.finalRuns.Get(id); isFinished {
		l.replyFinished(id, record, done)
		return
	}
	go func() {
		ctx := l.mailbox.Context()
		record, err := l.store.Get(ctx, kvstore.Normal, finalKey(id))
		isFinished := record.Found
		if err == nil && !isFinished {
			record, err = l.store.Get(ctx, kvstore.Normal, runKey(id))
		}
		l.mailbox.Send(func() {
			switch {
			case err != nil || !l.isSynced:
				done(unavailableResponse("state service unavailable"), "")
			case !record.Found:
				l.replyNotFound(id, done)
			default:
				l.replyRecord(id, record.Row, isFinished, done)
			}
		})
	}()
}

// replyNotFound answers a request for a run for which no record was found. The run may nevertheless
// exist, if it finished between the reads of its two records.
func (l *Leader) replyNotFound(id string, done runReplyFunc) {
	if record, isFinished := l.finalRuns.Get(id); isFinished {
		l.replyFinished(id, record, done)
		return
	}
	if l.runs[id] != nil {
		done(unavailableResponse("the run is finishing, try again"), "")
		return
	}
	done(errorResponse(http.StatusNotFound, "no such run"), "")
}

// replyRecord answers a request for a run with the record that was read from the store.
func (l *Leader) replyRecord(id string, row kvstore.KeyValue, isFinished bool, done runReplyFunc) {
	var record runRecord
	if json.Unmarshal(row.Value, &record) != nil {
		done(unavailableResponse("the run's record cannot be decoded"), "")
		return
	}
	if isFinished {
		l.finalRuns.Add(id, record)
		l.replyFinished(id, record, done)
		return
	}
	l.applyRunRecord(id, record, row.Revision)
	l.replyUnfinished(l.runs[id], done)
}

// replyUnfinished answers with the state of an unfinished run. The run's leader may have observed
// changes that are not in the record yet. The same step on a copy of the execution produces these
// changes, so that the response contains them.
func (l *Leader) replyUnfinished(run *runState, done runReplyFunc) {
	if run.execution == nil && !run.isWriteInFlight {
		l.loadExecution(run)
	}
	if run.execution == nil {
		view := newRunView(run.id, run.record, nil, nil)
		view.Status, view.HomeShard = pipelineexec.RunRunning, run.record.HomeShard
		done(Response{Code: http.StatusOK, Run: view}, run.record.Digest)
		return
	}
	local, _ := l.controller.LocalState(run.activeRefs())
	execution := &pipelineexec.Execution{
		Plan:       run.execution.Plan,
		JobStates:  slices.Clone(run.execution.JobStates),
		CancelMode: run.record.CancelMode,
	}
	observe := func(job int) pipelineexec.Observation {
		ref := pipelineexec.JobRef(run.id, job, execution.JobStates[job])
		observation, isKnown := l.observeFromCache(run, job, ref, local)
		if !isKnown {
			return run.observations[ref]
		}
		observation.IsFaulty = false // only the leader reacts to a faulty job
		return observation
	}
	execution.Step(time.Now().UnixMilli(), observe)
	view := newRunView(run.id, run.record, execution, observe)
	view.HomeShard = run.record.HomeShard
	done(Response{Code: http.StatusOK, Run: view}, run.record.Digest)
}

// replyFinished answers with the final state of a run.
func (l *Leader) replyFinished(id string, record runRecord, done runReplyFunc) {
	run := &runState{id: id, record: record}
	l.loadCompressedPlan(record, kvstore.Normal, func(compressed []byte, err error) {
		if err == nil {
			l.setExecution(run, compressed)
		}
		done(Response{Code: http.StatusOK, Run: newRunView(id, record, run.execution, nil)}, record.Digest)
	})
}

// List returns the unfinished runs and the most recently finished runs, without their jobs. ok is
// false until the runs have been read from the store.
func (l *Leader) List() (runs []*RunView, ok bool) {
	type answer struct {
		runs     []*RunView
		isSynced bool
	}
	result, _ := actor.Ask(l.mailbox, func() answer {
		a := answer{isSynced: l.isSynced}
		for _, run := range l.runs {
			a.runs = append(a.runs, l.unfinishedRunSummary(run))
		}
		for _, id := range l.finalRuns.Keys() {
			record, _ := l.finalRuns.Peek(id)
			a.runs = append(a.runs, newRunView(id, record, nil, nil))
		}
		return a
	})
	return result.runs, result.isSynced
}

func (l *Leader) unfinishedRunSummary(run *runState) *RunView {
	if run.execution == nil && run.record.PlanChunks == 0 {
		l.loadExecution(run)
	}
	view := newRunView(run.id, run.record, run.execution, nil)
	if view.Status == "" {
		view.Status = pipelineexec.RunRunning
	}
	view.Jobs, view.HomeShard = nil, run.record.HomeShard
	return view
}

// Cancel cancels a run. A run that was cancelled with pipelineexec.CancelDrain can still be
// cancelled with pipelineexec.CancelNow, but not the other way round. When Cancel returns success,
// the cancellation is durable and no further job of the run is submitted. The response has the
// run's state, which is final only when all jobs have ended.
func (l *Leader) Cancel(id string, mode pipelineexec.CancelMode) Response {
	return l.changeRun(id, func(record *runRecord, _ *pipelineexec.Execution) (isChanged bool, failure Response) {
		if record.CancelMode == pipelineexec.CancelNow || record.CancelMode == mode {
			return false, Response{}
		}
		record.CancelMode = mode
		return true, Response{}
	})
}

// StartManualJob makes a manual job start as soon as its dependencies allow it. The response has
// the code 404 for an unknown job, and the code 409 for a job that is not waiting for a user to
// start it.
func (l *Leader) StartManualJob(id, name string) Response {
	return l.changeRun(id, func(record *runRecord, execution *pipelineexec.Execution) (isChanged bool, failure Response) {
		planJobs := execution.Plan.Jobs
		index := slices.IndexFunc(planJobs, func(job pipeline.Job) bool { return job.Name == name })
		if index < 0 {
			return false, errorResponse(http.StatusNotFound, "no such job in this run")
		}
		state := execution.JobStates[index]
		if state.ManuallyStarted {
			return false, Response{}
		}
		isUnstarted := state.Status == pipelineexec.Manual || state.Status == pipelineexec.Waiting
		if planJobs[index].When != pipeline.Manual || !isUnstarted {
			return false, errorResponse(http.StatusConflict, "the job is "+state.Status.String()+" and does not wait for a manual start")
		}
		recordedStates, err := record.Progress.JobStates(len(execution.JobStates))
		if err != nil {
			return false, unavailableResponse("the run's record cannot be decoded")
		}
		recordedStates[index].ManuallyStarted = true
		record.Progress = pipelineexec.EncodeProgress(recordedStates)
		return true, Response{}
	})
}

// recordUpdateFunc changes a run's record. isChanged is false if the record already is as requested.
// failure contains an error if the request is refused.
type recordUpdateFunc func(record *runRecord, execution *pipelineexec.Execution) (isChanged bool, failure Response)

// changeRun changes a run's record, regardless of which controller leads the run. It responds with
// the run's state once the change is durable.
func (l *Leader) changeRun(id string, change recordUpdateFunc) Response {
	return l.ask(func(reply func(Response)) { l.tryChangeRun(id, 0, change, reply) })
}

func (l *Leader) tryChangeRun(id string, attempt int, change recordUpdateFunc, reply func(Response)) {
	replyState := func() { l.lookUpRun(id, func(response Response, _ string) { reply(response) }) }
	retry := func() {
		if attempt >= tuning.MaxRunUpdateRetries {
			reply(unavailableResponse("busy"))
			return
		}
		l.mailbox.SendAfter(tuning.MinWatchRequestGap, func() { l.tryChangeRun(id, attempt+1, change, reply) })
	}
	run := l.runs[id]
	if run == nil {
		replyState()
		return
	}
	if run.execution == nil && !run.isWriteInFlight {
		l.loadExecution(run)
	}
	if run.execution == nil || run.isWriteInFlight {
		retry()
		return
	}
	record := run.record
	isChanged, failure := change(&record, run.execution)
	switch {
	case failure.Error != "":
		reply(failure)
	case !isChanged:
		replyState()
	default:
		l.commitChange(run, record, func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply(unavailableResponse("state service unavailable"))
			case !result.Succeeded: // the watch is about to deliver the conflicting change
				retry()
			default:
				replyState()
			}
		})
	}
}

// commitChange writes a changed record of a run on the precondition that nobody else has changed it.
func (l *Leader) commitChange(run *runState, record runRecord, done func(result kvstore.TxnResult, err error)) {
	value := kvstore.MustEncode(record)
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.recordUnchangedCondition()},
		Writes:     []kvstore.Write{{Key: runKey(run.id), Value: value}},
	}
	run.isWriteInFlight = true
	l.commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		run.isWriteInFlight = false
		if err == nil && result.Succeeded {
			l.applyWrite(runKey(run.id), value, result.Revision)
			l.log.Info("run changed", "run", run.id, "cancel", string(record.CancelMode))
		}
		done(result, err)
	})
}
