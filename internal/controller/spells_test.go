package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// More of where two troubles meet: docs/meetings.md.

// An array in one zone, or spread over them, loses machines: what is left stays in the zone that
// holds any of it, and moves when nothing is left there and the zone has no room. The stand-in's
// workers judge wrong_place.
func TestZoneConstrainedJobsLoseMachines(t *testing.T) {
	for _, c := range []struct {
		kind            string
		oneZone, spread bool
		full            bool // the zone is full of others instead of empty
	}{{jobs.Array, true, false, false}, {jobs.Array, true, false, true}, {jobs.Gang, true, false, false}, {jobs.Array, false, true, false}, {jobs.Array, false, false, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				for range 3 {
					cluster.AddMachine("a", false)
				}
				time.Sleep(5 * time.Second)
				s := fake.JobSpec("wk-1", c.kind, 9, 1)
				s.OneZone, s.Spread = c.oneZone, c.spread
				// The first tasks end at once, later ones in the middle never on these machines.
				for i := range 8 {
					cluster.SetTaskRunTime(jobs.TaskName("wk-1", i), []time.Duration{2 * time.Second, 25 * time.Second}[i%2])
				}
				cluster.SetTaskRunTime(jobs.TaskName("wk-1", 8), 70*time.Second) // and the last goes on where it is
				if c.spread {
					cluster.AddMachine("b", false)
					time.Sleep(3 * time.Second)
				}
				requireAccepted(t, cluster, "n0", s, 25*time.Second)
				time.Sleep(6 * time.Second)
				lost := cluster.Hosts()
				if c.spread {
					lost = lost[:3]
				}
				if c.full { // others take the places of those that are lost, for long
					requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 12, 1), 10*time.Minute)
				}
				for range 4 {
					cluster.AddMachine("b", false)
				}
				for i, h := range lost {
					if !c.full || i < 2 {
						_ = cluster.Release(t.Context(), []string{h})
					}
				}
				if c.spread { // half of it may be in one zone, whatever is done by then
					time.Sleep(40 * time.Second)
					cluster.AddMachine("a", false)
				}
				if c.full {
					time.Sleep(5 * time.Second)
					cluster.AddMachine("b", false)
					cluster.AddMachine("b", false)
				}
				// One after the other in one place, if what goes on there has left room for no more.
				requireDone(t, cluster, "n1", "wk-1", 220*time.Second)
			})
		})
	}
}

// An array that has to be in one zone takes one that has room, not the first by name.
func TestOneZoneArrayPicksZoneWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewCluster(ctx, map[string]string{"n0": "a", "n1": "a", "n2": "a"}) // so each holds machines of both zones
		time.Sleep(3 * time.Second)
		addMachines(cluster, 6)
		zone := "a"
		s := fake.JobSpec("wk-1", jobs.Array, 12, 1)
		s.Zone = &zone
		requireAccepted(t, cluster, "n0", s, 10*time.Minute)
		time.Sleep(5 * time.Second)
		s = fake.JobSpec("wk-2", jobs.Array, 4, 1)
		s.OneZone = true
		requireAccepted(t, cluster, "n0", s, 2*time.Second)
		requireDone(t, cluster, "n0", "wk-2", 15*time.Second)
		stop()
		synctest.Wait()
	})
}

