// Package claims writes to the key-value store which tasks a shard runs and which are done:
// claims of tasks, the withdrawal of claims whose tasks do not fit, the completion of tasks and jobs
// (many in one transaction), and the allocations of team quotas.
//
// Every write is a compare-and-swap transaction that is conditional on the revision of each record
// that it replaces and on the epoch of the shard, so that a controller that has lost the shard
// cannot change anything.
package claims

import (
	"log/slog"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/statecache"
)

// Dependencies are the components that a Writer reads and changes. The actor that owns the Writer
// also owns all of them.
type Dependencies struct {
	State             *clusterstate.State
	Membership        *membership.Table
	Cache             *statecache.Cache
	CompletionBatches *completionbatch.Index
	Faults            *faultattribution.Attributor
	FeatureGate       *featuregate.Gate
	Quotas            *quota.Allocations
	Decisions         *decisionlog.Log
	Violations        *decisionlog.Violations
}

// Writer commits the transactions of this package. It is not safe for concurrent use: one actor
// owns it, and outcomes are delivered to that actor's mailbox.
type Writer struct {
	Dependencies
	mailbox *actor.Mailbox
	cfg     *config.Config
	log     *slog.Logger
	// unplacedSince is, for each range with ready tasks, the time since which none of its tasks has
	// been placed.
	unplacedSince map[*clusterstate.TaskRange]time.Time
	// Cleanups and completion batches have separate flags, since a cleanup must not delay the next
	// completion batch.
	isWritingBatch, isCleaningUp bool
	lastCleanupAt                time.Time
	allocations                  allocationState
}

// New returns a Writer.
func New(mailbox *actor.Mailbox, cfg *config.Config, dependencies Dependencies, log *slog.Logger) *Writer {
	return &Writer{
		Dependencies:  dependencies,
		mailbox:       mailbox,
		cfg:           cfg,
		log:           log,
		unplacedSince: map[*clusterstate.TaskRange]time.Time{},
		allocations:   newAllocationState(),
	}
}

// Reset clears the state of all writes in progress. It is called before all records are read again.
func (w *Writer) Reset() {
	w.isWritingBatch, w.isCleaningUp = false, false
	clear(w.unplacedSince)
	w.allocations = newAllocationState()
}

// Tick makes the periodic writes that are due. It is called every tuning.TickInterval.
func (w *Writer) Tick(now time.Time) {
	w.writeCompletions(now)
	w.writeCompletionBatch(now)
	w.cleanUpBatches(now)
	w.unclaimUnplaceable(now)
	w.releaseIdleAllocations(now)
	w.checkUsage()
	w.recordAllGangWorkers()
}

// FitsStore reports whether a job's record fits the key-value store.
func (w *Writer) FitsStore(record jobs.JobRecord) bool {
	return w.Cache.CanStore(kvstore.MustEncode(record))
}

// localShard returns the shard of a range, or nil if this controller does not own it.
func (w *Writer) localShard(taskRange *clusterstate.TaskRange) *membership.Shard {
	return w.ownedShard(taskRange.Record().Shard)
}

// ownedShard returns the shard with the given id, or nil if this controller does not own it.
func (w *Writer) ownedShard(id string) *membership.Shard {
	shard := w.Membership.Shard(id)
	if shard == nil || !shard.IsLocal() {
		return nil
	}
	return shard
}

// ownershipCondition returns the condition that the shard is still owned in the same epoch.
func ownershipCondition(shard *membership.Shard) kvstore.Condition {
	return kvstore.Condition{Key: jobs.ShardPrefix + shard.ID(), Revision: shard.Epoch()}
}

// jobCondition returns the condition that the job's record is unchanged.
func jobCondition(job *clusterstate.Job) kvstore.Condition {
	return kvstore.Condition{Key: jobs.JobKey(job.Ref()), Revision: job.Revision()}
}

// rangeCondition returns the condition that the range's record is unchanged.
func rangeCondition(taskRange *clusterstate.TaskRange) kvstore.Condition {
	return kvstore.Condition{Key: rangeKey(taskRange), Revision: taskRange.Revision()}
}

func rangeKey(taskRange *clusterstate.TaskRange) string {
	return jobs.RangeKey(taskRange.Job().Ref(), taskRange.First())
}

// jobRecordWrite returns the write that replaces the job's record.
func jobRecordWrite(job *clusterstate.Job, record jobs.JobRecord) kvstore.Write {
	return kvstore.Write{Key: jobs.JobKey(job.Ref()), Value: kvstore.MustEncode(record)}
}

// jobDoneWrites returns the writes that record a job with the given number of tasks as done and
// delete the job's record.
func jobDoneWrites(ref string, tasks int) []kvstore.Write {
	final := jobs.FinalState{Status: jobs.Done, Tasks: tasks}
	return []kvstore.Write{
		{Key: jobs.FinalKey(ref), Value: kvstore.MustEncode(final)},
		{DeleteKey: jobs.JobKey(ref)},
	}
}

// isCommitted reports whether a transaction has certainly succeeded.
func isCommitted(result kvstore.TxnResult, err error) bool { return err == nil && result.Succeeded }
