package memstore

import (
	"math/rand/v2"
	"time"
)

// A write that ApplyLate makes late is applied after minLateDelay plus a random time below lateDelayRange.
const (
	minLateDelay   = 2 * time.Second
	lateDelayRange = 10 * time.Second
)

// SetOutage starts or ends an outage for all nodes. No lease expires during an outage, and at its end
// each lease is renewed.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.isDown = on
	if !on {
		for _, lease := range s.leases {
			lease.expiresAt = time.Now().Add(lease.ttl)
		}
		s.notifyWatches()
	}
}

// RefuseNode makes the store unavailable for one node, or available again.
func (s *Store) RefuseNode(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refusedNodes[node] = on
}

// DelayWatch delays the events that a node's watches deliver, as if the node's processor were busy.
func (s *Store) DelayWatch(node string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchDelays[node] = delay
}

// DelayReads delays the responses to a node's reads of single keys. They may be outdated when they arrive.
func (s *Store) DelayReads(node string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.readDelays[node] = delay
}

// CompactWatch makes a node's next watch fail because its revision is too old. The node has to read all
// records again.
func (s *Store) CompactWatch(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.compactedWatches[node] = true
	s.notifyWatches()
}

// ApplyLate makes the store leave a fraction of all transactions unanswered and apply them 2 to 12 s late,
// possibly after newer ones. With fraction 0 no transaction is late. rnd selects the transactions and
// their delays.
func (s *Store) ApplyLate(rnd *rand.Rand, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lateRand, s.faults.lateFraction = rnd, fraction
}

// SkipConditions makes the store apply late transactions without checking their preconditions. This is
// a mutation, that is, a deliberate fault in the store: tests check that the invariant checker finds
// the violations that it causes.
func (s *Store) SkipConditions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.skipsConditions = true
}

// lateDelay decides whether the next transaction is applied late. It returns the delay, 0 for none.
func (s *Store) lateDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.lateFraction <= 0 || s.faults.lateRand.Float64() >= s.faults.lateFraction {
		return 0
	}
	return minLateDelay + time.Duration(s.faults.lateRand.Int64N(int64(lateDelayRange)))
}

// isUnavailable reports whether the store does not serve a node. The lock must be held.
func (s *Store) isUnavailable(node string) bool {
	return s.faults.isDown || s.faults.refusedNodes[node]
}
