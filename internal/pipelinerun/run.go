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

// runState is this controller's state of an unfinished run.
type runState struct {
	id       string
	record   runRecord
	revision uint64 // revision of the record
	// epoch is the home shard's epoch in which this controller leads the run, or 0 if it does not
	// lead the run.
	epoch           uint64
	execution       *pipelineexec.Execution // nil until the plan has been read
	isWriteInFlight bool                    // also set while the plan is read
	pausedUntil     time.Time               // no step is done before this time
	writtenAt       time.Time               // when this controller last wrote the record as the leader

	observations map[string]pipelineexec.Observation // observations from the controller's responses, by job id
	// isFindingSubmitted is set while findSubmittedJobs finds out which jobs of a cancelled run were
	// submitted by an earlier leader. unsubmittedJobs contains the jobs that it has found not to be
	// submitted.
	isFindingSubmitted bool
	unsubmittedJobs    map[int]bool

	startTimes   tracing.StartTimes
	tracedStates []pipelineexec.JobState // the states that were last passed to the tracer
}

// jobRef returns the id under which the current attempt of a job is submitted.
func (r *runState) jobRef(job int) string {
	return pipelineexec.JobRef(r.id, job, r.execution.JobStates[job])
}

func (r *runState) jobName(job int) string { return r.execution.Plan.Jobs[job].Name }

// activeRefs returns the ids of the attempts that are in progress.
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

// unrecordedChanges compares the job states with the record. mustRecord is true if there is a change
// that the next leader could not find out, so that the record has to be written before any action.
// Otherwise changedJobCount is the number of jobs with changes; the next leader would find out these
// changes by asking the controller.
func (r *runState) unrecordedChanges() (mustRecord bool, changedJobCount int) {
	recordedStates, err := r.record.Progress.JobStates(len(r.execution.JobStates))
	if err != nil {
		return true, 0
	}
	for job, state := range r.execution.JobStates {
		if state == recordedStates[job] {
			continue
		}
		if mustRecordChange(recordedStates[job], state) {
			return true, 0
		}
		changedJobCount++
	}
	return false, changedJobCount
}

// mustRecordChange reports whether a change of a job must be recorded because the next leader could
// not find it out.
func mustRecordChange(before, after pipelineexec.JobState) bool {
	return after.Status == pipelineexec.Stopping ||
		after.Attempt != before.Attempt ||
		after.Salt != before.Salt ||
		after.Status == pipelineexec.Delayed && after.DelayedUntilMS != before.DelayedUntilMS
}

