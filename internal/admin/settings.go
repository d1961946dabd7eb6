package admin

import (
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Settings are the settings that operators can change at run time. SettingDescriptions explains each
// of them to operators.
type Settings struct {
	// GrowthFactor multiplies the growth buffers that are computed from the arrivals of jobs.
	GrowthFactor float64 `json:"growth_factor"`
	// SpareMachines is the number of idle machines that are kept in each shard as a reserve for failures.
	SpareMachines int `json:"spare_machines"`
	// Spot allows the scale-out of spot machines.
	Spot bool `json:"spot"`
	// MaxMachines limits the total number of machines; 0 means no limit.
	MaxMachines int `json:"rent_total"`
	// MaxMachinesPerType limits the number of machines by type. A type without an entry has no limit.
	MaxMachinesPerType map[string]int `json:"rent_per_type"`
	// Drain lists the host names of machines to be drained and released.
	Drain []string `json:"drain"`
	// LogLevel is error, info or debug. If it is empty, the level that was given at startup
	// applies.
	LogLevel string `json:"log_level"`
	// QuarantineFailures is the number of consecutive failed tasks after which a machine is quarantined.
	QuarantineFailures int `json:"quarantine_errors"`
	// JobFaultMachines is the number of machines on which a job must fail before the job is considered
	// faulty.
	JobFaultMachines int `json:"job_error_hosts"`
	// ClassLimits limits what jobs may request, by class. A class without an entry has no limits.
	ClassLimits map[string]jobs.ClassLimits `json:"class_limits"`
}

// DefaultSettings returns the settings that apply until an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		GrowthFactor:       1,
		SpareMachines:      0,
		Spot:               true,
		MaxMachines:        0,
		MaxMachinesPerType: map[string]int{},
		Drain:              []string{},
		LogLevel:           "",
		QuarantineFailures: tuning.MachineQuarantineFailures,
		JobFaultMachines:   tuning.JobFaultMachines,
		ClassLimits:        map[string]jobs.ClassLimits{},
	}
}

// SettingDescriptions explains the values of the settings to operators, by JSON field.
var SettingDescriptions = map[string]string{
	"growth_factor":     "factor of the growth buffers that are computed from arrivals, 0 to 10",
	"spare_machines":    "idle machines kept in each shard as a reserve for failures, 0 to 100",
	"spot":              "whether spot machines are requested",
	"rent_total":        "maximum number of machines; 0: no limit",
	"rent_per_type":     "maximum number of machines by type; a type left out: no limit",
	"drain":             "machines to be drained and released",
	"log_level":         "error, info or debug; empty: the level given at startup",
	"quarantine_errors": "consecutive failed tasks after which a machine is quarantined, 1 to 1000",
	"job_error_hosts":   "machines on which a job must fail before it is considered faulty, 2 to 1000",
	"class_limits":      "by class: retries in a pipeline file, tasks, run_s (expected seconds of a task); 0 tasks or run_s: no limit; a class left out: no limit",
}
