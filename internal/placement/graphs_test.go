package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/fake/night"
	"cherrywall/internal/jobs"
	"cherrywall/internal/parts"
	"cherrywall/internal/state"
)

// graphs is a night of jobs that wait for one another by chance, among crashes, cuts, lost
// and late transactions, refusals, outages and takeovers.
func graphs(t *testing.T, seed uint64, set func(n *night.Night)) (broken []string, ended int) {
	broken = night.Run(t, 12, seed%2 == 1, func(n *night.Night) {
		n.Graphs = true
		if set != nil {
			set(n)
		}
		n.Troubles(rand.New(rand.NewPCG(seed, 29)), 200)
		ended = n.Ends()
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
type forgetful struct{ parts.Service }

func (f forgetful) Do(ctx context.Context, p state.Priority, t state.Txn) (state.Result, error) {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, jobs.FinalPrefix) && strings.Contains(string(w.Value), jobs.Cancelled) {
			return state.Result{OK: true, Epoch: 1}, state.Pause(ctx, time.Millisecond)
		}
	}
	return f.Service.Do(ctx, p, t)
}

// hasty tells of a job's end as soon as some of its tasks are recorded to be done.
type hasty struct{ parts.Service }

func (h hasty) Watch(ctx context.Context, prefix string, from uint64) ([]state.Event, uint64, error) {
	news, epoch, err := h.Service.Watch(ctx, prefix, from)
	for _, e := range news {
		if ref, _, ok := strings.Cut(strings.TrimPrefix(e.Key, jobs.RangePrefix), "/"); ok && strings.HasPrefix(e.Key, jobs.RangePrefix) {
			news = append(news, state.Event{Key: jobs.FinalKey(ref), Value: state.Encode(jobs.Final{Status: jobs.Done}), Stamp: e.Stamp})
		}
	}
	return news, epoch, err
}

// The judge is worth something: two ways of doing without durable facts break a rule on one
// of a few nights.
func TestWhatIsNotDurableIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		rule string
		wrap func(_ string, s parts.Service) parts.Service
	}{
		"a start by a volatile end":     {"too_early", func(_ string, s parts.Service) parts.Service { return hasty{s} }},
		"a cancellation in memory only": {"went_back", func(_ string, s parts.Service) parts.Service { return forgetful{s} }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				broken, _ := graphs(t, seed, func(n *night.Night) {
					n.Wrap = c.wrap
					for _, x := range []string{"n0", "n1", "n2"} {
						n.Crash(x)
						n.Boot(x)
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
