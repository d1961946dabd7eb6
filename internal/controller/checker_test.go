package controller_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/chunkedstore"
	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// The tests in this file check the invariant checker: each runs a mutation of the program that breaks an
// invariant, and the checker has to report the violation.

// volatileCancellations is a mutation: the store answers that a cancellation succeeded, but does not store
// it.
type volatileCancellations struct{ chunkedstore.Service }

func (s volatileCancellations) Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, jobs.FinalPrefix) && strings.Contains(string(write.Value), string(jobs.Cancelled)) {
			return kvstore.TxnResult{Succeeded: true, Revision: 1}, kvstore.Sleep(ctx, time.Millisecond)
		}
	}
	return s.Service.Commit(ctx, priority, txn)
}

// prematureFinalStates is a mutation: the watch reports that a job is done as soon as the record of one of its
// task ranges is written, which happens when some of the range's tasks are done.
type prematureFinalStates struct{ chunkedstore.Service }

func (s prematureFinalStates) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
	events, revision, err := s.Service.Watch(ctx, prefix, from)
	for _, event := range events {
		rangeKey, isRange := strings.CutPrefix(event.Key, jobs.RangePrefix)
		if ref, _, ok := strings.Cut(rangeKey, "/"); ok && isRange {
			finalState := kvstore.MustEncode(jobs.FinalState{Status: jobs.Done})
			events = append(events, kvstore.Event{Key: jobs.FinalKey(ref), Value: finalState, Revision: event.Revision})
		}
	}
	return events, revision, err
}

// The mutations act on completions or cancellations that are not durable. Of ten runs of a mutation, at
// least one has to violate the invariant.
func TestCheckerFindsVolatileDecisions(t *testing.T) {
	for _, c := range []struct {
		name      string
		invariant string
		mutate    func(node string, service chunkedstore.Service) chunkedstore.Service
	}{
		{"start after a completion that is not durable", "too_early",
			func(_ string, service chunkedstore.Service) chunkedstore.Service {
				return prematureFinalStates{service}
			}},
		{"cancellation only in memory", "went_back",
			func(_ string, service chunkedstore.Service) chunkedstore.Service {
				return volatileCancellations{service}
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			configure := func(run *faultinjection.FaultRun) {
				run.WrapService = c.mutate
				restartControllersInTurn(run.Cluster)
				time.Sleep(5 * time.Second)
			}
			breaksInvariant := func(violation string) bool { return strings.HasPrefix(violation, c.invariant) }
			for seed := range uint64(10) {
				violations, _ := runDependencyGraphs(t, seed, configure)
				if slices.ContainsFunc(violations, breaksInvariant) {
					return
				}
			}
			t.Errorf("the checker found no violation of %s in ten runs of the mutation", c.invariant)
		})
	}
}

// The mutation answers users without a read barrier. While the watch lags, during an outage of the store,
// or at a controller that the store refuses, the answers come from an outdated cache.
func TestCheckerFindsStaleReads(t *testing.T) {
	defer controller.SkipReadBarrier()()
	if !faultinjection.FindsViolation(t, 20, "went_back") {
		t.Error("the checker found no violation in 20 runs of the mutation")
	}
}

// The mutation accepts jobs without validation.
func TestCheckerFindsAcceptedUnsatisfiableJob(t *testing.T) {
	defer controller.AcceptInvalidJobs()()
	if !faultinjection.FindsViolationOfKind(t, 5, faultinjection.InvalidRequests, func(*fake.Cluster) {}, "accepted_odd") {
		t.Error("the checker found no violation in 5 runs of the mutation")
	}
}
