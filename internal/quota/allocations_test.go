package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// exploration is the result of a breadth-first search of the model's states.
type exploration struct {
	stateCount int
	// violation describes the invariant that does not hold, or is empty. path holds the names of the
	// steps that lead to the violation.
	violation string
	path      []string
}

// explorer does a breadth-first search of all states that can be reached by the steps.
type explorer struct {
	variant      protocolVariant
	steps        []step
	initialState model
	origins      map[model]origin // by visited state
}

// origin is the step by which a state was first reached, and the state before that step.
type origin struct {
	predecessor model
	step        string
}

// explore visits states until it has visited at least maxStates, or an invariant does not hold.
// excludeFaults leaves out the steps that are faults and allows only one transaction in flight, so
// that longer paths are searched in the same time.
func explore(variant protocolVariant, excludeFaults bool, maxStates int) exploration {
	e := explorer{variant: variant, steps: allSteps(), initialState: initialModel(), origins: map[model]origin{}}
	inFlightLimit = maxInFlight
	if excludeFaults {
		inFlightLimit = 1
		e.steps = slices.DeleteFunc(e.steps, func(s step) bool { return s.isFault })
	}
	e.origins[e.initialState] = origin{}
	level := []model{e.initialState}
	for len(level) > 0 && len(e.origins) < maxStates {
		var nextLevel []model
		for _, state := range level {
			newStates := e.visitFrom(state)
			if n := len(newStates); n > 0 {
				if violation := newStates[n-1].violation(); violation != "" {
					return exploration{len(e.origins), violation, e.pathTo(newStates[n-1])}
				}
			}
			nextLevel = append(nextLevel, newStates...)
		}
		level = nextLevel
	}
	return exploration{stateCount: len(e.origins)}
}

// visitFrom returns the states that are one step away and were not visited before. It returns early
// at the first state in which an invariant does not hold, which is then the last one returned.
func (e *explorer) visitFrom(state model) (newStates []model) {
	for _, step := range e.steps {
		nextState := state
		if !step.apply(&nextState, e.variant) {
			continue
		}
		if _, known := e.origins[nextState]; known {
			continue
		}
		e.origins[nextState] = origin{state, step.name}
		newStates = append(newStates, nextState)
		if nextState.violation() != "" {
			return newStates
		}
	}
	return newStates
}

// pathTo returns the names of the steps that lead from the initial state to a state.
func (e *explorer) pathTo(state model) (path []string) {
	for ; state != e.initialState; state = e.origins[state].predecessor {
		path = append(path, e.origins[state].step)
	}
	slices.Reverse(path)
	return path
}

func TestAllocationInvariantsInEveryOrderOfSteps(t *testing.T) {
	defer func(limit float64) { team.MaxCPUs = limit }(team.MaxCPUs)
	for team.MaxCPUs = 1; team.MaxCPUs <= 2; team.MaxCPUs++ {
		for excludeFaults, maxStates := range map[bool]int{false: 20_000, true: 60_000} {
			t.Run(fmt.Sprintf("quota %v, without faults %v", team.MaxCPUs, excludeFaults), func(t *testing.T) {
				result := explore(protocolVariant{}, excludeFaults, maxStates)
				if result.violation != "" {
					t.Fatalf("%s after %q", result.violation, result.path)
				}
				t.Logf("%d states", result.stateCount)
				if result.stateCount < maxStates {
					t.Errorf("only %d states: the steps of the model reach too few states", result.stateCount)
				}
			})
		}
	}
}

// The exploration must find the violations in incorrect variants of the protocol. This shows that it
// would find them in the real protocol as well.
func TestIncorrectVariantsViolateInvariants(t *testing.T) {
	for name, variant := range map[string]protocolVariant{
		"used before its tasks are known":                               {usesBeforeReconciled: true},
		"used while it is released":                                     {usesWhileReleasing: true},
		"written without the shard's epoch":                             {writesWithoutEpoch: true},
		"reconciled before the records of the previous owner are known": {reconcilesBeforeRecord: true},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore(variant, true, 400_000)
			if result.violation == "" {
				t.Fatal("no violation found")
			}
			t.Logf("%s after %q", result.violation, result.path)
		})
	}
}

// TestAllocationInvariantsOnLongPaths checks random paths that are far longer than those of an
// exploration.
func TestAllocationInvariantsOnLongPaths(t *testing.T) {
	inFlightLimit = maxInFlight
	steps := allSteps()
	rapid.Check(t, func(t *rapid.T) {
		state := initialModel()
		for _, step := range rapid.SliceOfN(rapid.SampledFrom(steps), 50, 150).Draw(t, "steps") {
			if nextState := state; step.apply(&nextState, protocolVariant{}) {
				state = nextState
			}
			if state.record.revision > 100 {
				return // the model's revisions are of type int8 and must not overflow
			}
			if violation := state.violation(); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}
