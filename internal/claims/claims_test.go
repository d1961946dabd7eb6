package claims_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/quota"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Tasks that were being given back when the share was lost, and whose giving
// back was never answered, must not become ready in a later tenure.
func TestGivingBackEndsWithTheTenure(t *testing.T) {
	d := desk.New(t, nil)
	d.Mirror.News(nil, 5)
	d.Holds("n0", desk.Me, 10)
	d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 11)
	r := d.Range("wk-1", "n0", 1, 11)
	r.Leave(r.Len()-1, 1)
	d.Holds("n0", desk.N1, 20)
	d.Holds("n0", desk.Me, 30)
	r.Stay(0, 1)
	d.Claims.Pin(r, 0, 1, 10)
	if r.State(0) != books.Unknown || r.Writing() {
		t.Errorf("state %d, written: %v", r.State(0), r.Writing())
	}
}

// A claim that the state service does not take leaves nothing behind: its tasks are off
// their machines, the job is as free as before, and the claim is made anew only if
// something has changed.
func TestAClaimThatIsNotMadeLeavesNothing(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	m := d.Machine("i-1", "n0", "m16", false)
	d.Holds("n0", desk.Me, 5)
	d.Knows(5)
	d.Hears("i-1", 1, 5)
	j := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 100, CPU: 1}, 100, 6)
	d.Claims.Claim(j, d.Holders.Share("n0"), 10, "", func(r *books.Range) bool {
		for i := range 4 {
			d.Books.Place(r, i, m, 1)
		}
		r.Cut(4)
		return true
	})
	if r := j.Range(0); r == nil || !r.Tentative() || r.Len() != 4 || !j.Busy() || d.Books.Room(m).CPU != 12 {
		t.Fatalf("the tentative claim: %+v, %v free", r, d.Books.Room(m))
	}
	if r, _ := d.Books.Task("wk-1", 2); r != nil {
		t.Error("a task of a claim that is not durable is found")
	}
	d.Next() // it is not taken
	if j.Range(0) != nil || j.Busy() || d.Books.Room(m).CPU != 16 || m.Load() != 0 {
		t.Errorf("left over: %+v, busy %v, %v free", j.Range(0), j.Busy(), d.Books.Room(m))
	}
}

// Tasks that find no place are given back after a while, counted from the last that
// found one.
func TestOnlyATailThatWaitsInVainIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Offers("m16")
		m := d.Machine("i-1", "n0", "m16", false)
		d.Holds("n0", desk.Me, 5)
		d.Knows(5)
		d.Hears("i-1", 1, 5)
		j := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 0, 6)
		r := d.Range("wk-1", "n0", 20, 7)
		d.Books.Place(r, 0, m, 1)
		d.Claims.Tick(time.Now())
		time.Sleep(tuning.UnclaimAfter - time.Second)
		d.Claims.Tick(time.Now())
		d.Books.Place(r, 1, m, 2)
		time.Sleep(2 * time.Second)
		d.Claims.Tick(time.Now())
		if j.Busy() || r.Count(books.Leaving) > 0 {
			t.Error("given back although one has just found a place")
		}
		time.Sleep(tuning.UnclaimAfter)
		d.Claims.Tick(time.Now())
		if !j.Busy() || r.Count(books.Leaving) != 18 || r.Count(books.Placed) != 2 {
			t.Errorf("%d of 18 tasks are given back", r.Count(books.Leaving))
		}
	})
}

// A team's limit is used here only as far as an allocation was taken, by a controller that
// knows all that runs; what it gives back it does not use from that moment on.
func TestAnAllocationIsUsedOnlyWhileItIsOurs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, func(d *desk.Desk) {
			d.Cfg.Cluster.Teams = []config.Team{{Name: "few", CPUsMax: 6}}
		})
		d.Offers("m16")
		m := d.Machine("i-1", "n0", "m16", false)
		other := d.Machine("i-2", "n0", "m16", false)
		d.Mirror.News(nil, 5)
		d.Holds("n0", desk.Me, 5)
		d.Wrote(jobs.QuotaPrefix+"666577", quota.Record{By: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 1}}}, 5)
		d.Knows(5)
		j := d.Job(jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Array, Urgency: "normal", Tasks: 20, CPU: 1}, 17, 6)
		r := d.Range("wk-1", "n0", 3, 7)
		s := d.Holders.Share("n0")
		d.Hears("i-1", 1, 5)
		if n := d.Claims.Within(j, s); n != 0 {
			t.Errorf("%d tasks are allowed before all workers were heard", n)
		}
		d.Hears("i-2", 1, 5)
		if n := d.Claims.Within(j, s); n != 4 {
			t.Errorf("%d tasks are allowed of 4", n)
		}
		d.Books.Place(r, 0, m, 1)
		stopping := d.Books.Place(r, 1, other, 1)
		d.Books.LaunchSent(stopping)
		d.Books.Halt(stopping, 5)
		if n := d.Claims.Within(j, s); n != 2 {
			t.Errorf("%d tasks are allowed beside one that is planned and one that still stops", n)
		}
		time.Sleep(tuning.AllocationFresh)
		d.Knows(7)
		d.Claims.Tick(time.Now()) // idle from now on
		time.Sleep(tuning.AllocationHungry)
		d.Knows(7)
		d.Claims.Tick(time.Now())
		if n := d.Claims.Within(j, s); n != 0 {
			t.Errorf("%d tasks are allowed of what is being given back", n)
		}
		synctest.Wait()
		d.Next() // no answer: it may have been made
		if n := d.Claims.Within(j, s); n != 0 {
			t.Errorf("%d tasks are allowed of what may be another share's", n)
		}
		d.Wrote(jobs.QuotaPrefix+"666577", quota.Record{By: map[string]quota.Amount{"n0": {CPU: 4}, "n1": {CPU: 2}}}, 9)
		if n := d.Claims.Within(j, s); n != 2 {
			t.Errorf("%d tasks are allowed once the record is another, so that the late write can't come", n)
		}
	})
}

