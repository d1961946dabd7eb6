package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// The acquisition of a failed controller's shard does not stop the gangs that run in the successor's
// own shard.
func TestFailoverKeepsRunningGangs(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("a", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-5", jobs.Gang, 2, 4), 90*time.Second)
		time.Sleep(30 * time.Second)
		cluster.CrashController("n2") // n0 becomes the successor: in the order of the names, the first follows the last
		time.Sleep(40 * time.Second)
		cluster.StartController("n2")
		requireDone(t, cluster, "n1", "wk-5", 40*time.Second)
		if count := cluster.StartCounts()["wk-5/0"]; count != 1 {
			t.Errorf("the gang's first task started %d times", count)
		}
	})
}

// A new owner of a shard probes the shard's workers at once. If the owner instead waited until the
// workers have found it and have sent two heartbeats, a failover with a heartbeat interval of 5 s would
// take 15 s.
func TestNewOwnerProbesWorkersAtOnce(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 20 {
			cluster.AddMachine("a", false)
		}
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n1", fake.JobSpec("wk-6", jobs.Array, 60, 1), 20*time.Second)
		time.Sleep(3 * time.Second)
		unreachableHost := "i-000007" // its probe must not delay the probes of the other workers
		cutLinks(cluster, unreachableHost, true, controllerNames...)
		cluster.CrashController("n0")
		time.Sleep(5500 * time.Millisecond)
		if count := cluster.ProbeCount(); count != 19 {
			t.Errorf("%d workers were probed, want 19", count)
		}
		cutLinks(cluster, unreachableHost, false, controllerNames...)
		requireDone(t, cluster, "n2", "wk-6", 90*time.Second)
	})
}

func TestTasksSurviveControllerCrash(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		time.Sleep(4 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-6", jobs.Array, 8, 1), 40*time.Second)
		time.Sleep(5 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(6 * time.Second)
		cluster.StartController("n0")
		requireDone(t, cluster, "n1", "wk-6", 60*time.Second)
		checkStartedOnce(t, cluster)
	})
}

// One task of a job completes long before the others. Before the others complete, the owner that knew of
// the completion crashes, and in one case the machine that ran the task is lost as well. No completion may
// be lost or counted twice, and no job may be reported as done before all its tasks are done.
func TestOwnerCrashKeepsTaskCompletions(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          jobs.Kind
		tasks         int
		losesMachines bool
	}{
		{"array of two", jobs.Array, 2, false},
		{"array of three", jobs.Array, 3, false},
		{"array of three, machines lost", jobs.Array, 3, true},
		{"gang", jobs.Gang, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				completeAcrossOwnerCrash(t, cluster, c.kind, c.tasks, c.losesMachines)
			})
		})
	}
}

func completeAcrossOwnerCrash(t *testing.T, cluster *fake.Cluster, kind jobs.Kind, tasks int, losesMachines bool) {
	const jobCount = 6
	addMachines(cluster, 9)
	for i := range jobCount {
		cluster.SetTaskRunTime(jobs.TaskName(jobRef(i+1), 0), 3*time.Second)
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), kind, tasks, 1), 35*time.Second)
	}
	time.Sleep(6 * time.Second)
	for i := range jobCount {
		for _, host := range cluster.CommandedHosts(jobs.TaskName(jobRef(i+1), 0)) {
			if losesMachines {
				_ = cluster.Release(t.Context(), []string{host})
			}
		}
	}
	for _, node := range []string{"n0", "n1"} {
		cluster.CrashController(node)
		time.Sleep(5 * time.Second)
		cluster.StartController(node)
		time.Sleep(2 * time.Second)
	}
	addMachines(cluster, 3)
	for i := range jobCount {
		requireDone(t, cluster, "n2", jobRef(i+1), 120*time.Second)
		if response := cluster.Poll("n0", jobRef(i+1)); response.DoneTasks != tasks {
			t.Errorf("%s: %d of %d tasks are done", jobRef(i+1), response.DoneTasks, tasks)
		}
	}
	if !losesMachines { // a task whose completion only a lost machine knew runs again
		checkStartedOnce(t, cluster)
	}
}

// A shard's owner crashes, or is isolated together with its workers, while the machines run long tasks.
// The links between the machines and the other controllers are cut. In some cases, half of the machines
// keep their links instead: their heartbeats still arrive, but they receive neither commands nor
// answers. No task may start a second time before its first run has ended, and all tasks must complete.
func TestNoTaskRunsTwiceAfterOwnerCrashWithUnreachableMachines(t *testing.T) {
	for _, c := range []struct {
		name              string
		isIsolated        bool // the owner is isolated instead of crashed
		someHaveNoInbound bool
	}{
		{"crash, links cut", false, false},
		{"isolated, links cut", true, false},
		{"crash, some with no inbound", false, true},
		{"isolated, some with no inbound", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				failOwnerOfUnreachableMachines(t, cluster, c.isIsolated, c.someHaveNoInbound)
			})
		})
	}
}

