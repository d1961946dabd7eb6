// Package decide is the round of decisions over all waiting jobs: their order, the
// counts less the buffers, the claims that follow, and what waits for machines.
package decide

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/catalog"
	"cherrywall/internal/claims"
	"cherrywall/internal/classes"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/order"
	"cherrywall/internal/others"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Slices are what decisions are made with.
type Slices struct {
	Books   *books.Books
	Holders *membership.Table
	Mirror  *mirror.Mirror
	Claims  *claims.Writer
	Types   *catalog.Catalog
	Classes *classes.Book
	Faults  *blame.Judge
	Others  *others.Heard
}

// Decider has no locks: one actor owns it.
type Decider struct {
	Slices
	loop *loop.Loop
	cfg  *config.Config
	log  *slog.Logger

	round   round
	waits   map[string]wait   // of jobs that nothing was found for, by ref
	tries   map[string]uint64 // attempts given out, by share
	againAt time.Time         // see again
	rooms   []peer.Count      // see Rooms
	roomsAt time.Time
}

// wait is why a job waits, for people: put into words only when somebody asks.
type wait struct {
	why  string
	fits int // how many of its tasks fitted then
}

// Why gangs wait; other jobs' reasons are words already.
const (
	forRoom = "room"
	forZone = "zone"
)

// forLimit tells people that a job waits for its team's limit.
const forLimit = "the team's limit"

// blamed tells people why a job waits that is at fault itself.
const blamed = "it failed on several machines where other jobs work: it pauses, and is tried in small"

// round is what one round of decisions needs more than once.
type round struct {
	services map[*books.Job]int // the most replicas on one machine
	zones    []string
	gangs    map[shape]answer
	loads    map[string]load              // by class, what is expected of it; see owners
	presses  map[*books.Job]jobs.Priority // see presses
	kept     keep
}

// New makes a decider.
func New(l *loop.Loop, cfg *config.Config, s Slices, log *slog.Logger) *Decider {
	return &Decider{Slices: s, loop: l, cfg: cfg, log: log, waits: map[string]wait{}, tries: map[string]uint64{}}
}

// Round looks at every waiting job in order and starts what fits.
func (d *Decider) Round(now time.Time) {
	var queue []*books.Job
	for j := range d.Books.Jobs() {
		if j.Over() || !j.Recorded() {
			continue
		}
		if j.Waits() {
			continue // for other jobs: it is none of the queue's
		}
		d.Books.HealGang(j)
		if len(j.Rec().Free) > 0 || j.HasReady() {
			queue = append(queue, j)
		}
	}
	d.sort(queue, now)
	d.round = round{}
	d.keepFor(queue, now)
	for _, j := range queue {
		if d.Faults.Paused(j.Ref(), now) {
			d.waits[j.Ref()] = wait{why: blamed}
			continue
		}
		d.resume(j)
		if len(j.Rec().Free) > 0 && j.Free(d.Mirror.Position()) && !j.HasReady() {
			d.consider(j)
		}
	}
}

// Recount makes the counts anew and forgets what nobody needs any more.
func (d *Decider) Recount(now time.Time) {
	set, _ := d.Mirror.Settings()
	d.Books.Recount(now, set.Spot)
	for ref := range d.waits {
		if d.Books.Job(ref) == nil {
			delete(d.waits, ref)
		}
	}
}

// Why tells people why a job waits; empty if that is not known.
func (d *Decider) Why(j *books.Job) string {
	if d.Faults.Blamed(j.Ref()) {
		return blamed
	}
	switch w := d.waits[j.Ref()]; w.why {
	case forRoom:
		return fmt.Sprintf("%d tasks fit, %d needed", w.fits, j.Rec().Tasks)
	case forZone:
		return fmt.Sprintf("%d tasks fit, but no zone holds %d", w.fits, j.Rec().Tasks)
	default:
		return w.why
	}
}

