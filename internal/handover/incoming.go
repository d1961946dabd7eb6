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

// minMisdirectedWorkerLimit is the number of workers of a small shard that may send their
// heartbeats to this controller before this controller stops waiting for the shard's owner. A few
// workers may have broken links of their own.
const minMisdirectedWorkerLimit = 2

// payload is the state of a shard under one epoch, as its owner knew it when it stopped responding
// to the shard's workers. The controller that acquires the shard under the next epoch can restore
// the state of the tasks from the payload.
type payload struct {
	epoch                       uint64
	totalChunks, receivedChunks int
	chunks                      [][]peer.MachineSnapshot // by chunk index; an element is nil until its chunk is received
	updatedAt                   time.Time
}

func newPayload(epoch uint64, total int) *payload {
	return &payload{epoch: epoch, totalChunks: total, chunks: make([][]peer.MachineSnapshot, total)}
}

func newCompletePayload(epoch uint64, chunks []*peer.TransferChunk, now time.Time) *payload {
	p := newPayload(epoch, len(chunks))
	for i, chunk := range chunks {
		p.addChunk(i, chunk.Machines, now)
	}
	return p
}

// addChunk stores a chunk unless it was received before, and reports whether the chunk was new.
func (p *payload) addChunk(index int, machines []peer.MachineSnapshot, now time.Time) bool {
	if p.chunks[index] != nil {
		return false
	}
	p.chunks[index] = append([]peer.MachineSnapshot{}, machines...) // not nil, even for an empty chunk
	p.receivedChunks++
	p.updatedAt = now
	return true
}

// isComplete reports whether all chunks were received; p may be nil.
func (p *payload) isComplete() bool { return p != nil && p.receivedChunks == p.totalChunks }

// ShouldAwaitTransfer requests a shard from its live owner and reports whether this controller
// should wait for the transfer instead of acquiring the shard without one.
func (c *Coordinator) ShouldAwaitTransfer(id string, now time.Time) bool {
	shard := c.Membership.Shard(id)
	if shard == nil || c.hasCompletePayload(shard) {
		return false
	}
	startedAt, wasRequested := c.requestShard(id, now)
	if !wasRequested {
		return true
	}
	if now.Sub(startedAt) >= tuning.TransferRequestTimeout {
		return false
	}
	// Workers that cannot reach the owner send their heartbeats to this controller. An owner that
	// cannot reach the shard's workers never reconciles the shard and so never transfers it:
	// waiting would only prolong the time for which the workers have no owner that they can reach.
	misdirectedHeartbeats := float64(c.Sessions.MisdirectedHeartbeatCount(id, now))
	limit := max(minMisdirectedWorkerLimit, tuning.MisdirectedWorkerFraction*float64(c.State.MachineCountIn(id)))
	return misdirectedHeartbeats <= limit
}

// requestShard makes this controller's heartbeats request a shard from its owner. It returns the
// time of the first request, and whether the shard was requested before this call.
func (c *Coordinator) requestShard(id string, now time.Time) (startedAt time.Time, wasRequested bool) {
	startedAt, wasRequested = c.requestedAt[id]
	if !wasRequested {
		startedAt = now
		c.requestedAt[id] = now
	}
	return startedAt, wasRequested
}

