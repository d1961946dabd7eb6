package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"cherrywall/internal/peer/wire"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// ErrMalformedFrame is returned for a frame that cannot have been written by a controller.
var ErrMalformedFrame = errors.New("malformed peer frame")

// minBodyBytes is a lower bound on the size of a heartbeat's buffer.
const minBodyBytes = 8

// ReadFrame reads one frame. Its errors are those of r and ErrMalformedFrame.
func ReadFrame(r io.Reader) (Heartbeat, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Heartbeat{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > tuning.MaxPeerFrameBytes {
		return Heartbeat{}, fmt.Errorf("%w: %d bytes", ErrMalformedFrame, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return Heartbeat{}, err
	}
	return Decode(body)
}

// Decode decodes the buffer of a frame. All its errors are ErrMalformedFrame. It recovers from
// panics, since the FlatBuffers runtime has no verifier and its accessors panic on a malformed
// buffer.
func Decode(body []byte) (heartbeat Heartbeat, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			heartbeat, err = Heartbeat{}, fmt.Errorf("%w: %v", ErrMalformedFrame, cause)
		}
	}()
	if len(body) < minBodyBytes {
		return Heartbeat{}, ErrMalformedFrame
	}
	message := wire.GetRootAsBeat(body, 0)
	if len(message.Node()) == 0 || !hasPlausibleLengths(message, len(body)) {
		return Heartbeat{}, ErrMalformedFrame
	}
	heartbeat = Heartbeat{
		Node:              string(message.Node()),
		Incarnation:       message.Boot(),
		StoreSilentFor:    time.Duration(message.SilentMs()) * time.Millisecond,
		Synced:            message.Synced(),
		Shards:            decodeShards(message),
		Capacities:        decodeCapacities(message),
		RequestsPerSecond: float64(message.Requests()),
		WritesPerSecond:   float64(message.Changes()),
		FaultyJobs:        decodeStrings(message.BlamedLength(), message.Blamed),
		RequestedShards:   decodeStrings(message.WantsLength(), message.Wants),
		Leaving:           message.Leaving(),
		Suspects:          decodeStrings(message.SuspectsLength(), message.Suspects),
		AppliedRevision:   message.Reached(),
		CancelledJobs:     decodeCancelledJobs(message),
		MadeAtMicros:      message.MadeUs(),
		Observed:          decodeObserved(message),

		CancellationsKnownAfter: message.CancelledAfter(),
	}
	if chunk := message.Piece(nil); chunk != nil {
		if heartbeat.TransferChunk, err = decodeChunk(chunk, len(body)); err != nil {
			return Heartbeat{}, err
		}
	}
	return heartbeat, nil
}

// hasPlausibleLengths reports whether each vector claims at most as many items as the frame has
// bytes, so that a malformed frame cannot make the decoder run or allocate without bound.
func hasPlausibleLengths(message *wire.Beat, frameBytes int) bool {
	return max(message.SharesLength(), message.CountsLength(), message.BlamedLength(),
		message.WantsLength(), message.SuspectsLength(), message.CancelledLength(), message.SeenLength()) <= frameBytes
}

func decodeStrings(length int, itemAt func(int) []byte) []string {
	var decoded []string
	for i := range length {
		decoded = append(decoded, string(itemAt(i)))
	}
	return decoded
}

func decodeShards(message *wire.Beat) []Shard {
	var shards []Shard
	for i := range message.SharesLength() {
		var shard wire.Share
		message.Shares(&shard, i)
		shards = append(shards, Shard{ID: string(shard.Id()), Owner: string(shard.Holder()), Epoch: shard.Stamp()})
	}
	return shards
}

func decodeCapacities(message *wire.Beat) []ShapeCapacity {
	var capacities []ShapeCapacity
	for i := range message.CountsLength() {
		var count wire.Count
		message.Counts(&count, i)
		capacities = append(capacities, ShapeCapacity{
			CPU:         count.Cpu(),
			GPU:         count.Gpu(),
			Mem:         count.Mem(),
			Zone:        string(count.Zone()),
			Free:        int(count.Free()),
			Preemptible: int(count.Lent()),
		})
	}
	return capacities
}

func decodeCancelledJobs(message *wire.Beat) []CancelledJob {
	var jobs []CancelledJob
	for i := range message.CancelledLength() {
		var job wire.Cancelled
		message.Cancelled(&job, i)
		jobs = append(jobs, CancelledJob{
			Ref:             string(job.Job()),
			Revision:        job.Stamp(),
			CompletedTasks:  int(job.Done()),
			WorkersNotified: job.Told(),
		})
	}
	return jobs
}

func decodeObserved(message *wire.Beat) []ObservedHeartbeat {
	var observed []ObservedHeartbeat
	for i := range message.SeenLength() {
		var seen wire.Seen
		message.Seen(&seen, i)
		observed = append(observed, ObservedHeartbeat{Node: string(seen.Node()), Incarnation: seen.Boot(), MadeAtMicros: seen.MadeUs()})
	}
	return observed
}

// decodeChunk decodes a chunk. It rejects vectors with more items than the frame has bytes, like
// hasPlausibleLengths.
func decodeChunk(message *wire.Piece, frameBytes int) (*TransferChunk, error) {
	chunk := &TransferChunk{
		Shard: string(message.Share()),
		Epoch: message.Stamp(),
		Index: int(message.Index()),
		Total: int(message.Of()),
	}
	if message.MachinesLength() > frameBytes || chunk.Index >= chunk.Total {
		return nil, ErrMalformedFrame
	}
	for i := range message.MachinesLength() {
		var machine wire.Standing
		message.Machines(&machine, i)
		if machine.TasksLength() > frameBytes {
			return nil, ErrMalformedFrame
		}
		chunk.Machines = append(chunk.Machines, decodeMachine(&machine))
	}
	return chunk, nil
}

func decodeMachine(machine *wire.Standing) MachineSnapshot {
	flags := machine.Flags()
	snapshot := MachineSnapshot{
		Host:              string(machine.Host()),
		AgentEpoch:        machine.Session(),
		HeartbeatSeq:      machine.Report(),
		EndedAgentEpoch:   machine.Over(),
		Lost:              flags&machineLost != 0,
		Preempted:         flags&machinePreempted != 0,
		Drained:           flags&machineDrained != 0,
		Empty:             flags&machineEmpty != 0,
		AwaitingHeartbeat: flags&machineAwaitingHeartbeat != 0,
	}
	for i := range machine.TasksLength() {
		var task wire.Task
		machine.Tasks(&task, i)
		snapshot.Tasks = append(snapshot.Tasks, decodeTask(&task))
	}
	return snapshot
}

func decodeTask(task *wire.Task) TaskSnapshot {
	flags := task.Flags()
	return TaskSnapshot{
		Name:          string(task.Name()),
		Attempt:       task.Attempt(),
		Status:        workerapi.TaskState(task.Status()),
		StartSent:     flags&taskStartSent != 0,
		Reported:      flags&taskReported != 0,
		StopRequested: flags&taskStopRequested != 0,
		StopSent:      flags&taskStopSent != 0,
		GraceSeconds:  float64(task.Leeway()),
		Foreign:       flags&taskForeign != 0,
		RunningFor:    time.Duration(float64(task.Ran()) * float64(time.Second)),
	}
}
