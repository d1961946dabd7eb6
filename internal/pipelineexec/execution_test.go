package pipelineexec

import (
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/pipeline"
)

const fileHeader = "default: {cluster: {class: c, team: t, image: i, cpus: 1}}\nstages: [one, two, three]\n"

// harness executes a run against a simulated controller.
type harness struct {
	t         *testing.T
	execution Execution
	nowMS     int64
	attempts  map[string]*Observation // by the id of the attempt
	actionLog []string                // names of submitted jobs after "+", names of cancelled jobs after "-"
}

func newHarness(t *testing.T, file string) *harness {
	t.Helper()
	plan, _, err := pipeline.Parse([]byte(fileHeader+file), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t:         t,
		execution: Execution{Plan: plan, JobStates: NewJobStates(len(plan.Jobs))},
		nowMS:     1000,
		attempts:  map[string]*Observation{},
	}
}

func (h *harness) ref(job int) string { return JobRef("run-1", job, h.execution.JobStates[job]) }

func (h *harness) observe(job int) Observation {
	if observation := h.attempts[h.ref(job)]; observation != nil {
		return *observation
	}
	return Observation{IsUnknown: true}
}

// step calls Step and performs the returned actions until Step returns none.
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
	h.t.Fatal("Step still returns actions after 10 calls")
}

func (h *harness) perform(action Action) {
	name, ref := h.execution.Plan.Jobs[action.Job].Name, h.ref(action.Job)
	switch observation := h.attempts[ref]; {
	case action.IsSubmission:
		h.attempts[ref] = &Observation{IsUnfinished: true, AcceptedAtMS: h.nowMS}
		h.actionLog = append(h.actionLog, "+"+name)
	case observation == nil:
		h.attempts[ref] = &Observation{IsCancelled: true} // never submitted
	case observation.IsUnfinished:
		observation.IsUnfinished, observation.IsCancelled = false, true
		h.actionLog = append(h.actionLog, "-"+name)
	}
}

// stepAfter advances the time by ms milliseconds and calls step.
func (h *harness) stepAfter(ms int64) {
	h.t.Helper()
	h.nowMS += ms
	h.step()
}

// unfinishedObservation returns the observation of a job's current attempt. It fails the test if the attempt is
// not in progress.
func (h *harness) unfinishedObservation(name string) *Observation {
	h.t.Helper()
	job := slices.IndexFunc(h.execution.Plan.Jobs, func(job pipeline.Job) bool { return job.Name == name })
	observation := h.attempts[h.ref(job)]
	if observation == nil || !observation.IsUnfinished {
		h.t.Fatalf("%s is not in progress", name)
	}
	return observation
}

// complete marks the current attempt of a job as done and calls step.
func (h *harness) complete(name string) {
	h.t.Helper()
	observation := h.unfinishedObservation(name)
	observation.IsUnfinished, observation.IsDone = false, true
	h.step()
}

// fail marks the current attempt of a job as faulty and calls step.
func (h *harness) fail(name string) {
	h.t.Helper()
	h.unfinishedObservation(name).IsFaulty = true
	h.step()
}

// expectLog checks which jobs were submitted and cancelled since the log was last cleared, and clears it.
func (h *harness) expectLog(want string) {
	h.t.Helper()
	if got := strings.Join(h.actionLog, " "); got != want {
		h.t.Errorf("actions: %s\nwant: %s", got, want)
	}
	h.actionLog = nil
}

// expectStatuses checks the statuses of all jobs, given by the letters that are recorded.
func (h *harness) expectStatuses(want string) {
	h.t.Helper()
	if got := EncodeProgress(h.execution.JobStates).Status; got != want {
		h.t.Errorf("statuses %s, want %s", got, want)
	}
}

// expectRunStatus checks the status of the run and whether it is final.
func (h *harness) expectRunStatus(wantStatus RunStatus, wantFinal bool) {
	h.t.Helper()
	if status, isFinal := h.execution.Status(); status != wantStatus || isFinal != wantFinal {
		h.t.Errorf("run %s, final %v; want %s, %v", status, isFinal, wantStatus, wantFinal)
	}
}

func TestStagesAndNeedsDetermineStartOrder(t *testing.T) {
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
	h.expectLog("+d") // its needs replace the order of the stages
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
	h.expectRunStatus(RunSucceeded, true)
}

const retryFile = `
work: {stage: one, timeout: 10s, retry: {max: 2, when: job_execution_timeout}}
soft: {stage: one, allow_failure: true}
next: {stage: two}
undo: {stage: two, when: on_failure}
tell: {stage: three, when: always}
`

