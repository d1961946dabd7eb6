package clusterstate

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// Tasks from the plan to the end.

// FindTask finds a task of a range of ours, and its number there; nil if there is none.
func (b *State) FindTask(ref string, i int) (r *TaskRange, at int) {
	j := b.jobs[ref]
	if j == nil || j.ended {
		return nil, 0
	}
	for _, r := range j.ranges {
		if r.tasks != nil && !r.tentative && i >= r.first && i < r.first+len(r.tasks) {
			return r, i - r.first
		}
	}
	return nil, 0
}

// NewTentativeRange is a claim of a job's tasks that is not durable yet, and not in the books
// until it is entered; its tasks may be placed.
func (b *State) NewTentativeRange(j *Job, shard *membership.Shard, span jobs.TaskInterval, zone string) *TaskRange {
	r := &TaskRange{job: j, first: span.First, tentative: true,
		record: jobs.RangeRecord{Shard: shard.ID(), Count: span.Count, Zone: zone}}
	r.reset(true, TaskReady)
	return r
}

// AddTentativeRange books a tentative claim; inline is whether it is made in the job's own record.
func (b *State) AddTentativeRange(r *TaskRange, inline bool) {
	r.inline, r.job.ranges[r.first] = inline, r
}

// AbandonTentativeRange takes a tentative claim out of the books that was not made: its tasks leave
// their places.
func (b *State) AbandonTentativeRange(r *TaskRange) {
	j := r.job
	if j.ranges[r.first] == r && r.tentative {
		b.UnplaceRange(r)
		delete(j.ranges, r.first)
		b.removeIfEnded(j)
	}
	j.gang = gangAttempt{}
	b.dirty = true
}

// UnplaceRange takes the tasks of a range off their machines that were only planned there.
func (b *State) UnplaceRange(r *TaskRange) {
	for _, s := range r.preemptions {
		s.preemptedFor = nil
		b.markChanged(s.machine)
	}
	r.preemptions = nil
	for i := range r.tasks {
		if s := r.tasks[i].assignment; s != nil {
			b.Unplace(s)
		}
	}
}

// Place plans a task on a machine.
func (b *State) Place(r *TaskRange, i int, m *Machine, attempt uint64) *Assignment {
	j := r.job
	s := &Assignment{machine: m, name: jobs.TaskName(j.ref, r.first+i), taskRange: r, index: i, attempt: attempt, need: j.need, checkpointS: j.record.CheckpointIntervalSeconds}
	m.assignments[s.name] = s
	r.setTask(i, TaskPlaced, s)
	r.lastPlacedAt = time.Now()
	b.markChanged(m)
	return s
}

// Unplace frees a task whose slot is certainly on no machine (any more).
func (b *State) Unplace(s *Assignment) {
	if s.machine.assignments[s.name] == s {
		delete(s.machine.assignments, s.name)
	}
	if s.taskRange != nil && s.index < len(s.taskRange.tasks) && s.taskRange.tasks[s.index].assignment == s {
		s.taskRange.setTask(s.index, TaskReady, nil)
		if gang := &s.taskRange.job.gang; s.taskRange.job.record.Kind == jobs.Gang && gang.started && s.attempt == gang.attempt {
			gang.failed = true
		}
	}
	b.markChanged(s.machine)
}

// abandonAssignment stops a slot whose task is of no interest any more.
func (b *State) abandonAssignment(s *Assignment) {
	if s.status.IsPlanned() {
		s.taskRange = nil
		b.Unplace(s)
		return
	}
	s.taskRange = nil
	b.markChanged(s.machine) // Halt does not if it stops already
	b.Stop(s, 0)
	if !s.status.HasStarted() || s.machine.flags.heartbeatOverdue {
		b.urgentStops = append(b.urgentStops, s.machine)
	}
}

// TakeUrgentStops are the machines, since it was last asked for, on which a task is to be stopped for
// good that has perhaps not begun, or that do not report: they are told at once.
func (b *State) TakeUrgentStops() []*Machine {
	out := b.urgentStops
	b.urgentStops = nil
	return out
}

// Stop marks a slot to be stopped, with so many seconds to save. More grace than before
// is never given.
func (b *State) Stop(s *Assignment, graceS float64) {
	if s.status.Stopping && graceS >= s.status.GraceS {
		return
	}
	s.status.Stopping, s.status.GraceS, s.status.StopSent = true, graceS, false
	b.markChanged(s.machine)
}

// PreemptFor stops a task for those of a claim, when that is durable: of two controllers that claim a
// job at the same moment, the one whose claim failed had stopped work for nothing: 248 tasks for 160
// urgent ones over slow links.
func (b *State) PreemptFor(r *TaskRange, s *Assignment) {
	if !r.tentative || s.status.IsPlanned() {
		b.Preempt(s)
		return
	}
	s.preemptedFor, r.preemptions = r, append(r.preemptions, s)
	b.markChanged(s.machine)
}

