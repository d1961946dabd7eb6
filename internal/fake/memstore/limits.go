package memstore

import (
	"fmt"
	"time"

	"cherrywall/internal/kvstore"
)

// maxConditionsPerWrite is the number of conditions that a transaction may have for each write that
// maxTxnOps allows.
const maxConditionsPerWrite = 4

// limits are the limits of the transactions that a store accepts.
type limits struct {
	maxTxnOps     int // maximum number of writes in a transaction
	maxValueBytes int

	maxWriteRate float64 // writes per second, 0 for no limit
	writeTokens  float64 // tokens in the bucket of the write rate limit; at most the writes of one second
	refilledAt   time.Time
}

// SetMaxTxnOps sets how many writes a transaction may have.
func (s *Store) SetMaxTxnOps(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.maxTxnOps = n
}

// SetMaxValueBytes sets how large a value may be.
func (s *Store) SetMaxValueBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.maxValueBytes = n
}

// SetMaxWriteRate sets how many writes per second are accepted. A transaction that exceeds the rate fails
// with kvstore.ErrUnavailable and can be retried.
func (s *Store) SetMaxWriteRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.maxWriteRate = perSecond
	s.limits.writeTokens = perSecond
	s.limits.refilledAt = time.Now()
}

// checkLimits returns kvstore.ErrRejected for a transaction that is too large, and
// kvstore.ErrUnavailable for one that exceeds the write rate. The lock must be held.
func (s *Store) checkLimits(txn kvstore.Txn) error {
	if len(txn.Writes) > s.limits.maxTxnOps || len(txn.Conditions) > maxConditionsPerWrite*s.limits.maxTxnOps {
		for _, write := range txn.Writes {
			s.oversizedKeys = append(s.oversizedKeys, write.Key+write.DeleteKey)
		}
		return fmt.Errorf("%w: too many operations in transaction", kvstore.ErrRejected)
	}
	size := 0
	for _, write := range txn.Writes {
		size += len(write.Value)
		if len(write.Value) > s.limits.maxValueBytes || size > maxTxnBytes {
			s.oversizedKeys = append(s.oversizedKeys, write.Key)
			return fmt.Errorf("%w: value too large: %s", kvstore.ErrRejected, write.Key)
		}
	}
	return s.limits.consumeWriteTokens(len(txn.Writes))
}

// consumeWriteTokens refills the token bucket and takes one token for each write. If there are too few
// tokens, it takes none and returns kvstore.ErrUnavailable.
func (l *limits) consumeWriteTokens(writes int) error {
	if l.maxWriteRate <= 0 {
		return nil
	}
	now := time.Now()
	l.writeTokens = min(l.maxWriteRate, l.writeTokens+l.maxWriteRate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.writeTokens < float64(writes) {
		return fmt.Errorf("%w: write rate limit exceeded", kvstore.ErrUnavailable)
	}
	l.writeTokens -= float64(writes)
	return nil
}
