package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cherrywall/internal/tuning"
)

// Send answers a request with JSON; a 503 always says when to come back.
func Send(w http.ResponseWriter, code int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer not encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // a client that went away asks again
}

// Fail answers a request with what is wrong.
func Fail(w http.ResponseWriter, code int, why string) {
	Send(w, code, map[string]string{"error": why})
}
