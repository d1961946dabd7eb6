// Package reconciliation recovers a shard after its owner has changed or all controllers were down
// (docs/recovery.md). It makes first contact with the shard's workers at a rate that
// leaves processor time for user requests, compares the workers' heartbeats with the records, and
// decides when a claimed task that no worker lists may be started.
package reconciliation

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/membership"
	"cherrywall/internal/statecache"
	"cherrywall/internal/workerapi"
)

// Dependencies are the components of the controller that reconciliation reads and changes. They
// belong to the same actor as the Reconciler.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
}

// Reconciler tracks the recovery of the local shards, which are the shards that this controller owns. A
// worker is confirmed as soon as its tasks are known under the shard's epoch: its first heartbeat or the
// previous owner's snapshot of the worker has been applied. A Reconciler is not safe for concurrent use:
// a single actor owns it.
type Reconciler struct {
	Dependencies
	cfg        *config.Config
	log        *slog.Logger
	recoveries map[string]*shardRecovery // by shard
}

// New returns a reconciler that tracks no shard yet.
func New(cfg *config.Config, deps Dependencies, log *slog.Logger) *Reconciler {
	return &Reconciler{Dependencies: deps, cfg: cfg, log: log, recoveries: map[string]*shardRecovery{}}
}

// Reset drops all recoveries, since the records are read again.
func (r *Reconciler) Reset() { clear(r.recoveries) }

// recoveryOf returns the recovery of a local shard under its current epoch, and creates it at the
// first call for this epoch.
func (r *Reconciler) recoveryOf(shard *membership.Shard) *shardRecovery {
	recovery := r.recoveries[shard.ID()]
	if recovery != nil && recovery.epoch == shard.Epoch() {
		return recovery
	}
	recovery = &shardRecovery{
		epoch:               shard.Epoch(),
		acquiredAt:          shard.KnownSince(),
		recordedWorkerCount: r.State.MachineCountIn(shard.ID()),
		commandsSent:        map[string]int{},
		exemptWorkers:       map[*clusterstate.Machine]bool{},
	}
	r.recoveries[shard.ID()] = recovery
	return recovery
}

// recoveryOfWorker returns the recovery of a worker's shard, nil if the shard is not local.
func (r *Reconciler) recoveryOfWorker(machine *clusterstate.Machine) *shardRecovery {
	if shard := r.State.OwnedShard(machine); shard != nil {
		return r.recoveryOf(shard)
	}
	return nil
}

// CountDiscrepancy counts a discrepancy between the records and a worker's heartbeat, if the heartbeat
// is the worker's first under the current epoch.
func (r *Reconciler) CountDiscrepancy(machine *clusterstate.Machine, discrepancy Discrepancy) {
	recovery := r.recoveryOfWorker(machine)
	if recovery != nil && !machine.HasReported() {
		recovery.discrepancies[discrepancy]++
	}
}

// CountRegisteredWorker is called when the record of a worker that sent heartbeats without a record is
// written. It counts the worker if the worker's shard was acquired recently.
func (r *Reconciler) CountRegisteredWorker(machine *clusterstate.Machine, now time.Time) {
	recovery := r.recoveryOfWorker(machine)
	if recovery != nil && recovery.isInTrackingPeriod(now) {
		recovery.discrepancies[WorkerUnrecorded]++
	}
}

// CountCommandsSent counts the commands of a response to a worker, if the worker's shard was acquired
// recently.
func (r *Reconciler) CountCommandsSent(machine *clusterstate.Machine, commands []workerapi.Command, now time.Time) {
	recovery := r.recoveryOfWorker(machine)
	if recovery == nil || !recovery.isInTrackingPeriod(now) {
		return
	}
	for _, command := range commands {
		recovery.commandsSent[string(command.Verb)]++
	}
}

