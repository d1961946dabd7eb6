package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestCancelledTasksStopInTime(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder cut from the state service: %v", cut), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				cluster.AddMachine("a", false)
				time.Sleep(4 * time.Second)
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-9", jobs.Service, 2, 1), 0)
				time.Sleep(5 * time.Second)
				if len(cluster.RunningOn("wk-9/0")) != 1 {
					t.Fatal("the service does not run")
				}
				// The worker reaches nobody but the controller that is cut off.
				for _, n := range []string{"n1", "n2"} {
					cluster.CutLink(n, "i-000001", cut)
				}
				cluster.Store.RefuseNode("n0", cut)
				if response := cluster.Cancel("n1", "wk-9"); response.Code != 200 || response.Status != jobs.Cancelled {
					t.Fatalf("cancellation answered %+v", response)
				}
				time.Sleep(30 * time.Second)
				if on := cluster.RunningOn("wk-9/0"); len(on) > 0 {
					t.Errorf("still on %v after the time for cancellations", on)
				}
				if response := cluster.Poll("n2", "wk-9"); response.Status != jobs.Cancelled {
					t.Errorf("poll says %+v", response)
				}
			})
		})
	}
}
