package scheduler

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// PendingJob is a job with unclaimed tasks for which machines may be scaled out.
type PendingJob struct {
	Record     jobs.JobRecord
	Need       capacity.Resources // of one task
	Tasks      int                // number of tasks that are unclaimed and within the team's quota
	RunSeconds float64            // expected run time of a task
	Waiting    time.Duration      // since this controller has known the job
	Age        time.Duration      // since the job could have run
	Background bool               // has to leave capacity to the classes with an objective
	BestEffort bool               // only spot machines are scaled out for it
}

// Demand is the input of the autoscaler: the jobs that wait and the machines that exist.
type Demand struct {
	IsCurrent        bool // false if the cached state may be outdated: then nothing else is reliable
	Settings         admin.Settings
	Incarnation      uint64             // of this controller's process
	BootSeconds      map[string]float64 // usual boot time by machine type, as recorded
	Jobs             []PendingJob       // in the order of the queue
	LiveMachines     map[string]capacity.Group
	RecordedMachines map[string]bool // also those that are lost, releasing, cordoned or preempted
	// FittingTasks is how many tasks of gangs fit if lower work is preempted, by shape and zone.
	FittingTasks         map[capacity.Resources]map[string]int
	GangCPU              float64                // CPUs used by gangs and services
	UrgentGangCPU        float64                // on machines that exist for urgent gangs, see cpuForUrgentGangs
	Running              map[string]RunningWork // what running array tasks still need, by class
	BackgroundReserveCPU float64                // CPUs that background work has to leave free, see objectiveBuffers
}

// RunningWork is the work of a class that is running: the CPUs it uses and for how long.
type RunningWork struct {
	CPU              float64
	RemainingSeconds float64
	Background       bool // uses its CPUs, but need not be finished
}

// Add returns the work with more work of the class added: cpu CPUs for remainingSeconds seconds.
func (r RunningWork) Add(cpu, remainingSeconds float64, background bool) RunningWork {
	if r.CPU+cpu > 0 {
		r.RemainingSeconds = (r.CPU*r.RemainingSeconds + cpu*remainingSeconds) / (r.CPU + cpu)
	}
	r.CPU += cpu
	r.Background = background
	return r
}

// CPUSecondsWithin returns how many CPU seconds of the work count against the next horizon seconds.
// Work with an objective counts in full, also what will not be finished by then: machines that are
// scaled out for it are of use to what follows.
func (r RunningWork) CPUSecondsWithin(horizon float64) float64 {
	if r.Background {
		return r.CPU * min(r.RemainingSeconds, horizon)
	}
	return r.CPU * r.RemainingSeconds
}

// Demand returns the current demand. incarnation is that of this controller's process.
func (s *Scheduler) Demand(now time.Time, incarnation uint64) Demand {
	settings, _ := s.Cache.Settings()
	demand := Demand{
		IsCurrent:        s.Cache.Synced() && !s.Cache.IsStale(now),
		Settings:         settings,
		Incarnation:      incarnation,
		BootSeconds:      s.MachineTypes.RecordedBootTimes(),
		LiveMachines:     map[string]capacity.Group{},
		RecordedMachines: map[string]bool{},
		FittingTasks:     map[capacity.Resources]map[string]int{},
		Running:          map[string]RunningWork{},
	}
	s.addMachines(&demand)
	s.addFittingTasks(&demand, now)
	s.addRunningWork(&demand)
	demand.UrgentGangCPU = s.cpuForUrgentGangs(demand.GangCPU, now)
	for _, load := range s.expectedLoads(now) {
		demand.BackgroundReserveCPU += max(0, load.PeakCPU-load.usedCPU)
	}
	s.addPendingJobs(&demand, now)
	return demand
}

func (s *Scheduler) addMachines(demand *Demand) {
	for machine := range s.State.Machines() {
		demand.RecordedMachines[machine.Host()] = true
		isLive := !machine.IsLost() && !machine.IsReleasing() && !machine.IsCordoned() && !machine.IsPreempted()
		if isLive {
			demand.LiveMachines[machine.Host()] = machine.Group()
		}
	}
}

