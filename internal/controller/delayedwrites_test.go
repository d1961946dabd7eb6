package controller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// The first write of a controller's liveness record gets no answer and is applied after the second write. The
// record must not stay attached to the lease of the first write, which nobody renews: the store would delete the
// record when that lease expires, and the controller could not acquire a shard any more.
func TestDelayedLivenessWriteKeepsLease(t *testing.T) {
	for seed := range uint64(8) {
		applyLate := func(cluster *fake.Cluster) { cluster.Store.ApplyLate(rand.New(rand.NewPCG(seed, 1)), 1) }
		runScenarioFromStart(t, controllerZones, applyLate, func(t *testing.T, cluster *fake.Cluster) {
			time.Sleep(time.Second)
			cluster.Store.ApplyLate(nil, 0)
			time.Sleep(30 * time.Second)
			for _, node := range controllerNames {
				_, isLive := cluster.Store.Value(jobs.LivenessPrefix + node)
				if owner := cluster.OwnerOf(node); !isLive || owner != node {
					t.Errorf("seed %d: %s: liveness record exists: %v; its shard is owned by %q", seed, node, isLive, owner)
				}
			}
		})
	}
}

// A controller writes its liveness record again after the record was deleted, whatever the reason.
func TestLostLivenessRecordIsRewritten(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Store.Delete(jobs.LivenessPrefix + "n1")
		time.Sleep(15 * time.Second)
		if owner := cluster.OwnerOf("n1"); owner != "n1" {
			t.Errorf("the shard of the controller without a liveness record is owned by %q", owner)
		}
	})
}

// Every write of a controller needs a precondition, since the store may apply the write at any later time.
// The scenario covers all kinds of writes, with crashes, cancellations and handovers.
func TestEveryWriteHasPrecondition(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 9)
		setSpareMachines(t, cluster, "n0", 4)
		for i := range 12 {
			spec := fake.JobSpec(jobRef(i+1), []jobs.Kind{jobs.Array, jobs.Gang, jobs.Array}[i%3], []int{1, 3, 30}[i%3], 1)
			if i%4 == 0 && spec.Tasks < 4 {
				spec.Team = "capped"
			}
			requireAccepted(t, cluster, controllerName(i), spec, time.Duration(2+5*i)*time.Second)
		}
		time.Sleep(4 * time.Second)
		requireCancelled(t, cluster, "n1", "wk-9")
		requireCancelled(t, cluster, "n1", "wk-12")
		cluster.CrashController("n2")
		time.Sleep(8 * time.Second)
		cluster.StartController("n2")
		time.Sleep(12 * time.Second)
		cluster.StopController("n1")
		cluster.StartController("n1")
		time.Sleep(100 * time.Second)
		for _, prefix := range []string{
			jobs.LivenessPrefix, jobs.ShardPrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix,
			jobs.CompletionBatchPrefix, jobs.QuotaPrefix, jobs.FinalPrefix,
		} {
			if cluster.Store.WriteCountOf(prefix) == 0 {
				t.Errorf("no record under %s was written, so the scenario does not cover it", prefix)
			}
		}
		if keys := cluster.Store.UnconditionalKeys(); len(keys) > 0 {
			t.Errorf("keys written without a precondition: %v", keys)
		}
	})
}

// Controllers have to read all records again while they own their shards and while commands to machines
// are in flight. A task that a worker's answer to a probe does not list may start on that worker a moment
// later, under the same fencing token; it must not be started elsewhere.
func TestCacheReloadStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			for _, host := range cluster.Hosts() {
				cluster.DelayInbound(host, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
			}
			for i := range 5 {
				requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), jobs.Array, 10, 1), 30*time.Second)
				time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				for _, node := range controllerNames {
					cluster.Store.CompactWatch(node)
				}
			}
			for _, host := range cluster.Hosts() {
				cluster.DelayInbound(host, 0)
			}
			for i := range 5 {
				requireDone(t, cluster, "n1", jobRef(i+1), 150*time.Second)
			}
		})
	}
}
