package httpapi

import (
	"net/http"

	"cherrywall/internal/admin"

	"github.com/julienschmidt/httprouter"
)

func (h *pipelineHandler) schedules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	schedules, isSynced := h.leader.Schedules()
	writeList(w, "schedules", schedules, isSynced)
}

func (h *pipelineHandler) setSchedule(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	file, ok := h.readFile(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	schedule, response := h.leader.SetSchedule(params.ByName("name"), query.Get("cron"), query.Get("zone"), file.content, file.plan)
	if response.Error != "" {
		admin.WriteError(w, response.Code, response.Error)
		return
	}
	admin.WriteJSON(w, response.Code, schedule)
}

func (h *pipelineHandler) removeSchedule(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	response := h.leader.RemoveSchedule(params.ByName("name"))
	if response.Error != "" {
		admin.WriteError(w, response.Code, response.Error)
		return
	}
	admin.WriteJSON(w, http.StatusOK, map[string]bool{"ended": true})
}
