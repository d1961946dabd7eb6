// Package admission judges whether a job could ever run.
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

// Check tells whether a job could ever run on the given machine types; an error names
// the field and is an ErrNever. known is false as long as the types are not.
func Check(spec *jobs.Spec, team func(name string) (config.Team, bool), types map[string]cloud.MachineType) (known bool, err error) {
	t, ok := team(spec.Team)
	if !ok {
		return true, fmt.Errorf("crew: %w: unknown team %q", ErrUnsatisfiable, spec.Team)
	}
	if len(types) == 0 {
		return false, nil
	}
	need := spec.Need()
	fits := false
	zones := map[string]bool{}
	for typeName, machineType := range types {
		if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, typeName) || spec.Zone != nil && !slices.Contains(machineType.Zones, *spec.Zone) {
			continue
		}
		if capacity.FitCount(machineType.Total(), need) == 0 {
			continue
		}
		fits = true
		for _, z := range machineType.Zones {
			if spec.Zone == nil || *spec.Zone == z {
				zones[z] = true
			}
		}
	}
	if !fits {
		return true, fmt.Errorf("vcpus: %w: a task fits no allowed machine type", ErrUnsatisfiable)
	}
	// At most half of the tasks, rounded up, may be in one zone: one of one, one of two.
	if spec.Spread && spec.Tasks > 1 {
		switch {
		case spec.OneZone:
			return true, fmt.Errorf("spread: %w: all tasks in one zone, and at most half of them", ErrUnsatisfiable)
		case len(zones) < 2:
			return true, fmt.Errorf("spread: %w: only one zone is allowed and has machines for it", ErrUnsatisfiable)
		}
	}
	n := 1.0
	if spec.Kind != jobs.Array {
		n = float64(spec.Tasks)
	}
	if t.MaxCPUs > 0 && n*spec.CPU > t.MaxCPUs+1e-9 {
		return true, fmt.Errorf("vcpus: %w: more than the team's cap", ErrUnsatisfiable)
	}
	if t.MaxGPUs > 0 && n*spec.GPU > t.MaxGPUs+1e-9 {
		return true, fmt.Errorf("cards: %w: more than the team's cap", ErrUnsatisfiable)
	}
	return true, nil
}
