package machinelifecycle

import (
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// missedHeartbeatsBeforeListing is the number of heartbeat intervals without a heartbeat of a machine
// after which the cloud's machine list is read to see whether the machine still exists.
const missedHeartbeatsBeforeListing = 3

// checkMachines checks the next batch of machines for missed heartbeats, lease expiry and drains. It
// reads the cloud's machine list if the cloud may have terminated a machine of the batch.
func (m *Manager) checkMachines(now time.Time) {
	if now.Sub(m.lastCheckAt) > tuning.ProcessStallThreshold {
		m.stallEndedAt = now // this process stalled, so missing heartbeats are no evidence about the workers
	}
	m.lastCheckAt = now
	settings, _ := m.Cache.Settings()
	anyMayBeTerminated := false
	for _, machine := range m.nextBatch() {
		anyMayBeTerminated = anyMayBeTerminated || m.mayBeTerminated(machine, now)
		m.checkMachine(machine, settings.Drain, now)
	}
	m.Reconciler.CompleteRecoveries(now)
	if anyMayBeTerminated {
		m.checkCloudListing(now)
	}
}

// nextBatch returns the machines to check in this tick. All owned machines are checked about once
// per second.
func (m *Manager) nextBatch() []*clusterstate.Machine {
	machines := m.State.OwnedMachines()
	count := len(machines)
	if count == 0 {
		return nil
	}
	start := m.checkCursor % count
	m.checkCursor = start + max(tuning.MinMachineChecksPerTick, count/tuning.MachineCheckTicks+1)
	batch := machines[start:min(m.checkCursor, count)]
	if m.checkCursor >= count {
		m.checkCursor = 0
	}
	return batch
}

// checkMachine updates the state of one machine and releases the machine if needed. drainedHosts are
// the names of the machines that the operators drain.
func (m *Manager) checkMachine(machine *clusterstate.Machine, drainedHosts []string, now time.Time) {
	m.State.SetSuspected(machine, m.Faults.IsSuspected(machine.Host(), now))
	m.expireLease(machine, now)
	if m.hasMissedHeartbeat(machine, now) {
		m.State.MarkHeartbeatOverdue(machine)
	}
	if m.Cache.IsStale(now) {
		return // no machine is released while the cache is stale, because its record could not be deleted
	}
	m.releaseIfUnreachable(machine, now)
	if slices.Contains(drainedHosts, machine.Host()) && !machine.IsCordoned() {
		m.log.Info("machine drained by operators", "worker", machine.Host())
		m.State.Cordon(machine)
	}
	if machine.IsCordoned() && !machine.IsReleasing() && m.evictTasks(machine) {
		m.queueRelease(machine)
	}
}

// hasMissedHeartbeat reports whether a heartbeat of the machine became overdue since the last check.
// The time before the end of the last stall of this process is not counted.
func (m *Manager) hasMissedHeartbeat(machine *clusterstate.Machine, now time.Time) bool {
	if !machine.HasReported() || machine.IsLost() || machine.HeartbeatOverdue() {
		return false
	}
	waitingSince := laterOf(machine.LastHeartbeatAt(), m.stallEndedAt)
	return now.Sub(waitingSince) > m.maxHeartbeatAge(machine)
}

// maxHeartbeatAge returns the age of a machine's last heartbeat above which the next heartbeat is
// overdue. It includes the maximum delay of the response to the last heartbeat, which may be longer
// for a worker without tasks.
func (m *Manager) maxHeartbeatAge(machine *clusterstate.Machine) time.Duration {
	interval := config.Seconds(m.cfg.Cluster.Workers.HeartbeatIntervalSeconds)
	isEmpty := machine.AssignmentCount() == 0
	return interval + interval/4 + m.Sessions.MaxResponseDelay(isEmpty) + tuning.HeartbeatOverdueMargin
}

// record adds a decision on a machine to the decision log.
func (m *Manager) record(action decisionlog.Action, machine *clusterstate.Machine, reason string) {
	decision := decisionlog.Decision{
		Action:        action,
		Subject:       machine.Host(),
		Shard:         machine.Record().Shard,
		StoreRevision: m.Cache.AppliedRevision(),
		KnownAt:       m.Cache.ConsistentAsOf(),
		Reason:        reason,
	}
	if shard := m.State.OwnedShard(machine); shard != nil {
		decision.Epoch = shard.Epoch()
	}
	m.Decisions.Add(decision)
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// expireLease marks a machine as lost if its worker's lease has expired: the worker's tasks no longer
// run after that time.
func (m *Manager) expireLease(machine *clusterstate.Machine, now time.Time) {
	if !machine.IsLost() && machine.HasReported() && now.Sub(machine.LastHeartbeatAt()) > m.cfg.WorkerLeaseExpiryDelay() {
		m.log.Info("worker lease expired", "worker", machine.Host(), "tasks", machine.AssignmentCount())
		m.record(decisionlog.LeaseExpired, machine, fmt.Sprintf("last heartbeat %.1f s ago; %d tasks", now.Sub(machine.LastHeartbeatAt()).Seconds(), machine.AssignmentCount()))
		m.Sessions.EndAgentEpoch(machine)
		m.State.MarkLost(machine)
	}
	// A machine that has not reported is known only from its record or from a delayed heartbeat, so no
	// controller can have renewed the lease of its worker since the shard was acquired.
	acquiredAt := laterOf(m.State.OwnedShard(machine).KnownSince(), machine.JoinedShardAt())
	if !machine.IsLost() && !machine.HasReported() && now.After(m.cfg.WorkerLeaseExpiresAt(acquiredAt, machine.LastHeartbeatAt())) {
		m.record(decisionlog.LeaseExpired, machine, fmt.Sprintf("no heartbeat under the present token; shard acquired %.1f s ago", now.Sub(acquiredAt).Seconds()))
		m.State.MarkLost(machine)
	}
}

// releaseIfUnreachable releases a machine that has been unreachable for too long. It deletes the
// record of a machine that the cloud has terminated.
func (m *Manager) releaseIfUnreachable(machine *clusterstate.Machine, now time.Time) {
	switch {
	case machine.IsReleased() && !machine.IsReleasing():
		// The cloud's list shows that the machine was terminated: only its record has to be deleted.
		m.State.SetReleasing(machine, true)
		m.deleteRecords(machine)
	case machine.HasNoInbound() && now.Sub(machine.NoInboundChangedAt()) > m.unreachableGracePeriod():
		m.log.Info("worker without inbound connectivity released", "worker", machine.Host())
		m.queueRelease(machine)
	case machine.IsLost() && m.Sessions.IsReachableByCommand(machine, now) && now.Sub(machine.LostAt()) < m.unreachableGracePeriod():
		// The machine answers commands but cannot reach a controller. It is not released yet:
		// replacing a whole zone because of a short network partition would cost more than
		// waiting.
	case machine.IsLost() && now.Sub(machine.LostAt()) > tuning.UnreachableReleaseDelay:
		m.queueRelease(machine)
	case !machine.IsLost() && !machine.HasReported() && m.timeSinceHeartbeat(machine, now) > m.cfg.HeartbeatAnswerValidity()+tuning.WorkerReconnectPeriod:
		// The previous owner of the shard must have stopped answering the worker by now, and the
		// worker has not reconnected. The worker has most likely failed, and a confirmed release
		// proves that it no longer runs.
		m.queueRelease(machine)
	}
}

// unreachableGracePeriod returns how long a machine that seems healthy is kept while its
// connection to the controllers is lost or works in only one direction.
func (m *Manager) unreachableGracePeriod() time.Duration {
	return max(tuning.InboundLossReleaseDelay, 2*m.cfg.WorkerLeaseExpiryDelay())
}

// evictTasks stops all tasks of a drained machine, with time for a last checkpoint. It reports
// whether the machine was already empty.
func (m *Manager) evictTasks(machine *clusterstate.Machine) (wasEmpty bool) {
	wasEmpty = machine.AssignmentCount() == 0
	for assignment := range machine.Assignments() {
		switch job := assignment.Job(); {
		case job == nil || assignment.Status().Stopping:
		case job.Record().Kind == jobs.Gang:
			m.State.StopGang(job)
		default:
			m.State.Stop(assignment, job.Record().CheckpointSaveSeconds+1)
		}
	}
	return wasEmpty
}

// mayBeTerminated reports whether the cloud may have terminated a machine, because several heartbeats
// of the machine are missing or it did not answer a probe.
func (m *Manager) mayBeTerminated(machine *clusterstate.Machine, now time.Time) bool {
	if m.State.OwnedShard(machine) == nil || machine.IsReleased() || machine.IsLost() && machine.HasReported() {
		return false
	}
	maxSilence := missedHeartbeatsBeforeListing * config.Seconds(m.cfg.Cluster.Workers.HeartbeatIntervalSeconds)
	return machine.ProbeUnanswered() || m.timeSinceHeartbeat(machine, now) > maxSilence
}

// timeSinceHeartbeat returns the time since the last heartbeat of a machine in a local shard. The
// time before the shard was acquired and before the machine joined the shard is not counted.
func (m *Manager) timeSinceHeartbeat(machine *clusterstate.Machine, now time.Time) time.Duration {
	sinceAcquired := now.Sub(m.State.OwnedShard(machine).KnownSince())
	return min(sinceAcquired, now.Sub(machine.JoinedShardAt()), now.Sub(machine.LastHeartbeatAt()))
}
