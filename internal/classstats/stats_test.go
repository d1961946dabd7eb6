package classstats

import (
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// The buffer was as large as all arrivals during a boot, although the jobs that end meanwhile
// make room: 77 machines too many on a large deployment.
func TestGrowthBufferSubtractsEndingJobs(t *testing.T) {
	stats, now := New(), time.Now()
	spec := jobs.Spec{Class: "c", Kind: jobs.Gang, Urgency: "high", Tasks: 8, CPU: 7, EstimatedRunSeconds: 70}
	var running []RunningJob
	for i := range 20 { // in any order
		arrivedAt := now.Add(-time.Duration((i*7)%20+1) * 3 * time.Second)
		stats.RecordArrival(&jobs.JobRecord{Spec: spec, AcceptedAtMS: arrivedAt.UnixMilli()}, arrivedAt.UnixMilli(), now)
		running = append(running, RunningJob{Class: "c", Tasks: 8, ExpectedSeconds: 70}, RunningJob{Class: "other", Tasks: 500, ExpectedSeconds: 1})
	}
	withoutRunning := stats.GrowthBuffers(now, 35, 1, nil)[0].Tasks
	withRunning := stats.GrowthBuffers(now, 35, 1, running)[0].Tasks
	// 8 tasks each 3 s: 93 arrive during a boot, while 80 of the 20 running jobs end.
	if withoutRunning < 93 || withRunning > withoutRunning-40 || withRunning < 20 {
		t.Errorf("buffer of %v tasks without and %v with ending jobs", withoutRunning, withRunning)
	}
	if buffers := stats.GrowthBuffers(now.Add(2*time.Minute), 35, 1, nil); len(buffers) > 0 {
		t.Errorf("a paused class has a buffer: %+v", buffers)
	}
}

func TestEstimateCorrectionIsBounded(t *testing.T) {
	stats := New()
	job := &jobs.JobRecord{Spec: jobs.Spec{Class: "c", EstimatedRunSeconds: 100}}
	for range 30 {
		stats.RecordRunTime(job, 50)
	}
	if expected := stats.ExpectedTaskSeconds(job); expected < 49 || expected > 55 {
		t.Errorf("expected run time %v s of tasks that take 50 s", expected)
	}
	for range 500 {
		stats.RecordRunTime(job, 1)
	}
	if expected := stats.ExpectedTaskSeconds(job); expected < 29.9 {
		t.Errorf("expected run time %v s, below the bound of the correction", expected)
	}
}
