package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// classStats is what was seen of a class of jobs.
type classStats struct {
	ratio    float64 // run time over estimate, moving mean
	n        int
	arrivals []arrival
	last     *jobs.Record
}

type arrival struct {
	at    time.Time
	tasks int
}

// learn corrects the owners' estimates, which are often biased for a day.
func (a *Actor) learn(j *job, ran float64) {
	if j.rec.EstimateS <= 0 || ran <= 0 {
		return
	}
	c := a.class(j.rec.Class)
	w := max(1/float64(c.n+1), 0.05)
	c.ratio += w * (ran/j.rec.EstimateS - c.ratio)
	c.n++
}

func (a *Actor) class(name string) *classStats {
	c := a.classes[name]
	if c == nil {
		c = &classStats{ratio: 1}
		a.classes[name] = c
	}
	return c
}

func (a *Actor) arrived(rec *jobs.Record) {
	c := a.class(rec.Class)
	c.last = rec
	c.arrivals = append(c.arrivals, arrival{time.Now(), rec.Tasks})
	if len(c.arrivals) > tuning.MaxArrivals {
		c.arrivals = c.arrivals[1:]
	}
}

// growth is the paper's growth buffer (3.1) for one class: by how many tasks
// it is likely to grow while a machine boots.
type growth struct {
	rec  *jobs.Record
	need capacity.Vec
	x    float64
}

// growths sizes the buffers from what was seen. What arrives while a machine
// boots finds the room of what ends meanwhile: only the difference has to be
// kept, and one deviation of both, of which large gangs are the most. Only
// classes above the lowest waiting kinds have a buffer: others wait for machines.
func (a *Actor) growths(now time.Time) []growth {
	boot := 0.0
	for _, f := range a.flavors {
		boot = max(boot, f.StartupS)
	}
	var out []growth
	for name, c := range a.classes {
		if c.last == nil || c.last.Kind != jobs.Gang || c.last.Priority() < urgent || len(c.arrivals) == 0 {
			continue
		}
		// After a pause much longer than usual no more are expected: a cluster
		// without work gives its machines back.
		first := c.arrivals[0].at
		gap := now.Sub(first) / time.Duration(len(c.arrivals))
		pause := min(max(2*gap, tuning.PauseLeast), tuning.PauseMost)
		if now.Sub(c.arrivals[len(c.arrivals)-1].at) > pause {
			continue
		}
		tasks, squares := 0.0, 0.0
		for _, x := range c.arrivals {
			if now.Sub(x.at) < tuning.ArrivalWindow {
				tasks += float64(x.tasks)
				squares += float64(x.tasks * x.tasks)
			}
		}
		part := boot / max(min(now.Sub(first), tuning.ArrivalWindow).Seconds(), boot)
		grow, spread := tasks*part, squares*part
		for _, j := range a.jobs {
			if j.dead || j.rec.Class != name || len(j.rec.Free) > 0 {
				continue
			}
			n, ends := float64(j.rec.Tasks), min(1, boot/max(a.expect(&j.rec), 1))
			grow -= n * ends
			spread += n * n * ends * (1 - ends)
		}
		out = append(out, growth{rec: c.last, need: capacity.Vec{CPU: c.last.CPU, GPU: c.last.GPU, Mem: c.last.MemGB},
			x: a.settings.GrowthFactor * (max(0, grow) + math.Sqrt(spread))})
	}
	return out
}

// urgent is the least priority that has a growth buffer.
var urgent = jobs.Highest() - 1

// expect is the corrected run time of a task, in seconds.
func (a *Actor) expect(rec *jobs.Record) float64 {
	return rec.EstimateS * min(max(a.class(rec.Class).ratio, 0.3), 3)
}

// sortJobs orders waiting jobs: by priority, then gangs and services by
// arrival, and among arrays those first that have to start soonest to be done
// in time. Within a priority a later job may still pass one that does not fit.
func (a *Actor) sortJobs(queue []*job) {
	now := time.Now()
	for _, j := range queue {
		j.startBy = a.startBy(j, now)
	}
	sort.Slice(queue, func(i, k int) bool {
		x, y := queue[i], queue[k]
		if p, q := x.rec.Priority(), y.rec.Priority(); p != q {
			return p > q
		}
		if x.startBy != y.startBy {
			return x.startBy < y.startBy
		}
		return x.ref < y.ref
	})
}

