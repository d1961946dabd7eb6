package faultinjection

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// FaultKind is a kind of fault or user request that violated invariants in combination with others
// (docs/meetings.md). Faults that last end with another one of their kind, or with the run.
type FaultKind int

// The kinds. Their numbers and their count are part of a seed's scenario and must not change. Only
// kinds that tests inject alone are exported.
const (
	lateWrites FaultKind = iota
	lateHeartbeats
	inboundBlocked
	inboundRestored
	inboundDelayed
	machineFrozen
	controllerIsolated // from the store and its peers, but not from workers and users
	controllerRejoined
	OutageDuringCancellation
	workersReconnectLate
	cacheReloaded   // while commands are in flight
	outboundBlocked // direct commands still reach the machine
	CancelSeveral
	cancelledAtCompletion
	InvalidRequests
	faultKindCount
)

const (
	combinedMachines = 12
	combinedSteps    = 150
	faultSeed        = 33 // the second part of the seed
)

// RunCombined runs the scenario of a seed with all kinds of faults and returns the violations of
// invariants. The lease duration and the cancel timeout vary with the seed.
func RunCombined(t *testing.T, seed uint64) (violations []string) {
	t.Helper()
	return runCombined(t, seed, nil, func(*fake.Cluster) {})
}

func runCombined(t *testing.T, seed uint64, only *FaultKind, set func(cluster *fake.Cluster)) []string {
	t.Helper()
	return RunWith(t, combinedMachines, func(cluster *fake.Cluster) {
		cluster.ConnectPeers = seed%2 == 1
		durations := []struct{ lease, cancellation float64 }{{10, 30}, {25, 45}, {35, 60}}[seed%3]
		cluster.Cfg.Cluster.Workers.LeaseSeconds = durations.lease
		cluster.Cfg.Cluster.Workers.CancelSeconds = durations.cancellation
		cluster.SetImageFetchTime(time.Duration(seed%4) * 1500 * time.Millisecond)
		set(cluster)
	}, func(r *FaultRun) {
		r.CombineFaults, r.WithDependencies, r.onlyKind = true, seed%5 == 0, only
		r.InjectFaults(rand.New(rand.NewPCG(seed, faultSeed)), combinedSteps)
		r.Finish()
	})
}

// injectCombined begins or ends a fault of a random kind. node is a running controller. The sequence of
// the random numbers is part of a seed's scenario and must not change.
func (r *FaultRun) injectCombined(node string) {
	hosts := r.Hosts()
	host := anyOf(r.rnd, hosts)
	// Faults that draw numbers from other goroutines have a source of their own: their number of
	// draws must not change the scenario. It is made for each kind, so that all draw the same here.
	ownRand := rand.New(rand.NewPCG(r.rnd.Uint64(), 1))
	kind := FaultKind(r.rnd.IntN(int(faultKindCount)))
	if r.onlyKind != nil {
		kind = *r.onlyKind
	}
	switch kind {
	case lateWrites:
		r.Store.ApplyLate(ownRand, anyOf(r.rnd, []float64{0, 0.1, 0.3}))
	case lateHeartbeats:
		r.duplicateHeartbeats(ownRand)
	case inboundBlocked:
		for _, each := range hosts {
			r.BlockInbound(each, r.rnd.IntN(6) == 0)
		}
	case inboundRestored:
		r.BlockInbound(host, false)
	case inboundDelayed:
		r.DelayInbound(host, time.Duration(r.rnd.IntN(2)*r.rnd.IntN(5000))*time.Millisecond)
	case machineFrozen:
		r.FreezeMachine(host, r.rnd.IntN(2) == 0)
	case controllerIsolated:
		r.isolateController(node, true)
	case controllerRejoined:
		r.isolateController(node, false)
	case OutageDuringCancellation:
		r.outageDuringCancellation(node)
	case workersReconnectLate:
		r.reconnectLate(node)
	case cacheReloaded:
		r.reloadCache(node, hosts)
	case outboundBlocked:
		r.blockOutbound(hosts)
	case CancelSeveral:
		r.cancelSeveral()
	case cancelledAtCompletion:
		r.cancelAtCompletion()
	case InvalidRequests:
		for range 3 {
			r.submitInvalid(node)
		}
	}
}

func (r *FaultRun) duplicateHeartbeats(ownRand *rand.Rand) {
	if r.rnd.IntN(3) == 0 {
		r.DuplicateHeartbeats(nil, 0)
	} else {
		r.DuplicateHeartbeats(ownRand, 2*r.leaseDuration())
	}
}

func (r *FaultRun) blockOutbound(hosts []string) {
	isForAll := r.rnd.IntN(4) == 0
	for _, host := range hosts {
		r.BlockOutbound(host, isForAll || r.rnd.IntN(6) == 0)
	}
}

