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
// (docs/meetings.md). A lasting fault ends with a later fault of the same kind, or when InjectFaults ends.
type FaultKind int

// The kinds of faults. A seed's scenario depends on their values and their number, which must not change.
// Only the kinds that tests inject separately are exported.
const (
	lateWrites FaultKind = iota
	duplicatedHeartbeats
	inboundBlocked
	inboundRestored
	inboundDelayed
	machineFrozen
	controllerIsolated // disconnected from the store and its peers, but not from workers and users
	controllerRejoined
	OutageDuringCancellation
	workersReconnectLate
	cacheReloaded   // a controller reads all records again while commands are in flight
	outboundBlocked // direct commands still reach the machine
	CancelSeveral
	cancelledAtCompletion
	InvalidRequests
	faultKindCount
)

const (
	combinedMachines = 12  // number of machines at the start of a run
	combinedSteps    = 150 // number of random steps of a run
	faultSeed        = 33  // second part of the seed of each run
)

// RunCombined runs the scenario of a seed with all kinds of faults and returns the violations of
// invariants. The lease duration and the cancel timeout depend on the seed.
func RunCombined(t *testing.T, seed uint64) (violations []string) {
	t.Helper()
	return runCombined(t, seed, nil, func(*fake.Cluster) {})
}

func runCombined(t *testing.T, seed uint64, onlyKind *FaultKind, configure func(cluster *fake.Cluster)) []string {
	t.Helper()
	return RunWith(t, combinedMachines, func(cluster *fake.Cluster) {
		cluster.ConnectPeers = seed%2 == 1
		// The durations are in seconds.
		durations := []struct{ lease, cancellation float64 }{{10, 30}, {25, 45}, {35, 60}}[seed%3]
		cluster.Cfg.Cluster.Workers.LeaseSeconds = durations.lease
		cluster.Cfg.Cluster.Workers.CancelSeconds = durations.cancellation
		cluster.SetImageFetchTime(time.Duration(seed%4) * 1500 * time.Millisecond)
		configure(cluster)
	}, func(r *FaultRun) {
		r.CombineFaults, r.WithDependencies, r.onlyKind = true, seed%5 == 0, onlyKind
		r.InjectFaults(rand.New(rand.NewPCG(seed, faultSeed)), combinedSteps)
		r.Finish()
	})
}

// injectCombined begins or ends a fault of a random kind. node is a running controller. A seed's scenario
// depends on the sequence of the random numbers, which must not change.
func (r *FaultRun) injectCombined(node string) {
	hosts := r.Hosts()
	host := randomElement(r.rnd, hosts)
	// Faults that draw random numbers in other goroutines use a source of their own, so that the number
	// of their draws does not change the scenario. The source is created for every kind of fault, so that
	// all kinds draw the same number of values from r.rnd here.
	faultRand := rand.New(rand.NewPCG(r.rnd.Uint64(), 1))
	kind := FaultKind(r.rnd.IntN(int(faultKindCount)))
	if r.onlyKind != nil {
		kind = *r.onlyKind
	}
	switch kind {
	case lateWrites:
		r.Store.ApplyLate(faultRand, randomElement(r.rnd, []float64{0, 0.1, 0.3}))
	case duplicatedHeartbeats:
		r.duplicateHeartbeats(faultRand)
	case inboundBlocked:
		for _, target := range hosts {
			r.BlockInbound(target, r.rnd.IntN(6) == 0)
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
			r.sendInvalidRequest(node)
		}
	}
}

func (r *FaultRun) duplicateHeartbeats(faultRand *rand.Rand) {
	if r.rnd.IntN(3) == 0 {
		r.DuplicateHeartbeats(nil, 0)
	} else {
		r.DuplicateHeartbeats(faultRand, 2*r.leaseDuration())
	}
}

func (r *FaultRun) blockOutbound(hosts []string) {
	blocksAll := r.rnd.IntN(4) == 0
	for _, host := range hosts {
		r.BlockOutbound(host, blocksAll || r.rnd.IntN(6) == 0)
	}
}

// reloadCache makes a controller read all records again while commands to the machines are in flight.
func (r *FaultRun) reloadCache(node string, hosts []string) {
	for _, host := range hosts {
		r.DelayInbound(host, randomMilliseconds(r.rnd, 4000))
	}
	time.Sleep(time.Second)
	r.Store.CompactWatch(node)
}

