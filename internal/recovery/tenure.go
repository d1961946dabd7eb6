package recovery

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Stage is how far the recovery of a share is.
type Stage int

// The stages. Decisions of a share are open from Squaring on for whatever is certain:
// jobs that nobody had claimed, machines that were heard, ranges accounted for.
const (
	Reading  Stage = iota // the records up to the taking are not known yet
	Squaring              // workers are being heard
	Settled               // every worker was heard or is provably gone
)

// String is the stage's name.
func (s Stage) String() string {
	return [...]string{"reading records", "squaring reports", "settled"}[s]
}

// tenure is the recovery of one share under one holding of it.
type tenure struct {
	stamp    uint64
	since    time.Time
	known    time.Time // when all records up to the taking were
	settled  time.Time
	machines int // recorded at the taking
	heard    int
	last     string // the machine that was heard last
	// spared are machines that need not be heard: nothing was ever ordered to them.
	spared   map[*books.Machine]bool
	outcomes [outcomes]int
	orders   map[string]int // by verb, while the start is being followed
}

// Slices are what recovery works with.
type Slices struct {
	Books   *books.Books
	Holders *membership.Table
	Mirror  *mirror.Mirror
}

// Keeper follows the recovery of the shares held here. It has no locks: one actor owns it.
type Keeper struct {
	Slices
	cfg     *config.Config
	log     *slog.Logger
	tenures map[string]*tenure // by share
}

// New makes a keeper.
func New(cfg *config.Config, s Slices, log *slog.Logger) *Keeper {
	return &Keeper{Slices: s, cfg: cfg, log: log, tenures: map[string]*tenure{}}
}

// Reset forgets all: the records are read anew.
func (k *Keeper) Reset() { clear(k.tenures) }

// of is the recovery of a share held here.
func (k *Keeper) of(s *membership.Share) *tenure {
	t := k.tenures[s.ID()]
	if t == nil || t.stamp != s.Stamp() {
		t = &tenure{stamp: s.Stamp(), since: s.Since(), machines: k.Books.InShare(s.ID()), orders: map[string]int{}, spared: map[*books.Machine]bool{}}
		k.tenures[s.ID()] = t
	}
	return t
}

// mine is the share of a machine, if its recovery is followed here.
func (k *Keeper) mine(m *books.Machine) *tenure {
	if s := k.Books.Holds(m); s != nil {
		return k.of(s)
	}
	return nil
}

// Count notes an outcome of a machine's first report in this tenure.
func (k *Keeper) Count(m *books.Machine, o Outcome) {
	if t := k.mine(m); t != nil && !m.Is().Heard {
		t.outcomes[o]++
	}
}

// Enrolled notes that a machine without a record was recorded.
func (k *Keeper) Enrolled(m *books.Machine, now time.Time) {
	if t := k.mine(m); t != nil && now.Sub(t.since) < tuning.StartFollowed {
		t.outcomes[Unlisted]++
	}
}

// Ordered notes what is ordered in an answer to a machine.
func (k *Keeper) Ordered(m *books.Machine, orders []worker.Order, now time.Time) {
	t := k.mine(m)
	if t == nil || now.Sub(t.since) >= tuning.StartFollowed {
		return
	}
	for _, o := range orders {
		t.orders[o.Verb]++
	}
}

// Heard notes that a machine was heard for the first time in this tenure.
func (k *Keeper) Heard(m *books.Machine, now time.Time) {
	if t := k.mine(m); t != nil {
		t.heard++
		t.last = m.Host()
		k.settle(k.Books.Holds(m), now)
	}
}

// Inherited notes that a machine stands as its holder before has handed it over.
func (k *Keeper) Inherited(m *books.Machine) {
	if t := k.mine(m); t != nil {
		t.heard++
		t.last = m.Host()
	}
}

// Spare notes that a machine need not be waited for: by what the holder before has handed
// over nothing was ever ordered to it.
func (k *Keeper) Spare(m *books.Machine) {
	if t := k.mine(m); t != nil {
		t.spared[m] = true
	}
}

// Check looks at all shares held here.
func (k *Keeper) Check(now time.Time) {
	for _, s := range k.Holders.Mine() {
		k.settle(s, now)
		k.settlePart(s)
	}
}

// settle notes that every task of the share which no report accounts for is nowhere,
// once all its workers were heard or are gone.
func (k *Keeper) settle(s *membership.Share, now time.Time) {
	// Our own write of the share is known before the watch has told of earlier
	// changes: a worker or range recorded just before it may still be missing
	// here, and a task on that worker would be started a second time.
	if s.Settled() || !k.Mirror.Knows(s) {
		return
	}
	t := k.of(s)
	if t.known.IsZero() {
		t.known = now
	}
	for m := range silentWorkers(k, s) { // asked after each first report: mostly the first will do
		if !goneBy(k, s, m, now) {
			return
		}
		k.Books.Assume(m, now)
	}
	s.Settle()
	t.settled = now
	for r := range k.Books.RangesIn(s.ID()) {
		if r.Here() {
			t.nowhere(r)
		}
	}
	for m := range k.Books.HeldIn(s.ID()) {
		if is := m.Is(); m.Stamp() < s.Stamp() && !is.Heard {
			t.outcomes[Missing]++
		}
	}
	k.Books.Touch()
	k.log.Info("share settled", append([]any{"share", s.ID(), "after_s", now.Sub(s.Since()).Seconds(),
		"machines", t.machines, "heard", t.heard, "last", t.last}, t.told()...)...)
}

