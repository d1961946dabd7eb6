package runs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrywall/internal/flow"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"

	"github.com/prometheus/client_golang/prometheus"
)

// What users ask of runs, at any controller.

// Reply is an answer to a user: an error, or a run.
type Reply struct {
	Code  int
	Error string
	Run   *View
}

// View is a run as users see it.
type View struct {
	ID      string    `json:"id"`
	Name    string    `json:"name"`
	Status  string    `json:"status"`
	Over    bool      `json:"over"`
	AtMS    int64     `json:"accepted_ms"`
	EndMS   int64     `json:"ended_ms,omitempty"`
	Leader  string    `json:"share,omitempty"` // the share it falls to
	Stages  []string  `json:"stages,omitempty"`
	Jobs    []JobView `json:"jobs,omitempty"`
	Waiting int       `json:"waiting"`
	Active  int       `json:"running"`
	Ended   int       `json:"ended"`
}

// JobView is a job of a run.
type JobView struct {
	Name    string   `json:"name"`
	Stage   string   `json:"stage"`
	Status  string   `json:"status"`
	Why     string   `json:"why,omitempty"`
	Try     int      `json:"try"`
	Retries int      `json:"retries,omitempty"`
	Ref     string   `json:"ref,omitempty"` // its id as a submission
	Done    int      `json:"tasks_done"`
	Running int      `json:"tasks_running"`
	Tasks   int      `json:"tasks"`
	Needs   []string `json:"needs,omitempty"`
	Group   string   `json:"group,omitempty"`
}

func refuse(code int, why string) Reply { return Reply{Code: code, Error: why} }

func again(why string) Reply { return refuse(503, why) }

// tell has a question answered by the actor; the answer may come later.
func (l *Leader) tell(ask func(reply func(Reply))) Reply {
	out := make(chan Reply, 1)
	l.loop.Tell(func() { ask(func(r Reply) { out <- r }) })
	select {
	case r := <-out:
		return r
	case <-l.loop.Context().Done():
		return again("ending")
	}
}

// Create takes a run of a plan that was read from a file. The id is the caller's, who may
// ask again and again: a run is begun once.
func (l *Leader) Create(id, name string, file []byte, p *pipeline.Plan) Reply {
	rec, parts, err := l.begin(name, file, p, id)
	if err != nil {
		return refuse(400, err.Error())
	}
	t := state.Txn{If: []state.Cond{{Key: runKey(id)}, {Key: finalKey(id)}}, Writes: []state.Write{{Key: runKey(id), Value: state.Encode(rec)}}}
	if rec.Tenure != 0 {
		t.If = append(t.If, state.Cond{Key: jobs.SharePrefix + rec.Home, Stamp: rec.Tenure})
	}
	return l.tell(func(reply func(Reply)) {
		if !l.synced {
			reply(again("state not read yet"))
			return
		}
		l.after(parts, state.Background, t, func(res state.Result, err error) {
			switch {
			case err != nil:
				reply(again("state service"))
			case res.OK:
				l.write(runKey(id), state.Encode(rec), res.Epoch)
				l.tick(time.Now())
				l.log.Info("run accepted", "run", id, "name", name, "jobs", len(p.Jobs))
				reply(Reply{Code: 201, Run: view(id, rec, &flow.Flow{Plan: p, Tracks: flow.Start(len(p.Jobs))}, nil)})
			default:
				l.find(id, func(r Reply, digest string) {
					if r.Code == 404 { // the share has changed hands
						r = again("busy")
					}
					if r.Code == 200 && digest != rec.Digest {
						r = refuse(409, "another run has this id")
					}
					reply(r)
				})
			}
		})
	})
}

// begin makes the record with which runs of a plan begin, and the writes of the parts of
// the plan that have no place in it: to be made before it, under names that nobody else
// uses. of is whose plan it is.
func (l *Leader) begin(name string, file []byte, p *pipeline.Plan, of string) (rec run, parts []state.Write, err error) {
	packed, err := p.Pack()
	if err != nil {
		return run{}, nil, err
	}
	rec = run{Name: name, Digest: digest(file), AtMS: time.Now().UnixMilli(), Progress: flow.Record(flow.Start(len(p.Jobs)))}
	// Led by this controller, if it holds a share: it has the record then, and need not
	// write it once more to begin.
	peek, _ := l.core.Peek(nil)
	rec.Home = l.cfg.Node
	for share, stamp := range peek.Shares {
		if rec.Tenure == 0 || share == l.cfg.Node {
			rec.Home, rec.Tenure = share, stamp
		}
	}
	limit := l.cfg.ValueBytes()
	planID := fmt.Sprintf("%s-%x", of, rand.Uint64())
	// In JSON bytes take a third more.
	first := min(len(packed), max(0, (limit-len(state.Encode(rec))-tuning.RunProgressBytes)*3/4))
	rec.Plan = packed[:first]
	for rest := packed[first:]; len(rest) > 0; rec.Parts++ {
		n := min(len(rest), limit*3/4-2)
		parts = append(parts, state.Write{Key: planKey(planID, rec.Parts), Value: state.Encode(rest[:n])})
		rest, rec.PlanID = rest[n:], planID
	}
	return rec, parts, nil
}

