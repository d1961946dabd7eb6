package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	"golang.org/x/time/rate"
)

// Direct exchanges send commands to a worker's own address when its next heartbeat would be too late or
// does not come: tasks of cancelled jobs are stopped before they begin, and a worker that cannot open a
// connection is asked for the state of its tasks. They renew no lease and start no task.

// directExchanges are the workers that wait for an exchange, and how many exchanges are in flight.
type directExchanges struct {
	limiter  *rate.Limiter
	queue    []*clusterstate.Machine
	inFlight int
}

// directExchange is the state of the exchanges with one worker.
type directExchange struct {
	isQueued    bool
	isInFlight  bool
	sentAt      time.Time // of the last request
	answeredAt  time.Time // of the last answer
	resendUntil time.Time // until then the stops of cancelled tasks are repeated
}

// SendCancellations sends workers at once the stops of tasks of ended jobs that have perhaps not begun. With
// the next heartbeat they would begin in between, up to a heartbeat interval after the cancellation was
// confirmed to the user. A worker whose heartbeat is pending gets them with the response.
func (m *Manager) SendCancellations(now time.Time) {
	for _, machine := range m.State.TakeUrgentStops() {
		if !m.isOwned(machine) {
			continue
		}
		session := m.sessionOf(machine)
		session.exchange.resendUntil = now.Add(tuning.HeartbeatAnswerLifetime)
		if m.respondIfPending(machine, session) {
			m.enqueueExchangeAfter(machine, session, tuning.DirectRequestInterval) // the response may be lost
			continue
		}
		m.enqueueExchange(machine, session)
	}
}

// respondIfPending answers a worker's pending heartbeat, and reports whether it did.
func (m *Manager) respondIfPending(machine *clusterstate.Machine, session *agentSession) bool {
	if session.pending == nil {
		return false
	}
	m.respondOrDelay(machine, session)
	return session.pending == nil
}

// contactOverdue asks the workers whose heartbeat is overdue for the state of their tasks, in turn. It does
// so only while heartbeats may be answered: otherwise they are refused, and all workers would be asked.
func (m *Manager) contactOverdue(now time.Time) {
	if m.workers == nil || !m.Cache.MayRenewWorkerLeases(now) {
		return
	}
	for _, machine := range m.State.OwnedMachines() {
		if !machine.HeartbeatOverdue() || !machine.HasReported() || machine.IsReleasing() || machine.IsReleased() {
			continue
		}
		session := m.sessionOf(machine)
		if now.Sub(session.exchange.sentAt) >= tuning.DirectRequestInterval {
			m.enqueueExchange(machine, session)
		}
	}
}

// ReachableByCommand reports whether a worker has answered a direct exchange a moment ago. If it sends no
// heartbeats, it works and cannot reach a controller.
func (m *Manager) ReachableByCommand(machine *clusterstate.Machine, now time.Time) bool {
	session := m.sessions[machine]
	return session != nil && !session.exchange.answeredAt.IsZero() &&
		now.Sub(session.exchange.answeredAt) < tuning.DirectAnswerValidity
}

// enqueueExchange starts an exchange with a worker when its turn comes.
func (m *Manager) enqueueExchange(machine *clusterstate.Machine, session *agentSession) {
	if m.workers == nil || session.exchange.isQueued || session.exchange.isInFlight || machine.Record().Addr == "" {
		return
	}
	session.exchange.isQueued = true
	m.exchanges.queue = append(m.exchanges.queue, machine)
	m.runExchanges()
}

// enqueueExchangeAfter repeats the stops of cancelled tasks after a delay, unless the worker's session was
// dropped meanwhile or directExchange.resendUntil has passed.
func (m *Manager) enqueueExchangeAfter(machine *clusterstate.Machine, session *agentSession, delay time.Duration) {
	m.mailbox.SendAfter(delay, func() {
		if m.sessions[machine] != session || !m.State.IsCurrentMachine(machine) {
			return
		}
		if time.Now().Before(session.exchange.resendUntil) {
			m.enqueueExchange(machine, session)
		}
	})
}

// runExchanges starts the exchanges that the rate limit and the limit of concurrent ones allow.
func (m *Manager) runExchanges() {
	exchanges := &m.exchanges
	for len(exchanges.queue) > 0 && exchanges.inFlight < tuning.MaxConcurrentDirectCommands {
		reservation := exchanges.limiter.Reserve()
		if wait := reservation.Delay(); wait > 0 {
			reservation.Cancel()
			m.mailbox.SendAfter(wait, m.runExchanges)
			return
		}
		machine := exchanges.queue[0]
		exchanges.queue = exchanges.queue[1:]
		session := m.sessions[machine]
		if session == nil {
			continue
		}
		session.exchange.isQueued = false
		if m.isOwned(machine) {
			m.startExchange(machine, session)
		}
	}
}

// startExchange sends a worker the stops of its cancelled tasks. Without any there is an exchange only if the
// worker's heartbeat is overdue. The goroutine ends with the mailbox's context at the latest.
func (m *Manager) startExchange(machine *clusterstate.Machine, session *agentSession) {
	request := workerapi.CommandRequest{
		FencingToken: reconciliation.FencingToken(m.State.OwnedShard(machine), machine),
		AgentEpoch:   max(1, m.AgentEpoch(machine)),
		Commands:     cancellations(machine),
	}
	isNeeded := len(request.Commands) > 0 || machine.HeartbeatOverdue()
	if !isNeeded {
		session.exchange.resendUntil = time.Time{}
		return
	}
	session.exchange.isInFlight, session.exchange.sentAt = true, time.Now()
	m.exchanges.inFlight++
	lastHeartbeatAt, addr := machine.LastHeartbeatAt(), machine.Record().Addr
	go func() {
		heartbeat, done, err := m.workers.Execute(m.mailbox.Context(), addr, request)
		m.mailbox.Send(func() {
			m.exchanges.inFlight--
			session.exchange.isInFlight = false
			if err == nil && heartbeat.Host == machine.Host() {
				session.exchange.answeredAt = time.Now()
				if m.isConclusive(machine, session, lastHeartbeatAt) {
					m.applyDirectHeartbeat(machine, session, heartbeat, request.FencingToken)
				}
			}
			m.retryExchange(machine, session, heartbeat, err == nil && done)
			m.runExchanges()
		})
	}()
}

