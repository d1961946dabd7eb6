package handover_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/handover"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/tuning"
)

// back is a tale in which n0 has crashed, another holds its share, and work runs on all
// machines; it begins when n0 starts again.
func back(t *testing.T, tale func(cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.ConnectPeers = true
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
		})
		time.Sleep(3 * time.Second)
		for i := range 24 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(6 * time.Second)
		for i := range 8 {
			g := fake.JobSpec(fmt.Sprintf("wk-%d", 10+i), jobs.Gang, 3, 3)
			g.Urgency = "high"
			if r := cluster.Submit("n1", g, 40*time.Second); r.Code != 201 {
				t.Fatalf("%+v", r)
			}
		}
		if r := cluster.Submit("n1", fake.JobSpec("wk-1", jobs.Array, 60, 1), 30*time.Second); r.Code != 201 {
			t.Fatalf("%+v", r)
		}
		time.Sleep(6 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(9 * time.Second)
		if h := cluster.OwnerOf("n0"); h == "n0" || h == "" {
			t.Fatalf("the share of the dead one is held by %q", h)
		}
		cluster.StartController("n0")
		tale(cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// whole checks that all work comes to its end, each task started once.
func whole(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for i := range 8 {
		if ref := fmt.Sprintf("wk-%d", 10+i); !cluster.WaitForStatus("n1", ref, jobs.Done, 90*time.Second) {
			t.Errorf("%s: %+v", ref, cluster.Poll("n1", ref))
		}
	}
	if !cluster.WaitForStatus("n2", "wk-1", jobs.Done, 90*time.Second) {
		t.Errorf("%+v", cluster.Poll("n2", "wk-1"))
	}
	for task, n := range cluster.StartCounts() {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// settled tells whether the holder of a share counts it as settled.
func settled(cluster *fake.Cluster, share string) bool {
	n := cluster.Nodes[cluster.OwnerOf(share)]
	if n == nil {
		return false
	}
	v, ok := n.Controller.View("start")
	if !ok {
		return false
	}
	for _, s := range v.([]reconciliation.View) {
		if s.Shard == share {
			return s.Stage == "settled"
		}
	}
	return false
}

// A share went home from a live controller as from a dead one: every worker was greeted
// anew, and with a quarter of them silent what was claimed waited for half a minute.
func TestAShareGoesHomeWithoutAGreeting(t *testing.T) {
	back(t, func(cluster *fake.Cluster) {
		for i, h := range cluster.Hosts() {
			if i%4 == 0 {
				cluster.IsolateWorker(h, true)
			}
		}
		greets := cluster.ProbeCount()
		time.Sleep(2500 * time.Millisecond)
		if cluster.OwnerOf("n0") != "n0" || !settled(cluster, "n0") {
			t.Errorf("held by %s, settled %v", cluster.OwnerOf("n0"), settled(cluster, "n0"))
		}
		if n := cluster.ProbeCount() - greets; n > 0 {
			t.Errorf("%d workers were greeted", n)
		}
		v, _ := cluster.Nodes["n0"].Controller.View("handovers")
		if past := v.([]handover.Transfer); len(past) != 1 || past[0].Outcome != "went on here" || past[0].DurationSeconds > 2 {
			t.Errorf("it tells of %+v", past)
		}
		for _, h := range cluster.Hosts() {
			cluster.IsolateWorker(h, false)
		}
		whole(t, cluster)
	})
}

// The holder can't reach the share's workers, and its home can: they come there, and it does
// not wait for a hand-over that never comes.
func TestAHomeDoesNotWaitForAHolderThatItsWorkersCantReach(t *testing.T) {
	back(t, func(cluster *fake.Cluster) {
		cluster.CrashController("n0")
		cluster.SetPeerLink(fake.PeerLink{IsCut: true})
		for i, h := range cluster.Hosts() {
			if i%2 == 0 { // zone a, whose share is n0's
				cluster.CutLink("n1", h, true)
				cluster.CutLink("n2", h, true)
				time.Sleep(900 * time.Millisecond) // they do not all try at the same moment
			}
		}
		time.Sleep(4 * time.Second)
		cluster.StartController("n0")
		time.Sleep(tuning.TransferRequestTimeout - time.Second)
		if h := cluster.OwnerOf("n0"); h != "n0" {
			t.Errorf("it is still held by %s", h)
		}
	})
}

// Whatever fails between the giver's last answer and the taker's record, the share ends with
// one of the two, and goes on.
func TestAHandOverThatFails(t *testing.T) {
	for name, fail := range map[string]func(cluster *fake.Cluster){
		"a piece is lost":  func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{DropPieces: 1}) },
		"pieces come late": func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{Delay: 3 * time.Second}) },
		"the link is cut":  func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{IsCut: true}) },
		"the giver ends with it": func(cluster *fake.Cluster) {
			cluster.SetPeerLink(fake.PeerLink{Delay: time.Second})
			crash(cluster, 1200, "n1", "n2")
		},
		"the taker ends with it": func(cluster *fake.Cluster) {
			cluster.SetPeerLink(fake.PeerLink{Delay: time.Second})
			crash(cluster, 1200, "n0")
		},
		"the taker's write has no answer":  func(cluster *fake.Cluster) { cluster.Nodes["n0"].Conn.DropAnswers(3) },
		"the state service goes away":      func(cluster *fake.Cluster) { go outage(cluster, 700*time.Millisecond, 6*time.Second) },
		"it is away for the giver alone":   func(cluster *fake.Cluster) { refuse(cluster, cluster.OwnerOf("n0")) },
		"it is away for the taker alone":   func(cluster *fake.Cluster) { refuse(cluster, "n0") },
		"the giver hears of changes later": func(cluster *fake.Cluster) { cluster.Store.DelayWatch(cluster.OwnerOf("n0"), 2*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			back(t, func(cluster *fake.Cluster) {
				fail(cluster)
				time.Sleep(20 * time.Second)
				cluster.SetPeerLink(fake.PeerLink{})
				for _, n := range []string{"n0", "n1", "n2"} {
					cluster.Store.DelayWatch(n, 0)
					if cluster.Nodes[n] == nil {
						cluster.StartController(n)
					}
				}
				time.Sleep(8 * time.Second)
				if !settled(cluster, "n0") {
					t.Errorf("held by %s, not settled", cluster.OwnerOf("n0"))
				}
				whole(t, cluster)
			})
		})
	}
}

