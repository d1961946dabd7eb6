// Package membership is what a controller knows of the others' lives and of who holds
// which share, by the records in the state service. It decides who should hold a
// share; its owner makes the conditional writes.
package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Table follows the records. It has no locks: one actor owns it.
type Table struct {
	me     string
	boot   uint64
	names  []string // of all controllers, sorted; each is the home of a share
	live   map[string]life
	shares map[string]*Share
	born   time.Time // since when this run is known to live
	// gave is the stamp of the record under which a share was given away: that stays so
	// when the records are read anew.
	gave map[string]uint64
}

// life is a controller's record, which goes with its grant.
type life struct {
	boot, stamp uint64
}

type lifeRecord struct {
	Boot uint64 `json:"boot"`
}

type shareRecord struct {
	Holder string `json:"holder"`
	Boot   uint64 `json:"boot"`
	// Takings are when it was taken, the latest last, by the takers' times of day (ms).
	Takings []int64 `json:"takings,omitempty"`
	// Marks is the revision above which holders have kept to the marks of ranges (0: that
	// of this record). Holders that knew of no marks write none.
	Marks *uint64 `json:"marks,omitempty"`
}

// Share is who holds a share since when. Another holder, or the same one anew, is
// another Share.
type Share struct {
	id, holder  string
	boot, stamp uint64
	mine        bool
	since       time.Time
	settled     bool
	takings     []int64
	marks       *uint64
	before      uint64 // the stamp of the record that this one replaced, 0: not known
	// A hand-over is being prepared; the share was given away.
	prepared, given bool
}

// ID is the share's name, that of its home.
func (s *Share) ID() string { return s.id }

// Holder is the controller that holds it.
func (s *Share) Holder() string { return s.holder }

// Boot marks the run of the holder's process.
func (s *Share) Boot() uint64 { return s.boot }

// Stamp is its record's: it rises with every change of the holder.
func (s *Share) Stamp() uint64 { return s.stamp }

// Mine tells whether this run of this controller holds it.
func (s *Share) Mine() bool { return s.mine }

// Since is when the record became known here.
func (s *Share) Since() time.Time { return s.since }

// Settled tells whether every worker of the share was heard under the present token
// or is provably gone, so that a task no report accounts for is nowhere.
func (s *Share) Settled() bool { return s.settled }

// Trusts tells whether the mark of a range's record of a revision can be relied on: it is
// not if a holder since may not have kept to it.
func (s *Share) Trusts(revision uint64) bool { return s.marks != nil && revision > *s.marks }

// Before is the stamp of the record that this one replaced, 0 if that is not known.
func (s *Share) Before() uint64 { return s.before }

// Prepare notes that the share is about to be handed over: until Unprepare no machine of it
// is returned or moved.
func (s *Share) Prepare() { s.prepared = true }

// Unprepare: see Prepare.
func (s *Share) Unprepare() { s.prepared = false }

// Prepared tells whether the share is about to be handed over, or was.
func (s *Share) Prepared() bool { return s.prepared || s.given }

// Given tells whether it was.
func (s *Share) Given() bool { return s.given }

// Settle notes that.
func (s *Share) Settle() { s.settled = true }

// New makes an empty table for a run of a controller, among all of them.
func New(me string, boot uint64, names []string) *Table {
	t := &Table{me: me, boot: boot, names: slices.Sorted(slices.Values(names)), gave: map[string]uint64{}}
	t.Reset()
	return t
}

// Names are the controllers', sorted; each is the home of a share.
func (t *Table) Names() []string { return t.names }

// Size is the number of controllers, and so of shares.
func (t *Table) Size() int { return len(t.names) }

// Reset forgets all records, to be read anew. What this run held counts as given away: it has to
// be taken anew. Orders that were given a moment ago may still be on their way to workers and are
// obeyed as long as the token is the same one; that they were given is forgotten with all else. A
// task that did not show in the answer to a greeting yet was taken for nowhere, and started again.
func (t *Table) Reset() {
	for id, s := range t.shares {
		if s.mine {
			t.gave[id] = s.stamp
		}
	}
	t.live, t.shares, t.born = map[string]life{}, map[string]*Share{}, time.Time{}
}

// LifeRecord is what a controller writes of itself.
func LifeRecord(boot uint64) json.RawMessage { return state.Encode(lifeRecord{boot}) }

