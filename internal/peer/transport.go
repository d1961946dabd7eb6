package peer

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Controller is the part of the local controller that the transport needs. Its methods are called
// concurrently.
type Controller interface {
	// PeerHeartbeat returns the heartbeat to be sent now; ok is false if there is none, because
	// the controller is shutting down.
	PeerHeartbeat() (heartbeat Heartbeat, ok bool)
	// HandlePeerHeartbeat handles a heartbeat that was received.
	HandlePeerHeartbeat(heartbeat Heartbeat)
}

// Serve accepts connections of other controllers and passes their heartbeats to controller until
// ctx ends. It closes the listener.
func Serve(ctx context.Context, listener net.Listener, controller Controller, log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends Accept
	defer stop()
	defer func() { _ = listener.Close() }()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if kvstore.Sleep(ctx, tuning.MinRetryDelay) != nil {
				return
			}
			continue
		}
		go receiveHeartbeats(ctx, conn, controller, log)
	}
}

// receiveHeartbeats reads one connection until it fails, is idle for too long or ctx ends.
func receiveHeartbeats(ctx context.Context, conn net.Conn, controller Controller, log *slog.Logger) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends ReadFrame
	defer stop()
	defer func() { _ = conn.Close() }() // nothing is written to conn, so no data can be lost
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(tuning.PeerIdleTimeout)); err != nil {
			return
		}
		heartbeat, err := ReadFrame(reader)
		if err != nil {
			if errors.Is(err, ErrMalformedFrame) {
				log.Info("malformed peer frame, closing connection", "remote_addr", conn.RemoteAddr().String(), "error", err)
			}
			return
		}
		controller.HandlePeerHeartbeat(heartbeat)
	}
}

// SendHeartbeats sends heartbeats to another controller until ctx ends, and reconnects whenever the
// connection fails. It sends a heartbeat every tuning.PeerHeartbeatInterval. As soon as it receives
// a chunk from chunks, it sends a further heartbeat that carries the chunk.
func SendHeartbeats(ctx context.Context, addr string, chunks <-chan *TransferChunk, controller Controller) {
	dialer := net.Dialer{Timeout: tuning.PeerTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			connectedAt := time.Now()
			streamHeartbeats(ctx, conn, chunks, controller)
			_ = conn.Close() // unsent data is out of date by the time of the next connection
			if time.Since(connectedAt) > tuning.PeerTimeout {
				// The connection has worked. It may have failed because this process was stalled,
				// and then the peer should get a heartbeat again without delay.
				continue
			}
		}
		if kvstore.Sleep(ctx, tuning.PeerTimeout) != nil {
			return
		}
	}
}

// streamHeartbeats sends heartbeats over a connection until it fails or ctx ends.
func streamHeartbeats(ctx context.Context, conn net.Conn, chunks <-chan *TransferChunk, controller Controller) {
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
		case chunk = <-chunks:
		case <-time.After(tuning.PeerHeartbeatInterval):
			chunk = nil
		case <-ctx.Done():
		}
	}
}
