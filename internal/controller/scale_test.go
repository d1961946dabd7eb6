package controller_test

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/autoscaler"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
)

// fleetSize is the number of machines in the scenarios below.
const fleetSize = 1000

// TestProcessorTimePerMinute logs the processor time, in seconds, that three controllers together use
// for a minute of a deployment under load. It covers heartbeats, claims, scheduling cycles and ticks, but
// not the network sockets.
func TestProcessorTimePerMinute(t *testing.T) {
	size, err := strconv.Atoi(os.Getenv("CHERRYWALL_MACHINES"))
	if err != nil {
		t.Skip("set CHERRYWALL_MACHINES to the number of machines")
	}
	load, err := strconv.ParseFloat(os.Getenv("CHERRYWALL_LOAD"), 64)
	if err != nil {
		load = 1
	}
	runLargeScenario(t, size, func(t *testing.T, cluster *fake.Cluster) { measureProcessorTime(t, cluster, size, load) })
}

// measureProcessorTime submits random jobs for two minutes and logs the processor time used per minute. load
// scales the submission rate: at a load of 1, the rate is 1.54 jobs a second for 1200 machines.
func measureProcessorTime(t *testing.T, cluster *fake.Cluster, size int, load float64) {
	t.Helper()
	defer startAutoscalers(t, cluster)()
	rnd := rand.New(rand.NewPCG(1, uint64(size)))
	scale := float64(size) / 1200 * load
	processorTimeBefore := processorTimeNS(t)
	end := time.Now().Add(120 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / (1.54 * scale) * float64(time.Second)))
		spec, runTime := randomJob(rnd, jobRef(i+1))
		cluster.Submit(controllerName(rnd.IntN(3)), spec, runTime)
	}
	t.Logf("%.2f s of processor time a minute", float64(processorTimeNS(t)-processorTimeBefore)/2e9)
}

// randomJob returns a job and the run time of the job's tasks. The job is a gang of high priority or, more
// rarely, a large array.
func randomJob(rnd *rand.Rand, ref string) (spec jobs.Spec, runTime time.Duration) {
	spec = fake.JobSpec(ref, jobs.Gang, []int{1, 4, 8, 16, 24}[rnd.IntN(5)], 7)
	spec.Class, spec.Urgency, spec.OneZone, spec.MemGB, spec.EstimatedRunSeconds = "sync", "high", true, 26, 60
	spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 60, 6
	runSeconds := 60 * math.Exp(rnd.NormFloat64()*0.6)
	if rnd.Float64() < 0.133 {
		spec = fake.JobSpec(ref, jobs.Array, int(min(2000, 300*math.Exp(rnd.NormFloat64()*0.7))), 1)
		spec.Class, spec.Spot, spec.MemGB, spec.EstimatedRunSeconds = "build", true, 3.6, 40
		runSeconds = 40 * math.Exp(rnd.NormFloat64()*0.6)
	}
	return spec, time.Duration(runSeconds * float64(time.Second))
}

// startAutoscalers runs an autoscaler beside each controller until stop is called.
func startAutoscalers(t *testing.T, cluster *fake.Cluster) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	for i, name := range controllerNames {
		node := cluster.Nodes[name]
		go autoscaler.New(name, uint64(i+1), cluster.Cfg, node.Conn, cluster, node.Controller, slog.New(slog.DiscardHandler)).Run(ctx)
	}
	return cancel
}

// runLargeScenario runs a scenario on a cluster with size machines in three zones, half of them spot.
// The scenario begins when all machines belong to a shard.
func runLargeScenario(t *testing.T, size int, scenario func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	zones := map[string]string{"n0": "a", "n1": "b", "n2": "c"}
	configure := func(cluster *fake.Cluster) {
		workers := &cluster.Cfg.Cluster.Workers
		workers.HeartbeatIntervalSeconds, workers.LeaseSeconds, workers.CancelSeconds = 5, 26.5, 46.5
		cluster.Cfg.Cluster.Teams = cluster.Cfg.Cluster.Teams[:1]
		machineType := &cluster.OfferedTypes[0]
		machineType.CPU, machineType.MemGB, machineType.Zones = 16, 64, []string{"a", "b", "c"}
	}
	runScenario(t, zones, configure, func(t *testing.T, cluster *fake.Cluster) {
		for i := range size {
			cluster.AddMachine([]string{"a", "b", "c"}[i%3], i%2 == 1)
		}
		time.Sleep(10 * time.Second)
		scenario(t, cluster)
	})
}

