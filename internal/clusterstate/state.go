package clusterstate

import (
	"iter"
	"log/slog"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate/internal/entity"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
)

// State is one controller's view of the cluster. It is not safe for concurrent use.
type State struct {
	cfg          *config.Config
	log          *slog.Logger
	shards       *membership.Table
	machineTypes *machinetype.Catalog
	classStats   *classstats.Stats
	attributor   *faultattribution.Attributor
	dependencies *jobdag.Index

	machines map[string]*Machine
	jobs     map[string]*Job

	// freeCapacity counts the tasks that fit into free capacity. freeCapacityBelow[p] counts the
	// tasks that would fit if all tasks of priorities lower than p were preempted. FreeCapacity updates
	// these tables.
	freeCapacity      *capacity.Table
	freeCapacityBelow [jobs.PriorityCount]*capacity.Table
	changedMachines   []*Machine // machines whose entries in these tables have to be updated

	ownedMachines      []*Machine // cached result of OwnedMachines
	ownedMachinesStale bool       // ownedMachines is outdated: a machine or the owner of a shard has changed
	// machineCounts is the cached result of MachineCounts; nil if it has to be computed again.
	machineCounts map[ShardGroup]int

	dirty            bool        // result of IsDirty
	changeCount      uint64      // result of ChangeCount
	urgentStops      []*Machine  // next result of TakeUrgentStops
	failureTimes     []time.Time // when machines were lost, for RecentMachineFailureCount
	lastJobArrivedAt time.Time
}

// New returns an empty state that uses the given shard table, machine type catalog, class statistics
// and fault attributor.
func New(cfg *config.Config, shards *membership.Table, machineTypes *machinetype.Catalog, classStats *classstats.Stats,
	attributor *faultattribution.Attributor, log *slog.Logger) *State {
	s := &State{cfg: cfg, log: log, shards: shards, machineTypes: machineTypes, classStats: classStats, attributor: attributor}
	s.dependencies = jobdag.New(jobdag.Config{
		UnfinishedRecord:   s.unfinishedRecord,
		ExpectedRunSeconds: classStats.ExpectedJobSeconds,
		DeadlineMultiple:   cfg.DeadlineMultiple,
		OnChange:           s.updateDependencyState,
	})
	s.Reset()
	return s
}

// Reset removes all jobs and machines. It is called before all records are read again.
func (s *State) Reset() {
	s.machines, s.jobs = map[string]*Machine{}, map[string]*Job{}
	s.freeCapacity = capacity.NewTable()
	for p := range s.freeCapacityBelow {
		s.freeCapacityBelow[p] = capacity.NewTable()
	}
	s.changedMachines, s.ownedMachines, s.ownedMachinesStale, s.machineCounts = nil, nil, true, nil
	s.dependencies.Reset()
}

// Dependencies returns the dependency graph of the jobs.
func (s *State) Dependencies() *jobdag.Index { return s.dependencies }

// MarkDirty marks the state as changed in a way that scheduling decisions depend on.
func (s *State) MarkDirty() { s.dirty = true }

// IsDirty reports whether anything that scheduling decisions depend on has changed since the last
// ClearDirty.
func (s *State) IsDirty() bool { return s.dirty }

// ClearDirty resets IsDirty at the start of a scheduling cycle, which takes all changes so far into
// account.
func (s *State) ClearDirty() { s.dirty = false }

// ChangeCount returns a counter that increases with every change of a machine or of the tasks on it.
func (s *State) ChangeCount() uint64 { return s.changeCount }

// Sizes returns the number of known jobs and the number of known machines.
func (s *State) Sizes() (jobs, machines int) { return len(s.jobs), len(s.machines) }

// Job returns the job with a reference: an unfinished job, or an ended job that still has claimed
// ranges. It returns nil if the job is not known.
func (s *State) Job(ref string) *Job { return s.jobs[ref] }

// Jobs yields all known jobs, in no order.
func (s *State) Jobs() iter.Seq[*Job] { return maps.Values(s.jobs) }

// LastJobArrivedAt returns when this controller last learned of a new job.
func (s *State) LastJobArrivedAt() time.Time { return s.lastJobArrivedAt }

// FindTask returns the range that contains a job's task, and the task's number within the range.
// It returns nil if the job has ended, or if no shard owned here has durably claimed the task.
func (s *State) FindTask(ref string, task int) (taskRange *TaskRange, index int) {
	job := s.jobs[ref]
	if job == nil || job.HasEnded() {
		return nil, 0
	}
	for taskRange := range job.TaskRanges() {
		index := task - taskRange.First()
		isInRange := index >= 0 && index < taskRange.Len()
		if isInRange && taskRange.IsOwned() && !taskRange.IsTentative() {
			return taskRange, index
		}
	}
	return nil, 0
}

// TaskRangesIn yields the ranges that a shard has claimed, in no order. Their jobs may have ended.
func (s *State) TaskRangesIn(shard string) iter.Seq[*TaskRange] {
	return func(yield func(*TaskRange) bool) {
		for _, job := range s.jobs {
			for taskRange := range job.TaskRanges() {
				if taskRange.Record().Shard == shard && !yield(taskRange) {
					return
				}
			}
		}
	}
}

// IsCurrentTaskRange reports whether a range is still part of the state: its job has not ended, and
// the range was not removed or replaced by another one.
func (s *State) IsCurrentTaskRange(taskRange *TaskRange) bool {
	job := taskRange.Job()
	return entity.IsCurrent(taskRange) && s.jobs[job.Ref()] == job && !job.HasEnded()
}
