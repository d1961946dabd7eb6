package pipelinerun

import (
	"reflect"
	"slices"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tracing"
	"cherrywall/internal/tuning"
)

// runState is an unfinished run as this controller knows it.
type runState struct {
	id       string
	record   runRecord
	revision uint64 // of the record
	// epoch is the home shard's epoch under which this controller leads the run, 0 if it does not.
	epoch         uint64
	execution     *pipelineexec.Execution // nil until the plan was read
	writeInFlight bool                    // also while the plan is read
	pausedUntil   time.Time               // no step before
	writtenAt     time.Time               // when this controller wrote the record last, as the leader

	observations map[string]pipelineexec.Observation // from the controller's responses, by job id
	// findingSubmitted is set while the leader of a cancelled run finds out which jobs an earlier
	// leader has submitted; notSubmitted are the jobs that were not. See findSubmittedJobs.
	findingSubmitted bool
	notSubmitted     map[int]bool

	startTimes   tracing.StartTimes
	tracedStates []pipelineexec.JobState // as passed to the tracer last
}

// jobRef is the id under which the current attempt of a job is submitted.
func (r *runState) jobRef(job int) string {
	return pipelineexec.JobRef(r.id, job, r.execution.JobStates[job])
}

func (r *runState) jobName(job int) string { return r.execution.Plan.Jobs[job].Name }

// activeRefs are the ids of the attempts that are in progress.
func (r *runState) activeRefs() []string {
	if r.execution == nil {
		return nil
	}
	var refs []string
	for job, state := range r.execution.JobStates {
		if state.Status == pipelineexec.Active || state.Status == pipelineexec.Stopping {
			refs = append(refs, r.jobRef(job))
		}
	}
	return refs
}

// unrecordedChanges compares the job states with the record. mustRecord says that the record has to
// be written before any action: a next leader could not find out a change. changedJobs is the number
// of jobs with other changes, which a next leader would find out by asking the controller.
func (r *runState) unrecordedChanges() (mustRecord bool, changedJobs int) {
	recorded, err := r.record.Progress.JobStates(len(r.execution.JobStates))
	if err != nil {
		return true, 0
	}
	for job, state := range r.execution.JobStates {
		if state == recorded[job] {
			continue
		}
		if mustRecordChange(recorded[job], state) {
			return true, 0
		}
		changedJobs++
	}
	return false, changedJobs
}

// mustRecordChange reports whether a job's change cannot be found out by the next leader.
func mustRecordChange(before, after pipelineexec.JobState) bool {
	return after.Status == pipelineexec.Stopping ||
		after.Attempt != before.Attempt ||
		after.Salt != before.Salt ||
		after.Status == pipelineexec.Delayed && after.DelayedUntilMS != before.DelayedUntilMS
}

// recordResponse notes what the controller's response says of an attempt. Errors say nothing.
func (r *runState) recordResponse(ref string, response controller.Response) {
	switch {
	case response.Code/100 != 2:
	case response.Status == jobs.Done:
		r.observations[ref] = pipelineexec.Observation{IsDone: true}
	case response.Status == jobs.Cancelled:
		r.observations[ref] = pipelineexec.Observation{IsCancelled: true}
	default:
		r.observations[ref] = pipelineexec.Observation{IsUnfinished: true, AcceptedAtMS: time.Now().UnixMilli()}
	}
}

// matchesSpec reports whether a submitted job can be the attempt that has its id. Another user may
// have submitted a job under this id; taking that for the attempt would skip the job. The spec of a
// job that has ended is not known, so that such a job always matches.
func (r *runState) matchesSpec(job int, local controller.LocalJob) bool {
	spec := r.execution.Plan.Jobs[job].Spec
	spec.Ref = local.Spec.Ref
	return !local.IsUnfinished || reflect.DeepEqual(spec, local.Spec)
}

// leadRun does the next step of a run if this controller owns its home shard.
func (l *Leader) leadRun(run *runState, local controller.LocalState, now time.Time) {
	epoch := local.Shards[run.record.HomeShard]
	if epoch == 0 {
		if run.epoch != 0 {
			run.epoch, run.execution = 0, nil // another controller continues from the record
		}
		return
	}
	if run.writeInFlight || now.Before(run.pausedUntil) {
		return
	}
	if run.epoch != epoch {
		l.adoptRun(run, epoch)
	}
	if run.epoch == epoch && run.execution == nil {
		l.readPlan(run)
	}
	if run.epoch == epoch && run.execution != nil {
		l.advanceRun(run, local, now)
	}
}

