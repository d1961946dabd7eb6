package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestTeamNeverExceedsQuota(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 3 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(4 * time.Second)
		for i, node := range controllerNames {
			requireAccepted(t, cluster, node, quotaJob(jobRef(20+i), jobs.Array, 6), 5*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-20", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-21", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-22", 2*time.Minute)
		if response := cluster.Submit("n0", quotaJob("wk-23", jobs.Gang, 5), time.Second); response.Code != http.StatusUnprocessableEntity {
			t.Errorf("a gang above the quota was answered %+v", response)
		}
	})
}

func TestTeamReclaimsGuarantee(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-50", jobs.Array, 4, 1), time.Minute)
		time.Sleep(4 * time.Second)
		spec := fake.JobSpec("wk-51", jobs.Array, 2, 1)
		spec.Team = "sure"
		requireAccepted(t, cluster, "n1", spec, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-51", 20*time.Second)
	})
}

// A job of a team with a quota gets idle machines of all shards. If it were limited to one shard, it would
// wait while that shard is full, and the idle machines of the other shards would keep the autoscaler from
// adding any.
func TestQuotaLimitedJobGetsIdleMachinesOfOtherShards(t *testing.T) {
	for _, kind := range []jobs.Kind{jobs.Gang, jobs.Array} {
		runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachinesPerController(cluster, 1)
			time.Sleep(5 * time.Second)
			for i := range 3 { // each shard has room for one more task
				requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(10+i), jobs.Array, 3, 1), 4*time.Minute)
			}
			time.Sleep(4 * time.Second)
			cluster.AddMachine("b", false)
			time.Sleep(2 * time.Second)
			requireAccepted(t, cluster, "n0", quotaJob("wk-20", kind, 4), 4*time.Second)
			requireDone(t, cluster, "n1", "wk-20", 14*time.Second) // would take longer with one task at a time
		})
	}
}

// A quota is shared by all shards. A team with a quota of four CPUs uses all four wherever there is
// capacity, and its gangs get the part of the quota that other shards do not use. The team never uses
// more than its quota, whatever happens to the controllers and to their transactions. The simulated workers
// check this.
func TestQuotaIsNotExceededUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) { runQuotaJobsUnderFaults(t, cluster, seed) })
		})
	}
}

func runQuotaJobsUnderFaults(t *testing.T, cluster *fake.Cluster, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 16))
	addMachinesPerController(cluster, 3)
	time.Sleep(5 * time.Second)
	setSpareMachines(t, cluster, "n0", 9)
	var acceptedRefs, uncertainRefs []string
	for i := range 24 {
		spec := randomQuotaJob(rnd, i)
		node := controllerNames[rnd.IntN(3)]
		if cluster.Nodes[node] == nil {
			node = "n0"
		}
		if cluster.Nodes[node] != nil {
			response := cluster.Submit(node, spec, time.Duration(1+rnd.IntN(6))*time.Second)
			if response.Code == http.StatusCreated {
				acceptedRefs = append(acceptedRefs, spec.Ref)
			} else {
				uncertainRefs = append(uncertainRefs, spec.Ref)
			}
		}
		injectRandomFault(cluster, rnd)
		time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	}
	for _, node := range controllerNames {
		cluster.Store.DelayWatch(node, 0)
	}
	for _, ref := range uncertainRefs { // the job may have been accepted although the answer did not say so
		if cluster.Poll("n1", ref).Code == http.StatusOK {
			acceptedRefs = append(acceptedRefs, ref)
		}
	}
	for _, ref := range acceptedRefs {
		requireDone(t, cluster, "n1", ref, 6*time.Minute)
	}
	time.Sleep(15 * time.Second)
	for _, key := range cluster.Store.Keys(jobs.QuotaPrefix) {
		if value, _ := cluster.Store.Value(key); strings.Contains(value, "cpu") {
			t.Errorf("an unused allocation is kept: %s", value)
		}
	}
}

// randomQuotaJob returns a job of the team with a quota: a gang for every fourth index, else an array.
func randomQuotaJob(rnd *rand.Rand, i int) jobs.Spec {
	spec := fake.JobSpec(jobRef(i), jobs.Array, 1+rnd.IntN(8), 1)
	if i%4 == 3 {
		spec = fake.JobSpec(spec.Ref, jobs.Gang, 2+rnd.IntN(3), 1)
	}
	spec.Team = "capped"
	spec.Urgency = []string{"idle", "normal", "high"}[rnd.IntN(3)]
	return spec
}

