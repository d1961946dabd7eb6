package claims

import (
	"encoding/hex"
	"math"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// What teams with a limit may use here: allocations that are taken when work has room and
// lacks only them, and given back when it does not.

// teamShard is a team in a share.
type teamShard struct{ team, shard string }

// shortfall is what lately was lacking in a place.
type shortfall struct {
	amount       quota.Amount
	allOrNothing bool // nothing less is of use
	recordedAt   time.Time
}

// allocationState is what is under way and expected of allocations.
type allocationState struct {
	writesPending map[string]bool // by team: a write of its record
	shortfalls    map[teamShard]shortfall
	idleSince     map[teamShard]time.Time    // since when a part of an allocation is of no use
	usage         map[teamShard]quota.Amount // see used, at so many changes of the books
	usageVersion  uint64
}

func newAllocationState() allocationState {
	return allocationState{writesPending: map[string]bool{}, shortfalls: map[teamShard]shortfall{}, idleSince: map[teamShard]time.Time{}, usage: map[teamShard]quota.Amount{}}
}

func allocationKey(team string) string { return jobs.QuotaPrefix + hex.EncodeToString([]byte(team)) }

// usageOf is what a team's tasks take on the machines of a share. Tasks of jobs that are over
// count until they are gone: their team may no longer be known, so they count for every
// team.
func (w *Writer) usageOf(team config.Team, share string) quota.Amount {
	if n := w.State.ChangeCount(); n != w.allocations.usageVersion {
		w.allocations.usageVersion = n
		clear(w.allocations.usage)
	}
	at := teamShard{team.Name, share}
	if sum, known := w.allocations.usage[at]; known { // a hundred jobs that wait cost little more than one
		return sum
	}
	var need capacity.Resources
	for _, machine := range w.State.OwnedMachines() {
		if machine.Record().Shard != share {
			continue
		}
		for assignment := range machine.Assignments() {
			ref, _, _ := jobs.ParseTask(assignment.Name())
			if job := w.State.Job(ref); job == nil || job.HasEnded() || job.Record().Team == team.Name {
				need = need.Add(assignment.Need())
			}
		}
	}
	w.allocations.usage[at] = quota.UsageOf(team, need, 1)
	return w.allocations.usage[at]
}

// unusedAllocation is what a team may use more in a share; false if that is not known yet, or not
// this controller's to say.
func (w *Writer) unusedAllocation(team config.Team, shard *membership.Shard) (quota.Amount, bool) {
	if shard == nil || !shard.IsLocal() || !shard.IsReconciled() {
		return quota.Amount{}, false
	}
	return w.Quotas.Available(team, shard.ID()).Sub(w.usageOf(team, shard.ID())), true
}

// TasksWithinQuota is how many more of a job's tasks its team's limit allows in a share.
func (w *Writer) TasksWithinQuota(job *clusterstate.Job, shard *membership.Shard) int {
	team, _ := w.cfg.Team(job.Record().Team)
	if !quota.IsLimited(team) {
		return math.MaxInt32
	}
	left, known := w.unusedAllocation(team, shard)
	if !known {
		return 0
	}
	return quota.TasksThatFit(left, quota.UsageOf(team, job.Need(), 1))
}

// RequestQuota takes what a share lacks for so many more of a job's tasks, for which it has room:
// all of it or none if nothing less is of use.
func (w *Writer) RequestQuota(job *clusterstate.Job, shard *membership.Shard, tasks int, whole bool) {
	team, _ := w.cfg.Team(job.Record().Team)
	left, known := w.unusedAllocation(team, shard)
	if !known || tasks <= 0 {
		return
	}
	lacks := quota.UsageOf(team, job.Need(), tasks).Sub(left.NonNegative()).NonNegative()
	w.allocations.shortfalls[teamShard{team.Name, shard.ID()}] = shortfall{lacks, whole, time.Now()}
	if record, ok := w.Quotas.Acquire(team, shard.ID(), lacks, whole); ok {
		w.writeAllocations(team.Name, shard, record, func(kvstore.TxnResult, error) {})
	}
}

// writeAllocations writes a team's record as the holder of a share.
func (w *Writer) writeAllocations(team string, shard *membership.Shard, record quota.Record, done func(result kvstore.TxnResult, err error)) bool {
	if w.allocations.writesPending[team] || w.Cache.IsStale(time.Now()) {
		return false
	}
	w.allocations.writesPending[team] = true
	key := allocationKey(team)
	w.Cache.Commit(kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: w.Quotas.Revision(team)}, ownershipCondition(shard)},
		Writes: []kvstore.Write{{Key: key, Value: kvstore.Encode(record)}}}, func(result kvstore.TxnResult, err error) {
		done(result, err)
		if err == nil && result.Succeeded {
			delete(w.allocations.writesPending, team)
		} else { // the watch is about to tell what has changed
			w.mailbox.SendAfter(2*tuning.MinWatchRequestGap, func() { delete(w.allocations.writesPending, team) })
		}
		w.State.MarkDirty()
	})
	return true
}

