package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cherrywall/internal/tuning"
)

// WriteJSON answers a request with JSON; a 503 always says when to come back.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer not encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // a client that went away asks again
}

// WriteError answers a request with what is wrong.
func WriteError(w http.ResponseWriter, code int, why string) {
	WriteJSON(w, code, map[string]string{"error": why})
}
