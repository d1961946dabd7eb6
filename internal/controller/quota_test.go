package controller_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

func TestTeamNeverExceedsQuota(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		for range 3 {
			cluster.AddMachine("a", false)
			cluster.AddMachine("b", false)
		}
		time.Sleep(4 * time.Second)
		for i, n := range []string{"n0", "n1", "n2"} {
			s := fake.JobSpec(fmt.Sprintf("wk-2%d", i), jobs.Array, 6, 1)
			s.Team = "capped"
			requireAccepted(t, cluster, n, s, 5*time.Second)
		}
		requireDone(t, cluster, "n0", "wk-20", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-21", 2*time.Minute)
		requireDone(t, cluster, "n0", "wk-22", 2*time.Minute)
		big := fake.JobSpec("wk-23", jobs.Gang, 5, 1)
		big.Team = "capped"
		if response := cluster.Submit("n0", big, time.Second); response.Code != 422 {
			t.Errorf("a gang above the cap was answered %+v", response)
		}
	})
}

func TestTeamReclaimsGuarantee(t *testing.T) {
	runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.AddMachine("a", false)
		time.Sleep(5 * time.Second)
		requireAccepted(t, cluster, "n0", fake.JobSpec("wk-50", jobs.Array, 4, 1), time.Minute)
		time.Sleep(4 * time.Second)
		s := fake.JobSpec("wk-51", jobs.Array, 2, 1)
		s.Team = "sure"
		requireAccepted(t, cluster, "n1", s, 5*time.Second)
		requireDone(t, cluster, "n0", "wk-51", 20*time.Second)
	})
}

// A capped team's jobs ran in one share. Its machines were full, those of the
// others idle, and as long as these were there the cloud had no more: the job
// waited (fleetbench real, after a controller was killed).
func TestQuotaLimitedJobGetsIdleMachinesOfOtherShards(t *testing.T) {
	for _, kind := range []string{jobs.Gang, jobs.Array} {
		runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			for _, z := range []string{"a", "b", "b"} {
				cluster.AddMachine(z, false)
			}
			time.Sleep(5 * time.Second)
			for i := range 3 { // each share is full but for one task's room
				requireAccepted(t, cluster, fmt.Sprintf("n%d", i), fake.JobSpec(fmt.Sprintf("wk-1%d", i), jobs.Array, 3, 1), 4*time.Minute)
			}
			time.Sleep(4 * time.Second)
			cluster.AddMachine("b", false)
			time.Sleep(2 * time.Second)
			s := fake.JobSpec("wk-20", kind, 4, 1)
			s.Team = "capped"
			requireAccepted(t, cluster, "n0", s, 4*time.Second)
			requireDone(t, cluster, "n1", s.Ref, 14*time.Second) // one by one on the last place it takes longer
		})
	}
}

// A limit is held by all shares together: a team with a limit of four CPUs uses all of
// them wherever there is room, its gangs get what other shares have no use for, and it
// never uses more (the workers' side counts), whatever happens to the controllers and to
// their transactions.
func TestQuotaUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithoutPeers(t, func(t *testing.T, cluster *fake.Cluster) {
				rnd := rand.New(rand.NewPCG(seed, 16))
				for range 3 {
					cluster.AddMachine("a", false)
					cluster.AddMachine("b", false)
					cluster.AddMachine("b", false)
				}
				time.Sleep(5 * time.Second)
				if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 9 }); err != nil {
					t.Fatal(err)
				}
				names := []string{"n0", "n1", "n2"}
				var refs, unanswered []string
				for i := range 24 {
					s := fake.JobSpec(fmt.Sprintf("wk-%d", i), jobs.Array, 1+rnd.IntN(8), 1)
					if i%4 == 3 {
						s = fake.JobSpec(s.Ref, jobs.Gang, 2+rnd.IntN(3), 1)
					}
					s.Team = "capped"
					s.Urgency = []string{"idle", "normal", "high"}[rnd.IntN(3)]
					node := names[rnd.IntN(3)]
					if cluster.Nodes[node] == nil {
						node = "n0"
					}
					if cluster.Nodes[node] != nil && cluster.Submit(node, s, time.Duration(1+rnd.IntN(6))*time.Second).Code != 201 {
						unanswered = append(unanswered, s.Ref)
					} else if cluster.Nodes[node] != nil {
						refs = append(refs, s.Ref)
					}
					n := names[rnd.IntN(3)]
					switch rnd.IntN(6) {
					case 0:
						if cluster.Nodes[n] != nil && len(cluster.Nodes) == 3 {
							cluster.CrashController(n)
							time.Sleep(time.Duration(rnd.IntN(9)) * time.Second)
							cluster.StartController(n)
						}
					case 1:
						cluster.Store.RefuseNode(n, true)
						time.Sleep(time.Duration(rnd.IntN(12)) * time.Second)
						cluster.Store.RefuseNode(n, false)
					case 2:
						if cluster.Nodes[n] != nil {
							cluster.Nodes[n].Conn.DropAnswers(1 + rnd.IntN(4))
						}
					case 3:
						cluster.Store.DelayWatch(n, time.Duration(rnd.IntN(1500))*time.Millisecond)
					}
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				}
				for _, n := range names {
					cluster.Store.DelayWatch(n, 0)
				}
				for _, ref := range unanswered { // it may have been accepted all the same
					if cluster.Poll("n1", ref).Code == 200 {
						refs = append(refs, ref)
					}
				}
				for _, ref := range refs {
					requireDone(t, cluster, "n1", ref, 6*time.Minute)
				}
				time.Sleep(15 * time.Second)
				for _, key := range cluster.Store.Keys(jobs.QuotaPrefix) {
					if v, _ := cluster.Store.Value(key); strings.Contains(v, "cpu") {
						t.Errorf("an allocation is kept for nothing: %s", v)
					}
				}
			})
		})
	}
}

