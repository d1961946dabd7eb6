// Package peer is what controllers tell each other: small FlatBuffers frames
// over TCP. Nothing that keeps a rule rests on them; they tell a cut from an
// outage, and who has the best room for a gang.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/peer/wire"
	"cherrywall/internal/tuning"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Shard is a share as a controller knows it.
type Shard struct {
	ID, Owner string
	Epoch     uint64
}

// ShapeCapacity is how many more tasks of a shape fit in a zone.
type ShapeCapacity struct {
	CPU, GPU, Mem     float64
	Zone              string
	Free, Preemptible int
}

// Heartbeat is one message.
type Heartbeat struct {
	Node           string
	Incarnation    uint64
	StoreSilentFor time.Duration // since the state service last answered
	Synced         bool
	Shards         []Shard
	Capacities     []ShapeCapacity
	// RequestsPerSecond and Changes are what it asks of the state service at present, a second.
	RequestsPerSecond, WritesPerSecond float64
	// FaultyJobs are jobs that failed on several of its machines where others work.
	FaultyJobs []string
	// RequestedShards are the shares that are to be handed over to this controller.
	RequestedShards []string
	// Leaving tells that the controller is about to end and gives its shares away.
	Leaving bool
	// Suspects are controllers that this one has not heard for suspiciously long.
	Suspects []string
	// AppliedRevision is the revision of the state service up to which the sender knows all changes.
	AppliedRevision uint64
	// CancelledJobs are jobs that were cancelled a moment ago.
	CancelledJobs []CancelledJob
	// TransferChunk is a part of a share that is handed over to the receiver, nil if none is.
	TransferChunk *TransferChunk
}

// CancelledJob is a job that was cancelled, by the record of a revision.
type CancelledJob struct {
	Ref            string
	Revision       uint64
	CompletedTasks int // tasks, then
	// WorkersNotified is whether the sender's workers were told, as far as they can be reached.
	WorkersNotified bool
}

// Controller is whom the beats are for and from.
type Controller interface {
	PeerHeartbeat() (Heartbeat, bool)
	HandlePeerHeartbeat(Heartbeat)
}

