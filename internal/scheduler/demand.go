package scheduler

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// PendingJob is a waiting job as the renting actor sees it.
type PendingJob struct {
	Record     jobs.JobRecord
	Need       capacity.Resources
	Tasks      int
	RunSeconds float64 // expected run time of a task, seconds
	Waiting    time.Duration
	Age        time.Duration // since it could have run
	// Background work leaves room to the other classes; Leftover is no reason for
	// dear machines.
	Background, Leftover bool
}

// Demand is what waits and what is there.
type Demand struct {
	IsCurrent            bool // false without fresh knowledge
	Settings             admin.Settings
	Incarnation          uint64
	BootSeconds          map[string]float64 // usual boot time by type as recorded, seconds
	Jobs                 []PendingJob
	LiveMachines         map[string]capacity.Group             // every recorded worker that is not gone
	RecordedMachines     map[string]bool                       // every recorded worker
	FittingTasks         map[capacity.Resources]map[string]int // by shape and zone: tasks of gangs that fit, lower work set aside
	GangCPU              float64                               // held by gangs and services
	UrgentGangCPU        float64                               // CPUs beside and for urgent gangs that are there anyway, see kept
	Running              map[string]RunningWork                // by class, what running array tasks still need, as expected
	BackgroundReserveCPU float64                               // CPUs that background work has to leave free, see owners
}

// RunningWork is work that is under way: what it holds and for how long.
type RunningWork struct {
	CPU              float64
	RemainingSeconds float64 // seconds
	// Background work holds its CPUs, but need not be done.
	Background bool
}

// Add joins more work of the class: so many CPUs for so long.
func (r RunningWork) Add(cpu, left float64, background bool) RunningWork {
	if r.CPU+cpu > 0 {
		r.RemainingSeconds = (r.CPU*r.RemainingSeconds + cpu*left) / (r.CPU + cpu)
	}
	r.CPU += cpu
	r.Background = background
	return r
}

// CPUSecondsWithin is how many CPU seconds of it count against the next seconds. Work with
// an aim counts whole, also what will not be done by then: machines that are
// rented for it are of use to the next.
func (r RunningWork) CPUSecondsWithin(horizon float64) float64 {
	if r.Background {
		return r.CPU * min(r.RemainingSeconds, horizon)
	}
	return r.CPU * r.RemainingSeconds
}

// cpuForUrgentGangs are the CPUs, beyond those that gangs hold, of machines that are there for
// urgent gangs anyway: what is left over beside their tasks, and what is kept for
// those that are likely to come. Arrays may count on them; the rest of the dear
// machines is to be returned, and an array that takes it keeps it.
func (d *Scheduler) cpuForUrgentGangs(gangCPU float64, now time.Time) float64 {
	sum := 0.0
	for _, g := range d.GrowthBuffers(now) {
		if g.Need.CPU <= 0 {
			continue
		}
		// The type that a task of it fits best.
		over := math.Inf(1)
		for sku, f := range d.MachineTypes.All() {
			total := f.Total()
			if n := capacity.FitCount(total, g.Need); n > 0 && (g.Record.MachineTypes == nil || slices.Contains(g.Record.MachineTypes, sku)) {
				over = min(over, total.CPU/(float64(n)*g.Need.CPU))
			}
		}
		if math.IsInf(over, 1) {
			continue
		}
		sum += g.Tasks*g.Need.CPU*over + gangCPU*(over-1)
		gangCPU = 0 // counted once
	}
	return sum
}

// QuotaAllowance is what teams' limits leave to jobs that wait: machines for more would stand
// empty. A team of lumenweg-ops-fleet with a limit of half its load had 26 times the price
// of its useful work paid.
type QuotaAllowance struct {
	scheduler *Scheduler
	remaining map[string]quota.Amount // by team
}

// NewQuotaAllowance is a new one, of which nothing was taken.
func (d *Scheduler) NewQuotaAllowance() *QuotaAllowance {
	return &QuotaAllowance{scheduler: d, remaining: map[string]quota.Amount{}}
}