// RequestedShards returns the shards that this controller's heartbeat requests from other
// controllers, sorted by name. A shard is listed only as long as this controller waits for it,
// because the owner stops responding to the workers when it transfers the shard.
func (c *Coordinator) RequestedShards(now time.Time) []string {
	var ids []string
	for id, startedAt := range c.requestedAt {
		if now.Sub(startedAt) < tuning.TransferRequestTimeout && c.isOwnedByLivePeer(c.Membership.Shard(id)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// requestFromLeavingOwners requests the shards whose owners are shutting down and whose successor is
// this controller.
func (c *Coordinator) requestFromLeavingOwners(now time.Time) {
	isLeaving := c.leavingPredicate(now)
	for _, shard := range c.Membership.Shards() {
		if c.isOwnedByLivePeer(shard) && isLeaving(shard.Owner()) &&
			c.Membership.SuccessorExcluding(shard.ID(), isLeaving) == c.cfg.Node {
			c.requestShard(shard.ID(), now)
		}
	}
}

// advanceRequests acquires the requested shards whose payloads are complete, and withdraws the
// requests for shards that no live peer owns any more.
func (c *Coordinator) advanceRequests(now time.Time) {
	for id := range c.requestedAt {
		c.acquireIfComplete(id, now)
		if !c.isOwnedByLivePeer(c.Membership.Shard(id)) {
			delete(c.requestedAt, id)
		}
	}
}

// HandleChunk stores a chunk of a requested shard. It ignores a chunk if the sender does not own the
// shard or if the chunk's epoch is not the shard's current one.
func (c *Coordinator) HandleChunk(sender string, chunk *peer.TransferChunk, now time.Time) {
	if !c.isExpectedChunk(sender, chunk) {
		return
	}
	p := c.payloads[chunk.Shard]
	if p == nil || p.epoch != chunk.Epoch || p.totalChunks != chunk.Total {
		p = newPayload(chunk.Epoch, chunk.Total)
		c.payloads[chunk.Shard] = p
	}
	if p.addChunk(chunk.Index, chunk.Machines, now) {
		c.acquireIfComplete(chunk.Shard, now)
	}
}

// isExpectedChunk reports whether a chunk belongs to a requested shard and its current epoch, and comes
// from the shard's owner. A late chunk of an older epoch could describe workers that have received
// commands since.
func (c *Coordinator) isExpectedChunk(sender string, chunk *peer.TransferChunk) bool {
	if _, requested := c.requestedAt[chunk.Shard]; !requested || chunk.Total > tuning.MaxPendingTransferChunks {
		return false
	}
	shard := c.Membership.Shard(chunk.Shard)
	return shard != nil && !shard.IsLocal() && shard.Owner() == sender && shard.Epoch() == chunk.Epoch
}

// hasCompletePayload reports whether the whole payload of a shard's current epoch was received.
func (c *Coordinator) hasCompletePayload(shard *membership.Shard) bool {
	p := c.payloads[shard.ID()]
	return p.isComplete() && p.epoch == shard.Epoch()
}

// acquireIfComplete acquires a shard if all its chunks were received.
func (c *Coordinator) acquireIfComplete(id string, now time.Time) {
	shard := c.Membership.Shard(id)
	if shard != nil && !shard.IsLocal() && c.hasCompletePayload(shard) {
		c.Cache.AcquireTransferredShard(shard, now)
	}
}

// ApplyPayloads applies the payloads of the shards that this controller has acquired, once the
// cache has applied all revisions up to the acquisition.
func (c *Coordinator) ApplyPayloads(now time.Time) {
	for id, p := range c.payloads {
		shard := c.Membership.Shard(id)
		if shard != nil && c.canApply(p, shard) {
			delete(c.payloads, id)
			c.applyPayload(p, shard, now)
		}
	}
}

// canApply reports whether a payload still describes a shard of this controller. The payload's epoch
// must be the one that this controller's acquisition replaced: the old owner stopped responding to
// the workers under that epoch, so no controller has sent them a command since. If there was another
// epoch in between, a task could be started twice.
func (c *Coordinator) canApply(p *payload, shard *membership.Shard) bool {
	return p.isComplete() && shard.IsLocal() && shard.PreviousEpoch() == p.epoch && c.Cache.HasReachedEpoch(shard)
}

// applyPayload restores the state of a transferred shard's tasks and workers from the shard's
// payload, so that the workers need not be probed. Machines that have changed since the
// acquisition, or whose workers have sent a heartbeat since then, are left to reconciliation.
func (c *Coordinator) applyPayload(p *payload, shard *membership.Shard, now time.Time) {
	restoredWorkers := 0
	for _, chunk := range p.chunks {
		for _, snapshot := range chunk {
			if snapshot.Host == "" {
				c.markTasksDone(shard, snapshot.Tasks)
			} else if machine := c.State.Machine(snapshot.Host); isUnchanged(machine, shard) {
				c.applySnapshot(machine, snapshot, now)
				restoredWorkers++
			}
		}
	}
	c.Reconciler.CompleteRecoveries(now)
	startedAt, wasRequested := c.requestedAt[shard.ID()]
	if !wasRequested { // this controller reacquired the shard after a failed transfer
		startedAt = p.updatedAt
	}
	c.recordEndedTransfer(shard.ID(), c.cfg.Node, OutcomeApplied, startedAt, now)
	c.log.Info("transferred shard continued", "shard", shard.ID(), "workers", restoredWorkers, "reconciled", shard.IsReconciled())
}

// isUnchanged reports whether a machine belongs to the shard, its record is older than the shard's
// epoch, and it has neither sent a heartbeat nor been lost in that epoch.
func isUnchanged(machine *clusterstate.Machine, shard *membership.Shard) bool {
	return machine != nil && machine.Record().Shard == shard.ID() && machine.Revision() < shard.Epoch() &&
		!machine.HasReported() && !machine.IsLost()
}

// markTasksDone marks the given tasks as done. The old owner knew that they were done, but had not
// recorded that.
func (c *Coordinator) markTasksDone(shard *membership.Shard, tasks []peer.TaskSnapshot) {
	for _, task := range tasks {
		ref, index, ok := jobs.ParseTaskName(task.Name)
		if !ok {
			continue
		}
		taskRange, offset := c.State.FindTask(ref, index)
		if taskRange != nil && taskRange.Record().Shard == shard.ID() {
			c.State.MarkDone(taskRange, offset, nil)
		}
	}
}

// applySnapshot restores what the old owner knew about a machine.
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
	// The old owner sent the snapshot before this controller acquired the shard, and has not
	// responded to the worker since. So a lease that the old owner renewed expires no later than
	// a lease that begins now.
	c.State.BeginHeartbeat(machine, now)
	if c.State.EndHeartbeat(machine, snapshot.Empty, false) {
		c.Reconciler.ConfirmTransferredWorker(machine)
	}
}

// restoreAssignment restores the assignment of a task to a machine. If the task is foreign, or if
// reconciliation with the records would not keep it, the assignment only waits for the task to stop.
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
