package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A controller that lost only its workers kept their share until all their leases
// had run out, and every task was lost.
func TestControllerCutOffFromWorkersGivesUpShard(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		hosts := map[string]bool{}
		for range 4 {
			hosts[cluster.AddMachine("a", false).Host] = true // the share of n0
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 46, 1), 60*time.Second)
		time.Sleep(4 * time.Second)
		cut := func(on bool) {
			for i := range 12 {
				cluster.CutLink("n0", fmt.Sprintf("i-%06d", i+1), on)
			}
		}
		cut(true)
		time.Sleep(9 * time.Second)
		if h := cluster.OwnerOf("n0"); h == "n0" {
			t.Error("the share is still with the controller that reaches nobody")
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 2, 1), 5*time.Second) // it serves users all the same
		requireDone(t, cluster, "n1", "wk-2", 20*time.Second)
		time.Sleep(10 * time.Second)
		cut(false)
		time.Sleep(12 * time.Second)
		if h := cluster.OwnerOf("n0"); h != "n0" {
			t.Errorf("the share is with %s after the cut", h)
		}
		requireDone(t, cluster, "n2", "wk-1", 60*time.Second)
		for task, n := range cluster.StartCounts() {
			if n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

// With all machines gone at once no controller is to blame: the shares must not
// wander.
func TestShardsStayWhenNoControllerReachesWorkers(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 3 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 36, 1), 5*time.Minute)
		time.Sleep(4 * time.Second)
		before := cluster.Store.WriteCount()
		for i := range 9 {
			for _, n := range []string{"n0", "n1", "n2"} {
				cluster.CutLink(n, fmt.Sprintf("i-%06d", i+1), true)
			}
		}
		time.Sleep(25 * time.Second)
		if n := cluster.Store.WriteCount() - before; n > 30 {
			t.Errorf("%d changes while no worker could be reached", n)
		}
		for i := range 9 {
			for _, n := range []string{"n0", "n1", "n2"} {
				cluster.CutLink(n, fmt.Sprintf("i-%06d", i+1), false)
			}
		}
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
