package admin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
)

// fakeController is a Controller that keeps the settings in memory.
type fakeController struct {
	settings           Settings
	version            uint64
	isStoreUnavailable bool
}

func (c *fakeController) Settings() (Settings, uint64, bool) { return c.settings, c.version, true }

func (c *fakeController) ChangeSettings(settings Settings, version uint64) (uint64, error) {
	if c.isStoreUnavailable {
		return 0, ErrUnavailable
	}
	if version != c.version {
		return 0, ErrVersionConflict
	}
	c.settings, c.version = settings, c.version+1
	return c.version, nil
}

func (c *fakeController) View(string) (any, bool) { return []string{}, true }

// putSettings sends a controller a request to change the settings, and returns the response.
func putSettings(controller Controller, body string) *httptest.ResponseRecorder {
	router := httprouter.New()
	RegisterRoutes(router, controller)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/admin/v1/settings", strings.NewReader(body)))
	return recorder
}

func TestSettingsAreValidatedAndVersioned(t *testing.T) {
	controller := &fakeController{settings: DefaultSettings(), version: 4}
	for _, test := range []struct {
		body string
		code int
		text string
	}{
		{`{`, http.StatusBadRequest, "body"},
		{`{"settings":{}}`, http.StatusBadRequest, "version"},
		{`{"version":4}`, http.StatusBadRequest, "settings"},
		{`{"version":4,"settings":{"colour":"red"}}`, http.StatusBadRequest, "colour"},
		{`{"version":4,"settings":{"spot":"no"}}`, http.StatusBadRequest, "spot"},
		{`{"version":4,"settings":{"growth_factor":-1}}`, http.StatusBadRequest, "growth_factor"},
		{`{"version":4,"settings":{"rent_per_type":{"m4":-1}}}`, http.StatusBadRequest, "rent_per_type"},
		{`{"version":3,"settings":{"spot":false}}`, http.StatusConflict, "version"},
		{`{"version":4,"settings":{"spot":false}}`, http.StatusOK, `"version":5`},
		{`{"version":4,"settings":{"spot":true}}`, http.StatusConflict, "version"},
		{`{"version":5,"settings":{"drain":["i-1"]}}`, http.StatusOK, "i-1"},
	} {
		if recorder := putSettings(controller, test.body); recorder.Code != test.code || !strings.Contains(recorder.Body.String(), test.text) {
			t.Errorf("%s: %d %s", test.body, recorder.Code, recorder.Body)
		}
	}
	if controller.settings.Spot || len(controller.settings.Drain) != 1 || controller.settings.QuarantineFailures != DefaultSettings().QuarantineFailures {
		t.Errorf("settings after the changes: %+v", controller.settings)
	}
	controller.isStoreUnavailable = true
	if recorder := putSettings(controller, `{"version":6,"settings":{"spot":true}}`); recorder.Code != http.StatusServiceUnavailable || controller.settings.Spot {
		t.Errorf("while the store is unavailable: status %d, spot %v", recorder.Code, controller.settings.Spot)
	}
}

func TestMergeSettingsErrorNamesField(t *testing.T) {
	for _, test := range []struct {
		change string
		want   string
	}{
		{`{"spot":"no"}`, "spot: wrong type string"},
		{`{} {}`, "settings: more than one value"},
		{`{"growth_factor":11}`, "growth_factor: must be 0 to 10"},
		{`{"spare_machines":101}`, "spare_machines: must be 0 to 100"},
		{`{"rent_total":-1}`, "rent_total: must not be negative"},
		{`{"log_level":"loud"}`, "log_level: must be error, info, debug or empty"},
		{`{"quarantine_errors":0}`, "quarantine_errors: must be 1 to 1000"},
		{`{"job_error_hosts":1}`, "job_error_hosts: must be 2 to 1000"},
		{`{"drain":[""]}`, "drain: invalid machine name"},
		{`{"class_limits":{"c":{"tasks":-1}}}`, "class_limits.c: retries must be 0 to 10, tasks and run_s not negative"},
		{`{"rent_per_type":{"m4":-1}}`, "rent_per_type.m4: must not be negative"},
	} {
		_, err := MergeSettings(DefaultSettings(), []byte(test.change))
		var validationError *ValidationError
		if !errors.As(err, &validationError) || err.Error() != test.want {
			t.Errorf("%s: %v, want %s", test.change, err, test.want)
		}
	}
}

// Clients rely on the names and the order of the fields in responses.
func TestSettingsResponsesKeepFieldsInOrder(t *testing.T) {
	controller := &fakeController{settings: DefaultSettings(), version: 4}
	router := httprouter.New()
	RegisterRoutes(router, controller)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/admin/v1/settings", http.NoBody))
	body := recorder.Body.String()
	position := 0
	for _, field := range []string{`{"defaults":{`, `,"settings":{`, `,"units":{`, `,"version":4}`} {
		nextPosition := strings.Index(body[position:], field)
		if nextPosition < 0 {
			t.Fatalf("%s is missing or out of order in %s", field, body)
		}
		position += nextPosition
	}
	changeResponse := putSettings(controller, `{"version":4,"settings":{}}`).Body.String()
	if !strings.HasPrefix(changeResponse, `{"settings":{"growth_factor":1,`) || !strings.HasSuffix(changeResponse, `},"version":5}`) {
		t.Errorf("response to a change: %s", changeResponse)
	}
}
