package forecast

import (
	"testing"
	"time"
)

func TestBootTimesAreLearnedAndForgottenSoon(t *testing.T) {
	var b BootTimes
	typeZone := TypeZone{"m", "a"}
	if x := b.ExpectedSeconds(typeZone, 30, nil, time.Now()); x != 30 {
		t.Errorf("%v s before any boot", x)
	}
	at := time.Now()
	boots := func(took float64, n int) {
		at = at.Add(time.Minute)
		for range n {
			b.Observe(typeZone, at, time.Duration(took*float64(time.Second)))
		}
	}
	boots(120, 6)
	if x := b.ExpectedSeconds(typeZone, 30, nil, time.Now()); x != 120 {
		t.Errorf("%v s after six boots of 120 s", x)
	}
	if x := b.ExpectedSeconds(TypeZone{"m", "b"}, 30, nil, time.Now()); x != 120 {
		t.Errorf("%v s in a zone without boots of its own", x)
	}
	boots(33, 5)
	if x := b.ExpectedSeconds(typeZone, 30, nil, time.Now()); x > 40 {
		t.Errorf("%v s after boots were normal again", x)
	}
	at = at.Add(2 * time.Minute)
	boots(2, 9)
	if x := b.ExpectedSeconds(typeZone, 30, nil, time.Now()); x > 3 {
		t.Errorf("%v s after nine boots of 2 s", x)
	}
}

// All machines were late, and each was ordered again and again.
func TestLateMachinesArePatientlyAwaitedMissingOnesAreNot(t *testing.T) {
	var b BootTimes
	typeZone := TypeZone{"m", "a"}
	for range 9 {
		b.Observe(typeZone, time.Now().Add(-101*time.Second), 30*time.Second)
	}
	late := make([]float64, 30)
	for i := range late {
		late[i] = 100
	}
	if x := b.ExpectedSeconds(typeZone, 30, late, time.Now()); PendingWeight(100, x) != 1 {
		t.Errorf("every machine is late, usual %v s, and yet they are given up", x)
	}
	// Four do not come while those that were ordered with them did.
	if x := b.ExpectedSeconds(typeZone, 30, late[:4], time.Now()); PendingWeight(100, x) > 0.3 || PendingWeight(130, x) != 0 {
		t.Errorf("usual %v s; a missing machine still counts %v", x, PendingWeight(100, x))
	}
}

// Of seven hundred machines ordered at once the last to come up are the slowest, and
// dozens are still awaited then: the boot time was taken for three times what it is.
func TestTheSlowestOfManyDoNotStandForAll(t *testing.T) {
	var b BootTimes
	typeZone := TypeZone{"m", "a"}
	for i := range 400 {
		b.Observe(typeZone, time.Now().Add(-100*time.Second), time.Duration(20+i/10)*time.Second) // in the order in which they come up
	}
	if x := b.ExpectedSeconds(typeZone, 35, []float64{70, 80, 90, 95, 95, 95, 95, 95, 95, 95, 95, 95}, time.Now()); x < 35 || x > 45 {
		t.Errorf("usual %v s of boots that take 20 to 60 s", x)
	}
}
