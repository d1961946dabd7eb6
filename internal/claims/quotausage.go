package claims

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
)

// teamUsage is the amount of resources that a team's tasks use on the machines of a shard.
type teamUsage struct {
	// upperBound is the most that the team's tasks may use, including tasks that are only planned.
	upperBound quota.Amount
	// sentUpperBound is the most that the team's tasks may use, counting only tasks whose start was
	// sent.
	sentUpperBound quota.Amount
	// certainUsage is the amount that is used by tasks which certainly belong to the team and whose
	// start was sent.
	certainUsage quota.Amount
	// unknownTasks is the number of tasks whose needs are not known.
	unknownTasks int
	// isUnbounded is set if a task with unknown needs is on a machine whose size is also unknown.
	isUnbounded bool
}

func (u teamUsage) hasUnknownTasks() bool { return u.unknownTasks > 0 }

// usageOf returns the resources that a team's tasks use on the machines of a shard. Tasks of ended
// jobs count until they have stopped. Since the team of such a task may no longer be known, the
// task counts for every team. The result is cached, so that a hundred waiting jobs take little more
// time than one.
func (w *Writer) usageOf(team config.Team, shardID string) teamUsage {
	if version := w.State.ChangeCount(); version != w.allocations.usageVersion {
		w.allocations.usageVersion = version
		clear(w.allocations.usage)
	}
	key := teamShard{team.Name, shardID}
	if usage, known := w.allocations.usage[key]; known {
		return usage
	}
	usage := w.computeUsage(team, shardID)
	w.allocations.usage[key] = usage
	return usage
}

func (w *Writer) computeUsage(team config.Team, shardID string) teamUsage {
	var usage teamUsage
	var upperBound, sentUpperBound, certainUsage capacity.Resources
	for machine := range w.State.OwnedMachinesIn(shardID) {
		sums := w.usageOnMachine(machine, team.Name)
		certainUsage = certainUsage.Add(sums.certainNeeds)
		if sums.unknownTasks > 0 {
			usage.unknownTasks += sums.unknownTasks
			total, isKnown := w.State.Total(machine)
			usage.isUnbounded = usage.isUnbounded || !isKnown
			sums.allNeeds, sums.sentNeeds = maxResources(sums.allNeeds, total), maxResources(sums.sentNeeds, total)
		}
		upperBound, sentUpperBound = upperBound.Add(sums.allNeeds), sentUpperBound.Add(sums.sentNeeds)
	}
	usage.upperBound, usage.sentUpperBound = quota.UsageOf(team, upperBound, 1), quota.UsageOf(team, sentUpperBound, 1)
	usage.certainUsage = quota.UsageOf(team, certainUsage, 1)
	return usage
}

// machineUsage is the sum of the known needs of a team's tasks on a machine.
type machineUsage struct {
	allNeeds     capacity.Resources // includes planned tasks
	sentNeeds    capacity.Resources // only tasks whose start was sent
	certainNeeds capacity.Resources // only tasks whose start was sent and that certainly belong to the team
	unknownTasks int                // number of tasks whose needs are not known
}

// usageOnMachine returns the resources that a team's tasks use on a machine.
//
// Tasks whose needs are not known are only counted. While such a task is on a machine, the
// machine's size is the upper bound of the usage: all tasks on the machine together use no more
// than the machine has, since its worker starts no task that does not fit. Such tasks must not be
// ignored: when they were, the new owner of a shard learned of cancelled tasks by heartbeats, found
// the shard's usage below its allocation, and started as much work again
// (docs/incidents/2026-12-quota-exceeded.md).
func (w *Writer) usageOnMachine(machine *clusterstate.Machine, team string) machineUsage {
	var sums machineUsage
	for assignment := range machine.Assignments() {
		if !assignment.NeedKnown() {
			sums.unknownTasks++
			continue
		}
		match := w.matchTeam(assignment, team)
		if match == otherTeam {
			continue
		}
		need := assignment.Need()
		sums.allNeeds = sums.allNeeds.Add(need)
		if assignment.Status().IsPlanned() {
			continue
		}
		sums.sentNeeds = sums.sentNeeds.Add(need)
		if match == sameTeam {
			sums.certainNeeds = sums.certainNeeds.Add(need)
		}
	}
	return sums
}

