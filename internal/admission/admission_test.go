package admission

import (
	"errors"
	"strings"
	"testing"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
)

func TestWhatCanNeverRunIsToldByItsField(t *testing.T) {
	team := func(name string) (config.Team, bool) {
		return config.Team{Name: name, CPUsMax: 40, GPUsMax: 2}, name == "ops"
	}
	types := map[string]cloud.Flavor{"m16": {CPU: 16, GPU: 1, MemGB: 64, Zones: []string{"a"}},
		"m8": {CPU: 8, MemGB: 16, Zones: []string{"a", "c"}}}
	elsewhere, there := "b", "c"
	for name, c := range map[string]struct {
		change func(s *jobs.Spec)
		field  string // empty: it may run
	}{
		"fits":                        {func(*jobs.Spec) {}, ""},
		"no such team":                {func(s *jobs.Spec) { s.Team = "x" }, "crew"},
		"too large":                   {func(s *jobs.Spec) { s.CPU = 17 }, "vcpus"},
		"other zone":                  {func(s *jobs.Spec) { s.Zone = &elsewhere }, "vcpus"},
		"no such type":                {func(s *jobs.Spec) { s.Builds = []string{"m4"} }, "vcpus"},
		"array over the cap":          {func(s *jobs.Spec) { s.Tasks = 100 }, ""},
		"gang over the cap":           {func(s *jobs.Spec) { s.Kind, s.Tasks = jobs.Gang, 6 }, "vcpus"},
		"one zone and spread":         {func(s *jobs.Spec) { s.OneZone, s.Spread = true, true }, "spread"},
		"spread over the only zone":   {func(s *jobs.Spec) { s.Spread = true }, "spread"},
		"spread over one of two":      {func(s *jobs.Spec) { s.Spread, s.CPU, s.GPU = true, 4, 0; s.Builds = []string{"m8"}; s.Zone = &there }, "spread"},
		"spread over two":             {func(s *jobs.Spec) { s.Spread, s.CPU, s.Builds = true, 4, []string{"m8"} }, ""},
		"one task spread in one zone": {func(s *jobs.Spec) { s.Spread, s.OneZone, s.Tasks = true, true, 1 }, ""},
		"too much memory":             {func(s *jobs.Spec) { s.MemGB = 65 }, "vcpus"},
		"too many cards":              {func(s *jobs.Spec) { s.GPU = 1.5 }, "vcpus"},
		"service over the cap":        {func(s *jobs.Spec) { s.Kind, s.Tasks = jobs.Service, 6 }, "vcpus"},
		"cards over the cap":          {func(s *jobs.Spec) { s.Kind, s.Tasks, s.CPU, s.GPU = jobs.Gang, 3, 1, 1 }, "cards"},
	} {
		s := jobs.Spec{Team: "ops", Kind: jobs.Array, Tasks: 2, CPU: 7, MemGB: 8, Builds: []string{"m16"}}
		c.change(&s)
		known, err := Judge(&s, team, types)
		switch {
		case !known:
			t.Errorf("%s: not known", name)
		case c.field == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case c.field != "" && (!errors.Is(err, ErrNever) || !strings.HasPrefix(err.Error(), c.field+":")):
			t.Errorf("%s: %v, want %s", name, err, c.field)
		}
	}
	if known, _ := Judge(&jobs.Spec{Team: "ops"}, team, nil); known {
		t.Error("judged without machine types")
	}
}
