package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Arrays: claimed and placed as far as tasks fit.

// resume starts tasks that are claimed and have no place.
func (d *Decider) resume(j *books.Job) {
	for r := range j.Ranges() {
		if !r.Here() || r.Tentative() {
			continue
		}
		s := d.Holders.Share(r.Rec().Share)
		ready := r.Count(books.Ready)
		if ready == 0 || s == nil || !s.Mine() {
			continue
		}
		if j.Rec().Kind == jobs.Gang {
			if ready == r.Len() && d.placeGang(j, r, s) {
				d.Claims.Remark(r)
			}
			continue
		}
		k := min(ready, d.Books.Counts().Count(j.Need(), j.Rec().Allows))
		if k > 0 {
			k = d.within(j, s, min(k, d.trial(j)))
		}
		var idle []int
		for i := 0; i < r.Len() && len(idle) < k; i++ {
			if r.State(i) == books.Ready {
				idle = append(idle, i)
			}
		}
		if len(idle) == 0 {
			continue
		}
		zone := r.Rec().Zone
		if j.Rec().OneZone {
			zone = boundZone(j, zone)
		}
		st := lastResort
		if j.Leftover() {
			st = d.stage(j, time.Now())
		}
		d.placeArray(j, r, s, idle, zone, st)
	}
}

// trial is how many more tasks of a job may be started: of one that is blamed a
// single one at a time, to see whether it works by now.
func (d *Decider) trial(j *books.Job) int {
	if !d.Faults.Blamed(j.Ref()) {
		return math.MaxInt32
	}
	for r := range j.Ranges() {
		if r.Count(books.Placed) > 0 {
			return 0
		}
	}
	return 1
}

// within is how many of so many tasks, for which there is room, the team's limit allows
// in a share; what is lacking is taken, if anybody has it to give.
func (d *Decider) within(j *books.Job, s *membership.Share, tasks int) int {
	left := d.Claims.Within(j, s)
	if left < tasks {
		d.Claims.Want(j, s, tasks, false)
	}
	return min(left, tasks)
}

// stage is how dear the room may be that an array takes: a surplus machine is
// lent only to work that finds nothing else.
type stage int

const (
	noSurplus stage = iota
	lastResort
)

func (d *Decider) stage(j *books.Job, now time.Time) stage {
	if j.Leftover() {
		return noSurplus
	}
	if !j.Rec().Spot || now.Sub(j.Seen()) >= tuning.SurplusAfter {
		return lastResort
	}
	for lot := range d.Books.Census() {
		if lot.Group.Spot && j.Rec().Allows(lot.Group) {
			return noSurplus
		}
	}
	return lastResort // there is no cheap machine to wait for
}

func (st stage) allows(g capacity.Group) bool {
	return st == lastResort || !g.Surplus
}

// boundZone is the zone in which a oneZone job's tasks still are.
func boundZone(j *books.Job, zone string) string {
	for r := range j.Ranges() {
		for i := range r.Len() {
			if s := r.Slot(i); s != nil {
				return s.Machine().Rec().Zone
			}
		}
	}
	return zone
}

// rate is how well a machine suits one more task of an array: one that has the
// image, then the fullest, so that whole machines fall empty and can be
// returned. It grows as a machine is filled, so the best one is filled first.
func (d *Decider) rate(j *books.Job, m *books.Machine) float64 {
	total, _ := d.Books.Total(m)
	score := 0.0
	if m.HasImage(j.Rec().Image) {
		score += tuning.ScoreImage
	}
	if total.CPU > 0 {
		score += 1 - d.Books.Room(m).CPU/total.CPU
	}
	if !m.Is().Surplus {
		// Room that is kept for urgent work is paid for anyway: it is lent before
		// cheap machines are filled, surplus ones come last.
		score += tuning.ScoreKept
		if !m.Rec().Spot {
			score += tuning.ScoreOrdinary
		}
	}
	if !d.urgentMay(m) {
		// First of all go those on which no urgent gang will stop the task, and
		// that need not stand ready for one.
		score += tuning.ScoreSafe
	}
	return score
}

// urgentMay tells whether urgent gangs of the classes seen allow a machine. Of
// those that are only too small for them nothing is said: arrays that were sent
// there first let the large ones fall empty, and the next gang had to wait until
// others were up.
func (d *Decider) urgentMay(m *books.Machine) bool {
	return d.Classes.AnyUrgentGang(func(rec *jobs.Record) bool { return rec.Allows(m.Group()) })
}

func (d *Decider) placeArray(j *books.Job, r *books.Range, s *membership.Share, idle []int, zone string, st stage) int {
	type seat struct {
		m     *books.Machine
		score float64
	}
	var seats []seat
	for _, m := range d.candidates(j, s.ID(), zone) {
		if st.allows(m.Group()) && d.Books.Room(m).Holds(j.Need()) {
			seats = append(seats, seat{m, d.rate(j, m)})
		}
	}
	slices.SortStableFunc(seats, func(x, y seat) int { return cmp.Compare(y.score, x.score) })
	n := 0
	for _, x := range seats {
		for range capacity.Fit(d.Books.Room(x.m), j.Need()) {
			if n == len(idle) {
				return n
			}
			d.Books.Place(r, idle[n], x.m, d.nextTry(s))
			n++
		}
	}
	return n
}

