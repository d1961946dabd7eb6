package httpapi

import (
	"errors"
	"io"
	"net/http"

	"cherrywall/internal/admin"
	"cherrywall/internal/admission"
	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// JobValidator decides whether the cluster admits the jobs of a pipeline.
type JobValidator interface {
	// Check decides whether a job is admitted.
	Check(spec *jobs.Spec) admission.Decision
	// Settings returns the operators' settings, their version, and whether they have been read.
	Settings() (settings admin.Settings, version uint64, isSynced bool)
}

// pipelineHandler serves pipeline files, runs and schedules.
type pipelineHandler struct {
	leader    *pipelinerun.Leader
	validator JobValidator
}

// RegisterPipelines adds the routes for pipeline files, runs and schedules to a router. These routes
// are an extension of cherrywall and not part of the platform's protocol.
func RegisterPipelines(router *httprouter.Router, leader *pipelinerun.Leader, validator JobValidator) {
	h := &pipelineHandler{leader: leader, validator: validator}
	router.POST("/pipelines", h.create)
	router.GET("/pipelines", h.list)
	router.GET("/pipelines/:id", h.get)
	router.POST("/pipelines/:id/cancel", h.cancel)
	router.POST("/pipelines/:id/play", h.play)
	router.GET("/schedules", h.schedules)
	router.PUT("/schedules/:name", h.setSchedule)
	router.DELETE("/schedules/:name", h.removeSchedule)
	router.POST("/check/pipeline", h.check)
	router.GET("/check/schema", h.schema)
}

// checkResult is the response to a request to check a file, and to any request with an invalid file.
type checkResult struct {
	Errors  pipeline.Problems `json:"errors"`
	Notices pipeline.Problems `json:"notices"`
	Jobs    int               `json:"jobs"`
}

// pipelineFile is a valid pipeline file that was received with a request.
type pipelineFile struct {
	content []byte
	plan    *pipeline.Plan
	notices pipeline.Problems
}

// readFile reads the pipeline file in a request and checks it against the cluster. If it fails, it
// sends the error response and returns false.
func (h *pipelineHandler) readFile(w http.ResponseWriter, r *http.Request) (file pipelineFile, ok bool) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxPipelineFileBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "file: too long or not received")
		return pipelineFile{}, false
	}
	settings, _, isClusterKnown := h.validator.Settings()
	limitsOf := func(class string) (jobs.ClassLimits, bool) {
		limits, hasLimits := settings.ClassLimits[class]
		return limits, hasLimits
	}
	check := func(spec *jobs.Spec) error {
		decision := h.validator.Check(spec)
		if decision.Verdict == admission.Undecided {
			isClusterKnown = false
		}
		return decision.Err
	}
	plan, notices, err := pipeline.Parse(content, limitsOf, check)
	var problems pipeline.Problems
	switch {
	case errors.As(err, &problems):
		admin.WriteJSON(w, http.StatusBadRequest, checkResult{Errors: problems, Notices: notices})
	case err != nil:
		admin.WriteError(w, http.StatusBadRequest, err.Error())
	case !isClusterKnown:
		admin.WriteError(w, http.StatusServiceUnavailable, "not enough is known about the cluster yet to check the file")
	default:
		return pipelineFile{content: content, plan: plan, notices: notices}, true
	}
	return pipelineFile{}, false
}

func (h *pipelineHandler) check(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if file, ok := h.readFile(w, r); ok {
		admin.WriteJSON(w, http.StatusOK, checkResult{Errors: pipeline.Problems{}, Notices: file.notices, Jobs: len(file.plan.Jobs)})
	}
}

func (h *pipelineHandler) schema(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	schema, err := pipeline.Schema()
	if err != nil {
		admin.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/schema+json")
	_, _ = w.Write(schema) // the error is ignored: a client that has disconnected repeats its request
}

func (h *pipelineHandler) create(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id, name := r.URL.Query().Get("id"), r.URL.Query().Get("name")
	switch {
	case !pipelinerun.IsValidID(id):
		admin.WriteError(w, http.StatusBadRequest, "id: must be run- and up to 18 digits, chosen by the caller")
		return
	case len(name) > tuning.MaxRunNameBytes:
		admin.WriteError(w, http.StatusBadRequest, "name: too long")
		return
	}
	if file, ok := h.readFile(w, r); ok {
		writeRun(w, h.leader.Create(id, name, file.content, file.plan))
	}
}

func writeRun(w http.ResponseWriter, response pipelinerun.Response) {
	if response.Error != "" {
		admin.WriteError(w, response.Code, response.Error)
		return
	}
	admin.WriteJSON(w, response.Code, response.Run)
}

// runIDFromPath returns the id of the run that the path names. If the id is not valid, it sends the
// error response and returns false.
func runIDFromPath(w http.ResponseWriter, params httprouter.Params) (id string, ok bool) {
	id = params.ByName("id")
	if !pipelinerun.IsValidID(id) {
		admin.WriteError(w, http.StatusNotFound, "no such run")
		return "", false
	}
	return id, true
}

func (h *pipelineHandler) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if id, ok := runIDFromPath(w, params); ok {
		writeRun(w, h.leader.Get(id))
	}
}

func (h *pipelineHandler) list(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	runs, isSynced := h.leader.List()
	writeList(w, "runs", runs, isSynced)
}

// writeList sends a JSON object with the list under the given key, or an error if the records have not
// been read yet.
func writeList(w http.ResponseWriter, key string, list any, isSynced bool) {
	if !isSynced {
		admin.WriteError(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]any{key: list})
}

func (h *pipelineHandler) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id, ok := runIDFromPath(w, params)
	if !ok {
		return
	}
	mode := pipelineexec.CancelNow
	if r.URL.Query().Get("drain") == "1" {
		mode = pipelineexec.CancelDrain
	}
	writeRun(w, h.leader.Cancel(id, mode))
}

func (h *pipelineHandler) play(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if id, ok := runIDFromPath(w, params); ok {
		writeRun(w, h.leader.StartManualJob(id, r.URL.Query().Get("job")))
	}
}
