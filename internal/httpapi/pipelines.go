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

// JobValidator checks the jobs of a pipeline against the cluster.
type JobValidator interface {
	// Check decides whether a job is admitted.
	Check(spec *jobs.Spec) admission.Decision
	// Settings returns the operators' settings, their version, and whether they have been read.
	Settings() (settings admin.Settings, version uint64, synced bool)
}

// pipelineHandler serves pipeline files, runs and schedules.
type pipelineHandler struct {
	leader    *pipelinerun.Leader
	validator JobValidator
}

// RegisterPipelines adds the routes for pipeline files to a router. They are an addition of
// cherrywall's own and not part of the platform's protocol.
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

// checkResult is the answer to a check, and to a file that is refused.
type checkResult struct {
	Errors  pipeline.Problems `json:"errors"`
	Notices pipeline.Problems `json:"notices"`
	Jobs    int               `json:"jobs"`
}

// pipelineFile is the valid pipeline file of a request.
type pipelineFile struct {
	content []byte
	plan    *pipeline.Plan
	notices pipeline.Problems
}

// readFile reads the pipeline file in a request and checks it against the cluster. After a
// failure it has answered the request.
func (h *pipelineHandler) readFile(w http.ResponseWriter, r *http.Request) (file pipelineFile, ok bool) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxPipelineFileBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "file: too long or not received")
		return pipelineFile{}, false
	}
	settings, _, known := h.validator.Settings()
	limitsOf := func(class string) (jobs.ClassLimits, bool) {
		limits, limited := settings.ClassLimits[class]
		return limits, limited
	}
	check := func(spec *jobs.Spec) error {
		decision := h.validator.Check(spec)
		if decision.Verdict == admission.Undecided {
			known = false
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
	case !known:
		admin.WriteError(w, http.StatusServiceUnavailable, "too little is known of the cluster yet")
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
	_, _ = w.Write(schema) // a client that went away asks again
}

func (h *pipelineHandler) create(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id, name := r.URL.Query().Get("id"), r.URL.Query().Get("name")
	switch {
	case !pipelinerun.ValidID(id):
		admin.WriteError(w, http.StatusBadRequest, "id: must be run- and up to 18 digits, chosen by the caller")
		return
	case len(name) > tuning.MaxRunNameBytes:
		admin.WriteError(w, http.StatusBadRequest, "name: too long")
		return
	}
	if file, ok := h.readFile(w, r); ok {
		respondWithRun(w, h.leader.Create(id, name, file.content, file.plan))
	}
}

func respondWithRun(w http.ResponseWriter, response pipelinerun.Response) {
	if response.Error != "" {
		admin.WriteError(w, response.Code, response.Error)
		return
	}
	admin.WriteJSON(w, response.Code, response.Run)
}

// parseRunID returns the run that the path names. It has answered the request if no run can have
// that id.
func parseRunID(w http.ResponseWriter, params httprouter.Params) (id string, ok bool) {
	id = params.ByName("id")
	if !pipelinerun.ValidID(id) {
		admin.WriteError(w, http.StatusNotFound, "no such run")
		return "", false
	}
	return id, true
}

func (h *pipelineHandler) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if id, ok := parseRunID(w, params); ok {
		respondWithRun(w, h.leader.Get(id))
	}
}

func (h *pipelineHandler) list(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	runs, synced := h.leader.List()
	respondWithList(w, "runs", runs, synced)
}

// respondWithList sends a list under its key, or an error if the records have not been read yet.
func respondWithList(w http.ResponseWriter, key string, list any, synced bool) {
	if !synced {
		admin.WriteError(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]any{key: list})
}

func (h *pipelineHandler) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id, ok := parseRunID(w, params)
	if !ok {
		return
	}
	mode := pipelineexec.CancelNow
	if r.URL.Query().Get("drain") == "1" {
		mode = pipelineexec.CancelDrain
	}
	respondWithRun(w, h.leader.Cancel(id, mode))
}

func (h *pipelineHandler) play(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if id, ok := parseRunID(w, params); ok {
		respondWithRun(w, h.leader.StartManualJob(id, r.URL.Query().Get("job")))
	}
}
