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

func runCombined(t *testing.T, seed uint64, only *FaultKind, set func(cluster *fake.Cluster)) []string {
	return RunWith(t, 12, func(cluster *fake.Cluster) {
		cluster.ConnectPeers = seed%2 == 1
		times := [][2]float64{{10, 30}, {25, 45}, {35, 60}}[seed%3]
		cluster.Cfg.Cluster.Workers.LeaseS, cluster.Cfg.Cluster.Workers.CancelS = times[0], times[1]
		cluster.SetImageFetchTime(time.Duration(seed%4) * 1500 * time.Millisecond)
		set(cluster)
	}, func(r *FaultRun) {
		r.CombineFaults, r.WithDependencies, r.onlyKind = true, seed%5 == 0, only
		r.InjectFaults(rand.New(rand.NewPCG(seed, 33)), 150)
		r.Finish()
	})
}

// FindsViolation tells whether one of the first so many nights breaks a rule: whether the judge finds a
// breach. Rules are told by how they begin; none for any.
func FindsViolation(t *testing.T, nights uint64, rules ...string) bool {
	t.Helper()
	return FindsViolationWith(t, nights, func(*fake.Cluster) {}, rules...)
}

// FindsViolationWith is the same of a breach in the world.
func FindsViolationWith(t *testing.T, nights uint64, set func(cluster *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, nights, nil, set, rules)
}

// FindsViolationOf is the same of nights in which the only meetings are of one kind.
func FindsViolationOf(t *testing.T, nights uint64, only FaultKind, set func(cluster *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, nights, &only, set, rules)
}

