package machinelifecycle

import (
	"cmp"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// gangTarget is the shard that collects machines for a gang, and the zone that they must be
// in ("" for any).
type gangTarget struct{ shardID, zone string }

// shardForGang chooses the shard that collects machines for a gang which no shard can place
// alone: the one with the most room for it by machine types, as the records say, so that all
// controllers choose the same. ok is false if that shard has enough room already, or if the
// gang has not waited long enough.
func (m *Manager) shardForGang(job *clusterstate.Job, now time.Time) (target gangTarget, ok bool) {
	record := job.Record()
	isUnclaimedGang := record.Kind == jobs.Gang && record.UnclaimedCount() == record.Tasks
	if job.HasEnded() || !isUnclaimedGang || now.Sub(job.KnownSince()) < tuning.GangConsolidationDelay {
		return gangTarget{}, false
	}
	capacityByShard := m.Scheduler.CapacityByShard(job)
	if record.OneZone {
		target.zone = zoneWithMostCapacity(capacityByShard)
	}
	mostTasks := -1
	for _, shardID := range m.Membership.Controllers() {
		tasks := fittingTasks(record, capacityByShard[shardID], target.zone)
		if tasks > mostTasks {
			target.shardID, mostTasks = shardID, tasks
		}
	}
	return target, mostTasks < record.Tasks
}

// zoneWithMostCapacity returns the zone with the most room in all shards together, the first
// by name among equals.
func zoneWithMostCapacity(capacityByShard map[string]map[string]int) string {
	sum := map[string]int{}
	for _, capacityByZone := range capacityByShard {
		for zone, tasks := range capacityByZone {
			sum[zone] += tasks
		}
	}
	best := ""
	for zone, tasks := range sum {
		if best == "" || tasks > sum[best] || tasks == sum[best] && zone < best {
			best = zone
		}
	}
	return best
}

// fittingTasks returns the number of a gang's tasks that fit in a shard; if onlyZone is not "",
// in that zone only. Of a gang that must be spread, half may be in one zone.
func fittingTasks(record *jobs.JobRecord, capacityByZone map[string]int, onlyZone string) int {
	sum := 0
	for zone, tasks := range capacityByZone {
		switch {
		case onlyZone != "" && zone != onlyZone:
		case record.Spread:
			sum += min(tasks, (record.Tasks+1)/2)
		default:
			sum += tasks
		}
	}
	return sum
}

// transferIdleMachines moves empty machines of the local shards to the shard that collects
// machines for a waiting gang, in one transaction. Only a machine whose last heartbeat lists no
// task, and for which no start is planned, moves: no task can run on it, so neither shard has
// to wait for the other.
func (m *Manager) transferIdleMachines(now time.Time) {
	// Few machines are empty at a time, and many jobs may wait.
	empty := m.transferableMachines()
	if len(empty) == 0 {
		return
	}
	for job := range m.State.Jobs() {
		record := job.Record()
		if !job.IsRunnable() || len(record.Unclaimed) == 0 {
			continue
		}
		target, ok := m.shardForGang(job, now)
		shard := m.Membership.Shard(target.shardID)
		if !ok || shard == nil {
			continue
		}
		chosen := machinesForGang(record, empty, target)
		if len(chosen) > 0 {
			m.moveToShard(chosen[:min(len(chosen), m.cfg.EffectiveStateLimits().TxnOps)], shard)
			return
		}
	}
}

// transferableMachines returns the empty machines that may leave their shard.
func (m *Manager) transferableMachines() []*clusterstate.Machine {
	var empty []*clusterstate.Machine
	for _, machine := range m.State.OwnedMachines() {
		if machine.AssignmentCount() != 0 || !machine.ReportedEmpty() || machine.IsMoving() || !m.State.IsUsable(machine) {
			continue
		}
		if shard := m.State.OwnedShard(machine); shard.IsReconciled() && !shard.IsTransferring() {
			empty = append(empty, machine)
		}
	}
	return empty
}

// machinesForGang returns the machines of other shards that the gang can use, the longest
// unchanged records first.
func machinesForGang(record *jobs.JobRecord, empty []*clusterstate.Machine, target gangTarget) []*clusterstate.Machine {
	var chosen []*clusterstate.Machine
	for _, machine := range empty {
		inZone := target.zone == "" || target.zone == machine.Record().Zone
		if machine.Record().Shard != target.shardID && record.Allows(machine.Group()) && inZone {
			chosen = append(chosen, machine)
		}
	}
	slices.SortFunc(chosen, func(x, y *clusterstate.Machine) int { return cmp.Compare(x.Revision(), y.Revision()) })
	return chosen
}

// moveToShard writes the target shard into the machines' records, on the precondition that the
// records and the owners of all shards concerned are unchanged.
func (m *Manager) moveToShard(machines []*clusterstate.Machine, target *membership.Shard) {
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: jobs.ShardPrefix + target.ID(), Revision: target.Epoch()}}}
	sources := map[string]bool{}
	for _, machine := range machines {
		m.State.SetMoving(machine, true)
		key := jobs.WorkerPrefix + machine.Host()
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: machine.Revision()})
		record := *machine.Record()
		record.Shard = target.ID()
		txn.Writes = append(txn.Writes, kvstore.Write{Key: key, Value: kvstore.Encode(record)})
		source := m.State.OwnedShard(machine)
		if source != nil && !sources[source.ID()] && source.ID() != target.ID() {
			sources[source.ID()] = true
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + source.ID(), Revision: source.Epoch()})
		}
	}
	m.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		if err != nil {
			// The transaction may have been applied or may still be: the machines stay out of
			// use until the same transaction, repeated, settles it.
			m.mailbox.SendAfter(tuning.MaxRetryDelay, func() { m.retryMove(machines, target.ID()) })
			return
		}
		m.finishMove(machines, target.ID(), result.Succeeded)
	})
}

// retryMove repeats a move whose result is unknown, for the machines that are still moving.
func (m *Manager) retryMove(machines []*clusterstate.Machine, targetID string) {
	var remaining []*clusterstate.Machine
	for _, machine := range machines {
		if m.State.IsCurrentMachine(machine) && machine.IsMoving() && m.State.OwnedShard(machine) != nil {
			remaining = append(remaining, machine)
		}
	}
	if target := m.Membership.Shard(targetID); target != nil && len(remaining) > 0 {
		m.moveToShard(remaining, target)
	}
}

// finishMove ends a move whose result is known.
func (m *Manager) finishMove(machines []*clusterstate.Machine, targetID string, moved bool) {
	for _, machine := range machines {
		if moved || m.State.IsCurrentMachine(machine) {
			m.State.SetMoving(machine, false)
		}
	}
	if moved {
		m.log.Info("machines moved to shard", "shard", targetID, "worker_count", len(machines))
	}
}
