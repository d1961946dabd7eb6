package faultinjection_test

import (
	"testing"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
)

// Writes that are not answered and applied after newer ones do no harm only because of their
// conditions.
func TestLateWritesWithoutConditionsAreFound(t *testing.T) {
	skipConditions := func(cluster *fake.Cluster) { cluster.Store.SkipConditions() }
	if !faultinjection.FindsViolationWith(t, 30, skipConditions, "ran_", "went_back", "not_done", "quota", "forgotten") {
		t.Error("30 runs of the mutation violated no invariant")
	}
}

// A controller that believes that it may answer for a lease longer than it may.
func TestCancelTimeoutTooLongIsFound(t *testing.T) {
	lengthen := func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds += cfg.Cluster.Workers.LeaseSeconds }
	mutate := func(cluster *fake.Cluster) { cluster.AlterConfig = lengthen }
	if !faultinjection.FindsViolationOf(t, 30, faultinjection.OutageDuringCancellation, mutate, "ran_cancelled") {
		t.Error("30 runs of the mutation violated no invariant")
	}
}

// A cancelled task that continues after its machine was frozen.
func TestContinuingCancelledTaskIsFound(t *testing.T) {
	mutate := func(cluster *fake.Cluster) { cluster.IgnoreStops = true }
	if !faultinjection.FindsViolationOf(t, 10, faultinjection.CancelSeveral, mutate, "ran_cancelled") {
		t.Error("10 runs with machines that stop no task violated no invariant")
	}
}

// A job that waits although there is capacity for it.
func TestJobLeftWaitingIsFound(t *testing.T) {
	mutate := func(cluster *fake.Cluster) { cluster.RefuseStarts = true }
	if !faultinjection.FindsViolationOf(t, 5, faultinjection.InvalidRequests, mutate, "left_waiting") {
		t.Error("5 runs with machines that start no task violated no invariant")
	}
}
