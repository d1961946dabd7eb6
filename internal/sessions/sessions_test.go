package sessions_test

import (
	"testing"

	"cherrywall/internal/books"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/fake/night"
	"cherrywall/internal/jobs"
	"cherrywall/internal/sessions"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

// A report that a cut had held up was taken for news by the share's next
// holder: it booked the task where it had been, and when the worker's next
// report did not list it, took it for nowhere, while the holder in between had
// started it on another worker (ran_twice on five drawn days of sinai).
func TestAReportFromBeforeTheHandoverIsNoEvidence(t *testing.T) {
	d := desk.New(t, nil)
	d.Mirror.News(nil, 5)
	d.Machine("i-1", "n0", "m4", false)
	d.Machine("i-2", "n0", "m4", false)
	d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Tasks: 1, CPU: 1}, 0, 4)
	r := d.Range("wk-1", "n0", 1, 4)
	d.Holds("n0", desk.Me, 10)
	d.Knows(10)
	there := worker.Entry{Task: "wk-1/0", Try: 3, Status: worker.Running}
	if v := d.Hears("i-1", 5, 6, there); v.Status != 200 || v.Answer.Token != 10 || len(v.Answer.Orders) > 0 {
		t.Fatalf("the old report was answered %+v", v)
	}
	d.Hears("i-1", 6, 10)
	if st := r.State(0); st != books.Unknown {
		t.Fatalf("the task counts as state %d while a worker of the share is unheard", st)
	}
	d.Hears("i-2", 9, 10, there)
	if st := r.State(0); st != books.Placed {
		t.Errorf("the task is in state %d, not booked where it runs", st)
	}
	if v := d.Hears("i-2", 8, 10); v.Status != 503 || r.State(0) != books.Placed {
		t.Errorf("a report that came late was answered %+v", v)
	}
}

// A new holder heard its workers before the watch had told it of a range that
// the holder before had claimed last; the range's task ran on, the worker counted
// as heard without it, and it was started a second time.
func TestNoReportCountsBeforeTheRangesOfTheShareAreKnown(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	d.Machine("i-1", "n1", "m16", false)
	d.Knows(5)
	d.Holds("n1", desk.Me, 10) // our own write
	running := worker.Entry{Task: "wk-1/0", Try: 4, Status: worker.Running}
	d.Hears("i-1", 1, 10, running)
	if m := d.Books.Machine("i-1"); m.Is().Heard || m.Load() > 0 {
		t.Error("heard before the ranges are known")
	}
	job := jobs.Record{Spec: jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 7}}
	d.Mirror.News([]state.Event{desk.Event(jobs.JobKey("wk-1"), job, 8),
		desk.Event(jobs.RangeKey("wk-1", 0), jobs.Range{Share: "n1", N: 2}, 8)}, 10)
	r := d.Books.Job("wk-1").Range(0)
	if r.Count(books.Unknown) != 2 {
		t.Error("settled by a report that came too early")
	}
	d.Hears("i-1", 2, 10, running)
	if s := r.Slot(0); s == nil || s.Try() != 4 || s.Is().Stop || r.Count(books.Unknown) != 0 {
		t.Errorf("the running task after the next report: %+v", s)
	}
}

// What a recall notice leaves time for is saved; what was only planned is freed at once.
func TestARecalledMachineSavesWhatItCan(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	m := d.Machine("i-1", "n0", "m16", true)
	d.Mirror.News(nil, 5)
	d.Holds("n0", desk.Me, 5)
	d.Knows(5)
	d.Hears("i-1", 1, 5)
	d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 2, CPU: 1, CheckpointS: 20, SaveS: 3}, 0, 6)
	r := d.Range("wk-1", "n0", 2, 7)
	d.Books.LaunchSent(d.Books.Place(r, 0, m, 9))
	d.Books.Place(r, 1, m, 9)
	d.Sessions.Hear(m, &worker.Report{Host: "i-1", Watch: 1, Tick: 2, Recall: func() *float64 { s := 8.0; return &s }(),
		Tasks: []worker.Entry{{Task: "wk-1/0", Try: 9, Status: worker.Running}}}, m.When().Reported)
	if s := r.Slot(0); s == nil || !s.Is().Stop || s.Is().Leeway != 8 {
		t.Errorf("the running task: %+v", s)
	}
	if r.State(1) != books.Ready || d.Books.Usable(m) {
		t.Errorf("the planned one is in state %d, the machine usable: %v", r.State(1), d.Books.Usable(m))
	}
}

// On the nights on which troubles meet a report that came late and was taken for news would
// have a task run twice.
func TestAnOldReportTakenForNewsIsFound(t *testing.T) {
	defer sessions.TakeOldReports()()
	if !night.Found(t, 60, "ran_twice") {
		t.Error("60 nights of the broken variant kept the rule")
	}
}
