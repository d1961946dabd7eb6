package controller_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// reportedReason returns the reason that a controller gives for a problem, or an empty string if the
// controller does not report the problem.
func reportedReason(t *testing.T, cluster *fake.Cluster, node string, kind diagnostics.ProblemKind, name string) string {
	t.Helper()
	view, ok := cluster.Nodes[node].Controller.View(admin.ViewProblems)
	problems, isList := view.([]diagnostics.Problem)
	if !ok || !isList {
		t.Fatalf("%s returns %v", node, view)
	}
	isWanted := func(problem diagnostics.Problem) bool { return problem.Kind == kind && problem.Name == name }
	if i := slices.IndexFunc(problems, isWanted); i >= 0 {
		return problems[i].Reason
	}
	return ""
}

// Operators can see by name which machine receives nothing, which controller is cut off and from what,
// and which jobs wait longest and why. A problem that has ended is no longer reported.
func TestProblemsAreReported(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		setSpareMachines(t, cluster, "n1", 9)
		if reason := reportedReason(t, cluster, "n0", diagnostics.ControllerProblem, "n1"); reason != "" {
			t.Errorf("a healthy controller: %s", reason)
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Gang, 30, 4), time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 60, 1), 15*time.Second)
		host := cluster.Hosts()[0]
		cluster.BlockInbound(host, true)
		checkMachineIsReported(t, cluster, host)
		cluster.Store.RefuseNode("n0", true)
		cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
		time.Sleep(8 * time.Second)
		if reason := reportedReason(t, cluster, "n0", diagnostics.ControllerProblem, "n0"); reason != "neither the state service nor another controller answers it" {
			t.Errorf("n0 reports about itself: %q", reason)
		}
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(2 * time.Second)
		if reason := reportedReason(t, cluster, "n1", diagnostics.ControllerProblem, "n0"); reason != "the state service does not answer it" {
			t.Errorf("n1 reports about n0: %q", reason)
		}
		if reason := reportedReason(t, cluster, "n1", diagnostics.JobProblem, "wk-1"); reason == "" {
			t.Error("a gang that fits on no machines is not reported")
		}
		cluster.Store.RefuseNode("n0", false)
		if cluster.IsUp(host) {
			cluster.BlockInbound(host, false)
		}
		time.Sleep(time.Minute)
		for _, node := range controllerNames {
			controllerReason := reportedReason(t, cluster, node, diagnostics.ControllerProblem, "n0")
			machineReason := reportedReason(t, cluster, node, diagnostics.MachineProblem, host)
			if controllerReason != "" || machineReason != "" {
				t.Errorf("%s: problems that have ended are still reported: controller %q, machine %q", node, controllerReason, machineReason)
			}
		}
	})
}

// checkMachineIsReported waits for a minute and checks that a machine was reported in that time.
func checkMachineIsReported(t *testing.T, cluster *fake.Cluster, host string) {
	t.Helper()
	isReported := false
	for range 60 {
		time.Sleep(time.Second)
		isReported = isReported || slices.ContainsFunc(controllerNames, func(node string) bool {
			return reportedReason(t, cluster, node, diagnostics.MachineProblem, host) != ""
		})
	}
	if !isReported {
		t.Error("the machine that receives nothing is not reported")
	}
}

// The controllers distinguish why jobs wait: there is no capacity, the team's quota is used up, another job
// has to end first, or machines can't be reached.
func TestWaitReasonsAreDistinguished(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		requireAccepted(t, cluster, "n0", quotaJob("wk-2", jobs.Gang, 3), 10*time.Minute)
		time.Sleep(2 * time.Second)
		requireAccepted(t, cluster, "n0", quotaJob("wk-3", jobs.Gang, 3), time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-4", jobs.Gang, 30, 4), time.Second)
		requireAccepted(t, cluster, "n2", dependentJob("wk-5", 1, "wk-4"), time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-6", jobs.Array, 6, 1), 10*time.Minute)
		time.Sleep(6 * time.Second)
		checkWaitReasons(t, cluster, map[string]string{"wk-3": "limit", "wk-4": "30 needed", "wk-5": "wk-4"}, controllerNames)
		for _, host := range cluster.Hosts() {
			cluster.IsolateWorker(host, true)
		}
		cluster.CrashController("n0")
		time.Sleep(4 * time.Second)
		checkWaitReasons(t, cluster, map[string]string{"wk-6": "machines that cannot be reached"}, []string{"n1", "n2"})
	})
}

