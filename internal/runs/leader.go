package runs

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

	"cherrywall/internal/config"
	"cherrywall/internal/flow"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/placement"
	"cherrywall/internal/spans"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// State is what is needed of the state service.
type State interface {
	Do(ctx context.Context, p state.Priority, t state.Txn) (state.Result, error)
	Get(ctx context.Context, p state.Priority, key string) (state.Row, bool, uint64, error)
	List(ctx context.Context, prefix string) ([]state.Row, uint64, error)
}

// Core is where jobs are submitted, and from where changes of the records are heard.
type Core interface {
	Follow(tell func(news []state.Event, anew bool))
	SubmitUnder(spec *jobs.Spec, under state.Cond, reply chan<- placement.Reply)
	Poll(ref string, reply chan placement.Reply)
	Withdraw(ref string, reply chan placement.Reply)
	Peek(refs []string) (placement.Peek, bool)
}

// Leader is the actor that leads the runs of the shares held here, and tells of all.
type Leader struct {
	loop *loop.Loop
	cfg  *config.Config
	st   State
	core Core
	log  *slog.Logger
	// tracer hears of what is led here.
	tracer *spans.Tracer

	synced  bool
	loading bool
	missed  int // how often all had to be read
	inbox   inbox
	pending []state.Event // heard while all is read
	runs    map[string]*lead
	groups  map[string]held       // by key
	scheds  map[string]*scheduled // by key
	finals  *lru.Cache[string, run]
	calls   map[string]bool // submissions, withdrawals and polls under way, by id
	met     *metrics
}

type held struct {
	group
	stamp uint64
}

// lead is a run as this controller knows it.
type lead struct {
	id    string
	rec   run
	stamp uint64
	flow  *flow.Flow // nil until the plan was read
	// tenure is the stamp of the share under which it is led here, 0 if it is not.
	tenure  uint64
	busy    bool // a write of its record, or the reading of its plan, is under way
	pauseTo time.Time
	known   map[string]flow.Seen // what the core answered, by id
	absent  map[int]bool         // jobs that nobody submitted, see sweep
	sweep   bool                 // see adopt
	written time.Time
	seen    spans.Times
	noted   []flow.Track // as the tracer heard of them last
}

// New makes the actor, which works until ctx ends.
func New(ctx context.Context, cfg *config.Config, st State, core Core, tracer *spans.Tracer, log *slog.Logger) *Leader {
	finals, err := lru.New[string, run](tuning.RunFinals)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	return &Leader{loop: loop.New(ctx), cfg: cfg, st: st, core: core, tracer: tracer, log: log, runs: map[string]*lead{},
		groups: map[string]held{}, scheds: map[string]*scheduled{}, calls: map[string]bool{}, inbox: inbox{ring: make(chan struct{}, 1)}, finals: finals, met: newMetrics()}
}

// Start sets the actor going.
func (l *Leader) Start() {
	go l.run()
	l.core.Follow(l.inbox.put)
}

// inbox takes what the core tells without ever holding it up: the core's actor would wait
// for this one, which waits for the core's answers.
type inbox struct {
	mu   sync.Mutex
	news []state.Event
	anew bool
	ring chan struct{} // something is in it
}

func (b *inbox) put(news []state.Event, anew bool) {
	b.mu.Lock()
	b.news, b.anew = append(b.news, news...), b.anew || anew
	b.mu.Unlock()
	select {
	case b.ring <- struct{}{}:
	default:
	}
}

func (b *inbox) take() (news []state.Event, anew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news, anew = b.news, b.anew
	b.news, b.anew = nil, false
	return news, anew
}

