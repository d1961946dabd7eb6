package controller_test

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A gang that no machines can hold, and one that waits for its team's limit, keep no room:
// the others would wait with them.
func TestNoReservationForUnplaceableGangs(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		never, limited, holds := fake.JobSpec("wk-1", jobs.Gang, 40, 3), fake.JobSpec("wk-2", jobs.Gang, 1, 4), fake.JobSpec("wk-3", jobs.Array, 1, 4)
		limited.Team, holds.Team = "capped", "capped"
		requireAccepted(t, cluster, "n0", holds, 10*time.Minute)
		requireAccepted(t, cluster, "n0", never, time.Second)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", limited, time.Second)
		time.Sleep(160 * time.Second)
		for i := range 20 {
			requireAccepted(t, cluster, "n1", fake.JobSpec(fmt.Sprintf("wk-%d", 10+i), jobs.Gang, 1, 3), 2*time.Second)
			requireDone(t, cluster, "n2", fmt.Sprintf("wk-%d", 10+i), 12*time.Second)
		}
	})
}

// In an overload of small gangs the room of a large one was taken each time, and an array
// that nothing is asked of was behind all of them: both begin within four minutes.
func TestLargeGangStartsWithinFourMinutesOfOverload(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.Objectives = []config.Objective{{Kind: config.ObjectiveFinished, Class: "c", WithinSeconds: 60}}
		restartControllers(cluster, time.Second)
		time.Sleep(3 * time.Second)
		for range 6 {
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		if err := cluster.ChangeSettings("n1", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
			t.Fatal(err)
		}
		n := 0
		flood := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(3 * time.Second) {
				n++
				s := fake.JobSpec(fmt.Sprintf("wk-%d", 1000+n), jobs.Gang, 1+n%2, 3)
				s.Urgency = "high"
				requireAccepted(t, cluster, fmt.Sprintf("n%d", n%3), s, 14*time.Second)
			}
		}
		flood(30 * time.Second)
		large, low := fake.JobSpec("wk-1", jobs.Gang, 5, 3), fake.JobSpec("wk-2", jobs.Array, 3, 3)
		large.Urgency, large.OneZone = "high", true
		low.Urgency, low.Class = "idle", "other"
		requireAccepted(t, cluster, "n0", large, 5*time.Second)
		requireAccepted(t, cluster, "n1", low, 5*time.Second)
		flood(235 * time.Second)
		if at := cluster.StartCounts(); at["wk-1/0"] == 0 || at["wk-2/0"] == 0 {
			t.Errorf("after four minutes the large gang has started %d times, the array %d times", at["wk-1/0"], at["wk-2/0"])
		}
	})
}

// There is more work than room, urgent and not, over slow links: urgent work goes first, the other
// begins in bounded time, nothing is stopped again and again, and all ends.
func TestOverloadOverSlowLinks(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4) // 16 places
		for _, n := range []string{"n0", "n1", "n2"} {
			cluster.Store.DelayWatch(n, 700*time.Millisecond)
		}
		for _, h := range cluster.Hosts() {
			cluster.DelayInbound(h, 800*time.Millisecond)
		}
		cluster.SetPeerLink(fake.PeerLink{Delay: 500 * time.Millisecond})
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-900", jobs.Array, 30, 1), 15*time.Second)
		begun := time.Now()
		var first time.Time
		for k := range 40 { // urgent gangs take half to all of the room for four minutes
			s := fake.JobSpec(fmt.Sprintf("wk-%d", k+1), jobs.Gang, 4, 1)
			s.Urgency = "high"
			s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = 5, 1
			requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), s, 12*time.Second)
			time.Sleep(6 * time.Second)
			if first.IsZero() && cluster.Poll("n1", "wk-900").ActiveTasks > 0 {
				first = time.Now()
			}
		}
		if first.IsZero() || first.Sub(begun) > 4*time.Minute {
			t.Errorf("the other work begins after %v", first.Sub(begun))
		}
		for k := range 40 {
			requireDone(t, cluster, "n2", fmt.Sprintf("wk-%d", k+1), 60*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-900", 120*time.Second)
		// Each gang starts once and stops four tasks at the most: nothing else is started again.
		urgent, other := 0, 0
		for task, n := range cluster.StartCounts() {
			if ref, _, _ := jobs.ParseTask(task); ref == "wk-900" {
				other += n
			} else {
				urgent += n
			}
		}
		if urgent != 160 || other > 30+160 {
			t.Errorf("160 urgent tasks were started %d times, 30 others %d times", urgent, other)
		}
	})
}
