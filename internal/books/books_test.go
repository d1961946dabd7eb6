package books_test

import (
	"testing"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/worker"
)

func ready(t *testing.T) (d *desk.Desk, m *books.Machine, r *books.Range) {
	t.Helper()
	d = desk.New(t, nil)
	d.Offers("m16")
	m = d.Machine("i-1", "n0", "m16", false)
	d.Mirror.News(nil, 5)
	d.Holds("n0", desk.Me, 5)
	d.Books.Heard(m, true, false)
	d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 3, CPU: 4}, 0, 6)
	return d, m, d.Range("wk-1", "n0", 3, 7)
}

func fit(d *desk.Desk) int {
	j := d.Books.Job("wk-1")
	return d.Books.Counts().Count(j.Need(), j.Rec().Allows)
}

// A task's life, and the counts that follow each step of it.
func TestTheCountsFollowATaskFromThePlanToItsEnd(t *testing.T) {
	d, m, r := ready(t)
	if r.Count(books.Ready) != 3 || fit(d) != 4 {
		t.Fatalf("claimed in our tenure: %d of 3 may start, %d fit", r.Count(books.Ready), fit(d))
	}
	s := d.Books.Place(r, 1, m, 9)
	if fit(d) != 3 || !s.Is().Planned() || d.Books.Waiting(m) != 1 {
		t.Errorf("planned: %d fit, %d orders wait", fit(d), d.Books.Waiting(m))
	}
	d.Books.LaunchSent(s)
	if same := d.Books.Shows(s, worker.Running, time.Now()); same || d.Books.Waiting(m) != 0 {
		t.Errorf("shown to run: known before %v, %d orders wait", same, d.Books.Waiting(m))
	}
	d.Books.Halt(s, 5)
	if fit(d) != 4 || d.Books.RoomNow(m).CPU != 16 { // it saves nothing: gone with the order
		t.Errorf("stopping: %d fit, %v free now", fit(d), d.Books.RoomNow(m))
	}
	d.Books.Halt(s, 8)
	if s.Is().Leeway != 5 {
		t.Error("given more time than before")
	}
	d.Books.Exited(s)
	d.Books.MarkDone(r, 1, s)
	if done, active := r.Job().Progress(); r.State(1) != books.Finished || r.Done() != 1 || done != 0 || active != 0 {
		t.Errorf("state %d, done %d, told to users: %d done, %d active", r.State(1), r.Done(), done, active)
	}
	if !r.DoneRecord().Done.Has(1) || r.Rec().Done.Has(1) {
		t.Error("what is to be recorded as done")
	}
}

// One attempt on two workers must not count twice, and neither of two may vanish from
// the books while it runs.
func TestATaskOnASecondWorkerIsStoppedThere(t *testing.T) {
	d, m, r := ready(t)
	other := d.Machine("i-2", "n0", "m16", false)
	d.Books.Heard(other, true, false)
	d.Books.LaunchSent(d.Books.Place(r, 0, m, 9))
	e := worker.Entry{Task: "wk-1/0", Try: 7, Status: worker.Running}
	f := d.Books.Find(other, e)
	if want := (books.Finding{Job: true, Claimed: true, Elsewhere: true}); f != want {
		t.Errorf("found %+v", f)
	}
	s := d.Books.Adopt(other, e, false)
	if !s.Is().Stop || s.Job() != nil || other.Load() != 1 || r.Slot(0).Machine() != m {
		t.Errorf("the second: %+v, the first on %s", s.Is(), r.Slot(0).Machine().Host())
	}
	d.Books.End(r.Job())
	if f := r.Slot(0); f == nil || !f.Is().Stop || f.Job() != nil {
		t.Error("a task of a job that is over goes on")
	}
}

// A gang starts as a whole; when one of its tasks is lost, the others have to go before
// the next try.
func TestAGangIsOneTry(t *testing.T) {
	d, m, _ := ready(t)
	j := d.Job(jobs.Spec{Ref: "wk-2", Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, 8)
	r := d.Range("wk-2", "n0", 2, 9)
	d.Books.Plan(j, 4)
	first := d.Books.Place(r, 0, m, 4)
	if d.Books.GangReady(j) {
		t.Error("half a gang may start")
	}
	second := d.Books.Place(r, 1, m, 4)
	if !d.Books.GangReady(j) || !d.Books.StartGang(j) || d.Books.StartGang(j) {
		t.Error("the whole one may not, or begins twice")
	}
	d.Books.LaunchSent(first)
	d.Books.LaunchSent(second)
	d.Books.Unplace(first) // lost
	if d.Books.GangReady(j) {
		t.Error("a broken try goes on")
	}
	d.Books.HealGang(j)
	if !second.Is().Stop {
		t.Error("the rest of a broken try is not stopped")
	}
	d.Books.Unplace(second)
	d.Books.HealGang(j)
	if try, started := j.Attempt(); try != 0 || started {
		t.Errorf("the next try begins with %d, started %v", try, started)
	}
}

// What the holder before knew is booked as it was; a plan of a job that is over by now is not.
func TestWhatIsInheritedStandsAsItWas(t *testing.T) {
	d, m, r := ready(t)
	now, running := time.Now(), books.Course{Sent: true, Seen: true, Status: worker.Running}
	d.Books.Inherit(m, books.Known{Entry: worker.Entry{Task: "wk-1/0", Try: 9}, Is: running, Ran: time.Minute}, true, now)
	if s := r.Slot(0); s == nil || s.Try() != 9 || s.Is().Stop || now.Sub(s.Is().Since) != time.Minute || r.State(0) != books.Placed {
		t.Fatalf("%+v", s)
	}
	d.Books.Inherit(m, books.Known{Entry: worker.Entry{Task: "wk-9/0", Try: 3}, Is: running}, false, now)
	if s := m.Slot("wk-9/0"); s == nil || !s.Is().Stop || s.Is().Halted {
		t.Errorf("a task of no known job: %+v", s)
	}
	d.Books.Inherit(m, books.Known{Entry: worker.Entry{Task: "wk-9/1", Try: 3}}, false, now)
	if m.Slot("wk-9/1") != nil {
		t.Error("a plan of no known job takes room")
	}
}
