package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// tinyJob returns a job of one task.
func tinyJob(i int) jobs.Spec { return fake.JobSpec(jobRef(1000+i), jobs.Array, 1, 0.25) }

// A job of one task needs fewer than two writes on average, because it is claimed on acceptance and its completion
// is written in a batch with the completions of other jobs. With six writes for each job, the load of this test,
// twelve jobs a second, would exceed the 50 writes a second that the store accepts from all controllers.
func TestManyTinyJobsNeedFewWrites(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 8)
		time.Sleep(5 * time.Second)
		setSpareMachines(t, cluster, "n0", 8)
		time.Sleep(time.Second)
		writesBefore := cluster.Store.WriteCount()
		const jobCount = 240
		for i := range jobCount { // 12 submissions a second
			requireAccepted(t, cluster, controllerName(i), tinyJob(i), 8*time.Second)
			time.Sleep(83 * time.Millisecond)
		}
		writes := cluster.Store.WriteCount() - writesBefore
		for i := range jobCount {
			requireDone(t, cluster, controllerName(i+1), tinyJob(i).Ref, 25*time.Second)
		}
		if perJob := float64(writes) / jobCount; perJob > 1.6 {
			t.Errorf("%.2f writes for each job", perJob)
		}
		checkLateRetry(t, cluster, "n2", tinyJob(3))
		time.Sleep(time.Minute) // enough for the cleanup of records
		checkNoRecords(t, cluster, jobs.JobPrefix, jobs.CompletionBatchPrefix)
		restartControllersInTurn(cluster)
		time.Sleep(5 * time.Second)
		checkLateRetry(t, cluster, "n1", tinyJob(7))
		checkStartedOnce(t, cluster)
	})
}

// checkLateRetry checks that a repeated submission of a completed job is answered with its final
// status.
func checkLateRetry(t *testing.T, cluster *fake.Cluster, node string, spec jobs.Spec) {
	t.Helper()
	response := cluster.Submit(node, spec, time.Second)
	if response.Code != http.StatusOK || response.Status != jobs.Done || response.DoneTasks != spec.Tasks {
		t.Errorf("a late retry was answered %+v", response)
	}
}

// The completion of a tiny job is written to a completion batch and does not change the job's record. A
// cancellation at another controller at the same moment must not replace the completion.
func TestTinyJobCancellationIsFinal(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 4 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(5 * time.Second)
		const jobCount = 60
		for i := range jobCount {
			requireAccepted(t, cluster, "n0", tinyJob(i), 5*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		cluster.Store.DelayWatch("n2", 300*time.Millisecond) // the jobs are cancelled at n2
		answeredStatus := map[string]jobs.Status{}
		counts := map[jobs.Status]int{}
		time.Sleep(2500 * time.Millisecond)
		for i := range jobCount {
			response := cluster.Cancel("n2", tinyJob(i).Ref)
			if response.Code != http.StatusOK {
				t.Fatalf("the cancellation of %s was answered %+v", tinyJob(i).Ref, response)
			}
			answeredStatus[response.Ref] = response.Status
			counts[response.Status]++
		}
		cluster.CrashController("n0")
		time.Sleep(20 * time.Second)
		for ref, status := range answeredStatus {
			if response := cluster.Poll("n1", ref); response.Status != status {
				t.Errorf("%s: answered %s, then %+v", ref, status, response)
			}
		}
		if counts[jobs.Done] == 0 || counts[jobs.Cancelled] == 0 {
			t.Errorf("the scenario does not cover both final states: %v", counts)
		}
	})
}

func TestTinyJobsSurviveOwnerCrash(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachinesPerController(cluster, 2)
		time.Sleep(5 * time.Second)
		for i := range 20 {
			requireAccepted(t, cluster, controllerName(i%2), tinyJob(i), time.Duration(2+i)*time.Second)
		}
		time.Sleep(6 * time.Second)
		cluster.CrashController("n0")
		time.Sleep(8 * time.Second)
		cluster.CrashController("n1")
		cluster.StartController("n0")
		for i := range 20 {
			requireDone(t, cluster, "n2", tinyJob(i).Ref, 90*time.Second)
		}
		checkStartedOnce(t, cluster)
	})
}

// Tiny jobs are submitted, submitted again, polled and cancelled at random controllers, while controllers
// crash, are refused by the store, receive the store's changes late and lose its answers. No answer may
// contradict an earlier one, and every accepted job reaches a final state.
func TestTinyJobAnswersConsistentUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				run := &tinyJobRun{cluster: cluster, rnd: rand.New(rand.NewPCG(seed, 7)), knownStatus: map[string]jobs.Status{}}
				run.run(t)
			})
		})
	}
}

// acceptedStatus stands in tinyJobRun.knownStatus for an accepted job without a final state.
const acceptedStatus jobs.Status = "accepted"

// tinyJobRun sends random requests for tiny jobs and injects random faults.
type tinyJobRun struct {
	cluster     *fake.Cluster
	rnd         *rand.Rand
	refs        []string
	knownStatus map[string]jobs.Status // by job: its final status, or acceptedStatus if none was answered yet
	crashedNode string                 // the controller that is down, empty if none is
	refusedNode string                 // the controller that the store refuses, empty if none is
}

func (r *tinyJobRun) run(t *testing.T) {
	addMachinesPerController(r.cluster, 3)
	time.Sleep(5 * time.Second)
	setSpareMachines(t, r.cluster, "n0", 9)
	for i := range 400 {
		time.Sleep(time.Duration(20+r.rnd.IntN(160)) * time.Millisecond)
		r.step(t, i)
	}
	r.endFaults()
	time.Sleep(90 * time.Second)
	r.checkFinalStates(t)
	checkNoRecords(t, r.cluster, jobs.JobPrefix, jobs.CompletionBatchPrefix)
}

