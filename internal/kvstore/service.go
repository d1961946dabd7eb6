package kvstore

import (
	"context"
	"encoding/json"
	"time"
)

// Service is a consensus-backed key-value store with compare-and-swap transactions, leases and
// watches. It is implemented by Client, and by layers on top of one.
type Service interface {
	// Commit executes a transaction. It returns an error if the store has not decided it, or how
	// is not known; failed conditions are reported by the result. Only after ErrOutcomeUnknown
	// may the writes have been executed.
	Commit(ctx context.Context, priority Priority, txn Txn) (TxnResult, error)
	// Get reads one key.
	Get(ctx context.Context, priority Priority, key string) (GetResult, error)
	// List reads all keys with a prefix, and the revision as of which the listing began.
	List(ctx context.Context, prefix string) (rows []KeyValue, revision uint64, err error)
	// Watch waits for changes of keys with a prefix that are later than the given revision. It
	// returns them together with the revision that it has reached, after a while also without
	// any changes. It returns ErrExpired if changes since from are no longer available: all
	// records have to be listed again.
	Watch(ctx context.Context, prefix string, from uint64) (events []Event, revision uint64, err error)
	// GrantLease obtains a lease to which keys can be attached. They are deleted when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error)
	// KeepAlive renews a lease. It returns ErrExpired if the lease has expired.
	KeepAlive(ctx context.Context, leaseID uint64) error
}

// Priority orders callers when the request budget is short.
type Priority int

// The priorities, the highest first.
const (
	Urgent     Priority = iota // lease renewals, shard acquisitions, users' submissions and cancellations
	Normal                     // claims of tasks, and everything else
	Background                 // completed tasks, pipelines, cleanup: what can wait
)

// reservedBurst is the fraction of the burst budget that a caller leaves to more urgent ones.
func (p Priority) reservedBurst() float64 {
	switch p {
	case Normal:
		return 0.2
	case Background:
		return 0.5
	default:
		return 0
	}
}

// Condition is the precondition that a key has the given revision (0: that it does not exist).
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

// TxnResult is the result of a transaction that was decided.
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

// GetResult is the result of the read of one key.
type GetResult struct {
	Row   KeyValue
	Found bool // whether the key exists
	// StoreRevision is the store's revision at the time of the read, if the store answered that the
	// key does not exist; else 0.
	StoreRevision uint64
}

// Event is one change seen by a watch: a put (Key) or a deletion (DeletedKey).
type Event struct {
	Key        string          `json:"write"`
	Value      json.RawMessage `json:"value"`
	Revision   uint64          `json:"stamp"`
	DeletedKey string          `json:"drop"`
}

// Encode returns the stored form of a record. Records are plain data of this program that can
// always be encoded: a failure is a programming error and panics.
func Encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// Pause waits for the delay. It returns the context's error at once if the context ends before.
func Pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
