package placement_test

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

	"cherrywall/internal/fake"
	"cherrywall/internal/fleet"
	"cherrywall/internal/jobs"
	"cherrywall/internal/recovery"
)

// TestMinute is what three controllers together need for a minute of a
// deployment under load: reports, claims, decisions, ticks; not the sockets.
func TestMinute(t *testing.T) {
	size, err := strconv.Atoi(os.Getenv("CHERRYWALL_MACHINES"))
	if err != nil {
		t.Skip("set CHERRYWALL_MACHINES to the number of machines")
	}
	load, err := strconv.ParseFloat(os.Getenv("CHERRYWALL_LOAD"), 64)
	if err != nil {
		load = 1
	}
	minute(t, size, load)
}

// large is a deployment of three zones with so many machines, half of them cheap,
// in which the tale begins once all have a share.
func large(t *testing.T, size int, tale func(ctx context.Context, w *fake.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w := fake.NewWorldOf(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "c"}, func(w *fake.World) {
			w.Cfg.Cluster.Workers.ReportS, w.Cfg.Cluster.Workers.LeaseS, w.Cfg.Cluster.Workers.CancelS = 5, 26.5, 46.5
			w.Cfg.Cluster.Teams = w.Cfg.Cluster.Teams[:1]
			w.Flavor[0].CPU, w.Flavor[0].MemGB, w.Flavor[0].Zones = 16, 64, []string{"a", "b", "c"}
		})
		time.Sleep(3 * time.Second)
		for i := range size {
			w.Add([]string{"a", "b", "c"}[i%3], i%2 == 1)
		}
		time.Sleep(10 * time.Second)
		tale(ctx, w)
		for _, b := range w.Broken() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// full submits arrays and gangs that fill most of the machines for so long.
func full(t *testing.T, w *fake.World, size int, run time.Duration) {
	t.Helper()
	for i := range size / 100 {
		s := fake.Job(fmt.Sprintf("wk-%d", i+1), jobs.Array, 700, 1)
		s.Spot, s.MemGB = true, 1
		accept(t, w, "n0", s, run)
		g := fake.Job(fmt.Sprintf("wk-%d", 9000+i), jobs.Gang, 8, 7)
		g.OneZone, g.Urgency = true, "high"
		accept(t, w, "n1", g, run)
	}
	time.Sleep(15 * time.Second)
}

// heard is how many workers of a share its holder has heard since it took it.
func heard(w *fake.World, share string) int {
	v, _ := w.Nodes[w.Holder(share)].Brain.View("start")
	for _, s := range v.([]recovery.View) {
		if s.Share == share {
			return s.Heard
		}
	}
	return 0
}

// cutOff separates one machine of so many from everybody, or joins them again.
func cutOff(w *fake.World, of int, on bool) {
	for i, h := range w.Hosts() {
		if i%of == 0 {
			w.CutOff(h, on)
		}
	}
}

func minute(t *testing.T, size int, load float64) {
	large(t, size, func(ctx context.Context, w *fake.World) {
		for i, n := range []string{"n0", "n1", "n2"} {
			go fleet.New(n, uint64(i+1), w.Cfg, w.Nodes[n].Port, w, w.Nodes[n].Brain, slog.New(slog.DiscardHandler)).Run(ctx)
		}
		rnd := rand.New(rand.NewPCG(1, uint64(size)))
		scale := float64(size) / 1200 * load
		start := cpu(t)
		end := time.Now().Add(120 * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (1.54 * scale) * float64(time.Second)))
			s := fake.Job(fmt.Sprintf("wk-%d", n+1), jobs.Gang, []int{1, 4, 8, 16, 24}[rnd.IntN(5)], 7)
			s.Class, s.Urgency, s.OneZone, s.MemGB, s.EstimateS, s.CheckpointS, s.SaveS = "sync", "high", true, 26, 60, 60, 6
			run := 60 * math.Exp(rnd.NormFloat64()*0.6)
			if rnd.Float64() < 0.133 {
				s = fake.Job(s.Ref, jobs.Array, int(min(2000, 300*math.Exp(rnd.NormFloat64()*0.7))), 1)
				s.Class, s.Spot, s.MemGB, s.EstimateS = "build", true, 3.6, 40
				run = 40 * math.Exp(rnd.NormFloat64()*0.6)
			}
			w.Submit(fmt.Sprintf("n%d", rnd.IntN(3)), s, time.Duration(run*float64(time.Second)))
		}
		t.Logf("%.2f s of processor time a minute", float64(cpu(t)-start)/2e9)
	})
}

