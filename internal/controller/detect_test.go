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
