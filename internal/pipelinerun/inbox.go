package pipelinerun

import (
	"sync"

	"cherrywall/internal/kvstore"
)

// inbox queues the controller's events for the leader without a limit, so that the controller's actor
// never blocks on it: the leader waits for the controller's responses, and both would wait for ever.
type inbox struct {
	mu     sync.Mutex
	events []kvstore.Event
	reload bool          // events were missed
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
