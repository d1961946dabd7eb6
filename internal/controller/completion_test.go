package controller_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A cancellation, a question and a repeated submission meet the end of a job's last task, before and
// after the end is durable, at different controllers: one final state, for ever, and a job that its
// user was told is done has every task done.
func TestUserRequestsDuringJobCompletion(t *testing.T) {
	kinds := []struct {
		kind  string
		tasks int
	}{{jobs.Array, 1}, {jobs.Array, 3}, {jobs.Array, 40}, {jobs.Gang, 3}}
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 15))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			for n := range 3 {
				cluster.Store.DelayWatch(fmt.Sprintf("n%d", n), time.Duration(rnd.IntN(2)*rnd.IntN(600))*time.Millisecond)
			}
			type word struct {
				status    string
				whole     bool // all tasks were done then
				asked, at time.Time
			}
			var mu sync.Mutex
			heard := map[string][]word{}
			var all sync.WaitGroup
			for k := range 12 {
				ref, c := fmt.Sprintf("wk-%d", k+1), kinds[k%len(kinds)]
				s := fake.JobSpec(ref, c.kind, c.tasks, 1)
				requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), s, time.Duration(2000+rnd.IntN(1000))*time.Millisecond)
				if k%4 == 3 { // and one behind it
					x := fake.JobSpec(fmt.Sprintf("wk-%d", 100+k), jobs.Array, 1, 1)
					x.DependsOn = []string{ref}
					requireAccepted(t, cluster, "n1", x, time.Second)
				}
				tell := func(r string, whole bool, asked time.Time) {
					mu.Lock()
					defer mu.Unlock()
					heard[ref] = append(heard[ref], word{r, whole, asked, time.Now()})
				}
				for n := range 3 {
					wait := time.Duration(rnd.IntN(2500)-300) * time.Millisecond
					ask := (n + k) % 3
					all.Add(1)
					go func() {
						defer all.Done()
						if wait < 0 {
							time.Sleep(2 * time.Second) // before the end, or about it
						}
						for i := 0; wait >= 0 && i < 1500 && !cluster.IsComplete(ref); i++ {
							time.Sleep(10 * time.Millisecond)
						}
						time.Sleep(max(0, wait) + time.Millisecond)
						node := fmt.Sprintf("n%d", n)
						asked := time.Now()
						switch {
						case ask == 0:
							response := cluster.Cancel(node, ref)
							if response.Status != jobs.Done && response.Status != jobs.Cancelled {
								t.Errorf("%s: a cancellation was answered %+v", ref, response)
							}
							tell(response.Status, cluster.IsComplete(ref), asked)
						case ask == 1:
							response := cluster.Poll(node, ref)
							tell(response.Status, cluster.IsComplete(ref), asked)
						default:
							response := cluster.Resubmit(node, s)
							if response.Code != 200 {
								t.Errorf("%s: a repeat was answered %+v", ref, response)
							}
							tell(response.Status, cluster.IsComplete(ref), asked)
						}
					}()
				}
				if k%3 == 2 {
					time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
				}
			}
			all.Wait()
			time.Sleep(3 * time.Second)
			last := map[string]string{}
			for k := range 12 {
				ref := fmt.Sprintf("wk-%d", k+1)
				last[ref] = cluster.Poll("n0", ref).Status
				if last[ref] != jobs.Done && last[ref] != jobs.Cancelled {
					t.Errorf("seed %d: %s is called %s 3 s after its end", seed, ref, last[ref])
				}
				for i, x := range heard[ref] {
					for _, y := range heard[ref][:i] {
						if (y.status == jobs.Done || y.status == jobs.Cancelled) && x.asked.After(y.at) && x.status != y.status {
							t.Errorf("seed %d: %s was called %s, then %s", seed, ref, y.status, x.status)
						}
					}
					switch {
					case x.status == jobs.Done && !x.whole:
						t.Errorf("seed %d: %s was called done before it was", seed, ref)
					case (x.status == jobs.Done || x.status == jobs.Cancelled) && x.status != last[ref]:
						t.Errorf("seed %d: %s was called %s and is called %s", seed, ref, x.status, last[ref])
					}
				}
			}
			restartControllers(cluster, 2*time.Second)
			time.Sleep(6 * time.Second)
			for ref, want := range last {
				for _, n := range []string{"n0", "n1", "n2"} {
					if response := cluster.Poll(n, ref); response.Status != want {
						t.Errorf("seed %d: %s was called %s, and after a restart %+v by %s", seed, ref, want, response, n)
					}
				}
			}
		})
	}
}
