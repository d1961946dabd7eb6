package controller_test

import (
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A machine on which the tasks of several jobs fail is released, and the jobs complete on another machine.
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

// Two jobs fail on every machine, and one machine fails every task. The faulty machine is released, the
// healthy machines are not, and the faulty jobs are attempted only rarely.
func TestFaultyJobsDoNotBlameHealthyMachines(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		setSpareMachines(t, cluster, "n0", 8)
		faultyMachine := cluster.AddMachine("a", false)
		faultyMachine.FailTasks = true
		var healthyHosts []string
		for range 4 {
			healthyHosts = append(healthyHosts, cluster.AddMachine("a", false).Host)
		}
		time.Sleep(5 * time.Second)
		cluster.FaultyJobs["wk-1"], cluster.FaultyJobs["wk-2"] = true, true
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-1", jobs.Array, 6, 1), 2*time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Gang, 3, 1), 2*time.Second)
		for i := range 6 {
			// enough tasks for all machines, so that the faulty machine gets some of them
			requireAccepted(t, cluster, "n1", fake.JobSpec(jobRef(10+i), jobs.Array, 18, 1), 4*time.Second)
			time.Sleep(6 * time.Second)
		}
		for i := range 6 {
			requireDone(t, cluster, "n1", jobRef(10+i), 60*time.Second)
		}
		time.Sleep(30 * time.Second)
		for _, host := range healthyHosts {
			if !cluster.IsUp(host) {
				t.Errorf("%s is healthy, but was released because of faulty jobs", host)
			}
		}
		if cluster.IsUp(faultyMachine.Host) {
			t.Error("the faulty machine was not released")
		}
		countAttempts := func() int { return cluster.StartCounts()["wk-1/0"] + cluster.StartCounts()["wk-1/1"] }
		attemptsBefore := countAttempts()
		time.Sleep(40 * time.Second)
		if count := countAttempts() - attemptsBefore; count > 2 {
			t.Errorf("a job known to be faulty was attempted %d times in 40 s", count)
		}
		if response := cluster.Cancel("n2", "wk-1"); response.Status != jobs.Cancelled {
			t.Errorf("the cancellation of a faulty job was answered %+v", response)
		}
	})
}

// recoveryCase is a case of TestJobRunsOnMachineThatRecovered.
type recoveryCase struct {
	name  string
	kind  jobs.Kind
	tasks int
	// faultyFor is how long the machine fails every task.
	faultyFor time.Duration
}

// Guards against the fault of docs/incidents/2026-12-machine-barred-for-good.md: a job bound to a zone was not
// tried again on the zone's only machine with room after it had failed there once.
func TestJobRunsOnMachineThatRecovered(t *testing.T) {
	for _, c := range []recoveryCase{
		{"gang of one task", jobs.Gang, 1, 8 * time.Second},
		{"gang", jobs.Gang, 4, 8 * time.Second},
		{"gang, faulty for long", jobs.Gang, 4, 165 * time.Second},
		{"array", jobs.Array, 1, 8 * time.Second},
		{"array, faulty for long", jobs.Array, 6, 165 * time.Second},
		{"gang, faulty for minutes", jobs.Gang, 1, 400 * time.Second},
		// Twelve failures on one machine are attributed to the job, which is paused. Its pauses were up to 5 min long.
		{"paused gang", jobs.Gang, 4, 260 * time.Second},
		{"paused array", jobs.Array, 6, 260 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { checkRecovery(t, cluster, c) })
		})
	}
}

func checkRecovery(t *testing.T, cluster *fake.Cluster, c recoveryCase) {
	t.Helper()
	setSpareMachines(t, cluster, "n0", 8)
	host := cluster.AddMachine("a", false).Host
	cluster.AddMachine("b", false) // it has room, but the job may not run there
	time.Sleep(5 * time.Second)
	cluster.FailTasksOn(host, true)
	zone := "a"
	spec := fake.JobSpec("wk-1", c.kind, c.tasks, 1)
	spec.Zone = &zone
	requireAccepted(t, cluster, "n0", spec, time.Second)
	time.Sleep(c.faultyFor)
	if len(cluster.StartCounts()) == 0 {
		t.Fatal("the job was never tried")
	}
	cluster.FailTasksOn(host, false)
	requireDone(t, cluster, "n1", spec.Ref, maxWait)
}