// executePreemptions stops what a claim displaces: it is durable.
func (b *State) executePreemptions(r *TaskRange) {
	for _, s := range r.preemptions {
		if s.preemptedFor = nil; s.machine.assignments[s.name] == s {
			b.Preempt(s)
		}
		b.markChanged(s.machine)
	}
	r.preemptions = nil
}

// Preempt stops a task for another.
func (b *State) Preempt(s *Assignment) {
	switch {
	case s.status.IsPlanned():
		b.Unplace(s)
	case s.taskRange != nil && s.taskRange.job.record.Kind == jobs.Gang:
		b.StopGang(s.taskRange.job)
	default:
		b.Stop(s, 0)
	}
}

// MarkStopSent notes that a halt was ordered.
func (b *State) MarkStopSent(s *Assignment) { s.status.StopSent, s.machine.usageStale = true, true }

// MarkStartSent notes that a launch was ordered.
func (b *State) MarkStartSent(s *Assignment) { s.status.StartSent, s.machine.usageStale = true, true }

// ClearStartSent notes that an order never arrived, or that its session was over.
func (b *State) ClearStartSent(s *Assignment) { s.status.StartSent = false }

// UpdateStatus notes what a worker says of a task; it tells whether that is what is known.
func (b *State) UpdateStatus(s *Assignment, status string, now time.Time) (same bool) {
	same = s.status.Reported && s.status.WorkerStatus == status
	if status == workerapi.StatusRunning && s.status.WorkerStatus != workerapi.StatusRunning {
		s.status.RunningSince = now
	}
	s.status.Reported, s.status.StartSent, s.status.WorkerStatus = true, true, status
	if status != workerapi.StatusPulling && s.taskRange != nil {
		s.machine.images[s.taskRange.job.record.Image] = true
	}
	return same
}

// TaskLookup is what is recorded of a task that a worker lists and that has no place there.
type TaskLookup struct {
	JobKnown        bool // its job is known and has a record here
	JobEnded        bool // the job is done or cancelled
	IsClaimed       bool // the worker's share has claimed it
	IsFinished      bool // it is done already
	PlacedElsewhere bool // it has a place on another worker
	ReportedDone    bool // it is done by what the worker says
}

// LookupTask looks a task up that a worker lists.
func (b *State) LookupTask(m *Machine, entry workerapi.TaskStatus) TaskLookup {
	lookup := TaskLookup{ReportedDone: entry.Status == workerapi.StatusEnded && entry.Cause == workerapi.CauseDone}
	ref, i, ok := jobs.ParseTask(entry.Task)
	j := b.jobs[ref]
	if !ok || j == nil {
		return lookup
	}
	lookup.JobKnown, lookup.JobEnded = j.HasRecord(), j.ended
	if r, at := b.FindTask(ref, i); r != nil && r.record.Shard == m.record.Shard {
		state := r.tasks[at].state
		lookup.IsClaimed, lookup.IsFinished, lookup.PlacedElsewhere = true, state == TaskFinished, state == TaskPlaced
	}
	return lookup
}

// Adopt books a task that a worker runs and that has no place there. If it does not stay
// it only takes its room until it has stopped.
func (b *State) Adopt(m *Machine, entry workerapi.TaskStatus, stays bool) *Assignment {
	s := &Assignment{machine: m, name: entry.Task, attempt: entry.Attempt, status: AssignmentStatus{StartSent: true, Reported: true, WorkerStatus: entry.Status}}
	m.assignments[entry.Task] = s
	ref, i, _ := jobs.ParseTask(entry.Task)
	if j := b.jobs[ref]; j != nil {
		s.need, s.checkpointS = j.need, j.record.CheckpointIntervalSeconds
	}
	r, at := b.FindTask(ref, i)
	if !stays || r == nil {
		if r != nil && r.record.Shard == m.record.Shard && r.tasks[at].state == TaskPlaced {
			b.log.Error("task reported on a second worker", "task", entry.Task, "worker", m.host,
				"attempt", entry.Attempt, "other", r.tasks[at].assignment.machine.host)
		}
		s.status.Stopping = true
		return s
	}
	s.taskRange, s.index = r, at
	r.setTask(at, TaskPlaced, s)
	if gang := &r.job.gang; r.job.record.Kind == jobs.Gang {
		switch {
		case gang.attempt == 0 || !gang.started:
			*gang = gangAttempt{attempt: entry.Attempt, started: true}
		case gang.attempt != entry.Attempt:
			gang.failed = true
		}
	}
	return s
}

// PreviousAssignment is a task on a machine as the holder of its share before knew it.
type PreviousAssignment struct {
	workerapi.TaskStatus
	Progress AssignmentStatus
	RanFor   time.Duration // 0: not known to run
}

// RestoreAssignment books a task as the holder before had it. If it does not stay it is only to be
// stopped.
func (b *State) RestoreAssignment(m *Machine, x PreviousAssignment, stays bool, now time.Time) {
	if x.Progress.IsPlanned() && !stays {
		return // nobody was told of it: to be stopped, it would keep its room for ever
	}
	s := b.Adopt(m, x.TaskStatus, stays)
	stop := s.status.Stopping
	if s.status = x.Progress; stop && !s.status.Stopping {
		s.status.Stopping, s.status.StopSent = true, false
	}
	if x.RanFor > 0 {
		s.status.RunningSince = now.Add(-x.RanFor)
	}
	if s.taskRange != nil && x.Progress.Reported && x.Progress.WorkerStatus != workerapi.StatusPulling {
		m.images[s.taskRange.job.record.Image] = true
	}
	b.markChanged(m)
}

