package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cherrywall/internal/tuning"
)

// errorResponse is the body of the response to a request that failed.
type errorResponse struct {
	Error string `json:"error"`
}

// WriteJSON responds to a request with a value encoded as JSON. A response with the status code 503
// always has a Retry-After header.
func WriteJSON(w http.ResponseWriter, code int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"response could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the error is ignored: a client that has disconnected repeats its request
}

// WriteError responds to a request with an error text, encoded as JSON.
func WriteError(w http.ResponseWriter, code int, reason string) {
	WriteJSON(w, code, errorResponse{Error: reason})
}
