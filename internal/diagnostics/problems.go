package diagnostics

import (
	"cmp"
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// Problem is a condition that has lasted for a while and concerns one machine, controller or job: a
// machine that receives nothing, a controller that is cut off, a job that has waited for long.
type Problem struct {
	Kind            ProblemKind `json:"kind"`
	Name            string      `json:"name"`
	DurationSeconds float64     `json:"since_s"`
	Reason          string      `json:"why"`
}

// ProblemKind says what a Problem's name names.
type ProblemKind string

// The kinds of problems.
const (
	MachineProblem    ProblemKind = "machine"
	ControllerProblem ProblemKind = "controller"
	JobProblem        ProblemKind = "job"
)

// Reasons of problems. They are output of the administration API and keep their form.
const (
	reasonNoInbound        = "its reports come, but what is said to it does not arrive"
	reasonStoreSilent      = "the state service does not answer it"
	reasonIsolated         = "neither the state service nor another controller answers it"
	reasonHeartbeatsMissed = "its grant runs, and it is not heard here"
)

// problems lists the problems known to this controller, in each group the longest first: those
// of the machines of its own shards and of all controllers, then the few jobs that have waited
// longest without a task started, for at least tuning.MinReportedJobWait.
func (r *Reporter) problems(now time.Time) []Problem {
	problems := []Problem{}
	problems = r.appendMachineProblems(problems, now)
	for _, node := range r.deps.Membership.Controllers() {
		if lasted, reason := r.isolation(node, now); reason != "" {
			problems = append(problems, Problem{ControllerProblem, node, lasted.Seconds(), reason})
		}
	}
	slices.SortFunc(problems, compareByDuration)
	waiting := r.waitingJobs(now)
	return append(problems, waiting[:min(len(waiting), tuning.MaxListedNames)]...)
}

func (r *Reporter) appendMachineProblems(problems []Problem, now time.Time) []Problem {
	for _, machine := range r.deps.State.OwnedMachines() {
		since := machine.NoInboundChangedAt()
		if r.deps.Sessions.IgnoresToken(machine) {
			since = r.deps.State.OwnedShard(machine).KnownSince()
		} else if !machine.HasNoInbound() {
			continue
		}
		problems = append(problems, Problem{MachineProblem, machine.Host(), now.Sub(since).Seconds(), reasonNoInbound})
	}
	return problems
}

// waitingJobs lists the jobs that wait for something else than other jobs, the longest first.
func (r *Reporter) waitingJobs(now time.Time) []Problem {
	var waiting []Problem
	for job := range r.deps.State.Jobs() {
		if job.HasEnded() || job.IsCancelledByDependency() || job.IsBlocked() || job.Age(now) < tuning.MinReportedJobWait {
			continue
		}
		if reason := r.waitReason(job); reason != "" {
			waiting = append(waiting, Problem{JobProblem, job.Ref(), job.Age(now).Seconds(), reason})
		}
	}
	slices.SortFunc(waiting, compareByDuration)
	return waiting
}

func compareByDuration(x, y Problem) int {
	return cmp.Or(cmp.Compare(y.DurationSeconds, x.DurationSeconds), cmp.Compare(x.Name, y.Name))
}

// isolation returns for how long a controller has been cut off and from what, as far as this
// controller can see. The reason is empty if it is not cut off.
func (r *Reporter) isolation(node string, now time.Time) (lasted time.Duration, reason string) {
	storeSilentFor := now.Sub(r.deps.Cache.LastContactAt())
	if node == r.cfg.Node {
		switch {
		case storeSilentFor < tuning.HealthGracePeriod:
			return 0, ""
		case !r.deps.Peers.HasRecentHeartbeat(now) && len(r.deps.Membership.Controllers()) > 1:
			return storeSilentFor, reasonIsolated
		}
		return storeSilentFor, reasonStoreSilent
	}
	heartbeat, age, hasHeartbeat := r.deps.Peers.Latest(node, now)
	switch {
	case hasHeartbeat && age < tuning.PeerIdleTimeout:
		if peerSilentFor := heartbeat.StoreSilentFor + age; peerSilentFor >= tuning.HealthGracePeriod {
			return peerSilentFor, reasonStoreSilent
		}
	case hasHeartbeat && r.deps.Membership.IsLive(node, 0) && storeSilentFor < tuning.HealthGracePeriod:
		return age, reasonHeartbeatsMissed
	}
	return 0, ""
}

// LogProblems logs the problems that last, once in tuning.ProblemLogInterval.
func (r *Reporter) LogProblems(now time.Time) {
	if now.Sub(r.problemsLoggedAt) < tuning.ProblemLogInterval {
		return
	}
	r.problemsLoggedAt = now
	for _, problem := range r.problems(now) {
		if problem.Kind == JobProblem && problem.DurationSeconds < tuning.JobOverdueAfter.Seconds() {
			continue // waiting behind others in an ordinary queue
		}
		r.log.Info("lasting problem", "kind", problem.Kind, "name", problem.Name, "duration_s", problem.DurationSeconds, "reason", problem.Reason)
	}
}