// applyResponse derives the observation of an attempt from the controller's response, and stores
// it. Error responses are ignored.
func (r *runState) applyResponse(ref string, response controller.Response) {
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
// have submitted a job under this id; if that job were mistaken for the attempt, the job of the run
// would be skipped. The spec of a job that has ended is not known, so that such a job always
// matches.
func (r *runState) matchesSpec(job int, local controller.LocalJob) bool {
	spec := r.execution.Plan.Jobs[job].Spec
	spec.Ref = local.Spec.Ref
	return !local.IsUnfinished || reflect.DeepEqual(spec, local.Spec)
}

// leadRun advances a run by one step if this controller owns its home shard.
func (l *Leader) leadRun(run *runState, local controller.LocalState, now time.Time) {
	epoch := local.Shards[run.record.HomeShard]
	if epoch == 0 {
		if run.epoch != 0 {
			run.epoch, run.execution = 0, nil // another controller continues from the record
		}
		return
	}
	if run.isWriteInFlight || now.Before(run.pausedUntil) {
		return
	}
	if run.epoch != epoch {
		l.startLeadingRun(run, epoch)
	}
	if run.epoch == epoch && run.execution == nil {
		l.loadExecution(run)
	}
	if run.epoch == epoch && run.execution != nil {
		l.advanceRun(run, local, now)
	}
}

// startLeadingRun makes this controller the leader of a run in an epoch of its home shard. It first
// writes the run's record anew, on the precondition that the epoch is current. The submissions,
// acquisitions of groups and writes of the record that an earlier leader still has in flight have
// the former revision of the record as their precondition, so that they fail.
func (l *Leader) startLeadingRun(run *runState, epoch uint64) {
	startFromRecord := func() {
		run.epoch, run.execution = epoch, nil
		clear(run.observations)
		run.startTimes, run.tracedStates = tracing.NewStartTimes(), nil
		l.log.Info("run led by this controller", "run", run.id, "shard", run.record.HomeShard, "cancel", string(run.record.CancelMode))
	}
	if run.record.Epoch == epoch {
		startFromRecord() // this owner accepted the run or wrote its record, so there was no other leader since
		return
	}
	l.writeRunRecord(run, epoch, run.record, startFromRecord)
}

// advanceRun steps the execution of a run. Then it does the first of these that is due: find out
// what an earlier leader has submitted, finish the run, write its record, or perform the actions.
func (l *Leader) advanceRun(run *runState, local controller.LocalState, now time.Time) {
	execution := run.execution
	if run.tracedStates == nil {
		run.tracedStates = slices.Clone(execution.JobStates)
	}
	actions := execution.Step(now.UnixMilli(), func(job int) pipelineexec.Observation { return l.observe(run, job, local) })
	l.tracer.RecordStep(run.id, &run.startTimes, execution.Plan, run.tracedStates, execution.JobStates, now)
	copy(run.tracedStates, execution.JobStates)
	if run.isFindingSubmitted {
		l.findSubmittedJobs(run, actions)
		return
	}
	if status, isFinal := execution.Status(); isFinal {
		l.finishRun(run, status, now)
		return
	}
	mustRecord, changedJobCount := run.unrecordedChanges()
	hasIntervalPassed := now.Sub(run.writtenAt) > tuning.RunProgressWriteInterval
	if mustRecord || changedJobCount >= tuning.RunProgressWriteJobs && hasIntervalPassed {
		record := run.record
		record.Progress = pipelineexec.EncodeProgress(execution.JobStates)
		l.writeRunRecord(run, run.epoch, record, func() {})
		return
	}
	l.performActions(run, actions)
}

// performActions performs the actions of a step, until one of them starts a write of the run or too
// many calls are in flight. The next step returns the remaining actions again.
func (l *Leader) performActions(run *runState, actions []pipelineexec.Action) {
	for _, action := range actions {
		if len(l.callsInFlight) >= tuning.MaxConcurrentRunRequests {
			return
		}
		switch {
		case action.IsSubmission && action.RequiresGroup && !l.acquireGroup(run, action.Job):
		case action.IsSubmission:
			l.submitJob(run, action.Job)
		default:
			l.cancelJob(run, action.Job)
		}
		if run.isWriteInFlight {
			return
		}
	}
	l.releaseGroups(run)
}

// finishRun replaces the record of a run by its final record, which never changes. In the same
// transaction it releases as many of the run's resource groups as the limits of the store allow.
// The other groups become free as well, since acquireGroup treats an owner whose run is unknown as
// finished.
func (l *Leader) finishRun(run *runState, status pipelineexec.RunStatus, now time.Time) {
	run.execution.SkipOptional()
	record := run.record
	record.Progress = pipelineexec.EncodeProgress(run.execution.JobStates)
	record.Status, record.EndedAtMS = status, now.UnixMilli()
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{run.recordUnchangedCondition(), {Key: finalKey(run.id)}, run.shardEpochCondition(run.epoch)},
		Writes:     []kvstore.Write{{Key: finalKey(run.id), Value: kvstore.MustEncode(record)}, {DeleteKey: runKey(run.id)}},
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
		l.metrics.endedRuns.WithLabelValues(string(status)).Inc()
		l.tracer.RecordEnd(run.id, record.Name, status, &run.startTimes, run.execution.Plan, time.UnixMilli(record.AcceptedAtMS), now)
		l.log.Info("run finished", "run", run.id, "name", record.Name, "status", string(status),
			"duration_s", float64(record.EndedAtMS-record.AcceptedAtMS)/1000)
	})
}