// releaseIdleAllocations gives back what is of no use here: soon if the team has work that nobody
// has claimed, and after a while in any case.
func (w *Writer) releaseIdleAllocations(now time.Time) {
	var hungry map[string]bool // teams with work that nobody has claimed
	for _, team := range w.cfg.Cluster.Teams {
		if !quota.IsLimited(team) || w.allocations.writesPending[team.Name] {
			continue
		}
		if hungry == nil {
			hungry = map[string]bool{}
			for job := range w.State.Jobs() {
				if !job.HasEnded() && !job.IsBlocked() && len(job.Record().Unclaimed) > 0 {
					hungry[job.Record().Team] = true
				}
			}
		}
		for _, shard := range w.Membership.LocalShards() {
			if w.Quotas.IsReleasePending(team.Name) {
				// A giving back has no outcome yet. The record written once more decides it:
				// the late transaction then finds another stamp.
				w.writeAllocations(team.Name, shard, w.Quotas.Record(team.Name), func(kvstore.TxnResult, error) {})
				break
			}
			if w.releaseIdleAllocation(team, shard, hungry[team.Name], now) {
				break
			}
		}
	}
}

// releaseIdleAllocation gives the idle part of a share's allocation back; false if there is none,
// or not for long enough.
func (w *Writer) releaseIdleAllocation(team config.Team, shard *membership.Shard, hungry bool, now time.Time) bool {
	at := teamShard{team.Name, shard.ID()}
	idle, known := w.unusedAllocation(team, shard)
	if !known || idle.IsNegligible() || !w.Cache.HasReachedEpoch(shard) {
		delete(w.allocations.idleSince, at)
		return false
	}
	// What is lacking may come as long as somebody may give it. Two shares that have half
	// of what a gang needs would wait for each other for ever.
	if lacking := w.allocations.shortfalls[at]; now.Sub(lacking.recordedAt) < tuning.QuotaShortfallValidity && (!lacking.allOrNothing || w.Quotas.Unallocated(team).Covers(lacking.amount)) {
		delete(w.allocations.idleSince, at)
		return false
	}
	since, was := w.allocations.idleSince[at]
	if !was {
		w.allocations.idleSince[at] = now
		return false
	}
	wait := tuning.AllocationReleaseDelay
	if hungry {
		wait = tuning.ContendedAllocationReleaseDelay
	}
	if now.Sub(since) < wait {
		return false
	}
	idle = idle.NonNegative()
	record := w.Quotas.Release(team, shard.ID(), idle)
	if !w.writeAllocations(team.Name, shard, record, func(result kvstore.TxnResult, err error) {
		if err == nil && !result.Succeeded {
			w.Quotas.ReleaseRejected(team.Name, shard.ID())
		}
	}) {
		return false
	}
	w.Quotas.ReleaseSent(team.Name, shard.ID(), idle) // not to be used from now on
	delete(w.allocations.idleSince, at)
	return true
}
