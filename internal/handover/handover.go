// Package handover moves a share between two live controllers without greeting its
// workers anew: the giver tells what it knows of them and from then on answers none of
// them, the taker takes the share by the usual conditional write and goes on from there
// (docs/membership.md).
package handover

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// Dependencies are what shares are handed over with.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
	Sessions   *workersession.Manager
	Reconciler *reconciliation.Reconciler
	Peers      *peerstatus.Tracker
}

// Coordinator has no locks: one actor owns it.
type Coordinator struct {
	Dependencies
	cfg  *config.Config
	log  *slog.Logger
	send func(to string, pieces []*peer.TransferChunk) bool

	requestedAt map[string]time.Time         // shares that others hold and we should have: asked for since
	outgoing    map[string]*outgoingTransfer // shares held here that are asked for
	payloads    map[string]*payload          // what is known of shares under a record
	failedAt    map[string]time.Time         // when a share was last given in vain
	isLeaving   bool                         // this controller is about to end
	history     []Transfer                   // the latest last
}

// Transfer is a hand-over that has ended, or is under way, as operators see it.
type Transfer struct {
	Shard           string    `json:"share"`
	To              string    `json:"to"`
	Outcome         string    `json:"outcome"`
	DurationSeconds float64   `json:"took_s"` // from the giver's last answer, or the taker's question, on
	EndedAt         time.Time `json:"-"`
	AgeSeconds      float64   `json:"ago_s"`
}

// record remembers how a hand-over ended.
func (c *Coordinator) record(share, to, outcome string, since, now time.Time) {
	c.history = append(c.history, Transfer{Shard: share, To: to, Outcome: outcome, DurationSeconds: now.Sub(since).Seconds(), EndedAt: now})
	c.history = c.history[max(0, len(c.history)-tuning.MaxListedNames):]
}

// Transfers are the hand-overs under way here, and the last ones.
func (c *Coordinator) Transfers(now time.Time) []Transfer {
	out := []Transfer{}
	for id, transfer := range c.outgoing {
		view := Transfer{Shard: id, To: transfer.recipient, Outcome: "being prepared", DurationSeconds: now.Sub(transfer.requestedAt).Seconds()}
		if !transfer.sentAt.IsZero() {
			view.Outcome, view.DurationSeconds = "given, not taken yet", now.Sub(transfer.sentAt).Seconds()
		}
		out = append(out, view)
	}
	for _, id := range c.RequestedShards(now) {
		out = append(out, Transfer{Shard: id, To: c.cfg.Node, Outcome: "asked for", DurationSeconds: now.Sub(c.requestedAt[id]).Seconds()})
	}
	slices.SortFunc(out, func(view, y Transfer) int { return strings.Compare(view.Shard, y.Shard) })
	for _, view := range slices.Backward(c.history) {
		view.AgeSeconds = now.Sub(view.EndedAt).Seconds()
		out = append(out, view)
	}
	return out
}

// outgoingTransfer is a share that another controller has asked for.
type outgoingTransfer struct {
	epoch       uint64
	recipient   string
	requestedAt time.Time
	sentAt      time.Time // zero: returns and moves of its machines are still under way
}

// payload is what a giver knew of a share, under the record of a stamp, when it stopped
// answering its workers. Whoever replaces that record next may go on from it.
type payload struct {
	epoch           uint64
	total, received int
	chunks          [][]peer.MachineSnapshot
	updatedAt       time.Time
}

func (p *payload) isComplete() bool { return p != nil && p.received == p.total }

// New makes a keeper; send has pieces sent to another controller and tells whether they
// found room.
func New(cfg *config.Config, s Dependencies, send func(to string, chunks []*peer.TransferChunk) bool, log *slog.Logger) *Coordinator {
	c := &Coordinator{Dependencies: s, cfg: cfg, log: log, send: send}
	c.Reset()
	return c
}

