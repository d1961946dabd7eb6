package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A machine's heartbeats arrive at the controllers, but nothing that is sent to the machine arrives. The
// machine must not count as healthy, because tasks that are placed there would never start.
func TestMachineWithNoInboundDoesNotBlockJobs(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		setSpareMachines(t, cluster, "n0", 9)
		hosts := cluster.Hosts()
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 16, 1), 25*time.Second)
		time.Sleep(4 * time.Second)
		cluster.BlockInbound(hosts[0], true)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 3, 3), 10*time.Second) // one task on each of the other machines
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 12, 1), 5*time.Second)
		time.Sleep(30 * time.Second)
		cluster.BlockInbound(hosts[0], false)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			requireDone(t, cluster, "n1", ref, 90*time.Second)
		}
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-4", jobs.Gang, 4, 3), 5*time.Second) // all four machines are in use again
		requireDone(t, cluster, "n0", "wk-4", 40*time.Second)
		cluster.BlockInbound(hosts[1], true)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-5", jobs.Array, 20, 1), 5*time.Second)
		time.Sleep(3 * time.Minute)
		if cluster.IsUp(hosts[1]) {
			t.Error("a machine that receives nothing is not released")
		}
		requireDone(t, cluster, "n0", "wk-5", time.Second)
	})
}

// All controllers restart while two machines receive nothing, so that no new owner reaches these machines.
// Their tasks must be started elsewhere although their heartbeats arrive.
func TestMachineWithNoInboundDoesNotBlockReconciliation(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 16, 1), 40*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 3, 1), 15*time.Second)
		time.Sleep(5 * time.Second)
		cluster.BlockInbound(cluster.Hosts()[0], true)
		cluster.BlockInbound(cluster.Hosts()[1], true)
		restartControllers(cluster, 100*time.Millisecond)
		for _, ref := range []string{"wk-1", "wk-2"} {
			requireDone(t, cluster, "n2", ref, 180*time.Second)
		}
	})
}

// Some machines reach no controller, but commands reach the machines. No more tasks are started on these
// machines, completions are known soon, cancelled tasks are stopped, and running tasks are started
// elsewhere only when the leases of the workers have expired. The machines are not released after a
// minute, but they are released after a few minutes.
func TestMachinesWithNoOutboundAreReleasedAfterMinutes(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		setSpareMachines(t, cluster, "n0", 9)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 6, 1), 8*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 4, 1), time.Minute)
		time.Sleep(3 * time.Second)
		hosts := cluster.Hosts()
		blockOutbound(cluster, hosts, true)
		addMachines(cluster, 4) // waits 5 s for the machines to boot
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 8, 1), 2*time.Second)
		requireDone(t, cluster, "n2", "wk-3", 6*time.Second) // before any lease expires
		if response := cluster.Poll("n1", "wk-1"); response.Status != jobs.Done {
			t.Errorf("a job that is done on machines whose heartbeats are lost was answered %+v", response)
		}
		requireCancelled(t, cluster, "n0", "wk-2")
		time.Sleep(2500 * time.Millisecond)
		checkNotRunning(t, cluster, "wk-2", 4)
		time.Sleep(45 * time.Second)
		for _, host := range hosts {
			if !cluster.IsUp(host) {
				t.Fatalf("%s was released after a minute", host)
			}
		}
		blockOutbound(cluster, hosts, false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-4", jobs.Array, 32, 1), 2*time.Second) // needs all machines at the same time
		requireDone(t, cluster, "n0", "wk-4", 8*time.Second)
		blockOutbound(cluster, hosts[:2], true)
		time.Sleep(3 * time.Minute)
		if cluster.IsUp(hosts[0]) || cluster.IsUp(hosts[1]) {
			t.Error("machines that reach no controller for minutes are not released")
		}
	})
}

func blockOutbound(cluster *fake.Cluster, hosts []string, isBlocked bool) {
	for _, host := range hosts {
		cluster.BlockOutbound(host, isBlocked)
	}
}

