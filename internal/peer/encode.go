package peer

import (
	"encoding/binary"

	"cherrywall/internal/peer/wire"

	flatbuffers "github.com/google/flatbuffers/go"
)

const (
	initialBufferBytes = 512

	// maxStoreSilentMs is the highest encoded value of Heartbeat.StoreSilentFor, about 25 days. It
	// fits the field, which has 32 bits.
	maxStoreSilentMs = 1 << 31
)

// Encode returns a heartbeat as a frame: the length in four bytes, big endian, then the buffer.
//
// The order in which the parts are built determines their position in the frame. The order must not
// change, so that a heartbeat has the same bytes in all versions.
func Encode(heartbeat Heartbeat) []byte {
	e := encoder{flatbuffers.NewBuilder(initialBufferBytes)}
	e.Finish(e.encodeHeartbeat(heartbeat))
	body := e.FinishedBytes()
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	return append(frame, body...)
}

// encoder builds the tables of a heartbeat. Its methods return the offset of what they have built
// in the buffer.
type encoder struct{ *flatbuffers.Builder }

func (e encoder) encodeHeartbeat(heartbeat Heartbeat) flatbuffers.UOffsetT {
	shardTables := encodeAll(heartbeat.Shards, e.encodeShard)
	capacityTables := encodeAll(heartbeat.Capacities, e.encodeCapacity)
	faultyJobNames := encodeAll(heartbeat.FaultyJobs, e.CreateString)
	requestedNames := encodeAll(heartbeat.RequestedShards, e.CreateString)
	suspectNames := encodeAll(heartbeat.Suspects, e.CreateString)
	var chunk flatbuffers.UOffsetT
	if heartbeat.TransferChunk != nil {
		chunk = e.encodeChunk(heartbeat.TransferChunk)
	}
	faultyJobs := e.encodeVector(wire.BeatStartBlamedVector, faultyJobNames)
	shards := e.encodeVector(wire.BeatStartSharesVector, shardTables)
	capacities := e.encodeVector(wire.BeatStartCountsVector, capacityTables)
	requestedShards := e.encodeVector(wire.BeatStartWantsVector, requestedNames)
	suspects := e.encodeOptionalVector(wire.BeatStartSuspectsVector, suspectNames)
	cancelledJobs := e.encodeOptionalVector(wire.BeatStartCancelledVector, encodeAll(heartbeat.CancelledJobs, e.encodeCancelledJob))
	observed := e.encodeOptionalVector(wire.BeatStartSeenVector, encodeAll(heartbeat.Observed, e.encodeObserved))
	node := e.CreateString(heartbeat.Node)
	wire.BeatStart(e.Builder)
	wire.BeatAddNode(e.Builder, node)
	wire.BeatAddBoot(e.Builder, heartbeat.Incarnation)
	wire.BeatAddSilentMs(e.Builder, uint32(min(heartbeat.StoreSilentFor.Milliseconds(), maxStoreSilentMs)))
	wire.BeatAddSynced(e.Builder, heartbeat.Synced)
	wire.BeatAddShares(e.Builder, shards)
	wire.BeatAddCounts(e.Builder, capacities)
	wire.BeatAddRequests(e.Builder, float32(heartbeat.RequestsPerSecond))
	wire.BeatAddChanges(e.Builder, float32(heartbeat.WritesPerSecond))
	wire.BeatAddBlamed(e.Builder, faultyJobs)
	wire.BeatAddWants(e.Builder, requestedShards)
	wire.BeatAddLeaving(e.Builder, heartbeat.Leaving)
	if suspects != 0 {
		wire.BeatAddSuspects(e.Builder, suspects)
	}
	if heartbeat.TransferChunk != nil {
		wire.BeatAddPiece(e.Builder, chunk)
	}
	wire.BeatAddReached(e.Builder, heartbeat.AppliedRevision)
	if cancelledJobs != 0 {
		wire.BeatAddCancelled(e.Builder, cancelledJobs)
	}
	wire.BeatAddMadeUs(e.Builder, heartbeat.MadeAtMicros)
	if observed != 0 {
		wire.BeatAddSeen(e.Builder, observed)
	}
	wire.BeatAddCancelledAfter(e.Builder, heartbeat.CancellationsKnownAfter)
	return wire.BeatEnd(e.Builder)
}

func (e encoder) encodeShard(shard Shard) flatbuffers.UOffsetT {
	id, owner := e.CreateString(shard.ID), e.CreateString(shard.Owner)
	wire.ShareStart(e.Builder)
	wire.ShareAddId(e.Builder, id)
	wire.ShareAddHolder(e.Builder, owner)
	wire.ShareAddStamp(e.Builder, shard.Epoch)
	return wire.ShareEnd(e.Builder)
}

