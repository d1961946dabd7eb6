package pipelineexec

import (
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/pipeline"
)

// harness answers for the core in tests of the steps.
type harness struct {
	t     *testing.T
	f     Execution
	nowMS int64
	core  map[string]*Observation // by id
	log   []string
}

const base = "default: {cluster: {class: c, team: t, image: i, cpus: 1}}\nstages: [one, two, three]\n"

func newHarness(t *testing.T, file string) *harness {
	t.Helper()
	p, _, err := pipeline.Parse([]byte(base+file), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, f: Execution{Plan: p, JobStates: NewJobStates(len(p.Jobs))}, nowMS: 1000, core: map[string]*Observation{}}
}

func (w *harness) ref(i int) string { return JobRef("run-1", i, w.f.JobStates[i]) }

func (w *harness) seen(i int) Observation {
	if s := w.core[w.ref(i)]; s != nil {
		return *s
	}
	return Observation{IsUnknown: true}
}

// step does what is to be done at once.
func (w *harness) step() {
	for range 10 {
		actions := w.f.Step(w.nowMS, w.seen)
		for _, action := range actions {
			name := w.f.Plan.Jobs[action.Job].Name
			switch s := w.core[w.ref(action.Job)]; {
			case action.Submit:
				w.core[w.ref(action.Job)] = &Observation{IsUnfinished: true, AcceptedAtMS: w.nowMS}
				w.log = append(w.log, "+"+name)
			case s == nil:
				w.core[w.ref(action.Job)] = &Observation{IsCancelled: true} // never submitted
			case s.IsUnfinished:
				s.IsUnfinished, s.IsCancelled = false, true
				w.log = append(w.log, "-"+name)
			}
		}
		if len(actions) == 0 {
			return
		}
	}
	w.t.Fatal("it never comes to rest")
}

// end ends a job in the core.
func (w *harness) end(name string) {
	i := slices.IndexFunc(w.f.Plan.Jobs, func(j pipeline.Job) bool { return j.Name == name })
	s := w.core[w.ref(i)]
	if s == nil || !s.IsUnfinished {
		w.t.Fatalf("%s does not run", name)
	}
	s.IsUnfinished, s.IsDone = false, true
	w.step()
}

func (w *harness) blame(name string) {
	i := slices.IndexFunc(w.f.Plan.Jobs, func(j pipeline.Job) bool { return j.Name == name })
	w.core[w.ref(i)].IsFaulty = true
	w.step()
}

func (w *harness) want(what string) {
	w.t.Helper()
	if got := strings.Join(w.log, " "); got != what {
		w.t.Errorf("done: %s\nwant: %s", got, what)
	}
	w.log = nil
}

func (w *harness) states(what string) {
	w.t.Helper()
	if got := EncodeProgress(w.f.JobStates).Status; got != what {
		w.t.Errorf("states %s, want %s", got, what)
	}
}

func TestStagesAndNeeds(t *testing.T) {
	w := newHarness(t, `
a: {stage: one}
b: {stage: one}
c: {stage: two}
d: {stage: three, needs: [a]}
e: {stage: three}
top: {stage: one, needs: []}
left: {stage: two, needs: [top]}
right: {stage: two, needs: [top]}
end: {stage: three, needs: [left, right]}
`)
	w.step()
	w.want("+a +b +top")
	w.end("a")
	w.want("+d") // over the stages
	w.end("b")
	w.want("")
	w.end("top")
	w.want("+c +left +right")
	w.end("left")
	w.want("")
	w.end("right")
	w.want("+end")
	w.end("c")
	w.want("+e")
	for _, n := range []string{"d", "e", "end"} {
		w.end(n)
	}
	if s, over := w.f.Status(); s != RunSucceeded || !over {
		t.Errorf("%s, over %v", s, over)
	}
}

func TestFailuresAreTriedAgainAndFollowed(t *testing.T) {
	file := `
work: {stage: one, timeout: 10s, retry: {max: 2, when: job_execution_timeout}}
soft: {stage: one, allow_failure: true}
next: {stage: two}
undo: {stage: two, when: on_failure}
tell: {stage: three, when: always}
`
	w := newHarness(t, file)
	w.step()
	w.want("+work +soft")
	w.blame("soft") // its failure is allowed
	w.want("-soft")
	w.nowMS += 10_001
	w.step()
	w.want("-work +work")
	w.nowMS += 10_001
	w.step()
	w.want("-work +work") // the second and last retry
	w.end("work")         // which succeeds: nothing has failed
	w.want("+next")
	w.end("next")
	w.want("+tell")
	w.end("tell")
	w.states("sfsks")
	if s, _ := w.f.Status(); s != RunSucceeded {
		t.Error(s)
	}

	w = newHarness(t, file)
	w.step()
	w.end("soft")
	w.log = nil
	for range 3 {
		w.nowMS += 10_001
		w.step()
	}
	w.want("-work +work -work +work -work +undo")
	w.end("undo")
	w.want("+tell")
	w.end("tell")
	w.states("fskss")
	if s, over := w.f.Status(); s != RunFailed || !over {
		t.Error(s, over)
	}

	w = newHarness(t, file)
	w.step()
	w.end("soft")
	w.log = nil
	w.blame("work") // not a cause after which it is tried again
	w.want("-work +undo")
}

