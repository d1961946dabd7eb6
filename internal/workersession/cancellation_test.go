package workersession_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workersession"
)

// clusterViolations runs a scenario on a cluster of machineCount machines and three controllers that exchange
// peer messages. It returns descriptions of the violated rules.
func clusterViolations(t *testing.T, machineCount int, scenario func(cluster *fake.Cluster)) (violations []string) {
	t.Helper()
	return violationsWithHeartbeats(t, machineCount, 0, scenario)
}

// violationsWithHeartbeats is clusterViolations with an interval between a worker's heartbeats; 0 stands for the
// default.
func violationsWithHeartbeats(t *testing.T, machineCount int, interval time.Duration, scenario func(cluster *fake.Cluster)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		zones := map[string]string{"n0": "a", "n1": "b", "n2": "b"}
		cluster := fake.NewClusterWith(ctx, zones, func(cluster *fake.Cluster) {
			cluster.ConnectPeers = true
			if interval > 0 {
				cluster.Cfg.Cluster.Workers.HeartbeatIntervalSeconds = interval.Seconds()
			}
		})
		time.Sleep(3 * time.Second)
		for i := range machineCount {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		scenario(cluster)
		violations = cluster.Violations()
		stop()
		synctest.Wait()
	})
	return violations
}

// runScenario runs a scenario like clusterViolations, and fails the test for each rule that was violated.
func runScenario(t *testing.T, machineCount int, scenario func(cluster *fake.Cluster)) {
	t.Helper()
	for _, violation := range clusterViolations(t, machineCount, scenario) {
		t.Error("violated rule:", violation)
	}
}

func submit(t *testing.T, cluster *fake.Cluster, node string, spec jobs.Spec, runTime time.Duration) {
	t.Helper()
	if response := cluster.Submit(node, spec, runTime); response.Code != 201 {
		t.Fatalf("%s: response to the submission: %+v", spec.Ref, response)
	}
}

func randomDuration(rnd *rand.Rand, minimumMS, rangeMS int) time.Duration {
	return time.Duration(minimumMS+rnd.IntN(rangeMS)) * time.Millisecond
}

// lateStarts records the tasks that start after the cancellation of their job was confirmed.
type lateStarts struct {
	mu                   sync.Mutex
	confirmedAt          map[string]time.Time // by job, when its cancellation was confirmed
	startedTasks         []string             // descriptions of the tasks that started after the confirmation
	tasksWithLateCommand []string             // names of the tasks in startedTasks whose start command was sent after the confirmation, too
}

func recordLateStarts(cluster *fake.Cluster) *lateStarts {
	s := &lateStarts{confirmedAt: map[string]time.Time{}}
	cluster.OnTaskStart(func(task, host string, startSentAt time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		ref, _, _ := jobs.ParseTaskName(task)
		confirmedAt, isConfirmed := s.confirmedAt[ref]
		if !isConfirmed {
			return
		}
		s.startedTasks = append(s.startedTasks, fmt.Sprintf("%s on %s after %v", task, host, time.Since(confirmedAt)))
		if startSentAt.After(confirmedAt) {
			s.tasksWithLateCommand = append(s.tasksWithLateCommand, task)
		}
	})
	return s
}

// cancel requests the cancellation of jobs, each at the controller that nodeOf returns, and waits until all
// cancellations are confirmed. The requests are sent within a fifth of a second.
func (s *lateStarts) cancel(t *testing.T, cluster *fake.Cluster, nodeOf func(index int) string, refs ...string) {
	t.Helper()
	var cancellations sync.WaitGroup
	for index, ref := range refs {
		time.Sleep(200 * time.Millisecond / time.Duration(len(refs)))
		cancellations.Add(1)
		go func() {
			defer cancellations.Done()
			s.cancelNow(t, cluster, nodeOf(index), ref)
		}()
	}
	cancellations.Wait()
}

