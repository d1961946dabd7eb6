package faultinjection_test

import (
	"testing"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/faultinjection"
)

// Mutation: late writes are applied without checking their preconditions. Only the preconditions keep late
// writes from overwriting newer ones.
func TestLateWritesWithoutConditionsAreFound(t *testing.T) {
	skipConditions := func(cluster *fake.Cluster) { cluster.Store.SkipConditions() }
	if !faultinjection.FindsViolationWith(t, 30, skipConditions, "ran_", "went_back", "not_done", "quota", "forgotten") {
		t.Error("no expected violation in 30 runs with the mutation")
	}
}

// Mutation: the controllers use a cancel timeout that is longer than the configured one, so that they renew
// worker leases for too long after a cancellation that they cannot read.
func TestTooLongCancelTimeoutIsFound(t *testing.T) {
	extendCancelTimeout := func(cfg *config.Config) { cfg.Cluster.Workers.CancelSeconds += cfg.Cluster.Workers.LeaseSeconds }
	mutate := func(cluster *fake.Cluster) { cluster.AlterConfig = extendCancelTimeout }
	if !faultinjection.FindsViolationOfKind(t, 30, faultinjection.OutageDuringCancellation, mutate, "ran_cancelled") {
		t.Error("no expected violation in 30 runs with the mutation")
	}
}

// Mutation: machines ignore stop commands and the expiry of their leases, so that cancelled tasks continue
// to run.
func TestContinuingCancelledTaskIsFound(t *testing.T) {
	mutate := func(cluster *fake.Cluster) { cluster.IgnoreStops = true }
	if !faultinjection.FindsViolationOfKind(t, 10, faultinjection.CancelSeveral, mutate, "ran_cancelled") {
		t.Error("no expected violation in 10 runs with machines that stop no task")
	}
}

// Mutation: machines start no task, so that jobs wait although there is capacity for them.
func TestJobLeftWaitingIsFound(t *testing.T) {
	mutate := func(cluster *fake.Cluster) { cluster.RefuseStarts = true }
	if !faultinjection.FindsViolationOfKind(t, 5, faultinjection.InvalidRequests, mutate, "left_waiting") {
		t.Error("no expected violation in 5 runs with machines that start no task")
	}
}
