package scheduler

import (
	"math"
	"time"

	"cherrywall/internal/binpacking"
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/deadline"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// canPreempt reports whether a job may preempt an assigned task. It may if the task's job has a lower
// priority, or if the preempting team stays within its guarantee and the other team exceeds its own
// guarantee. A faulty job preempts nothing.
func (s *Scheduler) canPreempt(job *clusterstate.Job, assignment *clusterstate.Assignment) bool {
	victim := assignment.Job()
	if victim == nil || assignment.IsLeaving() || s.Faults.IsJobFaulty(job.Ref()) {
		return false
	}
	if victim.Priority() < s.preemptionPriority(job) {
		return true
	}
	return victim.Record().Team != job.Record().Team && s.isWithinGuarantee(job) && s.exceedsGuarantee(victim)
}

// preemptionPriority returns the priority with which a job preempts others. A higher priority that
// the job inherits from jobs that depend on it counts only if an objective of the job or of one of
// these jobs is at risk. Otherwise the inherited priority only moves the job forward in the queue.
func (s *Scheduler) preemptionPriority(job *clusterstate.Job) jobs.Priority {
	priority := job.Record().Priority()
	if job.Priority() == priority {
		return priority
	}
	if cached, known := s.cycle.preemptionPriorities[job]; known {
		return cached
	}
	if deadline.IsObjectiveAtRisk(s.deadlineJob(job), s.cfg.Cluster.Objectives, time.Now()) {
		priority = job.Priority()
	}
	if s.cycle.preemptionPriorities == nil {
		s.cycle.preemptionPriorities = map[*clusterstate.Job]jobs.Priority{}
	}
	s.cycle.preemptionPriorities[job] = priority
	return priority
}

// preemptionLoss returns the work, in CPU seconds, that is lost if the given task, which runs in an
// owned shard, is preempted.
func (s *Scheduler) preemptionLoss(assignment *clusterstate.Assignment) float64 {
	record := assignment.Job().Record()
	lostSeconds := 0.0
	if runningSince := assignment.Status().RunningSince; !runningSince.IsZero() {
		lostSeconds = time.Since(runningSince).Seconds()
	}
	hasCheckpoints := record.CheckpointIntervalSeconds > 0
	if record.Kind == jobs.Gang {
		// The whole gang stops. A gang with checkpoints saves a checkpoint first, and loses only
		// the time until it is saved.
		if hasCheckpoints {
			lostSeconds = min(lostSeconds, record.CheckpointSaveSeconds+s.cfg.Cluster.Workers.GangPeerTimeoutSeconds)
		}
		return lostSeconds * assignment.Need().CPU * float64(record.Tasks)
	}
	if hasCheckpoints {
		lostSeconds = math.Mod(lostSeconds, record.CheckpointIntervalSeconds)
	}
	return lostSeconds * assignment.Need().CPU
}

// freeWithPreemption returns how much of a machine's capacity is free or is used by tasks that a
// job may preempt.
func (s *Scheduler) freeWithPreemption(job *clusterstate.Job, machine *clusterstate.Machine) capacity.Resources {
	free := s.State.Free(machine)
	for assignment := range machine.Assignments() {
		if s.canPreempt(job, assignment) {
			free = free.Add(assignment.Need())
		}
	}
	return free
}

// extraTasksWithPreemption returns how many more tasks of a job would fit on the allowed machines if
// lower-priority work were preempted.
func (s *Scheduler) extraTasksWithPreemption(job *clusterstate.Job, allow func(capacity.Group) bool) int {
	if s.Faults.IsJobFaulty(job.Ref()) {
		return 0
	}
	if !s.anyTeamHasGuarantee() {
		countWithPreemption := s.State.FreeCapacityBelow(s.preemptionPriority(job)).Count(job.Need(), allow)
		return countWithPreemption - s.State.FreeCapacity().Count(job.Need(), allow) - s.avoidedExtraTasks(job, allow)
	}
	// With guarantees, the tasks that may be preempted depend on each team's current usage, so the
	// machines are checked one by one.
	tasks := 0
	for _, machine := range s.State.OwnedMachines() {
		if !s.State.IsUsable(machine) || !allow(machine.Group()) || s.avoids(job, machine) {
			continue
		}
		countWithPreemption := capacity.FitCount(s.freeWithPreemption(job, machine), job.Need())
		tasks += countWithPreemption - capacity.FitCount(s.State.Free(machine), job.Need())
	}
	return tasks
}

// tasksFittingWithPreemption returns how many tasks of a job fit if lower-priority work is
// preempted and the buffers are left free. The buffers are also subtracted from the capacity that
// preemption frees: lower-priority work may use buffered capacity, but the job may not.
func (s *Scheduler) tasksFittingWithPreemption(job *clusterstate.Job, allow func(capacity.Group) bool, buffers []capacity.Buffer) int {
	freeCount := s.allocableTasks(job, allow, buffers)
	extraTasks := s.extraTasksWithPreemption(job, allow)
	if extraTasks == 0 {
		return freeCount
	}
	tasks := s.fittingTasks(job, allow) + extraTasks
	for _, buffer := range capacity.Aggregate(buffers) {
		tasks -= buffer.ConvertByRatio(job.Need())
	}
	return max(freeCount, tasks)
}

// taskPlacement is the machine for one task, and the tasks that are to be preempted there.
type taskPlacement struct {
	machine *clusterstate.Machine
	victims []*clusterstate.Assignment
}

// placementPlan assigns a machine to each of several tasks.
type placementPlan struct {
	placements []taskPlacement
	cost       float64 // CPU seconds, as computed by binpacking.Plan
}

// planWithPreemption finds machines of a shard for a number of a job's tasks, so that as little
// work as possible is lost by preemption. An empty zone stands for all zones. ok is false if there
// are not enough machines.
func (s *Scheduler) planWithPreemption(job *clusterstate.Job, shard, zone string, tasks int) (plan placementPlan, ok bool) {
	var machines []*clusterstate.Machine
	var bins []binpacking.Machine
	for _, machine := range s.candidates(job, shard, zone) {
		if bin, fits := s.binpackingMachine(job, machine); fits {
			machines = append(machines, machine)
			bins = append(bins, bin)
		}
	}
	maxPerZone := tasks
	if job.Record().Spread {
		maxPerZone = maxTasksPerZone(job.Record())
	}
	placements, cost, ok := binpacking.Plan(bins, job.Need(), tasks, maxPerZone)
	plan = placementPlan{placements: make([]taskPlacement, len(placements)), cost: cost}
	for i, placement := range placements {
		machine := machines[placement.Machine]
		plan.placements[i].machine = machine
		for _, victim := range placement.Victims {
			plan.placements[i].victims = append(plan.placements[i].victims, machine.Assignment(victim.Name))
		}
	}
	return plan, ok
}

// binpackingMachine converts a machine to the input of binpacking.Plan. fits is false if not even
// one task of the job would fit after all preemptible tasks were preempted.
func (s *Scheduler) binpackingMachine(job *clusterstate.Job, machine *clusterstate.Machine) (bin binpacking.Machine, fits bool) {
	bin = binpacking.Machine{Zone: machine.Record().Zone, Free: s.State.Free(machine)}
	if !machine.HasImage(job.Record().Image) {
		machineType, _ := s.MachineTypes.Get(machine.Record().MachineType)
		if machineType.FetchGBPerS > 0 {
			bin.StartCost = job.Record().ImageGB / machineType.FetchGBPerS * job.Need().CPU
		}
	}
	if s.Faults.HasFailedOn(job.Ref(), machine.Host()) {
		bin.StartCost += tuning.FailedBeforeCost
	}
	free := bin.Free
	for assignment := range machine.Assignments() {
		if s.canPreempt(job, assignment) {
			free = free.Add(assignment.Need())
			bin.Victims = append(bin.Victims, binpacking.Victim{
				Name:           assignment.Name(),
				Need:           assignment.Need(),
				LostCPUSeconds: s.preemptionLoss(assignment),
			})
		}
	}
	return bin, free.Covers(job.Need())
}

// applyPlacement preempts the victims of a planned placement and assigns task number i of a range to
// the planned machine.
func (s *Scheduler) applyPlacement(taskRange *clusterstate.TaskRange, i int, placement taskPlacement, attempt uint64) {
	for _, victim := range placement.victims {
		s.State.PreemptForClaim(taskRange, victim)
	}
	s.State.Place(taskRange, i, placement.machine, attempt)
}

// claimByPreemption claims up to maxTasks tasks of a job that fit if lower-priority work is
// preempted. If no plan is found for a number of tasks, it tries half as many.
func (s *Scheduler) claimByPreemption(job *clusterstate.Job, shard *membership.Shard, zone string, maxTasks int) {
	tasks := min(maxTasks, s.extraTasksWithPreemption(job, func(g capacity.Group) bool {
		return job.Record().Allows(g) && (zone == "" || g.Zone == zone)
	}))
	if tasks > 0 {
		tasks = s.limitToQuota(job, shard, tasks)
	}
	for ; tasks > 0; tasks /= 2 {
		plan, ok := s.planWithPreemption(job, shard.ID(), zone, tasks)
		if !ok {
			continue
		}
		s.Claims.Claim(job, shard, tasks, zone, func(taskRange *clusterstate.TaskRange) bool {
			if taskRange.Len() > len(plan.placements) {
				return false
			}
			for i := range taskRange.Len() {
				s.applyPlacement(taskRange, i, plan.placements[i], s.nextAttempt(shard))
			}
			return true
		})
		return
	}
}
