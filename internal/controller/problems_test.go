package controller_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// Operators are told by name which machine does not hear, which controller is cut off and from
// what, and which jobs wait longest and why; once it is over nothing of it is left.
func TestProblemsAreReported(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		if err := cluster.ChangeSettings("n1", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		named := func(node string, kind diagnostics.ProblemKind, name string) (why string) {
			v, ok := cluster.Nodes[node].Controller.View("troubles")
			all, is := v.([]diagnostics.Problem)
			if !ok || !is {
				t.Fatalf("%s tells %v", node, v)
			}
			if i := slices.IndexFunc(all, func(x diagnostics.Problem) bool { return x.Kind == kind && x.Name == name }); i >= 0 {
				return all[i].Reason
			}
			return ""
		}
		if why := named("n0", "controller", "n1"); why != "" {
			t.Errorf("a controller that is well: %s", why)
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Gang, 30, 4), time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 60, 1), 15*time.Second)
		deaf := cluster.Hosts()[0]
		cluster.BlockInbound(deaf, true)
		found := false
		for range 60 {
			time.Sleep(time.Second)
			found = found || slices.ContainsFunc([]string{"n0", "n1", "n2"}, func(n string) bool { return named(n, "machine", deaf) != "" })
		}
		if !found {
			t.Error("the deaf machine is not named")
		}
		cluster.Store.RefuseNode("n0", true)
		cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
		time.Sleep(8 * time.Second)
		if why := named("n0", "controller", "n0"); why != "neither the state service nor another controller answers it" {
			t.Errorf("n0 says of itself: %q", why)
		}
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(2 * time.Second)
		if why := named("n1", "controller", "n0"); why != "the state service does not answer it" {
			t.Errorf("n1 says of n0: %q", why)
		}
		if why := named("n1", "job", "wk-1"); why == "" {
			t.Error("a gang that no machines hold is not named")
		}
		cluster.Store.RefuseNode("n0", false)
		if cluster.IsUp(deaf) {
			cluster.BlockInbound(deaf, false)
		}
		time.Sleep(time.Minute)
		for _, n := range []string{"n0", "n1", "n2"} {
			if a, b := named(n, "controller", "n0"), named(n, "machine", deaf); a != "" || b != "" {
				t.Errorf("%s: what is over is still told: %q %q", n, a, b)
			}
		}
	})
}

// What a job waits for can be told apart: no room, its team's limit, another job, machines that
// can't be asked.
func TestWaitReasonsAreDistinguished(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		capped := fake.JobSpec("wk-2", jobs.Gang, 3, 1)
		capped.Team = "capped"
		requireAccepted(t, cluster, "n0", capped, 10*time.Minute)
		time.Sleep(2 * time.Second)
		capped.Ref = "wk-3"
		requireAccepted(t, cluster, "n0", capped, time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-4", jobs.Gang, 30, 4), time.Second)
		behind := fake.JobSpec("wk-5", jobs.Array, 1, 1)
		behind.DependsOn = []string{"wk-4"}
		requireAccepted(t, cluster, "n2", behind, time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-6", jobs.Array, 6, 1), 10*time.Minute)
		told := func(want map[string]string, nodes ...string) {
			t.Helper()
			found := map[string]string{}
			for _, n := range nodes {
				v, _ := cluster.Nodes[n].Controller.View("jobs")
				for _, j := range v.([]diagnostics.JobView) {
					found[j.Job] += j.WaitReason + "; "
				}
			}
			for ref, words := range want {
				if !strings.Contains(found[ref], words) {
					t.Errorf("%s: told %q, not of %q", ref, found[ref], words)
				}
			}
		}
		time.Sleep(6 * time.Second)
		told(map[string]string{"wk-3": "limit", "wk-4": "30 needed", "wk-5": "wk-4"}, "n0", "n1", "n2")
		for _, h := range cluster.Hosts() {
			cluster.IsolateWorker(h, true)
		}
		cluster.CrashController("n0")
		time.Sleep(4 * time.Second)
		told(map[string]string{"wk-6": "machines that can't be asked"}, "n1", "n2")
	})
}

// Records that are damaged, impossible or of a later program are set aside: a controller
// starts with them, the rest goes on, no user is told anything of their jobs, and the doctor
// names them.
func TestQuarantinedRecordsDoNotAffectOtherJobs(t *testing.T) {
	bad := map[string]string{
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
		for key, value := range bad {
			cluster.Store.Put(key, json.RawMessage(value))
		}
		restartControllers(cluster, time.Second)
		time.Sleep(2 * time.Second)
		addMachines(cluster, 4)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-100", jobs.Array, 6, 1), 3*time.Second)
		requireDone(t, cluster, "n1", "wk-100", 30*time.Second)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5"} {
			if response := cluster.Poll("n2", ref); response.Code != 503 {
				t.Errorf("%s: %+v", ref, response)
			}
			if response := cluster.Submit("n1", fake.JobSpec(ref, jobs.Array, 1, 1), time.Second); response.Code != 503 {
				t.Errorf("%s submitted again: %+v", ref, response)
			}
		}
		v, _ := cluster.Nodes["n0"].Controller.View("doctor")
		asides := 0
		for _, f := range v.([]diagnostics.Finding) {
			if f.Action == "look at the record; if it is beyond help, delete the key" {
				asides++
			}
		}
		if asides != len(bad) {
			t.Errorf("%d of %d records are named: %+v", asides, len(bad), v)
		}
	})
}
