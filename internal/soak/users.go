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

// limitedTeam is a team whose jobs want more than its limit; freeTeam has no limit.
const (
	limitedTeam = "limited"
	freeTeam    = "free"
)

// Times of users, as the protocol gives them.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
)

// Behaviour of the users.
const (
	meanSubmissionGap    = 350 * time.Millisecond
	maxTasks             = 6
	minRunTime           = 2 * time.Second
	maxRunTime           = 14 * time.Second
	maxPollGap           = 1200 * time.Millisecond
	cancelledShare       = 0.25
	closeLookShare       = 0.5 // of the final answers, after which all controllers are asked at once
	repeatedShare        = 0.15
	unknownQuestionShare = 0.05
	submissionAttempts   = 12
	submissionRetryGap   = time.Second
)

// users submit, ask, repeat and cancel at all controllers. It is safe for concurrent use.
type users struct {
	ctx       context.Context // ends when no more requests are made
	judge     *judge
	cluster   *fake.Cluster
	clients   map[string]*http.Client // by controller
	addresses map[string]string
	nodes     []string
	workers   int

	followers sync.WaitGroup

	mu          sync.Mutex
	rnd         *rand.Rand
	refs        []string
	unknownRefs []string
	active      map[string]bool // jobs of which users await the end
	cancelNow   map[string]chan struct{}
}

func newUsers(ctx context.Context, j *judge, cluster *fake.Cluster, l *links, addresses map[string]string, options Options) *users {
	u := &users{
		ctx:       ctx,
		judge:     j,
		cluster:   cluster,
		clients:   map[string]*http.Client{},
		addresses: addresses,
		nodes:     l.nodes,
		workers:   options.Workers,
		rnd:       rand.New(rand.NewPCG(options.Seed, 2)),
		active:    map[string]bool{},
		cancelNow: map[string]chan struct{}{},
	}
	for _, node := range l.nodes {
		u.clients[node] = &http.Client{Transport: l.users[node]}
	}
	return u
}

// submitJobs submits jobs until ctx ends.
func (u *users) submitJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		spec, runTime := u.drawJob(i)
		u.followers.Go(func() { u.follow(spec, runTime) }) //nolint:contextcheck // a job is followed after the last submission
		gap := u.duration(2 * meanSubmissionGap * 40 / time.Duration(min(40+u.workers, 200)))
		if kvstore.Sleep(ctx, gap) != nil {
			return
		}
	}
}

// drawJob draws a job. Most are of the limited team.
func (u *users) drawJob(index int) (spec jobs.Spec, runTime time.Duration) {
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
	u.cancelNow[spec.Ref] = make(chan struct{}, 1)
	return spec, minRunTime + randomDuration(u.rnd, maxRunTime)
}

// follow is the user of one job, from its submission to some questions after its end.
func (u *users) follow(spec jobs.Spec, runTime time.Duration) {
	defer u.end(spec.Ref)
	u.cluster.RegisterJob(spec, runTime)
	u.judge.submitted(spec)
	if !u.submit(spec) {
		return
	}
	cancelAt := time.Duration(-1)
	if u.chance(cancelledShare) {
		cancelAt = u.judge.now() + u.duration(2*runTime)
	}
	for u.ctx.Err() == nil {
		if cancelAt >= 0 && u.judge.now() > cancelAt {
			u.exchange(u.anyNode(), cancelRequest, spec.Ref, nil)
		}
		if u.chance(repeatedShare) {
			u.exchange(u.anyNode(), submitRequest, spec.Ref, &spec)
		}
		if u.chance(unknownQuestionShare) {
			u.askUnknown()
		}
		reply := u.exchange(u.anyNode(), pollRequest, spec.Ref, nil)
		if isFinal(reply) {
			u.lookClosely(spec)
			return
		}
		if u.awaitTurn(spec.Ref) {
			cancelAt = 0
		}
	}
}

func isFinal(reply answer) bool {
	return reply.code == http.StatusOK && (reply.status == jobs.Done || reply.status == jobs.Cancelled)
}

// awaitTurn waits until a job is asked about again, and reports whether its user is to cancel it now.
func (u *users) awaitTurn(ref string) (mustCancel bool) {
	u.mu.Lock()
	cancelNow := u.cancelNow[ref]
	u.mu.Unlock()
	timer := time.NewTimer(u.duration(maxPollGap))
	defer timer.Stop()
	select {
	case <-cancelNow:
		return true
	case <-timer.C:
	case <-u.ctx.Done():
	}
	return false
}

// submit submits a job until it is accepted or the user gives up, and reports whether it was accepted.
func (u *users) submit(spec jobs.Spec) bool {
	for range submissionAttempts {
		reply := u.exchange(u.anyNode(), submitRequest, spec.Ref, &spec)
		switch reply.code {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.judge.report("refused: a valid submission of %s was answered %d", spec.Ref, reply.code)
			return false
		}
		if kvstore.Sleep(u.ctx, submissionRetryGap) != nil {
			return false
		}
	}
	return false
}

// lookClosely asks all controllers at once about a job that has ended, and repeats its submission.
func (u *users) lookClosely(spec jobs.Spec) {
	if !u.chance(closeLookShare) {
		return
	}
	var asked sync.WaitGroup
	for _, node := range u.nodes {
		asked.Go(func() { u.exchange(node, pollRequest, spec.Ref, nil) })
		asked.Go(func() { u.exchange(node, submitRequest, spec.Ref, &spec) })
		asked.Go(func() { u.exchange(node, cancelRequest, spec.Ref, nil) })
	}
	asked.Wait()
}

// askUnknown asks about a job that nobody submits.
func (u *users) askUnknown() {
	u.mu.Lock()
	ref := fmt.Sprintf("wk-9%05d", u.rnd.IntN(100000))
	u.unknownRefs = append(u.unknownRefs, ref)
	u.mu.Unlock()
	u.exchange(u.anyNode(), pollRequest, ref, nil)
}

// cancelMany has the users of a share of the jobs cancel them now.
func (u *users) cancelMany(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ref := range u.active {
		if u.rnd.Float64() < share {
			select {
			case u.cancelNow[ref] <- struct{}{}:
			default:
			}
		}
	}
}

// exchange sends a request and records it with its answer.
func (u *users) exchange(node string, kind requestKind, ref string, spec *jobs.Spec) answer {
	sent := u.judge.now()
	reply := u.send(node, kind, ref, spec)
	u.judge.observe(ref, exchange{kind: kind, node: node, sent: sent, answered: u.judge.now(), answer: reply})
	return reply
}

func (u *users) send(node string, kind requestKind, ref string, spec *jobs.Spec) answer {
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
	// A request may be answered after the users have ended: its own time limit ends it.
	ctx, stop := context.WithTimeout(context.WithoutCancel(u.ctx), timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.addresses[node]+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.clients[node].Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Status jobs.Status `json:"status"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil && response.StatusCode < http.StatusBadRequest {
		return answer{}
	}
	return answer{code: response.StatusCode, status: reply.Status}
}

func (u *users) end(ref string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.active, ref)
}

// unfinished returns how many jobs have users that still wait for their end.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.active)
}

// askedRefs returns the jobs that were submitted, and those that were only asked about.
func (u *users) askedRefs() (submitted, unknown []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refs, u.unknownRefs
}

func (u *users) anyNode() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.nodes[u.rnd.IntN(len(u.nodes))]
}

func (u *users) chance(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rnd.Float64() < share
}

func (u *users) duration(limit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return randomDuration(u.rnd, max(1, limit))
}
