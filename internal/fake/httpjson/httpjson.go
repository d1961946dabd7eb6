// Package httpjson has the JSON requests and answers of the HTTP handlers that serve stand-ins.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
)

// Error is the body of an answer that reports an error.
type Error struct {
	Error string `json:"error"`
}

// Write answers with a value. It does not report a failed write: the client sends its request again.
func Write(rw http.ResponseWriter, code int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(value)
}

// WriteError answers with an error.
func WriteError(rw http.ResponseWriter, code int, text string) {
	Write(rw, code, Error{Error: text})
}

// Read decodes the body of a request; an empty body leaves the value as it is. If it can not, it
// answers with status 400 and returns false.
func Read(rw http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil && len(raw) > 0 {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
