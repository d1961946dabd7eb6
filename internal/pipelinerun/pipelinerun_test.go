package pipelinerun_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/peer"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
)

// tale runs a story with three controllers that run pipeline files and six machines, and
// fails it on any broken rule.
func tale(t *testing.T, tell func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) { cluster.RunPipelines = true })
		time.Sleep(3 * time.Second)
		for i := range 6 {
			cluster.AddMachine([]string{"a", "b", "b"}[i%3], false)
		}
		time.Sleep(5 * time.Second)
		tell(t, cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

const head = `
default: {cluster: {class: c, team: ops, image: img, cpus: 1, memory_gb: 1, estimate_s: 3}}
stages: [one, two, three]
`

const diamond = head + `
top: {stage: one, cluster: {tasks: 3}}
left: {stage: two, needs: [top]}
right: {stage: two, needs: [top], cluster: {kind: gang, tasks: 2, one_zone: true}}
end: {stage: three}
`

func plan(t *testing.T, file string) *pipeline.Plan {
	t.Helper()
	p, _, err := pipeline.Parse([]byte(file), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func begin(t *testing.T, cluster *fake.Cluster, node, id, file string) {
	t.Helper()
	if r := cluster.Nodes[node].PipelineLeader.Create(id, "tale", []byte(file), plan(t, file)); r.Code != 201 {
		t.Fatalf("%s: answered %+v", id, r)
	}
}

// over waits for the end of a run.
func over(t *testing.T, cluster *fake.Cluster, node, id string, limit time.Duration) *pipelinerun.RunView {
	t.Helper()
	var last pipelinerun.Response
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if n := cluster.Nodes[node]; n == nil {
			continue
		}
		if last = cluster.Nodes[node].PipelineLeader.Get(id); last.Run != nil && last.Run.IsFinished {
			return last.Run
		}
	}
	t.Fatalf("%s is not over after %v: %+v %+v", id, limit, last, last.Run)
	return nil
}

func states(v *pipelinerun.RunView) string {
	var out []string
	for _, j := range v.Jobs {
		out = append(out, j.Name+" "+j.Status)
	}
	return strings.Join(out, ", ")
}

// leader is the controller that holds the share of a run.
func leader(cluster *fake.Cluster, id string) string {
	for _, n := range []string{"n0", "n1", "n2"} {
		if cluster.Nodes[n] != nil {
			if r := cluster.Nodes[n].PipelineLeader.Get(id); r.Run != nil && r.Run.HomeShard != "" {
				return cluster.OwnerOf(r.Run.HomeShard)
			}
		}
	}
	return ""
}

// once tells of tasks of runs that were started more than once.
func once(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	for task, n := range cluster.StartCounts() {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// alone is a tale with a single controller: which of several claims a job first is chance
// where they hear nothing of each other.
func alone(t *testing.T, tell func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a"}, func(cluster *fake.Cluster) { cluster.RunPipelines = true })
		time.Sleep(3 * time.Second)
		for range 6 {
			cluster.AddMachine("a", false)
		}
		time.Sleep(5 * time.Second)
		tell(t, cluster)
		stop()
		synctest.Wait()
	})
}

// The same work by file and by hand, submitted at the same moments under the same ids:
// it runs in the same places, as often, with the same answers.
func TestByFileAndByHandIsTheSame(t *testing.T) {
	p := plan(t, diamond)
	ref := func(i int) string { return pipelineexec.JobRef("run-5", i, pipelineexec.JobState{}) }
	watch := func(cluster *fake.Cluster, on map[string]string) {
		for i, j := range p.Jobs {
			for k := range j.Spec.Tasks {
				task := jobs.TaskName(ref(i), k)
				if at := cluster.RunningOn(task); len(at) > 0 {
					on[task] = strings.Join(at, " ")
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ends := func(cluster *fake.Cluster) (out []string) {
		for i := range p.Jobs {
			r := cluster.Poll("n0", ref(i))
			out = append(out, fmt.Sprint(r.Status, r.DoneTasks))
		}
		return out
	}
	byFile, byHand, when := map[string]string{}, map[string]string{}, make([]time.Time, len(p.Jobs))
	var files, hands []string
	var tries, again map[string]int
	alone(t, func(t *testing.T, cluster *fake.Cluster) {
		begin(t, cluster, "n0", "run-5", diamond)
		for v := cluster.Nodes["n0"].PipelineLeader.Get("run-5"); v.Run == nil || !v.Run.IsFinished; v = cluster.Nodes["n0"].PipelineLeader.Get("run-5") {
			watch(cluster, byFile)
			for i := range p.Jobs {
				var rec jobs.JobRecord
				if raw, there := cluster.Store.Value(jobs.JobKey(ref(i))); there && json.Unmarshal([]byte(raw), &rec) == nil {
					when[i] = time.UnixMilli(rec.AcceptedAtMS)
				}
			}
		}
		files, tries = ends(cluster), cluster.StartCounts()
		if v := cluster.Nodes["n0"].PipelineLeader.Get("run-5").Run; states(v) != "top success, left success, right success, end success" {
			t.Errorf("%s: %s", v.Status, states(v))
		}
	})
	alone(t, func(t *testing.T, cluster *fake.Cluster) {
		for i, j := range p.Jobs {
			spec := j.Spec
			spec.Ref = ref(i)
			time.AfterFunc(time.Until(when[i]), func() { cluster.Submit("n0", spec, 3*time.Second) })
		}
		for start := time.Now(); time.Since(start) < 30*time.Second; {
			watch(cluster, byHand)
		}
		hands, again = ends(cluster), cluster.StartCounts()
	})
	if len(byFile) != 7 || fmt.Sprint(byFile) != fmt.Sprint(byHand) {
		t.Errorf("by file: %v\nby hand: %v", byFile, byHand)
	}
	if fmt.Sprint(files) != fmt.Sprint(hands) || files[3] != "done1" {
		t.Errorf("answers by file %v, by hand %v", files, hands)
	}
	if len(tries) != 7 || fmt.Sprint(tries) != fmt.Sprint(again) {
		t.Errorf("starts by file %v, by hand %v", tries, again)
	}
}

// The leading controller is killed after each change of the state service in turn: every
// job is done in the end, and no task ran twice.
func TestTheLeaderIsKilledAtEveryStep(t *testing.T) {
	for step := range 16 {
		t.Run(fmt.Sprint("after change ", step), func(t *testing.T) {
			tale(t, func(t *testing.T, cluster *fake.Cluster) {
				count := func() int {
					return cluster.Store.WriteCountOf(jobs.OpaquePrefix, jobs.JobPrefix, jobs.FinalPrefix, jobs.RangePrefix, jobs.CompletionBatchPrefix)
				}
				from := count()
				begin(t, cluster, "n1", "run-9", diamond)
				lead := leader(cluster, "run-9")
				for end := time.Now().Add(40 * time.Second); count()-from <= step && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				cluster.CrashController(lead)
				time.Sleep(3 * time.Second)
				cluster.StartController(lead)
				v := over(t, cluster, "n2", "run-9", 90*time.Second)
				if v.Status != pipelineexec.RunSucceeded {
					t.Errorf("%s: %s", v.Status, states(v))
				}
				time.Sleep(5 * time.Second)
				for _, n := range []string{"n0", "n1", "n2"} {
					if r := cluster.Nodes[n].PipelineLeader.Get("run-9"); r.Run == nil || r.Run.Status != v.Status || r.Run.EndedAtMS != v.EndedAtMS {
						t.Errorf("%s tells another end: %+v", n, r.Run)
					}
				}
				for i, j := range plan(t, diamond).Jobs {
					if got := cluster.Poll("n0", pipelineexec.JobRef("run-9", i, pipelineexec.JobState{})); got.Status != jobs.Done {
						t.Errorf("%s is %+v", j.Name, got)
					}
				}
				once(t, cluster)
			})
		})
	}
}

// A run is cancelled while a stage drains, its leader ends, and the last job ends, all
// within a second of each other and in every order: there is one answer, and nothing
// starts after the cancellation was answered.
func TestCancelTakeoverAndTheLastEndAtOneMoment(t *testing.T) {
	const file = head + `
quick: {stage: one, interruptible: true, cluster: {estimate_s: 30, checkpoint_s: 5, save_s: 2}}
slow: {stage: one}
next: {stage: two, when: always}
`
	for i, order := range [][3]time.Duration{{0, 0, 0}, {0, 500, 900}, {900, 500, 0}, {500, 0, 900}, {500, 900, 0}, {0, 100, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			tale(t, func(t *testing.T, cluster *fake.Cluster) {
				begin(t, cluster, "n0", "run-3", file)
				lead := leader(cluster, "run-3")
				other := "n1"
				if lead == other {
					other = "n2"
				}
				time.Sleep(3*time.Second + order[2]*time.Millisecond - 900*time.Millisecond) // slow ends at about 3 s
				how := []string{pipelineexec.CancelDrain, pipelineexec.CancelNow}[i%2]
				by, answered := cluster.Nodes[other], make(chan bool)
				go func() {
					time.Sleep(order[0] * time.Millisecond)
					for by.PipelineLeader.Cancel("run-3", how).Code != 200 {
						time.Sleep(time.Second)
					}
					close(answered)
				}()
				time.Sleep(order[1] * time.Millisecond)
				cluster.CrashController(lead)
				<-answered
				before := len(cluster.StartCounts())
				v := over(t, cluster, other, "run-3", 60*time.Second)
				if n := len(cluster.StartCounts()); n != before {
					t.Errorf("%d tasks started after the cancellation was answered", n-before)
				}
				cluster.StartController(lead)
				time.Sleep(10 * time.Second)
				for n := range cluster.Nodes {
					if again := cluster.Nodes[n].PipelineLeader.Get("run-3").Run; again == nil || states(again) != states(v) || again.Status != v.Status {
						t.Errorf("%s tells %+v", n, again)
					}
				}
				if !strings.Contains(states(v), "quick canceled") || v.Status != pipelineexec.RunCancelled {
					t.Errorf("%s: %s", v.Status, states(v))
				}
				for k := range 3 {
					if got := cluster.Poll("n0", pipelineexec.JobRef("run-3", k, pipelineexec.JobState{})); got.Status == jobs.Running || got.Status == jobs.Queued {
						t.Errorf("job %d goes on: %+v", k, got)
					}
				}
			})
		})
	}
}

// What a leader that ended still had under way must not come after the next one's steps:
// its submissions rest on a record that the next one has written anew.
func TestALateSubmissionOfAnEarlierLeaderIsRefused(t *testing.T) {
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		begin(t, cluster, "n0", "run-2", diamond)
		lead := leader(cluster, "run-2")
		other := map[string]string{"n0": "n1", "n1": "n2", "n2": "n0"}[lead]
		row, _, _, err := cluster.Nodes[other].Conn.Get(t.Context(), kvstore.Normal, jobs.OpaquePrefix+"run/run-2")
		if err != nil {
			t.Fatal(err)
		}
		submit := func(ref string) int {
			spec := plan(t, diamond).Jobs[3].Spec
			spec.Ref = ref
			reply := make(chan controller.Response, 1)
			cluster.Nodes[other].Controller.SubmitIf(&spec, kvstore.Condition{Key: row.Key, Revision: row.Revision}, reply)
			return (<-reply).Code
		}
		if code := submit("pl-1"); code != 201 {
			t.Errorf("under the present record: %d", code)
		}
		cluster.CrashController(lead)
		time.Sleep(8 * time.Second)
		if _, there := cluster.Store.Value(jobs.OpaquePrefix + "run/run-2"); !there {
			t.Fatal("the run is over already")
		}
		if code := submit("pl-2"); code != 409 {
			t.Errorf("under the record of the leader that ended: %d", code)
		}
		over(t, cluster, other, "run-2", 60*time.Second)
	})
}

// A controller that was held believes that it leads a run which another leads by now, and
// goes on with it: the other's steps stand.
func TestTwoThatBelieveToLead(t *testing.T) {
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		begin(t, cluster, "n0", "run-4", diamond)
		lead := leader(cluster, "run-4")
		other := map[string]string{"n0": "n1", "n1": "n2", "n2": "n0"}[lead]
		cluster.Store.RefuseNode(lead, true)
		time.Sleep(8 * time.Second) // its share has another holder
		if cluster.OwnerOf(lead) == lead {
			t.Fatal("nobody has taken its share")
		}
		if r := cluster.Nodes[other].PipelineLeader.Cancel("run-4", pipelineexec.CancelNow); r.Code != 200 {
			t.Fatalf("%+v", r)
		}
		cluster.Store.RefuseNode(lead, false)
		before := len(cluster.StartCounts())
		v := over(t, cluster, other, "run-4", 60*time.Second)
		if n := len(cluster.StartCounts()); v.Status != pipelineexec.RunCancelled || n != before {
			t.Errorf("%s, %d tasks started after the cancellation", v.Status, n-before)
		}
	})
}

// The state service is silent while the jobs of a run are submitted and end.
func TestTheStateServiceIsSilent(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 300, 2500, 3500, 4200} {
		tale(t, func(t *testing.T, cluster *fake.Cluster) {
			begin(t, cluster, "n0", "run-6", diamond)
			time.Sleep(after * time.Millisecond)
			cluster.Store.SetOutage(true)
			time.Sleep(12 * time.Second)
			cluster.Store.SetOutage(false)
			if v := over(t, cluster, "n1", "run-6", 90*time.Second); v.Status != pipelineexec.RunSucceeded {
				t.Errorf("%s: %s", v.Status, states(v))
			}
		})
	}
}

