// Package httpjson reads JSON requests and writes JSON responses for HTTP handlers of test fakes.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
)

// Error is the body of a response that reports an error.
type Error struct {
	Error string `json:"error"`
}

// Write sends a response with a value as its body. It does not report a failed write: the client sends
// its request again.
func Write(rw http.ResponseWriter, code int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(value)
}

// WriteError sends a response whose body is an Error.
func WriteError(rw http.ResponseWriter, code int, text string) {
	Write(rw, code, Error{Error: text})
}

// Read decodes the body of a request into the value that target points to. An empty body leaves the value
// unchanged. If decoding fails, Read sends a response with status 400 and returns false.
func Read(rw http.ResponseWriter, r *http.Request, target any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil && len(raw) > 0 {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
