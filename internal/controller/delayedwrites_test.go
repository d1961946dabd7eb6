package controller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherrywall/internal/chunkedstore"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// The first write of a controller's liveness record gets no answer and is applied after the second write. The
// record must not stay attached to the lease of the first write, which nobody renews: the store would delete the
// record when that lease expires, and the controller could not acquire a shard any more.
func TestDelayedLivenessWriteKeepsLease(t *testing.T) {
	for seed := range uint64(8) {
		applyLate := func(cluster *fake.Cluster) { cluster.Store.ApplyLate(rand.New(rand.NewPCG(seed, 1)), 1) }
		runScenarioFromStart(t, controllerZones, applyLate, func(t *testing.T, cluster *fake.Cluster) {
			time.Sleep(time.Second)
			cluster.Store.ApplyLate(nil, 0)
			time.Sleep(30 * time.Second)
			for _, node := range controllerNames {
				_, isLive := cluster.Store.Value(jobs.LivenessPrefix + node)
				if owner := cluster.OwnerOf(node); !isLive || owner != node {
					t.Errorf("seed %d: %s: liveness record exists: %v; its shard is owned by %q", seed, node, isLive, owner)
				}
			}
		})
	}
}

// A controller writes its liveness record again after the record was deleted, whatever the reason.
func TestLostLivenessRecordIsRewritten(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		cluster.Store.Delete(jobs.LivenessPrefix + "n1")
		time.Sleep(15 * time.Second)
		if owner := cluster.OwnerOf("n1"); owner != "n1" {
			t.Errorf("the shard of the controller without a liveness record is owned by %q", owner)
		}
	})
}

// Every write of a controller needs a precondition, since the store may apply the write at any later time.
// The scenario covers all kinds of writes, with crashes, cancellations and handovers.
func TestEveryWriteHasPrecondition(t *testing.T) {
	runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
		addMachines(cluster, 9)
		setSpareMachines(t, cluster, "n0", 4)
		for i := range 12 {
			spec := fake.JobSpec(jobRef(i+1), []jobs.Kind{jobs.Array, jobs.Gang, jobs.Array}[i%3], []int{1, 3, 30}[i%3], 1)
			if i%4 == 0 && spec.Tasks < 4 {
				spec.Team = "capped"
			}
			requireAccepted(t, cluster, controllerName(i), spec, time.Duration(2+5*i)*time.Second)
		}
		time.Sleep(4 * time.Second)
		requireCancelled(t, cluster, "n1", "wk-9")
		requireCancelled(t, cluster, "n1", "wk-12")
		cluster.CrashController("n2")
		time.Sleep(8 * time.Second)
		cluster.StartController("n2")
		time.Sleep(12 * time.Second)
		cluster.StopController("n1")
		cluster.StartController("n1")
		time.Sleep(100 * time.Second)
		for _, prefix := range []string{
			jobs.LivenessPrefix, jobs.ShardPrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix,
			jobs.CompletionBatchPrefix, jobs.QuotaPrefix, jobs.FinalPrefix,
		} {
			if cluster.Store.WriteCountOf(prefix) == 0 {
				t.Errorf("no record under %s was written, so the scenario does not cover it", prefix)
			}
		}
		if keys := cluster.Store.UnconditionalKeys(); len(keys) > 0 {
			t.Errorf("keys written without a precondition: %v", keys)
		}
	})
}

// Controllers have to read all records again while they own their shards and while commands to machines
// are in flight. A task that a worker's answer to a probe does not list may start on that worker a moment
// later, under the same fencing token; it must not be started elsewhere.
func TestCacheReloadStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		runWithPeers(t, func(t *testing.T, cluster *fake.Cluster) {
			addMachines(cluster, 12)
			for _, host := range cluster.Hosts() {
				cluster.DelayInbound(host, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
			}
			for i := range 5 {
				requireAccepted(t, cluster, controllerName(i), fake.JobSpec(jobRef(i+1), jobs.Array, 10, 1), 30*time.Second)
				time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				for _, node := range controllerNames {
					cluster.Store.CompactWatch(node)
				}
			}
			for _, host := range cluster.Hosts() {
				cluster.DelayInbound(host, 0)
			}
			for i := range 5 {
				requireDone(t, cluster, "n1", jobRef(i+1), 150*time.Second)
			}
		})
	}
}

// lateMove is a node's connection to the store that carries out the first move of a machine late: just before its
// repetition, whose precondition then fails.
type lateMove struct {
	chunkedstore.Service
	held    *kvstore.Txn // the move that is not carried out yet
	wasHeld *atomic.Bool // set once a move is held, of any node
}

func (s *lateMove) Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	switch {
	case !isMove(txn):
	case s.held != nil:
		if result, err := s.Service.Commit(ctx, priority, *s.held); err != nil || !result.Succeeded {
			return result, errors.Join(errors.New("the late move was not carried out"), err)
		}
		s.held = nil
	case s.wasHeld.CompareAndSwap(false, true):
		s.held = &txn
		return kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown
	}
	return s.Service.Commit(ctx, priority, txn)
}

// isMove reports whether a transaction changes the record of a machine that was recorded before.
func isMove(txn kvstore.Txn) bool {
	return slices.ContainsFunc(txn.Writes, func(write kvstore.Write) bool {
		return strings.HasPrefix(write.Key, jobs.WorkerPrefix) && slices.ContainsFunc(txn.Conditions, func(condition kvstore.Condition) bool {
			return condition.Key == write.Key && condition.Revision > 0
		})
	})
}

// Two controllers move their idle machines to a third one for a gang. One of the moves gets no answer, and is
// carried out just before its repetition, while the watch lags behind. Guards against using the machine again when the
// repetition is refused: tasks that were placed there were never started, and their job waited for good.
func TestLateMoveStrandsNoTasks(t *testing.T) {
	for _, watchDelay := range []time.Duration{0, 150 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(fmt.Sprint("watch delay ", watchDelay), func(t *testing.T) {
			var wasHeld atomic.Bool
			holdMove := func(cluster *fake.Cluster) {
				cluster.WrapService = func(_ string, s chunkedstore.Service) chunkedstore.Service {
					return &lateMove{Service: s, wasHeld: &wasHeld}
				}
			}
			runWithPeersConfigured(t, holdMove, func(t *testing.T, cluster *fake.Cluster) {
				for _, node := range controllerNames {
					cluster.Store.DelayWatch(node, watchDelay)
				}
				addMachines(cluster, 3)
				setSpareMachines(t, cluster, "n0", 9)
				gang := fake.JobSpec("wk-1", jobs.Gang, 3, 4)
				gang.Urgency = "high"
				requireAccepted(t, cluster, "n0", gang, 3*time.Second)
				for deadline := time.Now().Add(20 * time.Second); !wasHeld.Load(); time.Sleep(10 * time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("no machine was moved")
					}
				}
				requireAccepted(t, cluster, "n1", fake.JobSpec("wk-2", jobs.Array, 24, 1), 4*time.Second)
				requireDone(t, cluster, "n0", "wk-1", 60*time.Second)
				requireDone(t, cluster, "n0", "wk-2", 60*time.Second)
			})
		})
	}
}
