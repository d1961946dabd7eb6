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

// teamUsage is what a team's tasks take on the machines of a shard.
type teamUsage struct {
	// bound is the most that the team's tasks may take, those included that are only planned.
	bound quota.Amount
	// sentBound is the same without the tasks that are only planned.
	sentBound quota.Amount
	// known is what those tasks take that are on the machines and certainly of the team.
	known quota.Amount
	// unknownTasks is the number of tasks of which it is not known what they take.
	unknownTasks int
	// isUnbounded is set if such a task is on a machine of which the size is not known, either.
	isUnbounded bool
}

func (u teamUsage) hasUnknownTasks() bool { return u.unknownTasks > 0 }

// usageOf returns what a team's tasks take on the machines of a shard. Tasks of ended jobs
// count until they have stopped: their team may no longer be known, so they count for every
// team. The result is cached, so that a hundred waiting jobs cost little more than one.
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
	var bound, sentBound, known capacity.Resources
	for machine := range w.State.OwnedMachinesIn(shardID) {
		on := w.needOn(machine, team.Name)
		known = known.Add(on.known)
		if on.unknownTasks > 0 {
			usage.unknownTasks += on.unknownTasks
			total, isKnown := w.State.Total(machine)
			usage.isUnbounded = usage.isUnbounded || !isKnown
			on.all, on.sent = largerOf(on.all, total), largerOf(on.sent, total)
		}
		bound, sentBound = bound.Add(on.all), sentBound.Add(on.sent)
	}
	usage.bound, usage.sentBound = quota.UsageOf(team, bound, 1), quota.UsageOf(team, sentBound, 1)
	usage.known = quota.UsageOf(team, known, 1)
	return usage
}

// machineNeed is what a team's tasks take on a machine, as far as that is known.
type machineNeed struct {
	all          capacity.Resources // planned tasks included
	sent         capacity.Resources // of tasks whose start was sent
	known        capacity.Resources // of those of them that are certainly of the team
	unknownTasks int                // tasks of which it is not known what they take
}

// needOn returns what a team's tasks take on a machine.
//
// A task whose need is not known takes what it takes. It counted as nothing once: the new owner of a
// shard learned of cancelled tasks by heartbeats, found the shard below its allocation, and started as
// much again (docs/incidents/2026-12-quota-exceeded.md). All tasks on a machine together take no more
// than the machine has, since its worker starts none that does not fit: so the machine's size is a
// bound while such a task is there.
func (w *Writer) needOn(machine *clusterstate.Machine, team string) machineNeed {
	var on machineNeed
	for assignment := range machine.Assignments() {
		if !assignment.NeedKnown() {
			on.unknownTasks++
			continue
		}
		membership := w.teamMembership(assignment, team)
		if membership == notOfTeam {
			continue
		}
		need := assignment.Need()
		on.all = on.all.Add(need)
		if assignment.Status().IsPlanned() {
			continue
		}
		on.sent = on.sent.Add(need)
		if membership == ofTeam {
			on.known = on.known.Add(need)
		}
	}
	return on
}

// teamMembership is whether a task is of a team.
type teamMembership int

const (
	notOfTeam   teamMembership = iota
	maybeOfTeam                // its job has ended, and its team may no longer be known
	ofTeam
)

func (w *Writer) teamMembership(assignment *clusterstate.Assignment, team string) teamMembership {
	job := assignment.Job()
	if job == nil {
		ref, _, _ := jobs.ParseTask(assignment.Name())
		job = w.State.Job(ref)
	}
	switch {
	case job == nil || job.HasEnded():
		return maybeOfTeam
	case job.Record().Team == team:
		return ofTeam
	}
	return notOfTeam
}

func largerOf(a, b capacity.Resources) capacity.Resources {
	return capacity.Resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), MemGB: max(a.MemGB, b.MemGB)}
}

// unusedAllocation returns how much more a team may use in a shard; it is negative if the tasks there
// may take more than the allocation. ok is false if that is not known: the shard is another
// controller's, or not all its workers have reported, or the use has no known bound.
func (w *Writer) unusedAllocation(team config.Team, shard *membership.Shard) (unused quota.Amount, ok bool) {
	if shard == nil || !shard.IsLocal() || !shard.IsReconciled() {
		return quota.Amount{}, false
	}
	usage := w.usageOf(team, shard.ID())
	if usage.isUnbounded {
		return quota.Amount{}, false
	}
	return w.Quotas.Available(team, shard.ID()).Sub(usage.bound), true
}

