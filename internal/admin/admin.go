// Package admin is the administration interface of a controller: the operators' settings, views of
// the cluster, and metrics. Settings are stored in the key-value store and changed only here.
package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cherrywall/internal/tuning"

	"github.com/julienschmidt/httprouter"
)

// Errors of changes of the settings.
var (
	// ErrVersionConflict means that the settings were changed by somebody else meanwhile.
	ErrVersionConflict = errors.New("settings have another version")
	// ErrUnavailable means that the change could not be stored now.
	ErrUnavailable = errors.New("state service unavailable")
)

// reasonNotSynced is answered as long as the controller has not read the key-value store.
const reasonNotSynced = "state not read yet"

// Controller is what the interface needs of a controller. Its methods may be called from any
// goroutine.
type Controller interface {
	// Settings returns the settings in force and their version; ok is false as long as they have
	// not been read.
	Settings() (settings Settings, version uint64, ok bool)
	// ChangeSettings stores settings if those in force have the given version, and returns the new
	// version. The error is ErrVersionConflict or ErrUnavailable.
	ChangeSettings(settings Settings, version uint64) (uint64, error)
	// View returns the view of a name out of ViewNames, to be encoded as JSON; ok is false as long
	// as the records have not been read.
	View(name string) (view any, ok bool)
}

// settingsDocument is the answer to a request for the settings.
type settingsDocument struct {
	Defaults Settings          `json:"defaults"`
	Settings Settings          `json:"settings"`
	Units    map[string]string `json:"units"`
	Version  uint64            `json:"version"`
}

// changedSettings is the answer to a change of the settings.
type changedSettings struct {
	Settings Settings `json:"settings"`
	Version  uint64   `json:"version"`
}

// RegisterRoutes adds the interface to a router.
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
	WriteJSON(w, http.StatusOK, settingsDocument{Defaults: DefaultSettings(), Settings: settings, Units: SettingUnits, Version: version})
}

// settingsChange is the body of a change of the settings.
type settingsChange struct {
	// Version is the version that the change was made for; nil if the field is missing.
	Version *uint64 `json:"version"`
	// Settings are the fields to be changed.
	Settings json.RawMessage `json:"settings"`
}

// readChange reads the body of a change. Its errors are of type *ValidationError.
func readChange(w http.ResponseWriter, request *http.Request) (settingsChange, error) {
	var change settingsChange
	raw, err := io.ReadAll(http.MaxBytesReader(w, request.Body, tuning.MaxRequestBodyBytes))
	if err != nil {
		return change, &ValidationError{Field: "body", Reason: "too long or not received"}
	}
	if err := json.Unmarshal(raw, &change); err != nil {
		return change, &ValidationError{Field: "body", Reason: "not JSON as expected"}
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
	change, err := readChange(w, request)
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	current, version, ok := controller.Settings()
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, reasonNotSynced)
		return
	}
	settings, err := MergeSettings(current, change.Settings)
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
		WriteJSON(w, http.StatusOK, changedSettings{Settings: settings, Version: version})
	}
}
