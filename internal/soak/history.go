package soak

import (
	"math"
	"slices"
	"sync"
	"time"

	"cherrywall/internal/jobs"

	"github.com/anishathalye/porcupine"
)

// requestKind is the kind of a user's request.
type requestKind string

const (
	submitRequest requestKind = "submission"
	pollRequest   requestKind = "question"
	cancelRequest requestKind = "cancellation"
)

// apiResponse is the response to a user's request.
type apiResponse struct {
	statusCode int // HTTP status code, 0 if there was no response
	jobStatus  jobs.Status
}

// exchange is a user's request and its response. Its times count from the start of the run.
type exchange struct {
	kind     requestKind
	node     string
	sentAt   time.Duration
	endedAt  time.Duration
	response apiResponse
}

// history holds the users' requests and the responses to them. It is safe for concurrent use.
type history struct {
	mu        sync.Mutex
	exchanges map[string][]exchange // by job
}

func newHistory() *history { return &history{exchanges: map[string][]exchange{}} }

func (h *history) add(ref string, e exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges[ref] = append(h.exchanges[ref], e)
}

// exchangesFor returns the exchanges about a job, sorted by the time at which their request was sent.
func (h *history) exchangesFor(ref string) []exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	exchanges := slices.Clone(h.exchanges[ref])
	slices.SortStableFunc(exchanges, func(x, y exchange) int { return int(x.sentAt - y.sentAt) })
	return exchanges
}

// jobState is the state of a job as users see it.
type jobState int

const (
	stateAbsent jobState = iota
	stateActive
	stateDone
	stateCancelled
)

// jobModel is the protocol's model of a job: an accepted job is never forgotten, and a final state never
// changes. A job becomes done without a request. In the model it becomes done with the first response that
// reports it as done, since the protocol permits controllers to report the completion late.
var jobModel = (&porcupine.NondeterministicModel{
	Init:  func() []any { return []any{stateAbsent} },
	Step:  stepJob,
	Equal: func(x, y any) bool { return x == y },
}).ToModel()

// stepJob returns the states in which a job may be after an exchange. It returns none if the response is not
// allowed in the given state.
func stepJob(state, input, output any) []any {
	current, _ := state.(jobState)
	kind, _ := input.(requestKind)
	response, _ := output.(apiResponse)
	if response.statusCode != 200 && response.statusCode != 201 && response.statusCode != 404 {
		return statesAfterInconclusiveResponse(current, kind)
	}
	if response.statusCode == 404 {
		return stateIf(current == stateAbsent && kind != submitRequest, stateAbsent)
	}
	switch response.jobStatus {
	case jobs.Queued, jobs.Running:
		isAllowed := current == stateActive || current == stateAbsent && kind == submitRequest
		return stateIf(isAllowed && kind != cancelRequest, stateActive)
	case jobs.Done:
		return stateIf(current == stateActive || current == stateDone, stateDone)
	case jobs.Cancelled:
		return stateIf(current == stateCancelled || current == stateActive && kind == cancelRequest, stateCancelled)
	}
	return nil
}

// stateIf returns the state after an exchange if its response is allowed, and none otherwise.
func stateIf(isAllowed bool, nextState jobState) []any {
	if !isAllowed {
		return nil
	}
	return []any{nextState}
}

// statesAfterInconclusiveResponse returns the possible states after a request whose response, if any, does not
// tell whether the request was executed.
func statesAfterInconclusiveResponse(current jobState, kind requestKind) []any {
	switch {
	case kind == submitRequest && current == stateAbsent:
		return []any{stateAbsent, stateActive}
	case kind == cancelRequest && current == stateActive:
		return []any{stateActive, stateCancelled}
	}
	return []any{current}
}

// historyCheckTimeout is the maximum time for checking the history of one job.
const historyCheckTimeout = 20 * time.Second

// checkHistory checks the history of a job for linearizability. A request without a conclusive response may take
// effect at any time after it was sent. The result is porcupine.Unknown after historyCheckTimeout.
func checkHistory(exchanges []exchange) porcupine.CheckResult {
	var operations []porcupine.Operation
	for i, e := range exchanges {
		isConclusive := e.response.statusCode == 200 || e.response.statusCode == 201 || e.response.statusCode == 404
		if !isConclusive && e.kind == pollRequest {
			continue // a poll changes nothing
		}
		end := int64(e.endedAt)
		if !isConclusive {
			end = math.MaxInt64 // the request may be executed at any later time
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: e.kind, Call: int64(e.sentAt), Output: e.response, Return: end})
	}
	return porcupine.CheckOperationsTimeout(jobModel, operations, historyCheckTimeout)
}
