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

const pipelineFile = "default: {cluster: {class: c, team: t, image: i, cpus: 1}}\nstages: [one, two]\n" +
	"a: {stage: one, retry: 1}\nb: {stage: two}\n"

// The spans of a run that is led by two leaders in turn form one trace, with the run above the
// stages, the stages above the jobs, and the jobs above their attempts.
func TestSpansOfTwoLeadersMakeOneTrace(t *testing.T) {
	var output bytes.Buffer
	plan, _, err := pipeline.Parse([]byte(pipelineFile), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var (
		waiting        = pipelineexec.JobState{Status: pipelineexec.Waiting}
		active         = pipelineexec.JobState{Status: pipelineexec.Active}
		retried        = pipelineexec.JobState{Status: pipelineexec.Active, Attempt: 1}
		retrySucceeded = pipelineexec.JobState{Status: pipelineexec.Succeeded, Attempt: 1}
		succeeded      = pipelineexec.JobState{Status: pipelineexec.Succeeded}
	)
	stepsByLeader := [][][]pipelineexec.JobState{
		{{waiting, waiting}, {active, waiting}, {retried, waiting}},
		{{retried, waiting}, {retried, waiting}, {retrySucceeded, waiting}, {retrySucceeded, active}, {retrySucceeded, succeeded}},
	}
	atSecond := func(seconds int) time.Time { return time.UnixMilli(int64(1000 * seconds)) }
	for leader, steps := range stepsByLeader {
		tracer, shutdown, err := NewTracer(&output, "n0")
		if err != nil {
			t.Fatal(err)
		}
		startTimes := NewStartTimes()
		if leader == 1 { // this leader regards the job in progress as started when it began to lead the run
			startTimes.jobs[0], startTimes.attempts[0] = atSecond(20), atSecond(20)
		}
		for k := 1; k < len(steps); k++ {
			tracer.RecordStep("run-1", &startTimes, plan, steps[k-1], steps[k], atSecond(10*leader+k))
		}
		if leader == 1 {
			tracer.RecordEnd("run-1", "test", pipelineexec.RunSucceeded, &startTimes, plan, atSecond(0), atSecond(30))
		}
		if err := shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	traceCount, paths := readSpans(t, output.String())
	if traceCount != 1 || paths["test one a try"] != 2 || paths["test two b try"] != 1 || paths["test"] != 1 {
		t.Errorf("%d traces, %v", traceCount, paths)
	}
}

// readSpans returns the number of traces, and the number of spans for each path. The path of a span
// consists of the names of its ancestors and its own name.
func readSpans(t *testing.T, output string) (traceCount int, paths map[string]int) {
	t.Helper()
	type ids struct{ TraceID, SpanID string }
	names, traces, parents := map[string]string{}, map[string]bool{}, map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
		var decoded struct {
			Name                string
			SpanContext, Parent ids
		}
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatal(err)
		}
		id := decoded.SpanContext.SpanID
		names[id], parents[id] = decoded.Name, decoded.Parent.SpanID
		traces[decoded.SpanContext.TraceID] = true
	}
	paths = map[string]int{}
	for id := range names {
		path := ""
		for ancestor := id; names[ancestor] != ""; ancestor = parents[ancestor] {
			path = names[ancestor] + " " + path
		}
		paths[strings.TrimSpace(path)]++
	}
	return len(traces), paths
}