// startBy is the time (Unix ms) by which a job should start: its arrival, or
// for an array the deadline, or the aim of its class, less the run time. A job
// that is too late for one aim is held to the next, and at last comes after
// those that can still be in time.
func (a *Actor) startBy(j *job, now time.Time) int64 {
	at := j.rec.AcceptedMS
	if j.rec.Kind != jobs.Array {
		return at
	}
	late := tuning.LateAfter.Seconds()
	var bounds []float64
	if j.rec.DueS != nil {
		bounds = append(bounds, *j.rec.DueS)
	}
	for _, o := range a.cfg.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == j.rec.Class {
			bounds = append(bounds, o.WithinS)
		}
	}
	slices.Sort(bounds)
	runs := a.expect(&j.rec)
	for _, b := range bounds {
		if by := at + int64((b-runs)*1000); by >= now.UnixMilli() {
			return by
		}
	}
	return at + int64(late*1000)
}

// decide looks at every waiting job in order and starts what fits.
func (a *Actor) decide() {
	a.dirty = false
	a.lastDecide = time.Now()
	if !a.synced || !a.mayAnswer(a.lastDecide) {
		return
	}
	var queue []*job
	for _, j := range a.jobs {
		if j.dead || j.rec.Ref == "" {
			continue
		}
		if j.rec.Kind == jobs.Gang {
			a.healGang(j)
		}
		if len(j.rec.Free) > 0 || a.waiting(j) {
			queue = append(queue, j)
		}
	}
	a.sortJobs(queue)
	a.round = round{}
	for _, j := range queue {
		if a.lastDecide.Before(j.backoff) {
			continue
		}
		a.resume(j)
		if len(j.rec.Free) > 0 && !j.busy && !a.waiting(j) {
			a.consider(j)
		}
	}
	for _, m := range a.held() {
		if m.parked != nil && a.hasOrders(m) {
			a.unpark(m)
		}
	}
}

// round is what one round of decisions needs more than once.
type round struct {
	services map[*job]int            // the most replicas on one machine
	cheap    map[capacity.Group]bool // groups of cheap machines, in all shares
	zones    []string
}

func (a *Actor) waiting(j *job) bool {
	for _, r := range j.ranges {
		if r.count[ready] > 0 {
			return true
		}
	}
	return false
}

// healGang ends a failed try: what is left of it has to go before the next.
func (a *Actor) healGang(j *job) {
	g := &j.gang
	slots, free, unsure := 0, 0, 0
	for _, r := range j.ranges {
		slots += r.count[placed]
		free += r.count[ready]
		unsure += r.count[unknown]
	}
	if slots == 0 {
		if unsure == 0 {
			*g = gangRun{}
		}
		return
	}
	if g.started && free > 0 {
		g.broken = true
	}
	if !g.started && free == 0 && time.Since(j.planned) > tuning.MaxPreemptWait {
		g.broken = true // the room it waited for did not come
	}
	if !g.broken {
		return
	}
	a.haltGang(j, 0)
}

// allowed tells whether a job may run on a group of machines at all.
func allowed(rec *jobs.Record, g capacity.Group) bool {
	return (rec.Spot || !g.Spot) && (rec.Zone == nil || *rec.Zone == g.Zone) &&
		(rec.Builds == nil || slices.Contains(rec.Builds, g.Build))
}

func (a *Actor) nextTry(share *shareEntry) uint64 {
	a.counters[share.id]++
	return share.stamp<<tuning.AttemptBits | (a.counters[share.id] & (1<<tuning.AttemptBits - 1))
}

