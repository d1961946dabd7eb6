package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestAllControllersRestart(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-7", jobs.Array, 12, 1), 30*time.Second)
		time.Sleep(5 * time.Second)
		restartControllers(cluster, 6*time.Second)
		time.Sleep(3 * time.Second)
		requireDone(t, cluster, "n1", "wk-7", 90*time.Second)
	})
}

// A controller that started while the cloud was down refused every submission
// and started nothing on its workers until the cloud came back.
func TestStartWithoutCloudUsesStoredMachineTypes(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(10 * time.Second)
		cluster.WithoutMachineTypes = true
		restartControllers(cluster, 5*time.Second)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-7", jobs.Array, 4, 1), 5*time.Second)
		requireDone(t, cluster, "n2", "wk-7", 20*time.Second)
	})
}

func TestStoreOutageLosesNoWork(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-10", jobs.Array, 4, 1), 20*time.Second)
		time.Sleep(4 * time.Second)
		cluster.Store.SetOutage(true)
		if response := cluster.Poll("n1", "wk-10"); response.Code != 503 {
			t.Errorf("poll in an outage answered %+v", response)
		}
		time.Sleep(20 * time.Second)
		cluster.Store.SetOutage(false)
		requireDone(t, cluster, "n1", "wk-10", 10*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
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

// Processes and machines are back within a fraction of a second, also while shares are
// being taken.
func TestSubsecondRestarts(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 6)
				requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 20, 1), 30*time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 30*time.Second)
				for i := range 8 {
					n := fmt.Sprintf("n%d", rnd.IntN(3))
					cluster.CrashController(n)
					pause := time.Duration(50+rnd.IntN(600)) * time.Millisecond
					if i%3 == 2 { // long enough for the others to begin to take its share
						pause += time.Duration(3500+rnd.IntN(900)) * time.Millisecond
					}
					time.Sleep(pause)
					cluster.StartController(n)
					h := cluster.Hosts()[rnd.IntN(6)]
					cluster.IsolateWorker(h, true)
					time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
					cluster.IsolateWorker(h, false)
				}
				for _, ref := range []string{"wk-1", "wk-2"} {
					requireDone(t, cluster, "n2", ref, 150*time.Second)
				}
			})
		})
	}
}
