package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cherrywall/internal/tuning"
)

// errorBody is the answer to a request that failed.
type errorBody struct {
	Error string `json:"error"`
}

// WriteJSON answers a request with a value encoded as JSON. An answer with the code 503 always
// says when to retry.
func WriteJSON(w http.ResponseWriter, code int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer not encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // a client that has disconnected sends its request again
}

// WriteError answers a request with what is wrong.
func WriteError(w http.ResponseWriter, code int, reason string) {
	WriteJSON(w, code, errorBody{Error: reason})
}