func (d *Decider) considerArray(j *books.Job, s *membership.Share, bufs []capacity.Buffer) {
	rec := j.Rec()
	st := d.stage(j, time.Now())
	zone, most := "", rec.FreeCount()
	if rec.Spread || rec.OneZone {
		if zone, most = d.zoneFor(j, s, st, bufs); zone == "" {
			d.waits[j.Ref()] = wait{why: "no zone of this controller"}
			return
		}
	}
	if st != lastResort && !j.Leftover() {
		d.again(tuning.SurplusAfter)
	}
	allow := func(g capacity.Group) bool {
		return rec.Allows(g) && (zone == "" || g.Zone == zone) && st.allows(g)
	}
	have := min(d.Books.Counts().Allocable(j.Need(), allow, bufs), most, d.trial(j))
	if overdue(j, time.Now()) {
		have = min(have, 1) // it has begun then, and waits on like any other
	}
	if have > 0 {
		if have = d.within(j, s, have); have == 0 {
			d.waits[j.Ref()] = wait{why: forLimit}
			return
		}
	}
	if have <= 0 {
		d.waits[j.Ref()] = wait{why: "0 tasks fit"}
		d.displace(j, s, zone, min(most, d.reach(j, allow, bufs)))
		return
	}
	ahead := 0
	if zone == "" && !d.Faults.Blamed(j.Ref()) {
		ahead = d.ahead(j, s, have)
	}
	d.Claims.Claim(j, s, have+ahead, zone, func(r *books.Range) bool {
		idle := make([]int, min(have, r.Len()))
		for i := range idle {
			idle[i] = i
		}
		n := d.placeArray(j, r, s, idle, zone, st)
		if n == 0 {
			return false
		}
		// Claim no more than was placed, and what the running ones make room
		// for: the rest is for other shares.
		if n = min(n+ahead, r.Len()); n < r.Len() {
			r.Cut(n)
		}
		return true
	})
}

// zoneFor is the zone in which an array that is bound to one, or spread, goes on, and how many of its
// unclaimed tasks may be there: of those allowed the one with the most room. The first by name was
// taken once, full as it was, and the array waited beside an empty one.
func (d *Decider) zoneFor(j *books.Job, s *membership.Share, st stage, bufs []capacity.Buffer) (zone string, most int) {
	rec, best := j.Rec(), -1
	for _, z := range d.zones() {
		left := rec.Tasks
		if rec.Spread {
			left = (rec.Tasks+1)/2 - rec.PerZone[z]
		}
		if rec.OneZone && !wholeZone(j, z) || left <= 0 || len(d.candidates(j, s.ID(), z)) == 0 {
			continue
		}
		room := min(left, d.Books.Counts().Allocable(j.Need(), func(g capacity.Group) bool {
			return rec.Allows(g) && g.Zone == z && st.allows(g)
		}, bufs))
		if room > best {
			zone, most, best = z, min(rec.FreeCount(), left), room
		}
	}
	return zone, most
}

// ahead is how many more tasks to claim than there is room for now: those for
// which the tasks that run or start here make room soon. They then start with
// no further change in the state service. What other shares may need of the
// rest is left to them.
func (d *Decider) ahead(j *books.Job, s *membership.Share, starting int) int {
	running := starting
	for r := range j.Ranges() {
		if r.Rec().Share == s.ID() {
			running += r.Count(books.Placed)
		}
	}
	turns := tuning.ClaimAhead.Seconds() / max(d.Expect(j.Rec()), 1)
	return min(int(float64(running)*turns), max(0, j.Rec().FreeCount()-starting)/d.Holders.Size())
}

// wholeZone: a oneZone array stays in the zone of its first claimed range.
func wholeZone(j *books.Job, zone string) bool {
	for r := range j.Ranges() {
		if z := r.Rec().Zone; z != "" && z != zone {
			return false
		}
	}
	return true
}

// displace claims tasks of a job into room that lower work has to leave.
func (d *Decider) displace(j *books.Job, s *membership.Share, zone string, most int) {
	n := min(most, d.lent(j, func(g capacity.Group) bool {
		return j.Rec().Allows(g) && (zone == "" || g.Zone == zone)
	}))
	if n > 0 {
		n = d.within(j, s, n)
	}
	for ; n > 0; n /= 2 {
		steps, _, ok := d.makeRoom(j, s.ID(), zone, n)
		if !ok {
			continue
		}
		d.Claims.Claim(j, s, n, zone, func(r *books.Range) bool {
			if r.Len() > len(steps) {
				return false
			}
			for i := range r.Len() {
				for _, v := range steps[i].victims {
					d.Books.Displace(r, v)
				}
				d.Books.Place(r, i, steps[i].m, d.nextTry(s))
			}
			return true
		})
		return
	}
}

// TakeAtOnce finds the share of ours that has room for a small job at the moment
// it is submitted, besides so many tasks that were taken but are not in the books yet.
func (d *Decider) TakeAtOnce(rec *jobs.Record, untold int) *membership.Share {
	if !d.Claims.Small(rec) || !d.Mirror.MayAnswer(time.Now()) {
		return nil
	}
	set, _ := d.Mirror.Settings()
	j := d.Books.Describe(rec, set.Spot)
	st := d.stage(j, time.Now())
	allow := func(g capacity.Group) bool { return rec.Allows(g) && st.allows(g) }
	if d.Books.Counts().Allocable(j.Need(), allow, d.buffers(j)) < rec.Tasks+untold {
		return nil
	}
	for _, s := range d.Holders.Mine() {
		n := 0
		for _, m := range d.candidates(j, s.ID(), "") {
			if st.allows(m.Group()) {
				n += capacity.Fit(d.Books.Room(m), j.Need())
			}
			if n >= rec.Tasks {
				return s
			}
		}
	}
	return nil
}
