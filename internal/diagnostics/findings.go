package diagnostics

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/featuregate"
	"cherrywall/internal/tuning"
)

// Finding is a problem of the deployment that "cherrywall doctor" prints.
type Finding struct {
	Problem string `json:"what"`
	// Action is what an operator must do. It is empty if the controllers resolve the problem
	// without an operator.
	Action string `json:"do"`
}

// findingList collects findings.
type findingList []Finding

// add appends a finding. format and args describe the problem as in fmt.Sprintf.
func (l *findingList) add(action, format string, args ...any) {
	*l = append(*l, Finding{Problem: fmt.Sprintf(format, args...), Action: action})
}

// findings examines the key-value store, the controllers, the shards, the machines, the jobs and the
// invariants, and returns what it found.
func (r *Reporter) findings(now time.Time) []Finding {
	list := findingList{}
	r.checkStore(&list, now)
	r.checkControllers(&list, now)
	r.checkShards(&list, now)
	r.checkMachines(&list)
	r.checkJobs(&list, now)
	r.checkInvariants(&list)
	return list
}

func (r *Reporter) checkInvariants(list *findingList) {
	counts := r.deps.Violations.Counts()
	for _, invariant := range slices.Sorted(maps.Keys(counts)) {
		if counts[invariant] > 0 {
			list.add("keep this controller's log and report the violation: it is a bug in cherrywall", "invariant %s was violated %d times", invariant, counts[invariant])
		}
	}
}

func (r *Reporter) checkStore(list *findingList, now time.Time) {
	if storeSilence := now.Sub(r.deps.Cache.LastContactAt()); storeSilence > tuning.HealthGracePeriod {
		list.add("check the state service and this controller's network path to it", "the state service has not responded for %.0f s", storeSilence.Seconds())
	}
	for _, record := range r.deps.Cache.QuarantinedRecords() {
		list.add("inspect the record; if it cannot be repaired, delete the key", "record %s is quarantined: %s", record.Key, record.Error)
	}
}

func (r *Reporter) checkControllers(list *findingList, now time.Time) {
	if pendingControllers := r.deps.FeatureGate.PendingControllers(featuregate.Latest); len(pendingControllers) > 0 {
		list.add("upgrade them, or remove them from the configuration", "the upgrade is not complete: %s recorded no version or an older one", strings.Join(pendingControllers, ", "))
	}
	for _, node := range r.deps.Membership.Controllers() {
		if node == r.cfg.Node {
			continue
		}
		if !r.deps.Membership.IsLive(node, 0) {
			list.add("start it, unless it is restarted automatically", "controller %s is down", node)
			continue
		}
		if state := r.deps.Detector.State(node, now); isFailureState(state) {
			list.add("", "controller %s is %s", node, state)
		}
	}
}

func (r *Reporter) checkShards(list *findingList, now time.Time) {
	for _, shard := range r.deps.Membership.Shards() {
		ownershipDuration := now.Sub(shard.KnownSince())
		switch {
		case !r.deps.Membership.OwnerIsLive(shard):
			list.add("", "shard %s has no live owner; a controller acquires it shortly", shard.ID())
		case shard.IsLocal() && !shard.IsReconciled() && ownershipDuration > tuning.UnreconciledShardReportAfter:
			list.add("", "shard %s has not been reconciled for %.0f s: some of its machines do not respond and are being released", shard.ID(), ownershipDuration.Seconds())
		}
	}
}

func (r *Reporter) checkMachines(list *findingList) {
	counts := map[machineState]int{}
	for _, machine := range r.deps.State.OwnedMachines() {
		counts[machineStateOf(machine)]++
	}
	for _, state := range []machineState{stateLost, stateNoInbound, stateSuspected, stateDrained} {
		if count := counts[state]; count > 0 {
			list.add("", "%d machines of this controller are in the state: %s", count, state)
		}
	}
}

func (r *Reporter) checkJobs(list *findingList, now time.Time) {
	overdueJobCount, faultyJobCount := 0, 0
	for job := range r.deps.State.Jobs() {
		if job.HasEnded() {
			continue
		}
		isUnclaimed := job.Record().UnclaimedCount() == job.Record().Tasks
		switch {
		case r.deps.Faults.IsJobFaulty(job.Ref()):
			faultyJobCount++
		case !job.IsBlocked() && isUnclaimed && job.Age(now) > tuning.JobOverdueAfter:
			overdueJobCount++
		}
	}
	if overdueJobCount > 0 {
		list.add("run cherrywall jobs to see the reasons; more machines may be needed", "%d jobs have waited for more than %.0f s without starting a task", overdueJobCount, tuning.JobOverdueAfter.Seconds())
	}
	if faultyJobCount > 0 {
		list.add("tell their users: the jobs were probably submitted with a mistake", "%d jobs fail on machines where other jobs work", faultyJobCount)
	}
}
