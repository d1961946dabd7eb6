// Package startgate decides whether the command to start a task may be sent to a worker. It checks
// every start immediately before the command is sent, because conditions may have changed since the
// task was placed. A start is refused if a condition can't be verified.
package startgate

import (
	"time"

	"cherrywall/internal/claims"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
)

// Refusal is the reason why a start may not be sent now. Its text is shown to operators and must not
// be changed.
type Refusal string

// The refusals, in the order in which Check tests for them. Allowed means that the start may be sent.
const (
	Allowed             Refusal = ""
	NotOwned            Refusal = "the shard has another owner, or none"
	Transferred         Refusal = "the shard is being transferred"
	StoreReadTooOld     Refusal = "the key-value store was not read for too long"
	MachineLeaving      Refusal = "the machine takes no more tasks"
	NotPlaced           Refusal = "the task is not placed here any more"
	ClaimNotDurable     Refusal = "the claim is not stored yet"
	GangIncomplete      Refusal = "the gang is not complete, or its workers are not recorded"
	WorkerNotRecorded   Refusal = "the gang's record does not name the worker"
	NoResources         Refusal = "tasks that stop still take the machine's resources"
	QuotaUnknown        Refusal = "the team's limit: not all that runs in the shard is known"
	QuotaExceeded       Refusal = "the team's limit"
	CancellationUnknown Refusal = "cancellations may be missing: the key-value store was not read just now"
)

// Dependencies are the components that the gate reads. The actor that uses the gate owns them.
type Dependencies struct {
	State  *clusterstate.State
	Cache  *statecache.Cache
	Peers  *peerstatus.Tracker
	Claims *claims.Writer
}

// Gate decides whether starts may be sent. It has no state of its own, and needs no locks because a
// single actor owns the components that it reads.
type Gate struct {
	deps Dependencies
	cfg  *config.Config
}

// New returns a gate that reads the given components.
func New(cfg *config.Config, deps Dependencies) *Gate { return &Gate{deps: deps, cfg: cfg} }

// Check returns the reason why the start of a task may not be sent to its machine now, or Allowed if
// it may be sent.
func (g *Gate) Check(assignment *clusterstate.Assignment, now time.Time) Refusal {
	machine := assignment.Machine()
	if refusal := g.checkMachine(machine, now); refusal != Allowed {
		return refusal
	}
	if refusal := g.checkTask(assignment); refusal != Allowed {
		return refusal
	}
	if refusal := g.checkGang(assignment); refusal != Allowed {
		return refusal
	}
	if !g.deps.State.FreeNow(machine).Covers(assignment.Need()) {
		return NoResources
	}
	if refusal := g.checkQuota(assignment); refusal != Allowed {
		return refusal
	}
	if !g.knowsCancellations(now) {
		return CancellationUnknown
	}
	return Allowed
}

// checkMachine checks that this controller may send commands to the machine, and that the machine
// accepts more tasks.
func (g *Gate) checkMachine(machine *clusterstate.Machine, now time.Time) Refusal {
	shard := g.deps.State.OwnedShard(machine)
	switch {
	case shard == nil || !g.deps.State.IsCurrentMachine(machine) || g.hasNewerOwner(shard):
		return NotOwned
	case shard.IsTransferred():
		return Transferred
	case !g.deps.Cache.MayRenewWorkerLeases(now):
		return StoreReadTooOld
	case TakesNoMoreTasks(machine):
		return MachineLeaving
	}
	return Allowed
}

func (g *Gate) hasNewerOwner(shard *membership.Shard) bool {
	_, isNewer := g.deps.Peers.NewerOwner(shard.ID(), shard.Epoch())
	return isNewer
}

// TakesNoMoreTasks reports whether a machine is preempted, being released or cordoned, so that no more
// tasks may start on it.
func TakesNoMoreTasks(machine *clusterstate.Machine) bool {
	return machine.IsPreempted() || machine.IsReleasing() || machine.IsCordoned()
}

// checkTask checks that the task belongs to an unfinished job, is durably claimed by the machine's
// shard, and is still placed on this machine. It need not check other machines, since package
// reconciliation ensures that a placed task is on no other machine.
func (g *Gate) checkTask(assignment *clusterstate.Assignment) Refusal {
	taskRange := assignment.TaskRange()
	switch {
	case taskRange == nil || assignment.Status().Stopping || !assignment.IsCurrent():
		return NotPlaced
	case taskRange.IsTentative():
		return ClaimNotDurable
	case !g.deps.State.IsCurrentTaskRange(taskRange) || taskRange.Record().Shard != assignment.Machine().Record().Shard:
		return NotPlaced
	}
	return Allowed
}

// knowsCancellations reports whether this controller knows all cancellations that were committed
// more than tuning.MaxStartKnowledgeAge ago. Without this check a task could start although the
// cancellation of its job was confirmed to the user (docs/recovery.md, "No start after a
// cancellation"). Starts may also be sent if all peers have said within that time that they don't
// reach the key-value store, since then none of them can have confirmed a cancellation.
func (g *Gate) knowsCancellations(now time.Time) bool {
	if g.cfg.MayStartTasks(now, g.deps.Cache.ConsistentAsOf()) {
		return true
	}
	unreachableAsOf := g.deps.Peers.StoreUnreachableAsOf(now, tuning.MaxStartKnowledgeAge/2, g.deps.Cache.AppliedRevision())
	return g.cfg.MayStartTasks(now, unreachableAsOf)
}

// checkGang checks, for a task of a gang, that all tasks of the gang can start, and that the record of
// the task's range allows this worker.
func (g *Gate) checkGang(assignment *clusterstate.Assignment) Refusal {
	job := assignment.Job()
	switch {
	case job.Record().Kind != jobs.Gang:
		return Allowed
	case !g.deps.State.GangCanStart(job):
		return GangIncomplete
	case !assignment.TaskRange().MayBeOn(assignment.Machine().Host()):
		return WorkerNotRecorded
	}
	return Allowed
}

func (g *Gate) checkQuota(assignment *clusterstate.Assignment) Refusal {
	switch g.deps.Claims.CheckStartQuota(assignment) {
	case claims.StartWithinQuota:
		return Allowed
	case claims.StartUsageUnknown:
		return QuotaUnknown
	}
	return QuotaExceeded
}
