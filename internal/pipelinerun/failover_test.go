package pipelinerun_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipelineexec"
)

// In each subtest, the controller that leads the run crashes after one more write to the store than
// in the previous subtest. Every job must still be done, and no task may run twice.
func TestRunSucceedsDespiteLeaderCrashAfterEachWrite(t *testing.T) {
	for writeCount := range 16 {
		t.Run(fmt.Sprint("after write ", writeCount), func(t *testing.T) {
			runScenario(t, func(t *testing.T, c *testCluster) { crashLeaderAfterWrite(t, c, writeCount) })
		})
	}
}

func crashLeaderAfterWrite(t *testing.T, c *testCluster, writeCount int) {
	t.Helper()
	countWrites := func() int {
		return c.Store.WriteCountOf(jobs.OpaquePrefix, jobs.JobPrefix, jobs.FinalPrefix, jobs.RangePrefix, jobs.CompletionBatchPrefix)
	}
	countBefore := countWrites()
	c.create("n1", "run-9", diamond)
	leaderNode := c.leadingController("run-9")
	for deadline := time.Now().Add(40 * time.Second); countWrites()-countBefore <= writeCount && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.CrashController(leaderNode)
	time.Sleep(3 * time.Second)
	c.StartController(leaderNode)
	run := c.awaitSuccess("n2", "run-9", 90*time.Second)
	time.Sleep(5 * time.Second)
	for _, node := range controllers {
		if response := c.leader(node).Get("run-9"); response.Run == nil || response.Run.Status != run.Status || response.Run.EndedAtMS != run.EndedAtMS {
			t.Errorf("%s reports another final state: %+v", node, response.Run)
		}
	}
	for i, job := range parsePlan(t, diamond).Jobs {
		if response := c.Poll("n0", firstAttemptRef("run-9", i)); response.Status != jobs.Done {
			t.Errorf("%s is %+v", job.Name, response)
		}
	}
	c.checkStartedOnce()
}

// cancellationTiming contains the times at which a run is cancelled, its leader crashes and its
// last job ends. The times are numbers of milliseconds after a common start.
type cancellationTiming struct{ cancelDelay, crashDelay, endDelay time.Duration }

// A run is cancelled while its first stage is in progress, its leader crashes, and the last job ends,
// all within a second and in various orders. All controllers must report the same final state, and nothing may
// start after the cancellation was answered.
func TestCancellationDuringLeaderCrashAndLastCompletion(t *testing.T) {
	for i, timing := range []cancellationTiming{{0, 0, 0}, {0, 500, 900}, {900, 500, 0}, {500, 0, 900}, {500, 900, 0}, {0, 100, 0}} {
		mode := []pipelineexec.CancelMode{pipelineexec.CancelDrain, pipelineexec.CancelNow}[i%2]
		t.Run(fmt.Sprint(timing), func(t *testing.T) {
			runScenario(t, func(t *testing.T, c *testCluster) { cancelDuringFailover(t, c, timing, mode) })
		})
	}
}

func cancelDuringFailover(t *testing.T, c *testCluster, timing cancellationTiming, mode pipelineexec.CancelMode) {
	t.Helper()
	const file = fileHeader + `
quick: {stage: one, interruptible: true, cluster: {estimate_s: 30, checkpoint_s: 5, save_s: 2}}
slow: {stage: one}
next: {stage: two, when: always}
`
	c.create("n0", "run-3", file)
	leaderNode := c.leadingController("run-3")
	otherNode := "n1"
	if leaderNode == otherNode {
		otherNode = "n2"
	}
	time.Sleep(3*time.Second + timing.endDelay*time.Millisecond - 900*time.Millisecond) // the job with the name slow ends after about 3 s
	leader, answerSignal := c.leader(otherNode), make(chan bool)
	go func() {
		time.Sleep(timing.cancelDelay * time.Millisecond)
		for leader.Cancel("run-3", mode).Code != 200 {
			time.Sleep(time.Second)
		}
		close(answerSignal)
	}()
	time.Sleep(timing.crashDelay * time.Millisecond)
	c.CrashController(leaderNode)
	<-answerSignal
	countBefore := len(c.StartCounts())
	run := c.awaitFinished(otherNode, "run-3", 60*time.Second)
	if startCount := len(c.StartCounts()); startCount != countBefore {
		t.Errorf("%d tasks started after the cancellation was answered", startCount-countBefore)
	}
	c.StartController(leaderNode)
	time.Sleep(10 * time.Second)
	for node := range c.Nodes {
		if reportedRun := c.leader(node).Get("run-3").Run; reportedRun == nil || describeJobs(reportedRun) != describeJobs(run) || reportedRun.Status != run.Status {
			t.Errorf("%s reports %+v", node, reportedRun)
		}
	}
	if !strings.Contains(describeJobs(run), "quick canceled") || run.Status != pipelineexec.RunCancelled {
		t.Errorf("%s: %s", run.Status, describeJobs(run))
	}
	for job := range 3 {
		if response := c.Poll("n0", firstAttemptRef("run-3", job)); response.Status == jobs.Running || response.Status == jobs.Queued {
			t.Errorf("job %d has not ended: %+v", job, response)
		}
	}
}

