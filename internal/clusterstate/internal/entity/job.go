package entity

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Job is an unfinished job, or an ended job that still has claimed ranges.
type Job struct {
	ref        string
	record     jobs.JobRecord
	revision   uint64
	need       capacity.Resources
	ended      bool
	taskRanges map[int]*TaskRange // by the number of their first task
	knownSince time.Time

	inTransaction bool
	// awaitedRevision is the revision at which a transaction of this controller on the job failed
	// its preconditions. The change that made it fail becomes visible here only when the cache of
	// the store has reached this revision.
	awaitedRevision uint64

	gangAttempt   GangAttempt
	gangPlannedAt time.Time // when the current attempt was planned and its tasks began to wait for free resources

	dependencyNode     *jobdag.Node // nil if the job has neither dependencies nor dependents
	priority           jobs.Priority
	ownDeadlines       jobdag.Deadlines // without the deadlines of dependents, which Deadlines includes
	blockedAtLastCheck bool             // whether the job was blocked by dependencies when UpdateBlocked or Unblock last checked

	background bool
	bestEffort bool
}

// GangAttempt is one attempt to run a gang: all its tasks run under one attempt number. The zero
// value means that there is no attempt.
type GangAttempt struct {
	Attempt uint64
	// Started is set once a start command was sent for any task.
	Started bool
	// Failed is set once the attempt can no longer succeed. All its tasks must have left their
	// machines before the next attempt.
	Failed bool
}

// NewJob returns a job with a reference but without a record.
func NewJob(ref string) *Job {
	return &Job{ref: ref, taskRanges: map[int]*TaskRange{}, knownSince: time.Now()}
}

// Ref returns the job's reference, which is unique.
func (j *Job) Ref() string { return j.ref }

// Record returns the job's record, for reading only. The record is empty as long as HasRecord returns
// false.
func (j *Job) Record() *jobs.JobRecord { return &j.record }

// HasRecord reports whether the job's record is known. If not, only claimed ranges of the job are
// known.
func (j *Job) HasRecord() bool { return j.record.Ref != "" }

// Revision returns the revision of the job's record in the key-value store.
func (j *Job) Revision() uint64 { return j.revision }

// Need returns the resources that one task of the job takes.
func (j *Job) Need() capacity.Resources { return j.need }

// HasEnded reports whether the job is done or cancelled.
func (j *Job) HasEnded() bool { return j.ended }

// KnownSince returns when this controller learned of the job or, if the job was blocked by dependencies,
// when it became unblocked.
func (j *Job) KnownSince() time.Time { return j.knownSince }

// IsBackground reports whether the job is background work: an array of the lowest priority without a
// deadline or objective. Background work gets only capacity that no other job needs.
func (j *Job) IsBackground() bool { return j.background }

// IsBestEffort reports whether the job is background work for which only spot machines are added
// or kept. Such a job uses free capacity of other machines as long as other work keeps them
// running, but avoids surplus machines. After tuning.BackgroundSpotOnlyPeriod it is no longer
// best-effort work, so that it does not wait forever.
func (j *Job) IsBestEffort() bool { return j.bestEffort }

// Priority returns the highest priority among the job and its dependents.
func (j *Job) Priority() jobs.Priority { return j.priority }

// IsBlocked reports whether the job may not run now: it waits for dependencies, or can never run
// since one of them is cancelled. A blocked job is left out of quotas, reservations, the demand for
// capacity and claims.
func (j *Job) IsBlocked() bool { return j.dependencyNode.IsBlocked() }

// IsRunnable reports whether the job's tasks may be claimed and run: the job has not ended and is not
// blocked by dependencies.
func (j *Job) IsRunnable() bool { return !j.HasEnded() && !j.IsBlocked() }

// IsCancelledByDependency reports whether the job can never run because a dependency, direct or
// indirect, is cancelled.
func (j *Job) IsCancelledByDependency() bool { return j.dependencyNode.IsCancelledByDependency() }

// DependencyNode returns the job's node in the dependency graph. It returns nil if the job has neither
// dependencies nor dependents; methods may be called on the nil node.
func (j *Job) DependencyNode() *jobdag.Node { return j.dependencyNode }

// Deadlines returns the times by which the job should be done, according to its own deadlines and
// those of its dependents.
func (j *Job) Deadlines() jobdag.Deadlines {
	if j.dependencyNode == nil {
		return j.ownDeadlines
	}
	return j.dependencyNode.Deadlines()
}

