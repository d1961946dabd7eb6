package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// Each taking of a dead controller's share stopped the gangs that ran in the
// share of the one which took it.
func TestFailoverKeepsRunningGangs(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-5", jobs.Gang, 2, 4), 90*time.Second)
		time.Sleep(30 * time.Second)
		cluster.CrashController("n2") // n0 is the next in the order of names
		time.Sleep(40 * time.Second)
		cluster.StartController("n2")
		requireDone(t, cluster, "n1", "wk-5", 40*time.Second)
		if n := cluster.StartCounts()["wk-5/0"]; n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// A new holder waited until its workers had found it and reported twice; with
// reports every 5 s that took 15 s of each takeover.
func TestNewOwnerProbesWorkersAtOnce(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 20 {
			cluster.AddMachine("a", false)
		}
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-6", jobs.Array, 60, 1), 20*time.Second)
		time.Sleep(3 * time.Second)
		cut := "i-000007" // one that is silent must not hold up the others
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CutLink(n, cut, true)
		}
		cluster.CrashController("n0")
		time.Sleep(5500 * time.Millisecond)
		if n := cluster.ProbeCount(); n != 19 {
			t.Errorf("%d workers greeted", n)
		}
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.CutLink(n, cut, false)
		}
		requireDone(t, cluster, "n2", "wk-6", 90*time.Second)
	})
}

func TestTasksSurviveControllerCrash(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-6", jobs.Array, 8, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(6 * time.Second)
		cluster.StartController("n0")
		requireDone(t, cluster, "n1", "wk-6", 60*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

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

// A report is held back until a new leader has acted, and arrives there, and at a third controller:
// it is no news at either.
func TestDelayedHeartbeatAfterFailover(t *testing.T) {
	for seed := range uint64(8) {
		rnd := rand.New(rand.NewPCG(seed, 13))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 8)
			held := cluster.Heartbeats() // from before anything was there
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 7, 1), time.Duration(8+rnd.IntN(20))*time.Second)
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 3, 1), time.Duration(8+rnd.IntN(20))*time.Second)
			time.Sleep(time.Duration(500+rnd.IntN(4000)) * time.Millisecond)
			held = append(held, cluster.Heartbeats()...)
			cluster.CrashController("n0")
			for _, h := range cluster.Hosts()[:2] { // tasks have to go elsewhere
				cluster.IsolateWorker(h, true)
			}
			for range 8 {
				time.Sleep(time.Duration(500+rnd.IntN(6000)) * time.Millisecond)
				for _, rep := range held {
					for _, n := range []string{"n1", "n2"} {
						cluster.DeliverHeartbeat(n, rep)
					}
				}
				held = append(held, cluster.Heartbeats()...)
			}
			cluster.StartController("n0")
			for _, h := range cluster.Hosts() {
				cluster.IsolateWorker(h, false)
			}
			addMachines(cluster, 2)
			requireDone(t, cluster, "n1", "wk-1", 120*time.Second)
			requireDone(t, cluster, "n2", "wk-2", 120*time.Second)
		})
	}
}

// Leaders change ten times in two minutes, inside an outage or without: no storm of writes or
// greetings, work goes on, and each share has a holder soon after.
func TestTenOwnerChangesInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage ", outage), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(5, 14))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 9)
				for k := range 6 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], 6, 1), 70*time.Second)
				}
				time.Sleep(5 * time.Second)
				before, greets := cluster.Store.WriteCount(), cluster.ProbeCount()
				for k := range 10 {
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					cluster.Store.SetOutage(outage && k >= 4 && k < 6)
					cluster.CrashController(n)
					time.Sleep(time.Duration(rnd.IntN(7000)) * time.Millisecond)
					cluster.StartController(n)
					time.Sleep(time.Duration(4000+rnd.IntN(3000)) * time.Millisecond)
				}
				cluster.Store.SetOutage(false)
				if n := cluster.Store.WriteCount() - before; n > 120 {
					t.Errorf("%d changes in ten changes of leaders", n)
				}
				if n := cluster.ProbeCount() - greets; n > 55 {
					t.Errorf("%d greetings of 9 machines in ten changes of leaders", n)
				}
				time.Sleep(12 * time.Second)
				for _, n := range []string{"n0", "n1", "n2"} {
					if h := cluster.OwnerOf(n); cluster.Nodes[h] == nil {
						t.Errorf("share %s is held by %q", n, h)
					}
				}
				addMachines(cluster, 2)
				for k := range 6 {
					requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", k+1), 200*time.Second)
				}
			})
		})
	}
}