// nowhere notes that what is unknown of a range is on no machine.
func (t *tenure) nowhere(r *books.Range) {
	t.outcomes[NotRunning] += r.Count(books.Unknown)
	r.Nowhere()
}

// told is what was squared and ordered, for the log.
func (t *tenure) told() []any {
	var out []any
	for o, n := range t.outcomes {
		if n > 0 {
			out = append(out, Outcome(o).String(), n)
		}
	}
	for _, verb := range []string{worker.Launch, worker.Halt, worker.Forget} {
		if n := t.orders[verb]; n > 0 {
			out = append(out, verb, n)
		}
	}
	return out
}

// settlePart does the same for single ranges while some workers are still
// silent. A task is ordered only to a worker on which it is allowed and which is
// large enough, by whichever controller: if no silent worker is such a one, the
// task is on none of them, and those that were heard did not list it. So a wave
// of lost cheap machines does not hold back work that may not use any.
func (k *Keeper) settlePart(s *membership.Share) {
	if s.Settled() || !k.Mirror.Knows(s) {
		return
	}
	silent := slices.Collect(silentWorkers(k, s))
	t := k.of(s)
	for r := range k.Books.RangesIn(s.ID()) {
		if r.Count(books.Unknown) == 0 || r.Job().Over() ||
			slices.ContainsFunc(silent, func(m *books.Machine) bool { return k.couldRun(r, m) }) {
			continue
		}
		t.nowhere(r)
		k.Books.Touch()
	}
}

// silentWorkers is silent, and goneBy is gone, but in the tests' broken variants.
var (
	silentWorkers = (*Keeper).silent
	goneBy        = (*Keeper).gone
)

// gone tells whether a worker of a share that was not heard in this tenure has no tasks any
// more, by the time that has passed.
func (k *Keeper) gone(s *membership.Share, m *books.Machine, now time.Time) bool {
	return now.After(k.cfg.GoneBy(s.Since(), m.When().Reported))
}

// silent are the workers of a share that were neither heard nor are gone, and to which an
// earlier holder may have ordered tasks of the share. Those whose records are younger than
// the taking were enrolled since, or moved here empty: with them among the silent a share
// taken while hundreds of machines came up was not settled before the last of them, 12 s
// after all that mattered had been heard.
//
// In no order: looked for from the same end each time, the first of thousands is behind all
// that were heard.
func (k *Keeper) silent(s *membership.Share) iter.Seq[*books.Machine] {
	spared := k.of(s).spared
	return func(yield func(*books.Machine) bool) {
		for m := range k.Books.Machines() {
			if is := m.Is(); m.Rec().Share == s.ID() && m.Stamp() < s.Stamp() && !is.Heard && !is.Gone && !spared[m] && !yield(m) {
				return
			}
		}
	}
}

// couldRun tells whether a task of a range may ever have been ordered to a
// worker: by its mark, and by what is allowed. Of a type that is not known nothing is
// ruled out.
func (k *Keeper) couldRun(r *books.Range, m *books.Machine) bool {
	total, known := k.Books.Total(m)
	return r.MayBeOn(m.Host()) && r.Job().Rec().Allows(m.Group()) && (r.Rec().Zone == "" || r.Rec().Zone == m.Rec().Zone) &&
		(!known || total.Holds(r.Job().Need()))
}

// View is how the recovery of a share stands, for operators.
type View struct {
	Share    string         `json:"share"`
	Stage    string         `json:"stage"`
	SinceS   float64        `json:"since_s"`   // the taking
	SettledS float64        `json:"settled_s"` // after it; 0: not yet
	Machines int            `json:"machines"`  // recorded at the taking
	Heard    int            `json:"heard"`     // of them and of new ones
	Waiting  int            `json:"waits_for"` // machines that are neither heard nor gone
	Some     []string       `json:"some,omitempty"`
	WithinS  float64        `json:"within_s"` // the longest that they are waited for from now on
	Tasks    int            `json:"unaccounted"`
	Outcomes map[string]int `json:"outcomes"`
	Orders   map[string]int `json:"orders"` // in the first seconds
}

// Views are the recoveries of the shares held here.
func (k *Keeper) Views(now time.Time) []View {
	out := []View{}
	for _, s := range k.Holders.Mine() {
		t := k.of(s)
		v := View{Share: s.ID(), SinceS: now.Sub(t.since).Seconds(), Machines: t.machines, Heard: t.heard,
			Outcomes: map[string]int{}, Orders: t.orders}
		stage := Settled
		switch {
		case !k.Mirror.Knows(s):
			stage = Reading
		case !s.Settled():
			stage = Squaring
			for m := range silentWorkers(k, s) {
				v.Some = append(v.Some, m.Host())
			}
			slices.Sort(v.Some)
			v.Waiting = len(v.Some)
			v.Some = v.Some[:min(len(v.Some), tuning.NamesShown)]
			v.WithinS = max(0, k.cfg.TenureOver()-now.Sub(s.Since())).Seconds()
			for r := range k.Books.RangesIn(s.ID()) {
				if r.Here() {
					v.Tasks += r.Count(books.Unknown)
				}
			}
		case !t.settled.IsZero():
			v.SettledS = t.settled.Sub(t.since).Seconds()
		}
		v.Stage = stage.String()
		for o, n := range t.outcomes {
			if n > 0 {
				v.Outcomes[Outcome(o).String()] = n
			}
		}
		out = append(out, v)
	}
	return out
}
