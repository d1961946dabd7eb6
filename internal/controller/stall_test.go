package controller_test

import (
	"context"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// stallController takes the processor from a controller: it does nothing, and the state
// service and its workers hear nothing of it.
func stallController(cluster *fake.Cluster, node string, d time.Duration) {
	cluster.Store.RefuseNode(node, true)
	cluster.Nodes[node].Controller.Stall(d)
	time.AfterFunc(d, func() { cluster.Store.RefuseNode(node, false) })
}

// A controller that was held for a minute wakes with everything it believed: a
// share that others hold now, a job that was cancelled meanwhile.
func TestStalledControllerDiscardsOldKnowledge(t *testing.T) {
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
		if h := cluster.OwnerOf("n0"); h == "n0" {
			t.Error("the share of a silent controller was not taken")
		}
		if response := cluster.Cancel("n1", "wk-1"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		time.Sleep(45*time.Second + time.Millisecond)
		if cluster.Nodes["n0"].Controller.Healthy() {
			t.Error("healthy by what was true a minute ago")
		}
		for range 40 { // from its first moment on
			if response := cluster.Poll("n0", "wk-1"); response.Code == 200 && response.Status != jobs.Cancelled {
				t.Fatalf("an older answer was given: %+v", response)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if on := cluster.RunningOn("wk-1/0"); len(on) > 0 {
			t.Errorf("a cancelled task is on %v", on)
		}
		requireDone(t, cluster, "n0", "wk-2", 3*time.Minute)
	})
}

func TestAllControllersStalledForAMinute(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 2 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 10, 1), 30*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 2, 2), 30*time.Second)
		time.Sleep(5 * time.Second)
		for _, n := range []string{"n0", "n1", "n2"} {
			stallController(cluster, n, 65*time.Second)
		}
		time.Sleep(66 * time.Second)
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 2, 1), 5*time.Second)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			requireDone(t, cluster, "n1", ref, 90*time.Second)
		}
	})
}

// The state service refused one controller alone: its users were told for five
// seconds that all was well.
func TestControllerCutOffFromStoreIsUnhealthy(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { // what controllers tell each other
			for kvstore.Pause(ctx, 500*time.Millisecond) == nil {
				for from, x := range cluster.Nodes {
					for to, y := range cluster.Nodes {
						if b, ok := x.Controller.PeerHeartbeat(); ok && from != to {
							y.Controller.HandlePeerHeartbeat(b)
						}
					}
				}
			}
		}()
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 6, 1), 40*time.Second)
		time.Sleep(4 * time.Second)
		cluster.Store.RefuseNode("n0", true)
		time.Sleep(4 * time.Second)
		if cluster.Nodes["n0"].Controller.Healthy() || !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("users are not sent on")
		}
		time.Sleep(4 * time.Second)
		if h := cluster.OwnerOf("n0"); h == "n0" {
			t.Error("its share was not taken")
		}
		cluster.Store.RefuseNode("n0", false)
		cluster.Store.SetOutage(true) // of which it can't know that it is one, this time
		time.Sleep(8 * time.Second)
		if !cluster.Nodes["n1"].Controller.Healthy() {
			t.Error("in an outage for all there is nobody to send users to")
		}
		cluster.Store.SetOutage(false)
		requireDone(t, cluster, "n0", "wk-1", 60*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}
