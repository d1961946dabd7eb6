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

// gangTarget is the shard that collects machines for a gang, and the zone that the machines must be
// in. An empty zone stands for any zone.
type gangTarget struct{ shardID, zone string }

// shardForGang chooses the shard that collects machines for a gang that no shard can place alone: the
// shard on whose machines the most tasks of the gang would fit if the machines were empty. Only stored
// records are counted, so that all controllers choose the same shard. ok is false if all tasks of the
// gang would fit in that shard already, if the gang has not yet waited for
// tuning.GangConsolidationDelay, or if the job is not an unclaimed gang.
func (m *Manager) shardForGang(job *clusterstate.Job, now time.Time) (target gangTarget, ok bool) {
	record := job.Record()
	isUnclaimedGang := record.Kind == jobs.Gang && record.UnclaimedCount() == record.Tasks
	if job.HasEnded() || !isUnclaimedGang || now.Sub(job.KnownSince()) < tuning.GangConsolidationDelay {
		return gangTarget{}, false
	}
	fitCountsByShard := m.Scheduler.FitCountsByShard(job)
	if record.OneZone {
		target.zone = zoneWithMostCapacity(fitCountsByShard)
	}
	largestTaskCount := -1
	for _, shardID := range m.Membership.Controllers() {
		tasks := fittingTaskCount(record, fitCountsByShard[shardID], target.zone)
		if tasks > largestTaskCount {
			target.shardID, largestTaskCount = shardID, tasks
		}
	}
	return target, largestTaskCount < record.Tasks
}

// zoneWithMostCapacity returns the zone in which the most tasks fit, counted over all shards. If there
// are several such zones, it returns the first of them by name. fitCountsByShard is the number of tasks
// that fit, by shard and zone.
func zoneWithMostCapacity(fitCountsByShard map[string]map[string]int) string {
	tasksByZone := map[string]int{}
	for _, fitCountByZone := range fitCountsByShard {
		for zone, tasks := range fitCountByZone {
			tasksByZone[zone] += tasks
		}
	}
	bestZone := ""
	for zone, tasks := range tasksByZone {
		if bestZone == "" || tasks > tasksByZone[bestZone] || tasks == tasksByZone[bestZone] && zone < bestZone {
			bestZone = zone
		}
	}
	return bestZone
}

// fittingTaskCount returns the number of a gang's tasks that fit in a shard. If onlyZone is not "",
// it counts that zone only. At most half of the tasks of a gang that must be spread, rounded up, may be
// in one zone.
func fittingTaskCount(record *jobs.JobRecord, fitCountByZone map[string]int, onlyZone string) int {
	taskCount := 0
	for zone, tasks := range fitCountByZone {
		switch {
		case onlyZone != "" && zone != onlyZone:
		case record.Spread:
			taskCount += min(tasks, (record.Tasks+1)/2)
		default:
			taskCount += tasks
		}
	}
	return taskCount
}

// transferIdleMachines moves, in one transaction, empty machines of the local shards to the shard
// that collects machines for a waiting gang. A machine is moved only if its last heartbeat lists no
// task and no start is planned on it. No task can then run on the machine, so neither shard's owner
// has to wait for the other.
func (m *Manager) transferIdleMachines(now time.Time) {
	// The machines are checked first, since few of them are empty at a time while many jobs may wait.
	emptyMachines := m.transferableMachines()
	if len(emptyMachines) == 0 {
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
		chosenMachines := machinesForGang(record, emptyMachines, target)
		if len(chosenMachines) > 0 {
			m.moveToShard(chosenMachines[:min(len(chosenMachines), m.cfg.EffectiveStateLimits().TxnOps)], shard)
			return
		}
	}
}

