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

// gangCount is the number of gangs that run in a scenario, in addition to one array.
const gangCount = 8

func gangRef(i int) string { return fmt.Sprintf("wk-%d", 10+i) }

const arrayRef = "wk-1"

// runFailback runs a scenario that begins when n0 starts again after a crash: another controller
// owns n0's shard, and tasks run on all machines. It fails the test if an invariant is violated.
func runFailback(t *testing.T, scenario func(cluster *fake.Cluster)) {
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
		submitJobs(t, cluster)
		time.Sleep(6 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(9 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner == "n0" || owner == "" {
			t.Fatalf("the shard of the crashed controller is owned by %q", owner)
		}
		cluster.StartController("n0")
		scenario(cluster)
		for _, violation := range cluster.Violations() {
			t.Error("invariant violated:", violation)
		}
		stop()
		synctest.Wait()
	})
}

func submitJobs(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for i := range gangCount {
		gang := fake.JobSpec(gangRef(i), jobs.Gang, 3, 3)
		gang.Urgency = "high"
		if response := cluster.Submit("n1", gang, 40*time.Second); response.Code != 201 {
			t.Fatalf("%+v", response)
		}
	}
	array := fake.JobSpec(arrayRef, jobs.Array, 60, 1)
	if response := cluster.Submit("n1", array, 30*time.Second); response.Code != 201 {
		t.Fatalf("%+v", response)
	}
}

// checkAllDoneOnce checks that all jobs complete and that each of their tasks was started once.
func checkAllDoneOnce(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for i := range gangCount {
		if ref := gangRef(i); !cluster.WaitForStatus("n1", ref, jobs.Done, 90*time.Second) {
			t.Errorf("%s: %+v", ref, cluster.Poll("n1", ref))
		}
	}
	if !cluster.WaitForStatus("n2", arrayRef, jobs.Done, 90*time.Second) {
		t.Errorf("%+v", cluster.Poll("n2", arrayRef))
	}
	for task, starts := range cluster.StartCounts() {
		if starts != 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
}

// isReconciled reports whether a shard's owner lists the shard as reconciled.
func isReconciled(cluster *fake.Cluster, shard string) bool {
	node := cluster.Nodes[cluster.OwnerOf(shard)]
	if node == nil {
		return false
	}
	view, ok := node.Controller.View("start")
	if !ok {
		return false
	}
	for _, shardView := range view.([]reconciliation.View) {
		if shardView.Shard == shard {
			return shardView.Stage == "settled"
		}
	}
	return false
}

// A transfer from a live owner must not probe the workers as recovery from a crash does: with a
// quarter of the workers not responding, the claimed tasks would wait for half a minute.
func TestTransferHomeWithoutProbing(t *testing.T) {
	runFailback(t, func(cluster *fake.Cluster) {
		for i, host := range cluster.Hosts() {
			if i%4 == 0 {
				cluster.IsolateWorker(host, true)
			}
		}
		probesBefore := cluster.ProbeCount()
		time.Sleep(2500 * time.Millisecond)
		if cluster.OwnerOf("n0") != "n0" || !isReconciled(cluster, "n0") {
			t.Errorf("owned by %s, reconciled %v", cluster.OwnerOf("n0"), isReconciled(cluster, "n0"))
		}
		if probes := cluster.ProbeCount() - probesBefore; probes > 0 {
			t.Errorf("%d workers were probed", probes)
		}
		view, _ := cluster.Nodes["n0"].Controller.View("handovers")
		transfers := view.([]handover.Transfer)
		if len(transfers) != 1 || transfers[0].Outcome != handover.OutcomeApplied || transfers[0].DurationSeconds > 2 {
			t.Errorf("listed transfers: %+v", transfers)
		}
		for _, host := range cluster.Hosts() {
			cluster.IsolateWorker(host, false)
		}
		checkAllDoneOnce(t, cluster)
	})
}

// The owner cannot reach the shard's workers and the home controller can. The workers' heartbeats
// arrive at the home controller, which must not wait for a transfer that would never come.
func TestHomeDoesNotWaitForOwnerThatCannotReachWorkers(t *testing.T) {
	runFailback(t, func(cluster *fake.Cluster) {
		cluster.CrashController("n0")
		cluster.SetPeerLink(fake.PeerLink{IsCut: true})
		for i, host := range cluster.Hosts() {
			if i%2 == 0 { // zone a, whose workers belong to n0's shard
				cluster.CutLink("n1", host, true)
				cluster.CutLink("n2", host, true)
				time.Sleep(900 * time.Millisecond) // so that the workers do not all retry at once
			}
		}
		time.Sleep(4 * time.Second)
		cluster.StartController("n0")
		time.Sleep(tuning.TransferRequestTimeout - time.Second)
		if owner := cluster.OwnerOf("n0"); owner != "n0" {
			t.Errorf("the shard is still owned by %s", owner)
		}
	})
}

// After any failure between the old owner's last response and the recipient's acquisition, one of
// the two controllers owns the shard and has reconciled it.
func TestShardIsOwnedAndReconciledAfterFailureDuringTransfer(t *testing.T) {
	for name, injectFault := range map[string]func(cluster *fake.Cluster){
		"chunk lost":     func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{ChunksToDrop: 1}) },
		"chunks delayed": func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{Delay: 3 * time.Second}) },
		"link cut":       func(cluster *fake.Cluster) { cluster.SetPeerLink(fake.PeerLink{IsCut: true}) },
		"old owner crashes": func(cluster *fake.Cluster) {
			cluster.SetPeerLink(fake.PeerLink{Delay: time.Second})
			crashAfter(cluster, 1200*time.Millisecond, "n1", "n2")
		},
		"recipient crashes": func(cluster *fake.Cluster) {
			cluster.SetPeerLink(fake.PeerLink{Delay: time.Second})
			crashAfter(cluster, 1200*time.Millisecond, "n0")
		},
		"acquisition without response": func(cluster *fake.Cluster) { cluster.Nodes["n0"].Conn.DropResponses(3) },
		"key-value store outage": func(cluster *fake.Cluster) {
			go injectStoreOutage(cluster, 700*time.Millisecond, 6*time.Second)
		},
		"old owner without key-value store": func(cluster *fake.Cluster) { refuseStoreAccess(cluster, cluster.OwnerOf("n0")) },
		"recipient without key-value store": func(cluster *fake.Cluster) { refuseStoreAccess(cluster, "n0") },
		"old owner's watch delayed": func(cluster *fake.Cluster) {
			cluster.Store.DelayWatch(cluster.OwnerOf("n0"), 2*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFailback(t, func(cluster *fake.Cluster) {
				injectFault(cluster)
				time.Sleep(20 * time.Second)
				removeFaults(cluster)
				time.Sleep(8 * time.Second)
				if !isReconciled(cluster, "n0") {
					t.Errorf("owned by %s, not reconciled", cluster.OwnerOf("n0"))
				}
				checkAllDoneOnce(t, cluster)
			})
		})
	}
}

