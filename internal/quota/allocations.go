package quota

import (
	"encoding/json"
	"fmt"
	"maps"

	"cherrywall/internal/config"
)

// Allocations is what a controller knows of the records of all teams. It follows the records
// and writes none itself. It is not safe for concurrent use: one actor owns it.
type Allocations struct{ teams map[string]*teamState }

type teamState struct {
	record   Record
	revision uint64
	// releasing holds, by shard, the amounts of releases whose outcome is not known. The shard
	// must not use them, since another one may have acquired them already. The writes of these
	// releases have releaseRevision of the record as their precondition.
	releasing       map[string]Amount
	releaseRevision uint64
}

// New returns Allocations without records.
func New() *Allocations { return &Allocations{map[string]*teamState{}} }

// Reset drops all records, to be read anew. Releases whose outcome is not known are kept, since
// their writes may still be in flight.
func (a *Allocations) Reset() {
	for _, state := range a.teams {
		state.record, state.revision = Record{}, 0
	}
}

// teamOf returns the state of a team, which it creates if there is none.
func (a *Allocations) teamOf(team string) *teamState {
	state := a.teams[team]
	if state == nil {
		state = &teamState{releasing: map[string]Amount{}}
		a.teams[team] = state
	}
	return state
}

// ApplyRecord applies a team's record as of a revision. A record no newer than the known one is
// ignored. A newer one settles the releases in flight: each is contained in it, or can no longer
// succeed because its precondition is an older revision.
func (a *Allocations) ApplyRecord(team string, value json.RawMessage, revision uint64) error {
	state := a.teamOf(team)
	if state.revision >= revision {
		return nil
	}
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("allocations of %s: %w", team, err)
	}
	state.record, state.revision = record, revision
	if revision > state.releaseRevision {
		clear(state.releasing)
	}
	return nil
}

// Revision returns the revision of a team's record, 0 if there is none.
func (a *Allocations) Revision(team string) uint64 { return a.teamOf(team).revision }

// Record returns a team's record. It must not be changed.
func (a *Allocations) Record(team string) Record { return a.teamOf(team).record }

// Available returns what a shard's owner may use of a team's quota. Should the quota have been
// lowered below what is allocated, each shard uses its fraction of the new one.
func (a *Allocations) Available(team config.Team, shard string) Amount {
	state := a.teamOf(team.Name)
	available := state.record.ByShard[shard].Sub(state.releasing[shard])
	total := state.record.Total()
	if team.MaxCPUs > 0 && total.CPU > team.MaxCPUs {
		available.CPU *= team.MaxCPUs / total.CPU
	}
	if team.MaxGPUs > 0 && total.GPU > team.MaxGPUs {
		available.GPU *= team.MaxGPUs / total.GPU
	}
	return available
}

// Recorded returns what a team's record allocates to a shard, releases whose outcome is not known included.
func (a *Allocations) Recorded(team config.Team, shard string) Amount {
	return a.teamOf(team.Name).record.ByShard[shard]
}

// Allocated returns what all shards have of a team's quota.
func (a *Allocations) Allocated(team config.Team) Amount { return a.teamOf(team.Name).record.Total() }

// Unallocated returns what no shard has of a team's quota.
func (a *Allocations) Unallocated(team config.Team) Amount {
	return LimitOf(team).Sub(a.teamOf(team.Name).record.Total()).NonNegative()
}

// Acquire returns the record to be written with more for a shard: as much of the wanted amount
// as is unallocated, or with allOrNothing all of it. ok is false if that is nothing.
func (a *Allocations) Acquire(team config.Team, shard string, wanted Amount, allOrNothing bool) (record Record, ok bool) {
	unallocated := a.Unallocated(team)
	if allOrNothing && !unallocated.Covers(wanted) {
		return Record{}, false
	}
	acquired := Amount{min(wanted.CPU, unallocated.CPU), min(wanted.GPU, unallocated.GPU)}.NonNegative()
	if acquired.IsNegligible() {
		return Record{}, false
	}
	return a.changed(team.Name, shard, acquired), true
}

// Release returns the record to be written with less for a shard. ReleaseSent has to be called in
// the actor's same step as the write is begun: from then on the shard must not use the released
// amount, since an unanswered write may still succeed.
func (a *Allocations) Release(team config.Team, shard string, released Amount) Record {
	return a.changed(team.Name, shard, Amount{}.Sub(released))
}

// changed returns a copy of a team's record with a shard's allocation changed by delta.
func (a *Allocations) changed(team, shard string, delta Amount) Record {
	byShard := maps.Clone(a.teamOf(team).record.ByShard)
	if byShard == nil {
		byShard = map[string]Amount{}
	}
	byShard[shard] = byShard[shard].Add(delta)
	if byShard[shard].IsNegligible() {
		delete(byShard, shard)
	}
	return Record{byShard}
}

// ReleaseSent records that a release is being written with the known revision of the team's
// record as its precondition. Available no longer includes the released amount.
func (a *Allocations) ReleaseSent(team, shard string, released Amount) {
	state := a.teamOf(team)
	state.releasing[shard] = state.releasing[shard].Add(released)
	state.releaseRevision = state.revision
}

// ReleaseRejected records that a shard's release was certainly not written: the shard may use the
// amount again.
func (a *Allocations) ReleaseRejected(team, shard string) { delete(a.teamOf(team).releasing, shard) }

// IsReleasePending reports whether the outcome of a release of a team is not known. A successful write
// with the same precondition settles it, since then the release can no longer succeed.
func (a *Allocations) IsReleasePending(team string) bool { return len(a.teamOf(team).releasing) > 0 }
