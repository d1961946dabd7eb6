package books

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Tasks from the plan to the end.

// Task finds a task of a range of ours, and its number there; nil if there is none.
func (b *Books) Task(ref string, i int) (r *Range, at int) {
	j := b.jobs[ref]
	if j == nil || j.over {
		return nil, 0
	}
	for _, r := range j.ranges {
		if r.tasks != nil && !r.tentative && i >= r.first && i < r.first+len(r.tasks) {
			return r, i - r.first
		}
	}
	return nil, 0
}

// Tentative is a claim of a job's tasks that is not durable yet, and not in the books
// until it is entered; its tasks may be placed.
func (b *Books) Tentative(j *Job, s *membership.Share, span jobs.Span, zone string) *Range {
	r := &Range{job: j, first: span.First, tentative: true,
		rec: jobs.Range{Share: s.ID(), N: span.N, Zone: zone}}
	r.load(true, Ready)
	return r
}

// Enter books a tentative claim; inline is whether it is made in the job's own record.
func (b *Books) Enter(r *Range, inline bool) { r.inline, r.job.ranges[r.first] = inline, r }

// GiveUp takes a tentative claim out of the books that was not made: its tasks leave
// their places.
func (b *Books) GiveUp(r *Range) {
	j := r.job
	if j.ranges[r.first] == r && r.tentative {
		b.TakeOff(r)
		delete(j.ranges, r.first)
		b.forgetOver(j)
	}
	j.gang = gangRun{}
	b.touched = true
}

// TakeOff takes the tasks of a range off their machines that were only planned there.
func (b *Books) TakeOff(r *Range) {
	for _, s := range r.prey {
		s.prey = nil
		b.recount(s.m)
	}
	r.prey = nil
	for i := range r.tasks {
		if s := r.tasks[i].slot; s != nil {
			b.Unplace(s)
		}
	}
}

// Place plans a task on a machine.
func (b *Books) Place(r *Range, i int, m *Machine, try uint64) *Slot {
	j := r.job
	s := &Slot{m: m, name: jobs.TaskName(j.ref, r.first+i), r: r, i: i, try: try, need: j.need, ckpt: j.rec.CheckpointS}
	m.slots[s.name] = s
	r.put(i, Placed, s)
	r.placed = time.Now()
	b.recount(m)
	return s
}

// Unplace frees a task whose slot is certainly on no machine (any more).
func (b *Books) Unplace(s *Slot) {
	if s.m.slots[s.name] == s {
		delete(s.m.slots, s.name)
	}
	if s.r != nil && s.i < len(s.r.tasks) && s.r.tasks[s.i].slot == s {
		s.r.put(s.i, Ready, nil)
		if g := &s.r.job.gang; s.r.job.rec.Kind == jobs.Gang && g.started && s.try == g.try {
			g.broken = true
		}
	}
	b.recount(s.m)
}

// disown stops a slot whose task is of no interest any more.
func (b *Books) disown(s *Slot) {
	if s.is.Planned() {
		s.r = nil
		b.Unplace(s)
		return
	}
	s.r = nil
	b.recount(s.m) // Halt does not if it stops already
	b.Halt(s, 0)
	if !s.is.Begun() || s.m.is.Overdue {
		b.calledOff = append(b.calledOff, s.m)
	}
}

// CalledOff are the machines, since it was last asked for, on which a task is to be stopped for
// good that has perhaps not begun, or that do not report: they are told at once.
func (b *Books) CalledOff() []*Machine {
	out := b.calledOff
	b.calledOff = nil
	return out
}

// Halt marks a slot to be stopped, with so many seconds to save. More grace than before
// is never given.
func (b *Books) Halt(s *Slot, leeway float64) {
	if s.is.Stop && leeway >= s.is.Leeway {
		return
	}
	s.is.Stop, s.is.Leeway, s.is.Halted = true, leeway, false
	b.recount(s.m)
}

// Displace stops a task for those of a claim, when that is durable: of two controllers that claim a
// job at the same moment, the one whose claim failed had stopped work for nothing: 248 tasks for 160
// urgent ones over slow links.
func (b *Books) Displace(r *Range, s *Slot) {
	if !r.tentative || s.is.Planned() {
		b.Preempt(s)
		return
	}
	s.prey, r.prey = r, append(r.prey, s)
	b.recount(s.m)
}

