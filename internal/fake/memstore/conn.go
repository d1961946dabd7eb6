package memstore

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

const (
	watchTimeout      = 10 * time.Second
	watchPollInterval = time.Second
	responseLatency   = time.Millisecond // delay of the response to a transaction or watch
)

// Conn is a node's connection to a store. It implements kvstore.Service.
type Conn struct {
	store *Store
	node  string

	mu              sync.Mutex
	responsesToDrop int           // how many of the next transactions are applied without a response
	txnDelay        time.Duration // delay after which the next transaction is applied, 0 for none
}

// Connect connects a node to the store.
func (s *Store) Connect(node string) *Conn { return &Conn{store: s, node: node} }

// DropResponses makes the store apply the next n transactions without sending a response.
func (c *Conn) DropResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesToDrop = n
}

// DelayNextTxn makes the store apply the next transaction only after a delay, without sending a response.
func (c *Conn) DelayNextTxn(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.txnDelay = delay
}

// startRequest waits for the latency of a request. It returns kvstore.ErrUnavailable if the store does not
// serve the node, and kvstore.ErrOutcomeUnknown if ctx ends.
func (c *Conn) startRequest(ctx context.Context) error {
	c.store.mu.Lock()
	isUnavailable := c.store.isUnavailable(c.node)
	c.store.mu.Unlock()
	if err := kvstore.Sleep(ctx, requestLatency); err != nil {
		return kvstore.ErrOutcomeUnknown
	}
	if isUnavailable {
		return kvstore.ErrUnavailable
	}
	return nil
}

// Commit applies a transaction. It returns kvstore.ErrOutcomeUnknown if the transaction is applied late or its
// response is dropped, and kvstore.ErrRejected if the transaction exceeds a size limit or names an unknown lease.
func (c *Conn) Commit(ctx context.Context, _ kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	if err := c.startRequest(ctx); err != nil {
		return kvstore.TxnResult{}, err
	}
	delay := c.consumeTxnDelay()
	c.store.recordUnconditional(txn)
	if delay == 0 {
		delay = c.store.lateDelay()
	}
	if delay > 0 {
		c.commitDelayed(ctx, txn, delay)
		return kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown
	}
	result, err := c.store.commitWithinLimits(ctx, txn)
	if err != nil {
		return kvstore.TxnResult{}, err
	}
	if c.consumeDroppedResponse() {
		return kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown
	}
	return result, kvstore.Sleep(ctx, responseLatency)
}

// consumeTxnDelay returns the delay that DelayNextTxn has set, and resets it.
func (c *Conn) consumeTxnDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.txnDelay
	c.txnDelay = 0
	return delay
}

// consumeDroppedResponse reports whether the response to a transaction must be dropped, and decrements
// responsesToDrop in that case.
func (c *Conn) consumeDroppedResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isDropped := c.responsesToDrop > 0
	if isDropped {
		c.responsesToDrop--
	}
	return isDropped
}

// commitDelayed schedules a transaction to be applied after a delay. It returns when the transaction is
// applied or the client's request times out, whichever comes first.
func (c *Conn) commitDelayed(ctx context.Context, txn kvstore.Txn, delay time.Duration) {
	time.AfterFunc(delay, func() { c.store.applyDelayed(txn) })
	_ = kvstore.Sleep(ctx, min(delay, tuning.StoreRequestTimeout))
}

func (s *Store) applyDelayed(txn kvstore.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.skipsConditions {
		txn.Conditions = nil
	}
	if s.leasesExist(txn) {
		s.apply(txn)
	}
}

// commitWithinLimits applies a transaction as soon as the write rate allows it. Like the real client, it
// retries while the write rate limit is exceeded.
func (s *Store) commitWithinLimits(ctx context.Context, txn kvstore.Txn) (kvstore.TxnResult, error) {
	end := time.Now().Add(tuning.StoreRequestTimeout)
	for {
		result, err := s.tryCommit(txn)
		if err == nil || errors.Is(err, kvstore.ErrRejected) {
			return result, err
		}
		if time.Now().After(end) || kvstore.Sleep(ctx, tuning.RateLimitedRetryDelay) != nil {
			return kvstore.TxnResult{}, err
		}
	}
}