// A task on a machine that reaches no controller starts elsewhere when the worker's lease has
// expired, and not before. A worker whose lease has expired has stopped its tasks and begun a new agent
// epoch, which a new owner learns by a probe of the worker.
func TestTasksOnMachinesWithNoOutboundStartElsewhereAfterLease(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 12, 1), 40*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 3), 40*time.Second)
		time.Sleep(4 * time.Second)
		blockOutbound(cluster, cluster.Hosts()[:2], true)
		addMachines(cluster, 6)
		time.Sleep(8 * time.Second) // the leases of the first two machines, 10 s long, expire soon
		for _, ref := range []string{"wk-1", "wk-2"} {
			requireDone(t, cluster, "n2", ref, 60*time.Second)
		}
	})
}

// A controller loses its connections to the store and to its peers, but not to its workers. It may go on
// renewing the workers' leases only as long as no other controller relies on the expiry of the leases.
func TestIsolatedControllerRenewsLeasesOnlyWhileSafe(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 9)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 30, 1), 50*time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 4, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		cluster.Store.RefuseNode("n0", true)
		cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
		time.Sleep(10 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner == "n0" {
			t.Error("the shard of the isolated controller was not acquired")
		}
		if cluster.Nodes["n0"].Controller.Healthy() || !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("the isolated controller is healthy, or n1 is not")
		}
		requireCancelled(t, cluster, "n1", "wk-2")
		requireAccepted(t, cluster, "n2", dependentJob("wk-3", 6), 5*time.Second)
		time.Sleep(time.Duration(cluster.Cfg.Cluster.Workers.CancelSeconds * float64(time.Second)))
		checkNotRunning(t, cluster, "wk-2", 1)
		cluster.Store.RefuseNode("n0", false)
		cluster.SetPeerLink(fake.PeerLink{})
		requireDone(t, cluster, "n0", "wk-1", 90*time.Second)
		requireDone(t, cluster, "n0", "wk-3", 60*time.Second)
		for task, count := range cluster.StartCounts() {
			if ref, _, _ := jobs.ParseTaskName(task); ref == "wk-1" && count != 1 {
				t.Errorf("%s started %d times", task, count)
			}
		}
	})
}

// A zone with workers and a controller is cut off for longer than a worker lease; packets are held back,
// or connections are refused. Users outside the zone cancel and submit jobs. The zone's controller may
// renew the leases of the workers in the zone as long as no other controller relies on the expiry of these
// leases, but no task may run both in the zone and outside.
func TestZonePartitionRunsNoTaskTwice(t *testing.T) {
	for _, holdsPackets := range []bool{false, true} {
		t.Run(fmt.Sprint("packets held ", holdsPackets), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { partitionZone(t, cluster, holdsPackets) })
		})
	}
}

func partitionZone(t *testing.T, cluster *fake.Cluster, holdsPackets bool) {
	addMachines(cluster, 10)
	for i := range 6 {
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), alternatingKind(i), []int{12, 3}[i%2], 1), 50*time.Second)
	}
	time.Sleep(4 * time.Second)
	hosts := cluster.HostsInZone("a")
	setZonePartition(cluster, hosts, holdsPackets, true)
	for range 8 { // capacity for the tasks of the zone, in case they are considered lost
		cluster.AddMachine("b", false)
	}
	time.Sleep(2 * time.Second)
	requireCancelled(t, cluster, "n1", "wk-1")
	cancelledAt := time.Now()
	requireAccepted(t, cluster, "n2", fake.JobSpec("wk-7", jobs.Array, 4, 1), 5*time.Second)
	requireDone(t, cluster, "n1", "wk-7", 60*time.Second)
	cancelLimit := time.Duration(cluster.Cfg.Cluster.Workers.CancelSeconds * float64(time.Second))
	time.Sleep(time.Until(cancelledAt.Add(cancelLimit)))
	checkNotRunning(t, cluster, "wk-1", 12)
	setZonePartition(cluster, hosts, holdsPackets, false)
	addMachines(cluster, 3)
	for i := 1; i < 6; i++ {
		requireDone(t, cluster, "n0", jobRef(i+1), 200*time.Second)
	}
	if owner := cluster.OwnerOf("n0"); owner != "n0" {
		t.Errorf("the shard of the zone's controller is owned by %q", owner)
	}
}

