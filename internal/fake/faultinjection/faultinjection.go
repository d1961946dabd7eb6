// Package night lets all that can happen to controllers, machines, links and the state
// service happen in an order by chance, and judges by the rules what workers and users see.
package faultinjection

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

var controllerNames = []string{"n0", "n1", "n2"}

// Run runs a tale of three controllers and some machines in simulated time and returns the
// rules that were broken, as the workers and the users saw it. peers has the controllers
// hear one another.
func Run(t *testing.T, machines int, peers bool, tale func(r *FaultRun)) (broken []string) {
	t.Helper()
	return RunWith(t, machines, func(cluster *fake.Cluster) { cluster.ConnectPeers = peers }, tale)
}

// RunWith is the same with settings of its own.
func RunWith(t *testing.T, machines int, set func(cluster *fake.Cluster), tale func(r *FaultRun)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
			set(cluster)
		})
		time.Sleep(3 * time.Second)
		for i := range machines {
			cluster.AddMachine([]string{"a", "b"}[i%2], i%3 == 0)
		}
		time.Sleep(8 * time.Second)
		r := &FaultRun{Cluster: cluster, lastStatus: map[string]string{}, cancellations: map[string]cancellation{}, isGang: map[string]bool{}, taskCounts: map[string]int{},
			dependents: map[string][]string{}, cancelRequested: map[string]bool{}, mustBeCancelledBy: map[string]time.Time{}, rnd: rand.New(rand.NewPCG(1, 1))}
		cluster.OnTaskStart(r.checkTaskStart)
		tale(r)
		r.mu.Lock()
		broken = append(r.violations, cluster.Violations()...)
		r.mu.Unlock()
		stop()
		synctest.Wait()
	})
	return broken
}

// FaultRun is a world and its users, who remember what they were told.
type FaultRun struct {
	*fake.Cluster
	refs            []string
	rnd             *rand.Rand
	maxDependencies int // how many others the next job names at the most
	taskCounts      map[string]int
	isGang          map[string]bool
	lastStatus      map[string]string       // the last state that can't change, or "accepted"
	mu              sync.Mutex              // of gone and broken, which are also used when a task starts
	cancellations   map[string]cancellation // cancelled jobs
	violations      []string
	// CombineFaults has the troubles of meetings.go come, too.
	CombineFaults  bool
	onlyKind       *FaultKind    // nil: of all kinds
	longestRunTime time.Duration // that a task runs
	// WithDependencies has half of the jobs wait for up to three others.
	WithDependencies  bool
	dependents        map[string][]string  // jobs by one that they name
	cancelRequested   map[string]bool      // to be cancelled
	pendingChecks     []func()             // what users of jobs that are called off at once have heard
	cancelRequests    sync.WaitGroup       // their questions
	mustBeCancelledBy map[string]time.Time // by when a job behind a cancelled one must be called cancelled
}

// cancellation is by when the tasks of a cancelled job must be gone, and how many there are.
type cancellation struct {
	confirmedAt time.Time
	deadline    time.Time
	taskCount   int
}

func (r *FaultRun) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// cancellationConfirmed notes that a user was told that a job is cancelled: its tasks are looked for at
// the moment by which they must be gone.
func (r *FaultRun) cancellationConfirmed(ref string) {
	within := time.Duration(r.Cfg.Cluster.Workers.CancelS * float64(time.Second))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancellations[ref].deadline.IsZero() {
		r.cancellations[ref] = cancellation{time.Now(), time.Now().Add(within), r.taskCounts[ref]}
		time.AfterFunc(within+time.Millisecond, r.checkCancelledTasks)
	}
}

// checkTaskStart judges a start at the moment at which it happens: not after a cancelled job's time, and
// not at all if it was ordered after its user was told. What was ordered before and still fetches
// its image on a machine that can't be told may start.
func (r *FaultRun) checkTaskStart(task, host string, ordered time.Time) {
	ref, _, _ := jobs.ParseTask(task)
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.cancellations[ref]
	switch {
	case d.deadline.IsZero():
	case time.Now().After(d.deadline):
		r.violations = append(r.violations, fmt.Sprintf("ran_cancelled: %s starts on %s %v late", task, host, time.Since(d.deadline)))
	case ordered.After(d.confirmedAt):
		r.violations = append(r.violations, fmt.Sprintf("started_cancelled: %s on %s, ordered %v after the cancellation", task, host, ordered.Sub(d.confirmedAt)))
	}
}

