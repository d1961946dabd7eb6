package faultinjection_test

import (
	"testing"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
)

// Writes that go without an answer and come after newer ones do no harm by their conditions
// alone.
func TestLateWritesWithoutTheirConditionsAreFound(t *testing.T) {
	if !faultinjection.FindsViolationWith(t, 30, func(cluster *fake.Cluster) { cluster.Store.SkipConditions() }, "ran_", "went_back", "not_done", "quota", "forgotten") {
		t.Error("30 nights of the broken variant kept the rules")
	}
}

// A controller that believes that it may answer a lease longer than it may.
func TestABoundTooLongIsFoundByNight(t *testing.T) {
	longer := func(cfg *config.Config) { cfg.Cluster.Workers.CancelS += cfg.Cluster.Workers.LeaseS }
	if !faultinjection.FindsViolationOf(t, 30, faultinjection.OutageDuringCancellation, func(cluster *fake.Cluster) { cluster.AlterConfig = longer }, "ran_cancelled") {
		t.Error("30 nights of the broken variant kept the rule")
	}
}

// A cancelled task that goes on after its machine stood still.
func TestACancelledTaskThatGoesOnIsFound(t *testing.T) {
	if !faultinjection.FindsViolationOf(t, 10, faultinjection.CancelSeveral, func(cluster *fake.Cluster) { cluster.IgnoreStops = true }, "ran_cancelled") {
		t.Error("10 nights with machines that stop nothing kept the rule")
	}
}

// A job that waits though there is room for it.
func TestAJobLeftWaitingIsFound(t *testing.T) {
	if !faultinjection.FindsViolationOf(t, 5, faultinjection.InvalidRequests, func(cluster *fake.Cluster) { cluster.RefuseStarts = true }, "left_waiting") {
		t.Error("5 nights with machines that start nothing kept the rule")
	}
}
