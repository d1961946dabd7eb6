// Package membership is what a controller knows of the others' lives and of who holds
// which share, by the records in the state service. It decides who should hold a
// share; its owner makes the conditional writes.
package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Table follows the records. It has no locks: one actor owns it.
type Table struct {
	self        string
	incarnation uint64
	controllers []string // of all controllers, sorted; each is the home of a share
	alive       map[string]liveness
	shards      map[string]*Shard
	liveSince   time.Time // since when this run is known to live
	// transferredEpochs is the stamp of the record under which a share was given away: that stays so
	// when the records are read anew.
	transferredEpochs map[string]uint64
}

// liveness is a controller's record, which goes with its grant.
type liveness struct {
	incarnation, revision uint64
}

type livenessRecord struct {
	Incarnation uint64 `json:"boot"`
}

type shardRecord struct {
	Owner       string `json:"holder"`
	Incarnation uint64 `json:"boot"`
	// Acquisitions are when it was taken, the latest last, by the takers' times of day (ms).
	Acquisitions []int64 `json:"takings,omitempty"`
	// MarksTrustedAfter is the revision above which holders have kept to the marks of ranges (0: that
	// of this record). Holders that knew of no marks write none.
	MarksTrustedAfter *uint64 `json:"marks,omitempty"`
}

// Shard is who holds a share since when. Another holder, or the same one anew, is
// another Share.
type Shard struct {
	id, owner          string
	incarnation, epoch uint64
	isLocal            bool
	knownSince         time.Time
	isReconciled       bool
	acquisitions       []int64
	marksTrustedAfter  *uint64
	previousEpoch      uint64 // the stamp of the record that this one replaced, 0: not known
	// A hand-over is being prepared; the share was given away.
	transferPrepared, transferred bool
}

// ID is the share's name, that of its home.
func (s *Shard) ID() string { return s.id }

// Owner is the controller that holds it.
func (s *Shard) Owner() string { return s.owner }

// Incarnation marks the run of the holder's process.
func (s *Shard) Incarnation() uint64 { return s.incarnation }

// Epoch is its record's: it rises with every change of the holder.
func (s *Shard) Epoch() uint64 { return s.epoch }

// IsLocal tells whether this run of this controller holds it.
func (s *Shard) IsLocal() bool { return s.isLocal }

// KnownSince is when the record became known here.
func (s *Shard) KnownSince() time.Time { return s.knownSince }

// IsReconciled tells whether every worker of the share was heard under the present token
// or is provably gone, so that a task no report accounts for is nowhere.
func (s *Shard) IsReconciled() bool { return s.isReconciled }

// TrustsMark tells whether the mark of a range's record of a revision can be relied on: it is
// not if a holder since may not have kept to it.
func (s *Shard) TrustsMark(revision uint64) bool {
	return s.marksTrustedAfter != nil && revision > *s.marksTrustedAfter
}

// PreviousEpoch is the stamp of the record that this one replaced, 0 if that is not known.
func (s *Shard) PreviousEpoch() uint64 { return s.previousEpoch }

// PrepareTransfer notes that the share is about to be handed over: until Unprepare no machine of it
// is returned or moved.
func (s *Shard) PrepareTransfer() { s.transferPrepared = true }

// Unprepare: see Prepare.
func (s *Shard) AbortTransfer() { s.transferPrepared = false }

// IsTransferring tells whether the share is about to be handed over, or was.
func (s *Shard) IsTransferring() bool { return s.transferPrepared || s.transferred }

// IsTransferred tells whether it was.
func (s *Shard) IsTransferred() bool { return s.transferred }

// MarkReconciled notes that.
func (s *Shard) MarkReconciled() { s.isReconciled = true }

// New makes an empty table for a run of a controller, among all of them.
func New(me string, boot uint64, names []string) *Table {
	t := &Table{self: me, incarnation: boot, controllers: slices.Sorted(slices.Values(names)), transferredEpochs: map[string]uint64{}}
	t.Reset()
	return t
}

// Controllers are the controllers', sorted; each is the home of a share.
func (t *Table) Controllers() []string { return t.controllers }

// Size is the number of controllers, and so of shares.
func (t *Table) Size() int { return len(t.controllers) }

// Reset forgets all records, to be read anew. What this run held counts as given away: it has to
// be taken anew. Orders that were given a moment ago may still be on their way to workers and are
// obeyed as long as the token is the same one; that they were given is forgotten with all else. A
// task that did not show in the answer to a greeting yet was taken for nowhere, and started again.
func (t *Table) Reset() {
	for id, s := range t.shards {
		if s.isLocal {
			t.transferredEpochs[id] = s.epoch
		}
	}
	t.alive, t.shards, t.liveSince = map[string]liveness{}, map[string]*Shard{}, time.Time{}
}

// EncodeLiveness is what a controller writes of itself.
func EncodeLiveness(boot uint64) json.RawMessage { return kvstore.Encode(livenessRecord{boot}) }

