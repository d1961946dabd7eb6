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

// Arrays: claimed and placed as far as tasks fit.

// placeClaimed starts tasks that are claimed and have no place.
func (d *Scheduler) placeClaimed(job *clusterstate.Job) {
	for taskRange := range job.TaskRanges() {
		if !taskRange.IsOwned() || taskRange.IsTentative() {
			continue
		}
		shard := d.Membership.Shard(taskRange.Record().Shard)
		ready := taskRange.CountTasks(clusterstate.TaskReady)
		if ready == 0 || shard == nil || !shard.IsLocal() {
			continue
		}
		if job.Record().Kind == jobs.Gang {
			if ready == taskRange.Len() && d.placeGang(job, taskRange, shard) {
				d.Claims.RecordGangWorkers(taskRange)
			}
			continue
		}
		k := min(ready, d.State.FreeCapacity().Count(job.Need(), job.Record().Allows))
		if k > 0 {
			k = d.withinQuota(job, shard, min(k, d.probeLimit(job)))
		}
		var idle []int
		for i := 0; i < taskRange.Len() && len(idle) < k; i++ {
			if taskRange.TaskState(i) == clusterstate.TaskReady {
				idle = append(idle, i)
			}
		}
		if len(idle) == 0 {
			continue
		}
		zone := taskRange.Record().Zone
		if job.Record().OneZone {
			zone = zoneOfTasks(job, zone)
		}
		st := allowSurplus
		if job.IsBestEffort() {
			st = d.surplusUseFor(job, time.Now())
		}
		d.placeArray(job, taskRange, shard, idle, zone, st)
	}
}

// probeLimit is how many more tasks of a job may be started: of one that is blamed a
// single one at a time, to see whether it works by now.
func (d *Scheduler) probeLimit(job *clusterstate.Job) int {
	if !d.Faults.IsJobFaulty(job.Ref()) {
		return math.MaxInt32
	}
	for taskRange := range job.TaskRanges() {
		if taskRange.CountTasks(clusterstate.TaskPlaced) > 0 {
			return 0
		}
	}
	return 1
}

// withinQuota is how many of so many tasks, for which there is room, the team's limit allows
// in a share; what is lacking is taken, if anybody has it to give.
func (d *Scheduler) withinQuota(job *clusterstate.Job, shard *membership.Shard, tasks int) int {
	left := d.Claims.TasksWithinQuota(job, shard)
	if left < tasks {
		d.Claims.RequestQuota(job, shard, tasks, false)
	}
	return min(left, tasks)
}

// surplusUse is how dear the room may be that an array takes: a surplus machine is
// lent only to work that finds nothing else.
type surplusUse int

const (
	avoidSurplus surplusUse = iota
	allowSurplus
)

func (d *Scheduler) surplusUseFor(job *clusterstate.Job, now time.Time) surplusUse {
	if job.IsBestEffort() {
		return avoidSurplus
	}
	if !job.Record().Spot || now.Sub(job.KnownSince()) >= tuning.SurplusPlacementDelay {
		return allowSurplus
	}
	for lot := range d.State.MachineCounts() {
		if lot.Group.Spot && job.Record().Allows(lot.Group) {
			return avoidSurplus
		}
	}
	return allowSurplus // there is no cheap machine to wait for
}

func (st surplusUse) allows(g capacity.Group) bool {
	return st == allowSurplus || !g.Surplus
}

// zoneOfTasks is the zone in which a oneZone job's tasks still are.
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

// score is how well a machine suits one more task of an array: one that has the
// image, then the fullest, so that whole machines fall empty and can be
// returned. It grows as a machine is filled, so the best one is filled first.
func (d *Scheduler) score(job *clusterstate.Job, machine *clusterstate.Machine) float64 {
	total, _ := d.State.Total(machine)
	score := 0.0
	if machine.HasImage(job.Record().Image) {
		score += tuning.ScoreCachedImage
	}
	if total.CPU > 0 {
		score += 1 - d.State.Free(machine).CPU/total.CPU
	}
	if !machine.IsSurplus() {
		// Room that is kept for urgent work is paid for anyway: it is lent before
		// cheap machines are filled, surplus ones come last.
		score += tuning.ScoreRetained
		if !machine.Record().Spot {
			score += tuning.ScoreOnDemand
		}
	}
	if !d.allowsUrgentGangs(machine) {
		// First of all go those on which no urgent gang will stop the task, and
		// that need not stand ready for one.
		score += tuning.ScoreGangSafe
	}
	return score
}

