package pipelineexec

import (
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/pipeline"
)

const head = "default: {cluster: {class: c, team: t, image: i, cpus: 1}}\nstages: [one, two, three]\n"

// harness executes a run with a simulated controller.
type harness struct {
	t         *testing.T
	execution Execution
	nowMS     int64
	submitted map[string]*Observation // by job id
	log       []string                // "+" and "-" with the names of submitted and cancelled jobs
}

func newHarness(t *testing.T, file string) *harness {
	t.Helper()
	plan, _, err := pipeline.Parse([]byte(head+file), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t:         t,
		execution: Execution{Plan: plan, JobStates: NewJobStates(len(plan.Jobs))},
		nowMS:     1000,
		submitted: map[string]*Observation{},
	}
}

func (h *harness) ref(job int) string { return JobRef("run-1", job, h.execution.JobStates[job]) }

func (h *harness) observe(job int) Observation {
	if observation := h.submitted[h.ref(job)]; observation != nil {
		return *observation
	}
	return Observation{IsUnknown: true}
}

// step steps the execution and performs its actions until there are none.
func (h *harness) step() {
	h.t.Helper()
	for range 10 {
		actions := h.execution.Step(h.nowMS, h.observe)
		for _, action := range actions {
			h.perform(action)
		}
		if len(actions) == 0 {
			return
		}
	}
	h.t.Fatal("the execution does not run out of actions")
}

func (h *harness) perform(action Action) {
	name, ref := h.execution.Plan.Jobs[action.Job].Name, h.ref(action.Job)
	switch observation := h.submitted[ref]; {
	case action.Submit:
		h.submitted[ref] = &Observation{IsUnfinished: true, AcceptedAtMS: h.nowMS}
		h.log = append(h.log, "+"+name)
	case observation == nil:
		h.submitted[ref] = &Observation{IsCancelled: true} // never submitted
	case observation.IsUnfinished:
		observation.IsUnfinished, observation.IsCancelled = false, true
		h.log = append(h.log, "-"+name)
	}
}

// stepAfter steps the execution after a time.
func (h *harness) stepAfter(ms int64) {
	h.t.Helper()
	h.nowMS += ms
	h.step()
}

// observation returns the observation of a job's current attempt, which must be in progress.
func (h *harness) observation(name string) *Observation {
	h.t.Helper()
	job := slices.IndexFunc(h.execution.Plan.Jobs, func(job pipeline.Job) bool { return job.Name == name })
	observation := h.submitted[h.ref(job)]
	if observation == nil || !observation.IsUnfinished {
		h.t.Fatalf("%s is not in progress", name)
	}
	return observation
}

// complete completes a job.
func (h *harness) complete(name string) {
	h.t.Helper()
	observation := h.observation(name)
	observation.IsUnfinished, observation.IsDone = false, true
	h.step()
}

// fail makes a job faulty.
func (h *harness) fail(name string) {
	h.t.Helper()
	h.observation(name).IsFaulty = true
	h.step()
}

// expectLog checks what was submitted and cancelled since the last call.
func (h *harness) expectLog(want string) {
	h.t.Helper()
	if got := strings.Join(h.log, " "); got != want {
		h.t.Errorf("actions: %s\nwant: %s", got, want)
	}
	h.log = nil
}

// expectStatuses checks the recorded statuses of all jobs.
func (h *harness) expectStatuses(want string) {
	h.t.Helper()
	if got := EncodeProgress(h.execution.JobStates).Status; got != want {
		h.t.Errorf("statuses %s, want %s", got, want)
	}
}

// expectRun checks the status of the run.
func (h *harness) expectRun(wantStatus RunStatus, wantFinal bool) {
	h.t.Helper()
	if status, final := h.execution.Status(); status != wantStatus || final != wantFinal {
		h.t.Errorf("run %s, final %v; want %s, %v", status, final, wantStatus, wantFinal)
	}
}