// cancellations returns the stops of the cancelled tasks of a worker, tuning.MaxCommandsPerDirectRequest at
// most.
func cancellations(machine *clusterstate.Machine) []workerapi.Command {
	commands := []workerapi.Command{} // encoded as an empty list, not as null
	for assignment := range machine.Assignments() {
		if isCancelled(assignment) && len(commands) < tuning.MaxCommandsPerDirectRequest {
			commands = append(commands, stopCommand(assignment, 0)) // nobody needs its checkpoint
		}
	}
	return commands
}

// isCancelled reports whether a worker may run a task that no job has any more.
func isCancelled(assignment *clusterstate.Assignment) bool {
	status := assignment.Status()
	return status.Stopping && status.StartSent && assignment.Job() == nil
}

// retryExchange repeats an exchange that was not answered, or after which a start of a cancelled task may
// still be in flight to the worker: the worker drops responses older than tuning.HeartbeatAnswerLifetime.
func (m *Manager) retryExchange(machine *clusterstate.Machine, session *agentSession, heartbeat *workerapi.Heartbeat, done bool) {
	switch {
	case !done:
		m.enqueueExchangeAfter(machine, session, tuning.DirectRequestInterval)
	case startMayBeInFlight(machine, heartbeat):
		m.enqueueExchangeAfter(machine, session, tuning.DirectRequestRetryDelay)
	}
}

// startMayBeInFlight reports whether a cancelled task is not in a worker's heartbeat, and may still start.
func startMayBeInFlight(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) bool {
	listed := map[string]bool{}
	for _, task := range heartbeat.Tasks {
		listed[task.Task] = true
	}
	for assignment := range machine.Assignments() {
		if isCancelled(assignment) && !listed[assignment.Name()] {
			return true
		}
	}
	return false
}

// isConclusive reports whether the answer to an exchange shows what the worker runs: the session is still the
// same, no heartbeat was applied since the request, and no response of ours can reach the worker any more.
func (m *Manager) isConclusive(machine *clusterstate.Machine, session *agentSession, lastHeartbeatAt time.Time) bool {
	return m.sessions[machine] == session && machine.LastHeartbeatAt().Equal(lastHeartbeatAt) &&
		responsesExpired(session.exchange.sentAt.Sub(lastHeartbeatAt))
}

// responsesExpired reports whether no response can reach a worker any more that had sent no heartbeat for a
// time when it was asked: it drops responses older than tuning.HeartbeatAnswerLifetime. That its heartbeat is
// overdue does not say so if the heartbeat interval is short: a start that was still in flight counted as
// lost, and its task was started elsewhere (rule ran_twice, docs/incidents/2026-12-night-852.md). It is a
// variable so that a mutation test can replace it.
var responsesExpired = func(sinceLastHeartbeat time.Duration) bool {
	return sinceLastHeartbeat >= tuning.HeartbeatAnswerLifetime
}

// applyDirectHeartbeat applies a conclusive answer of a worker whose heartbeat is overdue: a task that it does
// not list is not there. If the agent epoch is later than that of the last heartbeat, the worker's lease has
// expired in between, and the worker has stopped all tasks of the earlier epoch.
func (m *Manager) applyDirectHeartbeat(machine *clusterstate.Machine, session *agentSession, heartbeat *workerapi.Heartbeat, fencingToken uint64) {
	if !machine.HeartbeatOverdue() || !machine.HasReported() || session.pending != nil {
		return
	}
	if !m.isCurrentAnswer(machine, heartbeat, fencingToken) {
		return
	}
	lastAgentEpoch := m.AgentEpoch(machine)
	m.lastHeartbeats[machine.Host()] = idOf(heartbeat)
	if heartbeat.AgentEpoch > lastAgentEpoch {
		m.log.Info("lease of unreachable worker expired", "worker", machine.Host(), "tasks", machine.AssignmentCount())
		m.applyCompletions(machine, heartbeat) // the tasks that are done stay done
		session.endedEpoch = heartbeat.AgentEpoch - 1
		m.State.MarkLost(machine)
		return
	}
	if changes := m.applyTasks(machine, heartbeat, false); !changes.isQuiet {
		m.State.MarkHeartbeatOverdue(machine) // tasks whose start never arrived go elsewhere
		m.State.MarkDirty()
	}
}

// HasUnconfirmedStop reports whether a task of a cancelled job may be on a worker of this controller and has
// perhaps not begun, so that it could still start.
func (m *Manager) HasUnconfirmedStop(ref string) bool {
	now := time.Now()
	for machine, session := range m.sessions {
		if now.Before(session.exchange.resendUntil) && hasUnstartedStop(machine, ref) {
			return true
		}
	}
	return false
}

// hasUnstartedStop reports whether a task of a job is to be stopped on a worker that has not begun it, as far
// as is known.
func hasUnstartedStop(machine *clusterstate.Machine, ref string) bool {
	for assignment := range machine.Assignments() {
		taskRef, _, ok := jobs.ParseTask(assignment.Name())
		if !ok || taskRef != ref {
			continue
		}
		status := assignment.Status()
		if status.Stopping && status.StartSent && !status.HasStarted() {
			return true
		}
	}
	return false
}
