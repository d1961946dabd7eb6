package reconciliation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"cherrywall/internal/fake/faultinjection"
	"cherrywall/internal/reconciliation"
)

// Nights by chance keep every rule, and what was accepted comes to its end; in every other
// one the controllers hear one another and hand shares over.
func TestNightsByChanceKeepTheRules(t *testing.T) {
	ended := 0
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, b := range faultinjection.Run(t, 12, seed%2 == 1, func(n *faultinjection.FaultRun) {
				n.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150)
				ended += n.Finish()
			}) {
				t.Error(b)
			}
		})
	}
	if ended < 150 {
		t.Errorf("the nights tell little: %d jobs ended", ended)
	}
}

// The judge is worth something: a share that opens before its workers were heard breaks a
// rule on one of a few nights.
func TestAShareOpenedBeforeItsReportsIsFound(t *testing.T) {
	defer reconciliation.SkipUnconfirmedWorkers()()
	for seed := range uint64(30) {
		if len(faultinjection.Run(t, 12, false, func(n *faultinjection.FaultRun) { n.InjectFaults(rand.New(rand.NewPCG(seed, 22)), 150) })) > 0 {
			return
		}
	}
	t.Error("30 nights of the broken variant kept every rule")
}

// The troubles that break rules where they meet, with leases and cancellation times of several
// lengths: docs/meetings.md. NIGHT_SEEDS="from to" plays other seeds than these few.
func TestMeetingsByChanceKeepTheRules(t *testing.T) {
	from, to := uint64(0), uint64(8)
	if seeds := os.Getenv("NIGHT_SEEDS"); seeds != "" {
		if _, err := fmt.Sscan(seeds, &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, b := range faultinjection.RunCombined(t, seed) {
				t.Error(b)
			}
		})
	}
}
