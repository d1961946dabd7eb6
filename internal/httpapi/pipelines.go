package httpapi

import (
	"errors"
	"io"
	"net/http"

	"cherrywall/internal/admin"
	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// JobValidator tells what the cluster makes of jobs, and what the operators allow.
type JobValidator interface {
	Check(spec *jobs.Spec) (known bool, err error)
	Settings() (admin.Settings, uint64, bool)
}

// RegisterPipelines adds the interface for pipeline files to a router. It is our own and not part
// of the platform's protocol.
func RegisterPipelines(router *httprouter.Router, leader *pipelinerun.Leader, validator JobValidator) {
	h := &pipelineHandler{leader, validator}
	router.POST("/pipelines", h.create)
	router.GET("/pipelines", h.list)
	router.GET("/pipelines/:id", h.get)
	router.POST("/pipelines/:id/cancel", h.cancel)
	router.POST("/pipelines/:id/play", h.play)
	router.GET("/schedules", h.schedules)
	router.PUT("/schedules/:name", h.setSchedule)
	router.DELETE("/schedules/:name", h.removeSchedule)
	router.POST("/check/pipeline", h.check)
	router.GET("/check/schema", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		raw, err := pipeline.Schema()
		if err != nil {
			admin.WriteError(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/schema+json")
		_, _ = w.Write(raw) // a client that went away asks again
	})
}

type pipelineHandler struct {
	leader    *pipelinerun.Leader
	validator JobValidator
}

// checkResult is the answer to a check, and to a file that is refused.
type checkResult struct {
	Errors  pipeline.Problems `json:"errors"`
	Notices pipeline.Problems `json:"notices"`
	Jobs    int               `json:"jobs"`
}

// readPlan reads the file in a request against what the cluster takes; it answers the request
// itself on failure.
func (h *pipelineHandler) readPlan(w http.ResponseWriter, r *http.Request) (file []byte, p *pipeline.Plan, notices pipeline.Problems, ok bool) {
	file, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxPipelineFileBytes))
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, "file: too long or not received")
		return nil, nil, nil, false
	}
	settings, _, synced := h.validator.Settings()
	known := synced
	p, notices, err = pipeline.Parse(file, func(class string) (jobs.ClassLimits, bool) {
		l, limited := settings.ClassLimits[class]
		return l, limited
	}, func(spec *jobs.Spec) error {
		ok, err := h.validator.Check(spec)
		if !ok {
			known = false
			return nil
		}
		return err
	})
	var bad pipeline.Problems
	switch {
	case errors.As(err, &bad):
		admin.WriteJSON(w, http.StatusBadRequest, checkResult{Errors: bad, Notices: notices})
	case err != nil:
		admin.WriteError(w, http.StatusBadRequest, err.Error())
	case !known:
		admin.WriteError(w, http.StatusServiceUnavailable, "too little is known of the cluster yet")
	default:
		return file, p, notices, true
	}
	return nil, nil, nil, false
}

func (h *pipelineHandler) check(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if _, p, notices, ok := h.readPlan(w, r); ok {
		admin.WriteJSON(w, http.StatusOK, checkResult{Errors: pipeline.Problems{}, Notices: notices, Jobs: len(p.Jobs)})
	}
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
	if file, p, _, ok := h.readPlan(w, r); ok {
		h.respond(w, h.leader.Create(id, name, file, p))
	}
}

func (h *pipelineHandler) respond(w http.ResponseWriter, r pipelinerun.Response) {
	if r.Error != "" {
		admin.WriteError(w, r.Code, r.Error)
		return
	}
	admin.WriteJSON(w, r.Code, r.Run)
}

// parseRunID answers a request for an id that none can have.
func parseRunID(w http.ResponseWriter, p httprouter.Params) (id string, ok bool) {
	if id = p.ByName("id"); !pipelinerun.ValidID(id) {
		admin.WriteError(w, http.StatusNotFound, "no such run")
		return "", false
	}
	return id, true
}

func (h *pipelineHandler) get(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if id, ok := parseRunID(w, p); ok {
		h.respond(w, h.leader.Get(id))
	}
}

func (h *pipelineHandler) list(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	runs, ok := h.leader.List()
	if !ok {
		admin.WriteError(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]any{"runs": runs})
}

func (h *pipelineHandler) schedules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	all, ok := h.leader.Schedules()
	if !ok {
		admin.WriteError(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]any{"schedules": all})
}

func (h *pipelineHandler) setSchedule(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	file, plan, _, ok := h.readPlan(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	v, reply := h.leader.Schedule(p.ByName("name"), q.Get("cron"), q.Get("zone"), file, plan)
	if reply.Error != "" {
		admin.WriteError(w, reply.Code, reply.Error)
		return
	}
	admin.WriteJSON(w, reply.Code, v)
}

func (h *pipelineHandler) removeSchedule(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if r := h.leader.RemoveSchedule(p.ByName("name")); r.Error != "" {
		admin.WriteError(w, r.Code, r.Error)
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]bool{"ended": true})
}

func (h *pipelineHandler) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, ok := parseRunID(w, p)
	if !ok {
		return
	}
	how := pipelineexec.CancelNow
	if r.URL.Query().Get("drain") == "1" {
		how = pipelineexec.CancelDrain
	}
	h.respond(w, h.leader.Cancel(id, how))
}

func (h *pipelineHandler) play(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if id, ok := parseRunID(w, p); ok {
		h.respond(w, h.leader.StartManualJob(id, r.URL.Query().Get("job")))
	}
}