// What fails everywhere and what takes too long is tried again as often as the file says,
// and an id that a user has taken is left alone.
func TestFailuresAndTakenIDs(t *testing.T) {
	const file = head + `
long: {stage: one, timeout: 6s, retry: 1, cluster: {estimate_s: 60}}
fine: {stage: one}
undo: {stage: two, when: on_failure}
`
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		taken := fake.JobSpec(pipelineexec.JobRef("run-7", 1, pipelineexec.JobState{}), jobs.Array, 1, 1)
		cluster.Submit("n2", taken, 20*time.Second)
		begin(t, cluster, "n0", "run-7", file)
		v := over(t, cluster, "n1", "run-7", 60*time.Second)
		if v.Status != pipelineexec.RunFailed || states(v) != "long failed, fine success, undo success" || v.Jobs[0].Attempt != 1 ||
			v.Jobs[0].Reason != string(pipeline.CauseTimeout) {
			t.Errorf("%s: %s %+v", v.Status, states(v), v.Jobs[0])
		}
		if v.Jobs[1].Ref == taken.Ref {
			t.Error("a user's job counts as the run's")
		}
		if !cluster.WaitForStatus("n0", taken.Ref, jobs.Done, 30*time.Second) {
			t.Error("the user's own job did not go on")
		}
	})
}

