package decide

import (
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/order"
)

// What teams are sure of. What they may use at most: see claims.Within.

// rounding is by how much sums of amounts may be beyond a limit.
const rounding = 1e-6

// mayPreempt: work of a higher priority may take the place of lower work, and
// a team within its guarantee that of what another team runs beyond its own.
func (d *Decider) mayPreempt(j *books.Job, s *books.Slot) bool {
	v := s.Job()
	if v == nil || s.Leaves() || d.Faults.Blamed(j.Ref()) {
		return false
	}
	if v.Priority() < d.presses(j) {
		return true
	}
	return v.Rec().Team != j.Rec().Team && d.insured(j) && d.beyond(v)
}

// presses is the priority with which a job takes the place of others. That of those behind
// it counts only when it can't wait any longer for their sake: until then it goes first into
// what is free, and stops nobody's work.
func (d *Decider) presses(j *books.Job) jobs.Priority {
	own := j.Rec().Priority()
	if j.Priority() == own {
		return own
	}
	if p, known := d.round.presses[j]; known {
		return p
	}
	if order.AtStake(d.orderOf(j), d.cfg.Cluster.Objectives, time.Now()) {
		own = j.Priority()
	}
	if d.round.presses == nil {
		d.round.presses = map[*books.Job]jobs.Priority{}
	}
	d.round.presses[j] = own
	return own
}

// teamUse is what a team's claimed and unfinished tasks take, in all shares.
func (d *Decider) teamUse(team string) capacity.Vec {
	var used capacity.Vec
	for j := range d.Books.Jobs() {
		if j.Over() || j.Rec().Team != team {
			continue
		}
		n := float64(j.Open())
		used = used.Add(capacity.Vec{CPU: n * j.Need().CPU, GPU: n * j.Need().GPU})
	}
	return used
}

// insured tells whether one more task of the job keeps its team inside its
// guarantee.
func (d *Decider) insured(j *books.Job) bool {
	t, _ := d.cfg.Team(j.Rec().Team)
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	n := 1.0
	if j.Rec().Kind == jobs.Gang {
		n = float64(j.Rec().FreeCount())
	}
	used := d.teamUse(t.Name)
	return used.CPU+n*j.Need().CPU <= t.CPUs+rounding && used.GPU+n*j.Need().GPU <= t.GPUs+rounding
}

// beyond tells whether the job's team uses more than its guarantee.
func (d *Decider) beyond(j *books.Job) bool {
	t, _ := d.cfg.Team(j.Rec().Team)
	used := d.teamUse(t.Name)
	return used.CPU > t.CPUs+rounding || used.GPU > t.GPUs+rounding
}

// guarantees tells whether any team has one.
func (d *Decider) guarantees() bool {
	return slices.ContainsFunc(d.cfg.Cluster.Teams, func(t config.Team) bool { return t.CPUs > 0 || t.GPUs > 0 })
}
