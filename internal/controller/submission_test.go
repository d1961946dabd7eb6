package controller_test

import (
	"errors"
	"fmt"
	"net/http"
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
		cluster.Nodes["n0"].Conn.DropResponses(1)
		spec := fake.JobSpec("wk-2", jobs.Array, 1, 1)
		if response := cluster.Submit("n0", spec, 5*time.Second); response.Code != http.StatusServiceUnavailable {
			t.Fatalf("a submission without an answer from the store was answered %+v", response)
		}
		if response := cluster.Submit("n1", spec, 5*time.Second); response.Code != http.StatusOK {
			t.Fatalf("the retry was answered %+v", response)
		}
		requireDone(t, cluster, "n2", "wk-2", 20*time.Second)
		if response := cluster.Submit("n2", spec, 5*time.Second); response.Code != http.StatusOK || response.Status != jobs.Done {
			t.Errorf("a late retry was answered %+v", response)
		}
		if response := cluster.Poll("n0", "wk-99"); response.Code != http.StatusNotFound {
			t.Errorf("an unknown job was answered %+v", response)
		}
	})
}

// A record that exceeds the store's size limit for a value is written in chunks, read by a restarted
// controller, and deleted with all its chunks. A body that exceeds the size limit for submissions is
// refused.
func TestSubmissionLargerThanValueIsChunked(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		spec := fake.JobSpec("wk-70", jobs.Array, 12, 1)
		spec.Class = strings.Repeat("c", 30<<10)
		requireAccepted(t, cluster, "n0", spec, 3*time.Second)
		restartControllers(cluster, time.Second)
		requireDone(t, cluster, "n2", "wk-70", 60*time.Second)
		time.Sleep(4 * time.Minute)
		checkNoRecords(t, cluster, jobs.ChunkPrefix, jobs.JobPrefix)
		spec.Ref, spec.Class = "wk-71", strings.Repeat("c", 100<<10)
		if response := cluster.Submit("n0", spec, time.Second); response.Code != http.StatusBadRequest {
			t.Errorf("a submission that is too large was answered %+v", response)
		}
	})
}

// Every controller applies the limits of a class to new submissions, as it does to the jobs of pipeline
// files, but not to a repeated submission of a job that is already accepted.
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
		longJob := fake.JobSpec("wk-3", jobs.Array, 1, 0.1)
		longJob.EstimatedRunSeconds = 30
		for _, spec := range []jobs.Spec{fake.JobSpec("wk-2", jobs.Array, 6, 0.1), longJob} {
			if response := cluster.Submit("n2", spec, time.Second); response.Code != http.StatusUnprocessableEntity || !strings.Contains(response.Error, "class c allows") {
				t.Errorf("%s: answered %+v", spec.Ref, response)
			}
		}
		if response := cluster.Resubmit("n2", fake.JobSpec("wk-1", jobs.Array, 9, 0.1)); response.Code != http.StatusOK {
			t.Errorf("a retry of an accepted job was answered %+v", response)
		}
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-4", jobs.Array, 5, 0.1), time.Second)
		requireDone(t, cluster, "n0", "wk-4", 30*time.Second)
	})
}

func TestSettingsReachAllControllersAndSurviveRestart(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		machine := cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		settings, version, _ := cluster.Nodes["n1"].Controller.Settings()
		settings.Drain = []string{machine.Host}
		if _, err := cluster.Nodes["n1"].Controller.ChangeSettings(settings, version); err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.Nodes["n2"].Controller.ChangeSettings(settings, version+99); !errors.Is(err, admin.ErrVersionConflict) {
			t.Errorf("a change based on another version was answered %v", err)
		}
		time.Sleep(8 * time.Second)
		if cluster.WorkerCount() != 0 {
			t.Error("the drained machine was not released")
		}
		cluster.CrashController("n0")
		cluster.StartController("n0")
		time.Sleep(3 * time.Second)
		if settings, _, ok := cluster.Nodes["n0"].Controller.Settings(); !ok || len(settings.Drain) != 1 {
			t.Errorf("settings after a restart: %+v", settings)
		}
	})
}

// submissionTemplate is the body of a valid submission; REF stands for its reference.
const submissionTemplate = `{"ref":"REF","lot":"c","crew":"ops","shape":"sweep","urgency":"normal","shifts":2,"vcpus":1,"cards":0,"ramGb":1,
"kit":"img","imageGb":1,"builds":null,"valley":null,"oneZone":false,"spread":false,"loaners":false,"guessS":5,"waypointS":0,"stashS":0,"dueS":null}`

// submissionBody returns the template with a reference and further replacements, given in pairs of the
// old and the new text.
func submissionBody(ref string, replacements ...string) string {
	return strings.NewReplacer(append([]string{"REF", ref}, replacements...)...).Replace(submissionTemplate)
}

// checkPost sends a POST request to a controller's HTTP handler. It checks that the answer has the given
// code, that its body contains text, and that a 503 has a Retry-After header.
func checkPost(t *testing.T, cluster *fake.Cluster, node, path, body string, code int, text string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler := httpapi.NewHandler(cluster.Nodes[node].Controller, admin.NewMetrics())
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	if recorder.Code != code || !strings.Contains(recorder.Body.String(), text) {
		t.Errorf("%s at %s: %.200s: answered %d %s", path, node, body, recorder.Code, recorder.Body)
	}
	if code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
		t.Errorf("%s: 503 without Retry-After", path)
	}
}