// runningControllers are the controllers that run.
func (r *FaultRun) runningControllers() []string {
	return slices.DeleteFunc(slices.Clone(controllerNames), func(x string) bool { return r.Nodes[x] == nil })
}

func (r *FaultRun) submit(node, kind string, tasks int, cpu float64, run time.Duration) {
	s := fake.JobSpec(fmt.Sprintf("wk-%d", len(r.refs)+1), kind, tasks, cpu)
	s.Spot = kind == jobs.Array
	if len(r.refs)%3 == 0 && cpu*float64(tasks) <= 4 {
		s.Team = "capped"
	}
	if kind == jobs.Gang {
		s.Urgency, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = "high", 5, 1
	}
	r.refs, r.taskCounts[s.Ref] = append(r.refs, s.Ref), tasks
	r.isGang[s.Ref] = kind == jobs.Gang
	for range r.maxDependencies {
		if ref := r.refs[r.rnd.IntN(len(r.refs))]; r.lastStatus[ref] != "" && !slices.Contains(s.DependsOn, ref) {
			s.DependsOn = append(s.DependsOn, ref)
		}
	}
	r.longestRunTime = max(r.longestRunTime, run)
	response := r.Submit(node, s, run)
	if response.Code == 422 || response.Code == 404 || response.Code == 400 {
		r.reportViolation("forgotten: %s, naming %v, was answered %+v", s.Ref, s.DependsOn, response)
	}
	for _, ref := range s.DependsOn { // also if it was not answered: it may have been accepted
		r.dependents[ref] = append(r.dependents[ref], s.Ref)
	}
	if response.Code != 200 && response.Code != 201 {
		return
	}
	r.lastStatus[s.Ref] = "accepted"
	for _, ref := range s.DependsOn {
		if r.lastStatus[ref] == jobs.Cancelled || !r.mustBeCancelledBy[ref].IsZero() {
			r.expectCancelled(s.Ref)
		}
	}
}

// expectCancelled has a job and all behind it be called cancelled soon.
func (r *FaultRun) expectCancelled(ref string) {
	if r.mustBeCancelledBy[ref].IsZero() {
		r.mustBeCancelledBy[ref] = time.Now().Add(time.Duration(r.Cfg.Cluster.Workers.CancelS * float64(time.Second)))
		for _, x := range r.dependents[ref] {
			r.expectCancelled(x)
		}
	}
}

// isCancellationExpected tells whether somebody asked to cancel a job or one that it needs.
func (r *FaultRun) isCancellationExpected(ref string) bool {
	if r.cancelRequested[ref] {
		return true
	}
	for x, all := range r.dependents {
		if slices.Contains(all, ref) && r.isCancellationExpected(x) {
			return true
		}
	}
	return false
}

func (r *FaultRun) checkAnswer(ref, what string, code int, status string) {
	before := r.lastStatus[ref]
	switch {
	case before != "" && code == 404:
		r.reportViolation("forgotten: %s", ref)
	case code != 200:
		return
	case (before == jobs.Done || before == jobs.Cancelled) && status != before:
		r.reportViolation("went_back: %s called %s, then %s by %s", ref, before, status, what)
	case status == jobs.Cancelled && before != jobs.Cancelled && !r.isCancellationExpected(ref):
		r.reportViolation("went_back: %s was called cancelled by %s, and nobody asked for it", ref, what)
	case !r.mustBeCancelledBy[ref].IsZero() && time.Now().After(r.mustBeCancelledBy[ref]) && status != jobs.Cancelled:
		r.reportViolation("orphaned: %s is called %s by %s", ref, status, what)
	case status == jobs.Done && before != jobs.Done:
		ran, starts := 0, r.StartCounts()
		for i := range r.taskCounts[ref] {
			if starts[jobs.TaskName(ref, i)] > 0 {
				ran++
			}
		}
		// The stand-in's gangs do not wait for all: the first that is done ends them.
		if ran < r.taskCounts[ref] && !r.isGang[ref] || ran == 0 {
			r.reportViolation("not_done: %s, of which %d of %d tasks ran", ref, ran, r.taskCounts[ref])
		}
	}
	if status == jobs.Done || status == jobs.Cancelled {
		r.lastStatus[ref] = status
	}
	if status == jobs.Cancelled {
		r.cancellationConfirmed(ref)
		r.expectCancelled(ref)
	}
}