// Encode makes a frame: the length in four bytes, then the buffer.
func Encode(heartbeat Heartbeat) []byte {
	builder := flatbuffers.NewBuilder(512)
	shares := make([]flatbuffers.UOffsetT, len(heartbeat.Shards))
	for i, shard := range heartbeat.Shards {
		id, holder := builder.CreateString(shard.ID), builder.CreateString(shard.Owner)
		wire.ShareStart(builder)
		wire.ShareAddId(builder, id)
		wire.ShareAddHolder(builder, holder)
		wire.ShareAddStamp(builder, shard.Epoch)
		shares[i] = wire.ShareEnd(builder)
	}
	counts := make([]flatbuffers.UOffsetT, len(heartbeat.Capacities))
	for i, capacity := range heartbeat.Capacities {
		zone := builder.CreateString(capacity.Zone)
		wire.CountStart(builder)
		wire.CountAddCpu(builder, capacity.CPU)
		wire.CountAddGpu(builder, capacity.GPU)
		wire.CountAddMem(builder, capacity.Mem)
		wire.CountAddZone(builder, zone)
		wire.CountAddFree(builder, uint32(capacity.Free))
		wire.CountAddLent(builder, uint32(capacity.Preemptible))
		counts[i] = wire.CountEnd(builder)
	}
	names := func(all []string) []flatbuffers.UOffsetT {
		out := make([]flatbuffers.UOffsetT, len(all))
		for i, name := range all {
			out[i] = builder.CreateString(name)
		}
		return out
	}
	blamed, wants, suspects := names(heartbeat.FaultyJobs), names(heartbeat.RequestedShards), names(heartbeat.Suspects)
	var piece flatbuffers.UOffsetT
	if heartbeat.TransferChunk != nil {
		piece = encodeChunk(builder, heartbeat.TransferChunk)
	}
	bv := buildVector(builder, wire.BeatStartBlamedVector, blamed)
	sv := buildVector(builder, wire.BeatStartSharesVector, shares)
	cv := buildVector(builder, wire.BeatStartCountsVector, counts)
	wv := buildVector(builder, wire.BeatStartWantsVector, wants)
	var uv flatbuffers.UOffsetT
	if len(suspects) > 0 {
		uv = buildVector(builder, wire.BeatStartSuspectsVector, suspects)
	}
	var nv flatbuffers.UOffsetT
	if len(heartbeat.CancelledJobs) > 0 {
		all := make([]flatbuffers.UOffsetT, len(heartbeat.CancelledJobs))
		for i, job := range heartbeat.CancelledJobs {
			ref := builder.CreateString(job.Ref)
			wire.CancelledStart(builder)
			wire.CancelledAddJob(builder, ref)
			wire.CancelledAddStamp(builder, job.Revision)
			wire.CancelledAddDone(builder, uint32(job.CompletedTasks))
			wire.CancelledAddTold(builder, job.WorkersNotified)
			all[i] = wire.CancelledEnd(builder)
		}
		nv = buildVector(builder, wire.BeatStartCancelledVector, all)
	}
	node := builder.CreateString(heartbeat.Node)
	wire.BeatStart(builder)
	wire.BeatAddNode(builder, node)
	wire.BeatAddBoot(builder, heartbeat.Incarnation)
	wire.BeatAddSilentMs(builder, uint32(min(heartbeat.StoreSilentFor.Milliseconds(), 1<<31)))
	wire.BeatAddSynced(builder, heartbeat.Synced)
	wire.BeatAddShares(builder, sv)
	wire.BeatAddCounts(builder, cv)
	wire.BeatAddRequests(builder, float32(heartbeat.RequestsPerSecond))
	wire.BeatAddChanges(builder, float32(heartbeat.WritesPerSecond))
	wire.BeatAddBlamed(builder, bv)
	wire.BeatAddWants(builder, wv)
	wire.BeatAddLeaving(builder, heartbeat.Leaving)
	if uv != 0 {
		wire.BeatAddSuspects(builder, uv)
	}
	if heartbeat.TransferChunk != nil {
		wire.BeatAddPiece(builder, piece)
	}
	wire.BeatAddReached(builder, heartbeat.AppliedRevision)
	if nv != 0 {
		wire.BeatAddCancelled(builder, nv)
	}
	builder.Finish(wire.BeatEnd(builder))
	body := builder.FinishedBytes()
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func buildVector(builder *flatbuffers.Builder, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT, items []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(builder, len(items))
	for i := len(items) - 1; i >= 0; i-- {
		builder.PrependUOffsetT(items[i])
	}
	return builder.EndVector(len(items))
}

var errMalformedFrame = errors.New("broken frame")

// Decode reads the buffer of a frame. The runtime has no verifier: a broken
// buffer makes its accessors panic, which is an error here.
func Decode(body []byte) (heartbeat Heartbeat, err error) {
	defer func() {
		if r := recover(); r != nil {
			heartbeat, err = Heartbeat{}, fmt.Errorf("%w: %v", errMalformedFrame, r)
		}
	}()
	if len(body) < 8 {
		return Heartbeat{}, errMalformedFrame
	}
	message := wire.GetRootAsBeat(body, 0)
	heartbeat = Heartbeat{Node: string(message.Node()), Incarnation: message.Boot(), Synced: message.Synced(), Leaving: message.Leaving(),
		StoreSilentFor: time.Duration(message.SilentMs()) * time.Millisecond, RequestsPerSecond: float64(message.Requests()), WritesPerSecond: float64(message.Changes()), AppliedRevision: message.Reached()}
	if heartbeat.Node == "" || message.SharesLength() > len(body) || message.CountsLength() > len(body) || message.BlamedLength() > len(body) ||
		message.WantsLength() > len(body) || message.SuspectsLength() > len(body) || message.CancelledLength() > len(body) {
		return Heartbeat{}, errMalformedFrame
	}
	for i := range message.SharesLength() {
		var s wire.Share
		message.Shares(&s, i)
		heartbeat.Shards = append(heartbeat.Shards, Shard{string(s.Id()), string(s.Holder()), s.Stamp()})
	}
	for i := range message.CountsLength() {
		var c wire.Count
		message.Counts(&c, i)
		heartbeat.Capacities = append(heartbeat.Capacities, ShapeCapacity{c.Cpu(), c.Gpu(), c.Mem(), string(c.Zone()), int(c.Free()), int(c.Lent())})
	}
	for i := range message.BlamedLength() {
		heartbeat.FaultyJobs = append(heartbeat.FaultyJobs, string(message.Blamed(i)))
	}
	for i := range message.WantsLength() {
		heartbeat.RequestedShards = append(heartbeat.RequestedShards, string(message.Wants(i)))
	}
	for i := range message.SuspectsLength() {
		heartbeat.Suspects = append(heartbeat.Suspects, string(message.Suspects(i)))
	}
	for i := range message.CancelledLength() {
		var c wire.Cancelled
		message.Cancelled(&c, i)
		heartbeat.CancelledJobs = append(heartbeat.CancelledJobs, CancelledJob{string(c.Job()), c.Stamp(), int(c.Done()), c.Told()})
	}
	if p := message.Piece(nil); p != nil {
		if heartbeat.TransferChunk, err = decodeChunk(p, len(body)); err != nil {
			return Heartbeat{}, err
		}
	}
	return heartbeat, nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Heartbeat, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Heartbeat{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > tuning.MaxPeerFrameBytes {
		return Heartbeat{}, fmt.Errorf("%w: %d bytes", errMalformedFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return Heartbeat{}, err
	}
	return Decode(body)
}

// Listen takes the others' beats until ctx ends.
func Listen(ctx context.Context, ln net.Listener, controller Controller, log *slog.Logger) {
	go func() {
		<-ctx.Done()
		_ = ln.Close() // ends Accept
	}()
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			if kvstore.Pause(ctx, tuning.MinRetryDelay) != nil {
				return
			}
			continue
		}
		go receiveHeartbeats(conn, controller, log)
	}
}

// receiveHeartbeats reads one connection. A broken frame ends it, with one line.
func receiveHeartbeats(conn net.Conn, controller Controller, log *slog.Logger) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(tuning.PeerIdleTimeout)); err != nil {
			return
		}
		heartbeat, err := ReadFrame(r)
		if err != nil {
			if errors.Is(err, errMalformedFrame) {
				log.Info("peer frame broken, connection closed", "from", conn.RemoteAddr().String(), "error", err)
			}
			return
		}
		controller.HandlePeerHeartbeat(heartbeat)
	}
}