// Controllers that are told to end leave one after the other: each hands over what it holds,
// nobody is greeted and no task is started again.
func TestControllersLeaveOneAfterTheOther(t *testing.T) {
	back(t, func(cluster *fake.Cluster) {
		time.Sleep(3 * time.Second)
		greets := cluster.ProbeCount()
		for _, n := range []string{"n0", "n1", "n2"} {
			began := time.Now()
			cluster.StopController(n)
			if d := time.Since(began); d > 3*time.Second {
				t.Errorf("%s took %v to leave", n, d)
			}
			for _, share := range []string{"n0", "n1", "n2"} {
				if h := cluster.OwnerOf(share); h == n || !settled(cluster, share) {
					t.Errorf("without %s share %s is held by %s, settled %v", n, share, h, settled(cluster, share))
				}
			}
			time.Sleep(4 * time.Second)
			cluster.StartController(n)
			time.Sleep(8 * time.Second) // its share has changed hands four times in two minutes
			if h := cluster.OwnerOf(n); h != n {
				t.Errorf("%s is back, and %s holds its share", n, h)
			}
		}
		if n := cluster.ProbeCount() - greets; n > 0 {
			t.Errorf("%d workers were greeted", n)
		}
		whole(t, cluster)
	})
}

func crash(cluster *fake.Cluster, after int, names ...string) {
	time.Sleep(time.Duration(after) * time.Millisecond)
	for _, n := range names {
		cluster.CrashController(n)
	}
}

func outage(cluster *fake.Cluster, after, lasts time.Duration) {
	time.Sleep(after)
	cluster.Store.SetOutage(true)
	time.Sleep(lasts)
	cluster.Store.SetOutage(false)
}

func refuse(cluster *fake.Cluster, node string) {
	time.Sleep(700 * time.Millisecond)
	cluster.Store.RefuseNode(node, true)
	time.Sleep(8 * time.Second)
	cluster.Store.RefuseNode(node, false)
}
