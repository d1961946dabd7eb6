package recovery_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

// A controller that took a share over applied its own write before the watch
// had told it of a worker recorded just before: it counted the share as fully
// heard, and would have started that worker's tasks a second time.
func TestATakenShareIsNotSettledBeforeTheWatchHasPassedIt(t *testing.T) {
	d := desk.New(t, nil)
	d.Mirror.News(nil, 5)
	d.Holds("n0", desk.Me, 10)
	s := d.Holders.Share("n0")
	if !s.Mine() {
		t.Fatal("the share is not ours")
	}
	d.Recovery.Check(time.Now())
	if s.Settled() {
		t.Fatal("settled while the watch is behind the share's record")
	}
	rec := worker.Record{Share: "n0", Build: "m4", Zone: "a"}
	d.Mirror.News([]state.Event{desk.Event(jobs.WorkerPrefix+"i-1", rec, 8)}, 10)
	d.Recovery.Check(time.Now())
	if s.Settled() {
		t.Fatal("settled before a recorded worker was heard")
	}
	d.Books.Heard(d.Books.Machine("i-1"), true, true)
	d.Recovery.Check(time.Now())
	if !s.Settled() {
		t.Fatal("not settled although every worker was heard")
	}
}

// One silent cheap machine held back every task of a share that changed hands,
// also of jobs that may not run on it.
func TestASilentWorkerHoldsBackOnlyWhatItCouldRun(t *testing.T) {
	d := desk.New(t, nil)
	d.Mirror.News(nil, 100)
	d.Offers("m16")
	d.Machine("i-1", "n1", "m16", false)
	d.Machine("i-2", "n1", "m16", true)
	d.Machine("i-3", "n1", "m4", false)
	job := func(ref string, cpu float64, spot bool) {
		d.Job(jobs.Spec{Ref: ref, Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: cpu, Spot: spot}, 0, 4)
		d.Range(ref, "n1", 2, 5)
	}
	job("wk-1", 7, false) // could not be on i-2, which is cheap; on i-3 perhaps: its type is not known
	job("wk-2", 7, true)  // could be on i-2
	job("wk-3", 1, false) // could be on i-3
	d.Holds("n1", desk.Me, 6)
	d.Books.Heard(d.Books.Machine("i-1"), true, true)
	open := func(ref string) int { return d.Books.Job(ref).Range(0).Count(books.Ready) }
	d.Recovery.Check(time.Now())
	if open("wk-1") != 0 || open("wk-2") != 0 || open("wk-3") != 0 {
		t.Errorf("a worker of a type not known was ruled out: %d %d %d", open("wk-1"), open("wk-2"), open("wk-3"))
	}
	d.Types.Hear([]cloud.Flavor{{SKU: "m4", CPU: 4, MemGB: 16}})
	d.Recovery.Check(time.Now())
	if open("wk-1") != 2 || open("wk-2") != 0 || open("wk-3") != 0 {
		t.Errorf("may start: %d %d %d", open("wk-1"), open("wk-2"), open("wk-3"))
	}
	d.Books.Lose(d.Books.Machine("i-2"))
	d.Recovery.Check(time.Now())
	if open("wk-2") != 2 || open("wk-3") != 0 {
		t.Errorf("may start after the loss: %d %d", open("wk-2"), open("wk-3"))
	}
}

// A share was taken while a wave of new machines came up: there was always one that had not
// reported twice, and what had been claimed before waited for the last of them. No earlier
// holder can have ordered anything to a worker that was enrolled since.
func TestMachinesEnrolledSinceTheTakingAreNotWaitedFor(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	d.Machine("i-1", "n1", "m16", false)
	d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1}, 0, 4)
	r := d.Range("wk-1", "n1", 2, 5)
	d.Holds("n1", desk.Me, 6)
	d.Wrote(jobs.WorkerPrefix+"i-2", worker.Record{Share: "n1", Build: "m16", Zone: "a"}, 8)
	d.Knows(8)
	d.Recovery.Check(time.Now())
	if d.Holders.Share("n1").Settled() || r.Count(books.Ready) != 0 {
		t.Fatal("settled before the old worker was heard")
	}
	d.Sessions.Hear(d.Books.Machine("i-1"), &worker.Report{Host: "i-1", Watch: 1, Tick: 1, Token: 6}, time.Now())
	if !d.Holders.Share("n1").Settled() || r.Count(books.Ready) != 2 {
		t.Error("it waits for a worker that is younger than the taking")
	}
}

// A worker came over late from a holder that was cut off with it, was answered here, and was
// cut off itself. It was taken for gone by the time of the taking alone, with up to a lease left
// of our own answer, and its tasks were started a second time.
func TestAWorkerAnsweredHereIsGoneOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Offers("m16")
		m := d.Machine("i-1", "n1", "m16", false)
		d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 4)
		r := d.Range("wk-1", "n1", 1, 5)
		d.Holds("n1", desk.Me, 6)
		d.Knows(6)
		taken := time.Now()
		time.Sleep(d.Cfg.TenureOver() - 3*time.Second)
		d.Knows(6)
		there := worker.Entry{Task: "wk-1/0", Try: 3, Status: worker.Running}
		if v := d.Hears("i-1", 1, 5, there); v.Status != 200 || v.Answer.Token != 6 {
			t.Fatalf("answered %+v", v)
		}
		lease := m.When().Reported.Add(config.Seconds(d.Cfg.Cluster.Workers.LeaseS))
		for time.Now().Before(lease) {
			d.Recovery.Check(time.Now())
			d.Machines.Tick(time.Now())
			if m.Is().Gone || r.Count(books.Ready) > 0 {
				t.Fatalf("%v after the taking: taken for gone with %v of its lease left", time.Since(taken), time.Until(lease))
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		d.Recovery.Check(time.Now())
		if r.Count(books.Ready) != 1 {
			t.Error("its task is still waited for")
		}
	})
}
