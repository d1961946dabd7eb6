package faultinjection

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// Troubles that break rules where two of them meet (docs/meetings.md). Each lasts until
// another of its kind ends it, or the night does.

// FaultKind is one of them.
type FaultKind int

// The kinds. Those that only a night itself names are not exported.
const (
	lateWrites FaultKind = iota
	lateHeartbeats
	inboundBlocked
	inboundRestored
	inboundDelayed
	machineFrozen
	controllerIsolated // and from the other controllers, not from workers or users
	controllerRejoined
	OutageDuringCancellation
	workersReconnectLate
	cacheReloaded   // all records, while orders are under way
	outboundBlocked // machines reach no controller, while direct commands reach them
	CancelSeveral
	cancelledAtCompletion
	InvalidRequests // requests
	faultKindCount
)

// RunCombined plays a night of them by its seed and returns the rules broken. Leases, and the time
// that a cancellation may take, are of several lengths.
func RunCombined(t *testing.T, seed uint64) (broken []string) {
	t.Helper()
	return runCombined(t, seed, nil, func(*fake.Cluster) {})
}

func runCombined(t *testing.T, seed uint64, only *FaultKind, set func(w *fake.Cluster)) []string {
	return RunWith(t, 12, func(w *fake.Cluster) {
		w.ConnectPeers = seed%2 == 1
		times := [][2]float64{{10, 30}, {25, 45}, {35, 60}}[seed%3]
		w.Cfg.Cluster.Workers.LeaseS, w.Cfg.Cluster.Workers.CancelS = times[0], times[1]
		w.SetImageFetchTime(time.Duration(seed%4) * 1500 * time.Millisecond)
		set(w)
	}, func(n *FaultRun) {
		n.CombineFaults, n.WithDependencies, n.onlyKind = true, seed%5 == 0, only
		n.InjectFaults(rand.New(rand.NewPCG(seed, 33)), 150)
		n.Finish()
	})
}

// FindsViolation tells whether one of the first so many nights breaks a rule: whether the judge finds a
// breach. Rules are told by how they begin; none for any.
func FindsViolation(t *testing.T, nights uint64, rules ...string) bool {
	t.Helper()
	return FindsViolationWith(t, nights, func(*fake.Cluster) {}, rules...)
}

// FindsViolationWith is the same of a breach in the world.
func FindsViolationWith(t *testing.T, nights uint64, set func(w *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, nights, nil, set, rules)
}

// FindsViolationOf is the same of nights in which the only meetings are of one kind.
func FindsViolationOf(t *testing.T, nights uint64, only FaultKind, set func(w *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, nights, &only, set, rules)
}

func findsViolation(t *testing.T, nights uint64, only *FaultKind, set func(w *fake.Cluster), rules []string) bool {
	t.Helper()
	for seed := range nights {
		for _, b := range runCombined(t, seed, only, set) {
			if len(rules) == 0 || slices.ContainsFunc(rules, func(r string) bool { return strings.HasPrefix(b, r) }) {
				t.Logf("seed %d: %s", seed, b)
				return true
			}
		}
	}
	return false
}

