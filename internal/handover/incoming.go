package handover

import (
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// minToleratedMisdirected is how many workers may send heartbeats here instead of to the owner of a
// small shard: a few may have broken links of their own.
const minToleratedMisdirected = 2

// payload is what the owner of a shard knew of it under an epoch when it stopped responding to the
// shard's workers. The controller that acquires the shard next can continue from it, as long as
// there was no other epoch in between.
type payload struct {
	epoch           uint64
	total, received int                      // numbers of chunks
	chunks          [][]peer.MachineSnapshot // nil: not received yet
	updatedAt       time.Time
}

func newPayload(epoch uint64, total int) *payload {
	return &payload{epoch: epoch, total: total, chunks: make([][]peer.MachineSnapshot, total)}
}

func newCompletePayload(epoch uint64, chunks []*peer.TransferChunk, now time.Time) *payload {
	p := newPayload(epoch, len(chunks))
	for i, chunk := range chunks {
		p.add(i, chunk.Machines, now)
	}
	return p
}

// add stores a chunk unless it was received before, and reports whether it was new.
func (p *payload) add(index int, machines []peer.MachineSnapshot, now time.Time) bool {
	if p.chunks[index] != nil {
		return false
	}
	p.chunks[index] = append([]peer.MachineSnapshot{}, machines...) // not nil even if empty
	p.received++
	p.updatedAt = now
	return true
}

// isComplete reports whether all chunks were received; p may be nil.
func (p *payload) isComplete() bool { return p != nil && p.received == p.total }

// ShouldAwaitTransfer requests a shard from its live owner and reports whether this controller
// should wait for the transfer, rather than acquire the shard without one.
func (c *Coordinator) ShouldAwaitTransfer(id string, now time.Time) bool {
	shard := c.Membership.Shard(id)
	if shard == nil || c.isReadyToAcquire(shard) {
		return false
	}
	since, wasRequested := c.request(id, now)
	if !wasRequested {
		return true
	}
	if now.Sub(since) >= tuning.TransferRequestTimeout {
		return false
	}
	// Workers that cannot reach the owner send their heartbeats here. An owner without its workers
	// is never reconciled and would never transfer the shard, so waiting for it would only leave
	// the workers without an owner for longer.
	misdirected := float64(c.Sessions.MisdirectedHeartbeats(id, now))
	tolerated := max(minToleratedMisdirected, tuning.StrayWorkerFraction*float64(c.State.MachineCountIn(id)))
	return misdirected <= tolerated
}

// request has this controller's heartbeats request a shard from its owner. It returns since
// when the shard has been requested, and whether that was before this call.
func (c *Coordinator) request(id string, now time.Time) (since time.Time, wasRequested bool) {
	since, wasRequested = c.requestedAt[id]
	if !wasRequested {
		since = now
		c.requestedAt[id] = now
	}
	return since, wasRequested
}

// RequestedShards returns the shards that this controller requests from others, in the order of
// their names, for its heartbeat. A shard is listed only as long as this controller waits for it,
// since its owner stops responding to the workers when it transfers the shard.
func (c *Coordinator) RequestedShards(now time.Time) []string {
	var ids []string
	for id, since := range c.requestedAt {
		if now.Sub(since) < tuning.TransferRequestTimeout && c.ownedByLivePeer(c.Membership.Shard(id)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// requestFromLeaving requests the shards of controllers that are shutting down if this controller
// is their successor.
func (c *Coordinator) requestFromLeaving(now time.Time) {
	isLeaving := c.isLeavingPeer(now)
	for _, shard := range c.Membership.Shards() {
		if c.ownedByLivePeer(shard) && isLeaving(shard.Owner()) &&
			c.Membership.SuccessorExcluding(shard.ID(), isLeaving) == c.cfg.Node {
			c.request(shard.ID(), now)
		}
	}
}

// advanceRequests acquires the requested shards that have arrived, and withdraws the requests of
// those that no live peer owns any more.
func (c *Coordinator) advanceRequests(now time.Time) {
	for id := range c.requestedAt {
		c.acquireIfComplete(id, now)
		if !c.ownedByLivePeer(c.Membership.Shard(id)) {
			delete(c.requestedAt, id)
		}
	}
}

// HandleChunk stores a chunk of a requested shard. Chunks of a controller that does not own the
// shard, or are of another epoch than the known one, are ignored.
func (c *Coordinator) HandleChunk(from string, chunk *peer.TransferChunk, now time.Time) {
	if !c.isExpected(from, chunk) {
		return
	}
	p := c.payloads[chunk.Shard]
	if p == nil || p.epoch != chunk.Epoch || p.total != chunk.Total {
		p = newPayload(chunk.Epoch, chunk.Total)
		c.payloads[chunk.Shard] = p
	}
	if p.add(chunk.Index, chunk.Machines, now) {
		c.acquireIfComplete(chunk.Shard, now)
	}
}

// isExpected reports whether a chunk is part of a requested shard, under its present epoch, and comes
// from its owner. A late chunk of an older epoch could describe workers that were commanded since.
func (c *Coordinator) isExpected(from string, chunk *peer.TransferChunk) bool {
	if _, requested := c.requestedAt[chunk.Shard]; !requested || chunk.Total > tuning.MaxPendingTransferChunks {
		return false
	}
	shard := c.Membership.Shard(chunk.Shard)
	return shard != nil && !shard.IsLocal() && shard.Owner() == from && shard.Epoch() == chunk.Epoch
}

// isReadyToAcquire reports whether the whole payload of a shard's present epoch is here.
func (c *Coordinator) isReadyToAcquire(shard *membership.Shard) bool {
	p := c.payloads[shard.ID()]
	return p.isComplete() && p.epoch == shard.Epoch()
}

// acquireIfComplete acquires a shard of which all chunks were received.
func (c *Coordinator) acquireIfComplete(id string, now time.Time) {
	shard := c.Membership.Shard(id)
	if shard != nil && !shard.IsLocal() && c.isReadyToAcquire(shard) {
		c.Cache.AcquireTransferredShard(shard, now)
	}
}

// ApplyPayloads continues from the payloads of shards that this controller has acquired, once the
// cache has applied all revisions up to the acquisition.
func (c *Coordinator) ApplyPayloads(now time.Time) {
	for id, p := range c.payloads {
		shard := c.Membership.Shard(id)
		if shard != nil && c.canApply(p, shard) {
			delete(c.payloads, id)
			c.apply(p, shard, now)
		}
	}
}

// canApply reports whether a payload still describes the shard. Its epoch has to be the one that ours
// replaced: under that epoch the old owner had stopped responding to workers, so no controller has
// sent them a command since. After an epoch in between, a task could be started twice.
func (c *Coordinator) canApply(p *payload, shard *membership.Shard) bool {
	return p.isComplete() && shard.IsLocal() && shard.PreviousEpoch() == p.epoch && c.Cache.HasReachedEpoch(shard)
}

// apply continues a shard from its payload: the tasks on the machines of the payload are known
// without probing their workers. Machines that have changed or sent a heartbeat since are left to
// reconciliation.
func (c *Coordinator) apply(p *payload, shard *membership.Shard, now time.Time) {
	restored := 0
	for _, chunk := range p.chunks {
		for _, snapshot := range chunk {
			if snapshot.Host == "" {
				c.markCompleted(shard, snapshot.Tasks)
			} else if machine := c.State.Machine(snapshot.Host); isUnchanged(machine, shard) {
				c.applySnapshot(machine, snapshot, now)
				restored++
			}
		}
	}
	c.Reconciler.Check(now)
	since, wasRequested := c.requestedAt[shard.ID()]
	if !wasRequested { // reacquired after a transfer that failed
		since = p.updatedAt
	}
	c.record(shard.ID(), c.cfg.Node, OutcomeContinued, since, now)
	c.log.Info("transferred shard continued", "shard", shard.ID(), "workers", restored, "reconciled", shard.IsReconciled())
}

// isUnchanged reports whether a machine's record is older than the shard's epoch and nothing was
// received of the machine since.
func isUnchanged(machine *clusterstate.Machine, shard *membership.Shard) bool {
	return machine != nil && machine.Record().Shard == shard.ID() && machine.Revision() < shard.Epoch() &&
		!machine.HasReported() && !machine.IsLost()
}

// markCompleted applies which tasks are done but not recorded as done.
func (c *Coordinator) markCompleted(shard *membership.Shard, tasks []peer.TaskSnapshot) {
	for _, task := range tasks {
		ref, index, ok := jobs.ParseTask(task.Name)
		if !ok {
			continue
		}
		taskRange, offset := c.State.FindTask(ref, index)
		if taskRange != nil && taskRange.Record().Shard == shard.ID() {
			c.State.MarkDone(taskRange, offset, nil)
		}
	}
}

// applySnapshot applies what the old owner knew of a machine.
func (c *Coordinator) applySnapshot(machine *clusterstate.Machine, snapshot peer.MachineSnapshot, now time.Time) {
	c.Sessions.RestoreSession(machine, workersession.SessionState{
		AgentEpoch:      snapshot.AgentEpoch,
		Sequence:        snapshot.HeartbeatSeq,
		EndedAgentEpoch: snapshot.EndedAgentEpoch,
	})
	if snapshot.AwaitingHeartbeat {
		c.Reconciler.ExemptWorker(machine)
		return
	}
	if snapshot.Lost {
		c.State.AssumeLost(machine, now)
		return
	}
	for _, task := range snapshot.Tasks {
		c.restoreAssignment(machine, task, now)
	}
	if snapshot.Preempted {
		c.State.MarkPreempted(machine)
	}
	if snapshot.Drained {
		c.State.Cordon(machine)
	}
	// The old owner has not responded to the worker since it sent the snapshot, which was before
	// this controller acquired the shard. So no lease that it renewed lasts longer than one that
	// begins now.
	c.State.BeginHeartbeat(machine, now)
	if c.State.EndHeartbeat(machine, snapshot.Empty, false) {
		c.Reconciler.WorkerTransferred(machine)
	}
}

// restoreAssignment restores a task on a machine. A task that is foreign, or that reconciliation
// with the records would not keep, is only to be stopped.
func (c *Coordinator) restoreAssignment(machine *clusterstate.Machine, task peer.TaskSnapshot, now time.Time) {
	status := workerapi.TaskStatus{Task: task.Name, Attempt: task.Attempt, Status: task.Status}
	previous := clusterstate.PreviousAssignment{
		TaskStatus: status,
		RanFor:     task.RunningFor,
		Progress: clusterstate.AssignmentStatus{
			StartSent:    task.StartSent,
			Reported:     task.Reported,
			WorkerStatus: task.Status,
			Stopping:     task.StopRequested,
			GraceS:       task.GraceSeconds,
			StopSent:     task.StopSent,
		},
	}
	keepsRunning := !task.Foreign && reconciliation.KeepsRunning(c.State.LookupTask(machine, status))
	c.State.RestoreAssignment(machine, previous, keepsRunning, now)
}
