package pipelinerun_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
)

func TestValidIDRequiresRunPrefixAndUpTo18Digits(t *testing.T) {
	for id, want := range map[string]bool{
		"run-1":                          true,
		"run-" + strings.Repeat("9", 18): true,
		"run-" + strings.Repeat("9", 19): false,
		"run-":                           false,
		"run-x":                          false,
		"wk-1":                           false,
	} {
		if pipelinerun.IsValidID(id) != want {
			t.Errorf("%q: want %v", id, want)
		}
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	const file = fileHeader + "a: {stage: one}\nb: {stage: two}\n"
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-1", file)
		time.Sleep(time.Second)
		leader := c.leader("n1")
		if response := leader.Get("run-2"); response.Code != http.StatusNotFound {
			t.Errorf("unknown run: %+v", response)
		}
		if response := leader.Cancel("run-2", pipelineexec.CancelNow); response.Code != http.StatusNotFound {
			t.Errorf("cancellation of an unknown run: %+v", response)
		}
		if response := leader.StartManualJob("run-1", "c"); response.Code != http.StatusNotFound {
			t.Errorf("unknown job: %+v", response)
		}
		if response := leader.StartManualJob("run-1", "b"); response.Code != http.StatusConflict {
			t.Errorf("a job that is not manual: %+v", response)
		}
		if response := leader.RemoveSchedule("none"); response.Code != http.StatusNotFound {
			t.Errorf("unknown schedule: %+v", response)
		}
		if _, response := leader.SetSchedule("a b", "0 1 * * *", "UTC", []byte(file), parsePlan(t, file)); response.Code != http.StatusBadRequest {
			t.Errorf("invalid name: %+v", response)
		}
		if _, response := leader.SetSchedule("a", "0 25 * * *", "UTC", []byte(file), parsePlan(t, file)); response.Code != http.StatusBadRequest {
			t.Errorf("invalid expression: %+v", response)
		}
		c.awaitSuccess("n2", "run-1", time.Minute)
	})
}

func TestListHasUnfinishedAndFinishedRuns(t *testing.T) {
	const file = fileHeader + "a: {stage: one}\n"
	runScenario(t, func(t *testing.T, c *testCluster) {
		c.create("n0", "run-1", file)
		time.Sleep(time.Second)
		runs, ok := c.leader("n2").List()
		if !ok || len(runs) != 1 || runs[0].ID != "run-1" || runs[0].IsFinished || runs[0].HomeShard == "" || runs[0].Jobs != nil {
			t.Errorf("unfinished: ok %v, %+v", ok, runs)
		}
		c.awaitSuccess("n2", "run-1", time.Minute)
		time.Sleep(time.Second)
		runs, ok = c.leader("n2").List()
		if !ok || len(runs) != 1 || !runs[0].IsFinished || runs[0].Status != pipelineexec.RunSucceeded {
			t.Errorf("finished: ok %v, %+v", ok, runs)
		}
	})
}
