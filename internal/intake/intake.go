// Package intake serves users, health checks and workers over HTTP.
package intake

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"cherrywall/internal/jobs"
	"cherrywall/internal/placement"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"

	"github.com/julienschmidt/httprouter"
)

// Brain is what the handlers need of the placement actor.
type Brain interface {
	Submit(ref string, spec *jobs.Spec, bad error, reply chan placement.Reply)
	Poll(ref string, reply chan placement.Reply)
	Withdraw(ref string, reply chan placement.Reply)
	Report(rep *worker.Report, reply chan placement.Verdict)
	Healthy() bool
}

// Handler routes the requests.
func Handler(b Brain, log *slog.Logger, more ...func(*httprouter.Router)) http.Handler {
	h := &handler{b, log}
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = true
	r.POST("/submissions", h.submit)
	r.GET("/submissions/:id", h.poll)
	r.POST("/submissions/:id/withdraw", h.withdraw)
	r.GET("/healthz", h.health)
	r.POST("/hello", h.hello)
	for _, add := range more {
		add(r)
	}
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, "no such path")
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusMethodNotAllowed, "method not allowed")
	})
	return r
}

type handler struct {
	b   Brain
	log *slog.Logger
}

func send(w http.ResponseWriter, code int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer not encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // a client that went away asks again
}

func fail(w http.ResponseWriter, code int, why string) {
	send(w, code, map[string]string{"error": why})
}

// body reads a bounded body; it answers the request itself on failure.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, "body: too long or not received")
		return nil, false
	}
	return raw, true
}

type jobAnswer struct {
	Ref    string `json:"ref"`
	Status string `json:"status"`
	Done   int    `json:"done"`
	Active int    `json:"running"`
}

func answer(w http.ResponseWriter, r placement.Reply) {
	if r.Error != "" {
		fail(w, r.Code, r.Error)
		return
	}
	send(w, r.Code, jobAnswer{r.Ref, r.Status, r.Done, r.Active})
}

// wait passes the actor's reply on, unless the client goes away first.
func wait(w http.ResponseWriter, r *http.Request, reply chan placement.Reply) {
	select {
	case v := <-reply:
		answer(w, v)
	case <-r.Context().Done():
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, ok := body(w, r)
	if !ok {
		return
	}
	spec, bad := jobs.Parse(raw)
	ref := ""
	if bad == nil {
		ref = spec.Ref
	} else if ref, ok = jobs.RefOf(raw); !ok {
		fail(w, http.StatusBadRequest, bad.Error())
		return
	}
	reply := make(chan placement.Reply, 1)
	h.b.Submit(ref, spec, bad, reply)
	wait(w, r, reply)
}

func (h *handler) poll(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	h.byID(w, r, p, h.b.Poll)
}

func (h *handler) withdraw(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	h.byID(w, r, p, h.b.Withdraw)
}

func (h *handler) byID(w http.ResponseWriter, r *http.Request, p httprouter.Params, ask func(string, chan placement.Reply)) {
	ref := p.ByName("id")
	if !jobs.ValidRef(ref) {
		fail(w, http.StatusNotFound, "no such job")
		return
	}
	reply := make(chan placement.Reply, 1)
	ask(ref, reply)
	wait(w, r, reply)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.b.Healthy() {
		fail(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	send(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (h *handler) hello(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, ok := body(w, r)
	if !ok {
		return
	}
	rep, err := worker.ParseReport(raw)
	if err != nil {
		fail(w, http.StatusBadRequest, fmt.Sprintf("report: %v", err))
		return
	}
	reply := make(chan placement.Verdict, 1)
	h.b.Report(rep, reply)
	select {
	case v := <-reply:
		switch {
		case v.Status == http.StatusOK:
			send(w, v.Status, v.Answer)
		case v.Herald != "":
			send(w, v.Status, map[string]string{"herald": v.Herald})
		default:
			fail(w, v.Status, "not entitled")
		}
	case <-r.Context().Done():
	}
}
