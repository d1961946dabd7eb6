package pipelinerun

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tracing"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Store is what is needed of the state service.
type Store interface {
	Commit(ctx context.Context, p kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error)
	Get(ctx context.Context, p kvstore.Priority, key string) (kvstore.KeyValue, bool, uint64, error)
	List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error)
}

// Controller is where jobs are submitted, and from where changes of the records are heard.
type Controller interface {
	Subscribe(tell func(news []kvstore.Event, anew bool))
	SubmitIf(spec *jobs.Spec, under kvstore.Condition, reply chan<- controller.Response)
	Poll(ref string, reply chan controller.Response)
	Cancel(ref string, reply chan controller.Response)
	LocalState(refs []string) (controller.LocalState, bool)
}

// Leader is the actor that leads the runs of the shares held here, and tells of all.
type Leader struct {
	mailbox    *actor.Mailbox
	cfg        *config.Config
	store      Store
	controller Controller
	log        *slog.Logger
	// tracer hears of what is led here.
	tracer *tracing.Tracer

	synced         bool
	loading        bool
	reloads        int // how often all had to be read
	inbox          inbox
	pendingEvents  []kvstore.Event // heard while all is read
	runs           map[string]*runState
	resourceGroups map[string]resourceGroup  // by key
	schedules      map[string]*scheduleState // by key
	finalRuns      *lru.Cache[string, runRecord]
	callsInFlight  map[string]bool // submissions, withdrawals and polls under way, by id
	metrics        *leaderMetrics
}

type resourceGroup struct {
	groupOwner
	revision uint64
}

// runState is a run as this controller knows it.
type runState struct {
	id        string
	record    runRecord
	revision  uint64
	execution *pipelineexec.Execution // nil until the plan was read
	// epoch is the stamp of the share under which it is led here, 0 if it is not.
	epoch            uint64
	writeInFlight    bool // a write of its record, or the reading of its plan, is under way
	pausedUntil      time.Time
	observations     map[string]pipelineexec.Observation // what the core answered, by id
	notSubmitted     map[int]bool                        // jobs that nobody submitted, see sweep
	findingSubmitted bool                                // see adopt
	writtenAt        time.Time
	startTimes       tracing.StartTimes
	tracedStates     []pipelineexec.JobState // as the tracer heard of them last
}

// New makes the actor, which works until ctx ends.
func New(ctx context.Context, cfg *config.Config, st Store, core Controller, tracer *tracing.Tracer, log *slog.Logger) *Leader {
	finals, err := lru.New[string, runRecord](tuning.MaxCachedEndedRuns)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	return &Leader{mailbox: actor.New(ctx), cfg: cfg, store: st, controller: core, tracer: tracer, log: log, runs: map[string]*runState{},
		resourceGroups: map[string]resourceGroup{}, schedules: map[string]*scheduleState{}, callsInFlight: map[string]bool{}, inbox: inbox{notify: make(chan struct{}, 1)}, finalRuns: finals, metrics: newLeaderMetrics()}
}

// Start sets the actor going.
func (l *Leader) Start() {
	go l.run()
	l.controller.Subscribe(l.inbox.put)
}

// inbox takes what the core tells without ever holding it up: the core's actor would wait
// for this one, which waits for the core's answers.
type inbox struct {
	mu     sync.Mutex
	events []kvstore.Event
	reload bool
	notify chan struct{} // something is in it
}