func TestManualAndDelayedJobs(t *testing.T) {
	w := newHarness(t, `
a: {stage: one, when: delayed, start_in: 5s}
gate: {stage: two, when: manual, allow_failure: false}
extra: {stage: two, when: manual}
after: {stage: three}
byhand: {stage: three, needs: [extra]}
`)
	w.step()
	w.want("")
	w.nowMS += 5000
	w.step()
	w.want("+a")
	w.end("a")
	if s, over := w.f.Status(); s != RunManual || over {
		t.Error(s, over)
	}
	w.f.JobStates[1].ManuallyStarted = true
	w.step()
	w.want("+gate")
	w.end("gate")
	w.want("+after")
	w.end("after")
	w.states("ssmsk")
	if s, over := w.f.Status(); s != RunSucceeded || !over {
		t.Error(s, over)
	}
}

func TestACancelledRunStartsNothingMore(t *testing.T) {
	file := `
quick: {stage: one, interruptible: true}
slow: {stage: one}
next: {stage: two}
tell: {stage: three, when: always}
`
	w := newHarness(t, file)
	w.step()
	w.f.CancelMode = CancelDrain
	w.log = nil
	w.step()
	w.want("-quick")
	w.states("cacc")
	if s, over := w.f.Status(); s != RunStopping || over {
		t.Error(s, over)
	}
	w.end("slow") // it was let end
	w.want("")
	w.states("cscc")
	if s, over := w.f.Status(); s != RunCancelled || !over {
		t.Error(s, over)
	}

	w = newHarness(t, file)
	w.step()
	w.f.CancelMode = CancelNow
	w.core[w.ref(1)].IsUnfinished, w.core[w.ref(1)].IsDone = false, true // at the same moment
	w.log = nil
	w.step()
	w.want("-quick")
	w.states("cscc")
}

// Whoever takes a run over with its record comes to the same, wherever the one before
// ended: at every step the states are recorded, read again and gone on with.
func TestTheRecordIsEnoughToGoOn(t *testing.T) {
	file := `
a: {stage: one, timeout: 10s, retry: 1}
b: {stage: one}
c: {stage: two, when: delayed, start_in: 3s}
d: {stage: two, needs: [b]}
e: {stage: three, when: manual, allow_failure: false}
`
	play := func(each func(w *harness)) string {
		w := newHarness(t, file)
		w.f.Plan.Jobs[0].Group = "g"
		for _, do := range []func(){
			w.step, func() { w.end("b") }, func() { w.nowMS += 10_001; w.step() }, func() { w.end("a") }, func() { w.end("d") },
			func() { w.nowMS += 3000; w.step() }, func() { w.end("c") }, func() { w.f.JobStates[4].ManuallyStarted = true; w.step() }, func() { w.end("e") },
		} {
			do()
			each(w)
		}
		s, over := w.f.Status()
		if !over {
			t.Error("not over")
		}
		return strings.Join(w.log, " ") + " " + s
	}
	whole := play(func(*harness) {})
	again := play(func(w *harness) {
		jobStates, err := EncodeProgress(w.f.JobStates).JobStates(len(w.f.JobStates))
		if err != nil {
			t.Fatal(err)
		}
		w.f.JobStates = jobStates
		w.step()
	})
	// The worst that may be left: the record from the beginning. What the core knows of
	// is not submitted a second time.
	forgotten := play(func(w *harness) {
		jobStates := NewJobStates(len(w.f.JobStates))
		for i, o := range w.f.JobStates { // what has to be recorded before its act
			jobStates[i].Attempt, jobStates[i].ManuallyStarted = o.Attempt, o.ManuallyStarted
			switch {
			case o.Status == Stopping:
				jobStates[i] = o
			case o.DelayedUntilMS > 0:
				jobStates[i] = JobState{Status: Delayed, DelayedUntilMS: o.DelayedUntilMS}
			}
		}
		w.f.JobStates = jobStates
		w.step()
	})
	if whole != "+a +b +d -a +a +c +e success" || again != whole {
		t.Errorf("whole: %s\nagain: %s", whole, again)
	}
	if n := strings.Count(forgotten, "+"); n != 6 || !strings.HasSuffix(forgotten, RunSucceeded) {
		t.Errorf("with the first record: %s", forgotten)
	}
}