// buffers are the protected amounts that a job has to leave alone. Room is
// lent to work that a claimant may stop, so a job sees only the buffers of
// those that could not take the room back from it.
func (a *Actor) buffers(j *job) []capacity.Buffer {
	var out []capacity.Buffer
	nodes := float64(len(a.members))
	for _, t := range a.cfg.Cluster.Teams {
		if t.Name == j.rec.Team || t.CPUs <= 0 && t.GPUs <= 0 {
			continue
		}
		// What the team has not claimed of its guarantee, as tasks of the shape
		// it uses most, in this share's part.
		used, shape, seen := a.teamUse(t.Name), capacity.Vec{CPU: 1}, 0
		for _, o := range a.jobs {
			if !o.dead && o.rec.Team == t.Name && o.rec.Tasks > seen {
				shape, seen = o.need, o.rec.Tasks
			}
		}
		x := 0.0
		if shape.CPU > 0 {
			x = (t.CPUs - used.CPU) / shape.CPU
		}
		if shape.GPU > 0 {
			x = max(x, (t.GPUs-used.GPU)/shape.GPU)
		}
		if x > 0 && j.rec.Priority() == jobs.Highest() {
			out = append(out, capacity.Buffer{Shape: shape, X: x / nodes})
		}
	}
	out = append(out, a.restartRoom(j)...)
	if x := a.healing(time.Now()); x > 0 && j.rec.Priority() == jobs.Highest() {
		// Lower work can be stopped when a machine fails; the highest can not.
		var whole capacity.Vec
		for _, m := range a.held() {
			if t, ok := a.total(m); ok && t.CPU > whole.CPU {
				whole = t
			}
		}
		if whole.CPU > 0 {
			out = append(out, capacity.Buffer{Shape: whole, X: x})
		}
	}
	return out
}

// restartRoom is kept for the replicas of services that a failing machine would
// take with it: as many as the fullest machine holds. Work that a service may
// stop need not leave it free.
func (a *Actor) restartRoom(j *job) []capacity.Buffer {
	if a.round.services == nil {
		a.round.services = a.countReplicas()
	}
	var out []capacity.Buffer
	for o, n := range a.round.services {
		if o != j && !o.dead && j.rec.Priority() >= o.rec.Priority() {
			out = append(out, capacity.Buffer{Shape: o.need, X: float64(n)})
		}
	}
	return out
}

func (a *Actor) countReplicas() map[*job]int {
	most := map[*job]int{}
	for _, m := range a.held() {
		if a.sum(m).services == 0 {
			continue
		}
		per := map[*job]int{}
		for _, s := range m.slots {
			if s.r != nil && s.r.job.rec.Kind == jobs.Service {
				per[s.r.job]++
			}
		}
		for o, n := range per {
			most[o] = max(most[o], n)
		}
	}
	return most
}

// healing is how many whole machines are likely to fail while another boots,
// from the failures seen lately (the paper's healing buffer).
func (a *Actor) healing(now time.Time) float64 {
	n := 0
	for _, t := range a.failures {
		if now.Sub(t) < tuning.FailureWindow {
			n++
		}
	}
	boot := 0.0
	for _, f := range a.flavors {
		boot = max(boot, f.StartupS)
	}
	return float64(n) * boot / tuning.FailureWindow.Seconds()
}

// capShare is the share on which a capped team's tasks run: the whole cap is
// its durable portion, so no two controllers can overrun it together.
func (a *Actor) capShare(team string) string {
	t, _ := a.cfg.Team(team)
	if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
		return ""
	}
	var names []string
	for _, m := range a.members {
		names = append(names, m.Node)
	}
	slices.Sort(names)
	h := 0
	for _, c := range team {
		h = h*31 + int(c)
	}
	return names[((h%len(names))+len(names))%len(names)]
}

