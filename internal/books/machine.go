package books

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Machine is a worker as this controller knows it. What it runs is known only for
// workers of the shares held here.
type Machine struct {
	host   string
	rec    worker.Record
	stamp  uint64
	is     Standing
	when   Times
	slots  map[string]*Slot
	images map[string]bool
	sums   sums
	listed bool // among those whose counts have changed
	stale  bool // sums are to be made again before they are used
}

// Standing is how a machine stands with this controller.
type Standing struct {
	Heard     bool // reported under the present token
	Gone      bool // its lease has run out, or it never was heard in time
	Recalled  bool // the cloud takes it back
	Releasing bool // being returned
	Released  bool // the cloud has confirmed that it is gone
	Surplus   bool // an ordinary machine that is wanted empty, to be returned
	Drained   bool // used no more: it fails every task, or is to be emptied
	Doubted   bool // several jobs failed here, see blame.Judge
	Empty     bool // the last report listed no task, not even an exited one
	Moving    bool // a write that gives it to another share is under way
	Deaf      bool // its reports come, but what is said to it does not arrive
	Mute      bool // did not answer the greeting, and was not heard since
	Overdue   bool // should have reported, and has not
}

// Times are since when something is so.
type Times struct {
	Known    time.Time // in this share
	Reported time.Time // the last time
	Gone     time.Time
	Deaf     time.Time // or not, since then
	Idle     time.Time // nothing but lent work uses it; zero if something does
}

// sums are what the slots of a machine add up to. Decisions ask for them far more often
// than slots change.
type sums struct {
	room capacity.Vec // free once all that is told to stop has stopped
	// under is room and what work below a priority takes besides; arrays is the
	// same for tasks that are stopped one by one.
	under, arrays [jobs.Priorities]capacity.Vec
	waiting       int // slots with a start or stop that was not ordered yet
	services      int
	bound         int // tasks, stopping ones too, that had to go to an ordinary machine: no array that may use cheap ones
	own           int // tasks that are a reason to keep the machine: no background work
}

// Slot is a task's place on a machine, from the plan until it is gone.
type Slot struct {
	m    *Machine
	name string
	r    *Range // nil: no task of ours; only to be stopped
	i    int
	try  uint64
	need capacity.Vec
	ckpt float64
	is   Course
	// prey is the claim for which it will be stopped once that is durable, see Displace.
	prey *Range
}

// Course is how far a task on a machine is.
type Course struct {
	Sent   bool      // a launch was ordered
	Seen   bool      // the worker has reported it
	Status string    // what it last said
	Since  time.Time // running since, as far as known
	Stop   bool      // to be stopped
	Leeway float64   // seconds for that
	Halted bool      // a halt was ordered
}

// Planned tells whether the task is on the machine by plan only.
func (c Course) Planned() bool { return !c.Sent && !c.Seen }

// Begun tells whether the worker was seen to have the task's image.
func (c Course) Begun() bool { return c.Seen && c.Status != worker.Pulling }

// Host is the machine's name.
func (m *Machine) Host() string { return m.host }

// Rec is what is recorded of it, for reading.
func (m *Machine) Rec() *worker.Record { return &m.rec }

// Stamp is the record's.
func (m *Machine) Stamp() uint64 { return m.stamp }

// Is is how it stands, When since when.
func (m *Machine) Is() Standing { return m.is }

// When: see Is.
func (m *Machine) When() Times { return m.when }

// Up is for how long it has been enrolled.
func (m *Machine) Up(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.rec.SinceMS) * time.Millisecond
}

// HasImage tells whether a task's image was seen on it in this session.
func (m *Machine) HasImage(image string) bool { return m.images[image] }

// Load is the number of its slots.
func (m *Machine) Load() int { return len(m.slots) }

// Slots are the places taken on it, in no order. Slots may be given up on the way.
func (m *Machine) Slots() iter.Seq[*Slot] { return maps.Values(m.slots) }

// Slot is the place of a task by its name, nil if it has none here.
func (m *Machine) Slot(task string) *Slot { return m.slots[task] }

// Group is what the counts know it by.
func (m *Machine) Group() capacity.Group {
	return capacity.Group{Zone: m.rec.Zone, Build: m.rec.Build, Spot: m.rec.Spot, Surplus: m.is.Surplus}
}

// Machine is where the slot is.
func (s *Slot) Machine() *Machine { return s.m }

// Name is the task's.
func (s *Slot) Name() string { return s.name }

