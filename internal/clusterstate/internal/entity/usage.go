package entity

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
)

// Usage holds the free resources and task counts of a machine, computed from its assignments. It is
// cached, since the scheduler reads it far more often than the assignments change.
type Usage struct {
	// Free is the resources that are free once all tasks that are to be stopped have left.
	Free capacity.Resources
	// FreeBelow is, for each priority, Free plus the resources of the tasks of lower priorities.
	FreeBelow [jobs.PriorityCount]capacity.Resources
	// FreeBelowWithoutGangs is FreeBelow without the resources of gangs' tasks, which cannot be
	// stopped one by one.
	FreeBelowWithoutGangs [jobs.PriorityCount]capacity.Resources
	// PendingCommands is the number of start and stop commands that still have to be sent.
	PendingCommands int
	// ServiceReplicas is the number of replicas of services that the machine runs, except those that
	// are to be stopped.
	ServiceReplicas int
	// OnDemandOnlyTasks is the number of tasks, including stopping ones, that may not run on a spot
	// machine.
	OnDemandOnlyTasks int
	// ForegroundTasks is the number of tasks, except those that are to be stopped, that are not
	// background work and are therefore a reason to keep the machine.
	ForegroundTasks int
}

// MarkUsageStale marks a machine's usage as outdated, because its assignments have changed.
func MarkUsageStale(m *Machine) { m.usageStale = true }

// CurrentUsage returns a machine's usage, or nil if it has to be computed again.
func CurrentUsage(m *Machine) *Usage {
	if m.usageStale {
		return nil
	}
	return &m.usage
}

// ComputeUsage computes and caches a machine's usage from its total resources and its assignments.
func ComputeUsage(m *Machine, total capacity.Resources) *Usage {
	usage := Usage{Free: total}
	for _, a := range m.assignments {
		usage.add(a)
	}
	for p := range usage.FreeBelow {
		usage.FreeBelow[p] = usage.FreeBelow[p].Add(usage.Free)
		usage.FreeBelowWithoutGangs[p] = usage.FreeBelowWithoutGangs[p].Add(usage.Free)
	}
	m.usage, m.usageStale = usage, false
	return &m.usage
}

// add adds an assignment to the usage. FreeBelow and FreeBelowWithoutGangs contain only the resources
// of tasks of lower priorities until ComputeUsage adds the final Free to them.
func (u *Usage) add(a *Assignment) {
	if a.status.hasPendingCommand() {
		u.PendingCommands++
	}
	if a.needsOnDemandMachine() {
		u.OnDemandOnlyTasks++
	}
	if a.IsLeaving() {
		return
	}
	u.Free = u.Free.Sub(a.need)
	job := a.Job()
	if job == nil {
		return
	}
	if !job.background {
		u.ForegroundTasks++
	}
	if job.record.Kind == jobs.Service {
		u.ServiceReplicas++
	}
	for p := job.priority + 1; p < jobs.PriorityCount; p++ {
		u.FreeBelow[p] = u.FreeBelow[p].Add(a.need)
		if !job.IsGang() {
			u.FreeBelowWithoutGangs[p] = u.FreeBelowWithoutGangs[p].Add(a.need)
		}
	}
}
