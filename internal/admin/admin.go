package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// ErrStale means that the settings were changed by somebody else meanwhile.
var ErrStale = errors.New("settings have another version")

// ErrUnavailable means that the change could not be stored now.
var ErrUnavailable = errors.New("state service unavailable")

// Brain is what the interface needs of the placement actor.
type Brain interface {
	Settings() (Settings, uint64, bool)
	ChangeSettings(s Settings, version uint64) (uint64, error)
	View(name string) (any, bool)
}

// Views are the names of what can be looked at.
var Views = []string{"shares", "workers", "counts", "jobs", "fleet"}

// Register adds the interface to a router.
func Register(r *httprouter.Router, b Brain) {
	r.GET("/admin/v1/settings", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s, version, ok := b.Settings()
		if !ok {
			fail(w, http.StatusServiceUnavailable, "state not read yet")
			return
		}
		send(w, http.StatusOK, map[string]any{"version": version, "settings": s, "defaults": Defaults(), "units": Units})
	})
	r.PUT("/admin/v1/settings", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		change(w, q, b)
	})
	for _, name := range Views {
		r.GET("/admin/v1/"+name, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
			v, ok := b.View(name)
			if !ok {
				fail(w, http.StatusServiceUnavailable, "state not read yet")
				return
			}
			send(w, http.StatusOK, v)
		})
	}
}

func change(w http.ResponseWriter, q *http.Request, b Brain) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, q.Body, tuning.MaxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, "body: too long or not received")
		return
	}
	var body struct {
		Version  *uint64         `json:"version"`
		Settings json.RawMessage `json:"settings"`
	}
	switch err := json.Unmarshal(raw, &body); {
	case err != nil:
		fail(w, http.StatusBadRequest, "body: not JSON as expected")
		return
	case body.Version == nil:
		fail(w, http.StatusBadRequest, "version: missing")
		return
	case len(body.Settings) == 0 || string(body.Settings) == "null":
		fail(w, http.StatusBadRequest, "settings: missing")
		return
	}
	base, version, ok := b.Settings()
	if !ok {
		fail(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	s, err := Merge(base, body.Settings)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if *body.Version != version {
		fail(w, http.StatusConflict, ErrStale.Error())
		return
	}
	version, err = b.ChangeSettings(s, version)
	switch {
	case errors.Is(err, ErrStale):
		fail(w, http.StatusConflict, err.Error())
	case err != nil:
		fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		send(w, http.StatusOK, map[string]any{"version": version, "settings": s})
	}
}

func send(w http.ResponseWriter, code int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer not encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
	}
	w.WriteHeader(code)
	_, _ = w.Write(raw) // a client that went away asks again
}

func fail(w http.ResponseWriter, code int, why string) {
	send(w, code, map[string]string{"error": why})
}
