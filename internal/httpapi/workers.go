package httpapi

import (
	"fmt"
	"net/http"
	"strconv"

	"cherrywall/internal/admin"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"

	"github.com/julienschmidt/httprouter"
)

// handleHeartbeat serves the heartbeats of workers.
func (h *handler) handleHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := workerapi.ParseHeartbeat(body)
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, fmt.Sprintf("report: %v", err))
		return
	}
	replies := make(chan workersession.HeartbeatReply, 1)
	h.backend.HandleHeartbeat(heartbeat, replies)
	select {
	case reply := <-replies:
		h.metrics.WorkerHeartbeats.WithLabelValues(strconv.Itoa(reply.StatusCode)).Inc()
		writeHeartbeatReply(w, reply)
	case <-r.Context().Done():
	}
}

// writeHeartbeatReply sends the reply to a heartbeat: the response with commands, the name of the
// controller that owns the worker's shard, or an error.
func writeHeartbeatReply(w http.ResponseWriter, reply workersession.HeartbeatReply) {
	switch {
	case reply.StatusCode == http.StatusOK:
		admin.WriteJSON(w, reply.StatusCode, reply.Response)
	case reply.OwnerNode != "":
		admin.WriteJSON(w, reply.StatusCode, map[string]string{"herald": reply.OwnerNode})
	default:
		admin.WriteError(w, reply.StatusCode, "not entitled")
	}
}
