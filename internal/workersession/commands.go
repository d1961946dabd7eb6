package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/startgate"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// hasCommands reports whether a response to a worker would start or stop a task.
func (m *Manager) hasCommands(machine *clusterstate.Machine) bool {
	if m.State.PendingCommandCount(machine) == 0 {
		return false
	}
	now := time.Now()
	for assignment := range machine.Assignments() {
		status := assignment.Status()
		if status.Stopping && status.StartSent && !status.StopSent {
			return true
		}
		if needsStart(assignment) && checkStart(m.Gate, assignment, now) == startgate.Allowed {
			return true
		}
	}
	return false
}

// responseCommands returns the commands of the response to a heartbeat: first stops, then acknowledgements
// of ended tasks, then the starts that the gate admits. A machine that takes no more tasks gets no starts,
// and its planned tasks are unplaced.
func (m *Manager) responseCommands(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) []workerapi.Command {
	commands := []workerapi.Command{} // encoded as an empty list, not as null
	commands = append(commands, m.stopCommands(machine)...)
	commands = append(commands, m.acknowledgements(machine, heartbeat)...)
	if startgate.TakesNoMoreTasks(machine) {
		m.unplacePlanned(machine)
		return commands
	}
	return append(commands, m.startCommands(machine)...)
}

// stopCommands returns the stop commands for the tasks that are to be stopped and whose start was sent. A stop
// is repeated until the worker reports that the task saves a checkpoint or has ended.
func (m *Manager) stopCommands(machine *clusterstate.Machine) []workerapi.Command {
	var commands []workerapi.Command
	for assignment := range machine.Assignments() {
		status := assignment.Status()
		if !status.Stopping || !status.StartSent {
			continue
		}
		if status.StopSent && status.WorkerStatus == workerapi.StatusCheckpointing {
			continue
		}
		commands = append(commands, stopCommand(assignment, status.GraceS))
		if !status.StopSent {
			m.record(decisionlog.StopSent, assignment, "")
		}
		m.State.MarkStopSent(assignment)
	}
	return commands
}

func stopCommand(assignment *clusterstate.Assignment, gracePeriodS float64) workerapi.Command {
	return workerapi.Command{
		Verb:         workerapi.VerbStop,
		Task:         assignment.Name(),
		Attempt:      assignment.Attempt(),
		GracePeriodS: &gracePeriodS,
	}
}

// acknowledgements returns the commands that acknowledge ended tasks, so that the worker drops them. A task is
// not acknowledged while its completion is not durable, or while the same attempt is assigned to the worker.
func (m *Manager) acknowledgements(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) []workerapi.Command {
	var commands []workerapi.Command
	for _, task := range heartbeat.Tasks {
		if task.Status != workerapi.StatusEnded || m.isCompletionPending(task) {
			continue
		}
		assignment := machine.Assignment(task.Task)
		if assignment != nil && assignment.Attempt() == task.Attempt {
			continue
		}
		commands = append(commands, workerapi.Command{Verb: workerapi.VerbAcknowledge, Task: task.Task, Attempt: task.Attempt})
	}
	return commands
}

// isCompletionPending reports whether a task is done and its completion is not durable yet. The worker must
// keep the task until the completion is durable, because only the worker's heartbeats show it.
func (m *Manager) isCompletionPending(task workerapi.TaskStatus) bool {
	ref, index, ok := jobs.ParseTaskName(task.Task)
	if !ok || task.Cause != workerapi.CauseDone {
		return false
	}
	if taskRange, offset := m.State.FindTask(ref, index); taskRange != nil && !taskRange.Record().Done.Has(offset) {
		return true
	}
	job := m.State.Job(ref)
	return job != nil && !job.HasEnded() && job.InTransaction()
}

// unplacePlanned unplaces the planned tasks of a machine that takes no more tasks, so that they can be placed
// on other machines.
func (m *Manager) unplacePlanned(machine *clusterstate.Machine) {
	for assignment := range machine.Assignments() {
		if assignment.Status().IsPlanned() && assignment.Job() != nil {
			m.State.Unplace(assignment)
		}
	}
}