// ShareRecord is what a controller writes of a share that it takes at a time of day;
// before is how the share stood, nil if it had no record.
func ShareRecord(holder string, boot uint64, before *Share, now time.Time) json.RawMessage {
	rec := shareRecord{Holder: holder, Boot: boot, Marks: new(uint64)}
	if before != nil {
		if before.marks != nil {
			rec.Marks = before.marks
		}
		rec.Takings = before.takings[max(0, len(before.takings)-tuning.TakingsKept+1):]
	}
	rec.Takings = append(slices.Clip(rec.Takings), now.UnixMilli())
	return state.Encode(rec)
}

// Lives follows a controller's record, which became known at a moment.
func (t *Table) Lives(node string, value json.RawMessage, stamp uint64, now time.Time) error {
	if t.live[node].stamp >= stamp {
		return nil
	}
	var rec lifeRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return fmt.Errorf("liveness of %s: %w", node, err)
	}
	t.live[node] = life{rec.Boot, stamp}
	if node == t.me && rec.Boot == t.boot {
		t.born = now
	}
	return nil
}

// Ended follows the end of a controller's record.
func (t *Table) Ended(node string, stamp uint64) {
	if t.live[node].stamp <= stamp {
		delete(t.live, node)
	}
}

// IsLive tells whether a controller lives, in the given run if that is not 0.
func (t *Table) IsLive(node string, boot uint64) bool {
	l, there := t.live[node]
	return there && (boot == 0 || l.boot == boot)
}

// HolderLives tells whether a share has a record and its holder lives in the run that took it.
func (t *Table) HolderLives(s *Share) bool { return s != nil && t.IsLive(s.holder, s.boot) }

// MyLife is the stamp of this controller's own record; ok is false if it is not known
// to live in this run.
func (t *Table) MyLife() (stamp uint64, ok bool) { return t.live[t.me].stamp, t.IsLive(t.me, t.boot) }

// Life is the stamp of a controller's record, 0 if it has none.
func (t *Table) Life(node string) uint64 { return t.live[node].stamp }

// AnotherLives tells whether another controller could take the shares, and this one
// is known to live itself.
func (t *Table) AnotherLives() bool {
	return t.IsLive(t.me, t.boot) &&
		slices.ContainsFunc(t.names, func(n string) bool { return n != t.me && t.IsLive(n, 0) })
}

// Heir is who should hold a share: its home controller if that lives, else the next
// live one in the order of names; none if nobody lives.
func (t *Table) Heir(share string) string {
	return t.HeirBut(share, func(string) bool { return false })
}

// HeirBut is the same without some controllers.
func (t *Table) HeirBut(share string, not func(node string) bool) string {
	at := max(0, slices.Index(t.names, share))
	for i := range t.names {
		if n := t.names[(at+i)%len(t.names)]; t.IsLive(n, 0) && !not(n) {
			return n
		}
	}
	return ""
}

// Held follows a share's record; nil if it is none newer than the one known.
func (t *Table) Held(id string, value json.RawMessage, stamp uint64, now time.Time) (*Share, error) {
	if old := t.shares[id]; old != nil && old.stamp >= stamp {
		return nil, nil
	}
	var rec shareRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return nil, fmt.Errorf("share %s: %w", id, err)
	}
	s := &Share{id: id, holder: rec.Holder, boot: rec.Boot, stamp: stamp, since: now,
		mine: rec.Holder == t.me && rec.Boot == t.boot, takings: rec.Takings, marks: rec.Marks}
	if s.marks != nil && *s.marks == 0 {
		s.marks = &stamp
	}
	if old := t.shares[id]; old != nil {
		s.before = old.stamp
	}
	s.given = s.mine && t.gave[id] == stamp
	t.shares[id] = s
	return s, nil
}

// Give notes that a share was handed over: none of its workers is answered any more as
// long as the share's record is this one.
func (t *Table) Give(s *Share) {
	s.given = true
	t.gave[s.id] = s.stamp
}

// Share is a share by its name, nil if it has no record.
func (t *Table) Share(id string) *Share { return t.shares[id] }

// Shares are all that have a record, in the order of their names.
func (t *Table) Shares() []*Share { return t.sorted(func(*Share) bool { return true }) }

// Mine are those that this controller holds, in the order of their names.
func (t *Table) Mine() []*Share { return t.sorted((*Share).Mine) }

func (t *Table) sorted(such func(*Share) bool) []*Share {
	var out []*Share
	for _, id := range t.names {
		if s := t.shares[id]; s != nil && such(s) {
			out = append(out, s)
		}
	}
	return out
}
