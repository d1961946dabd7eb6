package lifetime_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Each machine was returned by a call of its own; the cloud takes 3 a second.
func TestMachinesAreReturnedTogether(t *testing.T) {
	d := desk.New(t, nil)
	d.Holds("n0", desk.Me, 2)
	for i := range 130 {
		d.Machines.Release(d.Machine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	d.Machines.SendReturns()
	d.Next() // the outcome
	if d.Cloud.Calls != 1 || d.Cloud.Hosts != 100 || d.Machines.Returns() != 30 {
		t.Errorf("%d calls for %d machines, %d wait", d.Cloud.Calls, d.Cloud.Hosts, d.Machines.Returns())
	}
}

type deaf struct{}

func (deaf) Inspect(context.Context, string) error { return context.DeadlineExceeded }

func (deaf) Greet(context.Context, string, uint64, uint64) (*worker.Report, error) {
	return nil, context.DeadlineExceeded
}

func (deaf) Do(context.Context, string, worker.Command) (*worker.Report, bool, error) {
	return nil, false, context.DeadlineExceeded
}

// A machine that was being returned when its controller ended held back its share
// until it had missed three reports, although the cloud no longer listed it.
func TestAMachineThatDoesNotAnswerIsLookedForAtOnce(t *testing.T) {
	d := desk.New(t, func(d *desk.Desk) {
		d.Hands, d.Cfg.Cluster.Cloud.ListLagS = deaf{}, 8
		d.Cloud.Listed = []cloud.Machine{{Host: "i-2", Status: "running"}}
	})
	for _, host := range []string{"i-1", "i-2"} {
		d.Machine(host, "n1", "m16", false)
	}
	d.Knows(100)
	d.Holds("n1", desk.Me, 6)
	d.Next()
	d.Next() // both greetings have failed
	d.Machines.LookForGone(time.Now())
	d.Next() // the list
	if gone, silent := d.Books.Machine("i-1").Is().Gone, d.Books.Machine("i-2").Is().Gone; !gone || silent {
		t.Errorf("gone: %v, listed and only silent: %v", gone, silent)
	}
}

// A few long tasks on each of many machines kept all of them: half of what was
// paid for stood empty for four minutes.
func TestLongTasksAreGatheredOnFewerMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Offers("m16")
		d.Mirror.News(nil, 100)
		spec := jobs.Spec{Ref: "wk-1", Class: "c", Kind: jobs.Array, Urgency: "idle", Tasks: 12, CPU: 4, EstimateS: 300, Spot: true, CheckpointS: 30, SaveS: 3}
		d.Job(spec, 0, 5)
		d.Holds("n0", desk.Me, 6)
		r := d.Range("wk-1", "n0", 12, 7)
		next := 0
		for i, n := range []int{1, 2, 3} { // tasks on each machine
			m := d.Machine(fmt.Sprintf("i-%d", i), "n0", "m16", false)
			d.Books.Heard(m, false, false)
			for range n {
				d.Books.Shows(d.Books.Place(r, next, m, 1), worker.Running, time.Now())
				next++
			}
		}
		drained := func(i int) bool { return d.Books.Machine(fmt.Sprintf("i-%d", i)).Is().Drained }
		time.Sleep(4*time.Minute + 30*time.Second) // of 5 expected
		d.Machines.MarkSurplus()
		d.Machines.Gather(time.Now())
		if drained(0) {
			t.Error("a task that is nearly done is moved")
		}
		s := r.Slot(0)
		m := s.Machine()
		d.Books.Unplace(s)
		d.Books.Shows(d.Books.Place(r, 0, m, 2), worker.Running, time.Now())
		for i := 1; i < next; i++ {
			d.Books.Shows(r.Slot(i), worker.Pulling, time.Now())
			d.Books.Shows(r.Slot(i), worker.Running, time.Now())
		}
		time.Sleep(max(40*time.Second, tuning.GatherEvery))
		d.Machines.MarkSurplus()
		d.Machines.Gather(time.Now())
		if !drained(0) || drained(1) || drained(2) {
			t.Error("the emptiest machine's task fits on the others: it alone is emptied")
		}
	})
}

