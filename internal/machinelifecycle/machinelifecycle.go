// Package lifetime follows machines to their ends: silent, gone, taken back, failing,
// idle, surplus, returned; and gives idle ones to the share that needs them.
package machinelifecycle

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/cloud"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workersession"
)

// Cloud is what is needed of the cloud.
type Cloud interface {
	Release(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]cloud.Machine, error)
}

// Dependencies are what the machines' lives are followed with.
type Dependencies struct {
	State        *clusterstate.State
	Membership   *membership.Table
	Cache        *statecache.Cache
	MachineTypes *machinetype.Catalog
	Faults       *faultattribution.Attributor
	Sessions     *workersession.Manager
	Scheduler    *scheduler.Scheduler
	Reconciler   *reconciliation.Reconciler
}

// Manager has no locks: one actor owns it.
type Manager struct {
	Dependencies
	mailbox  *actor.Mailbox
	cfg      *config.Config
	provider Cloud
	log      *slog.Logger

	checkCursor     int                     // how many of the machines held were looked at in this turn
	pendingReleases []*clusterstate.Machine // released, the cloud is not asked yet
	lastReleaseAt   time.Time
	releaseInFlight bool // a request to return machines is under way
	listInFlight    bool // the machine list is being read
	listedAt        time.Time
	maintainedAt    time.Time
	consolidatedAt  time.Time // see gather
	lastCheckAt     time.Time // the last check
	resumedAt       time.Time // when this process was last held until
}

// New makes a keeper.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, provider Cloud, log *slog.Logger) *Manager {
	return &Manager{Dependencies: deps, mailbox: mailbox, cfg: cfg, provider: provider, log: log}
}

// Reset forgets what was to be returned: the machines' records are read anew.
func (k *Manager) Reset() { k.pendingReleases = nil }

// Tick does what is due from time to time.
func (k *Manager) Tick(now time.Time) {
	k.checkMachines(now)
	if now.Sub(k.maintainedAt) >= tuning.MaintenanceInterval {
		k.maintainedAt = now
		k.Maintain(now)
	}
	k.sendReleases()
}

// Maintain returns, empties and moves what has too little to do.
func (k *Manager) Maintain(now time.Time) {
	// Without the state service the record of a returned machine would stay,
	// and the next holder of the share would wait for a worker that is no more.
	if k.Cache.IsStale(now) {
		return
	}
	k.releaseIdle(now)
	k.transferIdleMachines(now)
}

// checkMachines notes the workers whose leases have run out. Each tick looks at a
// part of the machines, so that all are looked at within a second.
func (k *Manager) checkMachines(now time.Time) {
	suspects := false
	if now.Sub(k.lastCheckAt) > tuning.ProcessStallThreshold {
		k.resumedAt = now // this process was held: that nobody was heard tells of no worker
	}
	k.lastCheckAt = now
	settings, _ := k.Cache.Settings()
	batch := k.State.OwnedMachines()
	if n := len(batch); n > 0 {
		from := k.checkCursor % n
		k.checkCursor = from + max(tuning.MinMachineChecksPerTick, n/tuning.MachineCheckTicks+1)
		batch = batch[from:min(k.checkCursor, n)]
		if k.checkCursor >= n {
			k.checkCursor = 0
		}
	}
	for _, machine := range batch {
		suspects = suspects || k.isSuspect(machine, now)
		k.State.SetSuspected(machine, k.Faults.IsSuspected(machine.Host(), now))
		k.expireLease(machine, now)
		if machine.HasReported() && !machine.IsLost() && !machine.HeartbeatOverdue() && now.Sub(laterOf(machine.LastHeartbeatAt(), k.resumedAt)) > k.heartbeatDueAfter(machine) {
			k.State.MarkHeartbeatOverdue(machine)
		}
		if k.Cache.IsStale(now) {
			continue
		}
		k.releaseIfUnreachable(machine, now)
		if slices.Contains(settings.Drain, machine.Host()) && !machine.IsCordoned() {
			k.log.Info("machine drained by the operators", "worker", machine.Host())
			k.State.Drain(machine)
		}
		if machine.IsCordoned() && !machine.IsReleasing() && k.evictTasks(machine) {
			k.release(machine)
		}
	}
	k.Reconciler.Check(now)
	if suspects {
		k.checkCloudListing(now)
	}
}