// Get tells where a run stands.
func (l *Leader) Get(id string) Reply {
	return l.tell(func(reply func(Reply)) { l.find(id, func(r Reply, _ string) { reply(r) }) })
}

// find tells where a run stands, and the digest of its file. The state service is asked
// whether it is over: what one controller has told, another must not take back.
func (l *Leader) find(id string, done func(r Reply, digest string)) {
	if rec, over := l.finals.Get(id); over {
		l.finalView(id, rec, done)
		return
	}
	go func() {
		ctx := l.loop.Context()
		row, over, _, err := l.st.Get(ctx, state.Normal, finalKey(id))
		found := over
		if err == nil && !over {
			row, found, _, err = l.st.Get(ctx, state.Normal, runKey(id))
		}
		l.loop.Tell(func() {
			var rec run
			switch {
			case err != nil || !l.synced:
				done(again("state service"), "")
			case !found:
				// It may have ended between the two questions.
				if rec, over := l.finals.Get(id); over {
					l.finalView(id, rec, done)
				} else if l.runs[id] != nil {
					done(again("it is just ending"), "")
				} else {
					done(refuse(404, "no such run"), "")
				}
			case json.Unmarshal(row.Value, &rec) != nil:
				done(again("record not understood"), "")
			case over:
				l.finals.Add(id, rec)
				l.finalView(id, rec, done)
			default:
				l.recorded(id, rec, row.Stamp)
				l.openView(l.runs[id], done)
			}
		})
	}()
}

// openView tells where an unfinished run stands, also one that another controller leads:
// what the leader has found but not recorded is found here by the same steps.
func (l *Leader) openView(r *lead, done func(r Reply, digest string)) {
	if r.flow == nil && !r.busy {
		l.readPlan(r)
	}
	if r.flow == nil {
		v := view(r.id, r.rec, nil, nil)
		v.Status, v.Leader = flow.RunRunning, r.rec.Home
		done(Reply{Code: 200, Run: v}, r.rec.Digest)
		return
	}
	peek, _ := l.core.Peek(r.refs())
	f := &flow.Flow{Plan: r.flow.Plan, Tracks: slices.Clone(r.flow.Tracks), Cancel: r.rec.Cancel}
	see := func(i int) flow.Seen {
		ref := flow.RefOf(r.id, i, f.Tracks[i])
		s, known := l.peeked(r, i, ref, peek)
		if !known {
			return r.known[ref]
		}
		s.Blamed = false // what follows from it is the leader's to begin
		return s
	}
	f.Step(time.Now().UnixMilli(), see)
	v := view(r.id, r.rec, f, see)
	v.Leader = r.rec.Home
	done(Reply{Code: 200, Run: v}, r.rec.Digest)
}

// finalView tells how a run ended.
func (l *Leader) finalView(id string, rec run, done func(r Reply, digest string)) {
	r := &lead{id: id, rec: rec}
	l.packed(rec, state.Normal, func(packed []byte, err error) {
		if err == nil {
			l.plan(r, packed)
		}
		done(Reply{Code: 200, Run: view(id, rec, r.flow, nil)}, rec.Digest)
	})
}

// view draws a run; f may be nil if its plan could not be read, see too.
func view(id string, rec run, f *flow.Flow, see func(i int) flow.Seen) *View {
	v := &View{ID: id, Name: rec.Name, AtMS: rec.AtMS, EndMS: rec.EndMS, Status: rec.Status, Over: rec.Status != ""}
	if f == nil {
		return v
	}
	if v.Status == "" {
		v.Status, _ = f.Status()
	}
	if f.Cancel != "" && v.Status == flow.RunRunning {
		v.Status = flow.RunStopping
	}
	v.Stages = f.Plan.Stages[1 : len(f.Plan.Stages)-1]
	for i, t := range f.Tracks {
		j := &f.Plan.Jobs[i]
		x := JobView{Name: j.Name, Stage: f.Plan.Stages[j.Stage], Status: t.Status.String(), Why: string(t.Why), Try: t.Try, Retries: j.Retries,
			Tasks: j.Spec.Tasks, Group: j.Group}
		for _, n := range j.Needs {
			x.Needs = append(x.Needs, f.Plan.Jobs[n].Name)
		}
		switch t.Status {
		case flow.Active, flow.Stopping:
			v.Active++
		case flow.Waiting, flow.Playable, flow.Delayed:
			v.Waiting++
		default:
			v.Ended++
		}
		if t.Status == flow.Active || t.Status == flow.Stopping || t.Status == flow.Succeeded || t.Status == flow.Failed {
			x.Ref = flow.RefOf(id, i, t)
		}
		if t.Status == flow.Succeeded {
			x.Done = x.Tasks
		} else if see != nil && x.Ref != "" {
			s := see(i)
			x.Done, x.Running = s.DoneTasks, s.RunTasks
		}
		v.Jobs = append(v.Jobs, x)
	}
	return v
}

