package handover_test

import "testing"

// A model of a shard that is transferred between three controllers, with two workers and one
// task. A model state is a value, so that everything that can follow it can be explored in every
// order: commands that arrive or do not, heartbeats, transfers that arrive at any time or never,
// acquisitions that are applied late, watch events that arrive late, crashes of controllers.

// Where a controller believes the task to run, if not on a worker (0 or 1).
const (
	locationUnknown = -2
	notRunning      = -1
)

// lastEpoch bounds the model: there are no acquisitions after it.
const lastEpoch = 4

// belief is what a controller knows.
type belief struct {
	ownedEpoch  uint8 // the epoch under which it believes to own the shard, 0: it does not
	knownEpoch  uint8 // the latest epoch that it knows of
	transferred bool
	location    int8    // of the task
	heartbeats  [2]bool // the workers that sent one under ownedEpoch
}

type modelState struct {
	epoch    uint8 // of the shard's record
	owner    int8
	beliefs  [3]belief
	tokens   [2]uint8 // the fencing tokens that the workers know
	runs     [2]bool  // whether the worker runs the task
	payloads [5]int8  // by epoch, the location that was sent in a transfer, whoever received it
	isSent   [5]bool
	// pendingAcquisition is, by controller, the epoch on which an acquisition is conditional that
	// was sent and may be applied at any time.
	pendingAcquisition [3]uint8
}

// mutation breaks the model on purpose.
type mutation struct {
	respondsAfterTransfer bool // the old owner still commands workers
	usesAnyPayload        bool // the recipient continues from a payload of any older epoch
}

// acquired returns the state after a controller's acquisition was applied.
func (m modelState) acquired(controller int, mutation mutation) modelState {
	previousEpoch := m.epoch
	m.epoch++
	m.owner = int8(controller)
	acquirer := belief{ownedEpoch: m.epoch, knownEpoch: m.epoch, location: locationUnknown}
	for epoch := previousEpoch; epoch > 0; epoch-- {
		if m.isSent[epoch] && (epoch == previousEpoch || mutation.usesAnyPayload) {
			acquirer.location, acquirer.heartbeats = m.payloads[epoch], [2]bool{true, true}
			break
		}
	}
	m.beliefs[controller] = acquirer
	return m
}

// next returns all states that can follow by one event.
func (m modelState) next(mutation mutation) []modelState {
	var states []modelState
	for controller := range m.beliefs {
		states = append(states, m.afterRestart(controller))
		states = append(states, m.afterWatchEvent(controller)...)
		states = append(states, m.afterAcquisition(controller, mutation)...)
		states = append(states, m.afterTransfer(controller, mutation)...)
		states = append(states, m.afterContact(controller, mutation)...)
	}
	return append(states, m.afterTaskEnd()...)
}

// afterRestart: a controller crashes and starts again without what it knew.
func (m modelState) afterRestart(controller int) modelState {
	m.beliefs[controller] = belief{location: locationUnknown}
	return m
}

// afterWatchEvent: a controller learns of the present epoch.
func (m modelState) afterWatchEvent(controller int) []modelState {
	known := m.beliefs[controller]
	if known.knownEpoch >= m.epoch {
		return nil
	}
	state := m
	state.beliefs[controller].knownEpoch = m.epoch
	if m.owner != int8(controller) || known.ownedEpoch != m.epoch {
		state.beliefs[controller] = belief{knownEpoch: m.epoch, location: locationUnknown}
	}
	return []modelState{state}
}

// afterAcquisition: a controller acquires the shard, at once or by a write that is applied later,
// whose response may be lost.
func (m modelState) afterAcquisition(controller int, mutation mutation) []modelState {
	if m.epoch >= lastEpoch {
		return nil
	}
	var states []modelState
	known := m.beliefs[controller]
	if known.knownEpoch == m.epoch && known.ownedEpoch == 0 {
		states = append(states, m.acquired(controller, mutation))
		if m.pendingAcquisition[controller] == 0 {
			state := m
			state.pendingAcquisition[controller] = m.epoch
			states = append(states, state)
		}
	}
	if m.pendingAcquisition[controller] == m.epoch {
		applied := m.acquired(controller, mutation)
		applied.pendingAcquisition[controller] = 0
		responseLost := applied // the watch will tell
		responseLost.beliefs[controller] = known
		states = append(states, applied, responseLost)
	}
	return states
}