// cancelSeveral cancels several jobs at random controllers within a fifth of a second, while some machines
// are frozen. These machines resume before or after their leases expire.
func (r *FaultRun) cancelSeveral() {
	if len(r.jobRefs) == 0 {
		return
	}
	lease := r.leaseDuration()
	for _, host := range r.Hosts() {
		if r.rnd.IntN(3) == 0 {
			r.FreezeMachine(host, true)
			freezeDuration := time.Duration(r.rnd.Int64N(int64(lease + lease/2)))
			time.AfterFunc(freezeDuration, func() { r.FreezeMachine(host, false) })
		}
	}
	for _, ref := range r.jobRefs[max(0, len(r.jobRefs)-1-r.rnd.IntN(5)):] {
		runningNodes := r.runningControllers()
		if len(runningNodes) == 0 {
			break
		}
		r.cancelAsync(randomElement(r.rnd, runningNodes), ref)
		time.Sleep(randomMilliseconds(r.rnd, 50))
	}
	r.awaitCancelResponses()
}

// cancelAtCompletion submits jobs, and cancels, polls or resubmits each job at about the time at which it
// completes.
func (r *FaultRun) cancelAtCompletion() {
	runningNodes := r.runningControllers()
	firstIndex := len(r.jobRefs)
	runTime := time.Duration(1500+r.rnd.IntN(3000)) * time.Millisecond
	for range 1 + r.rnd.IntN(4) {
		r.submit(randomElement(r.rnd, runningNodes), randomElement(r.rnd, []jobs.Kind{jobs.Array, jobs.Gang}), 1+r.rnd.IntN(6), 1, runTime)
	}
	for _, ref := range r.jobRefs[firstIndex:] {
		for i := 0; i < 200 && !r.IsComplete(ref); i++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(r.rnd.IntN(3)*r.rnd.IntN(1200)) * time.Millisecond)
		runningNodes := r.runningControllers()
		if len(runningNodes) == 0 {
			return
		}
		r.requestAtCompletion(randomElement(r.rnd, runningNodes), ref)
	}
}

// requestAtCompletion cancels, polls or resubmits a job.
func (r *FaultRun) requestAtCompletion(node, ref string) {
	switch r.rnd.IntN(3) {
	case 0:
		r.cancel(node, ref)
	case 1:
		r.poll(node, ref, "a poll at its completion")
	case 2:
		response := r.ResubmitUnchanged(node, ref)
		r.checkResponse(ref, "a resubmission at its completion", response)
		if response.Code == http.StatusBadRequest || response.Code == http.StatusUnprocessableEntity {
			r.reportViolation("forgotten: a resubmission of %s was answered %+v", ref, response)
		}
	}
}

// reconnectLate isolates a controller from the store and its peers, but not from its workers. Shortly before
// this controller must stop renewing the workers' leases, all workers are cut off from all controllers as well, for
// up to a lease duration. The workers then reconnect to the successor of the isolated controller. Once the successor
// knows them, most of them are cut off again while their tasks run.
func (r *FaultRun) reconnectLate(isolatedNode string) {
	r.isolateController(isolatedNode, true)
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
	// During this time a pending heartbeat times out, and the workers try other controllers until they find the successor.
	time.Sleep(4*time.Second + randomMilliseconds(r.rnd, 4000))
	for _, host := range hosts {
		r.IsolateWorker(host, r.rnd.IntN(3) > 0)
	}
	time.Sleep(lease)
	for _, host := range r.Hosts() {
		r.IsolateWorker(host, false)
	}
	r.isolateController(isolatedNode, false)
}

// isolateController disconnects a controller from the store and its peers, or reconnects it.
func (r *FaultRun) isolateController(node string, on bool) {
	r.Store.RefuseNode(node, on)
	peerLink := fake.PeerLink{}
	if on {
		peerLink.IsolatedNode = node
	}
	r.SetPeerLink(peerLink)
}

