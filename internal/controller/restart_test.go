package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestJobCompletesAfterRestartOfAllControllers(t *testing.T) {
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

// A controller that starts while the cloud is down uses the machine types that the store keeps. Without
// them it could neither accept submissions nor start tasks until the cloud is back.
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
		if response := cluster.Poll("n1", "wk-10"); response.Code != http.StatusServiceUnavailable {
			t.Errorf("a poll during an outage was answered %+v", response)
		}
		time.Sleep(20 * time.Second)
		cluster.Store.SetOutage(false)
		requireDone(t, cluster, "n1", "wk-10", 10*time.Second)
		checkStartedOnce(t, cluster)
	})
}

// Shards are handed over and back, then all controllers crash. One of them restarts within a second, the
// others later. Messages between the controllers are delayed. All jobs must complete.
func TestJobsCompleteAfterHandoversAndCrashes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				crashAfterHandover(t, cluster, rand.New(rand.NewPCG(seed, 8)))
			})
		})
	}
}

func crashAfterHandover(t *testing.T, cluster *fake.Cluster, rnd *rand.Rand) {
	sleepUpTo := func(limit time.Duration) { time.Sleep(time.Duration(rnd.Int64N(int64(limit)))) }
	addMachines(cluster, 9)
	requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 24, 1), 40*time.Second)
	requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 40*time.Second)
	cluster.SetPeerLink(fake.PeerLink{Delay: time.Duration(rnd.IntN(700)) * time.Millisecond, ChunksToDrop: rnd.IntN(3)})
	for range 3 {
		node := controllerName(rnd.IntN(3))
		if rnd.IntN(2) == 0 {
			cluster.StopController(node) // its shards are handed over
		} else {
			cluster.CrashController(node)
		}
		sleepUpTo(4 * time.Second)
		cluster.StartController(node) // its shards are handed back
		sleepUpTo(3 * time.Second)
		permutation := rnd.Perm(3)
		for _, i := range permutation {
			cluster.CrashController(controllerName(i))
		}
		sleepUpTo(900 * time.Millisecond)
		for _, i := range permutation {
			cluster.StartController(controllerName(i))
			sleepUpTo(2 * time.Second)
		}
	}
	cluster.SetPeerLink(fake.PeerLink{})
	for _, ref := range []string{"wk-1", "wk-2"} {
		requireDone(t, cluster, "n2", ref, 150*time.Second)
	}
}

// All controllers are down for longer than a worker lease, with or without an outage of the store. Shortly
// before, some jobs were cancelled, and some tasks of the other jobs, among them gangs, were done. After
// the restart, the cancelled jobs are still cancelled, and the other jobs are completed.
func TestJobsEndAfterAllControllersWereDownForWorkerLease(t *testing.T) {
	for seed := range uint64(6) {
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			restartAfterWorkerLease(t, cluster, seed)
		})
	}
}

func restartAfterWorkerLease(t *testing.T, cluster *fake.Cluster, seed uint64) {
	const jobCount = 9
	rnd := rand.New(rand.NewPCG(seed, 12))
	addMachines(cluster, 9)
	lease := time.Duration(cluster.Cfg.Cluster.Workers.LeaseSeconds * float64(time.Second))
	for i := range jobCount {
		cluster.SetTaskRunTime(jobs.TaskName(jobRef(i+1), 0), time.Duration(2000+rnd.IntN(4000))*time.Millisecond)
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), alternatingKind(i), 3, 1), 40*time.Second)
	}
	time.Sleep(time.Duration(2000+rnd.IntN(4000)) * time.Millisecond)
	isCancelled := map[string]bool{}
	for _, ref := range []string{"wk-1", "wk-2"} {
		isCancelled[ref] = cluster.Cancel("n1", ref).Status == jobs.Cancelled
	}
	hasOutage := seed%2 == 0
	if hasOutage {
		cluster.Store.SetOutage(true)
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	}
	for _, node := range controllerNames {
		cluster.CrashController(node)
	}
	time.Sleep(lease + time.Duration(rnd.IntN(8000))*time.Millisecond)
	for _, node := range []string{"n2", "n0", "n1"} {
		cluster.StartController(node)
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
	}
	if hasOutage {
		time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
		cluster.Store.SetOutage(false)
	}
	addMachines(cluster, 2)
	for i := range jobCount {
		if isCancelled[jobRef(i+1)] {
			checkCancelledAtAllControllers(t, cluster, seed, jobRef(i+1))
		} else {
			checkDoneOrCancelled(t, cluster, seed, jobRef(i+1))
		}
	}
}

// checkDoneOrCancelled checks that a job is done in time, or that it was cancelled although the answer to the
// cancellation did not say so.
func checkDoneOrCancelled(t *testing.T, cluster *fake.Cluster, seed uint64, ref string) {
	t.Helper()
	isDone := cluster.WaitForStatus("n0", ref, jobs.Done, 150*time.Second)
	if !isDone && cluster.Poll("n0", ref).Status != jobs.Cancelled {
		t.Errorf("seed %d: %s: %+v", seed, ref, cluster.Poll("n0", ref))
	}
}

// checkCancelledAtAllControllers checks that all controllers report a job as cancelled, and that none of
// its three tasks runs.
func checkCancelledAtAllControllers(t *testing.T, cluster *fake.Cluster, seed uint64, ref string) {
	t.Helper()
	for _, node := range controllerNames {
		if response := cluster.Poll(node, ref); response.Status != jobs.Cancelled {
			t.Errorf("seed %d: %s is reported as %+v by %s", seed, ref, response, node)
		}
	}
	for i := range 3 {
		if hosts := cluster.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
			t.Errorf("seed %d: %s/%d runs on %v", seed, ref, i, hosts)
		}
	}
}

// Controllers crash and restart, most of them within a second, and machines are isolated for a short
// time. Some controllers return while others are acquiring the shards of the crashed ones. All jobs must
// complete.
func TestJobsCompleteDespiteShortRestarts(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				addMachines(cluster, 6)
				requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 20, 1), 30*time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 30*time.Second)
				for i := range 8 {
					node := controllerName(rnd.IntN(3))
					cluster.CrashController(node)
					downtime := time.Duration(50+rnd.IntN(600)) * time.Millisecond
					if i%3 == 2 { // long enough for the others to begin to acquire its shard
						downtime += time.Duration(3500+rnd.IntN(900)) * time.Millisecond
					}
					time.Sleep(downtime)
					cluster.StartController(node)
					host := cluster.Hosts()[rnd.IntN(6)]
					cluster.IsolateWorker(host, true)
					time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
					cluster.IsolateWorker(host, false)
				}
				for _, ref := range []string{"wk-1", "wk-2"} {
					requireDone(t, cluster, "n2", ref, 150*time.Second)
				}
			})
		})
	}
}