// allowsUrgentGangs tells whether urgent gangs of the classes seen allow a machine. Of
// those that are only too small for them nothing is said: arrays that were sent
// there first let the large ones fall empty, and the next gang had to wait until
// others were up.
func (d *Scheduler) allowsUrgentGangs(machine *clusterstate.Machine) bool {
	return d.ClassStats.AnyUrgentGang(func(rec *jobs.JobRecord) bool { return rec.Allows(machine.Group()) })
}

func (d *Scheduler) placeArray(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard, idle []int, zone string, st surplusUse) int {
	type seat struct {
		m     *clusterstate.Machine
		score float64
	}
	var seats []seat
	for _, machine := range d.candidates(job, shard.ID(), zone) {
		if st.allows(machine.Group()) && d.State.Free(machine).Covers(job.Need()) {
			seats = append(seats, seat{machine, d.score(job, machine)})
		}
	}
	slices.SortStableFunc(seats, func(x, y seat) int { return cmp.Compare(y.score, x.score) })
	n := 0
	for _, x := range seats {
		for range capacity.FitCount(d.State.Free(x.m), job.Need()) {
			if n == len(idle) {
				return n
			}
			d.State.Place(taskRange, idle[n], x.m, d.nextAttempt(shard))
			n++
		}
	}
	return n
}

func (d *Scheduler) admitArray(job *clusterstate.Job, shard *membership.Shard, bufs []capacity.Buffer) {
	rec := job.Record()
	st := d.surplusUseFor(job, time.Now())
	zone, most := "", rec.UnclaimedCount()
	if rec.Spread || rec.OneZone {
		if zone, most = d.zoneForArray(job, shard, st, bufs); zone == "" {
			d.waitReasons[job.Ref()] = waitReason{text: "no zone of this controller"}
			return
		}
	}
	if st != allowSurplus && !job.IsBestEffort() {
		d.requestCycle(tuning.SurplusPlacementDelay)
	}
	allow := func(g capacity.Group) bool {
		return rec.Allows(g) && (zone == "" || g.Zone == zone) && st.allows(g)
	}
	have := min(d.State.FreeCapacity().Allocable(job.Need(), allow, bufs), most, d.probeLimit(job))
	if isOverdue(job, time.Now()) {
		have = min(have, 1) // it has begun then, and waits on like any other
	}
	if have > 0 {
		if have = d.withinQuota(job, shard, have); have == 0 {
			d.waitReasons[job.Ref()] = waitReason{text: waitForQuota}
			return
		}
	}
	if have <= 0 {
		d.waitReasons[job.Ref()] = waitReason{text: "0 tasks fit"}
		d.claimByPreemption(job, shard, zone, min(most, d.fittingWithPreemption(job, allow, bufs)))
		return
	}
	ahead := 0
	if zone == "" && !d.Faults.IsJobFaulty(job.Ref()) {
		ahead = d.claimAhead(job, shard, have)
	}
	d.Claims.Claim(job, shard, have+ahead, zone, func(taskRange *clusterstate.TaskRange) bool {
		idle := make([]int, min(have, taskRange.Len()))
		for i := range idle {
			idle[i] = i
		}
		n := d.placeArray(job, taskRange, shard, idle, zone, st)
		if n == 0 {
			return false
		}
		// Claim no more than was placed, and what the running ones make room
		// for: the rest is for other shares.
		if n = min(n+ahead, taskRange.Len()); n < taskRange.Len() {
			taskRange.Truncate(n)
		}
		return true
	})
}