func (b *inbox) put(events []kvstore.Event, reload bool) {
	b.mu.Lock()
	b.events, b.reload = append(b.events, events...), b.reload || reload
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

func (b *inbox) take() (events []kvstore.Event, reload bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, reload = b.events, b.reload
	b.events, b.reload = nil, false
	return events, reload
}

func (l *Leader) run() {
	ticker := time.NewTicker(tuning.RunTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.mailbox.Context().Done():
			return
		case do := <-l.mailbox.Messages():
			do()
		case <-l.inbox.notify:
			l.handleEvents(l.inbox.take())
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

// handleEvents takes in what the core's watch tells of the records kept apart.
func (l *Leader) handleEvents(events []kvstore.Event, reload bool) {
	if reload {
		l.reloads++
		if !l.loading {
			l.loading = true
			go l.load(l.mailbox.Context())
		}
	}
	l.pendingEvents = append(l.pendingEvents, events...)
	if l.loading {
		return // the listing may be older than these
	}
	l.applyPendingEvents()
}

func (l *Leader) applyPendingEvents() {
	for _, event := range l.pendingEvents {
		if event.DeletedKey != "" {
			l.applyDelete(event.DeletedKey, event.Revision)
		} else {
			l.applyWrite(event.Key, event.Value, event.Revision)
		}
	}
	l.pendingEvents = nil
}

// load reads all unfinished runs and the groups anew.
func (l *Leader) load(ctx context.Context) {
	for ctx.Err() == nil {
		began, _ := actor.Ask(l.mailbox, func() int { return l.reloads })
		var rows []kvstore.KeyValue
		var err error
		for _, p := range []string{runPrefix, groupPrefix, schedulePrefix} { // groups after the runs that hold them
			var more []kvstore.KeyValue
			if more, _, err = l.store.List(ctx, p); err != nil {
				break
			}
			rows = append(rows, more...)
		}
		if err != nil {
			if kvstore.Pause(ctx, tuning.MaxRetryDelay) != nil {
				return
			}
			continue
		}
		done, _ := actor.Ask(l.mailbox, func() bool {
			if l.reloads != began {
				return false // while it was read something was missed again
			}
			l.runs, l.resourceGroups, l.schedules = map[string]*runState{}, map[string]resourceGroup{}, map[string]*scheduleState{}
			for _, r := range rows {
				l.applyWrite(r.Key, r.Value, r.Revision)
			}
			l.applyPendingEvents()
			l.synced, l.loading = true, false
			return true
		})
		if done {
			return
		}
	}
}

func (l *Leader) applyWrite(key string, value json.RawMessage, revision uint64) {
	var err error
	switch {
	case strings.HasPrefix(key, runPrefix):
		var rec runRecord
		if err = json.Unmarshal(value, &rec); err == nil {
			l.applyRunRecord(key[len(runPrefix):], rec, revision)
		}
	case strings.HasPrefix(key, finalPrefix):
		var rec runRecord
		if err = json.Unmarshal(value, &rec); err == nil {
			l.finalRuns.Add(key[len(finalPrefix):], rec)
		}
	case strings.HasPrefix(key, groupPrefix):
		var g groupOwner
		if err = json.Unmarshal(value, &g); err == nil && l.resourceGroups[key].revision < revision {
			l.resourceGroups[key] = resourceGroup{g, revision}
		}
	case strings.HasPrefix(key, schedulePrefix):
		err = l.applyScheduleRecord(key, value, revision)
	}
	if err != nil {
		l.log.Error("record not understood", "key", key, "error", err)
	}
}

func (l *Leader) applyDelete(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, runPrefix):
		if r := l.runs[key[len(runPrefix):]]; r != nil && r.revision <= revision {
			delete(l.runs, r.id)
		}
	case strings.HasPrefix(key, groupPrefix):
		if l.resourceGroups[key].revision <= revision {
			delete(l.resourceGroups, key)
		}
	case strings.HasPrefix(key, schedulePrefix):
		if entry := l.schedules[key]; entry != nil && entry.revision <= revision {
			delete(l.schedules, key)
		}
	}
}

// applyRunRecord follows a run's record. What this controller leads it knows better, but for
// what users ask of a run: that may come by way of any controller.
func (l *Leader) applyRunRecord(id string, rec runRecord, revision uint64) {
	r := l.runs[id]
	if r == nil {
		r = &runState{id: id, observations: map[string]pipelineexec.Observation{}}
		l.runs[id] = r
	}
	if r.revision >= revision {
		return
	}
	r.record, r.revision = rec, revision
	switch {
	case r.execution == nil:
	case r.epoch == 0:
		r.execution = nil // made anew from the record
	default:
		if !r.findingSubmitted {
			r.execution.CancelMode = rec.CancelMode
		}
		for _, i := range rec.Progress.ManuallyStarted {
			r.execution.JobStates[i].ManuallyStarted = true
		}
	}
}

// tick brings every run that is led here as far as it goes.
func (l *Leader) tick(now time.Time) {
	if !l.synced || len(l.runs)+len(l.schedules) == 0 {
		return
	}
	var refs []string
	for _, r := range l.runs {
		refs = append(refs, r.activeRefs()...)
	}
	peek, ok := l.controller.LocalState(refs)
	if !ok || !peek.Synced {
		return
	}
	l.startDueSchedules(peek, now)
	for _, r := range l.runs {
		l.leadRun(r, peek, now)
	}
	l.metrics.runs.Set(float64(len(l.runs)))
}

// activeRefs are the ids of the tries that are under way.
func (r *runState) activeRefs() []string {
	var out []string
	if r.execution != nil {
		for i, jobState := range r.execution.JobStates {
			if jobState.Status == pipelineexec.Active || jobState.Status == pipelineexec.Stopping {
				out = append(out, pipelineexec.JobRef(r.id, i, jobState))
			}
		}
	}
	return out
}

// leadRun does what is next in a run, if it is led here or is to be.
func (l *Leader) leadRun(r *runState, peek controller.LocalState, now time.Time) {
	epoch := peek.Shards[r.record.HomeShard]
	if epoch == 0 {
		if r.epoch != 0 {
			r.epoch, r.execution = 0, nil // another leads it now, from the record
		}
		return
	}
	if r.writeInFlight || now.Before(r.pausedUntil) {
		return
	}
	if r.epoch != epoch {
		l.adoptRun(r, epoch)
	}
	if r.epoch == epoch && r.execution == nil {
		l.readPlan(r)
	}
	if r.epoch == epoch && r.execution != nil {
		l.advanceRun(r, peek, now)
	}
}

// adoptRun begins to lead a run: its record is written anew first, under the share's
// record, so that nothing that an earlier leader still has under way can come later.
func (l *Leader) adoptRun(r *runState, epoch uint64) {
	lead := func() {
		r.epoch, r.execution = epoch, nil
		clear(r.observations)
		r.startTimes, r.tracedStates = tracing.NewStartTimes(), nil
		l.log.Info("run led here", "run", r.id, "share", r.record.HomeShard, "cancel", r.record.CancelMode)
	}
	if r.record.Epoch == epoch {
		lead() // accepted or led in this very tenure: there was no other leader since
		return
	}
	l.writeRunRecord(r, epoch, r.record, lead)
}

// readPlan makes the run in memory from its record.
func (l *Leader) readPlan(r *runState) {
	r.writeInFlight = true
	l.loadPackedPlan(r.record, kvstore.Background, func(packed []byte, err error) {
		r.writeInFlight = false
		if err != nil {
			l.log.Info("plan not read", "run", r.id, "error", err)
			r.pausedUntil = time.Now().Add(tuning.MaxRetryDelay)
			return
		}
		l.setPlan(r, packed)
	})
}

// loadPackedPlan gets a packed plan: at once if it is whole in the record, else its parts are read.
func (l *Leader) loadPackedPlan(rec runRecord, priority kvstore.Priority, done func(packed []byte, err error)) {
	if rec.PlanChunks == 0 {
		done(rec.Plan, nil)
		return
	}
	go func() {
		packed, err := l.readPlanChunks(rec, priority)
		l.mailbox.Send(func() { done(packed, err) })
	}()
}

func (l *Leader) readPlanChunks(rec runRecord, priority kvstore.Priority) ([]byte, error) {
	packed := bytes.Clone(rec.Plan)
	for k := range rec.PlanChunks {
		row, found, _, err := l.store.Get(l.mailbox.Context(), priority, planKey(rec.PlanChunksID, k))
		if err != nil {
			return nil, err
		}
		var part []byte
		if !found {
			return nil, errors.New("a part of the plan is missing")
		}
		if err := json.Unmarshal(row.Value, &part); err != nil {
			return nil, err
		}
		packed = append(packed, part...)
	}
	return packed, nil
}

func (l *Leader) setPlan(r *runState, packed []byte) {
	p, err := pipeline.DecompressPlan(packed)
	var jobStates []pipelineexec.JobState
	if err == nil {
		jobStates, err = r.record.Progress.JobStates(len(p.Jobs))
	}
	if err != nil {
		// A newer program's record, perhaps: left alone, and said now and then.
		l.log.Error("run not understood", "run", r.id, "error", err)
		r.pausedUntil = time.Now().Add(time.Minute)
		return
	}
	r.execution = &pipelineexec.Execution{Plan: p, JobStates: jobStates, CancelMode: r.record.CancelMode}
	// Jobs that were submitted without being recorded go on, but of a run that is
	// cancelled they have to be found first.
	if r.findingSubmitted = r.epoch != 0 && r.record.CancelMode != ""; r.findingSubmitted {
		r.notSubmitted, r.execution.CancelMode = map[int]bool{}, ""
	}
}

// writeRunRecord writes a run's record under its stamp and the share's.
func (l *Leader) writeRunRecord(r *runState, tenure uint64, rec runRecord, then func()) {
	rec.Epoch = tenure
	l.commitRunTxn(r, kvstore.Txn{Conditions: []kvstore.Condition{{Key: runKey(r.id), Revision: r.revision}, {Key: jobs.ShardPrefix + r.record.HomeShard, Revision: tenure}},
		Writes: []kvstore.Write{{Key: runKey(r.id), Value: kvstore.Encode(rec)}}}, func(revision uint64) {
		if r.revision < revision {
			r.record, r.revision = rec, revision
		}
		r.writtenAt = time.Now()
		then()
	})
}

// commitRunTxn runs a transaction of a run; then is called if it was made.
func (l *Leader) commitRunTxn(r *runState, t kvstore.Txn, then func(revision uint64)) {
	r.writeInFlight = true
	l.commit(kvstore.Background, t, func(result kvstore.TxnResult, err error) {
		r.writeInFlight = false
		switch {
		case err != nil:
			r.pausedUntil = time.Now().Add(tuning.MinRetryDelay)
		case !result.Succeeded: // the watch is about to tell what has changed
			r.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay)
		default:
			then(result.Revision)
		}
	})
}