func (e encoder) encodeCapacity(capacity ShapeCapacity) flatbuffers.UOffsetT {
	zone := e.CreateString(capacity.Zone)
	wire.CountStart(e.Builder)
	wire.CountAddCpu(e.Builder, capacity.CPU)
	wire.CountAddGpu(e.Builder, capacity.GPU)
	wire.CountAddMem(e.Builder, capacity.Mem)
	wire.CountAddZone(e.Builder, zone)
	wire.CountAddFree(e.Builder, uint32(capacity.Free))
	wire.CountAddLent(e.Builder, uint32(capacity.Preemptible))
	return wire.CountEnd(e.Builder)
}

func (e encoder) encodeCancelledJob(job CancelledJob) flatbuffers.UOffsetT {
	ref := e.CreateString(job.Ref)
	wire.CancelledStart(e.Builder)
	wire.CancelledAddJob(e.Builder, ref)
	wire.CancelledAddStamp(e.Builder, job.Revision)
	wire.CancelledAddDone(e.Builder, uint32(job.CompletedTasks))
	wire.CancelledAddTold(e.Builder, job.WorkersNotified)
	return wire.CancelledEnd(e.Builder)
}

func (e encoder) encodeObserved(observed ObservedHeartbeat) flatbuffers.UOffsetT {
	node := e.CreateString(observed.Node)
	wire.SeenStart(e.Builder)
	wire.SeenAddNode(e.Builder, node)
	wire.SeenAddBoot(e.Builder, observed.Incarnation)
	wire.SeenAddMadeUs(e.Builder, observed.MadeAtMicros)
	return wire.SeenEnd(e.Builder)
}

func (e encoder) encodeChunk(chunk *TransferChunk) flatbuffers.UOffsetT {
	machines := e.encodeVector(wire.PieceStartMachinesVector, encodeAll(chunk.Machines, e.encodeMachine))
	shard := e.CreateString(chunk.Shard)
	wire.PieceStart(e.Builder)
	wire.PieceAddShare(e.Builder, shard)
	wire.PieceAddStamp(e.Builder, chunk.Epoch)
	wire.PieceAddIndex(e.Builder, uint16(chunk.Index))
	wire.PieceAddOf(e.Builder, uint16(chunk.Total))
	wire.PieceAddMachines(e.Builder, machines)
	return wire.PieceEnd(e.Builder)
}

func (e encoder) encodeMachine(machine MachineSnapshot) flatbuffers.UOffsetT {
	tasks := e.encodeVector(wire.StandingStartTasksVector, encodeAll(machine.Tasks, e.encodeTask))
	host := e.CreateString(machine.Host)
	wire.StandingStart(e.Builder)
	wire.StandingAddHost(e.Builder, host)
	wire.StandingAddSession(e.Builder, machine.AgentEpoch)
	wire.StandingAddReport(e.Builder, machine.HeartbeatSeq)
	wire.StandingAddOver(e.Builder, machine.EndedAgentEpoch)
	wire.StandingAddFlags(e.Builder, packFlags(machine.Lost, machine.Preempted, machine.Drained, machine.Empty, machine.AwaitingHeartbeat))
	wire.StandingAddTasks(e.Builder, tasks)
	return wire.StandingEnd(e.Builder)
}

func (e encoder) encodeTask(task TaskSnapshot) flatbuffers.UOffsetT {
	name, status := e.CreateString(task.Name), e.CreateSharedString(string(task.Status))
	wire.TaskStart(e.Builder)
	wire.TaskAddName(e.Builder, name)
	wire.TaskAddAttempt(e.Builder, task.Attempt)
	wire.TaskAddStatus(e.Builder, status)
	wire.TaskAddFlags(e.Builder, packFlags(task.StartSent, task.Reported, task.StopRequested, task.StopSent, task.Foreign))
	wire.TaskAddLeeway(e.Builder, float32(task.GraceSeconds))
	wire.TaskAddRan(e.Builder, float32(task.RunningFor.Seconds()))
	return wire.TaskEnd(e.Builder)
}

// encodeAll builds one part of the buffer for each item and returns the offsets of the parts.
func encodeAll[T any](items []T, encode func(T) flatbuffers.UOffsetT) []flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(items))
	for i, item := range items {
		offsets[i] = encode(item)
	}
	return offsets
}

// startVectorFunc is a generated function that starts a vector with a number of items.
type startVectorFunc func(builder *flatbuffers.Builder, items int) flatbuffers.UOffsetT

func (e encoder) encodeVector(start startVectorFunc, offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(e.Builder, len(offsets))
	for i := len(offsets) - 1; i >= 0; i-- {
		e.PrependUOffsetT(offsets[i])
	}
	return e.EndVector(len(offsets))
}

// encodeOptionalVector is like encodeVector, but returns 0 if there are no items. The caller then
// leaves out the field.
func (e encoder) encodeOptionalVector(start startVectorFunc, offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	if len(offsets) == 0 {
		return 0
	}
	return e.encodeVector(start, offsets)
}
