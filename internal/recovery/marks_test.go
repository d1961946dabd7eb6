package recovery_test

import (
	"encoding/json"
	"testing"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/worker"
)

// gang records a gang of two, claimed by a share with a mark.
func gang(d *desk.Desk, ref, share string, stamp uint64, on ...string) *books.Range {
	d.Job(jobs.Spec{Ref: ref, Kind: jobs.Gang, Urgency: "high", Tasks: 2, CPU: 7}, 0, stamp)
	d.Wrote(jobs.RangeKey(ref, 0), jobs.Range{Share: share, N: 2, On: on}, stamp)
	return d.Books.Job(ref).Range(0)
}

// One kind of machine means that every silent one could run every task: nothing that was
// claimed started before all were heard or their time was over. A gang's mark says where
// it can be.
func TestASilentWorkerHoldsBackOnlyTheGangsMarkedForIt(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	d.Holds("n1", desk.N1, 2)
	for _, h := range []string{"i-1", "i-2", "i-3"} {
		d.Machine(h, "n1", "m16", false)
	}
	here, there, anywhere := gang(d, "wk-1", "n1", 4, "i-1", "i-2"), gang(d, "wk-2", "n1", 5, "i-2", "i-3"), gang(d, "wk-3", "n1", 6)
	d.Mirror.News(nil, 9)
	d.Wrote(jobs.SharePrefix+"n1", json.RawMessage(membership.ShareRecord(desk.Me, desk.Boot, d.Holders.Share("n1"), time.Now())), 10)
	d.Knows(10)
	d.Recovery.Check(time.Now())
	if n := here.Count(books.Ready); n != 0 {
		t.Fatalf("%d tasks are ready before anybody was heard", n)
	}
	for _, h := range []string{"i-1", "i-2"} {
		d.Sessions.Hear(d.Books.Machine(h), &worker.Report{Host: h, Watch: 1, Tick: 1, Token: 10}, time.Now())
	}
	d.Recovery.Check(time.Now())
	if here.Count(books.Ready) != 2 || there.Count(books.Unknown) != 2 || anywhere.Count(books.Unknown) != 2 {
		t.Errorf("ready %d of the gang on those heard; unknown %d that may be on the silent one, %d without a mark",
			here.Count(books.Ready), there.Count(books.Unknown), anywhere.Count(books.Unknown))
	}
	v := d.Recovery.Views(time.Now())
	if len(v) != 1 || v[0].Stage != "squaring reports" || v[0].Waiting != 1 || v[0].Some[0] != "i-3" || v[0].Tasks != 4 {
		t.Errorf("the view says %+v", v)
	}
}

// A controller of an earlier version keeps to no marks: what it held is not to be trusted.
func TestMarksAreNotTrustedAfterAHolderThatKnewOfNone(t *testing.T) {
	d := desk.New(t, nil)
	d.Holds("n1", desk.N1, 2)
	r := gang(d, "wk-1", "n1", 4, "i-1")
	if r.MayBeOn("i-2") {
		t.Error("a mark in force is not kept to")
	}
	d.Wrote(jobs.SharePrefix+"n1", map[string]any{"holder": "n2", "boot": 3}, 6)
	if !r.MayBeOn("i-2") {
		t.Error("trusted under a holder that knows of no marks")
	}
	d.Wrote(jobs.SharePrefix+"n1", json.RawMessage(membership.ShareRecord(desk.Me, desk.Boot, d.Holders.Share("n1"), time.Now())), 8)
	late := gang(d, "wk-2", "n1", 9, "i-1")
	if !r.MayBeOn("i-2") || late.MayBeOn("i-2") {
		t.Errorf("of before %v, of after %v", r.MayBeOn("i-2"), late.MayBeOn("i-2"))
	}
}

// A gang that is planned anew is ordered only once its mark is durable; a write without an
// answer leaves open which mark holds until the record has another stamp.
func TestAGangPlannedElsewhereWaitsForItsMark(t *testing.T) {
	d := desk.New(t, nil)
	d.Offers("m16")
	d.Holds("n0", desk.Me, 2)
	a, b, c := d.Machine("i-1", "n0", "m16", false), d.Machine("i-2", "n0", "m16", false), d.Machine("i-3", "n0", "m16", false)
	for _, m := range []*books.Machine{a, b, c} {
		d.Books.Heard(m, true, false)
	}
	d.Knows(3)
	r := gang(d, "wk-1", "n0", 4, "i-1", "i-2")
	j := r.Job()
	plan := func(ms ...*books.Machine) {
		for i := range ms {
			if s := r.Slot(i); s != nil {
				d.Books.Unplace(s)
			}
		}
		d.Books.Plan(j, 9)
		for i, m := range ms {
			d.Books.Place(r, i, m, 9)
		}
	}
	plan(a, b)
	if !d.Books.GangReady(j) {
		t.Fatal("planned where it is marked, and not ready")
	}
	plan(a, c)
	if d.Books.GangReady(j) {
		t.Fatal("ready on a worker that no mark names")
	}
	d.Claims.Remark(r) // the desk's state service does not answer
	if plan(a, b); d.Books.GangReady(j) {
		t.Error("ready while its mark is being written")
	}
	d.Next()
	if d.Books.GangReady(j) {
		t.Error("ready although it is not known which mark holds")
	}
	d.Wrote(jobs.RangeKey("wk-1", 0), jobs.Range{Share: "n0", N: 2, On: []string{"i-1", "i-3"}}, 11)
	if d.Books.GangReady(j) {
		t.Error("the write was applied after all, and it is ready elsewhere")
	}
	if plan(a, c); !d.Books.GangReady(j) {
		t.Error("not ready where the mark says")
	}
}
