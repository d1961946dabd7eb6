package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// waitForOwnerChange is how long it took until another holds a share, at most a while.
func waitForOwnerChange(cluster *fake.Cluster, share, from string, most time.Duration) time.Duration {
	begun := time.Now()
	for cluster.OwnerOf(share) == from && time.Since(begun) < most {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// A share was taken when the grant had ended, 3.1 to 4.1 s after a crash.
func TestCrashDetectedBeforeLeaseExpiry(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 24, 1), 60*time.Second)
		time.Sleep(5 * time.Second)
		sum := time.Duration(0)
		for i := range 6 {
			n := fmt.Sprintf("n%d", i%3)
			time.Sleep(time.Duration(70*i) * time.Millisecond)
			cluster.CrashController(n)
			took := waitForOwnerChange(cluster, n, n, 8*time.Second)
			if took > 2200*time.Millisecond {
				t.Errorf("the share of %s was taken after %v", n, took)
			}
			sum += took
			cluster.StartController(n)
			time.Sleep(70 * time.Second) // home again, and no pause for it
		}
		t.Log("mean", sum/6)
		requireDone(t, cluster, "n1", "wk-1", 60*time.Second)
	})
}

// Controllers that stand still for a moment, links that are late, and one that the others
// don't hear while it works: no share moves.
func TestShardsStayDuringShortStallsAndSlowLinks(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		time.Sleep(6 * time.Second)
		same := func(what string) {
			t.Helper()
			for _, n := range []string{"n0", "n1", "n2"} {
				if h := cluster.OwnerOf(n); h != n {
					t.Fatalf("%s: the share of %s is with %s", what, n, h)
				}
			}
		}
		for i := range 60 {
			d := time.Duration(100+15*i) * time.Millisecond // up to 0.985 s
			cluster.Nodes[fmt.Sprintf("n%d", i%3)].Controller.Stall(d)
			time.Sleep(d + 1200*time.Millisecond)
			same(fmt.Sprint("a stand-still of ", d))
		}
		cluster.SetPeerLink(fake.PeerLink{IsCut: true})
		time.Sleep(20 * time.Second)
		same("no controller hears another")
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(5 * time.Second)
		cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
		for i := range 40 { // n0 is at work, as its claims show
			requireAccepted(t, cluster, "n0", fake.JobSpec(fmt.Sprintf("wk-%d", i+1), jobs.Array, 6, 0.5), 2*time.Second)
			time.Sleep(500 * time.Millisecond)
		}
		same("nobody hears n0, but it works")
	})
}

// One that the others do not hear and that has no work is taken for dead once; having taken
// its share back it is believed.
func TestShardDoesNotFlapDuringOneWayPartition(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 6)
		time.Sleep(6 * time.Second)
		cluster.SetPeerLink(fake.PeerLink{Isolated: "n0"})
		changes, last := 0, "n0"
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if h := cluster.OwnerOf("n0"); h != last {
				changes, last = changes+1, h
			}
		}
		if changes > 2 || last != "n0" {
			t.Errorf("%d changes of hands in a minute, the last to %s", changes, last)
		}
	})
}

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
