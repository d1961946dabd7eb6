package jobdag

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

// testIndex is an index together with the records and final states that are applied to it.
type testIndex struct {
	*Index
	records     map[string]*jobs.JobRecord // records of the unfinished jobs
	changes     map[string]int             // number of OnChange calls, by job
	finalStates map[string]FinalState
}

func newTestIndex() *testIndex {
	x := &testIndex{records: map[string]*jobs.JobRecord{}, changes: map[string]int{}, finalStates: map[string]FinalState{}}
	x.Index = New(Config{
		UnfinishedRecord:   func(ref string) *jobs.JobRecord { return x.records[ref] },
		ExpectedRunSeconds: func(record *jobs.JobRecord) float64 { return record.EstimatedRunSeconds },
		DeadlineMultiple:   func(string) float64 { return 1.5 },
		OnChange:           func(ref string) { x.changes[ref]++ },
	})
	return x
}

// add adds the record of an unfinished job. A dueS of 0 means no deadline.
func (x *testIndex) add(ref, urgency string, runS, dueS float64, dependsOn ...string) {
	record := &jobs.JobRecord{Spec: jobs.Spec{Ref: ref, Urgency: urgency, EstimatedRunSeconds: runS, DependsOn: dependsOn}}
	if dueS > 0 {
		record.DeadlineSeconds = &dueS
	}
	x.records[ref] = record
	x.ApplyRecord(record, time.UnixMilli(0))
}

// reload reads all records anew, in another order, in a batch or one by one.
func (x *testIndex) reload(isBatch bool) {
	x.Reset()
	load := func() {
		for _, record := range x.records {
			x.ApplyRecord(record, time.UnixMilli(0))
		}
	}
	if isBatch {
		x.Batch(load)
		return
	}
	load()
}

// end applies a job's final state and the deletion of its record.
func (x *testIndex) end(ref string, finalState FinalState) {
	x.finalStates[ref] = finalState
	x.ApplyFinalState(ref, finalState, time.UnixMilli(7000))
	delete(x.records, ref)
	x.ApplyRecordDeletion(ref)
}

// The dependencies of a pipeline's last job inherit its priority and its deadline, which is reduced by
// the run times along the longest path. They inherit the two values as soon as the last job is added,
// and stop inheriting them when that job can never run any more.
func TestInheritedDeadlinesFollowLongestPath(t *testing.T) {
	x := newTestIndex()
	x.add("trim", "idle", 15, 0)
	x.add("fold-1", "idle", 25, 0, "trim")
	x.add("fold-2", "idle", 60, 0, "trim")
	x.add("match", "normal", 20, 0, "trim")
	if p := x.Node("trim").Priority(0); p != 1 || x.Node("trim").Deadlines().DueMS != NoDeadline {
		t.Errorf("before the last job: priority %d, deadlines %v", p, x.Node("trim").Deadlines())
	}
	x.add("last", "high", 8, 100, "fold-1", "fold-2", "match")
	for ref, dueMS := range map[string]int64{"last": 100_000, "fold-1": 92_000, "match": 92_000, "trim": 32_000} {
		if n := x.Node(ref); n.Deadlines().DueMS != dueMS || n.Priority(0) != 2 {
			t.Errorf("%s: deadlines %v, priority %d", ref, n.Deadlines(), n.Priority(0))
		}
	}
	if ms := x.Node("trim").Deadlines().LastUsefulMS; ms != 82_000 { // 1.5 times the deadline, less the run times
		t.Errorf("trim: last useful deadline %d", ms)
	}
	x.end("trim", Done)
	x.end("fold-2", Cancelled) // cancels the last job as well, so the other jobs inherit nothing from it
	if n := x.Node("last"); !n.IsCancelledByDependency() || !n.IsBlocked() {
		t.Error("the last job is not cancelled by its dependency")
	}
	if n := x.Node("match"); n.Priority(1) != 1 || n.Deadlines().DueMS != NoDeadline || n.IsBlocked() || n.ReadyAt() != time.UnixMilli(7000) {
		t.Errorf("match: priority %d, deadlines %v, blocked %v, ready at %v", n.Priority(1), n.Deadlines(), n.IsBlocked(), n.ReadyAt())
	}
	if got := slices.Collect(x.JobsCancelledByDependency()); !slices.Equal(got, []string{"last"}) {
		t.Error(got)
	}
}

