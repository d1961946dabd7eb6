package handover_test

import "testing"

// This file models a shard that is transferred between three controllers, with two workers and one
// task. A model state is a comparable value, so that the test can explore the events that can follow
// it in every order: commands that arrive or are lost, heartbeats, transfers that arrive at any time
// or never, acquisitions that are applied late, watch events that arrive late, controller crashes.

// A controller knows the location of the task as the number of a worker (0 or 1) or as one of these
// values.
const (
	locationUnknown = -2
	notRunning      = -1
)

// maxEpoch bounds the model: no acquisition follows this epoch.
const maxEpoch = 4

// controllerState is what a controller knows of the shard. It may be out of date.
type controllerState struct {
	ownedEpoch        uint8   // the epoch under which the controller considers itself the owner; 0 if it does not
	knownEpoch        uint8   // the latest epoch that the controller has seen
	transferred       bool    // whether the controller has transferred the shard under ownedEpoch
	location          int8    // the location of the task
	heartbeatReceived [2]bool // whether each worker has sent a heartbeat under ownedEpoch
}

// modelState is the state of the shard, the controllers and the workers.
type modelState struct {
	epoch       uint8 // the shard's current epoch
	owner       int8
	controllers [3]controllerState
	tokens      [2]uint8 // the highest fencing token that each worker has seen
	runsTask    [2]bool  // whether each worker runs the task
	payloads    [5]int8  // by epoch: the task's location in the payload sent under that epoch, whichever controller received the payload
	payloadSent [5]bool
	// pendingAcquisition is, by controller, the condition of an acquisition that was sent and may
	// be applied at any time: the acquisition succeeds only if this is still the shard's epoch.
	// 0 means that none is pending.
	pendingAcquisition [3]uint8
}

// mutation selects faults that are added to the model to check that the test detects them.
type mutation struct {
	respondsAfterTransfer bool // the old owner still commands workers after a transfer
	usesAnyPayload        bool // the recipient applies a payload of any older epoch
}

// afterAppliedAcquisition returns the state after a controller's acquisition is applied.
func (m modelState) afterAppliedAcquisition(controller int, mutation mutation) modelState {
	previousEpoch := m.epoch
	m.epoch++
	m.owner = int8(controller)
	acquirer := controllerState{ownedEpoch: m.epoch, knownEpoch: m.epoch, location: locationUnknown}
	for epoch := previousEpoch; epoch > 0; epoch-- {
		if m.payloadSent[epoch] && (epoch == previousEpoch || mutation.usesAnyPayload) {
			acquirer.location, acquirer.heartbeatReceived = m.payloads[epoch], [2]bool{true, true}
			break
		}
	}
	m.controllers[controller] = acquirer
	return m
}

// successors returns all states that one event can lead to.
func (m modelState) successors(mutation mutation) []modelState {
	var states []modelState
	for controller := range m.controllers {
		states = append(states, m.afterRestart(controller))
		states = append(states, m.afterWatchEvent(controller)...)
		states = append(states, m.afterAcquisition(controller, mutation)...)
		states = append(states, m.afterTransfer(controller, mutation)...)
		states = append(states, m.afterContact(controller, mutation)...)
	}
	return append(states, m.afterTaskEnd()...)
}

// afterRestart returns the state after a controller has crashed and started again without its state.
func (m modelState) afterRestart(controller int) modelState {
	m.controllers[controller] = controllerState{location: locationUnknown}
	return m
}

// afterWatchEvent returns the state after a controller has learned of the current epoch, or no state
// if the controller knows that epoch already.
func (m modelState) afterWatchEvent(controller int) []modelState {
	view := m.controllers[controller]
	if view.knownEpoch >= m.epoch {
		return nil
	}
	state := m
	state.controllers[controller].knownEpoch = m.epoch
	if m.owner != int8(controller) || view.ownedEpoch != m.epoch {
		state.controllers[controller] = controllerState{knownEpoch: m.epoch, location: locationUnknown}
	}
	return []modelState{state}
}

// afterAcquisition returns the states after a controller has acquired the shard: by a write that is
// applied at once, or by one that is applied later and whose response may be lost.
func (m modelState) afterAcquisition(controller int, mutation mutation) []modelState {
	if m.epoch >= maxEpoch {
		return nil
	}
	var states []modelState
	view := m.controllers[controller]
	if view.knownEpoch == m.epoch && view.ownedEpoch == 0 {
		states = append(states, m.afterAppliedAcquisition(controller, mutation))
		if m.pendingAcquisition[controller] == 0 {
			state := m
			state.pendingAcquisition[controller] = m.epoch
			states = append(states, state)
		}
	}
	if m.pendingAcquisition[controller] == m.epoch {
		appliedState := m.afterAppliedAcquisition(controller, mutation)
		appliedState.pendingAcquisition[controller] = 0
		lostResponseState := appliedState // the controller learns of the acquisition by a later watch event
		lostResponseState.controllers[controller] = view
		states = append(states, appliedState, lostResponseState)
	}
	return states
}