// teamMatch tells whether a task belongs to a given team.
type teamMatch int

const (
	otherTeam   teamMatch = iota
	unknownTeam           // the task's job has ended, and its team may no longer be known
	sameTeam
)

func (w *Writer) matchTeam(assignment *clusterstate.Assignment, team string) teamMatch {
	job := assignment.Job()
	if job == nil {
		ref, _, _ := jobs.ParseTaskName(assignment.Name())
		job = w.State.Job(ref)
	}
	switch {
	case job == nil || job.HasEnded():
		return unknownTeam
	case job.Record().Team == team:
		return sameTeam
	}
	return otherTeam
}

func maxResources(a, b capacity.Resources) capacity.Resources {
	return capacity.Resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), MemGB: max(a.MemGB, b.MemGB)}
}

// unusedAllocation returns how much more a team may use in a shard. The amount is negative if the
// team's tasks there may use more than the allocation. ok is false if the amount is not known: another
// controller owns the shard, or not all its workers have reported, or the usage has no known upper
// bound.
func (w *Writer) unusedAllocation(team config.Team, shard *membership.Shard) (unused quota.Amount, ok bool) {
	if shard == nil || !shard.IsLocal() || !shard.IsReconciled() {
		return quota.Amount{}, false
	}
	usage := w.usageOf(team, shard.ID())
	if usage.isUnbounded {
		return quota.Amount{}, false
	}
	return w.Quotas.Available(team, shard.ID()).Sub(usage.upperBound), true
}

// StartQuota tells whether a team's quota allows the start of a task.
type StartQuota int

// Results of CheckStartQuota.
const (
	StartWithinQuota StartQuota = iota
	// StartUsageUnknown means that with the start the team's tasks in the shard may use more than the
	// shard's allocation. It is not known whether they do, because not all tasks of the shard are known,
	// or because the needs or the team of some of them are not known.
	StartUsageUnknown
	// StartBeyondQuota means that with the start the team's tasks use more than the shard's allocation.
	StartBeyondQuota
)

// CheckStartQuota reports whether the quota of a placed task's team allows the task to start now. The
// allocation and the usage may have changed since the task was placed.
func (w *Writer) CheckStartQuota(assignment *clusterstate.Assignment) StartQuota {
	team, _ := w.cfg.Team(assignment.Job().Record().Team)
	if !quota.IsLimited(team) {
		return StartWithinQuota
	}
	shard := w.State.OwnedShard(assignment.Machine())
	if _, ok := w.unusedAllocation(team, shard); !ok {
		return StartUsageUnknown
	}
	available, usage := w.Quotas.Available(team, shard.ID()), w.usageOf(team, shard.ID())
	need := quota.UsageOf(team, startNeed(assignment), 1)
	switch {
	case available.Covers(usage.upperBound), available.Sub(usage.sentUpperBound).Covers(need):
		return StartWithinQuota
	case available.Sub(usage.certainUsage).Covers(need):
		return StartUsageUnknown
	}
	return StartBeyondQuota
}

// startNeed returns the resources that must be within the quota for a task to start. For a gang
// these are the needs of all its tasks that were not started yet, since a part of a gang would only
// wait for the rest.
func startNeed(assignment *clusterstate.Assignment) capacity.Resources {
	job := assignment.Job()
	if job.Record().Kind != jobs.Gang {
		return assignment.Need()
	}
	var need capacity.Resources
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			if task := taskRange.Assignment(i); task != nil && task.Status().IsPlanned() {
				need = need.Add(task.Need())
			}
		}
	}
	return need
}

