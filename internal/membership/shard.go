package membership

import "time"

// Shard is the ownership of one shard of the machines under one epoch. When the shard is acquired
// again, even by the same controller, the Table replaces the Shard by a new one.
type Shard struct {
	id, owner               string
	incarnation, epoch      uint64
	isLocal                 bool
	knownSince              time.Time
	isReconciled            bool
	acquisitions            []int64 // as in shardRecord
	gangWorkersTrustedAfter *uint64 // as in shardRecord; nil if no gang's list of workers is trusted
	previousEpoch           uint64  // 0 if not known
	isTransferPrepared      bool
	isTransferred           bool
}

// ID returns the shard's name, which is that of its home controller.
func (s *Shard) ID() string { return s.id }

// Owner returns the name of the controller that owns the shard.
func (s *Shard) Owner() string { return s.owner }

// Incarnation identifies the run of the owner's process that acquired the shard.
func (s *Shard) Incarnation() uint64 { return s.incarnation }

// Epoch returns the revision of the shard's record, which rises with each acquisition. It is the
// fencing token of the owner's commands to workers.
func (s *Shard) Epoch() uint64 { return s.epoch }

// PreviousEpoch returns the epoch that this one replaced, 0 if it is not known.
func (s *Shard) PreviousEpoch() uint64 { return s.previousEpoch }

// IsLocal reports whether this incarnation of this controller owns the shard.
func (s *Shard) IsLocal() bool { return s.isLocal }

// KnownSince returns when this controller learned of the record with which this epoch began.
func (s *Shard) KnownSince() time.Time { return s.knownSince }

// IsReconciled reports whether every worker of the shard has sent a heartbeat under the present
// epoch or is known to be gone. From then on, a task that no heartbeat lists is running nowhere.
func (s *Shard) IsReconciled() bool { return s.isReconciled }

// MarkReconciled records that the shard is reconciled, as defined at IsReconciled.
func (s *Shard) MarkReconciled() { s.isReconciled = true }

// TrustsGangWorkers reports whether a gang's tasks can have been started only on the workers that
// the gang's range record lists (jobs.RangeRecord.GangWorkers). revision is the revision of that
// record. The list is not trusted if a later owner of the shard may have run a version that ignores
// such lists.
func (s *Shard) TrustsGangWorkers(revision uint64) bool {
	return s.gangWorkersTrustedAfter != nil && revision > *s.gangWorkersTrustedAfter
}

// PrepareTransfer records that the shard is about to be transferred to another controller: until
// AbortTransfer is called, none of the shard's machines is released or moved.
func (s *Shard) PrepareTransfer() { s.isTransferPrepared = true }

// AbortTransfer undoes PrepareTransfer.
func (s *Shard) AbortTransfer() { s.isTransferPrepared = false }

// IsTransferring reports whether a transfer of the shard is prepared or done.
func (s *Shard) IsTransferring() bool { return s.isTransferPrepared || s.isTransferred }

// IsTransferred reports whether the shard was transferred to another controller, which may not
// have acquired it yet.
func (s *Shard) IsTransferred() bool { return s.isTransferred }
