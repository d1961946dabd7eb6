package scheduler

import (
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
)

// This file compares the usage of teams with their guarantees. The quotas of teams, which are upper
// limits, are enforced by claims.Writer.TasksWithinQuota.

// guaranteeTolerance is the number of CPUs or GPUs by which a sum may exceed a guarantee because of
// rounding.
const guaranteeTolerance = 1e-6

// teamUsage returns the CPUs and GPUs that a team's claimed and unfinished tasks use in all shards.
func (s *Scheduler) teamUsage(team string) capacity.Resources {
	var used capacity.Resources
	for job := range s.State.Jobs() {
		if job.HasEnded() || job.Record().Team != team {
			continue
		}
		tasks := float64(job.OpenTaskCount())
		used = used.Add(capacity.Resources{CPU: tasks * job.Need().CPU, GPU: tasks * job.Need().GPU})
	}
	return used
}

// isWithinGuarantee reports whether a job's team stays within its guarantee with one more task of
// the job, or with all unclaimed tasks if the job is a gang.
func (s *Scheduler) isWithinGuarantee(job *clusterstate.Job) bool {
	team, _ := s.cfg.Team(job.Record().Team)
	if !hasGuarantee(team) {
		return false
	}
	tasks := 1.0
	if job.Record().Kind == jobs.Gang {
		tasks = float64(job.Record().UnclaimedCount())
	}
	used := s.teamUsage(team.Name)
	return used.CPU+tasks*job.Need().CPU <= team.GuaranteedCPUs+guaranteeTolerance &&
		used.GPU+tasks*job.Need().GPU <= team.GuaranteedGPUs+guaranteeTolerance
}

// exceedsGuarantee reports whether a job's team uses more than its guarantee.
func (s *Scheduler) exceedsGuarantee(job *clusterstate.Job) bool {
	team, _ := s.cfg.Team(job.Record().Team)
	used := s.teamUsage(team.Name)
	return used.CPU > team.GuaranteedCPUs+guaranteeTolerance || used.GPU > team.GuaranteedGPUs+guaranteeTolerance
}

func hasGuarantee(team config.Team) bool {
	return team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0
}

// anyTeamHasGuarantee reports whether any team has a guarantee.
func (s *Scheduler) anyTeamHasGuarantee() bool {
	return slices.ContainsFunc(s.cfg.Cluster.Teams, hasGuarantee)
}
