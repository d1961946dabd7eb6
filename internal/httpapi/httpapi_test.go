package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// unavailableController answers as an actor without the state service would.
type unavailableController struct{}

func (unavailableController) Submit(_ string, _ *jobs.Spec, _ error, c chan controller.Response) {
	c <- controller.Response{Code: 503, Error: "state service"}
}
func (unavailableController) Poll(ref string, c chan controller.Response) {
	c <- controller.Response{Code: 200, Ref: ref, Status: jobs.Running, DoneTasks: 3, ActiveTasks: 13}
}
func (unavailableController) Cancel(ref string, c chan controller.Response) {
	c <- controller.Response{Code: 404, Error: "no such job"}
}
func (unavailableController) HandleHeartbeat(_ *workerapi.Heartbeat, c chan workersession.HeartbeatReply) {
	c <- workersession.HeartbeatReply{StatusCode: 421, OwnerNode: "n1"}
}
func (unavailableController) Healthy() bool { return false }

func TestAnswersOverHTTP(t *testing.T) {
	h := NewHandler(unavailableController{}, admin.NewMetrics())
	report := `{"host":"i-1","build":"m","valley":"a","watch":1,"tick":1,"baton":0,"shifts":[]}`
	for _, c := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"GET", "/submissions/wk-1", "", 200, `{"ref":"wk-1","status":"running","done":3,"running":13}`},
		{"GET", "/submissions/nonsense", "", 404, "error"},
		{"POST", "/submissions", "{", 400, "error"},
		{"POST", "/submissions", `{"ref":"wk-1"}`, 503, "error"}, // known or not is to be looked up first
		{"POST", "/submissions", `{"ref":"wk-1","x":"` + strings.Repeat("y", 70<<10) + `"}`, 400, "body"},
		{"POST", "/submissions/wk-1/withdraw", "", 404, "error"},
		{"GET", "/healthz", "", 503, "error"},
		{"POST", "/healthz", "", 405, "error"},
		{"GET", "/nowhere", "", 404, "error"},
		{"POST", "/hello", report, 421, `{"herald":"n1"}`},
		{"POST", "/hello", `{"host":"i 1"}`, 400, "report"},
		{"POST", "/hello", `null`, 400, "report"},
	} {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if rec.Code != c.code || !strings.Contains(rec.Body.String(), c.want) {
			t.Errorf("%s %s: %d %s", c.method, c.path, rec.Code, rec.Body)
		}
		if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without Retry-After", c.method, c.path)
		}
	}
}

// unansweredPolls never answers a poll.
type unansweredPolls struct{ unavailableController }

func (unansweredPolls) Poll(string, chan controller.Response) {}

// Eight times the polls took the time of everything else: health checks failed on
// all controllers at once, and submissions were late.
func TestAStormOfPollsIsRefusedAndHarmsNothingElse(t *testing.T) {
	synctest.Test(t, testPollOverload)
}

func testPollOverload(t *testing.T) {
	h := NewHandler(unansweredPolls{}, admin.NewMetrics())
	ask := func(ctx context.Context, method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
		return w
	}
	ctx, giveUp := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range tuning.MaxWaitingPolls {
		waiting.Go(func() { ask(ctx, "GET", "/submissions/wk-1", "") })
	}
	synctest.Wait() // all of them wait
	if w := ask(t.Context(), "GET", "/submissions/wk-3", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("one poll too many was answered %d %v", w.Code, w.Header())
	}
	if w := ask(t.Context(), "POST", "/submissions/wk-3/withdraw", ""); w.Code != 404 {
		t.Errorf("a cancellation was answered %d", w.Code)
	}
	giveUp()
	waiting.Wait()
	done, stop := context.WithCancel(t.Context())
	stop() // it waits no more, but was taken
	if w := ask(done, "GET", "/submissions/wk-4", ""); w.Code == 503 {
		t.Error("polls are refused after the storm")
	}
}