// cancelNow requests the cancellation of a job and waits until it is confirmed.
func (s *lateStarts) cancelNow(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	if response := cluster.Cancel(node, ref); response.Status != jobs.Cancelled {
		t.Errorf("%s: %+v", ref, response)
	}
	s.recordConfirmation(ref)
}

func (s *lateStarts) recordConfirmation(ref string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt[ref] = time.Now()
}

// Jobs are cancelled while their tasks fetch the image or while the starts are being sent. No task may start
// after the cancellation of its job is confirmed.
func TestNoTaskStartsAfterConfirmedCancellation(t *testing.T) {
	for _, freezesMachines := range []bool{false, true} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint("freeze ", freezesMachines, " seed ", seed), func(t *testing.T) {
				runScenario(t, 12, func(cluster *fake.Cluster) { cancelDuringStart(t, cluster, freezesMachines, seed) })
			})
		}
	}
}

func cancelDuringStart(t *testing.T, cluster *fake.Cluster, freezesMachines bool, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 9))
	cluster.SetImageFetchTime(randomDuration(rnd, 1500, 5000))
	var refs []string
	for i := range 6 {
		ref := fmt.Sprintf("wk-%d", i+1)
		refs = append(refs, ref)
		kind, tasks := jobs.Array, 9
		if i%2 == 1 {
			kind, tasks = jobs.Gang, 4
		}
		submit(t, cluster, fmt.Sprintf("n%d", i%3), fake.JobSpec(ref, kind, tasks, 1), 40*time.Second)
	}
	time.Sleep(randomDuration(rnd, 0, 3000))
	starts := recordLateStarts(cluster)
	if freezesMachines { // some machines are frozen for less than the lease of 10 s, others for longer
		for _, host := range cluster.Hosts()[:5] {
			cluster.FreezeMachine(host, true)
			time.AfterFunc(randomDuration(rnd, 500, 14000), func() { cluster.FreezeMachine(host, false) })
		}
	}
	nodeOf := func(index int) string { return fmt.Sprintf("n%d", (index+int(seed))%3) }
	starts.cancel(t, cluster, nodeOf, refs...)
	time.Sleep(25 * time.Second)
	if len(starts.startedTasks) > 0 {
		t.Error(starts.startedTasks)
	}
	for _, ref := range refs {
		for index := range 9 {
			task := jobs.TaskName(ref, index)
			if hosts := cluster.RunningOn(task); len(hosts) > 0 {
				t.Errorf("%s is on %v", task, hosts)
			}
		}
	}
}

// The key-value store refuses all requests of a single shard owner. In half of the scenarios, the owner is also
// isolated from its peers. The owner continues to send starts, but none of a job whose cancellation is confirmed.
func TestOwnerCutOffFromStoreSendsNoStartAfterCancellation(t *testing.T) {
	for _, isIsolated := range []bool{false, true} {
		for seed := range uint64(4) {
			if tasks := startsSentAfterCancellation(t, isIsolated, seed); len(tasks) > 0 {
				t.Errorf("isolated from peers: %v, seed %d: starts sent after the confirmation: %v", isIsolated, seed, tasks)
			}
		}
	}
}

// The mutation lets an owner send starts although its knowledge of cancellations is too old. Some of these
// starts belong to jobs whose cancellation is confirmed.
func TestMutationStartsWithoutReadBarrierIsDetected(t *testing.T) {
	defer workersession.StartWithoutReadBarrier()()
	for seed := range uint64(20) {
		if len(startsSentAfterCancellation(t, true, seed)) > 0 {
			return
		}
	}
	t.Error("20 scenarios of the mutation did not violate the rule")
}