// reloadCache has a controller read all records again while commands to the machines are in flight.
func (r *FaultRun) reloadCache(node string, hosts []string) {
	for _, host := range hosts {
		r.DelayInbound(host, randomMilliseconds(r.rnd, 4000))
	}
	time.Sleep(time.Second)
	r.Store.CompactWatch(node)
}

// cancelSeveral has users cancel several jobs within a fifth of a second at random controllers, while
// some machines are frozen and continue within the lease or after it.
func (r *FaultRun) cancelSeveral() {
	if len(r.refs) == 0 {
		return
	}
	lease := r.leaseDuration()
	for _, host := range r.Hosts() {
		if r.rnd.IntN(3) == 0 {
			r.FreezeMachine(host, true)
			frozenFor := time.Duration(r.rnd.Int64N(int64(lease + lease/2)))
			time.AfterFunc(frozenFor, func() { r.FreezeMachine(host, false) })
		}
	}
	for _, ref := range r.refs[max(0, len(r.refs)-1-r.rnd.IntN(5)):] {
		running := r.runningControllers()
		if len(running) == 0 {
			break
		}
		r.cancelAsync(anyOf(r.rnd, running), ref)
		time.Sleep(randomMilliseconds(r.rnd, 50))
	}
	r.awaitCancelAnswers()
}

// cancelAtCompletion submits jobs, and cancels, polls or resubmits each about when it completes.
func (r *FaultRun) cancelAtCompletion() {
	running := r.runningControllers()
	first := len(r.refs)
	runTime := time.Duration(1500+r.rnd.IntN(3000)) * time.Millisecond
	for range 1 + r.rnd.IntN(4) {
		r.submit(anyOf(r.rnd, running), anyOf(r.rnd, []jobs.Kind{jobs.Array, jobs.Gang}), 1+r.rnd.IntN(6), 1, runTime)
	}
	for _, ref := range r.refs[first:] {
		for i := 0; i < 200 && !r.IsComplete(ref); i++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(r.rnd.IntN(3)*r.rnd.IntN(1200)) * time.Millisecond)
		running := r.runningControllers()
		if len(running) == 0 {
			return
		}
		r.askAtCompletion(anyOf(r.rnd, running), ref)
	}
}

func (r *FaultRun) askAtCompletion(node, ref string) {
	switch r.rnd.IntN(3) {
	case 0:
		r.cancel(node, ref)
	case 1:
		r.poll(node, ref, "a poll at its completion")
	case 2:
		response := r.ResubmitUnchanged(node, ref)
		r.checkAnswer(ref, "a resubmission at its completion", response)
		if response.Code == http.StatusBadRequest || response.Code == http.StatusUnprocessableEntity {
			r.reportViolation("forgotten: a resubmission of %s was answered %+v", ref, response)
		}
	}
}

// reconnectLate isolates a controller from the store and its peers, but not from its workers, until
// about when it may not renew their leases any more. Then the workers are cut off as well; they
// reconnect to its successor up to a lease later, and most are cut off again once the successor knows
// them, with their tasks running.
func (r *FaultRun) reconnectLate(isolated string) {
	r.isolateController(isolated, true)
	time.Sleep(r.Cfg.HeartbeatAnswerValidity() - randomMilliseconds(r.rnd, 4000))
	lease := r.leaseDuration()
	hosts := r.Hosts()
	for _, host := range hosts {
		r.IsolateWorker(host, true)
	}
	time.Sleep(time.Duration(r.rnd.Int64N(int64(lease))))
	for _, host := range hosts {
		r.IsolateWorker(host, false)
	}
	// Time for a heartbeat that times out, and for those that find the successor.
	time.Sleep(4*time.Second + randomMilliseconds(r.rnd, 4000))
	for _, host := range hosts {
		r.IsolateWorker(host, r.rnd.IntN(3) > 0)
	}
	time.Sleep(lease)
	for _, host := range r.Hosts() {
		r.IsolateWorker(host, false)
	}
	r.isolateController(isolated, false)
}

// isolateController cuts a controller off from the store and its peers, or ends that.
func (r *FaultRun) isolateController(node string, on bool) {
	r.Store.RefuseNode(node, on)
	peerLink := fake.PeerLink{}
	if on {
		peerLink.Isolated = node
	}
	r.SetPeerLink(peerLink)
}

