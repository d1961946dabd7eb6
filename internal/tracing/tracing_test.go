package tracing

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
)

// Spans of a run that two leaders have seen in turn make one trace, with the run above the
// stages, the stages above the jobs, and the jobs above their tries.
func TestTheSpansOfARunAreOneTrace(t *testing.T) {
	var out bytes.Buffer
	plan, _, err := pipeline.Parse([]byte("default: {cluster: {class: c, team: t, image: i, cpus: 1}}\nstages: [one, two]\n"+
		"a: {stage: one, retry: 1}\nb: {stage: two}\n"), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	at := func(s int) time.Time { return time.UnixMilli(int64(1000 * s)) }
	first, again, done := pipelineexec.JobState{Status: pipelineexec.Active}, pipelineexec.JobState{Status: pipelineexec.Active, Attempt: 1}, pipelineexec.JobState{Status: pipelineexec.Succeeded, Attempt: 1}
	waits, ended := pipelineexec.JobState{Status: pipelineexec.Waiting}, pipelineexec.JobState{Status: pipelineexec.Succeeded}
	for i, steps := range [][][]pipelineexec.JobState{
		{{waits, waits}, {first, waits}, {again, waits}},
		{{again, waits}, {again, waits}, {done, waits}, {done, first}, {done, ended}},
	} {
		tr, end, err := NewTracer(&out, "n0")
		if err != nil {
			t.Fatal(err)
		}
		seen := NewStartTimes()
		if i == 1 { // what is under way began for this leader when it took the run over
			seen.job[0], seen.attempt[0] = at(20), at(20)
		}
		for k := 1; k < len(steps); k++ {
			tr.RecordStep("run-1", &seen, plan, steps[k-1], steps[k], at(10*i+k))
		}
		if i == 1 {
			tr.RecordEnd("run-1", "tale", pipelineexec.RunSucceeded, &seen, plan, at(0), at(30))
		}
		if err := end(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	type id struct{ TraceID, SpanID string }
	names, traces, above := map[string]string{}, map[string]bool{}, map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var s struct {
			Name                string
			SpanContext, Parent id
		}
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			t.Fatal(err)
		}
		names[s.SpanContext.SpanID], above[s.SpanContext.SpanID] = s.Name, s.Parent.SpanID
		traces[s.SpanContext.TraceID] = true
	}
	lines := map[string]int{}
	for span := range names {
		path := ""
		for at := span; names[at] != ""; at = above[at] {
			path = names[at] + " " + path
		}
		lines[strings.TrimSpace(path)]++
	}
	if len(traces) != 1 || lines["tale one a try"] != 2 || lines["tale two b try"] != 1 || lines["tale"] != 1 {
		t.Errorf("%d traces, %v", len(traces), lines)
	}
}