// adoptRun begins to lead a run under an epoch of its home shard. It first writes the run's record
// anew, on the precondition that the epoch is current: the submissions, acquisitions of groups and
// writes of the record that an earlier leader still has in flight require the former record and fail.
func (l *Leader) adoptRun(run *runState, epoch uint64) {
	lead := func() {
		run.epoch, run.execution = epoch, nil
		clear(run.observations)
		run.startTimes, run.tracedStates = tracing.NewStartTimes(), nil
		l.log.Info("run led by this controller", "run", run.id, "shard", run.record.HomeShard, "cancel", string(run.record.CancelMode))
	}
	if run.record.Epoch == epoch {
		lead() // this owner accepted the run or wrote its record: there was no other leader since
		return
	}
	l.writeRunRecord(run, epoch, run.record, lead)
}

// advanceRun steps the execution of a run. Then it does the first of these that is due: find out what
// an earlier leader has submitted, finish the run, write its record, or carry out the actions.
func (l *Leader) advanceRun(run *runState, local controller.LocalState, now time.Time) {
	execution := run.execution
	if run.tracedStates == nil {
		run.tracedStates = slices.Clone(execution.JobStates)
	}
	actions := execution.Step(now.UnixMilli(), func(job int) pipelineexec.Observation { return l.observe(run, job, local) })
	l.tracer.RecordStep(run.id, &run.startTimes, execution.Plan, run.tracedStates, execution.JobStates, now)
	copy(run.tracedStates, execution.JobStates)
	if run.findingSubmitted {
		l.findSubmittedJobs(run, actions)
		return
	}
	if status, final := execution.Status(); final {
		l.finishRun(run, status, now)
		return
	}
	mustRecord, changedJobs := run.unrecordedChanges()
	intervalPassed := now.Sub(run.writtenAt) > tuning.RunProgressWriteInterval
	if mustRecord || changedJobs >= tuning.RunProgressWriteJobs && intervalPassed {
		record := run.record
		record.Progress = pipelineexec.EncodeProgress(execution.JobStates)
		l.writeRunRecord(run, run.epoch, record, func() {})
		return
	}
	l.carryOut(run, actions)
}

// carryOut carries out the actions of a step, until one of them writes a record or too many calls
// are in flight: the next step repeats what is left.
func (l *Leader) carryOut(run *runState, actions []pipelineexec.Action) {
	for _, action := range actions {
		if len(l.callsInFlight) >= tuning.MaxConcurrentRunRequests {
			return
		}
		switch {
		case action.Submit && action.RequiresGroup && !l.acquireGroup(run, action.Job):
		case action.Submit:
			l.submitJob(run, action.Job)
		default:
			l.cancelJob(run, action.Job)
		}
		if run.writeInFlight {
			return
		}
	}
	l.releaseGroups(run)
}

// finishRun replaces the record of a run by its final record, which never changes, and releases its
// resource groups in the same transaction as far as they fit. An owner whose run is not known counts
// as finished, so that groups that do not fit are free as well.
func (l *Leader) finishRun(run *runState, status pipelineexec.RunStatus, now time.Time) {
	run.execution.SkipOptional()
	record := run.record
	record.Progress = pipelineexec.EncodeProgress(run.execution.JobStates)
	record.Status, record.EndedAtMS = status, now.UnixMilli()
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.unchanged(), {Key: finalKey(run.id)}, run.ownedUnder(run.epoch)},
		Writes:     []kvstore.Write{{Key: finalKey(run.id), Value: kvstore.Encode(record)}, {DeleteKey: runKey(run.id)}},
	}
	for key, group := range l.resourceGroups {
		if group.Run == run.id && len(txn.Writes) < l.cfg.EffectiveStateLimits().TxnOps {
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: key})
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: group.revision})
		}
	}
	l.commitRunTxn(run, txn, func(revision uint64) {
		l.finalRuns.Add(run.id, record)
		for _, write := range txn.Writes {
			if write.DeleteKey != "" {
				l.applyDelete(write.DeleteKey, revision)
			}
		}
		l.metrics.ended.WithLabelValues(string(status)).Inc()
		l.tracer.RecordEnd(run.id, record.Name, status, &run.startTimes, run.execution.Plan, time.UnixMilli(record.AcceptedAtMS), now)
		l.log.Info("run finished", "run", run.id, "name", record.Name, "status", string(status),
			"duration_s", float64(record.EndedAtMS-record.AcceptedAtMS)/1000)
	})
}
