package pipelinerun

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tuning"

	"github.com/prometheus/client_golang/prometheus"
)

// What users ask of runs, at any controller.

// Response is an answer to a user: an error, or a run.
type Response struct {
	Code  int
	Error string
	Run   *RunView
}

// RunView is a run as users see it.
type RunView struct {
	ID           string    `json:"id"`
	Name         string    `json:"name"`
	Status       string    `json:"status"`
	IsFinished   bool      `json:"over"`
	AcceptedAtMS int64     `json:"accepted_ms"`
	EndedAtMS    int64     `json:"ended_ms,omitempty"`
	HomeShard    string    `json:"share,omitempty"` // the share it falls to
	Stages       []string  `json:"stages,omitempty"`
	Jobs         []JobView `json:"jobs,omitempty"`
	Waiting      int       `json:"waiting"`
	Running      int       `json:"running"`
	Ended        int       `json:"ended"`
}

// JobView is a job of a run.
type JobView struct {
	Name         string   `json:"name"`
	Stage        string   `json:"stage"`
	Status       string   `json:"status"`
	Reason       string   `json:"why,omitempty"`
	Attempt      int      `json:"try"`
	Retries      int      `json:"retries,omitempty"`
	Ref          string   `json:"ref,omitempty"` // its id as a submission
	DoneTasks    int      `json:"tasks_done"`
	RunningTasks int      `json:"tasks_running"`
	Tasks        int      `json:"tasks"`
	Needs        []string `json:"needs,omitempty"`
	Group        string   `json:"group,omitempty"`
}

func errorResponse(code int, why string) Response { return Response{Code: code, Error: why} }

func retryLater(why string) Response { return errorResponse(503, why) }

// ask has a question answered by the actor; the answer may come later.
func (l *Leader) ask(ask func(reply func(Response))) Response {
	out := make(chan Response, 1)
	l.mailbox.Send(func() { ask(func(r Response) { out <- r }) })
	select {
	case r := <-out:
		return r
	case <-l.mailbox.Context().Done():
		return retryLater("ending")
	}
}

// Create takes a run of a plan that was read from a file. The id is the caller's, who may
// ask again and again: a run is begun once.
func (l *Leader) Create(id, name string, file []byte, plan *pipeline.Plan) Response {
	rec, parts, err := l.newRunRecord(name, file, plan, id)
	if err != nil {
		return errorResponse(400, err.Error())
	}
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: runKey(id)}, {Key: finalKey(id)}}, Writes: []kvstore.Write{{Key: runKey(id), Value: kvstore.Encode(rec)}}}
	if rec.Epoch != 0 {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + rec.HomeShard, Revision: rec.Epoch})
	}
	return l.ask(func(reply func(Response)) {
		if !l.synced {
			reply(retryLater("state not read yet"))
			return
		}
		l.commitAfter(parts, kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				reply(retryLater("state service"))
			case result.Succeeded:
				l.applyWrite(runKey(id), kvstore.Encode(rec), result.Revision)
				l.tick(time.Now())
				l.log.Info("run accepted", "run", id, "name", name, "jobs", len(plan.Jobs))
				reply(Response{Code: 201, Run: newRunView(id, rec, &pipelineexec.Execution{Plan: plan, JobStates: pipelineexec.NewJobStates(len(plan.Jobs))}, nil)})
			default:
				l.lookUpRun(id, func(r Response, digest string) {
					if r.Code == 404 { // the share has changed hands
						r = retryLater("busy")
					}
					if r.Code == 200 && digest != rec.Digest {
						r = errorResponse(409, "another run has this id")
					}
					reply(r)
				})
			}
		})
	})
}

