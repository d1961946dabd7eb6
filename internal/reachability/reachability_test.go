package reachability

import (
	"testing"
	"time"
)

// A line that comes and goes: each return takes longer than the one before.
func TestEachReturnTakesLonger(t *testing.T) {
	now := time.Now()
	m := &Monitor{}
	m.ObserveHeartbeat(now)
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(250 * time.Millisecond)
			m.Tick(now)
		}
	}
	var last time.Duration
	for round := range 3 {
		pass(5 * time.Second)
		if !m.ShouldProbe(now, 100, 5*time.Second) {
			t.Fatal("not asked after 5 s of silence")
		}
		m.ProbeStarted()
		if m.ShouldProbe(now, 100, 5*time.Second) {
			t.Error("asked twice at a time")
		}
		if c := m.ProbeFinished(false, now, now, true); c != Unreachable {
			t.Fatalf("round %d: %v", round, c)
		}
		took := time.Duration(0)
		for c := NoTransition; c != Restored; took += time.Second {
			pass(time.Second)
			if !m.ShouldProbe(now, 100, 5*time.Second) {
				continue
			}
			m.ProbeStarted()
			c = m.ProbeFinished(true, now, now, true)
		}
		if took <= last {
			t.Errorf("round %d: back after %v, before after %v", round, took, last)
		}
		last = took
	}
}

func TestAHeldProcessBlamesNobody(t *testing.T) {
	now := time.Now()
	m := &Monitor{}
	m.Tick(now)
	m.ObserveHeartbeat(now)
	now = now.Add(time.Minute)
	m.Tick(now)
	if m.ShouldProbe(now, 100, 5*time.Second) {
		t.Error("workers are blamed for a minute in which the process stood still")
	}
	if c := m.ProbeFinished(false, now.Add(-10*time.Second), now, true); c != NoTransition {
		t.Errorf("an answer that took 10 s leads to %v", c)
	}
}