// setZonePartition separates n0 and the hosts of its zone from the store and the other controllers, or ends
// the partition.
func setZonePartition(cluster *fake.Cluster, hosts []string, holdsPackets, isPartitioned bool) {
	for _, host := range hosts {
		cutLinks(cluster, host, isPartitioned, "n1", "n2")
		if holdsPackets {
			cluster.HoldHeartbeats(host, isPartitioned)
		}
	}
	cluster.Store.RefuseNode("n0", isPartitioned)
	link := fake.PeerLink{}
	if isPartitioned {
		link.IsolatedNode = "n0"
	}
	cluster.SetPeerLink(link)
}

// Copies of heartbeats arrive at random controllers between 2 s and 37 s late, which may be much more than a
// worker lease, while controllers crash and a machine is released.
func TestDelayedDuplicateHeartbeatsAreIgnored(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				duplicateHeartbeats(t, cluster, rand.New(rand.NewPCG(seed, 3)))
			})
		})
	}
}

func duplicateHeartbeats(t *testing.T, cluster *fake.Cluster, rnd *rand.Rand) {
	cluster.DuplicateHeartbeats(rnd, 35*time.Second)
	addMachines(cluster, 8)
	for i := range 12 {
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), alternatingKind(i), 4, 1), 12*time.Second)
		time.Sleep(2 * time.Second)
		if i%4 == 1 {
			cluster.CrashController(controllerName(i))
			time.Sleep(200 * time.Millisecond)
			cluster.StartController(controllerName(i))
		}
	}
	releasedHost := cluster.Hosts()[0]
	if err := cluster.Release(t.Context(), []string{releasedHost}); err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		requireDone(t, cluster, "n1", jobRef(i+1), 120*time.Second)
	}
	time.Sleep(2 * time.Minute)
	if keys := cluster.Store.Keys(jobs.WorkerPrefix + releasedHost); len(keys) > 0 {
		t.Errorf("a released machine has a record: %v", keys)
	}
}

// While shards change owners, commands and their answers are delayed by up to 5 s, and machines freeze for a
// random time, at most about 3 s longer than a worker lease. All jobs must complete.
func TestJobsCompleteDespiteDelayedCommandsAndFrozenMachines(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				delayCommandsAndFreeze(t, cluster, rand.New(rand.NewPCG(seed, 7)))
			})
		})
	}
}

func delayCommandsAndFreeze(t *testing.T, cluster *fake.Cluster, rnd *rand.Rand) {
	addMachines(cluster, 9)
	for i := range 8 {
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), alternatingKind(i), 3, 1), 30*time.Second)
	}
	lease := time.Duration(cluster.Cfg.Cluster.Workers.LeaseSeconds * float64(time.Second))
	for range 5 {
		hosts := cluster.Hosts()
		for _, host := range hosts {
			cluster.DelayInbound(host, time.Duration(rnd.IntN(2)*(500+rnd.IntN(4500)))*time.Millisecond)
			cluster.FreezeMachine(host, rnd.IntN(3) == 0)
		}
		node := controllerName(rnd.IntN(3))
		cluster.CrashController(node)
		time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
		cluster.StartController(node)
		time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
		for _, host := range hosts {
			cluster.FreezeMachine(host, false)
		}
		time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
	}
	for _, host := range cluster.Hosts() {
		cluster.DelayInbound(host, 0)
	}
	addMachines(cluster, 3)
	for i := range 8 {
		requireDone(t, cluster, "n1", jobRef(i+1), 150*time.Second)
	}
}