// A job that another controller found at fault is stopped, and tried again as the file
// says; one that only takes long is not.
func TestWhatAnotherControllerBlamesHasFailed(t *testing.T) {
	const file = head + `
work: {stage: one, retry: {max: 1, when: script_failure}, cluster: {estimate_s: 30}}
`
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		begin(t, cluster, "n0", "run-1", file)
		lead := leader(cluster, "run-1")
		other := map[string]string{"n0": "n1", "n1": "n2", "n2": "n0"}[lead]
		time.Sleep(5 * time.Second)
		for try := range 2 {
			if v := cluster.Nodes[lead].PipelineLeader.Get("run-1").Run; v.Jobs[0].Attempt != try || v.Jobs[0].Status != "running" {
				t.Fatalf("before it is blamed: %+v", v.Jobs[0])
			}
			beat := peer.Heartbeat{Node: other, Synced: true, FaultyJobs: []string{pipelineexec.JobRef("run-1", 0, pipelineexec.JobState{Attempt: try})}}
			b, err := peer.Decode(peer.Encode(beat)[4:])
			if err != nil {
				t.Fatal(err)
			}
			cluster.Nodes[lead].Controller.HandlePeerHeartbeat(b)
			time.Sleep(3 * time.Second)
		}
		if v := over(t, cluster, "n2", "run-1", 10*time.Second); v.Status != pipelineexec.RunFailed || v.Jobs[0].Reason != string(pipeline.CauseScriptFailure) {
			t.Errorf("%s: %+v", v.Status, v.Jobs[0])
		}
	})
}

