// Package membership tracks which controllers are alive and which controller owns which shard,
// from the liveness and ownership records in the key-value store.
//
// The cluster's machines are divided into one shard per controller. That controller is the shard's
// home, and the shard is named after it. The package decides which shards a controller should own
// (Table.ShardsToAcquire); package statecache makes the conditional write that acquires a shard.
// Safety depends on that write alone and never on the decision, so a wrong decision costs time, but
// cannot give a shard two owners.
package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Table is one controller's view of the records. It is not safe for concurrent use: a single
// actor owns it.
type Table struct {
	self        string
	incarnation uint64
	controllers []string // the names of all controllers, sorted; each is the home of a shard
	liveness    map[string]liveness
	shards      map[string]*Shard
	// liveSince is when the liveness record of this incarnation became known, zero if it is not
	// known.
	liveSince time.Time
	// transferredEpochs maps each shard that this controller has transferred, or owned before a
	// Reset, to the epoch under which it did so. The map survives Reset: under that epoch this
	// controller must not command the shard's workers again, even if the record is read again.
	transferredEpochs map[string]uint64
}

// liveness is a controller's liveness record. The key-value store deletes the record when the
// controller's lease expires.
type liveness struct {
	incarnation, revision uint64
}

// New returns an empty table for one incarnation (process run) of the controller self, which is
// one of controllers.
func New(self string, incarnation uint64, controllers []string) *Table {
	t := &Table{
		self:              self,
		incarnation:       incarnation,
		controllers:       slices.Sorted(slices.Values(controllers)),
		transferredEpochs: map[string]uint64{},
	}
	t.Reset()
	return t
}

// Controllers returns the names of all controllers in ascending order. They are the names of the
// shards, too.
func (t *Table) Controllers() []string { return t.controllers }

// ControllerCount returns the number of controllers, which is the number of shards.
func (t *Table) ControllerCount() int { return len(t.controllers) }

// Reset drops all records. The caller has to read them again.
//
// The shards that this incarnation owned count as transferred from now on, so that it acquires them
// under a new epoch before it commands their workers. Commands sent before the reset may still be
// in flight, and workers accept them as long as the fencing token is the same, but after the reset
// this controller no longer knows which commands it has sent. A task whose start command was in
// flight would be missing from the worker's first heartbeat, be considered not running, and be
// started a second time.
func (t *Table) Reset() {
	for id, shard := range t.shards {
		if shard.isLocal {
			t.transferredEpochs[id] = shard.epoch
		}
	}
	t.liveness = map[string]liveness{}
	t.shards = map[string]*Shard{}
	t.liveSince = time.Time{}
}

// ApplyLiveness applies a controller's liveness record, which was written at revision. now is the time
// at which the record became known. A record no newer than the known one is ignored.
func (t *Table) ApplyLiveness(controller string, value json.RawMessage, revision uint64, now time.Time) error {
	if t.liveness[controller].revision >= revision {
		return nil
	}
	var record livenessRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("decode liveness record of controller %s: %w", controller, err)
	}
	t.liveness[controller] = liveness{incarnation: record.Incarnation, revision: revision}
	if controller == t.self && record.Incarnation == t.incarnation {
		t.liveSince = now
	}
	return nil
}

// RemoveLiveness applies the deletion of a controller's liveness record at a revision. A deletion
// older than the known record is ignored.
func (t *Table) RemoveLiveness(controller string, revision uint64) {
	if t.liveness[controller].revision <= revision {
		delete(t.liveness, controller)
	}
}

// IsLive reports whether a controller has a liveness record, and, unless incarnation is 0,
// whether the record is of that incarnation.
func (t *Table) IsLive(controller string, incarnation uint64) bool {
	record, ok := t.liveness[controller]
	return ok && (incarnation == 0 || record.incarnation == incarnation)
}

// LivenessRevision returns the revision of a controller's liveness record, 0 if it has none.
func (t *Table) LivenessRevision(controller string) uint64 { return t.liveness[controller].revision }

// OwnLivenessRevision returns the revision of this controller's liveness record; ok reports
// whether the record is of this incarnation.
func (t *Table) OwnLivenessRevision() (revision uint64, ok bool) {
	return t.LivenessRevision(t.self), t.IsLive(t.self, t.incarnation)
}

// HasLivePeer reports whether this controller and at least one other controller are live. The other
// one could take over this controller's shards.
func (t *Table) HasLivePeer() bool {
	isLivePeer := func(controller string) bool { return controller != t.self && t.IsLive(controller, 0) }
	return t.IsLive(t.self, t.incarnation) && slices.ContainsFunc(t.controllers, isLivePeer)
}

// OwnerIsLive reports whether a shard has a record (shard is not nil) and the incarnation that
// acquired it is live.
func (t *Table) OwnerIsLive(shard *Shard) bool {
	return shard != nil && t.IsLive(shard.owner, shard.incarnation)
}

// ApplyShard applies a shard's ownership record, which was written at revision, and returns the
// resulting Shard. The revision is the shard's epoch. ApplyShard returns nil for a record no newer
// than the known one.
func (t *Table) ApplyShard(id string, value json.RawMessage, revision uint64, now time.Time) (*Shard, error) {
	previous := t.shards[id]
	if previous != nil && previous.epoch >= revision {
		return nil, nil
	}
	var record shardRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode ownership record of shard %s: %w", id, err)
	}
	shard := &Shard{
		id:                      id,
		owner:                   record.Owner,
		incarnation:             record.Incarnation,
		epoch:                   revision,
		isLocal:                 record.Owner == t.self && record.Incarnation == t.incarnation,
		knownSince:              now,
		acquisitions:            record.Acquisitions,
		gangWorkersTrustedAfter: record.GangWorkersTrustedAfter,
	}
	if shard.gangWorkersTrustedAfter != nil && *shard.gangWorkersTrustedAfter == 0 {
		shard.gangWorkersTrustedAfter = &revision
	}
	if previous != nil {
		shard.previousEpoch = previous.epoch
	}
	shard.isTransferred = shard.isLocal && t.transferredEpochs[id] == revision
	t.shards[id] = shard
	return shard, nil
}

// MarkTransferred records that a shard was transferred to another controller. This controller does
// not respond to the shard's workers as long as the shard has its present epoch.
func (t *Table) MarkTransferred(shard *Shard) {
	shard.isTransferred = true
	t.transferredEpochs[shard.id] = shard.epoch
}

// Shard returns a shard by its name, nil if it has no record.
func (t *Table) Shard(id string) *Shard { return t.shards[id] }

// Shards returns all shards that have a record, in the order of their names.
func (t *Table) Shards() []*Shard { return t.filterShards(func(*Shard) bool { return true }) }

// LocalShards returns the shards that this incarnation owns, in the order of their names.
func (t *Table) LocalShards() []*Shard { return t.filterShards((*Shard).IsLocal) }

func (t *Table) filterShards(isIncluded func(*Shard) bool) []*Shard {
	var selected []*Shard
	for _, id := range t.controllers {
		if shard := t.shards[id]; shard != nil && isIncluded(shard) {
			selected = append(selected, shard)
		}
	}
	return selected
}
