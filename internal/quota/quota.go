// Package quota keeps the limits of teams: each is split into durable allocations of the
// shares, of which the sum never exceeds it. Only the holder of a share changes the
// share's allocation, by a write under the share's record: it takes from what nobody has, and
// gives back what it has no use for.
package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
)

// Record is how a team's limit is split. What is not in it nobody has.
type Record struct {
	ByShard map[string]Amount `json:"by"` // by share
}

// Amount is what a team may use of what is limited.
type Amount struct {
	CPU float64 `json:"cpu,omitempty"`
	GPU float64 `json:"gpu,omitempty"`
}

// Tolerance is by how much sums of amounts may be beyond a limit.
const Tolerance = 1e-6

func (a Amount) add(b Amount) Amount { return Amount{a.CPU + b.CPU, a.GPU + b.GPU} }

// Sub is what is left without another; it may be below nothing.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPU - b.CPU, a.GPU - b.GPU} }

// NonNegative is an amount with nothing of it below nothing.
func (a Amount) NonNegative() Amount { return Amount{max(0, a.CPU), max(0, a.GPU)} }

// Covers tells whether an amount holds another.
func (a Amount) Covers(b Amount) bool {
	return b.CPU <= a.CPU+Tolerance && b.GPU <= a.GPU+Tolerance
}

// IsNegligible tells whether it is nothing that matters.
func (a Amount) IsNegligible() bool { return a.CPU <= Tolerance && a.GPU <= Tolerance }

// UsageOf is what so many tasks take of a team's limit; what has no limit is left out.
func UsageOf(team config.Team, need capacity.Resources, tasks int) Amount {
	var a Amount
	if team.MaxCPUs > 0 {
		a.CPU = need.CPU * float64(tasks)
	}
	if team.MaxGPUs > 0 {
		a.GPU = need.GPU * float64(tasks)
	}
	return a
}

// TasksThatFit is how many tasks that take so much each fit into an amount.
func TasksThatFit(a, one Amount) int {
	n := math.MaxInt32
	if one.CPU > 0 {
		n = min(n, int((a.CPU+Tolerance)/one.CPU))
	}
	if one.GPU > 0 {
		n = min(n, int((a.GPU+Tolerance)/one.GPU))
	}
	return max(0, n)
}

// IsLimited tells whether a team has a limit.
func IsLimited(team config.Team) bool { return team.MaxCPUs > 0 || team.MaxGPUs > 0 }

// LimitOf is a team's.
func LimitOf(team config.Team) Amount { return Amount{team.MaxCPUs, team.MaxGPUs} }

// Allocations is what a controller knows of the records. It has no locks: one actor owns it.
type Allocations struct{ teams map[string]*teamState }

type teamState struct {
	record   Record
	revision uint64
	// releasing is what was given back by a write whose outcome is not known, made under the
	// record with the stamp sent: it may be another share's by now.
	releasing       map[string]Amount
	releaseRevision uint64
}

// New makes an empty book.
func New() *Allocations { return &Allocations{map[string]*teamState{}} }

// Reset forgets all records, to be read anew. What was given back stays away: the write
// may still be under way.
func (b *Allocations) Reset() {
	for _, state := range b.teams {
		state.record, state.revision = Record{}, 0
	}
}

func (b *Allocations) teamOf(team string) *teamState {
	state := b.teams[team]
	if state == nil {
		state = &teamState{releasing: map[string]Amount{}}
		b.teams[team] = state
	}
	return state
}

// ApplyRecord follows a team's record. Under a newer one no write that was made under an
// older can still come.
func (b *Allocations) ApplyRecord(team string, value json.RawMessage, revision uint64) error {
	state := b.teamOf(team)
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

// Revision is the record's, 0 if there is none.
func (b *Allocations) Revision(team string) uint64 { return b.teamOf(team).revision }

// Record is the record.
func (b *Allocations) Record(team string) Record { return b.teamOf(team).record }

func (r Record) total() Amount {
	var s Amount
	for _, a := range r.ByShard {
		s = s.add(a)
	}
	return s
}

// Available is what a share's holder may use of a team's limit. Should the limit have been
// lowered below what is given out, each share uses its part of the new one.
func (b *Allocations) Available(team config.Team, shard string) Amount {
	state := b.teamOf(team.Name)
	a, s := state.record.ByShard[shard].Sub(state.releasing[shard]), state.record.total()
	if team.MaxCPUs > 0 && s.CPU > team.MaxCPUs {
		a.CPU *= team.MaxCPUs / s.CPU
	}
	if team.MaxGPUs > 0 && s.GPU > team.MaxGPUs {
		a.GPU *= team.MaxGPUs / s.GPU
	}
	return a
}

// Unallocated is what nobody has.
func (b *Allocations) Unallocated(team config.Team) Amount {
	return LimitOf(team).Sub(b.teamOf(team.Name).record.total()).NonNegative()
}

// Acquire is the record with more for a share: as much as there is, or all that is wanted or
// none. ok is false if it is none.
func (b *Allocations) Acquire(team config.Team, shard string, want Amount, whole bool) (record Record, ok bool) {
	pool := b.Unallocated(team)
	if whole && !pool.Covers(want) {
		return Record{}, false
	}
	got := Amount{min(want.CPU, pool.CPU), min(want.GPU, pool.GPU)}.NonNegative()
	if got.IsNegligible() {
		return Record{}, false
	}
	return b.changed(team.Name, shard, got), true
}

// Release is the record with less for a share, which has no use for it from now on
// whatever becomes of the write: see Sent.
func (b *Allocations) Release(team config.Team, shard string, less Amount) Record {
	return b.changed(team.Name, shard, Amount{}.Sub(less))
}

func (b *Allocations) changed(team, shard string, more Amount) Record {
	by := maps.Clone(b.teamOf(team).record.ByShard)
	if by == nil {
		by = map[string]Amount{}
	}
	by[shard] = by[shard].add(more)
	if by[shard].IsNegligible() {
		delete(by, shard)
	}
	return Record{by}
}

// ReleaseSent notes that a share gives back so much by a write under the present record.
func (b *Allocations) ReleaseSent(team, shard string, less Amount) {
	state := b.teamOf(team)
	state.releasing[shard], state.releaseRevision = state.releasing[shard].add(less), state.revision
}

// ReleaseRejected notes that the write was certainly not made.
func (b *Allocations) ReleaseRejected(team, shard string) { delete(b.teamOf(team).releasing, shard) }

// IsReleasePending tells whether the outcome of a giving back is not known: another write under the
// same record settles it.
func (b *Allocations) IsReleasePending(team string) bool { return len(b.teamOf(team).releasing) > 0 }
