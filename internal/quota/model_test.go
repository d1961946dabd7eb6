package quota

import (
	"fmt"

	"cherrywall/internal/config"
)

// This file models the allocation protocol as a small state machine around the real Allocations:
// - Controllers own shards, may know only an old revision of the record, crash and recover.
// - Workers obey the controller to which they sent their last heartbeat.
// - Transactions are executed late, or their responses are lost.
// The invariants are that neither the allocations nor the running tasks exceed the quota.

const (
	shardCount      = 2
	controllerCount = 2
	maxInFlight     = 2 // maximum number of transactions in flight
)

// inFlightLimit is the maximum number of transactions in flight in the current test, at most maxInFlight.
var inFlightLimit = maxInFlight

// team is the team whose quota is allocated. Each of its tasks needs one CPU.
var team = config.Team{Name: "t", MaxCPUs: 1}

var shardNames = [shardCount]string{"s0", "s1"}

// encodedRecords caches the encoded records by the number of tasks allocated to each shard.
var encodedRecords = map[[shardCount]int8][]byte{}

// encodeRecord returns the stored form of a record, given the number of tasks allocated to each
// shard.
func encodeRecord(byShard [shardCount]int8) []byte {
	encoded := encodedRecords[byShard]
	if encoded == nil {
		encoded = fmt.Appendf(nil, `{"by":{"s0":{"cpu":%d},"s1":{"cpu":%d}}}`, byShard[0], byShard[1])
		encodedRecords[byShard] = encoded
	}
	return encoded
}

// modelRecord is the team's record at a revision.
type modelRecord struct {
	byShard  [shardCount]int8 // number of allocated tasks
	revision int8
}

// shardView is the state of a shard from the view of one controller.
type shardView struct {
	isOwned                     bool
	epoch                       int8 // the epoch in which the controller owns the shard
	isReconciled                bool
	pendingRelease              int8 // number of tasks for which the release of quota has an unknown outcome
	recordRevisionAtAcquisition int8 // the revision of the team's record when the shard was acquired
}

// inFlightTxn is a transaction in flight, by which the owner of a shard writes a new record.
type inFlightTxn struct {
	isActive          bool // false if the entry is unused
	controller, shard int8
	revision, epoch   int8 // the preconditions: revision of the record, epoch of the shard
	byShard           [shardCount]int8
	isRelease         bool
	isResponseLost    bool
}

// model is a state of the whole system. It is comparable, so that visited states can be map keys.
type model struct {
	record               modelRecord
	owner                [shardCount]int8             // the controller that owns the shard according to the store
	epoch                [shardCount]int8             // according to the store
	runningTasks         [shardCount]int8             // number of tasks that run on the shard's workers
	commandingController [shardCount]int8             // the controller whose commands the shard's workers obey
	knownRecords         [controllerCount]modelRecord // the record that each controller has read
	releaseRevision      [controllerCount]int8        // the revision that is the precondition of each controller's last release
	views                [controllerCount][shardCount]shardView
	inFlight             [maxInFlight]inFlightTxn
}

// protocolVariant is a set of deliberate errors in the protocol that the exploration must find.
type protocolVariant struct {
	usesBeforeReconciled   bool // an allocation is used and released before the running tasks of the shard are known
	usesWhileReleasing     bool // an amount is used after its release was sent, until the release is known to be written
	writesWithoutEpoch     bool // the shard's epoch is not a precondition of writes
	reconcilesBeforeRecord bool // a shard is reconciled before the records written before its acquisition are known
}

func initialModel() model {
	m := model{record: modelRecord{revision: 1}}
	for s := range shardCount {
		m.owner[s], m.epoch[s], m.commandingController[s] = int8(s%controllerCount), 1, int8(s%controllerCount)
	}
	for c := range controllerCount {
		m.knownRecords[c] = m.record
		for s := range shardCount {
			if int(m.owner[s]) == c {
				m.views[c][s] = shardView{isOwned: true, epoch: 1, isReconciled: true}
			}
		}
	}
	return m
}

// allocations returns the real Allocations of a controller in this state.
func (m *model) allocations(controller int) *Allocations {
	allocations := New()
	state := allocations.stateOf(team.Name)
	state.record = Record{map[string]Amount{}}
	state.revision = uint64(m.knownRecords[controller].revision)
	state.releaseRevision = uint64(m.releaseRevision[controller])
	for s, name := range shardNames {
		if tasks := m.knownRecords[controller].byShard[s]; tasks > 0 {
			state.record.ByShard[name] = Amount{CPU: float64(tasks)}
		}
		if tasks := m.views[controller][s].pendingRelease; tasks > 0 {
			state.pendingReleases[name] = Amount{CPU: float64(tasks)}
		}
	}
	return allocations
}

