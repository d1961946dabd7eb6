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

// Direct requests send commands to a worker's own address when waiting for its next heartbeat would take too
// long or no heartbeat arrives: tasks of cancelled jobs are stopped before they begin, and a worker that cannot
// open a connection to a controller is asked for the state of its tasks. Direct requests renew no lease and
// start no task.

// directRequestQueue holds the workers that wait for a direct request, and the number of requests in flight.
type directRequestQueue struct {
	limiter  *rate.Limiter
	queue    []*clusterstate.Machine
	inFlight int
}

// directRequestState is the state of the direct requests to one worker.
type directRequestState struct {
	isQueued    bool
	isInFlight  bool
	sentAt      time.Time // when the last request was sent
	answeredAt  time.Time // when the last answer was received
	resendUntil time.Time // the stops of cancelled tasks are repeated until this time
}

// SendCancellations immediately sends the stops of the tasks that belong to ended jobs and possibly have not
// begun yet. If the stops waited for the next heartbeat, the tasks could still begin up to a heartbeat interval
// after the cancellation was confirmed to the user. A worker whose heartbeat is pending gets the stops in the
// response to that heartbeat.
func (m *Manager) SendCancellations(now time.Time) {
	for _, machine := range m.State.TakeUrgentStops() {
		if !m.isOwned(machine) {
			continue
		}
		session := m.sessionOf(machine)
		session.directRequest.resendUntil = now.Add(tuning.HeartbeatAnswerLifetime)
		if m.respondIfPending(machine, session) {
			m.enqueueDirectRequestAfter(machine, session, tuning.DirectRequestInterval) // the response may be lost
			continue
		}
		m.enqueueDirectRequest(machine, session)
	}
}

// respondIfPending answers a worker's pending heartbeat and reports whether it did. It returns false if there is
// no pending heartbeat, or if respondOrDelay delays the response.
func (m *Manager) respondIfPending(machine *clusterstate.Machine, session *agentSession) bool {
	if session.pending == nil {
		return false
	}
	m.respondOrDelay(machine, session)
	return session.pending == nil
}

// queryOverdueWorkers enqueues direct requests that ask the workers whose heartbeat is overdue for the state of
// their tasks. It does so only while this controller may answer heartbeats: while it refuses them, the heartbeats
// of all workers are overdue, and all workers would be asked.
func (m *Manager) queryOverdueWorkers(now time.Time) {
	if m.workerClient == nil || !m.Cache.MayRenewWorkerLeases(now) {
		return
	}
	for _, machine := range m.State.OwnedMachines() {
		if !machine.HeartbeatOverdue() || !machine.HasReported() || machine.IsReleasing() || machine.IsReleased() {
			continue
		}
		session := m.sessionOf(machine)
		if now.Sub(session.directRequest.sentAt) >= tuning.DirectRequestInterval {
			m.enqueueDirectRequest(machine, session)
		}
	}
}

// IsReachableByCommand reports whether a worker has answered a direct request within the last
// tuning.DirectAnswerValidity. If such a worker sends no heartbeats, it is running but cannot reach a controller.
func (m *Manager) IsReachableByCommand(machine *clusterstate.Machine, now time.Time) bool {
	session := m.sessions[machine]
	return session != nil && !session.directRequest.answeredAt.IsZero() &&
		now.Sub(session.directRequest.answeredAt) < tuning.DirectAnswerValidity
}

// enqueueDirectRequest queues a direct request to a worker, unless one is queued or in flight already or the
// worker's address is unknown.
func (m *Manager) enqueueDirectRequest(machine *clusterstate.Machine, session *agentSession) {
	if m.workerClient == nil || session.directRequest.isQueued || session.directRequest.isInFlight || machine.Record().Addr == "" {
		return
	}
	session.directRequest.isQueued = true
	m.directRequests.queue = append(m.directRequests.queue, machine)
	m.sendQueuedDirectRequests()
}