// commitAfter runs a transaction after other writes, which need no condition: nothing names them
// before, and nobody else writes them. They take as many transactions as the limits ask for;
// what is left of them if one fails is never read.
func (l *Leader) commitAfter(writes []kvstore.Write, priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	n := min(len(writes), l.cfg.EffectiveStateLimits().TxnOps, max(1, tuning.MaxTxnBytes/l.cfg.MaxValueBytes()))
	if n == 0 {
		l.commit(priority, txn, done)
		return
	}
	l.commit(priority, kvstore.Txn{Writes: writes[:n]}, func(result kvstore.TxnResult, err error) {
		if err != nil {
			done(result, err)
			return
		}
		l.commitAfter(writes[n:], priority, txn, done)
	})
}

// commit runs a transaction off the actor and hands its outcome back to it.
func (l *Leader) commit(priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	l.metrics.writes.Add(float64(len(txn.Writes)))
	go func() {
		result, err := l.store.Commit(l.mailbox.Context(), priority, txn)
		l.mailbox.Send(func() { done(result, err) })
	}()
}

// advanceRun does what is next in a run.
func (l *Leader) advanceRun(r *runState, peek controller.LocalState, now time.Time) {
	execution := r.execution
	if r.tracedStates == nil {
		r.tracedStates = slices.Clone(execution.JobStates)
	}
	actions := execution.Step(now.UnixMilli(), func(i int) pipelineexec.Observation { return l.observe(r, i, peek) })
	l.tracer.RecordStep(r.id, &r.startTimes, execution.Plan, r.tracedStates, execution.JobStates, now)
	copy(r.tracedStates, execution.JobStates)
	if r.findingSubmitted {
		l.findSubmittedJobs(r, actions)
		return
	}
	if status, over := execution.Status(); over {
		l.finishRun(r, status, now)
		return
	}
	if due, n := r.unrecordedChanges(); due || n >= tuning.RunProgressWriteJobs && now.Sub(r.writtenAt) > tuning.RunProgressWriteInterval {
		rec := r.record
		rec.Progress = pipelineexec.EncodeProgress(execution.JobStates)
		l.writeRunRecord(r, r.epoch, rec, func() {})
		return
	}
	for _, action := range actions {
		if len(l.callsInFlight) >= tuning.MaxConcurrentRunRequests {
			return
		}
		switch {
		case action.Submit && action.RequiresGroup && !l.acquireGroup(r, action.Job):
		case action.Submit:
			l.submitJob(r, action.Job)
		default:
			l.cancelJob(r, action.Job)
		}
		if r.writeInFlight {
			return
		}
	}
	l.releaseGroups(r)
}

