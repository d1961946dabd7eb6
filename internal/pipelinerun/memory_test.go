package pipelinerun

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
)

// What a leader holds for its runs: bytes for each job, in one run of 500 jobs and in 200
// runs of ten, and the time of a step in which nothing is new.
func BenchmarkHeld(b *testing.B) {
	for _, x := range []struct{ runs, jobs int }{{1, 500}, {200, 10}} {
		b.Run(fmt.Sprintf("runs=%d/jobs=%d", x.runs, x.jobs), func(b *testing.B) {
			var file strings.Builder
			file.WriteString("default: {cluster: {class: c, team: t, image: i, cpus: 1}}\n")
			for i := range x.jobs {
				fmt.Fprintf(&file, "street-%d: {stage: test, needs: []}\n", i)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var all []*runState
			for i := range x.runs {
				plan, _, err := pipeline.Parse([]byte(file.String()), nil, nil)
				if err != nil {
					b.Fatal(err)
				}
				packed, err := plan.Compress()
				if err != nil {
					b.Fatal(err)
				}
				if plan, err = pipeline.DecompressPlan(packed); err != nil { // as it is read from the record
					b.Fatal(err)
				}
				all = append(all, &runState{id: fmt.Sprintf("run-%d", i), observations: map[string]pipelineexec.Observation{}, record: runRecord{Plan: packed},
					execution: &pipelineexec.Execution{Plan: plan, JobStates: pipelineexec.NewJobStates(x.jobs)}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := float64(after.HeapAlloc-before.HeapAlloc) / float64(x.runs*x.jobs)
			seen := func(int) pipelineexec.Observation { return pipelineexec.Observation{IsUnfinished: true} }
			for b.Loop() {
				for _, r := range all {
					r.execution.Step(1, seen)
				}
			}
			b.ReportMetric(held, "held-B/job")
			runtime.KeepAlive(all)
		})
	}
}