// injectRandomFault selects a random controller and crashes it for a while, has the store refuse it for a
// while, drops some of the store's answers to it, delays its watch, or does nothing.
func injectRandomFault(cluster *fake.Cluster, rnd *rand.Rand) {
	node := controllerNames[rnd.IntN(3)]
	isRunning := cluster.Nodes[node] != nil
	switch rnd.IntN(6) {
	case 0:
		if isRunning && len(cluster.Nodes) == 3 {
			cluster.CrashController(node)
			time.Sleep(time.Duration(rnd.IntN(9)) * time.Second)
			cluster.StartController(node)
		}
	case 1:
		cluster.Store.RefuseNode(node, true)
		time.Sleep(time.Duration(rnd.IntN(12)) * time.Second)
		cluster.Store.RefuseNode(node, false)
	case 2:
		if isRunning {
			cluster.Nodes[node].Conn.DropResponses(1 + rnd.IntN(4))
		}
	case 3:
		cluster.Store.DelayWatch(node, time.Duration(rnd.IntN(1500))*time.Millisecond)
	}
}

// A team has used up its quota when the owner of its tasks crashes, some of the machines can't be
// reached, and the team's jobs are cancelled during the failover. Tasks that may still run count against the
// quota until they have certainly stopped, and the quota is available again soon after. The simulated
// workers check that the quota is not exceeded.
func TestQuotaIsNotExceededAcrossOwnerCrash(t *testing.T) {
	configure := func(cluster *fake.Cluster) {
		cluster.Cfg.Cluster.Workers.LeaseSeconds, cluster.Cfg.Cluster.Workers.CancelSeconds = 25, 45
	}
	for seed := range uint64(6) {
		runWithPeersConfigured(t, configure, func(t *testing.T, cluster *fake.Cluster) { crashOwnerWithExhaustedQuota(t, cluster, seed) })
	}
}

// quotaJob returns a job of the team with a quota of 4 CPUs.
func quotaJob(ref string, kind jobs.Kind, tasks int) jobs.Spec {
	spec := fake.JobSpec(ref, kind, tasks, 1)
	spec.Team = "capped"
	return spec
}

func crashOwnerWithExhaustedQuota(t *testing.T, cluster *fake.Cluster, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	addMachines(cluster, 12)
	requireAccepted(t, cluster, "n0", quotaJob("wk-1", alternatingKind(int(seed)), 3), 10*time.Minute)
	requireAccepted(t, cluster, "n1", quotaJob("wk-2", jobs.Array, 6), 10*time.Minute)
	time.Sleep(5 * time.Second)
	owner := "" // the owner of the shard that runs most of the team's tasks
	for i := range 3 {
		for _, host := range cluster.RunningOn(jobs.TaskName("wk-1", i)) {
			owner = cluster.OwnerOf(cluster.ShardOf(host))
			makeUnreachable(cluster, host, rnd)
		}
	}
	cluster.CrashController(owner)
	time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	successor := []string{"n1", "n2", "n0"}[owner[1]-'0']
	for _, ref := range []string{"wk-1", "wk-2"} {
		cancelWithRetries(t, cluster, successor, ref)
	}
	requireAccepted(t, cluster, successor, quotaJob("wk-4", jobs.Array, 4), 2*time.Second) // its tasks may start one by one
	requireAccepted(t, cluster, successor, quotaJob("wk-3", jobs.Gang, 4), 20*time.Second) // needs the whole quota
	time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
	cluster.StartController(owner)
	addMachines(cluster, 3)
	// After the time limit for cancellations, 45 s, no task of the cancelled jobs can run.
	cluster.WaitForStatus(successor, "wk-3", jobs.Running, 55*time.Second)
	if response := cluster.Poll(successor, "wk-3"); response.ActiveTasks == 0 && response.Status != jobs.Done {
		t.Errorf("seed %d: the quota is not available again: %+v", seed, response)
	}
	for _, host := range cluster.Hosts() {
		cluster.IsolateWorker(host, false)
		cluster.BlockInbound(host, false)
		cutLinks(cluster, host, false, controllerNames...)
	}
	requireDone(t, cluster, successor, "wk-3", 60*time.Second)
}

// makeUnreachable makes a machine unreachable for the controllers in one of three ways.
func makeUnreachable(cluster *fake.Cluster, host string, rnd *rand.Rand) {
	switch rnd.IntN(3) {
	case 0:
		cluster.IsolateWorker(host, true)
	case 1:
		cluster.BlockInbound(host, true)
	case 2:
		cutLinks(cluster, host, true, controllerNames...)
	}
}

// cancelWithRetries cancels a job with a few retries, as a user would during a failover.
func cancelWithRetries(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	for retries := 0; cluster.Cancel(node, ref).Status != jobs.Cancelled; retries++ {
		if retries > 3 {
			t.Fatalf("%s is not cancelled after %d retries", ref, retries)
		}
	}
}