// fillMachines submits arrays and gangs whose tasks fill most of the machines and run for runTime.
func fillMachines(t *testing.T, cluster *fake.Cluster, runTime time.Duration) {
	t.Helper()
	for i := range fleetSize / 100 {
		array := fake.JobSpec(jobRef(i+1), jobs.Array, 700, 1)
		array.Spot, array.MemGB = true, 1
		requireAccepted(t, cluster, "n0", array, runTime)
		gang := fake.JobSpec(jobRef(9000+i), jobs.Gang, 8, 7)
		gang.OneZone, gang.Urgency = true, "high"
		requireAccepted(t, cluster, "n1", gang, runTime)
	}
	time.Sleep(15 * time.Second)
}

// requireArraysDone waits for the arrays of fillMachines one after another, for at most limit each, and fails the
// test if an array is not done by then.
func requireArraysDone(t *testing.T, cluster *fake.Cluster, limit time.Duration) {
	t.Helper()
	for i := range fleetSize / 100 {
		requireDone(t, cluster, "n1", jobRef(i+1), limit)
	}
}

// urgentGang returns a gang of the highest priority that has to run in one zone.
func urgentGang() jobs.Spec {
	spec := fake.JobSpec("wk-7000", jobs.Gang, 16, 7)
	spec.Urgency, spec.OneZone = "prod", true
	return spec
}

// confirmedWorkerCount returns how many workers of a shard have been confirmed since the shard's owner
// acquired it.
func confirmedWorkerCount(cluster *fake.Cluster, shard string) int {
	view, _ := cluster.Nodes[cluster.OwnerOf(shard)].Controller.View(admin.ViewReconciliation)
	for _, shardView := range view.([]reconciliation.View) {
		if shardView.Shard == shard {
			return shardView.ConfirmedWorkers
		}
	}
	return 0
}

// isolateEveryNth isolates every n-th machine, or reconnects these machines.
func isolateEveryNth(cluster *fake.Cluster, n int, isIsolated bool) {
	for i, host := range cluster.Hosts() {
		if i%n == 0 {
			cluster.IsolateWorker(host, isIsolated)
		}
	}
}

// All controllers restart while a thousand workers run tasks, and all workers send heartbeats at the
// same time. Every task continues on its machine, and new tasks start within seconds.
func TestTasksContinueAfterRestartWithThousandWorkers(t *testing.T) {
	runLargeScenario(t, fleetSize, func(t *testing.T, cluster *fake.Cluster) {
		fillMachines(t, cluster, 40*time.Second)
		startedTaskCountBefore := len(cluster.StartCounts())
		restartControllers(cluster, 6*time.Second)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n2", urgentGang(), 5*time.Second)
		requireDone(t, cluster, "n0", "wk-7000", 12*time.Second)
		for i := range fleetSize / 100 {
			requireDone(t, cluster, "n1", jobRef(i+1), 60*time.Second)
			requireDone(t, cluster, "n1", jobRef(9000+i), 60*time.Second)
		}
		restartedTaskCount := 0
		for _, count := range cluster.StartCounts() {
			if count > 1 {
				restartedTaskCount++
			}
		}
		// The urgent gang preempts a few tasks, which start again.
		if startedTaskCountBefore < 7*fleetSize || restartedTaskCount > 150 {
			t.Errorf("%d tasks ran at the restart, %d were started again", startedTaskCountBefore, restartedTaskCount)
		}
	})
}