// RemoveExited takes a task that is done off its machine. Until it is marked so it has no
// place; see MarkDone.
func (b *State) RemoveExited(s *Assignment) {
	s.status.Reported = true
	delete(s.machine.assignments, s.name)
	b.markChanged(s.machine)
}

// MarkDone notes that a task is done; s is the slot that it left, if any.
func (b *State) MarkDone(r *TaskRange, i int, s *Assignment) {
	if s != nil && r.tasks[i].assignment == s {
		r.setTask(i, TaskReady, nil)
	}
	b.markDone(r, i)
}

func (b *State) markDone(r *TaskRange, i int) {
	if r.tasks[i].state == TaskFinished {
		return
	}
	if s := r.tasks[i].assignment; s != nil {
		b.abandonAssignment(s)
	}
	r.setTask(i, TaskFinished, nil)
	r.unrecordedDone[i] = true
	if r.unrecordedSince.IsZero() {
		r.unrecordedSince = time.Now()
	}
	if r.job.record.Kind == jobs.Gang {
		// A gang completes together: when one task is done, all are.
		for _, o := range r.job.ranges {
			for k := range o.tasks {
				b.markDone(o, k)
			}
		}
	}
	b.dirty = true
}

// The tries of gangs: all tasks run under one attempt number, or none.

// BeginGangAttempt notes that a gang is to be placed with an attempt number.
func (b *State) BeginGangAttempt(j *Job, attempt uint64) {
	j.gang, j.gangPlannedAt = gangAttempt{attempt: attempt}, time.Now()
}

// ResetGangAttempt forgets a gang's try: its tasks are given back.
func (b *State) ResetGangAttempt(j *Job) { j.gang = gangAttempt{} }

// GangAttempt is the attempt number of a gang's try; started is whether some task of it was
// told to start.
func (j *Job) GangAttempt() (attempt uint64, started bool) { return j.gang.attempt, j.gang.started }

// StartGang notes that a task of a gang is told to start; first is whether it is the
// first of them.
func (b *State) StartGang(j *Job) (first bool) {
	first = !j.gang.started
	j.gang.started = true
	return first
}

// StopGang stops all tasks of a gang with time to save.
func (b *State) StopGang(j *Job) {
	j.gang.failed = true
	b.stopGangTasks(j, j.record.CheckpointSaveSeconds+b.cfg.Cluster.Workers.GangPeerS)
}

// stopGangTasks stops what is left of a gang; tasks that are stopping already keep
// the time they were given.
func (b *State) stopGangTasks(j *Job, graceS float64) {
	for _, r := range j.ranges {
		for i := range r.tasks {
			s := r.tasks[i].assignment
			switch {
			case s == nil:
			case s.status.IsPlanned():
				b.Unplace(s)
			case !s.status.Stopping:
				b.Stop(s, graceS)
			}
		}
	}
}

// GangCanStart tells whether a gang's tasks may be told to start: a gang starts
// only when all its tasks fit in one round.
func (b *State) GangCanStart(j *Job) bool {
	if j.gang.failed {
		return false
	}
	if j.gang.started {
		return true
	}
	wants := map[*Machine]capacity.Resources{}
	for _, r := range j.ranges {
		if !r.hostsRecorded() {
			return false
		}
		for i := range r.tasks {
			s := r.tasks[i].assignment
			if s == nil {
				return false
			}
			wants[s.machine] = wants[s.machine].Add(s.need)
		}
	}
	for m, v := range wants {
		if !b.FreeNow(m).Covers(v) {
			return false
		}
	}
	return true
}

// StopFailedGang ends a failed try of a gang, if this is one: what is left of it has to go
// before the next.
func (b *State) StopFailedGang(j *Job) {
	if j.record.Kind != jobs.Gang {
		return
	}
	gang := &j.gang
	slots, ready, unsure := 0, 0, 0
	for _, r := range j.ranges {
		slots += r.taskCounts[TaskPlaced]
		ready += r.taskCounts[TaskReady]
		unsure += r.taskCounts[TaskUnknown]
	}
	if slots == 0 {
		if unsure == 0 {
			*gang = gangAttempt{}
		}
		return
	}
	if ready > 0 {
		// Some are placed and some are not: it has lost a machine. A gang that was
		// still waiting for room then was left as it was: it never started, and held
		// the places of its other tasks for ever.
		gang.failed = true
	}
	if !gang.started && ready == 0 && time.Since(j.gangPlannedAt) > tuning.MaxPreemptionWait {
		gang.failed = true // the room it waited for did not come
	}
	if gang.failed {
		b.stopGangTasks(j, 0)
	}
}
