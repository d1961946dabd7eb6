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

// unavailableController responds like a controller that cannot reach the key-value store.
type unavailableController struct{}

func (unavailableController) Submit(_ string, _ *jobs.Spec, _ error, reply chan controller.Response) {
	reply <- controller.Response{Code: 503, Error: "state service unavailable"}
}
func (unavailableController) Poll(ref string, reply chan controller.Response) {
	reply <- controller.Response{Code: 200, Ref: ref, Status: jobs.Running, DoneTasks: 3, ActiveTasks: 13}
}
func (unavailableController) Cancel(ref string, reply chan controller.Response) {
	reply <- controller.Response{Code: 404, Error: "no such job"}
}
func (unavailableController) HandleHeartbeat(_ *workerapi.Heartbeat, reply chan workersession.HeartbeatReply) {
	reply <- workersession.HeartbeatReply{StatusCode: 421, OwnerNode: "n1"}
}
func (unavailableController) Healthy() bool { return false }

func TestResponseStatusAndBody(t *testing.T) {
	handler := NewHandler(unavailableController{}, admin.NewMetrics())
	heartbeat := `{"host":"i-1","build":"m","valley":"a","watch":1,"tick":1,"baton":0,"shifts":[]}`
	for _, test := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"GET", "/submissions/wk-1", "", 200, `{"ref":"wk-1","status":"running","done":3,"running":13}`},
		{"GET", "/submissions/nonsense", "", 404, "error"},
		{"POST", "/submissions", "{", 400, "error"},
		{"POST", "/submissions", `{"ref":"wk-1"}`, 503, "error"}, // the store must be read to know whether the job exists
		{"POST", "/submissions", `{"ref":"wk-1","x":"` + strings.Repeat("y", 70<<10) + `"}`, 400, "body"},
		{"POST", "/submissions/wk-1/withdraw", "", 404, "error"},
		{"GET", "/healthz", "", 503, "error"},
		{"POST", "/healthz", "", 405, "error"},
		{"GET", "/nowhere", "", 404, "error"},
		{"POST", "/hello", heartbeat, 421, `{"herald":"n1"}`},
		{"POST", "/hello", `{"host":"i 1"}`, 400, "report"},
		{"POST", "/hello", `null`, 400, "report"},
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
		if recorder.Code != test.code || !strings.Contains(recorder.Body.String(), test.want) {
			t.Errorf("%s %s: %d %s", test.method, test.path, recorder.Code, recorder.Body)
		}
		if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without Retry-After", test.method, test.path)
		}
	}
}

// hangingPollController is a controller that never responds to a poll.
type hangingPollController struct{ unavailableController }

func (hangingPollController) Poll(string, chan controller.Response) {}

// With eight times the usual rate of polls, the polls took all CPU time: health checks failed on all
// controllers at once, and submissions were delayed.
func TestPollsAboveLimitAreRefused(t *testing.T) {
	synctest.Test(t, testPollsAboveLimit)
}

func testPollsAboveLimit(t *testing.T) {
	handler := NewHandler(hangingPollController{}, admin.NewMetrics())
	call := func(ctx context.Context, method, path, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
		return recorder
	}
	ctx, cancelPolls := context.WithCancel(t.Context())
	var polls sync.WaitGroup
	for range tuning.MaxWaitingPolls {
		polls.Go(func() { call(ctx, "GET", "/submissions/wk-1", "") })
	}
	synctest.Wait() // until all polls wait for a response
	if response := call(t.Context(), "GET", "/submissions/wk-3", ""); response.Code != 503 || response.Header().Get("Retry-After") == "" {
		t.Errorf("poll above the limit: %d %v", response.Code, response.Header())
	}
	if response := call(t.Context(), "POST", "/submissions/wk-3/withdraw", ""); response.Code != 404 {
		t.Errorf("cancellation during the overload: %d", response.Code)
	}
	cancelPolls()
	polls.Wait()
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel() // the poll is accepted, but its client has disconnected
	if response := call(canceledCtx, "GET", "/submissions/wk-4", ""); response.Code == 503 {
		t.Error("poll refused after the overload")
	}
}
