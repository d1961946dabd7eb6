// Package claims makes durable which tasks a share runs and which are done: the claim of
// unclaimed tasks, the giving back of those that find no room, and the ends of tasks and
// jobs, many in one change of the state service.
package claims

import (
	"errors"
	"log/slog"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
)

// Dependencies are what claims are made with.
type Dependencies struct {
	State             *clusterstate.State
	Membership        *membership.Table
	Cache             *statecache.Cache
	CompletionBatches *completionbatch.Index
	Faults            *faultattribution.Attributor
	// Quotas are the limits of teams.
	Quotas *quota.Allocations
}

// Writer has no locks: one actor owns it.
type Writer struct {
	Dependencies
	mailbox       *actor.Mailbox
	cfg           *config.Config
	log           *slog.Logger
	unplacedSince map[*clusterstate.TaskRange]time.Time // since when tasks at their ends find no place
	// A pack is being written; records are being tidied up. The second must not
	// hold up the first.
	isWritingBatch, isCleaningUp bool
	lastCleanupAt                time.Time
	allocations                  allocationState
}

// New makes a writer.
func New(l *actor.Mailbox, cfg *config.Config, s Dependencies, log *slog.Logger) *Writer {
	return &Writer{Dependencies: s, mailbox: l, cfg: cfg, log: log, unplacedSince: map[*clusterstate.TaskRange]time.Time{}, allocations: newAllocationState()}
}

// Reset forgets what is under way: all records are read anew.
func (w *Writer) Reset() {
	w.isWritingBatch, w.isCleaningUp = false, false
	clear(w.unplacedSince)
	w.allocations = newAllocationState()
}

// Tick does what is due from time to time.
func (w *Writer) Tick(now time.Time) {
	w.writeCompletions(now)
	w.writeCompletionBatch(now)
	w.cleanUpBatches(now)
	w.unclaimUnplaceable(now)
	w.releaseIdleAllocations(now)
	w.recordAllGangWorkers()
}

// localShard is the share of a range if it is held here, else nil.
func (w *Writer) localShard(taskRange *clusterstate.TaskRange) *membership.Shard {
	shard := w.Membership.Shard(taskRange.Record().Shard)
	if shard == nil || !shard.IsLocal() {
		return nil
	}
	return shard
}

// ownershipCondition is the condition that a share is still held in this tenure.
func ownershipCondition(shard *membership.Shard) kvstore.Condition {
	return kvstore.Condition{Key: jobs.ShardPrefix + shard.ID(), Revision: shard.Epoch()}
}

func jobCondition(job *clusterstate.Job) kvstore.Condition {
	return kvstore.Condition{Key: jobs.JobKey(job.Ref()), Revision: job.Revision()}
}

func rangeKey(taskRange *clusterstate.TaskRange) string {
	return jobs.RangeKey(taskRange.Job().Ref(), taskRange.First())
}

// Claim is one conditional write: the job's unclaimed tasks shrink and a range
// of this share appears. place has put the tasks on machines beforehand; if
// the claim fails they are taken off again.
func (w *Writer) Claim(job *clusterstate.Job, shard *membership.Shard, k int, zone string, place func(taskRange *clusterstate.TaskRange) bool) {
	if job.Record().Kind != jobs.Gang { // a gang is one range, and done as a whole
		k = min(k, tuning.MaxRangeTasks)
	}
	claimed, rest := jobs.TakeUnclaimed(job.Record().Unclaimed, k)
	taskRange := w.State.NewTentativeRange(job, shard, claimed, zone)
	if !place(taskRange) {
		w.State.UnplaceRange(taskRange)
		return
	}
	taskRange.SetPlannedHosts()
	if taskRange.Record().Count < claimed.Count { // no more fitted than this
		claimed, rest = jobs.TakeUnclaimed(job.Record().Unclaimed, taskRange.Record().Count)
	}
	record := job.RecordWithoutDependencies()
	record.Unclaimed = rest
	if zone != "" && record.Spread {
		per := map[string]int{zone: claimed.Count}
		for z, n := range record.ClaimedPerZone {
			per[z] += n
		}
		record.ClaimedPerZone = per
	}
	key := rangeKey(taskRange)
	txn := kvstore.Txn{Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard)}}
	inline := claimed.Count == record.Tasks && w.IsSmallJob(job.Record())
	if inline {
		record.WholeClaim = NewWholeJobClaim(shard, claimed.Count)
		txn.Writes = []kvstore.Write{{Key: jobs.JobKey(job.Ref()), Value: kvstore.Encode(record)}}
	} else {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key})
		txn.Writes = []kvstore.Write{{Key: jobs.JobKey(job.Ref()), Value: kvstore.Encode(record)}, {Key: key, Value: kvstore.Encode(taskRange.Record())}}
	}
	w.State.AddTentativeRange(taskRange, inline)
	job.BeginTransaction()
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		if w.State.Job(job.Ref()) != job || err == nil && result.Succeeded || !taskRange.IsTentative() {
			// The mirror has made it durable: perhaps by an earlier write of the same
			// claim, which had gone without an answer and was carried out before this
			// one. Given up, a gang that had been started forgot its try.
			return
		}
		w.State.AbandonTentativeRange(taskRange)
	})
}