// Outbox holds the pieces of shares that are to be handed over, by receiver, until they are
// sent. What finds no room or no connection is lost: the giver asks again or takes the
// share back.
type Outbox map[string]chan *TransferChunk

// NewOutbox makes one for the given receivers.
func NewOutbox(nodes ...string) Outbox {
	o := Outbox{}
	for _, n := range nodes {
		o[n] = make(chan *TransferChunk, tuning.MaxPendingTransferChunks)
	}
	return o
}

// Enqueue has pieces sent to a controller, and tells whether all found room.
func (o Outbox) Enqueue(to string, chunks []*TransferChunk) bool {
	for _, chunk := range chunks {
		select {
		case o[to] <- chunk:
		default:
			return false
		}
	}
	return true
}

// SendHeartbeats tells one other controller for ever: a beat every half second, and pieces at once.
func SendHeartbeats(ctx context.Context, addr string, pieces <-chan *TransferChunk, controller Controller) {
	dialer := net.Dialer{Timeout: tuning.PeerTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			began := time.Now()
			streamHeartbeats(ctx, conn, pieces, controller)
			_ = conn.Close() // nothing is owed to a connection that failed
			if time.Since(began) > tuning.PeerTimeout {
				continue // it was one that worked: this process was held, perhaps
			}
		}
		if kvstore.Pause(ctx, tuning.PeerTimeout) != nil {
			return
		}
	}
}

// streamHeartbeats uses a connection until it fails.
func streamHeartbeats(ctx context.Context, conn net.Conn, pieces <-chan *TransferChunk, controller Controller) {
	var chunk *TransferChunk
	for ctx.Err() == nil {
		if heartbeat, ok := controller.PeerHeartbeat(); ok {
			heartbeat.TransferChunk = chunk
			if conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)) != nil {
				return
			}
			if _, err := conn.Write(Encode(heartbeat)); err != nil {
				return
			}
		}
		select {
		case chunk = <-pieces:
		case <-time.After(tuning.PeerHeartbeatInterval):
			chunk = nil
		case <-ctx.Done():
		}
	}
}