// Reset forgets all: the records are read anew. A share that was given stays so, since its
// record does.
func (c *Coordinator) Reset() {
	c.requestedAt, c.outgoing, c.payloads = map[string]time.Time{}, map[string]*outgoingTransfer{}, map[string]*payload{}
	c.failedAt = map[string]time.Time{}
}

// ShouldAwaitTransfer tells whether a share that this controller is to take from one that lives should be
// waited for a moment longer: it was asked for and has not arrived.
func (c *Coordinator) ShouldAwaitTransfer(id string, now time.Time) bool {
	shard := c.Membership.Shard(id)
	if shard == nil {
		return false
	}
	if p := c.payloads[id]; p.isComplete() && p.epoch == shard.Epoch() {
		return false
	}
	// A holder that its workers can't reach has nothing to wait for: they come here.
	since, before := c.request(id, now)
	return !before || now.Sub(since) < tuning.TransferRequestTimeout && float64(c.Sessions.MisdirectedHeartbeats(id, now)) <= max(2, tuning.StrayWorkerFraction*float64(c.State.MachineCountIn(id)))
}

// request has a share asked for, if it is not yet; it tells since when it is, and whether it
// was before.
func (c *Coordinator) request(id string, now time.Time) (since time.Time, before bool) {
	if since, before = c.requestedAt[id]; !before {
		since = now
		c.requestedAt[id] = now
	}
	return since, before
}

// ownedByLivePeer tells whether another controller, which lives, holds a share.
func (c *Coordinator) ownedByLivePeer(shard *membership.Shard) bool {
	return c.Membership.OwnerIsLive(shard) && !shard.IsLocal()
}

