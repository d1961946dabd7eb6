package diagnostics

import (
	"cmp"
	"slices"
	"time"

	"cherrywall/internal/tuning"
)

// Problem is a lasting condition of one machine, controller or job: a machine that receives no
// messages, a controller without a connection to the key-value store or to its peers, or a job that
// has waited for a long time.
type Problem struct {
	Kind            ProblemKind `json:"kind"`
	Name            string      `json:"name"`
	DurationSeconds float64     `json:"since_s"`
	Reason          string      `json:"why"`
}

// ProblemKind is the kind of object that a Problem's name refers to.
type ProblemKind string

// The kinds of problems.
const (
	MachineProblem    ProblemKind = "machine"
	ControllerProblem ProblemKind = "controller"
	JobProblem        ProblemKind = "job"
)

// The reasons for problems, as operators read them in the administration API and in the log.
const (
	reasonNoInbound        = "its heartbeats arrive, but responses and commands do not reach it"
	reasonStoreUnreachable = "the state service does not answer it"
	reasonIsolated         = "neither the state service nor another controller answers it"
	reasonHeartbeatsMissed = "its lease is valid, but its heartbeats do not arrive here"
)

// problems lists the problems known to this controller in two groups, each sorted by descending
// duration. The first group contains the problems of all controllers and of the machines in this
// controller's shards. The second group contains at most tuning.MaxListedNames jobs: those that
// have waited longest without starting a task, if they have waited for at least
// tuning.MinReportedJobWait.
func (r *Reporter) problems(now time.Time) []Problem {
	problems := []Problem{}
	problems = r.appendMachineProblems(problems, now)
	for _, node := range r.deps.Membership.Controllers() {
		if duration, reason := r.connectivityProblem(node, now); reason != "" {
			problems = append(problems, Problem{ControllerProblem, node, duration.Seconds(), reason})
		}
	}
	slices.SortFunc(problems, compareLongestFirst)
	waitingJobs := r.waitingJobProblems(now)
	return append(problems, waitingJobs[:min(len(waitingJobs), tuning.MaxListedNames)]...)
}

func (r *Reporter) appendMachineProblems(problems []Problem, now time.Time) []Problem {
	for _, machine := range r.deps.State.OwnedMachines() {
		conditionStartedAt := machine.NoInboundChangedAt()
		if r.deps.Sessions.IgnoresToken(machine) {
			conditionStartedAt = r.deps.State.OwnedShard(machine).KnownSince()
		} else if !machine.HasNoInbound() {
			continue
		}
		problems = append(problems, Problem{MachineProblem, machine.Host(), now.Sub(conditionStartedAt).Seconds(), reasonNoInbound})
	}
	return problems
}

// waitingJobProblems lists the jobs that have waited for at least tuning.MinReportedJobWait and do not
// wait for dependencies, sorted by descending waiting time.
func (r *Reporter) waitingJobProblems(now time.Time) []Problem {
	var waitingJobs []Problem
	for job := range r.deps.State.Jobs() {
		if job.HasEnded() || job.IsCancelledByDependency() || job.IsBlocked() || job.Age(now) < tuning.MinReportedJobWait {
			continue
		}
		if reason := r.waitReason(job); reason != "" {
			waitingJobs = append(waitingJobs, Problem{JobProblem, job.Ref(), job.Age(now).Seconds(), reason})
		}
	}
	slices.SortFunc(waitingJobs, compareLongestFirst)
	return waitingJobs
}

func compareLongestFirst(x, y Problem) int {
	return cmp.Or(cmp.Compare(y.DurationSeconds, x.DurationSeconds), cmp.Compare(x.Name, y.Name))
}

// connectivityProblem returns how long a controller has had no connection to the key-value store or to
// this controller, and the reason, as far as this controller can see. The reason is empty if both
// connections work, or if nothing is known about them.
func (r *Reporter) connectivityProblem(node string, now time.Time) (duration time.Duration, reason string) {
	storeSilence := now.Sub(r.deps.Cache.LastContactAt())
	if node == r.cfg.Node {
		switch {
		case storeSilence < tuning.HealthGracePeriod:
			return 0, ""
		case !r.deps.Peers.HasConnectedPeer(now) && len(r.deps.Membership.Controllers()) > 1:
			return storeSilence, reasonIsolated
		}
		return storeSilence, reasonStoreUnreachable
	}
	heartbeat, age, hasHeartbeat := r.deps.Peers.Latest(node, now)
	switch {
	case hasHeartbeat && age < tuning.PeerIdleTimeout:
		if peerStoreSilence := heartbeat.StoreSilentFor + age; peerStoreSilence >= tuning.HealthGracePeriod {
			return peerStoreSilence, reasonStoreUnreachable
		}
	case hasHeartbeat && r.deps.Membership.IsLive(node, 0) && storeSilence < tuning.HealthGracePeriod:
		return age, reasonHeartbeatsMissed
	}
	return 0, ""
}

// LogProblems logs the lasting problems, unless it has done so in the last tuning.ProblemLogInterval.
func (r *Reporter) LogProblems(now time.Time) {
	if now.Sub(r.problemsLoggedAt) < tuning.ProblemLogInterval {
		return
	}
	r.problemsLoggedAt = now
	for _, problem := range r.problems(now) {
		if problem.Kind == JobProblem && problem.DurationSeconds < tuning.JobOverdueAfter.Seconds() {
			continue // a short wait behind other jobs is normal
		}
		r.log.Info("lasting problem", "kind", problem.Kind, "name", problem.Name, "duration_s", problem.DurationSeconds, "reason", problem.Reason)
	}
}
