package controller_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// controllerNames lists the controllers of the simulated clusters. Each shard has the name of a
// controller.
var controllerNames = []string{"n0", "n1", "n2"}

// controllerZones places one controller in zone a and two in zone b.
var controllerZones = map[string]string{"n0": "a", "n1": "b", "n2": "b"}

// controllerName returns the name of the controller whose index is i modulo the number of controllers.
func controllerName(i int) string { return fmt.Sprintf("n%d", i%3) }

func jobRef(i int) string { return fmt.Sprintf("wk-%d", i) }

// runScenario runs a scenario on a simulated cluster in simulated time, and fails the test for
// each invariant that the cluster's checker finds violated.
func runScenario(t *testing.T, zones map[string]string, configure func(cluster *fake.Cluster), scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	runScenarioFromStart(t, zones, configure, func(t *testing.T, cluster *fake.Cluster) {
		time.Sleep(3 * time.Second)
		scenario(t, cluster)
	})
}

// runScenarioFromStart is runScenario without waiting until the controllers own their shards.
func runScenarioFromStart(t *testing.T, zones map[string]string, configure func(cluster *fake.Cluster), scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, zones, configure)
		scenario(t, cluster)
		for _, violation := range cluster.Violations() {
			t.Error("invariant violated:", violation)
		}
		stop()
		synctest.Wait()
	})
}

// runWithoutPeers runs a scenario in which the controllers receive no peer heartbeats.
func runWithoutPeers(t *testing.T, scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	runScenario(t, controllerZones, func(*fake.Cluster) {}, scenario)
}

// runWithPeers runs a scenario in which the controllers receive each other's heartbeats.
func runWithPeers(t *testing.T, scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	runWithPeersConfigured(t, func(*fake.Cluster) {}, scenario)
}

// runWithPeersConfigured is runWithPeers on a cluster that configure has changed.
func runWithPeersConfigured(t *testing.T, configure func(cluster *fake.Cluster), scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	configureWithPeers := func(cluster *fake.Cluster) {
		cluster.ConnectPeers = true
		configure(cluster)
	}
	runScenario(t, controllerZones, configureWithPeers, scenario)
}

// restartControllers crashes all controllers and starts them again after downtime.
func restartControllers(cluster *fake.Cluster, downtime time.Duration) {
	for _, node := range controllerNames {
		cluster.CrashController(node)
	}
	time.Sleep(downtime)
	for _, node := range controllerNames {
		cluster.StartController(node)
	}
}

// restartControllersInTurn crashes the controllers one after another and starts each of them again at once.
func restartControllersInTurn(cluster *fake.Cluster) {
	for _, node := range controllerNames {
		cluster.CrashController(node)
		cluster.StartController(node)
	}
}

// addMachines adds machines alternately in zones a and b, and waits until they have booted.
func addMachines(cluster *fake.Cluster, count int) {
	for i := range count {
		cluster.AddMachine([]string{"a", "b"}[i%2], false)
	}
	time.Sleep(5 * time.Second)
}

// addMachinesPerController adds count machines for each controller, in the controller's zone.
func addMachinesPerController(cluster *fake.Cluster, count int) {
	for range count {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		cluster.AddMachine("b", false)
	}
}

// cutLinks cuts or restores the links between a machine and controllers.
func cutLinks(cluster *fake.Cluster, host string, isCut bool, nodes ...string) {
	for _, node := range nodes {
		cluster.CutLink(node, host, isCut)
	}
}

// setSpareMachines sets how many idle machines the controllers keep instead of releasing them.
func setSpareMachines(t *testing.T, cluster *fake.Cluster, node string, count int) {
	t.Helper()
	if err := cluster.ChangeSettings(node, func(s *admin.Settings) { s.SpareMachines = count }); err != nil {
		t.Fatal(err)
	}
}

func requireAccepted(t *testing.T, cluster *fake.Cluster, node string, spec jobs.Spec, runTime time.Duration) {
	t.Helper()
	if response := cluster.Submit(node, spec, runTime); response.Code != http.StatusCreated {
		t.Fatalf("%s: submission answered %+v", spec.Ref, response)
	}
}

func requireDone(t *testing.T, cluster *fake.Cluster, node, ref string, limit time.Duration) {
	t.Helper()
	if !cluster.WaitForStatus(node, ref, jobs.Done, limit) {
		t.Fatalf("%s not done after %v: %+v", ref, limit, cluster.Poll(node, ref))
	}
}

func requireCancelled(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	if response := cluster.Cancel(node, ref); response.Status != jobs.Cancelled {
		t.Fatalf("%s: cancellation answered %+v", ref, response)
	}
}

// checkStartedOnce checks that none of the started tasks was started more than once.
func checkStartedOnce(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for task, count := range cluster.StartCounts() {
		if count != 1 {
			t.Errorf("%s started %d times", task, count)
		}
	}
}

// checkNotRunning checks that no machine runs any of a job's tasks with the numbers from 0 to tasks-1.
func checkNotRunning(t *testing.T, cluster *fake.Cluster, ref string, tasks int) {
	t.Helper()
	for i := range tasks {
		if hosts := cluster.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
			t.Errorf("%s/%d still runs on %v", ref, i, hosts)
		}
	}
}

// checkNoRecords checks that the store has no keys with the given prefixes.
func checkNoRecords(t *testing.T, cluster *fake.Cluster, prefixes ...string) {
	t.Helper()
	var keys []string
	for _, prefix := range prefixes {
		keys = append(keys, cluster.Store.Keys(prefix)...)
	}
	if len(keys) > 0 {
		t.Errorf("%d records are left, the first is %v", len(keys), keys[0])
	}
}

// alternatingKind returns jobs.Array if i is even, and jobs.Gang if i is odd.
func alternatingKind(i int) jobs.Kind { return []jobs.Kind{jobs.Array, jobs.Gang}[i%2] }
