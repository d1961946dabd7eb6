// Package memstore is an in-memory fake of the key-value store. Tests can inject faults: outages, refused
// nodes, delayed reads and watches, lost responses and late writes.
package memstore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"cherrywall/internal/kvstore"
)

// The latency and the limits of a store. Tests can change the limits whose names begin with
// "default".
const (
	requestLatency       = 5 * time.Millisecond // delay of each request
	defaultMaxTxnOps     = 40
	defaultMaxValueBytes = 8 << 10
	maxTxnBytes          = 64 << 10 // maximum total size of the values in a transaction
	leaseCheckInterval   = 20 * time.Millisecond
)

type record struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64 // 0 for none
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a key-value store in memory. Controllers use it through a Conn. The methods of Store are for
// tests: they have no latency and work during an outage. All methods are safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	records    map[string]record
	revision   uint64
	events     []kvstore.Event // all changes, in the order of their revisions
	nextChange chan struct{}   // closed and replaced at every change
	leases     map[uint64]*lease
	lastID     uint64 // the last lease id or result of NextID

	limits limits
	faults faults

	unconditionalKeys  []string       // keys of writes in transactions without conditions
	oversizedKeys      []string       // keys of writes that were rejected because of their size or number
	writeCount         int            // writes in transactions, including transactions whose conditions failed
	writeCountByPrefix map[string]int // by the first two parts of the key, for example "cw/job"
}

// faults are the faults that tests have injected.
type faults struct {
	isDown           bool
	refusedNodes     map[string]bool
	watchDelays      map[string]time.Duration // by node
	readDelays       map[string]time.Duration // by node
	compactedWatches map[string]bool          // nodes whose next watch fails
	lateRand         *rand.Rand               // source of the random decisions for lateFraction
	lateFraction     float64                  // fraction of the transactions that are applied late, without a response
	skipsConditions  bool                     // late transactions are applied without checking their conditions
}

// New creates an empty store. Its leases stop expiring when ctx ends.
func New(ctx context.Context) *Store {
	s := &Store{
		records:    map[string]record{},
		nextChange: make(chan struct{}),
		leases:     map[uint64]*lease{},
		limits:     limits{maxTxnOps: defaultMaxTxnOps, maxValueBytes: defaultMaxValueBytes},
		faults: faults{
			refusedNodes:     map[string]bool{},
			watchDelays:      map[string]time.Duration{},
			readDelays:       map[string]time.Duration{},
			compactedWatches: map[string]bool{},
		},
		writeCountByPrefix: map[string]int{},
	}
	go s.expireLeases(ctx)
	return s
}

// expireLeases deletes the records of expired leases until ctx ends. No lease expires during an
// outage.
func (s *Store) expireLeases(ctx context.Context) {
	for kvstore.Sleep(ctx, leaseCheckInterval) == nil {
		s.mu.Lock()
		if !s.faults.isDown {
			for id, lease := range s.leases {
				if time.Now().After(lease.expiresAt) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endLease deletes a lease and its records. The lock must be held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, record := range s.records {
		if record.leaseID == id {
			s.revision++
			delete(s.records, key)
			s.appendEvent(kvstore.Event{DeletedKey: key, Revision: s.revision})
		}
	}
}

// appendEvent appends a change for the watches. The lock must be held.
func (s *Store) appendEvent(event kvstore.Event) {
	s.events = append(s.events, event)
	s.notifyWatches()
}

// notifyWatches wakes all watches to look for changes. The lock must be held.
func (s *Store) notifyWatches() {
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

// NextID returns the next id from the sequence of lease ids.
func (s *Store) NextID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return s.lastID
}

// apply checks the conditions of a transaction and applies it. The lock must be held.
func (s *Store) apply(txn kvstore.Txn) kvstore.TxnResult {
	s.countWrites(txn)
	var failedKeys []string
	for _, condition := range txn.Conditions {
		if s.records[condition.Key].revision != condition.Revision {
			failedKeys = append(failedKeys, condition.Key)
		}
	}
	if len(failedKeys) > 0 {
		return kvstore.TxnResult{Revision: s.revision, FailedKeys: failedKeys}
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, write := range txn.Writes {
		if write.DeleteKey != "" {
			s.deleteRecord(write.DeleteKey)
			continue
		}
		s.records[write.Key] = record{value: write.Value, revision: s.revision, leaseID: write.LeaseID}
		s.appendEvent(kvstore.Event{Key: write.Key, Value: write.Value, Revision: s.revision})
	}
	return kvstore.TxnResult{Succeeded: true, Revision: s.revision}
}

func (s *Store) deleteRecord(key string) {
	if _, exists := s.records[key]; exists {
		delete(s.records, key)
		s.appendEvent(kvstore.Event{DeletedKey: key, Revision: s.revision})
	}
}

func (s *Store) countWrites(txn kvstore.Txn) {
	s.writeCount += len(txn.Writes)
	for _, write := range txn.Writes {
		parts := strings.SplitN(write.Key+write.DeleteKey, "/", 3)
		s.writeCountByPrefix[strings.Join(parts[:min(2, len(parts))], "/")]++
	}
}

// leasesExist reports whether all leases that a transaction names exist. The lock must be held.
func (s *Store) leasesExist(txn kvstore.Txn) bool {
	return !slices.ContainsFunc(txn.Writes, func(write kvstore.Write) bool {
		return write.LeaseID != 0 && s.leases[write.LeaseID] == nil
	})
}

// Value returns the value of a record.
func (s *Store) Value(key string) (value string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.records[key]
	return string(record.value), found
}

// Put writes a record without a precondition, as if another program had written it.
func (s *Store) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kvstore.Txn{Writes: []kvstore.Write{{Key: key, Value: value}}})
}

// Delete deletes a record without a precondition.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kvstore.Txn{Writes: []kvstore.Write{{DeleteKey: key}}})
}

// Keys lists the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// WriteCount returns how many writes were requested in transactions so far.
func (s *Store) WriteCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeCount
}

// WriteCountOf is WriteCount for keys with one of the prefixes. A prefix has two parts, for example
// "cw/job/".
func (s *Store) WriteCountOf(prefixes ...string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, prefix := range prefixes {
		count += s.writeCountByPrefix[strings.TrimSuffix(prefix, "/")]
	}
	return count
}

// UnconditionalKeys lists the keys of writes that were requested without a precondition.
func (s *Store) UnconditionalKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unconditionalKeys)
}

// OversizedKeys lists the keys of writes that were rejected because of their size or number.
func (s *Store) OversizedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.oversizedKeys)
}

// recordUnconditional records the keys of a transaction if it has no preconditions.
func (s *Store) recordUnconditional(txn kvstore.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Conditions) > 0 {
		return
	}
	for _, write := range txn.Writes {
		s.unconditionalKeys = append(s.unconditionalKeys, write.Key+write.DeleteKey)
	}
}