// A worker that is silent for longer than its lease has lost its tasks, and what it says
// later in the same session brings none of them back.
func TestAWorkerThatComesBackLateHasNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(t, nil)
		d.Offers("m16")
		m := d.Machine("i-1", "n0", "m16", false)
		d.Mirror.News(nil, 5)
		d.Holds("n0", desk.Me, 5)
		d.Knows(5)
		d.Job(jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 1, CPU: 1}, 0, 6)
		r := d.Range("wk-1", "n0", 1, 7)
		running := worker.Entry{Task: "wk-1/0", Try: 9, Status: worker.Running}
		d.Hears("i-1", 1, 5, running)
		if r.Slot(0) == nil {
			t.Fatal("the task is not known where it runs")
		}
		time.Sleep(d.Cfg.LeaseOver() + 2*time.Second)
		d.Knows(5)
		d.Machines.Tick(time.Now())
		if !m.Is().Gone || r.Slot(0) != nil {
			t.Fatal("the task of a worker without a lease has its place yet")
		}
		if v := d.Hears("i-1", 2, 5, running); v.Status != 503 || r.Slot(0) != nil {
			t.Errorf("its report was answered %+v", v)
		}
	})
}

// An idle machine is kept for a gang that waits for others to boot, but not for one that
// its team's limit keeps from starting.
func TestNoMachineIsKeptForWhatALimitKeepsFromStarting(t *testing.T) {
	for used, kept := range map[float64]bool{0: true, 20: false} {
		synctest.Test(t, func(t *testing.T) {
			d := desk.New(t, func(d *desk.Desk) { d.Cfg.Cluster.Teams = []config.Team{{Name: "few", CPUsMax: 28}} })
			d.Offers("m16")
			m := d.Machine("i-1", "n0", "m16", false)
			d.Mirror.News(nil, 5)
			d.Holds("n0", desk.Me, 5)
			d.Knows(5)
			d.Hears("i-1", 1, 5)
			gang := jobs.Spec{Ref: "wk-1", Team: "few", Kind: jobs.Gang, Urgency: "high", Tasks: 4, CPU: 7}
			d.Job(gang, 4, 6)
			if used > 0 { // by another share
				d.Job(jobs.Spec{Ref: "wk-2", Team: "few", Kind: jobs.Array, Urgency: "high", Tasks: 1, CPU: used}, 0, 6)
				d.Range("wk-2", "n1", 1, 7)
			}
			time.Sleep(tuning.LeastCharge + tuning.IdleMost)
			d.Knows(7)
			d.Hears("i-1", 2, 5)
			d.Machines.Upkeep(time.Now())
			if m.Is().Releasing == kept {
				t.Errorf("%v of 28 CPUs used elsewhere: returned %v", used, m.Is().Releasing)
			}
		})
	}
}

// A share changed hands a moment after machines of it had been returned. The records
// stayed, since dropping them was bound to the share, and its next holder waited for 13 to
// 36 s for machines that were gone.
func TestWhatWasReturnedIsDroppedWhoeverHoldsTheShare(t *testing.T) {
	d := desk.New(t, nil)
	d.Holds("n0", desk.Me, 2)
	d.Cloud.Takes = true
	for i := range 50 {
		d.Machines.Release(d.Machine(fmt.Sprintf("i-%d", i), "n0", "m16", false))
	}
	d.Machines.SendReturns()
	d.Holds("n0", desk.N1, 8)
	d.State.Takes(9)
	d.Next() // the cloud's answer
	d.Next()
	d.Next() // both changes
	if _, left := d.Books.Sizes(); left != 0 || len(d.State.Asked()) != 2 {
		t.Errorf("%d records left after %d changes", left, len(d.State.Asked()))
	}
	for _, x := range d.State.Asked() {
		for _, c := range x.If {
			if !strings.HasPrefix(c.Key, jobs.WorkerPrefix) || c.Stamp == 0 {
				t.Errorf("a drop is bound to %+v", c)
			}
		}
	}
}
