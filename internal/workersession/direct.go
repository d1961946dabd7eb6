package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	"golang.org/x/time/rate"
)

// What is said to workers at their own addresses because their next report would be too late,
// or does not come: tasks of cancelled jobs are stopped before they begin, and a worker that can
// open no connection is asked what became of its tasks. It renews no lease, and orders no start.

// directExchanges are the exchanges under way and those that wait for their turn.
type directExchanges struct {
	limiter  *rate.Limiter
	queue    []*clusterstate.Machine
	inFlight int
	// isReadBarrierPending is whether newer knowledge was asked for, see wantFresh.
	isReadBarrierPending bool
}

// Reset forgets who was to be spoken to. Exchanges under way still end.
func (d *directExchanges) Reset() { d.queue, d.isReadBarrierPending = nil, false }

// directExchange is what is known of the exchanges with a worker.
type directExchange struct {
	isQueued    bool
	isInFlight  bool
	sentAt      time.Time // the last exchange began
	answeredAt  time.Time // the last answer came
	resendUntil time.Time // as long it is told again to stop what was called off
}

// SendCancellations tells workers at once of tasks that are stopped for good and have perhaps not begun:
// with the next report they would begin in between, up to a report interval after their user was
// told that the job is cancelled. The worker that waits for an answer is told by that.
func (k *Manager) SendCancellations(now time.Time) {
	for _, machine := range k.State.TakeUrgentStops() {
		if !k.State.IsCurrentMachine(machine) || k.State.OwnedShard(machine) == nil {
			continue
		}
		session := k.sessionOf(machine)
		session.exchange.resendUntil = now.Add(tuning.HeartbeatAnswerLifetime)
		if session.pending != nil {
			if k.respondOrDelay(machine, session); session.pending == nil {
				k.enqueueExchangeAfter(machine, session, tuning.DirectRequestInterval) // should the answer be lost
				continue
			}
		}
		k.enqueueExchange(machine, session)
	}
}

// contactOverdue asks those that should have reported for what became of their tasks, in turn. Not where
// nobody may be answered: their reports are refused, and all of them would be asked.
func (k *Manager) contactOverdue(now time.Time) {
	if k.workers == nil || !k.Cache.MayRenewWorkerLeases(now) {
		return
	}
	for _, machine := range k.State.OwnedMachines() {

		if !machine.HeartbeatOverdue() || !machine.HasReported() || machine.IsReleasing() || machine.IsReleased() {
			continue
		}
		if session := k.sessionOf(machine); now.Sub(session.exchange.sentAt) >= tuning.DirectRequestInterval {
			k.enqueueExchange(machine, session)
		}
	}
}

// ReachableByCommand tells whether a worker that does not report has answered at its own address a
// moment ago: it is well, and reaches no controller.
func (k *Manager) ReachableByCommand(machine *clusterstate.Machine, now time.Time) bool {
	session := k.sessions[machine]
	return session != nil && !session.exchange.answeredAt.IsZero() && now.Sub(session.exchange.answeredAt) < tuning.DirectAnswerValidity
}

// enqueueExchange has a worker spoken to when its turn comes.
func (k *Manager) enqueueExchange(machine *clusterstate.Machine, s *agentSession) {
	if k.workers == nil || s.exchange.isQueued || s.exchange.isInFlight || machine.Record().Addr == "" {
		return
	}
	s.exchange.isQueued = true
	k.exchanges.queue = append(k.exchanges.queue, machine)
	k.runExchanges()
}

// runExchanges speaks to those whose turn it is.
func (k *Manager) runExchanges() {
	d := &k.exchanges
	for len(d.queue) > 0 && d.inFlight < tuning.MaxConcurrentDirectCommands {
		reservation := d.limiter.Reserve()
		if wait := reservation.Delay(); wait > 0 {
			reservation.Cancel()
			k.mailbox.SendAfter(wait, k.runExchanges)
			return
		}
		machine := d.queue[0]
		d.queue = d.queue[1:]
		if session := k.sessions[machine]; session != nil {
			session.exchange.isQueued = false
			if shard := k.State.OwnedShard(machine); shard != nil && k.State.IsCurrentMachine(machine) {
				k.sendCommands(machine, session, max(shard.Epoch(), machine.Revision()))
			}
		}
	}
}