// RecordStartSent must be called after the start of a task was sent. It adds the resources of the
// task to the cached usage of the task's team.
func (w *Writer) RecordStartSent(assignment *clusterstate.Assignment) {
	team, _ := w.cfg.Team(assignment.Job().Record().Team)
	key := teamShard{team.Name, assignment.Machine().Record().Shard}
	usage, isCached := w.allocations.usage[key]
	if !quota.IsLimited(team) || !isCached {
		return
	}
	need := quota.UsageOf(team, assignment.Need(), 1)
	usage.sentUpperBound, usage.certainUsage = usage.sentUpperBound.Add(need), usage.certainUsage.Add(need)
	w.allocations.usage[key] = usage
}

// checkUsage reports an invariant violation for each team whose tasks certainly use more than the
// recorded allocation of a local shard. A release without an answer is not deducted from the
// recorded allocation. If the release succeeded, the changed record will show it. If it was sent in
// an earlier epoch, it can no longer succeed, and an owner of the shard since then may have used
// the amount. A team whose allocations together exceed its quota is not checked, because its quota
// was lowered while tasks ran.
func (w *Writer) checkUsage() {
	for _, team := range w.cfg.Cluster.Teams {
		if !quota.IsLimited(team) || !quota.IsWithinLimit(team, w.Quotas.TotalAllocated(team)) {
			continue
		}
		for _, shard := range w.Membership.LocalShards() {
			if _, ok := w.unusedAllocation(team, shard); !ok {
				continue
			}
			allocated, usage := w.Quotas.RecordedAllocation(team, shard.ID()), w.usageOf(team, shard.ID())
			if !allocated.Covers(usage.certainUsage) {
				w.Violations.Report(decisionlog.UsageWithinAllocation, "team", team.Name, "shard", shard.ID(), "epoch", shard.Epoch(),
					"usage_cpu", usage.certainUsage.CPU, "usage_gpu", usage.certainUsage.GPU, "allocated_cpu", allocated.CPU, "allocated_gpu", allocated.GPU,
					"revision", w.Cache.AppliedRevision())
			}
		}
	}
}

// QuotaUsage describes how a team uses its quota in a shard of this controller.
type QuotaUsage struct {
	Team  string `json:"team"`
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	// IsReconciled is true if all tasks that run in the shard are known.
	IsReconciled bool    `json:"reconciled"`
	LimitCPU     float64 `json:"limit_cpu"`
	LimitGPU     float64 `json:"limit_gpu"`
	// AllocatedCPU and AllocatedGPU are the amounts that the team may use in the shard.
	AllocatedCPU float64 `json:"allocated_cpu"`
	AllocatedGPU float64 `json:"allocated_gpu"`
	// UsedCPU and UsedGPU are the most that the team's started tasks may use on the shard's machines.
	UsedCPU float64 `json:"used_cpu"`
	UsedGPU float64 `json:"used_gpu"`
	// UnknownTasks is the number of tasks whose needs are not known.
	UnknownTasks int `json:"unknown_tasks"`
}

// QuotaUsages returns how the limited teams use their quotas in the shards of this controller.
func (w *Writer) QuotaUsages() []QuotaUsage {
	usages := []QuotaUsage{}
	for _, team := range w.cfg.Cluster.Teams {
		if !quota.IsLimited(team) {
			continue
		}
		for _, shard := range w.Membership.LocalShards() {
			available, usage := w.Quotas.Available(team, shard.ID()), w.usageOf(team, shard.ID())
			usages = append(usages, QuotaUsage{
				Team: team.Name, Shard: shard.ID(), Epoch: shard.Epoch(), IsReconciled: shard.IsReconciled(),
				LimitCPU: team.MaxCPUs, LimitGPU: team.MaxGPUs,
				AllocatedCPU: available.CPU, AllocatedGPU: available.GPU,
				UsedCPU: usage.sentUpperBound.CPU, UsedGPU: usage.sentUpperBound.GPU,
				UnknownTasks: usage.unknownTasks,
			})
		}
	}
	return usages
}
