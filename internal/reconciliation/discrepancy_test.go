package reconciliation_test

import (
	"testing"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/reconciliation"
)

func TestClassifyListedTasks(t *testing.T) {
	for _, test := range []struct {
		name         string
		lookup       clusterstate.TaskLookup
		want         reconciliation.Discrepancy
		keepsRunning bool
	}{
		{"unknown job", clusterstate.TaskLookup{}, reconciliation.UnknownJob, false},
		{"job has ended", clusterstate.TaskLookup{JobKnown: true, JobEnded: true, IsClaimed: true}, reconciliation.JobFinished, false},
		{"completion not recorded", clusterstate.TaskLookup{JobKnown: true, IsClaimed: true, ReportedDone: true}, reconciliation.CompletionUnrecorded, false},
		{"completion recorded", clusterstate.TaskLookup{JobKnown: true, IsClaimed: true, IsFinished: true, ReportedDone: true}, reconciliation.StaleAttempt, false},
		{"placed on another worker", clusterstate.TaskLookup{JobKnown: true, IsClaimed: true, PlacedElsewhere: true}, reconciliation.StaleAttempt, false},
		{"not claimed", clusterstate.TaskLookup{JobKnown: true}, reconciliation.RunningUnclaimed, false},
		{"as recorded", clusterstate.TaskLookup{JobKnown: true, IsClaimed: true}, reconciliation.Agrees, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := reconciliation.Classify(test.lookup); got != test.want {
				t.Errorf("classified as %q, want %q", got, test.want)
			}
			if got := reconciliation.KeepsRunning(test.lookup); got != test.keepsRunning {
				t.Errorf("keeps running: %v, want %v", got, test.keepsRunning)
			}
		})
	}
}
