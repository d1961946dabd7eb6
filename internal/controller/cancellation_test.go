package controller_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
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
