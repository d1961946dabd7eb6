package reachability

import (
	"testing"
	"time"
)

const (
	workerCount       = 100
	heartbeatInterval = 5 * time.Second
)

// If a link fails and recovers repeatedly, each restoration takes longer than the previous one.
func TestBackoffGrowsWithRepeatedLoss(t *testing.T) {
	now := time.Now()
	m := &Monitor{}
	m.ObserveHeartbeat(now)
	advance := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(250 * time.Millisecond)
			m.Tick(now)
		}
	}
	var previousRestoreTime time.Duration
	for round := range 3 {
		advance(5 * time.Second)
		if !m.ShouldProbe(now, workerCount, heartbeatInterval) {
			t.Fatal("no probe after 5 s without a heartbeat")
		}
		m.RecordProbeStart()
		if m.ShouldProbe(now, workerCount, heartbeatInterval) {
			t.Error("a second probe is started while one is under way")
		}
		if transition := m.RecordProbeResult(false, now, now, true); transition != Unreachable {
			t.Fatalf("round %d: %v", round, transition)
		}
		restoreTime := time.Duration(0)
		for transition := NoTransition; transition != Restored; restoreTime += time.Second {
			advance(time.Second)
			if !m.ShouldProbe(now, workerCount, heartbeatInterval) {
				continue
			}
			m.RecordProbeStart()
			transition = m.RecordProbeResult(true, now, now, true)
		}
		if restoreTime <= previousRestoreTime {
			t.Errorf("round %d: restored after %v, in the previous round after %v", round, restoreTime, previousRestoreTime)
		}
		previousRestoreTime = restoreTime
	}
}

func TestProcessStallIsNoLossOfContact(t *testing.T) {
	now := time.Now()
	m := &Monitor{}
	m.Tick(now)
	m.ObserveHeartbeat(now)
	now = now.Add(time.Minute)
	m.Tick(now)
	if m.ShouldProbe(now, workerCount, heartbeatInterval) {
		t.Error("a probe is started after the process was stalled for a minute")
	}
	if transition := m.RecordProbeResult(false, now.Add(-10*time.Second), now, true); transition != NoTransition {
		t.Errorf("a probe that took 10 s leads to %v", transition)
	}
}