// Job is that of the task; nil if it is none of ours and only to be stopped.
func (s *Slot) Job() *Job {
	if s.r == nil {
		return nil
	}
	return s.r.job
}

// Tentative tells whether the task's claim is not durable yet.
func (s *Slot) Tentative() bool { return s.r != nil && s.r.tentative }

// Try is the task's attempt.
func (s *Slot) Try() uint64 { return s.try }

// Need is what the task takes.
func (s *Slot) Need() capacity.Vec { return s.need }

// Is is how far the task is.
func (s *Slot) Is() Course { return s.is }

// Leaves tells whether the task is to be stopped, or will be once the claim is durable that takes its
// place.
func (s *Slot) Leaves() bool { return s.is.Stop || s.prey != nil }

// atOnce tells whether a halt ends the task without saving.
func (s *Slot) atOnce() bool {
	return s.is.Status != worker.Saving && (s.is.Leeway == 0 || s.ckpt == 0 || s.is.Status != worker.Running)
}

func (b *Books) sum(m *Machine) *sums {
	if !m.stale {
		return &m.sums
	}
	m.stale = false
	var t sums
	t.room, _ = b.Total(m)
	for _, s := range m.slots {
		if s.is.Stop && s.is.Sent && !s.is.Halted || !s.is.Sent && !s.is.Stop {
			t.waiting++
		}
		if s.r != nil && (s.r.job.rec.Kind != jobs.Array || !s.r.job.rec.Spot) {
			t.bound++
		}
		if s.Leaves() {
			continue
		}
		t.room = t.room.Sub(s.need)
		if s.r == nil {
			continue
		}
		rec := &s.r.job.rec
		if !s.r.job.background {
			t.own++
		}
		if rec.Kind == jobs.Service {
			t.services++
		}
		for p := s.r.job.prio + 1; p < jobs.Priorities; p++ {
			t.under[p] = t.under[p].Add(s.need)
			if rec.Kind != jobs.Gang {
				t.arrays[p] = t.arrays[p].Add(s.need)
			}
		}
	}
	for p := range t.under {
		t.under[p], t.arrays[p] = t.under[p].Add(t.room), t.arrays[p].Add(t.room)
	}
	m.sums = t
	return &m.sums
}

// Room is what is free once all that is told to stop has stopped.
func (b *Books) Room(m *Machine) capacity.Vec { return b.sum(m).room }

// RoomBelow is Room and what tasks below a priority take that are stopped one by one.
func (b *Books) RoomBelow(m *Machine, p jobs.Priority) capacity.Vec { return b.sum(m).arrays[p] }

// Bound is how many tasks, stopping ones too, had to go to an ordinary machine.
func (b *Books) Bound(m *Machine) int { return b.sum(m).bound }

// Services is how many replicas of services are on a machine.
func (b *Books) Services(m *Machine) int { return b.sum(m).services }

// Waiting is how many starts and stops were not ordered yet.
func (b *Books) Waiting(m *Machine) int { return b.sum(m).waiting }

// RoomNow is what is free when the orders of this answer are executed: tasks that save
// before they exit still take their place.
func (b *Books) RoomNow(m *Machine) capacity.Vec {
	v, _ := b.Total(m)
	for _, s := range m.slots {
		if (s.is.Sent || s.is.Seen) && !(s.is.Stop && s.atOnce()) {
			v = v.Sub(s.need)
		}
	}
	return v
}

// OnlyLent tells whether a machine is used for nothing but work that is no reason to
// keep it.
func (m *Machine) OnlyLent() bool {
	if len(m.slots) == 0 {
		return true
	}
	if m.rec.Spot || !m.stale && m.sums.own > 0 {
		return false
	}
	for _, s := range m.slots {
		if s.r == nil || !s.r.job.leftover {
			return false
		}
	}
	return true
}

// recount notes that the machine's part of the counts has changed. It is made up for
// when the counts are asked for: see Counts.
func (b *Books) recount(m *Machine) {
	m.stale = true
	if !m.listed {
		m.listed = true
		b.changed = append(b.changed, m)
	}
	if !m.OnlyLent() {
		m.when.Idle = time.Time{}
	} else if m.when.Idle.IsZero() {
		m.when.Idle = time.Now()
	}
	b.touched = true
	b.changes++
}

// RecountAll does so for all machines: types or settings have changed.
func (b *Books) RecountAll() {
	b.touched = true
	for _, m := range b.machines {
		b.recount(m)
	}
}

