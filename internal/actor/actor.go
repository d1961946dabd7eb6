// Package loop is the mailbox of an actor: what is said to it is done one after the
// other, on one goroutine, which alone touches the actor's state and its slices'.
package actor

import (
	"context"
	"time"

	"cherrywall/internal/tuning"
)

// Mailbox takes what is said to the actor.
type Mailbox struct {
	ctx      context.Context
	messages chan func()
}

// New makes the mailbox. What is said after ctx has ended is lost.
func New(ctx context.Context) *Mailbox {
	return &Mailbox{ctx: ctx, messages: make(chan func(), tuning.MailboxCapacity)}
}

// Context ends with the actor.
func (l *Mailbox) Context() context.Context { return l.ctx }

// Messages is where the actor takes its messages from.
func (l *Mailbox) Messages() <-chan func() { return l.messages }

// Send has something done by the actor. It waits while the mailbox is full, so the
// actor itself must not call it.
func (l *Mailbox) Send(do func()) {
	select {
	case l.messages <- do:
	case <-l.ctx.Done():
	}
}

// SendAfter has something done by the actor after a while; it may be stopped until then.
func (l *Mailbox) SendAfter(d time.Duration, do func()) *time.Timer {
	return time.AfterFunc(d, func() { l.Send(do) })
}

// Ask has the actor compute an answer and waits for it; ok is false if the actor ends
// before.
func Ask[T any](l *Mailbox, compute func() T) (answer T, ok bool) {
	out := make(chan T, 1)
	l.Send(func() { out <- compute() })
	select {
	case answer = <-out:
		return answer, true
	case <-l.ctx.Done():
		return answer, false
	}
}