// enqueueDirectRequestAfter queues a direct request after a delay, to repeat the stops of cancelled tasks. It
// queues none if the worker's session is dropped during the delay, or if directRequestState.resendUntil has passed
// by the end of the delay.
func (m *Manager) enqueueDirectRequestAfter(machine *clusterstate.Machine, session *agentSession, delay time.Duration) {
	m.mailbox.SendAfter(delay, func() {
		if m.sessions[machine] != session || !m.State.IsCurrentMachine(machine) {
			return
		}
		if time.Now().Before(session.directRequest.resendUntil) {
			m.enqueueDirectRequest(machine, session)
		}
	})
}

// sendQueuedDirectRequests sends the queued direct requests, as far as the rate limit and the limit of concurrent
// requests allow.
func (m *Manager) sendQueuedDirectRequests() {
	requests := &m.directRequests
	for len(requests.queue) > 0 && requests.inFlight < tuning.MaxConcurrentDirectRequests {
		reservation := requests.limiter.Reserve()
		if wait := reservation.Delay(); wait > 0 {
			reservation.Cancel()
			m.mailbox.SendAfter(wait, m.sendQueuedDirectRequests)
			return
		}
		machine := requests.queue[0]
		requests.queue = requests.queue[1:]
		session := m.sessions[machine]
		if session == nil {
			continue
		}
		session.directRequest.isQueued = false
		if m.isOwned(machine) {
			m.sendDirectRequest(machine, session)
		}
	}
}

// sendDirectRequest sends a worker the stops of its cancelled tasks. If there are none, it sends a request without
// commands if the worker's heartbeat is overdue, and no request otherwise. The goroutine that sends the request
// ends at the latest when the context of the mailbox is cancelled.
func (m *Manager) sendDirectRequest(machine *clusterstate.Machine, session *agentSession) {
	request := workerapi.CommandRequest{
		FencingToken: reconciliation.FencingToken(m.State.OwnedShard(machine), machine),
		AgentEpoch:   max(1, m.AgentEpoch(machine)),
		Commands:     stopCommandsForCancelledTasks(machine),
	}
	isNeeded := len(request.Commands) > 0 || machine.HeartbeatOverdue()
	if !isNeeded {
		session.directRequest.resendUntil = time.Time{}
		return
	}
	session.directRequest.isInFlight, session.directRequest.sentAt = true, time.Now()
	m.directRequests.inFlight++
	lastHeartbeatAt, addr := machine.LastHeartbeatAt(), machine.Record().Addr
	go func() {
		heartbeat, executed, err := m.workerClient.Execute(m.mailbox.Context(), addr, request)
		m.mailbox.Send(func() {
			m.directRequests.inFlight--
			session.directRequest.isInFlight = false
			if err == nil && heartbeat.Host == machine.Host() {
				session.directRequest.answeredAt = time.Now()
				if m.isConclusive(machine, session, lastHeartbeatAt) {
					m.applyDirectHeartbeat(machine, session, heartbeat, request.FencingToken)
				}
			}
			m.retryDirectRequest(machine, session, heartbeat, err == nil && executed)
			m.sendQueuedDirectRequests()
		})
	}()
}

// stopCommandsForCancelledTasks returns the stops of a worker's cancelled tasks, at most
// tuning.MaxCommandsPerDirectRequest.
func stopCommandsForCancelledTasks(machine *clusterstate.Machine) []workerapi.Command {
	commands := []workerapi.Command{} // encoded as an empty list, not as null
	for assignment := range machine.Assignments() {
		if isCancelled(assignment) && len(commands) < tuning.MaxCommandsPerDirectRequest {
			commands = append(commands, stopCommand(assignment, 0)) // no grace period, because no checkpoint is needed
		}
	}
	return commands
}

// isCancelled reports whether a task no longer belongs to a job and must be stopped on a worker to which its start
// was sent.
func isCancelled(assignment *clusterstate.Assignment) bool {
	status := assignment.Status()
	return status.Stopping && status.StartSent && assignment.Job() == nil
}

