package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/tuning"
)

// Problem is something that lasts and that operators want to know by name: a machine that does not
// hear, a controller that is cut off, a job that waits for long.
type Problem struct {
	Kind            string  `json:"kind"` // machine, controller, job
	Name            string  `json:"name"`
	DurationSeconds float64 `json:"since_s"`
	Reason          string  `json:"why"`
}

// Why a controller is cut off, as the one that is asked sees it.
const (
	reasonStoreSilent      = "the state service does not answer it"
	reasonIsolated         = "neither the state service nor another controller answers it"
	reasonHeartbeatsMissed = "its grant runs, and it is not heard here"
)

// reasonNotScheduled is why a job waits of which no round of decisions here has said more.
const reasonNotScheduled = "others go first, or there is no room for a task of it"

// problems are those known here: of the machines of its own shares, of all controllers, and the
// jobs of which no task has begun for the longest time, at least a moment.
func (a *Controller) problems(now time.Time) []Problem {
	out := []Problem{}
	for _, machine := range a.state.OwnedMachines() {
		since := machine.NoInboundChangedAt()
		if a.sessions.IgnoresToken(machine) {
			since = a.state.OwnedShard(machine).KnownSince()
		} else if !machine.HasNoInbound() {
			continue
		}
		out = append(out, Problem{"machine", machine.Host(), now.Sub(since).Seconds(), "its reports come, but what is said to it does not arrive"})
	}
	for _, n := range a.members.Controllers() {
		if since, why := a.isolation(n, now); why != "" {
			out = append(out, Problem{"controller", n, since.Seconds(), why})
		}
	}
	slices.SortFunc(out, compareByDuration)
	var waiting []Problem
	for job := range a.state.Jobs() {
		if job.HasEnded() || job.IsCancelledByDependency() || job.IsBlocked() || job.Age(now) < tuning.MinReportedJobWait {
			continue
		}
		why := a.waitReason(job)
		if why == "" {
			continue
		}
		waiting = append(waiting, Problem{"job", job.Ref(), job.Age(now).Seconds(), why})
	}
	slices.SortFunc(waiting, compareByDuration)
	return append(out, waiting[:min(len(waiting), tuning.MaxListedNames)]...)
}

// waitReason tells what an unfinished job that waits for no other waits for, of which no task is known to have begun; empty if one
// has, or if its part is another controller's to tell of.
func (a *Controller) waitReason(job *clusterstate.Job) string {
	unknown, ready, claimed := 0, 0, false
	for taskRange := range job.TaskRanges() {
		if taskRange.DoneTasks() > 0 || taskRange.CountTasks(clusterstate.TaskPlaced) > 0 {
			return ""
		}
		claimed = claimed || !taskRange.IsTentative()
		unknown, ready = unknown+taskRange.CountTasks(clusterstate.TaskUnknown), ready+taskRange.CountTasks(clusterstate.TaskReady)
	}
	why := a.scheduler.WaitReason(job)
	switch {
	case job.Record().Completed > 0:
		return ""
	case unknown > 0:
		return fmt.Sprintf("%d tasks may be on machines that can't be asked", unknown)
	case claimed && ready == 0:
		return ""
	case why == "" && claimed:
		return "its tasks are claimed, and there is no room for one of them here"
	case why == "":
		return reasonNotScheduled
	}
	return why
}

func compareByDuration(x, y Problem) int {
	return cmp.Or(cmp.Compare(y.DurationSeconds, x.DurationSeconds), cmp.Compare(x.Name, y.Name))
}

// isolation tells since when and from what a controller is cut off, as far as can be seen here.
func (a *Controller) isolation(node string, now time.Time) (since time.Duration, why string) {
	silent := now.Sub(a.cache.LastContactAt())
	if node == a.cfg.Node {
		switch {
		case silent < tuning.HealthGracePeriod:
		case !a.peers.HasRecentHeartbeat(now) && len(a.members.Controllers()) > 1:
			return silent, reasonIsolated
		default:
			return silent, reasonStoreSilent
		}
		return 0, ""
	}
	b, age, heard := a.peers.Latest(node, now)
	switch {
	case heard && age < tuning.PeerIdleTimeout:
		if gone := b.StoreSilentFor + age; gone >= tuning.HealthGracePeriod {
			return gone, reasonStoreSilent
		}
	case heard && a.members.IsLive(node, 0) && silent < tuning.HealthGracePeriod:
		return age, reasonHeartbeatsMissed
	}
	return 0, ""
}

// logProblems logs what lasts, now and then.
func (a *Controller) logProblems(now time.Time) {
	if now.Sub(a.problemsLoggedAt) < tuning.ProblemLogInterval {
		return
	}
	a.problemsLoggedAt = now
	for _, x := range a.problems(now) {
		if x.Kind == "job" && x.DurationSeconds < tuning.JobOverdueAfter.Seconds() {
			continue // behind others in an ordinary queue
		}
		a.log.Info("trouble", "kind", x.Kind, "name", x.Name, "since_s", x.DurationSeconds, "why", x.Reason)
	}
}
