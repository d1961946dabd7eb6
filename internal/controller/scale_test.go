package controller_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/autoscaler"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/reconciliation"
)

// TestProcessorTimePerMinute is what three controllers together need for a minute of a
// deployment under load: reports, claims, decisions, ticks; not the sockets.
func TestProcessorTimePerMinute(t *testing.T) {
	size, err := strconv.Atoi(os.Getenv("CHERRYWALL_MACHINES"))
	if err != nil {
		t.Skip("set CHERRYWALL_MACHINES to the number of machines")
	}
	load, err := strconv.ParseFloat(os.Getenv("CHERRYWALL_LOAD"), 64)
	if err != nil {
		load = 1
	}
	measureMinute(t, size, load)
}

// runLargeScenario is a deployment of three zones with so many machines, half of them cheap,
// in which the tale begins once all have a share.
func runLargeScenario(t *testing.T, size int, scenario func(ctx context.Context, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "c"}, func(cluster *fake.Cluster) {
			cluster.Cfg.Cluster.Workers.ReportS, cluster.Cfg.Cluster.Workers.LeaseS, cluster.Cfg.Cluster.Workers.CancelS = 5, 26.5, 46.5
			cluster.Cfg.Cluster.Teams = cluster.Cfg.Cluster.Teams[:1]
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB, cluster.OfferedTypes[0].Zones = 16, 64, []string{"a", "b", "c"}
		})
		time.Sleep(3 * time.Second)
		for i := range size {
			cluster.AddMachine([]string{"a", "b", "c"}[i%3], i%2 == 1)
		}
		time.Sleep(10 * time.Second)
		scenario(ctx, cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// fillMachines submits arrays and gangs that fill most of the machines for so long.
func fillMachines(t *testing.T, cluster *fake.Cluster, size int, run time.Duration) {
	t.Helper()
	for i := range size / 100 {
		s := fake.JobSpec(fmt.Sprintf("wk-%d", i+1), jobs.Array, 700, 1)
		s.Spot, s.MemGB = true, 1
		requireAccepted(t, cluster, "n0", s, run)
		g := fake.JobSpec(fmt.Sprintf("wk-%d", 9000+i), jobs.Gang, 8, 7)
		g.OneZone, g.Urgency = true, "high"
		requireAccepted(t, cluster, "n1", g, run)
	}
	time.Sleep(15 * time.Second)
}

// confirmedWorkers is how many workers of a share its holder has heard since it took it.
func confirmedWorkers(cluster *fake.Cluster, share string) int {
	v, _ := cluster.Nodes[cluster.OwnerOf(share)].Controller.View("start")
	for _, s := range v.([]reconciliation.View) {
		if s.Shard == share {
			return s.ConfirmedWorkers
		}
	}
	return 0
}

// isolateOneIn separates one machine of so many from everybody, or joins them again.
func isolateOneIn(cluster *fake.Cluster, of int, on bool) {
	for i, h := range cluster.Hosts() {
		if i%of == 0 {
			cluster.IsolateWorker(h, on)
		}
	}
}

func measureMinute(t *testing.T, size int, load float64) {
	runLargeScenario(t, size, func(ctx context.Context, cluster *fake.Cluster) {
		for i, n := range []string{"n0", "n1", "n2"} {
			go autoscaler.New(n, uint64(i+1), cluster.Cfg, cluster.Nodes[n].Conn, cluster, cluster.Nodes[n].Controller, slog.New(slog.DiscardHandler)).Run(ctx)
		}
		rnd := rand.New(rand.NewPCG(1, uint64(size)))
		scale := float64(size) / 1200 * load
		start := processorTimeNS(t)
		end := time.Now().Add(120 * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (1.54 * scale) * float64(time.Second)))
			s := fake.JobSpec(fmt.Sprintf("wk-%d", n+1), jobs.Gang, []int{1, 4, 8, 16, 24}[rnd.IntN(5)], 7)
			s.Class, s.Urgency, s.OneZone, s.MemGB, s.EstimatedRunSeconds, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = "sync", "high", true, 26, 60, 60, 6
			run := 60 * math.Exp(rnd.NormFloat64()*0.6)
			if rnd.Float64() < 0.133 {
				s = fake.JobSpec(s.Ref, jobs.Array, int(min(2000, 300*math.Exp(rnd.NormFloat64()*0.7))), 1)
				s.Class, s.Spot, s.MemGB, s.EstimatedRunSeconds = "build", true, 3.6, 40
				run = 40 * math.Exp(rnd.NormFloat64()*0.6)
			}
			cluster.Submit(fmt.Sprintf("n%d", rnd.IntN(3)), s, time.Duration(run*float64(time.Second)))
		}
		t.Logf("%.2f s of processor time a minute", float64(processorTimeNS(t)-start)/2e9)
	})
}

