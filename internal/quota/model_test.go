package quota

import (
	"fmt"

	"cherrywall/internal/config"
)

// The protocol of allocations as a small state machine around the real Allocations: controllers
// that own shards, lag behind the record, crash and recover; workers that follow the commands of
// the controller to which they sent their last heartbeat; transactions that are executed late or
// whose responses are lost. The invariants: no more is allocated than the quota, and no more runs.

const (
	shardCount      = 2
	controllerCount = 2
	maxInFlight     = 2 // transactions in flight at most
)

// inFlightLimit is how many transactions may be in flight in the current exploration.
var inFlightLimit = maxInFlight

// team's quota is in tasks of one CPU.
var team = config.Team{Name: "t", MaxCPUs: 1}

var shardNames = [shardCount]string{"s0", "s1"}

// encodedRecords caches the encoded records by the tasks allocated to each shard.
var encodedRecords = map[[shardCount]int8][]byte{}

func encodeRecord(byShard [shardCount]int8) []byte {
	raw := encodedRecords[byShard]
	if raw == nil {
		raw = fmt.Appendf(nil, `{"by":{"s0":{"cpu":%d},"s1":{"cpu":%d}}}`, byShard[0], byShard[1])
		encodedRecords[byShard] = raw
	}
	return raw
}

// modelRecord is a team's record at a revision.
type modelRecord struct {
	byShard  [shardCount]int8
	revision int8
}

// shardView is what a controller knows of a shard.
type shardView struct {
	isOwned         bool
	epoch           int8 // in which it is owned
	isReconciled    bool
	releasing       int8
	acquiredAtQuota int8 // the revision of the team's record when the shard was acquired
}

// flight is a transaction in flight: the owner of a shard writes another record.
type flight struct {
	isActive          bool
	controller, shard int8
	revision, epoch   int8 // its preconditions
	byShard           [shardCount]int8
	isRelease         bool
	isAnswerLost      bool
}

// model is a state of the whole. It is comparable, so that states can be counted.
type model struct {
	record          modelRecord
	owner           [shardCount]int8 // by the shard's record
	epoch           [shardCount]int8
	running         [shardCount]int8 // tasks with the shard's workers
	obeys           [shardCount]int8 // the controller whose commands the shard's workers follow
	known           [controllerCount]modelRecord
	releaseRevision [controllerCount]int8 // on which the last release rests
	views           [controllerCount][shardCount]shardView
	flights         [maxInFlight]flight
}

// mutation is a set of faults in the protocol that the exploration must find.
type mutation struct {
	useBeforeReconciled   bool // an allocation is used and released before its tasks are accounted for
	useWhileReleasing     bool // what is being released may be used until the write is known to be made
	writeWithoutEpoch     bool // writes do not rest on the shard's epoch
	reconcileBeforeRecord bool // a shard is reconciled before the records written before its acquisition are known
}

