package claims_test

import (
	"fmt"
	"os"
	"testing"

	"cherrywall/internal/fake/faultinjection"
)

// Random faults on few machines leave no small array waiting while a machine in a zone that it may use has room,
// and violate no other invariant. ARRAY_SEEDS="from to" replaces the default seeds; the last seed is to-1.
func TestFaultsLeaveNoSmallArrayWaiting(t *testing.T) {
	from, to := uint64(0), uint64(24)
	if seeds := os.Getenv("ARRAY_SEEDS"); seeds != "" {
		if _, err := fmt.Sscan(seeds, &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, violation := range faultinjection.RunArrays(t, seed) {
				t.Error(violation)
			}
		})
	}
}