// unclaimUnplaceable gives tasks that found no room on this share for a while back
// to all shares.
func (w *Writer) unclaimUnplaceable(now time.Time) {
	for taskRange := range w.unplacedSince {
		if !w.State.IsCurrentTaskRange(taskRange) {
			delete(w.unplacedSince, taskRange)
		}
	}
	for job := range w.State.Jobs() {
		if job.HasEnded() || job.InTransaction() {
			continue
		}
		for taskRange := range job.TaskRanges() {
			if k, n := w.unplaceableRun(taskRange, now); n > 0 {
				w.unclaim(taskRange, k, n)
				break
			}
		}
	}
}

// unplaceableRun is a run of tasks of a range, n from the k-th on, that is to be given back: they found
// no place for a while. A gang, and a job claimed as a whole, goes back whole or not at all. As
// long as some find a place now and then, the others wait for theirs. Those at the range's end
// go first, they cost least; then others, where a machine was lost. Only the end went once: a task
// in the middle waited for its share, or its zone, for as long as that had no room.
func (w *Writer) unplaceableRun(taskRange *clusterstate.TaskRange, now time.Time) (k, n int) {
	job := taskRange.Job()
	if untold, _ := taskRange.UnrecordedDone(); !taskRange.IsOwned() || taskRange.IsTentative() || taskRange.HasWriteInFlight() || untold > 0 {
		return 0, 0
	}
	ready := taskRange.CountTasks(clusterstate.TaskReady)
	if whole := job.Record().Kind == jobs.Gang || taskRange.IsInline(); ready == 0 || whole && ready < taskRange.Len() {
		delete(w.unplacedSince, taskRange)
		return 0, 0
	}
	since, known := w.unplacedSince[taskRange]
	if !known || taskRange.LastPlacedAt().After(since) {
		since = now
		w.unplacedSince[taskRange] = now
	}
	k, n = longestReadyRun(taskRange)
	wait := tuning.UnclaimAfter
	switch {
	case job.IsBackground():
		// Stopped again and again for other work, it would be given back and
		// claimed each time, at four changes in the state service.
		wait = tuning.BackgroundUnclaimAfter
	case k+n < taskRange.Len():
		wait = tuning.RangeSplitAfter
	}
	if now.Sub(since) < wait || w.Faults.IsJobFaulty(job.Ref()) {
		return 0, 0
	}
	return k, n
}

// longestReadyRun is the run of ready tasks at a range's end, or the longest if the last is not ready.
func longestReadyRun(taskRange *clusterstate.TaskRange) (k, n int) {
	for i := 0; i < taskRange.Len(); {
		from := i
		for i < taskRange.Len() && taskRange.TaskState(i) == clusterstate.TaskReady {
			i++
		}
		if i-from > n || i > from && i == taskRange.Len() {
			k, n = from, i-from
		}
		i++
	}
	return k, n
}

