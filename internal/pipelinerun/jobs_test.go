package pipelinerun_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
)

// A job that times out is retried as often as the file says. If another user's job already has the
// id of an attempt, the attempt gets another id, and the other user's job is left alone.
func TestTimedOutJobIsRetriedAndTakenJobIDIsReplaced(t *testing.T) {
	const file = fileHeader + `
long: {stage: one, timeout: 6s, retry: 1, cluster: {estimate_s: 60}}
fine: {stage: one}
undo: {stage: two, when: on_failure}
`
	runScenario(t, func(t *testing.T, c *testCluster) {
		otherUsersSpec := fake.JobSpec(firstAttemptRef("run-7", 1), jobs.Array, 1, 1)
		c.Submit("n2", otherUsersSpec, 20*time.Second)
		c.create("n0", "run-7", file)
		run := c.awaitFinished("n1", "run-7", 60*time.Second)
		if run.Status != pipelineexec.RunFailed || describeJobs(run) != "long failed, fine success, undo success" || run.Jobs[0].Attempt != 1 ||
			run.Jobs[0].Reason != string(pipeline.CauseTimeout) {
			t.Errorf("%s: %s %+v", run.Status, describeJobs(run), run.Jobs[0])
		}
		if run.Jobs[1].Ref == otherUsersSpec.Ref {
			t.Error("another user's job was taken for the job of the run")
		}
		if !c.WaitForStatus("n0", otherUsersSpec.Ref, jobs.Done, 30*time.Second) {
			t.Error("the other user's job was not done")
		}
	})
}

// A job that another controller reports as faulty is cancelled, and retried as the file says. A job
// that merely takes long is not cancelled.
func TestFaultyJobReportedByPeerFails(t *testing.T) {
	const file = fileHeader + `
work: {stage: one, retry: {max: 1, when: script_failure}, cluster: {estimate_s: 30}}
`
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-1", file)
		leaderNode := c.leadingController("run-1")
		otherNode := otherController[leaderNode]
		time.Sleep(5 * time.Second)
		for attempt := range 2 {
			if run := c.leader(leaderNode).Get("run-1").Run; run.Jobs[0].Attempt != attempt || run.Jobs[0].Status != "running" {
				t.Fatalf("before the report: %+v", run.Jobs[0])
			}
			ref := pipelineexec.JobRef("run-1", 0, pipelineexec.JobState{Attempt: attempt})
			heartbeat, err := peer.Decode(peer.Encode(peer.Heartbeat{Node: otherNode, Synced: true, FaultyJobs: []string{ref}})[4:])
			if err != nil {
				t.Fatal(err)
			}
			c.Nodes[leaderNode].Controller.HandlePeerHeartbeat(heartbeat)
			time.Sleep(3 * time.Second)
		}
		if run := c.awaitFinished("n2", "run-1", 10*time.Second); run.Status != pipelineexec.RunFailed || run.Jobs[0].Reason != string(pipeline.CauseScriptFailure) {
			t.Errorf("%s: %+v", run.Status, run.Jobs[0])
		}
	})
}

// The jobs of a resource group run one at a time, even if they belong to different runs that are
// led by different controllers. A manual job starts when a user starts it.
func TestResourceGroupsRunOneJobAtATimeAndManualJobsWait(t *testing.T) {
	const file = fileHeader + `
push: {stage: one, resource_group: lamps}
gate: {stage: two, when: manual, allow_failure: false}
`
	runScenario(t, func(t *testing.T, c *testCluster) {
		ids := []string{"run-1", "run-2", "run-3"}
		for i, id := range ids {
			c.create(controllers[i], id, file)
		}
		checkOneJobOfGroupRuns(t, c, ids)
		for i, id := range ids {
			leader := c.leader(controllers[(i+1)%3])
			if run := leader.Get(id).Run; run.Status != pipelineexec.RunManual {
				t.Errorf("%s is %s: %s", id, run.Status, describeJobs(run))
			}
			if response := leader.StartManualJob(id, "gate"); response.Code != 200 {
				t.Errorf("response to the start of the manual job of %s: %+v", id, response)
			}
			c.awaitSuccess("n0", id, 20*time.Second)
		}
		if keys := c.Store.Keys(jobs.OpaquePrefix + "group/"); len(keys) > 0 {
			t.Errorf("records of groups remain: %v", keys)
		}
	})
}

// checkOneJobOfGroupRuns checks for 25 seconds that at most one of the first jobs of the runs is in
// progress.
func checkOneJobOfGroupRuns(t *testing.T, c *testCluster, runs []string) {
	t.Helper()
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		runningCount := 0
		for _, id := range runs {
			runningCount += len(c.RunningOn(jobs.TaskName(firstAttemptRef(id, 0), 0)))
		}
		if runningCount > 1 {
			t.Fatalf("%d jobs of a group run", runningCount)
		}
	}
}

