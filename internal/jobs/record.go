package jobs

import (
	"fmt"
	"slices"
	"time"
)

// JobRecord is the durable state of an unfinished job.
type JobRecord struct {
	Spec
	// AcceptedAtMS is the wall-clock time (Unix ms) at which the job was accepted. It determines
	// the job's place in the order of arrival.
	AcceptedAtMS int64 `json:"at"`
	// AcceptedBy is the controller that accepted the job.
	AcceptedBy string `json:"by"`
	// Unclaimed are the tasks that no shard has claimed, in ascending order.
	Unclaimed []TaskInterval `json:"free"`
	// CompletedTasks is the number of tasks in completed ranges whose range records are already
	// deleted. These records are deleted before the job ends because a job may have more of them than
	// one transaction can delete.
	CompletedTasks int `json:"d,omitempty"`
	// WholeClaim is the claim of the whole job by one shard, nil if there is none. If it is set,
	// Unclaimed is empty. Small jobs are claimed in this way because the claim then needs no
	// range record.
	WholeClaim *WholeJobClaim `json:"own,omitempty"`
	// ExcludedFromBatches is set when the cancellation of the job begins. From then on no
	// completion batch may list the job: the end of the job is recorded only under the job's key.
	ExcludedFromBatches bool `json:"sole,omitempty"`
	// DependenciesDoneAtMS is the wall-clock time (Unix ms) at which the last dependency of the job
	// was done. It is written with the first claim, when DependsOn is cleared.
	DependenciesDoneAtMS int64 `json:"rd,omitempty"`
	// ClaimedPerZone is the number of claimed tasks by zone that were not recorded as done when this
	// record was written, for jobs with Spread. Each range of such a job is bound to a zone. Records
	// of earlier versions also count the done tasks of ranges that are deleted.
	ClaimedPerZone map[string]int `json:"pz,omitempty"`
}

// WholeJobClaim is a shard's claim of a whole job.
type WholeJobClaim struct {
	Shard string `json:"share"`
	// Epoch is the shard's epoch at the time of the claim.
	Epoch uint64 `json:"tenure"`
	Count int    `json:"n"`
}

// RangeRecord is the durable state of a claimed range of tasks. The number of the first task is part
// of the record's key.
type RangeRecord struct {
	Shard string `json:"share"`
	Count int    `json:"n"`
	Done  Bitmap `json:"done,omitempty"`
	// Zone is the only zone in which the tasks may run if the job has Spread, else empty.
	Zone string `json:"zone,omitempty"`
	// GangWorkers are the only workers on which tasks of the gang may have been started
	// (docs/recovery.md, "Marks"). If it is empty, any worker of the shard may have started them.
	GangWorkers []string `json:"on,omitempty"`
}

// Validate returns a *ValidationError if the record is inconsistent: it was damaged, or it was written
// by a program version whose records this version does not understand. No decision may be based on
// such a record.
func (r *JobRecord) Validate() error {
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return newValidationError("shifts", "%d", r.Tasks)
	}
	if !isKnownKind(r.Kind) {
		return newValidationError("shape", "unknown %q", r.Kind)
	}
	end := 0
	for i, interval := range r.Unclaimed {
		if interval.First < end || interval.Count < 1 || interval.Count > r.Tasks-interval.First {
			return newValidationError(fmt.Sprintf("free[%d]", i), "%d tasks from task %d on, but the job has %d tasks", interval.Count, interval.First, r.Tasks)
		}
		end = interval.First + interval.Count
	}
	if r.CompletedTasks < 0 || r.CompletedTasks > r.Tasks {
		return newValidationError("d", "%d of %d tasks completed", r.CompletedTasks, r.Tasks)
	}
	if claim := r.WholeClaim; claim != nil && (claim.Shard == "" || claim.Count < 1 || claim.Count > r.Tasks) {
		return newValidationError("own", "%d of %d tasks claimed by shard %q", claim.Count, r.Tasks, claim.Shard)
	}
	return nil
}

// Validate returns a *ValidationError if the record of a range that begins with task first is
// inconsistent.
func (r *RangeRecord) Validate(first int) error {
	switch {
	case r.Shard == "":
		return newValidationError("share", "missing")
	case first < 0 || r.Count < 1 || r.Count > MaxTasks-first:
		return newValidationError("n", "%d tasks from task %d on", r.Count, first)
	}
	return nil
}

// WithDependenciesDone returns the record with its dependencies removed, and with doneAt as the time at
// which the last of them was done. A record that has no dependencies is returned unchanged.
func (r JobRecord) WithDependenciesDone(doneAt time.Time) JobRecord {
	if len(r.DependsOn) > 0 {
		r.DependsOn, r.DependenciesDoneAtMS = nil, doneAt.UnixMilli()
	}
	return r
}

// RunnableSinceMS returns the wall-clock time (Unix ms) since which the job could have run according
// to its record: when it was accepted or, if that is later, when its last dependency was done.
func (r *JobRecord) RunnableSinceMS() int64 { return max(r.AcceptedAtMS, r.DependenciesDoneAtMS) }

// UnclaimedCount returns the number of unclaimed tasks.
func (r *JobRecord) UnclaimedCount() int {
	count := 0
	for _, interval := range r.Unclaimed {
		count += interval.Count
	}
	return count
}

// TaskInterval is a contiguous interval of a job's tasks.
type TaskInterval struct {
	First int `json:"f"`
	Count int `json:"n"`
}

// TakeUnclaimed takes up to count tasks from the first interval. It returns the taken tasks and the
// remaining intervals. The slice unclaimed is not changed and must not be empty.
func TakeUnclaimed(unclaimed []TaskInterval, count int) (takenInterval TaskInterval, rest []TaskInterval) {
	firstInterval := unclaimed[0]
	if count >= firstInterval.Count {
		return firstInterval, slices.Clone(unclaimed[1:])
	}
	rest = slices.Clone(unclaimed)
	rest[0] = TaskInterval{First: firstInterval.First + count, Count: firstInterval.Count - count}
	return TaskInterval{First: firstInterval.First, Count: count}, rest
}

// ReturnUnclaimed adds a returned interval to the unclaimed intervals. The result is in ascending order,
// with adjacent intervals merged. The slice unclaimed is not changed.
func ReturnUnclaimed(unclaimed []TaskInterval, returnedInterval TaskInterval) []TaskInterval {
	intervals := append(slices.Clone(unclaimed), returnedInterval)
	slices.SortFunc(intervals, func(a, b TaskInterval) int { return a.First - b.First })
	mergedIntervals := intervals[:1]
	for _, interval := range intervals[1:] {
		lastInterval := &mergedIntervals[len(mergedIntervals)-1]
		if lastInterval.First+lastInterval.Count == interval.First {
			lastInterval.Count += interval.Count
		} else {
			mergedIntervals = append(mergedIntervals, interval)
		}
	}
	return mergedIntervals
}