// injectCombined has one of them begin or end; some is a controller that runs.
func (n *FaultRun) injectCombined(some string, rnd *rand.Rand) {
	hosts := n.Hosts()
	host := hosts[rnd.IntN(len(hosts))]
	lease := time.Duration(n.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	own := rand.New(rand.NewPCG(rnd.Uint64(), 1)) // for what goes on by itself
	kind := FaultKind(rnd.IntN(int(faultKindCount)))
	if n.onlyKind != nil {
		kind = *n.onlyKind
	}
	switch kind {
	case lateWrites:
		n.Store.ApplyLate(own, []float64{0, 0.1, 0.3}[rnd.IntN(3)])
	case lateHeartbeats:
		if rnd.IntN(3) == 0 {
			n.DuplicateHeartbeats(nil, 0)
		} else {
			n.DuplicateHeartbeats(own, 2*lease)
		}
	case inboundBlocked:
		for _, h := range hosts {
			n.BlockInbound(h, rnd.IntN(6) == 0)
		}
	case inboundRestored:
		n.BlockInbound(host, false)
	case inboundDelayed:
		n.DelayInbound(host, time.Duration(rnd.IntN(2)*rnd.IntN(5000))*time.Millisecond)
	case machineFrozen:
		n.FreezeMachine(host, rnd.IntN(2) == 0)
	case controllerIsolated:
		n.isolateController(some, true)
	case controllerRejoined:
		n.isolateController(some, false)
	case OutageDuringCancellation:
		n.outageDuringCancellation(some, rnd)
	case workersReconnectLate:
		n.reconnectLate(some, rnd)
	case cacheReloaded:
		for _, h := range hosts {
			n.DelayInbound(h, time.Duration(rnd.IntN(4000))*time.Millisecond)
		}
		time.Sleep(time.Second)
		n.Store.CompactWatch(some)
	case outboundBlocked:
		all := rnd.IntN(4) == 0
		for _, h := range hosts {
			n.BlockOutbound(h, all || rnd.IntN(6) == 0)
		}
	case CancelSeveral:
		n.cancelSeveral(rnd, lease)
	case cancelledAtCompletion:
		n.cancelAtCompletion(rnd)
	case InvalidRequests:
		for range 3 {
			n.submitInvalid(some, rnd)
		}
	}
}

// submitInvalid has a user submit a job again with other content or with a body that is wrong, cancel a job
// that is done, or submit one that can't run or lacks a field.
func (n *FaultRun) submitInvalid(node string, rnd *rand.Rand) {
	known := ""
	if len(n.refs) > 0 {
		known = n.refs[rnd.IntN(len(n.refs))]
	}
	bad := errors.New("shifts: missing")
	switch k := rnd.IntN(5); {
	case k < 2 && n.lastStatus[known] != "":
		s := fake.JobSpec(known, jobs.Array, 1+rnd.IntN(500), 99)
		what, err := "a repeat with other content", error(nil)
		if k == 1 {
			what, err = "a repeat with a body that is wrong", bad
		}
		r := n.SubmitUntracked(node, s, err)
		if r.Code == 201 || r.Code == 400 || r.Code == 422 {
			n.reportViolation("forgotten: %s of %s was answered %+v", what, known, r)
		}
		n.checkAnswer(known, what, r.Code, r.Status)
	case k == 2 && n.lastStatus[known] == jobs.Done:
		n.checkCancelAnswer(known, n.Cancel(node, known))
	default:
		s := fake.JobSpec(fmt.Sprintf("odd-%d", rnd.Uint32()), jobs.Array, 1+rnd.IntN(4), 1)
		zone, err := "nowhere", error(nil)
		switch rnd.IntN(7) {
		case 0:
			err = bad
		case 1:
			s.CPU = 99
		case 2:
			s.Team = "nobody"
		case 3:
			s.Zone = &zone
		case 4:
			s.Kind, s.Team, s.Tasks = jobs.Gang, "capped", 9
		case 5:
			s.Tasks, s.OneZone, s.Spread = 4, true, true
		case 6:
			s.MachineTypes = []string{"m512"}
		}
		if r := n.SubmitUntracked(node, s, err); r.Code == 200 || r.Code == 201 {
			n.reportViolation("accepted_odd: %+v (%v) was answered %+v", s, err, r)
		}
	}
}

// cancelSeveral has users call off several jobs within a fifth of a second, at whichever controllers,
// while some machines stand still and go on within the lease or after it.
func (n *FaultRun) cancelSeveral(rnd *rand.Rand, lease time.Duration) {
	if len(n.refs) == 0 {
		return
	}
	for _, h := range n.Hosts() {
		if rnd.IntN(3) == 0 {
			n.FreezeMachine(h, true)
			time.AfterFunc(time.Duration(rnd.Int64N(int64(lease+lease/2))), func() { n.FreezeMachine(h, false) })
		}
	}
	for _, ref := range n.refs[max(0, len(n.refs)-1-rnd.IntN(5)):] {
		up := n.runningControllers()
		if len(up) == 0 {
			break
		}
		n.cancelAsync(up[rnd.IntN(len(up))], ref)
		time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
	}
	n.awaitCancelAnswers()
}

// cancelAsync asks a controller to cancel a job, without waiting for the answer: see answers.
func (n *FaultRun) cancelAsync(node, ref string) {
	n.cancelRequested[ref] = true
	n.cancelRequests.Add(1)
	go func() {
		defer n.cancelRequests.Done()
		r := n.Cancel(node, ref)
		if r.Code != 200 {
			return
		}
		if r.Status == jobs.Cancelled {
			n.cancellationConfirmed(ref)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pendingChecks = append(n.pendingChecks, func() { n.checkCancelAnswer(ref, r) })
	}()
}

// awaitCancelAnswers waits for the answers to what was called off.
func (n *FaultRun) awaitCancelAnswers() {
	n.cancelRequests.Wait()
	for _, f := range n.pendingChecks {
		f()
	}
	n.pendingChecks = nil
}

// checkCancelAnswer takes in the answer to a cancellation.
func (n *FaultRun) checkCancelAnswer(ref string, r controller.Response) {
	if r.Code != 200 {
		return
	}
	n.checkAnswer(ref, "cancellation", r.Code, r.Status)
	if r.Status != jobs.Cancelled && r.Status != jobs.Done {
		n.reportViolation("withdrawn: %s is called %s", ref, r.Status)
	}
}

// cancelAtCompletion submits jobs and calls them off, asks for them or submits them again at the moment of
// their ends.
func (n *FaultRun) cancelAtCompletion(rnd *rand.Rand) {
	up := n.runningControllers()
	first, run := len(n.refs), time.Duration(1500+rnd.IntN(3000))*time.Millisecond
	for range 1 + rnd.IntN(4) {
		n.submit(up[rnd.IntN(len(up))], []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 1+rnd.IntN(6), 1, run)
	}
	for _, ref := range n.refs[first:] {
		for k := 0; k < 200 && !n.IsComplete(ref); k++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(rnd.IntN(3)*rnd.IntN(1200)) * time.Millisecond)
		up := n.runningControllers()
		if len(up) == 0 {
			return
		}
		at := up[rnd.IntN(len(up))]
		switch rnd.IntN(3) {
		case 0:
			n.cancel(at, ref)
		case 1:
			r := n.Poll(at, ref)
			n.checkAnswer(ref, "a poll at its end", r.Code, r.Status)
		case 2:
			r := n.ResubmitUnchanged(at, ref)
			n.checkAnswer(ref, "a repeat at its end", r.Code, r.Status)
			if r.Code == 400 || r.Code == 422 {
				n.reportViolation("forgotten: a repeat of %s was answered %+v", ref, r)
			}
		}
	}
}

// runTime is how long a job's tasks run, in seconds; where troubles meet some are still running
// when the time of a cancellation or a lease is over.
func (n *FaultRun) runTime(s int) time.Duration {
	if n.CombineFaults && n.rnd.IntN(2) == 0 {
		s *= 1 + n.rnd.IntN(9)
	}
	return time.Duration(s) * time.Second
}

// reconnectLate has a controller be alone with its workers until it may not answer them any more.
// Some of them are cut off just then, come to its successor when their leases are nearly over,
// and are cut off again once they were heard there, with their tasks running.
func (n *FaultRun) reconnectLate(alone string, rnd *rand.Rand) {
	n.isolateController(alone, true)
	time.Sleep(n.Cfg.HeartbeatAnswerValidity() - time.Duration(rnd.IntN(4000))*time.Millisecond)
	lease := time.Duration(n.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	some := n.Hosts()
	for _, h := range some {
		n.IsolateWorker(h, true)
	}
	time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
	for _, h := range some {
		n.IsolateWorker(h, false)
	}
	time.Sleep(4*time.Second + time.Duration(rnd.IntN(4000))*time.Millisecond) // a report that is given up, and the way to the successor
	for _, h := range some {
		n.IsolateWorker(h, rnd.IntN(3) > 0)
	}
	time.Sleep(lease)
	for _, h := range n.Hosts() {
		n.IsolateWorker(h, false)
	}
	n.isolateController(alone, false)
}

func (n *FaultRun) isolateController(node string, on bool) {
	n.Store.RefuseNode(node, on)
	off := ""
	if on {
		off = node
	}
	n.SetPeerLink(fake.PeerLink{Isolated: off})
}

// outageDuringCancellation has the state service refuse one controller, users cancel through the others, and then
// an outage for all that lasts longer than a cancellation may take; workers report on.
func (n *FaultRun) outageDuringCancellation(refused string, rnd *rand.Rand) {
	// Something is to run when the time of the cancellations is over.
	n.submit(refused, []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 12, 1, config.Seconds(2*n.Cfg.Cluster.Workers.CancelS))
	time.Sleep(time.Duration(4000+rnd.IntN(4000)) * time.Millisecond)
	n.Store.RefuseNode(refused, true)
	if rnd.IntN(3) == 0 {
		n.SetPeerLink(fake.PeerLink{Isolated: refused})
	}
	for range 1 + rnd.IntN(4) {
		time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		for _, x := range n.runningControllers() {
			if x != refused {
				n.cancelAsync(x, n.refs[len(n.refs)-1-rnd.IntN(min(3, len(n.refs)))])
			}
		}
	}
	switch rnd.IntN(4) {
	case 0:
		n.CrashController(refused)
		time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
		n.StartController(refused)
	case 1:
		time.Sleep(time.Duration(rnd.IntN(13000)) * time.Millisecond)
	}
	n.Store.SetOutage(true)
	for end := time.Now().Add(time.Duration((n.Cfg.Cluster.Workers.CancelS + 2 + float64(rnd.IntN(10))) * float64(time.Second))); time.Now().Before(end); {
		time.Sleep(time.Second)
		n.checkCancelledTasks()
		if up := n.runningControllers(); len(up) > 0 && len(n.refs) > 0 {
			ref := n.refs[rnd.IntN(len(n.refs))]
			r := n.Poll(up[rnd.IntN(len(up))], ref)
			n.checkAnswer(ref, "a poll in the outage", r.Code, r.Status)
		}
	}
	n.awaitCancelAnswers()
	n.Store.RefuseNode(refused, rnd.IntN(2) == 0) // the outage may end for the others first
	n.Store.SetOutage(false)
}

// cancel asks a controller to cancel a job.
func (n *FaultRun) cancel(node, ref string) {
	n.cancelRequested[ref] = true
	n.checkCancelAnswer(ref, n.Cancel(node, ref))
}

// clearFaults ends all of them.
func (n *FaultRun) clearFaults() {
	n.Store.ApplyLate(nil, 0)
	n.DuplicateHeartbeats(nil, 0)
	for _, h := range n.Hosts() {
		n.BlockInbound(h, false)
		n.BlockOutbound(h, false)
		n.DelayInbound(h, 0)
		n.FreezeMachine(h, false)
	}
	for _, x := range controllerNames {
		n.Store.RefuseNode(x, false)
	}
}
