package soak

import (
	"context"
	"io"
	"net"
	"sync"
)

// peerLink carries the connections from one controller to another. It is safe for concurrent use.
type peerLink struct {
	mu      sync.Mutex
	isCut   bool
	isHeld  bool
	changed chan struct{} // closed at the next change
	open    map[net.Conn]bool
}

func newPeerLink() *peerLink {
	return &peerLink{changed: make(chan struct{}), open: map[net.Conn]bool{}}
}

// SetCut cuts the link, which closes its connections, or restores it.
func (l *peerLink) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
	if on {
		for conn := range l.open {
			_ = conn.Close()
		}
	}
}

// Hold begins to hold what is sent, or delivers it.
func (l *peerLink) Hold(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isHeld = on
	close(l.changed)
	l.changed = make(chan struct{})
}

// serve accepts connections and passes them on to an address until ctx ends.
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
		go l.carry(ctx, incoming, addr)
	}
}

// carry passes one connection on, both ways, until one side closes it.
func (l *peerLink) carry(ctx context.Context, incoming net.Conn, addr string) {
	defer func() { _ = incoming.Close() }()
	var dialer net.Dialer
	outgoing, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = outgoing.Close() }()
	if !l.add(incoming, outgoing) {
		return
	}
	defer l.remove(incoming, outgoing)
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{incoming, outgoing}, {outgoing, incoming}} {
		go func() {
			l.copy(ctx, direction[0], direction[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// add notes the two ends of a connection, and returns false if the link is cut.
func (l *peerLink) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return false
	}
	for _, conn := range conns {
		l.open[conn] = true
	}
	return true
}

func (l *peerLink) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.open, conn)
	}
}

// copy passes on what one side sends, while the link does not hold it.
func (l *peerLink) copy(ctx context.Context, from io.Reader, to io.Writer) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil || l.awaitRelease(ctx) != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (l *peerLink) awaitRelease(ctx context.Context) error {
	for {
		l.mu.Lock()
		isHeld, changed := l.isHeld, l.changed
		l.mu.Unlock()
		if !isHeld {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
