package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// No job may starve. In an overload the order by deadlines serves most jobs, but a large gang loses
// the capacity that it needs to smaller ones each time, and an array without an objective comes
// after all that have one. An overdue job therefore goes first, and for an overdue gang capacity is
// reserved.

// isOverdue reports whether no task of a job is claimed although the job could have run for longer
// than JobOverdueAfter. Services are never overdue.
func isOverdue(job *clusterstate.Job, now time.Time) bool {
	return job.Age(now) > tuning.JobOverdueAfter && job.Record().Kind != jobs.Service &&
		job.Record().UnclaimedCount() == job.Record().Tasks
}

// reservation keeps machines for an overdue gang. Work that the gang may preempt can still use
// them.
type reservation struct {
	job   *clusterstate.Job // nil for no reservation
	shard string            // empty for all shards
	zone  string            // empty for all zones
}

// excludes reports whether a machine is reserved and therefore not available to a job.
func (r reservation) excludes(job *clusterstate.Job, machine *clusterstate.Machine) bool {
	if r.job == nil || job == r.job || job.Priority() < r.job.Record().Priority() {
		return false
	}
	return r.covers(machine) && r.job.Record().Allows(machine.Group())
}

func (r reservation) covers(machine *clusterstate.Machine) bool {
	record := machine.Record()
	return (r.shard == "" || record.Shard == r.shard) && (r.zone == "" || record.Zone == r.zone)
}

// CapacityByShard returns how many tasks of a job the recorded machines would fit if they were
// empty, by shard and zone. It depends on stored records only, so that all controllers count the
// same.
func (s *Scheduler) CapacityByShard(job *clusterstate.Job) map[string]map[string]int {
	fitting := map[string]map[string]int{}
	for shardGroup, machines := range s.State.MachineCounts() {
		shard, group := shardGroup.Shard, shardGroup.Group
		total, known := s.MachineTypes.Capacity(group.MachineType)
		if !known || !job.Record().Allows(group) {
			continue
		}
		if fitting[shard] == nil {
			fitting[shard] = map[string]int{}
		}
		fitting[shard][group.Zone] += machines * capacity.FitCount(total, job.Need())
	}
	return fitting
}

// reserveForOverdueGang reserves capacity for the first overdue gang of a sorted queue that may
// have a reservation and that the recorded machines can hold.
func (s *Scheduler) reserveForOverdueGang(queue []*clusterstate.Job, now time.Time) {
	for _, job := range queue {
		if !isOverdue(job, now) {
			return // overdue jobs are at the front of the queue
		}
		if !s.mayReserve(job, now) {
			continue
		}
		if reserved, ok := s.reservationFor(job); ok {
			s.cycle.reserved = reserved
			return
		}
	}
}

// mayReserve reports whether capacity may be reserved for an overdue job now: only for a gang that is
// not faulty. A gang that waits for its team's quota gets none, since the machines would stand empty
// for as long as it waits. A reservation lasts for GangReservationPeriod and then pauses for as long,
// so that other jobs make progress if it does not help.
func (s *Scheduler) mayReserve(job *clusterstate.Job, now time.Time) bool {
	if job.Record().Kind != jobs.Gang || s.Faults.IsJobFaulty(job.Ref()) {
		return false
	}
	if s.waitReasons[job.Ref()].kind == waitQuota {
		return false
	}
	overdueFor := job.Age(now) - tuning.JobOverdueAfter
	return overdueFor%(2*tuning.GangReservationPeriod) <= tuning.GangReservationPeriod
}

// reservationPlace is where a gang's capacity may be reserved: a shard and, if it must run in one
// zone, a zone.
type reservationPlace struct{ shard, zone string }

// before orders places by name.
func (p reservationPlace) before(other reservationPlace) bool {
	return p.shard < other.shard || p.shard == other.shard && p.zone < other.zone
}

// reservationFor selects the shard and zone whose machines hold the most of a gang, so that all
// controllers select the same. ok is false if the recorded machines can not hold the gang.
func (s *Scheduler) reservationFor(job *clusterstate.Job) (reserved reservation, ok bool) {
	fitting := map[reservationPlace]int{}
	fittingInZone := map[string]int{}
	for shard, perZone := range s.CapacityByShard(job) {
		for zone, tasks := range perZone {
			place := reservationPlace{shard: shard}
			if job.Record().OneZone {
				place.zone = zone
			}
			fitting[place] += tasks
			fittingInZone[place.zone] += tasks
		}
	}
	best := reservationPlace{}
	for place, tasks := range fitting {
		if tasks > fitting[best] || tasks == fitting[best] && place.before(best) {
			best = place
		}
	}
	if fittingInZone[best.zone] < job.Record().Tasks {
		return reservation{}, false
	}
	if fitting[best] < job.Record().Tasks {
		best.shard = "" // empty machines have to move to one shard first, see machinelifecycle
	}
	return reservation{job: job, shard: best.shard, zone: best.zone}, true
}
