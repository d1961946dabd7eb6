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

// ErrNever means that a job can never run as it was submitted.
var ErrNever = errors.New("can never run")

// Judge tells whether a job could ever run on the given machine types; an error names
// the field and is an ErrNever. known is false as long as the types are not.
func Judge(s *jobs.Spec, team func(name string) (config.Team, bool), types map[string]cloud.Flavor) (known bool, err error) {
	t, ok := team(s.Team)
	if !ok {
		return true, fmt.Errorf("crew: %w: unknown team %q", ErrNever, s.Team)
	}
	if len(types) == 0 {
		return false, nil
	}
	need := s.Need()
	fits := false
	zones := map[string]bool{}
	for sku, f := range types {
		if s.Builds != nil && !slices.Contains(s.Builds, sku) || s.Zone != nil && !slices.Contains(f.Zones, *s.Zone) {
			continue
		}
		if capacity.Fit(f.Total(), need) == 0 {
			continue
		}
		fits = true
		for _, z := range f.Zones {
			if s.Zone == nil || *s.Zone == z {
				zones[z] = true
			}
		}
	}
	if !fits {
		return true, fmt.Errorf("vcpus: %w: a task fits no allowed machine type", ErrNever)
	}
	// At most half of the tasks, rounded up, may be in one zone: one of one, one of two.
	if s.Spread && s.Tasks > 1 {
		switch {
		case s.OneZone:
			return true, fmt.Errorf("spread: %w: all tasks in one zone, and at most half of them", ErrNever)
		case len(zones) < 2:
			return true, fmt.Errorf("spread: %w: only one zone is allowed and has machines for it", ErrNever)
		}
	}
	n := 1.0
	if s.Kind != jobs.Array {
		n = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && n*s.CPU > t.CPUsMax+1e-9 {
		return true, fmt.Errorf("vcpus: %w: more than the team's cap", ErrNever)
	}
	if t.GPUsMax > 0 && n*s.GPU > t.GPUsMax+1e-9 {
		return true, fmt.Errorf("cards: %w: more than the team's cap", ErrNever)
	}
	return true, nil
}
