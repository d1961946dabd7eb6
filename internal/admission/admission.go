// Package admission decides whether a submitted job is admitted. It rejects jobs that could never run on
// this cluster.
package admission

import (
	"errors"
	"fmt"
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
)

// ErrUnsatisfiable means that a job can never run as it was submitted.
var ErrUnsatisfiable = errors.New("can never run")

// roundingTolerance is the number of CPUs or GPUs by which a sum may exceed a limit, to allow for
// floating-point rounding.
const roundingTolerance = 1e-9

// unsatisfiableError returns an error that names a field of the job and wraps ErrUnsatisfiable.
func unsatisfiableError(field, format string, args ...any) error {
	reason := fmt.Sprintf("%v: %s", ErrUnsatisfiable, fmt.Sprintf(format, args...))
	return &jobs.ValidationError{Field: field, Reason: reason, Err: ErrUnsatisfiable}
}

// Check rejects a job that could never run on the given machine types, even if all machines were free.
// The error of the decision wraps ErrUnsatisfiable and is a *jobs.ValidationError that names the field.
// The verdict is Undecided if no machine types are known yet.
func Check(spec *jobs.Spec, teamByName func(name string) (config.Team, bool), types map[string]cloud.MachineType) Decision {
	team, ok := teamByName(spec.Team)
	if !ok {
		return Decide(unsatisfiableError("crew", "unknown team %q", spec.Team))
	}
	if len(types) == 0 {
		return Decision{Verdict: Undecided}
	}
	if err := checkPlacement(spec, types); err != nil {
		return Decide(err)
	}
	return Decide(checkQuota(spec, team))
}

// checkPlacement returns an error if no machine type that the job allows fits a task, or if the zones
// of these machine types don't allow the job to be spread.
func checkPlacement(spec *jobs.Spec, types map[string]cloud.MachineType) error {
	fits := false
	zones := map[string]bool{} // allowed zones that have machine types for the job
	for name, machineType := range types {
		if !allowsType(spec, name, machineType) || capacity.FitCount(machineType.Total(), spec.Need()) == 0 {
			continue
		}
		fits = true
		for _, zone := range machineType.Zones {
			if spec.Zone == nil || *spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	if !fits {
		return unsatisfiableError("vcpus", "a task fits no allowed machine type")
	}
	// At most half of a spread job's tasks, rounded up, may run in one zone. So a job of one task needs
	// only one zone.
	if !spec.Spread || spec.Tasks <= 1 {
		return nil
	}
	switch {
	case spec.OneZone:
		return unsatisfiableError("spread", "all tasks have to run in one zone, but at most half of them may run in the same zone")
	case len(zones) < 2:
		return unsatisfiableError("spread", "the job needs two zones, but only one zone is allowed and has machines for it")
	}
	return nil
}

// allowsType reports whether the job allows a machine type, by its name and its zones.
func allowsType(spec *jobs.Spec, name string, machineType cloud.MachineType) bool {
	if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, name) {
		return false
	}
	return spec.Zone == nil || slices.Contains(machineType.Zones, *spec.Zone)
}

// checkQuota returns an error if the tasks that have to run at the same time exceed the team's
// quota: one task of an array, all tasks of any other job.
func checkQuota(spec *jobs.Spec, team config.Team) error {
	concurrentTasks := 1.0
	if spec.Kind != jobs.Array {
		concurrentTasks = float64(spec.Tasks)
	}
	if team.MaxCPUs > 0 && concurrentTasks*spec.CPU > team.MaxCPUs+roundingTolerance {
		return unsatisfiableError("vcpus", "exceeds the team's quota")
	}
	if team.MaxGPUs > 0 && concurrentTasks*spec.GPU > team.MaxGPUs+roundingTolerance {
		return unsatisfiableError("cards", "exceeds the team's quota")
	}
	return nil
}