// Finish has everything come to its end, and tells how many jobs did.
func (r *FaultRun) Finish() int {
	r.addMachines()
	r.checkRecovery()
	time.Sleep(80 * time.Second)
	for before := -1; r.CombineFaults; { // some run for minutes, one after the other: as long as some start
		now := 0
		for _, k := range r.StartCounts() {
			now += k
		}
		if now == before {
			break
		}
		before = now
		r.addMachines() // those that idle meanwhile are returned, too
		time.Sleep(r.longestRunTime + time.Minute)
	}
	ended := 0
	for _, ref := range r.refs {
		response := r.Poll("n1", ref)
		r.checkAnswer(ref, "the last poll", response.Code, response.Status)
		if r.lastStatus[ref] == "accepted" {
			r.reportViolation("%s is %s after all", ref, response.Status)
		} else if r.lastStatus[ref] != "" {
			ended++
		}
	}
	r.checkCancelledTasks()
	return ended
}

// addMachines adds some: nobody rents here, and those that were silent were returned.
func (r *FaultRun) addMachines() {
	for i := range 12 {
		r.AddMachine([]string{"a", "b"}[i%2], false)
	}
}

// checkRecovery checks, from the moment at which all troubles are over, that each job's question is answered
// within 75 s, whomever the user asks, and that no job waits for 90 s while machines that may run it
// have room and its team is under its limit.
func (r *FaultRun) checkRecovery() {
	open := slices.Clone(r.refs)
	type wait struct {
		since  time.Time
		starts int
	}
	waits := map[string]wait{}
	for k := range 24 {
		time.Sleep(5 * time.Second)
		if k < 15 {
			open = slices.DeleteFunc(open, func(ref string) bool {
				at := controllerNames[r.rnd.IntN(len(controllerNames))]
				response := r.Poll(at, ref)
				r.checkAnswer(ref, "a poll after the troubles", response.Code, response.Status)
				return response.Code == 200 || response.Code == 404 && r.lastStatus[ref] == ""
			})
		}
		for _, ref := range r.refs {
			if r.lastStatus[ref] != "accepted" || r.isCancellationExpected(ref) || r.waitsForDependency(ref) {
				delete(waits, ref)
				continue
			}
			backlog := r.Backlog(ref)
			starts, room := backlog.Starts, backlog.HasCapacity
			if w := waits[ref]; !room || w.since.IsZero() || w.starts != starts {
				waits[ref] = wait{time.Now(), starts}
				if !room {
					delete(waits, ref)
				}
			} else if time.Since(w.since) >= 90*time.Second {
				r.reportViolation("left_waiting: %s for %v, with room for it", ref, time.Since(w.since))
				delete(waits, ref)
			}
		}
	}
	for _, ref := range open {
		r.reportViolation("forgotten: no question about %s was answered for 75 s", ref)
	}
}

// waitsForDependency tells whether a job waits for one that is not done.
func (r *FaultRun) waitsForDependency(ref string) bool {
	for x, all := range r.dependents {
		if slices.Contains(all, ref) && !r.IsComplete(x) {
			return true
		}
	}
	return false
}

