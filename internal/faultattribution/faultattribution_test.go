package faultattribution

import (
	"fmt"
	"testing"
	"time"
)

var thresholds = Thresholds{MachineFailures: 3, JobFaultMachines: 3}

// Guards against a fault in which two faulty arrays that failed on the same machine caused its
// quarantine, and a faulty job was paused only after it had caused the quarantine of several
// machines.
func TestFaultyJobsDoNotMakeHealthyMachinesFaulty(t *testing.T) {
	attributor, now := New(), time.Now()
	pausedJobs := map[string]bool{}
	for round := range 12 {
		host := fmt.Sprintf("i-%d", round%6)
		for _, ref := range []string{"wk-1", "wk-2", "wk-3"} {
			attribution := attributor.RecordFailure(ref, host, time.Second, now, thresholds)
			if attribution.IsMachineFaulty {
				t.Errorf("%s found faulty because of faulty jobs", host)
			}
			pausedJobs[ref] = pausedJobs[ref] || attribution.JobPause > 0
		}
		if attributor.RecordSuccess("wk-9", host, thresholds) != nil {
			t.Error("a machine that works was found faulty")
		}
	}
	if len(pausedJobs) != 3 || !pausedJobs["wk-1"] || !pausedJobs["wk-2"] || !pausedJobs["wk-3"] {
		t.Errorf("paused jobs: %v", pausedJobs)
	}
}

func TestFaultyMachineDoesNotPauseHealthyJobs(t *testing.T) {
	attributor, now := New(), time.Now()
	isFaulty := false
	for n := range 4 {
		ref := fmt.Sprintf("wk-%d", n)
		attribution := attributor.RecordFailure(ref, "i-1", time.Second, now, thresholds)
		if attribution.JobPause > 0 {
			t.Errorf("%s paused for a faulty machine", ref)
		}
		isFaulty = isFaulty || attribution.IsMachineFaulty
		for _, host := range attributor.RecordSuccess(ref, "i-2", thresholds) { // the next attempt, elsewhere
			isFaulty = isFaulty || host == "i-1"
		}
	}
	if !isFaulty {
		t.Error("the faulty machine was not found faulty")
	}
}

// Guards against a wrong attribution when many machines become faulty at once: a healthy job that ran
// first on three of them was found at fault, although other jobs failed there as well.
func TestSeveralFaultyMachinesDoNotPauseJob(t *testing.T) {
	attributor, now := New(), time.Now()
	for h := range 4 {
		for n := range 3 {
			attributor.RecordFailure(fmt.Sprintf("wk-%d%d", h, n), fmt.Sprintf("i-%d", h), time.Second, now, thresholds)
		}
	}
	for h := range 3 {
		if a := attributor.RecordFailure("wk-9", fmt.Sprintf("i-%d", h), time.Second, now, thresholds); a.JobPause > 0 {
			t.Fatal("the job was paused although every task fails on its machines")
		}
	}
}

func TestFaultyJobPausesGrowUntilSuccess(t *testing.T) {
	attributor, now := New(), time.Now()
	failOnNineMachines := func() (longestPause time.Duration) {
		for h := range 9 {
			attribution := attributor.RecordFailure("wk-1", fmt.Sprintf("i-%d", h), time.Second, now, thresholds)
			if attribution.JobPause > 0 {
				longestPause = attribution.JobPause
			}
		}
		return longestPause
	}
	firstPause := failOnNineMachines()
	if firstPause == 0 || !attributor.IsPaused("wk-1", now) || !attributor.IsJobFaulty("wk-1") {
		t.Fatalf("first pause %v", firstPause)
	}
	now = now.Add(firstPause)
	if secondPause := failOnNineMachines(); secondPause <= firstPause {
		t.Errorf("second pause %v after %v", secondPause, firstPause)
	}
	attributor.RecordSuccess("wk-1", "i-1", thresholds)
	if attributor.IsPaused("wk-1", now) || attributor.IsJobFaulty("wk-1") {
		t.Error("the job is still at fault after one of its tasks was done")
	}
}

// Guards against the fault of docs/incidents/2026-12-machine-barred-for-good.md: a job was never tried again
// on a machine on which it had failed once.
func TestJobAvoidsMachineOnlyForAWhile(t *testing.T) {
	attributor, now := New(), time.Now()
	for attempt, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, time.Minute, time.Minute} {
		for range 2 { // two tasks of the attempt fail
			attributor.RecordFailure("wk-1", "i-1", time.Second, now, Thresholds{MachineFailures: 3, JobFaultMachines: 100})
		}
		if !attributor.ShouldAvoid("wk-1", "i-1", now.Add(want-1)) || attributor.ShouldAvoid("wk-1", "i-1", now.Add(want)) {
			t.Errorf("attempt %d: the machine is not avoided for %v", attempt, want)
		}
		if attributor.ShouldAvoid("wk-2", "i-1", now) || attributor.ShouldAvoid("wk-1", "i-2", now) {
			t.Error("another job avoids the machine, or the job avoids another machine")
		}
		now = now.Add(want)
	}
	attributor.RecordSuccess("wk-1", "i-2", thresholds)
	if !attributor.HasFailedOn("wk-1", "i-1") {
		t.Error("a success elsewhere is taken for one on the machine")
	}
	attributor.RecordSuccess("wk-1", "i-1", thresholds)
	if attributor.HasFailedOn("wk-1", "i-1") {
		t.Error("a machine on which the job was done still counts as one on which it failed")
	}
}
