// Package fake holds in-memory stand-ins of everything outside: the state
// service (which is the disk here), the cloud, the workers and the network
// between them. Stories run on them under testing/synctest.
package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

type storedRecord struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a state service as one controller sees it through Port.
type Store struct {
	mu                sync.Mutex
	records           map[string]storedRecord
	revision          uint64
	events            []kvstore.Event
	leases            map[uint64]*storeLease
	nextLeaseID       uint64
	isDown            bool
	refusedNodes      map[string]bool
	changed           chan struct{} // closed and renewed with every change
	latency           time.Duration
	maxTxnOps         int
	maxValueBytes     int
	maxWriteRate      float64 // changes a second, 0 for no limit
	availableWrites   float64 // of them, left of a second's worth
	refilledAt        time.Time
	unconditionalKeys []string       // keys of writes without any condition
	oversizedKeys     []string       // keys of writes that were beyond a limit that asks no patience
	writeCount        int            // changes asked for in transactions
	writeCountByKind  map[string]int // the same by kind of key, as "cw/job"
	// watchDelays delays the watch of a node, as a busy processor does.
	watchDelays      map[string]time.Duration
	readDelays       map[string]time.Duration // see SlowAnswers
	compactedWatches map[string]bool          // see Outrun
	lateRand         *rand.Rand               // of LateWrites, nil for none
	skipsConditions  bool                     // see Careless
	lateFraction     float64                  // share of transactions that go without an answer, and are carried out late
}

// NewStore makes an empty store.
func NewStore(ctx context.Context) *Store {
	s := &Store{records: map[string]storedRecord{}, leases: map[uint64]*storeLease{}, refusedNodes: map[string]bool{},
		changed: make(chan struct{}), latency: 5 * time.Millisecond, maxTxnOps: 40, maxValueBytes: 8 << 10, watchDelays: map[string]time.Duration{}, readDelays: map[string]time.Duration{}, compactedWatches: map[string]bool{}, writeCountByKind: map[string]int{}}
	go s.expireLeases(ctx)
	return s
}

func (s *Store) expireLeases(ctx context.Context) {
	for kvstore.Pause(ctx, 20*time.Millisecond) == nil {
		s.mu.Lock()
		if !s.isDown {
			for id, g := range s.leases {
				if time.Now().After(g.expiresAt) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, r := range s.records {
		if r.leaseID == id {
			s.revision++
			delete(s.records, k)
			s.appendEvent(kvstore.Event{DeletedKey: k, Revision: s.revision})
		}
	}
}

func (s *Store) appendEvent(e kvstore.Event) {
	s.events = append(s.events, e)
	s.notifyWatches()
}

// notifyWatches has the watches look again.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage starts or ends an outage for all; leases get their full time back.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = on
	if !on {
		for _, g := range s.leases {
			g.expiresAt = time.Now().Add(g.ttl)
		}
		s.notifyWatches()
	}
}

// RefuseNode answers 503 to one node only.
func (s *Store) RefuseNode(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedNodes[node] = on
}

// DelayWatch delays what a node's watch delivers.
func (s *Store) DelayWatch(node string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDelays[node] = d
}

// DelayReads has what a node asks for singly be read at once and answered only later.
func (s *Store) DelayReads(node string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelays[node] = d
}

// CompactWatch has a node's next watch be told that it is too far behind: it has to read all anew.
func (s *Store) CompactWatch(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedWatches[node] = true
	s.notifyWatches()
}

// ApplyLate has a share of all transactions go without an answer and be carried out 2 to
// 12 s later, after newer ones; 0 for none.
func (s *Store) ApplyLate(rnd *rand.Rand, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateRand, s.lateFraction = rnd, share
}

// SkipConditions has late transactions be carried out whatever their conditions say: a breach that
// shows what they are for.
func (s *Store) SkipConditions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipsConditions = true
}

// lateDelay is how late a transaction is to be carried out, 0 for at once.
func (s *Store) lateDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateFraction <= 0 || s.lateRand.Float64() >= s.lateFraction {
		return 0
	}
	return 2*time.Second + time.Duration(s.lateRand.Int64N(int64(10*time.Second)))
}

// SetMaxTxnOps sets how many changes a transaction may make.
func (s *Store) SetMaxTxnOps(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxTxnOps = n
}

// SetMaxValueBytes sets how large a value may be (bytes).
func (s *Store) SetMaxValueBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes = n
}

// SetMaxWriteRate sets how many changes a second are taken: beyond, all is refused for the moment.
func (s *Store) SetMaxWriteRate(n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWriteRate, s.availableWrites, s.refilledAt = n, n, time.Now()
}

// UnconditionalWrites are the keys of writes that were asked for without any condition.
func (s *Store) UnconditionalWrites() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unconditionalKeys)
}

