// Package intake serves users, health checks and workers over HTTP.
package httpapi

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"

	"github.com/julienschmidt/httprouter"
)

// Controller is what the handlers need of the placement actor.
type Controller interface {
	Submit(ref string, spec *jobs.Spec, bad error, reply chan controller.Response)
	Poll(ref string, reply chan controller.Response)
	Cancel(ref string, reply chan controller.Response)
	HandleHeartbeat(rep *workerapi.Heartbeat, reply chan workersession.HeartbeatReply)
	Healthy() bool
}

// NewHandler routes the requests.
func NewHandler(backend Controller, metrics *admin.Metrics, more ...func(*httprouter.Router)) http.Handler {
	h := &handler{backend, metrics, make(chan struct{}, tuning.MaxWaitingPolls)}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = true
	router.POST("/submissions", h.submit)
	router.GET("/submissions/:id", h.poll)
	router.POST("/submissions/:id/withdraw", h.cancel)
	router.GET("/healthz", h.health)
	router.POST("/hello", h.heartbeat)
	for _, add := range more {
		add(router)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusNotFound, "no such path")
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusMethodNotAllowed, "method not allowed")
	})
	return router
}

type handler struct {
	backend       Controller
	metrics       *admin.Metrics
	pollSemaphore chan struct{} // taken by polls that wait for an answer
}

// readBody reads a bounded body; it answers the request itself on failure.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxRequestBodyBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "body: too long or not received")
		return nil, false
	}
	return raw, true
}

type jobStatus struct {
	Ref    string `json:"ref"`
	Status string `json:"status"`
	Done   int    `json:"done"`
	Active int    `json:"running"`
}

func respond(w http.ResponseWriter, r controller.Response) {
	if r.Error != "" {
		admin.WriteError(w, r.Code, r.Error)
		return
	}
	admin.WriteJSON(w, r.Code, jobStatus{r.Ref, r.Status, r.DoneTasks, r.ActiveTasks})
}

// awaitResponse passes the actor's reply on, unless the client goes away first.
func (h *handler) awaitResponse(w http.ResponseWriter, r *http.Request, kind string, reply chan controller.Response) {
	start := time.Now()
	select {
	case v := <-reply:
		h.metrics.UserRequestSeconds.WithLabelValues(kind, strconv.Itoa(v.Code)).Observe(time.Since(start).Seconds())
		respond(w, v)
	case <-r.Context().Done():
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, bad := jobs.ParseSpec(raw)
	ref := ""
	if bad == nil {
		ref = spec.Ref
	} else if ref, ok = jobs.ParseRef(raw); !ok {
		admin.WriteError(w, http.StatusBadRequest, bad.Error())
		return
	}
	reply := make(chan controller.Response, 1)
	h.backend.Submit(ref, spec, bad, reply)
	h.awaitResponse(w, r, "submit", reply)
}

func (h *handler) poll(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	select {
	case h.pollSemaphore <- struct{}{}:
		defer func() { <-h.pollSemaphore }()
		h.askByID(w, r, p, "poll", h.backend.Poll)
	default:
		h.metrics.UserRequestSeconds.WithLabelValues("poll", "503").Observe(0)
		admin.WriteError(w, http.StatusServiceUnavailable, "too many polls at once")
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	h.askByID(w, r, p, "withdraw", h.backend.Cancel)
}

func (h *handler) askByID(w http.ResponseWriter, r *http.Request, p httprouter.Params, kind string, ask func(string, chan controller.Response)) {
	ref := p.ByName("id")
	if !jobs.ValidRef(ref) {
		admin.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	reply := make(chan controller.Response, 1)
	ask(ref, reply)
	h.awaitResponse(w, r, kind, reply)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.backend.Healthy() {
		admin.WriteError(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := workerapi.ParseHeartbeat(raw)
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, fmt.Sprintf("report: %v", err))
		return
	}
	reply := make(chan workersession.HeartbeatReply, 1)
	h.backend.HandleHeartbeat(heartbeat, reply)
	select {
	case v := <-reply:
		h.metrics.WorkerHeartbeats.WithLabelValues(strconv.Itoa(v.StatusCode)).Inc()
		switch {
		case v.StatusCode == http.StatusOK:
			admin.WriteJSON(w, v.StatusCode, v.Response)
		case v.OwnerNode != "":
			admin.WriteJSON(w, v.StatusCode, map[string]string{"herald": v.OwnerNode})
		default:
			admin.WriteError(w, v.StatusCode, "not entitled")
		}
	case <-r.Context().Done():
	}
}
