package jobs

import (
	"math/rand/v2"
	"testing"
)

// Checks that no task is lost or duplicated when tasks are taken from and returned to the unclaimed
// intervals in random order.
func TestUnclaimedIntervalsConserveTasks(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	unclaimed := []TaskInterval{{0, 500}}
	var claimed []TaskInterval
	for range 3000 {
		if len(unclaimed) > 0 && random.IntN(2) == 0 {
			var taken TaskInterval
			taken, unclaimed = TakeUnclaimed(unclaimed, 1+random.IntN(60))
			claimed = append(claimed, taken)
		} else if len(claimed) > 0 {
			i := random.IntN(len(claimed))
			returned := claimed[i]
			claimed = append(claimed[:i], claimed[i+1:]...)
			if kept := random.IntN(returned.Count); kept > 0 { // only the tail is returned
				claimed = append(claimed, TaskInterval{returned.First, kept})
				returned = TaskInterval{returned.First + kept, returned.Count - kept}
			}
			unclaimed = ReturnUnclaimed(unclaimed, returned)
		}
		requireEachTaskOnce(t, append(append([]TaskInterval{}, unclaimed...), claimed...), 500)
	}
}

func requireEachTaskOnce(t *testing.T, intervals []TaskInterval, tasks int) {
	t.Helper()
	seen := make([]int, tasks)
	for _, interval := range intervals {
		for i := interval.First; i < interval.First+interval.Count; i++ {
			seen[i]++
		}
	}
	for i, n := range seen {
		if n != 1 {
			t.Fatalf("task %d is in %d intervals", i, n)
		}
	}
}
