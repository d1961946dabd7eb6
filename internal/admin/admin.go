package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// ErrVersionConflict means that the settings were changed by somebody else meanwhile.
var ErrVersionConflict = errors.New("settings have another version")

// ErrUnavailable means that the change could not be stored now.
var ErrUnavailable = errors.New("state service unavailable")

// Controller is what the interface needs of the placement actor.
type Controller interface {
	Settings() (Settings, uint64, bool)
	ChangeSettings(s Settings, version uint64) (uint64, error)
	View(name string) (any, bool)
}

// RegisterRoutes adds the interface to a router.
func RegisterRoutes(r *httprouter.Router, controller Controller) {
	r.GET("/admin/v1/settings", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s, version, ok := controller.Settings()
		if !ok {
			WriteError(w, http.StatusServiceUnavailable, "state not read yet")
			return
		}
		WriteJSON(w, http.StatusOK, map[string]any{"version": version, "settings": s, "defaults": DefaultSettings(), "units": SettingUnits})
	})
	r.PUT("/admin/v1/settings", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		changeSettings(w, request, controller)
	})
	for _, name := range ViewNames {
		r.GET("/admin/v1/"+name, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
			v, ok := controller.View(name)
			if !ok {
				WriteError(w, http.StatusServiceUnavailable, "state not read yet")
				return
			}
			WriteJSON(w, http.StatusOK, v)
		})
	}
}

func changeSettings(w http.ResponseWriter, request *http.Request, controller Controller) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, request.Body, tuning.MaxRequestBodyBytes))
	if err != nil {
		WriteError(w, http.StatusBadRequest, "body: too long or not received")
		return
	}
	var body struct {
		Version  *uint64         `json:"version"`
		Settings json.RawMessage `json:"settings"`
	}
	switch err := json.Unmarshal(raw, &body); {
	case err != nil:
		WriteError(w, http.StatusBadRequest, "body: not JSON as expected")
		return
	case body.Version == nil:
		WriteError(w, http.StatusBadRequest, "version: missing")
		return
	case len(body.Settings) == 0 || string(body.Settings) == "null":
		WriteError(w, http.StatusBadRequest, "settings: missing")
		return
	}
	base, version, ok := controller.Settings()
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, "state not read yet")
		return
	}
	s, err := MergeSettings(base, body.Settings)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if *body.Version != version {
		WriteError(w, http.StatusConflict, ErrVersionConflict.Error())
		return
	}
	version, err = controller.ChangeSettings(s, version)
	switch {
	case errors.Is(err, ErrVersionConflict):
		WriteError(w, http.StatusConflict, err.Error())
	case err != nil:
		WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		WriteJSON(w, http.StatusOK, map[string]any{"version": version, "settings": s})
	}
}
