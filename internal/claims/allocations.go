package claims

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/tuning"
)

// This file acquires and releases quota allocations. In each shard, a team with a quota may use
// only the amount that is allocated to it there. Quota is acquired when tasks fit on the shard's
// machines and lack only quota. Unused quota is released.

// teamShard is the key of values that are kept per team and shard.
type teamShard struct{ team, shard string }

// shortfall is the quota that a shard lacked when a scheduling cycle last requested quota for it.
type shortfall struct {
	amount       quota.Amount
	allOrNothing bool // whether a part of the amount is of no use
	recordedAt   time.Time
}

// allocationState is the state that a Writer keeps for the allocations of all teams.
type allocationState struct {
	writesPending map[string]bool // by team: whether a write of the team's record is in flight
	shortfalls    map[teamShard]shortfall
	idleSince     map[teamShard]time.Time // the time since which a part of an allocation is unused
	usage         map[teamShard]teamUsage // cached results of usageOf
	usageVersion  uint64                  // the change count of the cluster state for which usage is valid
}

func newAllocationState() allocationState {
	return allocationState{
		writesPending: map[string]bool{},
		shortfalls:    map[teamShard]shortfall{},
		idleSince:     map[teamShard]time.Time{},
		usage:         map[teamShard]teamUsage{},
	}
}

func allocationKey(team string) string { return jobs.QuotaPrefix + hex.EncodeToString([]byte(team)) }

// TasksWithinQuota returns how many more of a job's tasks its team's quota allows in a shard. It
// returns math.MaxInt32 for a team without a limit, and 0 if the team's usage is not known.
func (w *Writer) TasksWithinQuota(job *clusterstate.Job, shard *membership.Shard) int {
	team, _ := w.cfg.Team(job.Record().Team)
	if !quota.IsLimited(team) {
		return math.MaxInt32
	}
	unused, ok := w.unusedAllocation(team, shard)
	if !ok {
		return 0
	}
	return quota.TasksThatFit(unused, quota.UsageOf(team, job.Need(), 1))
}

// RequestQuota acquires the quota that a shard lacks to run the given number of further tasks of a
// job. The caller has checked that the tasks fit on the shard's machines. With allOrNothing it
// acquires either all of the quota or none. It does not wait for the write: a later scheduling
// cycle finds the quota if it was acquired.
func (w *Writer) RequestQuota(job *clusterstate.Job, shard *membership.Shard, tasks int, allOrNothing bool) {
	team, _ := w.cfg.Team(job.Record().Team)
	unused, ok := w.unusedAllocation(team, shard)
	if !ok || tasks <= 0 || w.usageOf(team, shard.ID()).hasUnknownTasks() {
		return // with unknown tasks, each cycle would acquire more quota, which could not be used until these tasks have stopped
	}
	missing := quota.UsageOf(team, job.Need(), tasks).Sub(unused.NonNegative()).NonNegative()
	w.allocations.shortfalls[teamShard{team.Name, shard.ID()}] = shortfall{missing, allOrNothing, time.Now()}
	if record, ok := w.Quotas.Acquire(team, shard.ID(), missing, allOrNothing); ok {
		w.writeAllocations(team, shard, record, func(kvstore.TxnResult, error) {})
	}
}

// writeAllocations writes a team's record as the owner of a shard and calls onOutcome with the
// outcome. If no write is possible now, it returns false and does not call onOutcome.
func (w *Writer) writeAllocations(team config.Team, shard *membership.Shard, record quota.Record, onOutcome func(result kvstore.TxnResult, err error)) bool {
	if w.allocations.writesPending[team.Name] || w.Cache.IsStale(time.Now()) || !w.staysWithinQuota(team, record) {
		return false
	}
	w.allocations.writesPending[team.Name] = true
	key := allocationKey(team.Name)
	w.recordAllocation(decisionlog.AllocationSent, team, shard, record, "")
	w.Cache.Commit(kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: w.Quotas.Revision(team.Name)}, ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.MustEncode(record)}},
	}, func(result kvstore.TxnResult, err error) {
		onOutcome(result, err)
		if isCommitted(result, err) {
			w.recordAllocation(decisionlog.AllocationStored, team, shard, record, "")
			delete(w.allocations.writesPending, team.Name)
		} else { // wait until the watch has delivered the change that made the write fail
			w.recordAllocation(decisionlog.AllocationFailed, team, shard, record, describeFailure(err))
			w.mailbox.SendAfter(2*tuning.MinWatchRequestGap, func() { delete(w.allocations.writesPending, team.Name) })
		}
		w.State.MarkDirty()
	})
	return true
}

func describeFailure(err error) string {
	if err != nil {
		return "the outcome is not known: " + err.Error()
	}
	return "a condition failed"
}

// staysWithinQuota reports whether a record that is to be written allocates no more than the team's
// quota, or no more than before if the quota was lowered. If not, it reports an invariant violation.
func (w *Writer) staysWithinQuota(team config.Team, record quota.Record) bool {
	total := record.Total()
	if quota.IsWithinLimit(team, total) || w.Quotas.TotalAllocated(team).Covers(total) {
		return true
	}
	w.Violations.Report(decisionlog.AllocationsWithinQuota, "team", team.Name, "allocated_cpu", total.CPU, "allocated_gpu", total.GPU,
		"limit_cpu", team.MaxCPUs, "limit_gpu", team.MaxGPUs)
	return false
}