// All controllers restart while a thousand workers run tasks, and all of them report
// at once: every task goes on where it is, and new work starts within seconds.
func TestAllControllersRestartWithAThousandWorkers(t *testing.T) {
	const size = 1000
	large(t, size, func(_ context.Context, w *fake.World) {
		full(t, w, size, 40*time.Second)
		before := len(w.Starts())
		restart(w, 6*time.Second)
		time.Sleep(5 * time.Second)
		s := fake.Job("wk-7000", jobs.Gang, 16, 7)
		s.Urgency, s.OneZone = "prod", true
		accept(t, w, "n2", s, 5*time.Second)
		done(t, w, "n0", "wk-7000", 12*time.Second)
		for i := range size / 100 {
			done(t, w, "n1", fmt.Sprintf("wk-%d", i+1), 60*time.Second)
			done(t, w, "n1", fmt.Sprintf("wk-%d", 9000+i), 60*time.Second)
		}
		again := 0
		for _, k := range w.Starts() {
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
func TestAStartWithAQuarterOfAThousandMachinesSilent(t *testing.T) {
	const size = 1000
	large(t, size, func(_ context.Context, w *fake.World) {
		full(t, w, size, 60*time.Second)
		before := w.Starts()
		cutOff(w, 4, true)
		restart(w, 6*time.Second)
		for !w.Nodes["n0"].Brain.Healthy() {
			time.Sleep(50 * time.Millisecond)
		}
		s := fake.Job("wk-7000", jobs.Gang, 4, 1)
		s.OneZone = true
		accept(t, w, "n2", s, 5*time.Second)
		time.Sleep(4 * time.Second)
		if n := w.Starts()["wk-7000/0"]; n != 1 {
			t.Errorf("a gang that nobody had claimed was started %d times 4 s after the start", n)
		}
		time.Sleep(6 * time.Second)
		again := 0
		for task, k := range w.Starts() {
			if before[task] > 0 && k > before[task] {
				again++
			}
		}
		if again > 0 {
			t.Errorf("%d tasks were started anew within 10 s of the start", again)
		}
		if n := w.Workers(); n != size {
			t.Errorf("%d machines were returned", size-n)
		}
		cutOff(w, 4, false)
		for i := range size / 100 {
			done(t, w, "n1", fmt.Sprintf("wk-%d", i+1), 150*time.Second)
		}
	})
}

// A controller crashes while a quarter of all machines can't be reached: the others of
// its share are heard within seconds, one after the other's silence does not add up.
func TestATakeoverWithAQuarterOfTheMachinesSilent(t *testing.T) {
	const size = 1000
	large(t, size, func(_ context.Context, w *fake.World) {
		full(t, w, size, 50*time.Second)
		cutOff(w, 4, true)
		time.Sleep(time.Second)
		w.Crash("n0")
		for w.Holder("n0") == "n0" {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		if n, all := heard(w, "n0"), w.InShare("n0")*3/4; n < all*95/100 {
			t.Errorf("%d of %d workers that can be reached were heard in 1.5 s", n, all)
		}
		s := fake.Job("wk-7000", jobs.Gang, 16, 7)
		s.Urgency, s.OneZone = "prod", true
		accept(t, w, "n2", s, 5*time.Second)
		done(t, w, "n1", "wk-7000", 12*time.Second)
		cutOff(w, 4, false)
		for i := range size / 100 {
			done(t, w, "n1", fmt.Sprintf("wk-%d", i+1), 150*time.Second)
		}
	})
}

// A cut keeps all workers from everybody for longer than their leases, and they
// come back in one moment: their tasks are gone, and start again at once.
func TestAThousandMachinesComeBackTogether(t *testing.T) {
	const size = 1000
	large(t, size, func(_ context.Context, w *fake.World) {
		full(t, w, size, 30*time.Second)
		cutOff(w, 1, true)
		time.Sleep(40 * time.Second)
		cutOff(w, 1, false)
		for i := range size / 100 {
			done(t, w, "n1", fmt.Sprintf("wk-%d", i+1), 75*time.Second)
			done(t, w, "n2", fmt.Sprintf("wk-%d", 9000+i), 75*time.Second)
		}
	})
}

// What a job costs in the state service does not depend on how many machines there
// are: a gang six changes (accepted, claimed, done), an array two for each share's
// claim, and what its ranges tell of tasks that are done. Without the other
// controllers' beats, as here, all three may claim at the same moment.
func TestTheChangesOfAJobDoNotGrowWithTheMachines(t *testing.T) {
	for _, size := range []int{120, 900} {
		large(t, size, func(_ context.Context, w *fake.World) {
			writes := func() int { return w.Store.WritesOf(jobs.JobPrefix, jobs.RangePrefix, jobs.FinalPrefix) }
			before := writes()
			g := fake.Job("wk-1", jobs.Gang, 24, 7)
			g.OneZone = true
			accept(t, w, "n0", g, 10*time.Second)
			done(t, w, "n1", "wk-1", 30*time.Second)
			gang := writes() - before
			before = writes()
			accept(t, w, "n0", fake.Job("wk-2", jobs.Array, 300, 1), 10*time.Second)
			done(t, w, "n1", "wk-2", 40*time.Second)
			time.Sleep(3 * time.Second)
			array := writes() - before
			t.Logf("%d machines: a gang %d changes, an array of 300 tasks %d", size, gang, array)
			if gang > 10 || array > 10 { // two controllers may claim in vain, once
				t.Errorf("%d machines: a gang took %d changes, an array of 300 tasks %d", size, gang, array)
			}
		})
	}
}
