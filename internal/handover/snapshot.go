package handover

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// buildChunks returns the state of a shard as chunks, each of which fits a frame. It returns nil if
// sending all chunks would take longer than the workers may go without responses, or if the tasks of
// one machine do not fit a chunk.
func (c *Coordinator) buildChunks(shard *membership.Shard, machines []*clusterstate.Machine, now time.Time) []*peer.TransferChunk {
	snapshots := c.unrecordedCompletions(shard)
	for _, machine := range machines {
		snapshots = append(snapshots, c.machineSnapshot(machine, now))
	}
	chunk := &peer.TransferChunk{}
	chunks := []*peer.TransferChunk{chunk}
	chunkSize := 0
	for _, snapshot := range snapshots {
		size := 1 + len(snapshot.Tasks)
		if chunkSize > 0 && chunkSize+size > tuning.MaxTransferChunkTasks {
			chunk = &peer.TransferChunk{}
			chunks = append(chunks, chunk)
			chunkSize = 0
		}
		if size > tuning.MaxTransferChunkTasks || len(chunks) >= tuning.MaxPendingTransferChunks {
			return nil
		}
		chunk.Machines = append(chunk.Machines, snapshot)
		chunkSize += size
	}
	for i, chunk := range chunks {
		chunk.Shard, chunk.Epoch = shard.ID(), shard.Epoch()
		chunk.Index, chunk.Total = i, len(chunks)
	}
	return chunks
}

// unrecordedCompletions returns the tasks that are done but not recorded as done, as snapshots
// without a host. A recipient that did not know that they are done would find them on no machine,
// conclude that they do not run, and start them again.
func (c *Coordinator) unrecordedCompletions(shard *membership.Shard) []peer.MachineSnapshot {
	var snapshots []peer.MachineSnapshot
	var tasks []peer.TaskSnapshot
	for taskRange := range c.State.TaskRangesIn(shard.ID()) {
		for _, name := range taskRange.UnrecordedDoneTasks() {
			tasks = append(tasks, peer.TaskSnapshot{Name: name})
			if len(tasks) == tuning.MaxTransferChunkTasks-1 {
				snapshots = append(snapshots, peer.MachineSnapshot{Tasks: tasks})
				tasks = nil
			}
		}
	}
	if len(tasks) > 0 {
		snapshots = append(snapshots, peer.MachineSnapshot{Tasks: tasks})
	}
	return snapshots
}

// machineSnapshot returns the state of a machine. An assignment for which no start command was sent
// is left out, unless a start command was sent for another task of the same gang.
func (c *Coordinator) machineSnapshot(machine *clusterstate.Machine, now time.Time) peer.MachineSnapshot {
	snapshot := peer.MachineSnapshot{
		Host:              machine.Host(),
		Lost:              machine.IsLost(),
		Preempted:         machine.IsPreempted(),
		Drained:           machine.IsCordoned(),
		Empty:             machine.ReportedEmpty(),
		AwaitingHeartbeat: !machine.HasReported() && !machine.IsLost(),
	}
	session := c.Sessions.SessionState(machine)
	snapshot.AgentEpoch, snapshot.HeartbeatSeq, snapshot.EndedAgentEpoch = session.AgentEpoch, session.Sequence, session.EndedAgentEpoch
	for assignment := range machine.Assignments() {
		if assignment.Status().IsPlanned() && !hasGangStarted(assignment.Job()) {
			continue
		}
		snapshot.Tasks = append(snapshot.Tasks, taskSnapshot(assignment, now))
	}
	return snapshot
}

func taskSnapshot(assignment *clusterstate.Assignment, now time.Time) peer.TaskSnapshot {
	status := assignment.Status()
	snapshot := peer.TaskSnapshot{
		Name:          assignment.Name(),
		Attempt:       assignment.Attempt(),
		Status:        status.WorkerStatus,
		StartSent:     status.StartSent,
		Reported:      status.Reported,
		StopRequested: status.Stopping,
		StopSent:      status.StopSent,
		GraceSeconds:  status.GraceS,
		Foreign:       assignment.Job() == nil,
	}
	if !status.RunningSince.IsZero() {
		snapshot.RunningFor = now.Sub(status.RunningSince)
	}
	return snapshot
}

// hasGangStarted reports whether a start command was sent for any task of a gang. It returns false for
// nil and for jobs that are not gangs.
func hasGangStarted(job *clusterstate.Job) bool {
	if job == nil || job.Record().Kind != jobs.Gang {
		return false
	}
	_, started := job.GangAttempt()
	return started
}