// sendCommands tells a worker to stop what was called off, and takes its answer.
func (k *Manager) sendCommands(machine *clusterstate.Machine, s *agentSession, fencingToken uint64) {
	request := workerapi.CommandRequest{FencingToken: fencingToken, AgentEpoch: max(1, k.lastHeartbeats[machine.Host()].agentEpoch), Commands: []workerapi.Command{}}
	for assignment := range machine.Assignments() {
		if assignment.Status().Stopping && assignment.Status().StartSent && assignment.Job() == nil && len(request.Commands) < tuning.MaxCommandsPerDirectRequest {
			leeway := 0.0 // nobody wants what a job does that is over
			request.Commands = append(request.Commands, workerapi.Command{Verb: workerapi.VerbStop, Task: assignment.Name(), Attempt: assignment.Attempt(), GracePeriodS: &leeway})
		}
	}
	if len(request.Commands) == 0 && !machine.HeartbeatOverdue() {
		s.exchange.resendUntil = time.Time{}
		return
	}
	s.exchange.isInFlight, s.exchange.sentAt = true, time.Now()
	k.exchanges.inFlight++
	reported, addr := machine.LastHeartbeatAt(), machine.Record().Addr
	go func() {
		heartbeat, done, err := k.workers.Execute(k.mailbox.Context(), addr, request)
		k.mailbox.Send(func() {
			k.exchanges.inFlight--
			s.exchange.isInFlight = false
			if err == nil && heartbeat.Host == machine.Host() {
				s.exchange.answeredAt = time.Now()
				if k.sessions[machine] == s && machine.LastHeartbeatAt().Equal(reported) && responsesExpired(s.exchange.sentAt.Sub(reported)) {
					k.applyDirectHeartbeat(machine, s, heartbeat, fencingToken)
				}
			}
			k.retryExchange(machine, s, heartbeat, err == nil && done)
			k.runExchanges()
		})
	}()
}

// retryExchange has a worker told once more that did not answer, or to which an order to start what was
// called off may still be on its way: it drops answers that are older than AnswerDead.
func (k *Manager) retryExchange(machine *clusterstate.Machine, s *agentSession, heartbeat *workerapi.Heartbeat, done bool) {
	wait := tuning.DirectRequestRetryDelay
	if !done {
		wait = tuning.DirectRequestInterval
	} else if !k.startMayBeInFlight(machine, heartbeat) {
		return
	}
	k.enqueueExchangeAfter(machine, s, wait)
}

func (k *Manager) enqueueExchangeAfter(machine *clusterstate.Machine, s *agentSession, wait time.Duration) {
	k.mailbox.SendAfter(wait, func() {
		if k.sessions[machine] == s && k.State.IsCurrentMachine(machine) && time.Now().Before(s.exchange.resendUntil) {
			k.enqueueExchange(machine, s)
		}
	})
}

// startMayBeInFlight tells whether a task that was called off is not in a worker's report, and may still come.
func (k *Manager) startMayBeInFlight(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) bool {
	listed := map[string]bool{}
	for _, status := range heartbeat.Tasks {
		listed[status.Task] = true
	}
	for assignment := range machine.Assignments() {
		if assignment.Status().Stopping && assignment.Status().StartSent && assignment.Job() == nil && !listed[assignment.Name()] {
			return true
		}
	}
	return false
}

// responsesExpired tells whether a worker that was silent for so long when it was asked can be reached by no
// answer of ours any more: it drops those that are older than AnswerDead. Overdue alone does not say
// so where reports are close together: an order that was still on its way counted as lost, and its task
// was started elsewhere (ran_twice on a drawn night, docs/incidents/2026-12-night-852.md). Other than
// so in the tests' broken variant.
var responsesExpired = func(silent time.Duration) bool { return silent >= tuning.HeartbeatAnswerLifetime }

