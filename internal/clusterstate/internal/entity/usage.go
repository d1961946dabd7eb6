package entity

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/jobs"
)

// Usage is the sum over a machine's assignments. The scheduler reads it far more often than the
// assignments change.
type Usage struct {
	// Free is what is free once all assignments that are to be stopped have left.
	Free capacity.Resources
	// FreeBelow is, for each priority, Free plus what the tasks below the priority take.
	FreeBelow [jobs.PriorityCount]capacity.Resources
	// FreeBelowWithoutGangs is the same without the tasks of gangs, which cannot be stopped one by
	// one.
	FreeBelowWithoutGangs [jobs.PriorityCount]capacity.Resources
	// PendingCommands is how many start and stop commands are still to be sent.
	PendingCommands int
	// ServiceReplicas is how many replicas of services the machine runs, without leaving ones.
	ServiceReplicas int
	// OrdinaryTasks is how many tasks, stopping ones too, may not run on a spot machine.
	OrdinaryTasks int
	// ForegroundTasks is how many tasks, without leaving ones, are not background work and so a
	// reason to keep the machine.
	ForegroundTasks int
}

// MarkUsageStale notes that a machine's assignments have changed.
func MarkUsageStale(m *Machine) { m.usageStale = true }

// CurrentUsage returns a machine's usage, nil if it is to be computed again.
func CurrentUsage(m *Machine) *Usage {
	if m.usageStale {
		return nil
	}
	return &m.usage
}

// ComputeUsage computes a machine's usage from its total resources.
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

// add adds an assignment. FreeBelow and FreeBelowWithoutGangs contain only what lower priorities
// take until ComputeUsage adds the final Free to them.
func (u *Usage) add(a *Assignment) {
	if a.status.hasPendingCommand() {
		u.PendingCommands++
	}
	if a.needsOrdinaryMachine() {
		u.OrdinaryTasks++
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
