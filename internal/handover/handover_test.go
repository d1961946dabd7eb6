package handover_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/handover"
	"cherrywall/internal/jobs"
	"cherrywall/internal/recovery"
	"cherrywall/internal/tuning"
)

// back is a tale in which n0 has crashed, another holds its share, and work runs on all
// machines; it begins when n0 starts again.
func back(t *testing.T, tale func(w *fake.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewWorldOf(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(w *fake.World) {
			w.Peers = true
			w.Flavor[0].CPU, w.Flavor[0].MemGB = 8, 32
		})
		time.Sleep(3 * time.Second)
		for i := range 24 {
			w.Add([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(6 * time.Second)
		for i := range 8 {
			g := fake.Job(fmt.Sprintf("wk-%d", 10+i), jobs.Gang, 3, 3)
			g.Urgency = "high"
			if r := w.Submit("n1", g, 40*time.Second); r.Code != 201 {
				t.Fatalf("%+v", r)
			}
		}
		if r := w.Submit("n1", fake.Job("wk-1", jobs.Array, 60, 1), 30*time.Second); r.Code != 201 {
			t.Fatalf("%+v", r)
		}
		time.Sleep(6 * time.Second)
		w.Crash("n0")
		time.Sleep(9 * time.Second)
		if h := w.Holder("n0"); h == "n0" || h == "" {
			t.Fatalf("the share of the dead one is held by %q", h)
		}
		w.Boot("n0")
		tale(w)
		for _, b := range w.Broken() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// whole checks that all work comes to its end, each task started once.
func whole(t *testing.T, w *fake.World) {
	t.Helper()
	for i := range 8 {
		if ref := fmt.Sprintf("wk-%d", 10+i); !w.Wait("n1", ref, jobs.Done, 90*time.Second) {
			t.Errorf("%s: %+v", ref, w.Poll("n1", ref))
		}
	}
	if !w.Wait("n2", "wk-1", jobs.Done, 90*time.Second) {
		t.Errorf("%+v", w.Poll("n2", "wk-1"))
	}
	for task, n := range w.Starts() {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// settled tells whether the holder of a share counts it as settled.
func settled(w *fake.World, share string) bool {
	n := w.Nodes[w.Holder(share)]
	if n == nil {
		return false
	}
	v, ok := n.Brain.View("start")
	if !ok {
		return false
	}
	for _, s := range v.([]recovery.View) {
		if s.Share == share {
			return s.Stage == "settled"
		}
	}
	return false
}

// A share went home from a live controller as from a dead one: every worker was greeted
// anew, and with a quarter of them silent what was claimed waited for half a minute.
func TestAShareGoesHomeWithoutAGreeting(t *testing.T) {
	back(t, func(w *fake.World) {
		for i, h := range w.Hosts() {
			if i%4 == 0 {
				w.CutOff(h, true)
			}
		}
		greets := w.Greets()
		time.Sleep(2500 * time.Millisecond)
		if w.Holder("n0") != "n0" || !settled(w, "n0") {
			t.Errorf("held by %s, settled %v", w.Holder("n0"), settled(w, "n0"))
		}
		if n := w.Greets() - greets; n > 0 {
			t.Errorf("%d workers were greeted", n)
		}
		v, _ := w.Nodes["n0"].Brain.View("handovers")
		if past := v.([]handover.Past); len(past) != 1 || past[0].Outcome != "went on here" || past[0].TookS > 2 {
			t.Errorf("it tells of %+v", past)
		}
		for _, h := range w.Hosts() {
			w.CutOff(h, false)
		}
		whole(t, w)
	})
}

// The holder can't reach the share's workers, and its home can: they come there, and it does
// not wait for a hand-over that never comes.
func TestAHomeDoesNotWaitForAHolderThatItsWorkersCantReach(t *testing.T) {
	back(t, func(w *fake.World) {
		w.Crash("n0")
		w.SetLink(fake.Link{Cut: true})
		for i, h := range w.Hosts() {
			if i%2 == 0 { // zone a, whose share is n0's
				w.Cut("n1", h, true)
				w.Cut("n2", h, true)
				time.Sleep(900 * time.Millisecond) // they do not all try at the same moment
			}
		}
		time.Sleep(4 * time.Second)
		w.Boot("n0")
		time.Sleep(tuning.WantFor - time.Second)
		if h := w.Holder("n0"); h != "n0" {
			t.Errorf("it is still held by %s", h)
		}
	})
}

// Whatever fails between the giver's last answer and the taker's record, the share ends with
// one of the two, and goes on.
func TestAHandOverThatFails(t *testing.T) {
	for name, fail := range map[string]func(w *fake.World){
		"a piece is lost":                  func(w *fake.World) { w.SetLink(fake.Link{Lose: 1}) },
		"pieces come late":                 func(w *fake.World) { w.SetLink(fake.Link{Late: 3 * time.Second}) },
		"the link is cut":                  func(w *fake.World) { w.SetLink(fake.Link{Cut: true}) },
		"the giver ends with it":           func(w *fake.World) { w.SetLink(fake.Link{Late: time.Second}); crash(w, 1200, "n1", "n2") },
		"the taker ends with it":           func(w *fake.World) { w.SetLink(fake.Link{Late: time.Second}); crash(w, 1200, "n0") },
		"the taker's write has no answer":  func(w *fake.World) { w.Nodes["n0"].Port.Lose(3) },
		"the state service goes away":      func(w *fake.World) { go outage(w, 700*time.Millisecond, 6*time.Second) },
		"it is away for the giver alone":   func(w *fake.World) { refuse(w, w.Holder("n0")) },
		"it is away for the taker alone":   func(w *fake.World) { refuse(w, "n0") },
		"the giver hears of changes later": func(w *fake.World) { w.Store.LagWatch(w.Holder("n0"), 2*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			back(t, func(w *fake.World) {
				fail(w)
				time.Sleep(20 * time.Second)
				w.SetLink(fake.Link{})
				for _, n := range []string{"n0", "n1", "n2"} {
					w.Store.LagWatch(n, 0)
					if w.Nodes[n] == nil {
						w.Boot(n)
					}
				}
				time.Sleep(8 * time.Second)
				if !settled(w, "n0") {
					t.Errorf("held by %s, not settled", w.Holder("n0"))
				}
				whole(t, w)
			})
		})
	}
}

// Controllers that are told to end leave one after the other: each hands over what it holds,
// nobody is greeted and no task is started again.
func TestControllersLeaveOneAfterTheOther(t *testing.T) {
	back(t, func(w *fake.World) {
		time.Sleep(3 * time.Second)
		greets := w.Greets()
		for _, n := range []string{"n0", "n1", "n2"} {
			began := time.Now()
			w.Leave(n)
			if d := time.Since(began); d > 3*time.Second {
				t.Errorf("%s took %v to leave", n, d)
			}
			for _, share := range []string{"n0", "n1", "n2"} {
				if h := w.Holder(share); h == n || !settled(w, share) {
					t.Errorf("without %s share %s is held by %s, settled %v", n, share, h, settled(w, share))
				}
			}
			time.Sleep(4 * time.Second)
			w.Boot(n)
			time.Sleep(8 * time.Second) // its share has changed hands four times in two minutes
			if h := w.Holder(n); h != n {
				t.Errorf("%s is back, and %s holds its share", n, h)
			}
		}
		if n := w.Greets() - greets; n > 0 {
			t.Errorf("%d workers were greeted", n)
		}
		whole(t, w)
	})
}

func crash(w *fake.World, after int, names ...string) {
	time.Sleep(time.Duration(after) * time.Millisecond)
	for _, n := range names {
		w.Crash(n)
	}
}

func outage(w *fake.World, after, lasts time.Duration) {
	time.Sleep(after)
	w.Store.Outage(true)
	time.Sleep(lasts)
	w.Store.Outage(false)
}

func refuse(w *fake.World, node string) {
	time.Sleep(700 * time.Millisecond)
	w.Store.Refuse(node, true)
	time.Sleep(8 * time.Second)
	w.Store.Refuse(node, false)
}