// A group's jobs are under way one at a time, whichever runs they are of and whoever
// leads them; a person starts what waits for one.
func TestGroupsAndManualJobs(t *testing.T) {
	const file = head + `
push: {stage: one, resource_group: lamps}
gate: {stage: two, when: manual, allow_failure: false}
`
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		ids := []string{"run-1", "run-2", "run-3"}
		for i, id := range ids {
			begin(t, cluster, fmt.Sprintf("n%d", i), id, file)
		}
		for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			at := 0
			for _, id := range ids {
				at += len(cluster.RunningOn(jobs.TaskName(pipelineexec.JobRef(id, 0, pipelineexec.JobState{}), 0)))
			}
			if at > 1 {
				t.Fatalf("%d jobs of a group run", at)
			}
		}
		for i, id := range ids {
			node := cluster.Nodes[fmt.Sprintf("n%d", (i+1)%3)]
			if v := node.PipelineLeader.Get(id).Run; v.Status != pipelineexec.RunManual {
				t.Errorf("%s is %s: %s", id, v.Status, states(v))
			}
			if r := node.PipelineLeader.StartManualJob(id, "gate"); r.Code != 200 {
				t.Errorf("%+v", r)
			}
			if v := over(t, cluster, "n0", id, 20*time.Second); v.Status != pipelineexec.RunSucceeded {
				t.Error(v.Status, states(v))
			}
		}
		if left := cluster.Store.Keys(jobs.OpaquePrefix + "group/"); len(left) > 0 {
			t.Errorf("left: %v", left)
		}
	})
}

