package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func tinyJob(i int) jobs.Spec { return fake.JobSpec(fmt.Sprintf("wk-%d", 1000+i), jobs.Array, 1, 0.25) }

// The life of a job of one task took six changes in the state service, of which
// there are 50 a second for everybody; 12 such jobs a second came.
func TestTinyJobFloodNeedsFewWrites(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 8 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		// room is not what this is about
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 8 }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := cluster.Store.WriteCount()
		const n = 240
		for i := range n { // 12 a second
			requireAccepted(t, cluster, fmt.Sprintf("n%d", i%3), tinyJob(i), 8*time.Second)
			time.Sleep(83 * time.Millisecond)
		}
		during := cluster.Store.WriteCount() - before
		for i := range n {
			requireDone(t, cluster, fmt.Sprintf("n%d", (i+1)%3), tinyJob(i).Ref, 25*time.Second)
		}
		if per := float64(during) / n; per > 1.6 {
			t.Errorf("%.2f changes for each job", per)
		}
		if response := cluster.Submit("n2", tinyJob(3), time.Second); response.Code != 200 || response.Status != jobs.Done || response.DoneTasks != tinyJob(3).Tasks {
			t.Errorf("a late retry was answered %+v", response)
		}
		time.Sleep(time.Minute) // now there is time to tidy up
		if left := append(cluster.Store.Keys(jobs.JobPrefix), cluster.Store.Keys(jobs.CompletionBatchPrefix)...); len(left) > 0 {
			t.Errorf("%d records are left: %v", len(left), left[0])
		}
		for _, node := range []string{"n0", "n1", "n2"} {
			cluster.CrashController(node)
			cluster.StartController(node)
		}
		time.Sleep(5 * time.Second)
		if response := cluster.Submit("n1", tinyJob(7), time.Second); response.Code != 200 || response.Status != jobs.Done || response.DoneTasks != tinyJob(7).Tasks {
			t.Errorf("after everything was forgotten the retry was answered %+v", response)
		}
		for task, k := range cluster.StartCounts() {
			if k != 1 {
				t.Errorf("%s started %d times", task, k)
			}
		}
	})
}

// A tiny job's end is written where its own record does not show it. A
// cancellation at another controller at that moment must hear of it.
func TestTinyJobCancellationIsFinal(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 4 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		const n = 60
		for i := range n {
			requireAccepted(t, cluster, "n0", tinyJob(i), 5*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		cluster.Store.DelayWatch("n2", 300*time.Millisecond) // where cancellations are taken
		told := map[string]string{}
		ends := map[string]int{}
		time.Sleep(2500 * time.Millisecond)
		for i := range n {
			response := cluster.Cancel("n2", tinyJob(i).Ref)
			if response.Code != 200 {
				t.Fatalf("%+v", response)
			}
			told[response.Ref] = response.Status
			ends[response.Status]++
		}
		cluster.CrashController("n0")
		time.Sleep(20 * time.Second)
		for ref, status := range told {
			if response := cluster.Poll("n1", ref); response.Status != status {
				t.Errorf("%s was called %s and then %+v", ref, status, response)
			}
		}
		if ends[jobs.Done] == 0 || ends[jobs.Cancelled] == 0 {
			t.Errorf("the tale tells nothing: %v", ends)
		}
	})
}

func TestTinyJobsSurviveOwnerCrash(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 2 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		for i := range 20 {
			requireAccepted(t, cluster, fmt.Sprintf("n%d", i%2), tinyJob(i), time.Duration(2+i)*time.Second)
		}
		time.Sleep(6 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(8 * time.Second)
		cluster.CrashController("n1")
		cluster.StartController("n0")
		for i := range 20 {
			requireDone(t, cluster, "n2", tinyJob(i).Ref, 90*time.Second)
		}
		for task, k := range cluster.StartCounts() {
			if k != 1 {
				t.Errorf("%s started %d times", task, k)
			}
		}
	})
}

