package failuredetector

import (
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

// three are three controllers that hear one another; the tale is told of n0 and n1, who
// watch n2.
type three struct {
	now    time.Time
	n0, n1 *Detector
}

func newThree() *three {
	names := []string{"n0", "n1", "n2"}
	return &three{time.Unix(1000, 0), New("n0", names), New("n1", names)}
}

// pass lets time pass. n2 speaks if it does, and n0 and n1 hear each other if they do; extra
// is by how much each second beat of n2 is late.
func (w *three) pass(d time.Duration, n2, talk bool, extra time.Duration) {
	var due2 time.Time
	for end, k := w.now.Add(d), 0; w.now.Before(end); w.now, k = w.now.Add(100*time.Millisecond), k+1 {
		for _, x := range []struct{ at, other *Detector }{{w.n0, w.n1}, {w.n1, w.n0}} {
			x.at.Check(w.now, true)
			if name := x.other.self; talk && k%5 == 0 {
				x.at.ObserveHeartbeat(name, x.other.Suspects(), false, w.now)
			}
			if n2 && k%5 == 0 && k%10 == 0 {
				due2 = w.now.Add(500*time.Millisecond + extra)
				x.at.ObserveHeartbeat("n2", nil, false, w.now)
			} else if n2 && !due2.IsZero() && !w.now.Before(due2) {
				x.at.ObserveHeartbeat("n2", nil, false, w.now)
			}
		}
	}
}

func TestAVerdictNeedsAnother(t *testing.T) {
	w := newThree()
	w.pass(10*time.Second, true, true, 0)
	from := w.now
	for !w.n0.HasFailed("n2", w.now) && w.now.Sub(from) < 10*time.Second {
		w.pass(100*time.Millisecond, false, false, 0)
		w.n0.ObserveHeartbeat("n1", w.n1.Suspects(), false, w.now)
		w.n1.ObserveHeartbeat("n0", w.n0.Suspects(), false, w.now)
	}
	if took := w.now.Sub(from); took < tuning.MinSuspicionTimeout-time.Second || took > tuning.MinSuspicionTimeout+500*time.Millisecond {
		t.Errorf("the verdict came after %v", took)
	}
	if w.n0.State("n2", w.now) != Failed || w.n0.State("n1", w.now) != Alive {
		t.Errorf("n2 %s, n1 %s", w.n0.State("n2", w.now), w.n0.State("n1", w.now))
	}
	w.pass(time.Second, true, true, 0)
	if w.n0.HasFailed("n2", w.now) || len(w.n0.Suspects()) > 0 {
		t.Error("heard again, it is still suspected")
	}

	// n0 alone does not hear it, or hears nobody: no verdict.
	w = newThree()
	w.pass(10*time.Second, true, true, 0)
	for range 60 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.n0.Check(w.now, true)
		w.n0.ObserveHeartbeat("n1", nil, false, w.now)
		if w.n0.HasFailed("n2", w.now) {
			t.Fatal("a verdict without another who agrees")
		}
	}
	if w.n0.State("n2", w.now) != Suspected {
		t.Error("n2 is", w.n0.State("n2", w.now))
	}
	w.now = w.now.Add(5 * time.Second)
	w.n0.Check(w.now, true)
	if w.n0.HasFailed("n2", w.now) || w.n0.HasFailed("n1", w.now) {
		t.Error("one that hears nobody accuses")
	}
}

func TestWhatIsNoReasonForSuspicion(t *testing.T) {
	// It stood still itself, or does not know the present records.
	w := newThree()
	w.pass(10*time.Second, true, true, 0)
	w.now = w.now.Add(12 * time.Second)
	if w.n0.Check(w.now, true) || len(w.n0.Suspects()) > 0 {
		t.Error("one that just woke accuses", w.n0.Suspects())
	}
	w = newThree()
	w.pass(10*time.Second, true, true, 0)
	for range 40 {
		w.now = w.now.Add(100 * time.Millisecond)
		if w.n0.Check(w.now, false) {
			t.Fatal("one without the state service accuses", w.n0.Suspects())
		}
	}
	// The records show it at work, or that it has taken a share.
	for name, sign := range map[string]func(d *Detector, now time.Time){
		"at work": func(d *Detector, now time.Time) { d.ObserveActivity("n2", now) },
		"taken":   func(d *Detector, _ time.Time) { d.ObserveAcquisition("n2") },
	} {
		w = newThree()
		w.pass(10*time.Second, true, true, 0)
		for range 60 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.n0.ObserveHeartbeat("n1", []string{"n2"}, false, w.now)
			sign(w.n0, w.now)
			if w.n0.Check(w.now, true) {
				t.Fatalf("%s, and suspected", name)
			}
		}
	}
	// It said that it leaves.
	w = newThree()
	w.pass(10*time.Second, true, true, 0)
	w.n0.ObserveHeartbeat("n2", nil, true, w.now)
	w.pass(3*time.Second, false, true, 0)
	if w.n0.State("n2", w.now) != Left || len(w.n0.Suspects()) > 0 {
		t.Error("it has left, and is", w.n0.State("n2", w.now))
	}
	// A link that is always uneven has more patience, and none has more than a grant.
	w = newThree()
	w.pass(60*time.Second, true, true, 400*time.Millisecond)
	if p := w.n0.peers["n2"].heartbeatTimeout(); p <= tuning.MinSuspicionTimeout || p > tuning.ControllerLeaseTTL {
		t.Error("the patience with an uneven link is", p)
	}
}