// The index agrees with a naive computation over all records, in whatever order records, final states
// and resets are applied, and is empty once all jobs have ended.
func TestIndexMatchesNaiveComputation(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		x := newTestIndex()
		x.SetFinalStateLookup(func(ref string) FinalState { return x.finalStates[ref] })
		var refs []string
		records := map[string]*jobs.JobRecord{}
		for i := range 60 {
			ref := fmt.Sprintf("wk-%d", i)
			dependsOn := randomDependencies(rnd, refs)
			x.add(ref, []string{"idle", "normal", "high"}[rnd.IntN(3)], float64(1+rnd.IntN(9)), float64(rnd.IntN(3)*50), dependsOn...)
			refs, records[ref] = append(refs, ref), x.records[ref]
			if rnd.IntN(2) == 0 {
				x.endRandomJob(rnd, refs)
			}
			if rnd.IntN(15) == 0 { // read all records anew, in another order
				x.reload(i%2 == 0)
			}
			checkAgainstRecords(t, x, records)
		}
		for _, ref := range refs {
			if x.records[ref] != nil {
				x.end(ref, Done)
			}
		}
		if len(x.nodes)+len(x.cancelledByDependency)+len(x.unknownNodes)+len(x.requestedAt) > 0 {
			t.Fatalf("%d nodes are left, %d cancelled, %d unknown", len(x.nodes), len(x.cancelledByDependency), len(x.unknownNodes))
		}
	}
}

// randomDependencies returns up to three of the given jobs, without duplicates.
func randomDependencies(rnd *rand.Rand, refs []string) []string {
	var dependsOn []string
	for range rnd.IntN(4) {
		if len(refs) == 0 {
			continue
		}
		if ref := refs[rnd.IntN(len(refs))]; !slices.Contains(dependsOn, ref) {
			dependsOn = append(dependsOn, ref)
		}
	}
	return dependsOn
}

// endRandomJob picks one of the given jobs, and may end it if it is unfinished: a job that is not
// blocked ends as done, and a blocked one ends as cancelled with a probability of 1/3.
func (x *testIndex) endRandomJob(rnd *rand.Rand, refs []string) {
	ref := refs[rnd.IntN(len(refs))]
	if x.records[ref] != nil && !x.Node(ref).IsBlocked() {
		x.end(ref, Done)
	} else if x.records[ref] != nil && rnd.IntN(3) == 0 {
		x.end(ref, Cancelled)
	}
}

// naiveGraph computes from all records what the index maintains incrementally.
type naiveGraph struct {
	x       *testIndex
	records map[string]*jobs.JobRecord // records of all jobs, including those that have ended
}

func (g naiveGraph) isCancelled(ref string) bool {
	if g.x.finalStates[ref] == Cancelled {
		return true
	}
	return g.x.finalStates[ref] == Unfinished && slices.ContainsFunc(g.records[ref].DependsOn, g.isCancelled)
}

func (g naiveGraph) computeDeadlineAndPriority(ref string) (dueMS int64, priority jobs.Priority) {
	dueMS = OwnDeadlines(g.records[ref], func(string) float64 { return 1 }).DueMS
	priority = g.records[ref].Priority()
	for dependent, record := range g.x.records {
		if !slices.Contains(record.DependsOn, ref) || g.isCancelled(dependent) {
			continue
		}
		dependentDueMS, dependentPriority := g.computeDeadlineAndPriority(dependent)
		priority = max(priority, dependentPriority)
		if dependentDueMS != NoDeadline {
			dueMS = min(dueMS, dependentDueMS-int64(record.EstimatedRunSeconds*1000))
		}
	}
	return dueMS, priority
}