// outageDuringCancellation makes the store refuse one controller, cancels jobs through the other controllers,
// and then makes the store unavailable for all controllers, for longer than a cancellation may take.
// Workers continue to send heartbeats.
func (r *FaultRun) outageDuringCancellation(refusedNode string) {
	// These tasks still run when the timeout of the cancellations is over.
	r.submit(refusedNode, randomElement(r.rnd, []jobs.Kind{jobs.Array, jobs.Gang}), 12, 1, 2*r.cancelTimeout())
	time.Sleep(time.Duration(4000+r.rnd.IntN(4000)) * time.Millisecond)
	r.Store.RefuseNode(refusedNode, true)
	if r.rnd.IntN(3) == 0 {
		r.SetPeerLink(fake.PeerLink{IsolatedNode: refusedNode})
	}
	r.cancelThroughOthers(refusedNode)
	switch r.rnd.IntN(4) {
	case 0:
		r.CrashController(refusedNode)
		time.Sleep(randomMilliseconds(r.rnd, 900))
		r.StartController(refusedNode)
	case 1:
		time.Sleep(randomMilliseconds(r.rnd, 13000))
	}
	r.Store.SetOutage(true)
	r.pollDuringOutage(r.cancelTimeout() + 2*time.Second + time.Duration(r.rnd.IntN(10))*time.Second)
	r.awaitCancelResponses()
	r.Store.RefuseNode(refusedNode, r.rnd.IntN(2) == 0) // the refused controller may remain without the store
	r.Store.SetOutage(false)
}

// cancelThroughOthers cancels some of the last three jobs through all controllers except the refused one.
func (r *FaultRun) cancelThroughOthers(refusedNode string) {
	for range 1 + r.rnd.IntN(4) {
		time.Sleep(randomMilliseconds(r.rnd, 2500))
		for _, name := range r.runningControllers() {
			if name != refusedNode {
				r.cancelAsync(name, r.jobRefs[len(r.jobRefs)-1-r.rnd.IntN(min(3, len(r.jobRefs)))])
			}
		}
	}
}

// pollDuringOutage polls a random job every second for the given duration.
func (r *FaultRun) pollDuringOutage(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		r.checkCancelledTasks()
		if runningNodes := r.runningControllers(); len(runningNodes) > 0 && len(r.jobRefs) > 0 {
			ref := randomElement(r.rnd, r.jobRefs)
			r.poll(randomElement(r.rnd, runningNodes), ref, "a poll during the outage")
		}
	}
}

// sendInvalidRequest resubmits a job with other content or an invalid body, cancels a done job, or submits a job
// that must not be accepted.
func (r *FaultRun) sendInvalidRequest(node string) {
	knownRef := ""
	if len(r.jobRefs) > 0 {
		knownRef = randomElement(r.rnd, r.jobRefs)
	}
	switch action := r.rnd.IntN(5); {
	case action < 2 && r.lastStatus[knownRef] != "":
		r.resubmitChanged(node, knownRef, action == 1)
	case action == 2 && r.lastStatus[knownRef] == jobs.Done:
		r.checkCancelResponse(knownRef, r.Cancel(node, knownRef))
	default:
		spec, validationErr := r.invalidSubmission()
		response := r.SubmitUntracked(node, spec, validationErr)
		if response.Code == http.StatusOK || response.Code == http.StatusCreated {
			r.reportViolation("accepted_odd: invalid submission %+v (%v) was answered %+v", spec, validationErr, response)
		}
	}
}

// errInvalidBody is the validation error of an invalid request body.
var errInvalidBody = errors.New("shifts: missing")

// resubmitChanged submits an accepted job again, with other content and optionally an invalid body. The
// response must be about the accepted job.
func (r *FaultRun) resubmitChanged(node, ref string, hasInvalidBody bool) {
	spec := fake.JobSpec(ref, jobs.Array, 1+r.rnd.IntN(500), 99)
	description, validationErr := "a resubmission with other content", error(nil)
	if hasInvalidBody {
		description, validationErr = "a resubmission with an invalid body", errInvalidBody
	}
	response := r.SubmitUntracked(node, spec, validationErr)
	switch response.Code {
	case http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
		r.reportViolation("forgotten: %s of %s was answered %+v", description, ref, response)
	}
	r.checkResponse(ref, description, response)
}

// invalidSubmission returns a submission that must not be accepted, and the validation error of its body, nil
// if the body is valid.
func (r *FaultRun) invalidSubmission() (spec jobs.Spec, validationErr error) {
	spec = fake.JobSpec(fmt.Sprintf("odd-%d", r.rnd.Uint32()), jobs.Array, 1+r.rnd.IntN(4), 1)
	switch r.rnd.IntN(7) {
	case 0:
		validationErr = errInvalidBody
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
	return spec, validationErr
}

// clearCombined ends the lasting faults of all kinds.
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
