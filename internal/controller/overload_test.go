package controller_test

import (
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A gang that fits on no machines and a gang that waits for its team's quota must not reserve capacity,
// since all other jobs would then wait, too.
func TestNoReservationForUnplaceableGangs(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4)
		runningJob, waitingGang := fake.JobSpec("wk-3", jobs.Array, 1, 4), fake.JobSpec("wk-2", jobs.Gang, 1, 4)
		runningJob.Team, waitingGang.Team = "capped", "capped"
		requireAccepted(t, cluster, "n0", runningJob, 10*time.Minute)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Gang, 40, 3), time.Second) // fits on no machines
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", waitingGang, time.Second)
		time.Sleep(160 * time.Second)
		for i := range 20 {
			requireAccepted(t, cluster, "n1", fake.JobSpec(jobRef(10+i), jobs.Gang, 1, 3), 2*time.Second)
			requireDone(t, cluster, "n2", jobRef(10+i), 12*time.Second)
		}
	})
}

// In an overload of small gangs, a large gang and an array of a class without objectives both start
// within four minutes. The small gangs must not always take the capacity that becomes free for the large
// gang, and must not always precede the array.
func TestLargeGangStartsWithinFourMinutesOfOverload(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Cfg.Cluster.Objectives = []config.Objective{{Kind: config.ObjectiveFinished, Class: "c", WithinSeconds: 60}}
		restartControllers(cluster, time.Second)
		time.Sleep(3 * time.Second)
		for range 6 {
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		setSpareMachines(t, cluster, "n1", 9)
		submittedCount := 0
		submitGangsFor := func(period time.Duration) {
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(3 * time.Second) {
				submittedCount++
				spec := fake.JobSpec(jobRef(1000+submittedCount), jobs.Gang, 1+submittedCount%2, 3)
				spec.Urgency = "high"
				requireAccepted(t, cluster, controllerName(submittedCount), spec, 14*time.Second)
			}
		}
		submitGangsFor(30 * time.Second)
		largeGang, lowPriorityArray := fake.JobSpec("wk-1", jobs.Gang, 5, 3), fake.JobSpec("wk-2", jobs.Array, 3, 3)
		largeGang.Urgency, largeGang.OneZone = "high", true
		lowPriorityArray.Urgency, lowPriorityArray.Class = "idle", "other"
		requireAccepted(t, cluster, "n0", largeGang, 5*time.Second)
		requireAccepted(t, cluster, "n1", lowPriorityArray, 5*time.Second)
		submitGangsFor(235 * time.Second)
		if counts := cluster.StartCounts(); counts["wk-1/0"] == 0 || counts["wk-2/0"] == 0 {
			t.Errorf("after four minutes the large gang has started %d times, the array %d times", counts["wk-1/0"], counts["wk-2/0"])
		}
	})
}

// Jobs of high and normal priority need more than the capacity, and the links are slow. Jobs of high
// priority go first, the other tasks start in bounded time, no task is preempted again and again, and all jobs
// complete.
func TestAllJobsCompleteInOverloadOverSlowLinks(t *testing.T) {
	const gangCount = 40
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 4) // with 16 CPUs in total
		slowAllLinks(cluster)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-900", jobs.Array, 30, 1), 15*time.Second)
		submittedAt := time.Now()
		var startedAt time.Time
		for i := range gangCount { // the gangs use half to all of the capacity for four minutes
			spec := fake.JobSpec(jobRef(i+1), jobs.Gang, 4, 1)
			spec.Urgency = "high"
			spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 5, 1
			requireAccepted(t, cluster, controllerName(i), spec, 12*time.Second)
			time.Sleep(6 * time.Second)
			if startedAt.IsZero() && cluster.Poll("n1", "wk-900").ActiveTasks > 0 {
				startedAt = time.Now()
			}
		}
		if startedAt.IsZero() || startedAt.Sub(submittedAt) > 4*time.Minute {
			t.Errorf("the array starts after %v", startedAt.Sub(submittedAt))
		}
		for i := range gangCount {
			requireDone(t, cluster, "n2", jobRef(i+1), 60*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-900", 120*time.Second)
		// Each gang starts once and preempts four tasks at most; no other tasks are started again.
		gangStarts, arrayStarts := 0, 0
		for task, count := range cluster.StartCounts() {
			if ref, _, _ := jobs.ParseTaskName(task); ref == "wk-900" {
				arrayStarts += count
			} else {
				gangStarts += count
			}
		}
		if gangStarts != 160 || arrayStarts > 30+160 {
			t.Errorf("160 tasks of gangs were started %d times, 30 of the array %d times", gangStarts, arrayStarts)
		}
	})
}

// slowAllLinks delays the watches of the store, commands to workers and peer messages.
func slowAllLinks(cluster *fake.Cluster) {
	for _, node := range controllerNames {
		cluster.Store.DelayWatch(node, 700*time.Millisecond)
	}
	for _, host := range cluster.Hosts() {
		cluster.DelayInbound(host, 800*time.Millisecond)
	}
	cluster.SetPeerLink(fake.PeerLink{Delay: 500 * time.Millisecond})
}
