package harness

import (
	"context"
	"slices"
	"sync"
	"time"

	"cherrywall/internal/kvstore"
)

// Store is a fake key-value store without records that accepts either all transactions or none. It
// implements kvstore.Service and is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	nextRevision uint64 // revision of the next accepted transaction; 0 if no transaction is accepted
	transactions []kvstore.Txn
}

// AcceptFrom makes the store accept transactions from now on. The first one gets the given revision.
func (s *Store) AcceptFrom(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextRevision = revision
}

// Transactions lists the transactions that were requested, including those that were not accepted.
func (s *Store) Transactions() []kvstore.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.transactions)
}

// Commit accepts a transaction without checking its conditions. It returns kvstore.ErrUnavailable until
// AcceptFrom is called.
func (s *Store) Commit(_ context.Context, _ kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions = append(s.transactions, txn)
	if s.nextRevision == 0 {
		return kvstore.TxnResult{}, kvstore.ErrUnavailable
	}
	s.nextRevision++
	return kvstore.TxnResult{Succeeded: true, Revision: s.nextRevision - 1}, nil
}

// Get returns an empty result, since the store has no records.
func (*Store) Get(context.Context, kvstore.Priority, string) (kvstore.GetResult, error) {
	return kvstore.GetResult{}, nil
}

// List returns kvstore.ErrUnavailable.
func (*Store) List(context.Context, string) ([]kvstore.KeyValue, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}

// Watch returns kvstore.ErrUnavailable.
func (*Store) Watch(context.Context, string, uint64) ([]kvstore.Event, uint64, error) {
	return nil, 0, kvstore.ErrUnavailable
}

// GrantLease returns kvstore.ErrUnavailable.
func (*Store) GrantLease(context.Context, time.Duration) (uint64, error) {
	return 0, kvstore.ErrUnavailable
}

// KeepAlive returns kvstore.ErrUnavailable.
func (*Store) KeepAlive(context.Context, uint64) error { return kvstore.ErrUnavailable }
