package kvstore

import (
	"context"
	"encoding/json"
	"time"
)

// Service is a consensus-backed key-value store with compare-and-swap transactions, leases and
// watches. Client implements it, and so do layers that wrap another Service.
type Service interface {
	// Commit executes a transaction. Without an error, the store has processed the transaction, and
	// the result tells whether the conditions held. After ErrOutcomeUnknown the writes may have been
	// executed, or may still be executed. After any other error they were not executed.
	Commit(ctx context.Context, priority Priority, txn Txn) (TxnResult, error)
	// Get reads one key.
	Get(ctx context.Context, priority Priority, key string) (GetResult, error)
	// List reads all keys with a prefix. revision is the store's revision when the listing began.
	List(ctx context.Context, prefix string) (rows []KeyValue, revision uint64, err error)
	// Watch waits for changes of keys with a prefix that were made after afterRevision. It returns
	// the changes, and the revision up to which it has watched. If nothing changes for a while,
	// it returns without changes. It returns ErrExpired if the changes since afterRevision are no
	// longer available: all records have to be listed again.
	Watch(ctx context.Context, prefix string, afterRevision uint64) (events []Event, revision uint64, err error)
	// GrantLease obtains a lease to which keys can be attached. The keys are deleted when the lease
	// expires.
	GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error)
	// KeepAlive renews a lease. It returns ErrExpired if the lease has expired.
	KeepAlive(ctx context.Context, leaseID uint64) error
}

// Priority is the priority of a request when the budget does not suffice for all requests.
type Priority int

// The priorities, the highest first.
const (
	Urgent     Priority = iota // lease renewals, shard acquisitions, users' submissions and cancellations
	Normal                     // claims of tasks, and everything else
	Background                 // requests that can wait: records of completed tasks and of pipelines, and cleanup
)

// reservedBurstFraction returns the fraction of the rate limiters' bursts that callers of this priority
// leave to callers of higher priority.
func (p Priority) reservedBurstFraction() float64 {
	switch p {
	case Normal:
		return 0.2
	case Background:
		return 0.5
	default:
		return 0
	}
}

// Condition is the precondition that the last change of a key has the given revision, or that the key
// does not exist if Revision is 0.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Write puts a value under Key, attached to a lease unless LeaseID is 0, or deletes DeleteKey.
type Write struct {
	Key       string          `json:"write,omitempty"`
	Value     json.RawMessage `json:"value,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"drop,omitempty"`
}

// Txn is a compare-and-swap transaction: all writes are executed atomically if all conditions
// hold, and none otherwise.
type Txn struct {
	Conditions []Condition `json:"if"`
	Writes     []Write     `json:"writes,omitempty"`
}

// TxnResult is the result of a transaction that the store has processed.
type TxnResult struct {
	Succeeded  bool
	Revision   uint64   // the store's revision after the transaction
	FailedKeys []string // the keys whose conditions did not hold
}

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"permit"` // the lease to which the key is attached, 0 if none
}

// GetResult is the result of reading one key.
type GetResult struct {
	Row   KeyValue
	Found bool // whether the key exists
	// StoreRevision is the store's revision at the time of the read if the store responded that the
	// key does not exist, else 0.
	StoreRevision uint64
}

// Event is one change that a watch reports: either Key was written or DeletedKey was deleted.
type Event struct {
	Key        string          `json:"write"`
	Value      json.RawMessage `json:"value"`
	Revision   uint64          `json:"stamp"`
	DeletedKey string          `json:"drop"`
}

// MustEncode returns the stored form of a record. It panics on an error: records are plain data
// that can always be encoded, so an error is a programming mistake.
func MustEncode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// Sleep waits for the delay. If the context ends earlier, it returns the context's error immediately.
func Sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
