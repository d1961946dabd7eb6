package readbarrier

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// Many callers share a read, are served once the watch has reached it, and never by
// one that began before they asked.
func TestCallersShareReadsAndAreServedWhenTheWatchIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []time.Time
		woken := 0
		q := New(func(startedAt time.Time) { asked = append(asked, startedAt) }, func() { woken++ })
		served, failed := 0, 0
		done := func(ok bool) {
			if ok {
				served++
			} else {
				failed++
			}
		}
		time.Sleep(time.Hour)
		q.Wait(time.Now(), false, done)
		q.Wait(time.Now(), false, done) // comes while the first read is under way
		if len(asked) != 1 {
			t.Fatalf("%d reads", len(asked))
		}
		time.Sleep(5 * time.Millisecond)
		q.CompleteRead(time.Now(), asked[0], 7, nil)
		q.StartIfDue(time.Now())
		if consistentAsOf, serve := q.Advance(time.Now(), 6, true); !consistentAsOf.IsZero() || served > 0 {
			t.Error("served before the watch is there")
		} else {
			serve()
		}
		consistentAsOf, serve := q.Advance(time.Now(), 7, true)
		serve()
		if !consistentAsOf.Equal(asked[0]) || served != 1 || q.NewestRevision() != 7 {
			t.Errorf("%d served, fresh since %v", served, consistentAsOf)
		}
		time.Sleep(tuning.MinPollRevisionReadGap)
		synctest.Wait()
		if woken != 1 {
			t.Fatalf("woken %d times", woken)
		}
		q.HandleTimer(time.Now())
		if len(asked) != 2 {
			t.Fatalf("%d reads for the second", len(asked))
		}
		q.CompleteRead(time.Now(), asked[1], 0, errors.New("away"))
		if failed != 1 {
			t.Error("a failed read was not told")
		}
		q.Wait(time.Now(), true, done)
		time.Sleep(tuning.MinRevisionReadGap)
		synctest.Wait()
		q.HandleTimer(time.Now())
		q.CompleteRead(time.Now(), asked[2], 9, nil)
		time.Sleep(2 * tuning.StoreRequestTimeout) // the watch does not come
		q.Advance(time.Now(), 8, true)
		if failed != 2 {
			t.Error("who waited for too long was not told")
		}
	})
}
