package entity

import (
	"slices"

	"cherrywall/internal/tuning"
)

// The record of a gang's range names the workers on which its tasks may have been started, so
// that after a failover unreachable workers block only the tasks that may be on them. The names
// become durable with the claim, and again before a later attempt is started on other workers.
// docs/recovery.md shows why this is safe.

// PlannedHosts returns the workers that the record of a gang's range should name for the
// assignments planned: none if there is no plan, or if they are too many to be named.
func (r *TaskRange) PlannedHosts() []string {
	if !r.job.IsGang() {
		return nil
	}
	var hosts []string
	for i := range r.tasks {
		a := r.tasks[i].assignment
		if a == nil {
			return nil
		}
		hosts = append(hosts, a.machine.host)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if len(hosts) > tuning.MaxGangWorkersRecorded {
		return nil
	}
	return hosts
}

// SetPlannedHosts names the planned workers in the record of a claim that is about to be made.
func (r *TaskRange) SetPlannedHosts() {
	if r.tentative {
		r.record.GangWorkers = r.PlannedHosts()
	}
}

// NeedsHostsWrite reports whether the planned workers have to be recorded before the range's tasks
// may be started: none was started in this attempt, and they are planned on workers that the
// record does not name, or it is not known which workers it names.
func (r *TaskRange) NeedsHostsWrite() bool {
	if r.tentative || r.job.gang.Started {
		return false
	}
	isUncertain := r.uncertainHostsRevision == r.revision
	if len(r.record.GangWorkers) == 0 && !isUncertain {
		return false // the record allows all workers
	}
	needsWrite := isUncertain
	for i := range r.tasks {
		a := r.tasks[i].assignment
		if a == nil {
			return false // not all tasks are planned
		}
		needsWrite = needsWrite || !r.MayBeOn(a.machine.host)
	}
	return needsWrite
}

// MayBeOn reports whether, by the range's record, a task of it may ever have been started on a
// worker. A record that names no workers allows all.
func (r *TaskRange) MayBeOn(host string) bool {
	return len(r.record.GangWorkers) == 0 || slices.Contains(r.record.GangWorkers, host)
}

// BeginHostsWrite notes that a write of the range's workers begins.
func (r *TaskRange) BeginHostsWrite() { r.hostsWriteInFlight = true }

// HasHostsWriteInFlight reports whether a write of the range's workers is in flight.
func (r *TaskRange) HasHostsWriteInFlight() bool { return r.hostsWriteInFlight }

// EndHostsWrite notes that a write of the range's workers ended, and whether its outcome is known.
func (r *TaskRange) EndHostsWrite(known bool) {
	r.hostsWriteInFlight = false
	if !known {
		r.uncertainHostsRevision = r.revision
	}
}

// HostsAreRecorded reports whether a gang's tasks may be started where they are planned.
func (r *TaskRange) HostsAreRecorded() bool { return !r.hostsWriteInFlight && !r.NeedsHostsWrite() }

// ClearGangWorkers forgets the workers that a range's record names, so that its tasks may be on
// any.
func ClearGangWorkers(r *TaskRange) { r.record.GangWorkers = nil }