// unrecordedChanges tells whether the record has to be written before anything is done that
// rests on it; and of how many jobs the next leader would have to ask the core.
func (r *runState) unrecordedChanges() (due bool, jobs int) {
	was, err := r.record.Progress.JobStates(len(r.execution.JobStates))
	if err != nil {
		return true, 0
	}
	for i, jobState := range r.execution.JobStates {
		o := was[i]
		switch {
		case jobState == o:
		case jobState.Status == pipelineexec.Stopping, jobState.Attempt != o.Attempt, jobState.Salt != o.Salt, jobState.Status == pipelineexec.Delayed && o.DelayedUntilMS != jobState.DelayedUntilMS:
			return true, 0
		default:
			jobs++
		}
	}
	return false, jobs
}

// observe is what is known of a job's present try.
func (l *Leader) observe(r *runState, i int, peek controller.LocalState) pipelineexec.Observation {
	ref := pipelineexec.JobRef(r.id, i, r.execution.JobStates[i])
	_, asked := peek.Jobs[ref]
	answer, answered := r.observations[ref]
	if asked || !answered && !l.callsInFlight[ref] {
		if observation, known := l.observeLocally(r, i, ref, peek); known {
			delete(r.observations, ref)
			return observation
		}
	}
	if answered {
		return answer
	}
	return pipelineexec.Observation{IsUnknown: !l.callsInFlight[ref]}
}