// Take is how many of a job's unclaimed tasks the limit of its team allows beside those
// that were claimed, and taken before.
func (a *QuotaAllowance) Take(job *clusterstate.Job) int {
	rec := job.Record()
	n := rec.UnclaimedCount()
	t, _ := a.scheduler.cfg.Team(rec.Team)
	if !quota.IsLimited(t) {
		return n
	}
	left, known := a.remaining[t.Name]
	if !known {
		left = quota.LimitOf(t).Sub(quota.UsageOf(t, a.scheduler.teamUsage(t.Name), 1))
	}
	one := quota.UsageOf(t, job.Need(), 1)
	if rec.Kind != jobs.Gang {
		n = min(n, quota.TasksThatFit(left, one))
	} else if quota.TasksThatFit(left, one) < n {
		n = 0
	}
	a.remaining[t.Name] = left.Sub(quota.UsageOf(t, job.Need(), n))
	return n
}

// Demand is what waits for machines, and what is there, to a run of this controller's
// process.
func (d *Scheduler) Demand(now time.Time, boot uint64) Demand {
	set, _ := d.Cache.Settings()
	w := Demand{IsCurrent: d.Cache.Synced() && !d.Cache.IsStale(now), Incarnation: boot, BootSeconds: d.MachineTypes.RecordedBootTimes(), Settings: set,
		LiveMachines: map[string]capacity.Group{}, RecordedMachines: map[string]bool{}, Running: map[string]RunningWork{}}
	for machine := range d.State.Machines() {
		w.RecordedMachines[machine.Host()] = true
		if !machine.IsLost() && !machine.IsReleasing() && !machine.IsCordoned() && !machine.IsPreempted() {
			w.LiveMachines[machine.Host()] = machine.Group()
		}
	}
	w.FittingTasks = map[capacity.Resources]map[string]int{}
	for _, c := range slices.Concat(d.FittingTasks(now), d.Peers.Capacities(now)) {
		v := capacity.Resources{CPU: c.CPU, GPU: c.GPU, MemGB: c.Mem}
		if w.FittingTasks[v] == nil {
			w.FittingTasks[v] = map[string]int{}
		}
		w.FittingTasks[v][c.Zone] += c.Free + c.Preemptible
	}
	var queue []*clusterstate.Job
	for job := range d.State.Jobs() {
		if job.HasEnded() || job.IsBlocked() {
			continue
		}
		rec := job.Record()
		if len(rec.Unclaimed) > 0 && now.Sub(job.KnownSince()) >= tuning.ScaleOutDelay && !d.Faults.IsJobFaulty(job.Ref()) {
			queue = append(queue, job)
		}
		open := float64(job.OpenTasks())
		if rec.Kind == jobs.Array {
			// On average a task is half done.
			w.Running[rec.Class] = w.Running[rec.Class].Add(open*job.Need().CPU, d.ExpectedRunSeconds(rec)/2, job.IsBackground())
		} else {
			w.GangCPU += open * job.Need().CPU
		}
	}
	w.UrgentGangCPU = d.cpuForUrgentGangs(w.GangCPU, now)
	for _, l := range d.expectedLoads(now) {
		w.BackgroundReserveCPU += max(0, l.PeakCPU-l.usedCPU)
	}
	d.sortQueue(queue, now)
	may := d.NewQuotaAllowance()
	for _, job := range queue {
		tasks := may.Take(job)
		if tasks == 0 {
			continue
		}
		rec := *job.Record()
		if by := job.Deadlines().DueMS; by != jobdag.NoDeadline {
			due := float64(by-job.RunnableSinceMS()) / 1000 // also what those behind it need
			rec.DeadlineSeconds = &due
		}
		w.Jobs = append(w.Jobs, PendingJob{Record: rec, Need: job.Need(), Tasks: tasks,
			RunSeconds: d.ExpectedRunSeconds(job.Record()), Waiting: now.Sub(job.KnownSince()), Age: job.Age(now),
			Background: job.IsBackground(), Leftover: job.IsBestEffort()})
	}
	return w
}
