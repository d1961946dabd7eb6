package soak

import (
	"context"
	"io"
	"net"
	"sync"
)

// peerLink carries the connections from one controller to another. It is safe for concurrent use.
type peerLink struct {
	mu               sync.Mutex
	isCut            bool
	isHeld           bool
	holdChangeSignal chan struct{}     // closed at the next call of SetHeld
	openConns        map[net.Conn]bool // both connections of each forwarded connection: to the sender and to the receiver
}

func newPeerLink() *peerLink {
	return &peerLink{holdChangeSignal: make(chan struct{}), openConns: map[net.Conn]bool{}}
}

// SetCut cuts the link, or restores it. Cutting the link closes its connections.
func (l *peerLink) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
	if on {
		for conn := range l.openConns {
			_ = conn.Close()
		}
	}
}

// SetHeld makes the link hold the data that is sent if on is true. Otherwise it delivers the held
// data and ends the hold.
func (l *peerLink) SetHeld(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isHeld = on
	close(l.holdChangeSignal)
	l.holdChangeSignal = make(chan struct{})
}

// serve accepts connections and forwards them to addr until ctx ends.
func (l *peerLink) serve(ctx context.Context, listener net.Listener, addr string) {
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.SetCut(true)
	})
	for {
		incoming, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxyConnection(ctx, incoming, addr)
	}
}

// proxyConnection forwards one connection to addr in both directions until one side closes it or the link is
// cut.
func (l *peerLink) proxyConnection(ctx context.Context, incoming net.Conn, addr string) {
	defer func() { _ = incoming.Close() }()
	var dialer net.Dialer
	outgoing, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = outgoing.Close() }()
	if !l.addConns(incoming, outgoing) {
		return
	}
	defer l.removeConns(incoming, outgoing)
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{incoming, outgoing}, {outgoing, incoming}} {
		go func() {
			l.forward(ctx, direction[0], direction[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// addConns records the two connections of a forwarded connection. It returns false, and records nothing, if the
// link is cut.
func (l *peerLink) addConns(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return false
	}
	for _, conn := range conns {
		l.openConns[conn] = true
	}
	return true
}

func (l *peerLink) removeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.openConns, conn)
	}
}

// forward copies data from one side to the other until a side is closed or ctx ends. While the link is held,
// it waits before it writes.
func (l *peerLink) forward(ctx context.Context, from io.Reader, to io.Writer) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil || l.waitUntilReleased(ctx) != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// waitUntilReleased waits until the link is not held. It returns the error of ctx if ctx ends first.
func (l *peerLink) waitUntilReleased(ctx context.Context) error {
	for {
		l.mu.Lock()
		isHeld, holdChangeSignal := l.isHeld, l.holdChangeSignal
		l.mu.Unlock()
		if !isHeld {
			return nil
		}
		select {
		case <-holdChangeSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