// checkCancelledTasks checks that no cancelled job is on a machine after its time.
func (r *FaultRun) checkCancelledTasks() {
	r.mu.Lock()
	gone := maps.Clone(r.cancellations)
	r.mu.Unlock()
	for ref, d := range gone {
		if time.Now().Before(d.deadline) {
			continue
		}
		for i := range d.taskCount {
			if on := r.RunningOn(jobs.TaskName(ref, i)); len(on) > 0 {
				r.reportViolation("ran_cancelled: %s/%d on %v", ref, i, on)
			}
		}
	}
}

// InjectFaults come in an order by chance, so many steps, while users come and go; at last all
// is well again.
func (r *FaultRun) InjectFaults(rnd *rand.Rand, steps int) {
	r.rnd = rnd
	refused, out := "", false
	cut := map[string]bool{}
	for range steps {
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		r.checkCancelledTasks()
		if r.CombineFaults && len(r.Hosts()) < 8 { // silent machines are returned
			r.AddMachine([]string{"a", "b"}[rnd.IntN(2)], false)
		}
		up := r.runningControllers()
		if len(up) == 0 {
			for _, x := range controllerNames {
				if rnd.IntN(3) > 0 {
					r.StartController(x)
				}
			}
			continue
		}
		some := up[rnd.IntN(len(up))]
		if r.CombineFaults && rnd.IntN(5) == 0 {
			r.injectCombined(some, rnd)
			continue
		}
		if r.maxDependencies = 0; r.WithDependencies && len(r.refs) > 0 && rnd.IntN(2) == 0 {
			r.maxDependencies = 1 + rnd.IntN(3)
		}
		switch k := rnd.IntN(100); {
		case k < 25:
			r.submit(some, jobs.Gang, 1+rnd.IntN(6), 3, r.runTime(2+rnd.IntN(12)))
		case k < 35:
			r.submit(some, jobs.Array, 1+rnd.IntN(20), 1, r.runTime(1+rnd.IntN(9)))
		case k < 50 && len(r.refs) > 0:
			ref := r.refs[rnd.IntN(len(r.refs))]
			response := r.Poll(some, ref)
			r.checkAnswer(ref, "poll", response.Code, response.Status)
		case k < 56 && len(r.refs) > 0:
			ref := r.refs[rnd.IntN(len(r.refs))]
			r.cancel(some, ref)
		case k < 62:
			if rnd.IntN(3) == 0 {
				r.StopController(some)
			} else {
				r.CrashController(some)
			}
		case k < 66: // all
			for _, x := range up {
				r.CrashController(x)
			}
		case k < 76:
			for _, x := range controllerNames {
				if r.Nodes[x] == nil && rnd.IntN(2) == 0 {
					r.StartController(x)
				}
			}
		case k < 86:
			h := r.Hosts()[rnd.IntN(len(r.Hosts()))]
			cut[h] = !cut[h]
			r.IsolateWorker(h, cut[h])
		case k < 91:
			r.Store.RefuseNode(refused, false)
			if refused = ""; rnd.IntN(2) == 0 {
				refused = some
				r.Store.RefuseNode(refused, true)
			}
		case k < 94:
			out = !out && rnd.IntN(2) == 0
			r.Store.SetOutage(out)
		case k < 96:
			r.SetPeerLink(fake.PeerLink{IsCut: rnd.IntN(4) == 0, DropPieces: rnd.IntN(2), Delay: time.Duration(rnd.IntN(2)*rnd.IntN(3000)) * time.Millisecond})
		case k < 98:
			r.Store.DelayWatch(some, time.Duration(rnd.IntN(600))*time.Millisecond)
		case k < 99:
			r.Nodes[some].Conn.DelayNextTxn(time.Duration(rnd.IntN(20000)) * time.Millisecond)
		default:
			r.Nodes[some].Conn.DropAnswers(1)
		}
	}
	r.clearFaults()
	r.SetPeerLink(fake.PeerLink{})
	r.Store.RefuseNode(refused, false)
	r.Store.SetOutage(false)
	for h := range cut {
		r.IsolateWorker(h, false)
	}
	for _, x := range controllerNames {
		r.Store.DelayWatch(x, 0)
		if r.Nodes[x] == nil {
			r.StartController(x)
		}
	}
}
