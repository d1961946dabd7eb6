package statecache

import (
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

// A change counts as old only if the store had reached its revision that long ago.
func TestRevisionHistoryBoundsAgeOfChanges(t *testing.T) {
	const minAge = 3 * time.Second
	history := revisionHistory{maxAge: minAge}
	start := time.Now()
	for tick := range 41 { // 10 s; the revision rises by one in each
		history.observe(uint64(100+tick), start.Add(time.Duration(tick)*250*time.Millisecond))
	}
	now := start.Add(10 * time.Second)
	for _, test := range []struct {
		name     string
		revision uint64
		want     bool
	}{
		{"long ago", 5, true},
		{"reached exactly then", 128, true},
		{"reached later", 129, false},
		{"not reached", 141, false},
	} {
		if got := history.isOlder(test.revision, minAge, now); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	if limit := int(minAge/tuning.MinRevisionSampleInterval) + 2; len(history.samples) > limit {
		t.Errorf("%d samples kept, want %d at most", len(history.samples), limit)
	}
}

// Without a sample nothing is known about the age of a change.
func TestEmptyRevisionHistoryCallsNothingOld(t *testing.T) {
	if (&revisionHistory{maxAge: time.Second}).isOlder(1, time.Second, time.Now()) {
		t.Error("an unknown revision counts as old")
	}
}
