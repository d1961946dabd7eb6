package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// A controller's first word of its life goes without an answer and is carried out after the
// second one: the key hung on the first grant, which nobody renewed, went with it, and the
// controller took no share any more.
func TestDelayedLivenessWriteKeepsLease(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			names := map[string]string{"n0": "a", "n1": "b", "n2": "b"}
			cluster := fake.NewClusterWith(ctx, names, func(cluster *fake.Cluster) { cluster.Store.ApplyLate(rand.New(rand.NewPCG(seed, 1)), 1) })
			time.Sleep(time.Second)
			cluster.Store.ApplyLate(nil, 0)
			time.Sleep(30 * time.Second)
			for n := range names {
				if _, lives := cluster.Store.Value(jobs.LivenessPrefix + n); !lives || cluster.OwnerOf(n) != n {
					t.Errorf("seed %d: %s has a record of its life: %v; its share is held by %q", seed, n, lives, cluster.OwnerOf(n))
				}
			}
			stop()
			synctest.Wait()
		})
	}
}

// Whatever became of a controller's record of its life, it is written anew.
func TestLostLivenessRecordIsRewritten(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Store.Delete(jobs.LivenessPrefix + "n1")
		time.Sleep(15 * time.Second)
		if h := cluster.OwnerOf("n1"); h != "n1" {
			t.Errorf("its share is held by %q", h)
		}
	})
}

// Whatever a controller writes holds only under conditions, since it may be carried out at any
// later moment: all kinds of writes of a life with crashes, cancellations and hand-overs.
func TestEveryWriteHasPrecondition(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 9)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 4 }); err != nil {
			t.Fatal(err)
		}
		for k := range 12 {
			s := fake.JobSpec(fmt.Sprintf("wk-%d", k+1), []string{jobs.Array, jobs.Gang, jobs.Array}[k%3], []int{1, 3, 30}[k%3], 1)
			if k%4 == 0 && s.Tasks < 4 {
				s.Team = "capped"
			}
			requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), s, time.Duration(2+5*k)*time.Second)
		}
		time.Sleep(4 * time.Second)
		for _, ref := range []string{"wk-9", "wk-12"} {
			if response := cluster.Cancel("n1", ref); response.Status != jobs.Cancelled {
				t.Fatalf("%+v", response)
			}
		}
		cluster.CrashController("n2")
		time.Sleep(8 * time.Second)
		cluster.StartController("n2")
		time.Sleep(12 * time.Second)
		cluster.StopController("n1")
		cluster.StartController("n1")
		time.Sleep(100 * time.Second)
		for _, kind := range []string{jobs.LivenessPrefix, jobs.ShardPrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix, jobs.CompletionBatchPrefix,
			jobs.QuotaPrefix, jobs.FinalPrefix} {
			if cluster.Store.WriteCountOf(kind) == 0 {
				t.Errorf("nothing of the kind %s was written: the tale tells too little", kind)
			}
		}
		if bare := cluster.Store.UnconditionalWrites(); len(bare) > 0 {
			t.Errorf("written without a condition: %v", bare)
		}
	})
}

// A controller has to read all records anew while it goes on holding its share, and orders are
// still on their way to machines: what does not show in the answers to its greetings may start
// there a moment later, under the same token.
func TestCacheReloadDuringTaskStarts(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			for _, h := range cluster.Hosts() {
				cluster.DelayInbound(h, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
			}
			for k := range 5 {
				requireAccepted(t, cluster, fmt.Sprintf("n%d", k%3), fake.JobSpec(fmt.Sprintf("wk-%d", k+1), jobs.Array, 10, 1), 30*time.Second)
				time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				for n := range 3 {
					cluster.Store.CompactWatch(fmt.Sprintf("n%d", n))
				}
			}
			for _, h := range cluster.Hosts() {
				cluster.DelayInbound(h, 0)
			}
			for k := range 5 {
				requireDone(t, cluster, "n1", fmt.Sprintf("wk-%d", k+1), 150*time.Second)
			}
		})
	}
}
