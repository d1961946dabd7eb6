package reconciliation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/reconciliation"
)

// Random fault runs break no rule, and accepted jobs end. In every other run the controllers exchange
// peer messages and transfer shards.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	ended := 0
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, violation := range faultinjection.Run(t, 12, seed%2 == 1, func(run *faultinjection.FaultRun) {
				run.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150)
				ended += run.Finish()
			}) {
				t.Error(violation)
			}
		})
	}
	if ended < 150 {
		t.Errorf("only %d jobs ended in all runs", ended)
	}
}

// A shard that does not wait for its workers breaks a rule in one of a few runs.
func TestMutationWithoutWaitingForWorkersIsDetected(t *testing.T) {
	defer reconciliation.SkipUnconfirmedWorkers()()
	for seed := range uint64(30) {
		if len(faultinjection.Run(t, 12, false, func(run *faultinjection.FaultRun) { run.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150) })) > 0 {
			return
		}
	}
	t.Error("30 runs of the mutation kept every rule")
}

// Faults that break rules when they coincide, with leases and cancellation times of several lengths:
// docs/meetings.md. NIGHT_SEEDS="from to" runs other seeds than these few.
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