// flag changes one of the things that decide whether a machine is used, and counts it
// anew if that is new.
func (b *Books) flag(m *Machine, which *bool, to bool) {
	if *which != to {
		*which = to
		b.recount(m)
	}
}

// Drain has a machine get no more tasks.
func (b *Books) Drain(m *Machine) { b.flag(m, &m.is.Drained, true) }

// Doubt notes whether several jobs failed on a machine.
func (b *Books) Doubt(m *Machine, doubted bool) { b.flag(m, &m.is.Doubted, doubted) }

// Want notes whether an ordinary machine is wanted empty.
func (b *Books) Want(m *Machine, surplus bool) { b.flag(m, &m.is.Surplus, surplus) }

// Move notes that a machine is being given to another share, or no longer.
func (b *Books) Move(m *Machine, moving bool) { b.flag(m, &m.is.Moving, moving) }

// Return notes that a machine is being returned, or no longer.
func (b *Books) Return(m *Machine, releasing bool) { b.flag(m, &m.is.Releasing, releasing) }

// Recall notes that the cloud takes a machine back.
func (b *Books) Recall(m *Machine) { m.is.Recalled = true }

// Returned notes that the cloud has taken a machine back: its tasks are gone.
func (b *Books) Returned(m *Machine) {
	m.is.Released = true
	b.counted = nil
	b.Lose(m)
}

// Says notes a report that counts for nothing but that the machine is there. One that is
// taken for gone stays so: the report may be a late copy.
func (b *Books) Says(m *Machine, at time.Time) {
	if !m.is.Gone {
		m.when.Reported = at
	}
}

// Deafen notes that what is said to a machine does not arrive, or arrives again. What was
// planned there, or ordered and never seen, goes elsewhere: orders are not executed late.
func (b *Books) Deafen(m *Machine, deaf bool, now time.Time) {
	if m.is.Deaf == deaf {
		return
	}
	m.when.Deaf = now
	b.flag(m, &m.is.Deaf, deaf)
	for _, s := range m.slots {
		if deaf && s.is.Planned() {
			b.Unplace(s)
		}
	}
}

// Miss notes that a machine should have reported and has not. What was only planned there goes
// elsewhere, and nothing more is planned there until it is heard: tasks waited there for as long as
// its lease, 28 s, while others had room.
func (b *Books) Miss(m *Machine) {
	b.flag(m, &m.is.Overdue, true)
	for _, s := range m.slots {
		if s.is.Planned() {
			b.Unplace(s)
		}
	}
}

// Reports notes a report under the present token, before what it lists is taken in; it
// tells whether the machine was taken for gone until now.
func (b *Books) Reports(m *Machine, at time.Time) (wasGone bool) {
	wasGone = m.is.Gone
	if m.is.Gone || !m.is.Heard {
		// It was empty because nobody reached it, not for want of work: with the idle
		// time of a silence it was returned before its tasks could be placed again.
		m.when.Idle = time.Time{}
	}
	m.when.Reported, m.is.Mute, m.is.Gone = at, false, false
	b.flag(m, &m.is.Overdue, false)
	return wasGone
}

// Heard notes that all that a report lists was taken in; first is whether it is the
// first under this token. Most reports say nothing new, and no decision follows from
// them: then quiet is true.
func (b *Books) Heard(m *Machine, empty, quiet bool) (first bool) {
	first, m.is.Heard, m.is.Empty = !m.is.Heard, true, empty
	if first || !quiet {
		b.recount(m)
	}
	return first
}

// Unanswered notes that a machine did not answer the greeting.
func (b *Books) Unanswered(m *Machine) { m.is.Mute = !m.is.Heard }

// NewSession notes that a worker began anew: it has no images.
func (m *Machine) NewSession() { m.images = map[string]bool{} }

// Assume notes that a machine of which nothing was heard in time is gone.
func (b *Books) Assume(m *Machine, now time.Time) { m.is.Gone, m.when.Gone = true, now }

// Lose takes all tasks off a machine that is provably gone.
func (b *Books) Lose(m *Machine) {
	// Of other holders' machines it is not known whether they were returned.
	if !m.is.Gone && !m.is.Releasing && b.Holds(m) != nil {
		b.failures = append(b.failures, time.Now())
		if len(b.failures) > tuning.MaxFailures {
			b.failures = b.failures[1:]
		}
	}
	for _, s := range m.slots {
		b.Unplace(s)
	}
	m.is.Gone, m.when.Gone = true, time.Now()
	b.recount(m)
}
