package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestFaultyMachineIsReleased(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false).FailTasks = true
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-11", jobs.Array, 8, 1), 3*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-12", jobs.Array, 8, 1), 3*time.Second)
		requireDone(t, cluster, "n0", "wk-11", time.Minute)
		requireDone(t, cluster, "n0", "wk-12", time.Minute)
		if cluster.WorkerCount() > 1 {
			t.Errorf("%d machines are left", cluster.WorkerCount())
		}
	})
}

func TestFaultyJobsBesideFaultyMachine(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		// none is returned for being idle
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 8 }); err != nil {
			t.Fatal(err)
		}
		sick := cluster.AddMachine("a", false)
		sick.FailTasks = true
		var sound []string
		for range 4 {
			sound = append(sound, cluster.AddMachine("a", false).Host)
		}
		time.Sleep(5 * time.Second)
		cluster.FaultyJobs["wk-1"], cluster.FaultyJobs["wk-2"] = true, true
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 6, 1), 2*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 3, 1), 2*time.Second)
		for i := range 6 {
			// so many that the sick machine, too, gets some
			requireAccepted(t, cluster, "n1", fake.JobSpec(fmt.Sprintf("wk-1%d", i), jobs.Array, 18, 1), 4*time.Second)
			time.Sleep(6 * time.Second)
		}
		for i := range 6 {
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-1%d", i), 60*time.Second)
		}
		time.Sleep(30 * time.Second)
		for _, h := range sound {
			if !cluster.IsUp(h) {
				t.Errorf("%s works and was given up for broken jobs", h)
			}
		}
		if cluster.IsUp(sick.Host) {
			t.Error("the sick machine stays in use")
		}
		tries := cluster.StartCounts()["wk-1/0"] + cluster.StartCounts()["wk-1/1"]
		time.Sleep(40 * time.Second)
		if n := cluster.StartCounts()["wk-1/0"] + cluster.StartCounts()["wk-1/1"] - tries; n > 2 {
			t.Errorf("a job that is blamed was tried %d times in 40 s", n)
		}
		if response := cluster.Cancel("n2", "wk-1"); response.Status != jobs.Cancelled {
			t.Errorf("its cancellation was answered %+v", response)
		}
	})
}