// EncodeShard is what a controller writes of a share that it takes at a time of day;
// before is how the share stood, nil if it had no record.
func EncodeShard(holder string, boot uint64, before *Shard, now time.Time) json.RawMessage {
	record := shardRecord{Owner: holder, Incarnation: boot, MarksTrustedAfter: new(uint64)}
	if before != nil {
		if before.marksTrustedAfter != nil {
			record.MarksTrustedAfter = before.marksTrustedAfter
		}
		record.Acquisitions = before.acquisitions[max(0, len(before.acquisitions)-tuning.MaxRecordedAcquisitions+1):]
	}
	record.Acquisitions = append(slices.Clip(record.Acquisitions), now.UnixMilli())
	return kvstore.Encode(record)
}

// ApplyLiveness follows a controller's record, which became known at a moment.
func (t *Table) ApplyLiveness(node string, value json.RawMessage, stamp uint64, now time.Time) error {
	if t.alive[node].revision >= stamp {
		return nil
	}
	var record livenessRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("liveness of %s: %w", node, err)
	}
	t.alive[node] = liveness{record.Incarnation, stamp}
	if node == t.self && record.Incarnation == t.incarnation {
		t.liveSince = now
	}
	return nil
}

// RemoveLiveness follows the end of a controller's record.
func (t *Table) RemoveLiveness(node string, stamp uint64) {
	if t.alive[node].revision <= stamp {
		delete(t.alive, node)
	}
}

// IsLive tells whether a controller lives, in the given run if that is not 0.
func (t *Table) IsLive(node string, boot uint64) bool {
	l, there := t.alive[node]
	return there && (boot == 0 || l.incarnation == boot)
}

// OwnerIsLive tells whether a share has a record and its holder lives in the run that took it.
func (t *Table) OwnerIsLive(s *Shard) bool { return s != nil && t.IsLive(s.owner, s.incarnation) }

// OwnLivenessRevision is the stamp of this controller's own record; ok is false if it is not known
// to live in this run.
func (t *Table) OwnLivenessRevision() (stamp uint64, ok bool) {
	return t.alive[t.self].revision, t.IsLive(t.self, t.incarnation)
}

// LivenessRevision is the stamp of a controller's record, 0 if it has none.
func (t *Table) LivenessRevision(node string) uint64 { return t.alive[node].revision }

// HasLivePeer tells whether another controller could take the shares, and this one
// is known to live itself.
func (t *Table) HasLivePeer() bool {
	return t.IsLive(t.self, t.incarnation) &&
		slices.ContainsFunc(t.controllers, func(n string) bool { return n != t.self && t.IsLive(n, 0) })
}

// Successor is who should hold a share: its home controller if that lives, else the next
// live one in the order of names; none if nobody lives.
func (t *Table) Successor(share string) string {
	return t.SuccessorExcluding(share, func(string) bool { return false })
}

// SuccessorExcluding is the same without some controllers.
func (t *Table) SuccessorExcluding(share string, not func(node string) bool) string {
	at := max(0, slices.Index(t.controllers, share))
	for i := range t.controllers {
		if n := t.controllers[(at+i)%len(t.controllers)]; t.IsLive(n, 0) && !not(n) {
			return n
		}
	}
	return ""
}

// ApplyShard follows a share's record; nil if it is none newer than the one known.
func (t *Table) ApplyShard(id string, value json.RawMessage, stamp uint64, now time.Time) (*Shard, error) {
	if old := t.shards[id]; old != nil && old.epoch >= stamp {
		return nil, nil
	}
	var record shardRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("share %s: %w", id, err)
	}
	s := &Shard{id: id, owner: record.Owner, incarnation: record.Incarnation, epoch: stamp, knownSince: now,
		isLocal: record.Owner == t.self && record.Incarnation == t.incarnation, acquisitions: record.Acquisitions, marksTrustedAfter: record.MarksTrustedAfter}
	if s.marksTrustedAfter != nil && *s.marksTrustedAfter == 0 {
		s.marksTrustedAfter = &stamp
	}
	if old := t.shards[id]; old != nil {
		s.previousEpoch = old.epoch
	}
	s.transferred = s.isLocal && t.transferredEpochs[id] == stamp
	t.shards[id] = s
	return s, nil
}

// MarkTransferred notes that a share was handed over: none of its workers is answered any more as
// long as the share's record is this one.
func (t *Table) MarkTransferred(s *Shard) {
	s.transferred = true
	t.transferredEpochs[s.id] = s.epoch
}

// Shard is a share by its name, nil if it has no record.
func (t *Table) Shard(id string) *Shard { return t.shards[id] }

// Shards are all that have a record, in the order of their names.
func (t *Table) Shards() []*Shard { return t.filterShards(func(*Shard) bool { return true }) }

// LocalShards are those that this controller holds, in the order of their names.
func (t *Table) LocalShards() []*Shard { return t.filterShards((*Shard).IsLocal) }

func (t *Table) filterShards(such func(*Shard) bool) []*Shard {
	var out []*Shard
	for _, id := range t.controllers {
		if s := t.shards[id]; s != nil && such(s) {
			out = append(out, s)
		}
	}
	return out
}
