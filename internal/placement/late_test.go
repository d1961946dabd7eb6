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

// A controller's first word of its life goes without an answer and is carried out after the
// second one: the key hung on the first grant, which nobody renewed, went with it, and the
// controller took no share any more.
func TestALateWriteDoesNotEndALife(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			names := map[string]string{"n0": "a", "n1": "b", "n2": "b"}
			w := fake.NewWorldOf(ctx, names, func(w *fake.World) { w.Store.LateWrites(rand.New(rand.NewPCG(seed, 1)), 1) })
			time.Sleep(time.Second)
			w.Store.LateWrites(nil, 0)
			time.Sleep(30 * time.Second)
			for n := range names {
				if _, lives := w.Store.Value(jobs.LivePrefix + n); !lives || w.Holder(n) != n {
					t.Errorf("seed %d: %s has a record of its life: %v; its share is held by %q", seed, n, lives, w.Holder(n))
				}
			}
			stop()
			synctest.Wait()
		})
	}
}

// Whatever became of a controller's record of its life, it is written anew.
func TestALostLifeIsWrittenAnew(t *testing.T) {
	talking(t, func(t *testing.T, w *fake.World) {
		w.Store.Drop(jobs.LivePrefix + "n1")
		time.Sleep(15 * time.Second)
		if h := w.Holder("n1"); h != "n1" {
			t.Errorf("its share is held by %q", h)
		}
	})
}

// Whatever a controller writes holds only under conditions, since it may be carried out at any
// later moment: all kinds of writes of a life with crashes, cancellations and hand-overs.
func TestNoWriteIsWithoutACondition(t *testing.T) {
	talking(t, func(t *testing.T, w *fake.World) {
		machines(w, 9)
		if err := w.Change("n0", func(s *admin.Settings) { s.SpareMachines = 4 }); err != nil {
			t.Fatal(err)
		}
		for k := range 12 {
			s := fake.Job(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang, jobs.Array}[k%3], []int{1, 3, 30}[k%3], 1)
			if k%4 == 0 && s.Tasks < 4 {
				s.Team = "capped"
			}
			accept(t, w, fmt.Sprintf("n%d", k%3), s, time.Duration(2+5*k)*time.Second)
		}
		time.Sleep(4 * time.Second)
		for _, ref := range []string{"wk-9", "wk-12"} {
			if r := w.Withdraw("n1", ref); r.Status != jobs.Cancelled {
				t.Fatalf("%+v", r)
			}
		}
		w.Crash("n2")
		time.Sleep(8 * time.Second)
		w.Boot("n2")
		time.Sleep(12 * time.Second)
		w.Leave("n1")
		w.Boot("n1")
		time.Sleep(100 * time.Second)
		for _, kind := range []string{jobs.LivePrefix, jobs.SharePrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix, jobs.PackPrefix,
			jobs.QuotaPrefix, jobs.FinalPrefix} {
			if w.Store.WritesOf(kind) == 0 {
				t.Errorf("nothing of the kind %s was written: the tale tells too little", kind)
			}
		}
		if bare := w.Store.Bare(); len(bare) > 0 {
			t.Errorf("written without a condition: %v", bare)
		}
	})
}

// A controller has to read all records anew while it goes on holding its share, and orders are
// still on their way to machines: what does not show in the answers to its greetings may start
// there a moment later, under the same token.
func TestReadingAllAnewDuringOrders(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		talking(t, func(t *testing.T, w *fake.World) {
			machines(w, 12)
			for _, h := range w.Hosts() {
				w.Hold(h, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
			}
			for k := range 5 {
				accept(t, w, fmt.Sprintf("n%d", k%3), fake.Job(fmt.Sprintf("wk-%d", k+1), jobs.Array, 10, 1), 30*time.Second)
				time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				for n := range 3 {
					w.Store.Outrun(fmt.Sprintf("n%d", n))
				}
			}
			for _, h := range w.Hosts() {
				w.Hold(h, 0)
			}
			for k := range 5 {
				done(t, w, "n1", fmt.Sprintf("wk-%d", k+1), 150*time.Second)
			}
		})
	}
}
