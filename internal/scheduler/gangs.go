package scheduler

import (
	"slices"
	"strings"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
)

// Gang scheduling: all tasks of a gang are claimed and assigned, or none.

// gangFitKey holds the properties of a gang that determine how many of its tasks fit. Many waiting
// gangs have the same key.
type gangFitKey struct {
	need         capacity.Resources
	priority     jobs.Priority
	team         string
	allowsSpot   bool
	zone         string
	machineTypes string
	isFaulty     bool // a faulty job preempts nothing
	// avoidingJob is the reference of the gang if it avoids machines on which it has failed, so that
	// it shares its counts with no other gang; else it is empty.
	avoidingJob string
}

func (s *Scheduler) gangFitKeyOf(job *clusterstate.Job) gangFitKey {
	record := job.Record()
	key := gangFitKey{
		need:         job.Need(),
		priority:     s.preemptionPriority(job),
		team:         record.Team,
		allowsSpot:   record.Spot,
		machineTypes: "any",
		isFaulty:     s.Faults.IsJobFaulty(job.Ref()),
	}
	if record.Zone != nil {
		key.zone = *record.Zone
	}
	if len(s.avoidedMachines(job, record.Allows)) > 0 {
		key.avoidingJob = job.Ref()
	}
	if record.MachineTypes != nil {
		key.machineTypes = strings.Join(slices.Sorted(slices.Values(record.MachineTypes)), " ")
	}
	return key
}

// gangFit says how many tasks of the gangs with one gangFitKey fit.
type gangFit struct {
	version         uint64 // version of the capacity counts that were used
	tasks           int    // result of tasksFittingWithPreemption
	tasksInBestZone int    // largest number of tasks that fit in one zone if lower-priority work is preempted
}

// gangFitFor counts the fitting tasks of a gang. The result is cached for all waiting gangs with
// the same gangFitKey until a capacity count changes, so that a hundred waiting gangs take little
// more time than one.
func (s *Scheduler) gangFitFor(job *clusterstate.Job) gangFit {
	version := s.State.FreeCapacity().Version()
	key := s.gangFitKeyOf(job)
	if cached, known := s.cycle.gangFits[key]; known && cached.version == version {
		return cached
	}
	fit := gangFit{
		version: version,
		tasks:   s.tasksFittingWithPreemption(job, job.Record().Allows, s.buffersFor(job)),
	}
	for _, zone := range s.zones() {
		fit.tasksInBestZone = max(fit.tasksInBestZone, s.tasksFittingInZone(job, zone))
	}
	if s.cycle.gangFits == nil {
		s.cycle.gangFits = map[gangFitKey]gangFit{}
	}
	s.cycle.gangFits[key] = fit
	return fit
}

// admitGang claims and assigns all tasks of an unclaimed gang, if they fit.
func (s *Scheduler) admitGang(job *clusterstate.Job, shard *membership.Shard) {
	tasks := job.Record().Tasks
	if job.Record().UnclaimedCount() != tasks {
		return
	}
	fit := s.gangFitFor(job)
	if fit.tasks < tasks {
		s.waitReasons[job.Ref()] = waitReason{kind: waitGangCapacity, fittingTasks: fit.tasks}
		return
	}
	if job.Record().OneZone && fit.tasksInBestZone < tasks {
		s.waitReasons[job.Ref()] = waitReason{kind: waitGangZone, fittingTasks: fit.tasks}
		return
	}
	s.Claims.Claim(job, shard, tasks, "", func(taskRange *clusterstate.TaskRange) bool {
		return s.placeGang(job, taskRange, shard)
	})
}

// placeGang assigns all tasks of a claimed gang to machines, if necessary by preempting
// lower-priority work. If there are not enough machines, or the team's quota does not allow the
// gang, it assigns no task and returns false.
func (s *Scheduler) placeGang(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard) bool {
	if s.Claims.TasksWithinQuota(job, shard) < taskRange.Len() {
		s.Claims.RequestQuota(job, shard, taskRange.Len(), true)
		s.waitReasons[job.Ref()] = waitReason{kind: waitQuota}
		return false
	}
	plan, ok := s.bestGangPlan(job, taskRange, shard)
	if !ok {
		return false
	}
	attempt := s.nextAttempt(shard)
	s.State.BeginGangAttempt(job, attempt)
	for i, placement := range plan.placements {
		s.applyPlacement(taskRange, i, placement, attempt)
	}
	return true
}

// bestGangPlan returns the plan with the lowest cost among the zones in which a gang may run. found
// is false if there is no plan.
func (s *Scheduler) bestGangPlan(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard) (best placementPlan, found bool) {
	zones := s.zonesWithCapacity(job, taskRange.Len())
	if !job.Record().OneZone && job.Record().Zone == nil {
		zones = append([]string{""}, zones...) // all zones
	}
	if zone := taskRange.Record().Zone; zone != "" {
		zones = []string{zone}
	}
	for _, zone := range zones {
		plan, ok := s.planWithPreemption(job, shard.ID(), zone, taskRange.Len())
		if ok && (!found || plan.cost < best.cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// zonesWithCapacity returns the zones in which, by the capacity counts, the given number of a job's
// tasks fit if lower-priority work is preempted. Plans are computed only for these zones, since a
// plan takes much longer than a count.
func (s *Scheduler) zonesWithCapacity(job *clusterstate.Job, tasks int) []string {
	var fittingZones []string
	for _, zone := range s.zones() {
		if s.tasksFittingInZone(job, zone) >= tasks {
			fittingZones = append(fittingZones, zone)
		}
	}
	return fittingZones
}

// tasksFittingInZone returns how many of a job's tasks fit in a zone if lower-priority work is
// preempted.
func (s *Scheduler) tasksFittingInZone(job *clusterstate.Job, zone string) int {
	allow := func(g capacity.Group) bool { return g.Zone == zone && job.Record().Allows(g) }
	return s.fittingTasks(job, allow) + s.extraTasksWithPreemption(job, allow)
}
