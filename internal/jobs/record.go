package jobs

import (
	"fmt"
	"slices"
	"time"
)

// JobRecord is the durable state of an unfinished job.
type JobRecord struct {
	Spec
	// AcceptedAtMS is the time of day (Unix ms) of the acceptance; it gives the order of
	// arrival.
	AcceptedAtMS int64 `json:"at"`
	// AcceptedBy is the controller that accepted the job.
	AcceptedBy string `json:"by"`
	// Unclaimed are the tasks that no shard has claimed, in order.
	Unclaimed []TaskInterval `json:"free"`
	// Completed counts the tasks of ranges that were completed and deleted: a job may be
	// claimed in more ranges than one transaction can name.
	Completed int `json:"d,omitempty"`
	// WholeClaim is the claim of the whole job by one shard; Unclaimed is empty then. Small
	// jobs are claimed so, which saves the record of a range.
	WholeClaim *WholeJobClaim `json:"own,omitempty"`
	// ExcludedFromBatches means that the end of the job is written to its own record only,
	// never to a completion batch: the job is being cancelled.
	ExcludedFromBatches bool `json:"sole,omitempty"`
	// DependenciesDoneAtMS is the time of day (Unix ms) at which the last job was done on which
	// this one depends. It is written with the first claim, when DependsOn is cleared.
	DependenciesDoneAtMS int64 `json:"rd,omitempty"`
	// ClaimedPerZone counts claimed tasks by zone for jobs with Spread. Their ranges are bound
	// to a zone, so that shards need not know each other's tasks.
	ClaimedPerZone map[string]int `json:"pz,omitempty"`
}

// WholeJobClaim is a shard's claim of a whole job.
type WholeJobClaim struct {
	Shard string `json:"share"`
	// Epoch is the shard's epoch in which the job was claimed.
	Epoch uint64 `json:"tenure"`
	Count int    `json:"n"`
}

// RangeRecord is the durable state of a claimed range of tasks. The first task's number stands
// in its key.
type RangeRecord struct {
	Shard string `json:"share"`
	Count int    `json:"n"`
	Done  Bitmap `json:"done,omitempty"`
	// Zone binds the tasks of a job with Spread.
	Zone string `json:"zone,omitempty"`
	// GangWorkers are the only workers on which a gang's tasks may have been started
	// (docs/recovery.md, "Marks"). Empty: any worker of the shard.
	GangWorkers []string `json:"on,omitempty"`
}

// Validate returns a *ValidationError if the record cannot be right: it was damaged, or written by a
// version that this one does not understand. Nothing may be decided by its contents then.
func (r *JobRecord) Validate() error {
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return invalid("shifts", "%d", r.Tasks)
	}
	if !isKind(r.Kind) {
		return invalid("shape", "unknown %q", r.Kind)
	}
	end := 0
	for i, interval := range r.Unclaimed {
		if interval.First < end || interval.Count < 1 || interval.Count > r.Tasks-interval.First {
			return invalid(fmt.Sprintf("free[%d]", i), "%d tasks from %d on, of %d", interval.Count, interval.First, r.Tasks)
		}
		end = interval.First + interval.Count
	}
	if r.Completed < 0 || r.Completed > r.Tasks {
		return invalid("d", "%d of %d tasks", r.Completed, r.Tasks)
	}
	if claim := r.WholeClaim; claim != nil && (claim.Shard == "" || claim.Count < 1 || claim.Count > r.Tasks) {
		return invalid("own", "%d of %d tasks, for %q", claim.Count, r.Tasks, claim.Shard)
	}
	return nil
}

// Validate returns a *ValidationError if the record of a range that begins with the given task
// cannot be right.
func (r *RangeRecord) Validate(first int) error {
	switch {
	case r.Shard == "":
		return invalid("share", "missing")
	case first < 0 || r.Count < 1 || r.Count > MaxTasks-first:
		return invalid("n", "%d tasks from %d on", r.Count, first)
	}
	return nil
}

// WithDependenciesDone returns the record of a job whose dependencies were done at a time.
func (r JobRecord) WithDependenciesDone(doneAt time.Time) JobRecord {
	if len(r.DependsOn) > 0 {
		r.DependsOn, r.DependenciesDoneAtMS = nil, doneAt.UnixMilli()
	}
	return r
}

// RunnableSinceMS returns the time of day (Unix ms) since when the job could have run as far as
// its record shows: its acceptance, or when its last dependency was done.
func (r *JobRecord) RunnableSinceMS() int64 { return max(r.AcceptedAtMS, r.DependenciesDoneAtMS) }

// UnclaimedCount returns the number of unclaimed tasks.
func (r *JobRecord) UnclaimedCount() int {
	count := 0
	for _, interval := range r.Unclaimed {
		count += interval.Count
	}
	return count
}

// TaskInterval is an interval of a job's tasks.
type TaskInterval struct {
	First int `json:"f"`
	Count int `json:"n"`
}

// TakeUnclaimed takes up to count tasks from the first interval. It returns them and the
// remaining intervals; the argument is not changed and must not be empty.
func TakeUnclaimed(unclaimed []TaskInterval, count int) (taken TaskInterval, rest []TaskInterval) {
	first := unclaimed[0]
	if count >= first.Count {
		return first, slices.Clone(unclaimed[1:])
	}
	rest = slices.Clone(unclaimed)
	rest[0] = TaskInterval{First: first.First + count, Count: first.Count - count}
	return TaskInterval{First: first.First, Count: count}, rest
}

// ReturnUnclaimed returns the intervals with one more, in order and with neighbours joined. The
// argument is not changed.
func ReturnUnclaimed(unclaimed []TaskInterval, returned TaskInterval) []TaskInterval {
	all := append(slices.Clone(unclaimed), returned)
	slices.SortFunc(all, func(a, b TaskInterval) int { return a.First - b.First })
	joined := all[:1]
	for _, interval := range all[1:] {
		last := &joined[len(joined)-1]
		if last.First+last.Count == interval.First {
			last.Count += interval.Count
		} else {
			joined = append(joined, interval)
		}
	}
	return joined
}