// capLeft is how many tasks of the job the team's cap still allows here.
func (a *Actor) capLeft(j *job) int {
	t, _ := a.cfg.Team(j.rec.Team)
	share := a.capShare(j.rec.Team)
	if share == "" {
		return math.MaxInt32
	}
	s := a.shares[share]
	if s == nil || !s.mine || !s.settled {
		return 0
	}
	var used capacity.Vec
	for _, m := range a.held() {
		if m.rec.Share != share {
			continue
		}
		for _, sl := range m.slots {
			ref, _, _ := jobs.ParseTask(sl.name)
			// Tasks of jobs that are over count until they are gone: their team
			// may no longer be known, so they count for every capped team.
			if o := a.jobs[ref]; o == nil || o.dead || o.rec.Team == j.rec.Team {
				used = used.Add(sl.need)
			}
		}
	}
	left := math.MaxInt32
	if t.CPUsMax > 0 && j.need.CPU > 0 {
		left = min(left, int((t.CPUsMax-used.CPU+1e-6)/j.need.CPU))
	}
	if t.GPUsMax > 0 && j.need.GPU > 0 {
		left = min(left, int((t.GPUsMax-used.GPU+1e-6)/j.need.GPU))
	}
	return max(left, 0)
}

// resume starts tasks that are claimed and have no place.
func (a *Actor) resume(j *job) {
	for _, r := range j.ranges {
		if r.tasks == nil || r.tentative {
			continue
		}
		s := a.shares[r.rec.Share]
		if r.count[ready] == 0 || s == nil || !s.mine {
			continue
		}
		if j.rec.Kind == jobs.Gang {
			if r.count[ready] == len(r.tasks) {
				a.placeGang(j, r, s)
			}
			continue
		}
		allow := func(g capacity.Group) bool { return allowed(&j.rec, g) }
		k := min(r.count[ready], a.counts().Count(j.need, allow))
		if k > 0 {
			k = min(k, a.capLeft(j))
		}
		var idle []int
		for i := 0; i < len(r.tasks) && len(idle) < k; i++ {
			if r.tasks[i].st == ready {
				idle = append(idle, i)
			}
		}
		if len(idle) == 0 {
			continue
		}
		zone := r.rec.Zone
		if j.rec.OneZone {
			zone = a.boundZone(j, zone)
		}
		a.placeArray(j, r, s, idle, zone, lastResort)
	}
}

// stage is how dear the room may be that an array takes: a surplus machine is
// lent only to work that finds nothing else.
type stage int

const (
	noSurplus stage = iota
	lastResort
)

func (a *Actor) stage(j *job, now time.Time) stage {
	if !j.rec.Spot || now.Sub(j.seen) >= tuning.SurplusAfter {
		return lastResort
	}
	if a.round.cheap == nil {
		a.round.cheap = map[capacity.Group]bool{}
		for _, m := range a.workers {
			if m.rec.Spot && !m.released {
				a.round.cheap[a.group(m)] = true
			}
		}
	}
	for g := range a.round.cheap {
		if allowed(&j.rec, g) {
			return noSurplus
		}
	}
	return lastResort // there is no cheap machine to wait for
}

func (st stage) allows(g capacity.Group) bool {
	return st == lastResort || !g.Surplus
}

// boundZone is the zone in which a oneZone job's tasks still are.
func (a *Actor) boundZone(j *job, zone string) string {
	for _, r := range j.ranges {
		for i := range r.tasks {
			if s := r.tasks[i].slot; s != nil {
				return s.m.rec.Zone
			}
		}
	}
	return zone
}

// candidates lists the machines of a share on which a job may run, in the
// order of their names.
func (a *Actor) candidates(j *job, share, zone string) []*machine {
	var out []*machine
	for _, m := range a.held() {
		if m.rec.Share == share && (zone == "" || m.rec.Zone == zone) && a.usable(m) && allowed(&j.rec, a.group(m)) &&
			!j.badOn[m.host] {
			if _, known := a.total(m); known {
				out = append(out, m)
			}
		}
	}
	return out
}

// rate is how well a machine suits one more task of an array: one that has the
// image, then the fullest, so that whole machines fall empty and can be
// returned. It grows as a machine is filled, so the best one is filled first.
func (a *Actor) rate(j *job, m *machine) float64 {
	total, _ := a.total(m)
	score := 0.0
	if _, has := m.images[j.rec.Image]; has {
		score += 2
	}
	if total.CPU > 0 {
		score += 1 - a.room(m).CPU/total.CPU
	}
	if !m.surplus {
		// Room that is kept for urgent work is paid for anyway: it is lent
		// first, then cheap machines are filled, surplus ones last.
		score += 4
		if !m.rec.Spot {
			score += 4
		}
	}
	return score
}

