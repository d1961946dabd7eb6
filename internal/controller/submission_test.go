package controller_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/httpapi"
	"cherrywall/internal/jobs"
)

func TestSubmissionIsIdempotent(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		cluster.Nodes["n0"].Conn.DropAnswers(1)
		s := fake.JobSpec("wk-2", jobs.Array, 1, 1)
		if response := cluster.Submit("n0", s, 5*time.Second); response.Code != 503 {
			t.Fatalf("a submission without an answer from the state service was answered %+v", response)
		}
		if response := cluster.Submit("n1", s, 5*time.Second); response.Code != 200 {
			t.Fatalf("the retry was answered %+v", response)
		}
		requireDone(t, cluster, "n2", "wk-2", 20*time.Second)
		if response := cluster.Submit("n2", s, 5*time.Second); response.Code != 200 || response.Status != jobs.Done {
			t.Errorf("a late retry was answered %+v", response)
		}
		if response := cluster.Poll("n0", "wk-99"); response.Code != 404 {
			t.Errorf("a job nobody submitted was answered %+v", response)
		}
	})
}

// A record that no value holds is kept in parts, read by a controller that has never seen
// it, and leaves nothing behind; what no user may send is refused.
func TestSubmissionLargerThanValueIsChunked(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		s := fake.JobSpec("wk-70", jobs.Array, 12, 1)
		s.Class = strings.Repeat("c", 30<<10)
		requireAccepted(t, cluster, "n0", s, 3*time.Second)
		restartControllers(cluster, time.Second)
		requireDone(t, cluster, "n2", "wk-70", 60*time.Second)
		time.Sleep(4 * time.Minute)
		if left := append(cluster.Store.Keys(jobs.ChunkPrefix), cluster.Store.Keys(jobs.JobPrefix)...); len(left) > 0 {
			t.Errorf("%d records are left, %s", len(left), left[0])
		}
		s.Ref, s.Class = "wk-71", strings.Repeat("c", 100<<10)
		if response := cluster.Submit("n0", s, time.Second); response.Code != 400 {
			t.Errorf("answered %+v", response)
		}
	})
}

// What the operators allow a class holds for submissions by hand as for files, at every
// controller, and is no longer asked of a job that is accepted already.
func TestClassLimitsApplyToSubmissions(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 9, 0.1), time.Second)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) {
			s.ClassLimits = map[string]jobs.ClassLimits{"c": {MaxTasks: 5, MaxRunSeconds: 20}}
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		long := fake.JobSpec("wk-3", jobs.Array, 1, 0.1)
		long.EstimatedRunSeconds = 30
		for _, s := range []jobs.Spec{fake.JobSpec("wk-2", jobs.Array, 6, 0.1), long} {
			if response := cluster.Submit("n2", s, time.Second); response.Code != 422 || !strings.Contains(response.Error, "class c allows") {
				t.Errorf("%s: answered %+v", s.Ref, response)
			}
		}
		if response := cluster.Resubmit("n2", fake.JobSpec("wk-1", jobs.Array, 9, 0.1)); response.Code != 200 {
			t.Errorf("a retry of an accepted job was answered %+v", response)
		}
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-4", jobs.Array, 5, 0.1), time.Second)
		requireDone(t, cluster, "n0", "wk-4", 30*time.Second)
	})
}

func TestSettingsReachAllControllersAndSurviveRestart(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		m := cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		s, version, _ := cluster.Nodes["n1"].Controller.Settings()
		s.Drain = []string{m.Host}
		if _, err := cluster.Nodes["n1"].Controller.ChangeSettings(s, version); err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.Nodes["n2"].Controller.ChangeSettings(s, version+99); !errors.Is(err, admin.ErrVersionConflict) {
			t.Errorf("a stale change was answered %v", err)
		}
		time.Sleep(8 * time.Second)
		if cluster.WorkerCount() != 0 {
			t.Error("the drained machine is still there")
		}
		cluster.CrashController("n0")
		cluster.StartController("n0")
		time.Sleep(3 * time.Second)
		if s, _, ok := cluster.Nodes["n0"].Controller.Settings(); !ok || len(s.Drain) != 1 {
			t.Errorf("after a restart: %+v", s)
		}
	})
}

const submissionTemplate = `{"ref":"REF","lot":"c","crew":"ops","shape":"sweep","urgency":"normal","shifts":2,"vcpus":1,"cards":0,"ramGb":1,
"kit":"img","imageGb":1,"builds":null,"valley":null,"oneZone":false,"spread":false,"loaners":false,"guessS":5,"waypointS":0,"stashS":0,"dueS":null}`