// A team is at its limit when its leader ends, some of its machines can't be asked, and a cancellation
// falls into that spell: what may still be there counts until it is provably gone, and the limit is
// used again soon after. The stand-in's workers judge quota.
func TestExhaustedQuotaAcrossOwnerCrash(t *testing.T) {
	for seed := range uint64(6) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		lease := func(cluster *fake.Cluster) {
			cluster.Cfg.Cluster.Workers.LeaseS, cluster.Cfg.Cluster.Workers.CancelS = 25, 45
		}
		runWithPeersAnd(t, lease, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			capped := func(ref, kind string, tasks int) jobs.Spec {
				s := fake.JobSpec(ref, kind, tasks, 1)
				s.Team = "capped" // 4 CPUs
				return s
			}
			requireAccepted(t, cluster, "n0", capped("wk-1", []string{jobs.Array, jobs.Gang}[seed%2], 3), 10*time.Minute)
			requireAccepted(t, cluster, "n1", capped("wk-2", jobs.Array, 6), 10*time.Minute)
			time.Sleep(5 * time.Second)
			leader := "" // of the share in which most of the team's work is
			for i := range 3 {
				for _, h := range cluster.RunningOn(jobs.TaskName("wk-1", i)) { // its machines can't be asked
					leader = cluster.OwnerOf(cluster.ShardOf(h))
					switch rnd.IntN(3) {
					case 0:
						cluster.IsolateWorker(h, true)
					case 1:
						cluster.BlockInbound(h, true)
					case 2:
						for _, n := range []string{"n0", "n1", "n2"} {
							cluster.CutLink(n, h, true)
						}
					}
				}
			}
			cluster.CrashController(leader)
			time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			next := []string{"n1", "n2", "n0"}[leader[1]-'0']
			for _, ref := range []string{"wk-1", "wk-2"} {
				for k := 0; cluster.Cancel(next, ref).Status != jobs.Cancelled; k++ {
					if k > 3 {
						t.Fatal("not cancelled")
					}
				}
			}
			requireAccepted(t, cluster, next, capped("wk-4", jobs.Array, 4), 2*time.Second) // one by one
			requireAccepted(t, cluster, next, capped("wk-3", jobs.Gang, 4), 20*time.Second) // the whole limit
			time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
			cluster.StartController(leader)
			addMachines(cluster, 3)
			// By the time for a cancellation, 45 s, nothing of before can be there.
			cluster.WaitForStatus(next, "wk-3", jobs.Running, 55*time.Second)
			if response := cluster.Poll(next, "wk-3"); response.ActiveTasks == 0 && response.Status != jobs.Done {
				t.Errorf("seed %d: the limit is not used again: %+v", seed, response)
			}
			for _, h := range cluster.Hosts() {
				cluster.IsolateWorker(h, false)
				cluster.BlockInbound(h, false)
				for _, n := range []string{"n0", "n1", "n2"} {
					cluster.CutLink(n, h, false)
				}
			}
			requireDone(t, cluster, next, "wk-3", 60*time.Second)
		})
	}
}

// All controllers are away for longer than a lease, with an outage or without; some jobs were
// cancelled a moment before, gangs are half ended.
func TestAllControllersDownLongerThanWorkerLease(t *testing.T) {
	for seed := range uint64(6) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 9)
			lease := time.Duration(cluster.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
			for k := range 9 {
				ref := fmt.Sprintf("wk-%d", k+1)
				cluster.SetTaskRunTime(jobs.TaskName(ref, 0), time.Duration(2000+rnd.IntN(4000))*time.Millisecond)
				requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(ref, []string{jobs.Array, jobs.Gang}[k%2], 3, 1), 40*time.Second)
			}
			time.Sleep(time.Duration(2000+rnd.IntN(4000)) * time.Millisecond)
			told := map[string]bool{}
			for _, ref := range []string{"wk-1", "wk-2"} {
				told[ref] = cluster.Cancel("n1", ref).Status == jobs.Cancelled
			}
			outage := seed%2 == 0
			if outage {
				cluster.Store.SetOutage(true)
				time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			for _, n := range []string{"n0", "n1", "n2"} {
				cluster.CrashController(n)
			}
			time.Sleep(lease + time.Duration(rnd.IntN(8000))*time.Millisecond)
			for _, n := range []string{"n2", "n0", "n1"} {
				cluster.StartController(n)
				time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			}
			if outage {
				time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
				cluster.Store.SetOutage(false)
			}
			addMachines(cluster, 2)
			for k := range 9 {
				ref := fmt.Sprintf("wk-%d", k+1)
				if !told[ref] {
					if !cluster.WaitForStatus("n0", ref, jobs.Done, 150*time.Second) && cluster.Poll("n0", ref).Status != jobs.Cancelled {
						t.Errorf("seed %d: %s: %+v", seed, ref, cluster.Poll("n0", ref))
					}
					continue
				}
				for _, n := range []string{"n0", "n1", "n2"} {
					if response := cluster.Poll(n, ref); response.Status != jobs.Cancelled {
						t.Errorf("seed %d: %s is called %+v by %s", seed, ref, response, n)
					}
				}
				for i := range 3 {
					if on := cluster.RunningOn(jobs.TaskName(ref, i)); len(on) > 0 {
						t.Errorf("seed %d: %s/%d is on %v", seed, ref, i, on)
					}
				}
			}
		})
	}
}

