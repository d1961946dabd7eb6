package claims

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
)

// teamUsage is what a team's tasks take on the machines of a shard.
type teamUsage struct {
	// bound is the most that the team's tasks may take, those included that are only planned.
	bound quota.Amount
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
	var need capacity.Resources
	for machine := range w.State.OwnedMachinesIn(shardID) {
		onMachine, unknownTasks := w.needOn(machine, team)
		if unknownTasks > 0 {
			usage.unknownTasks += unknownTasks
			total, isKnown := w.State.Total(machine)
			usage.isUnbounded = usage.isUnbounded || !isKnown
			onMachine = largerOf(onMachine, total)
		}
		need = need.Add(onMachine)
	}
	usage.bound = quota.UsageOf(team, need, 1)
	return usage
}

// needOn returns what a team's tasks take on a machine as far as it is known, and the number of tasks
// of which it is not.
//
// A task whose need is not known takes what it takes. It counted as nothing once: the new owner of a
// shard learned of cancelled tasks by heartbeats, found the shard below its allocation, and started as
// much again (docs/incidents/2026-12-quota-exceeded.md). All tasks on a machine together take no more
// than the machine has, since its worker starts none that does not fit: so the machine's size is a
// bound while such a task is there.
func (w *Writer) needOn(machine *clusterstate.Machine, team config.Team) (need capacity.Resources, unknownTasks int) {
	for assignment := range machine.Assignments() {
		switch {
		case !assignment.NeedKnown():
			unknownTasks++
		case w.mayBeOfTeam(assignment, team.Name):
			need = need.Add(assignment.Need())
		}
	}
	return need, unknownTasks
}

// mayBeOfTeam reports whether a task is of a team, or of a job that has ended and whose team may no
// longer be known.
func (w *Writer) mayBeOfTeam(assignment *clusterstate.Assignment, team string) bool {
	job := assignment.Job()
	if job == nil {
		ref, _, _ := jobs.ParseTask(assignment.Name())
		job = w.State.Job(ref)
	}
	return job == nil || job.HasEnded() || job.Record().Team == team
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
