package jobdag

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// testIndex is what the index follows: records of unfinished jobs.
type testIndex struct {
	*Index
	records     map[string]*jobs.JobRecord
	changed     map[string]int
	finalStates map[string]FinalState
}

func newTestIndex() *testIndex {
	w := &testIndex{records: map[string]*jobs.JobRecord{}, changed: map[string]int{}, finalStates: map[string]FinalState{}}
	w.Index = New(func(ref string) *jobs.JobRecord { return w.records[ref] }, func(rec *jobs.JobRecord) float64 { return rec.EstimatedRunSeconds },
		func(string) float64 { return 1.5 }, func(ref string) { w.changed[ref]++ })
	return w
}

func (w *testIndex) add(ref, urgency string, runs float64, due float64, awaits ...string) {
	rec := &jobs.JobRecord{Spec: jobs.Spec{Ref: ref, Urgency: urgency, EstimatedRunSeconds: runs, DependsOn: awaits}}
	if due > 0 {
		rec.DeadlineSeconds = &due
	}
	w.records[ref] = rec
	w.ApplyRecord(rec, time.UnixMilli(0))
}

func (w *testIndex) end(ref string, f FinalState) {
	w.finalStates[ref] = f
	w.ApplyFinalState(ref, f, time.UnixMilli(7000))
	delete(w.records, ref)
	w.ApplyRecordDeletion(ref)
}

// A pipeline's last job has a deadline and a priority; those before it inherit them, less
// what comes after along the longest path, as soon as it is known and only as long.
func TestWhatIsInheritedAlongTheLongestPath(t *testing.T) {
	w := newTestIndex()
	w.add("trim", "idle", 15, 0)
	w.add("fold-1", "idle", 25, 0, "trim")
	w.add("fold-2", "idle", 60, 0, "trim")
	w.add("match", "normal", 20, 0, "trim")
	if p := w.Node("trim").Priority(0); p != 1 || w.Node("trim").DeadlinesMS()[0] != NoDeadline {
		t.Errorf("before the last job: priority %d, by %v", p, w.Node("trim").DeadlinesMS())
	}
	w.add("last", "high", 8, 100, "fold-1", "fold-2", "match")
	for ref, by := range map[string]int64{"last": 100_000, "fold-1": 92_000, "match": 92_000, "trim": 32_000} {
		if n := w.Node(ref); n.DeadlinesMS()[0] != by || n.Priority(0) != 2 {
			t.Errorf("%s: by %v, priority %d", ref, n.DeadlinesMS(), n.Priority(0))
		}
	}
	if by := w.Node("trim").DeadlinesMS()[1]; by != 82_000 { // of one and a half times the deadline
		t.Errorf("trim by %d at last", by)
	}
	w.end("trim", Done)
	w.end("fold-2", Cancelled) // and so the last one, for whose sake the others were urgent
	if n := w.Node("last"); !n.IsCancelledByDependency() || !n.IsBlocked() {
		t.Error("the last job may still run")
	}
	if n := w.Node("match"); n.Priority(1) != 1 || n.DeadlinesMS()[0] != NoDeadline || n.IsBlocked() || n.ReadyAt() != time.UnixMilli(7000) {
		t.Errorf("match: priority %d, by %v, waits %v, ready %v", n.Priority(1), n.DeadlinesMS(), n.IsBlocked(), n.ReadyAt())
	}
	if got := slices.Collect(w.CancelledByDependency()); !slices.Equal(got, []string{"last"}) {
		t.Error(got)
	}
}

// The index follows what a naive look at all records says, in whatever order records, ends
// and readings anew come, and forgets everything in the end.
func TestTheIndexSaysWhatALookAtAllRecordsSays(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newTestIndex()
		w.SetRememberedState(func(ref string) FinalState { return w.finalStates[ref] })
		var all []string
		recs := map[string]*jobs.JobRecord{}
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
			all, recs[ref] = append(all, ref), w.records[ref]
			if rnd.IntN(2) == 0 {
				x := all[rnd.IntN(len(all))]
				if w.records[x] != nil && !w.Node(x).IsBlocked() {
					w.end(x, Done)
				} else if w.records[x] != nil && rnd.IntN(3) == 0 {
					w.end(x, Cancelled)
				}
			}
			if rnd.IntN(15) == 0 { // all records are read anew, in another order
				w.Reset()
				for _, r := range w.records {
					w.ApplyRecord(r, time.UnixMilli(0))
				}
			}
			check(t, w, recs)
		}
		for _, ref := range all {
			if w.records[ref] != nil {
				w.end(ref, Done)
			}
		}
		if len(w.nodes)+len(w.cancelledByDependency)+len(w.unknown)+len(w.askedAt) > 0 {
			t.Fatalf("%d nodes are left, %d dead, %d unknown", len(w.nodes), len(w.cancelledByDependency), len(w.unknown))
		}
	}
}

