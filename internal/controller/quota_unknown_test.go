package controller_test

import (
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// These scenarios fill a team's quota with the tasks of a job, cancel the job while the machines do not
// receive the stop commands, and change the owner of the shard. The cancelled job's record is deleted by
// then, so the new owner does not know how many resources the tasks use. The tasks must count against
// the quota until they have stopped. The simulated workers check the quota.

// fillQuotaAndCancel runs a job that uses the whole quota, blocks inbound messages to the job's machines
// and cancels the job. It submits a second job of the team, which waits for the quota. It returns the
// owner of the shard that runs the cancelled tasks, and the tasks' machines.
func fillQuotaAndCancel(t *testing.T, cluster *fake.Cluster, kind jobs.Kind) (owner string, hosts []string) {
	t.Helper()
	addMachines(cluster, 12)
	requireAccepted(t, cluster, "n0", quotaJob("wk-1", kind, 4), 10*time.Minute)
	if !cluster.WaitForStatus("n0", "wk-1", jobs.Running, 30*time.Second) {
		t.Fatal("the job that fills the quota does not run")
	}
	setSpareMachines(t, cluster, "n0", 12)
	// The other machines are partly used, so that the second job's tasks are placed on them and not on the
	// machines where the cancelled tasks stop.
	requireAccepted(t, cluster, "n0", fake.JobSpec("wk-3", jobs.Array, 11, 3), 10*time.Minute)
	time.Sleep(8 * time.Second)
	for i := range 4 {
		runningOn := cluster.RunningOn(jobs.TaskName("wk-1", i))
		if len(runningOn) != 1 {
			t.Fatalf("task %d runs on %v", i, runningOn)
		}
		owner = cluster.OwnerOf(cluster.ShardOf(runningOn[0]))
		cluster.BlockInbound(runningOn[0], true)
		hosts = append(hosts, runningOn[0])
	}
	time.Sleep(2 * time.Second) // until answers in transit have arrived
	otherController := nextController(owner)
	cancelWithRetries(t, cluster, otherController, "wk-1")
	requireAccepted(t, cluster, otherController, quotaJob("wk-2", jobs.Array, 4), 10*time.Second)
	time.Sleep(time.Second)
	return owner, hosts
}

// nextController returns the controller that follows owner in the order of their names, or the first one
// after the last.
func nextController(owner string) string { return []string{"n1", "n2", "n0"}[owner[1]-'0'] }

// forEachKind runs a scenario for each kind of job that ends by itself: arrays and gangs.
func forEachKind(t *testing.T, scenario func(t *testing.T, cluster *fake.Cluster, kind jobs.Kind)) {
	t.Helper()
	for _, kind := range []jobs.Kind{jobs.Array, jobs.Gang} {
		t.Run(string(kind), func(t *testing.T) {
			runWithPeersConfigured(t, configureLongLease, func(t *testing.T, cluster *fake.Cluster) { scenario(t, cluster, kind) })
		})
	}
}

func configureLongLease(cluster *fake.Cluster) {
	cluster.Cfg.Cluster.Workers.LeaseSeconds, cluster.Cfg.Cluster.Workers.CancelSeconds = 25, 45
}

// requireQuotaReleased requires that the quota is available again as soon as the cancelled tasks have
// certainly stopped, which is when the leases of their workers have expired.
func requireQuotaReleased(t *testing.T, cluster *fake.Cluster, node string) {
	t.Helper()
	const margin = 10 * time.Second // for the acquisition of the shard, the workers' reports and the start of the tasks
	limit := cluster.Cfg.PreviousOwnerExpiryDelay() + margin
	if !cluster.WaitForStatus(node, "wk-2", jobs.Running, limit) && cluster.Poll(node, "wk-2").Status != jobs.Done {
		t.Errorf("the quota is not available %v after the change of owner", limit)
	}
	requireDone(t, cluster, node, "wk-2", 2*time.Minute)
}

// The owner of the cancelled tasks shuts down and transfers its shard: the recipient continues from a
// snapshot, without reports from the workers.
func TestCancelledTasksUseQuotaAfterTransfer(t *testing.T) {
	forEachKind(t, func(t *testing.T, cluster *fake.Cluster, kind jobs.Kind) {
		owner, _ := fillQuotaAndCancel(t, cluster, kind)
		cluster.StopController(owner)
		requireQuotaReleased(t, cluster, nextController(owner))
	})
}

// The owner of the cancelled tasks crashes. The workers receive the new owner's messages, but three seconds
// late: the new owner knows their tasks before the stop commands reach them.
func TestCancelledTasksUseQuotaAfterFailover(t *testing.T) {
	forEachKind(t, func(t *testing.T, cluster *fake.Cluster, kind jobs.Kind) {
		owner, hosts := fillQuotaAndCancel(t, cluster, kind)
		cluster.CrashController(owner)
		for _, host := range hosts {
			cluster.BlockInbound(host, false)
			cluster.DelayInbound(host, 3*time.Second)
		}
		requireQuotaReleased(t, cluster, nextController(owner))
	})
}
