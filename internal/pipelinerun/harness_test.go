package pipelinerun_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
)

const fileHeader = `
default: {cluster: {class: c, team: ops, image: img, cpus: 1, memory_gb: 1, estimate_s: 3}}
stages: [one, two, three]
`

const diamond = fileHeader + `
top: {stage: one, cluster: {tasks: 3}}
left: {stage: two, needs: [top]}
right: {stage: two, needs: [top], cluster: {kind: gang, tasks: 2, one_zone: true}}
end: {stage: three}
`

var controllers = []string{"n0", "n1", "n2"}

// otherController maps each controller to another one.
var otherController = map[string]string{"n0": "n1", "n1": "n2", "n2": "n0"}

// testCluster is a cluster whose controllers run pipelines.
type testCluster struct {
	*fake.Cluster
	t *testing.T
}

// runScenario runs a scenario with three controllers and six machines. The test fails if an
// invariant is violated.
func runScenario(t *testing.T, scenario func(t *testing.T, c *testCluster)) {
	t.Helper()
	runCluster(t, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, []string{"a", "b", "b"}, func(t *testing.T, c *testCluster) {
		scenario(t, c)
		for _, violation := range c.Violations() {
			t.Error("invariant violated:", violation)
		}
	})
}

// runSingleController runs a scenario with one controller. With several controllers that receive no
// peer heartbeats it would be random which of them claims a job first.
func runSingleController(t *testing.T, scenario func(t *testing.T, c *testCluster)) {
	t.Helper()
	runCluster(t, map[string]string{"n0": "a"}, []string{"a"}, scenario)
}

// runCluster runs a scenario with controllers and six machines. zones contains the zone of each
// controller by its name; the machines are placed in machineZones in turn.
func runCluster(t *testing.T, zones map[string]string, machineZones []string, scenario func(t *testing.T, c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, zones, func(cluster *fake.Cluster) { cluster.RunPipelines = true })
		time.Sleep(3 * time.Second)
		for i := range 6 {
			cluster.AddMachine(machineZones[i%len(machineZones)], false)
		}
		time.Sleep(5 * time.Second)
		scenario(t, &testCluster{Cluster: cluster, t: t})
		stop()
		synctest.Wait()
	})
}

func parsePlan(t *testing.T, file string) *pipeline.Plan {
	t.Helper()
	plan, _, err := pipeline.Parse([]byte(file), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// firstAttemptRef returns the id of the first attempt of a run's job.
func firstAttemptRef(runID string, job int) string {
	return pipelineexec.JobRef(runID, job, pipelineexec.JobState{})
}

func (c *testCluster) leader(node string) *pipelinerun.Leader { return c.Nodes[node].PipelineLeader }

// create creates a run at a controller.
func (c *testCluster) create(node, id, file string) {
	c.t.Helper()
	if response := c.leader(node).Create(id, "test", []byte(file), parsePlan(c.t, file)); response.Code != 201 {
		c.t.Fatalf("%s: %+v", id, response)
	}
}

// awaitFinished waits until a controller reports a run as finished.
func (c *testCluster) awaitFinished(node, id string, limit time.Duration) *pipelinerun.RunView {
	c.t.Helper()
	var lastResponse pipelinerun.Response
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if c.Nodes[node] == nil {
			continue
		}
		if lastResponse = c.leader(node).Get(id); lastResponse.Run != nil && lastResponse.Run.IsFinished {
			return lastResponse.Run
		}
	}
	c.t.Fatalf("%s is not finished after %v: %+v %+v", id, limit, lastResponse, lastResponse.Run)
	return nil
}

// awaitSuccess waits until a run is finished, and checks that it succeeded.
func (c *testCluster) awaitSuccess(node, id string, limit time.Duration) *pipelinerun.RunView {
	c.t.Helper()
	run := c.awaitFinished(node, id, limit)
	if run.Status != pipelineexec.RunSucceeded {
		c.t.Errorf("%s is %s: %s", id, run.Status, describeJobs(run))
	}
	return run
}

// leadingController returns the controller that owns the home shard of a run.
func (c *testCluster) leadingController(id string) string {
	for _, node := range controllers {
		if c.Nodes[node] == nil {
			continue
		}
		if response := c.leader(node).Get(id); response.Run != nil && response.Run.HomeShard != "" {
			return c.OwnerOf(response.Run.HomeShard)
		}
	}
	return ""
}

// checkStartedOnce checks that no task was started more than once.
func (c *testCluster) checkStartedOnce() {
	c.t.Helper()
	for task, count := range c.StartCounts() {
		if count != 1 {
			c.t.Errorf("%s started %d times", task, count)
		}
	}
}

// describeJobs lists the jobs of a run with their statuses.
func describeJobs(run *pipelinerun.RunView) string {
	var statuses []string
	for _, job := range run.Jobs {
		statuses = append(statuses, job.Name+" "+string(job.Status))
	}
	return strings.Join(statuses, ", ")
}

// jobRecord reads the record of an unfinished job from the store.
func (c *testCluster) jobRecord(ref string) (record jobs.JobRecord, found bool) {
	raw, found := c.Store.Value(jobs.JobKey(ref))
	if !found || json.Unmarshal([]byte(raw), &record) != nil {
		return jobs.JobRecord{}, false
	}
	return record, true
}
