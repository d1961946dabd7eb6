package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"
)

// channelController sends the heartbeats that it receives to a channel, as long as the channel has
// room.
type channelController struct{ heartbeats chan Heartbeat }

func (c channelController) PeerHeartbeat() (Heartbeat, bool) { return Heartbeat{Node: "n0"}, true }

func (c channelController) HandlePeerHeartbeat(heartbeat Heartbeat) {
	select {
	case c.heartbeats <- heartbeat:
	default:
	}
}

func TestHeartbeatCarriesQueuedChunk(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	controller := channelController{heartbeats: make(chan Heartbeat, 100)}
	outbox := NewOutbox("n1")
	if !outbox.Enqueue("n1", []*TransferChunk{sampleChunk}) {
		t.Fatal("no room in an empty outbox")
	}
	serveReturned := make(chan struct{})
	go func() {
		defer close(serveReturned)
		Serve(ctx, listener, controller, slog.New(slog.DiscardHandler))
	}()
	go SendHeartbeats(ctx, listener.Addr().String(), outbox["n1"], controller)
	deadline := time.After(10 * time.Second)
	for received := false; !received; {
		select {
		case heartbeat := <-controller.heartbeats:
			received = heartbeat.TransferChunk != nil && heartbeat.TransferChunk.Shard == sampleChunk.Shard
		case <-deadline:
			t.Fatal("the chunk did not arrive")
		}
	}
	stop()
	select {
	case <-serveReturned:
	case <-time.After(10 * time.Second):
		t.Error("Listen did not return after its context ended")
	}
}

func TestOutboxCapacityIsBounded(t *testing.T) {
	outbox := NewOutbox("n1")
	for range cap(outbox["n1"]) {
		if !outbox.Enqueue("n1", []*TransferChunk{nil}) {
			t.Fatal("the outbox is full too early")
		}
	}
	if outbox.Enqueue("n1", []*TransferChunk{nil}) {
		t.Error("a chunk was queued in a full outbox")
	}
}