func (s *Store) tryCommit(txn kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLimits(txn); err != nil {
		return kvstore.TxnResult{}, err
	}
	if !s.leasesExist(txn) {
		return kvstore.TxnResult{}, fmt.Errorf("%w: no such lease", kvstore.ErrRejected)
	}
	return s.apply(txn), nil
}

// Get reads a record. The result has the store's revision only if there is no record with the key.
func (c *Conn) Get(ctx context.Context, _ kvstore.Priority, key string) (kvstore.GetResult, error) {
	if err := c.startRequest(ctx); err != nil {
		return kvstore.GetResult{}, err
	}
	c.store.mu.Lock()
	record, found := c.store.records[key]
	storeRevision, delay := c.store.revision, c.store.faults.readDelays[c.node]
	c.store.mu.Unlock()
	// kvstore.Sleep is not called without a delay: a timer of zero duration in a synctest bubble occasionally
	// crashes the Go runtime in runs with the race detector.
	if delay > 0 && kvstore.Sleep(ctx, delay) != nil {
		return kvstore.GetResult{}, kvstore.ErrOutcomeUnknown
	}
	if !found {
		return kvstore.GetResult{StoreRevision: storeRevision}, nil
	}
	row := kvstore.KeyValue{Key: key, Value: record.value, Revision: record.revision}
	return kvstore.GetResult{Row: row, Found: true}, nil
}

// List reads the records with a prefix, sorted by key, and returns the store's revision.
func (c *Conn) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error) {
	if err := c.startRequest(ctx); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	var records []kvstore.KeyValue
	for key, record := range c.store.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, kvstore.KeyValue{Key: key, Value: record.value, Revision: record.revision})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records, c.store.revision, nil
}

// watchState is the part of the store's state that concerns one watch.
type watchState struct {
	isUnavailable bool
	isCompacted   bool // the watch's revision is too old
	events        []kvstore.Event
	revision      uint64
	delay         time.Duration
	nextChange    chan struct{} // closed at the next change
}

// Watch waits until records with a prefix have changed after a revision, and returns these changes
// with the store's revision. It returns no changes if there are none within watchTimeout, and
// kvstore.ErrExpired if the revision is too old.
func (c *Conn) Watch(ctx context.Context, prefix string, afterRevision uint64) ([]kvstore.Event, uint64, error) {
	end := time.Now().Add(watchTimeout)
	for {
		state := c.store.watchState(c.node, prefix, afterRevision)
		if state.isCompacted {
			return nil, 0, kvstore.ErrExpired
		}
		if !state.isUnavailable && (len(state.events) > 0 || time.Now().After(end)) {
			if err := kvstore.Sleep(ctx, state.delay+responseLatency); err != nil {
				return nil, 0, kvstore.ErrOutcomeUnknown
			}
			return state.events, state.revision, nil
		}
		if !waitForChange(ctx, state.nextChange) {
			return nil, 0, kvstore.ErrOutcomeUnknown
		}
	}
}

func (s *Store) watchState(node, prefix string, afterRevision uint64) watchState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := watchState{
		isUnavailable: s.isUnavailable(node),
		revision:      s.revision,
		delay:         s.faults.watchDelays[node],
		nextChange:    s.nextChange,
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > afterRevision })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Key+event.DeletedKey, prefix) {
			state.events = append(state.events, event)
		}
	}
	state.isCompacted = !state.isUnavailable && s.faults.compactedWatches[node]
	if state.isCompacted {
		delete(s.faults.compactedWatches, node)
	}
	return state
}

// waitForChange waits for a change for up to watchPollInterval. It returns false if ctx ends.
func waitForChange(ctx context.Context, nextChange <-chan struct{}) bool {
	timer := time.NewTimer(watchPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-nextChange:
	case <-timer.C:
	}
	return true
}

// GrantLease creates a lease that expires after ttl unless it is kept alive, and returns its id.
func (c *Conn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.startRequest(ctx); err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.lastID++
	c.store.leases[c.store.lastID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return c.store.lastID, nil
}

// KeepAlive renews a lease. It returns kvstore.ErrExpired if the lease has expired.
func (c *Conn) KeepAlive(ctx context.Context, leaseID uint64) error {
	if err := c.startRequest(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	lease := c.store.leases[leaseID]
	if lease == nil {
		return kvstore.ErrExpired
	}
	lease.expiresAt = time.Now().Add(lease.ttl)
	return nil
}