// transferableMachines returns the empty machines that may leave their shard.
func (m *Manager) transferableMachines() []*clusterstate.Machine {
	var emptyMachines []*clusterstate.Machine
	for _, machine := range m.State.OwnedMachines() {
		if machine.AssignmentCount() != 0 || !machine.ReportedEmpty() || machine.IsMoving() || !m.State.IsUsable(machine) {
			continue
		}
		if shard := m.State.OwnedShard(machine); shard.IsReconciled() && !shard.IsTransferring() {
			emptyMachines = append(emptyMachines, machine)
		}
	}
	return emptyMachines
}

// machinesForGang returns the empty machines that the gang can use and that are not in the target
// shard yet. Machines whose records have been unchanged for longest are first.
func machinesForGang(record *jobs.JobRecord, emptyMachines []*clusterstate.Machine, target gangTarget) []*clusterstate.Machine {
	var chosenMachines []*clusterstate.Machine
	for _, machine := range emptyMachines {
		isInZone := target.zone == "" || target.zone == machine.Record().Zone
		if machine.Record().Shard != target.shardID && record.Allows(machine.Group()) && isInZone {
			chosenMachines = append(chosenMachines, machine)
		}
	}
	slices.SortFunc(chosenMachines, func(x, y *clusterstate.Machine) int { return cmp.Compare(x.Revision(), y.Revision()) })
	return chosenMachines
}

// moveToShard writes the target shard into the machines' records. The preconditions are that the
// records and the owners of the source and target shards are unchanged.
func (m *Manager) moveToShard(machines []*clusterstate.Machine, target *membership.Shard) {
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: jobs.ShardPrefix + target.ID(), Revision: target.Epoch()}}}
	sourceShardIDs := map[string]bool{}
	var revisions []uint64 // of the machines' records
	for _, machine := range machines {
		m.State.SetMoving(machine, true)
		revisions = append(revisions, machine.Revision())
		key := jobs.WorkerPrefix + machine.Host()
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: machine.Revision()})
		record := *machine.Record()
		record.Shard = target.ID()
		txn.Writes = append(txn.Writes, kvstore.Write{Key: key, Value: kvstore.MustEncode(record)})
		source := m.State.OwnedShard(machine)
		if source != nil && !sourceShardIDs[source.ID()] && source.ID() != target.ID() {
			sourceShardIDs[source.ID()] = true
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + source.ID(), Revision: source.Epoch()})
		}
	}
	m.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		switch {
		case err != nil:
			// The transaction may have been applied, or may still be applied later. The machines
			// are not used until a retry of the transaction has a known result.
			m.mailbox.SendAfter(tuning.MaxRetryDelay, func() { m.retryMove(machines, target.ID()) })
		case result.Succeeded:
			m.log.Info("machines moved to shard", "shard", target.ID(), "worker_count", len(machines))
		default:
			// An earlier attempt, whose result was unknown, may have moved the machines. The cache
			// shows that once it has reached the revision of the refusal. No earlier attempt can be
			// applied after the refusal: the record that has changed is a condition of each.
			m.Cache.WhenApplied(result.Revision, func() { m.keepUnmoved(machines, revisions) })
		}
	})
}

// retryMove repeats a move whose result is unknown, for the machines that are still moving.
func (m *Manager) retryMove(machines []*clusterstate.Machine, targetID string) {
	var remainingMachines []*clusterstate.Machine
	for _, machine := range machines {
		if m.State.IsCurrentMachine(machine) && machine.IsMoving() && m.State.OwnedShard(machine) != nil {
			remainingMachines = append(remainingMachines, machine)
		}
	}
	if target := m.Membership.Shard(targetID); target != nil && len(remainingMachines) > 0 {
		m.moveToShard(remainingMachines, target)
	}
}

// keepUnmoved marks the machines whose records still have the given revisions as no longer moving.
func (m *Manager) keepUnmoved(machines []*clusterstate.Machine, revisions []uint64) {
	for i, machine := range machines {
		if m.State.IsCurrentMachine(machine) && machine.Revision() == revisions[i] {
			m.State.SetMoving(machine, false)
		}
	}
}
