package readbarrier

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// callerCounter counts the callers that were served and those that failed.
type callerCounter struct{ served, failed int }

func (c *callerCounter) recordResult(ok bool) {
	if ok {
		c.served++
	} else {
		c.failed++
	}
}

// Callers share a read and are served once the cache has reached the revision that was read. A read
// that was started before a call must not serve that call.
func TestWaitersShareReadsAndAreServedWhenCacheIsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var readStartTimes []time.Time
		wakeups := 0
		q := New(func(startedAt time.Time) { readStartTimes = append(readStartTimes, startedAt) }, func() { wakeups++ })
		callers := &callerCounter{}
		time.Sleep(time.Hour)
		q.Wait(time.Now(), false, callers.recordResult)
		q.Wait(time.Now(), false, callers.recordResult) // while the first read is in flight
		if len(readStartTimes) != 1 {
			t.Fatalf("%d reads, want one", len(readStartTimes))
		}
		time.Sleep(5 * time.Millisecond)
		q.CompleteRead(time.Now(), readStartTimes[0], 7, nil)
		q.StartIfDue(time.Now())
		if consistentAsOf, serve := q.Advance(time.Now(), 6, true); !consistentAsOf.IsZero() || callers.served > 0 {
			t.Error("served before the cache has reached the revision")
		} else {
			serve()
		}
		consistentAsOf, serve := q.Advance(time.Now(), 7, true)
		serve()
		if !consistentAsOf.Equal(readStartTimes[0]) || callers.served != 1 || q.NewestRevision() != 7 {
			t.Errorf("%d served, consistent as of %v", callers.served, consistentAsOf)
		}
		time.Sleep(tuning.MinPollRevisionReadGap)
		synctest.Wait()
		if wakeups != 1 {
			t.Fatalf("woken %d times, want once", wakeups)
		}
		q.HandleTimer(time.Now())
		if len(readStartTimes) != 2 {
			t.Fatalf("%d reads for the second caller", len(readStartTimes))
		}
		q.CompleteRead(time.Now(), readStartTimes[1], 0, errors.New("unavailable"))
		if callers.failed != 1 {
			t.Error("the caller of a failed read was not notified")
		}
		q.Wait(time.Now(), true, callers.recordResult)
		time.Sleep(tuning.MinRevisionReadGap)
		synctest.Wait()
		q.HandleTimer(time.Now())
		q.CompleteRead(time.Now(), readStartTimes[2], 9, nil)
		time.Sleep(2 * tuning.StoreRequestTimeout) // the cache does not reach the revision
		q.Advance(time.Now(), 8, true)
		if callers.failed != 2 {
			t.Error("the caller whose deadline has passed was not notified")
		}
	})
}
