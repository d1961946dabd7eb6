package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"

	"github.com/julienschmidt/httprouter"
)

// requestKind is the kind of a user request. It is the value of a metrics label.
type requestKind string

const (
	kindSubmit requestKind = "submit"
	kindPoll   requestKind = "poll"
	kindCancel requestKind = "withdraw"
)

// jobStatus is the status of a job as the protocol represents it.
type jobStatus struct {
	Ref    string      `json:"ref"`
	Status jobs.Status `json:"status"`
	Done   int         `json:"done"`
	Active int         `json:"running"`
}

func writeResponse(w http.ResponseWriter, response controller.Response) {
	if response.Error != "" {
		admin.WriteError(w, response.Code, response.Error)
		return
	}
	admin.WriteJSON(w, response.Code, jobStatus{response.Ref, response.Status, response.DoneTasks, response.ActiveTasks})
}

// awaitResponse waits for the controller's response and sends it to the client. It returns without
// a response if the client disconnects first.
func (h *handler) awaitResponse(w http.ResponseWriter, r *http.Request, kind requestKind, reply chan controller.Response) {
	start := time.Now()
	select {
	case response := <-reply:
		h.metrics.UserRequestSeconds.WithLabelValues(string(kind), strconv.Itoa(response.Code)).Observe(time.Since(start).Seconds())
		writeResponse(w, response)
	case <-r.Context().Done():
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, specErr := jobs.ParseSpec(body)
	ref := ""
	if specErr == nil {
		ref = spec.Ref
	} else if ref, ok = jobs.ParseRef(body); !ok {
		admin.WriteError(w, http.StatusBadRequest, specErr.Error())
		return
	}
	// An invalid job with a valid reference is also passed to the controller: if a job with that
	// reference exists, the response is the status of the existing job.
	reply := make(chan controller.Response, 1)
	h.backend.Submit(ref, spec, specErr, reply)
	h.awaitResponse(w, r, kindSubmit, reply)
}

func (h *handler) poll(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	select {
	case h.pollSemaphore <- struct{}{}:
		defer func() { <-h.pollSemaphore }()
		h.forwardByRef(w, r, params, kindPoll, h.backend.Poll)
	default:
		h.metrics.UserRequestSeconds.WithLabelValues(string(kindPoll), strconv.Itoa(http.StatusServiceUnavailable)).Observe(0)
		admin.WriteError(w, http.StatusServiceUnavailable, "too many concurrent polls")
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	h.forwardByRef(w, r, params, kindCancel, h.backend.Cancel)
}

// forwardByRef calls the given method of the controller with the job reference in the path, and
// sends the controller's response to the client.
func (h *handler) forwardByRef(w http.ResponseWriter, r *http.Request, params httprouter.Params, kind requestKind, call func(ref string, reply chan controller.Response)) {
	ref := params.ByName("id")
	if !jobs.ValidRef(ref) {
		admin.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	reply := make(chan controller.Response, 1)
	call(ref, reply)
	h.awaitResponse(w, r, kind, reply)
}
