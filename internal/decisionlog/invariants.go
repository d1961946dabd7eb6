package decisionlog

import (
	"log/slog"

	"cherrywall/internal/tuning"
)

// Invariant is the name of a condition that must always hold, whatever fails outside of the program.
// The values are part of metric names and must not change.
type Invariant string

// The invariants that are checked at run time.
const (
	// UsageWithinAllocation means that the resources that a team's known tasks take in a shard do not
	// exceed the team's allocation in that shard.
	UsageWithinAllocation Invariant = "usage_within_allocation"
	// AllocationsWithinQuota means that no write raises the sum of a team's allocations above
	// its quota.
	AllocationsWithinQuota Invariant = "allocations_within_quota"
	// StartsPassGate means that the start gate admits every start command before it is sent.
	StartsPassGate Invariant = "starts_pass_gate"
	// MovedMachinesEmpty means that no task is assigned to a machine that moves to another shard.
	MovedMachinesEmpty Invariant = "moved_machines_empty"
)

// ViolationMessage is the log message of a violation. Test harnesses search the log for it.
const ViolationMessage = "invariant violated"

// Violations counts violations of invariants and logs each violation with the latest decisions. It is
// not safe for concurrent use: a single actor owns it.
type Violations struct {
	logger    *slog.Logger
	decisions *Log
	counts    map[Invariant]uint64
}

// NewViolations returns counters that are all zero. Each violation is logged to logger together with
// the latest entries of decisions.
func NewViolations(decisions *Log, logger *slog.Logger) *Violations {
	return &Violations{logger: logger, decisions: decisions, counts: map[Invariant]uint64{}}
}

// Report counts a violation and logs it with the given attributes, which are log keys and values.
func (v *Violations) Report(invariant Invariant, attributes ...any) {
	v.counts[invariant]++
	attributes = append([]any{"invariant", string(invariant)}, attributes...)
	v.logger.Error(ViolationMessage, append(attributes, "decisions", v.decisions.Latest(tuning.DecisionsLoggedOnViolation))...)
}

// Counts returns the number of violations of each invariant, also where it is 0.
func (v *Violations) Counts() map[Invariant]uint64 {
	counts := map[Invariant]uint64{UsageWithinAllocation: 0, AllocationsWithinQuota: 0, StartsPassGate: 0, MovedMachinesEmpty: 0}
	for invariant, count := range v.counts {
		counts[invariant] = count
	}
	return counts
}
