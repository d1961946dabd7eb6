package admin

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
)

// store keeps settings as the state service would.
type store struct {
	s       Settings
	version uint64
	down    bool
}

func (b *store) Settings() (Settings, uint64, bool) { return b.s, b.version, true }
func (b *store) ChangeSettings(s Settings, version uint64) (uint64, error) {
	if b.down {
		return 0, ErrUnavailable
	}
	if version != b.version {
		return 0, ErrVersionConflict
	}
	b.s, b.version = s, b.version+1
	return b.version, nil
}
func (b *store) View(string) (any, bool) { return []string{}, true }

func TestSettingsAreCheckedAndVersioned(t *testing.T) {
	b := &store{s: DefaultSettings(), version: 4}
	r := httprouter.New()
	RegisterRoutes(r, b)
	put := func(body string) (int, string) {
		rec := httptest.NewRecorder()
		r.ServeHTTP(rec, httptest.NewRequest("PUT", "/admin/v1/settings", strings.NewReader(body)))
		return rec.Code, rec.Body.String()
	}
	for _, c := range []struct {
		body string
		code int
		want string
	}{
		{`{`, 400, "body"},
		{`{"settings":{}}`, 400, "version"},
		{`{"version":4}`, 400, "settings"},
		{`{"version":4,"settings":{"colour":"red"}}`, 400, "colour"},
		{`{"version":4,"settings":{"spot":"no"}}`, 400, "spot"},
		{`{"version":4,"settings":{"growth_factor":-1}}`, 400, "growth_factor"},
		{`{"version":4,"settings":{"rent_per_type":{"m4":-1}}}`, 400, "rent_per_type"},
		{`{"version":3,"settings":{"spot":false}}`, 409, "version"},
		{`{"version":4,"settings":{"spot":false}}`, 200, `"version":5`},
		{`{"version":4,"settings":{"spot":true}}`, 409, "version"},
		{`{"version":5,"settings":{"drain":["i-1"]}}`, 200, "i-1"},
	} {
		if code, body := put(c.body); code != c.code || !strings.Contains(body, c.want) {
			t.Errorf("%s: %d %s", c.body, code, body)
		}
	}
	if b.s.Spot || len(b.s.Drain) != 1 || b.s.QuarantineErrors != DefaultSettings().QuarantineErrors {
		t.Errorf("in force: %+v", b.s)
	}
	b.down = true
	if code, _ := put(`{"version":6,"settings":{"spot":true}}`); code != 503 || b.s.Spot {
		t.Errorf("without the state service: %d, spot %v", code, b.s.Spot)
	}
}