func (a *Actor) placeArray(j *job, r *taskRange, s *shareEntry, idle []int, zone string, st stage) int {
	type seat struct {
		m     *machine
		score float64
	}
	var seats []seat
	for _, m := range a.candidates(j, s.id, zone) {
		if st.allows(a.group(m)) && a.room(m).Holds(j.need) {
			seats = append(seats, seat{m, a.rate(j, m)})
		}
	}
	slices.SortStableFunc(seats, func(x, y seat) int { return cmp.Compare(y.score, x.score) })
	n := 0
	for _, x := range seats {
		for range capacity.Fit(a.room(x.m), j.need) {
			if n == len(idle) {
				return n
			}
			a.place(r, idle[n], x.m, a.nextTry(s))
			n++
		}
	}
	return n
}

// placeGang plans all tasks of a claimed gang, in room that is free or that
// lower work has to leave.
func (a *Actor) placeGang(j *job, r *taskRange, s *shareEntry) bool {
	if a.capLeft(j) < len(r.tasks) {
		j.wait = "the team's cap"
		return false
	}
	zones := a.zonesWith(j, len(r.tasks))
	if !j.rec.OneZone && j.rec.Zone == nil {
		zones = append([]string{""}, zones...)
	}
	if r.rec.Zone != "" {
		zones = []string{r.rec.Zone}
	}
	type option struct {
		steps []step
		cost  float64
	}
	var best *option
	for _, z := range zones {
		steps, cost, ok := a.makeRoom(j, s.id, z, len(r.tasks))
		if ok && (best == nil || cost < best.cost) {
			best = &option{steps, cost}
		}
	}
	if best == nil {
		return false
	}
	try := a.nextTry(s)
	j.gang = gangRun{try: try}
	j.planned = time.Now()
	for i, st := range best.steps {
		for _, v := range st.victims {
			a.preempt(v)
		}
		a.place(r, i, st.m, try)
	}
	return true
}

func (a *Actor) zones() []string {
	if a.round.zones == nil {
		for _, m := range a.held() {
			if !slices.Contains(a.round.zones, m.rec.Zone) {
				a.round.zones = append(a.round.zones, m.rec.Zone)
			}
		}
		slices.Sort(a.round.zones)
	}
	return a.round.zones
}

// zonesWith are the zones in which n tasks fit by the counts, lower work set
// aside: only there is it worth looking for places.
func (a *Actor) zonesWith(j *job, n int) []string {
	var out []string
	for _, z := range a.zones() {
		allow := func(g capacity.Group) bool { return g.Zone == z && allowed(&j.rec, g) }
		if a.counts().Count(j.need, allow)+a.lent(j, allow) >= n {
			out = append(out, z)
		}
	}
	return out
}

// step is room for one task on a machine, and who has to leave for it.
type step struct {
	m       *machine
	victims []*slot
}

// pool is a machine in which a plan looks for room.
type pool struct {
	m     *machine
	room  capacity.Vec
	prey  []*slot // may be stopped, the least loss first
	loss  []float64
	image float64
	// The next task's price, and how many of prey it takes; none if it does not
	// fit.
	fits bool
	cost float64
	used int
}

func (p *pool) price(need capacity.Vec) {
	room, cost, k := p.room, 0.0, 0
	for !room.Holds(need) && k < len(p.prey) {
		room = room.Add(p.prey[k].need)
		cost += 1 + p.loss[k]
		k++
	}
	// Among equals the fuller machine is taken.
	p.fits, p.cost, p.used = room.Holds(need), cost+p.image+0.001*room.CPU, k
}