func checkAgainstRecords(t *testing.T, x *testIndex, records map[string]*jobs.JobRecord) {
	t.Helper()
	naive := naiveGraph{x, records}
	for ref, record := range x.records {
		n := x.Node(ref)
		shouldBeCancelled := naive.isCancelled(ref)
		shouldBeBlocked := slices.ContainsFunc(record.DependsOn, func(ref string) bool { return x.finalStates[ref] != Done })
		if n.IsCancelledByDependency() != shouldBeCancelled || n.IsBlocked() != shouldBeBlocked {
			t.Fatalf("%s with dependencies %v: cancelled %v, blocked %v", ref, record.DependsOn, n.IsCancelledByDependency(), n.IsBlocked())
		}
		if shouldBeCancelled || n == nil {
			continue
		}
		if dueMS, p := naive.computeDeadlineAndPriority(ref); n.Deadlines().DueMS != dueMS || n.Priority(0) != p {
			t.Fatalf("%s: due %d, priority %d; should be due %d, priority %d", ref, n.Deadlines().DueMS, n.Priority(0), dueMS, p)
		}
	}
}

// A job with a thousand dependencies and a thousand dependents passes the priority and deadlines of its
// dependents on to its dependencies, is blocked until all of these are done, and cancels its dependents
// when it is cancelled.
func TestJobIsBlockedUntilThousandDependenciesAreDone(t *testing.T) {
	x := newTestIndex()
	var refs []string
	for i := range 1000 {
		refs = append(refs, fmt.Sprintf("wk-%d", i))
		x.add(refs[i], "idle", 5, 0)
	}
	x.add("middle", "idle", 10, 0, refs...)
	for i := range 1000 {
		x.add(fmt.Sprintf("wk-%d", 5000+i), "normal", 2, float64(100+i), "middle")
	}
	if n := x.Node("wk-7"); n.Deadlines().DueMS != 88_000 || n.Priority(0) != 1 || x.BlockedCount() != 1001 {
		t.Errorf("due %d, priority %d, %d blocked", n.Deadlines().DueMS, n.Priority(0), x.BlockedCount())
	}
	for _, ref := range refs[:999] {
		x.end(ref, Done)
	}
	if !x.Node("middle").IsBlocked() || len(x.Node("middle").OpenDependencies()) != 1 {
		t.Error("open dependencies:", x.Node("middle").OpenDependencies())
	}
	x.end(refs[999], Done)
	if x.Node("middle").IsBlocked() || x.BlockedCount() != 1000 {
		t.Errorf("%d blocked", x.BlockedCount())
	}
	x.end("middle", Cancelled)
	if n := len(slices.Collect(x.JobsCancelledByDependency())); n != 1000 {
		t.Errorf("%d jobs can never run", n)
	}
}

// UnknownJobs returns a dependency whose final state is unknown, but leaves it out if an earlier call
// returned it after the time excludeRequestedAfter. The dependency blocks its dependents until the
// final state is known.
func TestUnknownFinalStateBlocksDependents(t *testing.T) {
	x := newTestIndex()
	now := time.UnixMilli(100_000)
	x.add("wk-2", "idle", 1, 0, "wk-1")
	x.add("wk-3", "idle", 1, 0, "wk-2")
	if !x.Node("wk-2").IsBlocked() || !slices.Equal(x.UnknownAncestors("wk-3"), []string{"wk-1"}) {
		t.Error("not blocked by the unknown job; unknown ancestors:", x.UnknownAncestors("wk-3"))
	}
	if got := x.UnknownJobs(now.Add(-time.Second), now, 5); !slices.Equal(got, []string{"wk-1"}) {
		t.Error(got)
	}
	if got := x.UnknownJobs(now.Add(-time.Second), now.Add(time.Millisecond), 5); got != nil {
		t.Error("returned again too early:", got)
	}
	x.ApplyFinalState("wk-1", Cancelled, now)
	if !x.Node("wk-3").IsCancelledByDependency() || x.UnknownAncestors("wk-3") != nil || x.UnknownJobs(now, now.Add(time.Hour), 5) != nil {
		t.Error("the final state of the first job is not propagated")
	}
}