// ConfirmWorker confirms a worker whose first heartbeat under the current epoch was applied. It also
// completes the recovery of the worker's shard if no other worker prevents that.
func (r *Reconciler) ConfirmWorker(machine *clusterstate.Machine, now time.Time) {
	recovery := r.recoveryOfWorker(machine)
	if recovery == nil {
		return
	}
	recovery.confirm(machine)
	r.reconcileShard(r.State.OwnedShard(machine), now)
}

// ConfirmTransferredWorker confirms a worker on the basis of the previous owner's snapshot, which lists the
// worker's tasks. The caller calls CompleteRecoveries after it has applied the snapshots of
// all workers.
func (r *Reconciler) ConfirmTransferredWorker(machine *clusterstate.Machine) {
	if recovery := r.recoveryOfWorker(machine); recovery != nil {
		recovery.confirm(machine)
	}
}

// ExemptWorker notes that a worker need not be confirmed, because the previous owner's snapshot shows
// that no command was ever sent to it.
func (r *Reconciler) ExemptWorker(machine *clusterstate.Machine) {
	if recovery := r.recoveryOfWorker(machine); recovery != nil {
		recovery.exemptWorkers[machine] = true
	}
}

// CompleteRecoveries completes the recovery of each local shard, or of single task ranges, where the
// confirmed workers and expired leases allow it.
func (r *Reconciler) CompleteRecoveries(now time.Time) {
	for _, shard := range r.Membership.LocalShards() {
		r.reconcileShard(shard, now)
		r.reconcileRanges(shard)
	}
}

// isReconciling reports whether a shard's records have been read and the shard's recovery is not
// complete.
//
// This controller knows at once that it has acquired the shard, possibly before the watch has delivered
// changes from before the acquisition. A worker or task range that was recorded shortly before may then
// still be missing in the cache, and a task on that worker would be started a second time. So nothing is
// decided before the cache has reached the shard's epoch.
func (r *Reconciler) isReconciling(shard *membership.Shard) bool {
	return !shard.IsReconciled() && r.Cache.HasReachedEpoch(shard)
}

// reconcileShard completes the recovery of a shard once each of its workers is confirmed or the
// worker's lease has expired. From then on no worker runs a task that no heartbeat has listed.
func (r *Reconciler) reconcileShard(shard *membership.Shard, now time.Time) {
	if !r.isReconciling(shard) {
		return
	}
	recovery := r.recoveryOf(shard)
	// This loop runs at the first heartbeat of each worker. It is cheap because it usually ends at the
	// first unconfirmed worker.
	for machine := range listUnconfirmed(r, shard) {
		if !isLeaseExpired(r, shard, machine, now) {
			return
		}
		r.State.AssumeLost(machine, now)
	}
	shard.MarkReconciled()
	recovery.reconciledAt = now
	r.markAllNotRunning(shard, recovery)
	r.countMissingWorkers(shard, recovery)
	r.State.MarkDirty()
	attributes := []any{"shard", shard.ID(), "after_s", now.Sub(shard.KnownSince()).Seconds()}
	r.log.Info("shard reconciled", append(attributes, recovery.logAttributes()...)...)
}

// markAllNotRunning allows the start of those tasks of a reconciled shard whose location is still
// unknown.
func (r *Reconciler) markAllNotRunning(shard *membership.Shard, recovery *shardRecovery) {
	for taskRange := range r.State.TaskRangesIn(shard.ID()) {
		if taskRange.IsOwned() {
			recovery.markNotRunning(taskRange)
		}
	}
}

// countMissingWorkers counts the workers that were recorded before the shard was acquired and have
// sent no heartbeat since.
func (r *Reconciler) countMissingWorkers(shard *membership.Shard, recovery *shardRecovery) {
	for machine := range r.State.OwnedMachinesIn(shard.ID()) {
		if machine.Revision() < shard.Epoch() && !machine.HasReported() {
			recovery.discrepancies[WorkerMissing]++
		}
	}
}