func TestStagesAndNeeds(t *testing.T) {
	h := newHarness(t, `
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
	h.step()
	h.expectLog("+a +b +top")
	h.complete("a")
	h.expectLog("+d") // ahead of the stages
	h.complete("b")
	h.expectLog("")
	h.complete("top")
	h.expectLog("+c +left +right")
	h.complete("left")
	h.expectLog("")
	h.complete("right")
	h.expectLog("+end")
	h.complete("c")
	h.expectLog("+e")
	for _, name := range []string{"d", "e", "end"} {
		h.complete(name)
	}
	h.expectRun(RunSucceeded, true)
}

const retryFile = `
work: {stage: one, timeout: 10s, retry: {max: 2, when: job_execution_timeout}}
soft: {stage: one, allow_failure: true}
next: {stage: two}
undo: {stage: two, when: on_failure}
tell: {stage: three, when: always}
`

func TestRetriesThatSucceedAreNoFailure(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.expectLog("+work +soft")
	h.fail("soft") // its failure is allowed
	h.expectLog("-soft")
	h.stepAfter(10_001)
	h.expectLog("-work +work")
	h.stepAfter(10_001)
	h.expectLog("-work +work") // the second and last retry
	h.complete("work")         // which succeeds
	h.expectLog("+next")
	h.complete("next")
	h.expectLog("+tell")
	h.complete("tell")
	h.expectStatuses("sfsks")
	h.expectRun(RunSucceeded, true)
}

func TestFailureAfterLastRetryRunsOnFailureJobs(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.complete("soft")
	h.log = nil
	for range 3 {
		h.stepAfter(10_001)
	}
	h.expectLog("-work +work -work +work -work +undo")
	h.complete("undo")
	h.expectLog("+tell")
	h.complete("tell")
	h.expectStatuses("fskss")
	h.expectRun(RunFailed, true)
}

func TestOtherCauseIsNotRetried(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.complete("soft")
	h.log = nil
	h.fail("work")
	h.expectLog("-work +undo")
}

func TestManualAndDelayedJobs(t *testing.T) {
	h := newHarness(t, `
a: {stage: one, when: delayed, start_in: 5s}
gate: {stage: two, when: manual, allow_failure: false}
extra: {stage: two, when: manual}
after: {stage: three}
byhand: {stage: three, needs: [extra]}
`)
	h.step()
	h.expectLog("")
	h.stepAfter(5000)
	h.expectLog("+a")
	h.complete("a")
	h.expectRun(RunManual, false)
	h.execution.JobStates[1].ManuallyStarted = true
	h.step()
	h.expectLog("+gate")
	h.complete("gate")
	h.expectLog("+after")
	h.complete("after")
	h.expectStatuses("ssmsk")
	h.expectRun(RunSucceeded, true)
}

const cancelFile = `
quick: {stage: one, interruptible: true}
slow: {stage: one}
next: {stage: two}
tell: {stage: three, when: always}
`

func TestDrainingRunStartsNothing(t *testing.T) {
	h := newHarness(t, cancelFile)
	h.step()
	h.execution.CancelMode = CancelDrain
	h.log = nil
	h.step()
	h.expectLog("-quick")
	h.expectStatuses("cacc")
	h.expectRun(RunStopping, false)
	h.complete("slow")
	h.expectLog("")
	h.expectStatuses("cscc")
	h.expectRun(RunCancelled, true)
}

func TestCompletionAtTheMomentOfCancellationCounts(t *testing.T) {
	h := newHarness(t, cancelFile)
	h.step()
	h.execution.CancelMode = CancelNow
	slow := h.observation("slow")
	slow.IsUnfinished, slow.IsDone = false, true
	h.log = nil
	h.step()
	h.expectLog("-quick")
	h.expectStatuses("cscc")
}

// runWithFailover executes a run and calls takeOver after each event, as if another controller
// continued it. It returns the actions and the final status.
func runWithFailover(t *testing.T, takeOver func(h *harness)) string {
	t.Helper()
	h := newHarness(t, `
a: {stage: one, timeout: 10s, retry: 1}
b: {stage: one}
c: {stage: two, when: delayed, start_in: 3s}
d: {stage: two, needs: [b]}
e: {stage: three, when: manual, allow_failure: false}
`)
	h.execution.Plan.Jobs[0].Group = "g"
	for _, event := range []func(){
		h.step,
		func() { h.complete("b") },
		func() { h.stepAfter(10_001) },
		func() { h.complete("a") },
		func() { h.complete("d") },
		func() { h.stepAfter(3000) },
		func() { h.complete("c") },
		func() { h.execution.JobStates[4].ManuallyStarted = true; h.step() },
		func() { h.complete("e") },
	} {
		event()
		takeOver(h)
	}
	status, final := h.execution.Status()
	if !final {
		t.Error("the run is not finished")
	}
	return strings.Join(h.log, " ") + " " + string(status)
}

// loadRecord continues with the job states as they are recorded.
func loadRecord(t *testing.T, h *harness) {
	t.Helper()
	states, err := EncodeProgress(h.execution.JobStates).JobStates(len(h.execution.JobStates))
	if err != nil {
		t.Fatal(err)
	}
	h.execution.JobStates = states
	h.step()
}

// loadOldestRecord continues with the oldest record that a crashed leader may have left: the first one,
// with the changes that have to be recorded before their actions.
func loadOldestRecord(h *harness) {
	states := NewJobStates(len(h.execution.JobStates))
	for i, state := range h.execution.JobStates {
		states[i].Attempt, states[i].ManuallyStarted = state.Attempt, state.ManuallyStarted
		switch {
		case state.Status == Stopping:
			states[i] = state
		case state.DelayedUntilMS > 0:
			states[i] = JobState{Status: Delayed, DelayedUntilMS: state.DelayedUntilMS}
		}
	}
	h.execution.JobStates = states
	h.step()
}

// A controller that continues a run from its record comes to the same states, after whichever event the
// former leader crashed.
func TestRecordIsSufficientForFailover(t *testing.T) {
	uninterrupted := runWithFailover(t, func(*harness) {})
	current := runWithFailover(t, func(h *harness) { loadRecord(t, h) })
	if uninterrupted != "+a +b +d -a +a +c +e success" || current != uninterrupted {
		t.Errorf("uninterrupted: %s\nwith failovers: %s", uninterrupted, current)
	}
	// Jobs that the controller knows are not submitted a second time.
	oldest := runWithFailover(t, loadOldestRecord)
	if submissions := strings.Count(oldest, "+"); submissions != 6 || !strings.HasSuffix(oldest, string(RunSucceeded)) {
		t.Errorf("with the oldest record: %s", oldest)
	}
}