// A submission that a crashed leader still has in flight must not take effect after the next
// leader's steps. The precondition of the submission is the revision of the run's record, which the
// next leader has written anew.
func TestLateSubmissionOfFormerLeaderIsRejected(t *testing.T) {
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-2", diamond)
		leaderNode := c.leadingController("run-2")
		otherNode := otherController[leaderNode]
		record, err := c.Nodes[otherNode].Conn.Get(t.Context(), kvstore.Normal, jobs.OpaquePrefix+"run/run-2")
		if err != nil {
			t.Fatal(err)
		}
		submit := func(ref string) int {
			spec := parsePlan(t, diamond).Jobs[3].Spec
			spec.Ref = ref
			reply := make(chan controller.Response, 1)
			c.Nodes[otherNode].Controller.SubmitIf(&spec, kvstore.Condition{Key: record.Row.Key, Revision: record.Row.Revision}, reply)
			return (<-reply).Code
		}
		if code := submit("pl-1"); code != 201 {
			t.Errorf("submission on the precondition of the current record: status %d", code)
		}
		c.CrashController(leaderNode)
		time.Sleep(8 * time.Second)
		if _, found := c.Store.Value(jobs.OpaquePrefix + "run/run-2"); !found {
			t.Fatal("the run is finished already")
		}
		if code := submit("pl-2"); code != 409 {
			t.Errorf("submission on the precondition of the crashed leader's record: status %d", code)
		}
		c.awaitFinished(otherNode, "run-2", 60*time.Second)
	})
}

// A controller that was partitioned from the store still believes that it leads a run, although another
// controller now leads the run. The former leader must not be able to undo the steps of the new one.
func TestPartitionedLeaderCannotUndoSuccessor(t *testing.T) {
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-4", diamond)
		leaderNode := c.leadingController("run-4")
		otherNode := otherController[leaderNode]
		c.Store.RefuseNode(leaderNode, true)
		time.Sleep(8 * time.Second) // after this time, the shard of the former leader has another owner
		if c.OwnerOf(leaderNode) == leaderNode {
			t.Fatal("no controller has acquired the shard of the partitioned leader")
		}
		if response := c.leader(otherNode).Cancel("run-4", pipelineexec.CancelNow); response.Code != 200 {
			t.Fatalf("the cancellation of the run was answered %+v", response)
		}
		c.Store.RefuseNode(leaderNode, false)
		countBefore := len(c.StartCounts())
		run := c.awaitFinished(otherNode, "run-4", 60*time.Second)
		if startCount := len(c.StartCounts()); run.Status != pipelineexec.RunCancelled || startCount != countBefore {
			t.Errorf("%s, %d tasks started after the cancellation", run.Status, startCount-countBefore)
		}
	})
}

// A run succeeds although the store is down for 12 seconds while its jobs are submitted or end.
func TestRunSucceedsDespiteStoreOutage(t *testing.T) {
	for _, delay := range []time.Duration{0, 100, 300, 2500, 3500, 4200} {
		runScenario(t, func(_ *testing.T, c *testCluster) {
			c.create("n0", "run-6", diamond)
			time.Sleep(delay * time.Millisecond)
			c.Store.SetOutage(true)
			time.Sleep(12 * time.Second)
			c.Store.SetOutage(false)
			c.awaitSuccess("n1", "run-6", 90*time.Second)
		})
	}
}