// zoneForArray is the zone in which an array that is bound to one, or spread, goes on, and how many of its
// unclaimed tasks may be there: of those allowed the one with the most room. The first by name was
// taken once, full as it was, and the array waited beside an empty one.
func (d *Scheduler) zoneForArray(job *clusterstate.Job, shard *membership.Shard, st surplusUse, bufs []capacity.Buffer) (zone string, most int) {
	rec, best := job.Record(), -1
	for _, z := range d.zones() {
		left := rec.Tasks
		if rec.Spread {
			left = (rec.Tasks+1)/2 - rec.ClaimedPerZone[z]
		}
		if rec.OneZone && !canStayInZone(job, z) || left <= 0 || len(d.candidates(job, shard.ID(), z)) == 0 {
			continue
		}
		room := min(left, d.State.FreeCapacity().Allocable(job.Need(), func(g capacity.Group) bool {
			return rec.Allows(g) && g.Zone == z && st.allows(g)
		}, bufs))
		if room > best {
			zone, most, best = z, min(rec.UnclaimedCount(), left), room
		}
	}
	return zone, most
}

// claimAhead is how many more tasks to claim than there is room for now: those for
// which the tasks that run or start here make room soon. They then start with
// no further change in the state service. What other shares may need of the
// rest is left to them.
func (d *Scheduler) claimAhead(job *clusterstate.Job, shard *membership.Shard, starting int) int {
	running := starting
	for taskRange := range job.TaskRanges() {
		if taskRange.Record().Shard == shard.ID() {
			running += taskRange.CountTasks(clusterstate.TaskPlaced)
		}
	}
	turns := tuning.ClaimAheadPeriod.Seconds() / max(d.ExpectedRunSeconds(job.Record()), 1)
	return min(int(float64(running)*turns), max(0, job.Record().UnclaimedCount()-starting)/d.Membership.Size())
}

// wholeZone: a oneZone array stays in the zone of its first claimed range.
func canStayInZone(job *clusterstate.Job, zone string) bool {
	for taskRange := range job.TaskRanges() {
		if z := taskRange.Record().Zone; z != "" && z != zone {
			return false
		}
	}
	return true
}

// claimByPreemption claims tasks of a job into room that lower work has to leave.
func (d *Scheduler) claimByPreemption(job *clusterstate.Job, shard *membership.Shard, zone string, most int) {
	n := min(most, d.preemptibleTasks(job, func(g capacity.Group) bool {
		return job.Record().Allows(g) && (zone == "" || g.Zone == zone)
	}))
	if n > 0 {
		n = d.withinQuota(job, shard, n)
	}
	for ; n > 0; n /= 2 {
		steps, _, ok := d.planWithPreemption(job, shard.ID(), zone, n)
		if !ok {
			continue
		}
		d.Claims.Claim(job, shard, n, zone, func(taskRange *clusterstate.TaskRange) bool {
			if taskRange.Len() > len(steps) {
				return false
			}
			for i := range taskRange.Len() {
				for _, v := range steps[i].victims {
					d.State.PreemptFor(taskRange, v)
				}
				d.State.Place(taskRange, i, steps[i].machine, d.nextAttempt(shard))
			}
			return true
		})
		return
	}
}

// ShardForImmediateClaim finds the share of ours that has room for a small job at the moment
// it is submitted, besides so many tasks that were taken but are not in the books yet.
func (d *Scheduler) ShardForImmediateClaim(rec *jobs.JobRecord, untold int) *membership.Shard {
	if !d.Claims.IsSmallJob(rec) || !d.Cache.MayRenewWorkerLeases(time.Now()) {
		return nil
	}
	set, _ := d.Cache.Settings()
	job := d.State.NewUnrecordedJob(rec, set.Spot)
	st := d.surplusUseFor(job, time.Now())
	allow := func(g capacity.Group) bool { return rec.Allows(g) && st.allows(g) }
	if d.State.FreeCapacity().Allocable(job.Need(), allow, d.buffersFor(job)) < rec.Tasks+untold {
		return nil
	}
	for _, shard := range d.Membership.LocalShards() {
		n := 0
		for _, machine := range d.candidates(job, shard.ID(), "") {
			if st.allows(machine.Group()) {
				n += capacity.FitCount(d.State.Free(machine), job.Need())
			}
			if n >= rec.Tasks {
				return shard
			}
		}
	}
	return nil
}