// stopPrey stops what a claim displaces: it is durable.
func (b *Books) stopPrey(r *Range) {
	for _, s := range r.prey {
		if s.prey = nil; s.m.slots[s.name] == s {
			b.Preempt(s)
		}
		b.recount(s.m)
	}
	r.prey = nil
}

// Preempt stops a task for another.
func (b *Books) Preempt(s *Slot) {
	switch {
	case s.is.Planned():
		b.Unplace(s)
	case s.r != nil && s.r.job.rec.Kind == jobs.Gang:
		b.StopGang(s.r.job)
	default:
		b.Halt(s, 0)
	}
}

// HaltSent notes that a halt was ordered.
func (b *Books) HaltSent(s *Slot) { s.is.Halted, s.m.stale = true, true }

// LaunchSent notes that a launch was ordered.
func (b *Books) LaunchSent(s *Slot) { s.is.Sent, s.m.stale = true, true }

// Resend notes that an order never arrived, or that its session was over.
func (b *Books) Resend(s *Slot) { s.is.Sent = false }

// Shows notes what a worker says of a task; it tells whether that is what is known.
func (b *Books) Shows(s *Slot, status string, now time.Time) (same bool) {
	same = s.is.Seen && s.is.Status == status
	if status == worker.Running && s.is.Status != worker.Running {
		s.is.Since = now
	}
	s.is.Seen, s.is.Sent, s.is.Status = true, true, status
	if status != worker.Pulling && s.r != nil {
		s.m.images[s.r.job.rec.Image] = true
	}
	return same
}

// Finding is what is recorded of a task that a worker lists and that has no place there.
type Finding struct {
	Job       bool // its job is known and has a record here
	Over      bool // the job is done or cancelled
	Claimed   bool // the worker's share has claimed it
	Finished  bool // it is done already
	Elsewhere bool // it has a place on another worker
	Ended     bool // it is done by what the worker says
}

// Find looks a task up that a worker lists.
func (b *Books) Find(m *Machine, e worker.Entry) Finding {
	f := Finding{Ended: e.Status == worker.Ended && e.Cause == worker.CauseDone}
	ref, i, ok := jobs.ParseTask(e.Task)
	j := b.jobs[ref]
	if !ok || j == nil {
		return f
	}
	f.Job, f.Over = j.Recorded(), j.over
	if r, at := b.Task(ref, i); r != nil && r.rec.Share == m.rec.Share {
		st := r.tasks[at].st
		f.Claimed, f.Finished, f.Elsewhere = true, st == Finished, st == Placed
	}
	return f
}

// Adopt books a task that a worker runs and that has no place there. If it does not stay
// it only takes its room until it has stopped.
func (b *Books) Adopt(m *Machine, e worker.Entry, stays bool) *Slot {
	s := &Slot{m: m, name: e.Task, try: e.Try, is: Course{Sent: true, Seen: true, Status: e.Status}}
	m.slots[e.Task] = s
	ref, i, _ := jobs.ParseTask(e.Task)
	if j := b.jobs[ref]; j != nil {
		s.need, s.ckpt = j.need, j.rec.CheckpointS
	}
	r, at := b.Task(ref, i)
	if !stays || r == nil {
		if r != nil && r.rec.Share == m.rec.Share && r.tasks[at].st == Placed {
			b.log.Error("task reported on a second worker", "task", e.Task, "worker", m.host,
				"attempt", e.Try, "other", r.tasks[at].slot.m.host)
		}
		s.is.Stop = true
		return s
	}
	s.r, s.i = r, at
	r.put(at, Placed, s)
	if g := &r.job.gang; r.job.rec.Kind == jobs.Gang {
		switch {
		case g.try == 0 || !g.started:
			*g = gangRun{try: e.Try, started: true}
		case g.try != e.Try:
			g.broken = true
		}
	}
	return s
}

// Known is a task on a machine as the holder of its share before knew it.
type Known struct {
	worker.Entry
	Is  Course
	Ran time.Duration // 0: not known to run
}

// Inherit books a task as the holder before had it. If it does not stay it is only to be
// stopped.
func (b *Books) Inherit(m *Machine, x Known, stays bool, now time.Time) {
	if x.Is.Planned() && !stays {
		return // nobody was told of it: to be stopped, it would keep its room for ever
	}
	s := b.Adopt(m, x.Entry, stays)
	stop := s.is.Stop
	if s.is = x.Is; stop && !s.is.Stop {
		s.is.Stop, s.is.Halted = true, false
	}
	if x.Ran > 0 {
		s.is.Since = now.Add(-x.Ran)
	}
	if s.r != nil && x.Is.Seen && x.Is.Status != worker.Pulling {
		m.images[s.r.job.rec.Image] = true
	}
	b.recount(m)
}

