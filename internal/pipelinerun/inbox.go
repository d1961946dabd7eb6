package pipelinerun

import (
	"sync"

	"cherrywall/internal/kvstore"
)

// inbox is an unbounded queue of the controller's events for the leader. A bounded queue could
// cause a deadlock: the controller's actor would wait for the leader while the leader waits for the
// controller's response.
type inbox struct {
	mu     sync.Mutex
	events []kvstore.Event
	reload bool          // events were missed: list all records again
	notify chan struct{} // receives a message when events are added
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
