package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Scheduling of arrays and services: all of their tasks that fit are claimed and assigned, even if
// others do not fit.

// placeClaimedTasks assigns machines to the claimed tasks of a job that have no machine.
func (s *Scheduler) placeClaimedTasks(job *clusterstate.Job) {
	for taskRange := range job.TaskRanges() {
		if !taskRange.IsOwned() || taskRange.IsTentative() {
			continue
		}
		shard := s.Membership.Shard(taskRange.Record().Shard)
		readyCount := taskRange.CountTasks(clusterstate.TaskReady)
		if readyCount == 0 || shard == nil || !shard.IsLocal() {
			continue
		}
		if job.Record().Kind != jobs.Gang {
			s.placeReadyTasks(job, taskRange, shard)
		} else if readyCount == taskRange.Len() && s.placeGang(job, taskRange, shard) {
			s.Claims.RecordGangWorkers(taskRange)
		}
	}
}

// placeReadyTasks assigns machines to the ready tasks of a claimed range, which are those without a
// machine, as far as the tasks fit and the team's quota allows them.
func (s *Scheduler) placeReadyTasks(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard) {
	readyCount := taskRange.CountTasks(clusterstate.TaskReady)
	startCount := min(readyCount, s.State.FreeCapacity().Count(job.Need(), job.Record().Allows))
	if startCount > 0 {
		startCount = s.limitToQuota(job, shard, min(startCount, s.probeLimit(job)))
	}
	var readyTasks []int
	for i := 0; i < taskRange.Len() && len(readyTasks) < startCount; i++ {
		if taskRange.TaskState(i) == clusterstate.TaskReady {
			readyTasks = append(readyTasks, i)
		}
	}
	if len(readyTasks) == 0 {
		return
	}
	zone := taskRange.Record().Zone
	if job.Record().OneZone {
		zone = zoneOfTasks(job, zone)
	}
	surplus := allowSurplus
	if job.IsBestEffort() {
		surplus = avoidSurplus
	}
	s.placeArray(job, taskRange, shard, readyTasks, zone, surplus)
}

// probeLimit returns how many more tasks of a job may start. The number is unlimited unless the job
// is faulty: a faulty job runs one task at a time, to find out whether it works again.
func (s *Scheduler) probeLimit(job *clusterstate.Job) int {
	if !s.Faults.IsJobFaulty(job.Ref()) {
		return math.MaxInt32
	}
	if job.HasPlacedTasks() {
		return 0
	}
	return 1
}

// limitToQuota returns the given number of tasks, or the number that the team's quota allocation in
// a shard allows if that is smaller. In the second case it also requests more quota for the shard.
func (s *Scheduler) limitToQuota(job *clusterstate.Job, shard *membership.Shard, tasks int) int {
	allowedTasks := s.Claims.TasksWithinQuota(job, shard)
	if allowedTasks < tasks {
		s.Claims.RequestQuota(job, shard, tasks, false)
	}
	return min(allowedTasks, tasks)
}

// surplusUse tells whether an array may use surplus machines, which are to be drained and scaled
// in. Only work that fits nowhere else uses them.
type surplusUse int

const (
	avoidSurplus surplusUse = iota
	allowSurplus
)

// surplusUseFor returns whether a job may use surplus machines now. A best-effort job may not.
// Any other job that may run on spot machines avoids surplus machines for SurplusPlacementDelay,
// since a spot machine may become free in that time.
func (s *Scheduler) surplusUseFor(job *clusterstate.Job, now time.Time) surplusUse {
	if job.IsBestEffort() {
		return avoidSurplus
	}
	if !job.Record().Spot || now.Sub(job.KnownSince()) >= tuning.SurplusPlacementDelay {
		return allowSurplus
	}
	for shardGroup := range s.State.MachineCounts() {
		if shardGroup.Group.Spot && job.Record().Allows(shardGroup.Group) {
			return avoidSurplus
		}
	}
	return allowSurplus // there is no spot machine to wait for
}

func (u surplusUse) allows(g capacity.Group) bool {
	return u == allowSurplus || !g.Surplus
}

// zoneOfTasks returns the zone of the assigned tasks of a job that must run in one zone, or the
// given zone if no task is assigned.
func zoneOfTasks(job *clusterstate.Job, zone string) string {
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if assignment := taskRange.Assignment(i); assignment != nil {
				return assignment.Machine().Record().Zone
			}
		}
	}
	return zone
}

