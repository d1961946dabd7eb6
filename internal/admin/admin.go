// Package admin is the administration API of a controller: the operators' settings, views of the
// cluster, and metrics. The settings are stored in the key-value store and changed only through this
// API.
package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// Errors of Controller.ChangeSettings.
var (
	// ErrVersionConflict means that the settings have changed since the version that the change is based on.
	ErrVersionConflict = errors.New("settings have another version")
	// ErrUnavailable means that the key-value store has not confirmed the change. The change may have
	// been stored, or may still be stored later.
	ErrUnavailable = errors.New("state service unavailable")
)

// reasonNotSynced is the error text while the controller has not read the key-value store yet.
const reasonNotSynced = "state not read yet"

// Controller is the part of a controller that the administration API uses. Its methods may be called
// from any goroutine.
type Controller interface {
	// Settings returns the current settings and their version. ok is false while the settings have
	// not been read yet.
	Settings() (settings Settings, version uint64, ok bool)
	// ChangeSettings stores settings if the current ones have the given version, and returns the new
	// version. The error is ErrVersionConflict or ErrUnavailable.
	ChangeSettings(settings Settings, version uint64) (uint64, error)
	// View returns the view with a name from ViewNames as a value to be encoded as JSON. ok is false
	// while the records have not been read yet.
	View(name string) (view any, ok bool)
}

// settingsResponse is the response to a request for the settings.
type settingsResponse struct {
	Defaults     Settings          `json:"defaults"`
	Settings     Settings          `json:"settings"`
	Descriptions map[string]string `json:"units"`
	Version      uint64            `json:"version"`
}

// settingsChangeResponse is the response to a change of the settings.
type settingsChangeResponse struct {
	Settings Settings `json:"settings"`
	Version  uint64   `json:"version"`
}

// RegisterRoutes adds the routes of the settings and of all views to a router.
func RegisterRoutes(router *httprouter.Router, controller Controller) {
	router.GET("/admin/v1/settings", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		getSettings(w, controller)
	})
	router.PUT("/admin/v1/settings", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		changeSettings(w, request, controller)
	})
	for _, name := range ViewNames {
		router.GET("/admin/v1/"+name, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
			getView(w, controller, name)
		})
	}
}

func getView(w http.ResponseWriter, controller Controller, name string) {
	view, ok := controller.View(name)
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, reasonNotSynced)
		return
	}
	WriteJSON(w, http.StatusOK, view)
}

func getSettings(w http.ResponseWriter, controller Controller) {
	settings, version, ok := controller.Settings()
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, reasonNotSynced)
		return
	}
	WriteJSON(w, http.StatusOK, settingsResponse{Defaults: DefaultSettings(), Settings: settings, Descriptions: SettingDescriptions, Version: version})
}

// settingsChangeRequest is the body of a request to change the settings.
type settingsChangeRequest struct {
	// Version is the version of the settings that the change is based on; nil if the field is missing.
	Version *uint64 `json:"version"`
	// Settings is a JSON object with the fields to be changed.
	Settings json.RawMessage `json:"settings"`
}

// readSettingsChange reads the body of a request to change the settings. Its errors are of type
// *ValidationError.
func readSettingsChange(w http.ResponseWriter, request *http.Request) (settingsChangeRequest, error) {
	var change settingsChangeRequest
	raw, err := io.ReadAll(http.MaxBytesReader(w, request.Body, tuning.MaxRequestBodyBytes))
	if err != nil {
		return change, &ValidationError{Field: "body", Reason: "too long or not received"}
	}
	if err := json.Unmarshal(raw, &change); err != nil {
		return change, &ValidationError{Field: "body", Reason: "invalid JSON, or a field of the wrong type"}
	}
	if change.Version == nil {
		return change, &ValidationError{Field: "version", Reason: "missing"}
	}
	if len(change.Settings) == 0 || string(change.Settings) == "null" {
		return change, &ValidationError{Field: "settings", Reason: "missing"}
	}
	return change, nil
}

func changeSettings(w http.ResponseWriter, request *http.Request, controller Controller) {
	change, err := readSettingsChange(w, request)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	currentSettings, version, ok := controller.Settings()
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, reasonNotSynced)
		return
	}
	settings, err := MergeSettings(currentSettings, change.Settings)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if *change.Version != version {
		WriteError(w, http.StatusConflict, ErrVersionConflict.Error())
		return
	}
	version, err = controller.ChangeSettings(settings, version)
	switch {
	case errors.Is(err, ErrVersionConflict):
		WriteError(w, http.StatusConflict, err.Error())
	case err != nil:
		WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		WriteJSON(w, http.StatusOK, settingsChangeResponse{Settings: settings, Version: version})
	}
}
