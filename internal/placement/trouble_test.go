package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
)

// hold takes the processor from a controller: it does nothing, and the state
// service and its workers hear nothing of it.
func hold(w *fake.World, node string, d time.Duration) {
	w.Store.Refuse(node, true)
	w.Nodes[node].Brain.Hold(d)
	time.AfterFunc(d, func() { w.Store.Refuse(node, false) })
}

// A controller that was held for a minute wakes with everything it believed: a
// share that others hold now, a job that was cancelled meanwhile.
func TestAHeldControllerTrustsNothingItKnewBefore(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		w.Add("a", false)
		w.Add("a", false)
		w.Add("b", false)
		time.Sleep(4 * time.Second)
		accept(t, w, "n0", fake.Job("wk-1", jobs.Service, 2, 1), 0)
		accept(t, w, "n0", fake.Job("wk-2", jobs.Array, 6, 1), 90*time.Second)
		time.Sleep(5 * time.Second)
		hold(w, "n0", 65*time.Second)
		time.Sleep(20 * time.Second)
		if h := w.Holder("n0"); h == "n0" {
			t.Error("the share of a silent controller was not taken")
		}
		if r := w.Withdraw("n1", "wk-1"); r.Status != jobs.Cancelled {
			t.Fatalf("%+v", r)
		}
		time.Sleep(45*time.Second + time.Millisecond)
		if w.Nodes["n0"].Brain.Healthy() {
			t.Error("healthy by what was true a minute ago")
		}
		for range 40 { // from its first moment on
			if r := w.Poll("n0", "wk-1"); r.Code == 200 && r.Status != jobs.Cancelled {
				t.Fatalf("an older answer was given: %+v", r)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if on := w.On("wk-1/0"); len(on) > 0 {
			t.Errorf("a cancelled task is on %v", on)
		}
		done(t, w, "n0", "wk-2", 3*time.Minute)
	})
}

func TestAllControllersHeldForAMinute(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		for range 2 {
			w.Add("a", false)
			w.Add("b", false)
			w.Add("b", false)
		}
		time.Sleep(4 * time.Second)
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 10, 1), 30*time.Second)
		accept(t, w, "n1", fake.Job("wk-2", jobs.Gang, 2, 2), 30*time.Second)
		time.Sleep(5 * time.Second)
		for _, n := range []string{"n0", "n1", "n2"} {
			hold(w, n, 65*time.Second)
		}
		time.Sleep(66 * time.Second)
		accept(t, w, "n2", fake.Job("wk-3", jobs.Array, 2, 1), 5*time.Second)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			done(t, w, "n1", ref, 90*time.Second)
		}
	})
}

// The state service refused one controller alone: its users were told for five
// seconds that all was well.
func TestAControllerRefusedByTheStateServiceAloneSendsItsUsersOn(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { // what controllers tell each other
			for state.Pause(ctx, 500*time.Millisecond) == nil {
				for from, x := range w.Nodes {
					for to, y := range w.Nodes {
						if b, ok := x.Brain.Beat(); ok && from != to {
							y.Brain.PeerSays(b)
						}
					}
				}
			}
		}()
		w.Add("a", false)
		w.Add("b", false)
		time.Sleep(4 * time.Second)
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 6, 1), 40*time.Second)
		time.Sleep(4 * time.Second)
		w.Store.Refuse("n0", true)
		time.Sleep(4 * time.Second)
		if w.Nodes["n0"].Brain.Healthy() || !w.Nodes["n1"].Brain.Healthy() {
			t.Error("users are not sent on")
		}
		time.Sleep(4 * time.Second)
		if h := w.Holder("n0"); h == "n0" {
			t.Error("its share was not taken")
		}
		w.Store.Refuse("n0", false)
		w.Store.Outage(true) // of which it can't know that it is one, this time
		time.Sleep(8 * time.Second)
		if !w.Nodes["n1"].Brain.Healthy() {
			t.Error("in an outage for all there is nobody to send users to")
		}
		w.Store.Outage(false)
		done(t, w, "n0", "wk-1", 60*time.Second)
		for task, n := range w.Starts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

func TestBrokenJobsBesideASickMachine(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		// none is returned for being idle
		if err := w.Change("n0", func(s *admin.Settings) { s.SpareMachines = 8 }); err != nil {
			t.Fatal(err)
		}
		sick := w.Add("a", false)
		sick.Fails = true
		var sound []string
		for range 4 {
			sound = append(sound, w.Add("a", false).Host)
		}
		time.Sleep(5 * time.Second)
		w.Faulty["wk-1"], w.Faulty["wk-2"] = true, true
		accept(t, w, "n1", fake.Job("wk-1", jobs.Array, 6, 1), 2*time.Second)
		accept(t, w, "n1", fake.Job("wk-2", jobs.Gang, 3, 1), 2*time.Second)
		for i := range 6 {
			// so many that the sick machine, too, gets some
			accept(t, w, "n1", fake.Job(fmt.Sprintf("wk-1%d", i), jobs.Array, 18, 1), 4*time.Second)
			time.Sleep(6 * time.Second)
		}
		for i := range 6 {
			done(t, w, "n1", fmt.Sprintf("wk-1%d", i), 60*time.Second)
		}
		time.Sleep(30 * time.Second)
		for _, h := range sound {
			if !w.Up(h) {
				t.Errorf("%s works and was given up for broken jobs", h)
			}
		}
		if w.Up(sick.Host) {
			t.Error("the sick machine stays in use")
		}
		tries := w.Starts()["wk-1/0"] + w.Starts()["wk-1/1"]
		time.Sleep(40 * time.Second)
		if n := w.Starts()["wk-1/0"] + w.Starts()["wk-1/1"] - tries; n > 2 {
			t.Errorf("a job that is blamed was tried %d times in 40 s", n)
		}
		if r := w.Withdraw("n2", "wk-1"); r.Status != jobs.Cancelled {
			t.Errorf("its cancellation was answered %+v", r)
		}
	})
}

// Records stay within the limit on values however many tasks a job has, and cost
// does not follow their number.
func TestAHugeArrayWithinTheLimitOnValues(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		w.Cfg.Cluster.State.ValueKB = 1
		w.Store.LimitValue(1 << 10)
		for _, n := range []string{"n0", "n1", "n2"} {
			w.Crash(n)
			w.Boot(n)
		}
		for range 2 {
			w.Add("a", false)
			w.Add("b", false)
		}
		time.Sleep(6 * time.Second)
		before := w.Store.Writes()
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 100_000, 0.1), 3*time.Second)
		time.Sleep(30 * time.Second)
		r := w.Poll("n1", "wk-1")
		if r.Done < 900 || r.Active < 100 {
			t.Errorf("after 30 s: %+v", r)
		}
		if n := w.Store.Writes() - before; n > 150 {
			t.Errorf("%d changes in 30 s for %d tasks", n, r.Done)
		}
		if r := w.Withdraw("n2", "wk-1"); r.Status != jobs.Cancelled {
			t.Errorf("%+v", r)
		}
		time.Sleep(10 * time.Second)
		if on := w.Poll("n0", "wk-1"); on.Active > 0 || on.Status != jobs.Cancelled {
			t.Errorf("%+v", on)
		}
	})
}
