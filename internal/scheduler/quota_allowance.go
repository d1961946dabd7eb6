package scheduler

import (
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/quota"
)

// QuotaAllowance distributes the unused part of the teams' quotas among their waiting jobs, so that
// machines are scaled out only for tasks that the quotas allow. Machines for other tasks would stay
// empty: for a team whose quota was half of its load, such machines cost 26 times as much as the
// team's useful work.
type QuotaAllowance struct {
	scheduler *Scheduler
	remaining map[string]quota.Amount // by team
}

// NewQuotaAllowance returns an allowance from which nothing has been taken yet.
func (s *Scheduler) NewQuotaAllowance() *QuotaAllowance {
	return &QuotaAllowance{scheduler: s, remaining: map[string]quota.Amount{}}
}

// Take returns how many of a job's unclaimed tasks its team's remaining quota allows, and
// subtracts these tasks from that quota. For a gang, the result is the number of all of its tasks,
// or 0. The remaining quota excludes what claimed tasks use and what earlier calls took.
func (a *QuotaAllowance) Take(job *clusterstate.Job) int {
	record := job.Record()
	tasks := record.UnclaimedCount()
	team, _ := a.scheduler.cfg.Team(record.Team)
	if !quota.IsLimited(team) {
		return tasks
	}
	remaining, known := a.remaining[team.Name]
	if !known {
		remaining = quota.LimitOf(team).Sub(quota.UsageOf(team, a.scheduler.teamUsage(team.Name), 1))
	}
	allowedTasks := quota.TasksThatFit(remaining, quota.UsageOf(team, job.Need(), 1))
	if record.Kind != jobs.Gang {
		tasks = min(tasks, allowedTasks)
	} else if allowedTasks < tasks {
		tasks = 0
	}
	a.remaining[team.Name] = remaining.Sub(quota.UsageOf(team, job.Need(), tasks))
	return tasks
}
