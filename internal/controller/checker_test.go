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

// The tests in this file check the invariant checker: each runs a mutation of the program that
// breaks an invariant, and the checker has to find it.

// volatileCancellations is a mutation: it answers cancellations without storing them.
type volatileCancellations struct{ chunkedstore.Service }

func (s volatileCancellations) Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, jobs.FinalPrefix) && strings.Contains(string(write.Value), string(jobs.Cancelled)) {
			return kvstore.TxnResult{Succeeded: true, Revision: 1}, kvstore.Pause(ctx, time.Millisecond)
		}
	}
	return s.Service.Commit(ctx, priority, txn)
}

// prematureFinalStates is a mutation: it reports a job's final state as soon as some of its tasks
// are recorded as done.
type prematureFinalStates struct{ chunkedstore.Service }

func (s prematureFinalStates) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
	events, revision, err := s.Service.Watch(ctx, prefix, from)
	for _, event := range events {
		rangeKey, isRange := strings.CutPrefix(event.Key, jobs.RangePrefix)
		if ref, _, ok := strings.Cut(rangeKey, "/"); ok && isRange {
			final := kvstore.Encode(jobs.FinalState{Status: jobs.Done})
			events = append(events, kvstore.Event{Key: jobs.FinalKey(ref), Value: final, Revision: event.Revision})
		}
	}
	return events, revision, err
}

// Mutations: decisions rest on facts that are not durable. One of a few runs violates an invariant.
func TestCheckerFindsVolatileDecisions(t *testing.T) {
	for _, c := range []struct {
		name      string
		invariant string
		mutate    func(node string, service chunkedstore.Service) chunkedstore.Service
	}{
		{"a start by a volatile completion", "too_early",
			func(_ string, service chunkedstore.Service) chunkedstore.Service {
				return prematureFinalStates{service}
			}},
		{"a cancellation in memory only", "went_back",
			func(_ string, service chunkedstore.Service) chunkedstore.Service {
				return volatileCancellations{service}
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			configure := func(run *faultinjection.FaultRun) {
				run.WrapService = c.mutate
				crashAndRestart(run.Cluster)
				time.Sleep(5 * time.Second)
			}
			isWanted := func(violation string) bool { return strings.HasPrefix(violation, c.invariant) }
			for seed := range uint64(10) {
				violations, _ := runDependencyGraphs(t, seed, configure)
				if slices.ContainsFunc(violations, isWanted) {
					return
				}
			}
			t.Errorf("ten runs of the mutation kept the invariant %s", c.invariant)
		})
	}
}

// Mutation: users are answered without a read barrier, and so from an outdated cache while a watch lags,
// in an outage, or at a controller that the store refuses.
func TestCheckerFindsStaleReads(t *testing.T) {
	defer controller.SkipReadBarrier()()
	if !faultinjection.FindsViolation(t, 20, "went_back") {
		t.Error("20 runs of the mutation kept the invariant")
	}
}

// Mutation: jobs are accepted without validation.
func TestCheckerFindsAcceptedUnsatisfiableJob(t *testing.T) {
	defer controller.AcceptInvalidJobs()()
	if !faultinjection.FindsViolationOf(t, 5, faultinjection.InvalidRequests, func(*fake.Cluster) {}, "accepted_odd") {
		t.Error("5 runs of the mutation kept the invariant")
	}
}