func TestRunSucceedsAfterSuccessfulRetry(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.expectLog("+work +soft")
	h.fail("soft") // its failure is allowed
	h.expectLog("-soft")
	h.stepAfter(10_001)
	h.expectLog("-work +work")
	h.stepAfter(10_001)
	h.expectLog("-work +work") // the second and last retry
	h.complete("work")         // the second retry succeeds
	h.expectLog("+next")
	h.complete("next")
	h.expectLog("+tell")
	h.complete("tell")
	h.expectStatuses("sfsks")
	h.expectRunStatus(RunSucceeded, true)
}

func TestOnFailureJobsRunAfterLastRetryFails(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.complete("soft")
	h.actionLog = nil
	for range 3 {
		h.stepAfter(10_001)
	}
	h.expectLog("-work +work -work +work -work +undo")
	h.complete("undo")
	h.expectLog("+tell")
	h.complete("tell")
	h.expectStatuses("fskss")
	h.expectRunStatus(RunFailed, true)
}

func TestFailureWithOtherCauseIsNotRetried(t *testing.T) {
	h := newHarness(t, retryFile)
	h.step()
	h.complete("soft")
	h.actionLog = nil
	h.fail("work")
	h.expectLog("-work +undo")
}

func TestManualJobsWaitForUserAndDelayedJobsForTime(t *testing.T) {
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
	h.expectRunStatus(RunManual, false)
	h.execution.JobStates[1].ManuallyStarted = true
	h.step()
	h.expectLog("+gate")
	h.complete("gate")
	h.expectLog("+after")
	h.complete("after")
	h.expectStatuses("ssmsk")
	h.expectRunStatus(RunSucceeded, true)
}

const cancellationFile = `
quick: {stage: one, interruptible: true}
slow: {stage: one}
next: {stage: two}
tell: {stage: three, when: always}
`

func TestDrainingRunStartsNoFurtherJobs(t *testing.T) {
	h := newHarness(t, cancellationFile)
	h.step()
	h.execution.CancelMode = CancelDrain
	h.actionLog = nil
	h.step()
	h.expectLog("-quick")
	h.expectStatuses("cacc")
	h.expectRunStatus(RunStopping, false)
	h.complete("slow")
	h.expectLog("")
	h.expectStatuses("cscc")
	h.expectRunStatus(RunCancelled, true)
}

func TestJobThatCompletesDuringCancellationSucceeds(t *testing.T) {
	h := newHarness(t, cancellationFile)
	h.step()
	h.execution.CancelMode = CancelNow
	slowJob := h.unfinishedObservation("slow")
	slowJob.IsUnfinished, slowJob.IsDone = false, true
	h.actionLog = nil
	h.step()
	h.expectLog("-quick")
	h.expectStatuses("cscc")
}

// runWithFailovers executes a run and calls takeOver after each event, to simulate that another controller
// continues the run. It returns the actions and the final status.
func runWithFailovers(t *testing.T, takeOver func(h *harness)) string {
	t.Helper()
	h := newHarness(t, `
a: {stage: one, timeout: 10s, retry: 1}
b: {stage: one}
c: {stage: two, when: delayed, start_in: 3s}
d: {stage: two, needs: [b]}
e: {stage: three, when: manual, allow_failure: false}
`)
	h.execution.Plan.Jobs[0].ResourceGroup = "g"
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
	status, isFinal := h.execution.Status()
	if !isFinal {
		t.Error("the status of the run is not final")
	}
	return strings.Join(h.actionLog, " ") + " " + string(status)
}

// loadRecord encodes the current job states as a record, and continues the run with the decoded states.
func loadRecord(t *testing.T, h *harness) {
	t.Helper()
	states, err := EncodeProgress(h.execution.JobStates).JobStates(len(h.execution.JobStates))
	if err != nil {
		t.Fatal(err)
	}
	h.execution.JobStates = states
	h.step()
}

// loadOldestRecord continues the run from the oldest record that a crashed leader may have left: the initial
// record, with only those changes that have to be recorded before the actions that depend on them.
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

// A controller that continues a run from its record reaches the same states, regardless of the event after which
// the former leader crashed.
func TestRecordIsSufficientForFailover(t *testing.T) {
	logWithoutFailover := runWithFailovers(t, func(*harness) {})
	logWithCurrentRecord := runWithFailovers(t, func(h *harness) { loadRecord(t, h) })
	if logWithoutFailover != "+a +b +d -a +a +c +e success" || logWithCurrentRecord != logWithoutFailover {
		t.Errorf("uninterrupted: %s\nwith failovers: %s", logWithoutFailover, logWithCurrentRecord)
	}
	// Jobs that the controller already has are not submitted a second time.
	logWithOldestRecord := runWithFailovers(t, loadOldestRecord)
	if submissionCount := strings.Count(logWithOldestRecord, "+"); submissionCount != 6 || !strings.HasSuffix(logWithOldestRecord, string(RunSucceeded)) {
		t.Errorf("with the oldest record: %s", logWithOldestRecord)
	}
}