// heartbeatDueAfter is after how long without a report a worker is overdue: its last may have waited for
// an answer, the longer if it had no task.
func (k *Manager) heartbeatDueAfter(machine *clusterstate.Machine) time.Duration {
	every := config.Seconds(k.cfg.Cluster.Workers.ReportS)
	return every + every/4 + k.Sessions.MaxResponseDelay(machine.AssignmentCount() == 0) + tuning.HeartbeatOverdueMargin
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// expireLease notes whether a worker has been silent for so long that its tasks are
// gone.
func (k *Manager) expireLease(machine *clusterstate.Machine, now time.Time) {
	if !machine.IsLost() && machine.HasReported() && now.Sub(machine.LastHeartbeatAt()) > k.cfg.WorkerLeaseExpiryDelay() {
		k.log.Info("worker silent, its lease is over", "worker", machine.Host(), "tasks", machine.AssignmentCount())
		k.Sessions.CloseSession(machine)
		k.State.MarkLost(machine)
	}
	// Known only by its record, or by a report that came late: nobody can
	// have kept it alive for so long.
	taken := laterOf(k.State.OwnedShard(machine).KnownSince(), machine.JoinedShardAt())
	if !machine.IsLost() && !machine.HasReported() && now.After(k.cfg.WorkerLeaseExpiresAt(taken, machine.LastHeartbeatAt())) {
		k.State.MarkLost(machine)
	}
}

// releaseIfUnreachable returns a machine that is silent for too long, and drops the record of one
// that is no more.
func (k *Manager) releaseIfUnreachable(machine *clusterstate.Machine, now time.Time) {
	switch {
	case machine.IsReleased() && !machine.IsReleasing():
		k.State.SetReleasing(machine, true)
		k.deleteRecords(machine)
	case machine.HasNoInbound() && now.Sub(machine.NoInboundChangedAt()) > k.unreachableGracePeriod():
		k.log.Info("worker that does not hear is returned", "worker", machine.Host())
		k.release(machine)
	case machine.IsLost() && k.Sessions.ReachableByCommand(machine, now) && now.Sub(machine.LostAt()) < k.unreachableGracePeriod():
		// It is well and reaches no controller: a bad minute of a zone is no reason to
		// return and rent anew all that is there.
	case machine.IsLost() && now.Sub(machine.LostAt()) > tuning.UnreachableReleaseDelay:
		k.release(machine)
	case !machine.IsLost() && !machine.HasReported() && k.timeSinceHeartbeat(machine, now) > k.cfg.HeartbeatAnswerValidity()+tuning.WorkerReconnectPeriod:
		// Its old holder has had to stop answering it and it has not come:
		// it is most likely dead, and its return proves it.
		k.release(machine)
	}
}

// unreachableGracePeriod is how long a machine is kept that is well and can't be used, since what is said to it or
// what it says does not arrive.
func (k *Manager) unreachableGracePeriod() time.Duration {
	return max(tuning.InboundLossReleaseDelay, 2*k.cfg.WorkerLeaseExpiryDelay())
}

// evictTasks stops all that is on a drained machine, with time to save; it tells whether
// nothing was left.
func (k *Manager) evictTasks(machine *clusterstate.Machine) bool {
	empty := machine.AssignmentCount() == 0
	for assignment := range machine.Assignments() {
		switch job := assignment.Job(); {
		case job == nil || assignment.Status().Stopping:
		case job.Record().Kind == jobs.Gang:
			k.State.StopGang(job)
		default:
			k.State.Stop(assignment, job.Record().CheckpointSaveSeconds+1)
		}
	}
	return empty
}

// isSuspect tells whether a worker that should report does not.
func (k *Manager) isSuspect(machine *clusterstate.Machine, now time.Time) bool {

	if k.State.OwnedShard(machine) == nil || machine.IsReleased() || machine.IsLost() && machine.HasReported() {
		return false
	}
	return machine.ProbeUnanswered() || k.timeSinceHeartbeat(machine, now) > 3*config.Seconds(k.cfg.Cluster.Workers.ReportS)
}

// timeSinceHeartbeat is how long a worker of a share held here has said nothing, counted
// from the taking of the share or its record at the earliest.
func (k *Manager) timeSinceHeartbeat(machine *clusterstate.Machine, now time.Time) time.Duration {

	return min(now.Sub(k.State.OwnedShard(machine).KnownSince()), now.Sub(machine.JoinedShardAt()), now.Sub(machine.LastHeartbeatAt()))
}

// checkCloudListing reads the machine list while a worker that should report does
// not: one that is listed as failed, or no longer listed, is gone, and its
// tasks need not wait for its lease. A list may describe a moment long ago, so
// only machines that were up before that count as missing: a young one that
// boots in a second and is not listed yet may well run tasks.
func (k *Manager) checkCloudListing(now time.Time) {
	if k.listInFlight || now.Sub(k.listedAt) < tuning.MinMachineListGap || k.Cache.IsStale(now) {
		return
	}
	k.listInFlight = true
	asked := time.Now()
	go func() {
		list, err := k.provider.List(k.mailbox.Context())
		k.mailbox.Send(func() {
			k.listInFlight, k.listedAt = false, time.Now()
			if err == nil {
				k.applyCloudListing(list, asked)
			}
		})
	}()
}

func (k *Manager) applyCloudListing(list []cloud.Machine, asked time.Time) {
	lag := config.Seconds(tuning.MaxListLagFactor * k.cfg.Cluster.Cloud.ListLagS)
	status := map[string]string{}
	for _, listedMachine := range list {
		status[listedMachine.Host] = listedMachine.Status
	}
	now := time.Now()
	for _, machine := range k.State.OwnedMachines() {
		st, there := status[machine.Host()]
		old := machine.EnrolledFor(asked) > lag+tuning.ListAbsenceMargin
		if k.isSuspect(machine, now) && (st == "failed" || !there && old) {
			k.log.Info("machine gone from the list", "worker", machine.Host(), "status", st, "tasks", machine.AssignmentCount())
			k.markTerminated(machine)
		}
	}
}

// markTerminated notes that the cloud has taken a machine back: nothing it may have said before
// counts now.
func (k *Manager) markTerminated(machine *clusterstate.Machine) {
	k.Sessions.CloseAllSessions(machine)
	k.State.MarkReleased(machine)
}

// release returns a machine; once the cloud confirms, it and its tasks are
// gone, and its record goes too.
func (k *Manager) release(machine *clusterstate.Machine) {
	if shard := k.State.OwnedShard(machine); machine.IsReleasing() || shard != nil && shard.IsTransferring() {
		return // being returned, or its share is being handed over
	}
	k.State.SetReleasing(machine, true)
	k.pendingReleases = append(k.pendingReleases, machine)
}

// sendReleases asks the cloud to take back what was released since the last
// time, in one request: the cloud takes few of them.
func (k *Manager) sendReleases() {
	if k.releaseInFlight || len(k.pendingReleases) == 0 || time.Since(k.lastReleaseAt) < tuning.MinScaleInRequestGap {
		return
	}
	var machines []*clusterstate.Machine
	var hosts []string
	for len(k.pendingReleases) > 0 && len(hosts) < tuning.MaxScaleInPerRequest {
		machine := k.pendingReleases[0]
		k.pendingReleases = k.pendingReleases[1:]
		// What changed hands meanwhile is for its new holder to judge.
		if k.State.IsCurrentMachine(machine) && machine.IsReleasing() && k.State.OwnedShard(machine) != nil {
			machines, hosts = append(machines, machine), append(hosts, machine.Host())
		}
	}
	if len(hosts) == 0 {
		return
	}
	k.releaseInFlight, k.lastReleaseAt = true, time.Now()
	go func() {
		err := k.provider.Release(k.mailbox.Context(), hosts)
		k.mailbox.Send(func() {
			k.releaseInFlight = false
			if err != nil {
				k.log.Info("release failed", "workers", hosts, "error", err)
			}
			var gone []*clusterstate.Machine
			for _, machine := range machines {
				if k.handleReleaseResult(machine, err) {
					gone = append(gone, machine)
				}
			}
			k.deleteRecords(gone...)
		})
	}()
}

// handleReleaseResult notes the outcome of a machine's return; it tells whether the machine is gone.
func (k *Manager) handleReleaseResult(machine *clusterstate.Machine, err error) bool {
	switch {
	case !k.State.IsCurrentMachine(machine) || err != nil && k.State.OwnedShard(machine) == nil:
	case err != nil:
		k.mailbox.SendAfter(tuning.MaxRetryDelay, func() { k.State.SetReleasing(machine, false) })
	default:
		k.log.Info("machine returned", "worker", machine.Host(), "silent", machine.IsLost())
		k.markTerminated(machine)
		return true
	}
	return false
}

// deleteRecords drops the records of machines that are no more, many in one change. Whoever holds
// their share by now: that the cloud has taken a machine back stays true, and its name is
// never given again. With the share among the conditions the records stayed when it changed
// hands a moment after the return, and its next holder waited up to 36 s for machines that
// were gone. In a hurry for the same reason.
func (k *Manager) deleteRecords(machines ...*clusterstate.Machine) {
	for batch := range slices.Chunk(machines, k.cfg.EffectiveStateLimits().TxnOps) {
		var txn kvstore.Txn
		for _, machine := range batch {
			key := jobs.WorkerPrefix + machine.Host()
			txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, Revision: machine.Revision()})
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: key})
		}
		k.Cache.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
			if err == nil && result.Succeeded {
				return
			}
			// One record that was written again holds up the others, or nobody answered.
			for _, machine := range batch {
				k.mailbox.SendAfter(tuning.MaxRetryDelay, func() {
					if k.State.IsCurrentMachine(machine) {
						k.deleteRecords(machine)
					}
				})
			}
		})
	}
}
