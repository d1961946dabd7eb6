package reconciliation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/reconciliation"
)

// Random faults violate no invariant, and accepted jobs end. In every second run the controllers
// exchange peer messages and transfer shards.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	endedJobs := 0
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, violation := range faultinjection.Run(t, 12, seed%2 == 1, func(run *faultinjection.FaultRun) {
				run.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150)
				endedJobs += run.Finish()
			}) {
				t.Error(violation)
			}
		})
	}
	if endedJobs < 150 {
		t.Errorf("only %d jobs ended in all runs", endedJobs)
	}
}

// The invariant checkers detect the mutation in which a shard does not wait for its workers: at least
// one of 30 runs violates an invariant.
func TestMutationWithoutWaitingForWorkersIsDetected(t *testing.T) {
	defer reconciliation.SkipUnconfirmedWorkers()()
	for seed := range uint64(30) {
		if len(faultinjection.Run(t, 12, false, func(run *faultinjection.FaultRun) { run.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150) })) > 0 {
			return
		}
	}
	t.Error("30 runs of the mutation violated no invariant")
}

// Combinations of faults that have violated invariants in the past (docs/meetings.md) violate none now.
// The lease duration and the time limit for cancellations depend on the seed. NIGHT_SEEDS="from to"
// replaces the default seeds; the last seed is to-1.
func TestCombinedFaultsKeepInvariants(t *testing.T) {
	from, to := uint64(0), uint64(8)
	if seeds := os.Getenv("NIGHT_SEEDS"); seeds != "" {
		if _, err := fmt.Sscan(seeds, &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, violation := range faultinjection.RunCombined(t, seed) {
				t.Error(violation)
			}
		})
	}
}
