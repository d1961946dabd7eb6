package decide_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

func aimed(d *desk.Desk) {
	d.Cfg.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "own"}}
}

// A guest's long tasks took all the room within seconds, and work with deadlines
// of the same priority, which may not stop them, waited for minutes.
func TestBackgroundWorkLeavesRoomToClassesWithAnAim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, aimed)
		d.Offers("m16")
		d.Holds("n0", desk.Me, 4)
		for i := range 10 {
			d.Books.Heard(d.Machine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
		}
		due := 60.0
		own := jobs.Spec{Class: "own", Kind: jobs.Array, Urgency: "idle", Tasks: 40, CPU: 2, EstimateS: 20, DueS: &due}
		for i := range 4 {
			own.Ref = fmt.Sprintf("wk-%d", i)
			at := time.Now().Add(-time.Duration(40-10*i) * time.Second)
			d.Classes.Arrived(&jobs.Record{Spec: own, AcceptedMS: at.UnixMilli()}, at.UnixMilli(), time.Now())
		}
		spec := jobs.Spec{Ref: "wk-9", Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 200, CPU: 1, EstimateS: 300, Spot: true}
		guest := d.Job(spec, 200, 5)
		if !guest.Background() || !guest.Leftover() {
			t.Fatalf("the guest's work: background %v, leftover %v", guest.Background(), guest.Leftover())
		}
		if n := d.Decider.Open(guest); n < 20 || n > 130 {
			t.Errorf("%d of 160 CPUs are open to the guest", n)
		}
		// Then no more of the others come.
		time.Sleep(5 * time.Minute)
		d.Decider.NewRound()
		if n := d.Decider.Open(guest); n != 160 {
			t.Errorf("%d of 160 CPUs are open while nothing else comes", n)
		}
		// Neither forgotten.
		time.Sleep(time.Minute)
		d.Decider.Recount(time.Now())
		if guest.Leftover() {
			t.Error("no machine is rented for it, however long it waits")
		}
	})
}

func TestWhatIsLeftOverIsSharedByTeam(t *testing.T) {
	d := desk.New(t, aimed)
	waiting := func(ref, team string) *books.Job {
		return d.Job(jobs.Spec{Ref: ref, Team: team, Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 50, CPU: 1, EstimateS: 300, Spot: true}, 30, 5)
	}
	flood, late := waiting("wk-1", "loud"), waiting("wk-2", "quiet")
	d.Range("wk-1", "n1", 20, 6)
	queue := []*books.Job{flood, late}
	d.Decider.Sort(queue)
	if queue[0] != late {
		t.Error("the team that has 20 tasks running goes before the one that has none")
	}
}

// Arrays went to the ordinary room that is kept for gangs before cheap machines:
// a seventh of their tasks was stopped again, and the machines never fell empty.
func TestArraysGoFirstWhereNoUrgentGangMayStopThem(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	array := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 1, 2)
	dear, cheap := d.Machine("i-1", "n1", "m16", false), d.Machine("i-2", "n1", "m16", true)
	gang := jobs.Spec{Class: "g", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
	d.Classes.Arrived(&jobs.Record{Spec: gang}, 0, time.Now())
	if d.Decider.Rate(array, cheap) <= d.Decider.Rate(array, dear) {
		t.Error("kept ordinary room goes before cheap machines that gangs may not use")
	}
	gang.Spot = true
	d.Classes.Arrived(&jobs.Record{Spec: gang}, 0, time.Now())
	if d.Decider.Rate(array, dear) <= d.Decider.Rate(array, cheap) {
		t.Error("where gangs may use both, what is kept for them is lent first")
	}
}

// The pause of a blamed job, minutes long, was armed in the one timer there was,
// and every claim that staggers by 120 ms waited for the next recount.
func TestALongWaitDoesNotDelayAShortOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Decider.Again(5 * time.Minute)
		d.Decider.Again(100 * time.Millisecond)
		d.Decider.Again(time.Second) // the one before it will do
		d.Books.Seen()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		d.Next()
		if !d.Books.Touched() || d.Decider.Armed() || len(d.Loop.In()) > 0 {
			t.Errorf("after 200 ms: touched %v, armed %v, %d more", d.Books.Touched(), d.Decider.Armed(), len(d.Loop.In()))
		}
	})
}

// A machine was lost while a gang waited for room there: its other tasks kept
// their places for ever and it never started (sinai-huts-booking-fleet, zone, six
// seeds of six).
func TestAPlannedGangThatLosesAMachineIsPlacedAnew(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	d.Holds("n0", desk.Me, 2)
	for i := range 3 {
		d.Books.Heard(d.Machine(fmt.Sprintf("i-%d", i), "n0", "m16", false), true, false)
	}
	j := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 0, 4)
	r := d.Range("wk-1", "n0", 4, 4)
	d.Knows(5)
	d.Recovery.Check(time.Now())
	d.Decider.Round(time.Now())
	if n := r.Count(books.Placed); n != 4 {
		t.Fatalf("%d of 4 tasks placed", n)
	}
	lost := r.Slot(0).Machine()
	d.Books.Lose(lost)
	for range 2 {
		d.Decider.Round(time.Now())
	}
	if n := r.Count(books.Placed); n != 4 || lost.Load() > 0 {
		t.Errorf("%d of 4 tasks placed, %d on the lost machine", n, lost.Load())
	}
	if why := d.Decider.Why(j); why != "" {
		t.Errorf("a job that does not wait waits for %q", why)
	}
}

// The best placed controller claims a new job; another waits for its turn, and the job
// says why nothing was found for it.
func TestAJobTellsWhyItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Offers("m16")
		d.Holds("n0", desk.Me, 2)
		d.Books.Heard(d.Machine("i-1", "n0", "m16", false), true, false)
		j := d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}, 4, 4)
		time.Sleep(3 * tuning.ClaimStagger)
		d.Knows(5)
		d.Decider.Round(time.Now())
		if j.Busy() || d.Decider.Why(j) != "2 tasks fit, 4 needed" {
			t.Errorf("busy %v, why: %q", j.Busy(), d.Decider.Why(j))
		}
	})
}