func findsViolation(t *testing.T, nights uint64, only *FaultKind, set func(cluster *fake.Cluster), rules []string) bool {
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
func (r *FaultRun) injectCombined(some string, rnd *rand.Rand) {
	hosts := r.Hosts()
	host := hosts[rnd.IntN(len(hosts))]
	lease := time.Duration(r.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	own := rand.New(rand.NewPCG(rnd.Uint64(), 1)) // for what goes on by itself
	kind := FaultKind(rnd.IntN(int(faultKindCount)))
	if r.onlyKind != nil {
		kind = *r.onlyKind
	}
	switch kind {
	case lateWrites:
		r.Store.ApplyLate(own, []float64{0, 0.1, 0.3}[rnd.IntN(3)])
	case lateHeartbeats:
		if rnd.IntN(3) == 0 {
			r.DuplicateHeartbeats(nil, 0)
		} else {
			r.DuplicateHeartbeats(own, 2*lease)
		}
	case inboundBlocked:
		for _, h := range hosts {
			r.BlockInbound(h, rnd.IntN(6) == 0)
		}
	case inboundRestored:
		r.BlockInbound(host, false)
	case inboundDelayed:
		r.DelayInbound(host, time.Duration(rnd.IntN(2)*rnd.IntN(5000))*time.Millisecond)
	case machineFrozen:
		r.FreezeMachine(host, rnd.IntN(2) == 0)
	case controllerIsolated:
		r.isolateController(some, true)
	case controllerRejoined:
		r.isolateController(some, false)
	case OutageDuringCancellation:
		r.outageDuringCancellation(some, rnd)
	case workersReconnectLate:
		r.reconnectLate(some, rnd)
	case cacheReloaded:
		for _, h := range hosts {
			r.DelayInbound(h, time.Duration(rnd.IntN(4000))*time.Millisecond)
		}
		time.Sleep(time.Second)
		r.Store.CompactWatch(some)
	case outboundBlocked:
		all := rnd.IntN(4) == 0
		for _, h := range hosts {
			r.BlockOutbound(h, all || rnd.IntN(6) == 0)
		}
	case CancelSeveral:
		r.cancelSeveral(rnd, lease)
	case cancelledAtCompletion:
		r.cancelAtCompletion(rnd)
	case InvalidRequests:
		for range 3 {
			r.submitInvalid(some, rnd)
		}
	}
}

// submitInvalid has a user submit a job again with other content or with a body that is wrong, cancel a job
// that is done, or submit one that can't run or lacks a field.
func (r *FaultRun) submitInvalid(node string, rnd *rand.Rand) {
	known := ""
	if len(r.refs) > 0 {
		known = r.refs[rnd.IntN(len(r.refs))]
	}
	bad := errors.New("shifts: missing")
	switch k := rnd.IntN(5); {
	case k < 2 && r.lastStatus[known] != "":
		s := fake.JobSpec(known, jobs.Array, 1+rnd.IntN(500), 99)
		what, err := "a repeat with other content", error(nil)
		if k == 1 {
			what, err = "a repeat with a body that is wrong", bad
		}
		response := r.SubmitUntracked(node, s, err)
		if response.Code == 201 || response.Code == 400 || response.Code == 422 {
			r.reportViolation("forgotten: %s of %s was answered %+v", what, known, response)
		}
		r.checkAnswer(known, what, response.Code, response.Status)
	case k == 2 && r.lastStatus[known] == jobs.Done:
		r.checkCancelAnswer(known, r.Cancel(node, known))
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
		if response := r.SubmitUntracked(node, s, err); response.Code == 200 || response.Code == 201 {
			r.reportViolation("accepted_odd: %+v (%v) was answered %+v", s, err, response)
		}
	}
}

// cancelSeveral has users call off several jobs within a fifth of a second, at whichever controllers,
// while some machines stand still and go on within the lease or after it.
func (r *FaultRun) cancelSeveral(rnd *rand.Rand, lease time.Duration) {
	if len(r.refs) == 0 {
		return
	}
	for _, h := range r.Hosts() {
		if rnd.IntN(3) == 0 {
			r.FreezeMachine(h, true)
			time.AfterFunc(time.Duration(rnd.Int64N(int64(lease+lease/2))), func() { r.FreezeMachine(h, false) })
		}
	}
	for _, ref := range r.refs[max(0, len(r.refs)-1-rnd.IntN(5)):] {
		up := r.runningControllers()
		if len(up) == 0 {
			break
		}
		r.cancelAsync(up[rnd.IntN(len(up))], ref)
		time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
	}
	r.awaitCancelAnswers()
}

// cancelAsync asks a controller to cancel a job, without waiting for the answer: see answers.
func (r *FaultRun) cancelAsync(node, ref string) {
	r.cancelRequested[ref] = true
	r.cancelRequests.Add(1)
	go func() {
		defer r.cancelRequests.Done()
		response := r.Cancel(node, ref)
		if response.Code != 200 {
			return
		}
		if response.Status == jobs.Cancelled {
			r.cancellationConfirmed(ref)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pendingChecks = append(r.pendingChecks, func() { r.checkCancelAnswer(ref, response) })
	}()
}

// awaitCancelAnswers waits for the answers to what was called off.
func (r *FaultRun) awaitCancelAnswers() {
	r.cancelRequests.Wait()
	for _, f := range r.pendingChecks {
		f()
	}
	r.pendingChecks = nil
}

// checkCancelAnswer takes in the answer to a cancellation.
func (r *FaultRun) checkCancelAnswer(ref string, response controller.Response) {
	if response.Code != 200 {
		return
	}
	r.checkAnswer(ref, "cancellation", response.Code, response.Status)
	if response.Status != jobs.Cancelled && response.Status != jobs.Done {
		r.reportViolation("withdrawn: %s is called %s", ref, response.Status)
	}
}

// cancelAtCompletion submits jobs and calls them off, asks for them or submits them again at the moment of
// their ends.
func (r *FaultRun) cancelAtCompletion(rnd *rand.Rand) {
	up := r.runningControllers()
	first, run := len(r.refs), time.Duration(1500+rnd.IntN(3000))*time.Millisecond
	for range 1 + rnd.IntN(4) {
		r.submit(up[rnd.IntN(len(up))], []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 1+rnd.IntN(6), 1, run)
	}
	for _, ref := range r.refs[first:] {
		for k := 0; k < 200 && !r.IsComplete(ref); k++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(rnd.IntN(3)*rnd.IntN(1200)) * time.Millisecond)
		up := r.runningControllers()
		if len(up) == 0 {
			return
		}
		at := up[rnd.IntN(len(up))]
		switch rnd.IntN(3) {
		case 0:
			r.cancel(at, ref)
		case 1:
			response := r.Poll(at, ref)
			r.checkAnswer(ref, "a poll at its end", response.Code, response.Status)
		case 2:
			response := r.ResubmitUnchanged(at, ref)
			r.checkAnswer(ref, "a repeat at its end", response.Code, response.Status)
			if response.Code == 400 || response.Code == 422 {
				r.reportViolation("forgotten: a repeat of %s was answered %+v", ref, response)
			}
		}
	}
}

// runTime is how long a job's tasks run, in seconds; where troubles meet some are still running
// when the time of a cancellation or a lease is over.
func (r *FaultRun) runTime(s int) time.Duration {
	if r.CombineFaults && r.rnd.IntN(2) == 0 {
		s *= 1 + r.rnd.IntN(9)
	}
	return time.Duration(s) * time.Second
}

// reconnectLate has a controller be alone with its workers until it may not answer them any more.
// Some of them are cut off just then, come to its successor when their leases are nearly over,
// and are cut off again once they were heard there, with their tasks running.
func (r *FaultRun) reconnectLate(alone string, rnd *rand.Rand) {
	r.isolateController(alone, true)
	time.Sleep(r.Cfg.HeartbeatAnswerValidity() - time.Duration(rnd.IntN(4000))*time.Millisecond)
	lease := time.Duration(r.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	some := r.Hosts()
	for _, h := range some {
		r.IsolateWorker(h, true)
	}
	time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
	for _, h := range some {
		r.IsolateWorker(h, false)
	}
	time.Sleep(4*time.Second + time.Duration(rnd.IntN(4000))*time.Millisecond) // a report that is given up, and the way to the successor
	for _, h := range some {
		r.IsolateWorker(h, rnd.IntN(3) > 0)
	}
	time.Sleep(lease)
	for _, h := range r.Hosts() {
		r.IsolateWorker(h, false)
	}
	r.isolateController(alone, false)
}

func (r *FaultRun) isolateController(node string, on bool) {
	r.Store.RefuseNode(node, on)
	off := ""
	if on {
		off = node
	}
	r.SetPeerLink(fake.PeerLink{Isolated: off})
}

// outageDuringCancellation has the state service refuse one controller, users cancel through the others, and then
// an outage for all that lasts longer than a cancellation may take; workers report on.
func (r *FaultRun) outageDuringCancellation(refused string, rnd *rand.Rand) {
	// Something is to run when the time of the cancellations is over.
	r.submit(refused, []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 12, 1, config.Seconds(2*r.Cfg.Cluster.Workers.CancelS))
	time.Sleep(time.Duration(4000+rnd.IntN(4000)) * time.Millisecond)
	r.Store.RefuseNode(refused, true)
	if rnd.IntN(3) == 0 {
		r.SetPeerLink(fake.PeerLink{Isolated: refused})
	}
	for range 1 + rnd.IntN(4) {
		time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		for _, x := range r.runningControllers() {
			if x != refused {
				r.cancelAsync(x, r.refs[len(r.refs)-1-rnd.IntN(min(3, len(r.refs)))])
			}
		}
	}
	switch rnd.IntN(4) {
	case 0:
		r.CrashController(refused)
		time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
		r.StartController(refused)
	case 1:
		time.Sleep(time.Duration(rnd.IntN(13000)) * time.Millisecond)
	}
	r.Store.SetOutage(true)
	for end := time.Now().Add(time.Duration((r.Cfg.Cluster.Workers.CancelS + 2 + float64(rnd.IntN(10))) * float64(time.Second))); time.Now().Before(end); {
		time.Sleep(time.Second)
		r.checkCancelledTasks()
		if up := r.runningControllers(); len(up) > 0 && len(r.refs) > 0 {
			ref := r.refs[rnd.IntN(len(r.refs))]
			response := r.Poll(up[rnd.IntN(len(up))], ref)
			r.checkAnswer(ref, "a poll in the outage", response.Code, response.Status)
		}
	}
	r.awaitCancelAnswers()
	r.Store.RefuseNode(refused, rnd.IntN(2) == 0) // the outage may end for the others first
	r.Store.SetOutage(false)
}

// cancel asks a controller to cancel a job.
func (r *FaultRun) cancel(node, ref string) {
	r.cancelRequested[ref] = true
	r.checkCancelAnswer(ref, r.Cancel(node, ref))
}

// clearFaults ends all of them.
func (r *FaultRun) clearFaults() {
	r.Store.ApplyLate(nil, 0)
	r.DuplicateHeartbeats(nil, 0)
	for _, h := range r.Hosts() {
		r.BlockInbound(h, false)
		r.BlockOutbound(h, false)
		r.DelayInbound(h, 0)
		r.FreezeMachine(h, false)
	}
	for _, x := range controllerNames {
		r.Store.RefuseNode(x, false)
	}
}
