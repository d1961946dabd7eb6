package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Nobody waits for ever. In an overload the order by what can still be met serves most, but
// a large gang finds its room taken by smaller ones each time, and an array without an aim
// is behind all that have one. Who has waited for long without any task begun goes first; for
// a gang, room is kept that others would take.

// isOverdue tells whether none of a job's tasks has begun though it could have for long.
func isOverdue(job *clusterstate.Job, now time.Time) bool {
	return job.Age(now) > tuning.JobOverdueAfter && job.Record().Kind != jobs.Service && job.Record().UnclaimedCount() == job.Record().Tasks
}

// reservation is the room that is kept for an overdue gang: what falls free in a share, or in all,
// and in a zone if it needs one. Work that it may stop is lent that room.
type reservation struct {
	job         *clusterstate.Job // nil: none
	shard, zone string
}

// excludes tells whether a machine is kept from a job.
func (k reservation) excludes(job *clusterstate.Job, machine *clusterstate.Machine) bool {
	return k.job != nil && job != k.job && job.Priority() >= k.job.Record().Priority() && (k.shard == "" || machine.Record().Shard == k.shard) &&
		(k.zone == "" || machine.Record().Zone == k.zone) && k.job.Record().Allows(machine.Group())
}

// CapacityByShard is how many of a job's tasks the recorded machines hold when they are empty, by
// share and zone: as the records say, so that all controllers count the same.
func (d *Scheduler) CapacityByShard(job *clusterstate.Job) map[string]map[string]int {
	fit := map[string]map[string]int{}
	for lot, machines := range d.State.MachineCounts() {
		total, known := d.MachineTypes.Capacity(lot.Group.MachineType)
		if !known || !job.Record().Allows(lot.Group) {
			continue
		}
		if fit[lot.Shard] == nil {
			fit[lot.Shard] = map[string]int{}
		}
		fit[lot.Shard][lot.Group.Zone] += machines * capacity.FitCount(total, job.Need())
	}
	return fit
}

// reserveForOverdueGang keeps room for the first overdue gang of a queue, in the share and zone that hold
// the most of it by their machines, so that all controllers name the same. Not for one that
// the machines there can't hold, or that waits for its team's limit: what is kept would stand
// empty for as long as that lasts. And for a while only, then as long not: should it not help,
// others must go on.
func (d *Scheduler) reserveForOverdueGang(queue []*clusterstate.Job, now time.Time) {
	for _, job := range queue {
		if !isOverdue(job, now) {
			return // they come first
		}
		if job.Record().Kind != jobs.Gang || d.Faults.IsJobFaulty(job.Ref()) || d.waitReasons[job.Ref()].text == waitForQuota ||
			(job.Age(now)-tuning.JobOverdueAfter)%(2*tuning.GangReservationPeriod) > tuning.GangReservationPeriod {
			continue
		}
		type place struct{ share, zone string }
		fit, best := map[place]int{}, place{}
		all := map[string]int{} // by zone
		for share, per := range d.CapacityByShard(job) {
			for z, n := range per {
				p := place{share: share}
				if job.Record().OneZone {
					p.zone = z
				}
				fit[p] += n
				all[p.zone] += n
			}
		}
		for p, n := range fit {
			if n > fit[best] || n == fit[best] && (p.share < best.share || p.share == best.share && p.zone < best.zone) {
				best = p
			}
		}
		if all[best.zone] < job.Record().Tasks {
			continue
		}
		if fit[best] < job.Record().Tasks {
			best.share = "" // machines have to fall empty and move, see lifetime
		}
		d.cycle.reserved = reservation{job, best.share, best.zone}
		return
	}
}
