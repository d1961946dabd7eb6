// Package soak runs real controller processes on the loopback interface against fakes of the key-value store,
// the cloud and the workers. It injects random faults into processes, links, workers and the store, and checks
// from outside that the controllers keep the rules of the protocol. The checks use only what the workers observe,
// the history of the responses to users, and the controllers' logs.
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
	Duration time.Duration // time during which faults are injected; the run itself takes longer
	Workers  int           // number of machines at the start
	Faults   []FaultKind   // kinds that may be injected; empty for all
	Program  string        // path of the controllers' executable
	Dir      string        // folder for settings and logs; created if it does not exist
}

// Bounds of the options.
const (
	minDuration = 5 * time.Second
	maxDuration = 30 * time.Minute
	maxWorkers  = 600
)

// OptionError reports an invalid option.
type OptionError struct{ Option, Reason string }

// Error returns the name of the option and the reason.
func (e *OptionError) Error() string { return e.Option + ": " + e.Reason }

// Validate returns the first invalid option as an *OptionError, or nil if all are valid.
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
