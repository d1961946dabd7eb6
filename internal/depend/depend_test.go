package depend

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// world is what the index follows: records of unfinished jobs.
type world struct {
	*Index
	recs    map[string]*jobs.Record
	changed map[string]int
	fates   map[string]Fate
}

func newWorld() *world {
	w := &world{recs: map[string]*jobs.Record{}, changed: map[string]int{}, fates: map[string]Fate{}}
	w.Index = New(func(ref string) *jobs.Record { return w.recs[ref] }, func(rec *jobs.Record) float64 { return rec.EstimateS },
		func(string) float64 { return 1.5 }, func(ref string) { w.changed[ref]++ })
	return w
}

func (w *world) add(ref, urgency string, runs float64, due float64, awaits ...string) {
	rec := &jobs.Record{Spec: jobs.Spec{Ref: ref, Urgency: urgency, EstimateS: runs, Awaits: awaits}}
	if due > 0 {
		rec.DueS = &due
	}
	w.recs[ref] = rec
	w.Recorded(rec, time.UnixMilli(0))
}

func (w *world) end(ref string, f Fate) {
	w.fates[ref] = f
	w.Ended(ref, f, time.UnixMilli(7000))
	delete(w.recs, ref)
	w.Over(ref)
}

// A pipeline's last job has a deadline and a priority; those before it inherit them, less
// what comes after along the longest path, as soon as it is known and only as long.
func TestWhatIsInheritedAlongTheLongestPath(t *testing.T) {
	w := newWorld()
	w.add("trim", "idle", 15, 0)
	w.add("fold-1", "idle", 25, 0, "trim")
	w.add("fold-2", "idle", 60, 0, "trim")
	w.add("match", "normal", 20, 0, "trim")
	if p := w.Node("trim").Priority(0); p != 1 || w.Node("trim").By()[0] != Never {
		t.Errorf("before the last job: priority %d, by %v", p, w.Node("trim").By())
	}
	w.add("last", "high", 8, 100, "fold-1", "fold-2", "match")
	for ref, by := range map[string]int64{"last": 100_000, "fold-1": 92_000, "match": 92_000, "trim": 32_000} {
		if n := w.Node(ref); n.By()[0] != by || n.Priority(0) != 2 {
			t.Errorf("%s: by %v, priority %d", ref, n.By(), n.Priority(0))
		}
	}
	if by := w.Node("trim").By()[1]; by != 82_000 { // of one and a half times the deadline
		t.Errorf("trim by %d at last", by)
	}
	w.end("trim", Done)
	w.end("fold-2", Cancelled) // and so the last one, for whose sake the others were urgent
	if n := w.Node("last"); !n.Dead() || !n.Waits() {
		t.Error("the last job may still run")
	}
	if n := w.Node("match"); n.Priority(1) != 1 || n.By()[0] != Never || n.Waits() || n.Ready() != time.UnixMilli(7000) {
		t.Errorf("match: priority %d, by %v, waits %v, ready %v", n.Priority(1), n.By(), n.Waits(), n.Ready())
	}
	if got := slices.Collect(w.Dead()); !slices.Equal(got, []string{"last"}) {
		t.Error(got)
	}
}

// The index follows what a naive look at all records says, in whatever order records, ends
// and readings anew come, and forgets everything in the end.
func TestTheIndexSaysWhatALookAtAllRecordsSays(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newWorld()
		w.Recall(func(ref string) Fate { return w.fates[ref] })
		var all []string
		recs := map[string]*jobs.Record{}
		for i := range 60 {
			ref := fmt.Sprintf("wk-%d", i)
			var awaits []string
			for range rnd.IntN(4) {
				if len(all) > 0 {
					if x := all[rnd.IntN(len(all))]; !slices.Contains(awaits, x) {
						awaits = append(awaits, x)
					}
				}
			}
			w.add(ref, []string{"idle", "normal", "high"}[rnd.IntN(3)], float64(1+rnd.IntN(9)), float64(rnd.IntN(3)*50), awaits...)
			all, recs[ref] = append(all, ref), w.recs[ref]
			if rnd.IntN(2) == 0 {
				x := all[rnd.IntN(len(all))]
				if w.recs[x] != nil && !w.Node(x).Waits() {
					w.end(x, Done)
				} else if w.recs[x] != nil && rnd.IntN(3) == 0 {
					w.end(x, Cancelled)
				}
			}
			if rnd.IntN(15) == 0 { // all records are read anew, in another order
				w.Reset()
				for _, r := range w.recs {
					w.Recorded(r, time.UnixMilli(0))
				}
			}
			check(t, w, recs)
		}
		for _, ref := range all {
			if w.recs[ref] != nil {
				w.end(ref, Done)
			}
		}
		if len(w.nodes)+len(w.dead)+len(w.blank)+len(w.asked) > 0 {
			t.Fatalf("%d nodes are left, %d dead, %d unknown", len(w.nodes), len(w.dead), len(w.blank))
		}
	}
}

