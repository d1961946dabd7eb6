package controller_test

import (
	"encoding/json"
	"testing"
	"time"

	"cherrywall/internal/diagnostics"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

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
