package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"cherrywall/examples"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelinerun"
)

func dusk(t *testing.T) *pipeline.Plan {
	t.Helper()
	plan, _, err := pipeline.Parse(examples.Dusk, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestTheGraphTellsWhatWaitsForWhat(t *testing.T) {
	text := renderGraph(dusk(t), false)
	for _, want := range []string{"plan (plan, on_success)\n", "push: [mill] (push, on_success) after plan\n",
		"restore (report, on_failure) after push: [harbour], push: [mill], push: [orchard]\n", "report (report, always) after all before stage report\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("lacks %q:\n%s", want, text)
		}
	}
	if dot := renderGraph(dusk(t), true); !strings.Contains(dot, `"plan" -> "push: [mill]";`) || !strings.Contains(dot, `"sweep" -> "report" [style=dashed];`) {
		t.Errorf("%s", dot)
	}
}

// On a terminal the tree is drawn over the last one, elsewhere each change is a line.
func TestProgressOnATerminalAndElsewhere(t *testing.T) {
	run := &pipelinerun.RunView{ID: "run-1", Name: "dusk", Status: "running", Stages: []string{"one", "two"}, Ended: 1, Jobs: []pipelinerun.JobView{
		{Name: "a", Stage: "one", Status: "success", Tasks: 2, DoneTasks: 2}, {Name: "b", Stage: "two", Status: "running", Tasks: 3, DoneTasks: 1, RunningTasks: 2, Attempt: 1, Retries: 2}}}
	var live, plain bytes.Buffer
	on, off := &watcher{live: true, lastShown: map[string]string{}}, &watcher{lastShown: map[string]string{}}
	for range 2 {
		on.show(&live, run)
		off.show(&plain, run)
	}
	run.Jobs[1].Status, run.Jobs[1].RunningTasks, run.Jobs[1].Reason = "failed", 0, "job_execution_timeout"
	off.show(&plain, run)
	tree := "run-1 dusk: running, 1 of 2 jobs ended\n├─ one\n│  ✔ a: success\n├─ two\n│  ▶ b: running, 1 of 3 tasks done, 2 running, retry 1 of 2\n"
	if want := tree + "\x1b[5A\x1b[J" + tree; live.String() != want {
		t.Errorf("%q", live.String())
	}
	var lines []string
	for _, l := range strings.Split(strings.TrimSpace(plain.String()), "\n") {
		_, words, _ := strings.Cut(l, "  ")
		lines = append(lines, words)
	}
	if want := "a: success|b: running, 1 of 3 tasks done, 2 running, retry 1 of 2|run run-1: running|b: failed (job_execution_timeout), retry 1 of 2"; strings.Join(lines, "|") != want {
		t.Errorf("%q", lines)
	}
}

func TestASubmissionIsMadeOfFlags(t *testing.T) {
	s, err := submitCmd{Class: "dusk", Team: "ops", Kind: "gang", Tasks: 3, CPUs: 2, Image: "i", Zone: "a"}.spec()
	if err != nil || s.Kind != "group" || s.Urgency != "normal" || s.Tasks != 3 || *s.Zone != "a" || !strings.HasPrefix(s.Ref, "cli-") {
		t.Errorf("%+v %v", s, err)
	}
	s, err = submitCmd{After: []string{"wk-1", "wk-2"}, Due: 90}.spec()
	if err != nil || len(s.DependsOn) != 2 || *s.DeadlineSeconds != 90 {
		t.Errorf("%+v %v", s, err)
	}
}

// Every column of a table is one that the view has.
func TestViewsAreTablesForPeople(t *testing.T) {
	var out bytes.Buffer
	writeView(&out, "workers", []any{map[string]any{"worker": "i-1", "share": "n0", "free": map[string]any{"cpu": 4.0, "gpu": 0.0, "mem": 16.0},
		"tasks": []any{1, 2}}})
	if got := out.String(); got != "WORKER\tSHARE\tBUILD\tZONE\tSPOT\tSTATE\tFREE\tTASKS\tERRORS\ni-1\tn0\t\t\t\t\t4 cpu 0 gpu 16 gb\t2\t\n" {
		t.Errorf("%q", got)
	}
	raw, err := json.Marshal(diagnostics.JobView{WaitReason: "x"})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range viewColumns["jobs"] {
		if !strings.Contains(string(raw), `"`+key+`":`) {
			t.Errorf("jobs have no %s", key)
		}
	}
}