// afterTransfer: the owner transfers the shard, or acquires it anew since nobody else has.
func (m modelState) afterTransfer(controller int, mutation mutation) []modelState {
	var states []modelState
	owner := m.beliefs[controller]
	if owner.ownedEpoch == 0 {
		return nil
	}
	if owner.transferred && owner.ownedEpoch == m.epoch && m.epoch < lastEpoch {
		states = append(states, m.acquired(controller, mutation))
	}
	if !owner.transferred && owner.location != locationUnknown {
		state := m
		state.beliefs[controller].transferred = true
		state.payloads[owner.ownedEpoch], state.isSent[owner.ownedEpoch] = owner.location, true
		states = append(states, state)
	}
	return states
}

// afterContact: the owner is in contact with one of the workers.
func (m modelState) afterContact(controller int, mutation mutation) []modelState {
	owner := m.beliefs[controller]
	if owner.ownedEpoch == 0 || owner.transferred && !mutation.respondsAfterTransfer {
		return nil
	}
	var states []modelState
	for worker, token := range m.tokens {
		switch {
		case owner.ownedEpoch < token: // the worker rejects the command
		case owner.ownedEpoch > token: // the worker learns of the fencing token
			state := m
			state.tokens[worker] = owner.ownedEpoch
			states = append(states, state)
		default:
			states = append(states, m.afterHeartbeat(controller, worker)...)
		}
	}
	return states
}

// afterHeartbeat: a worker sends a heartbeat, and the owner commands it to start a task that runs
// nowhere; the command arrives or does not.
func (m modelState) afterHeartbeat(controller, worker int) []modelState {
	received := m
	owner := &received.beliefs[controller]
	owner.heartbeats[worker] = true
	switch {
	case m.runs[worker]:
		owner.location = int8(worker)
	case owner.location == int8(worker),
		owner.location == locationUnknown && owner.heartbeats[0] && owner.heartbeats[1]:
		owner.location = notRunning
	}
	if m.beliefs[controller].location != notRunning {
		return []modelState{received}
	}
	commandLost := received
	commandLost.beliefs[controller].location = int8(worker)
	started := commandLost
	started.runs[worker] = true
	return []modelState{received, commandLost, started}
}

// afterTaskEnd: the task is stopped or lost.
func (m modelState) afterTaskEnd() []modelState {
	var states []modelState
	for worker, runs := range m.runs {
		if runs {
			state := m
			state.runs[worker] = false
			states = append(states, state)
		}
	}
	return states
}

// explore visits all states that can follow within a number of events. It returns how many there
// are, and the first one in which both workers run the task.
func explore(mutation mutation, events int) (visited int, violation *modelState) {
	start := modelState{epoch: 1, owner: 0, tokens: [2]uint8{1, 1}}
	for controller := range start.beliefs {
		start.beliefs[controller] = belief{knownEpoch: 1, location: locationUnknown}
	}
	start.beliefs[0] = belief{ownedEpoch: 1, knownEpoch: 1, location: notRunning, heartbeats: [2]bool{true, true}}
	seen := map[modelState]bool{start: true}
	frontier := []modelState{start}
	for range events {
		var nextFrontier []modelState
		for _, state := range frontier {
			for _, next := range state.next(mutation) {
				if seen[next] {
					continue
				}
				seen[next] = true
				if next.runs[0] && next.runs[1] {
					return len(seen), &next
				}
				nextFrontier = append(nextFrontier, next)
			}
		}
		frontier = nextFrontier
	}
	return len(seen), nil
}

// In no order of events do both workers run the task. Each part of the argument is needed: an old
// owner that still responds, and a recipient that continues from the payload of an older epoch,
// are found.
func TestModelNeverRunsTaskTwice(t *testing.T) {
	visited, violation := explore(mutation{}, 10)
	if violation != nil {
		t.Errorf("both workers run the task: %+v", *violation)
	}
	if visited < 50_000 {
		t.Errorf("only %d states", visited)
	}
	for name, mutation := range map[string]mutation{
		"responds after transfer": {respondsAfterTransfer: true},
		"uses any payload":        {usesAnyPayload: true},
	} {
		if _, violation := explore(mutation, 9); violation == nil {
			t.Error("violation not found with mutation: " + name)
		}
	}
	t.Log(visited, "states")
}
