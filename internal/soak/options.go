// Package soak runs real controller processes on the loopback interface against stand-ins of everything
// outside of them, with random faults of processes, links, workers and the store, and checks the rules of
// the protocol from outside: at the workers, and by the history of the answers to users.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the faults; the run takes longer by the settling time
	Workers  int           // at the start
	Faults   []FaultKind   // that may be injected, empty for all
	Program  string        // the controllers' executable
	Dir      string        // for settings and logs; created if it does not exist
}

// Bounds of the options.
const (
	minDuration = 5 * time.Second
	maxDuration = 30 * time.Minute
	maxWorkers  = 600
)

// OptionError is an invalid option.
type OptionError struct{ Option, Reason string }

// Error names the option and the reason.
func (e *OptionError) Error() string { return e.Option + ": " + e.Reason }

// Validate returns the first invalid option as an *OptionError.
func (o Options) Validate() error {
	if o.Duration < minDuration || o.Duration > maxDuration {
		return &OptionError{"duration", fmt.Sprintf("must be from %v to %v", minDuration, maxDuration)}
	}
	if o.Workers < 1 || o.Workers > maxWorkers {
		return &OptionError{"workers", fmt.Sprintf("must be from 1 to %d", maxWorkers)}
	}
	if o.Program == "" {
		return &OptionError{"program", "missing"}
	}
	for _, kind := range o.Faults {
		if !slices.Contains(FaultKinds, kind) {
			return &OptionError{"faults", fmt.Sprintf("%q is none of %s", kind, joinKinds())}
		}
	}
	return nil
}

func joinKinds() string {
	var names []string
	for _, kind := range FaultKinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}