func (a *Actor) pools(j *job, share, zone string) []*pool {
	var out []*pool
	for _, m := range a.candidates(j, share, zone) {
		p := &pool{m: m, room: a.room(m)}
		if _, has := m.images[j.rec.Image]; !has {
			if f := a.flavors[m.rec.Build]; f.FetchGBPerS > 0 {
				// The room stands idle while the image is fetched.
				p.image = j.rec.ImageGB / f.FetchGBPerS * j.need.CPU
			}
		}
		loss := map[*slot]float64{}
		for _, s := range m.slots {
			if s.r != nil && !s.stop && a.mayPreempt(j, s) {
				p.prey = append(p.prey, s)
				loss[s] = a.loss(s)
			}
		}
		slices.SortFunc(p.prey, func(x, y *slot) int {
			return cmp.Or(cmp.Compare(loss[x], loss[y]), strings.Compare(x.name, y.name))
		})
		for _, s := range p.prey {
			p.loss = append(p.loss, loss[s])
		}
		if p.price(j.need); p.fits {
			out = append(out, p)
		}
	}
	return out
}

// makeRoom finds places for n tasks at the least loss of work.
func (a *Actor) makeRoom(j *job, share, zone string, n int) ([]step, float64, bool) {
	var out []step
	total := 0.0
	pools := a.pools(j, share, zone)
	perZone := map[string]int{}
	most := n
	if j.rec.Spread {
		most = (j.rec.Tasks + 1) / 2
	}
	for range n {
		var best *pool
		for _, p := range pools {
			if p.fits && (best == nil || p.cost < best.cost) && perZone[p.m.rec.Zone] < most {
				best = p
			}
		}
		if best == nil {
			return nil, 0, false
		}
		taken := best.prey[:best.used]
		out = append(out, step{best.m, slices.Clone(taken)})
		total += best.cost
		for _, v := range taken {
			best.room = best.room.Add(v.need)
		}
		best.room = best.room.Sub(j.need)
		best.prey, best.loss = best.prey[best.used:], best.loss[best.used:]
		best.price(j.need)
		perZone[best.m.rec.Zone]++
	}
	return out, total, true
}

// mayPreempt: work of a higher priority may take the place of lower work, and
// a team within its guarantee that of what another team runs beyond its own.
func (a *Actor) mayPreempt(j *job, s *slot) bool {
	v := s.r.job
	if v.rec.Priority() < j.rec.Priority() {
		return true
	}
	return v.rec.Team != j.rec.Team && a.within(j) && a.beyond(v)
}

// teamUse is what a team's claimed and unfinished tasks take, in all shares.
func (a *Actor) teamUse(team string) capacity.Vec {
	var used capacity.Vec
	for _, o := range a.jobs {
		if o.dead || o.rec.Team != team {
			continue
		}
		for _, r := range o.ranges {
			n := float64(r.rec.N - r.doneCount())
			used = used.Add(capacity.Vec{CPU: n * o.need.CPU, GPU: n * o.need.GPU})
		}
	}
	return used
}

// within tells whether one more task of the job keeps its team inside its
// guarantee.
func (a *Actor) within(j *job) bool {
	t, _ := a.cfg.Team(j.rec.Team)
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	n := 1.0
	if j.rec.Kind == jobs.Gang {
		n = float64(j.rec.FreeCount())
	}
	used := a.teamUse(t.Name)
	return used.CPU+n*j.need.CPU <= t.CPUs+1e-6 && used.GPU+n*j.need.GPU <= t.GPUs+1e-6
}

// beyond tells whether the job's team uses more than its guarantee.
func (a *Actor) beyond(j *job) bool {
	t, _ := a.cfg.Team(j.rec.Team)
	used := a.teamUse(t.Name)
	return used.CPU > t.CPUs+1e-6 || used.GPU > t.GPUs+1e-6
}

// loss is the work (CPU seconds) that stopping a task throws away.
func (a *Actor) loss(s *slot) float64 {
	if s.r != nil && s.r.job.rec.Kind == jobs.Gang {
		// The whole gang stops; one that can save loses the time of saving.
		ran := 0.0
		if !s.since.IsZero() {
			ran = time.Since(s.since).Seconds()
		}
		if s.ckpt > 0 {
			ran = min(ran, s.r.job.rec.SaveS+a.cfg.Cluster.Workers.GangPeerS)
		}
		return ran * s.need.CPU * float64(s.r.job.rec.Tasks)
	}
	if s.since.IsZero() {
		return 0
	}
	ran := time.Since(s.since).Seconds()
	if s.ckpt > 0 {
		ran = math.Mod(ran, s.ckpt)
	}
	return ran * s.need.CPU
}

