package controller_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// answer is a job's status as a user received it.
type answer struct {
	status      jobs.Status
	isComplete  bool // all tasks of the job were done when the answer was received
	requestedAt time.Time
	receivedAt  time.Time
}

func isFinal(status jobs.Status) bool { return status == jobs.Done || status == jobs.Cancelled }

// completionRequests sends requests about jobs close to the time of their completion and collects the
// answers by job.
type completionRequests struct {
	cluster *fake.Cluster
	senders sync.WaitGroup
	mu      sync.Mutex
	answers map[string][]answer
}

// Kinds of requests that are sent at about the time of a job's completion.
const (
	cancelRequest = iota
	pollRequest
	resubmitRequest
)

// Cancellations, polls and repeated submissions are sent to different controllers at about the time when
// a job's last task completes, before and after the completion is durable. The job must have one final
// state that never changes, and a job that is reported as done must have no unfinished task.
func TestUserRequestsDuringCompletionSeeOneFinalState(t *testing.T) {
	for seed := range uint64(5) {
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { requestDuringCompletion(t, cluster, seed) })
	}
}

func requestDuringCompletion(t *testing.T, cluster *fake.Cluster, seed uint64) {
	const jobCount = 12
	rnd := rand.New(rand.NewPCG(seed, 15))
	jobVariants := []struct {
		kind  jobs.Kind
		tasks int
	}{{jobs.Array, 1}, {jobs.Array, 3}, {jobs.Array, 40}, {jobs.Gang, 3}}
	addMachines(cluster, 12)
	for i := range 3 {
		cluster.Store.DelayWatch(controllerName(i), time.Duration(rnd.IntN(2)*rnd.IntN(600))*time.Millisecond)
	}
	requests := &completionRequests{cluster: cluster, answers: map[string][]answer{}}
	for i := range jobCount {
		variant := jobVariants[i%len(jobVariants)]
		spec := fake.JobSpec(jobRef(i+1), variant.kind, variant.tasks, 1)
		requireAccepted(t, cluster, controllerName(i), spec, time.Duration(2000+rnd.IntN(1000))*time.Millisecond)
		if i%4 == 3 {
			requireAccepted(t, cluster, "n1", dependentJob(jobRef(100+i), 1, spec.Ref), time.Second)
		}
		for n := range 3 {
			delay := time.Duration(rnd.IntN(2500)-300) * time.Millisecond
			requests.senders.Go(func() { requests.send(t, controllerName(n), spec, (n+i)%3, delay) })
		}
		if i%3 == 2 {
			time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		}
	}
	requests.senders.Wait()
	time.Sleep(3 * time.Second)
	finalStatus := map[string]jobs.Status{}
	for i := range jobCount {
		ref := jobRef(i + 1)
		finalStatus[ref] = cluster.Poll("n0", ref).Status
		if !isFinal(finalStatus[ref]) {
			t.Errorf("seed %d: %s has the status %s 3 s after its completion", seed, ref, finalStatus[ref])
		}
		checkAnswers(t, seed, ref, requests.answers[ref], finalStatus[ref])
	}
	restartControllers(cluster, 2*time.Second)
	time.Sleep(6 * time.Second)
	for ref, status := range finalStatus {
		for _, node := range controllerNames {
			if response := cluster.Poll(node, ref); response.Status != status {
				t.Errorf("seed %d: %s had the status %s, and after a restart a poll was answered %+v by %s", seed, ref, status, response, node)
			}
		}
	}
}

// send sends one request at about the time of a job's completion and records the answer. If delay is
// negative, the request is sent 2 s after the call, which is before the completion or close to it;
// otherwise it is sent when delay has passed since the completion.
func (r *completionRequests) send(t *testing.T, node string, spec jobs.Spec, request int, delay time.Duration) {
	if delay < 0 {
		time.Sleep(2 * time.Second)
	} else {
		r.awaitCompletion(spec.Ref)
	}
	time.Sleep(max(0, delay) + time.Millisecond)
	requestedAt := time.Now()
	var status jobs.Status
	switch request {
	case cancelRequest:
		response := r.cluster.Cancel(node, spec.Ref)
		if !isFinal(response.Status) {
			t.Errorf("%s: a cancellation was answered %+v", spec.Ref, response)
		}
		status = response.Status
	case pollRequest:
		status = r.cluster.Poll(node, spec.Ref).Status
	case resubmitRequest:
		response := r.cluster.Resubmit(node, spec)
		if response.Code != http.StatusOK {
			t.Errorf("%s: a repeated submission was answered %+v", spec.Ref, response)
		}
		status = response.Status
	}
	isComplete := r.cluster.IsComplete(spec.Ref)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[spec.Ref] = append(r.answers[spec.Ref], answer{status, isComplete, requestedAt, time.Now()})
}

// awaitCompletion waits until the last task of a job is done, for 15 s at most.
func (r *completionRequests) awaitCompletion(ref string) {
	for range 1500 {
		if r.cluster.IsComplete(ref) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkAnswers checks the answers about one job. No answer may contradict a final status that was received
// before the request was sent; all tasks must be complete when the job is reported as done; and each final
// status must equal finalStatus.
func checkAnswers(t *testing.T, seed uint64, ref string, answers []answer, finalStatus jobs.Status) {
	t.Helper()
	for i, laterAnswer := range answers {
		for _, earlierAnswer := range answers[:i] {
			if isFinal(earlierAnswer.status) && laterAnswer.requestedAt.After(earlierAnswer.receivedAt) && laterAnswer.status != earlierAnswer.status {
				t.Errorf("seed %d: %s was reported as %s, and later as %s", seed, ref, earlierAnswer.status, laterAnswer.status)
			}
		}
		switch {
		case laterAnswer.status == jobs.Done && !laterAnswer.isComplete:
			t.Errorf("seed %d: %s was reported as done before all its tasks were done", seed, ref)
		case isFinal(laterAnswer.status) && laterAnswer.status != finalStatus:
			t.Errorf("seed %d: %s was reported as %s, but its final status is %s", seed, ref, laterAnswer.status, finalStatus)
		}
	}
}
