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

// Job is an unfinished job, or one that has ended while claimed ranges of it still exist.
type Job struct {
	ref        string
	record     jobs.JobRecord
	revision   uint64
	need       capacity.Resources
	ended      bool
	ranges     map[int]*TaskRange // by their first task
	knownSince time.Time

	inTransaction bool
	// awaitedRevision is the revision at which a transaction of this controller on the job
	// failed its preconditions: what has changed is not known here before the cache of the
	// store has reached it.
	awaitedRevision uint64

	gang          GangAttempt
	gangPlannedAt time.Time // since when the planned gang waits for free resources

	dependencyNode *jobdag.Node // nil: the job has neither dependencies nor dependents
	priority       jobs.Priority
	ownDeadlines   jobdag.Deadlines // without inherited ones, see Deadlines
	blocked        bool             // by dependencies, when SetBlocked or Unblock last looked

	background bool
	bestEffort bool
}

// GangAttempt is one attempt to run a gang: all its tasks run under one attempt number. The zero
// value is no attempt.
type GangAttempt struct {
	Attempt uint64
	// Started is set once a start command was sent for a task.
	Started bool
	// Failed is set once the attempt cannot succeed any more; all its tasks must have left their
	// machines before the next one.
	Failed bool
}

// NewJob returns a job of which nothing but the reference is known.
func NewJob(ref string) *Job {
	return &Job{ref: ref, ranges: map[int]*TaskRange{}, knownSince: time.Now()}
}

// Ref returns the job's reference, which is unique.
func (j *Job) Ref() string { return j.ref }

// Record returns the job's record, for reading only. It is empty as long as only claimed ranges
// of the job are known, see HasRecord.
func (j *Job) Record() *jobs.JobRecord { return &j.record }

// HasRecord reports whether the job's record is known, and not only ranges of it.
func (j *Job) HasRecord() bool { return j.record.Ref != "" }

// Revision returns the revision of the job's record in the key-value store.
func (j *Job) Revision() uint64 { return j.revision }

// Need returns what one task of the job takes.
func (j *Job) Need() capacity.Resources { return j.need }

// HasEnded reports whether the job is done or cancelled.
func (j *Job) HasEnded() bool { return j.ended }

// KnownSince returns when this controller learned of the job, or when the job became unblocked.
func (j *Job) KnownSince() time.Time { return j.knownSince }

// IsBackground reports whether the job is background work, which gets only capacity that no other
// job needs: an array of the lowest priority without a deadline or objective.
func (j *Job) IsBackground() bool { return j.background }

// IsBestEffort reports whether the job is background work for which only spot machines are scaled
// out or kept. It uses free capacity of other machines as long as they are there for other work,
// but avoids surplus ones. After tuning.BackgroundSpotOnlyPeriod it is no longer best-effort work,
// so that it does not wait forever.
func (j *Job) IsBestEffort() bool { return j.bestEffort }

// Priority returns the highest priority among the job and its dependents.
func (j *Job) Priority() jobs.Priority { return j.priority }

// IsBlocked reports whether the job may not run now: it waits for dependencies, or can never run
// since one of them is cancelled. It takes part in no quota, reservation, count or claim then.
func (j *Job) IsBlocked() bool { return j.dependencyNode.IsBlocked() }

// IsRunnable reports whether the job has neither ended nor is blocked by dependencies, so that its
// tasks may be claimed and run.
func (j *Job) IsRunnable() bool { return !j.HasEnded() && !j.IsBlocked() }

// IsCancelledByDependency reports whether the job can never run because a dependency, direct or
// indirect, is cancelled.
func (j *Job) IsCancelledByDependency() bool { return j.dependencyNode.IsCancelledByDependency() }

// DependencyNode returns the job's node in the dependency graph; nil, which is valid to use, if
// it has neither dependencies nor dependents.
func (j *Job) DependencyNode() *jobdag.Node { return j.dependencyNode }

// Deadlines returns the times by which the job should be done for its own sake and for that of
// its dependents.
func (j *Job) Deadlines() jobdag.Deadlines {
	if j.dependencyNode == nil {
		return j.ownDeadlines
	}
	return j.dependencyNode.Deadlines()
}

// RunnableSinceMS returns the time (Unix ms) from which on the job could have run: when it was
// accepted, or when its last dependency was done.
func (j *Job) RunnableSinceMS() int64 {
	if readyAt := j.dependencyNode.ReadyAt(); !readyAt.IsZero() {
		return max(j.record.AcceptedAtMS, readyAt.UnixMilli())
	}
	return j.record.RunnableSinceMS()
}

// RecordWithoutDependencies returns the job's record without its dependencies, all of which must
// be done. Writes of the record by claims, unclaims and compactions start from it.
func (j *Job) RecordWithoutDependencies() jobs.JobRecord {
	return j.record.WithDependenciesDone(time.UnixMilli(j.RunnableSinceMS()))
}

// Age returns the time since the job could have run.
func (j *Job) Age(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-j.RunnableSinceMS()) * time.Millisecond
}

// TaskRanges yields the job's claimed ranges, in no order.
func (j *Job) TaskRanges() iter.Seq[*TaskRange] { return maps.Values(j.ranges) }

// TaskRange returns the range that begins with a task, nil if there is none.
func (j *Job) TaskRange(first int) *TaskRange { return j.ranges[first] }

// HasReadyTasks reports whether some of the job's claimed tasks are ready to be placed.
func (j *Job) HasReadyTasks() bool {
	for _, taskRange := range j.ranges {
		if taskRange.CountTasks(TaskReady) > 0 {
			return true
		}
	}
	return false
}