func startsSentAfterCancellation(t *testing.T, isIsolated bool, seed uint64) (tasks []string) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 10))
	runScenario(t, 6, func(cluster *fake.Cluster) {
		// The machines can't run all tasks at the same time, so tasks that are already claimed start one
		// after the other.
		submit(t, cluster, "n0", fake.JobSpec("wk-1", jobs.Array, 90, 1), randomDuration(rnd, 6000, 3000))
		time.Sleep(randomDuration(rnd, 2000, 2000))
		starts := recordLateStarts(cluster)
		cluster.Store.RefuseNode("n0", true)
		if isIsolated {
			cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
		}
		confirmation := make(chan struct{})
		go func() {
			starts.cancel(t, cluster, func(int) string { return "n2" }, "wk-1")
			close(confirmation)
		}()
		for !cluster.IsCancelled("wk-1") {
			time.Sleep(time.Millisecond)
		}
		cluster.Store.SetOutage(true) // so that no other controller acquires the shard of the owner that the store refuses
		<-confirmation
		time.Sleep(15 * time.Second)
		cluster.Store.SetOutage(false)
		cluster.Store.RefuseNode("n0", false)
		cluster.SetPeerLink(fake.PeerLink{})
		time.Sleep(10 * time.Second)
		tasks = slices.Clone(starts.tasksWithLateCommand)
	})
	return tasks
}

// A partitioned owner continues to send starts until it knows that its shard has another owner, or until its
// knowledge is too old. Guards against confirming a cancellation while only the present owners of the shards are known
// to send no more starts: the new owner of a shard confirmed at once, and the previous one went on for a second.
func TestPreviousOwnerSendsNoStartAfterCancellation(t *testing.T) {
	for _, node := range []string{"n1", "n2"} {
		for seed := range uint64(6) {
			tasks := startsSentByPartitionedOwner(t, seed, func(cluster *fake.Cluster, starts *lateStarts) {
				for cluster.OwnerOf("n0") == "n0" {
					time.Sleep(time.Millisecond)
				}
				starts.cancelNow(t, cluster, node, "wk-1")
			})
			if len(tasks) > 0 {
				t.Errorf("cancelled at %s, seed %d: starts sent after the confirmation: %v", node, seed, tasks)
			}
		}
	}
}

// The shard of the partitioned owner changes hands twice before the job is cancelled. Guards against waiting for the
// latest previous owner alone: the one before may still send starts.
func TestEarlierOwnersSendNoStartAfterCancellation(t *testing.T) {
	for seed := range uint64(6) {
		tasks := startsSentByPartitionedOwner(t, seed, func(cluster *fake.Cluster, starts *lateStarts) {
			for cluster.OwnerOf("n0") == "n0" {
				time.Sleep(time.Millisecond)
			}
			cluster.CrashController("n1")
			cluster.Store.Delete(jobs.LivenessPrefix + "n1") // as when its lease expires, but sooner
			for cluster.OwnerOf("n0") == "n1" {
				time.Sleep(time.Millisecond)
			}
			starts.cancelNow(t, cluster, "n2", "wk-1")
			cluster.StartController("n1")
		})
		if len(tasks) > 0 {
			t.Errorf("seed %d: starts sent after the confirmation: %v", seed, tasks)
		}
	}
}

// A controller that has restarted, or has to read all records again, learns of a cancellation only when it reads the
// final state of the job. Guards against an answer without waiting for the owners, which may not know of the
// cancellation yet.
func TestStoredCancellationIsConfirmedAfterLastStart(t *testing.T) {
	for name, forgetJobs := range map[string]func(cluster *fake.Cluster){
		"restart": func(cluster *fake.Cluster) {
			cluster.CrashController("n1")
			cluster.StartController("n1")
		},
		"reload": func(cluster *fake.Cluster) { cluster.Store.CompactWatch("n1") },
	} {
		for seed := range uint64(6) {
			tasks := startsSentByPartitionedOwner(t, seed, func(cluster *fake.Cluster, starts *lateStarts) {
				cluster.SetPeerLink(fake.PeerLink{IsCut: true}) // n1 learns of the cancellation by its own reads alone
				if name == "reload" {
					cluster.Store.DelayWatch("n1", 500*time.Millisecond)
				}
				cancelWithoutAnswer(cluster, "n2", "wk-1")
				forgetJobs(cluster)
				cluster.Store.DelayWatch("n1", 0)
				starts.awaitCancelled(t, cluster, "n1", "wk-1")
			})
			if len(tasks) > 0 {
				t.Errorf("%s, seed %d: starts sent after the confirmation: %v", name, seed, tasks)
			}
		}
	}
}

