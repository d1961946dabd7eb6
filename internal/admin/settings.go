package admin

import (
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Settings are the settings that operators change at run time. SettingUnits explains them to operators.
type Settings struct {
	// GrowthFactor multiplies the growth buffers that are computed from arrivals.
	GrowthFactor float64 `json:"growth_factor"`
	// SpareMachines are the idle machines kept in each shard for failures.
	SpareMachines int `json:"spare_machines"`
	// Spot allows spot machines to be scaled out.
	Spot bool `json:"spot"`
	// MaxMachines limits the fleet; 0 is no limit.
	MaxMachines int `json:"rent_total"`
	// MaxMachinesPerType limits machine types; a type left out has no limit.
	MaxMachinesPerType map[string]int `json:"rent_per_type"`
	// Drain are the machines to be drained and released.
	Drain []string `json:"drain"`
	// LogLevel is error, info or debug; empty for the level given at the start.
	LogLevel string `json:"log_level"`
	// QuarantineErrors are the failed tasks in a row that take a machine out of use.
	QuarantineErrors int `json:"quarantine_errors"`
	// JobErrorHosts are the machines on which a job has to fail to be found faulty.
	JobErrorHosts int `json:"job_error_hosts"`
	// ClassLimits limit what jobs of a class may ask for; a class left out has no limits.
	ClassLimits map[string]jobs.ClassLimits `json:"class_limits"`
}

// DefaultSettings returns the settings in force until an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		GrowthFactor:       1,
		SpareMachines:      0,
		Spot:               true,
		MaxMachines:        0,
		MaxMachinesPerType: map[string]int{},
		Drain:              []string{},
		LogLevel:           "",
		QuarantineErrors:   tuning.MachineQuarantineFailures,
		JobErrorHosts:      tuning.JobFaultMachines,
		ClassLimits:        map[string]jobs.ClassLimits{},
	}
}

// SettingUnits explains the values of the settings to operators, by JSON field.
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