// A repeated submission is answered with the job's status, even if its content differs or is invalid, and
// does not change the job. The cancellation of a job that has ended does not change the job either. New
// invalid submissions are refused.
func TestInvalidAndRepeatedRequestsChangeNoJob(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 20*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 2, 1), 2*time.Second)
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 2, 1), 60*time.Second)
		time.Sleep(6 * time.Second)
		requireCancelled(t, cluster, "n0", "wk-3")
		for ref, status := range map[string]jobs.Status{"wk-1": "running", "wk-2": "done", "wk-3": "aborted"} {
			checkRepeatedSubmissions(t, cluster, ref, status)
		}
		if response := cluster.Poll("n1", "wk-1"); response.ActiveTasks != 2 {
			t.Errorf("repeated submissions have changed the job: %+v", response)
		}
		for _, node := range controllerNames {
			checkPost(t, cluster, node, "/submissions/wk-2/withdraw", "", http.StatusOK, `"status":"done"`)
			checkPost(t, cluster, node, "/submissions/wk-3/withdraw", "", http.StatusOK, `"status":"aborted"`)
			checkPost(t, cluster, node, "/submissions/wk-77/withdraw", "", http.StatusNotFound, "error")
		}
		checkNewSubmissions(t, cluster)
		for _, node := range []string{"n0", "n2"} { // a refused job stays unknown
			if response := cluster.Poll(node, "wk-52"); response.Code != http.StatusNotFound {
				t.Errorf("a refused job at %s: %+v", node, response)
			}
		}
	})
}

// checkRepeatedSubmissions checks that each controller answers a repeated submission with the job's
// status, whatever the other fields of the submission are.
func checkRepeatedSubmissions(t *testing.T, cluster *fake.Cluster, ref string, status jobs.Status) {
	t.Helper()
	for _, body := range []string{
		submissionBody(ref),
		submissionBody(ref, `"shifts":2`, `"shifts":90`),
		submissionBody(ref, `"vcpus":1`, `"vcpus":99`),
		submissionBody(ref, `"crew":"ops"`, `"crew":"nobody"`),
		submissionBody(ref, `"kit":"img",`, ``),
		submissionBody(ref, `"shifts":2`, `"shifts":null`),
		submissionBody(ref, `"shape":"sweep"`, `"shape":7`),
		fmt.Sprintf(`{"ref":%q}`, ref),
	} {
		for _, node := range controllerNames {
			checkPost(t, cluster, node, "/submissions", body, http.StatusOK, `"status":"`+string(status)+`"`)
		}
	}
}

// checkNewSubmissions checks the answers to new submissions, most of them invalid.
func checkNewSubmissions(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	const accepted, malformed, unsatisfiable = http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity
	for _, c := range []struct {
		name string
		body string
		code int
		text string
	}{
		{"missing field", submissionBody("wk-50", `"kit":"img",`, ``), malformed, "kit"},
		{"not JSON", `{"ref":"wk-51","vcpus":NaN}`, malformed, "body"},
		{"unknown team", submissionBody("wk-52", `"crew":"ops"`, `"crew":"nobody"`), unsatisfiable, "crew"},
		{"unknown zone", submissionBody("wk-53", `"valley":null`, `"valley":"z"`), unsatisfiable, "never"},
		{"too large for any machine", submissionBody("wk-54", `"ramGb":1`, `"ramGb":4000`), unsatisfiable, "never"},
		{"gang above the quota", submissionBody("wk-55", `"sweep"`, `"group"`, `"crew":"ops"`, `"crew":"capped"`, `"shifts":2`, `"shifts":5`),
			unsatisfiable, "vcpus"},
		{"one zone and spread", submissionBody("wk-56", `"oneZone":false,"spread":false`, `"oneZone":true,"spread":true`), unsatisfiable, "spread"},
		{"spread over a given zone", submissionBody("wk-57", `"spread":false`, `"spread":true`, `"valley":null`, `"valley":"a"`),
			unsatisfiable, "spread"},
		{"unknown machine type", submissionBody("wk-58", `"builds":null`, `"builds":["m512"]`), unsatisfiable, "never"},
		{"too many tasks", submissionBody("wk-59", `"shifts":2`, `"shifts":100001`), malformed, "shifts"},
		{"spread of one task", submissionBody("wk-61", `"shifts":2`, `"shifts":1`, `"spread":false`, `"spread":true`), accepted, "queued"},
		{"unknown fields", submissionBody("wk-62", `{"ref"`, `{"Shifts":-4,"x":[1,{}],"ref"`), accepted, "queued"},
		{"array above the quota", submissionBody("wk-63", `"crew":"ops"`, `"crew":"capped"`, `"shifts":2`, `"shifts":9`), accepted, "queued"},
		{"malformed reference", submissionBody("WK_64"), malformed, "ref"},
	} {
		t.Log(c.name)
		checkPost(t, cluster, "n1", "/submissions", c.body, c.code, c.text)
	}
}

// As long as no machine types are known, a controller can't tell which jobs can never run, and refuses
// new jobs. It still answers the repeated submission of a known job.
func TestNewJobsRefusedBeforeMachineTypesAreKnown(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 2, 1), 20*time.Second)
		cluster.Store.Delete(jobs.MachineTypesKey)
		cluster.WithoutMachineTypes = true
		cluster.CrashController("n1")
		cluster.StartController("n1")
		time.Sleep(2 * time.Second)
		if response := cluster.SubmitUntracked("n1", fake.JobSpec("wk-2", jobs.Array, 1, 99), nil); response.Code != http.StatusServiceUnavailable {
			t.Errorf("a new job was answered %+v", response)
		}
		if response := cluster.SubmitUntracked("n1", fake.JobSpec("wk-1", jobs.Array, 1, 99), nil); response.Code != http.StatusOK {
			t.Errorf("a repeated submission was answered %+v", response)
		}
	})
}
