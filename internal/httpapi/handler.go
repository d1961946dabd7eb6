// Package httpapi serves the HTTP requests of users and workers, health checks, and requests with
// pipeline files. It maps the names of the protocol to the terms of the program.
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

// Controller is the part of the controller that handles requests. A method with a reply channel does
// not wait for the response. It sends the response to the channel later, so the channel must have
// buffer space for one response.
type Controller interface {
	// Submit submits a job. If the job is invalid, specErr is the reason, and spec is nil or
	// contains the invalid values.
	Submit(ref string, spec *jobs.Spec, specErr error, reply chan controller.Response)
	// Poll returns the status of a job.
	Poll(ref string, reply chan controller.Response)
	// Cancel cancels a job.
	Cancel(ref string, reply chan controller.Response)
	// HandleHeartbeat processes the heartbeat of a worker and replies with commands for the worker.
	HandleHeartbeat(heartbeat *workerapi.Heartbeat, reply chan workersession.HeartbeatReply)
	// Healthy reports whether the controller can serve users.
	Healthy() bool
}

// handler serves the requests of users and workers, and health checks.
type handler struct {
	backend       Controller
	metrics       *admin.Metrics
	pollSemaphore chan struct{} // limits the polls that wait for a response
}

// NewHandler returns the handler for a controller's listen address. Each function in addRoutes adds
// further routes to the handler's router.
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
	router.POST("/hello", h.handleHeartbeat)
	for _, registerRoutes := range addRoutes {
		registerRoutes(router)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusNotFound, "no such path")
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteError(w, http.StatusMethodNotAllowed, "method not allowed")
	})
	return router
}

// readBody reads a request body of at most tuning.MaxRequestBodyBytes. If it fails, it sends the error
// response and returns false.
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