// score returns how well a machine suits one more task of an array; a higher score is better. Among
// machines of the same kind, those that have the image cached are preferred, then the fullest one,
// so that whole machines become empty and can be scaled in. The score grows as a machine is filled,
// so the best machine is filled first.
func (s *Scheduler) score(job *clusterstate.Job, machine *clusterstate.Machine) float64 {
	total, _ := s.State.Total(machine)
	score := 0.0
	if machine.HasImage(job.Record().Image) {
		score += tuning.ScoreCachedImage
	}
	if total.CPU > 0 {
		score += 1 - s.State.Free(machine).CPU/total.CPU
	}
	if !machine.IsSurplus() {
		// Machines that are retained for urgent work are paid for in any case, so they are used
		// before spot machines. Surplus machines are used last.
		score += tuning.ScoreRetained
		if !machine.Record().Spot {
			score += tuning.ScoreOnDemand
		}
	}
	if !s.allowsUrgentGangs(machine) {
		// Machines that urgent gangs cannot use are preferred to all others: no such gang will
		// preempt the task there, and the machine need not stay free for one.
		score += tuning.ScoreGangSafe
	}
	if s.Faults.HasFailedOn(job.Ref(), machine.Host()) {
		score -= tuning.ScoreFailedBefore
	}
	return score
}

// allowsUrgentGangs reports whether urgent gangs of the known classes may run on a machine,
// whether or not it is large enough for them. Machines that are too small for gangs are deliberately
// not preferred for arrays: otherwise the large machines would become empty and be scaled in, and
// the next gang would have to wait until other large machines have booted.
func (s *Scheduler) allowsUrgentGangs(machine *clusterstate.Machine) bool {
	return s.ClassStats.AnyUrgentGang(func(record *jobs.JobRecord) bool { return record.Allows(machine.Group()) })
}

// scoredMachine is a candidate for tasks of an array.
type scoredMachine struct {
	machine *clusterstate.Machine
	score   float64
}

// placeArray assigns the given tasks of a range, as far as they fit, to the machines with the best
// scores, and returns how many it assigned. An empty zone stands for all zones.
func (s *Scheduler) placeArray(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard, tasks []int, zone string, surplus surplusUse) int {
	var scoredMachines []scoredMachine
	for _, machine := range s.candidates(job, shard.ID(), zone) {
		if surplus.allows(machine.Group()) && s.State.Free(machine).Covers(job.Need()) {
			scoredMachines = append(scoredMachines, scoredMachine{machine, s.score(job, machine)})
		}
	}
	slices.SortStableFunc(scoredMachines, func(x, y scoredMachine) int { return cmp.Compare(y.score, x.score) })
	placedCount := 0
	for _, candidate := range scoredMachines {
		for range capacity.FitCount(s.State.Free(candidate.machine), job.Need()) {
			if placedCount == len(tasks) {
				return placedCount
			}
			s.State.Place(taskRange, tasks[placedCount], candidate.machine, s.nextAttempt(shard))
			placedCount++
		}
	}
	return placedCount
}

// arrayZone is the zone in which the next tasks of an array may run, and the maximum number of
// tasks that may start there.
type arrayZone struct {
	name     string // empty for all zones
	maxTasks int
}

// admitArray claims and assigns the unclaimed tasks of an array or service that fit on the machines
// of a shard. If none fits, it tries to preempt lower-priority work.
func (s *Scheduler) admitArray(job *clusterstate.Job, shard *membership.Shard, buffers []capacity.Buffer) {
	record := job.Record()
	surplus := s.surplusUseFor(job, time.Now())
	zone := arrayZone{maxTasks: record.UnclaimedCount()}
	if record.Spread || record.OneZone {
		zone = s.zoneForArray(job, shard, surplus, buffers)
		if zone.name == "" {
			s.waitReasons[job.Ref()] = waitReason{kind: waitNoZone}
			return
		}
	}
	if surplus == avoidSurplus && !job.IsBestEffort() {
		s.requestCycle(tuning.SurplusPlacementDelay)
	}
	allow := func(g capacity.Group) bool {
		return record.Allows(g) && (zone.name == "" || g.Zone == zone.name) && surplus.allows(g)
	}
	startCount := min(s.allocableTasks(job, allow, buffers), zone.maxTasks, s.probeLimit(job))
	if isOverdue(job, time.Now()) {
		startCount = min(startCount, 1) // the job is no longer overdue once one task is claimed
	}
	if startCount > 0 {
		if startCount = s.limitToQuota(job, shard, startCount); startCount == 0 {
			s.waitReasons[job.Ref()] = waitReason{kind: waitQuota}
			return
		}
	}
	if startCount <= 0 {
		s.waitReasons[job.Ref()] = waitReason{kind: waitNothingFits}
		s.claimByPreemption(job, shard, zone.name, min(zone.maxTasks, s.tasksFittingWithPreemption(job, allow, buffers)))
		return
	}
	s.claimArray(job, shard, startCount, zone.name, surplus)
}