// OversizedWrites are the keys of writes that were refused for their size or their number.
func (s *Store) OversizedWrites() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.oversizedKeys)
}

// checkLimits tells whether a transaction is within the limits, with the lock held.
func (s *Store) checkLimits(t kvstore.Txn) error {
	if len(t.Writes) > s.maxTxnOps || len(t.Conditions) > 4*s.maxTxnOps {
		for _, w := range t.Writes {
			s.oversizedKeys = append(s.oversizedKeys, w.Key+w.DeleteKey)
		}
		return fmt.Errorf("%w: too many operations", kvstore.ErrRejected)
	}
	size := 0
	for _, w := range t.Writes {
		size += len(w.Value)
		if len(w.Value) > s.maxValueBytes || size > 64<<10 {
			s.oversizedKeys = append(s.oversizedKeys, w.Key)
			return fmt.Errorf("%w: value too large: %s", kvstore.ErrRejected, w.Key)
		}
	}
	if s.maxWriteRate > 0 {
		now := time.Now()
		s.availableWrites, s.refilledAt = min(s.maxWriteRate, s.availableWrites+s.maxWriteRate*now.Sub(s.refilledAt).Seconds()), now
		if s.availableWrites < float64(len(t.Writes)) {
			return fmt.Errorf("%w: over its limits", kvstore.ErrUnavailable)
		}
		s.availableWrites -= float64(len(t.Writes))
	}
	return nil
}

// WriteCount is how many changes were asked for so far.
func (s *Store) WriteCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeCount
}

// WriteCountOf is the same for the keys with one of the prefixes, as "cw/job/".
func (s *Store) WriteCountOf(prefixes ...string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range prefixes {
		n += s.writeCountByKind[strings.TrimSuffix(p, "/")]
	}
	return n
}

// Value reads a key as it is, for checks.
func (s *Store) Value(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	return string(r.value), ok
}

// Put has the store hold a record, as another program wrote it.
func (s *Store) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kvstore.Txn{Writes: []kvstore.Write{{Key: key, Value: value}}})
}

// Delete has a record be gone.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kvstore.Txn{Writes: []kvstore.Write{{DeleteKey: key}}})
}

// Keys lists the keys with a prefix, for checks.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.records {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Conn is a node's connection to the store. Lose makes the next transaction
// be applied without an answer.
type Conn struct {
	store       *Store
	node        string
	mu          sync.Mutex
	dropAnswers int
	txnDelay    time.Duration
}

// Connect connects a node.
func (s *Store) Connect(node string) *Conn { return &Conn{store: s, node: node} }

// DropAnswers drops the answers of the next n transactions.
func (p *Conn) DropAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropAnswers = n
}

// DelayNextTxn has the next transaction go without an answer and be applied only after a while.
func (p *Conn) DelayNextTxn(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.txnDelay = d
}

func (p *Conn) begin(ctx context.Context) error {
	p.store.mu.Lock()
	latency, bad := p.store.latency, p.store.isDown || p.store.refusedNodes[p.node]
	p.store.mu.Unlock()
	if err := kvstore.Pause(ctx, latency); err != nil {
		return kvstore.ErrOutcomeUnknown
	}
	if bad {
		return kvstore.ErrUnavailable
	}
	return nil
}

// Commit runs a transaction.
func (p *Conn) Commit(ctx context.Context, _ kvstore.Priority, t kvstore.Txn) (kvstore.TxnResult, error) {
	if err := p.begin(ctx); err != nil {
		return kvstore.TxnResult{}, err
	}
	s := p.store
	p.mu.Lock()
	late := p.txnDelay
	p.txnDelay = 0
	p.mu.Unlock()
	s.recordUnconditional(t)
	if late == 0 {
		late = s.lateDelay()
	}
	if late > 0 {
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.skipsConditions {
				t.Conditions = nil
			}
			if s.leasesLive(t) {
				s.apply(t)
			}
		})
		_ = kvstore.Pause(ctx, min(late, tuning.StoreRequestTimeout)) // as long as the client waits
		return kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown
	}
	s.mu.Lock()
	for end := time.Now().Add(tuning.StoreRequestTimeout); ; {
		err := s.checkLimits(t)
		if err == nil {
			break
		}
		s.mu.Unlock()
		// As the client does, which asks again when the service is over its limits.
		if errors.Is(err, kvstore.ErrRejected) || time.Now().After(end) || kvstore.Pause(ctx, tuning.RateLimitedRetryDelay) != nil {
			return kvstore.TxnResult{}, err
		}
		s.mu.Lock()
	}
	if !s.leasesLive(t) {
		s.mu.Unlock()
		return kvstore.TxnResult{}, fmt.Errorf("%w: no such lease", kvstore.ErrRejected)
	}
	res := s.apply(t)
	s.mu.Unlock()
	p.mu.Lock()
	lost := p.dropAnswers > 0
	if lost {
		p.dropAnswers--
	}
	p.mu.Unlock()
	if lost {
		return kvstore.TxnResult{}, kvstore.ErrOutcomeUnknown
	}
	return res, kvstore.Pause(ctx, time.Millisecond)
}

