package machinelifecycle

import (
	"fmt"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// queueRelease queues a machine for release. Once the cloud confirms the release, the machine counts
// as terminated, its tasks may start elsewhere, and its record is deleted. queueRelease does nothing
// if the machine is already being released or its shard is being transferred.
func (m *Manager) queueRelease(machine *clusterstate.Machine) {
	shard := m.State.OwnedShard(machine)
	if machine.IsReleasing() || shard != nil && shard.IsTransferring() {
		return
	}
	m.State.SetReleasing(machine, true)
	m.pendingReleases = append(m.pendingReleases, machine)
}

// sendReleases asks the cloud to release the pending machines. It puts many machines into one
// request, because the cloud accepts only few requests per second.
func (m *Manager) sendReleases() {
	if m.isReleaseInFlight || len(m.pendingReleases) == 0 || time.Since(m.lastReleaseAt) < tuning.MinScaleInRequestGap {
		return
	}
	machines := m.takePendingReleases()
	if len(machines) == 0 {
		return
	}
	hosts := make([]string, 0, len(machines))
	for _, machine := range machines {
		hosts = append(hosts, machine.Host())
	}
	m.isReleaseInFlight, m.lastReleaseAt = true, time.Now()
	go func() {
		err := m.provider.Release(m.mailbox.Context(), hosts)
		m.mailbox.Send(func() { m.finishRelease(machines, hosts, err) })
	}()
}

// takePendingReleases removes machines from the queue and returns those to be released with the next
// request.
func (m *Manager) takePendingReleases() []*clusterstate.Machine {
	var machines []*clusterstate.Machine
	for len(m.pendingReleases) > 0 && len(machines) < tuning.MaxScaleInPerRequest {
		machine := m.pendingReleases[0]
		m.pendingReleases = m.pendingReleases[1:]
		// If the shard has another owner by now, that owner decides about the machine.
		if m.State.IsCurrentMachine(machine) && machine.IsReleasing() && m.State.OwnedShard(machine) != nil {
			machines = append(machines, machine)
		}
	}
	return machines
}

// finishRelease applies the result of a release request.
func (m *Manager) finishRelease(machines []*clusterstate.Machine, hosts []string, err error) {
	m.isReleaseInFlight = false
	if err != nil {
		m.log.Info("machine release failed", "workers", hosts, "error", err)
	}
	var terminatedMachines []*clusterstate.Machine
	for _, machine := range machines {
		if m.applyReleaseResult(machine, err) {
			terminatedMachines = append(terminatedMachines, machine)
		}
	}
	m.deleteRecords(terminatedMachines...)
}

// applyReleaseResult applies the result of a release request to one machine. It reports
// whether the machine is terminated; after an error the release is attempted again later.
func (m *Manager) applyReleaseResult(machine *clusterstate.Machine, err error) (isTerminated bool) {
	switch {
	case !m.State.IsCurrentMachine(machine) || err != nil && m.State.OwnedShard(machine) == nil:
		return false
	case err != nil:
		m.mailbox.SendAfter(tuning.MaxRetryDelay, func() { m.State.SetReleasing(machine, false) })
		return false
	}
	m.log.Info("machine released", "worker", machine.Host(), "was_lost", machine.IsLost())
	m.markTerminated(machine)
	return true
}

// markTerminated records that the cloud has terminated a machine. Heartbeats of its worker are
// refused from now on.
func (m *Manager) markTerminated(machine *clusterstate.Machine) {
	m.record(decisionlog.MachineReleased, machine, fmt.Sprintf("the cloud has terminated it; %d tasks", machine.AssignmentCount()))
	m.Sessions.EndAllAgentEpochs(machine)
	m.State.MarkReleased(machine)
}

// deleteRecords deletes the records of terminated machines, as many in one transaction as the
// store allows, and retries until they are deleted.
//
// The shard's epoch is not a precondition: a terminated machine stays terminated, regardless of which
// controller owns its shard, and its name is never used again. With that precondition the records
// remained when the owner of the shard changed soon after the release, and the next owner waited up
// to 36 s for machines that no longer existed. Because an owner may wait, the write has the normal
// priority and not the lowest.
func (m *Manager) deleteRecords(machines ...*clusterstate.Machine) {
	for batch := range slices.Chunk(machines, m.cfg.EffectiveStateLimits().TxnOps) {
		var txn kvstore.Txn
		for _, machine := range batch {
			key := jobs.WorkerPrefix + machine.Host()
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: machine.Revision()})
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: key})
		}
		m.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
			if err != nil || !result.Succeeded {
				m.retryDeletion(batch)
			}
		})
	}
}

// retryDeletion deletes each record in a separate transaction after a delay. In a common transaction,
// one record that was changed would again make the deletion of all others fail.
func (m *Manager) retryDeletion(machines []*clusterstate.Machine) {
	for _, machine := range machines {
		m.mailbox.SendAfter(tuning.MaxRetryDelay, func() {
			if m.State.IsCurrentMachine(machine) {
				m.deleteRecords(machine)
			}
		})
	}
}
