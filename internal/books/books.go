// Package books keeps what a controller knows of jobs, of their claimed ranges, and of
// machines with the tasks on them, and the counts by shape that follow from it. It is
// the only place where a task changes its state: records, reports and decisions come
// here by way of the slices that hear of them.
package books

import (
	"iter"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/capacity"
	"cherrywall/internal/catalog"
	"cherrywall/internal/classes"
	"cherrywall/internal/config"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Books have no locks: one actor owns them.
type Books struct {
	cfg     *config.Config
	log     *slog.Logger
	holders *membership.Table
	types   *catalog.Catalog
	classes *classes.Book
	faults  *blame.Judge
	depend  *depend.Index

	machines map[string]*Machine
	jobs     map[string]*Job
	free     *capacity.Table
	// under are the counts with work below a priority set aside: what is lent.
	under   [jobs.Priorities]*capacity.Table
	changed []*Machine  // whose counts are to be brought up to date
	held    []*Machine  // see Held
	heldOld bool        // a machine or a holder of a share has changed
	counted map[Lot]int // see Census; nil: to be counted again
	touched bool
	// calledOff are machines with tasks of jobs that have ended, see CalledOff.
	calledOff []*Machine
	changes   uint64 // of machines and of the tasks on them

	failures []time.Time // machines lost without being returned
	arrived  time.Time   // the last new job
}

// New makes empty books on the slices that they are kept with.
func New(cfg *config.Config, holders *membership.Table, types *catalog.Catalog, cl *classes.Book, faults *blame.Judge,
	log *slog.Logger) *Books {
	b := &Books{cfg: cfg, log: log, holders: holders, types: types, classes: cl, faults: faults}
	b.depend = depend.New(b.unfinished, cl.Span, cfg.DueTimes, b.related)
	b.Reset()
	return b
}

// Depend is the index of jobs that wait for others.
func (b *Books) Depend() *depend.Index { return b.depend }

// Reset forgets all records, to be read anew.
func (b *Books) Reset() {
	b.machines, b.jobs = map[string]*Machine{}, map[string]*Job{}
	b.free = capacity.NewTable()
	for p := range b.under {
		b.under[p] = capacity.NewTable()
	}
	b.changed, b.held, b.heldOld, b.counted = nil, nil, true, nil
	b.depend.Reset()
}

// Touch notes that something has changed on which decisions depend.
func (b *Books) Touch() { b.touched = true }

// Touched tells whether anything has, since Seen.
func (b *Books) Touched() bool { return b.touched }

// Seen notes that decisions are made on what is known now.
func (b *Books) Seen() { b.touched = false }

// Job is an unfinished job, or one that is over while its ranges still exist; nil if
// it is not known.
func (b *Books) Job(ref string) *Job { return b.jobs[ref] }

// Jobs are all of them, in no order.
func (b *Books) Jobs() iter.Seq[*Job] { return maps.Values(b.jobs) }

// Arrived is when the last new job became known.
func (b *Books) Arrived() time.Time { return b.arrived }

// Machine is a recorded machine; nil if there is none of the name.
func (b *Books) Machine(host string) *Machine { return b.machines[host] }

// Machines are all that are recorded, in no order.
func (b *Books) Machines() iter.Seq[*Machine] { return maps.Values(b.machines) }

// Sizes are the numbers of jobs and machines, Changes that of what has happened on machines.
func (b *Books) Sizes() (jobs, machines int) { return len(b.jobs), len(b.machines) }

// Changes: see Sizes.
func (b *Books) Changes() uint64 { return b.changes }

// Has tells whether a machine is still the one that is recorded under its name.
func (b *Books) Has(m *Machine) bool { return b.machines[m.host] == m }

// Holds is the machine's share if this controller holds it, else nil.
func (b *Books) Holds(m *Machine) *membership.Share {
	s := b.holders.Share(m.rec.Share)
	if s == nil || !s.Mine() {
		return nil
	}
	return s
}

// Usable tells whether tasks may be sent to a machine.
func (b *Books) Usable(m *Machine) bool {
	return m.is.Heard && !m.is.Gone && !m.is.Recalled && !m.is.Releasing && !m.is.Moving && !m.is.Drained && !m.is.Deaf && !m.is.Overdue && !m.is.Doubted && b.Holds(m) != nil
}

// Total is what the machine's type offers; known is false as long as nothing was heard
// of the type.
func (b *Books) Total(m *Machine) (total capacity.Vec, known bool) { return b.types.Total(m.rec.Build) }

// Used is the part of a machine's processors that is taken.
func (b *Books) Used(m *Machine) float64 {
	total, known := b.Total(m)
	if !known || total.CPU <= 0 {
		return 0
	}
	return 1 - b.Room(m).CPU/total.CPU
}

// Held are the machines of the shares held here, in the order of their names. The list
// is for reading, and until the next change.
func (b *Books) Held() []*Machine {
	if b.heldOld {
		b.heldOld = false
		b.held = b.held[:0]
		for _, m := range b.machines {
			if b.Holds(m) != nil {
				b.held = append(b.held, m)
			}
		}
		slices.SortFunc(b.held, func(x, y *Machine) int { return strings.Compare(x.host, y.host) })
	}
	return b.held
}

// Lot is what the census counts by.
type Lot struct {
	Share string
	Group capacity.Group
}

// HeldIn are those of one share.
func (b *Books) HeldIn(share string) iter.Seq[*Machine] {
	return func(yield func(*Machine) bool) {
		for _, m := range b.Held() {
			if m.rec.Share == share && !yield(m) {
				return
			}
		}
	}
}

// RangesIn are the ranges that a share has claimed, in no order; their jobs may be over.
func (b *Books) RangesIn(share string) iter.Seq[*Range] {
	return func(yield func(*Range) bool) {
		for _, j := range b.jobs {
			for _, r := range j.ranges {
				if r.rec.Share == share && !yield(r) {
					return
				}
			}
		}
	}
}

// Census counts the recorded machines by share and group, surplus or not: what needs
// only their number must not walk all of them for each job.
func (b *Books) Census() map[Lot]int {
	if b.counted == nil {
		b.counted = map[Lot]int{}
		for _, m := range b.machines {
			if !m.is.Released {
				b.counted[Lot{m.rec.Share, capacity.Group{Zone: m.rec.Zone, Build: m.rec.Build, Spot: m.rec.Spot}}]++
			}
		}
	}
	return b.counted
}

// InShare is how many recorded machines a share has.
func (b *Books) InShare(share string) int {
	n := 0
	for lot, k := range b.Census() {
		if lot.Share == share {
			n += k
		}
	}
	return n
}

// Counts are the tasks that still fit, up to date with the machines that changed.
func (b *Books) Counts() *capacity.Table {
	for _, m := range b.changed {
		m.listed = false
		if o := b.machines[m.host]; o != nil && o != m {
			continue // known anew under this name
		}
		if _, known := b.Total(m); known && b.Usable(m) && b.machines[m.host] != nil {
			t := b.sum(m)
			b.free.Set(m.host, m.Group(), t.room)
			for p := range b.under {
				b.under[p].Set(m.host, m.Group(), t.under[p])
			}
		} else {
			b.free.Remove(m.host)
			for p := range b.under {
				b.under[p].Remove(m.host)
			}
		}
	}
	b.changed = b.changed[:0]
	return b.free
}

// Under are the counts with work below a priority set aside.
func (b *Books) Under(p jobs.Priority) *capacity.Table {
	b.Counts()
	return b.under[p]
}

// Recount forgets the counts of shapes that nobody wants any more and makes the others
// anew; spot is whether cheap machines are in use, see Leftover.
func (b *Books) Recount(now time.Time, spot bool) {
	wanted := map[capacity.Vec]bool{}
	for _, j := range b.jobs {
		if !j.over {
			wanted[j.need] = true
			j.leftover = j.mayWaitForCheap(now, spot)
		}
	}
	b.Counts().Recount(wanted)
	for p := range b.under {
		b.under[p].Recount(nil) // filled again as it is asked for
	}
	b.touched = true
}

// Failures is how many machines were lost without being returned, lately.
func (b *Books) Failures(now time.Time) int {
	n := 0
	for _, t := range b.failures {
		if now.Sub(t) < tuning.FailureWindow {
			n++
		}
	}
	return n
}