// claimArray claims startCount tasks of an array and assigns them. In the same transaction it
// claims the tasks that are expected to fit soon, as computed by tasksToClaimAhead.
func (s *Scheduler) claimArray(job *clusterstate.Job, shard *membership.Shard, startCount int, zone string, surplus surplusUse) {
	claimAheadCount := 0
	if zone == "" && !s.Faults.IsJobFaulty(job.Ref()) {
		claimAheadCount = s.tasksToClaimAhead(job, shard, startCount)
	}
	s.Claims.Claim(job, shard, startCount+claimAheadCount, zone, func(taskRange *clusterstate.TaskRange) bool {
		tasks := make([]int, min(startCount, taskRange.Len()))
		for i := range tasks {
			tasks[i] = i
		}
		placedCount := s.placeArray(job, taskRange, shard, tasks, zone, surplus)
		if placedCount == 0 {
			return false
		}
		// Claim only the tasks that were assigned and those that are expected to fit soon. The
		// others are left to other shards.
		if claimCount := min(placedCount+claimAheadCount, taskRange.Len()); claimCount < taskRange.Len() {
			taskRange.Truncate(claimCount)
		}
		return true
	})
}

// zoneForArray selects the zone for the next tasks of an array that must run in one zone or is
// spread over zones. Of the zones that the array may use, it selects the one with the most free
// capacity: otherwise the array might wait for a full zone while another one is empty. The result
// has an empty name if the array may use no zone.
func (s *Scheduler) zoneForArray(job *clusterstate.Job, shard *membership.Shard, surplus surplusUse, buffers []capacity.Buffer) arrayZone {
	record := job.Record()
	best, maxFittingTasks := arrayZone{}, -1
	limits := zoneLimitsOf(job)
	for _, zone := range s.zones() {
		if !limits.Allow(zone) || len(s.candidates(job, shard.ID(), zone)) == 0 {
			continue
		}
		maxTasks := limits.MaxTasks(zone, record.Tasks)
		fittingTasks := min(maxTasks, s.allocableTasks(job, func(g capacity.Group) bool {
			return record.Allows(g) && g.Zone == zone && surplus.allows(g)
		}, buffers))
		if fittingTasks > maxFittingTasks {
			best, maxFittingTasks = arrayZone{name: zone, maxTasks: min(record.UnclaimedCount(), maxTasks)}, fittingTasks
		}
	}
	return best
}

// tasksToClaimAhead returns how many tasks to claim in addition to the startCount tasks that fit
// now: those for which the job's running and starting tasks in this shard are expected to make room
// within ClaimAheadPeriod. They can then start without another transaction. The number is limited
// to this shard's equal share of the remaining unclaimed tasks; the others are left to the other
// shards.
func (s *Scheduler) tasksToClaimAhead(job *clusterstate.Job, shard *membership.Shard, startCount int) int {
	runningTasks := startCount
	for taskRange := range job.TaskRanges() {
		if taskRange.Record().Shard == shard.ID() {
			runningTasks += taskRange.CountTasks(clusterstate.TaskPlaced)
		}
	}
	runsPerPeriod := tuning.ClaimAheadPeriod.Seconds() / max(s.ExpectedRunSeconds(job.Record()), 1)
	return min(int(float64(runningTasks)*runsPerPeriod), max(0, job.Record().UnclaimedCount()-startCount)/s.Membership.ControllerCount())
}

// ShardForImmediateClaim returns an owned shard whose machines have room for a small job that is
// being submitted, or nil if there is none. pendingTasks is the number of tasks that were claimed
// in this way before and are not in the cluster state yet.
func (s *Scheduler) ShardForImmediateClaim(record *jobs.JobRecord, pendingTasks int) *membership.Shard {
	if !s.Claims.IsSmallJob(record) || !s.Cache.MayRenewWorkerLeases(time.Now()) {
		return nil
	}
	settings, _ := s.Cache.Settings()
	job := s.State.NewUnrecordedJob(record, settings.Spot)
	surplus := s.surplusUseFor(job, time.Now())
	allow := func(g capacity.Group) bool { return record.Allows(g) && surplus.allows(g) }
	if s.State.FreeCapacity().AllocableCount(job.Need(), allow, s.buffersFor(job)) < record.Tasks+pendingTasks {
		return nil
	}
	for _, shard := range s.Membership.LocalShards() {
		fittingTasks := 0
		for _, machine := range s.candidates(job, shard.ID(), "") {
			if surplus.allows(machine.Group()) {
				fittingTasks += capacity.FitCount(s.State.Free(machine), job.Need())
			}
			if fittingTasks >= record.Tasks {
				return shard
			}
		}
	}
	return nil
}
