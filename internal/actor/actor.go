// Package actor provides the mailbox of an actor. The functions that are sent to the mailbox are called
// one after another on the actor's goroutine, the only one that reads and writes the actor's state.
package actor

import (
	"context"
	"time"

	"cherrywall/internal/tuning"
)

// Mailbox queues functions for an actor. It is safe for concurrent use.
type Mailbox struct {
	ctx      context.Context
	messages chan func()
}

// New returns an empty mailbox of an actor that ends when ctx ends. Functions that are sent after the end
// of ctx are not called.
func New(ctx context.Context) *Mailbox {
	return &Mailbox{ctx: ctx, messages: make(chan func(), tuning.MailboxCapacity)}
}

// Context returns the context whose end also ends the actor.
func (m *Mailbox) Context() context.Context { return m.ctx }

// Messages returns the channel from which the actor receives the functions. The actor must call each of
// them.
func (m *Mailbox) Messages() <-chan func() { return m.messages }

// Send queues a function for the actor to call. It blocks while the mailbox is full, so the actor itself
// must not call Send: it would deadlock.
func (m *Mailbox) Send(message func()) {
	select {
	case m.messages <- message:
	case <-m.ctx.Done():
	}
}

// SendAfter queues a function for the actor to call after a delay. If the returned timer is stopped before
// the delay has passed, the function is not queued.
func (m *Mailbox) SendAfter(delay time.Duration, message func()) *time.Timer {
	return time.AfterFunc(delay, func() { m.Send(message) })
}

// Ask has the actor call compute, waits for the call and returns its result. ok is false if the actor ends
// before the result is available. The actor itself must not call Ask, since it would deadlock.
func Ask[T any](m *Mailbox, compute func() T) (answer T, ok bool) {
	answers := make(chan T, 1)
	m.Send(func() { answers <- compute() })
	select {
	case answer = <-answers:
		return answer, true
	case <-m.ctx.Done():
		return answer, false
	}
}
