package admission

import (
	"errors"
	"strings"
	"testing"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
)

func TestUnsatisfiableJobNamesField(t *testing.T) {
	teamByName := func(name string) (config.Team, bool) {
		return config.Team{Name: name, MaxCPUs: 40, MaxGPUs: 2}, name == "ops"
	}
	types := map[string]cloud.MachineType{"m16": {CPU: 16, GPU: 1, MemGB: 64, Zones: []string{"a"}},
		"m8": {CPU: 8, MemGB: 16, Zones: []string{"a", "c"}}}
	zoneWithoutMachines, zoneOfSmallMachines := "b", "c"
	for name, c := range map[string]struct {
		change func(spec *jobs.Spec)
		field  string // the field of the error; empty if the job is admitted
	}{
		"fits":                      {func(*jobs.Spec) {}, ""},
		"no such team":              {func(spec *jobs.Spec) { spec.Team = "x" }, "crew"},
		"too large":                 {func(spec *jobs.Spec) { spec.CPU = 17 }, "vcpus"},
		"other zone":                {func(spec *jobs.Spec) { spec.Zone = &zoneWithoutMachines }, "vcpus"},
		"no such type":              {func(spec *jobs.Spec) { spec.MachineTypes = []string{"m4"} }, "vcpus"},
		"array over the quota":      {func(spec *jobs.Spec) { spec.Tasks = 100 }, ""},
		"gang over the quota":       {func(spec *jobs.Spec) { spec.Kind, spec.Tasks = jobs.Gang, 6 }, "vcpus"},
		"one zone and spread":       {func(spec *jobs.Spec) { spec.OneZone, spec.Spread = true, true }, "spread"},
		"spread over the only zone": {func(spec *jobs.Spec) { spec.Spread = true }, "spread"},
		"spread over one allowed zone of two": {func(spec *jobs.Spec) {
			spec.Spread, spec.CPU, spec.GPU = true, 4, 0
			spec.MachineTypes = []string{"m8"}
			spec.Zone = &zoneOfSmallMachines
		}, "spread"},
		"spread over two zones":       {func(spec *jobs.Spec) { spec.Spread, spec.CPU, spec.MachineTypes = true, 4, []string{"m8"} }, ""},
		"one task spread in one zone": {func(spec *jobs.Spec) { spec.Spread, spec.OneZone, spec.Tasks = true, true, 1 }, ""},
		"too much memory":             {func(spec *jobs.Spec) { spec.MemGB = 65 }, "vcpus"},
		"too many GPUs":               {func(spec *jobs.Spec) { spec.GPU = 1.5 }, "vcpus"},
		"service over the quota":      {func(spec *jobs.Spec) { spec.Kind, spec.Tasks = jobs.Service, 6 }, "vcpus"},
		"GPUs over the quota":         {func(spec *jobs.Spec) { spec.Kind, spec.Tasks, spec.CPU, spec.GPU = jobs.Gang, 3, 1, 1 }, "cards"},
	} {
		t.Run(name, func(t *testing.T) {
			spec := jobs.Spec{Team: "ops", Kind: jobs.Array, Tasks: 2, CPU: 7, MemGB: 8, MachineTypes: []string{"m16"}}
			c.change(&spec)
			decision := Check(&spec, teamByName, types)
			err := decision.Err
			switch {
			case decision.Verdict == Undecided:
				t.Error("undecided although the machine types are known")
			case c.field == "" && (err != nil || decision.Verdict != Admitted):
				t.Errorf("%v: %v", decision.Verdict, err)
			case c.field != "" && decision.Verdict != Rejected:
				t.Errorf("%v, want a rejection for %s", decision.Verdict, c.field)
			case c.field != "" && (!errors.Is(err, ErrUnsatisfiable) || !strings.HasPrefix(err.Error(), c.field+":")):
				t.Errorf("%v, want %s", err, c.field)
			}
			var invalid *jobs.ValidationError
			if c.field != "" && (!errors.As(err, &invalid) || invalid.Field != c.field) {
				t.Errorf("field of %#v, want %s", err, c.field)
			}
		})
	}
}

func TestCheckIsUndecidedWithoutMachineTypes(t *testing.T) {
	teamByName := func(name string) (config.Team, bool) { return config.Team{Name: name}, true }
	if decision := Check(&jobs.Spec{Team: "ops"}, teamByName, nil); decision.Verdict != Undecided {
		t.Errorf("%v without machine types", decision.Verdict)
	}
}
