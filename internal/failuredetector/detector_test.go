package failuredetector

import (
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

// cluster simulates three controllers: n0 and n1, whose detectors are under test, and n2, which
// they watch.
type cluster struct {
	now    time.Time
	n0, n1 *Detector
}

const simulationStep = 100 * time.Millisecond

func newCluster() *cluster {
	names := []string{"n0", "n1", "n2"}
	return &cluster{time.Unix(1000, 0), New("n0", names), New("n1", names)}
}

// newClusterWithHistory returns a cluster whose detectors have received heartbeats for 10 s.
func newClusterWithHistory() *cluster {
	c := newCluster()
	c.run(10*time.Second, traffic{n2HeartbeatsArrive: true, observerHeartbeatsArrive: true})
	return c
}

// traffic says which heartbeats arrive.
type traffic struct {
	n2HeartbeatsArrive, observerHeartbeatsArrive bool
	// n2Jitter is added to the 500 ms between n2's heartbeat at each full second and the next one.
	n2Jitter time.Duration
}

// run advances the time by duration in steps of simulationStep and delivers the heartbeats that
// traffic lists.
func (c *cluster) run(duration time.Duration, traffic traffic) {
	var delayedAt time.Time // when the delayed heartbeat of n2 arrives
	end := c.now.Add(duration)
	for step := 0; c.now.Before(end); step++ {
		for _, observer := range []struct {
			detector, peer *Detector
			peerName       string
		}{{c.n0, c.n1, "n1"}, {c.n1, c.n0, "n0"}} {
			observer.detector.Check(c.now, true)
			if traffic.observerHeartbeatsArrive && step%5 == 0 {
				observer.detector.ObserveHeartbeat(observer.peerName, observer.peer.Suspects(), false, c.now)
			}
			if traffic.n2HeartbeatsArrive && step%10 == 0 {
				delayedAt = c.now.Add(500*time.Millisecond + traffic.n2Jitter)
				observer.detector.ObserveHeartbeat("n2", nil, false, c.now)
			} else if traffic.n2HeartbeatsArrive && !delayedAt.IsZero() && !c.now.Before(delayedAt) {
				observer.detector.ObserveHeartbeat("n2", nil, false, c.now)
			}
		}
		c.now = c.now.Add(simulationStep)
	}
}

func TestFailureWhenAllOthersSuspect(t *testing.T) {
	c := newClusterWithHistory()
	start := c.now
	for !c.n0.HasFailed("n2", c.now) && c.now.Sub(start) < 10*time.Second {
		c.run(simulationStep, traffic{})
		c.n0.ObserveHeartbeat("n1", c.n1.Suspects(), false, c.now)
		c.n1.ObserveHeartbeat("n0", c.n0.Suspects(), false, c.now)
	}
	if took := c.now.Sub(start); took < tuning.MinSuspicionTimeout-time.Second || took > tuning.MinSuspicionTimeout+500*time.Millisecond {
		t.Errorf("the failure was detected after %v", took)
	}
	if c.n0.State("n2", c.now) != Failed || c.n0.State("n1", c.now) != Alive {
		t.Errorf("n2 %s, n1 %s", c.n0.State("n2", c.now), c.n0.State("n1", c.now))
	}
	c.run(time.Second, traffic{n2HeartbeatsArrive: true, observerHeartbeatsArrive: true})
	if c.n0.HasFailed("n2", c.now) || len(c.n0.Suspects()) > 0 {
		t.Error("still suspected after a heartbeat")
	}
}

func TestNoFailureWithoutAgreement(t *testing.T) {
	c := newClusterWithHistory()
	for range 60 { // n0 alone gets no heartbeats of n2
		c.now = c.now.Add(simulationStep)
		c.n0.Check(c.now, true)
		c.n0.ObserveHeartbeat("n1", nil, false, c.now)
		if c.n0.HasFailed("n2", c.now) {
			t.Fatal("failed although no other controller agrees")
		}
	}
	if c.n0.State("n2", c.now) != Suspected {
		t.Error("n2 is", c.n0.State("n2", c.now))
	}
	c.now = c.now.Add(5 * time.Second) // n0 gets no heartbeats at all
	c.n0.Check(c.now, true)
	if c.n0.HasFailed("n2", c.now) || c.n0.HasFailed("n1", c.now) {
		t.Error("failed although no other controller sent a heartbeat")
	}
}

func TestNoSuspicionByStalledController(t *testing.T) {
	c := newClusterWithHistory()
	c.now = c.now.Add(12 * time.Second)
	if c.n0.Check(c.now, true) || len(c.n0.Suspects()) > 0 {
		t.Error("suspected after a stall of its own process:", c.n0.Suspects())
	}
}

func TestNoSuspicionWithoutKeyValueStore(t *testing.T) {
	c := newClusterWithHistory()
	for range 40 {
		c.now = c.now.Add(simulationStep)
		if c.n0.Check(c.now, false) {
			t.Fatal("suspected without the key-value store:", c.n0.Suspects())
		}
	}
}

func TestNoSuspicionOfControllerSeenInStore(t *testing.T) {
	for name, observe := range map[string]func(d *Detector, now time.Time){
		"activity":    func(d *Detector, now time.Time) { d.ObserveActivity("n2", now) },
		"acquisition": func(d *Detector, _ time.Time) { d.ObserveAcquisition("n2") },
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterWithHistory()
			for range 60 {
				c.now = c.now.Add(simulationStep)
				c.n0.ObserveHeartbeat("n1", []string{"n2"}, false, c.now)
				observe(c.n0, c.now)
				if c.n0.Check(c.now, true) {
					t.Fatal("suspected")
				}
			}
		})
	}
}

func TestNoSuspicionOfLeavingController(t *testing.T) {
	c := newClusterWithHistory()
	c.n0.ObserveHeartbeat("n2", nil, true, c.now)
	c.run(3*time.Second, traffic{observerHeartbeatsArrive: true})
	if c.n0.State("n2", c.now) != Left || len(c.n0.Suspects()) > 0 {
		t.Error("n2 announced its shutdown and is", c.n0.State("n2", c.now))
	}
}

func TestHeartbeatTimeoutGrowsWithJitter(t *testing.T) {
	c := newCluster()
	c.run(60*time.Second, traffic{n2HeartbeatsArrive: true, observerHeartbeatsArrive: true, n2Jitter: 400 * time.Millisecond})
	if timeout := c.n0.peers["n2"].heartbeatTimeout(); timeout <= tuning.MinSuspicionTimeout || timeout > tuning.ControllerLeaseTTL {
		t.Error("the timeout with jitter is", timeout)
	}
}
