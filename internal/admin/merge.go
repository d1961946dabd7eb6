package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// MaxSpareMachines is the largest valid value of Settings.SpareMachines, which counts the spare
// machines of each shard.
const MaxSpareMachines = 100

// Limits of the settings. They prevent a mistake of an operator from harming the cluster, and they
// keep the settings record within the size limit of a value in the key-value store.
const (
	maxGrowthFactor   = 10
	maxFailures       = 1000 // largest valid value of QuarantineFailures and of JobFaultMachines
	minFaultMachines  = 2    // smallest valid value of JobFaultMachines: if a job fails on one machine only, the machine may be at fault
	maxListEntries    = 50   // largest number of entries of a list or map
	maxHostNameLength = 100  // bytes
)

// ValidationError describes an invalid field of the settings, or of a request to change them.
type ValidationError struct {
	Field  string // the name in JSON
	Reason string
}

// Error returns the field and the reason.
func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// MergeSettings returns a copy of base in which the fields of change, a JSON object, replace those of
// base. Lists and maps are replaced as a whole. The error is a *ValidationError if the result has an
// invalid field. If MergeSettings returns an error, the returned settings are base.
func MergeSettings(base Settings, change []byte) (Settings, error) {
	mergedSettings := base
	// Without these assignments, the JSON decoder would write into the maps and the list that
	// mergedSettings shares with base.
	mergedSettings.MaxMachinesPerType, mergedSettings.Drain, mergedSettings.ClassLimits = nil, nil, nil
	if err := decodeSettings(change, &mergedSettings); err != nil {
		return base, err
	}
	if mergedSettings.MaxMachinesPerType == nil {
		mergedSettings.MaxMachinesPerType = base.MaxMachinesPerType
	}
	if mergedSettings.Drain == nil {
		mergedSettings.Drain = base.Drain
	}
	if mergedSettings.ClassLimits == nil {
		mergedSettings.ClassLimits = base.ClassLimits
	}
	if err := mergedSettings.validate(); err != nil {
		return base, err
	}
	return mergedSettings, nil
}

// decodeSettings decodes a JSON object into settings. It returns an error if the object has unknown
// fields or if anything follows the object.
func decodeSettings(raw []byte, settings *Settings) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return &ValidationError{Field: typeError.Field, Reason: "wrong type " + typeError.Value}
		}
		return fmt.Errorf("settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &ValidationError{Field: "settings", Reason: "more than one value"}
	}
	return nil
}

// validate returns a *ValidationError for the first invalid field.
func (s *Settings) validate() error {
	if err := s.validateNumbers(); err != nil {
		return err
	}
	switch {
	case len(s.Drain) > maxListEntries:
		return &ValidationError{"drain", "50 machines at most"}
	case len(s.MaxMachinesPerType) > maxListEntries:
		return &ValidationError{"rent_per_type", "50 types at most"}
	case len(s.ClassLimits) > maxListEntries:
		return &ValidationError{"class_limits", "50 classes at most"}
	}
	for class, limits := range s.ClassLimits {
		if class == "" || !areLimitsValid(limits) {
			reason := fmt.Sprintf("retries must be 0 to %d, tasks and run_s not negative", tuning.MaxPipelineRetries)
			return &ValidationError{"class_limits." + class, reason}
		}
	}
	for machineType, limit := range s.MaxMachinesPerType {
		if machineType == "" || limit < 0 {
			return &ValidationError{"rent_per_type." + machineType, "must not be negative"}
		}
	}
	for _, host := range s.Drain {
		if host == "" || len(host) > maxHostNameLength {
			return &ValidationError{"drain", "invalid machine name"}
		}
	}
	return nil
}

func (s *Settings) validateNumbers() error {
	isGrowthFactorValid := s.GrowthFactor >= 0 && s.GrowthFactor <= maxGrowthFactor // false for NaN
	switch {
	case !isGrowthFactorValid:
		return &ValidationError{"growth_factor", "must be 0 to 10"}
	case s.SpareMachines < 0 || s.SpareMachines > MaxSpareMachines:
		return &ValidationError{"spare_machines", "must be 0 to 100"}
	case s.MaxMachines < 0:
		return &ValidationError{"rent_total", "must not be negative"}
	case !slices.Contains([]string{"", "error", "info", "debug"}, s.LogLevel):
		return &ValidationError{"log_level", "must be error, info, debug or empty"}
	case s.QuarantineFailures < 1 || s.QuarantineFailures > maxFailures:
		return &ValidationError{"quarantine_errors", "must be 1 to 1000"}
	case s.JobFaultMachines < minFaultMachines || s.JobFaultMachines > maxFailures:
		return &ValidationError{"job_error_hosts", "must be 2 to 1000"}
	}
	return nil
}

func areLimitsValid(limits jobs.ClassLimits) bool {
	isRetryLimitValid := limits.MaxRetries >= 0 && limits.MaxRetries <= tuning.MaxPipelineRetries
	return isRetryLimitValid && limits.MaxTasks >= 0 && limits.MaxRunSeconds >= 0
}
