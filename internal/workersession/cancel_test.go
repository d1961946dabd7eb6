package workersession_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workersession"
)

// evening tells a tale of three controllers that hear one another, and some machines.
func evening(t *testing.T, hosts int, tale func(cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) { cluster.ConnectPeers = true })
		time.Sleep(3 * time.Second)
		for i := range hosts {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		tale(cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

func accept(t *testing.T, cluster *fake.Cluster, node string, s jobs.Spec, run time.Duration) {
	t.Helper()
	if r := cluster.Submit(node, s, run); r.Code != 201 {
		t.Fatalf("%s: submission answered %+v", s.Ref, r)
	}
}

// starts watches the starts of jobs after their users were told that they are cancelled.
type starts struct {
	mu      sync.Mutex
	told    map[string]time.Time
	after   []string // started after it
	ordered []string // and ordered after it
}

func watchStarts(cluster *fake.Cluster) *starts {
	s := &starts{told: map[string]time.Time{}}
	cluster.OnTaskStart(func(task, host string, ordered time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		ref, _, _ := jobs.ParseTask(task)
		if at, is := s.told[ref]; is {
			s.after = append(s.after, fmt.Sprintf("%s on %s after %v", task, host, time.Since(at)))
			if ordered.After(at) {
				s.ordered = append(s.ordered, task)
			}
		}
	})
	return s
}

// callOff has jobs be cancelled within a fifth of a second, each at some controller, and waits for
// the answers.
func (s *starts) callOff(t *testing.T, cluster *fake.Cluster, at func(k int) string, refs ...string) {
	var all sync.WaitGroup
	for k, ref := range refs {
		time.Sleep(200 * time.Millisecond / time.Duration(len(refs)))
		all.Add(1)
		go func() {
			defer all.Done()
			if r := cluster.Cancel(at(k), ref); r.Status != jobs.Cancelled {
				t.Errorf("%s: %+v", ref, r)
			}
			s.mu.Lock()
			s.told[ref] = time.Now()
			s.mu.Unlock()
		}()
	}
	all.Wait()
}

// Jobs are called off while their tasks fetch their image, or are just being ordered: nothing of
// them starts once their users were told.
func TestNothingStartsAfterAConfirmedCancellation(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint("hang ", hang, " seed ", seed), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 9))
				evening(t, 12, func(cluster *fake.Cluster) {
					cluster.SetImageFetchTime(time.Duration(1500+rnd.IntN(5000)) * time.Millisecond)
					for k := range 6 {
						accept(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], []int{9, 4}[k%2], 1), 40*time.Second)
					}
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
					s := watchStarts(cluster)
					if hang { // some within the lease of 10 s, some longer
						for _, h := range cluster.Hosts()[:5] {
							cluster.FreezeMachine(h, true)
							time.AfterFunc(time.Duration(500+rnd.IntN(14000))*time.Millisecond, func() { cluster.FreezeMachine(h, false) })
						}
					}
					s.callOff(t, cluster, func(k int) string { return fmt.Sprintf("n%d", (k+int(seed))%3) }, "wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6")
					time.Sleep(25 * time.Second)
					if len(s.after) > 0 {
						t.Error(s.after)
					}
					for k := range 6 {
						for i := range 9 {
							if on := cluster.RunningOn(jobs.TaskName(fmt.Sprintf("wk-%d", k+1), i)); len(on) > 0 {
								t.Errorf("wk-%d/%d is on %v", k+1, i, on)
							}
						}
					}
				})
			})
		}
	}
}

// The state service refuses a holder alone, which hears the others or nobody at all, and goes on
// ordering starts of what it knows: none of a job whose user was told that it is cancelled.
func TestNoStartIsOrderedAfterACancellationThatItsHolderCantRead(t *testing.T) {
	for _, isDeaf := range []bool{false, true} {
		for seed := range uint64(4) {
			if got := startsOrderedInVain(t, isDeaf, seed); len(got) > 0 {
				t.Errorf("cut from the others: %v, seed %d: ordered after the confirmation: %v", isDeaf, seed, got)
			}
		}
	}
}

// Without the bound such starts are ordered.
func TestStartsNeedFreshKnowledge(t *testing.T) {
	defer workersession.StartWithoutReadBarrier()()
	for seed := range uint64(20) {
		if len(startsOrderedInVain(t, true, seed)) > 0 {
			return
		}
	}
	t.Error("20 evenings of the broken variant kept the rule")
}

func startsOrderedInVain(t *testing.T, alone bool, seed uint64) (ordered []string) {
	rnd := rand.New(rand.NewPCG(seed, 10))
	evening(t, 6, func(cluster *fake.Cluster) {
		// More than there is room for: tasks that are claimed ahead start one after the other.
		accept(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 90, 1), time.Duration(6000+rnd.IntN(3000))*time.Millisecond)
		time.Sleep(time.Duration(2000+rnd.IntN(2000)) * time.Millisecond)
		s := watchStarts(cluster)
		cluster.Store.RefuseNode("n0", true)
		if alone {
			cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
		}
		told := make(chan struct{})
		go func() {
			s.callOff(t, cluster, func(int) string { return "n2" }, "wk-1")
			close(told)
		}()
		for !cluster.IsCancelled("wk-1") {
			time.Sleep(time.Millisecond)
		}
		cluster.Store.SetOutage(true) // before anybody takes the share of the one that was refused
		<-told
		time.Sleep(15 * time.Second)
		cluster.Store.SetOutage(false)
		cluster.Store.RefuseNode("n0", false)
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(10 * time.Second)
		ordered = slices.Clone(s.ordered)
	})
	return ordered
}

// Answers take almost as long as workers wait for them, reports are close together, and machines reach
// no controller for a moment: an order that is on its way is not taken for lost.
func TestAnOrderOnItsWayIsNotTakenForLost(t *testing.T) {
	for seed := range uint64(8) {
		for _, b := range ordersOnTheirWay(t, seed) {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}

// Asked a moment after their last report, workers do not list what is still on its way.
func TestAnOrderTakenForLostIsFound(t *testing.T) {
	defer workersession.TrustEveryDirectHeartbeat()()
	for seed := range uint64(30) {
		if len(ordersOnTheirWay(t, seed)) > 0 {
			return
		}
	}
	t.Error("30 evenings of the broken variant kept the rule")
}

func ordersOnTheirWay(t *testing.T, seed uint64) (broken []string) {
	rnd := rand.New(rand.NewPCG(seed, 16))
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) { cluster.ConnectPeers = true })
		time.Sleep(3 * time.Second)
		for i := range 9 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		for k := range 12 {
			for _, h := range cluster.Hosts() {
				cluster.BlockOutbound(h, false)
				cluster.DelayInbound(h, time.Duration(3300+rnd.IntN(650))*time.Millisecond)
			}
			cluster.Submit(fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), jobs.Array, 6, 1), 12*time.Second)
			time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
			for _, h := range cluster.Hosts() { // what is on its way stays so
				cluster.DelayInbound(h, 0)
				cluster.BlockOutbound(h, true)
			}
			time.Sleep(time.Duration(2500+rnd.IntN(3000)) * time.Millisecond)
		}
		broken = cluster.Violations()
		stop()
		synctest.Wait()
	})
	return broken
}
