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
	By map[string]Amount `json:"by"` // by share
}

// Amount is what a team may use of what is limited.
type Amount struct {
	CPU float64 `json:"cpu,omitempty"`
	GPU float64 `json:"gpu,omitempty"`
}

// Rounding is by how much sums of amounts may be beyond a limit.
const Rounding = 1e-6

func (a Amount) add(b Amount) Amount { return Amount{a.CPU + b.CPU, a.GPU + b.GPU} }

// Sub is what is left without another; it may be below nothing.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPU - b.CPU, a.GPU - b.GPU} }

// Floor is an amount with nothing of it below nothing.
func (a Amount) Floor() Amount { return Amount{max(0, a.CPU), max(0, a.GPU)} }

// Holds tells whether an amount holds another.
func (a Amount) Holds(b Amount) bool {
	return b.CPU <= a.CPU+Rounding && b.GPU <= a.GPU+Rounding
}

// None tells whether it is nothing that matters.
func (a Amount) None() bool { return a.CPU <= Rounding && a.GPU <= Rounding }

// Of is what so many tasks take of a team's limit; what has no limit is left out.
func Of(t config.Team, need capacity.Vec, tasks int) Amount {
	var a Amount
	if t.CPUsMax > 0 {
		a.CPU = need.CPU * float64(tasks)
	}
	if t.GPUsMax > 0 {
		a.GPU = need.GPU * float64(tasks)
	}
	return a
}

// Fit is how many tasks that take so much each fit into an amount.
func Fit(a, one Amount) int {
	n := math.MaxInt32
	if one.CPU > 0 {
		n = min(n, int((a.CPU+Rounding)/one.CPU))
	}
	if one.GPU > 0 {
		n = min(n, int((a.GPU+Rounding)/one.GPU))
	}
	return max(0, n)
}

// Limited tells whether a team has a limit.
func Limited(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Limit is a team's.
func Limit(t config.Team) Amount { return Amount{t.CPUsMax, t.GPUsMax} }

// Book is what a controller knows of the records. It has no locks: one actor owns it.
type Book struct{ by map[string]*entry }

type entry struct {
	rec   Record
	stamp uint64
	// away is what was given back by a write whose outcome is not known, made under the
	// record with the stamp sent: it may be another share's by now.
	away map[string]Amount
	sent uint64
}

// New makes an empty book.
func New() *Book { return &Book{map[string]*entry{}} }

// Reset forgets all records, to be read anew. What was given back stays away: the write
// may still be under way.
func (b *Book) Reset() {
	for _, e := range b.by {
		e.rec, e.stamp = Record{}, 0
	}
}

func (b *Book) entry(team string) *entry {
	e := b.by[team]
	if e == nil {
		e = &entry{away: map[string]Amount{}}
		b.by[team] = e
	}
	return e
}

// Recorded follows a team's record. Under a newer one no write that was made under an
// older can still come.
func (b *Book) Recorded(team string, value json.RawMessage, stamp uint64) error {
	e := b.entry(team)
	if e.stamp >= stamp {
		return nil
	}
	var rec Record
	if err := json.Unmarshal(value, &rec); err != nil {
		return fmt.Errorf("allocations of %s: %w", team, err)
	}
	e.rec, e.stamp = rec, stamp
	if stamp > e.sent {
		clear(e.away)
	}
	return nil
}

// Stamp is the record's, 0 if there is none.
func (b *Book) Stamp(team string) uint64 { return b.entry(team).stamp }

// Rec is the record.
func (b *Book) Rec(team string) Record { return b.entry(team).rec }

func (r Record) sum() Amount {
	var s Amount
	for _, a := range r.By {
		s = s.add(a)
	}
	return s
}

// Have is what a share's holder may use of a team's limit. Should the limit have been
// lowered below what is given out, each share uses its part of the new one.
func (b *Book) Have(t config.Team, share string) Amount {
	e := b.entry(t.Name)
	a, s := e.rec.By[share].Sub(e.away[share]), e.rec.sum()
	if t.CPUsMax > 0 && s.CPU > t.CPUsMax {
		a.CPU *= t.CPUsMax / s.CPU
	}
	if t.GPUsMax > 0 && s.GPU > t.GPUsMax {
		a.GPU *= t.GPUsMax / s.GPU
	}
	return a
}

// Pool is what nobody has.
func (b *Book) Pool(t config.Team) Amount {
	return Limit(t).Sub(b.entry(t.Name).rec.sum()).Floor()
}

// Take is the record with more for a share: as much as there is, or all that is wanted or
// none. ok is false if it is none.
func (b *Book) Take(t config.Team, share string, want Amount, whole bool) (rec Record, ok bool) {
	pool := b.Pool(t)
	if whole && !pool.Holds(want) {
		return Record{}, false
	}
	got := Amount{min(want.CPU, pool.CPU), min(want.GPU, pool.GPU)}.Floor()
	if got.None() {
		return Record{}, false
	}
	return b.with(t.Name, share, got), true
}

// Release is the record with less for a share, which has no use for it from now on
// whatever becomes of the write: see Sent.
func (b *Book) Release(t config.Team, share string, less Amount) Record {
	return b.with(t.Name, share, Amount{}.Sub(less))
}

func (b *Book) with(team, share string, more Amount) Record {
	by := maps.Clone(b.entry(team).rec.By)
	if by == nil {
		by = map[string]Amount{}
	}
	by[share] = by[share].add(more)
	if by[share].None() {
		delete(by, share)
	}
	return Record{by}
}

// Sent notes that a share gives back so much by a write under the present record.
func (b *Book) Sent(team, share string, less Amount) {
	e := b.entry(team)
	e.away[share], e.sent = e.away[share].add(less), e.stamp
}

// Refused notes that the write was certainly not made.
func (b *Book) Refused(team, share string) { delete(b.entry(team).away, share) }

// Open tells whether the outcome of a giving back is not known: another write under the
// same record settles it.
func (b *Book) Open(team string) bool { return len(b.entry(team).away) > 0 }
