package peer

import (
	"time"

	"cherrywall/internal/peer/wire"

	flatbuffers "github.com/google/flatbuffers/go"
)

// TaskSnapshot is a task as the holder of its share knows it.
type TaskSnapshot struct {
	Name          string
	Attempt       uint64
	Status        string
	StartSent     bool // a start was ordered
	Reported      bool // the worker has reported it
	StopRequested bool // to be stopped, with so many seconds to save
	StopSent      bool // that was ordered
	GraceSeconds  float64
	Foreign       bool          // no task of the share, only to be stopped
	RunningFor    time.Duration // 0: not known to run
}

// MachineSnapshot is a machine as the holder of its share knows it.
type MachineSnapshot struct {
	Host                     string
	AgentEpoch, HeartbeatSeq uint64 // of its last report
	EndedAgentEpoch          uint64 // sessions up to this one are over
	Lost                     bool
	Preempted                bool
	Drained                  bool
	Empty                    bool // its last report listed nothing
	AwaitingHeartbeat        bool // enrolled, and nothing was ordered to it
	Tasks                    []TaskSnapshot
}

// TransferChunk is a part of what a holder knows of a share, under the record of a stamp, that it
// hands over.
type TransferChunk struct {
	Shard        string
	Epoch        uint64
	Index, Total int
	Machines     []MachineSnapshot
}

// The bits of Task.flags and Standing.flags, see beat.fbs.
const (
	taskStartSent = 1 << iota
	taskReported
	taskStopRequested
	taskStopSent
	taskForeign
)

const (
	machineLost = 1 << iota
	machinePreempted
	machineDrained
	machineEmpty
	machineAwaitingHeartbeat
)

func packFlags(flags ...bool) (b byte) {
	for i, on := range flags {
		if on {
			b |= 1 << i
		}
	}
	return b
}

func encodeChunk(builder *flatbuffers.Builder, chunk *TransferChunk) flatbuffers.UOffsetT {
	machines := make([]flatbuffers.UOffsetT, len(chunk.Machines))
	for i, machine := range chunk.Machines {
		tasks := make([]flatbuffers.UOffsetT, len(machine.Tasks))
		for k, task := range machine.Tasks {
			name, status := builder.CreateString(task.Name), builder.CreateSharedString(task.Status)
			wire.TaskStart(builder)
			wire.TaskAddName(builder, name)
			wire.TaskAddAttempt(builder, task.Attempt)
			wire.TaskAddStatus(builder, status)
			wire.TaskAddFlags(builder, packFlags(task.StartSent, task.Reported, task.StopRequested, task.StopSent, task.Foreign))
			wire.TaskAddLeeway(builder, float32(task.GraceSeconds))
			wire.TaskAddRan(builder, float32(task.RunningFor.Seconds()))
			tasks[k] = wire.TaskEnd(builder)
		}
		tv := buildVector(builder, wire.StandingStartTasksVector, tasks)
		host := builder.CreateString(machine.Host)
		wire.StandingStart(builder)
		wire.StandingAddHost(builder, host)
		wire.StandingAddSession(builder, machine.AgentEpoch)
		wire.StandingAddReport(builder, machine.HeartbeatSeq)
		wire.StandingAddOver(builder, machine.EndedAgentEpoch)
		wire.StandingAddFlags(builder, packFlags(machine.Lost, machine.Preempted, machine.Drained, machine.Empty, machine.AwaitingHeartbeat))
		wire.StandingAddTasks(builder, tv)
		machines[i] = wire.StandingEnd(builder)
	}
	mv := buildVector(builder, wire.PieceStartMachinesVector, machines)
	share := builder.CreateString(chunk.Shard)
	wire.PieceStart(builder)
	wire.PieceAddShare(builder, share)
	wire.PieceAddStamp(builder, chunk.Epoch)
	wire.PieceAddIndex(builder, uint16(chunk.Index))
	wire.PieceAddOf(builder, uint16(chunk.Total))
	wire.PieceAddMachines(builder, mv)
	return wire.PieceEnd(builder)
}

// decodeChunk reads a piece; size is that of the frame, which bounds what it can list.
func decodeChunk(message *wire.Piece, size int) (*TransferChunk, error) {
	chunk := &TransferChunk{Shard: string(message.Share()), Epoch: message.Stamp(), Index: int(message.Index()), Total: int(message.Of())}
	if message.MachinesLength() > size || chunk.Index >= chunk.Total {
		return nil, errMalformedFrame
	}
	for i := range message.MachinesLength() {
		var m wire.Standing
		message.Machines(&m, i)
		if m.TasksLength() > size {
			return nil, errMalformedFrame
		}
		f := m.Flags()
		snapshot := MachineSnapshot{Host: string(m.Host()), AgentEpoch: m.Session(), HeartbeatSeq: m.Report(), EndedAgentEpoch: m.Over(), Lost: f&machineLost != 0,
			Preempted: f&machinePreempted != 0, Drained: f&machineDrained != 0, Empty: f&machineEmpty != 0, AwaitingHeartbeat: f&machineAwaitingHeartbeat != 0}
		for k := range m.TasksLength() {
			var t wire.Task
			m.Tasks(&t, k)
			f := t.Flags()
			snapshot.Tasks = append(snapshot.Tasks, TaskSnapshot{Name: string(t.Name()), Attempt: t.Attempt(), Status: string(t.Status()), StartSent: f&taskStartSent != 0,
				Reported: f&taskReported != 0, StopRequested: f&taskStopRequested != 0, StopSent: f&taskStopSent != 0, Foreign: f&taskForeign != 0, GraceSeconds: float64(t.Leeway()),
				RunningFor: time.Duration(float64(t.Ran()) * float64(time.Second))})
		}
		chunk.Machines = append(chunk.Machines, snapshot)
	}
	return chunk, nil
}