// RunnableSinceMS returns the time (Unix ms) since which the job could have run: when it was accepted,
// or when its last dependency was done.
func (j *Job) RunnableSinceMS() int64 {
	if readyAt := j.dependencyNode.ReadyAt(); !readyAt.IsZero() {
		return max(j.record.AcceptedAtMS, readyAt.UnixMilli())
	}
	return j.record.RunnableSinceMS()
}

// RecordWithoutDependencies returns the job's record without its dependencies, all of which must
// be done. Transactions that claim tasks, withdraw claims or delete completed ranges base their writes
// of the job's record on it.
func (j *Job) RecordWithoutDependencies() jobs.JobRecord {
	return j.record.WithDependenciesDone(time.UnixMilli(j.RunnableSinceMS()))
}

// Age returns the time since the job became runnable, which RunnableSinceMS returns.
func (j *Job) Age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-j.RunnableSinceMS()) * time.Millisecond
}

// TaskRanges yields the job's claimed ranges, in no order.
func (j *Job) TaskRanges() iter.Seq[*TaskRange] { return maps.Values(j.taskRanges) }

// TaskRange returns the range whose first task has the number first, or nil if there is none.
func (j *Job) TaskRange(first int) *TaskRange { return j.taskRanges[first] }

// HasReadyTasks reports whether any of the job's claimed tasks is ready to be placed.
func (j *Job) HasReadyTasks() bool {
	for _, taskRange := range j.taskRanges {
		if taskRange.CountTasks(TaskReady) > 0 {
			return true
		}
	}
	return false
}

// HasPlacedTasks reports whether any of the job's claimed tasks is placed on a machine.
func (j *Job) HasPlacedTasks() bool {
	for _, taskRange := range j.taskRanges {
		if taskRange.CountTasks(TaskPlaced) > 0 {
			return true
		}
	}
	return false
}

// OpenTaskCount returns how many of the job's tasks are claimed by any shard and not done.
func (j *Job) OpenTaskCount() int {
	count := 0
	for _, taskRange := range j.taskRanges {
		count += taskRange.record.Count - taskRange.DoneTaskCount()
	}
	return count
}

// TasksByZone returns, for a job that is spread over zones, how many tasks are claimed for each zone and not
// recorded as done. A task that is recorded as done is in no zone any more. The counts follow from the
// records of the claimed ranges; the job's record counts tasks that were done since it was written, too. It
// is used only if some of the ranges are not known, since their records cannot be read.
func (j *Job) TasksByZone() map[string]int {
	knownCount := j.record.UnclaimedCount() + j.record.CompletedTasks
	counts := map[string]int{}
	for _, taskRange := range j.taskRanges {
		if taskRange.tentative {
			continue
		}
		knownCount += taskRange.record.Count
		if zone := taskRange.record.Zone; zone != "" {
			counts[zone] += taskRange.UnfinishedCount()
		}
	}
	if knownCount != j.record.Tasks {
		counts = map[string]int{}
		maps.Copy(counts, j.record.ClaimedPerZone)
	}
	return counts
}

// Progress returns how many of the job's tasks are durably done, and how many are on workers. All open
// tasks of shards that other controllers own are counted as on workers.
func (j *Job) Progress() (done, active int) {
	done = j.record.CompletedTasks
	for _, taskRange := range j.taskRanges {
		if taskRange.tentative {
			continue
		}
		done += taskRange.recordedDoneCount
		active += taskRange.activeTaskCount()
	}
	return done, active
}

// CanWriteAt reports whether a transaction on the job may begin while the cache of the store is at a
// revision: no transaction of this controller on the job is in flight, and if one failed its
// preconditions, the cache has reached the change that made it fail.
func (j *Job) CanWriteAt(revision uint64) bool {
	return !j.inTransaction && j.awaitedRevision <= revision
}

// InTransaction reports whether a transaction of this controller on the job is in flight.
func (j *Job) InTransaction() bool { return j.inTransaction }

// BeginTransaction marks the beginning of a transaction on the job.
func (j *Job) BeginTransaction() { j.inTransaction = true }