// newRunRecord makes the record with which runs of a plan begin, and the writes of the parts of
// the plan that have no place in it: to be made before it, under names that nobody else
// uses. of is whose plan it is.
func (l *Leader) newRunRecord(name string, file []byte, plan *pipeline.Plan, of string) (rec runRecord, parts []kvstore.Write, err error) {
	packed, err := plan.Compress()
	if err != nil {
		return runRecord{}, nil, err
	}
	rec = runRecord{Name: name, Digest: fileDigest(file), AcceptedAtMS: time.Now().UnixMilli(), Progress: pipelineexec.EncodeProgress(pipelineexec.NewJobStates(len(plan.Jobs)))}
	// Led by this controller, if it holds a share: it has the record then, and need not
	// write it once more to begin.
	peek, _ := l.controller.LocalState(nil)
	rec.HomeShard = l.cfg.Node
	for share, revision := range peek.Shards {
		if rec.Epoch == 0 || share == l.cfg.Node {
			rec.HomeShard, rec.Epoch = share, revision
		}
	}
	limit := l.cfg.TargetValueBytes()
	planID := fmt.Sprintf("%s-%x", of, rand.Uint64())
	// In JSON bytes take a third more.
	first := min(len(packed), max(0, (limit-len(kvstore.Encode(rec))-tuning.RunProgressReserveBytes)*3/4))
	rec.Plan = packed[:first]
	for rest := packed[first:]; len(rest) > 0; rec.PlanChunks++ {
		n := min(len(rest), limit*3/4-2)
		parts = append(parts, kvstore.Write{Key: planKey(planID, rec.PlanChunks), Value: kvstore.Encode(rest[:n])})
		rest, rec.PlanChunksID = rest[n:], planID
	}
	return rec, parts, nil
}

// Get tells where a run stands.
func (l *Leader) Get(id string) Response {
	return l.ask(func(reply func(Response)) { l.lookUpRun(id, func(r Response, _ string) { reply(r) }) })
}

// lookUpRun tells where a run stands, and the digest of its file. The state service is asked
// whether it is over: what one controller has told, another must not take back.
func (l *Leader) lookUpRun(id string, done func(r Response, digest string)) {
	if rec, over := l.finalRuns.Get(id); over {
		l.answerFinished(id, rec, done)
		return
	}
	go func() {
		ctx := l.mailbox.Context()
		row, over, _, err := l.store.Get(ctx, kvstore.Normal, finalKey(id))
		found := over
		if err == nil && !over {
			row, found, _, err = l.store.Get(ctx, kvstore.Normal, runKey(id))
		}
		l.mailbox.Send(func() {
			var rec runRecord
			switch {
			case err != nil || !l.synced:
				done(retryLater("state service"), "")
			case !found:
				// It may have ended between the two questions.
				if rec, over := l.finalRuns.Get(id); over {
					l.answerFinished(id, rec, done)
				} else if l.runs[id] != nil {
					done(retryLater("it is just ending"), "")
				} else {
					done(errorResponse(404, "no such run"), "")
				}
			case json.Unmarshal(row.Value, &rec) != nil:
				done(retryLater("record not understood"), "")
			case over:
				l.finalRuns.Add(id, rec)
				l.answerFinished(id, rec, done)
			default:
				l.applyRunRecord(id, rec, row.Revision)
				l.answerUnfinished(l.runs[id], done)
			}
		})
	}()
}

// answerUnfinished tells where an unfinished run stands, also one that another controller leads:
// what the leader has found but not recorded is found here by the same steps.
func (l *Leader) answerUnfinished(r *runState, done func(r Response, digest string)) {
	if r.execution == nil && !r.writeInFlight {
		l.readPlan(r)
	}
	if r.execution == nil {
		v := newRunView(r.id, r.record, nil, nil)
		v.Status, v.HomeShard = pipelineexec.RunRunning, r.record.HomeShard
		done(Response{Code: 200, Run: v}, r.record.Digest)
		return
	}
	peek, _ := l.controller.LocalState(r.activeRefs())
	execution := &pipelineexec.Execution{Plan: r.execution.Plan, JobStates: slices.Clone(r.execution.JobStates), CancelMode: r.record.CancelMode}
	see := func(i int) pipelineexec.Observation {
		ref := pipelineexec.JobRef(r.id, i, execution.JobStates[i])
		observation, known := l.observeLocally(r, i, ref, peek)
		if !known {
			return r.observations[ref]
		}
		observation.IsFaulty = false // what follows from it is the leader's to begin
		return observation
	}
	execution.Step(time.Now().UnixMilli(), see)
	v := newRunView(r.id, r.record, execution, see)
	v.HomeShard = r.record.HomeShard
	done(Response{Code: 200, Run: v}, r.record.Digest)
}