// unclaim gives n tasks from the k-th on back to all shares. What is behind them becomes a range
// of its own.
func (w *Writer) unclaim(taskRange *clusterstate.TaskRange, k, n int) {
	job, shard := taskRange.Job(), w.localShard(taskRange)
	if shard == nil {
		return
	}
	record := job.RecordWithoutDependencies()
	record.Unclaimed = jobs.ReturnUnclaimed(record.Unclaimed, jobs.TaskInterval{First: taskRange.First() + k, Count: n})
	if !w.FitsStore(record) {
		return // too scattered to be kept; the tasks wait here
	}
	if zone := taskRange.Record().Zone; zone != "" && record.Spread {
		per := map[string]int{}
		for z, c := range record.ClaimedPerZone {
			per[z] = c
		}
		per[zone] -= n
		record.ClaimedPerZone = per
	}
	record.WholeClaim = nil
	txn := kvstore.Txn{Conditions: []kvstore.Condition{jobCondition(job), ownershipCondition(shard)},
		Writes: []kvstore.Write{{Key: jobs.JobKey(job.Ref()), Value: kvstore.Encode(record)}}}
	if !taskRange.IsInline() {
		key := rangeKey(taskRange)
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: taskRange.Revision()})
		write := kvstore.Write{DeleteKey: key}
		if k > 0 {
			write = kvstore.Write{Key: key, Value: kvstore.Encode(taskRange.Subrange(0, k))}
		}
		txn.Writes = append(txn.Writes, write)
		if behind := taskRange.Len() - k - n; behind > 0 {
			key := jobs.RangeKey(job.Ref(), taskRange.First()+k+n)
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key})
			txn.Writes = append(txn.Writes, kvstore.Write{Key: key, Value: kvstore.Encode(taskRange.Subrange(k+n, behind))})
		}
	}
	job.BeginTransaction()
	taskRange.BeginUnclaim(k, n) // not to be started meanwhile
	tenure, since := shard.Epoch(), w.unplacedSince[taskRange]
	w.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		job.EndTransaction(result, err)
		delete(w.unplacedSince, taskRange)
		switch {
		case err == nil && result.Succeeded:
			w.State.ResetGangAttempt(job)
			// Other tasks of the range have waited as long.
			for _, first := range []int{taskRange.First(), taskRange.First() + k + n} {
				if left := job.TaskRange(first); left != nil {
					w.unplacedSince[left] = since
				}
			}
			w.log.Info("tasks given back", "job", job.Ref(), "share", shard.ID(), "tasks", n)
		case err == nil || !errors.Is(err, kvstore.ErrOutcomeUnknown): // certainly not made
			taskRange.CancelUnclaim(k, n)
		default:
			// The outcome is unknown: the tasks may be another share's by now, or
			// become so later. Writing the range again decides it: the late
			// transaction then finds another stamp.
			w.fenceUnclaim(taskRange, k, n, tenure)
		}
	})
}

// fenceUnclaim rewrites a range so that an unanswered transaction on it can no longer
// be applied, and frees its tasks for a start. It ends with the tenure in which
// they were known to be nowhere: a pin that outlived it made tasks ready which
// another holder had started meanwhile (ran_twice on drawn days of sinai).
func (w *Writer) fenceUnclaim(taskRange *clusterstate.TaskRange, k, n int, tenure uint64) {
	shard := w.localShard(taskRange)
	if shard == nil || shard.Epoch() != tenure || !w.State.IsCurrentTaskRange(taskRange) {
		return
	}
	key, value := rangeKey(taskRange), kvstore.Encode(taskRange.Record())
	if taskRange.IsInline() {
		key, value = jobs.JobKey(taskRange.Job().Ref()), kvstore.Encode(taskRange.Job().Record())
	}
	taskRange.BeginWrite()
	w.Cache.Commit(kvstore.Urgent, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: taskRange.Revision()}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: value}},
	}, func(result kvstore.TxnResult, err error) {
		taskRange.EndWrite()
		if err == nil && result.Succeeded {
			taskRange.CancelUnclaim(k, n)
			w.State.MarkDirty()
			return
		}
		w.mailbox.SendAfter(tuning.MaxRetryDelay, func() { w.fenceUnclaim(taskRange, k, n, tenure) })
	})
}

// RecordGangWorkers makes durable where a gang is planned, if its mark does not allow it: its tasks are
// ordered only once that is known (books.GangReady). None of them is on any machine then,
// so that what the mark said before need not be kept. Without an answer it is written again
// under the same condition until the record has another stamp: one of them holds then, and
// none that is late can.
func (w *Writer) RecordGangWorkers(taskRange *clusterstate.TaskRange) {
	shard := w.localShard(taskRange)
	if shard == nil || !w.State.IsCurrentTaskRange(taskRange) || !taskRange.NeedsHostsWrite() || taskRange.HasHostsWriteInFlight() || taskRange.HasWriteInFlight() {
		return
	}
	rec := *taskRange.Record()
	rec.GangWorkers = taskRange.PlannedHosts()
	key := rangeKey(taskRange)
	taskRange.BeginHostsWrite()
	w.Cache.Commit(kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: taskRange.Revision()}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.Encode(rec)}},
	}, func(_ kvstore.TxnResult, err error) {
		taskRange.EndHostsWrite(err == nil)
		w.State.MarkDirty()
	})
}

// recordAllGangWorkers sees to plans whose marks could not be written.
func (w *Writer) recordAllGangWorkers() {
	for job := range w.State.Jobs() {
		if job.HasEnded() || job.Record().Kind != jobs.Gang {
			continue
		}
		for taskRange := range job.TaskRanges() {
			w.RecordGangWorkers(taskRange)
		}
	}
}

// FitsStore tells whether a job's record fits a value of the state service.
func (w *Writer) FitsStore(record jobs.JobRecord) bool {
	return w.Cache.CanStore(kvstore.Encode(record))
}
