package diagnostics

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/tuning"
)

// Finding is something that is not as it should be, as "cherrywall doctor" prints it.
type Finding struct {
	Problem string `json:"what"`
	// Action is what a person must do. It is empty if the controllers repair it by themselves.
	Action string `json:"do"`
}

// findingList collects findings.
type findingList []Finding

// add appends a finding with the problem formatted as by fmt.Sprintf.
func (l *findingList) add(action, format string, args ...any) {
	*l = append(*l, Finding{Problem: fmt.Sprintf(format, args...), Action: action})
}

// findings examines the key-value store, the controllers, the shards, the machines and the jobs.
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
			list.add("keep this controller's log and report it: it is a fault of the program", "invariant %s was violated %d times", invariant, counts[invariant])
		}
	}
}

func (r *Reporter) checkStore(list *findingList, now time.Time) {
	if silentFor := now.Sub(r.deps.Cache.LastContactAt()); silentFor > tuning.HealthGracePeriod {
		list.add("see to the state service, or to this controller's way there", "the state service has been silent for %.0f s", silentFor.Seconds())
	}
	for _, record := range r.deps.Cache.QuarantinedRecords() {
		list.add("look at the record; if it is beyond help, delete the key", "record %s is set aside: %s", record.Key, record.Error)
	}
}

func (r *Reporter) checkControllers(list *findingList, now time.Time) {
	if pending := r.deps.FeatureGate.PendingControllers(); len(pending) > 0 {
		list.add("upgrade them, or take them out of the settings", "the upgrade is not over: %s left no mark of this version", strings.Join(pending, ", "))
	}
	for _, node := range r.deps.Membership.Controllers() {
		if node == r.cfg.Node {
			continue
		}
		if !r.deps.Membership.IsLive(node, 0) {
			list.add("start it, if nothing starts it by itself", "controller %s is down", node)
			continue
		}
		if state := r.deps.Detector.State(node, now); isFailureState(state) {
			list.add("", "controller %s is %s", node, state)
		}
	}
}

func (r *Reporter) checkShards(list *findingList, now time.Time) {
	for _, shard := range r.deps.Membership.Shards() {
		ownedFor := now.Sub(shard.KnownSince())
		switch {
		case !r.deps.Membership.OwnerIsLive(shard):
			list.add("", "share %s has no living holder; it is taken in a moment", shard.ID())
		case shard.IsLocal() && !shard.IsReconciled() && ownedFor > tuning.UnreconciledShardReportAfter:
			list.add("", "share %s has not settled for %.0f s: some of its machines are silent and are returned", shard.ID(), ownedFor.Seconds())
		}
	}
}

func (r *Reporter) checkMachines(list *findingList) {
	counts := map[machineState]int{}
	for _, machine := range r.deps.State.OwnedMachines() {
		counts[stateOf(machine)]++
	}
	for _, state := range []machineState{stateLost, stateNoInbound, stateSuspected, stateDrained} {
		if count := counts[state]; count > 0 {
			list.add("", "%d machines of this controller are %s", count, state)
		}
	}
}

func (r *Reporter) checkJobs(list *findingList, now time.Time) {
	overdue, faulty := 0, 0
	for job := range r.deps.State.Jobs() {
		if job.HasEnded() {
			continue
		}
		isUnclaimed := job.Record().UnclaimedCount() == job.Record().Tasks
		switch {
		case r.deps.Faults.IsJobFaulty(job.Ref()):
			faulty++
		case !job.IsBlocked() && isUnclaimed && job.Age(now) > tuning.JobOverdueAfter:
			overdue++
		}
	}
	if overdue > 0 {
		list.add("look at cherrywall jobs for why; more machines may be needed", "%d jobs have waited for more than %.0f s without a task begun", overdue, tuning.JobOverdueAfter.Seconds())
	}
	if faulty > 0 {
		list.add("tell their users: they were probably submitted with a mistake", "%d jobs fail on machines where others work", faulty)
	}
}
