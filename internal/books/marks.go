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

// MarkOf is the mark that a gang's range should have for the places planned: none if there
// is no plan, or if they are too many to be named.
func (r *Range) MarkOf() (on []string) {
	if r.job.rec.Kind != jobs.Gang {
		return nil
	}
	for i := range r.tasks {
		s := r.tasks[i].slot
		if s == nil {
			return nil
		}
		on = append(on, s.m.host)
	}
	slices.Sort(on)
	if on = slices.Compact(on); len(on) > tuning.MarkMost {
		return nil
	}
	return on
}

// Mark sets the mark of a claim that is about to be made.
func (r *Range) Mark() {
	if r.tentative {
		r.rec.On = r.MarkOf()
	}
}

// Unmarked tells whether the range's mark has to be written before its tasks may be ordered:
// none of them was in this try, and they are planned where the mark does not allow them, or
// it is not known which mark holds.
func (r *Range) Unmarked() bool {
	if r.tentative || r.job.gang.started || len(r.rec.On) == 0 && r.doubt != r.stamp {
		return false
	}
	unmarked := r.doubt == r.stamp
	for i := range r.tasks {
		s := r.tasks[i].slot
		if s == nil {
			return false // no plan
		}
		unmarked = unmarked || !r.MayBeOn(s.m.host)
	}
	return unmarked
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