// Asked for again with the same id and file a run is begun once; another file is refused.
func TestARunIsBegunOnce(t *testing.T) {
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		begin(t, cluster, "n0", "run-8", diamond)
		time.Sleep(time.Second)
		if r := cluster.Nodes["n1"].PipelineLeader.Create("run-8", "tale", []byte(diamond), plan(t, diamond)); r.Code != 200 {
			t.Errorf("repeated: %+v", r)
		}
		if r := cluster.Nodes["n2"].PipelineLeader.Create("run-8", "tale", []byte(head), plan(t, diamond)); r.Code != 409 {
			t.Errorf("another file: %+v", r)
		}
		over(t, cluster, "n1", "run-8", 60*time.Second)
		if r := cluster.Nodes["n2"].PipelineLeader.Create("run-8", "tale", []byte(diamond), plan(t, diamond)); r.Code != 200 || !r.Run.IsFinished {
			t.Errorf("after its end: %+v", r)
		}
	})
}

// Five hundred jobs in one file, and what they and small runs cost in the state service.
func TestManyJobsAndManyRuns(t *testing.T) {
	var b strings.Builder
	b.WriteString(head)
	for i := range 500 {
		fmt.Fprintf(&b, "street-%d: {stage: one, cluster: {cpus: 0.2, memory_gb: 0.1}}\n", i)
	}
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		before := cluster.Store.WriteCountOf(jobs.OpaquePrefix)
		begin(t, cluster, "n0", "run-1", b.String())
		if v := over(t, cluster, "n1", "run-1", 6*time.Minute); v.Status != pipelineexec.RunSucceeded || v.Ended != 500 {
			t.Errorf("%s, %d jobs ended", v.Status, v.Ended)
		}
		t.Logf("500 jobs: %d changes beside the jobs' own", cluster.Store.WriteCountOf(jobs.OpaquePrefix)-before)

		before = cluster.Store.WriteCountOf(jobs.OpaquePrefix)
		for i := range 40 {
			begin(t, cluster, fmt.Sprintf("n%d", i%3), fmt.Sprintf("run-%d", 100+i), diamond)
		}
		for i := range 40 {
			over(t, cluster, "n2", fmt.Sprintf("run-%d", 100+i), 4*time.Minute)
		}
		if per := float64(cluster.Store.WriteCountOf(jobs.OpaquePrefix)-before) / 40; per > 3.5 {
			t.Errorf("%.2f changes for each run", per)
		}
	})
}

