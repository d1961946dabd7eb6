package books

import (
	"slices"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Marks: the record of a gang's range names the workers to which its tasks may have been
// ordered, so that after a change of hands silent workers hold back only what may be on
// them. The mark is made durable with the claim, and anew before a later try is ordered
// elsewhere (claims.Remark). docs/recovery.md argues why it holds.

// places are the workers on which the range's tasks are planned; ok is false if some have
// no place.
func (r *Range) places() (hosts []string, ok bool) {
	for i := range r.tasks {
		s := r.tasks[i].slot
		if s == nil {
			return nil, false
		}
		hosts = append(hosts, s.m.host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts), true
}

// MarkOf is the mark that a gang's range should have for the places planned: none if they
// are too many to be named. ok is false if there is no plan.
func (r *Range) MarkOf() (on []string, ok bool) {
	hosts, ok := r.places()
	if !ok || r.job.rec.Kind != jobs.Gang || len(hosts) > tuning.MarkMost {
		hosts = nil
	}
	return hosts, ok
}

// Mark sets the mark of a claim that is about to be made.
func (r *Range) Mark() {
	if r.tentative {
		r.rec.On, _ = r.MarkOf()
	}
}

// Unmarked tells whether the range's mark has to be written before its tasks may be ordered:
// none of them was in this try, and they are planned where the mark does not allow them, or
// it is not known which mark holds.
func (r *Range) Unmarked() bool {
	if r.tentative || r.job.gang.started || len(r.rec.On) == 0 && r.doubt != r.stamp {
		return false
	}
	hosts, ok := r.places()
	return ok && (r.doubt == r.stamp || slices.ContainsFunc(hosts, func(h string) bool { return !r.MayBeOn(h) }))
}

// MayBeOn tells whether a task of the range may ever have been ordered to a worker, by the
// mark.
func (r *Range) MayBeOn(host string) bool {
	return len(r.rec.On) == 0 || slices.Contains(r.rec.On, host)
}

// Marks notes that a write of the range's mark begins.
func (r *Range) Marks() { r.marking = true }

// Marking tells whether one is under way.
func (r *Range) Marking() bool { return r.marking }

// MarkTold notes that it ended, and whether its outcome is known.
func (r *Range) MarkTold(known bool) {
	r.marking = false
	if !known {
		r.doubt = r.stamp
	}
}

// marked tells whether a gang's tasks may be ordered where they are planned.
func (r *Range) marked() bool { return !r.marking && !r.Unmarked() }

// trust forgets the mark of a range if a holder since may not have kept to it.
func (b *Books) trust(r *Range) {
	if s := b.holders.Share(r.rec.Share); s == nil || !s.Trusts(r.stamp) {
		r.rec.On = nil
	}
}
