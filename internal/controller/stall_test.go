package controller_test

import (
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// stallController blocks a controller for the duration d, as if the operating system did not schedule its
// process. The controller does nothing, and neither the store nor its workers receive anything from it.
func stallController(cluster *fake.Cluster, node string, d time.Duration) {
	cluster.Store.RefuseNode(node, true)
	cluster.Nodes[node].Controller.Stall(d)
	time.AfterFunc(d, func() { cluster.Store.RefuseNode(node, false) })
}

// A controller that was stalled for a minute resumes with outdated state: another controller owns its
// shard now, and a job was cancelled during the stall. The controller must not use that state to answer
// requests or start tasks.
func TestStalledControllerDiscardsStaleState(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Service, 2, 1), 0)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 6, 1), 90*time.Second)
		time.Sleep(5 * time.Second)
		stallController(cluster, "n0", 65*time.Second)
		time.Sleep(20 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner == "n0" {
			t.Error("the shard of a stalled controller was not acquired")
		}
		requireCancelled(t, cluster, "n1", "wk-1")
		time.Sleep(45*time.Second + time.Millisecond)
		if cluster.Nodes["n0"].Controller.Healthy() {
			t.Error("the controller is healthy according to a status from before the stall")
		}
		for range 40 { // for at least 2 s from the moment at which the controller resumes
			if response := cluster.Poll("n0", "wk-1"); response.Code == http.StatusOK && response.Status != jobs.Cancelled {
				t.Fatalf("an outdated status was answered: %+v", response)
			}
			time.Sleep(50 * time.Millisecond)
		}
		checkNotRunning(t, cluster, "wk-1", 1)
		requireDone(t, cluster, "n0", "wk-2", 3*time.Minute)
	})
}

func TestJobsCompleteAfterStallOfAllControllers(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 2)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 10, 1), 30*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 2, 2), 30*time.Second)
		time.Sleep(5 * time.Second)
		for _, node := range controllerNames {
			stallController(cluster, node, 65*time.Second)
		}
		time.Sleep(66 * time.Second)
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 2, 1), 5*time.Second)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			requireDone(t, cluster, "n1", ref, 90*time.Second)
		}
	})
}

// A controller that is the only one refused by the store is unhealthy within four seconds, so that its
// users are sent to others. In an outage that affects all controllers, each controller stays healthy.
func TestControllerCutOffFromStoreIsUnhealthy(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		defer exchangeHeartbeats(cluster)()
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 6, 1), 40*time.Second)
		time.Sleep(4 * time.Second)
		cluster.Store.RefuseNode("n0", true)
		time.Sleep(4 * time.Second)
		if cluster.Nodes["n0"].Controller.Healthy() || !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("the controller that the store refuses is healthy, or n1 is not")
		}
		time.Sleep(4 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner == "n0" {
			t.Error("the shard of the cut-off controller was not acquired")
		}
		cluster.Store.RefuseNode("n0", false)
		cluster.Store.SetOutage(true) // for all controllers, which a controller can only learn from its peers
		time.Sleep(8 * time.Second)
		if !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("a controller is unhealthy in an outage for all, when users can be sent to no other")
		}
		cluster.Store.SetOutage(false)
		requireDone(t, cluster, "n0", "wk-1", 60*time.Second)
		checkStartedOnce(t, cluster)
	})
}

// exchangeHeartbeats delivers peer heartbeats between all running controllers until stop is called.
func exchangeHeartbeats(cluster *fake.Cluster) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(500 * time.Millisecond):
				deliverHeartbeats(cluster)
			}
		}
	}()
	return func() { close(stopped) }
}

func deliverHeartbeats(cluster *fake.Cluster) {
	for from, sender := range cluster.Nodes {
		for to, receiver := range cluster.Nodes {
			if heartbeat, ok := sender.Controller.PeerHeartbeat(); ok && from != to {
				receiver.Controller.HandlePeerHeartbeat(heartbeat)
			}
		}
	}
}