// applyDirectHeartbeat takes in what a worker answers at its own address that should have reported and has
// not. No answer of ours can reach it any more (silentFor), and it has sent no report that was taken
// in since it was asked. So what it does not list is not there. In a later session than that of its
// last report nothing of before is left.
func (k *Manager) applyDirectHeartbeat(machine *clusterstate.Machine, s *agentSession, heartbeat *workerapi.Heartbeat, fencingToken uint64) {
	shard := k.State.OwnedShard(machine)
	at := heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
	last := k.lastHeartbeats[machine.Host()]
	if shard == nil || !k.State.IsCurrentMachine(machine) || !machine.HeartbeatOverdue() || !machine.HasReported() || machine.IsLost() || s.pending != nil || max(shard.Epoch(), machine.Revision()) != fencingToken ||
		heartbeat.FencingToken != fencingToken || heartbeat.AgentEpoch <= s.closedEpoch || at.notAfter(last) {
		return
	}
	k.lastHeartbeats[machine.Host()] = at
	if heartbeat.AgentEpoch > last.agentEpoch {
		k.log.Info("worker that reaches no controller has lost its lease", "worker", machine.Host(), "tasks", machine.AssignmentCount())
		k.applyCompletions(machine, heartbeat) // those that it has done are done
		s.closedEpoch = heartbeat.AgentEpoch - 1
		k.State.MarkLost(machine)
		return
	}
	if quiet, _ := k.applyTasks(machine, heartbeat, false); !quiet {
		k.State.MarkHeartbeatOverdue(machine) // an order that never arrived goes elsewhere
		k.State.MarkDirty()
	}
}

// applyCompletions takes in what a report lists as done.
func (k *Manager) applyCompletions(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat) {
	for _, status := range heartbeat.Tasks {
		if status.Status == workerapi.StatusEnded && status.Cause == workerapi.CauseDone {
			assignment := machine.Assignment(status.Task)
			if assignment != nil && assignment.Attempt() != status.Attempt {
				assignment = nil
			}
			k.taskEnded(machine, assignment, status)
		}
	}
}

// mayStartTasks tells whether tasks may be ordered to start: what is known of cancellations is
// younger than tuning.StartsFor, so that no job is started that was confirmed to be cancelled
// (docs/recovery.md, "No start after a cancellation"). Longer, if all others say that nobody has
// reached the state service: then nobody can have confirmed one.
func (k *Manager) mayStartTasks(now time.Time) bool {
	return cancellationsKnown(k.cfg, now, k.Cache.ConsistentAsOf()) || k.Peers.NoPeerReachesStore(now, tuning.MaxStartKnowledgeAge/2)
}

// cancellationsKnown is so but in the tests' broken variant.
var cancellationsKnown = (*config.Config).MayStartTasks

// requestReadBarrier has the state service asked when starts wait for newer knowledge.
func (k *Manager) requestReadBarrier(now time.Time) {
	if k.exchanges.isReadBarrierPending || now.Sub(k.Cache.ConsistentAsOf()) < tuning.MaxStartKnowledgeAge/2 {
		return
	}
	k.exchanges.isReadBarrierPending = true
	k.Cache.ReadBarrier(true, func(ok bool) {
		k.exchanges.isReadBarrierPending = false
		if ok {
			k.SendResponses()
		}
	})
}

// HasUnconfirmedStop tells whether a task of a job that is over may be on a worker of ours and has perhaps not
// begun.
func (k *Manager) HasUnconfirmedStop(ref string) bool {
	now := time.Now()
	for machine, session := range k.sessions {
		if !now.Before(session.exchange.resendUntil) {
			continue
		}
		for assignment := range machine.Assignments() {
			if at, _, ok := jobs.ParseTask(assignment.Name()); ok && at == ref && assignment.Status().Stopping && assignment.Status().StartSent && !assignment.Status().HasStarted() {
				return true
			}
		}
	}
	return false
}