// send starts a transaction. It returns false if inFlightLimit transactions are in flight already.
func (m *model) send(controller, shard int, record Record, isRelease bool) bool {
	for i := range m.inFlight[:inFlightLimit] {
		if m.inFlight[i].isActive {
			continue
		}
		txn := inFlightTxn{
			isActive: true, controller: int8(controller), shard: int8(shard), revision: m.knownRecords[controller].revision,
			epoch: m.views[controller][shard].epoch, isRelease: isRelease,
		}
		for s, name := range shardNames {
			txn.byShard[s] = int8(record.ByShard[name].CPU)
		}
		m.inFlight[i] = txn
		return true
	}
	return false
}

// applyRecord makes a controller apply the current record. With isReread the controller first
// discards the records that it knows, as it does before it reads all of them again.
func (m *model) applyRecord(controller int, isReread bool) {
	if !isReread && m.knownRecords[controller] == m.record {
		return
	}
	allocations := m.allocations(controller)
	if isReread {
		allocations.Reset()
	}
	if err := allocations.ApplyRecord(team.Name, encodeRecord(m.record.byShard), uint64(m.record.revision)); err != nil {
		panic(err)
	}
	state := allocations.stateOf(team.Name)
	for s, name := range shardNames {
		m.views[controller][s].pendingRelease = int8(state.pendingReleases[name].CPU)
	}
	m.knownRecords[controller] = m.record
}

// violation describes the invariant that does not hold in this state. It is empty if all hold.
func (m *model) violation() string {
	allocated, running, limit := int8(0), int8(0), int8(team.MaxCPUs)
	for s := range shardCount {
		allocated += m.record.byShard[s]
		running += m.runningTasks[s]
	}
	switch {
	case allocated > limit:
		return fmt.Sprintf("%d allocated of a quota of %d", allocated, limit)
	case running > limit:
		return fmt.Sprintf("%d tasks run within a quota of %d", running, limit)
	}
	return ""
}

// step is an event that may happen in a state of the model.
type step struct {
	name string // a number at the start is the number of a controller
	// isFault marks crashes, lost responses and resets, which an exploration without faults leaves out.
	isFault bool
	// apply changes the state. It returns false if the event is not possible in the state.
	apply func(m *model, variant protocolVariant) bool
}

func (s step) String() string { return s.name }

func allSteps() []step {
	var steps []step
	for s := range shardCount {
		steps = append(steps, taskEndStep(s))
		for c := range controllerCount {
			steps = append(steps, startTaskStep(c, s), acquireAllocationStep(c, s), releaseAllocationStep(c, s), acquireShardStep(c, s), reconcileShardStep(c, s))
		}
	}
	for c := range controllerCount {
		steps = append(steps, applyRecordsStep(c), rereadRecordsStep(c), crashStep(c))
	}
	for i := range maxInFlight {
		steps = append(steps, executeTransactionStep(i), loseResponseStep(i))
	}
	return steps
}

func taskEndStep(shard int) step {
	return step{name: fmt.Sprint("a task ends in shard ", shard), apply: func(m *model, _ protocolVariant) bool {
		m.runningTasks[shard]--
		return m.runningTasks[shard] >= 0
	}}
}

// knownRunningTasks returns how many tasks run in a shard, as far as a controller knows.
func (m *model) knownRunningTasks(controller, shard int, variant protocolVariant) int8 {
	if variant.usesBeforeReconciled && !m.views[controller][shard].isReconciled {
		return 0 // the workers have not sent a heartbeat yet
	}
	return m.runningTasks[shard]
}

// canUseAllocation reports whether a controller may use a shard's allocation.
func (m *model) canUseAllocation(controller, shard int, variant protocolVariant) bool {
	view := m.views[controller][shard]
	return view.isOwned && (view.isReconciled || variant.usesBeforeReconciled)
}

func startTaskStep(controller, shard int) step {
	name := fmt.Sprintf("controller %d starts a task in shard %d", controller, shard)
	return step{name: name, apply: func(m *model, variant protocolVariant) bool {
		needed := float64(m.knownRunningTasks(controller, shard, variant) + 1)
		ok := m.canUseAllocation(controller, shard, variant) && int(m.commandingController[shard]) == controller &&
			m.allocations(controller).Available(team, shardNames[shard]).CPU >= needed
		m.runningTasks[shard]++
		return ok
	}}
}

func acquireAllocationStep(controller, shard int) step {
	name := fmt.Sprintf("controller %d acquires quota for shard %d", controller, shard)
	return step{name: name, apply: func(m *model, _ protocolVariant) bool {
		if !m.views[controller][shard].isOwned {
			return false
		}
		record, ok := m.allocations(controller).Acquire(team, shardNames[shard], Amount{CPU: 1}, true)
		return ok && m.send(controller, shard, record, false)
	}}
}