func (s *Store) recordUnconditional(t kvstore.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Conditions) > 0 {
		return
	}
	for _, w := range t.Writes {
		s.unconditionalKeys = append(s.unconditionalKeys, w.Key+w.DeleteKey)
	}
}

// leasesLive tells whether all leases that a transaction names still run, with the lock held.
func (s *Store) leasesLive(t kvstore.Txn) bool {
	return !slices.ContainsFunc(t.Writes, func(w kvstore.Write) bool { return w.LeaseID != 0 && s.leases[w.LeaseID] == nil })
}

func (s *Store) apply(t kvstore.Txn) kvstore.TxnResult { // with the lock held
	s.writeCount += len(t.Writes)
	for _, w := range t.Writes {
		parts := strings.SplitN(w.Key+w.DeleteKey, "/", 3)
		s.writeCountByKind[strings.Join(parts[:min(2, len(parts))], "/")]++
	}
	var failed []string
	for _, c := range t.Conditions {
		if s.records[c.Key].revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return kvstore.TxnResult{Revision: s.revision, FailedKeys: failed}
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, w := range t.Writes {
		if w.DeleteKey != "" {
			if _, ok := s.records[w.DeleteKey]; ok {
				delete(s.records, w.DeleteKey)
				s.appendEvent(kvstore.Event{DeletedKey: w.DeleteKey, Revision: s.revision})
			}
			continue
		}
		s.records[w.Key] = storedRecord{w.Value, s.revision, w.LeaseID}
		s.appendEvent(kvstore.Event{Key: w.Key, Value: w.Value, Revision: s.revision})
	}
	return kvstore.TxnResult{Succeeded: true, Revision: s.revision}
}

// Get reads a key.
func (p *Conn) Get(ctx context.Context, _ kvstore.Priority, key string) (kvstore.KeyValue, bool, uint64, error) {
	if err := p.begin(ctx); err != nil {
		return kvstore.KeyValue{}, false, 0, err
	}
	p.store.mu.Lock()
	r, ok := p.store.records[key]
	epoch, slow := p.store.revision, p.store.readDelays[p.node]
	p.store.mu.Unlock()
	// No timer of no time: one in a test bubble now and then ends a race run with a fault in
	// the Go runtime.
	if slow > 0 && kvstore.Pause(ctx, slow) != nil {
		return kvstore.KeyValue{}, false, 0, kvstore.ErrOutcomeUnknown
	}
	if !ok {
		return kvstore.KeyValue{}, false, epoch, nil
	}
	return kvstore.KeyValue{Key: key, Value: r.value, Revision: r.revision}, true, 0, nil
}

// List reads a prefix.
func (p *Conn) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error) {
	if err := p.begin(ctx); err != nil {
		return nil, 0, err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	var rows []kvstore.KeyValue
	for k, r := range p.store.records {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, kvstore.KeyValue{Key: k, Value: r.value, Revision: r.revision})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, p.store.revision, nil
}

// Watch waits for changes.
func (p *Conn) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
	s := p.store
	end := time.Now().Add(10 * time.Second)
	for {
		s.mu.Lock()
		bad, lag, moved := s.isDown || s.refusedNodes[p.node], s.watchDelays[p.node], s.changed
		var news []kvstore.Event
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > from })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key+e.DeletedKey, prefix) {
				news = append(news, e)
			}
		}
		epoch, gone := s.revision, !bad && s.compactedWatches[p.node]
		if gone {
			delete(s.compactedWatches, p.node)
		}
		s.mu.Unlock()
		if gone {
			return nil, 0, kvstore.ErrExpired
		}
		if !bad && (len(news) > 0 || time.Now().After(end)) {
			if err := kvstore.Pause(ctx, lag+time.Millisecond); err != nil {
				return nil, 0, kvstore.ErrOutcomeUnknown
			}
			return news, epoch, nil
		}
		wait := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil, 0, kvstore.ErrOutcomeUnknown
		case <-moved:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// GrantLease gives a lease.
func (p *Conn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := p.begin(ctx); err != nil {
		return 0, err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.nextLeaseID++
	p.store.leases[p.store.nextLeaseID] = &storeLease{ttl, time.Now().Add(ttl)}
	return p.store.nextLeaseID, nil
}

// KeepAlive renews a lease.
func (p *Conn) KeepAlive(ctx context.Context, permit uint64) error {
	if err := p.begin(ctx); err != nil {
		return err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	g := p.store.leases[permit]
	if g == nil {
		return kvstore.ErrExpired
	}
	g.expiresAt = time.Now().Add(g.ttl)
	return nil
}