func initialModel() model {
	m := model{record: modelRecord{revision: 1}}
	for s := range shardCount {
		m.owner[s], m.epoch[s], m.obeys[s] = int8(s%controllerCount), 1, int8(s%controllerCount)
	}
	for c := range controllerCount {
		m.known[c] = m.record
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
	state := allocations.teamOf(team.Name)
	state.record = Record{map[string]Amount{}}
	state.revision = uint64(m.known[controller].revision)
	state.releaseRevision = uint64(m.releaseRevision[controller])
	for s, name := range shardNames {
		if tasks := m.known[controller].byShard[s]; tasks > 0 {
			state.record.ByShard[name] = Amount{CPU: float64(tasks)}
		}
		if tasks := m.views[controller][s].releasing; tasks > 0 {
			state.releasing[name] = Amount{CPU: float64(tasks)}
		}
	}
	return allocations
}

// send starts a transaction; false if too many are in flight.
func (m *model) send(controller, shard int, record Record, isRelease bool) bool {
	for i := range m.flights[:inFlightLimit] {
		if m.flights[i].isActive {
			continue
		}
		sent := flight{
			isActive: true, controller: int8(controller), shard: int8(shard), revision: m.known[controller].revision,
			epoch: m.views[controller][shard].epoch, isRelease: isRelease,
		}
		for s, name := range shardNames {
			sent.byShard[s] = int8(record.ByShard[name].CPU)
		}
		m.flights[i] = sent
		return true
	}
	return false
}

// applyRecord has a controller apply the record, after a reset if it reads all records anew.
func (m *model) applyRecord(controller int, reset bool) {
	if !reset && m.known[controller] == m.record {
		return
	}
	allocations := m.allocations(controller)
	if reset {
		allocations.Reset()
	}
	if err := allocations.ApplyRecord(team.Name, encodeRecord(m.record.byShard), uint64(m.record.revision)); err != nil {
		panic(err)
	}
	state := allocations.teamOf(team.Name)
	for s, name := range shardNames {
		m.views[controller][s].releasing = int8(state.releasing[name].CPU)
	}
	m.known[controller] = m.record
}

// violation returns which invariant does not hold in a state, if any.
func (m *model) violation() string {
	allocated, running, limit := int8(0), int8(0), int8(team.MaxCPUs)
	for s := range shardCount {
		allocated += m.record.byShard[s]
		running += m.running[s]
	}
	switch {
	case allocated > limit:
		return fmt.Sprintf("%d allocated of a quota of %d", allocated, limit)
	case running > limit:
		return fmt.Sprintf("%d tasks run within a quota of %d", running, limit)
	}
	return ""
}

// step is an event that may happen.
type step struct {
	name string
	// isFault marks crashes, lost answers and resets, which a deep exploration leaves out.
	isFault bool
	// apply changes the state; false if the event is not possible in it.
	apply func(m *model, faults mutation) bool
}

func (s step) String() string { return s.name }

func allSteps() []step {
	var steps []step
	for s := range shardCount {
		steps = append(steps, taskEnds(s))
		for c := range controllerCount {
			steps = append(steps, startTask(c, s), acquireAllocation(c, s), releaseAllocation(c, s), acquireShard(c, s), reconcileShard(c, s))
		}
	}
	for c := range controllerCount {
		steps = append(steps, applyRecords(c), readAnew(c), crash(c))
	}
	for i := range maxInFlight {
		steps = append(steps, decideTransaction(i), loseAnswer(i))
	}
	return steps
}

func taskEnds(shard int) step {
	return step{name: fmt.Sprint("a task ends in ", shard), apply: func(m *model, _ mutation) bool {
		m.running[shard]--
		return m.running[shard] >= 0
	}}
}

// knownRunning is how many tasks a controller knows to run in a shard.
func (m *model) knownRunning(controller, shard int, faults mutation) int8 {
	if faults.useBeforeReconciled && !m.views[controller][shard].isReconciled {
		return 0 // no heartbeat yet
	}
	return m.running[shard]
}

// canUse reports whether a controller may use a shard's allocation.
func (m *model) canUse(controller, shard int, faults mutation) bool {
	view := m.views[controller][shard]
	return view.isOwned && (view.isReconciled || faults.useBeforeReconciled)
}

func startTask(controller, shard int) step {
	name := fmt.Sprintf("%d starts a task in %d", controller, shard)
	return step{name: name, apply: func(m *model, faults mutation) bool {
		needed := float64(m.knownRunning(controller, shard, faults) + 1)
		ok := m.canUse(controller, shard, faults) && int(m.obeys[shard]) == controller &&
			m.allocations(controller).Available(team, shardNames[shard]).CPU >= needed
		m.running[shard]++
		return ok
	}}
}

func acquireAllocation(controller, shard int) step {
	name := fmt.Sprintf("%d acquires quota for %d", controller, shard)
	return step{name: name, apply: func(m *model, _ mutation) bool {
		if !m.views[controller][shard].isOwned {
			return false
		}
		record, ok := m.allocations(controller).Acquire(team, shardNames[shard], Amount{CPU: 1}, true)
		return ok && m.send(controller, shard, record, false)
	}}
}

func releaseAllocation(controller, shard int) step {
	name := fmt.Sprintf("%d releases quota of %d", controller, shard)
	return step{name: name, apply: func(m *model, faults mutation) bool {
		allocations, shardName := m.allocations(controller), shardNames[shard]
		needed := float64(m.knownRunning(controller, shard, faults) + 1)
		if !m.canUse(controller, shard, faults) || allocations.IsReleasePending(team.Name) ||
			allocations.Available(team, shardName).CPU < needed {
			return false
		}
		if !m.send(controller, shard, allocations.Release(team, shardName, Amount{CPU: 1}), true) {
			return false
		}
		if !faults.useWhileReleasing {
			allocations.ReleaseSent(team.Name, shardName, Amount{CPU: 1})
			m.views[controller][shard].releasing = 1
			m.releaseRevision[controller] = m.known[controller].revision
		}
		return true
	}}
}

func acquireShard(controller, shard int) step {
	name := fmt.Sprintf("%d acquires shard %d", controller, shard)
	return step{name: name, apply: func(m *model, _ mutation) bool {
		view := &m.views[controller][shard]
		if int(m.owner[shard]) == controller && view.isOwned || m.epoch[shard] > 2 {
			return false
		}
		m.owner[shard] = int8(controller)
		m.epoch[shard]++
		*view = shardView{isOwned: true, epoch: m.epoch[shard], releasing: view.releasing, acquiredAtQuota: m.record.revision}
		return true
	}}
}

func reconcileShard(controller, shard int) step {
	name := fmt.Sprintf("%d reconciles shard %d", controller, shard)
	return step{name: name, apply: func(m *model, faults mutation) bool {
		view := &m.views[controller][shard]
		knowsRecord := m.known[controller].revision >= view.acquiredAtQuota || faults.reconcileBeforeRecord
		ok := knowsRecord && view.isOwned && !view.isReconciled && view.epoch == m.epoch[shard]
		view.isReconciled, m.obeys[shard] = true, int8(controller)
		return ok
	}}
}

func applyRecords(controller int) step {
	return step{name: fmt.Sprint(controller, " applies the records"), apply: func(m *model, _ mutation) bool {
		before := *m
		m.applyRecord(controller, false)
		for s := range shardCount {
			if view := &m.views[controller][s]; view.isOwned && view.epoch != m.epoch[s] {
				*view = shardView{releasing: view.releasing}
			}
		}
		return *m != before
	}}
}

func readAnew(controller int) step {
	return step{name: fmt.Sprint(controller, " reads all anew"), isFault: true, apply: func(m *model, _ mutation) bool {
		before := *m
		m.applyRecord(controller, true)
		return *m != before
	}}
}

func crash(controller int) step {
	return step{name: fmt.Sprint(controller, " crashes"), isFault: true, apply: func(m *model, _ mutation) bool {
		before := *m
		m.views[controller], m.releaseRevision[controller] = [shardCount]shardView{}, 0
		m.known[controller] = m.record // it reads all anew
		return *m != before
	}}
}

func decideTransaction(i int) step {
	return step{name: fmt.Sprint("transaction ", i, " is decided"), apply: func(m *model, faults mutation) bool {
		decided := m.flights[i]
		if !decided.isActive {
			return false
		}
		m.flights[i] = flight{}
		isMade := decided.revision == m.record.revision &&
			(faults.writeWithoutEpoch || decided.epoch == m.epoch[decided.shard])
		if isMade {
			m.record = modelRecord{decided.byShard, m.record.revision + 1}
		}
		switch {
		case decided.isAnswerLost:
		case isMade:
			m.applyRecord(int(decided.controller), false) // its own write
		case decided.isRelease:
			m.views[decided.controller][decided.shard].releasing = 0 // certainly not made
		}
		return true
	}}
}

func loseAnswer(i int) step {
	return step{name: fmt.Sprint("the answer to ", i, " is lost"), isFault: true, apply: func(m *model, _ mutation) bool {
		ok := m.flights[i].isActive && !m.flights[i].isAnswerLost
		m.flights[i].isAnswerLost = true
		return ok
	}}
}