// Controllers that shut down one after the other transfer their shards. No worker is probed and no
// task is started again.
func TestShutdownTransfersShards(t *testing.T) {
	controllers := []string{"n0", "n1", "n2"}
	runFailback(t, func(cluster *fake.Cluster) {
		time.Sleep(3 * time.Second)
		probesBefore := cluster.ProbeCount()
		for _, leavingController := range controllers {
			stoppedAt := time.Now()
			cluster.StopController(leavingController)
			if took := time.Since(stoppedAt); took > 3*time.Second {
				t.Errorf("the shutdown of %s took %v", leavingController, took)
			}
			for _, shard := range controllers {
				if owner := cluster.OwnerOf(shard); owner == leavingController || !isReconciled(cluster, shard) {
					t.Errorf("without %s shard %s is owned by %s, reconciled %v", leavingController, shard, owner, isReconciled(cluster, shard))
				}
			}
			time.Sleep(4 * time.Second)
			cluster.StartController(leavingController)
			time.Sleep(8 * time.Second) // the return of its shard may be delayed because the shard's owner changed four times in two minutes
			if owner := cluster.OwnerOf(leavingController); owner != leavingController {
				t.Errorf("%s has started again, but %s owns its shard", leavingController, owner)
			}
		}
		if probes := cluster.ProbeCount() - probesBefore; probes > 0 {
			t.Errorf("%d workers were probed", probes)
		}
		checkAllDoneOnce(t, cluster)
	})
}

func crashAfter(cluster *fake.Cluster, delay time.Duration, controllers ...string) {
	time.Sleep(delay)
	for _, controller := range controllers {
		cluster.CrashController(controller)
	}
}

func injectStoreOutage(cluster *fake.Cluster, delay, duration time.Duration) {
	time.Sleep(delay)
	cluster.Store.SetOutage(true)
	time.Sleep(duration)
	cluster.Store.SetOutage(false)
}

func refuseStoreAccess(cluster *fake.Cluster, controller string) {
	time.Sleep(700 * time.Millisecond)
	cluster.Store.RefuseNode(controller, true)
	time.Sleep(8 * time.Second)
	cluster.Store.RefuseNode(controller, false)
}

// removeFaults removes all faults and starts the controllers that have crashed.
func removeFaults(cluster *fake.Cluster) {
	cluster.SetPeerLink(fake.PeerLink{})
	for _, controller := range []string{"n0", "n1", "n2"} {
		cluster.Store.DelayWatch(controller, 0)
		if cluster.Nodes[controller] == nil {
			cluster.StartController(controller)
		}
	}
}
