package tuning

import "time"

// Claims of tasks.
const (
	// ClaimAheadPeriod is how far ahead an array's tasks are claimed: as many as the running
	// ones are likely to make room for in this time. Each claim costs changes in the key-value
	// store, and a task that waits in one shard cannot be claimed by another.
	ClaimAheadPeriod = 5 * time.Second
	// UnclaimAfter is how long no task of a range must have found room in its shard before its
	// waiting tasks are unclaimed. It is not shorter than ClaimAheadPeriod.
	UnclaimAfter = 5 * time.Second
	// RangeSplitAfter is the same for tasks in the middle of a range, where a machine was lost:
	// the range is split, which costs one more record. It is well below 90 s, for which no job
	// may wait while there is room.
	RangeSplitAfter = 25 * time.Second
	// MaxRangeTasks is the most tasks of one claimed range. Its bitmap must fit the smallest
	// value size that the store may be set to (1 KiB).
	MaxRangeTasks = 4000
	// MaxSmallJobTasks is the most tasks of an array that is claimed in its own record: they
	// all run in one shard, so few that every shard could run them.
	MaxSmallJobTasks = 4
)

// Writes of completed tasks and jobs.
const (
	// CompletionWriteDelay collects completed tasks into one write. Workers keep the results
	// until it is made, so nothing is lost by waiting; what completes a job is written at once.
	CompletionWriteDelay = 2 * time.Second
	// CompletionBatchInterval collects completed small jobs into one write. Users expect to
	// learn of the end within 3 s.
	CompletionBatchInterval = time.Second
	// MaxCompletionBatchJobs is the most jobs of one completion batch: 400 names of 12 bytes
	// fit a value of 8 KiB. A batch is full earlier if they do not.
	MaxCompletionBatchJobs = 400
	// BatchCleanupInterval is how often one step of the cleanup is made that gives batched jobs
	// final states of their own.
	BatchCleanupInterval = time.Second
	// BatchCleanupChanges is how many changes one step makes at most.
	BatchCleanupChanges = 16
	// BatchCleanupQuietPeriod is how long no job must have been submitted for a step.
	BatchCleanupQuietPeriod = 5 * time.Second
	// BatchCleanupBacklog is the number of batched jobs from which on steps are made in any
	// case: a controller should not have to read more of them at its start.
	BatchCleanupBacklog = 4000
)

// Allocations of quotas.
const (
	// ContendedAllocationReleaseDelay is how long a part of an allocation must be unused in a
	// shard before it is released while the team has unclaimed work: longer than the time
	// between the end of a task and the start of the next in its place.
	ContendedAllocationReleaseDelay = 500 * time.Millisecond
	// AllocationReleaseDelay is the same while the team has none: the next work may arrive in
	// any shard.
	AllocationReleaseDelay = 10 * time.Second
	// QuotaShortfallValidity is how long the shortfall of a shard counts that a scheduling cycle
	// has recorded: while anything changes, the next cycle follows sooner.
	QuotaShortfallValidity = time.Second
)