// A zone with workers and a controller is cut off for longer than a lease, with packets held or
// connections refused; users are outside, jobs are cancelled and submitted there. The zone's workers
// may be kept at work inside as long as it may be, and no task is in both places.
func TestZonePartitionWithController(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprint("held ", held), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 10)
				for k := range 6 {
					requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang}[k%2], []int{12, 3}[k%2], 1), 50*time.Second)
				}
				time.Sleep(4 * time.Second)
				inside := cluster.HostsInZone("a")
				cut := func(on bool) {
					for _, h := range inside {
						cluster.CutLink("n1", h, on)
						cluster.CutLink("n2", h, on)
						if held {
							cluster.HoldHeartbeats(h, on)
						}
					}
					cluster.Store.RefuseNode("n0", on)
					link := fake.PeerLink{}
					if on {
						link.Isolated = "n0"
					}
					cluster.SetPeerLink(link)
				}
				cut(true)
				for range 8 { // room for what runs in the zone, should it count as gone
					cluster.AddMachine("b", false)
				}
				time.Sleep(2 * time.Second)
				if response := cluster.Cancel("n1", "wk-1"); response.Status != jobs.Cancelled {
					t.Fatalf("%+v", response)
				}
				told := time.Now()
				requireAccepted(t, cluster, "n2", fake.JobSpec("wk-7", jobs.Array, 4, 1), 5*time.Second)
				requireDone(t, cluster, "n1", "wk-7", 60*time.Second)
				time.Sleep(time.Until(told.Add(time.Duration(cluster.Cfg.Cluster.Workers.CancelS * float64(time.Second)))))
				for i := range 12 {
					if on := cluster.RunningOn(jobs.TaskName("wk-1", i)); len(on) > 0 {
						t.Errorf("wk-1/%d is on %v after its time", i, on)
					}
				}
				cut(false)
				addMachines(cluster, 3)
				for k := 1; k < 6; k++ {
					requireDone(t, cluster, "n0", fmt.Sprintf("wk-%d", k+1), 200*time.Second)
				}
				if h := cluster.OwnerOf("n0"); h != "n0" {
					t.Errorf("the share of the zone's controller is held by %q", h)
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

// There is more work than room, urgent and not, over slow links: urgent work goes first, the other
// begins in bounded time, nothing is stopped again and again, and all ends.
func TestOverloadOverSlowLinks(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4) // 16 places
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.Store.DelayWatch(n, 700*time.Millisecond)
		}
		for _, h := range cluster.Hosts() {
			cluster.DelayInbound(h, 800*time.Millisecond)
		}
		cluster.SetPeerLink(fake.PeerLink{Delay: 500 * time.Millisecond})
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-900", jobs.Array, 30, 1), 15*time.Second)
		begun := time.Now()
		var first time.Time
		for k := range 40 { // urgent gangs take half to all of the room for four minutes
			s := fake.JobSpec(fmt.Sprintf("wk-%d", k+1), jobs.Gang, 4, 1)
			s.Urgency = "high"
			s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = 5, 1
			requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), s, 12*time.Second)
			time.Sleep(6 * time.Second)
			if first.IsZero() && cluster.Poll("n1", "wk-900").ActiveTasks > 0 {
				first = time.Now()
			}
		}
		if first.IsZero() || first.Sub(begun) > 4*time.Minute {
			t.Errorf("the other work begins after %v", first.Sub(begun))
		}
		for k := range 40 {
			requireDone(t, cluster, "n2", fmt.Sprintf("wk-%d", k+1), 60*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-900", 120*time.Second)
		// Each gang starts once and stops four tasks at the most: nothing else is started again.
		urgent, other := 0, 0
		for task, n := range cluster.StartCounts() {
			if ref, _, _ := jobs.ParseTask(task); ref == "wk-900" {
				other += n
			} else {
				urgent += n
			}
		}
		if urgent != 160 || other > 30+160 {
			t.Errorf("160 urgent tasks were started %d times, 30 others %d times", urgent, other)
		}
	})
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
