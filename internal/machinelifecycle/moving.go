package machinelifecycle

import (
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// Idle machines change share for work that another one must run.

// shardForGang is the share that gathers workers for a gang which no share can
// hold alone: the one with the most room for it by its machines' types, as the
// records say, so that all controllers name the same. ok is false if it holds
// the gang already, or if the gang has not waited long enough.
func (k *Manager) shardForGang(job *clusterstate.Job, now time.Time) (shardID, zone string, ok bool) {
	rec := job.Record()
	if job.HasEnded() || rec.Kind != jobs.Gang || rec.UnclaimedCount() != rec.Tasks || now.Sub(job.KnownSince()) < tuning.GangConsolidationDelay {
		return "", "", false
	}
	fit := k.Scheduler.CapacityByShard(job)
	if rec.OneZone {
		// The zone with the most room in all shares together.
		sum := map[string]int{}
		for _, per := range fit {
			for z, n := range per {
				sum[z] += n
			}
		}
		for z, n := range sum {
			if zone == "" || n > sum[zone] || n == sum[zone] && z < zone {
				zone = z
			}
		}
	}
	best := -1
	for _, home := range k.Membership.Controllers() {
		n := 0
		for z, c := range fit[home] {
			switch {
			case zone != "" && z != zone:
			case rec.Spread:
				n += min(c, (rec.Tasks+1)/2)
			default:
				n += c
			}
		}
		if n > best {
			shardID, best = home, n
		}
	}
	return shardID, zone, best < rec.Tasks
}

// transferIdleMachines moves idle workers of our shares to the collector of a waiting gang,
// by one conditional write. Only a worker of which the last report lists
// nothing, and for which nothing is ordered, changes share: no task can be on
// it, so neither share has to wait for the other.
func (k *Manager) transferIdleMachines(now time.Time) {
	// Few machines are empty at a time, and many jobs may wait.
	var empty []*clusterstate.Machine
	for _, machine := range k.State.OwnedMachines() {
		if machine.AssignmentCount() == 0 && machine.ReportedEmpty() && !machine.IsMoving() && k.State.IsUsable(machine) && k.State.OwnedShard(machine).IsReconciled() && !k.State.OwnedShard(machine).IsTransferring() {
			empty = append(empty, machine)
		}
	}
	if len(empty) == 0 {
		return
	}
	for job := range k.State.Jobs() {
		rec := job.Record()
		if job.HasEnded() || job.IsBlocked() || len(rec.Unclaimed) == 0 {
			continue
		}
		to, zone, ok := k.shardForGang(job, now)
		target := k.Membership.Shard(to)
		if !ok || target == nil {
			continue
		}
		var give []*clusterstate.Machine
		for _, machine := range empty {
			if machine.Record().Shard != to && rec.Allows(machine.Group()) && (zone == "" || zone == machine.Record().Zone) {
				give = append(give, machine)
			}
		}
		slices.SortFunc(give, func(x, y *clusterstate.Machine) int { return int(x.Revision()) - int(y.Revision()) })
		if len(give) > 0 {
			k.moveToShard(give[:min(len(give), k.cfg.EffectiveStateLimits().TxnOps)], target)
			return
		}
	}
}

func (k *Manager) moveToShard(machines []*clusterstate.Machine, target *membership.Shard) {
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: jobs.ShardPrefix + target.ID(), Revision: target.Epoch()}}}
	from := map[string]bool{}
	for _, machine := range machines {
		k.State.SetMoving(machine, true)
		key := jobs.WorkerPrefix + machine.Host()
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: machine.Revision()})
		rec := *machine.Record()
		rec.Shard = target.ID()
		txn.Writes = append(txn.Writes, kvstore.Write{Key: key, Value: kvstore.Encode(rec)})
		if shard := k.State.OwnedShard(machine); shard != nil && !from[shard.ID()] && shard.ID() != target.ID() {
			from[shard.ID()] = true
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: jobs.ShardPrefix + shard.ID(), Revision: shard.Epoch()})
		}
	}
	k.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		if err != nil {
			// Applied or not, now or later: the workers stay out of use until it
			// is known. The same write again settles it.
			k.mailbox.SendAfter(tuning.MaxRetryDelay, func() {
				var left []*clusterstate.Machine
				for _, machine := range machines {
					if k.State.IsCurrentMachine(machine) && machine.IsMoving() && k.State.OwnedShard(machine) != nil {
						left = append(left, machine)
					}
				}
				if shard := k.Membership.Shard(target.ID()); shard != nil && len(left) > 0 {
					k.moveToShard(left, shard)
				}
			})
			return
		}
		for _, machine := range machines {
			if result.Succeeded || k.State.IsCurrentMachine(machine) {
				k.State.SetMoving(machine, false)
			}
		}
		if result.Succeeded {
			k.log.Info("workers moved", "share", target.ID(), "workers", len(machines))
		}
	})
}
