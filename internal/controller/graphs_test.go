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

// graphs is a night of jobs that wait for one another by chance, among crashes, cuts, lost
// and late transactions, refusals, outages and takeovers.
func graphs(t *testing.T, seed uint64, set func(n *faultinjection.FaultRun)) (broken []string, ended int) {
	broken = faultinjection.Run(t, 12, seed%2 == 1, func(n *faultinjection.FaultRun) {
		n.WithDependencies = true
		if set != nil {
			set(n)
		}
		n.InjectFaults(rand.New(rand.NewPCG(seed, 29)), 200)
		ended = n.Finish()
	})
	return broken, ended
}

func TestGraphsOfJobsOnNightsByChance(t *testing.T) {
	all := 0
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			broken, ended := graphs(t, seed, nil)
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

// forgetful keeps cancellations to itself.
type forgetful struct{ chunkedstore.Service }

func (f forgetful) Commit(ctx context.Context, p kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error) {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, jobs.FinalPrefix) && strings.Contains(string(w.Value), jobs.Cancelled) {
			return kvstore.TxnResult{Succeeded: true, Revision: 1}, kvstore.Pause(ctx, time.Millisecond)
		}
	}
	return f.Service.Commit(ctx, p, t)
}

// hasty tells of a job's end as soon as some of its tasks are recorded to be done.
type hasty struct{ chunkedstore.Service }

func (h hasty) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
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
func TestWhatIsNotDurableIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		rule string
		wrap func(_ string, s chunkedstore.Service) chunkedstore.Service
	}{
		"a start by a volatile end":     {"too_early", func(_ string, s chunkedstore.Service) chunkedstore.Service { return hasty{s} }},
		"a cancellation in memory only": {"went_back", func(_ string, s chunkedstore.Service) chunkedstore.Service { return forgetful{s} }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				broken, _ := graphs(t, seed, func(n *faultinjection.FaultRun) {
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
