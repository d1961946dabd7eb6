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
	Record       jobs.JobRecord
	Need         capacity.Resources // of one task
	Tasks        int                // number of tasks that are unclaimed and within the team's quota
	RunSeconds   float64            // expected run time of a task
	KnownFor     time.Duration      // how long this controller has known the job
	Age          time.Duration      // time since the job became runnable
	IsBackground bool               // whether the job must leave capacity free for the classes with an objective
	IsBestEffort bool               // whether only spot machines are scaled out for the job
	Zones        ZoneLimits         // of an array
}

// Demand is the input of the autoscaler: the jobs that wait and the machines that exist.
type Demand struct {
	IsCurrent        bool // false if the cached state may be outdated: then the other fields are unreliable
	Settings         admin.Settings
	Incarnation      uint64             // identifies this controller's process
	BootSeconds      map[string]float64 // recorded usual boot time by machine type
	Jobs             []PendingJob       // in the order of the queue
	LiveMachines     map[string]capacity.Group
	RecordedMachines map[string]bool // includes lost, releasing, cordoned and preempted machines
	// FittingTasks is the number of tasks that fit if lower-priority work is preempted, by task
	// shape and zone.
	FittingTasks         map[capacity.Resources]map[string]int
	GangCPU              float64                // CPUs used by gangs and services
	CPULeftByUrgentGangs float64                // CPUs that urgent gangs leave to arrays, as computed by cpuLeftByUrgentGangs
	Running              map[string]RunningWork // remaining work of running array tasks, by class
	BackgroundReserveCPU float64                // CPUs that background work has to leave free for classes with an objective
}

// RunningWork is the work of the running tasks of a class: the CPUs that these tasks use, and for
// how many more seconds they use them on average.
type RunningWork struct {
	CPU              float64
	RemainingSeconds float64
	IsBackground     bool // whether the class has no objective, so that the work need not be finished within a horizon
}

// Add returns the sum of r and further work of the same class, which uses cpu CPUs for another
// remainingSeconds seconds. The remaining time of the sum is the mean of the two remaining times,
// weighted by CPUs.
func (r RunningWork) Add(cpu, remainingSeconds float64, isBackground bool) RunningWork {
	if r.CPU+cpu > 0 {
		r.RemainingSeconds = (r.CPU*r.RemainingSeconds + cpu*remainingSeconds) / (r.CPU + cpu)
	}
	r.CPU += cpu
	r.IsBackground = isBackground
	return r
}

// CPUSecondsWithin returns how many CPU seconds of the work count as demand within the next horizon
// seconds. Work with an objective counts in full, including the part that will not be finished
// within the horizon: the machines that are scaled out for that part are also useful for later
// work.
func (r RunningWork) CPUSecondsWithin(horizon float64) float64 {
	if r.IsBackground {
		return r.CPU * min(r.RemainingSeconds, horizon)
	}
	return r.CPU * r.RemainingSeconds
}

// Demand returns the current demand. incarnation identifies this controller's process.
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
	demand.CPULeftByUrgentGangs = s.cpuLeftByUrgentGangs(demand.GangCPU, now)
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
	for _, shapeCapacity := range slices.Concat(s.FittingTasks(now), s.Peers.Capacities(now)) {
		need := capacity.Resources{CPU: shapeCapacity.CPU, GPU: shapeCapacity.GPU, MemGB: shapeCapacity.Mem}
		if demand.FittingTasks[need] == nil {
			demand.FittingTasks[need] = map[string]int{}
		}
		demand.FittingTasks[need][shapeCapacity.Zone] += shapeCapacity.Free + shapeCapacity.Preemptible
	}
}

func (s *Scheduler) addRunningWork(demand *Demand) {
	for job := range s.State.Jobs() {
		if !job.IsRunnable() {
			continue
		}
		record := job.Record()
		usedCPU := float64(job.OpenTaskCount()) * job.Need().CPU
		if record.Kind != jobs.Array {
			demand.GangCPU += usedCPU
			continue
		}
		remainingSeconds := s.ExpectedRunSeconds(record) / 2 // on average a task is half done
		demand.Running[record.Class] = demand.Running[record.Class].Add(usedCPU, remainingSeconds, job.IsBackground())
	}
}

// addPendingJobs adds the jobs that have waited for ScaleOutDelay, with the tasks that their teams'
// quotas allow.
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
			// The due time includes the deadlines of jobs that depend on this job.
			deadlineSeconds := float64(deadlineMS-job.RunnableSinceMS()) / 1000
			record.DeadlineSeconds = &deadlineSeconds
		}
		demand.Jobs = append(demand.Jobs, PendingJob{
			Record:       record,
			Need:         job.Need(),
			Tasks:        tasks,
			RunSeconds:   s.ExpectedRunSeconds(job.Record()),
			KnownFor:     now.Sub(job.KnownSince()),
			Age:          job.Age(now),
			IsBackground: job.IsBackground(),
			IsBestEffort: job.IsBestEffort(),
			Zones:        zoneLimitsOf(job),
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

// cpuLeftByUrgentGangs returns the number of CPUs that gangs do not use on the machines that exist
// for urgent gangs: the CPUs that are too few for another task of a gang, and those that are kept
// free for gangs that are likely to arrive. These CPUs count as capacity for arrays. The CPUs of
// other on-demand machines do not: those machines are to be scaled in, which an array that ran on
// them would prevent.
func (s *Scheduler) cpuLeftByUrgentGangs(gangCPU float64, now time.Time) float64 {
	sum := 0.0
	for _, buffer := range s.GrowthBuffers(now) {
		if buffer.Need.CPU <= 0 {
			continue
		}
		cpuRatio := s.lowestCPURatio(buffer)
		if math.IsInf(cpuRatio, 1) {
			continue
		}
		sum += buffer.Tasks*buffer.Need.CPU*cpuRatio + gangCPU*(cpuRatio-1)
		gangCPU = 0 // the CPUs that running gangs leave are added only once
	}
	return sum
}

// lowestCPURatio returns the ratio of a machine's CPUs to the CPUs of the buffered tasks that fit
// on it. Of the machine types that the tasks allow, it uses the one with the lowest ratio. The
// result is infinite if no allowed machine type is large enough for a task.
func (s *Scheduler) lowestCPURatio(buffer classstats.GrowthBuffer) float64 {
	lowestRatio := math.Inf(1)
	for name, machineType := range s.MachineTypes.All() {
		if !allowsType(buffer.Record, name) {
			continue
		}
		total := machineType.Total()
		if tasks := capacity.FitCount(total, buffer.Need); tasks > 0 {
			lowestRatio = min(lowestRatio, total.CPU/(float64(tasks)*buffer.Need.CPU))
		}
	}
	return lowestRatio
}

// allowsType reports whether the tasks of a job may run on a machine type.
func allowsType(record *jobs.JobRecord, machineType string) bool {
	return record.MachineTypes == nil || slices.Contains(record.MachineTypes, machineType)
}
