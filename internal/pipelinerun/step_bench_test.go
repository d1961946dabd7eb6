package pipelinerun

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
)

// BenchmarkIdleStep measures the memory that a leader needs for its runs, in bytes for each job,
// with one run of 500 jobs and with 200 runs of ten jobs. It also measures the time of a step in
// which nothing changes.
func BenchmarkIdleStep(b *testing.B) {
	for _, size := range []struct{ runs, jobs int }{{1, 500}, {200, 10}} {
		b.Run(fmt.Sprintf("runs=%d/jobs=%d", size.runs, size.jobs), func(b *testing.B) {
			file := independentJobsFile(size.jobs)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var runs []*runState
			for i := range size.runs {
				runs = append(runs, newIdleRun(b, fmt.Sprintf("run-%d", i), file))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytesPerJob := float64(after.HeapAlloc-before.HeapAlloc) / float64(size.runs*size.jobs)
			observe := func(int) pipelineexec.Observation { return pipelineexec.Observation{IsUnfinished: true} }
			for b.Loop() {
				for _, run := range runs {
					run.execution.Step(1, observe)
				}
			}
			b.ReportMetric(bytesPerJob, "held-B/job")
			runtime.KeepAlive(runs)
		})
	}
}

// independentJobsFile returns a pipeline file of jobs that do not depend on each other.
func independentJobsFile(jobCount int) string {
	var file strings.Builder
	file.WriteString("default: {cluster: {class: c, team: t, image: i, cpus: 1}}\n")
	for i := range jobCount {
		fmt.Fprintf(&file, "street-%d: {stage: test, needs: []}\n", i)
	}
	return file.String()
}

// newIdleRun returns a run in the state that follows from reading its record.
func newIdleRun(b *testing.B, id, file string) *runState {
	b.Helper()
	plan, _, err := pipeline.Parse([]byte(file), nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	compressed, err := plan.Compress()
	if err != nil {
		b.Fatal(err)
	}
	if plan, err = pipeline.DecompressPlan(compressed); err != nil {
		b.Fatal(err)
	}
	return &runState{
		id:           id,
		observations: map[string]pipelineexec.Observation{},
		record:       runRecord{Plan: compressed},
		execution:    &pipelineexec.Execution{Plan: plan, JobStates: pipelineexec.NewJobStates(len(plan.Jobs))},
	}
}