// Exited takes a task that is done off its machine. Until it is marked so it has no
// place; see MarkDone.
func (b *Books) Exited(s *Slot) {
	s.is.Seen = true
	delete(s.m.slots, s.name)
	b.recount(s.m)
}

// MarkDone notes that a task is done; s is the slot that it left, if any.
func (b *Books) MarkDone(r *Range, i int, s *Slot) {
	if s != nil && r.tasks[i].slot == s {
		r.put(i, Ready, nil)
	}
	b.markDone(r, i)
}

func (b *Books) markDone(r *Range, i int) {
	if r.tasks[i].st == Finished {
		return
	}
	if s := r.tasks[i].slot; s != nil {
		b.disown(s)
	}
	r.put(i, Finished, nil)
	r.newDone[i] = true
	if r.doneSince.IsZero() {
		r.doneSince = time.Now()
	}
	if r.job.rec.Kind == jobs.Gang {
		// A gang completes together: when one task is done, all are.
		for _, o := range r.job.ranges {
			for k := range o.tasks {
				b.markDone(o, k)
			}
		}
	}
	b.touched = true
}

// The tries of gangs: all tasks run under one attempt number, or none.

// Plan notes that a gang is to be placed with an attempt number.
func (b *Books) Plan(j *Job, try uint64) {
	j.gang, j.planned = gangRun{try: try}, time.Now()
}

// Unplan forgets a gang's try: its tasks are given back.
func (b *Books) Unplan(j *Job) { j.gang = gangRun{} }

// Attempt is the attempt number of a gang's try; started is whether some task of it was
// told to start.
func (j *Job) Attempt() (try uint64, started bool) { return j.gang.try, j.gang.started }

// StartGang notes that a task of a gang is told to start; first is whether it is the
// first of them.
func (b *Books) StartGang(j *Job) (first bool) {
	first = !j.gang.started
	j.gang.started = true
	return first
}

// StopGang stops all tasks of a gang with time to save.
func (b *Books) StopGang(j *Job) {
	j.gang.broken = true
	b.haltGang(j, j.rec.SaveS+b.cfg.Cluster.Workers.GangPeerS)
}

// haltGang stops what is left of a gang; tasks that are stopping already keep
// the time they were given.
func (b *Books) haltGang(j *Job, leeway float64) {
	for _, r := range j.ranges {
		for i := range r.tasks {
			s := r.tasks[i].slot
			switch {
			case s == nil:
			case s.is.Planned():
				b.Unplace(s)
			case !s.is.Stop:
				b.Halt(s, leeway)
			}
		}
	}
}

// GangReady tells whether a gang's tasks may be told to start: a gang starts
// only when all its tasks fit in one round.
func (b *Books) GangReady(j *Job) bool {
	if j.gang.broken {
		return false
	}
	if j.gang.started {
		return true
	}
	wants := map[*Machine]capacity.Vec{}
	for _, r := range j.ranges {
		if !r.marked() {
			return false
		}
		for i := range r.tasks {
			s := r.tasks[i].slot
			if s == nil {
				return false
			}
			wants[s.m] = wants[s.m].Add(s.need)
		}
	}
	for m, v := range wants {
		if !b.RoomNow(m).Holds(v) {
			return false
		}
	}
	return true
}

// HealGang ends a failed try of a gang, if this is one: what is left of it has to go
// before the next.
func (b *Books) HealGang(j *Job) {
	if j.rec.Kind != jobs.Gang {
		return
	}
	g := &j.gang
	slots, ready, unsure := 0, 0, 0
	for _, r := range j.ranges {
		slots += r.count[Placed]
		ready += r.count[Ready]
		unsure += r.count[Unknown]
	}
	if slots == 0 {
		if unsure == 0 {
			*g = gangRun{}
		}
		return
	}
	if ready > 0 {
		// Some are placed and some are not: it has lost a machine. A gang that was
		// still waiting for room then was left as it was: it never started, and held
		// the places of its other tasks for ever.
		g.broken = true
	}
	if !g.started && ready == 0 && time.Since(j.planned) > tuning.MaxPreemptWait {
		g.broken = true // the room it waited for did not come
	}
	if g.broken {
		b.haltGang(j, 0)
	}
}
