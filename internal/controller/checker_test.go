package controller_test

import (
	"context"
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

// volatileCancellations keeps cancellations to itself.
type volatileCancellations struct{ chunkedstore.Service }

func (f volatileCancellations) Commit(ctx context.Context, p kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error) {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, jobs.FinalPrefix) && strings.Contains(string(w.Value), jobs.Cancelled) {
			return kvstore.TxnResult{Succeeded: true, Revision: 1}, kvstore.Pause(ctx, time.Millisecond)
		}
	}
	return f.Service.Commit(ctx, p, t)
}

// prematureFinalStates tells of a job's end as soon as some of its tasks are recorded to be done.
type prematureFinalStates struct{ chunkedstore.Service }

func (h prematureFinalStates) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
	news, epoch, err := h.Service.Watch(ctx, prefix, from)
	for _, e := range news {
		if ref, _, ok := strings.Cut(strings.TrimPrefix(e.Key, jobs.RangePrefix), "/"); ok && strings.HasPrefix(e.Key, jobs.RangePrefix) {
			news = append(news, kvstore.Event{Key: jobs.FinalKey(ref), Value: kvstore.Encode(jobs.FinalState{Status: jobs.Done}), Revision: e.Revision})
		}
	}
	return news, epoch, err
}

// The judge is worth something: two ways of doing without durable facts break a rule on one
// of a few nights.
func TestCheckerFindsVolatileDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		rule string
		wrap func(_ string, s chunkedstore.Service) chunkedstore.Service
	}{
		"a start by a volatile end":     {"too_early", func(_ string, s chunkedstore.Service) chunkedstore.Service { return prematureFinalStates{s} }},
		"a cancellation in memory only": {"went_back", func(_ string, s chunkedstore.Service) chunkedstore.Service { return volatileCancellations{s} }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				broken, _ := runDependencyGraphs(t, seed, func(n *faultinjection.FaultRun) {
					n.WrapService = c.wrap
					for _, x := range []string{"n0", "n1", "n2"} {
						n.CrashController(x)
						n.StartController(x)
					}
					time.Sleep(5 * time.Second)
				})
				for _, b := range broken {
					if strings.HasPrefix(b, c.rule) {
						return
					}
				}
			}
			t.Errorf("ten nights of a broken variant kept the rule %s", c.rule)
		})
	}
}

// A user is never answered from a view that may be old: a lagging watch, an outage, a controller
// that is refused alone.
func TestCheckerFindsStaleReads(t *testing.T) {
	defer controller.SkipReadBarrier()()
	if !faultinjection.FindsViolation(t, 20, "went_back") {
		t.Error("20 nights of the broken variant kept the rule")
	}
}

// The judge finds jobs that are accepted though they can't run.
func TestCheckerFindsAcceptedUnsatisfiableJob(t *testing.T) {
	defer controller.AcceptInvalidJobs()()
	if !faultinjection.FindsViolationOf(t, 5, faultinjection.InvalidRequests, func(*fake.Cluster) {}, "accepted_odd") {
		t.Error("5 nights of the broken variant kept the rule")
	}
}