// StartQuota is whether a team's quota allows a start.
type StartQuota int

// Whether a team's quota allows a start.
const (
	StartWithinQuota StartQuota = iota
	// StartUsageUnknown: with the start the tasks in the shard may take more than its allocation, and of
	// some of them it is not known what they take, or which team they are of.
	StartUsageUnknown
	// StartBeyondQuota: with the start they take more than the shard's allocation.
	StartBeyondQuota
)

// CheckStartQuota reports whether the quota of a placed task's team allows its start now. The allocation
// and the usage may have changed since it was placed.
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
	case available.Covers(usage.bound), available.Sub(usage.sentBound).Covers(need):
		return StartWithinQuota
	case available.Sub(usage.known).Covers(need):
		return StartUsageUnknown
	}
	return StartBeyondQuota
}

// startNeed returns what is started with a task: of a gang also the tasks that were not started yet, since
// a part of a gang would only wait for the rest.
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

// NoteStartSent adds a task whose start was just sent to the usage of its team.
func (w *Writer) NoteStartSent(assignment *clusterstate.Assignment) {
	team, _ := w.cfg.Team(assignment.Job().Record().Team)
	key := teamShard{team.Name, assignment.Machine().Record().Shard}
	usage, isCached := w.allocations.usage[key]
	if !quota.IsLimited(team) || !isCached {
		return
	}
	need := quota.UsageOf(team, assignment.Need(), 1)
	usage.sentBound, usage.known = usage.sentBound.Add(need), usage.known.Add(need)
	w.allocations.usage[key] = usage
}

// checkUsage reports the teams whose known tasks take more than the recorded allocation of a local shard.
// A release without an answer is not deducted: if it was made, the record says so once it is read. One of
// an earlier epoch can not be made any more, while the owner in between may have used the amount. It does
// not look at a team whose allocations exceed its quota in all: its quota was lowered while work ran.
func (w *Writer) checkUsage() {
	for _, team := range w.cfg.Cluster.Teams {
		if !quota.IsLimited(team) || !quota.IsWithinLimit(team, w.Quotas.Allocated(team)) {
			continue
		}
		for _, shard := range w.Membership.LocalShards() {
			if _, ok := w.unusedAllocation(team, shard); !ok {
				continue
			}
			allocated, usage := w.Quotas.Recorded(team, shard.ID()), w.usageOf(team, shard.ID())
			if !allocated.Covers(usage.known) {
				w.Violations.Report(decisionlog.UsageWithinAllocation, "team", team.Name, "shard", shard.ID(), "epoch", shard.Epoch(),
					"usage_cpu", usage.known.CPU, "usage_gpu", usage.known.GPU, "allocated_cpu", allocated.CPU, "allocated_gpu", allocated.GPU,
					"revision", w.Cache.AppliedRevision())
			}
		}
	}
}

// QuotaUsage is how a team uses its quota in a shard of this controller.
type QuotaUsage struct {
	Team  string `json:"team"`
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	// Reconciled is whether all that runs in the shard is known.
	Reconciled bool    `json:"reconciled"`
	LimitCPU   float64 `json:"limit_cpu"`
	LimitGPU   float64 `json:"limit_gpu"`
	// Allocated is what the shard may use.
	AllocatedCPU float64 `json:"allocated_cpu"`
	AllocatedGPU float64 `json:"allocated_gpu"`
	// Used is the most that the tasks on the shard's machines may take.
	UsedCPU float64 `json:"used_cpu"`
	UsedGPU float64 `json:"used_gpu"`
	// UnknownTasks is the number of tasks of which it is not known what they take.
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
				Team: team.Name, Shard: shard.ID(), Epoch: shard.Epoch(), Reconciled: shard.IsReconciled(),
				LimitCPU: team.MaxCPUs, LimitGPU: team.MaxGPUs,
				AllocatedCPU: available.CPU, AllocatedGPU: available.GPU,
				UsedCPU: usage.sentBound.CPU, UsedGPU: usage.sentBound.GPU,
				UnknownTasks: usage.unknownTasks,
			})
		}
	}
	return usages
}