// A controller whose watch lags learns of a cancellation from a peer before it learns which shards have claimed the
// job's tasks. Guards against an answer that waits only for the owners that this controller knows.
func TestCancellationAnnouncedBeforeClaimsIsConfirmedAfterLastStart(t *testing.T) {
	for seed := range uint64(6) {
		runWithFrequentHeartbeats(t, func(cluster *fake.Cluster) {
			starts := recordLateStarts(cluster)
			cluster.Store.DelayWatch("n1", 3*time.Second)
			submit(t, cluster, "n0", fake.JobSpec("wk-2", jobs.Array, 1, 1), time.Second) // ends the watch request that is not delayed
			time.Sleep(200 * time.Millisecond)
			submitShortTasks(t, cluster, seed)
			time.Sleep(time.Second + phase(seed))
			partitionOwner(cluster, true)
			cancelWithoutAnswer(cluster, "n2", "wk-1")
			time.Sleep(tuning.PeerHeartbeatInterval + 100*time.Millisecond) // n2 announces the cancellation
			starts.awaitCancelled(t, cluster, "n1", "wk-1")
			time.Sleep(10 * time.Second)
			if len(starts.tasksWithLateCommand) > 0 {
				t.Errorf("seed %d: starts sent after the confirmation: %v", seed, starts.tasksWithLateCommand)
			}
			partitionOwner(cluster, false)
			cluster.Store.DelayWatch("n1", 0)
		})
	}
}

// In an outage of the store an owner goes on sending starts as long as its peers say that they don't reach the store
// either. Guards against heartbeats that were held on their way: when they arrive, a peer may have reached the store
// and confirmed a cancellation since.
func TestHeldHeartbeatsAllowNoStartAfterCancellation(t *testing.T) {
	for seed := range uint64(4) {
		runScenario(t, 6, func(cluster *fake.Cluster) {
			submitClaimedTasks(t, cluster, seed)
			starts := recordLateStarts(cluster)
			cluster.SetPeerLink(fake.PeerLink{HeartbeatDelay: 5 * time.Second})
			cluster.Store.SetOutage(true)
			time.Sleep(8 * time.Second)
			cluster.Store.RefuseNode("n0", true) // n0 is not told that the outage has ended
			cluster.Store.SetOutage(false)
			starts.awaitCancellation(t, cluster, "n2", "wk-1")
			time.Sleep(10 * time.Second)
			if len(starts.tasksWithLateCommand) > 0 {
				t.Errorf("seed %d: starts sent after the confirmation: %v", seed, starts.tasksWithLateCommand)
			}
			cluster.Store.RefuseNode("n0", false)
			cluster.SetPeerLink(fake.PeerLink{})
			time.Sleep(6 * time.Second)
		})
	}
}

// An owner is cut off from the store and its peers while a job is cancelled, and an outage of the store for all begins
// before that ends. Then the owner reaches its peers again, which don't reach the store. Guards against starts that are
// allowed by the heartbeats of peers that do not announce the cancellation any more.
func TestPeersInOutageAllowNoStartAfterForgottenCancellation(t *testing.T) {
	for seed := range uint64(4) {
		runScenario(t, 6, func(cluster *fake.Cluster) {
			submitClaimedTasks(t, cluster, seed)
			starts := recordLateStarts(cluster)
			cluster.Store.RefuseNode("n0", true)
			cluster.SetPeerLink(fake.PeerLink{IsolatedNode: "n0"})
			cancelWithoutAnswer(cluster, "n2", "wk-1")
			cluster.Store.SetOutage(true)
			starts.awaitCancelled(t, cluster, "n2", "wk-1")
			time.Sleep(tuning.CancellationAnnouncePeriod - 2*time.Second)
			cluster.SetPeerLink(fake.PeerLink{})
			time.Sleep(8 * time.Second)
			if len(starts.tasksWithLateCommand) > 0 {
				t.Errorf("seed %d: starts sent after the confirmation: %v", seed, starts.tasksWithLateCommand)
			}
			cluster.Store.SetOutage(false)
			cluster.Store.RefuseNode("n0", false)
			time.Sleep(6 * time.Second)
		})
	}
}