// retryDirectRequest repeats a direct request if it was not answered, if the worker has not executed its commands,
// or if a start of a cancelled task may still be in flight to the worker. The repetitions end at
// directRequestState.resendUntil: no start can reach the worker after that, because a worker drops responses older
// than tuning.HeartbeatAnswerLifetime.
func (m *Manager) retryDirectRequest(machine *clusterstate.Machine, session *agentSession, heartbeat *workerapi.Heartbeat, executed bool) {
	switch {
	case !executed:
		m.enqueueDirectRequestAfter(machine, session, tuning.DirectRequestInterval)
	case startMayBeInFlight(machine, heartbeat):
		m.enqueueDirectRequestAfter(machine, session, tuning.DirectRequestRetryDelay)
	}
}

// startMayBeInFlight reports whether a worker's heartbeat omits a cancelled task. The start of such a task may
// still be in flight, so the task may still begin.
func startMayBeInFlight(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) bool {
	listedTasks := map[string]bool{}
	for _, task := range heartbeat.Tasks {
		listedTasks[task.Task] = true
	}
	for assignment := range machine.Assignments() {
		if isCancelled(assignment) && !listedTasks[assignment.Name()] {
			return true
		}
	}
	return false
}

// isConclusive reports whether the answer to a direct request shows which tasks the worker runs: the session is
// still the same, no heartbeat was applied since the request, and no response of this controller can still reach
// the worker.
func (m *Manager) isConclusive(machine *clusterstate.Machine, session *agentSession, lastHeartbeatAt time.Time) bool {
	return m.sessions[machine] == session && machine.LastHeartbeatAt().Equal(lastHeartbeatAt) &&
		responsesExpired(session.directRequest.sentAt.Sub(lastHeartbeatAt))
}

// responsesExpired reports whether no response to the heartbeats of a worker can reach the worker any more.
// sinceLastHeartbeat is the time from the worker's last heartbeat to the direct request; the worker drops
// responses older than tuning.HeartbeatAnswerLifetime. With a short heartbeat interval, a heartbeat may be overdue
// before a response has reached that age. Without this check, a start that was still in flight when the heartbeat
// became overdue was treated as lost. Its task was started on another worker and ran twice at the same time, which
// violated the rule ran_twice (see docs/incidents/2026-12-night-852.md). responsesExpired is a variable so that a
// mutation test can replace it.
var responsesExpired = func(sinceLastHeartbeat time.Duration) bool {
	return sinceLastHeartbeat >= tuning.HeartbeatAnswerLifetime
}

// applyDirectHeartbeat applies the conclusive answer of a worker whose heartbeat is overdue: a task that the
// answer does not list is not on the worker. If the answer's agent epoch is later than that of the last heartbeat,
// the worker's lease has expired since that heartbeat, and the worker has stopped all tasks of the earlier epoch.
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
		m.applyCompletions(machine, heartbeat) // completed tasks must not run again
		session.endedEpoch = heartbeat.AgentEpoch - 1
		m.State.MarkLost(machine)
		return
	}
	if changes := m.applyTasks(machine, heartbeat, false); !changes.isUnchanged {
		m.State.MarkHeartbeatOverdue(machine) // so that tasks whose start never arrived are placed elsewhere
		m.State.MarkDirty()
	}
}

// HasUnconfirmedStop reports whether a worker of this controller may still start a task of a cancelled job: the
// task is not known to have begun, and its stop is still being repeated or may not have been sent yet.
func (m *Manager) HasUnconfirmedStop(ref string) bool {
	if m.State.HasUrgentStops() {
		return true
	}
	now := time.Now()
	for machine, session := range m.sessions {
		if now.Before(session.directRequest.resendUntil) && hasUnstartedTaskToStop(machine, ref) {
			return true
		}
	}
	return false
}

// hasUnstartedTaskToStop reports whether a worker has to stop a task of a job and is not known to have begun
// the task.
func hasUnstartedTaskToStop(machine *clusterstate.Machine, ref string) bool {
	for assignment := range machine.Assignments() {
		taskRef, _, ok := jobs.ParseTaskName(assignment.Name())
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