// step sends a request or begins or ends a fault.
func (r *tinyJobRun) step(t *testing.T, i int) {
	switch randomPercent := r.rnd.IntN(100); {
	case randomPercent < 40 || len(r.refs) == 0:
		r.submit(t, i)
	case randomPercent < 50:
		if ref := r.randomRef(); r.knownStatus[ref] != "" {
			spec := tinyJob(0)
			spec.Ref = ref
			r.checkAndRecord(t, "repeated submission", ref, r.cluster.Resubmit(r.randomRunningController(), spec))
		}
	case randomPercent < 80:
		ref := r.randomRef()
		r.checkIfKnown(t, "poll", ref, r.cluster.Poll(r.randomRunningController(), ref))
	case randomPercent < 92:
		ref := r.randomRef()
		r.checkIfKnown(t, "cancellation", ref, r.cluster.Cancel(r.randomRunningController(), ref))
	default:
		r.changeFaults(randomPercent)
	}
}

func (r *tinyJobRun) submit(t *testing.T, i int) {
	spec := tinyJob(i)
	spec.Tasks = 1 + r.rnd.IntN(3)*r.rnd.IntN(2)
	if r.rnd.IntN(8) == 0 {
		r.cluster.Nodes[r.randomRunningController()].Conn.DropResponses(1)
	}
	response := r.cluster.Submit(r.randomRunningController(), spec, time.Duration(1+r.rnd.IntN(9))*time.Second)
	r.checkAndRecord(t, "submission", spec.Ref, response)
	r.refs = append(r.refs, spec.Ref)
}

// changeFaults begins or ends a fault. randomPercent, which step has drawn from 92 to 99, selects which.
func (r *tinyJobRun) changeFaults(randomPercent int) {
	switch {
	case randomPercent < 94 && r.crashedNode == "":
		r.crashedNode = r.randomRunningController()
		r.cluster.CrashController(r.crashedNode)
	case randomPercent < 96 && r.crashedNode != "":
		r.cluster.StartController(r.crashedNode)
		r.crashedNode = ""
	case randomPercent < 98:
		r.cluster.Store.RefuseNode(r.refusedNode, false)
		if r.refusedNode = ""; r.rnd.IntN(2) == 0 {
			r.refusedNode = r.randomRunningController()
			r.cluster.Store.RefuseNode(r.refusedNode, true)
		}
	default:
		r.cluster.Store.DelayWatch(r.randomRunningController(), time.Duration(r.rnd.IntN(400))*time.Millisecond)
	}
}

func (r *tinyJobRun) endFaults() {
	r.cluster.Store.RefuseNode(r.refusedNode, false)
	if r.crashedNode != "" {
		r.cluster.StartController(r.crashedNode)
	}
	for _, node := range controllerNames {
		r.cluster.Store.DelayWatch(node, 0)
	}
}

func (r *tinyJobRun) randomRef() string { return r.refs[r.rnd.IntN(len(r.refs))] }

// randomRunningController returns a random controller that is not down.
func (r *tinyJobRun) randomRunningController() string {
	for {
		if node := controllerNames[r.rnd.IntN(3)]; r.cluster.Nodes[node] != nil {
			return node
		}
	}
}

// checkIfKnown checks and records an answer if the job was accepted or the answer contains the job's status. A job
// whose submission was not accepted may be unknown.
func (r *tinyJobRun) checkIfKnown(t *testing.T, request, ref string, response controller.Response) {
	t.Helper()
	if r.knownStatus[ref] != "" || response.Code == http.StatusOK {
		r.checkAndRecord(t, request, ref, response)
	}
}

// checkAndRecord checks that an answer does not contradict an earlier one, and records it.
func (r *tinyJobRun) checkAndRecord(t *testing.T, request, ref string, response controller.Response) {
	t.Helper()
	earlierStatus := r.knownStatus[ref]
	isRefused := response.Code == http.StatusBadRequest || response.Code == http.StatusUnprocessableEntity
	switch {
	case response.Code == http.StatusNotFound && earlierStatus != "" || isRefused:
		t.Errorf("%s: %s of a job with the earlier status %q answered %d", ref, request, earlierStatus, response.Code)
	case response.Code != http.StatusOK && response.Code != http.StatusCreated:
	case isFinal(earlierStatus) && response.Status != earlierStatus:
		t.Errorf("%s: reported as %s, then as %s by %s", ref, earlierStatus, response.Status, request)
	case isFinal(response.Status):
		r.knownStatus[ref] = response.Status
	case earlierStatus == "":
		r.knownStatus[ref] = acceptedStatus
	}
}

// checkFinalStates checks that all controllers report a final state for each accepted job.
func (r *tinyJobRun) checkFinalStates(t *testing.T) {
	t.Helper()
	counts := map[jobs.Status]int{}
	for _, ref := range r.refs {
		if r.knownStatus[ref] == "" {
			continue
		}
		for _, node := range controllerNames {
			response := r.cluster.Poll(node, ref)
			r.checkAndRecord(t, "last poll", ref, response)
			if !isFinal(response.Status) {
				t.Errorf("%s at %s has no final state: %+v", ref, node, response)
			}
		}
		counts[r.knownStatus[ref]]++
	}
	if counts[jobs.Done] < 30 || counts[jobs.Cancelled] < 5 {
		t.Errorf("the scenario has too few done or cancelled jobs: %v", counts)
	}
}
