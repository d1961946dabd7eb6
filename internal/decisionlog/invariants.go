package decisionlog

import (
	"log/slog"

	"cherrywall/internal/tuning"
)

// Invariant is a condition that always holds, whatever fails outside of the program. Names are output
// of the metrics and keep their form.
type Invariant string

// The invariants that are checked at run time.
const (
	// UsageWithinAllocation: what a team's known tasks take in a shard is within the shard's allocation.
	UsageWithinAllocation Invariant = "usage_within_allocation"
	// AllocationsWithinQuota: no write raises the sum of a team's allocations above its quota.
	AllocationsWithinQuota Invariant = "allocations_within_quota"
	// StartsPassGate: a start command that was sent is one that the gate had admitted.
	StartsPassGate Invariant = "starts_pass_gate"
)

// ViolationMessage is the message of the log line of a violation. Test harnesses look for it.
const ViolationMessage = "invariant violated"

// Violations counts violations of invariants and logs each with the latest decisions. It is not safe
// for concurrent use: one actor owns it.
type Violations struct {
	log       *slog.Logger
	decisions *Log
	counts    map[Invariant]uint64
}

// NewViolations returns counts of zero. decisions are logged with each violation.
func NewViolations(decisions *Log, log *slog.Logger) *Violations {
	return &Violations{log: log, decisions: decisions, counts: map[Invariant]uint64{}}
}

// Report counts a violation and logs it.
func (v *Violations) Report(invariant Invariant, attributes ...any) {
	v.counts[invariant]++
	attributes = append([]any{"invariant", string(invariant)}, attributes...)
	v.log.Error(ViolationMessage, append(attributes, "decisions", v.decisions.Latest(tuning.DecisionsLoggedOnViolation))...)
}

// Counts returns the number of violations by invariant, zeros included.
func (v *Violations) Counts() map[Invariant]uint64 {
	counts := map[Invariant]uint64{UsageWithinAllocation: 0, AllocationsWithinQuota: 0, StartsPassGate: 0}
	for invariant, count := range v.counts {
		counts[invariant] = count
	}
	return counts
}
