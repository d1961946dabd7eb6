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

// A job that times out is retried as often as the file says. An attempt whose id another user's job has
// taken gets another id, and that job is not touched.
func TestTimeoutRetryAndTakenJobID(t *testing.T) {
	const file = head + `
long: {stage: one, timeout: 6s, retry: 1, cluster: {estimate_s: 60}}
fine: {stage: one}
undo: {stage: two, when: on_failure}
`
	runScenario(t, func(t *testing.T, c *testCluster) {
		taken := fake.JobSpec(firstRef("run-7", 1), jobs.Array, 1, 1)
		c.Submit("n2", taken, 20*time.Second)
		c.create("n0", "run-7", file)
		run := c.awaitFinished("n1", "run-7", 60*time.Second)
		if run.Status != pipelineexec.RunFailed || describeJobs(run) != "long failed, fine success, undo success" || run.Jobs[0].Attempt != 1 ||
			run.Jobs[0].Reason != string(pipeline.CauseTimeout) {
			t.Errorf("%s: %s %+v", run.Status, describeJobs(run), run.Jobs[0])
		}
		if run.Jobs[1].Ref == taken.Ref {
			t.Error("another user's job counts as the run's")
		}
		if !c.WaitForStatus("n0", taken.Ref, jobs.Done, 30*time.Second) {
			t.Error("the other user's job did not go on")
		}
	})
}

// A job that another controller reports as faulty is cancelled, and retried as the file says; one
// that only takes long is not.
func TestFaultyJobReportedByPeerFails(t *testing.T) {
	const file = head + `
work: {stage: one, retry: {max: 1, when: script_failure}, cluster: {estimate_s: 30}}
`
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-1", file)
		leading := c.leadingController("run-1")
		other := nextController[leading]
		time.Sleep(5 * time.Second)
		for attempt := range 2 {
			if run := c.leader(leading).Get("run-1").Run; run.Jobs[0].Attempt != attempt || run.Jobs[0].Status != "running" {
				t.Fatalf("before the report: %+v", run.Jobs[0])
			}
			ref := pipelineexec.JobRef("run-1", 0, pipelineexec.JobState{Attempt: attempt})
			heartbeat, err := peer.Decode(peer.Encode(peer.Heartbeat{Node: other, Synced: true, FaultyJobs: []string{ref}})[4:])
			if err != nil {
				t.Fatal(err)
			}
			c.Nodes[leading].Controller.HandlePeerHeartbeat(heartbeat)
			time.Sleep(3 * time.Second)
		}
		if run := c.awaitFinished("n2", "run-1", 10*time.Second); run.Status != pipelineexec.RunFailed || run.Jobs[0].Reason != string(pipeline.CauseScriptFailure) {
			t.Errorf("%s: %+v", run.Status, run.Jobs[0])
		}
	})
}

