package quota

import (
	"encoding/json"
	"fmt"
	"maps"

	"cherrywall/internal/config"
)

// Allocations holds, for each team, the latest record that a controller knows. It applies records
// that were read from the store. It computes changed records, which the caller writes. It is not
// safe for concurrent use: one actor owns it.
type Allocations struct{ teams map[string]*teamState }

// teamState is the record of one team, and the team's releases whose outcome is unknown.
type teamState struct {
	record   Record
	revision uint64
	// pendingReleases holds, by shard, the amounts of releases whose outcome is unknown. The shard must
	// not use these amounts, since another shard may have acquired them already. The writes of
	// these releases have the precondition that the record's revision is releaseRevision.
	pendingReleases map[string]Amount
	releaseRevision uint64
}

// New returns Allocations without records.
func New() *Allocations { return &Allocations{map[string]*teamState{}} }

// Reset discards all records, so that they can be read again. Releases whose outcome is unknown are
// kept, since their writes may still be in flight.
func (a *Allocations) Reset() {
	for _, state := range a.teams {
		state.record, state.revision = Record{}, 0
	}
}

// stateOf returns the state of a team, and creates the state if there is none.
func (a *Allocations) stateOf(team string) *teamState {
	state := a.teams[team]
	if state == nil {
		state = &teamState{pendingReleases: map[string]Amount{}}
		a.teams[team] = state
	}
	return state
}

// ApplyRecord applies a team's record as of a revision. A record that is not newer than the known
// one is ignored. A newer record settles the outcome of releases in flight: each of them either is
// included in the record, or can no longer succeed because its precondition is an older revision.
// ApplyRecord returns an error if the record can't be decoded.
func (a *Allocations) ApplyRecord(team string, value json.RawMessage, revision uint64) error {
	state := a.stateOf(team)
	if state.revision >= revision {
		return nil
	}
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("decode quota record of team %s: %w", team, err)
	}
	state.record, state.revision = record, revision
	if revision > state.releaseRevision {
		clear(state.pendingReleases)
	}
	return nil
}

// Revision returns the revision of a team's record, 0 if there is none.
func (a *Allocations) Revision(team string) uint64 { return a.stateOf(team).revision }

// Record returns a team's record, which the caller must not change.
func (a *Allocations) Record(team string) Record { return a.stateOf(team).record }

// Available returns how much of a team's quota a shard's owner may use. If the quota was lowered below
// the sum of all allocations, each allocation is scaled down in proportion.
func (a *Allocations) Available(team config.Team, shard string) Amount {
	state := a.stateOf(team.Name)
	available := state.record.ByShard[shard].Sub(state.pendingReleases[shard])
	total := state.record.Total()
	if team.MaxCPUs > 0 && total.CPU > team.MaxCPUs {
		available.CPU *= team.MaxCPUs / total.CPU
	}
	if team.MaxGPUs > 0 && total.GPU > team.MaxGPUs {
		available.GPU *= team.MaxGPUs / total.GPU
	}
	return available
}

// RecordedAllocation returns the amount that a team's record allocates to a shard. Releases whose outcome is
// unknown are not deducted.
func (a *Allocations) RecordedAllocation(team config.Team, shard string) Amount {
	return a.stateOf(team.Name).record.ByShard[shard]
}

// TotalAllocated returns how much of a team's quota is allocated to all shards together.
func (a *Allocations) TotalAllocated(team config.Team) Amount {
	return a.stateOf(team.Name).record.Total()
}

// Unallocated returns how much of a team's quota is not allocated to any shard.
func (a *Allocations) Unallocated(team config.Team) Amount {
	return LimitOf(team).Sub(a.stateOf(team.Name).record.Total()).NonNegative()
}

// Acquire returns the record to write in order to increase a shard's allocation by the wanted amount,
// or by as much of it as is unallocated. With allOrNothing it requires the whole wanted amount. ok is
// false if nothing can be acquired.
func (a *Allocations) Acquire(team config.Team, shard string, wantedAmount Amount, allOrNothing bool) (record Record, ok bool) {
	unallocated := a.Unallocated(team)
	if allOrNothing && !unallocated.Covers(wantedAmount) {
		return Record{}, false
	}
	acquiredAmount := Amount{min(wantedAmount.CPU, unallocated.CPU), min(wantedAmount.GPU, unallocated.GPU)}.NonNegative()
	if acquiredAmount.IsNegligible() {
		return Record{}, false
	}
	return a.recordWithDelta(team.Name, shard, acquiredAmount), true
}

// Release returns the record to write in order to reduce a shard's allocation by the released
// amount. RecordReleaseSent must be called in the same step of the actor in which the write is
// started: from then on the shard must not use the released amount, since a write without a
// response may still succeed.
func (a *Allocations) Release(team config.Team, shard string, releasedAmount Amount) Record {
	return a.recordWithDelta(team.Name, shard, Amount{}.Sub(releasedAmount))
}

// recordWithDelta returns a copy of a team's record in which delta is added to a shard's allocation.
func (a *Allocations) recordWithDelta(team, shard string, delta Amount) Record {
	byShard := maps.Clone(a.stateOf(team).record.ByShard)
	if byShard == nil {
		byShard = map[string]Amount{}
	}
	byShard[shard] = byShard[shard].Add(delta)
	if byShard[shard].IsNegligible() {
		delete(byShard, shard)
	}
	return Record{byShard}
}

// RecordReleaseSent notes that the write of a release was started, with the known revision of the team's
// record as its precondition. Available no longer includes the released amount.
func (a *Allocations) RecordReleaseSent(team, shard string, releasedAmount Amount) {
	state := a.stateOf(team)
	state.pendingReleases[shard] = state.pendingReleases[shard].Add(releasedAmount)
	state.releaseRevision = state.revision
}

// RecordReleaseRejected notes that a shard's release was certainly not written, so that the shard may use
// the amount again.
func (a *Allocations) RecordReleaseRejected(team, shard string) {
	delete(a.stateOf(team).pendingReleases, shard)
}

// IsReleasePending reports whether the outcome of a release of the team's quota is unknown. A
// successful write of the record with the same precondition settles it: after that the release can
// no longer succeed.
func (a *Allocations) IsReleasePending(team string) bool {
	return len(a.stateOf(team).pendingReleases) > 0
}