func check(t *testing.T, w *testIndex, recs map[string]*jobs.JobRecord) {
	t.Helper()
	var dead func(ref string) bool
	dead = func(ref string) bool {
		if w.finalStates[ref] == Cancelled {
			return true
		}
		return w.finalStates[ref] == Unfinished && slices.ContainsFunc(recs[ref].DependsOn, dead)
	}
	var by func(ref string) (int64, jobs.Priority)
	by = func(ref string) (int64, jobs.Priority) {
		first, prio := OwnDeadlinesMS(recs[ref], func(string) float64 { return 1 })[0], recs[ref].Priority()
		for x, r := range w.records {
			if slices.Contains(r.DependsOn, ref) && !dead(x) {
				t, p := by(x)
				if prio = max(prio, p); t != NoDeadline {
					first = min(first, t-int64(r.EstimatedRunSeconds*1000))
				}
			}
		}
		return first, prio
	}
	for ref, rec := range w.records {
		n := w.Node(ref)
		waits := slices.ContainsFunc(rec.DependsOn, func(x string) bool { return w.finalStates[x] != Done })
		if n.IsCancelledByDependency() != dead(ref) || n.IsBlocked() != waits {
			t.Fatalf("%s after %v: dead %v, waits %v", ref, rec.DependsOn, n.IsCancelledByDependency(), n.IsBlocked())
		}
		if dead(ref) || n == nil {
			continue
		}
		if b, p := by(ref); n.DeadlinesMS()[0] != b || n.Priority(0) != p {
			t.Fatalf("%s: by %d, priority %d; should be by %d, priority %d", ref, n.DeadlinesMS()[0], n.Priority(0), b, p)
		}
	}
}

// One job that names a thousand, and a thousand that name it.
func TestAThousandInAndOut(t *testing.T) {
	w := newTestIndex()
	var all []string
	for i := range 1000 {
		all = append(all, fmt.Sprintf("wk-%d", i))
		w.add(all[i], "idle", 5, 0)
	}
	w.add("middle", "idle", 10, 0, all...)
	for i := range 1000 {
		w.add(fmt.Sprintf("wk-%d", 5000+i), "normal", 2, float64(100+i), "middle")
	}
	if n := w.Node("wk-7"); n.DeadlinesMS()[0] != 88_000 || n.Priority(0) != 1 || w.BlockedCount() != 1001 {
		t.Errorf("by %d, priority %d, %d wait", n.DeadlinesMS()[0], n.Priority(0), w.BlockedCount())
	}
	for _, ref := range all[:999] {
		w.end(ref, Done)
	}
	if !w.Node("middle").IsBlocked() || len(w.Node("middle").OpenDependencies()) != 1 {
		t.Error("it waits for", w.Node("middle").OpenDependencies())
	}
	w.end(all[999], Done)
	if w.Node("middle").IsBlocked() || w.BlockedCount() != 1000 {
		t.Errorf("%d wait", w.BlockedCount())
	}
	w.end("middle", Cancelled)
	if n := len(slices.Collect(w.CancelledByDependency())); n != 1000 {
		t.Errorf("%d can never run", n)
	}
}

// What is not known yet is asked for once in a while, and until then nothing starts.
func TestAnUnknownEndHoldsBack(t *testing.T) {
	w := newTestIndex()
	now := time.UnixMilli(100_000)
	w.add("wk-2", "idle", 1, 0, "wk-1")
	w.add("wk-3", "idle", 1, 0, "wk-2")
	if !w.Node("wk-2").IsBlocked() || !slices.Equal(w.UnknownAncestors("wk-3"), []string{"wk-1"}) {
		t.Error("it may start", w.UnknownAncestors("wk-3"))
	}
	if got := w.UnknownJobs(now.Add(-time.Second), now, 5); !slices.Equal(got, []string{"wk-1"}) {
		t.Error(got)
	}
	if got := w.UnknownJobs(now.Add(-time.Second), now.Add(time.Millisecond), 5); got != nil {
		t.Error("asked again at once:", got)
	}
	w.ApplyFinalState("wk-1", Cancelled, now)
	if !w.Node("wk-3").IsCancelledByDependency() || w.UnknownAncestors("wk-3") != nil || w.UnknownJobs(now, now.Add(time.Hour), 5) != nil {
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
		w := newTestIndex()
		recs := make([]*jobs.JobRecord, 0, 11_000)
		for i := range 10_000 {
			rec := &jobs.JobRecord{Spec: jobs.Spec{Ref: fmt.Sprintf("wk-%d", i), Urgency: "idle", EstimatedRunSeconds: 3}}
			if i%10 > 0 {
				rec.DependsOn = []string{fmt.Sprintf("wk-%d", i-1)}
			}
			recs = append(recs, rec)
		}
		wide := &jobs.JobRecord{Spec: jobs.Spec{Ref: "wide", Urgency: "high", EstimatedRunSeconds: 3}}
		for i := range 1000 {
			wide.DependsOn = append(wide.DependsOn, fmt.Sprintf("wk-%d", 10*i+9))
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		from := time.Now()
		for _, rec := range append(recs, wide) {
			w.records[rec.Ref] = rec
			w.ApplyRecord(rec, from)
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
		if w.Node("wide").IsBlocked() {
			b.Fatal("it waits for nobody")
		}
	}
}