// preempt stops a task for another.
func (a *Actor) preempt(s *slot) {
	if !s.sent && !s.seen {
		a.unplace(s)
		return
	}
	if s.r != nil && s.r.job.rec.Kind == jobs.Gang {
		a.stopGang(s.r.job)
		return
	}
	a.halt(s, 0)
}

// consider admits an unclaimed job by comparing its need with the count of
// its shape, and claims what fits.
func (a *Actor) consider(j *job) {
	now := time.Now()
	if now.Sub(j.seen) < 3*tuning.ClaimStagger {
		// The best placed goes first; the others follow in turn, should it fail.
		turn := 0
		if j.rec.Kind == jobs.Gang {
			turn = a.rank(j)
		} else if j.rec.By != a.cfg.Node {
			turn = 1
		}
		if now.Sub(j.seen) < time.Duration(turn)*tuning.ClaimStagger {
			a.again(tuning.ClaimStagger)
			return
		}
	}
	bufs := a.buffers(j)
	bound := a.capShare(j.rec.Team)
	for _, s := range a.mine() {
		if bound != "" && bound != s.id {
			continue
		}
		if j.busy {
			return
		}
		if j.rec.Kind == jobs.Gang {
			a.considerGang(j, s, bufs)
		} else {
			a.considerArray(j, s, bufs)
		}
	}
}

// again has the decisions made once more after a while.
func (a *Actor) again(d time.Duration) {
	if a.againArmed {
		return
	}
	a.againArmed = true
	time.AfterFunc(d, func() { a.tell(call(func(a *Actor) { a.againArmed = false; a.dirty = true })) })
}

func (a *Actor) mine() []*shareEntry {
	var out []*shareEntry
	for _, s := range a.shares {
		if s.mine {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id < out[k].id })
	return out
}

func (a *Actor) considerGang(j *job, s *shareEntry, bufs []capacity.Buffer) {
	n := j.rec.Tasks
	if j.rec.FreeCount() != n {
		return
	}
	allow := func(g capacity.Group) bool { return allowed(&j.rec, g) }
	have := a.reach(j, allow, bufs)
	if have < n {
		j.wait = fmt.Sprintf("%d tasks fit, %d needed", have, n)
		return
	}
	if j.rec.OneZone && len(a.zonesWith(j, n)) == 0 {
		j.wait = fmt.Sprintf("%d tasks fit, but no zone holds %d", have, n)
		return
	}
	a.claim(j, s, n, "", func(r *taskRange) bool { return a.placeGang(j, r, s) })
}

// reach is how many tasks fit if lower work is set aside: the room it was lent
// is not the job's to take as far as it is protected from the job.
func (a *Actor) reach(j *job, allow func(capacity.Group) bool, bufs []capacity.Buffer) int {
	free := a.counts().Allocable(j.need, allow, bufs)
	lent := a.lent(j, allow)
	if lent == 0 {
		return free
	}
	all := a.counts().Count(j.need, allow) + lent
	for _, b := range capacity.Aggregate(bufs) {
		all -= b.In(j.need)
	}
	return max(free, all)
}

// lent is how many more tasks would fit into room lent to lower work.
func (a *Actor) lent(j *job, allow func(capacity.Group) bool) int {
	p := j.rec.Priority()
	if !a.guarantees() {
		return a.under[p].Count(j.need, allow) - a.counts().Count(j.need, allow)
	}
	// With guarantees it depends on what each team uses at this moment.
	n := 0
	for _, m := range a.held() {
		if !a.usable(m) || !allow(a.group(m)) {
			continue
		}
		full := a.room(m)
		for _, s := range m.slots {
			if s.r != nil && !s.stop && a.mayPreempt(j, s) {
				full = full.Add(s.need)
			}
		}
		n += capacity.Fit(full, j.need) - capacity.Fit(a.room(m), j.need)
	}
	return n
}

