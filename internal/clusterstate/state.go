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

// State is the cluster as one controller knows it. It is not safe for concurrent use.
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

	// free counts the tasks that fit into free capacity. freeBelow[p] counts those that would fit
	// if all tasks below priority p were preempted. See FreeCapacity.
	free            *capacity.Table
	freeBelow       [jobs.PriorityCount]*capacity.Table
	changedMachines []*Machine // whose entries in these tables are to be updated

	ownedMachines      []*Machine // see OwnedMachines
	ownedMachinesStale bool       // a machine or the owner of a shard has changed
	// machineCounts is the result of MachineCounts; nil if it is to be computed again.
	machineCounts map[ShardGroup]int

	dirty            bool        // see MarkDirty
	changeCount      uint64      // see ChangeCount
	urgentStops      []*Machine  // see TakeUrgentStops
	failureTimes     []time.Time // when machines were lost, see RecentMachineFailures
	lastJobArrivedAt time.Time
}

// New returns an empty state that uses the given shard table, catalog, statistics and evidence.
func New(cfg *config.Config, shards *membership.Table, machineTypes *machinetype.Catalog, classStats *classstats.Stats,
	attributor *faultattribution.Attributor, log *slog.Logger) *State {
	s := &State{cfg: cfg, log: log, shards: shards, machineTypes: machineTypes, classStats: classStats, attributor: attributor}
	s.dependencies = jobdag.New(jobdag.Config{
		UnfinishedRecord:   s.unfinishedRecord,
		ExpectedRunSeconds: classStats.ExpectedJobSeconds,
		DeadlineMultiple:   cfg.DeadlineMultiple,
		OnChange:           s.updateInherited,
	})
	s.Reset()
	return s
}

// Reset removes all jobs and machines, before the records are read anew.
func (s *State) Reset() {
	s.machines, s.jobs = map[string]*Machine{}, map[string]*Job{}
	s.free = capacity.NewTable()
	for p := range s.freeBelow {
		s.freeBelow[p] = capacity.NewTable()
	}
	s.changedMachines, s.ownedMachines, s.ownedMachinesStale, s.machineCounts = nil, nil, true, nil
	s.dependencies.Reset()
}

// Dependencies returns the dependency graph of the jobs.
func (s *State) Dependencies() *jobdag.Index { return s.dependencies }

// MarkDirty notes that something has changed on which scheduling decisions depend.
func (s *State) MarkDirty() { s.dirty = true }

// IsDirty reports whether anything has changed since ClearDirty on which scheduling decisions
// depend.
func (s *State) IsDirty() bool { return s.dirty }

// ClearDirty notes that a scheduling cycle decides on what is known now.
func (s *State) ClearDirty() { s.dirty = false }

// ChangeCount returns a number that rises with every change of a machine or of the tasks on it.
func (s *State) ChangeCount() uint64 { return s.changeCount }

// Sizes returns the numbers of known jobs and machines.
func (s *State) Sizes() (jobs, machines int) { return len(s.jobs), len(s.machines) }

// Job returns an unfinished job, or one that has ended while claimed ranges of it still exist;
// nil if it is not known.
func (s *State) Job(ref string) *Job { return s.jobs[ref] }

// Jobs yields all known jobs, in no order.
func (s *State) Jobs() iter.Seq[*Job] { return maps.Values(s.jobs) }

// LastJobArrivedAt returns when the last new job became known.
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

// TaskRangesIn yields the ranges that a shard has claimed, in no order; their jobs may have ended.
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
// no other range has taken its place.
func (s *State) IsCurrentTaskRange(taskRange *TaskRange) bool {
	job := taskRange.Job()
	return entity.IsCurrent(taskRange) && s.jobs[job.Ref()] == job && !job.HasEnded()
}
