package placement_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A controller that lost only its workers kept their share until all their leases
// had run out, and every task was lost.
func TestAControllerThatReachesNoWorkerLeavesItsShareToOthers(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		hosts := map[string]bool{}
		for range 4 {
			hosts[w.Add("a", false).Host] = true // the share of n0
			w.Add("b", false)
			w.Add("b", false)
		}
		time.Sleep(5 * time.Second)
		accept(t, w, "n1", fake.Job("wk-1", jobs.Array, 46, 1), 60*time.Second)
		time.Sleep(4 * time.Second)
		cut := func(on bool) {
			for i := range 12 {
				w.Cut("n0", fmt.Sprintf("i-%06d", i+1), on)
			}
		}
		cut(true)
		time.Sleep(9 * time.Second)
		if h := w.Holder("n0"); h == "n0" {
			t.Error("the share is still with the controller that reaches nobody")
		}
		accept(t, w, "n0", fake.Job("wk-2", jobs.Array, 2, 1), 5*time.Second) // it serves users all the same
		done(t, w, "n1", "wk-2", 20*time.Second)
		time.Sleep(10 * time.Second)
		cut(false)
		time.Sleep(12 * time.Second)
		if h := w.Holder("n0"); h != "n0" {
			t.Errorf("the share is with %s after the cut", h)
		}
		done(t, w, "n2", "wk-1", 60*time.Second)
		for task, n := range w.Starts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

// With all machines gone at once no controller is to blame: the shares must not
// wander.
func TestSharesStayWhenNobodyReachesAWorker(t *testing.T) {
	story(t, func(t *testing.T, w *fake.World) {
		for range 3 {
			w.Add("a", false)
			w.Add("b", false)
			w.Add("b", false)
		}
		time.Sleep(5 * time.Second)
		accept(t, w, "n1", fake.Job("wk-1", jobs.Array, 36, 1), 5*time.Minute)
		time.Sleep(4 * time.Second)
		before := w.Store.Writes()
		for i := range 9 {
			for _, n := range []string{"n0", "n1", "n2"} {
				w.Cut(n, fmt.Sprintf("i-%06d", i+1), true)
			}
		}
		time.Sleep(25 * time.Second)
		if n := w.Store.Writes() - before; n > 30 {
			t.Errorf("%d changes while no worker could be reached", n)
		}
		for i := range 9 {
			for _, n := range []string{"n0", "n1", "n2"} {
				w.Cut(n, fmt.Sprintf("i-%06d", i+1), false)
			}
		}
		time.Sleep(10 * time.Second)
		for range 20 {
			if w.Poll("n2", "wk-1").Active == 36 {
				return
			}
			time.Sleep(time.Second)
		}
		t.Errorf("the tasks do not run again: %+v", w.Poll("n2", "wk-1"))
	})
}