// guarantees tells whether any team has one.
func (a *Actor) guarantees() bool {
	return slices.ContainsFunc(a.cfg.Cluster.Teams, func(t config.Team) bool { return t.CPUs > 0 || t.GPUs > 0 })
}

func (a *Actor) considerArray(j *job, s *shareEntry, bufs []capacity.Buffer) {
	zone := ""
	most := j.rec.FreeCount()
	for _, z := range a.zones() {
		if !j.rec.Spread && !j.rec.OneZone {
			break
		}
		if j.rec.OneZone && !a.wholeZone(j, z) {
			continue
		}
		n := (j.rec.Tasks + 1) / 2
		if j.rec.OneZone {
			n = j.rec.Tasks
		}
		if left := n - j.rec.PerZone[z]; left > 0 && len(a.candidates(j, s.id, z)) > 0 {
			zone, most = z, min(most, left)
			break
		}
	}
	if zone == "" && (j.rec.Spread || j.rec.OneZone) {
		j.wait = "no zone of this controller"
		return
	}
	st := a.stage(j, time.Now())
	if st != lastResort {
		a.again(tuning.SurplusAfter)
	}
	allow := func(g capacity.Group) bool {
		return allowed(&j.rec, g) && (zone == "" || g.Zone == zone) && st.allows(g)
	}
	have := min(a.counts().Allocable(j.need, allow, bufs), a.capLeft(j), most)
	if have <= 0 {
		j.wait = "0 tasks fit"
		a.displace(j, s, zone, min(most, a.capLeft(j), a.reach(j, allow, bufs)))
		return
	}
	ahead := 0
	if zone == "" && !a.hasCap(j) {
		ahead = a.ahead(j, s, have)
	}
	a.claim(j, s, have+ahead, zone, func(r *taskRange) bool {
		idle := make([]int, min(have, len(r.tasks)))
		for i := range idle {
			idle[i] = i
		}
		n := a.placeArray(j, r, s, idle, zone, st)
		if n == 0 {
			return false
		}
		// Claim no more than was placed, and what the running ones make room
		// for: the rest is for other shares.
		if n = min(n+ahead, len(r.tasks)); n < len(r.tasks) {
			r.cut(n)
			r.rec.N = n
		}
		return true
	})
}

// ahead is how many more tasks to claim than there is room for now: those for
// which the tasks that run or start here make room soon. They then start with
// no further change in the state service. What other shares may need of the
// rest is left to them.
func (a *Actor) ahead(j *job, s *shareEntry, starting int) int {
	running := starting
	for _, r := range j.ranges {
		if r.rec.Share == s.id {
			running += r.count[placed]
		}
	}
	turns := tuning.ClaimAhead.Seconds() / max(a.expect(&j.rec), 1)
	return min(int(float64(running)*turns), max(0, j.rec.FreeCount()-starting)/len(a.members))
}

// hasCap tells whether the job's team has a cap: what it may use then changes
// from moment to moment.
func (a *Actor) hasCap(j *job) bool { return a.capShare(j.rec.Team) != "" }

// wholeZone: a oneZone array stays in the zone of its first claimed range.
func (a *Actor) wholeZone(j *job, zone string) bool {
	for _, r := range j.ranges {
		if r.rec.Zone != "" && r.rec.Zone != zone {
			return false
		}
	}
	return true
}

// displace claims tasks of a job into room that lower work has to leave.
func (a *Actor) displace(j *job, s *shareEntry, zone string, most int) {
	n := min(most, a.lent(j, func(g capacity.Group) bool {
		return allowed(&j.rec, g) && (zone == "" || g.Zone == zone)
	}))
	for ; n > 0; n /= 2 {
		steps, _, ok := a.makeRoom(j, s.id, zone, n)
		if !ok {
			continue
		}
		a.claim(j, s, n, zone, func(r *taskRange) bool {
			if len(r.tasks) > len(steps) {
				return false
			}
			for i := range r.tasks {
				for _, v := range steps[i].victims {
					a.preempt(v)
				}
				a.place(r, i, steps[i].m, a.nextTry(s))
			}
			return true
		})
		return
	}
}
