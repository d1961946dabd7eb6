package controller_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
)

// The tasks of a cancelled job have stopped after 30 s, even if the controller that owns them is cut off
// from the key-value store and is the only one that reaches the worker.
func TestCancelledTasksStopInTime(t *testing.T) {
	for _, isCutOff := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner cut off from the store: %v", isCutOff), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				cluster.AddMachine("a", false)
				time.Sleep(4 * time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-9", jobs.Service, 2, 1), 0)
				time.Sleep(5 * time.Second)
				if len(cluster.RunningOn("wk-9/0")) != 1 {
					t.Fatal("the service does not run on exactly one machine")
				}
				// If isCutOff is set, the worker reaches only n0, and the store refuses n0.
				cutLinks(cluster, "i-000001", isCutOff, "n1", "n2")
				cluster.Store.RefuseNode("n0", isCutOff)
				if response := cluster.Cancel("n1", "wk-9"); response.Code != http.StatusOK || response.Status != jobs.Cancelled {
					t.Fatalf("the cancellation was answered %+v", response)
				}
				time.Sleep(30 * time.Second)
				checkNotRunning(t, cluster, "wk-9", 1)
				if response := cluster.Poll("n2", "wk-9"); response.Status != jobs.Cancelled {
					t.Errorf("a poll after the cancellation was answered %+v", response)
				}
			})
		})
	}
}

// A worker still fetches a task's image when the job is cancelled, and the stop takes a while to reach it. Guards
// against a heartbeat that says that the workers were notified, sent before any stop was: the peer would confirm the
// cancellation, and the task would start.
func TestWorkersCountAsNotifiedOnlyAfterStop(t *testing.T) {
	const stopDelay = 100 * time.Millisecond
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.SetImageFetchTime(20 * time.Second)
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-9", jobs.Array, 4, 1), time.Second)
		time.Sleep(4 * time.Second)
		if owner := cluster.OwnerOf("n0"); owner != "n0" || len(cluster.CommandedHosts("wk-9/0")) != 1 {
			t.Fatalf("the task was not sent to the machine of n0, whose shard is owned by %q", owner)
		}
		cluster.DelayInbound("i-000001", stopDelay)
		var cancellation sync.WaitGroup
		cancellation.Go(func() { cluster.Cancel("n1", "wk-9") })
		defer cancellation.Wait()
		for !cluster.IsCancelled("wk-9") {
			time.Sleep(time.Millisecond)
		}
		storedAt := time.Now()
		for !announcesNotifiedWorkers(cluster, "n0", "wk-9") {
			time.Sleep(50 * time.Microsecond)
		}
		if elapsed := time.Since(storedAt); elapsed < stopDelay {
			t.Errorf("n0 announces after %v that its workers were notified, but a stop takes %v", elapsed, stopDelay)
		}
	})
}

// announcesNotifiedWorkers reports whether a controller's heartbeat says that its workers were notified of the
// cancellation of a job.
func announcesNotifiedWorkers(cluster *fake.Cluster, node, ref string) bool {
	heartbeat, _ := cluster.Nodes[node].Controller.PeerHeartbeat()
	return slices.ContainsFunc(heartbeat.CancelledJobs, func(job peer.CancelledJob) bool { return job.Ref == ref && job.WorkersNotified })
}
