package decide

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// Wanted is a waiting job as the renting actor sees it.
type Wanted struct {
	Rec     jobs.Record
	Need    capacity.Vec
	Tasks   int
	Runs    float64 // expected run time of a task, seconds
	Waiting time.Duration
	Age     time.Duration // since it could have run
	// Background work leaves room to the other classes; Leftover is no reason for
	// dear machines.
	Background, Leftover bool
}

// Demand is what waits and what is there.
type Demand struct {
	OK       bool // false without fresh knowledge
	Settings admin.Settings
	Boot     uint64
	Boots    map[string]float64 // usual boot time by type as recorded, seconds
	Jobs     []Wanted
	Machines map[string]capacity.Group       // every recorded worker that is not gone
	Recorded map[string]bool                 // every recorded worker
	Room     map[capacity.Vec]map[string]int // by shape and zone: tasks of gangs that fit, lower work set aside
	GangCPU  float64                         // held by gangs and services
	Kept     float64                         // CPUs beside and for urgent gangs that are there anyway, see kept
	Running  map[string]RunWork              // by class, what running array tasks still need, as expected
	Reserve  float64                         // CPUs that background work has to leave free, see owners
}

// RunWork is work that is under way: what it holds and for how long.
type RunWork struct {
	CPU  float64
	Left float64 // seconds
	// Background work holds its CPUs, but need not be done.
	Background bool
}

// Add joins more work of the class: so many CPUs for so long.
func (r RunWork) Add(cpu, left float64, background bool) RunWork {
	if r.CPU+cpu > 0 {
		r.Left = (r.CPU*r.Left + cpu*left) / (r.CPU + cpu)
	}
	r.CPU += cpu
	r.Background = background
	return r
}

// Within is how many CPU seconds of it count against the next seconds. Work with
// an aim counts whole, also what will not be done by then: machines that are
// rented for it are of use to the next.
func (r RunWork) Within(horizon float64) float64 {
	if r.Background {
		return r.CPU * min(r.Left, horizon)
	}
	return r.CPU * r.Left
}

// kept are the CPUs, beyond those that gangs hold, of machines that are there for
// urgent gangs anyway: what is left over beside their tasks, and what is kept for
// those that are likely to come. Arrays may count on them; the rest of the dear
// machines is to be returned, and an array that takes it keeps it.
func (d *Decider) kept(gangCPU float64, now time.Time) float64 {
	sum := 0.0
	for _, g := range d.Growths(now) {
		if g.Need.CPU <= 0 {
			continue
		}
		// The type that a task of it fits best.
		over := math.Inf(1)
		for sku, f := range d.Types.All() {
			total := f.Total()
			if n := capacity.Fit(total, g.Need); n > 0 && (g.Rec.Builds == nil || slices.Contains(g.Rec.Builds, sku)) {
				over = min(over, total.CPU/(float64(n)*g.Need.CPU))
			}
		}
		if math.IsInf(over, 1) {
			continue
		}
		sum += g.X*g.Need.CPU*over + gangCPU*(over-1)
		gangCPU = 0 // counted once
	}
	return sum
}

// Allowance is what teams' limits leave to jobs that wait: machines for more would stand
// empty. A team of lumenweg-ops-fleet with a limit of half its load had 26 times the price
// of its useful work paid.
type Allowance struct {
	d    *Decider
	left map[string]quota.Amount // by team
}

// Allowance is a new one, of which nothing was taken.
func (d *Decider) Allowance() *Allowance {
	return &Allowance{d: d, left: map[string]quota.Amount{}}
}

// Take is how many of a job's unclaimed tasks the limit of its team allows beside those
// that were claimed, and taken before.
func (a *Allowance) Take(j *books.Job) int {
	rec := j.Rec()
	n := rec.FreeCount()
	t, _ := a.d.cfg.Team(rec.Team)
	if !quota.Limited(t) {
		return n
	}
	left, known := a.left[t.Name]
	if !known {
		left = quota.Limit(t).Sub(quota.Of(t, a.d.teamUse(t.Name), 1))
	}
	one := quota.Of(t, j.Need(), 1)
	if rec.Kind != jobs.Gang {
		n = min(n, quota.Fit(left, one))
	} else if quota.Fit(left, one) < n {
		n = 0
	}
	a.left[t.Name] = left.Sub(quota.Of(t, j.Need(), n))
	return n
}

// Demand is what waits for machines, and what is there, to a run of this controller's
// process.
func (d *Decider) Demand(now time.Time, boot uint64) Demand {
	set, _ := d.Mirror.Settings()
	w := Demand{OK: d.Mirror.Synced() && !d.Mirror.Stale(now), Boot: boot, Boots: d.Types.Boots(), Settings: set,
		Machines: map[string]capacity.Group{}, Recorded: map[string]bool{}, Running: map[string]RunWork{}}
	for m := range d.Books.Machines() {
		w.Recorded[m.Host()] = true
		if is := m.Is(); !is.Gone && !is.Releasing && !is.Drained && !is.Recalled {
			w.Machines[m.Host()] = m.Group()
		}
	}
	w.Room = map[capacity.Vec]map[string]int{}
	for _, c := range slices.Concat(d.Rooms(now), d.Others.Counts(now)) {
		v := capacity.Vec{CPU: c.CPU, GPU: c.GPU, Mem: c.Mem}
		if w.Room[v] == nil {
			w.Room[v] = map[string]int{}
		}
		w.Room[v][c.Zone] += c.Free + c.Lent
	}
	var queue []*books.Job
	for j := range d.Books.Jobs() {
		if j.Over() || j.Waits() {
			continue
		}
		rec := j.Rec()
		if len(rec.Free) > 0 && now.Sub(j.Seen()) >= tuning.RentDelay && !d.Faults.Blamed(j.Ref()) {
			queue = append(queue, j)
		}
		open := float64(j.Open())
		if rec.Kind == jobs.Array {
			// On average a task is half done.
			w.Running[rec.Class] = w.Running[rec.Class].Add(open*j.Need().CPU, d.Expect(rec)/2, j.Background())
		} else {
			w.GangCPU += open * j.Need().CPU
		}
	}
	w.Kept = d.kept(w.GangCPU, now)
	for _, l := range d.expectedLoads(now) {
		w.Reserve += max(0, l.Peak-l.use)
	}
	d.sort(queue, now)
	may := d.Allowance()
	for _, j := range queue {
		tasks := may.Take(j)
		if tasks == 0 {
			continue
		}
		rec := *j.Rec()
		if by := j.By()[0]; by != depend.Never {
			due := float64(by-j.SinceMS()) / 1000 // also what those behind it need
			rec.DueS = &due
		}
		w.Jobs = append(w.Jobs, Wanted{Rec: rec, Need: j.Need(), Tasks: tasks,
			Runs: d.Expect(j.Rec()), Waiting: now.Sub(j.Seen()), Age: j.Age(now),
			Background: j.Background(), Leftover: j.Leftover()})
	}
	return w
}