// observeLocally is what the core knows of a job's try without asking anybody; known is false if
// that is nothing, or somebody else's job. What was not looked at before, since it became
// active in this very step, is looked at now: whoever takes a run over comes to where it
// was at once, and not a stage later with each tick.
func (l *Leader) observeLocally(r *runState, i int, ref string, peek controller.LocalState) (observation pipelineexec.Observation, known bool) {
	p, asked := peek.Jobs[ref]
	if !asked {
		more, _ := l.controller.LocalState([]string{ref})
		p = more.Jobs[ref]
		if peek.Jobs != nil {
			peek.Jobs[ref] = p
		}
	}
	observation = pipelineexec.Observation{IsUnfinished: p.IsUnfinished, AcceptedAtMS: p.AcceptedMS, IsFaulty: p.IsFaulty, IsDone: p.FinalStatus == jobs.Done, IsCancelled: p.FinalStatus == jobs.Cancelled,
		DoneTasks: p.DoneTasks, RunningTasks: p.ActiveTasks}
	return observation, (observation.IsUnfinished || observation.IsDone || observation.IsCancelled) && r.matchesSpec(i, p)
}

// findSubmittedJobs finds out which jobs of a cancelled run the leader before submitted: each
// that could have been is asked for.
func (l *Leader) findSubmittedJobs(r *runState, actions []pipelineexec.Action) {
	open := false
	for _, action := range actions {
		if !action.Submit || r.notSubmitted[action.Job] {
			continue // what is to be withdrawn waits until all are found
		}
		open = true
		job, ref := action.Job, pipelineexec.JobRef(r.id, action.Job, r.execution.JobStates[action.Job])
		if l.callsInFlight[ref] || len(l.callsInFlight) >= tuning.MaxConcurrentRunRequests {
			continue
		}
		reply := make(chan controller.Response, 1)
		l.controller.Poll(ref, reply)
		l.awaitResponse(r, ref, reply, func(response controller.Response) {
			switch {
			case response.Code != 404:
				r.recordResponse(ref, response)
			case r.findingSubmitted && pipelineexec.JobRef(r.id, job, r.execution.JobStates[job]) == ref:
				r.notSubmitted[job] = true
			}
		})
	}
	if open {
		return
	}
	for i := range r.execution.JobStates {
		if r.notSubmitted[i] && r.execution.JobStates[i].Status == pipelineexec.Active {
			r.execution.JobStates[i].Status = pipelineexec.Waiting
		}
	}
	r.findingSubmitted, r.notSubmitted, r.execution.CancelMode = false, nil, r.record.CancelMode
}