// A schedule's runs are begun once for each time, whoever leads it; what was missed while
// the state service was silent is made up for by one.
func TestASchedule(t *testing.T) {
	const file = head + "a: {stage: one}\n"
	tale(t, func(t *testing.T, cluster *fake.Cluster) { // it begins on 2000-01-01 at 00:00:08 UTC
		// nobody rents here
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 6 }); err != nil {
			t.Fatal(err)
		}
		v, r := cluster.Nodes["n1"].PipelineLeader.Schedule("lamps", "*/2 * * * *", "Europe/Zurich", []byte(file), plan(t, file))
		if r.Code != 200 || v.NextAtMS != time.Date(2000, 1, 1, 0, 2, 0, 0, time.UTC).UnixMilli() {
			t.Fatalf("%+v %+v", v, r)
		}
		count := func() int {
			return len(cluster.Store.Keys(jobs.OpaquePrefix+"final/")) + len(cluster.Store.Keys(jobs.OpaquePrefix+"run/"))
		}
		time.Sleep(4*time.Minute + 30*time.Second)
		if n := count(); n != 2 {
			t.Fatalf("%d runs after two times", n)
		}
		cluster.Store.SetOutage(true)
		time.Sleep(9 * time.Minute) // 6, 8, 10 and 12 past
		cluster.Store.SetOutage(false)
		for range 3 { // the others were silent for so long that they were given up
			cluster.AddMachine("b", false)
		}
		time.Sleep(20 * time.Second) // 13:58
		if n := count(); n != 3 {
			t.Errorf("%d runs after an outage over four times", n)
		}
		cluster.CrashController("n1") // which led it
		time.Sleep(9 * time.Second)
		cluster.StartController("n1")
		time.Sleep(time.Minute)
		if n := count(); n != 4 {
			t.Errorf("%d runs after the leader's end", n)
		}
		all, _ := cluster.Nodes["n2"].PipelineLeader.Schedules()
		if len(all) != 1 || all[0].NextAtMS != time.Date(2000, 1, 1, 0, 16, 0, 0, time.UTC).UnixMilli() {
			t.Errorf("%+v", all)
		}
		if v := over(t, cluster, "n0", all[0].LastRun, time.Minute); v.Status != pipelineexec.RunSucceeded {
			t.Error(v.Status)
		}
		if r := cluster.Nodes["n2"].PipelineLeader.RemoveSchedule("lamps"); r.Code != 200 {
			t.Errorf("%+v", r)
		}
		time.Sleep(3 * time.Minute)
		if n := count(); n != 4 {
			t.Errorf("%d runs after its end", n)
		}
	})
}

