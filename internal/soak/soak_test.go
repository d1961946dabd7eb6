package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/jobs"

	"github.com/anishathalye/porcupine"
)

func exchangeAt(kind requestKind, sentAt, endedAt time.Duration, code int, status jobs.Status) exchange {
	return exchange{kind: kind, sentAt: sentAt, endedAt: endedAt, response: apiResponse{code, status}}
}

func TestCheckHistoryFindsOnlyContradictions(t *testing.T) {
	accepted := exchangeAt(submitRequest, 1, 2, 201, jobs.Queued)
	cases := []struct {
		name      string
		exchanges []exchange
		want      porcupine.CheckResult
	}{
		{"a job that ends", []exchange{accepted, exchangeAt(pollRequest, 3, 4, 200, jobs.Running), exchangeAt(pollRequest, 5, 6, 200, jobs.Done)}, porcupine.Ok},
		{"polled before it was accepted", []exchange{exchangeAt(pollRequest, 0, 3, 404, ""), accepted}, porcupine.Ok},
		{"forgotten after it was accepted", []exchange{accepted, exchangeAt(pollRequest, 3, 4, 404, "")}, porcupine.Illegal},
		{"an older status after done", []exchange{accepted, exchangeAt(pollRequest, 3, 4, 200, jobs.Done), exchangeAt(pollRequest, 5, 6, 200, jobs.Running)}, porcupine.Illegal},
		{"an older status in a concurrent response", []exchange{accepted, exchangeAt(pollRequest, 3, 6, 200, jobs.Done), exchangeAt(pollRequest, 4, 7, 200, jobs.Running)}, porcupine.Ok},
		{"cancelled", []exchange{accepted, exchangeAt(cancelRequest, 3, 4, 200, jobs.Cancelled), exchangeAt(submitRequest, 5, 6, 200, jobs.Cancelled)}, porcupine.Ok},
		{"cancelled, then done", []exchange{accepted, exchangeAt(cancelRequest, 3, 4, 200, jobs.Cancelled), exchangeAt(pollRequest, 5, 6, 200, jobs.Done)}, porcupine.Illegal},
		{"cancelled without a cancellation request", []exchange{accepted, exchangeAt(pollRequest, 3, 4, 200, jobs.Cancelled)}, porcupine.Illegal},
		{"cancelled by an unanswered request", []exchange{accepted, exchangeAt(cancelRequest, 3, 4, 0, ""), exchangeAt(pollRequest, 9, 10, 200, jobs.Cancelled)}, porcupine.Ok},
		{"an unanswered cancellation that takes effect late", []exchange{accepted, exchangeAt(cancelRequest, 3, 4, 0, ""), exchangeAt(pollRequest, 5, 6, 200, jobs.Running), exchangeAt(pollRequest, 9, 10, 200, jobs.Cancelled)}, porcupine.Ok},
		{"an unanswered submission", []exchange{exchangeAt(submitRequest, 1, 2, 0, ""), exchangeAt(pollRequest, 3, 4, 404, ""), exchangeAt(pollRequest, 5, 6, 200, jobs.Queued)}, porcupine.Ok},
		{"a cancellation whose response is running", []exchange{accepted, exchangeAt(cancelRequest, 3, 4, 200, jobs.Running)}, porcupine.Illegal},
		{"done before it was submitted", []exchange{exchangeAt(pollRequest, 1, 2, 200, jobs.Done)}, porcupine.Illegal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := checkHistory(c.exchanges); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	scheduleFor := func(seed uint64, kinds ...FaultKind) []Fault {
		return randomSchedule(rand.New(rand.NewPCG(seed, 1)), time.Minute, []string{"n0", "n1", "n2"}, kinds)
	}
	first := scheduleFor(7)
	if !slices.Equal(first, scheduleFor(7)) || slices.Equal(first, scheduleFor(8)) {
		t.Error("a schedule depends on more than its seed, or not on its seed")
	}
	if !slices.IsSortedFunc(first, func(x, y Fault) int { return int(x.At - y.At) }) || len(first) < 12 {
		t.Errorf("schedule %v", first)
	}
	for _, fault := range scheduleFor(7, Kill, NoInbound) {
		if fault.Kind != Kill && fault.Kind != NoInbound {
			t.Errorf("the schedule has %v, whose kind is not allowed", fault)
		}
	}
	drawnKinds := map[FaultKind]bool{}
	for seed := range uint64(40) {
		for _, fault := range scheduleFor(seed) {
			drawnKinds[fault.Kind] = true
		}
	}
	if len(drawnKinds) != len(FaultKinds) {
		t.Errorf("%d of %d kinds occur in the schedules", len(drawnKinds), len(FaultKinds))
	}
}

func TestValidateNamesInvalidOption(t *testing.T) {
	valid := Options{Duration: time.Minute, Workers: 10, Program: "x", Faults: []FaultKind{Kill}}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
	for option, change := range map[string]func(o *Options){
		"duration": func(o *Options) { o.Duration = time.Second },
		"workers":  func(o *Options) { o.Workers = maxWorkers + 1 },
		"program":  func(o *Options) { o.Program = "" },
		"faults":   func(o *Options) { o.Faults = []FaultKind{"flood"} },
	} {
		options := valid
		change(&options)
		var optionErr *OptionError
		if err := options.Validate(); !errors.As(err, &optionErr) || optionErr.Option != option {
			t.Errorf("%s: %v", option, err)
		}
	}
}

// sendThrough sends a request through a link to a handler that counts its calls. It reports whether the request
// was answered before the sender's timeout of 1 s.
func sendThrough(l *link, executionCount *atomic.Int64) (isAnswered bool) {
	handler := l.Wrap(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		executionCount.Add(1)
		rw.WriteHeader(http.StatusOK)
	}))
	ctx, stop := context.WithTimeout(l.ctx, time.Second)
	defer stop()
	defer func() { _ = recover() }() // the link panics to abort the response; isAnswered is then false
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/txn", strings.NewReader("{}")))
	return true
}

func TestLinkDropsHoldsAndLosesMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t.Context(), 1, "store n0")
		var executionCount atomic.Int64
		if !sendThrough(l, &executionCount) || executionCount.Load() != 1 {
			t.Errorf("without faults: executed %d times", executionCount.Load())
		}
		l.SetCut(true)
		if sendThrough(l, &executionCount) || executionCount.Load() != 1 {
			t.Errorf("cut: executed %d times", executionCount.Load())
		}
		l.SetCut(false)
		l.SetHeld(true)
		if sendThrough(l, &executionCount) || executionCount.Load() != 1 {
			t.Errorf("held: executed %d times", executionCount.Load())
		}
		l.SetHeld(false)
		synctest.Wait()
		if executionCount.Load() != 2 {
			t.Errorf("released after the sender gave up: executed %d times", executionCount.Load())
		}
		l.SetLoss(1)
		answeredCount := 0
		for range 60 {
			if sendThrough(l, &executionCount) {
				answeredCount++
			}
		}
		time.Sleep(maxLateness)
		synctest.Wait()
		if answeredCount > 0 || executionCount.Load() < 20 || executionCount.Load() > 60 {
			t.Errorf("with losses: %d answered, %d executed", answeredCount, executionCount.Load())
		}
	})
}