// sort orders waiting jobs: by priority, then services by arrival, gangs by
// what can still be met (see order.StartBy), and among arrays those first that have to
// start soonest to be done in time. Within a priority a later job may still pass
// one that does not fit.
func (d *Decider) sort(queue []*books.Job, now time.Time) {
	type place struct {
		j          *books.Job
		overdue    bool
		priority   jobs.Priority
		background bool
		use        float64 // of its team, if it is background work
		startBy    int64
	}
	places := make([]place, len(queue))
	use := map[string]float64{}
	for i, j := range queue {
		rec := j.Rec()
		p := place{j: j, overdue: overdue(j, now), priority: j.Priority(), background: j.Background(),
			startBy: order.StartBy(d.orderOf(j), d.cfg.Cluster.Objectives, now)}
		if p.background {
			if _, known := use[rec.Team]; !known {
				use[rec.Team] = d.teamUse(rec.Team).CPU
			}
			p.use = use[rec.Team]
		}
		places[i] = p
	}
	slices.SortFunc(places, func(x, y place) int {
		switch {
		case x.overdue != y.overdue:
			if x.overdue {
				return -1
			}
			return 1
		case x.overdue && x.j.SinceMS() != y.j.SinceMS():
			return cmp.Compare(x.j.SinceMS(), y.j.SinceMS())
		case x.priority != y.priority:
			return cmp.Compare(y.priority, x.priority)
		case x.background != y.background:
			if y.background {
				return -1
			}
			return 1
		case x.use != y.use:
			return cmp.Compare(x.use, y.use) // the room left over is shared by team: a flood starves nobody
		case x.startBy != y.startBy:
			return cmp.Compare(x.startBy, y.startBy)
		}
		return strings.Compare(x.j.Ref(), y.j.Ref())
	})
	for i, p := range places {
		queue[i] = p.j
	}
}

// orderOf is what a job's place in the queue depends on.
func (d *Decider) orderOf(j *books.Job) order.Job {
	return order.Job{Rec: j.Rec(), SinceMS: j.SinceMS(), Runs: d.Expect(j.Rec()), Takes: j.Node().Takes(), By: j.By()}
}

// shape is all of a job that its counts depend on: many that wait have the same.
type shape struct {
	need         capacity.Vec
	priority     jobs.Priority
	team         string
	spot         bool
	zone, builds string
	blamed       bool // nothing is stopped for such a job, see mayPreempt
}

func (d *Decider) shapeOf(j *books.Job) shape {
	rec := j.Rec()
	s := shape{need: j.Need(), priority: d.presses(j), team: rec.Team, spot: rec.Spot, builds: "any", blamed: d.Faults.Blamed(j.Ref())}
	if rec.Zone != nil {
		s.zone = *rec.Zone
	}
	if rec.Builds != nil {
		s.builds = strings.Join(slices.Sorted(slices.Values(rec.Builds)), " ")
	}
	return s
}

// answer is what the counts say to one task more and more of a shape.
type answer struct {
	version uint64 // of the counts
	reach   int    // see reach
	zone    int    // the most in one zone, lower work set aside
}

// gangAnswer is the same for all waiting gangs of a shape until a count changes: a
// hundred gangs that wait cost little more than one.
func (d *Decider) gangAnswer(j *books.Job) answer {
	version := d.Books.Counts().Version()
	key := d.shapeOf(j)
	if w, known := d.round.gangs[key]; known && w.version == version {
		return w
	}
	w := answer{version: version, reach: d.reach(j, j.Rec().Allows, d.buffers(j))}
	for _, z := range d.zones() {
		w.zone = max(w.zone, d.inZone(j, z))
	}
	if d.round.gangs == nil {
		d.round.gangs = map[shape]answer{}
	}
	d.round.gangs[key] = w
	return w
}

// nextTry is a new attempt number, above all that earlier holders of the share gave.
func (d *Decider) nextTry(s *membership.Share) uint64 {
	d.tries[s.ID()]++
	return s.Stamp()<<tuning.AttemptBits | (d.tries[s.ID()] & (1<<tuning.AttemptBits - 1))
}

// candidates lists the machines of a share on which a job may run, in the
// order of their names.
func (d *Decider) candidates(j *books.Job, share, zone string) []*books.Machine {
	var out []*books.Machine
	for _, m := range d.Books.Held() {
		if rec := m.Rec(); rec.Share == share && (zone == "" || rec.Zone == zone) && d.Books.Usable(m) && j.Rec().Allows(m.Group()) &&
			!d.Faults.Avoid(j.Ref(), m.Host()) && !d.round.kept.from(j, m) {
			if _, known := d.Books.Total(m); known {
				out = append(out, m)
			}
		}
	}
	return out
}

