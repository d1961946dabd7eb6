package mirror_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/mirror"
	"cherrywall/internal/placement"
)

// gap is how an evening of the gap goes.
type gap struct {
	lease, cancel float64       // s
	began         time.Duration // where in its reads the refusal meets the controller
	between       time.Duration // from the refusal to the outage
	alone         bool          // it is cut from the other controllers, too
	back          bool          // it ends, and is back within a fraction of a second
	first         bool          // the outage ends for the others first
	refused       string
	believes      func(cfg *config.Config) // a breach
}

// late is how many tasks of cancelled jobs are on machines when their time is over, or start
// after that. The state service refuses one controller alone; another one confirms
// cancellations; then it is down for all for longer than those may take, while the workers
// report to the one that was refused.
func (g gap) late(t *testing.T) (late []string) {
	var mu sync.Mutex
	found := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		late = append(late, fmt.Sprintf(format, args...))
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewWorldOf(ctx, map[string]string{"n0": "a", "n1": "a", "n2": "a"}, func(w *fake.World) {
			w.Cfg.Cluster.Workers.LeaseS, w.Cfg.Cluster.Workers.CancelS = g.lease, g.cancel
			w.Peers, w.Believes = true, g.believes
		})
		time.Sleep(3 * time.Second)
		for range 24 {
			w.Add("a", false)
			time.Sleep(63 * time.Millisecond) // they do not report all at once
		}
		time.Sleep(8 * time.Second)
		tasks := map[string]int{"wk-1": 40, "wk-2": 12, "wk-3": 40}
		for ref, n := range tasks {
			kind := jobs.Array
			if ref == "wk-2" {
				kind = jobs.Gang
			}
			if r := w.Submit("n0", fake.Job(ref, kind, n, 1), time.Hour); r.Code != 201 {
				t.Fatalf("%s: %+v", ref, r)
			}
		}
		time.Sleep(10 * time.Second)
		w.Store.SlowAnswers(g.refused, 2*time.Second) // longer than a client waits: the bound does not rest on that
		time.Sleep(3*time.Second + g.began)
		w.Store.Refuse(g.refused, true)
		if g.alone {
			w.SetLink(fake.Link{Off: g.refused})
		}
		// Counted from when a cancellation is on record, the first moment at which anybody may be
		// told of it: the answer waits for the controller that was refused.
		told := map[string]time.Time{}
		answers := make(chan placement.Reply, len(tasks))
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			go func() { answers <- w.Withdraw("n2", ref) }()
			for !w.Cancelled(ref) {
				time.Sleep(time.Millisecond)
			}
			told[ref] = time.Now()
			time.AfterFunc(config.Seconds(g.cancel)+time.Millisecond, func() {
				for i := range tasks[ref] {
					if on := w.On(jobs.TaskName(ref, i)); len(on) > 0 {
						found("%s/%d is on %v", ref, i, on)
					}
				}
			})
		}
		w.OnStart(func(task, host string, _ time.Time) {
			if ref, _, _ := jobs.ParseTask(task); time.Since(told[ref]).Seconds() > g.cancel {
				found("%s starts on %s after %v", task, host, time.Since(told[ref]))
			}
		})
		if g.back {
			w.Crash(g.refused)
			time.Sleep(300 * time.Millisecond)
			w.Boot(g.refused)
		}
		time.Sleep(g.between)
		w.Store.Outage(true)
		for range tasks {
			if r := <-answers; r.Status != jobs.Cancelled {
				t.Errorf("a cancellation was answered %+v", r)
			}
		}
		time.Sleep(config.Seconds(g.cancel + 12))
		w.Store.Refuse(g.refused, g.first)
		w.Store.Outage(false)
		time.Sleep(10 * time.Second)
		w.Store.Refuse(g.refused, false)
		w.Store.SlowAnswers(g.refused, 0)
		w.SetLink(fake.Link{})
		time.Sleep(20 * time.Second)
		for ref := range tasks {
			for _, n := range []string{"n0", "n1", "n2"} {
				if r := w.Poll(n, ref); r.Status != jobs.Cancelled {
					found("%s is called %+v by %s", ref, r, n)
				}
			}
		}
		for _, b := range w.Broken() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
	return late
}

// evenings are gaps of many kinds, with times like those of deployments in use.
func evenings() (all []gap) {
	for i, times := range [][2]float64{{25, 45}, {35, 60}, {10, 30}} {
		for k, between := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
			for began := range 3 {
				n := 15*i + 3*k + began
				all = append(all, gap{lease: times[0], cancel: times[1], between: between, began: time.Duration(n%30) * 100 * time.Millisecond,
					alone: n%2 == 1, back: n%5 == 2, first: n%3 == 1, refused: []string{"n0", "n0", "n1"}[n%3]})
			}
		}
	}
	return all
}

// Refused alone, then an outage for all: docs/recovery.md, "How long a worker may be kept alive".
func TestCancelledTasksAreGoneInTheGap(t *testing.T) {
	for _, g := range evenings() {
		for _, x := range g.late(t) {
			t.Errorf("%+v: %s", g, x)
		}
	}
}

// It is the bound that does it, to the second.
func TestTheGapNeedsItsBound(t *testing.T) {
	found := func(what string, believes func(cfg *config.Config)) {
		for began := range 30 { // all through the time from one read to the next
			g := gap{lease: 25, cancel: 45, began: time.Duration(began) * 100 * time.Millisecond, between: 1500 * time.Millisecond,
				alone: true, refused: "n0", believes: believes}
			if len(g.late(t)) > 0 {
				return
			}
		}
		t.Errorf("%s: not found", what)
	}
	found("no bound", func(cfg *config.Config) { cfg.Cluster.Workers.CancelS = 1e6 })
	found("too long by a lease", func(cfg *config.Config) { cfg.Cluster.Workers.CancelS += cfg.Cluster.Workers.LeaseS })
	defer mirror.DateByTheAnswer()()
	found("knowledge dated by the answer", nil)
}