// EndTransaction marks the end of the job's transaction. If its preconditions failed, the next transaction waits
// until the cache shows what has changed. A transaction that began earlier would fail as well. Without this wait,
// each gang that two controllers claimed at the same moment cost six requests and twelve changes without any
// effect.
func (j *Job) EndTransaction(result kvstore.TxnResult, err error) {
	j.inTransaction = false
	if err == nil && !result.Succeeded {
		j.awaitedRevision = max(j.awaitedRevision, result.Revision)
	}
}

// GangAttempt returns the number of the gang's current attempt, 0 if there is none, and whether a
// start command was sent for any of its tasks in this attempt.
func (j *Job) GangAttempt() (attempt uint64, started bool) {
	return j.gangAttempt.Attempt, j.gangAttempt.Started
}

// IsGang reports whether the job is a gang: all its tasks run at the same time, or none of them runs.
func (j *Job) IsGang() bool { return j.record.Kind == jobs.Gang }

// SetSpec sets a job's record and everything that is derived from it. spotInUse tells whether the
// autoscaler may use spot machines.
func SetSpec(j *Job, record *jobs.JobRecord, ownDeadlines jobdag.Deadlines, isBackground, spotInUse bool) {
	j.record = *record
	j.need = record.Need()
	j.priority = record.Priority()
	j.ownDeadlines = ownDeadlines
	j.background = isBackground
	UpdateBestEffort(j, time.Now(), spotInUse)
}

// SetJobRevision sets the revision of a job's record, and marks the job as not ended, since only an
// unfinished job has a record.
func SetJobRevision(j *Job, revision uint64) {
	j.revision = revision
	j.ended = false
}

// SetEnded marks a job as ended: done or cancelled.
func SetEnded(j *Job) { j.ended = true }

// UpdateBestEffort determines whether a job is best-effort work now, for Job.IsBestEffort.
func UpdateBestEffort(j *Job, now time.Time, spotInUse bool) {
	j.bestEffort = j.background && j.record.Spot && spotInUse && j.Age(now) < tuning.BackgroundSpotOnlyPeriod
}

// SetDependencyNode sets a job's node in the dependency graph, and reports whether this has changed
// the job's priority.
func SetDependencyNode(j *Job, node *jobdag.Node) (priorityChanged bool) {
	j.dependencyNode = node
	priority := node.Priority(j.record.Priority())
	if priority == j.priority {
		return false
	}
	j.priority = priority
	return true
}

// EndBackground makes a background job a foreground job if it gets a priority above the lowest or a
// deadline from a dependent.
func EndBackground(j *Job) {
	if j.background && (j.priority > 0 || j.dependencyNode.Deadlines().DueMS != jobdag.NoDeadline) {
		j.background, j.bestEffort = false, false
	}
}

// UpdateBlocked returns whether a job is blocked by dependencies, and stores the result for Unblock.
func UpdateBlocked(j *Job) bool {
	j.blockedAtLastCheck = j.dependencyNode.IsBlocked()
	return j.blockedAtLastCheck
}

// Unblock reports whether a job that was blocked by dependencies no longer is. If so, it sets
// Job.KnownSince to now.
func Unblock(j *Job, now time.Time) bool {
	if !j.blockedAtLastCheck || j.dependencyNode.IsBlocked() {
		return false
	}
	j.blockedAtLastCheck, j.knownSince = false, now
	return true
}

// MutableGangAttempt returns a job's current gang attempt for modification.
func MutableGangAttempt(j *Job) *GangAttempt { return &j.gangAttempt }

// BeginGangAttempt begins an attempt to place a gang, under an attempt number.
func BeginGangAttempt(j *Job, attempt uint64) {
	j.gangAttempt = GangAttempt{Attempt: attempt}
	j.gangPlannedAt = time.Now()
}

// TimeSinceGangPlanned returns the time since the last BeginGangAttempt.
func TimeSinceGangPlanned(j *Job) time.Duration { return time.Since(j.gangPlannedAt) }

// AddTaskRange adds a range to its job.
func AddTaskRange(r *TaskRange) { r.job.taskRanges[r.first] = r }

// RemoveTaskRange removes the range whose first task has the number first from a job.
func RemoveTaskRange(j *Job, first int) { delete(j.taskRanges, first) }

// HasTaskRanges reports whether any range of a job is claimed.
func HasTaskRanges(j *Job) bool { return len(j.taskRanges) > 0 }

// IsCurrent reports whether a range still belongs to its job: it was not removed, and not replaced by
// another range with the same first task.
func IsCurrent(r *TaskRange) bool { return r.job.taskRanges[r.first] == r }
