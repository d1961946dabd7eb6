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

// replyRun takes the response to a request for a run, and the digest of the run's file; the digest is
// empty in errors.
type replyRun func(response Response, digest string)

func errorResponse(code int, text string) Response { return Response{Code: code, Error: text} }

func retryLater(text string) Response { return errorResponse(http.StatusServiceUnavailable, text) }

// ask has a request handled by the actor and waits for the response, which may come later.
func (l *Leader) ask(handle func(reply func(Response))) Response {
	responses := make(chan Response, 1)
	l.mailbox.Send(func() { handle(func(response Response) { responses <- response }) })
	select {
	case response := <-responses:
		return response
	case <-l.mailbox.Context().Done():
		return retryLater("ending")
	}
}

// Create starts a run of a plan that was parsed from a file. The response has the code 201 once the
// run's record is durable. The request is idempotent: for a run with the same id and file it has the
// code 200 and the run's state, and the code 409 if the file is another one.
func (l *Leader) Create(id, name string, file []byte, plan *pipeline.Plan) Response {
	record, chunks, err := l.newRunRecord(name, file, plan, id)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: runKey(id)}, {Key: finalKey(id)}},
		Writes:     []kvstore.Write{{Key: runKey(id), Value: kvstore.Encode(record)}},
	}
	if record.Epoch != 0 {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + record.HomeShard, Revision: record.Epoch})
	}
	return l.ask(func(reply func(Response)) {
		if !l.synced {
			reply(retryLater("state not read yet"))
			return
		}
		l.commitAfter(chunks, kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply(retryLater("state service"))
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
	l.applyWrite(runKey(id), kvstore.Encode(record), revision)
	l.tick(time.Now())
	l.log.Info("run accepted", "run", id, "name", record.Name, "jobs", len(plan.Jobs))
	execution := &pipelineexec.Execution{Plan: plan, JobStates: pipelineexec.NewJobStates(len(plan.Jobs))}
	return Response{Code: http.StatusCreated, Run: newRunView(id, record, execution, nil)}
}

// replyExisting answers a request to create a run that was not accepted: most likely it exists.
func (l *Leader) replyExisting(id, fileDigest string, reply func(Response)) {
	l.lookUpRun(id, func(response Response, digest string) {
		if response.Code == http.StatusNotFound { // the home shard has a new owner
			response = retryLater("busy")
		}
		if response.Code == http.StatusOK && digest != fileDigest {
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

// lookUpRun passes the state of a run to done. The store is asked whether it has finished, since this
// controller's cache may be older than what another controller has answered already.
func (l *Leader) lookUpRun(id string, done replyRun) {
	if record, finished := l.finalRuns.Get(id); finished {
		l.replyFinished(id, record, done)
		return
	}
	go func() {
		ctx := l.mailbox.Context()
		record, err := l.store.Get(ctx, kvstore.Normal, finalKey(id))
		finished := record.Found
		if err == nil && !finished {
			record, err = l.store.Get(ctx, kvstore.Normal, runKey(id))
		}
		l.mailbox.Send(func() {
			switch {
			case err != nil || !l.synced:
				done(retryLater("state service"), "")
			case !record.Found:
				l.replyNotFound(id, done)
			default:
				l.replyRecord(id, record.Row, finished, done)
			}
		})
	}()
}

// replyNotFound answers a request for a run that has no record. It may have finished between the
// reads of its two records.
func (l *Leader) replyNotFound(id string, done replyRun) {
	if record, finished := l.finalRuns.Get(id); finished {
		l.replyFinished(id, record, done)
		return
	}
	if l.runs[id] != nil {
		done(retryLater("it is just ending"), "")
		return
	}
	done(errorResponse(http.StatusNotFound, "no such run"), "")
}

// replyRecord answers a request for a run with its record as it was read.
func (l *Leader) replyRecord(id string, row kvstore.KeyValue, finished bool, done replyRun) {
	var record runRecord
	if json.Unmarshal(row.Value, &record) != nil {
		done(retryLater("record not understood"), "")
		return
	}
	if finished {
		l.finalRuns.Add(id, record)
		l.replyFinished(id, record, done)
		return
	}
	l.applyRunRecord(id, record, row.Revision)
	l.replyUnfinished(l.runs[id], done)
}

// replyUnfinished answers with the state of an unfinished run. Its leader may have observed more than
// it has recorded; the same step on a copy of the execution comes to the same states here.
func (l *Leader) replyUnfinished(run *runState, done replyRun) {
	if run.execution == nil && !run.writeInFlight {
		l.readPlan(run)
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
		observation, known := l.observeLocally(run, job, ref, local)
		if !known {
			return run.observations[ref]
		}
		observation.IsFaulty = false // only the leader acts on it
		return observation
	}
	execution.Step(time.Now().UnixMilli(), observe)
	view := newRunView(run.id, run.record, execution, observe)
	view.HomeShard = run.record.HomeShard
	done(Response{Code: http.StatusOK, Run: view}, run.record.Digest)
}

// replyFinished answers with the final state of a run.
func (l *Leader) replyFinished(id string, record runRecord, done replyRun) {
	run := &runState{id: id, record: record}
	l.loadCompressedPlan(record, kvstore.Normal, func(compressed []byte, err error) {
		if err == nil {
			l.setPlan(run, compressed)
		}
		done(Response{Code: http.StatusOK, Run: newRunView(id, record, run.execution, nil)}, record.Digest)
	})
}

// List returns the unfinished runs and the last that finished, without their jobs; ok is false
// while they are not known.
func (l *Leader) List() (runs []*RunView, ok bool) {
	type answer struct {
		runs   []*RunView
		synced bool
	}
	all, _ := actor.Ask(l.mailbox, func() answer {
		a := answer{synced: l.synced}
		for _, run := range l.runs {
			a.runs = append(a.runs, l.listUnfinished(run))
		}
		for _, id := range l.finalRuns.Keys() {
			record, _ := l.finalRuns.Peek(id)
			a.runs = append(a.runs, newRunView(id, record, nil, nil))
		}
		return a
	})
	return all.runs, all.synced
}

func (l *Leader) listUnfinished(run *runState) *RunView {
	if run.execution == nil && run.record.PlanChunks == 0 {
		l.readPlan(run)
	}
	view := newRunView(run.id, run.record, run.execution, nil)
	if view.Status == "" {
		view.Status = pipelineexec.RunRunning
	}
	view.Jobs, view.HomeShard = nil, run.record.HomeShard
	return view
}

// Cancel cancels a run. A drained run can still be cancelled with pipelineexec.CancelNow, but not the
// other way round. The cancellation is durable, and no job of the run is submitted any more, when it
// is answered. The response has the run's state, which is final only when all jobs have ended.
func (l *Leader) Cancel(id string, mode pipelineexec.CancelMode) Response {
	return l.changeRun(id, func(record *runRecord, _ *pipelineexec.Execution) (changed bool, failure Response) {
		if record.CancelMode == pipelineexec.CancelNow || record.CancelMode == mode {
			return false, Response{}
		}
		record.CancelMode = mode
		return true, Response{}
	})
}

// StartManualJob has a manual job start as soon as its dependencies allow it. The response has
// the code 404 for an unknown job, and 409 for one that does not wait for a user.
func (l *Leader) StartManualJob(id, name string) Response {
	return l.changeRun(id, func(record *runRecord, execution *pipelineexec.Execution) (changed bool, failure Response) {
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
			return false, errorResponse(http.StatusConflict, "the job is "+state.Status.String()+" and waits for nobody")
		}
		recorded, err := record.Progress.JobStates(len(execution.JobStates))
		if err != nil {
			return false, retryLater("record not understood")
		}
		recorded[index].ManuallyStarted = true
		record.Progress = pipelineexec.EncodeProgress(recorded)
		return true, Response{}
	})
}

// recordChange changes a run's record. changed is false if the record is as requested already;
// failure has an error if the request is refused.
type recordChange func(record *runRecord, execution *pipelineexec.Execution) (changed bool, failure Response)

// changeRun changes a run's record, whichever controller leads it, and responds with the run's state
// once the change is durable.
func (l *Leader) changeRun(id string, change recordChange) Response {
	return l.ask(func(reply func(Response)) { l.tryChangeRun(id, 0, change, reply) })
}

func (l *Leader) tryChangeRun(id string, attempt int, change recordChange, reply func(Response)) {
	replyState := func() { l.lookUpRun(id, func(response Response, _ string) { reply(response) }) }
	retry := func() {
		if attempt >= tuning.RunCancelAttempts {
			reply(retryLater("busy"))
			return
		}
		l.mailbox.SendAfter(tuning.MinWatchRequestGap, func() { l.tryChangeRun(id, attempt+1, change, reply) })
	}
	run := l.runs[id]
	if run == nil {
		replyState()
		return
	}
	if run.execution == nil && !run.writeInFlight {
		l.readPlan(run)
	}
	if run.execution == nil || run.writeInFlight {
		retry()
		return
	}
	record := run.record
	changed, failure := change(&record, run.execution)
	switch {
	case failure.Error != "":
		reply(failure)
	case !changed:
		replyState()
	default:
		l.commitChange(run, record, func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply(retryLater("state service"))
			case !result.Succeeded: // the watch is about to deliver what has changed
				retry()
			default:
				replyState()
			}
		})
	}
}

// commitChange writes a changed record of a run on the precondition that nobody else has changed it.
func (l *Leader) commitChange(run *runState, record runRecord, done func(result kvstore.TxnResult, err error)) {
	value := kvstore.Encode(record)
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.unchanged()},
		Writes:     []kvstore.Write{{Key: runKey(run.id), Value: value}},
	}
	run.writeInFlight = true
	l.commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		run.writeInFlight = false
		if err == nil && result.Succeeded {
			l.applyWrite(runKey(run.id), value, result.Revision)
			l.log.Info("run changed", "run", run.id, "cancel", string(record.CancelMode))
		}
		done(result, err)
	})
}