// A run that is requested again with the same id and file is created only once. A request with the same
// id and another file is rejected.
func TestCreateIsIdempotent(t *testing.T) {
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-8", diamond)
		time.Sleep(time.Second)
		if response := c.leader("n1").Create("run-8", "test", []byte(diamond), parsePlan(t, diamond)); response.Code != 200 {
			t.Errorf("repeated request: %+v", response)
		}
		if response := c.leader("n2").Create("run-8", "test", []byte(fileHeader), parsePlan(t, diamond)); response.Code != 409 {
			t.Errorf("request with another file: %+v", response)
		}
		c.awaitFinished("n1", "run-8", 60*time.Second)
		if response := c.leader("n2").Create("run-8", "test", []byte(diamond), parsePlan(t, diamond)); response.Code != 200 || !response.Run.IsFinished {
			t.Errorf("request after the end of the run: %+v", response)
		}
	})
}

// runHistory records where the tasks of a run are placed, how often they start, and how its jobs
// end.
type runHistory struct {
	machines    map[string]string // by task
	results     []string
	startCounts map[string]int
}

// recordPlacements records the machines on which the tasks of a plan run now, and then waits for 10
// ms.
func (history *runHistory) recordPlacements(c *testCluster, plan *pipeline.Plan, runID string) {
	for i, job := range plan.Jobs {
		for k := range job.Spec.Tasks {
			task := jobs.TaskName(firstAttemptRef(runID, i), k)
			if machines := c.RunningOn(task); len(machines) > 0 {
				history.machines[task] = fmt.Sprint(machines)
			}
		}
	}
	time.Sleep(10 * time.Millisecond)
}

// recordResults records how the jobs of a plan ended, and how often their tasks were started.
func (history *runHistory) recordResults(c *testCluster, plan *pipeline.Plan, runID string) {
	for i := range plan.Jobs {
		response := c.Poll("n0", firstAttemptRef(runID, i))
		history.results = append(history.results, fmt.Sprint(response.Status, response.DoneTasks))
	}
	history.startCounts = c.StartCounts()
}

// The same jobs are run as a pipeline and as single submissions, at the same times and with the
// same ids. They must run on the same machines, start as often, and have the same results.
func TestPipelineRunsLikeSingleSubmissions(t *testing.T) {
	const id = "run-5"
	plan := parsePlan(t, diamond)
	pipelineHistory, acceptedAt := runDiamond(t, plan, id)
	singleHistory := submitIndividually(t, plan, id, acceptedAt)
	if len(pipelineHistory.machines) != 7 || fmt.Sprint(pipelineHistory.machines) != fmt.Sprint(singleHistory.machines) {
		t.Errorf("machines as a pipeline: %v\nas single submissions: %v", pipelineHistory.machines, singleHistory.machines)
	}
	if fmt.Sprint(pipelineHistory.results) != fmt.Sprint(singleHistory.results) || pipelineHistory.results[3] != "done1" {
		t.Errorf("results as a pipeline %v, as single submissions %v", pipelineHistory.results, singleHistory.results)
	}
	if len(pipelineHistory.startCounts) != 7 || fmt.Sprint(pipelineHistory.startCounts) != fmt.Sprint(singleHistory.startCounts) {
		t.Errorf("starts as a pipeline %v, as single submissions %v", pipelineHistory.startCounts, singleHistory.startCounts)
	}
}

// runDiamond runs the diamond pipeline. acceptedAt contains the time at which each of its jobs was
// accepted.
func runDiamond(t *testing.T, plan *pipeline.Plan, id string) (history *runHistory, acceptedAt []time.Time) {
	t.Helper()
	history = &runHistory{machines: map[string]string{}}
	acceptedAt = make([]time.Time, len(plan.Jobs))
	runSingleController(t, func(t *testing.T, c *testCluster) {
		c.create("n0", id, diamond)
		leader := c.leader("n0")
		for response := leader.Get(id); response.Run == nil || !response.Run.IsFinished; response = leader.Get(id) {
			history.recordPlacements(c, plan, id)
			for i := range plan.Jobs {
				if record, found := c.jobRecord(firstAttemptRef(id, i)); found {
					acceptedAt[i] = time.UnixMilli(record.AcceptedAtMS)
				}
			}
		}
		history.recordResults(c, plan, id)
		if run := leader.Get(id).Run; describeJobs(run) != "top success, left success, right success, end success" {
			t.Errorf("%s: %s", run.Status, describeJobs(run))
		}
	})
	return history, acceptedAt
}

func submitIndividually(t *testing.T, plan *pipeline.Plan, id string, acceptedAt []time.Time) *runHistory {
	t.Helper()
	history := &runHistory{machines: map[string]string{}}
	runSingleController(t, func(_ *testing.T, c *testCluster) {
		for i, job := range plan.Jobs {
			spec := job.Spec
			spec.Ref = firstAttemptRef(id, i)
			time.AfterFunc(time.Until(acceptedAt[i]), func() { c.Submit("n0", spec, 3*time.Second) })
		}
		for start := time.Now(); time.Since(start) < 30*time.Second; {
			history.recordPlacements(c, plan, id)
		}
		history.recordResults(c, plan, id)
	})
	return history
}