// BenchmarkTenThousandBlockedJobs measures the memory per job, the time to apply a record, and the time
// to apply the end of a job, for 10,000 jobs in a thousand pipelines of ten stages and one job with a
// thousand dependencies.
func BenchmarkTenThousandBlockedJobs(b *testing.B) {
	for range b.N {
		x := newTestIndex()
		records := pipelineRecords()
		bytesBefore := heapBytes()
		startedAt := time.Now()
		for _, record := range records {
			x.records[record.Ref] = record
			x.ApplyRecord(record, startedAt)
		}
		b.ReportMetric(float64(time.Since(startedAt).Nanoseconds())/10_001, "ns/record")
		b.ReportMetric(float64(heapBytes()-bytesBefore)/10_001, "B/job")
		startedAt = time.Now()
		for _, record := range records[:10_000] {
			x.end(record.Ref, Done)
		}
		b.ReportMetric(float64(time.Since(startedAt).Nanoseconds())/10_000, "ns/end")
		if x.Node("wide").IsBlocked() {
			b.Fatal("the job that depends on all pipelines is not blocked")
		}
	}
}

// pipelineRecords returns the records of a thousand pipelines of ten stages, followed by the record of
// a job that depends on the last job of each pipeline.
func pipelineRecords() []*jobs.JobRecord {
	records := make([]*jobs.JobRecord, 0, 11_000)
	for i := range 10_000 {
		record := &jobs.JobRecord{Spec: jobs.Spec{Ref: fmt.Sprintf("wk-%d", i), Urgency: "idle", EstimatedRunSeconds: 3}}
		if i%10 > 0 {
			record.DependsOn = []string{fmt.Sprintf("wk-%d", i-1)}
		}
		records = append(records, record)
	}
	dependentRecord := &jobs.JobRecord{Spec: jobs.Spec{Ref: "wide", Urgency: "high", EstimatedRunSeconds: 3}}
	for i := range 1000 {
		dependentRecord.DependsOn = append(dependentRecord.DependsOn, fmt.Sprintf("wk-%d", 10*i+9))
	}
	return append(records, dependentRecord)
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// addStages adds a pipeline in which each job depends on all jobs of the stage before, and returns the jobs of the last
// stage. estimate returns the expected run time of a job in seconds.
func (x *testIndex) addStages(stages, jobsPerStage int, estimate func(stage, job int) float64) []string {
	var previousStage []string
	for stage := range stages {
		var refs []string
		for job := range jobsPerStage {
			ref := fmt.Sprintf("wk-%d-%d", stage, job)
			x.add(ref, "normal", estimate(stage, job), 0, previousStage...)
			refs = append(refs, ref)
		}
		previousStage = refs
	}
	return previousStage
}

// growingEstimates makes each of the ten jobs of a stage take longer than the one before, and each stage three times as
// long as the stage before.
func growingEstimates(stage, job int) float64 {
	return float64(1+job) * 0.01 * math.Pow(3, float64(stage))
}

// The last job of a pipeline has a deadline, as in review/1. Guards against visiting a job once for each longer path to
// it: with 9 stages 1.6 million visits were needed, and three times as many with each further stage.
func TestDeadlineVisitsEachJobOnce(t *testing.T) {
	const stages, jobsPerStage = 9, 10
	x := newTestIndex()
	lastStage := x.addStages(stages, jobsPerStage, growingEstimates)
	visits := 0
	x.cfg.ExpectedRunSeconds = func(record *jobs.JobRecord) float64 {
		visits++
		return record.EstimatedRunSeconds
	}
	x.add("last", "normal", 8, 30*24*3600, lastStage...)
	// A job is visited once, and looked at before that to find out whether anything has changed.
	if limit := 2 * (stages*jobsPerStage + 1); visits > limit {
		t.Errorf("the expected run time of a job was needed %d times, want %d at most", visits, limit)
	}
	if n := x.Node("wk-0-0"); n.Deadlines().DueMS == NoDeadline {
		t.Error("the first stage has no deadline")
	}
}

// All records are loaded in an order in which a job follows its dependencies and dependents. Guards against a new pass
// over all jobs below it for each job that is loaded.
func TestBatchVisitsEachJobOnce(t *testing.T) {
	const stages, jobsPerStage = 40, 10
	x := newTestIndex()
	x.add("last", "normal", 8, 30*24*3600, x.addStages(stages, jobsPerStage, growingEstimates)...)
	want := x.Node("wk-0-0").Deadlines()
	var refs []string
	for ref := range x.records {
		refs = append(refs, ref)
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
	visits := 0
	x.cfg.ExpectedRunSeconds = func(record *jobs.JobRecord) float64 {
		visits++
		return record.EstimatedRunSeconds
	}
	x.Reset()
	x.Batch(func() {
		for _, ref := range refs {
			x.ApplyRecord(x.records[ref], time.UnixMilli(0))
		}
	})
	if limit := 2 * len(refs); visits > limit {
		t.Errorf("the expected run time of a job was needed %d times for %d jobs, want %d at most", visits, len(refs), limit)
	}
	if got := x.Node("wk-0-0").Deadlines(); got != want {
		t.Errorf("deadlines %v after the load, want %v", got, want)
	}
}

// Neither a chain of 100,000 jobs nor records that depend on each other in a cycle may end the process or keep it busy.
func TestLongChainsAndCyclesTerminate(t *testing.T) {
	x := newTestIndex()
	last := x.addStages(100_000, 1, func(int, int) float64 { return 1 })
	x.add("last", "high", 1, 1e6, last...)
	if due := x.Node("wk-0-0").Deadlines().DueMS; due != 1e9-100_000*1000 {
		t.Errorf("the first job is due at %d", due)
	}
	x.end("wk-0-0", Cancelled)
	if !x.Node("last").IsCancelledByDependency() {
		t.Error("the last job of the chain is not cancelled")
	}

	x = newTestIndex()
	x.add("wk-1", "normal", 1, 0, "wk-3")
	x.add("wk-2", "normal", 1, 0, "wk-1")
	x.add("wk-3", "normal", 1, 0, "wk-2")
	x.add("last", "high", 1, 100, "wk-3")
	x.RefreshInheritedDeadlines()
	x.end("wk-1", Cancelled)
	if !x.Node("last").IsCancelledByDependency() {
		t.Error("the job behind the cycle is not cancelled")
	}
}

// BenchmarkPipelineDeadline measures how long it takes to add the last job of a pipeline, which has a deadline, and to
// remove it. The custom metric is the time per job and dependency.
func BenchmarkPipelineDeadline(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	estimates := []struct {
		name     string
		estimate func(stage, job int) float64
	}{
		{"growing", growingEstimates},
		{"shrinking", func(stage, job int) float64 { return growingEstimates(-stage, 29-job) }},
		{"drawn", func(int, int) float64 { return 1 + 299*rnd.Float64() }},
	}
	for _, test := range estimates {
		for _, jobsPerStage := range []int{10, 30} {
			for _, stages := range []int{10, 20, 30, 60} {
				b.Run(fmt.Sprintf("estimates=%s/jobs=%d/stages=%d", test.name, jobsPerStage, stages), func(b *testing.B) {
					x := newTestIndex()
					lastStage := x.addStages(stages, jobsPerStage, test.estimate)
					for b.Loop() {
						x.add("last", "normal", 8, 30*24*3600, lastStage...)
						x.end("last", Cancelled)
					}
					size := stages*jobsPerStage + (stages-1)*jobsPerStage*jobsPerStage
					b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/job+dependency")
				})
			}
		}
	}
}