// reconcileRanges completes the recovery of single task ranges while some workers are unconfirmed.
// Every controller sends a task only to a worker that is large enough and that the job allows. If no
// unconfirmed worker meets both conditions, no unconfirmed worker runs the task, and the confirmed
// workers did not list it. So the loss of many spot machines does not delay tasks that may not run on
// spot machines.
func (r *Reconciler) reconcileRanges(shard *membership.Shard) {
	if !r.isReconciling(shard) {
		return
	}
	unconfirmedMachines := slices.Collect(listUnconfirmed(r, shard))
	recovery := r.recoveryOf(shard)
	for taskRange := range r.State.TaskRangesIn(shard.ID()) {
		if taskRange.CountTasks(clusterstate.TaskUnknown) == 0 || taskRange.Job().HasEnded() {
			continue
		}
		if r.anyCouldRun(taskRange, unconfirmedMachines) {
			continue
		}
		recovery.markNotRunning(taskRange)
		r.State.MarkDirty()
	}
}

// listUnconfirmed and isLeaseExpired are variables so that mutation tests can replace them and show
// that the invariant checkers detect the fault.
var (
	listUnconfirmed = (*Reconciler).unconfirmedWorkers
	isLeaseExpired  = (*Reconciler).leaseExpired
)

// leaseExpired reports whether an unconfirmed worker of a shard certainly runs no tasks any more,
// because its lease has expired even if a controller renewed it as late as possible (see
// Config.WorkerLeaseExpiresAt).
func (r *Reconciler) leaseExpired(shard *membership.Shard, machine *clusterstate.Machine, now time.Time) bool {
	return now.After(r.cfg.WorkerLeaseExpiresAt(shard.KnownSince(), machine.LastHeartbeatAt()))
}

// unconfirmedWorkers yields the workers of a shard that are neither confirmed nor lost, and to which a
// previous owner may have sent tasks of the shard.
//
// Workers whose record is newer than the shard's epoch are left out: they have registered since the
// acquisition, or have come from another shard without tasks. When these workers
// were not left out and a shard was acquired while hundreds of machines started, the wait for the last
// of them ended only 12 s after all other workers were confirmed.
//
// The order is that of State.Machines, which is random. A fixed order would make reconcileShard slow:
// it could pass thousands of confirmed workers before it finds the first unconfirmed one.
func (r *Reconciler) unconfirmedWorkers(shard *membership.Shard) iter.Seq[*clusterstate.Machine] {
	isExempt := r.recoveryOf(shard).exemptWorkers
	return func(yield func(*clusterstate.Machine) bool) {
		for machine := range r.State.Machines() {
			if machine.Record().Shard != shard.ID() || machine.Revision() >= shard.Epoch() {
				continue
			}
			if machine.HasReported() || machine.IsLost() || isExempt[machine] {
				continue
			}
			if !yield(machine) {
				return
			}
		}
	}
}

func (r *Reconciler) anyCouldRun(taskRange *clusterstate.TaskRange, machines []*clusterstate.Machine) bool {
	return slices.ContainsFunc(machines, func(machine *clusterstate.Machine) bool {
		return r.couldRun(taskRange, machine)
	})
}

// couldRun reports whether a task of a range may ever have been sent to a worker. It checks the
// recorded workers of a gang, the machines and the zone that the job and the range allow, and the
// machine's size. A machine whose type is not known counts as large enough.
func (r *Reconciler) couldRun(taskRange *clusterstate.TaskRange, machine *clusterstate.Machine) bool {
	if !taskRange.MayBeOn(machine.Host()) || !taskRange.Job().Record().Allows(machine.Group()) {
		return false
	}
	if zone := taskRange.Record().Zone; zone != "" && zone != machine.Record().Zone {
		return false
	}
	total, isKnown := r.State.Total(machine)
	return !isKnown || total.Covers(taskRange.Job().Need())
}