// recordResponse notes what the core says of a try.
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

// awaitResponse waits for the core's answer to something asked of it.
func (l *Leader) awaitResponse(r *runState, ref string, reply <-chan controller.Response, then func(response controller.Response)) {
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
			if response.Code == 503 {
				r.pausedUntil = time.Now().Add(tuning.MinRetryDelay)
			}
			if l.runs[r.id] == r && r.execution != nil {
				then(response)
			}
		})
	}()
}

// submitJob submits a job's try, as long as the run's record is the one that is known here:
// after a cancellation, or by a leader that is one no more, nothing starts.
func (l *Leader) submitJob(r *runState, i int) {
	jobState := r.execution.JobStates[i]
	ref := pipelineexec.JobRef(r.id, i, jobState)
	if l.callsInFlight[ref] {
		return
	}
	spec := r.execution.Plan.Jobs[i].Spec
	spec.Ref = ref
	reply := make(chan controller.Response, 1)
	l.controller.SubmitIf(&spec, kvstore.Condition{Key: runKey(r.id), Revision: r.revision}, reply)
	l.metrics.submissions.Inc()
	l.awaitResponse(r, ref, reply, func(response controller.Response) {
		if r.execution.JobStates[i] != jobState {
			return
		}
		switch response.Code {
		case 200:
			l.verifySubmission(r, i, ref, response)
		case 201:
			r.recordResponse(ref, response)
		case 400, 422:
			l.log.Info("job of a run refused", "run", r.id, "job", r.execution.Plan.Jobs[i].Name, "error", response.Error)
			r.execution.JobStates[i].Status, r.execution.JobStates[i].Cause = pipelineexec.Failed, pipelineexec.CauseRejected
		case 409:
			r.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay) // as for a refused write
		}
	})
}

// verifySubmission looks whether a job that was known already is this run's: submitted by this
// leader in an attempt that was not answered, or by one before. Somebody else's has
// another description, and the try takes another id.
func (l *Leader) verifySubmission(r *runState, i int, ref string, response controller.Response) {
	peek, ok := l.controller.LocalState([]string{ref})
	if p, known := peek.Jobs[ref]; ok && known && !r.matchesSpec(i, p) {
		l.log.Info("id taken by another job", "run", r.id, "job", r.execution.Plan.Jobs[i].Name, "id", ref)
		r.execution.JobStates[i].Salt++
		return
	}
	r.recordResponse(ref, response)
}

// matchesSpec tells whether a job under a try's id has the try's description.
func (r *runState) matchesSpec(i int, p controller.LocalJob) bool {
	spec := r.execution.Plan.Jobs[i].Spec
	spec.Ref = p.Spec.Ref
	return !p.IsUnfinished || reflect.DeepEqual(spec, p.Spec)
}

