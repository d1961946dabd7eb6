package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/failuredetector"
	"cherrywall/internal/tuning"
)

// Finding is something that is not as it should be. What controllers mend by themselves
// asks for nothing; the rest says what a person must do.
type Finding struct {
	Problem string `json:"what"`
	Action  string `json:"do"` // empty: nothing
}

// diagnose looks at records, members, shares, machines and jobs.
func (a *Controller) diagnose() any {
	now := time.Now()
	out := []Finding{}
	find := func(do, format string, args ...any) { out = append(out, Finding{fmt.Sprintf(format, args...), do}) }
	if silent := now.Sub(a.cache.LastContactAt()); silent > tuning.HealthGracePeriod {
		find("see to the state service, or to this controller's way there", "the state service has been silent for %.0f s", silent.Seconds())
	}
	for _, x := range a.cache.QuarantinedRecords() {
		find("look at the record; if it is beyond help, delete the key", "record %s is set aside: %s", x.Key, x.Error)
	}
	if w := a.gate.PendingControllers(); len(w) > 0 {
		find("upgrade them, or take them out of the settings", "the upgrade is not over: %s left no mark of this version", strings.Join(w, ", "))
	}
	for _, n := range a.members.Controllers() {
		switch {
		case n == a.cfg.Node:
		case !a.members.IsLive(n, 0):
			find("start it, if nothing starts it by itself", "controller %s is down", n)
		case slices.Contains([]failuredetector.State{failuredetector.Suspected, failuredetector.Failed}, a.detector.State(n, now)):
			find("", "controller %s is %s", n, a.detector.State(n, now))
		}
	}
	for _, shard := range a.members.Shards() {
		switch {
		case !a.members.OwnerIsLive(shard):
			find("", "share %s has no living holder; it is taken in a moment", shard.ID())
		case shard.IsLocal() && !shard.IsReconciled() && now.Sub(shard.KnownSince()) > tuning.UnreconciledShardReportAfter:
			find("", "share %s has not settled for %.0f s: some of its machines are silent and are returned", shard.ID(), now.Sub(shard.KnownSince()).Seconds())
		}
	}
	a.diagnoseMachines(find)
	overdue, blamed := 0, 0
	for job := range a.state.Jobs() {
		if job.HasEnded() {
			continue
		}
		if a.faults.IsJobFaulty(job.Ref()) {
			blamed++
		} else if !job.IsBlocked() && job.Record().UnclaimedCount() == job.Record().Tasks && job.Age(now) > tuning.JobOverdueAfter {
			overdue++
		}
	}
	if overdue > 0 {
		find("look at cherrywall jobs for why; more machines may be needed", "%d jobs have waited for more than %.0f s without a task begun", overdue, tuning.JobOverdueAfter.Seconds())
	}
	if blamed > 0 {
		find("tell their users: they were probably submitted with a mistake", "%d jobs fail on machines where others work", blamed)
	}
	return out
}

func (a *Controller) diagnoseMachines(find func(do, format string, args ...any)) {
	by := map[string]int{}
	for _, machine := range a.state.OwnedMachines() {
		by[machineState(machine)]++
	}
	for _, state := range []string{"silent", "deaf", "in doubt", "drained"} {
		if n := by[state]; n > 0 {
			find("", "%d machines of this controller are %s", n, state)
		}
	}
}