// Runs of ten jobs, begun as fast as two hundred in a minute, take less than a quarter of
// the changes that the smaller deployment's state service allows (50 a second), and a
// user's own submission is answered meanwhile as ever.
func TestRunsAtTwoHundredAMinute(t *testing.T) {
	file := head + "a: {stage: one, parallel: 4, cluster: {cpus: 0.2, memory_gb: 0.1}}\nb: {stage: two, parallel: 5, cluster: {cpus: 0.2, memory_gb: 0.1}}\nc: {stage: three}\n"
	tale(t, func(t *testing.T, cluster *fake.Cluster) {
		before := cluster.Store.WriteCountOf(jobs.OpaquePrefix)
		worst := time.Duration(0)
		const n = 60
		for i := range n {
			begin(t, cluster, fmt.Sprintf("n%d", i%3), fmt.Sprintf("run-%d", i+1), file)
			if i%20 == 10 {
				start := time.Now()
				if r := cluster.Submit("n1", fake.JobSpec(fmt.Sprintf("wk-%d", i), jobs.Array, 1, 0.1), time.Second); r.Code != 201 {
					t.Errorf("a user's submission was answered %+v", r)
				}
				worst = max(worst, time.Since(start))
				// A poll waits until the copy of the records is current: that of runs must
				// not keep it from that.
				start = time.Now()
				if r := cluster.Poll("n2", fmt.Sprintf("wk-%d", i)); r.Code != 200 {
					t.Errorf("a user's poll was answered %+v", r)
				}
				worst = max(worst, time.Since(start))
			}
			time.Sleep(300 * time.Millisecond)
		}
		for i := range n {
			if v := over(t, cluster, "n2", fmt.Sprintf("run-%d", i+1), 10*time.Minute); v.Status != pipelineexec.RunSucceeded {
				t.Errorf("%s: %s", v.ID, v.Status)
			}
		}
		changes := cluster.Store.WriteCountOf(jobs.OpaquePrefix) - before
		t.Logf("%.2f changes for each run of 10 jobs, users waited for %v at the most", float64(changes)/n, worst)
		if float64(changes) > 50*n*0.3/4 || worst > 300*time.Millisecond {
			t.Errorf("%d changes for %d runs, a user waited for %v", changes, n, worst)
		}
		once(t, cluster)
	})
}

// What a run adds to the time between the end of one job and the start of the next: ten
// jobs in a row by file, and ten by hand with the next one sent as soon as a poll tells of
// the end, asked for ten times a second.
func TestTheStepFromOneJobToTheNext(t *testing.T) {
	file := head
	for i := range 10 {
		file += fmt.Sprintf("j%d: {stage: one, needs: [%s]}\n", i, map[bool]string{true: "", false: fmt.Sprintf("j%d", i-1)}[i == 0])
	}
	var byFile, byHand time.Duration
	alone(t, func(t *testing.T, cluster *fake.Cluster) {
		start := time.Now()
		begin(t, cluster, "n0", "run-1", file)
		for r := cluster.Nodes["n0"].PipelineLeader.Get("run-1"); r.Run == nil || !r.Run.IsFinished; r = cluster.Nodes["n0"].PipelineLeader.Get("run-1") {
			time.Sleep(100 * time.Millisecond)
		}
		byFile = time.Since(start)
	})
	alone(t, func(t *testing.T, cluster *fake.Cluster) {
		start := time.Now()
		for i := range 10 {
			spec := plan(t, file).Jobs[i].Spec
			spec.Ref = fmt.Sprintf("wk-%d", i)
			cluster.Submit("n0", spec, 3*time.Second)
			for cluster.Poll("n0", spec.Ref).Status != jobs.Done {
				time.Sleep(100 * time.Millisecond)
			}
		}
		byHand = time.Since(start)
	})
	added := (byFile - byHand) / 10
	t.Logf("ten jobs in a row: %v by file, %v by hand: %v for each step", byFile, byHand, added)
	if added > 400*time.Millisecond {
		t.Errorf("each step takes %v more than by hand", added)
	}
}
