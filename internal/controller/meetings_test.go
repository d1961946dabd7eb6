package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/jobs"
)

// Where two troubles meet: docs/meetings.md.

// Of a job of two or three tasks one is done long before the others, and the controller that
// knew it ends in between, with the machine that ran it or without: no end is lost or counted
// twice, nothing is called done before all are, and soon after.
func TestTaskCompletionsAcrossOwnerCrash(t *testing.T) {
	for _, c := range []struct {
		kind  string
		tasks int
		lost  bool // the machines with the early ends are gone, too
	}{{jobs.Array, 2, false}, {jobs.Array, 3, false}, {jobs.Array, 3, true}, {jobs.Gang, 3, false}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				for k := range 6 {
					cluster.SetTaskRunTime(jobs.TaskName(fmt.Sprintf("wk-%d", k+1), 0), 3*time.Second)
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), c.kind, c.tasks, 1), 35*time.Second)
				}
				time.Sleep(6 * time.Second)
				if c.lost {
					for k := range 6 {
						for _, h := range cluster.StartedOn(jobs.TaskName(fmt.Sprintf("wk-%d", k+1), 0)) {
							_ = cluster.Release(t.Context(), []string{h})
						}
					}
				}
				for _, n := range []string{"n0", "n1"} {
					cluster.CrashController(n)
					time.Sleep(5 * time.Second)
					cluster.StartController(n)
					time.Sleep(2 * time.Second)
				}
				addMachines(cluster, 3)
				for k := range 6 {
					ref := fmt.Sprintf("wk-%d", k+1)
					requireDone(t, cluster, "n2", ref, 120*time.Second)
					if response := cluster.Poll("n0", ref); response.DoneTasks != c.tasks {
						t.Errorf("%s: %d of %d tasks are done", ref, response.DoneTasks, c.tasks)
					}
				}
				if c.lost {
					return // what only the lost machine knew is asked for again: it ends at once
				}
				for task, n := range cluster.StartCounts() {
					if n != 1 {
						t.Errorf("%s started %d times", task, n)
					}
				}
			})
		})
	}
}

// A leader ends, or is left alone with its workers, which can't be reached by the others or do not
// hear what the new leader answers, and run long tasks: none of them starts a second time before
// the first is gone, and all come to their ends.
func TestOwnerCrashWithUnreachableMachines(t *testing.T) {
	for _, c := range []struct{ alone, deaf bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				for k := range 4 {
					requireAccepted(t, cluster, "n0", fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], 6, 1), 100*time.Second)
				}
				time.Sleep(5 * time.Second)
				hosts := cluster.Hosts()
				for i, h := range hosts {
					if c.deaf && i%2 == 0 {
						cluster.BlockInbound(h, true)
						continue
					}
					cluster.CutLink("n1", h, true)
					cluster.CutLink("n2", h, true)
				}
				if c.alone {
					cluster.Store.RefuseNode("n0", true)
					cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
				} else {
					cluster.CrashController("n0")
				}
				addMachines(cluster, 6)
				time.Sleep(2 * time.Duration(cluster.Cfg.Cluster.Workers.CancelS*float64(time.Second)))
				for _, h := range hosts {
					if !cluster.IsUp(h) {
						continue // returned meanwhile
					}
					cluster.BlockInbound(h, false)
					cluster.CutLink("n1", h, false)
					cluster.CutLink("n2", h, false)
				}
				cluster.Store.RefuseNode("n0", false)
				cluster.SetPeerLink(fake.PeerLink{})
				for k := range 4 {
					requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", k+1), 250*time.Second)
				}
			})
		})
	}
}

// Commands and answers are held up for seconds, machines stand still and go on just before their
// leases end, while controllers hand shares to and fro.
func TestDelayedCommandsAndFrozenMachines(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				for k := range 8 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], 3, 1), 30*time.Second)
				}
				lease := time.Duration(cluster.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
				for range 5 {
					some := cluster.Hosts()
					for _, h := range some {
						cluster.DelayInbound(h, time.Duration(rnd.IntN(2)*(500+rnd.IntN(4500)))*time.Millisecond)
						cluster.FreezeMachine(h, rnd.IntN(3) == 0)
					}
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					cluster.CrashController(n)
					time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
					cluster.StartController(n)
					time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
					for _, h := range some {
						cluster.FreezeMachine(h, false)
					}
					time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
				}
				for _, h := range cluster.Hosts() {
					cluster.DelayInbound(h, 0)
				}
				addMachines(cluster, 3)
				for k := range 8 {
					requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", k+1), 150*time.Second)
				}
			})
		})
	}
}

// Shares are handed over and back, all controllers end, one returns within a second, the others
// later; messages between them are late.
func TestHandoverThenAllControllersCrash(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 8))
			some := func(most time.Duration) { time.Sleep(time.Duration(rnd.Int64N(int64(most)))) }
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 24, 1), 40*time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 40*time.Second)
				cluster.SetPeerLink(fake.PeerLink{Delay: time.Duration(rnd.IntN(700)) * time.Millisecond, DropPieces: rnd.IntN(3)})
				for range 3 {
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					if rnd.IntN(2) == 0 {
						cluster.StopController(n) // handed over
					} else {
						cluster.CrashController(n)
					}
					some(4 * time.Second)
					cluster.StartController(n) // and back
					some(3 * time.Second)
					order := rnd.Perm(3)
					for _, i := range order {
						cluster.CrashController(fmt.Sprintf("n%d", i))
					}
					some(900 * time.Millisecond)
					for _, i := range order {
						cluster.StartController(fmt.Sprintf("n%d", i))
						some(2 * time.Second)
					}
				}
				cluster.SetPeerLink(fake.PeerLink{})
				for _, ref := range []string{"wk-1", "wk-2"} {
					requireDone(t, cluster, "n2", ref, 150*time.Second)
				}
			})
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