func (l *Leader) run() {
	ticker := time.NewTicker(tuning.RunTick)
	defer ticker.Stop()
	for {
		select {
		case <-l.loop.Context().Done():
			return
		case do := <-l.loop.In():
			do()
		case <-l.inbox.ring:
			l.hear(l.inbox.take())
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

// hear takes in what the core's watch tells of the records kept apart.
func (l *Leader) hear(news []state.Event, anew bool) {
	if anew {
		l.missed++
		if !l.loading {
			l.loading = true
			go l.load(l.loop.Context())
		}
	}
	l.pending = append(l.pending, news...)
	if l.loading {
		return // the listing may be older than these
	}
	l.apply()
}

func (l *Leader) apply() {
	for _, e := range l.pending {
		if e.Drop != "" {
			l.drop(e.Drop, e.Stamp)
		} else {
			l.write(e.Key, e.Value, e.Stamp)
		}
	}
	l.pending = nil
}

// load reads all unfinished runs and the groups anew.
func (l *Leader) load(ctx context.Context) {
	for ctx.Err() == nil {
		began, _ := loop.Ask(l.loop, func() int { return l.missed })
		var rows []state.Row
		var err error
		for _, p := range []string{runPrefix, groupPrefix, schedPrefix} { // groups after the runs that hold them
			var more []state.Row
			if more, _, err = l.st.List(ctx, p); err != nil {
				break
			}
			rows = append(rows, more...)
		}
		if err != nil {
			if state.Pause(ctx, tuning.RetryMax) != nil {
				return
			}
			continue
		}
		done, _ := loop.Ask(l.loop, func() bool {
			if l.missed != began {
				return false // while it was read something was missed again
			}
			l.runs, l.groups, l.scheds = map[string]*lead{}, map[string]held{}, map[string]*scheduled{}
			for _, r := range rows {
				l.write(r.Key, r.Value, r.Stamp)
			}
			l.apply()
			l.synced, l.loading = true, false
			return true
		})
		if done {
			return
		}
	}
}

func (l *Leader) write(key string, value json.RawMessage, stamp uint64) {
	var err error
	switch {
	case strings.HasPrefix(key, runPrefix):
		var rec run
		if err = json.Unmarshal(value, &rec); err == nil {
			l.recorded(key[len(runPrefix):], rec, stamp)
		}
	case strings.HasPrefix(key, finalPrefix):
		var rec run
		if err = json.Unmarshal(value, &rec); err == nil {
			l.finals.Add(key[len(finalPrefix):], rec)
		}
	case strings.HasPrefix(key, groupPrefix):
		var g group
		if err = json.Unmarshal(value, &g); err == nil && l.groups[key].stamp < stamp {
			l.groups[key] = held{g, stamp}
		}
	case strings.HasPrefix(key, schedPrefix):
		err = l.schedWritten(key, value, stamp)
	}
	if err != nil {
		l.log.Error("record not understood", "key", key, "error", err)
	}
}

func (l *Leader) drop(key string, stamp uint64) {
	switch {
	case strings.HasPrefix(key, runPrefix):
		if r := l.runs[key[len(runPrefix):]]; r != nil && r.stamp <= stamp {
			delete(l.runs, r.id)
		}
	case strings.HasPrefix(key, groupPrefix):
		if l.groups[key].stamp <= stamp {
			delete(l.groups, key)
		}
	case strings.HasPrefix(key, schedPrefix):
		if s := l.scheds[key]; s != nil && s.stamp <= stamp {
			delete(l.scheds, key)
		}
	}
}

// recorded follows a run's record. What this controller leads it knows better, but for
// what users ask of a run: that may come by way of any controller.
func (l *Leader) recorded(id string, rec run, stamp uint64) {
	r := l.runs[id]
	if r == nil {
		r = &lead{id: id, known: map[string]flow.Seen{}}
		l.runs[id] = r
	}
	if r.stamp >= stamp {
		return
	}
	r.rec, r.stamp = rec, stamp
	switch {
	case r.flow == nil:
	case r.tenure == 0:
		r.flow = nil // made anew from the record
	default:
		if !r.sweep {
			r.flow.Cancel = rec.Cancel
		}
		for _, i := range rec.Progress.Played {
			r.flow.Tracks[i].Played = true
		}
	}
}

// tick brings every run that is led here as far as it goes.
func (l *Leader) tick(now time.Time) {
	if !l.synced || len(l.runs)+len(l.scheds) == 0 {
		return
	}
	var refs []string
	for _, r := range l.runs {
		refs = append(refs, r.refs()...)
	}
	peek, ok := l.core.Peek(refs)
	if !ok || !peek.Synced {
		return
	}
	l.due(peek, now)
	for _, r := range l.runs {
		l.lead(r, peek, now)
	}
	l.met.runs.Set(float64(len(l.runs)))
}

// refs are the ids of the tries that are under way.
func (r *lead) refs() []string {
	var out []string
	if r.flow != nil {
		for i, t := range r.flow.Tracks {
			if t.Status == flow.Active || t.Status == flow.Stopping {
				out = append(out, flow.RefOf(r.id, i, t))
			}
		}
	}
	return out
}

// lead does what is next in a run, if it is led here or is to be.
func (l *Leader) lead(r *lead, peek placement.Peek, now time.Time) {
	tenure := peek.Shares[r.rec.Home]
	if tenure == 0 {
		if r.tenure != 0 {
			r.tenure, r.flow = 0, nil // another leads it now, from the record
		}
		return
	}
	if r.busy || now.Before(r.pauseTo) {
		return
	}
	if r.tenure != tenure {
		l.adopt(r, tenure)
	}
	if r.tenure == tenure && r.flow == nil {
		l.readPlan(r)
	}
	if r.tenure == tenure && r.flow != nil {
		l.advance(r, peek, now)
	}
}

// adopt begins to lead a run: its record is written anew first, under the share's
// record, so that nothing that an earlier leader still has under way can come later.
func (l *Leader) adopt(r *lead, tenure uint64) {
	lead := func() {
		r.tenure, r.flow = tenure, nil
		clear(r.known)
		r.seen, r.noted = spans.NewTimes(), nil
		l.log.Info("run led here", "run", r.id, "share", r.rec.Home, "cancel", r.rec.Cancel)
	}
	if r.rec.Tenure == tenure {
		lead() // accepted or led in this very tenure: there was no other leader since
		return
	}
	l.put(r, tenure, r.rec, lead)
}

// readPlan makes the run in memory from its record.
func (l *Leader) readPlan(r *lead) {
	r.busy = true
	l.packed(r.rec, state.Background, func(packed []byte, err error) {
		r.busy = false
		if err != nil {
			l.log.Info("plan not read", "run", r.id, "error", err)
			r.pauseTo = time.Now().Add(tuning.RetryMax)
			return
		}
		l.plan(r, packed)
	})
}

// packed gets a packed plan: at once if it is whole in the record, else its parts are read.
func (l *Leader) packed(rec run, p state.Priority, done func(packed []byte, err error)) {
	if rec.Parts == 0 {
		done(rec.Plan, nil)
		return
	}
	go func() {
		packed, err := l.parts(rec, p)
		l.loop.Tell(func() { done(packed, err) })
	}()
}

func (l *Leader) parts(rec run, p state.Priority) ([]byte, error) {
	packed := bytes.Clone(rec.Plan)
	for k := range rec.Parts {
		row, found, _, err := l.st.Get(l.loop.Context(), p, planKey(rec.PlanID, k))
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

func (l *Leader) plan(r *lead, packed []byte) {
	p, err := pipeline.Unpack(packed)
	var ts []flow.Track
	if err == nil {
		ts, err = r.rec.Progress.Tracks(len(p.Jobs))
	}
	if err != nil {
		// A newer program's record, perhaps: left alone, and said now and then.
		l.log.Error("run not understood", "run", r.id, "error", err)
		r.pauseTo = time.Now().Add(time.Minute)
		return
	}
	r.flow = &flow.Flow{Plan: p, Tracks: ts, Cancel: r.rec.Cancel}
	// Jobs that were submitted without being recorded go on, but of a run that is
	// cancelled they have to be found first.
	if r.sweep = r.tenure != 0 && r.rec.Cancel != ""; r.sweep {
		r.absent, r.flow.Cancel = map[int]bool{}, ""
	}
}

// put writes a run's record under its stamp and the share's.
func (l *Leader) put(r *lead, tenure uint64, rec run, then func()) {
	rec.Tenure = tenure
	l.txn(r, state.Txn{If: []state.Cond{{Key: runKey(r.id), Stamp: r.stamp}, {Key: jobs.SharePrefix + r.rec.Home, Stamp: tenure}},
		Writes: []state.Write{{Key: runKey(r.id), Value: state.Encode(rec)}}}, func(epoch uint64) {
		if r.stamp < epoch {
			r.rec, r.stamp = rec, epoch
		}
		r.written = time.Now()
		then()
	})
}

// txn runs a transaction of a run; then is called if it was made.
func (l *Leader) txn(r *lead, t state.Txn, then func(epoch uint64)) {
	r.busy = true
	l.do(state.Background, t, func(res state.Result, err error) {
		r.busy = false
		switch {
		case err != nil:
			r.pauseTo = time.Now().Add(tuning.RetryMin)
		case !res.OK: // the watch is about to tell what has changed
			r.pauseTo = time.Now().Add(tuning.RunRefused)
		default:
			then(res.Epoch)
		}
	})
}

// after runs a transaction after other writes, which need no condition: nothing names them
// before, and nobody else writes them. They take as many transactions as the limits ask for;
// what is left of them if one fails is never read.
func (l *Leader) after(writes []state.Write, p state.Priority, t state.Txn, done func(res state.Result, err error)) {
	n := min(len(writes), l.cfg.Limits().TxnOps, max(1, tuning.TxnBytes/l.cfg.WholeBytes()))
	if n == 0 {
		l.do(p, t, done)
		return
	}
	l.do(p, state.Txn{Writes: writes[:n]}, func(res state.Result, err error) {
		if err != nil {
			done(res, err)
			return
		}
		l.after(writes[n:], p, t, done)
	})
}

// do runs a transaction off the actor and hands its outcome back to it.
func (l *Leader) do(p state.Priority, t state.Txn, done func(res state.Result, err error)) {
	l.met.puts.Add(float64(len(t.Writes)))
	go func() {
		res, err := l.st.Do(l.loop.Context(), p, t)
		l.loop.Tell(func() { done(res, err) })
	}()
}

// advance does what is next in a run.
func (l *Leader) advance(r *lead, peek placement.Peek, now time.Time) {
	f := r.flow
	if r.noted == nil {
		r.noted = slices.Clone(f.Tracks)
	}
	acts := f.Step(now.UnixMilli(), func(i int) flow.Seen { return l.seen(r, i, peek) })
	l.tracer.Note(r.id, &r.seen, f.Plan, r.noted, f.Tracks, now)
	copy(r.noted, f.Tracks)
	if r.sweep {
		l.sweepFor(r, acts)
		return
	}
	if status, over := f.Status(); over {
		l.finish(r, status, now)
		return
	}
	if due, n := r.unrecorded(); due || n >= tuning.RunRecordJobs && now.Sub(r.written) > tuning.RunRecordEvery {
		rec := r.rec
		rec.Progress = flow.Record(f.Tracks)
		l.put(r, r.tenure, rec, func() {})
		return
	}
	for _, a := range acts {
		if len(l.calls) >= tuning.RunCalls {
			return
		}
		switch {
		case a.Submit && a.Locked && !l.lock(r, a.Job):
		case a.Submit:
			l.submit(r, a.Job)
		default:
			l.withdraw(r, a.Job)
		}
		if r.busy {
			return
		}
	}
	l.unlock(r)
}

// unrecorded tells whether the record has to be written before anything is done that
// rests on it; and of how many jobs the next leader would have to ask the core.
func (r *lead) unrecorded() (due bool, jobs int) {
	was, err := r.rec.Progress.Tracks(len(r.flow.Tracks))
	if err != nil {
		return true, 0
	}
	for i, t := range r.flow.Tracks {
		o := was[i]
		switch {
		case t == o:
		case t.Status == flow.Stopping, t.Try != o.Try, t.Salt != o.Salt, t.Status == flow.Delayed && o.AtMS != t.AtMS:
			return true, 0
		default:
			jobs++
		}
	}
	return false, jobs
}

// seen is what is known of a job's present try.
func (l *Leader) seen(r *lead, i int, peek placement.Peek) flow.Seen {
	ref := flow.RefOf(r.id, i, r.flow.Tracks[i])
	_, asked := peek.Jobs[ref]
	answer, answered := r.known[ref]
	if asked || !answered && !l.calls[ref] {
		if s, known := l.peeked(r, i, ref, peek); known {
			delete(r.known, ref)
			return s
		}
	}
	if answered {
		return answer
	}
	return flow.Seen{Asked: !l.calls[ref]}
}

// peeked is what the core knows of a job's try without asking anybody; known is false if
// that is nothing, or somebody else's job. What was not looked at before, since it became
// active in this very step, is looked at now: whoever takes a run over comes to where it
// was at once, and not a stage later with each tick.
func (l *Leader) peeked(r *lead, i int, ref string, peek placement.Peek) (s flow.Seen, known bool) {
	p, asked := peek.Jobs[ref]
	if !asked {
		more, _ := l.core.Peek([]string{ref})
		p = more.Jobs[ref]
		if peek.Jobs != nil {
			peek.Jobs[ref] = p
		}
	}
	s = flow.Seen{Open: p.Open, SinceMS: p.AcceptedMS, Blamed: p.Blamed, Done: p.Final == jobs.Done, Aborted: p.Final == jobs.Cancelled,
		DoneTasks: p.Done, RunTasks: p.Active}
	return s, (s.Open || s.Done || s.Aborted) && r.ours(i, p)
}

// sweepFor finds out which jobs of a cancelled run the leader before submitted: each
// that could have been is asked for.
func (l *Leader) sweepFor(r *lead, acts []flow.Act) {
	open := false
	for _, a := range acts {
		if !a.Submit || r.absent[a.Job] {
			continue // what is to be withdrawn waits until all are found
		}
		open = true
		job, ref := a.Job, flow.RefOf(r.id, a.Job, r.flow.Tracks[a.Job])
		if l.calls[ref] || len(l.calls) >= tuning.RunCalls {
			continue
		}
		reply := make(chan placement.Reply, 1)
		l.core.Poll(ref, reply)
		l.call(r, ref, reply, func(a placement.Reply) {
			switch {
			case a.Code != 404:
				r.heard(ref, a)
			case r.sweep && flow.RefOf(r.id, job, r.flow.Tracks[job]) == ref:
				r.absent[job] = true
			}
		})
	}
	if open {
		return
	}
	for i := range r.flow.Tracks {
		if r.absent[i] && r.flow.Tracks[i].Status == flow.Active {
			r.flow.Tracks[i].Status = flow.Waiting
		}
	}
	r.sweep, r.absent, r.flow.Cancel = false, nil, r.rec.Cancel
}

// heard notes what the core says of a try.
func (r *lead) heard(ref string, a placement.Reply) {
	switch {
	case a.Code/100 != 2:
	case a.Status == jobs.Done:
		r.known[ref] = flow.Seen{Done: true}
	case a.Status == jobs.Cancelled:
		r.known[ref] = flow.Seen{Aborted: true}
	default:
		r.known[ref] = flow.Seen{Open: true, SinceMS: time.Now().UnixMilli()}
	}
}

// call waits for the core's answer to something asked of it.
func (l *Leader) call(r *lead, ref string, reply <-chan placement.Reply, then func(a placement.Reply)) {
	l.calls[ref] = true
	go func() {
		var a placement.Reply
		select {
		case a = <-reply:
		case <-l.loop.Context().Done():
			return
		}
		l.loop.Tell(func() {
			delete(l.calls, ref)
			if a.Code == 503 {
				r.pauseTo = time.Now().Add(tuning.RetryMin)
			}
			if l.runs[r.id] == r && r.flow != nil {
				then(a)
			}
		})
	}()
}

// submit submits a job's try, as long as the run's record is the one that is known here:
// after a cancellation, or by a leader that is one no more, nothing starts.
func (l *Leader) submit(r *lead, i int) {
	t := r.flow.Tracks[i]
	ref := flow.RefOf(r.id, i, t)
	if l.calls[ref] {
		return
	}
	spec := r.flow.Plan.Jobs[i].Spec
	spec.Ref = ref
	reply := make(chan placement.Reply, 1)
	l.core.SubmitUnder(&spec, state.Cond{Key: runKey(r.id), Stamp: r.stamp}, reply)
	l.met.submissions.Inc()
	l.call(r, ref, reply, func(a placement.Reply) {
		if r.flow.Tracks[i] != t {
			return
		}
		switch a.Code {
		case 200:
			l.isOurs(r, i, ref, a)
		case 201:
			r.heard(ref, a)
		case 400, 422:
			l.log.Info("job of a run refused", "run", r.id, "job", r.flow.Plan.Jobs[i].Name, "error", a.Error)
			r.flow.Tracks[i].Status, r.flow.Tracks[i].Why = flow.Failed, flow.Refused
		case 409:
			r.pauseTo = time.Now().Add(tuning.RunRefused) // as for a refused write
		}
	})
}

// isOurs looks whether a job that was known already is this run's: submitted by this
// leader in an attempt that was not answered, or by one before. Somebody else's has
// another description, and the try takes another id.
func (l *Leader) isOurs(r *lead, i int, ref string, a placement.Reply) {
	peek, ok := l.core.Peek([]string{ref})
	if p, known := peek.Jobs[ref]; ok && known && !r.ours(i, p) {
		l.log.Info("id taken by another job", "run", r.id, "job", r.flow.Plan.Jobs[i].Name, "id", ref)
		r.flow.Tracks[i].Salt++
		return
	}
	r.heard(ref, a)
}

// ours tells whether a job under a try's id has the try's description.
func (r *lead) ours(i int, p placement.JobPeek) bool {
	spec := r.flow.Plan.Jobs[i].Spec
	spec.Ref = p.Spec.Ref
	return !p.Open || reflect.DeepEqual(spec, p.Spec)
}

// withdraw ends a try.
func (l *Leader) withdraw(r *lead, i int) {
	ref := flow.RefOf(r.id, i, r.flow.Tracks[i])
	if l.calls[ref] {
		return
	}
	reply := make(chan placement.Reply, 1)
	l.core.Withdraw(ref, reply)
	l.call(r, ref, reply, func(a placement.Reply) {
		if a.Code == 404 { // never submitted
			r.known[ref] = flow.Seen{Aborted: true}
			return
		}
		if a.Code == 200 && (a.Status == jobs.Done || a.Status == jobs.Cancelled) {
			r.heard(ref, a)
		}
	})
}

// lock takes the group of a job, or tells that the job has it.
func (l *Leader) lock(r *lead, i int) bool {
	key := groupKey(r.flow.Plan.Jobs[i].Group)
	g, taken := l.groups[key]
	if taken && g.Run == r.id && g.Job == i {
		return true
	}
	// A holder's run that is not known is over: its record was written before the group's.
	if taken && l.runs[g.Run] != nil && !l.idle(g) {
		return false
	}
	l.txn(r, state.Txn{If: []state.Cond{{Key: key, Stamp: g.stamp}, {Key: runKey(r.id), Stamp: r.stamp},
		{Key: jobs.SharePrefix + r.rec.Home, Stamp: r.tenure}},
		Writes: []state.Write{{Key: key, Value: state.Encode(group{r.id, i})}}}, func(epoch uint64) {
		l.groups[key] = held{group{r.id, i}, epoch}
	})
	return false
}

// idle tells whether a group's holder, led here, is over.
func (l *Leader) idle(g held) bool {
	r := l.runs[g.Run]
	return r != nil && r.tenure != 0 && r.flow != nil && r.flow.Tracks[g.Job].Status.Over()
}

// unlock gives back a group that the run holds for a job that is over.
func (l *Leader) unlock(r *lead) {
	for key, g := range l.groups {
		if g.Run != r.id || !r.flow.Tracks[g.Job].Status.Over() || r.busy {
			continue
		}
		l.txn(r, state.Txn{If: []state.Cond{{Key: key, Stamp: g.stamp}}, Writes: []state.Write{{Drop: key}}}, func(epoch uint64) {
			l.drop(key, epoch)
		})
	}
}

// finish writes the final answer, once and for ever.
func (l *Leader) finish(r *lead, status string, now time.Time) {
	r.flow.SkipOptional()
	rec := r.rec
	rec.Progress, rec.Status, rec.EndMS = flow.Record(r.flow.Tracks), status, now.UnixMilli()
	t := state.Txn{If: []state.Cond{{Key: runKey(r.id), Stamp: r.stamp}, {Key: finalKey(r.id)},
		{Key: jobs.SharePrefix + r.rec.Home, Stamp: r.tenure}},
		Writes: []state.Write{{Key: finalKey(r.id), Value: state.Encode(rec)}, {Drop: runKey(r.id)}}}
	for key, g := range l.groups {
		if g.Run == r.id && len(t.Writes) < l.cfg.Limits().TxnOps {
			t.Writes = append(t.Writes, state.Write{Drop: key})
			t.If = append(t.If, state.Cond{Key: key, Stamp: g.stamp})
		}
	}
	l.txn(r, t, func(epoch uint64) {
		l.finals.Add(r.id, rec)
		for _, w := range t.Writes {
			if w.Drop != "" {
				l.drop(w.Drop, epoch)
			}
		}
		l.met.ended.WithLabelValues(status).Inc()
		l.tracer.End(r.id, rec.Name, status, &r.seen, r.flow.Plan, time.UnixMilli(rec.AtMS), now)
		l.log.Info("run over", "run", r.id, "name", rec.Name, "status", status, "took_s", float64(rec.EndMS-rec.AtMS)/1000)
	})
}
