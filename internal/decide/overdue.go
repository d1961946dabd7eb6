package decide

import (
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Nobody waits for ever. In an overload the order by what can still be met serves most, but
// a large gang finds its room taken by smaller ones each time, and an array without an aim
// is behind all that have one. Who has waited for long without any task begun goes first; for
// a gang, room is kept that others would take.

// overdue tells whether none of a job's tasks has begun though it could have for long.
func overdue(j *books.Job, now time.Time) bool {
	return j.Age(now) > tuning.OverdueAfter && j.Rec().Kind != jobs.Service && j.Rec().FreeCount() == j.Rec().Tasks
}

// keep is the room that is kept for an overdue gang: what falls free in a share, or in all,
// and in a zone if it needs one. Work that it may stop is lent that room.
type keep struct {
	j           *books.Job // nil: none
	share, zone string
}

// from tells whether a machine is kept from a job.
func (k keep) from(j *books.Job, m *books.Machine) bool {
	return k.j != nil && j != k.j && j.Priority() >= k.j.Rec().Priority() && (k.share == "" || m.Rec().Share == k.share) &&
		(k.zone == "" || m.Rec().Zone == k.zone) && k.j.Rec().Allows(m.Group())
}

// FitByTypes is how many of a job's tasks the recorded machines hold when they are empty, by
// share and zone: as the records say, so that all controllers count the same.
func (d *Decider) FitByTypes(j *books.Job) map[string]map[string]int {
	fit := map[string]map[string]int{}
	for lot, machines := range d.Books.Census() {
		total, known := d.Types.Total(lot.Group.Build)
		if !known || !j.Rec().Allows(lot.Group) {
			continue
		}
		if fit[lot.Share] == nil {
			fit[lot.Share] = map[string]int{}
		}
		fit[lot.Share][lot.Group.Zone] += machines * capacity.Fit(total, j.Need())
	}
	return fit
}

// keepFor keeps room for the first overdue gang of a queue, in the share and zone that hold
// the most of it by their machines, so that all controllers name the same. Not for one that
// the machines there can't hold, or that waits for its team's limit: what is kept would stand
// empty for as long as that lasts. And for a while only, then as long not: should it not help,
// others must go on.
func (d *Decider) keepFor(queue []*books.Job, now time.Time) {
	for _, j := range queue {
		if !overdue(j, now) {
			return // they come first
		}
		if j.Rec().Kind != jobs.Gang || d.Faults.Blamed(j.Ref()) || d.waits[j.Ref()].why == forLimit ||
			(j.Age(now)-tuning.OverdueAfter)%(2*tuning.KeptFor) > tuning.KeptFor {
			continue
		}
		type place struct{ share, zone string }
		fit, best := map[place]int{}, place{}
		all := map[string]int{} // by zone
		for share, per := range d.FitByTypes(j) {
			for z, n := range per {
				p := place{share: share}
				if j.Rec().OneZone {
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
		if all[best.zone] < j.Rec().Tasks {
			continue
		}
		if fit[best] < j.Rec().Tasks {
			best.share = "" // machines have to fall empty and move, see lifetime
		}
		d.round.kept = keep{j, best.share, best.zone}
		return
	}
}