// All controllers restart while a thousand workers run tasks, and all of them report
// at once: every task goes on where it is, and new work starts within seconds.
func TestRestartWithThousandWorkers(t *testing.T) {
	const size = 1000
	runLargeScenario(t, size, func(_ context.Context, cluster *fake.Cluster) {
		fillMachines(t, cluster, size, 40*time.Second)
		before := len(cluster.StartCounts())
		restartControllers(cluster, 6*time.Second)
		time.Sleep(5 * time.Second)
		s := fake.JobSpec("wk-7000", jobs.Gang, 16, 7)
		s.Urgency, s.OneZone = "prod", true
		requireAccepted(t, cluster, "n2", s, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-7000", 12*time.Second)
		for i := range size / 100 {
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", i+1), 60*time.Second)
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", 9000+i), 60*time.Second)
		}
		again := 0
		for _, k := range cluster.StartCounts() {
			if k > 1 {
				again++
			}
		}
		// The urgent gang stops a few.
		if before < 7*size || again > 150 {
			t.Errorf("%d tasks ran at the restart, %d were started again", before, again)
		}
	})
}

// All controllers restart while a quarter of a thousand machines can't be reached: work
// that nobody had claimed starts within seconds, and nothing is stopped or returned on half
// a picture: no more is ordered than what ended, ran out of its lease or is new.
func TestRestartWithQuarterOfMachinesUnreachable(t *testing.T) {
	const size = 1000
	runLargeScenario(t, size, func(_ context.Context, cluster *fake.Cluster) {
		fillMachines(t, cluster, size, 60*time.Second)
		before := cluster.StartCounts()
		isolateOneIn(cluster, 4, true)
		restartControllers(cluster, 6*time.Second)
		for !cluster.Nodes["n0"].Controller.Healthy() {
			time.Sleep(50 * time.Millisecond)
		}
		s := fake.JobSpec("wk-7000", jobs.Gang, 4, 1)
		s.OneZone = true
		requireAccepted(t, cluster, "n2", s, 5*time.Second)
		time.Sleep(4 * time.Second)
		if n := cluster.StartCounts()["wk-7000/0"]; n != 1 {
			t.Errorf("a gang that nobody had claimed was started %d times 4 s after the start", n)
		}
		time.Sleep(6 * time.Second)
		again := 0
		for task, k := range cluster.StartCounts() {
			if before[task] > 0 && k > before[task] {
				again++
			}
		}
		if again > 0 {
			t.Errorf("%d tasks were started anew within 10 s of the start", again)
		}
		if n := cluster.WorkerCount(); n != size {
			t.Errorf("%d machines were returned", size-n)
		}
		isolateOneIn(cluster, 4, false)
		for i := range size / 100 {
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", i+1), 150*time.Second)
		}
	})
}

// A controller crashes while a quarter of all machines can't be reached: the others of
// its share are heard within seconds, one after the other's silence does not add up.
func TestFailoverWithQuarterOfMachinesUnreachable(t *testing.T) {
	const size = 1000
	runLargeScenario(t, size, func(_ context.Context, cluster *fake.Cluster) {
		fillMachines(t, cluster, size, 50*time.Second)
		isolateOneIn(cluster, 4, true)
		time.Sleep(time.Second)
		cluster.CrashController("n0")
		for cluster.OwnerOf("n0") == "n0" {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		if n, all := confirmedWorkers(cluster, "n0"), cluster.WorkersInShard("n0")*3/4; n < all*95/100 {
			t.Errorf("%d of %d workers that can be reached were heard in 1.5 s", n, all)
		}
		s := fake.JobSpec("wk-7000", jobs.Gang, 16, 7)
		s.Urgency, s.OneZone = "prod", true
		requireAccepted(t, cluster, "n2", s, 5*time.Second)
		requireDone(t, cluster, "n1", "wk-7000", 12*time.Second)
		isolateOneIn(cluster, 4, false)
		for i := range size / 100 {
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", i+1), 150*time.Second)
		}
	})
}

// A cut keeps all workers from everybody for longer than their leases, and they
// come back in one moment: their tasks are gone, and start again at once.
func TestThousandMachinesReconnectTogether(t *testing.T) {
	const size = 1000
	runLargeScenario(t, size, func(_ context.Context, cluster *fake.Cluster) {
		fillMachines(t, cluster, size, 30*time.Second)
		isolateOneIn(cluster, 1, true)
		time.Sleep(40 * time.Second)
		isolateOneIn(cluster, 1, false)
		for i := range size / 100 {
			requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", i+1), 75*time.Second)
			requireDone(t, cluster, "n2", fmt.Sprintf("wk-%d", 9000+i), 75*time.Second)
		}
	})
}

// What a job costs in the state service does not depend on how many machines there
// are: a gang six changes (accepted, claimed, done), an array two for each share's
// claim, and what its ranges tell of tasks that are done. Without the other
// controllers' beats, as here, all three may claim at the same moment.
func TestWritesPerJobIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{120, 900} {
		runLargeScenario(t, size, func(_ context.Context, cluster *fake.Cluster) {
			writes := func() int { return cluster.Store.WriteCountOf(jobs.JobPrefix, jobs.RangePrefix, jobs.FinalPrefix) }
			before := writes()
			g := fake.JobSpec("wk-1", jobs.Gang, 24, 7)
			g.OneZone = true
			requireAccepted(t, cluster, "n0", g, 10*time.Second)
			requireDone(t, cluster, "n1", "wk-1", 30*time.Second)
			gang := writes() - before
			before = writes()
			requireAccepted(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 300, 1), 10*time.Second)
			requireDone(t, cluster, "n1", "wk-2", 40*time.Second)
			time.Sleep(3 * time.Second)
			array := writes() - before
			t.Logf("%d machines: a gang %d changes, an array of 300 tasks %d", size, gang, array)
			if gang > 10 || array > 10 { // two controllers may claim in vain, once
				t.Errorf("%d machines: a gang took %d changes, an array of 300 tasks %d", size, gang, array)
			}
		})
	}
}