// answerFinished tells how a run ended.
func (l *Leader) answerFinished(id string, rec runRecord, done func(r Response, digest string)) {
	r := &runState{id: id, record: rec}
	l.loadPackedPlan(rec, kvstore.Normal, func(packed []byte, err error) {
		if err == nil {
			l.setPlan(r, packed)
		}
		done(Response{Code: 200, Run: newRunView(id, rec, r.execution, nil)}, rec.Digest)
	})
}

// newRunView draws a run; f may be nil if its plan could not be read, see too.
func newRunView(id string, rec runRecord, execution *pipelineexec.Execution, see func(i int) pipelineexec.Observation) *RunView {
	v := &RunView{ID: id, Name: rec.Name, AcceptedAtMS: rec.AcceptedAtMS, EndedAtMS: rec.EndedAtMS, Status: rec.Status, IsFinished: rec.Status != ""}
	if execution == nil {
		return v
	}
	if v.Status == "" {
		v.Status, _ = execution.Status()
	}
	if execution.CancelMode != "" && v.Status == pipelineexec.RunRunning {
		v.Status = pipelineexec.RunStopping
	}
	v.Stages = execution.Plan.Stages[1 : len(execution.Plan.Stages)-1]
	for i, jobState := range execution.JobStates {
		job := &execution.Plan.Jobs[i]
		x := JobView{Name: job.Name, Stage: execution.Plan.Stages[job.Stage], Status: jobState.Status.String(), Reason: string(jobState.Cause), Attempt: jobState.Attempt, Retries: job.Retries,
			Tasks: job.Spec.Tasks, Group: job.Group}
		for _, n := range job.Needs {
			x.Needs = append(x.Needs, execution.Plan.Jobs[n].Name)
		}
		switch jobState.Status {
		case pipelineexec.Active, pipelineexec.Stopping:
			v.Running++
		case pipelineexec.Waiting, pipelineexec.Manual, pipelineexec.Delayed:
			v.Waiting++
		default:
			v.Ended++
		}
		if jobState.Status == pipelineexec.Active || jobState.Status == pipelineexec.Stopping || jobState.Status == pipelineexec.Succeeded || jobState.Status == pipelineexec.Failed {
			x.Ref = pipelineexec.JobRef(id, i, jobState)
		}
		if jobState.Status == pipelineexec.Succeeded {
			x.DoneTasks = x.Tasks
		} else if see != nil && x.Ref != "" {
			observation := see(i)
			x.DoneTasks, x.RunningTasks = observation.DoneTasks, observation.RunningTasks
		}
		v.Jobs = append(v.Jobs, x)
	}
	return v
}

// List tells the runs that are under way and the last that ended, without their jobs.
func (l *Leader) List() ([]*RunView, bool) {
	type answer struct {
		runs []*RunView
		ok   bool
	}
	r, _ := actor.Ask(l.mailbox, func() (out answer) {
		out.ok = l.synced
		for _, r := range l.runs {
			if r.execution == nil && r.record.PlanChunks == 0 {
				l.readPlan(r)
			}
			v := newRunView(r.id, r.record, r.execution, nil)
			if v.Status == "" {
				v.Status = pipelineexec.RunRunning
			}
			v.Jobs, v.HomeShard = nil, r.record.HomeShard
			out.runs = append(out.runs, v)
		}
		for _, id := range l.finalRuns.Keys() {
			rec, _ := l.finalRuns.Peek(id)
			v := newRunView(id, rec, nil, nil)
			out.runs = append(out.runs, v)
		}
		return out
	})
	return r.runs, r.ok
}

// Cancel has a run end: flow.CancelNow withdraws what runs, flow.CancelDrain lets jobs end that are
// not interruptible. Nothing of it starts once this is answered. The answer tells how it
// stands; its final answer comes when all has ended.
func (l *Leader) Cancel(id, how string) Response {
	return l.changeRun(id, func(rec *runRecord, _ *pipelineexec.Execution) (changed bool, no Response) {
		if rec.CancelMode == pipelineexec.CancelNow || rec.CancelMode == how {
			return false, Response{}
		}
		rec.CancelMode = how
		return true, Response{}
	})
}

