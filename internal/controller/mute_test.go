package controller_test

import (
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// Some machines reach no controller, while direct commands reach them: nothing more is planned
// there, what they have done is known soon, cancelled tasks are stopped, and what ran is started
// elsewhere only when their leases are over. A minute of it is no reason to return them.
func TestMachinesWithNoOutbound(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 6, 1), 8*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 4, 1), time.Minute)
		time.Sleep(3 * time.Second)
		hosts := cluster.Hosts()
		for _, h := range hosts {
			cluster.BlockOutbound(h, true)
		}
		addMachines(cluster, 4) // 5 s
		requireAccepted(t, cluster, "n2", fake.JobSpec("wk-3", jobs.Array, 8, 1), 2*time.Second)
		requireDone(t, cluster, "n2", "wk-3", 6*time.Second) // no lease is over by then
		if response := cluster.Poll("n1", "wk-1"); response.Status != jobs.Done {
			t.Errorf("done on machines that do not report, and called %+v", response)
		}
		if response := cluster.Cancel("n0", "wk-2"); response.Status != jobs.Cancelled {
			t.Fatalf("%+v", response)
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 4 {
			for _, h := range cluster.RunningOn(jobs.TaskName("wk-2", i)) {
				t.Errorf("wk-2/%d is still on %s", i, h)
			}
		}
		time.Sleep(45 * time.Second)
		for _, h := range hosts {
			if !cluster.IsUp(h) {
				t.Fatalf("%s was returned after a minute", h)
			}
			cluster.BlockOutbound(h, false)
		}
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-4", jobs.Array, 32, 1), 2*time.Second) // all machines at once
		requireDone(t, cluster, "n0", "wk-4", 8*time.Second)
		for _, h := range hosts[:2] {
			cluster.BlockOutbound(h, true)
		}
		time.Sleep(3 * time.Minute)
		if cluster.IsUp(hosts[0]) || cluster.IsUp(hosts[1]) {
			t.Error("machines that reach no controller for minutes are still paid")
		}
	})
}

// A task on a machine that reaches no controller starts elsewhere when its lease is over, and not
// before; in a later session of the machine nothing of before is left, and that is asked for.
func TestTasksOnMachinesWithNoOutbound(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 3)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 12, 1), 40*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 4, 3), 40*time.Second)
		time.Sleep(4 * time.Second)
		for i, h := range cluster.Hosts() {
			if i < 2 {
				cluster.BlockOutbound(h, true)
			}
		}
		addMachines(cluster, 6)
		time.Sleep(8 * time.Second) // their leases of 10 s are over soon
		for _, ref := range []string{"wk-1", "wk-2"} {
			requireDone(t, cluster, "n2", ref, 60*time.Second)
		}
	})
}