// RequestedShards are the shares that others are asked to hand over, for the beat: as long as they
// are waited for, since a giver answers nobody meanwhile.
func (c *Coordinator) RequestedShards(now time.Time) []string {
	var out []string
	for id, since := range c.requestedAt {
		if shard := c.Membership.Shard(id); now.Sub(since) < tuning.TransferRequestTimeout && c.ownedByLivePeer(shard) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Leave has this controller give all its shares to whoever asks for them.
func (c *Coordinator) Leave() {
	c.isLeaving = true
	c.Cache.StopAcquiringShards()
}

// HandleRequests takes in which shares another controller wants. Only its home is given a share,
// unless this controller is about to end.
func (c *Coordinator) HandleRequests(by string, wants []string, now time.Time) {
	for _, id := range wants {
		shard := c.Membership.Shard(id)
		if id != by && !c.isLeaving || shard == nil || !shard.IsLocal() || !shard.IsReconciled() || shard.IsTransferred() || c.outgoing[id] != nil || c.Cache.IsStale(now) ||
			!c.Membership.IsLive(by, 0) || now.Sub(c.failedAt[id]) < tuning.TransferRetryDelay {
			continue
		}
		c.outgoing[id] = &outgoingTransfer{epoch: shard.Epoch(), recipient: by, requestedAt: now}
		shard.PrepareTransfer() // no machine of it is returned or moved any more
		c.sendShard(shard, now)
	}
}

// Tick does what is due.
func (c *Coordinator) Tick(now time.Time) {
	for id, transfer := range c.outgoing {
		shard := c.Membership.Shard(id)
		switch {
		case shard == nil || !shard.IsLocal() || shard.Epoch() != transfer.epoch:
			switch {
			case transfer.sentAt.IsZero() || shard == nil:
			case shard.Owner() == transfer.recipient:
				c.record(id, transfer.recipient, "handed over", transfer.sentAt, now)
				c.log.Info("share handed over", "share", id, "to", transfer.recipient, "after_s", now.Sub(transfer.sentAt).Seconds())
			case shard.IsLocal():
				c.failedAt[id] = now
				c.record(id, transfer.recipient, "given in vain, taken again", transfer.sentAt, now)
				c.log.Info("share given in vain, taken again", "share", id, "to", transfer.recipient)
			}
			delete(c.outgoing, id)
		case transfer.sentAt.IsZero() && now.Sub(transfer.requestedAt) < tuning.TransferTimeout:
			c.sendShard(shard, now)
		case transfer.sentAt.IsZero():
			shard.AbortTransfer()
			delete(c.outgoing, id)
		case now.Sub(transfer.sentAt) > tuning.TransferTimeout:
			// Nobody took it. Answered without a new record, its workers could be
			// commanded by both, should the taker's write come late.
			c.Cache.ReacquireShard(shard, now)
		}
	}
	for _, shard := range c.Membership.LocalShards() {
		if shard.IsTransferred() && c.outgoing[shard.ID()] == nil {
			c.Cache.ReacquireShard(shard, now) // the records were read anew meanwhile
		}
	}
	for _, shard := range c.Membership.Shards() {
		if c.ownedByLivePeer(shard) && c.Peers.IsLeaving(shard.Owner(), now) &&
			c.Membership.SuccessorExcluding(shard.ID(), func(n string) bool { return c.Peers.IsLeaving(n, now) }) == c.cfg.Node {
			c.request(shard.ID(), now)
		}
	}
	for id := range c.requestedAt {
		c.acquireIfComplete(id, now)
		if !c.ownedByLivePeer(c.Membership.Shard(id)) {
			delete(c.requestedAt, id)
		}
	}
	for id, p := range c.payloads {
		if now.Sub(p.updatedAt) > 2*tuning.TransferTimeout && (c.Membership.Shard(id) == nil || !c.Membership.Shard(id).IsTransferred()) {
			delete(c.payloads, id)
		}
	}
	c.ApplyPayloads(now)
}

// sendShard hands a share over, unless a machine of it is just being returned or moved: what
// comes of that is not known yet.
func (c *Coordinator) sendShard(shard *membership.Shard, now time.Time) {
	transfer := c.outgoing[shard.ID()]
	var machines []*clusterstate.Machine
	for machine := range c.State.OwnedMachinesIn(shard.ID()) {
		if (machine.IsReleasing() || machine.IsMoving()) && !machine.IsReleased() {
			return
		}
		machines = append(machines, machine)
	}
	c.Sessions.FlushResponses(shard)
	chunks := c.buildChunks(shard, machines, now)
	if chunks == nil {
		shard.AbortTransfer()
		delete(c.outgoing, shard.ID())
		c.failedAt[shard.ID()] = now
		return
	}
	c.Membership.MarkTransferred(shard)
	transfer.sentAt = now
	p := &payload{epoch: shard.Epoch(), total: len(chunks), received: len(chunks), updatedAt: now}
	for _, chunk := range chunks {
		p.chunks = append(p.chunks, chunk.Machines)
	}
	c.payloads[shard.ID()] = p // for ourselves, should nobody take it
	ok := c.send(transfer.recipient, chunks)
	c.log.Info("share given", "share", shard.ID(), "to", transfer.recipient, "machines", len(machines), "pieces", len(chunks), "sent", ok)
}

// buildChunks puts what is known of a share's machines into pieces, each of which fits a frame;
// nil if it is too much to be sent while nobody is answered.
func (c *Coordinator) buildChunks(shard *membership.Shard, machines []*clusterstate.Machine, now time.Time) []*peer.TransferChunk {
	chunks := []*peer.TransferChunk{{}}
	n := 0
	all := c.completedTasks(shard)
	for _, machine := range machines {
		all = append(all, c.machineSnapshot(machine, now))
	}
	for _, snapshot := range all {
		size := 1 + len(snapshot.Tasks)
		if n > 0 && n+size > tuning.MaxTransferChunkTasks {
			chunks, n = append(chunks, &peer.TransferChunk{}), 0
		}
		if size > tuning.MaxTransferChunkTasks || len(chunks) >= tuning.MaxPendingTransferChunks {
			return nil
		}
		last := chunks[len(chunks)-1]
		last.Machines, n = append(last.Machines, snapshot), n+size
	}
	for i, chunk := range chunks {
		chunk.Shard, chunk.Epoch, chunk.Index, chunk.Total = shard.ID(), shard.Epoch(), i, len(chunks)
	}
	return chunks
}

// completedTasks are the tasks that are done and not recorded so, in the place of machines without a
// name: on none of them, they were taken for nowhere and started again.
func (c *Coordinator) completedTasks(shard *membership.Shard) []peer.MachineSnapshot {
	var out []peer.MachineSnapshot
	var tasks []peer.TaskSnapshot
	for taskRange := range c.State.TaskRangesIn(shard.ID()) {
		for _, name := range taskRange.UnrecordedDoneTasks() {
			if tasks = append(tasks, peer.TaskSnapshot{Name: name}); len(tasks) == tuning.MaxTransferChunkTasks-1 {
				out, tasks = append(out, peer.MachineSnapshot{Tasks: tasks}), nil
			}
		}
	}
	if len(tasks) > 0 {
		out = append(out, peer.MachineSnapshot{Tasks: tasks})
	}
	return out
}

// machineSnapshot is what is known of a machine here. Plans that nobody was told are left out, but
// for those of a gang of which some tasks were ordered.
func (k *Coordinator) machineSnapshot(machine *clusterstate.Machine, now time.Time) peer.MachineSnapshot {

	snapshot := peer.MachineSnapshot{Host: machine.Host(), Lost: machine.IsLost(), Preempted: machine.IsPreempted(), Drained: machine.IsCordoned(), Empty: machine.ReportedEmpty(),
		AwaitingHeartbeat: !machine.HasReported() && !machine.IsLost()}
	snapshot.AgentEpoch, snapshot.HeartbeatSeq, snapshot.EndedAgentEpoch = k.Sessions.LastHeartbeat(machine)
	for assignment := range machine.Assignments() {
		c := assignment.Status()
		if c.IsPlanned() && !gangStarted(assignment.Job()) {
			continue
		}
		task := peer.TaskSnapshot{Name: assignment.Name(), Attempt: assignment.Attempt(), Status: c.WorkerStatus, StartSent: c.StartSent, Reported: c.Reported, StopRequested: c.Stopping, StopSent: c.StopSent,
			GraceSeconds: c.GraceS, Foreign: assignment.Job() == nil}
		if !c.RunningSince.IsZero() {
			task.RunningFor = now.Sub(c.RunningSince)
		}
		snapshot.Tasks = append(snapshot.Tasks, task)
	}
	return snapshot
}

// gangStarted tells whether some task of a gang was ordered.
func gangStarted(job *clusterstate.Job) bool {
	if job == nil || job.Record().Kind != jobs.Gang {
		return false
	}
	_, started := job.GangAttempt()
	return started
}

// HandleChunk takes in a piece of a share that another controller gives. Only what the holder
// says under its own record counts.
func (c *Coordinator) HandleChunk(from string, chunk *peer.TransferChunk, now time.Time) {
	shard := c.Membership.Shard(chunk.Shard)
	if _, wanted := c.requestedAt[chunk.Shard]; !wanted || chunk.Total > tuning.MaxPendingTransferChunks || shard == nil || shard.IsLocal() || shard.Owner() != from || shard.Epoch() != chunk.Epoch {
		return
	}
	have := c.payloads[chunk.Shard]
	if have == nil || have.epoch != chunk.Epoch || have.total != chunk.Total {
		have = &payload{epoch: chunk.Epoch, total: chunk.Total, chunks: make([][]peer.MachineSnapshot, chunk.Total)}
		c.payloads[chunk.Shard] = have
	}
	if have.chunks[chunk.Index] != nil {
		return
	}
	have.chunks[chunk.Index] = append([]peer.MachineSnapshot{}, chunk.Machines...) // not nil: it is there
	have.received++
	have.updatedAt = now
	c.acquireIfComplete(chunk.Shard, now)
}

// acquireIfComplete takes a share of which all pieces have arrived.
func (c *Coordinator) acquireIfComplete(id string, now time.Time) {
	if shard, p := c.Membership.Shard(id), c.payloads[id]; shard != nil && !shard.IsLocal() && p.isComplete() && p.epoch == shard.Epoch() {
		c.Cache.AcquireTransferredShard(shard, now)
	}
}

// CacheAdvanced does what had to wait until the mirror knew more: taking a share that has arrived,
// going on from one that was taken. Every 250 ms was half of the time in which nobody
// answered the share's workers.
func (c *Coordinator) CacheAdvanced(now time.Time) {
	for id := range c.requestedAt {
		c.acquireIfComplete(id, now)
	}
	c.ApplyPayloads(now)
}

// ApplyPayloads goes on from what was handed over, once the share is ours and all that was recorded
// before is known.
func (c *Coordinator) ApplyPayloads(now time.Time) {
	for id, p := range c.payloads {
		shard := c.Membership.Shard(id)
		// The record that ours replaced is the one under which the giver stopped to
		// answer: nothing was ordered since, by nobody.
		if !p.isComplete() || shard == nil || !shard.IsLocal() || shard.PreviousEpoch() != p.epoch || !c.Cache.HasReachedEpoch(shard) {
			continue
		}
		delete(c.payloads, id)
		n := 0
		for _, chunk := range p.chunks {
			for _, snapshot := range chunk {
				if snapshot.Host == "" {
					c.markCompleted(shard, snapshot.Tasks)
				} else if machine := c.State.Machine(snapshot.Host); machine != nil && machine.Record().Shard == id && machine.Revision() < shard.Epoch() && !machine.HasReported() && !machine.IsLost() {
					c.applySnapshot(machine, snapshot, now)
					n++
				}
			}
		}
		c.Reconciler.Check(now)
		since, asked := c.requestedAt[id]
		if !asked {
			since = p.updatedAt // ours, taken again
		}
		c.record(id, c.cfg.Node, "went on here", since, now)
		c.log.Info("share goes on", "share", id, "machines", n, "settled", shard.IsReconciled())
	}
}

// markCompleted takes over which tasks are done and not recorded so.
func (c *Coordinator) markCompleted(shard *membership.Shard, tasks []peer.TaskSnapshot) {
	for _, task := range tasks {
		if ref, i, ok := jobs.ParseTask(task.Name); ok {
			if taskRange, at := c.State.FindTask(ref, i); taskRange != nil && taskRange.Record().Shard == shard.ID() {
				c.State.MarkDone(taskRange, at, nil)
			}
		}
	}
}

func (c *Coordinator) applySnapshot(machine *clusterstate.Machine, snapshot peer.MachineSnapshot, now time.Time) {
	c.Sessions.RestoreSession(machine, snapshot.AgentEpoch, snapshot.HeartbeatSeq, snapshot.EndedAgentEpoch)
	switch {
	case snapshot.AwaitingHeartbeat:
		c.Reconciler.ExemptWorker(machine)
		return
	case snapshot.Lost:
		c.State.AssumeLost(machine, now)
		return
	}
	for _, task := range snapshot.Tasks {
		entry := workerapi.TaskStatus{Task: task.Name, Attempt: task.Attempt, Status: task.Status}
		c.State.RestoreAssignment(machine, clusterstate.PreviousAssignment{TaskStatus: entry, RanFor: task.RunningFor, Progress: clusterstate.AssignmentStatus{StartSent: task.StartSent, Reported: task.Reported, WorkerStatus: task.Status, Stopping: task.StopRequested,
			GraceS: task.GraceSeconds, StopSent: task.StopSent}}, !task.Foreign && reconciliation.KeepsRunning(c.State.LookupTask(machine, entry)), now)
	}
	if snapshot.Preempted {
		c.State.MarkPreempted(machine)
	}
	if snapshot.Drained {
		c.State.Drain(machine)
	}
	// The giver answered nobody since it gave the share, which was before we took it: no
	// lease that it renewed lasts longer than one that begins now.
	c.State.BeginHeartbeat(machine, now)
	if c.State.EndHeartbeat(machine, snapshot.Empty, false) {
		c.Reconciler.WorkerTransferred(machine)
	}
}
