package forecast

import (
	"testing"
	"time"
)

func TestBootTimesAreLearnedAndForgottenSoon(t *testing.T) {
	var b Boots
	g := Place{"m", "a"}
	if x := b.Expected(g, 30, nil); x != 30 {
		t.Errorf("%v s before any boot", x)
	}
	boots := func(took float64, n int) {
		for range n {
			b.Up(g, time.Duration(took*float64(time.Second)))
		}
	}
	boots(120, 6)
	if x := b.Expected(g, 30, nil); x != 120 {
		t.Errorf("%v s after six boots of 120 s", x)
	}
	if x := b.Expected(Place{"m", "b"}, 30, nil); x != 120 {
		t.Errorf("%v s in a zone without boots of its own", x)
	}
	boots(33, 5)
	if x := b.Expected(g, 30, nil); x > 40 {
		t.Errorf("%v s after boots were normal again", x)
	}
	boots(2, 9)
	if x := b.Expected(g, 30, nil); x > 3 {
		t.Errorf("%v s after nine boots of 2 s", x)
	}
}

// All machines were late, and each was ordered again and again.
func TestLateMachinesArePatientlyAwaitedMissingOnesAreNot(t *testing.T) {
	var b Boots
	g := Place{"m", "a"}
	for range 9 {
		b.Up(g, 30*time.Second)
	}
	late := make([]float64, 30)
	for i := range late {
		late[i] = 100
	}
	if x := b.Expected(g, 30, late); Coming(100, x) != 1 {
		t.Errorf("every machine is late, usual %v s, and yet they are given up", x)
	}
	// Four do not come while those that were ordered with them did.
	if x := b.Expected(g, 30, late[:4]); Coming(100, x) > 0.3 || Coming(130, x) != 0 {
		t.Errorf("usual %v s; a missing machine still counts %v", x, Coming(100, x))
	}
}
