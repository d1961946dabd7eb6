package memstore

import (
	"fmt"
	"time"

	"cherrywall/internal/kvstore"
)

// conditionsPerOp is how many conditions a transaction may have for each of its allowed writes.
const conditionsPerOp = 4

// limits are what a store accepts.
type limits struct {
	maxTxnOps     int // writes of a transaction
	maxValueBytes int

	maxWriteRate    float64 // writes a second, 0 for no limit
	availableWrites float64 // how many writes are accepted now, at most those of a second
	refilledAt      time.Time
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

// SetMaxWriteRate sets how many writes a second are accepted. Transactions beyond are refused for
// the moment.
func (s *Store) SetMaxWriteRate(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.maxWriteRate = perSecond
	s.limits.availableWrites = perSecond
	s.limits.refilledAt = time.Now()
}

// checkLimits returns kvstore.ErrRejected for a transaction that is too large, and
// kvstore.ErrUnavailable for one that exceeds the write rate. The lock must be held.
func (s *Store) checkLimits(txn kvstore.Txn) error {
	if len(txn.Writes) > s.limits.maxTxnOps || len(txn.Conditions) > conditionsPerOp*s.limits.maxTxnOps {
		for _, write := range txn.Writes {
			s.oversizedKeys = append(s.oversizedKeys, write.Key+write.DeleteKey)
		}
		return fmt.Errorf("%w: too many operations", kvstore.ErrRejected)
	}
	size := 0
	for _, write := range txn.Writes {
		size += len(write.Value)
		if len(write.Value) > s.limits.maxValueBytes || size > maxTxnBytes {
			s.oversizedKeys = append(s.oversizedKeys, write.Key)
			return fmt.Errorf("%w: value too large: %s", kvstore.ErrRejected, write.Key)
		}
	}
	return s.limits.takeWrites(len(txn.Writes))
}

// takeWrites takes so many writes from what the write rate allows now, and returns
// kvstore.ErrUnavailable if they are too many.
func (l *limits) takeWrites(writes int) error {
	if l.maxWriteRate <= 0 {
		return nil
	}
	now := time.Now()
	l.availableWrites = min(l.maxWriteRate, l.availableWrites+l.maxWriteRate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.availableWrites < float64(writes) {
		return fmt.Errorf("%w: over its limits", kvstore.ErrUnavailable)
	}
	l.availableWrites -= float64(writes)
	return nil
}