func (d *Decider) zones() []string {
	if d.round.zones == nil {
		for _, m := range d.Books.Held() {
			if !slices.Contains(d.round.zones, m.Rec().Zone) {
				d.round.zones = append(d.round.zones, m.Rec().Zone)
			}
		}
		slices.Sort(d.round.zones)
	}
	return d.round.zones
}

// consider admits an unclaimed job by comparing its need with the count of
// its shape, and claims what fits.
func (d *Decider) consider(j *books.Job) {
	now := time.Now()
	rec := j.Rec()
	if now.Sub(j.Seen()) < 3*tuning.ClaimStagger {
		// The best placed goes first; the others follow in turn, should it fail.
		turn := 0
		if rec.Kind == jobs.Gang {
			turn = d.Others.Rank(rec, j.Need(), d.Rooms(now), now)
		} else if rec.By != d.cfg.Node {
			turn = 1
		}
		if now.Sub(j.Seen()) < time.Duration(turn)*tuning.ClaimStagger {
			d.again(tuning.ClaimStagger)
			return
		}
	}
	var bufs []capacity.Buffer
	if rec.Kind != jobs.Gang { // those of gangs: see gangAnswer
		bufs = d.buffers(j)
	}
	for _, s := range d.Holders.Mine() {
		if j.Busy() {
			return
		}
		if rec.Kind == jobs.Gang {
			d.considerGang(j, s)
		} else {
			d.considerArray(j, s, bufs)
		}
	}
}

// again has the decisions made once more after a while. What is asked for soon
// does not wait for what was asked for later.
func (d *Decider) again(after time.Duration) {
	due := time.Now().Add(after)
	if !d.againAt.IsZero() && !due.Before(d.againAt) {
		return
	}
	d.againAt = due
	d.loop.After(after, func() {
		if d.againAt.Equal(due) {
			d.againAt = time.Time{}
		}
		d.Books.Touch()
	})
}

// Rooms are what the other controllers are told, and what the renting actor counts on:
// how many tasks of the shapes that are waited for or expected fit, by zone. They are
// counted anew no more often than they are told.
func (d *Decider) Rooms(now time.Time) []peer.Count {
	if now.Sub(d.roomsAt) < tuning.BeatEvery/2 {
		return d.rooms
	}
	shapes := map[capacity.Vec]*jobs.Record{}
	for _, g := range d.Growths(now) {
		shapes[g.Need] = g.Rec
	}
	for j := range d.Books.Jobs() {
		if !j.Over() && !j.Waits() && j.Rec().Kind == jobs.Gang && len(j.Rec().Free) > 0 && len(shapes) < tuning.MaxBeatShapes {
			shapes[j.Need()] = j.Rec()
		}
	}
	d.rooms, d.roomsAt = nil, now
	for need, rec := range shapes {
		per := map[string]*peer.Count{}
		for _, m := range d.Books.Held() {
			if !d.Books.Usable(m) {
				continue
			}
			zone := m.Rec().Zone
			c := per[zone]
			if c == nil {
				c = &peer.Count{CPU: need.CPU, GPU: need.GPU, Mem: need.Mem, Zone: zone}
				per[zone] = c
			}
			if rec.Allows(m.Group()) {
				free := capacity.Fit(d.Books.Room(m), need)
				c.Free += free
				c.Lent += d.Lendable(m, classes.Growth{Rec: rec, Need: need}) - free
			}
		}
		for _, c := range per {
			d.rooms = append(d.rooms, *c)
		}
	}
	return d.rooms
}

// Count is a line of the table of counts, for people.
type Count struct {
	Shape   capacity.Vec      `json:"shape"`
	Zone    string            `json:"zone"`
	Fit     int               `json:"fit"`
	Left    int               `json:"allocable"` // of those that fit, beside the buffers
	Buffers []capacity.Buffer `json:"buffers,omitempty"`
}

// Table is the counts for the shapes of all unfinished jobs, by zone.
func (d *Decider) Table() []Count {
	seen := map[capacity.Vec]*books.Job{}
	for j := range d.Books.Jobs() {
		if !j.Over() && !j.Waits() {
			seen[j.Need()] = j
		}
	}
	out := []Count{}
	counts := d.Books.Counts()
	for need, j := range seen {
		bufs := d.buffers(j)
		for _, z := range d.zones() {
			in := func(g capacity.Group) bool { return g.Zone == z }
			out = append(out, Count{need, z, counts.Count(need, in), counts.Allocable(need, in, bufs), bufs})
		}
	}
	return out
}
