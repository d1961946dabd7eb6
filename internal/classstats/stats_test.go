package classstats

import (
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// Jobs that end during a boot reduce the growth buffer. A buffer that counted all arrivals during a boot,
// without subtracting these jobs, was 77 machines too large on a large deployment.
func TestGrowthBufferSubtractsEndingJobs(t *testing.T) {
	stats, now := New(), time.Now()
	spec := jobs.Spec{Class: "c", Kind: jobs.Gang, Urgency: "high", Tasks: 8, CPU: 7, EstimatedRunSeconds: 70}
	var runningJobs []RunningJob
	for i := range 20 { // not in the order of arrival
		arrivedAt := now.Add(-time.Duration((i*7)%20+1) * 3 * time.Second)
		stats.RecordArrival(&jobs.JobRecord{Spec: spec, AcceptedAtMS: arrivedAt.UnixMilli()}, arrivedAt.UnixMilli(), now)
		runningJobs = append(runningJobs, RunningJob{Class: "c", Tasks: 8, ExpectedRunSeconds: 70}, RunningJob{Class: "other", Tasks: 500, ExpectedRunSeconds: 1})
	}
	withoutRunning := stats.GrowthBuffers(now, 35, 1, nil)[0].Tasks
	withRunning := stats.GrowthBuffers(now, 35, 1, runningJobs)[0].Tasks
	// 8 tasks arrive every 3 s: 93 during a boot. During the same time, 80 tasks of the 20 running jobs end.
	if withoutRunning < 93 || withRunning > withoutRunning-40 || withRunning < 20 {
		t.Errorf("buffer of %v tasks without and %v with ending jobs", withoutRunning, withRunning)
	}
	if buffers := stats.GrowthBuffers(now.Add(2*time.Minute), 35, 1, nil); len(buffers) > 0 {
		t.Errorf("an inactive class has a buffer: %+v", buffers)
	}
}

func TestEstimateCorrectionIsBounded(t *testing.T) {
	stats := New()
	job := &jobs.JobRecord{Spec: jobs.Spec{Class: "c", EstimatedRunSeconds: 100}}
	for range 30 {
		stats.RecordRunTime(job, 50)
	}
	if expected := stats.ExpectedTaskSeconds(job); expected < 49 || expected > 55 {
		t.Errorf("expected run time is %v s, but the tasks take 50 s", expected)
	}
	for range 500 {
		stats.RecordRunTime(job, 1)
	}
	if expected := stats.ExpectedTaskSeconds(job); expected < 29.9 {
		t.Errorf("expected run time is %v s, below the lower bound of the correction", expected)
	}
}
