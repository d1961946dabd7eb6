package night_test

import (
	"testing"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/fake/night"
)

// Writes that go without an answer and come after newer ones do no harm by their conditions
// alone.
func TestLateWritesWithoutTheirConditionsAreFound(t *testing.T) {
	if !night.FoundWith(t, 30, func(w *fake.World) { w.Store.Careless() }, "ran_", "went_back", "not_done", "quota", "forgotten") {
		t.Error("30 nights of the broken variant kept the rules")
	}
}

// A controller that believes that it may answer a lease longer than it may.
func TestABoundTooLongIsFoundByNight(t *testing.T) {
	longer := func(cfg *config.Config) { cfg.Cluster.Workers.CancelS += cfg.Cluster.Workers.LeaseS }
	if !night.FoundAt(t, 30, night.Gap, func(w *fake.World) { w.Believes = longer }, "ran_cancelled") {
		t.Error("30 nights of the broken variant kept the rule")
	}
}

// A cancelled task that goes on after its machine stood still.
func TestACancelledTaskThatGoesOnIsFound(t *testing.T) {
	if !night.FoundAt(t, 10, night.CancelNow, func(w *fake.World) { w.Stubborn = true }, "ran_cancelled") {
		t.Error("10 nights with machines that stop nothing kept the rule")
	}
}

// A job that waits though there is room for it.
func TestAJobLeftWaitingIsFound(t *testing.T) {
	if !night.FoundAt(t, 5, night.Odd, func(w *fake.World) { w.Refusing = true }, "left_waiting") {
		t.Error("5 nights with machines that start nothing kept the rule")
	}
}
