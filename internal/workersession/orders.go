package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/workerapi"
)

// What a report shows, and what is ordered in the answer.

// applyTasks takes a report in: what it lists is there, what was ordered before
// and is not listed is not there.
// quiet tells that it says nothing new of tasks or notices; order what became of the last
// orders to start tasks.
func (k *Manager) applyTasks(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, newSession bool) (quiet bool, delivery commandDelivery) {
	now := time.Now()
	quiet = true
	if heartbeat.PreemptionInS != nil && !machine.IsPreempted() {
		k.log.Info("machine recalled", "worker", machine.Host(), "in_s", *heartbeat.PreemptionInS)
		k.State.MarkPreempted(machine)
		k.evacuate(machine, *heartbeat.PreemptionInS)
		quiet = false
	}
	if newSession {
		machine.ResetImages()
	}
	listed := map[string]bool{}
	for _, status := range heartbeat.Tasks {
		assignment := machine.Assignment(status.Task)
		if assignment != nil && assignment.Attempt() != status.Attempt {
			if status.Status == workerapi.StatusEnded {
				continue // an older attempt's leftover: orders forgets it
			}
			// The plan does not hold: another attempt of it is there.
			k.State.Unplace(assignment)
			assignment, quiet = nil, false
		}
		if status.Status == workerapi.StatusEnded {
			k.taskEnded(machine, assignment, status)
			quiet = quiet && assignment == nil
			continue
		}
		listed[status.Task] = true
		if assignment == nil {
			finding := k.State.LookupTask(machine, status)
			k.Reconciler.CountDiscrepancy(machine, reconciliation.Classify(finding))
			assignment, quiet = k.State.Adopt(machine, status, reconciliation.KeepsRunning(finding)), false
		}
		if assignment.Status().StartSent && !assignment.Status().Reported {
			delivery = commandsDelivered
		}
		quiet = k.State.UpdateStatus(assignment, status.Status, now) && quiet
	}
	for assignment := range machine.Assignments() {
		if listed[assignment.Name()] || !assignment.Status().StartSent {
			continue
		}
		quiet = false
		if assignment.Status().Reported || assignment.Status().Stopping {
			k.State.Unplace(assignment)
			continue
		}
		// The order never arrived, or its session was over: order it again.
		k.State.ClearStartSent(assignment)
		if delivery == noCommands && !newSession {
			delivery = commandsMissed
		}
	}
	return quiet, delivery
}

// commandDelivery is what a report shows of the last orders to start tasks.
type commandDelivery int

const (
	noCommands commandDelivery = iota // there were none
	commandsDelivered
	commandsMissed
)

// evacuate saves what can be saved before the cloud takes the machine.
func (k *Manager) evacuate(machine *clusterstate.Machine, within float64) {
	for assignment := range machine.Assignments() {
		job := assignment.Job()
		if job == nil || assignment.Status().Stopping {
			continue
		}
		switch rec := job.Record(); {
		case assignment.Status().IsPlanned():
			k.State.Unplace(assignment)
		case rec.Kind == jobs.Gang:
			k.State.StopGang(job)
		case rec.CheckpointIntervalSeconds > 0 && within > rec.CheckpointSaveSeconds:
			k.State.Stop(assignment, within)
		case rec.Kind == jobs.Service:
			k.State.Stop(assignment, 0)
		}
	}
}

// taskEnded handles an exited task. s is its slot, if it was in the books.
func (k *Manager) taskEnded(machine *clusterstate.Machine, assignment *clusterstate.Assignment, status workerapi.TaskStatus) {
	ref, i, ok := jobs.ParseTask(status.Task)
	if !ok {
		return
	}
	if status.Cause == workerapi.CauseDone {
		if assignment != nil { // of a result kept until it is durable this is said again and again
			k.quarantine(k.Faults.RecordSuccess(ref, machine.Host(), k.faultLimits())...)
			if since := assignment.Status().RunningSince; !since.IsZero() && assignment.Job() != nil {
				k.ClassStats.RecordRunTime(assignment.Job().Record(), time.Since(since).Seconds())
			}
			k.State.RemoveExited(assignment)
		}
		if taskRange, at := k.State.FindTask(ref, i); taskRange != nil {
			if reconciliation.Classify(k.State.LookupTask(machine, status)) == reconciliation.CompletionUnrecorded {
				k.Reconciler.CountDiscrepancy(machine, reconciliation.CompletionUnrecorded)
			}
			k.State.MarkDone(taskRange, at, assignment)
		}
		return
	}
	if assignment == nil {
		return
	}
	if status.Cause == workerapi.CauseError && assignment.Job() != nil {
		k.taskFailed(machine, assignment)
	}
	if assignment.Job() != nil && status.Cause != workerapi.CauseStopped {
		k.log.Info("task ended", "task", status.Task, "worker", machine.Host(), "attempt", status.Attempt, "cause", status.Cause)
	}
	k.State.Unplace(assignment)
}

// taskFailed has it judged whom to blame: the machine or the job.
func (k *Manager) taskFailed(machine *clusterstate.Machine, assignment *clusterstate.Assignment) {
	ref, now, ran := assignment.Job().Ref(), time.Now(), time.Duration(0)
	if since := assignment.Status().RunningSince; !since.IsZero() {
		ran = now.Sub(since)
	}
	attribution := k.Faults.RecordFailure(ref, machine.Host(), ran, now, k.faultLimits())
	if attribution.JobPause > 0 {
		k.log.Info("job fails on several machines", "job", ref, "pause_s", attribution.JobPause.Seconds())
	}
	if attribution.MachineFaulty {
		k.quarantine(machine.Host())
	}
}

