// Package admin is the administration interface: the operators' own settings,
// and views of what the controllers do. Settings are kept in the state service
// and changed only here.
package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Settings are the operators' own.
type Settings struct {
	GrowthFactor       float64        `json:"growth_factor"`
	SpareMachines      int            `json:"spare_machines"`
	Spot               bool           `json:"spot"`
	MaxMachines        int            `json:"rent_total"`
	MaxMachinesPerType map[string]int `json:"rent_per_type"`
	Drain              []string       `json:"drain"`
	LogLevel           string         `json:"log_level"`
	QuarantineErrors   int            `json:"quarantine_errors"`
	JobErrorHosts      int            `json:"job_error_hosts"`
	// ClassLimits are what jobs of a class may ask for at most.
	ClassLimits map[string]jobs.ClassLimits `json:"class_limits"`
}

// DefaultSettings are in force until an operator changes them.
func DefaultSettings() Settings {
	return Settings{GrowthFactor: 1, SpareMachines: 0, Spot: true, MaxMachines: 0, MaxMachinesPerType: map[string]int{},
		Drain: []string{}, LogLevel: "", QuarantineErrors: tuning.MachineQuarantineFailures, JobErrorHosts: tuning.JobFaultMachines,
		ClassLimits: map[string]jobs.ClassLimits{}}
}

// SettingUnits tells people what the numbers mean.
var SettingUnits = map[string]string{
	"growth_factor":     "multiple of the growth buffers reckoned from arrivals, 0 to 10",
	"spare_machines":    "idle machines kept in each share for failures, 0 to 100",
	"spot":              "whether cheap machines are rented",
	"rent_total":        "machines at most, 0: no limit",
	"rent_per_type":     "machines at most by type, a type left out: no limit",
	"drain":             "machines to be emptied and returned",
	"log_level":         "error, info or debug; empty: the level given at the start",
	"quarantine_errors": "failed tasks in a row that take a machine out of use, 1 to 1000",
	"job_error_hosts":   "machines on which a job must fail before the job is blamed, 2 to 1000",
	"class_limits":      "by class: retries in a pipeline file, tasks, run_s (expected seconds of a task); 0 tasks or run_s: no limit; a class left out: no limit",
}

// MergeSettings lays the given fields over the settings in force and checks the whole.
// An error names the field.
func MergeSettings(base Settings, change []byte) (Settings, error) {
	out := base
	out.MaxMachinesPerType, out.Drain, out.ClassLimits = nil, nil, nil
	dec := json.NewDecoder(bytes.NewReader(change))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&out); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			return base, fmt.Errorf("%s: wrong type %s", te.Field, te.Value)
		}
		return base, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return base, errors.New("settings: more than one value")
	}
	if out.MaxMachinesPerType == nil {
		out.MaxMachinesPerType = base.MaxMachinesPerType
	}
	if out.Drain == nil {
		out.Drain = base.Drain
	}
	if out.ClassLimits == nil {
		out.ClassLimits = base.ClassLimits
	}
	switch {
	case !(out.GrowthFactor >= 0 && out.GrowthFactor <= 10) || math.IsNaN(out.GrowthFactor):
		return base, errors.New("growth_factor: must be 0 to 10")
	case out.SpareMachines < 0 || out.SpareMachines > 100:
		return base, errors.New("spare_machines: must be 0 to 100")
	case out.MaxMachines < 0:
		return base, errors.New("rent_total: must not be negative")
	case !slices.Contains([]string{"", "error", "info", "debug"}, out.LogLevel):
		return base, errors.New("log_level: must be error, info, debug or empty")
	case out.QuarantineErrors < 1 || out.QuarantineErrors > 1000:
		return base, errors.New("quarantine_errors: must be 1 to 1000")
	case out.JobErrorHosts < 2 || out.JobErrorHosts > 1000:
		return base, errors.New("job_error_hosts: must be 2 to 1000")
	case len(out.Drain) > 50:
		return base, errors.New("drain: 50 machines at most")
	case len(out.MaxMachinesPerType) > 50:
		return base, errors.New("rent_per_type: 50 types at most")
	case len(out.ClassLimits) > 50:
		return base, errors.New("class_limits: 50 classes at most")
	}
	for class, l := range out.ClassLimits {
		if class == "" || l.MaxRetries < 0 || l.MaxRetries > tuning.MaxPipelineRetries || l.MaxTasks < 0 || !(l.MaxRunSeconds >= 0) {
			return base, fmt.Errorf("class_limits.%s: retries must be 0 to %d, tasks and run_s not negative", class, tuning.MaxPipelineRetries)
		}
	}
	for t, n := range out.MaxMachinesPerType {
		if t == "" || n < 0 {
			return base, fmt.Errorf("rent_per_type.%s: must not be negative", t)
		}
	}
	for _, h := range out.Drain {
		if h == "" || len(h) > 100 {
			return base, errors.New("drain: bad machine name")
		}
	}
	return out, nil
}