func check(t *testing.T, w *world, recs map[string]*jobs.Record) {
	t.Helper()
	var dead func(ref string) bool
	dead = func(ref string) bool {
		if w.fates[ref] == Cancelled {
			return true
		}
		return w.fates[ref] == Open && slices.ContainsFunc(recs[ref].Awaits, dead)
	}
	var by func(ref string) (int64, jobs.Priority)
	by = func(ref string) (int64, jobs.Priority) {
		first, prio := Due(recs[ref], func(string) float64 { return 1 })[0], recs[ref].Priority()
		for x, r := range w.recs {
			if slices.Contains(r.Awaits, ref) && !dead(x) {
				t, p := by(x)
				if prio = max(prio, p); t != Never {
					first = min(first, t-int64(r.EstimateS*1000))
				}
			}
		}
		return first, prio
	}
	for ref, rec := range w.recs {
		n := w.Node(ref)
		waits := slices.ContainsFunc(rec.Awaits, func(x string) bool { return w.fates[x] != Done })
		if n.Dead() != dead(ref) || n.Waits() != waits {
			t.Fatalf("%s after %v: dead %v, waits %v", ref, rec.Awaits, n.Dead(), n.Waits())
		}
		if dead(ref) || n == nil {
			continue
		}
		if b, p := by(ref); n.By()[0] != b || n.Priority(0) != p {
			t.Fatalf("%s: by %d, priority %d; should be by %d, priority %d", ref, n.By()[0], n.Priority(0), b, p)
		}
	}
}

// One job that names a thousand, and a thousand that name it.
func TestAThousandInAndOut(t *testing.T) {
	w := newWorld()
	var all []string
	for i := range 1000 {
		all = append(all, fmt.Sprintf("wk-%d", i))
		w.add(all[i], "idle", 5, 0)
	}
	w.add("middle", "idle", 10, 0, all...)
	for i := range 1000 {
		w.add(fmt.Sprintf("wk-%d", 5000+i), "normal", 2, float64(100+i), "middle")
	}
	if n := w.Node("wk-7"); n.By()[0] != 88_000 || n.Priority(0) != 1 || w.Waiting() != 1001 {
		t.Errorf("by %d, priority %d, %d wait", n.By()[0], n.Priority(0), w.Waiting())
	}
	for _, ref := range all[:999] {
		w.end(ref, Done)
	}
	if !w.Node("middle").Waits() || len(w.Node("middle").For()) != 1 {
		t.Error("it waits for", w.Node("middle").For())
	}
	w.end(all[999], Done)
	if w.Node("middle").Waits() || w.Waiting() != 1000 {
		t.Errorf("%d wait", w.Waiting())
	}
	w.end("middle", Cancelled)
	if n := len(slices.Collect(w.Dead())); n != 1000 {
		t.Errorf("%d can never run", n)
	}
}

// What is not known yet is asked for once in a while, and until then nothing starts.
func TestAnUnknownEndHoldsBack(t *testing.T) {
	w := newWorld()
	now := time.UnixMilli(100_000)
	w.add("wk-2", "idle", 1, 0, "wk-1")
	w.add("wk-3", "idle", 1, 0, "wk-2")
	if !w.Node("wk-2").Waits() || !slices.Equal(w.Unsure("wk-3"), []string{"wk-1"}) {
		t.Error("it may start", w.Unsure("wk-3"))
	}
	if got := w.Unknown(now.Add(-time.Second), now, 5); !slices.Equal(got, []string{"wk-1"}) {
		t.Error(got)
	}
	if got := w.Unknown(now.Add(-time.Second), now.Add(time.Millisecond), 5); got != nil {
		t.Error("asked again at once:", got)
	}
	w.Ended("wk-1", Cancelled, now)
	if !w.Node("wk-3").Dead() || w.Unsure("wk-3") != nil || w.Unknown(now, now.Add(time.Hour), 5) != nil {
		t.Error("the end of the first is not passed on")
	}
}

// 10,000 jobs that wait: a thousand pipelines of ten stages, and one job that names a
// thousand. What the index takes for each, and the time of a record and of an end.
func BenchmarkTenThousandWaitingJobs(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newWorld()
		recs := make([]*jobs.Record, 0, 11_000)
		for i := range 10_000 {
			rec := &jobs.Record{Spec: jobs.Spec{Ref: fmt.Sprintf("wk-%d", i), Urgency: "idle", EstimateS: 3}}
			if i%10 > 0 {
				rec.Awaits = []string{fmt.Sprintf("wk-%d", i-1)}
			}
			recs = append(recs, rec)
		}
		wide := &jobs.Record{Spec: jobs.Spec{Ref: "wide", Urgency: "high", EstimateS: 3}}
		for i := range 1000 {
			wide.Awaits = append(wide.Awaits, fmt.Sprintf("wk-%d", 10*i+9))
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		from := time.Now()
		for _, rec := range append(recs, wide) {
			w.recs[rec.Ref] = rec
			w.Recorded(rec, from)
		}
		b.ReportMetric(float64(time.Since(from).Nanoseconds())/10_001, "ns/record")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10_001, "B/job")
		from = time.Now()
		for _, rec := range recs {
			w.end(rec.Ref, Done)
		}
		b.ReportMetric(float64(time.Since(from).Nanoseconds())/10_000, "ns/end")
		if w.Node("wide").Waits() {
			b.Fatal("it waits for nobody")
		}
	}
}
