package tuning

import "time"

// Claims of tasks.
const (
	// ClaimAheadPeriod is the period for which tasks of an array are claimed before there is
	// capacity for them: as many tasks as the array's running tasks are likely to make room for in
	// this period. A longer period would save claims, each of which costs changes in the key-value
	// store, but a task that waits in one shard cannot be claimed by another.
	ClaimAheadPeriod = 5 * time.Second
	// UnclaimAfter is the time since the last placement of a task of a range after which
	// the tasks of the range that wait for capacity are unclaimed. It is not shorter than
	// ClaimAheadPeriod, in which capacity is expected.
	UnclaimAfter = 5 * time.Second
	// RangeSplitAfter replaces UnclaimAfter for tasks in the middle of a range, which wait for
	// capacity because their machine was lost. Unclaiming them splits the range, which costs one
	// more record. The value is well below 90 s, the longest time that a job may wait while there
	// is free capacity.
	RangeSplitAfter = 25 * time.Second
	// MaxRangeTasks is the maximum number of tasks in one claimed range. The bitmap of the
	// range must fit the smallest value size to which the store may be set (1 KiB).
	MaxRangeTasks = 4000
	// MaxSmallJobTasks is the maximum number of tasks of an array that is claimed in its own
	// record. All of them run in one shard, so they must be few enough for every shard.
	MaxSmallJobTasks = 4
)

// Writes of completed tasks and jobs.
const (
	// CompletionWriteDelay is how long completed tasks are collected into one write. Workers
	// keep the results until the write is made, so waiting loses nothing. The write that
	// completes a job is made at once.
	CompletionWriteDelay = 2 * time.Second
	// CompletionBatchInterval is how long completed small jobs are collected into one write.
	// Users expect to learn of the end of a job within 3 s.
	CompletionBatchInterval = time.Second
	// MaxCompletionBatchJobs is the maximum number of jobs in one completion batch: 400 names
	// of 12 bytes fit a value of 8 KiB. With longer names a batch is full earlier.
	MaxCompletionBatchJobs = 400
	// BatchCleanupInterval is how often a cleanup step runs. The cleanup replaces the entries of
	// completion batches by one final state for each job.
	BatchCleanupInterval = time.Second
	// BatchCleanupChanges is the maximum number of changes in one cleanup step.
	BatchCleanupChanges = 16
	// BatchCleanupQuietPeriod is the time without submissions after which cleanup steps run.
	BatchCleanupQuietPeriod = 5 * time.Second
	// BatchCleanupBacklog is the number of batched jobs at which cleanup steps run even while jobs
	// are submitted. It limits how many batched jobs a controller has to read when it starts.
	BatchCleanupBacklog = 4000
)

// Allocations of quotas.
const (
	// ContendedAllocationReleaseDelay applies while the team has unclaimed work: it is how long a
	// part of an allocation must be unused in a shard before that part is released. It is longer
	// than the time between the end of a task and the start of the next one in its place.
	ContendedAllocationReleaseDelay = 500 * time.Millisecond
	// AllocationReleaseDelay replaces ContendedAllocationReleaseDelay while the team has no
	// unclaimed work: its next work may arrive in any shard.
	AllocationReleaseDelay = 10 * time.Second
	// QuotaShortfallValidity is how long the quota that a scheduling cycle found missing in a shard
	// counts as missing. While the cluster state keeps changing, the next cycle updates the missing
	// amount sooner.
	QuotaShortfallValidity = time.Second
)
