package clusterstate

import (
	"slices"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Marks: the record of a gang's range names the workers to which its tasks may have been
// ordered, so that after a change of hands silent workers hold back only what may be on
// them. The mark is made durable with the claim, and anew before a later try is ordered
// elsewhere (claims.Remark). docs/recovery.md argues why it holds.

// PlannedHosts is the mark that a gang's range should have for the places planned: none if there
// is no plan, or if they are too many to be named.
func (r *TaskRange) PlannedHosts() (on []string) {
	if r.job.record.Kind != jobs.Gang {
		return nil
	}
	for i := range r.tasks {
		s := r.tasks[i].assignment
		if s == nil {
			return nil
		}
		on = append(on, s.machine.host)
	}
	slices.Sort(on)
	if on = slices.Compact(on); len(on) > tuning.MaxGangWorkersRecorded {
		return nil
	}
	return on
}

// SetPlannedHosts sets the mark of a claim that is about to be made.
func (r *TaskRange) SetPlannedHosts() {
	if r.tentative {
		r.record.GangWorkers = r.PlannedHosts()
	}
}

// NeedsHostsWrite tells whether the range's mark has to be written before its tasks may be ordered:
// none of them was in this try, and they are planned where the mark does not allow them, or
// it is not known which mark holds.
func (r *TaskRange) NeedsHostsWrite() bool {
	if r.tentative || r.job.gang.started || len(r.record.GangWorkers) == 0 && r.uncertainHostsRevision != r.revision {
		return false
	}
	unmarked := r.uncertainHostsRevision == r.revision
	for i := range r.tasks {
		s := r.tasks[i].assignment
		if s == nil {
			return false // no plan
		}
		unmarked = unmarked || !r.MayBeOn(s.machine.host)
	}
	return unmarked
}

// MayBeOn tells whether a task of the range may ever have been ordered to a worker, by the
// mark.
func (r *TaskRange) MayBeOn(host string) bool {
	return len(r.record.GangWorkers) == 0 || slices.Contains(r.record.GangWorkers, host)
}

// BeginHostsWrite notes that a write of the range's mark begins.
func (r *TaskRange) BeginHostsWrite() { r.hostsWriteInFlight = true }

// HasHostsWriteInFlight tells whether one is under way.
func (r *TaskRange) HasHostsWriteInFlight() bool { return r.hostsWriteInFlight }

// EndHostsWrite notes that it ended, and whether its outcome is known.
func (r *TaskRange) EndHostsWrite(known bool) {
	r.hostsWriteInFlight = false
	if !known {
		r.uncertainHostsRevision = r.revision
	}
}

// hostsRecorded tells whether a gang's tasks may be ordered where they are planned.
func (r *TaskRange) hostsRecorded() bool { return !r.hostsWriteInFlight && !r.NeedsHostsWrite() }

// clearUntrustedHosts forgets the mark of a range if a holder since may not have kept to it.
func (b *State) clearUntrustedHosts(r *TaskRange) {
	if shard := b.shards.Shard(r.record.Shard); shard == nil || !shard.TrustsMark(r.revision) {
		r.record.GangWorkers = nil
	}
}
