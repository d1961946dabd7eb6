package jobs

import (
	"math/rand/v2"
	"testing"
)

// No task is lost or duplicated when tasks are taken from and returned to the unclaimed intervals in
// random order.
func TestUnclaimedIntervalsConserveTasks(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	unclaimed := []TaskInterval{{0, 500}}
	var claimedIntervals []TaskInterval
	for range 3000 {
		if len(unclaimed) > 0 && random.IntN(2) == 0 {
			var takenInterval TaskInterval
			takenInterval, unclaimed = TakeUnclaimed(unclaimed, 1+random.IntN(60))
			claimedIntervals = append(claimedIntervals, takenInterval)
		} else if len(claimedIntervals) > 0 {
			i := random.IntN(len(claimedIntervals))
			returnedInterval := claimedIntervals[i]
			claimedIntervals = append(claimedIntervals[:i], claimedIntervals[i+1:]...)
			if keptCount := random.IntN(returnedInterval.Count); keptCount > 0 { // the first keptCount tasks stay claimed
				claimedIntervals = append(claimedIntervals, TaskInterval{returnedInterval.First, keptCount})
				returnedInterval = TaskInterval{returnedInterval.First + keptCount, returnedInterval.Count - keptCount}
			}
			unclaimed = ReturnUnclaimed(unclaimed, returnedInterval)
		}
		requireEachTaskOnce(t, append(append([]TaskInterval{}, unclaimed...), claimedIntervals...), 500)
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