// A team is at its limit when its leader ends, some of its machines can't be asked, and a cancellation
// falls into that spell: what may still be there counts until it is provably gone, and the limit is
// used again soon after. The stand-in's workers judge quota.
func TestExhaustedQuotaAcrossOwnerCrash(t *testing.T) {
	for seed := range uint64(6) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		lease := func(cluster *fake.Cluster) {
			cluster.Cfg.Cluster.Workers.LeaseS, cluster.Cfg.Cluster.Workers.CancelS = 25, 45
		}
		runWithPeersAnd(t, lease, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			capped := func(ref, kind string, tasks int) jobs.Spec {
				s := fake.JobSpec(ref, kind, tasks, 1)
				s.Team = "capped" // 4 CPUs
				return s
			}
			requireAccepted(t, cluster, "n0", capped("wk-1", []string{jobs.Array, jobs.Gang}[seed%2], 3), 10*time.Minute)
			requireAccepted(t, cluster, "n1", capped("wk-2", jobs.Array, 6), 10*time.Minute)
			time.Sleep(5 * time.Second)
			leader := "" // of the share in which most of the team's work is
			for i := range 3 {
				for _, h := range cluster.RunningOn(jobs.TaskName("wk-1", i)) { // its machines can't be asked
					leader = cluster.OwnerOf(cluster.ShardOf(h))
					switch rnd.IntN(3) {
					case 0:
						cluster.IsolateWorker(h, true)
					case 1:
						cluster.BlockInbound(h, true)
					case 2:
						for _, n := range []string{"n0", "n1", "n2"} {
							cluster.CutLink(n, h, true)
						}
					}
				}
			}
			cluster.CrashController(leader)
			time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			next := []string{"n1", "n2", "n0"}[leader[1]-'0']
			for _, ref := range []string{"wk-1", "wk-2"} {
				for k := 0; cluster.Cancel(next, ref).Status != jobs.Cancelled; k++ {
					if k > 3 {
						t.Fatal("not cancelled")
					}
				}
			}
			requireAccepted(t, cluster, next, capped("wk-4", jobs.Array, 4), 2*time.Second) // one by one
			requireAccepted(t, cluster, next, capped("wk-3", jobs.Gang, 4), 20*time.Second) // the whole limit
			time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
			cluster.StartController(leader)
			addMachines(cluster, 3)
			// By the time for a cancellation, 45 s, nothing of before can be there.
			cluster.WaitForStatus(next, "wk-3", jobs.Running, 55*time.Second)
			if response := cluster.Poll(next, "wk-3"); response.ActiveTasks == 0 && response.Status != jobs.Done {
				t.Errorf("seed %d: the limit is not used again: %+v", seed, response)
			}
			for _, h := range cluster.Hosts() {
				cluster.IsolateWorker(h, false)
				cluster.BlockInbound(h, false)
				for _, n := range []string{"n0", "n1", "n2"} {
					cluster.CutLink(n, h, false)
				}
			}
			requireDone(t, cluster, next, "wk-3", 60*time.Second)
		})
	}
}
