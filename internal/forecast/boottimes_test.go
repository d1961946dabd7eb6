package forecast

import (
	"testing"
	"time"
)

func TestExpectedBootTimeFollowsRecentBoots(t *testing.T) {
	var bootTimes BootTimes
	typeZone := TypeZone{"m", "a"}
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, nil, time.Now()); expected != 30 {
		t.Errorf("expected boot time %v s before any boot", expected)
	}
	requestedAt := time.Now()
	observe := func(seconds float64, count int) {
		requestedAt = requestedAt.Add(time.Minute)
		for range count {
			bootTimes.Observe(typeZone, requestedAt, time.Duration(seconds*float64(time.Second)))
		}
	}
	observe(120, 6)
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, nil, time.Now()); expected != 120 {
		t.Errorf("%v s after six boots of 120 s", expected)
	}
	if expected := bootTimes.ExpectedSeconds(TypeZone{"m", "b"}, 30, nil, time.Now()); expected != 120 {
		t.Errorf("%v s in a zone without boots of its own", expected)
	}
	observe(33, 5)
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, nil, time.Now()); expected > 40 {
		t.Errorf("%v s after boots were normal again", expected)
	}
	requestedAt = requestedAt.Add(2 * time.Minute)
	observe(2, 9)
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, nil, time.Now()); expected > 3 {
		t.Errorf("%v s after nine boots of 2 s", expected)
	}
}

// Guards against a fault in which all machines booted late, and each of them was requested again and
// again.
func TestExpectedBootTimeGrowsOnlyIfMostMachinesAreLate(t *testing.T) {
	var bootTimes BootTimes
	typeZone := TypeZone{"m", "a"}
	for range 9 {
		bootTimes.Observe(typeZone, time.Now().Add(-101*time.Second), 30*time.Second)
	}
	lateAges := make([]float64, 30)
	for i := range lateAges {
		lateAges[i] = 100
	}
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, lateAges, time.Now()); PendingWeight(100, expected) != 1 {
		t.Errorf("all machines are late, but do not count fully; expected boot time %v s", expected)
	}
	// Four machines do not boot, while others that were requested with them did.
	if expected := bootTimes.ExpectedSeconds(typeZone, 30, lateAges[:4], time.Now()); PendingWeight(100, expected) > 0.3 || PendingWeight(130, expected) != 0 {
		t.Errorf("expected boot time %v s; a missing machine still counts %v", expected, PendingWeight(100, expected))
	}
}

// When 700 machines are requested at once, the slowest boot last, and dozens are still pending after
// most have booted. Guards against a fault in which the boot time was then estimated at three times
// its value.
func TestSlowestMachinesDoNotDominateExpectedBootTime(t *testing.T) {
	var bootTimes BootTimes
	typeZone := TypeZone{"m", "a"}
	for i := range 400 {
		bootTimes.Observe(typeZone, time.Now().Add(-100*time.Second), time.Duration(20+i/10)*time.Second) // in boot order
	}
	if expected := bootTimes.ExpectedSeconds(typeZone, 35, []float64{70, 80, 90, 95, 95, 95, 95, 95, 95, 95, 95, 95}, time.Now()); expected < 35 || expected > 45 {
		t.Errorf("expected boot time %v s of boots that take 20 to 60 s", expected)
	}
}
