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
func Run(t *testing.T, machines int, peers bool, tale func(n *FaultRun)) (broken []string) {
	t.Helper()
	return RunWith(t, machines, func(w *fake.Cluster) { w.ConnectPeers = peers }, tale)
}

// RunWith is the same with settings of its own.
func RunWith(t *testing.T, machines int, set func(w *fake.Cluster), tale func(n *FaultRun)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(w *fake.Cluster) {
			w.OfferedTypes[0].CPU, w.OfferedTypes[0].MemGB = 8, 32
			set(w)
		})
		time.Sleep(3 * time.Second)
		for i := range machines {
			w.AddMachine([]string{"a", "b"}[i%2], i%3 == 0)
		}
		time.Sleep(8 * time.Second)
		n := &FaultRun{Cluster: w, lastStatus: map[string]string{}, cancellations: map[string]cancellation{}, isGang: map[string]bool{}, taskCounts: map[string]int{},
			dependents: map[string][]string{}, cancelRequested: map[string]bool{}, mustBeCancelledBy: map[string]time.Time{}, rnd: rand.New(rand.NewPCG(1, 1))}
		w.OnTaskStart(n.checkTaskStart)
		tale(n)
		n.mu.Lock()
		broken = append(n.violations, w.Violations()...)
		n.mu.Unlock()
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

