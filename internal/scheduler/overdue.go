package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// This file prevents starvation. In an overload, ordering by deadlines serves most jobs, but
// smaller jobs repeatedly take the capacity for which a large gang waits, and an array without an
// objective comes after all arrays that have one. Therefore an overdue job goes first in the
// queue, and capacity is reserved for an overdue gang.

// isOverdue reports whether a job has been runnable for longer than JobOverdueAfter and none of its
// tasks is claimed. Services are never overdue.
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

// FitCountsByShard returns, by shard and zone, how many tasks of a job would fit on the recorded
// machines if the machines were empty. It depends only on stored records, so that all controllers
// get the same counts.
func (s *Scheduler) FitCountsByShard(job *clusterstate.Job) map[string]map[string]int {
	fittingTasks := map[string]map[string]int{}
	for shardGroup, machineCount := range s.State.MachineCounts() {
		shard, group := shardGroup.Shard, shardGroup.Group
		total, known := s.MachineTypes.Capacity(group.MachineType)
		if !known || !job.Record().Allows(group) {
			continue
		}
		if fittingTasks[shard] == nil {
			fittingTasks[shard] = map[string]int{}
		}
		fittingTasks[shard][group.Zone] += machineCount * capacity.FitCount(total, job.Need())
	}
	return fittingTasks
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
		if gangReservation, ok := s.reservationFor(job); ok {
			s.cycle.gangReservation = gangReservation
			return
		}
	}
}

// mayReserve reports whether capacity may be reserved for an overdue job now. Only gangs that are
// not faulty get a reservation. A gang that waits for its team's quota gets none, because the
// reserved machines would stay empty while it waits. A reservation lasts for
// GangReservationPeriod. After that, no reservation is made for the same length of time, so that
// other jobs make progress if the reservation does not help.
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

// reservationScope is the shard in which capacity may be reserved for a gang and, if the gang must
// run in one zone, the zone.
type reservationScope struct{ shard, zone string }

// sortsBefore reports whether a scope sorts before another one by the names of shard and zone.
func (s reservationScope) sortsBefore(other reservationScope) bool {
	return s.shard < other.shard || s.shard == other.shard && s.zone < other.zone
}

// reservationFor selects the shard and zone on whose machines the most tasks of a gang fit. Ties are
// broken by name, so that all controllers select the same. ok is false if the gang does not fit on
// the recorded machines.
func (s *Scheduler) reservationFor(job *clusterstate.Job) (gangReservation reservation, ok bool) {
	fittingTasks := map[reservationScope]int{}
	fittingTasksByZone := map[string]int{}
	for shard, byZone := range s.FitCountsByShard(job) {
		for zone, tasks := range byZone {
			scope := reservationScope{shard: shard}
			if job.Record().OneZone {
				scope.zone = zone
			}
			fittingTasks[scope] += tasks
			fittingTasksByZone[scope.zone] += tasks
		}
	}
	best := reservationScope{}
	for scope, tasks := range fittingTasks {
		if tasks > fittingTasks[best] || tasks == fittingTasks[best] && scope.sortsBefore(best) {
			best = scope
		}
	}
	if fittingTasksByZone[best.zone] < job.Record().Tasks {
		return reservation{}, false
	}
	if fittingTasks[best] < job.Record().Tasks {
		best.shard = "" // no shard is large enough: package machinelifecycle first moves empty machines into one shard
	}
	return reservation{job: job, shard: best.shard, zone: best.zone}, true
}