// Tiny jobs are submitted, repeated, asked for and cancelled at any controller,
// while controllers crash, are refused, lag and lose answers. Nothing that was
// told may be taken back, and every job comes to its end.
func TestTinyJobsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) { runTinyJobs(t, cluster, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func runTinyJobs(t *testing.T, cluster *fake.Cluster, rnd *rand.Rand) {
	names := []string{"n0", "n1", "n2"}
	for range 3 {
		cluster.AddMachine("a", false)
		cluster.AddMachine("b", false)
		cluster.AddMachine("b", false)
	}
	time.Sleep(5 * time.Second)
	if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
		t.Fatal(err)
	}
	told := map[string]string{} // the last state that cannot change any more, or "accepted"
	var refs []string
	hear := func(what, ref string, code int, status string) {
		switch before := told[ref]; {
		case code == 404 && before != "" || code == 400 || code == 422:
			t.Errorf("%s: %s of a job called %q answered %d", ref, what, before, code)
		case code != 200 && code != 201:
		case (before == jobs.Done || before == jobs.Cancelled) && status != before:
			t.Errorf("%s: called %s, then %s by %s", ref, before, status, what)
		case status == jobs.Done || status == jobs.Cancelled:
			told[ref] = status
		case before == "":
			told[ref] = "accepted"
		}
	}
	someone := func() string { // a controller that runs
		for {
			if n := names[rnd.IntN(3)]; cluster.Nodes[n] != nil {
				return n
			}
		}
	}
	down, refused := "", ""
	for i := range 400 {
		time.Sleep(time.Duration(20+rnd.IntN(160)) * time.Millisecond)
		switch k := rnd.IntN(100); {
		case k < 40 || len(refs) == 0:
			s := tinyJob(i)
			s.Tasks = 1 + rnd.IntN(3)*rnd.IntN(2)
			if rnd.IntN(8) == 0 {
				cluster.Nodes[someone()].Conn.DropAnswers(1)
			}
			response := cluster.Submit(someone(), s, time.Duration(1+rnd.IntN(9))*time.Second)
			hear("submission", s.Ref, response.Code, response.Status)
			refs = append(refs, s.Ref)
		case k < 50:
			ref := refs[rnd.IntN(len(refs))]
			if told[ref] != "" {
				s := tinyJob(0)
				s.Ref = ref
				response := cluster.Resubmit(someone(), s)
				hear("repeated submission", ref, response.Code, response.Status)
			}
		case k < 80:
			ref := refs[rnd.IntN(len(refs))]
			if response := cluster.Poll(someone(), ref); told[ref] != "" || response.Code == 200 {
				hear("poll", ref, response.Code, response.Status)
			}
		case k < 92:
			ref := refs[rnd.IntN(len(refs))]
			if response := cluster.Cancel(someone(), ref); told[ref] != "" || response.Code == 200 {
				hear("cancellation", ref, response.Code, response.Status)
			}
		case k < 94 && down == "":
			down = someone()
			cluster.CrashController(down)
		case k < 96 && down != "":
			cluster.StartController(down)
			down = ""
		case k < 98:
			cluster.Store.RefuseNode(refused, false)
			if refused = ""; rnd.IntN(2) == 0 {
				refused = someone()
				cluster.Store.RefuseNode(refused, true)
			}
		default:
			cluster.Store.DelayWatch(someone(), time.Duration(rnd.IntN(400))*time.Millisecond)
		}
	}
	cluster.Store.RefuseNode(refused, false)
	if down != "" {
		cluster.StartController(down)
	}
	for _, n := range names {
		cluster.Store.DelayWatch(n, 0)
	}
	time.Sleep(90 * time.Second)
	ends := map[string]int{}
	for _, ref := range refs {
		if told[ref] == "" {
			continue
		}
		for _, n := range names {
			response := cluster.Poll(n, ref)
			hear("last poll", ref, response.Code, response.Status)
			if response.Status != jobs.Done && response.Status != jobs.Cancelled {
				t.Errorf("%s at %s after all: %+v", ref, n, response)
			}
		}
		ends[told[ref]]++
	}
	if ends[jobs.Done] < 30 || ends[jobs.Cancelled] < 5 {
		t.Errorf("the tale tells little: %v", ends)
	}
	if left := append(cluster.Store.Keys(jobs.JobPrefix), cluster.Store.Keys(jobs.CompletionBatchPrefix)...); len(left) > 0 {
		t.Errorf("%d records are left, %s", len(left), left[0])
	}
}
