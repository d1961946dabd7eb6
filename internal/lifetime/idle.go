package lifetime

import (
	"slices"
	"sort"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/classes"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Machines that have too little to do.

// keepIdle is how long a machine for which nothing is expected is kept: as long
// as the money it costs meanwhile is half of what a new ordinary one costs while
// it boots. A cheap machine is kept longer: the next may not be had as cheaply.
func (k *Keeper) keepIdle(m *books.Machine) time.Duration {
	f, _ := k.Types.Flavor(m.Rec().Build)
	keep := max(config.Seconds(k.Types.BootS(m.Rec().Build)/2), tuning.IdleLeast)
	if m.Rec().Spot && f.SpotHourly > 0 {
		keep = max(keep, min(time.Duration(float64(keep)*f.Hourly/f.SpotHourly), tuning.IdleMost))
	}
	return keep
}

// paidFor tells whether a machine costs nothing more for the moment: the cloud
// charges each for a least time, counted from its rental.
func (k *Keeper) paidFor(m *books.Machine, now time.Time) bool {
	return m.Up(now)+config.Seconds(k.Types.BootS(m.Rec().Build)) < tuning.LeastCharge-tuning.ReturnEvery
}

// returnIdle returns machines that have had nothing to do for a while.
func (k *Keeper) returnIdle(now time.Time) {
	growths := k.Decider.Growths(now)
	defer k.gather(now)
	defer k.markSurplus(growths)
	set, _ := k.Mirror.Settings()
	members := float64(k.Holders.Size())
	spare := map[string][]int{} // per share, the tasks of each growth that fit
	idle := map[string]int{}
	for _, m := range k.Books.Held() {
		if !k.Books.Usable(m) {
			continue
		}
		share := m.Rec().Share
		if spare[share] == nil {
			spare[share] = make([]int, len(growths))
		}
		for i, g := range growths {
			spare[share][i] += k.Decider.Lendable(m, g)
		}
		if m.OnlyLent() {
			idle[share]++
		}
	}
	var waiting []*books.Job
	may := k.Decider.Allowance()
	for j := range k.Books.Jobs() {
		if j.Over() || j.Rec().Kind == jobs.Array || k.Faults.Blamed(j.Ref()) {
			continue
		}
		// What waits for its team's limit has no use for machines: a limited team's kept a
		// third of them empty.
		if !j.Waits() && (j.HasReady() || len(j.Rec().Free) > 0 && may.Take(j) > 0) {
			waiting = append(waiting, j)
		}
	}
next:
	for _, m := range k.Books.Held() {
		since, share := m.When().Idle, m.Rec().Share
		if !k.Books.Usable(m) || !m.OnlyLent() || m.Load() > 0 && !m.Is().Surplus || since.IsZero() || now.Sub(since) < k.keepIdle(m) {
			continue
		}
		if idle[share] <= set.SpareMachines || k.paidFor(m, now) || k.wantedBy(m, waiting) {
			continue
		}
		// A machine in whose room the next urgent jobs are expected stays.
		for i, g := range growths {
			if n := k.Decider.Lendable(m, g); n > 0 && float64(spare[share][i]-n) < g.X/members {
				continue next
			}
		}
		for i, g := range growths {
			spare[share][i] -= k.Decider.Lendable(m, g)
		}
		idle[share]--
		if m.Load() > 0 {
			// Work that was lent its room saves and goes on elsewhere.
			k.log.Info("machine emptied of background work", "worker", m.Host(), "tasks", m.Load())
			k.Books.Drain(m)
			continue
		}
		k.release(m)
	}
}

// wantedBy tells whether a waiting gang may need the machine: returned while
// the others that it needs boot, it would have to be rented again.
func (k *Keeper) wantedBy(m *books.Machine, waiting []*books.Job) bool {
	return slices.ContainsFunc(waiting, func(j *books.Job) bool {
		return j.Rec().Allows(m.Group()) && capacity.Fit(k.Books.Room(m), j.Need()) > 0
	})
}

// gather empties a surplus machine whose long tasks can save and find room on
// fuller ones: a few long tasks on each kept every machine of a large cluster
// half empty for minutes. One at a time, so that the next one is judged by where
// they went.
func (k *Keeper) gather(now time.Time) {
	if now.Sub(k.gathered) < tuning.GatherEvery {
		return
	}
	k.gathered = now
	var best *books.Machine
	for _, m := range k.Books.Held() {
		if k.Books.Usable(m) && m.Is().Surplus && m.Load() > 0 && k.movable(m, now) &&
			(best == nil || k.Books.Used(m) < k.Books.Used(best)) {
			best = m
		}
	}
	if best == nil || k.paidFor(best, now) {
		return
	}
	// Is there room for each of its tasks on machines of its share that are fuller?
	need := map[*books.Job]int{}
	for s := range best.Slots() {
		need[s.Job()]++
	}
	for j, n := range need {
		for _, m := range k.Books.Held() {
			if m != best && m.Rec().Share == best.Rec().Share && k.Books.Usable(m) && j.Rec().Allows(m.Group()) &&
				k.Books.Used(m) > k.Books.Used(best) {
				n -= capacity.Fit(k.Books.Room(m), j.Need()) / len(need)
			}
		}
		if n > 0 {
			return
		}
	}
	k.log.Info("machine emptied, its tasks find room on fuller ones", "worker", best.Host(), "tasks", best.Load())
	k.Books.Drain(best)
}

// movable tells whether all tasks of a machine run, save their progress, and have
// so much before them that moving them pays.
func (k *Keeper) movable(m *books.Machine, now time.Time) bool {
	for s := range m.Slots() {
		is, j := s.Is(), s.Job()
		if j == nil || is.Stop || is.Status != worker.Running || j.Rec().Kind != jobs.Array || j.Rec().CheckpointS <= 0 || is.Since.IsZero() {
			return false
		}
		left := config.Seconds(k.Decider.Expect(j.Rec())) - now.Sub(is.Since)
		if left < tuning.GatherLeast+config.Seconds(2*j.Rec().SaveS) || now.Sub(is.Since) < tuning.GatherLeast/2 {
			return false
		}
	}
	return true
}

// markSurplus finds the ordinary machines that neither hold work that had to
// go there nor are needed for the next urgent jobs. Lent to arrays for ever,
// they would never fall empty.
func (k *Keeper) markSurplus(growths []classes.Growth) {
	var ms []*books.Machine
	for _, m := range k.Books.Held() {
		if k.Books.Usable(m) {
			ms = append(ms, m)
		} else {
			k.Books.Want(m, false)
		}
	}
	// The fullest are kept for the buffers, so that the emptiest fall empty.
	sort.Slice(ms, func(i, j int) bool {
		if x, y := ms[i].Load(), ms[j].Load(); x != y {
			return x > y
		}
		return ms[i].Host() < ms[j].Host()
	})
	members := float64(k.Holders.Size())
	kept := map[string][]int{}
	for _, m := range ms {
		have := kept[m.Rec().Share]
		if have == nil {
			have = make([]int, len(growths))
			kept[m.Rec().Share] = have
		}
		surplus := !m.Rec().Spot && k.Books.Bound(m) == 0
		for i, g := range growths {
			n := k.Decider.Lendable(m, g)
			if n > 0 && float64(have[i]) < g.X/members {
				surplus = false
			}
			if !surplus {
				have[i] += n
			}
		}
		k.Books.Want(m, surplus)
	}
}

// Describe logs what the machines of a share are used for.
func (k *Keeper) Describe() {
	for _, s := range k.Holders.Mine() {
		var idle, surplus, spot, busy, closed int
		var used, total capacity.Vec
		var ordinary, gangs, arrays, fetching float64 // CPUs: of ordinary machines, and what uses them
		for _, m := range k.Books.Held() {
			if m.Rec().Share != s.ID() {
				continue
			}
			if !k.Books.Usable(m) {
				closed++
				continue
			}
			t, _ := k.Books.Total(m)
			total = total.Add(t)
			used = used.Add(t.Sub(k.Books.Room(m)))
			if !m.Rec().Spot {
				ordinary += t.CPU
			}
			for sl := range m.Slots() {
				status, j := sl.Is().Status, sl.Job()
				switch {
				case status == worker.Pulling || status == worker.Gathering:
					fetching += sl.Need().CPU
				case m.Rec().Spot || j == nil:
				case j.Rec().Kind == jobs.Array:
					arrays += sl.Need().CPU
				default:
					gangs += sl.Need().CPU
				}
			}
			switch {
			case m.Load() == 0:
				idle++
			case m.Is().Surplus:
				surplus++
			case m.Rec().Spot:
				spot++
			default:
				busy++
			}
		}
		k.log.Debug("share use", "share", s.ID(), "idle", idle, "surplus", surplus, "spot", spot, "ordinary", busy,
			"closed", closed, "cpu_used", used.CPU, "cpu_total", total.CPU, "cpu_ordinary", ordinary, "ordinary_gangs", gangs,
			"ordinary_arrays", arrays, "cpu_fetching", fetching)
	}
}
