package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// exploration is the result of trying all steps in all states, level by level.
type exploration struct {
	states int
	// violation is the invariant that does not hold, if any; path are the steps to it.
	violation string
	path      []string
}

// explorer visits all states that steps lead to, level by level.
type explorer struct {
	faults  mutation
	steps   []step
	initial model
	origins map[model]origin // of every state visited
}

// origin is how a state was reached first.
type origin struct {
	before model
	step   string
}

// explore visits states until there are at least maxStates, or an invariant does not hold.
// Without faults it reaches deeper in the same time, with one transaction in flight.
func explore(faults mutation, withoutFaults bool, maxStates int) exploration {
	e := explorer{faults: faults, steps: allSteps(), initial: initialModel(), origins: map[model]origin{}}
	inFlightLimit = maxInFlight
	if withoutFaults {
		inFlightLimit = 1
		e.steps = slices.DeleteFunc(e.steps, func(s step) bool { return s.isFault })
	}
	e.origins[e.initial] = origin{}
	level := []model{e.initial}
	for len(level) > 0 && len(e.origins) < maxStates {
		var next []model
		for _, state := range level {
			reached := e.visitFrom(state)
			if n := len(reached); n > 0 {
				if violation := reached[n-1].violation(); violation != "" {
					return exploration{len(e.origins), violation, e.pathTo(reached[n-1])}
				}
			}
			next = append(next, reached...)
		}
		level = next
	}
	return exploration{states: len(e.origins)}
}

// visitFrom returns the new states that are one step away. It ends with the first one in which
// an invariant does not hold.
func (e *explorer) visitFrom(state model) (reached []model) {
	for _, step := range e.steps {
		after := state
		if !step.apply(&after, e.faults) {
			continue
		}
		if _, known := e.origins[after]; known {
			continue
		}
		e.origins[after] = origin{state, step.name}
		reached = append(reached, after)
		if after.violation() != "" {
			return reached
		}
	}
	return reached
}

// pathTo returns the steps from the initial state.
func (e *explorer) pathTo(state model) (path []string) {
	for ; state != e.initial; state = e.origins[state].before {
		path = append(path, e.origins[state].step)
	}
	slices.Reverse(path)
	return path
}

func TestAllocationInvariantsInEveryOrder(t *testing.T) {
	defer func(limit float64) { team.MaxCPUs = limit }(team.MaxCPUs)
	for team.MaxCPUs = 1; team.MaxCPUs <= 2; team.MaxCPUs++ {
		for withoutFaults, maxStates := range map[bool]int{false: 20_000, true: 60_000} {
			t.Run(fmt.Sprintf("quota %v, without faults %v", team.MaxCPUs, withoutFaults), func(t *testing.T) {
				explored := explore(mutation{}, withoutFaults, maxStates)
				if explored.violation != "" {
					t.Fatalf("%s after %q", explored.violation, explored.path)
				}
				t.Logf("%d states", explored.states)
				if explored.states < maxStates {
					t.Errorf("only %d states: the model does not move", explored.states)
				}
			})
		}
	}
}

// The model finds what is wrong with variants of the protocol, so that it would find it in the
// real one.
func TestMutatedAllocationsViolateInvariants(t *testing.T) {
	for name, faults := range map[string]mutation{
		"used before its tasks are accounted for":                       {useBeforeReconciled: true},
		"used while it is being released":                               {useWhileReleasing: true},
		"written without the shard's epoch":                             {writeWithoutEpoch: true},
		"reconciled before the records of the previous owner are known": {reconcileBeforeRecord: true},
	} {
		t.Run(name, func(t *testing.T) {
			explored := explore(faults, true, 400_000)
			if explored.violation == "" {
				t.Fatal("no violation found")
			}
			t.Logf("%s after %q", explored.violation, explored.path)
		})
	}
}

// Random paths far longer than an exploration reaches.
func TestAllocationInvariantsOnLongPaths(t *testing.T) {
	inFlightLimit = maxInFlight
	steps := allSteps()
	rapid.Check(t, func(t *rapid.T) {
		state := initialModel()
		for _, step := range rapid.SliceOfN(rapid.SampledFrom(steps), 50, 150).Draw(t, "steps") {
			if after := state; step.apply(&after, mutation{}) {
				state = after
			}
			if state.record.revision > 100 {
				return // the model's revisions are small
			}
			if violation := state.violation(); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}
