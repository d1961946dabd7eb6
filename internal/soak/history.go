package soak

import (
	"math"
	"slices"
	"sync"
	"time"

	"cherrywall/internal/jobs"

	"github.com/anishathalye/porcupine"
)

// requestKind is what a user asks.
type requestKind string

const (
	submitRequest requestKind = "submission"
	pollRequest   requestKind = "question"
	cancelRequest requestKind = "cancellation"
)

// answer is what a user was answered.
type answer struct {
	code   int // of HTTP, 0 without an answer
	status jobs.Status
}

// exchange is a request of a user and its answer. Times are since the beginning of the run.
type exchange struct {
	kind     requestKind
	node     string
	sent     time.Duration
	answered time.Duration
	answer   answer
}

// history has what users have asked and were answered. It is safe for concurrent use.
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

// of returns the exchanges about a job, in the order in which they were sent.
func (h *history) of(ref string) []exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	exchanges := slices.Clone(h.exchanges[ref])
	slices.SortStableFunc(exchanges, func(x, y exchange) int { return int(x.sent - y.sent) })
	return exchanges
}

// jobState is the state of a job as users may see it.
type jobState int

const (
	absent jobState = iota
	alive
	done
	cancelled
)

// jobModel is a job as the protocol describes it: an accepted job stays known, and a final state stays. A
// job becomes done by itself; the first answer that says so makes it so, since a late one is permitted.
var jobModel = (&porcupine.NondeterministicModel{
	Init:  func() []any { return []any{absent} },
	Step:  stepJob,
	Equal: func(x, y any) bool { return x == y },
}).ToModel()

// stepJob returns the states that a job may be in after an exchange, none if it may not be answered so.
func stepJob(state, input, output any) []any {
	before, _ := state.(jobState)
	kind, _ := input.(requestKind)
	reply, _ := output.(answer)
	if reply.code != 200 && reply.code != 201 && reply.code != 404 {
		return statesWithoutAnswer(before, kind)
	}
	if reply.code == 404 {
		return onlyIf(before == absent && kind != submitRequest, absent)
	}
	switch reply.status {
	case jobs.Queued, jobs.Running:
		mayBe := before == alive || before == absent && kind == submitRequest
		return onlyIf(mayBe && kind != cancelRequest, alive)
	case jobs.Done:
		return onlyIf(before == alive || before == done, done)
	case jobs.Cancelled:
		return onlyIf(before == cancelled || before == alive && kind == cancelRequest, cancelled)
	}
	return nil
}

func onlyIf(isAllowed bool, after jobState) []any {
	if !isAllowed {
		return nil
	}
	return []any{after}
}

// statesWithoutAnswer returns the states after a request of which it is not known whether it was executed.
func statesWithoutAnswer(before jobState, kind requestKind) []any {
	switch {
	case kind == submitRequest && before == absent:
		return []any{absent, alive}
	case kind == cancelRequest && before == alive:
		return []any{alive, cancelled}
	}
	return []any{before}
}

// checkLimit is how long the history of one job may be checked.
const checkLimit = 20 * time.Second

// checkJob checks the history of a job for linearizability.
func checkJob(exchanges []exchange) porcupine.CheckResult {
	var operations []porcupine.Operation
	for i, e := range exchanges {
		isAnswered := e.answer.code == 200 || e.answer.code == 201 || e.answer.code == 404
		if !isAnswered && e.kind == pollRequest {
			continue // it changes nothing
		}
		end := int64(e.answered)
		if !isAnswered {
			end = math.MaxInt64 // it may be executed at any later time
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: e.kind, Call: int64(e.sent), Output: e.answer, Return: end})
	}
	return porcupine.CheckOperationsTimeout(jobModel, operations, checkLimit)
}
