package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/chunkedstore"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// runDependencyGraphs is a night of jobs that wait for one another by chance, among crashes, cuts, lost
// and late transactions, refusals, outages and takeovers.
func runDependencyGraphs(t *testing.T, seed uint64, configure func(n *faultinjection.FaultRun)) (broken []string, ended int) {
	broken = faultinjection.Run(t, 12, seed%2 == 1, func(n *faultinjection.FaultRun) {
		n.WithDependencies = true
		if configure != nil {
			configure(n)
		}
		n.InjectFaults(rand.New(rand.NewPCG(seed, 29)), 200)
		ended = n.Finish()
	})
	return broken, ended
}

func TestDependencyGraphsUnderRandomFaults(t *testing.T) {
	all := 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			broken, ended := runDependencyGraphs(t, seed, nil)
			for _, b := range broken {
				t.Error(b)
			}
			all += ended
		})
	}
	if all < 200 {
		t.Errorf("the nights tell little: %d jobs ended", all)
	}
}

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