// checkWaitReasons checks that for each job in want at least one of the controllers gives a wait reason that
// contains the wanted words.
func checkWaitReasons(t *testing.T, cluster *fake.Cluster, want map[string]string, nodes []string) {
	t.Helper()
	reasons := map[string]string{}
	for _, node := range nodes {
		view, _ := cluster.Nodes[node].Controller.View(admin.ViewJobs)
		for _, job := range view.([]diagnostics.JobView) {
			reasons[job.Job] += job.WaitReason + "; "
		}
	}
	for ref, words := range want {
		if !strings.Contains(reasons[ref], words) {
			t.Errorf("%s: reasons %q, want %q", ref, reasons[ref], words)
		}
	}
}

// Records that are damaged, have impossible values or are of a later version are quarantined. A controller
// starts in spite of such records, other jobs run, requests about the affected jobs are answered with 503,
// and the findings name the records.
func TestQuarantinedRecordsDoNotAffectOtherJobs(t *testing.T) {
	records := map[string]string{
		jobs.JobKey("wk-1"):                 `{"ref":"wk-1","shape":"sweep","urgency":"normal","shifts":-5,"free":[{"f":0,"n":9}]}`,
		jobs.JobKey("wk-2"):                 `{"ref":"wk-2","shape":"sweep","shifts":3,"free":[{"f":2,"n":1},{"f":0,"n":2}]}`,
		jobs.JobKey("wk-3"):                 `{"ref":"wk-9","shape":"sweep","shifts":3,"free":[]}`,
		jobs.JobKey("wk-4"):                 `[1,2`,
		jobs.JobKey("wk-5"):                 `{"ref":"wk-5","shape":"shape-of-a-later-program","shifts":3,"free":[]}`,
		jobs.RangeKey("wk-50", 0):           `{"share":"n0","n":2000000000}`,
		jobs.RangePrefix + "wk-50/x":        `{"share":"n0","n":1}`,
		jobs.WorkerPrefix + "i-900000":      `{"share":"","addr":"x"}`,
		jobs.WorkerPrefix + "i-900001":      `7`,
		jobs.ShardPrefix + "n9":             `"?"`,
		jobs.CompletionBatchPrefix + "n0/7": `{"not":"a list"}`,
		jobs.VersionPrefix + "somebody":     `[]`,
		jobs.MachineTypesKey:                `{"sku":1}`,
	}
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for key, value := range records {
			cluster.Store.Put(key, json.RawMessage(value))
		}
		restartControllers(cluster, time.Second)
		time.Sleep(2 * time.Second)
		addMachines(cluster, 4)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-100", jobs.Array, 6, 1), 3*time.Second)
		requireDone(t, cluster, "n1", "wk-100", 30*time.Second)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5"} {
			if response := cluster.Poll("n2", ref); response.Code != http.StatusServiceUnavailable {
				t.Errorf("%s: %+v", ref, response)
			}
			if response := cluster.Submit("n1", fake.JobSpec(ref, jobs.Array, 1, 1), time.Second); response.Code != http.StatusServiceUnavailable {
				t.Errorf("%s submitted again: %+v", ref, response)
			}
		}
		view, _ := cluster.Nodes["n0"].Controller.View(admin.ViewFindings)
		namedRecordCount := 0
		for _, finding := range view.([]diagnostics.Finding) {
			if finding.Action == "inspect the record; if it cannot be repaired, delete the key" {
				namedRecordCount++
			}
		}
		if namedRecordCount != len(records) {
			t.Errorf("%d of %d records are named: %+v", namedRecordCount, len(records), view)
		}
	})
}