// In an outage of the store for all, owners go on sending starts of the tasks that they have claimed.
func TestStartsContinueInOutage(t *testing.T) {
	runScenario(t, 6, func(cluster *fake.Cluster) {
		submitClaimedTasks(t, cluster, 0)
		cluster.Store.SetOutage(true)
		time.Sleep(2 * tuning.MaxStartKnowledgeAge)
		startsBefore := len(cluster.StartCounts())
		time.Sleep(8 * time.Second)
		if starts := len(cluster.StartCounts()) - startsBefore; starts < 12 {
			t.Errorf("%d starts in 8 s of an outage, with places for 12 tasks of up to 6 s", starts)
		}
		cluster.Store.SetOutage(false)
		time.Sleep(6 * time.Second)
	})
}

// submitClaimedTasks submits an array to n0 that runs only in the zone of n0, and waits until n0 has claimed far more
// of its tasks than the machines there can run at the same time.
func submitClaimedTasks(t *testing.T, cluster *fake.Cluster, seed uint64) {
	t.Helper()
	zone := "a"
	spec := fake.JobSpec("wk-1", jobs.Array, 600, 1)
	spec.Zone, spec.EstimatedRunSeconds = &zone, 1 // a short estimate makes n0 claim many tasks ahead
	submit(t, cluster, "n0", spec, 4*time.Second)
	rnd := rand.New(rand.NewPCG(seed, 18))
	for index := range spec.Tasks {
		cluster.SetTaskRunTime(jobs.TaskName(spec.Ref, index), randomDuration(rnd, 2000, 4000))
	}
	time.Sleep(1500*time.Millisecond + phase(seed))
}

// awaitCancellation requests the cancellation of a job until it is confirmed.
func (s *lateStarts) awaitCancellation(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cluster.Cancel(node, ref).Status == jobs.Cancelled {
			s.recordConfirmation(ref)
			return
		}
	}
	t.Errorf("%s does not confirm the cancellation of %s", node, ref)
}

// submitShortTasks submits an array that runs only in the zone of n0 and has more tasks than the machines there can run
// at the same time. The tasks end quickly, so n0 has claimed many of them ahead and sends starts all the time.
func submitShortTasks(t *testing.T, cluster *fake.Cluster, seed uint64) {
	t.Helper()
	spec := fake.JobSpec("wk-1", jobs.Array, 600, 1)
	zone := "a"
	spec.Zone, spec.EstimatedRunSeconds = &zone, 1
	submit(t, cluster, "n0", spec, time.Second)
	rnd := rand.New(rand.NewPCG(seed, 17))
	for index := range spec.Tasks { // so that the starts are spread over time
		cluster.SetTaskRunTime(jobs.TaskName(spec.Ref, index), randomDuration(rnd, 800, 800))
	}
}

// runWithFrequentHeartbeats runs a scenario on 6 machines that send heartbeats twice a second, so that starts are sent
// at any moment. It fails the test for each rule that was violated.
func runWithFrequentHeartbeats(t *testing.T, scenario func(cluster *fake.Cluster)) {
	t.Helper()
	for _, violation := range violationsWithHeartbeats(t, 6, 500*time.Millisecond, scenario) {
		t.Error("violated rule:", violation)
	}
}

// phase spreads the moments at which a scenario begins over the interval between two reads of the store's
// revision.
func phase(seed uint64) time.Duration { return time.Duration(seed) * 170 * time.Millisecond }

