package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// hasCommands reports whether a response to a worker would start or stop a task.
func (m *Manager) hasCommands(machine *clusterstate.Machine) bool {
	if m.State.PendingCommands(machine) == 0 {
		return false
	}
	mayStart := m.mayStartTasks(time.Now())
	for assignment := range machine.Assignments() {
		status := assignment.Status()
		if status.Stopping && status.StartSent && !status.StopSent {
			return true
		}
		if mayStart && needsStart(assignment) && m.canStart(machine, assignment) {
			return true
		}
	}
	return false
}

// commands returns the commands of the response to a heartbeat: first stops, then acknowledgements of
// ended tasks, then starts for which there are resources.
func (m *Manager) commands(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) []workerapi.Command {
	commands := []workerapi.Command{} // encoded as an empty list, not as null
	commands = append(commands, m.stopCommands(machine)...)
	commands = append(commands, m.acknowledgements(machine, heartbeat)...)
	if takesNoMoreTasks(machine) {
		m.unplacePlanned(machine)
		return commands
	}
	if !m.mayStartTasks(time.Now()) {
		return commands
	}
	return append(commands, m.startCommands(machine)...)
}

// takesNoMoreTasks reports whether a machine is on its way out, so that no task may start on it.
func takesNoMoreTasks(machine *clusterstate.Machine) bool {
	return machine.IsPreempted() || machine.IsReleasing() || machine.IsCordoned()
}

// stopCommands stops tasks. A stop is repeated until the worker reports that it saves a checkpoint, or
// that the task has ended.
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

// acknowledgements lets the worker drop the ended tasks that it need not keep any longer.
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

// isCompletionPending reports whether a task is done and its completion is not durable yet. Until then
// the worker must keep it, since its heartbeat is the only evidence.
func (m *Manager) isCompletionPending(task workerapi.TaskStatus) bool {
	ref, index, ok := jobs.ParseTask(task.Task)
	if !ok || task.Cause != workerapi.CauseDone {
		return false
	}
	if taskRange, at := m.State.FindTask(ref, index); taskRange != nil && !taskRange.Record().Done.Has(at) {
		return true
	}
	job := m.State.Job(ref)
	return job != nil && !job.HasEnded() && job.InTransaction()
}

// unplacePlanned frees the tasks that were planned on a machine that takes no more tasks.
func (m *Manager) unplacePlanned(machine *clusterstate.Machine) {
	for assignment := range machine.Assignments() {
		if assignment.Status().IsPlanned() && assignment.Job() != nil {
			m.State.Unplace(assignment)
		}
	}
}

// startCommands starts the planned tasks for which there are resources.
func (m *Manager) startCommands(machine *clusterstate.Machine) []workerapi.Command {
	var commands []workerapi.Command
	for assignment := range machine.Assignments() {
		if !needsStart(assignment) || !m.gangAllowsStart(assignment) {
			continue
		}
		if isGang(assignment) {
			m.noteGangStart(assignment.Job(), machine)
		}
		if !m.hasResources(machine, assignment) {
			continue
		}
		m.State.MarkStartSent(assignment)
		commands = append(commands, workerapi.Command{Verb: workerapi.VerbStart, Task: assignment.Name(), Attempt: assignment.Attempt()})
	}
	return commands
}

// noteGangStart marks a gang as started when the first of its tasks is.
func (m *Manager) noteGangStart(job *clusterstate.Job, machine *clusterstate.Machine) {
	if !m.State.StartGang(job) {
		return
	}
	attempt, _ := job.GangAttempt()
	m.log.Info("gang started", "job", job.Ref(), "tasks", job.Record().Tasks, "attempt", attempt,
		"shard", machine.Record().Shard, "waited_s", job.Age(time.Now()).Seconds())
}

// needsStart reports whether a task is planned, its claim is durable, and no start was sent yet.
func needsStart(assignment *clusterstate.Assignment) bool {
	status := assignment.Status()
	return !status.StartSent && !status.Stopping && assignment.Job() != nil && !assignment.IsTentative()
}

func isGang(assignment *clusterstate.Assignment) bool {
	return assignment.Job().Record().Kind == jobs.Gang
}

func (m *Manager) canStart(machine *clusterstate.Machine, assignment *clusterstate.Assignment) bool {
	return m.gangAllowsStart(assignment) && m.hasResources(machine, assignment)
}

// gangAllowsStart reports whether a task is of no gang, or all tasks of its gang can start.
func (m *Manager) gangAllowsStart(assignment *clusterstate.Assignment) bool {
	return !isGang(assignment) || m.State.GangCanStart(assignment.Job())
}

func (m *Manager) hasResources(machine *clusterstate.Machine, assignment *clusterstate.Assignment) bool {
	return m.State.FreeNow(machine).Covers(assignment.Need())
}

// mayStartTasks reports whether start commands may be sent. All cancellations up to
// tuning.MaxStartKnowledgeAge ago must be known here; otherwise a task could start of a job whose
// cancellation was confirmed to the user (docs/recovery.md, "No start after a cancellation"). Starts may also
// be sent if all peers say that they do not reach the key-value store: then none of them can have confirmed
// a cancellation.
func (m *Manager) mayStartTasks(now time.Time) bool {
	return cancellationsKnown(m.cfg, now, m.Cache.ConsistentAsOf()) ||
		m.Peers.NoPeerReachesStore(now, tuning.MaxStartKnowledgeAge/2)
}

// cancellationsKnown is a variable so that a mutation test can replace it.
var cancellationsKnown = (*config.Config).MayStartTasks

// requestReadBarrier requests a linearizable read when what is known of cancellations is about to become
// too old for starts, and sends the delayed responses when it has completed.
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
