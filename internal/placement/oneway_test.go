package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// talking is a story in which the controllers hear one another.
func talking(t *testing.T, tale func(t *testing.T, w *fake.World)) {
	t.Helper()
	talkingOf(t, func(*fake.World) {}, tale)
}

// talkingOf is the same with settings of its own.
func talkingOf(t *testing.T, set func(w *fake.World), tale func(t *testing.T, w *fake.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewWorldOf(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(w *fake.World) {
			w.Peers = true
			set(w)
		})
		time.Sleep(3 * time.Second)
		tale(t, w)
		for _, b := range w.Broken() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// The reports of a machine arrive, but nothing that is said to it: it was taken for well, and
// tasks were ordered there for ever.
func TestADeafMachineHoldsNothingUp(t *testing.T) {
	talking(t, func(t *testing.T, w *fake.World) {
		machines(w, 4)
		if err := w.Change("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		hosts := w.Hosts()
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 16, 1), 25*time.Second)
		time.Sleep(4 * time.Second)
		w.Deafen(hosts[0], true)
		accept(t, w, "n1", fake.Job("wk-2", jobs.Gang, 3, 3), 10*time.Second) // one on each of the others
		accept(t, w, "n2", fake.Job("wk-3", jobs.Array, 12, 1), 5*time.Second)
		time.Sleep(30 * time.Second)
		w.Deafen(hosts[0], false)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			done(t, w, "n1", ref, 90*time.Second)
		}
		accept(t, w, "n1", fake.Job("wk-4", jobs.Gang, 4, 3), 5*time.Second) // all four are of use again
		done(t, w, "n0", "wk-4", 40*time.Second)
		w.Deafen(hosts[1], true)
		accept(t, w, "n1", fake.Job("wk-5", jobs.Array, 20, 1), 5*time.Second)
		time.Sleep(3 * time.Minute)
		if w.Up(hosts[1]) {
			t.Error("a machine that never hears is still paid")
		}
		done(t, w, "n0", "wk-5", time.Second)
	})
}

// A deaf machine, and all controllers start anew: nobody reaches it under their tokens, and
// what it ran was waited for as long as it reported.
func TestADeafMachineIsNotWaitedForAfterAStart(t *testing.T) {
	talking(t, func(t *testing.T, w *fake.World) {
		machines(w, 4)
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 16, 1), 40*time.Second)
		accept(t, w, "n0", fake.Job("wk-2", jobs.Gang, 3, 1), 15*time.Second)
		time.Sleep(5 * time.Second)
		w.Deafen(w.Hosts()[0], true)
		w.Deafen(w.Hosts()[1], true)
		restart(w, 100*time.Millisecond)
		for _, ref := range []string{"wk-1", "wk-2"} {
			done(t, w, "n2", ref, 180*time.Second)
		}
	})
}

// Copies of reports come late, from seconds to well over a lease, at any controller, while
// controllers crash and machines go.
func TestLateCopiesOfReportsProveNothing(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			talking(t, func(t *testing.T, w *fake.World) {
				w.Copies(rand.New(rand.NewPCG(seed, 3)), 35*time.Second)
				machines(w, 8)
				for i := range 12 {
					accept(t, w, fmt.Sprintf("n%d", i%3), fake.Job(fmt.Sprintf("wk-%d", i+1), []string{jobs.Array, jobs.Gang}[i%2], 4, 1), 12*time.Second)
					time.Sleep(2 * time.Second)
					if i%4 == 1 {
						n := fmt.Sprintf("n%d", i%3)
						w.Crash(n)
						time.Sleep(200 * time.Millisecond)
						w.Boot(n)
					}
				}
				gone := w.Hosts()[0]
				if err := w.Release(t.Context(), []string{gone}); err != nil {
					t.Fatal(err)
				}
				for i := range 12 {
					done(t, w, "n1", fmt.Sprintf("wk-%d", i+1), 120*time.Second)
				}
				time.Sleep(2 * time.Minute)
				if left := w.Store.Keys(jobs.WorkerPrefix + gone); len(left) > 0 {
					t.Errorf("a machine that is no more is recorded: %v", left)
				}
			})
		})
	}
}

// A controller loses the state service and the other controllers, but not its workers. It may
// go on answering them only as long as nobody relies on its silence.
func TestAControllerLeftAloneWithItsWorkers(t *testing.T) {
	talking(t, func(t *testing.T, w *fake.World) {
		machines(w, 9)
		accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 30, 1), 50*time.Second)
		accept(t, w, "n0", fake.Job("wk-2", jobs.Gang, 4, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		w.Store.Refuse("n0", true)
		w.SetLink(fake.Link{Off: "n0"})
		time.Sleep(10 * time.Second)
		if h := w.Holder("n0"); h == "n0" {
			t.Error("its share was not taken")
		}
		if w.Nodes["n0"].Brain.Healthy() || !w.Nodes["n1"].Brain.Healthy() {
			t.Error("users are kept at it, or sent away from the others")
		}
		if r := w.Withdraw("n1", "wk-2"); r.Status != jobs.Cancelled {
			t.Fatalf("%+v", r)
		}
		accept(t, w, "n2", after("wk-3", 6), 5*time.Second)
		time.Sleep(time.Duration(w.Cfg.Cluster.Workers.CancelS * float64(time.Second)))
		if on := w.On("wk-2/0"); len(on) > 0 {
			t.Errorf("cancelled, and on %v", on)
		}
		w.Store.Refuse("n0", false)
		w.SetLink(fake.Link{})
		done(t, w, "n0", "wk-1", 90*time.Second)
		done(t, w, "n0", "wk-3", 60*time.Second)
		for task, n := range w.Starts() {
			if ref, _, _ := jobs.ParseTask(task); ref == "wk-1" && n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

// Processes and machines are back within a fraction of a second, also while shares are
// being taken.
func TestBackWithinAFractionOfASecond(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			talking(t, func(t *testing.T, w *fake.World) {
				machines(w, 6)
				accept(t, w, "n0", fake.Job("wk-1", jobs.Array, 20, 1), 30*time.Second)
				accept(t, w, "n1", fake.Job("wk-2", jobs.Gang, 4, 1), 30*time.Second)
				for i := range 8 {
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					w.Crash(n)
					pause := time.Duration(50+rnd.IntN(600)) * time.Millisecond
					if i%3 == 2 { // long enough for the others to begin to take its share
						pause += time.Duration(3500+rnd.IntN(900)) * time.Millisecond
					}
					time.Sleep(pause)
					w.Boot(n)
					h := w.Hosts()[rnd.IntN(6)]
					w.CutOff(h, true)
					time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
					w.CutOff(h, false)
				}
				for _, ref := range []string{"wk-1", "wk-2"} {
					done(t, w, "n2", ref, 150*time.Second)
				}
			})
		})
	}
}
