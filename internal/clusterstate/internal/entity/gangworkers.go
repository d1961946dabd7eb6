package entity

import (
	"slices"

	"cherrywall/internal/tuning"
)

// The record of a gang's range names the workers on which the range's tasks may have been started. These
// are the range's gang workers (jobs.RangeRecord.GangWorkers). After a failover, unreachable workers therefore block
// only the tasks that may be on them. The names are written with the claim, and written again before a
// later attempt is started on other workers. docs/recovery.md shows why this is safe.

// PlannedHosts returns the workers that the record of a gang's range should name for the current
// assignments, sorted by name. It returns nil if the job is not a gang, if not all tasks are planned,
// or if there are more workers than a record may name.
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

// SetPlannedHosts sets the gang workers in the record of a tentative claim to PlannedHosts, before the
// record is written. It does nothing for a durable claim.
func (r *TaskRange) SetPlannedHosts() {
	if r.tentative {
		r.record.GangWorkers = r.PlannedHosts()
	}
}

// NeedsHostsWrite reports whether the planned workers have to be recorded before the range's tasks
// may be started: all tasks are planned, none was started in this attempt, and either some task is
// planned on a worker that the record does not name, or it is not known which workers the record
// names.
func (r *TaskRange) NeedsHostsWrite() bool {
	if r.tentative || r.job.gangAttempt.Started {
		return false
	}
	outcomeUnknown := r.uncertainHostsRevision == r.revision
	if len(r.record.GangWorkers) == 0 && !outcomeUnknown {
		return false // the record allows all workers
	}
	needsWrite := outcomeUnknown
	for i := range r.tasks {
		a := r.tasks[i].assignment
		if a == nil {
			return false // not all tasks are planned
		}
		needsWrite = needsWrite || !r.MayBeOn(a.machine.host)
	}
	return needsWrite
}

// MayBeOn reports whether, according to the range's record, a task of the range may ever have been
// started on a worker. A record without gang workers allows every worker; any other record allows only
// the gang workers that it names.
func (r *TaskRange) MayBeOn(host string) bool {
	return len(r.record.GangWorkers) == 0 || slices.Contains(r.record.GangWorkers, host)
}

// BeginHostsWrite marks the beginning of a write of the range's gang workers.
func (r *TaskRange) BeginHostsWrite() { r.hostsWriteInFlight = true }

// HasHostsWriteInFlight reports whether a write of the range's gang workers is in flight.
func (r *TaskRange) HasHostsWriteInFlight() bool { return r.hostsWriteInFlight }

// EndHostsWrite marks the end of a write of the range's gang workers. If the write's outcome is not
// known, the workers that the record names are unknown until the record has a new revision.
func (r *TaskRange) EndHostsWrite(outcomeKnown bool) {
	r.hostsWriteInFlight = false
	if !outcomeKnown {
		r.uncertainHostsRevision = r.revision
	}
}

// HostsAreRecorded reports whether a gang's tasks may be started where they are planned: no write of
// the range's gang workers is in flight, and none is needed.
func (r *TaskRange) HostsAreRecorded() bool { return !r.hostsWriteInFlight && !r.NeedsHostsWrite() }

// ClearGangWorkers clears the workers that a range's record names, so that MayBeOn allows every worker.
func ClearGangWorkers(r *TaskRange) { r.record.GangWorkers = nil }
