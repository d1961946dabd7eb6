package main

import (
	"encoding/json"
	"strings"
	"testing"

	"cherrywall/examples"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelinerun"
)

// parseExample returns the plan of the example pipeline file.
func parseExample(t *testing.T) *pipeline.Plan {
	t.Helper()
	plan, _, err := pipeline.Parse(examples.DuskPipeline, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestGraphListsDependencies(t *testing.T) {
	text := graphAsText(parseExample(t))
	for _, want := range []string{"plan (plan, on_success)\n", "push: [mill] (push, on_success) after plan\n",
		"restore (report, on_failure) after push: [harbour], push: [mill], push: [orchard]\n", "report (report, always) after all before stage report\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("no line %q in the graph:\n%s", want, text)
		}
	}
	if dot := graphAsDOT(parseExample(t)); !strings.Contains(dot, `"plan" -> "push: [mill]";`) || !strings.Contains(dot, `"sweep" -> "report" [style=dashed];`) {
		t.Errorf("DOT: %s", dot)
	}
}

// On a terminal, each tree replaces the previous one; elsewhere, each change is printed as a line.
func TestProgressIsTreeOnTerminalAndLinesElsewhere(t *testing.T) {
	run := &pipelinerun.RunView{ID: "run-1", Name: "dusk", Status: "running", Stages: []string{"one", "two"}, Ended: 1, Jobs: []pipelinerun.JobView{
		{Name: "a", Stage: "one", Status: "success", Tasks: 2, DoneTasks: 2}, {Name: "b", Stage: "two", Status: "running", Tasks: 3, DoneTasks: 1, RunningTasks: 2, Attempt: 1, Retries: 2}}}
	var terminalOutput, plainOutput strings.Builder
	terminalDisplay, plainDisplay := newProgressDisplay(true), newProgressDisplay(false)
	for range 2 {
		terminalOutput.WriteString(terminalDisplay.update(run))
		plainOutput.WriteString(plainDisplay.update(run))
	}
	run.Jobs[1].Status, run.Jobs[1].RunningTasks, run.Jobs[1].Reason = "failed", 0, "job_execution_timeout"
	plainOutput.WriteString(plainDisplay.update(run))
	tree := "run-1 dusk: running, 1 of 2 jobs ended\n├─ one\n│  ✔ a: success\n├─ two\n│  ▶ b: running, 1 of 3 tasks done, 2 running, retry 1 of 2\n"
	if want := tree + "\x1b[5A\x1b[J" + tree; terminalOutput.String() != want {
		t.Errorf("on a terminal: %q", terminalOutput.String())
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(plainOutput.String()), "\n") {
		_, lineWithoutTime, _ := strings.Cut(line, "  ")
		lines = append(lines, lineWithoutTime)
	}
	if want := "a: success|b: running, 1 of 3 tasks done, 2 running, retry 1 of 2|run run-1: running|b: failed (job_execution_timeout), retry 1 of 2"; strings.Join(lines, "|") != want {
		t.Errorf("in a pipe: %q", lines)
	}
}

func TestSubmitFlagsDetermineSpec(t *testing.T) {
	spec, err := submitCmd{Class: "dusk", Team: "ops", Kind: "gang", Tasks: 3, CPUs: 2, Image: "i", Zone: "a"}.spec()
	if err != nil || spec.Kind != "group" || spec.Urgency != "normal" || spec.Tasks != 3 || *spec.Zone != "a" || !strings.HasPrefix(spec.Ref, "cli-") {
		t.Errorf("%+v %v", spec, err)
	}
	spec, err = submitCmd{After: []string{"wk-1", "wk-2"}, Due: 90}.spec()
	if err != nil || len(spec.DependsOn) != 2 || *spec.DeadlineSeconds != 90 {
		t.Errorf("%+v %v", spec, err)
	}
}

// Besides the format of a table, the test checks that each column of the jobs table is a key of
// the encoded view.
func TestFormatViewFollowsViewColumns(t *testing.T) {
	table := formatView("workers", []any{map[string]any{"worker": "i-1", "share": "n0", "free": map[string]any{"cpu": 4.0, "gpu": 0.0, "mem": 16.0},
		"tasks": []any{1, 2}}})
	if table != "WORKER\tSHARE\tBUILD\tZONE\tSPOT\tSTATE\tFREE\tTASKS\tERRORS\ni-1\tn0\t\t\t\t\t4 cpu 0 gpu 16 gb\t2\t\n" {
		t.Errorf("%q", table)
	}
	encodedBody, err := json.Marshal(diagnostics.JobView{WaitReason: "x"})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range viewColumns["jobs"] {
		if !strings.Contains(string(encodedBody), `"`+key+`":`) {
			t.Errorf("jobs have no key %s", key)
		}
	}
}