// startCommands returns the start commands for the planned tasks that the gate admits, and records the reason
// for each refusal.
func (m *Manager) startCommands(machine *clusterstate.Machine) []workerapi.Command {
	var commands []workerapi.Command
	now := time.Now()
	for assignment := range machine.Assignments() {
		if !needsStart(assignment) {
			continue
		}
		if refusal := checkStart(m.Gate, assignment, now); refusal != startgate.Allowed {
			m.recordRefusal(assignment, refusal)
			continue
		}
		if isGang(assignment) {
			m.markGangStarted(assignment.Job(), machine)
		}
		m.State.MarkStartSent(assignment)
		m.Claims.RecordStartSent(assignment)
		m.record(decisionlog.StartSent, assignment, "")
		commands = append(commands, workerapi.Command{Verb: workerapi.VerbStart, Task: assignment.Name(), Attempt: assignment.Attempt()})
	}
	return commands
}

// checkStart is a variable so that mutation tests can replace it.
var checkStart = (*startgate.Gate).Check

// recordRefusal records in the decision log why the gate refuses a start, unless the start was last refused for
// the same reason.
func (m *Manager) recordRefusal(assignment *clusterstate.Assignment, refusal startgate.Refusal) {
	if m.State.RecordStartRefusal(assignment, string(refusal)) {
		m.record(decisionlog.StartRefused, assignment, string(refusal))
	}
}

// record adds a decision on a task to the decision log.
func (m *Manager) record(action decisionlog.Action, assignment *clusterstate.Assignment, reason string) {
	machine := assignment.Machine()
	decision := decisionlog.Decision{
		Action:        action,
		Subject:       assignment.Name(),
		Attempt:       assignment.Attempt(),
		Worker:        machine.Host(),
		Shard:         machine.Record().Shard,
		StoreRevision: m.Cache.AppliedRevision(),
		KnownAt:       m.Cache.ConsistentAsOf(),
		Reason:        reason,
	}
	if shard := m.State.OwnedShard(machine); shard != nil {
		decision.Epoch, decision.FencingToken = shard.Epoch(), reconciliation.FencingToken(shard, machine)
	}
	m.Decisions.Add(decision)
}

// reportUnadmittedStarts reports an invariant violation for each start command that the gate has not admitted.
// Status.StartSent of the task is not set in this case, because only MarkStartSent sets it, after the gate has
// admitted the start. Direct requests need no such check, because they contain no start commands.
func (m *Manager) reportUnadmittedStarts(machine *clusterstate.Machine, commands []workerapi.Command) {
	for _, command := range commands {
		if command.Verb != workerapi.VerbStart {
			continue
		}
		assignment := machine.Assignment(command.Task)
		if assignment == nil || assignment.Attempt() != command.Attempt || !assignment.Status().StartSent {
			m.Violations.Report(decisionlog.StartsPassGate, "task", command.Task, "attempt", command.Attempt, "worker", machine.Host())
		}
	}
}

// markGangStarted marks a gang as started and logs this. It does nothing if a start command of the gang's attempt
// was already sent.
func (m *Manager) markGangStarted(job *clusterstate.Job, machine *clusterstate.Machine) {
	if !m.State.StartGang(job) {
		return
	}
	attempt, _ := job.GangAttempt()
	m.log.Info("gang started", "job", job.Ref(), "tasks", job.Record().Tasks, "attempt", attempt,
		"shard", machine.Record().Shard, "waited_s", job.Age(time.Now()).Seconds())
}

// needsStart reports whether a task is planned, its claim is durable, and no start was sent yet. The gate
// decides whether the start may be sent.
func needsStart(assignment *clusterstate.Assignment) bool {
	status := assignment.Status()
	return !status.StartSent && !status.Stopping && assignment.Job() != nil && !assignment.IsTentative()
}

func isGang(assignment *clusterstate.Assignment) bool {
	return assignment.Job().Record().Kind == jobs.Gang
}

// requestReadBarrier requests a linearizable read if this controller's knowledge of cancellations is older than
// half of tuning.MaxStartKnowledgeAge, so that the knowledge does not become too old for sending starts. When the
// read has succeeded, the responses for which there are commands are sent.
func (m *Manager) requestReadBarrier(now time.Time) {
	if m.isReadBarrierPending || now.Sub(m.Cache.ConsistentAsOf()) < tuning.MaxStartKnowledgeAge/2 {
		return
	}
	m.isReadBarrierPending = true
	m.Cache.ReadBarrier(true, func(ok bool) {
		m.isReadBarrierPending = false
		if ok {
			m.SendResponses()
		}
	})
}