// afterTransfer returns the states after the owner has transferred the shard, or has acquired it
// again because no other controller has.
func (m modelState) afterTransfer(controller int, mutation mutation) []modelState {
	var states []modelState
	owner := m.controllers[controller]
	if owner.ownedEpoch == 0 {
		return nil
	}
	if owner.transferred && owner.ownedEpoch == m.epoch && m.epoch < maxEpoch {
		states = append(states, m.afterAppliedAcquisition(controller, mutation))
	}
	if !owner.transferred && owner.location != locationUnknown {
		state := m
		state.controllers[controller].transferred = true
		state.payloads[owner.ownedEpoch], state.payloadSent[owner.ownedEpoch] = owner.location, true
		states = append(states, state)
	}
	return states
}

// afterContact returns the states after an exchange between the owner and one of the workers.
func (m modelState) afterContact(controller int, mutation mutation) []modelState {
	owner := m.controllers[controller]
	if owner.ownedEpoch == 0 || owner.transferred && !mutation.respondsAfterTransfer {
		return nil
	}
	var states []modelState
	for worker, token := range m.tokens {
		switch {
		case owner.ownedEpoch < token: // the worker rejects the command
		case owner.ownedEpoch > token: // the worker learns of the higher fencing token
			state := m
			state.tokens[worker] = owner.ownedEpoch
			states = append(states, state)
		default:
			states = append(states, m.afterHeartbeat(controller, worker)...)
		}
	}
	return states
}

// afterHeartbeat returns the states after a worker has sent a heartbeat. If the owner already
// knew that the task does not run, it commands the worker to start the task, and the command arrives
// or is lost.
func (m modelState) afterHeartbeat(controller, worker int) []modelState {
	receivedState := m
	owner := &receivedState.controllers[controller]
	owner.heartbeatReceived[worker] = true
	switch {
	case m.runsTask[worker]:
		owner.location = int8(worker)
	case owner.location == int8(worker),
		owner.location == locationUnknown && owner.heartbeatReceived[0] && owner.heartbeatReceived[1]:
		owner.location = notRunning
	}
	if m.controllers[controller].location != notRunning {
		return []modelState{receivedState}
	}
	lostCommandState := receivedState
	lostCommandState.controllers[controller].location = int8(worker)
	startedState := lostCommandState
	startedState.runsTask[worker] = true
	return []modelState{receivedState, lostCommandState, startedState}
}

// afterTaskEnd returns the states after the task was stopped or lost on one of the workers.
func (m modelState) afterTaskEnd() []modelState {
	var states []modelState
	for worker, runs := range m.runsTask {
		if runs {
			state := m
			state.runsTask[worker] = false
			states = append(states, state)
		}
	}
	return states
}

// explore visits all states that can be reached within maxEvents events. It returns the number of
// states and the first state in which both workers run the task, or nil if there is none. It stops
// at such a state.
func explore(mutation mutation, maxEvents int) (stateCount int, violation *modelState) {
	start := modelState{epoch: 1, owner: 0, tokens: [2]uint8{1, 1}}
	for controller := range start.controllers {
		start.controllers[controller] = controllerState{knownEpoch: 1, location: locationUnknown}
	}
	start.controllers[0] = controllerState{ownedEpoch: 1, knownEpoch: 1, location: notRunning, heartbeatReceived: [2]bool{true, true}}
	seen := map[modelState]bool{start: true}
	frontier := []modelState{start}
	for range maxEvents {
		var nextFrontier []modelState
		for _, state := range frontier {
			for _, next := range state.successors(mutation) {
				if seen[next] {
					continue
				}
				seen[next] = true
				if next.runsTask[0] && next.runsTask[1] {
					return len(seen), &next
				}
				nextFrontier = append(nextFrontier, next)
			}
		}
		frontier = nextFrontier
	}
	return len(seen), nil
}

// The two workers never run the task at the same time, whatever the order of events. The test must
// find a violation if the old owner still responds after a transfer, or if a recipient applies the
// payload of an older epoch.
func TestModelNeverRunsTaskTwice(t *testing.T) {
	stateCount, violation := explore(mutation{}, 10)
	if violation != nil {
		t.Errorf("both workers run the task: %+v", *violation)
	}
	if stateCount < 50_000 {
		t.Errorf("only %d states were explored", stateCount)
	}
	for name, mutation := range map[string]mutation{
		"responds after transfer": {respondsAfterTransfer: true},
		"uses any payload":        {usesAnyPayload: true},
	} {
		if _, violation := explore(mutation, 9); violation == nil {
			t.Error("violation not found with mutation: " + name)
		}
	}
	t.Log(stateCount, "states")
}