func (n *FaultRun) reportViolation(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

// cancellationConfirmed notes that a user was told that a job is cancelled: its tasks are looked for at
// the moment by which they must be gone.
func (n *FaultRun) cancellationConfirmed(ref string) {
	within := time.Duration(n.Cfg.Cluster.Workers.CancelS * float64(time.Second))
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancellations[ref].deadline.IsZero() {
		n.cancellations[ref] = cancellation{time.Now(), time.Now().Add(within), n.taskCounts[ref]}
		time.AfterFunc(within+time.Millisecond, n.checkCancelledTasks)
	}
}

// checkTaskStart judges a start at the moment at which it happens: not after a cancelled job's time, and
// not at all if it was ordered after its user was told. What was ordered before and still fetches
// its image on a machine that can't be told may start.
func (n *FaultRun) checkTaskStart(task, host string, ordered time.Time) {
	ref, _, _ := jobs.ParseTask(task)
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.cancellations[ref]
	switch {
	case d.deadline.IsZero():
	case time.Now().After(d.deadline):
		n.violations = append(n.violations, fmt.Sprintf("ran_cancelled: %s starts on %s %v late", task, host, time.Since(d.deadline)))
	case ordered.After(d.confirmedAt):
		n.violations = append(n.violations, fmt.Sprintf("started_cancelled: %s on %s, ordered %v after the cancellation", task, host, ordered.Sub(d.confirmedAt)))
	}
}

// runningControllers are the controllers that run.
func (n *FaultRun) runningControllers() []string {
	return slices.DeleteFunc(slices.Clone(controllerNames), func(x string) bool { return n.Nodes[x] == nil })
}

func (n *FaultRun) submit(node, kind string, tasks int, cpu float64, run time.Duration) {
	s := fake.JobSpec(fmt.Sprintf("wk-%d", len(n.refs)+1), kind, tasks, cpu)
	s.Spot = kind == jobs.Array
	if len(n.refs)%3 == 0 && cpu*float64(tasks) <= 4 {
		s.Team = "capped"
	}
	if kind == jobs.Gang {
		s.Urgency, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = "high", 5, 1
	}
	n.refs, n.taskCounts[s.Ref] = append(n.refs, s.Ref), tasks
	n.isGang[s.Ref] = kind == jobs.Gang
	for range n.maxDependencies {
		if ref := n.refs[n.rnd.IntN(len(n.refs))]; n.lastStatus[ref] != "" && !slices.Contains(s.DependsOn, ref) {
			s.DependsOn = append(s.DependsOn, ref)
		}
	}
	n.longestRunTime = max(n.longestRunTime, run)
	r := n.Submit(node, s, run)
	if r.Code == 422 || r.Code == 404 || r.Code == 400 {
		n.reportViolation("forgotten: %s, naming %v, was answered %+v", s.Ref, s.DependsOn, r)
	}
	for _, ref := range s.DependsOn { // also if it was not answered: it may have been accepted
		n.dependents[ref] = append(n.dependents[ref], s.Ref)
	}
	if r.Code != 200 && r.Code != 201 {
		return
	}
	n.lastStatus[s.Ref] = "accepted"
	for _, ref := range s.DependsOn {
		if n.lastStatus[ref] == jobs.Cancelled || !n.mustBeCancelledBy[ref].IsZero() {
			n.expectCancelled(s.Ref)
		}
	}
}

// expectCancelled has a job and all behind it be called cancelled soon.
func (n *FaultRun) expectCancelled(ref string) {
	if n.mustBeCancelledBy[ref].IsZero() {
		n.mustBeCancelledBy[ref] = time.Now().Add(time.Duration(n.Cfg.Cluster.Workers.CancelS * float64(time.Second)))
		for _, x := range n.dependents[ref] {
			n.expectCancelled(x)
		}
	}
}

// isCancellationExpected tells whether somebody asked to cancel a job or one that it needs.
func (n *FaultRun) isCancellationExpected(ref string) bool {
	if n.cancelRequested[ref] {
		return true
	}
	for x, all := range n.dependents {
		if slices.Contains(all, ref) && n.isCancellationExpected(x) {
			return true
		}
	}
	return false
}

func (n *FaultRun) checkAnswer(ref, what string, code int, status string) {
	before := n.lastStatus[ref]
	switch {
	case before != "" && code == 404:
		n.reportViolation("forgotten: %s", ref)
	case code != 200:
		return
	case (before == jobs.Done || before == jobs.Cancelled) && status != before:
		n.reportViolation("went_back: %s called %s, then %s by %s", ref, before, status, what)
	case status == jobs.Cancelled && before != jobs.Cancelled && !n.isCancellationExpected(ref):
		n.reportViolation("went_back: %s was called cancelled by %s, and nobody asked for it", ref, what)
	case !n.mustBeCancelledBy[ref].IsZero() && time.Now().After(n.mustBeCancelledBy[ref]) && status != jobs.Cancelled:
		n.reportViolation("orphaned: %s is called %s by %s", ref, status, what)
	case status == jobs.Done && before != jobs.Done:
		ran, starts := 0, n.StartCounts()
		for i := range n.taskCounts[ref] {
			if starts[jobs.TaskName(ref, i)] > 0 {
				ran++
			}
		}
		// The stand-in's gangs do not wait for all: the first that is done ends them.
		if ran < n.taskCounts[ref] && !n.isGang[ref] || ran == 0 {
			n.reportViolation("not_done: %s, of which %d of %d tasks ran", ref, ran, n.taskCounts[ref])
		}
	}
	if status == jobs.Done || status == jobs.Cancelled {
		n.lastStatus[ref] = status
	}
	if status == jobs.Cancelled {
		n.cancellationConfirmed(ref)
		n.expectCancelled(ref)
	}
}

// Finish has everything come to its end, and tells how many jobs did.
func (n *FaultRun) Finish() int {
	n.addMachines()
	n.checkRecovery()
	time.Sleep(80 * time.Second)
	for before := -1; n.CombineFaults; { // some run for minutes, one after the other: as long as some start
		now := 0
		for _, k := range n.StartCounts() {
			now += k
		}
		if now == before {
			break
		}
		before = now
		n.addMachines() // those that idle meanwhile are returned, too
		time.Sleep(n.longestRunTime + time.Minute)
	}
	ended := 0
	for _, ref := range n.refs {
		r := n.Poll("n1", ref)
		n.checkAnswer(ref, "the last poll", r.Code, r.Status)
		if n.lastStatus[ref] == "accepted" {
			n.reportViolation("%s is %s after all", ref, r.Status)
		} else if n.lastStatus[ref] != "" {
			ended++
		}
	}
	n.checkCancelledTasks()
	return ended
}

// addMachines adds some: nobody rents here, and those that were silent were returned.
func (n *FaultRun) addMachines() {
	for i := range 12 {
		n.AddMachine([]string{"a", "b"}[i%2], false)
	}
}

// checkRecovery checks, from the moment at which all troubles are over, that each job's question is answered
// within 75 s, whomever the user asks, and that no job waits for 90 s while machines that may run it
// have room and its team is under its limit.
func (n *FaultRun) checkRecovery() {
	open := slices.Clone(n.refs)
	type wait struct {
		since  time.Time
		starts int
	}
	waits := map[string]wait{}
	for k := range 24 {
		time.Sleep(5 * time.Second)
		if k < 15 {
			open = slices.DeleteFunc(open, func(ref string) bool {
				at := controllerNames[n.rnd.IntN(len(controllerNames))]
				r := n.Poll(at, ref)
				n.checkAnswer(ref, "a poll after the troubles", r.Code, r.Status)
				return r.Code == 200 || r.Code == 404 && n.lastStatus[ref] == ""
			})
		}
		for _, ref := range n.refs {
			if n.lastStatus[ref] != "accepted" || n.isCancellationExpected(ref) || n.waitsForDependency(ref) {
				delete(waits, ref)
				continue
			}
			_, starts, room := n.UnplacedTasks(ref)
			if w := waits[ref]; !room || w.since.IsZero() || w.starts != starts {
				waits[ref] = wait{time.Now(), starts}
				if !room {
					delete(waits, ref)
				}
			} else if time.Since(w.since) >= 90*time.Second {
				n.reportViolation("left_waiting: %s for %v, with room for it", ref, time.Since(w.since))
				delete(waits, ref)
			}
		}
	}
	for _, ref := range open {
		n.reportViolation("forgotten: no question about %s was answered for 75 s", ref)
	}
}

// waitsForDependency tells whether a job waits for one that is not done.
func (n *FaultRun) waitsForDependency(ref string) bool {
	for x, all := range n.dependents {
		if slices.Contains(all, ref) && !n.IsComplete(x) {
			return true
		}
	}
	return false
}

// checkCancelledTasks checks that no cancelled job is on a machine after its time.
func (n *FaultRun) checkCancelledTasks() {
	n.mu.Lock()
	gone := maps.Clone(n.cancellations)
	n.mu.Unlock()
	for ref, d := range gone {
		if time.Now().Before(d.deadline) {
			continue
		}
		for i := range d.taskCount {
			if on := n.RunningOn(jobs.TaskName(ref, i)); len(on) > 0 {
				n.reportViolation("ran_cancelled: %s/%d on %v", ref, i, on)
			}
		}
	}
}

// InjectFaults come in an order by chance, so many steps, while users come and go; at last all
// is well again.
func (n *FaultRun) InjectFaults(rnd *rand.Rand, steps int) {
	n.rnd = rnd
	refused, out := "", false
	cut := map[string]bool{}
	for range steps {
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		n.checkCancelledTasks()
		if n.CombineFaults && len(n.Hosts()) < 8 { // silent machines are returned
			n.AddMachine([]string{"a", "b"}[rnd.IntN(2)], false)
		}
		up := n.runningControllers()
		if len(up) == 0 {
			for _, x := range controllerNames {
				if rnd.IntN(3) > 0 {
					n.StartController(x)
				}
			}
			continue
		}
		some := up[rnd.IntN(len(up))]
		if n.CombineFaults && rnd.IntN(5) == 0 {
			n.injectCombined(some, rnd)
			continue
		}
		if n.maxDependencies = 0; n.WithDependencies && len(n.refs) > 0 && rnd.IntN(2) == 0 {
			n.maxDependencies = 1 + rnd.IntN(3)
		}
		switch k := rnd.IntN(100); {
		case k < 25:
			n.submit(some, jobs.Gang, 1+rnd.IntN(6), 3, n.runTime(2+rnd.IntN(12)))
		case k < 35:
			n.submit(some, jobs.Array, 1+rnd.IntN(20), 1, n.runTime(1+rnd.IntN(9)))
		case k < 50 && len(n.refs) > 0:
			ref := n.refs[rnd.IntN(len(n.refs))]
			r := n.Poll(some, ref)
			n.checkAnswer(ref, "poll", r.Code, r.Status)
		case k < 56 && len(n.refs) > 0:
			ref := n.refs[rnd.IntN(len(n.refs))]
			n.cancel(some, ref)
		case k < 62:
			if rnd.IntN(3) == 0 {
				n.StopController(some)
			} else {
				n.CrashController(some)
			}
		case k < 66: // all
			for _, x := range up {
				n.CrashController(x)
			}
		case k < 76:
			for _, x := range controllerNames {
				if n.Nodes[x] == nil && rnd.IntN(2) == 0 {
					n.StartController(x)
				}
			}
		case k < 86:
			h := n.Hosts()[rnd.IntN(len(n.Hosts()))]
			cut[h] = !cut[h]
			n.IsolateWorker(h, cut[h])
		case k < 91:
			n.Store.RefuseNode(refused, false)
			if refused = ""; rnd.IntN(2) == 0 {
				refused = some
				n.Store.RefuseNode(refused, true)
			}
		case k < 94:
			out = !out && rnd.IntN(2) == 0
			n.Store.SetOutage(out)
		case k < 96:
			n.SetPeerLink(fake.PeerLink{IsCut: rnd.IntN(4) == 0, DropPieces: rnd.IntN(2), Delay: time.Duration(rnd.IntN(2)*rnd.IntN(3000)) * time.Millisecond})
		case k < 98:
			n.Store.DelayWatch(some, time.Duration(rnd.IntN(600))*time.Millisecond)
		case k < 99:
			n.Nodes[some].Conn.DelayNextTxn(time.Duration(rnd.IntN(20000)) * time.Millisecond)
		default:
			n.Nodes[some].Conn.DropAnswers(1)
		}
	}
	n.clearFaults()
	n.SetPeerLink(fake.PeerLink{})
	n.Store.RefuseNode(refused, false)
	n.Store.SetOutage(false)
	for h := range cut {
		n.IsolateWorker(h, false)
	}
	for _, x := range controllerNames {
		n.Store.DelayWatch(x, 0)
		if n.Nodes[x] == nil {
			n.StartController(x)
		}
	}
}
