package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

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
var Views = []string{"shares", "members", "handovers", "start", "workers", "counts", "jobs", "fleet", "upgrade", "doctor", "troubles"}

// Register adds the interface to a router.
func Register(r *httprouter.Router, b Brain) {
	r.GET("/admin/v1/settings", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s, version, ok := b.Settings()
		if !ok {
			Fail(w, http.StatusServiceUnavailable, "state not read yet")
			return
		}
		Send(w, http.StatusOK, map[string]any{"version": version, "settings": s, "defaults": Defaults(), "units": Units})
	})
	r.PUT("/admin/v1/settings", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		change(w, q, b)
	})
	for _, name := range Views {
		r.GET("/admin/v1/"+name, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
			v, ok := b.View(name)
			if !ok {
				Fail(w, http.StatusServiceUnavailable, "state not read yet")
				return
			}
			Send(w, http.StatusOK, v)
		})
	}
}

func change(w http.ResponseWriter, q *http.Request, b Brain) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, q.Body, tuning.MaxBody))
	if err != nil {
		Fail(w, http.StatusBadRequest, "body: too long or not received")
		return
	}
	var body struct {
		Version  *uint64         `json:"version"`
		Settings json.RawMessage `json:"settings"`
	}
	switch err := json.Unmarshal(raw, &body); {
	case err != nil:
		Fail(w, http.StatusBadRequest, "body: not JSON as expected")
		return
	case body.Version == nil:
		Fail(w, http.StatusBadRequest, "version: missing")
		return
	case len(body.Settings) == 0 || string(body.Settings) == "null":
		Fail(w, http.StatusBadRequest, "settings: missing")
		return
	}
	base, version, ok := b.Settings()
	if !ok {
		Fail(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	s, err := Merge(base, body.Settings)
	if err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if *body.Version != version {
		Fail(w, http.StatusConflict, ErrStale.Error())
		return
	}
	version, err = b.ChangeSettings(s, version)
	switch {
	case errors.Is(err, ErrStale):
		Fail(w, http.StatusConflict, err.Error())
	case err != nil:
		Fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		Send(w, http.StatusOK, map[string]any{"version": version, "settings": s})
	}
}
