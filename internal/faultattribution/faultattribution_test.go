package faultattribution

import (
	"fmt"
	"testing"
	"time"
)

var thresholds = Thresholds{MachineFailures: 3, JobMachines: 3}

// Two broken arrays that met on a machine put it out of use, and a broken job
// paused only after it had done so with several.
func TestBrokenJobsDoNotCondemnHealthyMachines(t *testing.T) {
	j, now := New(), time.Now()
	blamed := map[string]bool{}
	for round := range 12 {
		host := fmt.Sprintf("i-%d", round%6)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			pause, sick := j.RecordFailure(ref, host, time.Second, now, thresholds)
			if sick {
				t.Errorf("%s put out of use by broken jobs", host)
			}
			blamed[ref] = blamed[ref] || pause > 0
		}
		if j.RecordSuccess("wk-9", host, thresholds) != nil {
			t.Error("a machine that works was put out of use")
		}
	}
	if len(blamed) != 3 || !blamed["wk-1"] || !blamed["wk-2"] || !blamed["wk-3"] {
		t.Errorf("blamed: %v", blamed)
	}
}

func TestASickMachineDoesNotGetHealthyJobsPaused(t *testing.T) {
	j, now := New(), time.Now()
	sick := false
	for n := range 4 {
		ref := fmt.Sprintf("wk-%d", n)
		pause, s := j.RecordFailure(ref, "i-1", time.Second, now, thresholds)
		if pause > 0 {
			t.Errorf("%s blamed for a sick machine", ref)
		}
		sick = sick || s
		for _, h := range j.RecordSuccess(ref, "i-2", thresholds) { // the next try, elsewhere
			sick = sick || h == "i-1"
		}
	}
	if !sick {
		t.Error("the machine stays in use")
	}
}

// Many machines fell sick at once; a healthy job that met three of them first was
// taken for broken, though other jobs failed there as well.
func TestSeveralSickMachinesAreNotOneBrokenJob(t *testing.T) {
	j, now := New(), time.Now()
	for h := range 4 {
		for n := range 3 {
			j.RecordFailure(fmt.Sprintf("wk-%d%d", h, n), fmt.Sprintf("i-%d", h), time.Second, now, thresholds)
		}
	}
	for h := range 3 {
		if pause, _ := j.RecordFailure("wk-9", fmt.Sprintf("i-%d", h), time.Second, now, thresholds); pause > 0 {
			t.Fatal("blamed although its machines fail everything")
		}
	}
}

func TestABlamedJobWaitsLongerEachTimeUntilItWorks(t *testing.T) {
	j, now := New(), time.Now()
	fail := func() (longest time.Duration) {
		for h := range 9 {
			if p, _ := j.RecordFailure("wk-1", fmt.Sprintf("i-%d", h), time.Second, now, thresholds); p > 0 {
				longest = p
			}
		}
		return longest
	}
	first := fail()
	if first == 0 || !j.IsPaused("wk-1", now) || !j.IsJobFaulty("wk-1") {
		t.Fatalf("first pause %v", first)
	}
	now = now.Add(first)
	if second := fail(); second <= first {
		t.Errorf("second pause %v after %v", second, first)
	}
	j.RecordSuccess("wk-1", "i-1", thresholds)
	if j.IsPaused("wk-1", now) || j.IsJobFaulty("wk-1") {
		t.Error("still blamed after a task was done")
	}
}