// outageDuringCancellation has the store refuse one controller, users cancel jobs through the others,
// and then an outage for all that lasts longer than a cancellation may take. Workers continue to send
// heartbeats.
func (r *FaultRun) outageDuringCancellation(refused string) {
	// These tasks still run when the time limit of the cancellations is over.
	r.submit(refused, anyOf(r.rnd, []jobs.Kind{jobs.Array, jobs.Gang}), 12, 1, 2*r.cancelTimeout())
	time.Sleep(time.Duration(4000+r.rnd.IntN(4000)) * time.Millisecond)
	r.Store.RefuseNode(refused, true)
	if r.rnd.IntN(3) == 0 {
		r.SetPeerLink(fake.PeerLink{Isolated: refused})
	}
	r.cancelThroughOthers(refused)
	switch r.rnd.IntN(4) {
	case 0:
		r.CrashController(refused)
		time.Sleep(randomMilliseconds(r.rnd, 900))
		r.StartController(refused)
	case 1:
		time.Sleep(randomMilliseconds(r.rnd, 13000))
	}
	r.Store.SetOutage(true)
	r.pollDuringOutage(r.cancelTimeout() + 2*time.Second + time.Duration(r.rnd.IntN(10))*time.Second)
	r.awaitCancelAnswers()
	r.Store.RefuseNode(refused, r.rnd.IntN(2) == 0) // for the refused controller the outage may go on
	r.Store.SetOutage(false)
}

// cancelThroughOthers cancels some of the last three jobs through all controllers but one.
func (r *FaultRun) cancelThroughOthers(refused string) {
	for range 1 + r.rnd.IntN(4) {
		time.Sleep(randomMilliseconds(r.rnd, 2500))
		for _, name := range r.runningControllers() {
			if name != refused {
				r.cancelAsync(name, r.refs[len(r.refs)-1-r.rnd.IntN(min(3, len(r.refs)))])
			}
		}
	}
}

// pollDuringOutage polls random jobs for a time.
func (r *FaultRun) pollDuringOutage(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		r.checkCancelledTasks()
		if running := r.runningControllers(); len(running) > 0 && len(r.refs) > 0 {
			ref := anyOf(r.rnd, r.refs)
			r.poll(anyOf(r.rnd, running), ref, "a poll in the outage")
		}
	}
}

// submitInvalid has a user resubmit a job with other content or an invalid body, cancel a done job, or
// submit a job that must not be accepted.
func (r *FaultRun) submitInvalid(node string) {
	known := ""
	if len(r.refs) > 0 {
		known = anyOf(r.rnd, r.refs)
	}
	switch action := r.rnd.IntN(5); {
	case action < 2 && r.lastStatus[known] != "":
		r.resubmitChanged(node, known, action == 1)
	case action == 2 && r.lastStatus[known] == jobs.Done:
		r.checkCancelAnswer(known, r.Cancel(node, known))
	default:
		spec, invalid := r.invalidSubmission()
		response := r.SubmitUntracked(node, spec, invalid)
		if response.Code == http.StatusOK || response.Code == http.StatusCreated {
			r.reportViolation("accepted_odd: %+v (%v) was answered %+v", spec, invalid, response)
		}
	}
}

// errInvalidBody stands for what is wrong with a body.
var errInvalidBody = errors.New("shifts: missing")

// resubmitChanged submits an accepted job again, with other content and perhaps an invalid body. The
// answer must be about the accepted job.
func (r *FaultRun) resubmitChanged(node, ref string, hasInvalidBody bool) {
	spec := fake.JobSpec(ref, jobs.Array, 1+r.rnd.IntN(500), 99)
	request, invalid := "a resubmission with other content", error(nil)
	if hasInvalidBody {
		request, invalid = "a resubmission with an invalid body", errInvalidBody
	}
	response := r.SubmitUntracked(node, spec, invalid)
	switch response.Code {
	case http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
		r.reportViolation("forgotten: %s of %s was answered %+v", request, ref, response)
	}
	r.checkAnswer(ref, request, response)
}

// invalidSubmission returns a submission that must not be accepted, and what is wrong with its body.
func (r *FaultRun) invalidSubmission() (spec jobs.Spec, invalid error) {
	spec = fake.JobSpec(fmt.Sprintf("odd-%d", r.rnd.Uint32()), jobs.Array, 1+r.rnd.IntN(4), 1)
	switch r.rnd.IntN(7) {
	case 0:
		invalid = errInvalidBody
	case 1:
		spec.CPU = 99
	case 2:
		spec.Team = "nobody"
	case 3:
		zone := "nowhere"
		spec.Zone = &zone
	case 4:
		spec.Kind, spec.Team, spec.Tasks = jobs.Gang, "capped", 9
	case 5:
		spec.Tasks, spec.OneZone, spec.Spread = 4, true, true
	case 6:
		spec.MachineTypes = []string{"m512"}
	}
	return spec, invalid
}

// clearCombined ends the faults of all kinds that last.
func (r *FaultRun) clearCombined() {
	r.Store.ApplyLate(nil, 0)
	r.DuplicateHeartbeats(nil, 0)
	for _, host := range r.Hosts() {
		r.BlockInbound(host, false)
		r.BlockOutbound(host, false)
		r.DelayInbound(host, 0)
		r.FreezeMachine(host, false)
	}
	for _, name := range controllerNames {
		r.Store.RefuseNode(name, false)
	}
}
