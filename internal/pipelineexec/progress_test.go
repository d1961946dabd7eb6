package pipelineexec

import (
	"slices"
	"testing"

	"cherrywall/internal/pipeline"
)

func TestProgressRoundTrip(t *testing.T) {
	states := []JobState{
		{Status: Waiting},
		{Status: Active, Attempt: 2, Salt: 1},
		{Status: Delayed, DelayedUntilMS: 5000},
		{Status: Stopping, Cause: pipeline.CauseTimeout},
		{Status: Succeeded, ManuallyStarted: true},
	}
	progress := EncodeProgress(states)
	if progress.Status != "wadxs" {
		t.Errorf("statuses %q", progress.Status)
	}
	decoded, err := progress.JobStates(len(states))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(decoded, states) {
		t.Errorf("%+v, want %+v", decoded, states)
	}
}

func TestJobStatesRejectsInvalidProgress(t *testing.T) {
	progress := EncodeProgress(NewJobStates(2))
	if _, err := progress.JobStates(3); err == nil {
		t.Error("a record with the states of another number of jobs is accepted")
	}
	progress.Status = "w?"
	if _, err := progress.JobStates(2); err == nil {
		t.Error("an unknown status is accepted")
	}
}

// A retry gets another id, and so does an attempt whose id is already used by another job. A controller that
// continues the run computes the same ids.
func TestJobRefsAreDistinctAndStable(t *testing.T) {
	refs := map[string]bool{}
	for _, state := range []JobState{{}, {Attempt: 1}, {Salt: 1}} {
		ref := JobRef("run-1", 0, state)
		if ref != JobRef("run-1", 0, state) {
			t.Errorf("JobRef returns different ids for %+v", state)
		}
		refs[ref] = true
	}
	if refs[JobRef("run-1", 0, JobState{Status: Active, ManuallyStarted: true})] = true; len(refs) != 3 {
		t.Errorf("%d ids, want 3: %v", len(refs), refs)
	}
}