// The jobs of a resource group run one at a time, whichever runs they belong to and whichever controllers
// lead these. A manual job starts when a user starts it.
func TestResourceGroupsAndManualJobs(t *testing.T) {
	const file = head + `
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
				t.Errorf("the start of the manual job of %s was answered %+v", id, response)
			}
			c.awaitSuccess("n0", id, 20*time.Second)
		}
		if keys := c.Store.Keys(jobs.OpaquePrefix + "group/"); len(keys) > 0 {
			t.Errorf("records of groups are left: %v", keys)
		}
	})
}

// checkOneJobOfGroupRuns checks for a while that at most one of the first jobs of the runs is in
// progress.
func checkOneJobOfGroupRuns(t *testing.T, c *testCluster, runs []string) {
	t.Helper()
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, id := range runs {
			running += len(c.RunningOn(jobs.TaskName(firstRef(id, 0), 0)))
		}
		if running > 1 {
			t.Fatalf("%d jobs of a group run", running)
		}
	}
}

// A run that is requested again with the same id and file is created once; another file is
// rejected.
func TestCreateIsIdempotent(t *testing.T) {
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-8", diamond)
		time.Sleep(time.Second)
		if response := c.leader("n1").Create("run-8", "test", []byte(diamond), parsePlan(t, diamond)); response.Code != 200 {
			t.Errorf("repeated: %+v", response)
		}
		if response := c.leader("n2").Create("run-8", "test", []byte(head), parsePlan(t, diamond)); response.Code != 409 {
			t.Errorf("another file: %+v", response)
		}
		c.awaitFinished("n1", "run-8", 60*time.Second)
		if response := c.leader("n2").Create("run-8", "test", []byte(diamond), parsePlan(t, diamond)); response.Code != 200 || !response.Run.IsFinished {
			t.Errorf("after its end: %+v", response)
		}
	})
}

// placements notes where tasks run and how a run's jobs end.
type placements struct {
	machines map[string]string // by task
	ends     []string
	starts   map[string]int
}

// watch notes where the tasks of a plan run now.
func (p *placements) watch(c *testCluster, plan *pipeline.Plan, run string) {
	for i, job := range plan.Jobs {
		for k := range job.Spec.Tasks {
			task := jobs.TaskName(firstRef(run, i), k)
			if machines := c.RunningOn(task); len(machines) > 0 {
				p.machines[task] = fmt.Sprint(machines)
			}
		}
	}
	time.Sleep(10 * time.Millisecond)
}

// finish notes how the jobs of a plan ended.
func (p *placements) finish(c *testCluster, plan *pipeline.Plan, run string) {
	for i := range plan.Jobs {
		response := c.Poll("n0", firstRef(run, i))
		p.ends = append(p.ends, fmt.Sprint(response.Status, response.DoneTasks))
	}
	p.starts = c.StartCounts()
}

// The same jobs as a pipeline and submitted singly, at the same moments under the same ids: they
// run in the same places, as often, with the same results.
func TestPipelineRunsLikeSingleSubmissions(t *testing.T) {
	const id = "run-5"
	plan := parsePlan(t, diamond)
	pipelined, acceptedAt := runDiamond(t, plan, id)
	single := submitSingly(t, plan, id, acceptedAt)
	if len(pipelined.machines) != 7 || fmt.Sprint(pipelined.machines) != fmt.Sprint(single.machines) {
		t.Errorf("as a pipeline: %v\nsingly: %v", pipelined.machines, single.machines)
	}
	if fmt.Sprint(pipelined.ends) != fmt.Sprint(single.ends) || pipelined.ends[3] != "done1" {
		t.Errorf("ends as a pipeline %v, singly %v", pipelined.ends, single.ends)
	}
	if len(pipelined.starts) != 7 || fmt.Sprint(pipelined.starts) != fmt.Sprint(single.starts) {
		t.Errorf("starts as a pipeline %v, singly %v", pipelined.starts, single.starts)
	}
}

// runDiamond runs the diamond, and returns as well when its jobs were accepted.
func runDiamond(t *testing.T, plan *pipeline.Plan, id string) (p *placements, acceptedAt []time.Time) {
	t.Helper()
	p = &placements{machines: map[string]string{}}
	acceptedAt = make([]time.Time, len(plan.Jobs))
	runSingleController(t, func(t *testing.T, c *testCluster) {
		c.create("n0", id, diamond)
		leader := c.leader("n0")
		for response := leader.Get(id); response.Run == nil || !response.Run.IsFinished; response = leader.Get(id) {
			p.watch(c, plan, id)
			for i := range plan.Jobs {
				if record, found := c.jobRecord(firstRef(id, i)); found {
					acceptedAt[i] = time.UnixMilli(record.AcceptedAtMS)
				}
			}
		}
		p.finish(c, plan, id)
		if run := leader.Get(id).Run; describeJobs(run) != "top success, left success, right success, end success" {
			t.Errorf("%s: %s", run.Status, describeJobs(run))
		}
	})
	return p, acceptedAt
}

func submitSingly(t *testing.T, plan *pipeline.Plan, id string, acceptedAt []time.Time) *placements {
	t.Helper()
	p := &placements{machines: map[string]string{}}
	runSingleController(t, func(_ *testing.T, c *testCluster) {
		for i, job := range plan.Jobs {
			spec := job.Spec
			spec.Ref = firstRef(id, i)
			time.AfterFunc(time.Until(acceptedAt[i]), func() { c.Submit("n0", spec, 3*time.Second) })
		}
		for start := time.Now(); time.Since(start) < 30*time.Second; {
			p.watch(c, plan, id)
		}
		p.finish(c, plan, id)
	})
	return p
}
