package actor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// runActor calls the functions that are sent to a mailbox until the mailbox's context ends.
func runActor(m *Mailbox) {
	for {
		select {
		case message := <-m.Messages():
			message()
		case <-m.Context().Done():
			return
		}
	}
}

func TestAskReturnsAnswerAfterEarlierMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(t.Context())
		go runActor(m)
		state := 0
		m.Send(func() { state = 1 })
		m.SendAfter(time.Second, func() { state = 2 })
		if answer, ok := Ask(m, func() int { return state }); !ok || answer != 1 {
			t.Errorf("answer %d, ok %v", answer, ok)
		}
		time.Sleep(time.Second + time.Millisecond)
		if answer, ok := Ask(m, func() int { return state }); !ok || answer != 2 {
			t.Errorf("answer %d, ok %v after the delay", answer, ok)
		}
	})
}

func TestStoppedTimerSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(t.Context())
		m.SendAfter(time.Second, func() {}).Stop()
		time.Sleep(2 * time.Second)
		if queuedCount := len(m.Messages()); queuedCount > 0 {
			t.Errorf("%d messages were sent", queuedCount)
		}
	})
}

// Send and Ask don't block after the actor has ended, even if its mailbox is full.
func TestEndedActorDropsMessages(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	m := New(ctx)
	for range tuning.MailboxCapacity {
		m.Send(func() {})
	}
	stop()
	m.Send(func() { t.Error("an ended actor called a function") })
	if _, ok := Ask(m, func() int { return 1 }); ok {
		t.Error("an ended actor answered")
	}
}
