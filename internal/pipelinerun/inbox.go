package pipelinerun

import (
	"sync"

	"cherrywall/internal/kvstore"
)

// inbox is an unbounded queue of the controller's events for the leader. A bounded queue could
// cause a deadlock: the controller's actor would wait for the leader while the leader waits for the
// controller's response.
type inbox struct {
	mu          sync.Mutex
	events      []kvstore.Event
	needsReload bool          // set if events were missed, so that all records have to be listed again
	eventSignal chan struct{} // receives a value when events are added
}

func newInbox() inbox { return inbox{eventSignal: make(chan struct{}, 1)} }

func (b *inbox) put(events []kvstore.Event, needsReload bool) {
	b.mu.Lock()
	b.events, b.needsReload = append(b.events, events...), b.needsReload || needsReload
	b.mu.Unlock()
	select {
	case b.eventSignal <- struct{}{}:
	default:
	}
}

func (b *inbox) take() (events []kvstore.Event, needsReload bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, needsReload = b.events, b.needsReload
	b.events, b.needsReload = nil, false
	return events, needsReload
}
