package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// limitedTeam is a team whose jobs request more CPUs than its limit allows; freeTeam has no limit.
const (
	limitedTeam = "limited"
	freeTeam    = "free"
)

// Request timeouts of the users, as the protocol defines them.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
)

// Behaviour of the users. Shares are from 0 to 1.
const (
	meanSubmissionGap  = 350 * time.Millisecond // mean time between submissions if there are few workers; shorter with more workers
	maxTasks           = 6
	minRunTime         = 2 * time.Second
	runTimeRange       = 14 * time.Second        // upper bound of the random time added to minRunTime
	maxPollGap         = 1200 * time.Millisecond // maximum time between two polls of a job
	cancelShare        = 0.25                    // share of the jobs whose user plans to cancel them
	probeAllShare      = 0.5                     // share of the finished jobs that probeAllControllers probes
	resubmitShare      = 0.15                    // probability that a user submits a job again before a poll
	unknownPollShare   = 0.05                    // probability that a user first polls a job that was never submitted, before a poll
	submissionAttempts = 12                      // number of attempts to submit a job until its user gives up
	submissionRetryGap = time.Second
)

// users simulates users who submit, poll, resubmit and cancel jobs at all controllers. It is safe for
// concurrent use.
type users struct {
	ctx         context.Context // when ctx has ended, no user sends another request
	checker     *checker
	cluster     *fake.Cluster
	clients     map[string]*http.Client // by controller
	addresses   map[string]string       // by controller
	nodes       []string                // names of the controllers
	workerCount int

	followers sync.WaitGroup // goroutines that run followJob

	mu            sync.Mutex
	rnd           *rand.Rand
	refs          []string                 // all submitted jobs
	unknownRefs   []string                 // jobs that were polled but never submitted
	active        map[string]bool          // jobs whose user waits for their end
	cancelSignals map[string]chan struct{} // by job; a value in the channel tells the job's user to cancel it
}

func newUsers(ctx context.Context, c *checker, cluster *fake.Cluster, l *links, addresses map[string]string, options Options) *users {
	u := &users{
		ctx:           ctx,
		checker:       c,
		cluster:       cluster,
		clients:       map[string]*http.Client{},
		addresses:     addresses,
		nodes:         l.nodes,
		workerCount:   options.Workers,
		rnd:           rand.New(rand.NewPCG(options.Seed, 2)),
		active:        map[string]bool{},
		cancelSignals: map[string]chan struct{}{},
	}
	for _, node := range l.nodes {
		u.clients[node] = &http.Client{Transport: l.users[node]}
	}
	return u
}

// submitJobs submits random jobs at random intervals until ctx ends. The interval is shorter with more workers.
func (u *users) submitJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		spec, runTime := u.randomJob(i)
		u.followers.Go(func() { u.followJob(spec, runTime) }) //nolint:contextcheck // a job is followed after the last submission
		gap := u.randomDuration(2 * meanSubmissionGap * 40 / time.Duration(min(40+u.workerCount, 200)))
		if kvstore.Sleep(ctx, gap) != nil {
			return
		}
	}
}

// randomJob returns a random job and the run time of its tasks. Three of four jobs belong to the limited team.
func (u *users) randomJob(index int) (spec jobs.Spec, runTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kind := []jobs.Kind{jobs.Array, jobs.Array, jobs.Gang}[u.rnd.IntN(3)]
	spec = fake.JobSpec(fmt.Sprintf("wk-%06d", index), kind, 1+u.rnd.IntN(maxTasks), float64(1+u.rnd.IntN(2)))
	spec.Team = limitedTeam
	if u.rnd.IntN(4) == 0 {
		spec.Team = freeTeam
	}
	spec.Class = string(kind)
	spec.Urgency = []string{"idle", "normal", "high"}[u.rnd.IntN(3)]
	u.refs = append(u.refs, spec.Ref)
	u.active[spec.Ref] = true
	u.cancelSignals[spec.Ref] = make(chan struct{}, 1)
	return spec, minRunTime + randomDuration(u.rnd, runTimeRange)
}

// followJob simulates the user of one job: it submits the job, polls it until it has ended, and then may probe
// all controllers about it. It returns early if the submission is not accepted or u.ctx ends.
func (u *users) followJob(spec jobs.Spec, runTime time.Duration) {
	defer u.markFinished(spec.Ref)
	u.cluster.RegisterJob(spec, runTime)
	u.checker.recordSubmission(spec)
	if !u.submit(spec) {
		return
	}
	cancelAt := time.Duration(-1)
	if u.randomBool(cancelShare) {
		cancelAt = u.checker.elapsed() + u.randomDuration(2*runTime)
	}
	for u.ctx.Err() == nil {
		if cancelAt >= 0 && u.checker.elapsed() > cancelAt {
			u.sendAndRecord(u.randomNode(), cancelRequest, spec.Ref, nil)
		}
		if u.randomBool(resubmitShare) {
			u.sendAndRecord(u.randomNode(), submitRequest, spec.Ref, &spec)
		}
		if u.randomBool(unknownPollShare) {
			u.pollUnknownJob()
		}
		response := u.sendAndRecord(u.randomNode(), pollRequest, spec.Ref, nil)
		if isFinal(response) {
			u.probeAllControllers(spec)
			return
		}
		if u.waitForNextPoll(spec.Ref) {
			cancelAt = 0
		}
	}
}