// addFittingTasks adds the counts of fitting tasks of this controller and of its peers.
func (s *Scheduler) addFittingTasks(demand *Demand, now time.Time) {
	for _, count := range slices.Concat(s.FittingTasks(now), s.Peers.Capacities(now)) {
		need := capacity.Resources{CPU: count.CPU, GPU: count.GPU, MemGB: count.Mem}
		if demand.FittingTasks[need] == nil {
			demand.FittingTasks[need] = map[string]int{}
		}
		demand.FittingTasks[need][count.Zone] += count.Free + count.Preemptible
	}
}

func (s *Scheduler) addRunningWork(demand *Demand) {
	for job := range s.State.Jobs() {
		if !job.IsRunnable() {
			continue
		}
		record := job.Record()
		usedCPU := float64(job.OpenTasks()) * job.Need().CPU
		if record.Kind != jobs.Array {
			demand.GangCPU += usedCPU
			continue
		}
		remainingSeconds := s.ExpectedRunSeconds(record) / 2 // on average a task is half done
		demand.Running[record.Class] = demand.Running[record.Class].Add(usedCPU, remainingSeconds, job.IsBackground())
	}
}

// addPendingJobs adds the jobs that have waited for ScaleOutDelay, as far as their teams' quotas
// allow.
func (s *Scheduler) addPendingJobs(demand *Demand, now time.Time) {
	queue := s.jobsToScaleOutFor(now)
	s.sortQueue(queue, now)
	allowance := s.NewQuotaAllowance()
	for _, job := range queue {
		tasks := allowance.Take(job)
		if tasks == 0 {
			continue
		}
		record := *job.Record()
		if deadlineMS := job.Deadlines().DueMS; deadlineMS != jobdag.NoDeadline {
			// This includes the deadlines of jobs that depend on it.
			deadlineSeconds := float64(deadlineMS-job.RunnableSinceMS()) / 1000
			record.DeadlineSeconds = &deadlineSeconds
		}
		demand.Jobs = append(demand.Jobs, PendingJob{
			Record:     record,
			Need:       job.Need(),
			Tasks:      tasks,
			RunSeconds: s.ExpectedRunSeconds(job.Record()),
			Waiting:    now.Sub(job.KnownSince()),
			Age:        job.Age(now),
			Background: job.IsBackground(),
			BestEffort: job.IsBestEffort(),
		})
	}
}

func (s *Scheduler) jobsToScaleOutFor(now time.Time) []*clusterstate.Job {
	var queue []*clusterstate.Job
	for job := range s.State.Jobs() {
		if !job.IsRunnable() || s.Faults.IsJobFaulty(job.Ref()) {
			continue
		}
		if len(job.Record().Unclaimed) > 0 && now.Sub(job.KnownSince()) >= tuning.ScaleOutDelay {
			queue = append(queue, job)
		}
	}
	return queue
}

// cpuForUrgentGangs returns the number of CPUs, beyond those that gangs use, of machines that exist
// for urgent gangs anyway: what is left over beside their tasks, and what is kept for those that
// are likely to arrive. Arrays may rely on it. They may not rely on other on-demand machines, which
// are to be scaled in and would be kept by an array that uses them.
func (s *Scheduler) cpuForUrgentGangs(gangCPU float64, now time.Time) float64 {
	sum := 0.0
	for _, buffer := range s.GrowthBuffers(now) {
		if buffer.Need.CPU <= 0 {
			continue
		}
		overhead := s.leastOverhead(buffer)
		if math.IsInf(overhead, 1) {
			continue
		}
		sum += buffer.Tasks*buffer.Need.CPU*overhead + gangCPU*(overhead-1)
		gangCPU = 0 // counted once
	}
	return sum
}

// leastOverhead returns the ratio of a machine's CPUs to those of the tasks of a buffer that fit on
// it, for the machine type that they fit best; infinite if no type that they allow is large enough.
func (s *Scheduler) leastOverhead(buffer classstats.GrowthBuffer) float64 {
	least := math.Inf(1)
	for name, machineType := range s.MachineTypes.All() {
		if !allowsType(buffer.Record, name) {
			continue
		}
		total := machineType.Total()
		if tasks := capacity.FitCount(total, buffer.Need); tasks > 0 {
			least = min(least, total.CPU/(float64(tasks)*buffer.Need.CPU))
		}
	}
	return least
}

// allowsType reports whether the tasks of a job may run on a machine type.
func allowsType(record *jobs.JobRecord, machineType string) bool {
	return record.MachineTypes == nil || slices.Contains(record.MachineTypes, machineType)
}
