package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// waitForOwnerChange waits, for at most limit, until owner no longer owns the shard, and returns how long it
// has waited.
func waitForOwnerChange(cluster *fake.Cluster, shard, owner string, limit time.Duration) time.Duration {
	startedAt := time.Now()
	for cluster.OwnerOf(shard) == owner && time.Since(startedAt) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// A crash of a controller is detected and its shard is acquired within 2.2 s. Without failure detection,
// the acquisition would wait for the expiry of the owner's lease and take 3.1 to 4.1 s.
func TestCrashDetectedBeforeLeaseExpiry(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 24, 1), 60*time.Second)
		time.Sleep(5 * time.Second)
		totalFailoverTime := time.Duration(0)
		for i := range 6 {
			node := controllerName(i)
			time.Sleep(time.Duration(70*i) * time.Millisecond)
			cluster.CrashController(node)
			failoverTime := waitForOwnerChange(cluster, node, node, 8*time.Second)
			if failoverTime > 2200*time.Millisecond {
				t.Errorf("the shard of %s was acquired after %v", node, failoverTime)
			}
			totalFailoverTime += failoverTime
			cluster.StartController(node)
			time.Sleep(70 * time.Second) // until the controller owns its shard again and may be suspected without delay
		}
		t.Log("mean failover time", totalFailoverTime/6)
		requireDone(t, cluster, "n1", "wk-1", 60*time.Second)
	})
}

// No shard changes its owner while controllers stall for less than a second, while the links between the
// controllers are cut, or while the heartbeats of a controller that still works are lost.
func TestShardOwnersStableDuringStallsAndPeerPartitions(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		time.Sleep(6 * time.Second)
		for i := range 60 {
			stall := time.Duration(100+15*i) * time.Millisecond // up to 0.985 s
			cluster.Nodes[controllerName(i)].Controller.Stall(stall)
			time.Sleep(stall + 1200*time.Millisecond)
			requireOwnShards(t, cluster, fmt.Sprint("a stall of ", stall))
		}
		cluster.SetPeerLink(fake.PeerLink{IsCut: true})
		time.Sleep(20 * time.Second)
		requireOwnShards(t, cluster, "no controller receives heartbeats")
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(5 * time.Second)
		cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
		for i := range 40 { // the peers see from the claims of n0 that it works
			requireAccepted(t, cluster, "n0", fake.JobSpec(jobRef(i+1), jobs.Array, 6, 0.5), 2*time.Second)
			time.Sleep(500 * time.Millisecond)
		}
		requireOwnShards(t, cluster, "n0 is isolated from its peers, but still claims tasks")
	})
}

// requireOwnShards requires that each controller owns the shard that has the controller's name.
func requireOwnShards(t *testing.T, cluster *fake.Cluster, situation string) {
	t.Helper()
	for _, node := range controllerNames {
		if owner := cluster.OwnerOf(node); owner != node {
			t.Fatalf("%s: the shard of %s is owned by %s", situation, node, owner)
		}
	}
}

// A controller whose heartbeats are lost and that writes no records is considered failed, but only once:
// after it has acquired its shard again, its peers do not suspect it any more.
func TestShardDoesNotFlapDuringOneWayPartition(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		time.Sleep(6 * time.Second)
		cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
		ownerChanges, lastOwner := 0, "n0"
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if owner := cluster.OwnerOf("n0"); owner != lastOwner {
				ownerChanges, lastOwner = ownerChanges+1, owner
			}
		}
		if ownerChanges > 2 || lastOwner != "n0" {
			t.Errorf("%d changes of the owner in a minute, the last to %s", ownerChanges, lastOwner)
		}
	})
}

// A controller that loses the connection to all its workers, but not to the store, gives up its shard before
// the leases of the workers expire. If the leases expired, all tasks would be lost.
func TestControllerCutOffFromWorkersGivesUpShard(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 4)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 46, 1), 60*time.Second)
		time.Sleep(4 * time.Second)
		cutMachineLinks(cluster, 12, true, "n0")
		time.Sleep(9 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner == "n0" {
			t.Error("the shard is still owned by the controller that reaches no worker")
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 2, 1), 5*time.Second) // n0 still serves users
		requireDone(t, cluster, "n1", "wk-2", 20*time.Second)
		time.Sleep(10 * time.Second)
		cutMachineLinks(cluster, 12, false, "n0")
		time.Sleep(12 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner != "n0" {
			t.Errorf("the shard is owned by %s after the partition", owner)
		}
		requireDone(t, cluster, "n2", "wk-1", 60*time.Second)
		checkStartedOnce(t, cluster)
	})
}

// If no controller reaches any worker, no controller is at fault and a change of the shards' owners does not
// help. The shards must not change their owners again and again.
func TestShardOwnersStableWhenWorkersUnreachable(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 3)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 36, 1), 5*time.Minute)
		time.Sleep(4 * time.Second)
		writesBefore := cluster.Store.WriteCount()
		cutMachineLinks(cluster, 9, true, controllerNames...)
		time.Sleep(25 * time.Second)
		if writes := cluster.Store.WriteCount() - writesBefore; writes > 30 {
			t.Errorf("%d writes while no worker could be reached", writes)
		}
		cutMachineLinks(cluster, 9, false, controllerNames...)
		time.Sleep(10 * time.Second)
		for range 20 {
			if cluster.Poll("n2", "wk-1").ActiveTasks == 36 {
				return
			}
			time.Sleep(time.Second)
		}
		t.Errorf("the tasks do not run again: %+v", cluster.Poll("n2", "wk-1"))
	})
}

// cutMachineLinks cuts or restores the links between the first count machines and the named
// controllers.
func cutMachineLinks(cluster *fake.Cluster, count int, isCut bool, nodes ...string) {
	for i := range count {
		cutLinks(cluster, fmt.Sprintf("i-%06d", i+1), isCut, nodes...)
	}
}