// List tells the runs that are under way and the last that ended, without their jobs.
func (l *Leader) List() ([]*View, bool) {
	type answer struct {
		runs []*View
		ok   bool
	}
	r, _ := loop.Ask(l.loop, func() (out answer) {
		out.ok = l.synced
		for _, r := range l.runs {
			if r.flow == nil && r.rec.Parts == 0 {
				l.readPlan(r)
			}
			v := view(r.id, r.rec, r.flow, nil)
			if v.Status == "" {
				v.Status = flow.RunRunning
			}
			v.Jobs, v.Leader = nil, r.rec.Home
			out.runs = append(out.runs, v)
		}
		for _, id := range l.finals.Keys() {
			rec, _ := l.finals.Peek(id)
			v := view(id, rec, nil, nil)
			out.runs = append(out.runs, v)
		}
		return out
	})
	return r.runs, r.ok
}

// Cancel has a run end: flow.CancelNow withdraws what runs, flow.CancelDrain lets jobs end that are
// not interruptible. Nothing of it starts once this is answered. The answer tells how it
// stands; its final answer comes when all has ended.
func (l *Leader) Cancel(id, how string) Reply {
	return l.change(id, func(rec *run, _ *flow.Flow) (changed bool, no Reply) {
		if rec.Cancel == flow.CancelNow || rec.Cancel == how {
			return false, Reply{}
		}
		rec.Cancel = how
		return true, Reply{}
	})
}

// Play starts a manual job.
func (l *Leader) Play(id, job string) Reply {
	return l.change(id, func(rec *run, f *flow.Flow) (changed bool, no Reply) {
		i := slices.IndexFunc(f.Plan.Jobs, func(j pipeline.Job) bool { return j.Name == job })
		if i < 0 {
			return false, refuse(404, "no such job in this run")
		}
		t := f.Tracks[i]
		if t.Played {
			return false, Reply{}
		}
		if f.Plan.Jobs[i].When != pipeline.Manual || t.Status != flow.Playable && t.Status != flow.Waiting {
			return false, refuse(409, "the job is "+t.Status.String()+" and waits for nobody")
		}
		ts, err := rec.Progress.Tracks(len(f.Tracks))
		if err != nil {
			return false, again("record not understood")
		}
		ts[i].Played = true
		rec.Progress = flow.Record(ts)
		return true, Reply{}
	})
}

// changing is a change of a run's record: no is an error if it can't be made.
type changing func(rec *run, f *flow.Flow) (changed bool, no Reply)

// change changes a run's record, whoever leads it, and answers once that is durable.
func (l *Leader) change(id string, how changing) Reply {
	return l.tell(func(reply func(Reply)) { l.changeSoon(id, 0, how, reply) })
}

func (l *Leader) changeSoon(id string, tries int, how changing, reply func(Reply)) {
	tell := func() { l.find(id, func(x Reply, _ string) { reply(x) }) }
	r := l.runs[id]
	if r == nil {
		tell()
		return
	}
	if r.flow == nil && !r.busy {
		l.readPlan(r)
	}
	wait := func() {
		if tries >= tuning.RunChangeTries {
			reply(again("busy"))
			return
		}
		l.loop.After(tuning.WatchGap, func() { l.changeSoon(id, tries+1, how, reply) })
	}
	if r.flow == nil || r.busy {
		wait()
		return
	}
	rec := r.rec
	changed, no := how(&rec, r.flow)
	switch {
	case no.Error != "":
		reply(no)
		return
	case !changed:
		tell()
		return
	}
	r.busy = true
	l.do(state.Normal, state.Txn{If: []state.Cond{{Key: runKey(id), Stamp: r.stamp}},
		Writes: []state.Write{{Key: runKey(id), Value: state.Encode(rec)}}}, func(res state.Result, err error) {
		r.busy = false
		switch {
		case err != nil:
			reply(again("state service"))
		case !res.OK: // the watch is about to tell what has changed
			wait()
		default:
			l.write(runKey(id), state.Encode(rec), res.Epoch)
			l.log.Info("run changed", "run", id, "cancel", rec.Cancel)
			tell()
		}
	})
}

// metrics are a few numbers of the runs.
type metrics struct {
	runs              prometheus.Gauge
	submissions, puts prometheus.Counter
	ended             *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		runs:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "cherrywall_runs", Help: "Unfinished runs of pipeline files."}),
		submissions: prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_submissions_total", Help: "Jobs submitted for runs."}),
		puts:        prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_state_changes_total", Help: "Changes asked of the state service for runs."}),
		ended:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cherrywall_runs_ended_total", Help: "Runs that are over."}, []string{"status"}),
	}
}

// Collectors are the metrics to be registered.
func (l *Leader) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.met.runs, l.met.submissions, l.met.puts, l.met.ended}
}