// OpenTasks returns how many of the job's tasks are claimed, by any shard, and not done.
func (j *Job) OpenTasks() int {
	count := 0
	for _, taskRange := range j.ranges {
		count += taskRange.record.Count - taskRange.DoneTasks()
	}
	return count
}

// Progress returns how many of the job's tasks are durably done, and how many are with workers.
// All open tasks of shards that other controllers own are taken to be with workers.
func (j *Job) Progress() (done, active int) {
	done = j.record.Completed
	for _, taskRange := range j.ranges {
		if taskRange.tentative {
			continue
		}
		done += taskRange.recordedDone
		active += taskRange.activeTasks()
	}
	return done, active
}

// CanWriteAt reports whether a transaction on the job may begin while the cache of the store is at a
// revision: none of this controller's is in flight, and the cache has caught up with the change that
// made the last one fail its preconditions.
func (j *Job) CanWriteAt(revision uint64) bool {
	return !j.inTransaction && j.awaitedRevision <= revision
}

// InTransaction reports whether a transaction of this controller on the job is in flight.
func (j *Job) InTransaction() bool { return j.inTransaction }

// BeginTransaction notes that a transaction on the job begins.
func (j *Job) BeginTransaction() { j.inTransaction = true }

// EndTransaction notes how the job's transaction ended. After failed preconditions the next one
// waits until the cache shows what has changed. Retried before, it would fail again and again: each
// gang that two controllers claimed at the same moment cost six requests and twelve changes for
// nothing.
func (j *Job) EndTransaction(result kvstore.TxnResult, err error) {
	j.inTransaction = false
	if err == nil && !result.Succeeded {
		j.awaitedRevision = max(j.awaitedRevision, result.Revision)
	}
}

// GangAttempt returns the number of the gang's present attempt, 0 if there is none, and whether a
// start command was sent for a task of it.
func (j *Job) GangAttempt() (attempt uint64, started bool) { return j.gang.Attempt, j.gang.Started }

// IsGang reports whether the job is a gang, all of whose tasks run at the same time or not at all.
func (j *Job) IsGang() bool { return j.record.Kind == jobs.Gang }

// SetSpec sets a job's record and all that is derived from it. spotInUse is whether the autoscaler may
// use spot machines.
func SetSpec(j *Job, record *jobs.JobRecord, ownDeadlines jobdag.Deadlines, isBackground, spotInUse bool) {
	j.record = *record
	j.need = record.Need()
	j.priority = record.Priority()
	j.ownDeadlines = ownDeadlines
	j.background = isBackground
	UpdateBestEffort(j, time.Now(), spotInUse)
}

// SetJobRevision sets the revision of a job's record. A job with a record has not ended.
func SetJobRevision(j *Job, revision uint64) {
	j.revision = revision
	j.ended = false
}

// SetEnded notes that a job is done or cancelled.
func SetEnded(j *Job) { j.ended = true }

// UpdateBestEffort determines whether a background job is best-effort work for now.
func UpdateBestEffort(j *Job, now time.Time, spotInUse bool) {
	j.bestEffort = j.background && j.record.Spot && spotInUse && j.Age(now) < tuning.BackgroundSpotOnlyPeriod
}

// SetDependencyNode sets a job's node in the dependency graph and reports whether its priority has
// changed by it.
func SetDependencyNode(j *Job, node *jobdag.Node) (priorityChanged bool) {
	j.dependencyNode = node
	priority := node.Priority(j.record.Priority())
	if priority == j.priority {
		return false
	}
	j.priority = priority
	return true
}

// EndBackground makes a background job an ordinary one if a dependent has a priority or
// deadline.
func EndBackground(j *Job) {
	if j.background && (j.priority > 0 || j.dependencyNode.Deadlines().DueMS != jobdag.NoDeadline) {
		j.background, j.bestEffort = false, false
	}
}

// SetBlocked notes whether a job is blocked by dependencies now, and reports whether it is.
func SetBlocked(j *Job) bool {
	j.blocked = j.dependencyNode.IsBlocked()
	return j.blocked
}

// Unblock reports whether a job that was blocked by dependencies no longer is. It counts as known
// from this moment on.
func Unblock(j *Job, now time.Time) bool {
	if !j.blocked || j.dependencyNode.IsBlocked() {
		return false
	}
	j.blocked, j.knownSince = false, now
	return true
}

// MutableGang returns a job's present gang attempt, to be changed.
func MutableGang(j *Job) *GangAttempt { return &j.gang }

// BeginGangAttempt begins an attempt to place a gang.
func BeginGangAttempt(j *Job, attempt uint64) {
	j.gang = GangAttempt{Attempt: attempt}
	j.gangPlannedAt = time.Now()
}

// GangPlannedFor returns for how long the gang attempt that was begun last has been planned.
func GangPlannedFor(j *Job) time.Duration { return time.Since(j.gangPlannedAt) }

// AddTaskRange adds a range to its job.
func AddTaskRange(r *TaskRange) { r.job.ranges[r.first] = r }

// RemoveTaskRange removes the range that begins with a task from a job.
func RemoveTaskRange(j *Job, first int) { delete(j.ranges, first) }

// HasTaskRanges reports whether any range of a job is claimed.
func HasTaskRanges(j *Job) bool { return len(j.ranges) > 0 }

// IsCurrent reports whether a range is the one that its job knows by its first task.
func IsCurrent(r *TaskRange) bool { return r.job.ranges[r.first] == r }