// isFinal reports whether a response says that a job is done or cancelled.
func isFinal(response apiResponse) bool {
	return response.statusCode == http.StatusOK && (response.jobStatus == jobs.Done || response.jobStatus == jobs.Cancelled)
}

// waitForNextPoll waits until a job is to be polled again, and reports whether the user has to cancel it now.
func (u *users) waitForNextPoll(ref string) (mustCancel bool) {
	u.mu.Lock()
	cancelSignal := u.cancelSignals[ref]
	u.mu.Unlock()
	timer := time.NewTimer(u.randomDuration(maxPollGap))
	defer timer.Stop()
	select {
	case <-cancelSignal:
		return true
	case <-timer.C:
	case <-u.ctx.Done():
	}
	return false
}

// submit submits a job until it is accepted or the user gives up, and reports whether it was accepted.
func (u *users) submit(spec jobs.Spec) bool {
	for range submissionAttempts {
		response := u.sendAndRecord(u.randomNode(), submitRequest, spec.Ref, &spec)
		switch response.statusCode {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.checker.recordViolation("refused: the valid submission of %s was rejected with status %d", spec.Ref, response.statusCode)
			return false
		}
		if kvstore.Sleep(u.ctx, submissionRetryGap) != nil {
			return false
		}
	}
	return false
}

// probeAllControllers polls, resubmits and cancels a job that has ended, at all controllers at once. It does so
// only with the probability probeAllShare.
func (u *users) probeAllControllers(spec jobs.Spec) {
	if !u.randomBool(probeAllShare) {
		return
	}
	var requests sync.WaitGroup
	for _, node := range u.nodes {
		requests.Go(func() { u.sendAndRecord(node, pollRequest, spec.Ref, nil) })
		requests.Go(func() { u.sendAndRecord(node, submitRequest, spec.Ref, &spec) })
		requests.Go(func() { u.sendAndRecord(node, cancelRequest, spec.Ref, nil) })
	}
	requests.Wait()
}

// pollUnknownJob polls a job that is never submitted.
func (u *users) pollUnknownJob() {
	u.mu.Lock()
	ref := fmt.Sprintf("wk-9%05d", u.rnd.IntN(100000))
	u.unknownRefs = append(u.unknownRefs, ref)
	u.mu.Unlock()
	u.sendAndRecord(u.randomNode(), pollRequest, ref, nil)
}

// cancelMany tells the users of a random share of the active jobs to cancel them now.
func (u *users) cancelMany(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ref := range u.active {
		if u.rnd.Float64() < share {
			select {
			case u.cancelSignals[ref] <- struct{}{}:
			default:
			}
		}
	}
}

// sendAndRecord sends a request and records it with its response.
func (u *users) sendAndRecord(node string, kind requestKind, ref string, spec *jobs.Spec) apiResponse {
	sentAt := u.checker.elapsed()
	response := u.send(node, kind, ref, spec)
	u.checker.recordExchange(ref, exchange{kind: kind, node: node, sentAt: sentAt, endedAt: u.checker.elapsed(), response: response})
	return response
}

// send sends a request to a controller. It returns an empty apiResponse if there is no response, or
// if the body of a response with a status below 400 is invalid.
func (u *users) send(node string, kind requestKind, ref string, spec *jobs.Spec) apiResponse {
	method, path, timeout := http.MethodGet, "/submissions/"+ref, pollTimeout
	body := []byte{}
	switch kind {
	case submitRequest:
		method, path, timeout = http.MethodPost, "/submissions", submitTimeout
		body, _ = json.Marshal(spec) // a spec can always be encoded
	case cancelRequest:
		method, path, timeout = http.MethodPost, path+"/withdraw", submitTimeout
	case pollRequest:
	}
	// The end of u.ctx does not abort a pending request, only the request's own timeout does. A response that
	// arrives after the end of u.ctx is therefore still recorded.
	ctx, stop := context.WithTimeout(context.WithoutCancel(u.ctx), timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.addresses[node]+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.clients[node].Do(request)
	if err != nil {
		return apiResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Status jobs.Status `json:"status"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil && response.StatusCode < http.StatusBadRequest {
		return apiResponse{}
	}
	return apiResponse{statusCode: response.StatusCode, jobStatus: reply.Status}
}

// markFinished removes a job from the active jobs when its user no longer waits for its end.
func (u *users) markFinished(ref string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.active, ref)
}

// unfinishedCount returns the number of jobs whose user still waits for their end.
func (u *users) unfinishedCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.active)
}

// jobRefs returns the jobs that were submitted, and those that were polled but never submitted.
func (u *users) jobRefs() (submittedRefs, unknownRefs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refs, u.unknownRefs
}

// randomNode returns the name of a random controller.
func (u *users) randomNode() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.nodes[u.rnd.IntN(len(u.nodes))]
}

// randomBool returns true with the probability share.
func (u *users) randomBool(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rnd.Float64() < share
}

// randomDuration returns a random duration from 0 up to, but not including, limit.
func (u *users) randomDuration(limit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return randomDuration(u.rnd, max(1, limit))
}