// recordAllocation records in the decision log that a team's record is written.
func (w *Writer) recordAllocation(action decisionlog.Action, team config.Team, shard *membership.Shard, record quota.Record, reason string) {
	amount, usage := record.ByShard[shard.ID()], w.usageOf(team, shard.ID())
	w.Decisions.Add(decisionlog.Decision{
		Action:        action,
		Subject:       team.Name,
		Shard:         shard.ID(),
		Epoch:         shard.Epoch(),
		StoreRevision: w.Quotas.Revision(team.Name),
		KnownAt:       w.Cache.ConsistentAsOf(),
		Reason: strings.TrimPrefix(fmt.Sprintf("%s; allocation %v CPUs %v GPUs, tasks use %v and %v at most, %d tasks unknown",
			reason, amount.CPU, amount.GPU, usage.upperBound.CPU, usage.upperBound.GPU, usage.unknownTasks), "; "),
	})
}

// releaseIdleAllocations releases those parts of the allocations to this controller's shards that
// have been unused for AllocationReleaseDelay, or for ContendedAllocationReleaseDelay if the team
// has unclaimed work.
func (w *Writer) releaseIdleAllocations(now time.Time) {
	var contendedTeams map[string]bool // teams with unclaimed work
	for _, team := range w.cfg.Cluster.Teams {
		if !quota.IsLimited(team) || w.allocations.writesPending[team.Name] {
			continue
		}
		if contendedTeams == nil {
			contendedTeams = w.teamsWithUnclaimedWork()
		}
		delay := tuning.AllocationReleaseDelay
		if contendedTeams[team.Name] {
			delay = tuning.ContendedAllocationReleaseDelay
		}
		w.releaseIdleAllocationsOfTeam(team, delay, now)
	}
}

func (w *Writer) teamsWithUnclaimedWork() map[string]bool {
	teams := map[string]bool{}
	for job := range w.State.Jobs() {
		if job.IsRunnable() && len(job.Record().Unclaimed) > 0 {
			teams[job.Record().Team] = true
		}
	}
	return teams
}

// releaseIdleAllocationsOfTeam releases unused allocations of a team. It makes at most one write of
// the team's record.
func (w *Writer) releaseIdleAllocationsOfTeam(team config.Team, delay time.Duration, now time.Time) {
	for _, shard := range w.Membership.LocalShards() {
		if w.Quotas.IsReleasePending(team.Name) {
			// The outcome of a release is not known. Writing the record again settles the outcome:
			// a release that is carried out after that fails, because the record has another
			// revision.
			w.writeAllocations(team, shard, w.Quotas.Record(team.Name), func(kvstore.TxnResult, error) {})
			return
		}
		if w.releaseIdleAllocationInShard(team, shard, delay, now) {
			return
		}
	}
}

// releaseIdleAllocationInShard releases the unused part of a shard's allocation if there was an
// unused part throughout the delay. It returns false if nothing was written.
func (w *Writer) releaseIdleAllocationInShard(team config.Team, shard *membership.Shard, delay time.Duration, now time.Time) bool {
	key := teamShard{team.Name, shard.ID()}
	unused, ok := w.unusedAllocation(team, shard)
	mayRelease := ok && !unused.IsNegligible() && w.Cache.HasReachedEpoch(shard) && !w.shouldKeepUnused(team, key, now)
	if !mayRelease {
		delete(w.allocations.idleSince, key)
		return false
	}
	since, known := w.allocations.idleSince[key]
	if !known {
		w.allocations.idleSince[key] = now
		return false
	}
	if now.Sub(since) < delay {
		return false
	}
	unused = unused.NonNegative()
	record := w.Quotas.Release(team, shard.ID(), unused)
	isSent := w.writeAllocations(team, shard, record, func(result kvstore.TxnResult, err error) {
		if err == nil && !result.Succeeded {
			w.Quotas.RecordReleaseRejected(team.Name, shard.ID())
		}
	})
	if !isSent {
		return false
	}
	w.Quotas.RecordReleaseSent(team.Name, shard.ID(), unused) // the shard must not use the amount from now on, since the release may succeed
	delete(w.allocations.idleSince, key)
	return true
}

// shouldKeepUnused reports whether a shard should keep its unused allocation because it may still
// acquire the quota that it lacks. If it needs all of that quota or none, it keeps the allocation
// only while the missing amount is unallocated: otherwise two shards that each have half of what a
// gang needs would wait for each other forever.
func (w *Writer) shouldKeepUnused(team config.Team, key teamShard, now time.Time) bool {
	missing := w.allocations.shortfalls[key]
	if now.Sub(missing.recordedAt) >= tuning.QuotaShortfallValidity {
		return false
	}
	return !missing.allOrNothing || w.Quotas.Unallocated(team).Covers(missing.amount)
}