func failOwnerOfUnreachableMachines(t *testing.T, cluster *fake.Cluster, isIsolated, someHaveNoInbound bool) {
	addMachines(cluster, 9)
	for i := range 4 {
		requireAccepted(t, cluster, "n0", fake.JobSpec(jobRef(i+1), alternatingKind(i), 6, 1), 100*time.Second)
	}
	time.Sleep(5 * time.Second)
	hosts := cluster.Hosts()
	for i, host := range hosts {
		if someHaveNoInbound && i%2 == 0 {
			cluster.BlockInbound(host, true)
		} else {
			cutLinks(cluster, host, true, "n1", "n2")
		}
	}
	if isIsolated {
		cluster.Store.RefuseNode("n0", true)
		cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
	} else {
		cluster.CrashController("n0")
	}
	addMachines(cluster, 6)
	time.Sleep(2 * time.Duration(cluster.Cfg.Cluster.Workers.CancelSeconds*float64(time.Second)))
	for _, host := range hosts {
		if cluster.IsUp(host) { // the others have been released
			cluster.BlockInbound(host, false)
			cutLinks(cluster, host, false, "n1", "n2")
		}
	}
	cluster.Store.RefuseNode("n0", false)
	cluster.SetPeerLink(fake.PeerLink{})
	for i := range 4 {
		requireDone(t, cluster, "n1", jobRef(i+1), 250*time.Second)
	}
}

// Heartbeats are delayed until the successor of a crashed owner has started tasks. They arrive at the
// successor and at the third controller, and neither may act on them.
func TestDelayedHeartbeatsAreIgnoredAfterFailover(t *testing.T) {
	for seed := range uint64(8) {
		rnd := rand.New(rand.NewPCG(seed, 13))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 8)
			delayedHeartbeats := cluster.Heartbeats() // sent before any task had started
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 7, 1), time.Duration(8+rnd.IntN(20))*time.Second)
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Gang, 3, 1), time.Duration(8+rnd.IntN(20))*time.Second)
			time.Sleep(time.Duration(500+rnd.IntN(4000)) * time.Millisecond)
			delayedHeartbeats = append(delayedHeartbeats, cluster.Heartbeats()...)
			cluster.CrashController("n0")
			for _, host := range cluster.Hosts()[:2] { // their tasks have to start elsewhere
				cluster.IsolateWorker(host, true)
			}
			for range 8 {
				time.Sleep(time.Duration(500+rnd.IntN(6000)) * time.Millisecond)
				for _, heartbeat := range delayedHeartbeats {
					cluster.DeliverHeartbeat("n1", heartbeat)
					cluster.DeliverHeartbeat("n2", heartbeat)
				}
				delayedHeartbeats = append(delayedHeartbeats, cluster.Heartbeats()...)
			}
			cluster.StartController("n0")
			for _, host := range cluster.Hosts() {
				cluster.IsolateWorker(host, false)
			}
			addMachines(cluster, 2)
			requireDone(t, cluster, "n1", "wk-1", 120*time.Second)
			requireDone(t, cluster, "n2", "wk-2", 120*time.Second)
		})
	}
}

// The owners of shards change ten times in two minutes, with or without an outage of the store. The numbers
// of writes and probes must stay small, tasks must continue, and 12 s after the last change each shard must
// have an owner.
func TestTenOwnerChangesNeedFewWritesAndProbes(t *testing.T) {
	for _, hasOutage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage ", hasOutage), func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) { changeOwnersTenTimes(t, cluster, hasOutage) })
		})
	}
}

func changeOwnersTenTimes(t *testing.T, cluster *fake.Cluster, hasOutage bool) {
	rnd := rand.New(rand.NewPCG(5, 14))
	addMachines(cluster, 9)
	for i := range 6 {
		requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), alternatingKind(i), 6, 1), 70*time.Second)
	}
	time.Sleep(5 * time.Second)
	writesBefore, probesBefore := cluster.Store.WriteCount(), cluster.ProbeCount()
	for i := range 10 {
		node := controllerName(rnd.IntN(3))
		cluster.Store.SetOutage(hasOutage && i >= 4 && i < 6)
		cluster.CrashController(node)
		time.Sleep(time.Duration(rnd.IntN(7000)) * time.Millisecond)
		cluster.StartController(node)
		time.Sleep(time.Duration(4000+rnd.IntN(3000)) * time.Millisecond)
	}
	cluster.Store.SetOutage(false)
	if writes := cluster.Store.WriteCount() - writesBefore; writes > 120 {
		t.Errorf("%d writes in ten changes of owners", writes)
	}
	if probes := cluster.ProbeCount() - probesBefore; probes > 55 {
		t.Errorf("%d probes of 9 machines in ten changes of owners", probes)
	}
	time.Sleep(12 * time.Second)
	for _, shard := range controllerNames {
		if owner := cluster.OwnerOf(shard); cluster.Nodes[owner] == nil {
			t.Errorf("shard %s is owned by %q", shard, owner)
		}
	}
	addMachines(cluster, 2)
	for i := range 6 {
		requireDone(t, cluster, "n1", jobRef(i+1), 200*time.Second)
	}
}