// partitionOwner cuts n0 and the machines of its zone off from the store and the other controllers, or ends the
// partition.
func partitionOwner(cluster *fake.Cluster, isPartitioned bool) {
	for _, host := range cluster.HostsInZone("a") {
		cluster.CutLink("n1", host, isPartitioned)
		cluster.CutLink("n2", host, isPartitioned)
	}
	cluster.Store.RefuseNode("n0", isPartitioned)
	link := fake.PeerLink{}
	if isPartitioned {
		link.IsolatedNode = "n0"
	}
	cluster.SetPeerLink(link)
}

// startsSentByPartitionedOwner runs a scenario after n0 was partitioned while it sends starts of the job wk-1. It
// returns the tasks whose start was sent after the cancellation was confirmed.
func startsSentByPartitionedOwner(t *testing.T, seed uint64, scenario func(cluster *fake.Cluster, starts *lateStarts)) (tasks []string) {
	t.Helper()
	runWithFrequentHeartbeats(t, func(cluster *fake.Cluster) {
		submitShortTasks(t, cluster, seed)
		time.Sleep(3*time.Second + phase(seed))
		starts := recordLateStarts(cluster)
		partitionOwner(cluster, true)
		scenario(cluster, starts)
		time.Sleep(10 * time.Second)
		tasks = slices.Clone(starts.tasksWithLateCommand)
		partitionOwner(cluster, false)
		time.Sleep(5 * time.Second)
	})
	return tasks
}

// cancelWithoutAnswer cancels a job and returns as soon as the cancellation is stored.
func cancelWithoutAnswer(cluster *fake.Cluster, node, ref string) {
	go cluster.Cancel(node, ref)
	for !cluster.IsCancelled(ref) {
		time.Sleep(time.Millisecond)
	}
}

// awaitCancelled polls a job until a controller answers that the job is cancelled.
func (s *lateStarts) awaitCancelled(t *testing.T, cluster *fake.Cluster, node, ref string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cluster.Poll(node, ref).Status == jobs.Cancelled {
			s.recordConfirmation(ref)
			return
		}
	}
	t.Errorf("%s does not answer that %s is cancelled", node, ref)
}

// Responses take almost as long as workers wait for them, the heartbeat interval is short, and machines repeatedly
// cannot reach any controller for a few seconds. A start that is in flight must not be treated as lost.
func TestStartInFlightIsNotTreatedAsLost(t *testing.T) {
	for seed := range uint64(8) {
		for _, violation := range violationsWithDelayedResponses(t, seed) {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// A worker that gets a direct request shortly after its last heartbeat does not list a task whose start is still
// in flight. The mutation concludes that the start was lost.
func TestMutationTrustingEveryDirectHeartbeatIsDetected(t *testing.T) {
	defer workersession.TrustEveryDirectHeartbeat()()
	for seed := range uint64(30) {
		if len(violationsWithDelayedResponses(t, seed)) > 0 {
			return
		}
	}
	t.Error("30 scenarios of the mutation did not violate the rule")
}

func violationsWithDelayedResponses(t *testing.T, seed uint64) []string {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 16))
	return clusterViolations(t, 9, func(cluster *fake.Cluster) {
		for i := range 12 {
			for _, host := range cluster.Hosts() {
				cluster.BlockOutbound(host, false)
				cluster.DelayInbound(host, randomDuration(rnd, 3300, 650))
			}
			spec := fake.JobSpec(fmt.Sprintf("wk-%d", i+1), jobs.Array, 6, 1)
			cluster.Submit(fmt.Sprintf("n%d", i%3), spec, 12*time.Second)
			time.Sleep(randomDuration(rnd, 500, 2500))
			for _, host := range cluster.Hosts() { // responses that are already in flight stay delayed
				cluster.DelayInbound(host, 0)
				cluster.BlockOutbound(host, true)
			}
			time.Sleep(randomDuration(rnd, 2500, 3000))
		}
	})
}