// cancelJob ends a try.
func (l *Leader) cancelJob(r *runState, i int) {
	ref := pipelineexec.JobRef(r.id, i, r.execution.JobStates[i])
	if l.callsInFlight[ref] {
		return
	}
	reply := make(chan controller.Response, 1)
	l.controller.Cancel(ref, reply)
	l.awaitResponse(r, ref, reply, func(response controller.Response) {
		if response.Code == 404 { // never submitted
			r.observations[ref] = pipelineexec.Observation{IsCancelled: true}
			return
		}
		if response.Code == 200 && (response.Status == jobs.Done || response.Status == jobs.Cancelled) {
			r.recordResponse(ref, response)
		}
	})
}

// acquireGroup takes the group of a job, or tells that the job has it.
func (l *Leader) acquireGroup(r *runState, i int) bool {
	key := groupKey(r.execution.Plan.Jobs[i].Group)
	g, taken := l.resourceGroups[key]
	if taken && g.Run == r.id && g.Job == i {
		return true
	}
	// A holder's run that is not known is over: its record was written before the group's.
	if taken && l.runs[g.Run] != nil && !l.groupOwnerFinished(g) {
		return false
	}
	l.commitRunTxn(r, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: g.revision}, {Key: runKey(r.id), Revision: r.revision},
		{Key: jobs.ShardPrefix + r.record.HomeShard, Revision: r.epoch}},
		Writes: []kvstore.Write{{Key: key, Value: kvstore.Encode(groupOwner{r.id, i})}}}, func(revision uint64) {
		l.resourceGroups[key] = resourceGroup{groupOwner{r.id, i}, revision}
	})
	return false
}

// groupOwnerFinished tells whether a group's holder, led here, is over.
func (l *Leader) groupOwnerFinished(group resourceGroup) bool {
	r := l.runs[group.Run]
	return r != nil && r.epoch != 0 && r.execution != nil && r.execution.JobStates[group.Job].Status.IsFinal()
}

// releaseGroups gives back a group that the run holds for a job that is over.
func (l *Leader) releaseGroups(r *runState) {
	for key, group := range l.resourceGroups {
		if group.Run != r.id || !r.execution.JobStates[group.Job].Status.IsFinal() || r.writeInFlight {
			continue
		}
		l.commitRunTxn(r, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: group.revision}}, Writes: []kvstore.Write{{DeleteKey: key}}}, func(revision uint64) {
			l.applyDelete(key, revision)
		})
	}
}

// finishRun writes the final answer, once and for ever.
func (l *Leader) finishRun(r *runState, status string, now time.Time) {
	r.execution.SkipOptional()
	rec := r.record
	rec.Progress, rec.Status, rec.EndedAtMS = pipelineexec.EncodeProgress(r.execution.JobStates), status, now.UnixMilli()
	t := kvstore.Txn{Conditions: []kvstore.Condition{{Key: runKey(r.id), Revision: r.revision}, {Key: finalKey(r.id)},
		{Key: jobs.ShardPrefix + r.record.HomeShard, Revision: r.epoch}},
		Writes: []kvstore.Write{{Key: finalKey(r.id), Value: kvstore.Encode(rec)}, {DeleteKey: runKey(r.id)}}}
	for key, group := range l.resourceGroups {
		if group.Run == r.id && len(t.Writes) < l.cfg.EffectiveStateLimits().TxnOps {
			t.Writes = append(t.Writes, kvstore.Write{DeleteKey: key})
			t.Conditions = append(t.Conditions, kvstore.Condition{Key: key, Revision: group.revision})
		}
	}
	l.commitRunTxn(r, t, func(revision uint64) {
		l.finalRuns.Add(r.id, rec)
		for _, write := range t.Writes {
			if write.DeleteKey != "" {
				l.applyDelete(write.DeleteKey, revision)
			}
		}
		l.metrics.ended.WithLabelValues(status).Inc()
		l.tracer.RecordEnd(r.id, rec.Name, status, &r.startTimes, r.execution.Plan, time.UnixMilli(rec.AcceptedAtMS), now)
		l.log.Info("run over", "run", r.id, "name", rec.Name, "status", status, "took_s", float64(rec.EndedAtMS-rec.AcceptedAtMS)/1000)
	})
}
