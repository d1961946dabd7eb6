package scheduler

import (
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/deadline"
	"cherrywall/internal/jobs"
)

// What teams are sure of. What they may use at most: see claims.Within.

// guaranteeTolerance is by how much sums of amounts may be beyond a limit.
const guaranteeTolerance = 1e-6

// mayPreempt: work of a higher priority may take the place of lower work, and
// a team within its guarantee that of what another team runs beyond its own.
func (d *Scheduler) canPreempt(job *clusterstate.Job, assignment *clusterstate.Assignment) bool {
	v := assignment.Job()
	if v == nil || assignment.IsLeaving() || d.Faults.IsJobFaulty(job.Ref()) {
		return false
	}
	if v.Priority() < d.preemptionPriority(job) {
		return true
	}
	return v.Record().Team != job.Record().Team && d.isWithinGuarantee(job) && d.exceedsGuarantee(v)
}

// preemptionPriority is the priority with which a job takes the place of others. That of those behind
// it counts only when it can't wait any longer for their sake: until then it goes first into
// what is free, and stops nobody's work.
func (d *Scheduler) preemptionPriority(job *clusterstate.Job) jobs.Priority {
	own := job.Record().Priority()
	if job.Priority() == own {
		return own
	}
	if p, known := d.cycle.preemptionPriorities[job]; known {
		return p
	}
	if deadline.IsObjectiveAtRisk(d.deadlineJob(job), d.cfg.Cluster.Objectives, time.Now()) {
		own = job.Priority()
	}
	if d.cycle.preemptionPriorities == nil {
		d.cycle.preemptionPriorities = map[*clusterstate.Job]jobs.Priority{}
	}
	d.cycle.preemptionPriorities[job] = own
	return own
}

// teamUsage is what a team's claimed and unfinished tasks take, in all shares.
func (d *Scheduler) teamUsage(team string) capacity.Resources {
	var used capacity.Resources
	for job := range d.State.Jobs() {
		if job.HasEnded() || job.Record().Team != team {
			continue
		}
		n := float64(job.OpenTasks())
		used = used.Add(capacity.Resources{CPU: n * job.Need().CPU, GPU: n * job.Need().GPU})
	}
	return used
}

// isWithinGuarantee tells whether one more task of the job keeps its team inside its
// guarantee.
func (d *Scheduler) isWithinGuarantee(job *clusterstate.Job) bool {
	t, _ := d.cfg.Team(job.Record().Team)
	if t.GuaranteedCPUs <= 0 && t.GuaranteedGPUs <= 0 {
		return false
	}
	n := 1.0
	if job.Record().Kind == jobs.Gang {
		n = float64(job.Record().UnclaimedCount())
	}
	used := d.teamUsage(t.Name)
	return used.CPU+n*job.Need().CPU <= t.GuaranteedCPUs+guaranteeTolerance && used.GPU+n*job.Need().GPU <= t.GuaranteedGPUs+guaranteeTolerance
}

// exceedsGuarantee tells whether the job's team uses more than its guarantee.
func (d *Scheduler) exceedsGuarantee(job *clusterstate.Job) bool {
	t, _ := d.cfg.Team(job.Record().Team)
	used := d.teamUsage(t.Name)
	return used.CPU > t.GuaranteedCPUs+guaranteeTolerance || used.GPU > t.GuaranteedGPUs+guaranteeTolerance
}

// hasGuarantees tells whether any team has one.
func (d *Scheduler) hasGuarantees() bool {
	return slices.ContainsFunc(d.cfg.Cluster.Teams, func(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 })
}