func releaseAllocationStep(controller, shard int) step {
	name := fmt.Sprintf("controller %d releases quota of shard %d", controller, shard)
	return step{name: name, apply: func(m *model, variant protocolVariant) bool {
		allocations, shardName := m.allocations(controller), shardNames[shard]
		needed := float64(m.knownRunningTasks(controller, shard, variant) + 1)
		if !m.canUseAllocation(controller, shard, variant) || allocations.IsReleasePending(team.Name) ||
			allocations.Available(team, shardName).CPU < needed {
			return false
		}
		if !m.send(controller, shard, allocations.Release(team, shardName, Amount{CPU: 1}), true) {
			return false
		}
		if !variant.usesWhileReleasing {
			allocations.RecordReleaseSent(team.Name, shardName, Amount{CPU: 1})
			m.views[controller][shard].pendingRelease = 1
			m.releaseRevision[controller] = m.knownRecords[controller].revision
		}
		return true
	}}
}

func acquireShardStep(controller, shard int) step {
	name := fmt.Sprintf("controller %d acquires shard %d", controller, shard)
	return step{name: name, apply: func(m *model, _ protocolVariant) bool {
		view := &m.views[controller][shard]
		if int(m.owner[shard]) == controller && view.isOwned || m.epoch[shard] > 2 {
			return false
		}
		m.owner[shard] = int8(controller)
		m.epoch[shard]++
		*view = shardView{isOwned: true, epoch: m.epoch[shard], pendingRelease: view.pendingRelease, recordRevisionAtAcquisition: m.record.revision}
		return true
	}}
}

func reconcileShardStep(controller, shard int) step {
	name := fmt.Sprintf("controller %d reconciles shard %d", controller, shard)
	return step{name: name, apply: func(m *model, variant protocolVariant) bool {
		view := &m.views[controller][shard]
		knowsRecord := m.knownRecords[controller].revision >= view.recordRevisionAtAcquisition || variant.reconcilesBeforeRecord
		ok := knowsRecord && view.isOwned && !view.isReconciled && view.epoch == m.epoch[shard]
		view.isReconciled, m.commandingController[shard] = true, int8(controller)
		return ok
	}}
}

func applyRecordsStep(controller int) step {
	return step{name: fmt.Sprint(controller, " applies the records"), apply: func(m *model, _ protocolVariant) bool {
		previousState := *m
		m.applyRecord(controller, false)
		for s := range shardCount {
			if view := &m.views[controller][s]; view.isOwned && view.epoch != m.epoch[s] {
				*view = shardView{pendingRelease: view.pendingRelease}
			}
		}
		return *m != previousState
	}}
}

func rereadRecordsStep(controller int) step {
	return step{name: fmt.Sprint(controller, " reads all records again"), isFault: true, apply: func(m *model, _ protocolVariant) bool {
		previousState := *m
		m.applyRecord(controller, true)
		return *m != previousState
	}}
}

func crashStep(controller int) step {
	return step{name: fmt.Sprint(controller, " crashes"), isFault: true, apply: func(m *model, _ protocolVariant) bool {
		previousState := *m
		m.views[controller], m.releaseRevision[controller] = [shardCount]shardView{}, 0
		m.knownRecords[controller] = m.record // it reads all records again
		return *m != previousState
	}}
}

func executeTransactionStep(i int) step {
	return step{name: fmt.Sprint("transaction ", i, " is executed"), apply: func(m *model, variant protocolVariant) bool {
		txn := m.inFlight[i]
		if !txn.isActive {
			return false
		}
		m.inFlight[i] = inFlightTxn{}
		succeeds := txn.revision == m.record.revision &&
			(variant.writesWithoutEpoch || txn.epoch == m.epoch[txn.shard])
		if succeeds {
			m.record = modelRecord{txn.byShard, m.record.revision + 1}
		}
		switch {
		case txn.isResponseLost:
		case succeeds:
			m.applyRecord(int(txn.controller), false) // the controller applies its own write
		case txn.isRelease:
			m.views[txn.controller][txn.shard].pendingRelease = 0 // certainly not written
		}
		return true
	}}
}

func loseResponseStep(i int) step {
	return step{name: fmt.Sprint("the response to transaction ", i, " is lost"), isFault: true, apply: func(m *model, _ protocolVariant) bool {
		ok := m.inFlight[i].isActive && !m.inFlight[i].isResponseLost
		m.inFlight[i].isResponseLost = true
		return ok
	}}
}