// clearSuspectedJobs looks whether jobs that failed somewhere run elsewhere by now, well
// beyond the time at which they failed: then the machine was at fault.
func (k *Manager) clearSuspectedJobs(now time.Time) {
	for ref, enough := range k.Faults.UnprovenJobs() {
		job := k.State.Job(ref)
		if job == nil || job.HasEnded() {
			k.Faults.ForgetJob(ref)
			continue
		}
		for taskRange := range job.TaskRanges() {
			for i := range taskRange.Len() {
				assignment := taskRange.Assignment(i)
				if assignment == nil {
					continue
				}
				if is := assignment.Status(); is.WorkerStatus == workerapi.StatusRunning && !is.RunningSince.IsZero() && now.Sub(is.RunningSince) > enough {
					k.quarantine(k.Faults.RecordSuccess(ref, assignment.Machine().Host(), k.faultLimits())...)
				}
			}
		}
	}
}

func (k *Manager) faultLimits() faultattribution.Thresholds {
	set, _ := k.Cache.Settings()
	return faultattribution.Thresholds{MachineFailures: set.QuarantineErrors, JobMachines: set.JobErrorHosts}
}

// quarantine takes machines out of use that fail what works elsewhere.
func (k *Manager) quarantine(hosts ...string) {
	for _, h := range hosts {
		if machine := k.State.Machine(h); machine != nil && !machine.IsCordoned() {
			k.State.Drain(machine)
			k.log.Info("machine quarantined", "worker", h, "errors", k.Faults.FailureCount(h))
		}
	}
}

// hasCommands tells whether a machine has starts or stops waiting for an answer.
func (k *Manager) hasCommands(machine *clusterstate.Machine) bool {
	if k.State.PendingCommands(machine) == 0 {
		return false
	}
	mayStart := k.mayStartTasks(time.Now())
	for assignment := range machine.Assignments() {
		is, job := assignment.Status(), assignment.Job()
		switch {
		case is.Stopping && is.StartSent && !is.StopSent:
			return true
		case !mayStart || is.StartSent || is.Stopping || job == nil || assignment.IsTentative():
		case job.Record().Kind == jobs.Gang && !k.State.GangCanStart(job):
		case k.State.FreeNow(machine).Covers(assignment.Need()):
			return true
		}
	}
	return false
}

// commands answers a report: stops first, then what may be forgotten, then
// starts for which there is room.
func (k *Manager) commands(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) []workerapi.Command {
	out := []workerapi.Command{}
	for assignment := range machine.Assignments() {
		if is := assignment.Status(); is.Stopping && (!is.StopSent || is.WorkerStatus != workerapi.StatusCheckpointing) && is.StartSent {
			leeway := is.GraceS
			out = append(out, workerapi.Command{Verb: workerapi.VerbStop, Task: assignment.Name(), Attempt: assignment.Attempt(), GracePeriodS: &leeway})
			k.State.MarkStopSent(assignment)
		}
	}
	for _, status := range heartbeat.Tasks {
		if status.Status != workerapi.StatusEnded {
			continue
		}
		ref, i, ok := jobs.ParseTask(status.Task)
		if ok && status.Cause == workerapi.CauseDone {
			if taskRange, at := k.State.FindTask(ref, i); taskRange != nil && !taskRange.Record().Done.Has(at) {
				continue // not durable yet
			}
			if job := k.State.Job(ref); job != nil && !job.HasEnded() && job.InTransaction() {
				continue
			}
		}
		if assignment := machine.Assignment(status.Task); assignment != nil && assignment.Attempt() == status.Attempt {
			continue
		}
		out = append(out, workerapi.Command{Verb: workerapi.VerbAcknowledge, Task: status.Task, Attempt: status.Attempt})
	}
	if machine.IsPreempted() || machine.IsReleasing() || machine.IsCordoned() {
		for assignment := range machine.Assignments() {
			if assignment.Status().IsPlanned() && assignment.Job() != nil {
				k.State.Unplace(assignment)
			}
		}
		return out
	}
	if !k.mayStartTasks(time.Now()) {
		return out
	}
	for assignment := range machine.Assignments() {
		is, job := assignment.Status(), assignment.Job()
		if is.StartSent || is.Stopping || job == nil || assignment.IsTentative() {
			continue
		}
		if job.Record().Kind == jobs.Gang {
			if !k.State.GangCanStart(job) {
				continue
			}
			if k.State.StartGang(job) {
				attempt, _ := job.GangAttempt()
				k.log.Info("gang starts", "job", job.Ref(), "tasks", job.Record().Tasks, "attempt", attempt, "share", machine.Record().Shard,
					"waited_s", job.Age(time.Now()).Seconds())
			}
		}
		if !k.State.FreeNow(machine).Covers(assignment.Need()) {
			continue
		}
		k.State.MarkStartSent(assignment)
		out = append(out, workerapi.Command{Verb: workerapi.VerbStart, Task: assignment.Name(), Attempt: assignment.Attempt()})
	}
	return out
}