// All controllers restart while a quarter of the machines can't be reached. Unclaimed jobs start within
// seconds, and no task is stopped and no machine released because of incomplete information. A task is
// started only if it is new, or if its previous run has ended or the lease of that run's worker has
// expired.
func TestNoTaskStartedAgainAfterRestartWithQuarterOfMachinesUnreachable(t *testing.T) {
	runLargeScenario(t, fleetSize, func(t *testing.T, cluster *fake.Cluster) {
		fillMachines(t, cluster, 60*time.Second)
		startsBefore := cluster.StartCounts()
		isolateEveryNth(cluster, 4, true)
		restartControllers(cluster, 6*time.Second)
		for !cluster.Nodes["n0"].Controller.Healthy() {
			time.Sleep(50 * time.Millisecond)
		}
		spec := fake.JobSpec("wk-7000", jobs.Gang, 4, 1)
		spec.OneZone = true
		requireAccepted(t, cluster, "n2", spec, 5*time.Second)
		time.Sleep(4 * time.Second)
		if count := cluster.StartCounts()["wk-7000/0"]; count != 1 {
			t.Errorf("an unclaimed gang was started %d times 4 s after the start", count)
		}
		time.Sleep(6 * time.Second)
		restartedTaskCount := 0
		for task, count := range cluster.StartCounts() {
			if startsBefore[task] > 0 && count > startsBefore[task] {
				restartedTaskCount++
			}
		}
		if restartedTaskCount > 0 {
			t.Errorf("%d tasks were started again within 10 s of the start", restartedTaskCount)
		}
		if count := cluster.WorkerCount(); count != fleetSize {
			t.Errorf("%d machines were released", fleetSize-count)
		}
		isolateEveryNth(cluster, 4, false)
		requireArraysDone(t, cluster, 150*time.Second)
	})
}

// A controller crashes while a quarter of all machines can't be reached. The new owner reaches the other
// machines of the shard within seconds, since the timeouts of the probes of unreachable machines do not add
// up.
func TestFailoverReachesWorkersWithQuarterOfMachinesUnreachable(t *testing.T) {
	runLargeScenario(t, fleetSize, func(t *testing.T, cluster *fake.Cluster) {
		fillMachines(t, cluster, 50*time.Second)
		isolateEveryNth(cluster, 4, true)
		time.Sleep(time.Second)
		cluster.CrashController("n0")
		for cluster.OwnerOf("n0") == "n0" {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		if confirmedCount, reachableCount := confirmedWorkerCount(cluster, "n0"), cluster.WorkersInShard("n0")*3/4; confirmedCount < reachableCount*95/100 {
			t.Errorf("%d of %d reachable workers were reached in 1.5 s", confirmedCount, reachableCount)
		}
		requireAccepted(t, cluster, "n2", urgentGang(), 5*time.Second)
		requireDone(t, cluster, "n1", "wk-7000", 12*time.Second)
		isolateEveryNth(cluster, 4, false)
		requireArraysDone(t, cluster, 150*time.Second)
	})
}

// All workers are isolated for longer than their leases and reconnect at the same moment. Their tasks
// are lost and start again immediately.
func TestTasksStartAgainAfterThousandMachinesReconnect(t *testing.T) {
	runLargeScenario(t, fleetSize, func(t *testing.T, cluster *fake.Cluster) {
		fillMachines(t, cluster, 30*time.Second)
		isolateEveryNth(cluster, 1, true)
		time.Sleep(40 * time.Second)
		isolateEveryNth(cluster, 1, false)
		for i := range fleetSize / 100 {
			requireDone(t, cluster, "n1", jobRef(i+1), 75*time.Second)
			requireDone(t, cluster, "n2", jobRef(9000+i), 75*time.Second)
		}
	})
}

// The number of writes for a job does not depend on the number of machines. A gang needs six writes for its
// acceptance, its claim and its completion. An array needs two writes for each shard's claim, and further writes
// that record the done tasks of its ranges. Since this test has no peer heartbeats, all three controllers may
// claim tasks of the same job at the same moment.
func TestWritesPerJobIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{120, 900} {
		runLargeScenario(t, size, func(t *testing.T, cluster *fake.Cluster) {
			countWrites := func() int {
				return cluster.Store.WriteCountOf(jobs.JobPrefix, jobs.RangePrefix, jobs.FinalPrefix)
			}
			writesBefore := countWrites()
			gang := fake.JobSpec("wk-1", jobs.Gang, 24, 7)
			gang.OneZone = true
			requireAccepted(t, cluster, "n0", gang, 10*time.Second)
			requireDone(t, cluster, "n1", "wk-1", 30*time.Second)
			gangWrites := countWrites() - writesBefore
			writesBefore = countWrites()
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 300, 1), 10*time.Second)
			requireDone(t, cluster, "n1", "wk-2", 40*time.Second)
			time.Sleep(3 * time.Second)
			arrayWrites := countWrites() - writesBefore
			t.Logf("%d machines: a gang %d writes, an array of 300 tasks %d", size, gangWrites, arrayWrites)
			if gangWrites > 10 || arrayWrites > 10 { // two controllers may each make one failed claim
				t.Errorf("%d machines: a gang took %d writes, an array of 300 tasks %d", size, gangWrites, arrayWrites)
			}
		})
	}
}
