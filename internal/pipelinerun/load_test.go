package pipelinerun_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A run with 500 jobs in one file succeeds, and small runs take at most 3.5 writes to the store
// each on average.
func TestLargeRunSucceedsAndSmallRunsNeedFewWrites(t *testing.T) {
	var file strings.Builder
	file.WriteString(fileHeader)
	for i := range 500 {
		fmt.Fprintf(&file, "street-%d: {stage: one, cluster: {cpus: 0.2, memory_gb: 0.1}}\n", i)
	}
	runScenario(t, func(t *testing.T, c *testCluster) {
		countBefore := c.Store.WriteCountOf(jobs.OpaquePrefix)
		c.create("n0", "run-1", file.String())
		if run := c.awaitSuccess("n1", "run-1", 6*time.Minute); run.Ended != 500 {
			t.Errorf("%s, %d jobs ended", run.Status, run.Ended)
		}
		t.Logf("500 jobs: %d writes, not counting those of the jobs themselves", c.Store.WriteCountOf(jobs.OpaquePrefix)-countBefore)

		countBefore = c.Store.WriteCountOf(jobs.OpaquePrefix)
		for i := range 40 {
			c.create(controllers[i%3], fmt.Sprintf("run-%d", 100+i), diamond)
		}
		for i := range 40 {
			c.awaitFinished("n2", fmt.Sprintf("run-%d", 100+i), 4*time.Minute)
		}
		if writesPerRun := float64(c.Store.WriteCountOf(jobs.OpaquePrefix)-countBefore) / 40; writesPerRun > 3.5 {
			t.Errorf("%.2f writes for each run", writesPerRun)
		}
	})
}

// Runs of ten jobs, created at a rate of 200 a minute, take less than a quarter of the 50 writes a
// second that the store of the smaller deployment allows. During that time, a user's own
// requests are answered within 300 ms.
func TestTwoHundredRunsAMinuteStayWithinWriteBudget(t *testing.T) {
	const runCount = 60
	file := fileHeader + "a: {stage: one, parallel: 4, cluster: {cpus: 0.2, memory_gb: 0.1}}\nb: {stage: two, parallel: 5, cluster: {cpus: 0.2, memory_gb: 0.1}}\nc: {stage: three}\n"
	runScenario(t, func(t *testing.T, c *testCluster) {
		countBefore := c.Store.WriteCountOf(jobs.OpaquePrefix)
		longestRequestTime := time.Duration(0)
		for i := range runCount {
			c.create(controllers[i%3], fmt.Sprintf("run-%d", i+1), file)
			if i%20 == 10 {
				longestRequestTime = max(longestRequestTime, c.measureUserRequests(fmt.Sprintf("wk-%d", i)))
			}
			time.Sleep(300 * time.Millisecond)
		}
		for i := range runCount {
			c.awaitSuccess("n2", fmt.Sprintf("run-%d", i+1), 10*time.Minute)
		}
		writeCount := c.Store.WriteCountOf(jobs.OpaquePrefix) - countBefore
		t.Logf("%.2f writes for each run of 10 jobs, users waited for at most %v", float64(writeCount)/runCount, longestRequestTime)
		if float64(writeCount) > 50*runCount*0.3/4 || longestRequestTime > 300*time.Millisecond {
			t.Errorf("%d writes for %d runs, a user waited for %v", writeCount, runCount, longestRequestTime)
		}
		c.checkStartedOnce()
	})
}

// measureUserRequests submits and polls a job, and returns the time of the slower of the two requests.
func (c *testCluster) measureUserRequests(ref string) time.Duration {
	c.t.Helper()
	start := time.Now()
	if response := c.Submit("n1", fake.JobSpec(ref, jobs.Array, 1, 0.1), time.Second); response.Code != 201 {
		c.t.Errorf("response to a user's submission: %+v", response)
	}
	submissionTime := time.Since(start)
	// A poll waits until the cache is current; the records of runs must not delay that.
	start = time.Now()
	if response := c.Poll("n2", ref); response.Code != 200 {
		c.t.Errorf("response to a user's poll: %+v", response)
	}
	return max(submissionTime, time.Since(start))
}

// The test measures how much longer the time between the end of one job and the start of the next is
// in a pipeline than with single submissions. Ten jobs in a row run as a pipeline, and then as ten
// single submissions. Each of the single submissions is sent as soon as a poll, repeated ten times
// a second, reports the end of the previous job.
func TestPipelineAddsLittleDelayBetweenJobs(t *testing.T) {
	file := fileHeader
	for i := range 10 {
		needs := ""
		if i > 0 {
			needs = fmt.Sprintf("j%d", i-1)
		}
		file += fmt.Sprintf("j%d: {stage: one, needs: [%s]}\n", i, needs)
	}
	var pipelineTime, singleSubmissionTime time.Duration
	runSingleController(t, func(_ *testing.T, c *testCluster) {
		start := time.Now()
		c.create("n0", "run-1", file)
		leader := c.leader("n0")
		for response := leader.Get("run-1"); response.Run == nil || !response.Run.IsFinished; response = leader.Get("run-1") {
			time.Sleep(100 * time.Millisecond)
		}
		pipelineTime = time.Since(start)
	})
	runSingleController(t, func(t *testing.T, c *testCluster) {
		start := time.Now()
		for i := range 10 {
			spec := parsePlan(t, file).Jobs[i].Spec
			spec.Ref = fmt.Sprintf("wk-%d", i)
			c.Submit("n0", spec, 3*time.Second)
			for c.Poll("n0", spec.Ref).Status != jobs.Done {
				time.Sleep(100 * time.Millisecond)
			}
		}
		singleSubmissionTime = time.Since(start)
	})
	addedPerStep := (pipelineTime - singleSubmissionTime) / 10
	t.Logf("ten jobs in a row: %v as a pipeline, %v as single submissions: difference of %v for each step", pipelineTime, singleSubmissionTime, addedPerStep)
	if addedPerStep > 400*time.Millisecond {
		t.Errorf("each step takes %v more than with single submissions", addedPerStep)
	}
}
