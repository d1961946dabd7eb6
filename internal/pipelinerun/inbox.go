package pipelinerun

import (
	"sync"

	"cherrywall/internal/kvstore"
)

// inbox takes the controller's events without ever blocking its actor: that one would wait for
// the leader, which waits for the controller's responses.
type inbox struct {
	mu     sync.Mutex
	events []kvstore.Event
	reload bool
	notify chan struct{} // has a message while the inbox is not empty
}

func newInbox() inbox { return inbox{notify: make(chan struct{}, 1)} }

func (b *inbox) put(events []kvstore.Event, reload bool) {
	b.mu.Lock()
	b.events, b.reload = append(b.events, events...), b.reload || reload
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

func (b *inbox) take() (events []kvstore.Event, reload bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, reload = b.events, b.reload
	b.events, b.reload = nil, false
	return events, reload
}
