// Package actor provides the mailbox of an actor: functions that are sent to it run one after
// another on the actor's goroutine, which alone reads and writes the actor's state.
package actor

import (
	"context"
	"time"

	"cherrywall/internal/tuning"
)

// Mailbox queues functions for an actor. Its methods may be called concurrently.
type Mailbox struct {
	ctx      context.Context
	messages chan func()
}

// New returns an empty mailbox of an actor that ends with ctx. Functions that are sent after ctx has
// ended are not run.
func New(ctx context.Context) *Mailbox {
	return &Mailbox{ctx: ctx, messages: make(chan func(), tuning.MailboxCapacity)}
}

// Context returns the context with which the actor ends.
func (m *Mailbox) Context() context.Context { return m.ctx }

// Messages returns the channel from which the actor receives the functions, each of which it has
// to call.
func (m *Mailbox) Messages() <-chan func() { return m.messages }

// Send has the actor call a function. It blocks while the mailbox is full, so the actor itself must
// not call it: the actor would wait for itself.
func (m *Mailbox) Send(do func()) {
	select {
	case m.messages <- do:
	case <-m.ctx.Done():
	}
}

// SendAfter has the actor call a function after a delay. Stopping the returned timer before that
// prevents it.
func (m *Mailbox) SendAfter(delay time.Duration, do func()) *time.Timer {
	return time.AfterFunc(delay, func() { m.Send(do) })
}

// Ask has the actor compute an answer and waits for it. ok is false if the actor ends first. The
// actor itself must not use it.
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