// StartManualJob starts a manual job.
func (l *Leader) StartManualJob(id, job string) Response {
	return l.changeRun(id, func(rec *runRecord, execution *pipelineexec.Execution) (changed bool, no Response) {
		i := slices.IndexFunc(execution.Plan.Jobs, func(j pipeline.Job) bool { return j.Name == job })
		if i < 0 {
			return false, errorResponse(404, "no such job in this run")
		}
		jobState := execution.JobStates[i]
		if jobState.ManuallyStarted {
			return false, Response{}
		}
		if execution.Plan.Jobs[i].When != pipeline.Manual || jobState.Status != pipelineexec.Manual && jobState.Status != pipelineexec.Waiting {
			return false, errorResponse(409, "the job is "+jobState.Status.String()+" and waits for nobody")
		}
		jobStates, err := rec.Progress.JobStates(len(execution.JobStates))
		if err != nil {
			return false, retryLater("record not understood")
		}
		jobStates[i].ManuallyStarted = true
		rec.Progress = pipelineexec.EncodeProgress(jobStates)
		return true, Response{}
	})
}

// recordChange is a change of a run's record: no is an error if it can't be made.
type recordChange func(rec *runRecord, f *pipelineexec.Execution) (changed bool, no Response)

// changeRun changes a run's record, whoever leads it, and answers once that is durable.
func (l *Leader) changeRun(id string, how recordChange) Response {
	return l.ask(func(reply func(Response)) { l.tryChangeRun(id, 0, how, reply) })
}

func (l *Leader) tryChangeRun(id string, tries int, how recordChange, reply func(Response)) {
	tell := func() { l.lookUpRun(id, func(x Response, _ string) { reply(x) }) }
	r := l.runs[id]
	if r == nil {
		tell()
		return
	}
	if r.execution == nil && !r.writeInFlight {
		l.readPlan(r)
	}
	wait := func() {
		if tries >= tuning.RunCancelAttempts {
			reply(retryLater("busy"))
			return
		}
		l.mailbox.SendAfter(tuning.MinWatchRequestGap, func() { l.tryChangeRun(id, tries+1, how, reply) })
	}
	if r.execution == nil || r.writeInFlight {
		wait()
		return
	}
	rec := r.record
	changed, no := how(&rec, r.execution)
	switch {
	case no.Error != "":
		reply(no)
		return
	case !changed:
		tell()
		return
	}
	r.writeInFlight = true
	l.commit(kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: runKey(id), Revision: r.revision}},
		Writes: []kvstore.Write{{Key: runKey(id), Value: kvstore.Encode(rec)}}}, func(result kvstore.TxnResult, err error) {
		r.writeInFlight = false
		switch {
		case err != nil:
			reply(retryLater("state service"))
		case !result.Succeeded: // the watch is about to tell what has changed
			wait()
		default:
			l.applyWrite(runKey(id), kvstore.Encode(rec), result.Revision)
			l.log.Info("run changed", "run", id, "cancel", rec.CancelMode)
			tell()
		}
	})
}

// leaderMetrics are a few numbers of the runs.
type leaderMetrics struct {
	runs                prometheus.Gauge
	submissions, writes prometheus.Counter
	ended               *prometheus.CounterVec
}

func newLeaderMetrics() *leaderMetrics {
	return &leaderMetrics{
		runs:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "cherrywall_runs", Help: "Unfinished runs of pipeline files."}),
		submissions: prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_submissions_total", Help: "Jobs submitted for runs."}),
		writes:      prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_state_changes_total", Help: "Changes asked of the state service for runs."}),
		ended:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cherrywall_runs_ended_total", Help: "Runs that are over."}, []string{"status"}),
	}
}

// Collectors are the metrics to be registered.
func (l *Leader) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.metrics.runs, l.metrics.submissions, l.metrics.writes, l.metrics.ended}
}
