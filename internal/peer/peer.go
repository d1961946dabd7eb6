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

	"cherrywall/internal/peer/wire"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Share is a share as a controller knows it.
type Share struct {
	ID, Holder string
	Stamp      uint64
}

// Count is how many more tasks of a shape fit in a zone.
type Count struct {
	CPU, GPU, Mem float64
	Zone          string
	Free, Lent    int
}

// Beat is one message.
type Beat struct {
	Node   string
	Boot   uint64
	Silent time.Duration // since the state service last answered
	Synced bool
	Shares []Share
	Counts []Count
	// Requests and Changes are what it asks of the state service at present, a second.
	Requests, Changes float64
	// Blamed are jobs that failed on several of its machines where others work.
	Blamed []string
	// Wants are the shares that are to be handed over to this controller.
	Wants []string
	// Leaving tells that the controller is about to end and gives its shares away.
	Leaving bool
	// Suspects are controllers that this one has not heard for suspiciously long.
	Suspects []string
	// Reached is the revision of the state service up to which the sender knows all changes.
	Reached uint64
	// Cancelled are jobs that were cancelled a moment ago.
	Cancelled []Cancelled
	// Piece is a part of a share that is handed over to the receiver, nil if none is.
	Piece *Piece
}

// Cancelled is a job that was cancelled, by the record of a revision.
type Cancelled struct {
	Ref   string
	Stamp uint64
	Done  int // tasks, then
	// Told is whether the sender's workers were told, as far as they can be reached.
	Told bool
}

// Brain is whom the beats are for and from.
type Brain interface {
	Beat() (Beat, bool)
	PeerSays(Beat)
}

// Encode makes a frame: the length in four bytes, then the buffer.
func Encode(b Beat) []byte {
	fb := flatbuffers.NewBuilder(512)
	shares := make([]flatbuffers.UOffsetT, len(b.Shares))
	for i, s := range b.Shares {
		id, holder := fb.CreateString(s.ID), fb.CreateString(s.Holder)
		wire.ShareStart(fb)
		wire.ShareAddId(fb, id)
		wire.ShareAddHolder(fb, holder)
		wire.ShareAddStamp(fb, s.Stamp)
		shares[i] = wire.ShareEnd(fb)
	}
	counts := make([]flatbuffers.UOffsetT, len(b.Counts))
	for i, c := range b.Counts {
		zone := fb.CreateString(c.Zone)
		wire.CountStart(fb)
		wire.CountAddCpu(fb, c.CPU)
		wire.CountAddGpu(fb, c.GPU)
		wire.CountAddMem(fb, c.Mem)
		wire.CountAddZone(fb, zone)
		wire.CountAddFree(fb, uint32(c.Free))
		wire.CountAddLent(fb, uint32(c.Lent))
		counts[i] = wire.CountEnd(fb)
	}
	names := func(all []string) []flatbuffers.UOffsetT {
		out := make([]flatbuffers.UOffsetT, len(all))
		for i, name := range all {
			out[i] = fb.CreateString(name)
		}
		return out
	}
	blamed, wants, suspects := names(b.Blamed), names(b.Wants), names(b.Suspects)
	var piece flatbuffers.UOffsetT
	if b.Piece != nil {
		piece = encodePiece(fb, b.Piece)
	}
	bv := vector(fb, wire.BeatStartBlamedVector, blamed)
	sv := vector(fb, wire.BeatStartSharesVector, shares)
	cv := vector(fb, wire.BeatStartCountsVector, counts)
	wv := vector(fb, wire.BeatStartWantsVector, wants)
	var uv flatbuffers.UOffsetT
	if len(suspects) > 0 {
		uv = vector(fb, wire.BeatStartSuspectsVector, suspects)
	}
	var nv flatbuffers.UOffsetT
	if len(b.Cancelled) > 0 {
		all := make([]flatbuffers.UOffsetT, len(b.Cancelled))
		for i, c := range b.Cancelled {
			ref := fb.CreateString(c.Ref)
			wire.CancelledStart(fb)
			wire.CancelledAddJob(fb, ref)
			wire.CancelledAddStamp(fb, c.Stamp)
			wire.CancelledAddDone(fb, uint32(c.Done))
			wire.CancelledAddTold(fb, c.Told)
			all[i] = wire.CancelledEnd(fb)
		}
		nv = vector(fb, wire.BeatStartCancelledVector, all)
	}
	node := fb.CreateString(b.Node)
	wire.BeatStart(fb)
	wire.BeatAddNode(fb, node)
	wire.BeatAddBoot(fb, b.Boot)
	wire.BeatAddSilentMs(fb, uint32(min(b.Silent.Milliseconds(), 1<<31)))
	wire.BeatAddSynced(fb, b.Synced)
	wire.BeatAddShares(fb, sv)
	wire.BeatAddCounts(fb, cv)
	wire.BeatAddRequests(fb, float32(b.Requests))
	wire.BeatAddChanges(fb, float32(b.Changes))
	wire.BeatAddBlamed(fb, bv)
	wire.BeatAddWants(fb, wv)
	wire.BeatAddLeaving(fb, b.Leaving)
	if uv != 0 {
		wire.BeatAddSuspects(fb, uv)
	}
	if b.Piece != nil {
		wire.BeatAddPiece(fb, piece)
	}
	wire.BeatAddReached(fb, b.Reached)
	if nv != 0 {
		wire.BeatAddCancelled(fb, nv)
	}
	fb.Finish(wire.BeatEnd(fb))
	body := fb.FinishedBytes()
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func vector(fb *flatbuffers.Builder, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT, items []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(fb, len(items))
	for i := len(items) - 1; i >= 0; i-- {
		fb.PrependUOffsetT(items[i])
	}
	return fb.EndVector(len(items))
}

var errBroken = errors.New("broken frame")

// Decode reads the buffer of a frame. The runtime has no verifier: a broken
// buffer makes its accessors panic, which is an error here.
func Decode(body []byte) (b Beat, err error) {
	defer func() {
		if r := recover(); r != nil {
			b, err = Beat{}, fmt.Errorf("%w: %v", errBroken, r)
		}
	}()
	if len(body) < 8 {
		return Beat{}, errBroken
	}
	w := wire.GetRootAsBeat(body, 0)
	b = Beat{Node: string(w.Node()), Boot: w.Boot(), Synced: w.Synced(), Leaving: w.Leaving(),
		Silent: time.Duration(w.SilentMs()) * time.Millisecond, Requests: float64(w.Requests()), Changes: float64(w.Changes()), Reached: w.Reached()}
	if b.Node == "" || w.SharesLength() > len(body) || w.CountsLength() > len(body) || w.BlamedLength() > len(body) ||
		w.WantsLength() > len(body) || w.SuspectsLength() > len(body) || w.CancelledLength() > len(body) {
		return Beat{}, errBroken
	}
	for i := range w.SharesLength() {
		var s wire.Share
		w.Shares(&s, i)
		b.Shares = append(b.Shares, Share{string(s.Id()), string(s.Holder()), s.Stamp()})
	}
	for i := range w.CountsLength() {
		var c wire.Count
		w.Counts(&c, i)
		b.Counts = append(b.Counts, Count{c.Cpu(), c.Gpu(), c.Mem(), string(c.Zone()), int(c.Free()), int(c.Lent())})
	}
	for i := range w.BlamedLength() {
		b.Blamed = append(b.Blamed, string(w.Blamed(i)))
	}
	for i := range w.WantsLength() {
		b.Wants = append(b.Wants, string(w.Wants(i)))
	}
	for i := range w.SuspectsLength() {
		b.Suspects = append(b.Suspects, string(w.Suspects(i)))
	}
	for i := range w.CancelledLength() {
		var c wire.Cancelled
		w.Cancelled(&c, i)
		b.Cancelled = append(b.Cancelled, Cancelled{string(c.Job()), c.Stamp(), int(c.Done()), c.Told()})
	}
	if p := w.Piece(nil); p != nil {
		if b.Piece, err = decodePiece(p, len(body)); err != nil {
			return Beat{}, err
		}
	}
	return b, nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Beat, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Beat{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > tuning.MaxFrame {
		return Beat{}, fmt.Errorf("%w: %d bytes", errBroken, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return Beat{}, err
	}
	return Decode(body)
}

// Listen takes the others' beats until ctx ends.
func Listen(ctx context.Context, ln net.Listener, brain Brain, log *slog.Logger) {
	go func() {
		<-ctx.Done()
		_ = ln.Close() // ends Accept
	}()
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			if state.Pause(ctx, tuning.RetryMin) != nil {
				return
			}
			continue
		}
		go receive(conn, brain, log)
	}
}

// receive reads one connection. A broken frame ends it, with one line.
func receive(conn net.Conn, brain Brain, log *slog.Logger) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(tuning.PeerIdle)); err != nil {
			return
		}
		b, err := ReadFrame(r)
		if err != nil {
			if errors.Is(err, errBroken) {
				log.Info("peer frame broken, connection closed", "from", conn.RemoteAddr().String(), "error", err)
			}
			return
		}
		brain.PeerSays(b)
	}
}

