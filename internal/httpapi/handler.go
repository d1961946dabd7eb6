// Package httpapi serves users, health checks, workers and pipeline files over HTTP. It maps the
// names of the protocol to the terms of the program.
package httpapi

import (
	"io"
	"net/http"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"

	"github.com/julienschmidt/httprouter"
)

// Controller is the part of the controller that answers requests. Its methods return at once;
// the answer is sent to the reply channel, which must have room for it.
type Controller interface {
	// Submit takes a job. invalid is what is wrong with it; spec is nil then.
	Submit(ref string, spec *jobs.Spec, invalid error, reply chan controller.Response)
	// Poll returns the status of a job.
	Poll(ref string, reply chan controller.Response)
	// Cancel cancels a job.
	Cancel(ref string, reply chan controller.Response)
	// HandleHeartbeat takes the heartbeat of a worker and answers with commands for it.
	HandleHeartbeat(heartbeat *workerapi.Heartbeat, reply chan workersession.HeartbeatReply)
	// Healthy reports whether the controller can serve users.
	Healthy() bool
}

// handler serves users, health checks and workers.
type handler struct {
	backend       Controller
	metrics       *admin.Metrics
	pollSemaphore chan struct{} // bounds the polls that wait for an answer
}

// NewHandler returns the handler of the listen address. Each of the functions addRoutes adds
// further routes to its router.
func NewHandler(backend Controller, metrics *admin.Metrics, addRoutes ...func(*httprouter.Router)) http.Handler {
	h := &handler{backend: backend, metrics: metrics, pollSemaphore: make(chan struct{}, tuning.MaxWaitingPolls)}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = true
	router.POST("/submissions", h.submit)
	router.GET("/submissions/:id", h.poll)
	router.POST("/submissions/:id/withdraw", h.cancel)
	router.GET("/healthz", h.health)
	router.POST("/hello", h.heartbeat)
	for _, add := range addRoutes {
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

// readBody reads a request body of bounded size. After a failure it has answered the request.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxRequestBodyBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "body: too long or not received")
		return nil, false
	}
	return body, true
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.backend.Healthy() {
		admin.WriteError(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}