// A claim went without an answer and was made again; the first write was carried out after all,
// the watch told of it, the gang was started, and then the second one was answered: refused. The
// gang forgot its try and was stopped.
func TestAClaimThatWasMadeByItsFirstWriteStands(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	m := d.Machine("i-1", "n0", "m16", false)
	d.Holds("n0", desk.Me, 5)
	d.Knows(5)
	d.Hears("i-1", 1, 5)
	spec := jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 1}
	j := d.Job(spec, 2, 6)
	d.Claims.Claim(j, d.Holders.Share("n0"), 2, "", func(r *books.Range) bool {
		d.Books.Plan(j, 9)
		for i := range 2 {
			d.Books.Place(r, i, m, 9)
		}
		return true
	})
	d.Wrote(jobs.RangeKey("wk-1", 0), jobs.Range{Share: "n0", N: 2, On: []string{"i-1"}}, 7)
	d.Wrote(jobs.JobKey("wk-1"), jobs.Record{Spec: spec}, 7)
	if !d.Books.GangReady(j) {
		t.Fatal("the claim is durable, and the gang is not started")
	}
	d.Books.StartGang(j)
	d.Next() // the second write was refused
	if try, started := j.Attempt(); try != 9 || !started || j.Range(0) == nil || j.Range(0).Count(books.Placed) != 2 {
		t.Errorf("its try is %d, started: %v", try, started)
	}
}

// Tasks in the middle of a range are given back: those behind them go on where they are, in a range of
// their own, whichever of the records of that write the watch tells first, and also if none is left
// before them.
func TestARangeIsSplitInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		k, n  int
		order []int // of the records of the write
	}{{1, 3, []int{0, 1, 2}}, {1, 3, []int{2, 1, 0}}, {0, 4, []int{0, 1, 2}}, {0, 4, []int{2, 0, 1}}} {
		d := desk.New(t, nil)
		d.Mirror.News(nil, 5)
		d.Machine("i-1", "n0", "m16", false)
		j := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 5, CPU: 1}, 0, 4)
		r := d.Range("wk-1", "n0", 5, 4)
		d.Holds("n0", desk.Me, 10)
		d.Knows(10)
		there := []worker.Entry{{Task: "wk-1/4", Try: 3, Status: worker.Running}}
		if c.k > 0 {
			there = append(there, worker.Entry{Task: "wk-1/0", Try: 3, Status: worker.Running})
		}
		d.Hears("i-1", 5, 10, there...)
		r.Nowhere()
		r.Leave(c.k, c.n)
		rec := *j.Rec()
		rec.Free = []jobs.Span{{First: c.k, N: c.n}}
		first := state.Event{Drop: jobs.RangeKey("wk-1", 0), Stamp: 20}
		if c.k > 0 {
			first = desk.Event(jobs.RangeKey("wk-1", 0), r.Part(0, c.k), 20)
		}
		news := []state.Event{desk.Event(jobs.JobKey("wk-1"), rec, 20), first, desk.Event(jobs.RangeKey("wk-1", 4), r.Part(4, 1), 20)}
		var told []state.Event
		for _, i := range c.order {
			told = append(told, news[i])
		}
		d.Mirror.News(told, 20)
		behind := j.Range(4)
		if behind == nil || behind.Len() != 1 || behind.State(0) != books.Placed || behind.Slot(0).Machine().Host() != "i-1" {
			t.Fatalf("%+v: behind: %+v", c, behind)
		}
		if before := j.Range(0); (before != nil) != (c.k > 0) || before != nil && (before.Len() != 1 || before.State(0) != books.Placed) {
			t.Errorf("%+v: before: %+v", c, before)
		}
		if r, at := d.Books.Task("wk-1", 2); r != nil {
			t.Errorf("%+v: a task that was given back is in a range, at %d", c, at)
		}
		if s := d.Books.Machine("i-1").Slot("wk-1/4"); s == nil || s.Is().Stop || s.Job() != j {
			t.Errorf("%+v: the task behind is %+v", c, s)
		}
	}
}