// Outbox holds the pieces of shares that are to be handed over, by receiver, until they are
// sent. What finds no room or no connection is lost: the giver asks again or takes the
// share back.
type Outbox map[string]chan *Piece

// NewOutbox makes one for the given receivers.
func NewOutbox(nodes ...string) Outbox {
	o := Outbox{}
	for _, n := range nodes {
		o[n] = make(chan *Piece, tuning.PiecesWaiting)
	}
	return o
}

// Put has pieces sent to a controller, and tells whether all found room.
func (o Outbox) Put(to string, pieces []*Piece) bool {
	for _, p := range pieces {
		select {
		case o[to] <- p:
		default:
			return false
		}
	}
	return true
}

// Send tells one other controller for ever: a beat every half second, and pieces at once.
func Send(ctx context.Context, addr string, pieces <-chan *Piece, brain Brain) {
	dialer := net.Dialer{Timeout: tuning.PeerTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			began := time.Now()
			talk(ctx, conn, pieces, brain)
			_ = conn.Close() // nothing is owed to a connection that failed
			if time.Since(began) > tuning.PeerTimeout {
				continue // it was one that worked: this process was held, perhaps
			}
		}
		if state.Pause(ctx, tuning.PeerTimeout) != nil {
			return
		}
	}
}

// talk uses a connection until it fails.
func talk(ctx context.Context, conn net.Conn, pieces <-chan *Piece, brain Brain) {
	var piece *Piece
	for ctx.Err() == nil {
		if b, ok := brain.Beat(); ok {
			b.Piece = piece
			if conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)) != nil {
				return
			}
			if _, err := conn.Write(Encode(b)); err != nil {
				return
			}
		}
		select {
		case piece = <-pieces:
		case <-time.After(tuning.BeatEvery):
			piece = nil
		case <-ctx.Done():
		}
	}
}
