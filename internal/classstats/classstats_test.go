package classstats

import (
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// The buffer was as large as all that arrives in a boot time, although what ends
// meanwhile makes room: 77 machines too many on a large deployment.
func TestTheGrowthBufferCountsWhatEnds(t *testing.T) {
	b, now := New(), time.Now()
	spec := jobs.Spec{Class: "c", Kind: jobs.Gang, Urgency: "high", Tasks: 8, CPU: 7, EstimatedRunSeconds: 70}
	var running []RunningJob
	for i := range 20 { // read in any order
		at := now.Add(-time.Duration((i*7)%20+1) * 3 * time.Second)
		b.RecordArrival(&jobs.JobRecord{Spec: spec, AcceptedAtMS: at.UnixMilli()}, at.UnixMilli(), now)
		running = append(running, RunningJob{"c", 8, 70}, RunningJob{"other", 500, 1})
	}
	empty, full := b.GrowthBuffers(now, 35, 1, nil)[0].Tasks, b.GrowthBuffers(now, 35, 1, running)[0].Tasks
	// 8 tasks each 3 s: 93 in a boot time, of which 20 running jobs end 80.
	if empty < 93 || full > empty-40 || full < 20 {
		t.Errorf("buffer %v without and %v with work that ends", empty, full)
	}
	if g := b.GrowthBuffers(now.Add(2*time.Minute), 35, 1, nil); len(g) > 0 {
		t.Errorf("a class that has stopped has a buffer: %+v", g)
	}
}

func TestEstimatesAreCorrectedWithinBounds(t *testing.T) {
	b := New()
	rec := &jobs.JobRecord{Spec: jobs.Spec{Class: "c", EstimatedRunSeconds: 100}}
	for range 30 {
		b.RecordRunTime(rec, 50)
	}
	if x := b.ExpectedTaskSeconds(rec); x < 49 || x > 55 {
		t.Errorf("expected %v s of tasks that take 50", x)
	}
	for range 500 {
		b.RecordRunTime(rec, 1)
	}
	if x := b.ExpectedTaskSeconds(rec); x < 29.9 {
		t.Errorf("corrected beyond belief: %v s", x)
	}
}