// Users repeat submissions, in other words too, cancel what is done, and send what can't be.
func TestInvalidAndRepeatedRequests(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		post := func(node, path, body string, code int, want ...string) {
			t.Helper()
			rec := httptest.NewRecorder()
			httpapi.NewHandler(cluster.Nodes[node].Controller, admin.NewMetrics()).ServeHTTP(rec, httptest.NewRequest("POST", path, strings.NewReader(body)))
			for _, x := range want {
				if rec.Code != code || !strings.Contains(rec.Body.String(), x) {
					t.Errorf("%s at %s: %.200s: answered %d %s", path, node, body, rec.Code, rec.Body)
				}
			}
			if code == 503 && rec.Header().Get("Retry-After") == "" {
				t.Errorf("%s: 503 without saying when to come back", path)
			}
		}
		with := func(ref string, change ...string) string {
			return strings.NewReplacer(append([]string{"REF", ref}, change...)...).Replace(submissionTemplate)
		}
		addMachines(cluster, 3)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 20*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 2, 1), 2*time.Second)
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 2, 1), 60*time.Second)
		time.Sleep(6 * time.Second)
		if response := cluster.Cancel("n0", "wk-3"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		for ref, state := range map[string]string{"wk-1": "running", "wk-2": "done", "wk-3": "aborted"} {
			for _, n := range []string{"n0", "n1", "n2"} {
				for _, body := range []string{with(ref), with(ref, `"shifts":2`, `"shifts":90`), with(ref, `"vcpus":1`, `"vcpus":99`),
					with(ref, `"crew":"ops"`, `"crew":"nobody"`), with(ref, `"kit":"img",`, ``), with(ref, `"shifts":2`, `"shifts":null`),
					with(ref, `"shape":"sweep"`, `"shape":7`), fmt.Sprintf(`{"ref":%q}`, ref)} {
					post(n, "/submissions", body, 200, `"status":"`+state+`"`)
				}
			}
		}
		if response := cluster.Poll("n1", "wk-1"); response.ActiveTasks != 2 {
			t.Errorf("repeats have changed the job: %+v", response)
		}
		for _, n := range []string{"n0", "n1", "n2"} {
			post(n, "/submissions/wk-2/withdraw", "", 200, `"status":"done"`)
			post(n, "/submissions/wk-3/withdraw", "", 200, `"status":"aborted"`)
			post(n, "/submissions/wk-77/withdraw", "", 404, "error")
		}
		for what, c := range map[string]struct {
			body  string
			code  int
			field string
		}{
			"a field is missing":     {with("wk-50", `"kit":"img",`, ``), 400, "kit"},
			"not JSON":               {`{"ref":"wk-51","vcpus":NaN}`, 400, "body"},
			"an unknown team":        {with("wk-52", `"crew":"ops"`, `"crew":"nobody"`), 422, "crew"},
			"no such zone":           {with("wk-53", `"valley":null`, `"valley":"z"`), 422, "never"},
			"too large":              {with("wk-54", `"ramGb":1`, `"ramGb":4000`), 422, "never"},
			"a gang over the limit":  {with("wk-55", `"sweep"`, `"group"`, `"crew":"ops"`, `"crew":"capped"`, `"shifts":2`, `"shifts":5`), 422, "vcpus"},
			"contradicts itself":     {with("wk-56", `"oneZone":false,"spread":false`, `"oneZone":true,"spread":true`), 422, "spread"},
			"spread over a zone":     {with("wk-57", `"spread":false`, `"spread":true`, `"valley":null`, `"valley":"a"`), 422, "spread"},
			"no such type":           {with("wk-58", `"builds":null`, `"builds":["m512"]`), 422, "never"},
			"too many tasks":         {with("wk-59", `"shifts":2`, `"shifts":100001`), 400, "shifts"},
			"one task is no spread":  {with("wk-61", `"shifts":2`, `"shifts":1`, `"spread":false`, `"spread":true`), 201, "queued"},
			"in a body with more":    {with("wk-62", `{"ref"`, `{"Shifts":-4,"x":[1,{}],"ref"`), 201, "queued"},
			"the limit, one by one":  {with("wk-63", `"crew":"ops"`, `"crew":"capped"`, `"shifts":2`, `"shifts":9`), 201, "queued"},
			"an id in another style": {with("WK_64"), 400, "ref"},
		} {
			t.Log(what)
			post("n1", "/submissions", c.body, c.code, c.field)
		}
		for _, n := range []string{"n0", "n2"} { // and it stays unknown
			if response := cluster.Poll(n, "wk-52"); response.Code != 404 {
				t.Errorf("%+v", response)
			}
		}
	})
}

// As long as no machine types are known it can't be said what can never run; what is known already
// is answered all the same.
func TestRequestsBeforeMachineTypesAreKnown(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 20*time.Second)
		cluster.Store.Delete(jobs.MachineTypesKey)
		cluster.WithoutMachineTypes = true
		cluster.CrashController("n1")
		cluster.StartController("n1")
		time.Sleep(2 * time.Second)
		if response := cluster.SubmitUntracked("n1", fake.JobSpec("wk-2", jobs.Array, 1, 99), nil); response.Code != 503 {
			t.Errorf("answered %+v", response)
		}
		if response := cluster.SubmitUntracked("n1", fake.JobSpec("wk-1", jobs.Array, 1, 99), nil); response.Code != 200 {
			t.Errorf("a repeat was answered %+v", response)
		}
	})
}
