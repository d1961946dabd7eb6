package decide

import (
	"math"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/packing"
)

// Gangs: all tasks or none, and the room that is made for them.

// placeGang plans all tasks of a claimed gang, in room that is free or that
// lower work has to leave.
func (d *Decider) placeGang(j *books.Job, r *books.Range, s *membership.Share) bool {
	if d.Claims.Within(j, s) < r.Len() {
		d.Claims.Want(j, s, r.Len(), true)
		d.waits[j.Ref()] = wait{why: forLimit}
		return false
	}
	zones := d.zonesWith(j, r.Len())
	if !j.Rec().OneZone && j.Rec().Zone == nil {
		zones = append([]string{""}, zones...)
	}
	if zone := r.Rec().Zone; zone != "" {
		zones = []string{zone}
	}
	type option struct {
		steps []step
		cost  float64
	}
	var best *option
	for _, z := range zones {
		steps, cost, ok := d.makeRoom(j, s.ID(), z, r.Len())
		if ok && (best == nil || cost < best.cost) {
			best = &option{steps, cost}
		}
	}
	if best == nil {
		return false
	}
	try := d.nextTry(s)
	d.Books.Plan(j, try)
	for i, st := range best.steps {
		for _, v := range st.victims {
			d.Books.Displace(r, v)
		}
		d.Books.Place(r, i, st.m, try)
	}
	return true
}

// zonesWith are the zones in which n tasks fit by the counts, lower work set
// aside: only there is it worth looking for places.
func (d *Decider) zonesWith(j *books.Job, n int) []string {
	var out []string
	for _, z := range d.zones() {
		if d.inZone(j, z) >= n {
			out = append(out, z)
		}
	}
	return out
}

// inZone is how many of the job's tasks fit in a zone, lower work set aside.
func (d *Decider) inZone(j *books.Job, zone string) int {
	allow := func(g capacity.Group) bool { return g.Zone == zone && j.Rec().Allows(g) }
	return d.Books.Counts().Count(j.Need(), allow) + d.lent(j, allow)
}

// step is room for one task on a machine, and who has to leave for it.
type step struct {
	m       *books.Machine
	victims []*books.Slot
}

// pool is a machine as a plan sees it.
func (d *Decider) pool(j *books.Job, m *books.Machine) packing.Pool {
	p := packing.Pool{Zone: m.Rec().Zone, Room: d.Books.Room(m)}
	if !m.HasImage(j.Rec().Image) {
		if f, _ := d.Types.Flavor(m.Rec().Build); f.FetchGBPerS > 0 {
			p.Image = j.Rec().ImageGB / f.FetchGBPerS * j.Need().CPU
		}
	}
	full := p.Room
	for s := range m.Slots() {
		if d.mayPreempt(j, s) {
			p.Prey = append(p.Prey, packing.Prey{Name: s.Name(), Need: s.Need(), Loss: d.loss(s)})
			full = full.Add(s.Need())
		}
	}
	if !full.Holds(j.Need()) {
		return packing.Pool{}
	}
	return p
}

// makeRoom finds places for n tasks at the least loss of work.
func (d *Decider) makeRoom(j *books.Job, share, zone string, n int) ([]step, float64, bool) {
	var ms []*books.Machine
	var pools []packing.Pool
	for _, m := range d.candidates(j, share, zone) {
		if p := d.pool(j, m); p.Zone != "" {
			ms, pools = append(ms, m), append(pools, p)
		}
	}
	most := n
	if j.Rec().Spread {
		most = (j.Rec().Tasks + 1) / 2
	}
	plan, cost, ok := packing.Plan(pools, j.Need(), n, most)
	out := make([]step, len(plan))
	for i, st := range plan {
		out[i].m = ms[st.Pool]
		for _, v := range st.Leaves {
			out[i].victims = append(out[i].victims, out[i].m.Slot(v.Name))
		}
	}
	return out, cost, ok
}

// loss is the work (CPU seconds) that stopping a task of ours throws away.
func (d *Decider) loss(s *books.Slot) float64 {
	rec, ran := s.Job().Rec(), 0.0
	if since := s.Is().Since; !since.IsZero() {
		ran = time.Since(since).Seconds()
	}
	if rec.Kind == jobs.Gang {
		// The whole gang stops; one that can save loses the time of saving.
		if rec.CheckpointS > 0 {
			ran = min(ran, rec.SaveS+d.cfg.Cluster.Workers.GangPeerS)
		}
		return ran * s.Need().CPU * float64(rec.Tasks)
	}
	if rec.CheckpointS > 0 {
		ran = math.Mod(ran, rec.CheckpointS)
	}
	return ran * s.Need().CPU
}

func (d *Decider) considerGang(j *books.Job, s *membership.Share) {
	n := j.Rec().Tasks
	if j.Rec().FreeCount() != n {
		return
	}
	have := d.gangAnswer(j)
	if have.reach < n {
		d.waits[j.Ref()] = wait{forRoom, have.reach}
		return
	}
	if j.Rec().OneZone && have.zone < n {
		d.waits[j.Ref()] = wait{forZone, have.reach}
		return
	}
	d.Claims.Claim(j, s, n, "", func(r *books.Range) bool { return d.placeGang(j, r, s) })
}

// reach is how many tasks fit if lower work is set aside: the room it was lent
// is not the job's to take as far as it is protected from the job.
func (d *Decider) reach(j *books.Job, allow func(capacity.Group) bool, bufs []capacity.Buffer) int {
	free := d.Books.Counts().Allocable(j.Need(), allow, bufs)
	lent := d.lent(j, allow)
	if lent == 0 {
		return free
	}
	all := d.Books.Counts().Count(j.Need(), allow) + lent
	for _, b := range capacity.Aggregate(bufs) {
		all -= b.In(j.Need())
	}
	return max(free, all)
}

// lent is how many more tasks would fit into room lent to lower work.
func (d *Decider) lent(j *books.Job, allow func(capacity.Group) bool) int {
	if d.Faults.Blamed(j.Ref()) {
		return 0
	}
	if !d.guarantees() {
		return d.Books.Under(d.presses(j)).Count(j.Need(), allow) - d.Books.Counts().Count(j.Need(), allow)
	}
	// With guarantees it depends on what each team uses at this moment.
	n := 0
	for _, m := range d.Books.Held() {
		if !d.Books.Usable(m) || !allow(m.Group()) {
			continue
		}
		full := d.Books.Room(m)
		for s := range m.Slots() {
			if d.mayPreempt(j, s) {
				full = full.Add(s.Need())
			}
		}
		n += capacity.Fit(full, j.Need()) - capacity.Fit(d.Books.Room(m), j.Need())
	}
	return n
}
