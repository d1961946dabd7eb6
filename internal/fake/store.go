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

	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

type kept struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type grant struct {
	ttl time.Duration
	end time.Time
}

// Store is a state service as one controller sees it through Port.
type Store struct {
	mu       sync.Mutex
	rows     map[string]kept
	epoch    uint64
	events   []state.Event
	grants   map[uint64]*grant
	nextID   uint64
	down     bool
	refused  map[string]bool
	moved    chan struct{} // closed and renewed with every change
	latency  time.Duration
	txnOps   int
	valueMax int
	rate     float64 // changes a second, 0 for no limit
	tokens   float64 // of them, left of a second's worth
	filled   time.Time
	bare     []string       // keys of writes without any condition
	beyond   []string       // keys of writes that were beyond a limit that asks no patience
	writes   int            // changes asked for in transactions
	writesOf map[string]int // the same by kind of key, as "cw/job"
	// watchLag delays the watch of a node, as a busy processor does.
	watchLag map[string]time.Duration
	slow     map[string]time.Duration // see SlowAnswers
	tooOld   map[string]bool          // see Outrun
	rnd      *rand.Rand               // of LateWrites, nil for none
	careless bool                     // see Careless
	late     float64                  // share of transactions that go without an answer, and are carried out late
}

// NewStore makes an empty store.
func NewStore(ctx context.Context) *Store {
	s := &Store{rows: map[string]kept{}, grants: map[uint64]*grant{}, refused: map[string]bool{},
		moved: make(chan struct{}), latency: 5 * time.Millisecond, txnOps: 40, valueMax: 8 << 10, watchLag: map[string]time.Duration{}, slow: map[string]time.Duration{}, tooOld: map[string]bool{}, writesOf: map[string]int{}}
	go s.expire(ctx)
	return s
}

func (s *Store) expire(ctx context.Context) {
	for state.Pause(ctx, 20*time.Millisecond) == nil {
		s.mu.Lock()
		if !s.down {
			for id, g := range s.grants {
				if time.Now().After(g.end) {
					s.endGrant(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endGrant(id uint64) {
	delete(s.grants, id)
	for k, r := range s.rows {
		if r.permit == id {
			s.epoch++
			delete(s.rows, k)
			s.note(state.Event{Drop: k, Stamp: s.epoch})
		}
	}
}

func (s *Store) note(e state.Event) {
	s.events = append(s.events, e)
	s.wake()
}

// wake has the watches look again.
func (s *Store) wake() {
	close(s.moved)
	s.moved = make(chan struct{})
}

// Outage starts or ends an outage for all; leases get their full time back.
func (s *Store) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
	if !on {
		for _, g := range s.grants {
			g.end = time.Now().Add(g.ttl)
		}
		s.wake()
	}
}

// Refuse answers 503 to one node only.
func (s *Store) Refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
}

// LagWatch delays what a node's watch delivers.
func (s *Store) LagWatch(node string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLag[node] = d
}

// SlowAnswers has what a node asks for singly be read at once and answered only later.
func (s *Store) SlowAnswers(node string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[node] = d
}

// Outrun has a node's next watch be told that it is too far behind: it has to read all anew.
func (s *Store) Outrun(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tooOld[node] = true
	s.wake()
}

// LateWrites has a share of all transactions go without an answer and be carried out 2 to
// 12 s later, after newer ones; 0 for none.
func (s *Store) LateWrites(rnd *rand.Rand, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rnd, s.late = rnd, share
}

// Careless has late transactions be carried out whatever their conditions say: a breach that
// shows what they are for.
func (s *Store) Careless() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.careless = true
}

// lateBy is how late a transaction is to be carried out, 0 for at once.
func (s *Store) lateBy() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late <= 0 || s.rnd.Float64() >= s.late {
		return 0
	}
	return 2*time.Second + time.Duration(s.rnd.Int64N(int64(10*time.Second)))
}

// LimitOps sets how many changes a transaction may make.
func (s *Store) LimitOps(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnOps = n
}

// LimitValue sets how large a value may be (bytes).
func (s *Store) LimitValue(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valueMax = n
}

// LimitRate sets how many changes a second are taken: beyond, all is refused for the moment.
func (s *Store) LimitRate(n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate, s.tokens, s.filled = n, n, time.Now()
}

// Bare are the keys of writes that were asked for without any condition.
func (s *Store) Bare() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bare)
}

// Beyond are the keys of writes that were refused for their size or their number.
func (s *Store) Beyond() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.beyond)
}

// fits tells whether a transaction is within the limits, with the lock held.
func (s *Store) fits(t state.Txn) error {
	if len(t.Writes) > s.txnOps || len(t.If) > 4*s.txnOps {
		for _, w := range t.Writes {
			s.beyond = append(s.beyond, w.Key+w.Drop)
		}
		return fmt.Errorf("%w: too many operations", state.ErrRefused)
	}
	size := 0
	for _, w := range t.Writes {
		size += len(w.Value)
		if len(w.Value) > s.valueMax || size > 64<<10 {
			s.beyond = append(s.beyond, w.Key)
			return fmt.Errorf("%w: value too large: %s", state.ErrRefused, w.Key)
		}
	}
	if s.rate > 0 {
		now := time.Now()
		s.tokens, s.filled = min(s.rate, s.tokens+s.rate*now.Sub(s.filled).Seconds()), now
		if s.tokens < float64(len(t.Writes)) {
			return fmt.Errorf("%w: over its limits", state.ErrUnavailable)
		}
		s.tokens -= float64(len(t.Writes))
	}
	return nil
}

// Writes is how many changes were asked for so far.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// WritesOf is the same for the keys with one of the prefixes, as "cw/job/".
func (s *Store) WritesOf(prefixes ...string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range prefixes {
		n += s.writesOf[strings.TrimSuffix(p, "/")]
	}
	return n
}

// Value reads a key as it is, for checks.
func (s *Store) Value(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return string(r.value), ok
}

// Put has the store hold a record, as another program wrote it.
func (s *Store) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(state.Txn{Writes: []state.Write{{Key: key, Value: value}}})
}

// Drop has a record be gone.
func (s *Store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(state.Txn{Writes: []state.Write{{Drop: key}}})
}

// Keys lists the keys with a prefix, for checks.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Port is a node's connection to the store. Lose makes the next transaction
// be applied without an answer.
type Port struct {
	s    *Store
	node string
	mu   sync.Mutex
	lose int
	late time.Duration
}

// Port connects a node.
func (s *Store) Port(node string) *Port { return &Port{s: s, node: node} }

// Lose drops the answers of the next n transactions.
func (p *Port) Lose(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Late has the next transaction go without an answer and be applied only after a while.
func (p *Port) Late(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = d
}

func (p *Port) enter(ctx context.Context) error {
	p.s.mu.Lock()
	latency, bad := p.s.latency, p.s.down || p.s.refused[p.node]
	p.s.mu.Unlock()
	if err := state.Pause(ctx, latency); err != nil {
		return state.ErrUnknown
	}
	if bad {
		return state.ErrUnavailable
	}
	return nil
}

// Do runs a transaction.
func (p *Port) Do(ctx context.Context, _ state.Priority, t state.Txn) (state.Result, error) {
	if err := p.enter(ctx); err != nil {
		return state.Result{}, err
	}
	s := p.s
	p.mu.Lock()
	late := p.late
	p.late = 0
	p.mu.Unlock()
	s.noteBare(t)
	if late == 0 {
		late = s.lateBy()
	}
	if late > 0 {
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.careless {
				t.If = nil
			}
			if s.grantsLive(t) {
				s.apply(t)
			}
		})
		_ = state.Pause(ctx, min(late, tuning.StateTimeout)) // as long as the client waits
		return state.Result{}, state.ErrUnknown
	}
	s.mu.Lock()
	for end := time.Now().Add(tuning.StateTimeout); ; {
		err := s.fits(t)
		if err == nil {
			break
		}
		s.mu.Unlock()
		// As the client does, which asks again when the service is over its limits.
		if errors.Is(err, state.ErrRefused) || time.Now().After(end) || state.Pause(ctx, tuning.BusyPause) != nil {
			return state.Result{}, err
		}
		s.mu.Lock()
	}
	if !s.grantsLive(t) {
		s.mu.Unlock()
		return state.Result{}, fmt.Errorf("%w: no such lease", state.ErrRefused)
	}
	res := s.apply(t)
	s.mu.Unlock()
	p.mu.Lock()
	lost := p.lose > 0
	if lost {
		p.lose--
	}
	p.mu.Unlock()
	if lost {
		return state.Result{}, state.ErrUnknown
	}
	return res, state.Pause(ctx, time.Millisecond)
}

func (s *Store) noteBare(t state.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.If) > 0 {
		return
	}
	for _, w := range t.Writes {
		s.bare = append(s.bare, w.Key+w.Drop)
	}
}

// grantsLive tells whether all leases that a transaction names still run, with the lock held.
func (s *Store) grantsLive(t state.Txn) bool {
	return !slices.ContainsFunc(t.Writes, func(w state.Write) bool { return w.Permit != 0 && s.grants[w.Permit] == nil })
}

func (s *Store) apply(t state.Txn) state.Result { // with the lock held
	s.writes += len(t.Writes)
	for _, w := range t.Writes {
		parts := strings.SplitN(w.Key+w.Drop, "/", 3)
		s.writesOf[strings.Join(parts[:min(2, len(parts))], "/")]++
	}
	var failed []string
	for _, c := range t.If {
		if s.rows[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return state.Result{Epoch: s.epoch, Failed: failed}
	}
	if len(t.Writes) > 0 {
		s.epoch++
	}
	for _, w := range t.Writes {
		if w.Drop != "" {
			if _, ok := s.rows[w.Drop]; ok {
				delete(s.rows, w.Drop)
				s.note(state.Event{Drop: w.Drop, Stamp: s.epoch})
			}
			continue
		}
		s.rows[w.Key] = kept{w.Value, s.epoch, w.Permit}
		s.note(state.Event{Key: w.Key, Value: w.Value, Stamp: s.epoch})
	}
	return state.Result{OK: true, Epoch: s.epoch}
}

// Get reads a key.
func (p *Port) Get(ctx context.Context, _ state.Priority, key string) (state.Row, bool, uint64, error) {
	if err := p.enter(ctx); err != nil {
		return state.Row{}, false, 0, err
	}
	p.s.mu.Lock()
	r, ok := p.s.rows[key]
	epoch, slow := p.s.epoch, p.s.slow[p.node]
	p.s.mu.Unlock()
	// No timer of no time: one in a test bubble now and then ends a race run with a fault in
	// the Go runtime.
	if slow > 0 && state.Pause(ctx, slow) != nil {
		return state.Row{}, false, 0, state.ErrUnknown
	}
	if !ok {
		return state.Row{}, false, epoch, nil
	}
	return state.Row{Key: key, Value: r.value, Stamp: r.stamp}, true, 0, nil
}

// List reads a prefix.
func (p *Port) List(ctx context.Context, prefix string) ([]state.Row, uint64, error) {
	if err := p.enter(ctx); err != nil {
		return nil, 0, err
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	var rows []state.Row
	for k, r := range p.s.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, state.Row{Key: k, Value: r.value, Stamp: r.stamp})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, p.s.epoch, nil
}

// Watch waits for changes.
func (p *Port) Watch(ctx context.Context, prefix string, from uint64) ([]state.Event, uint64, error) {
	s := p.s
	end := time.Now().Add(10 * time.Second)
	for {
		s.mu.Lock()
		bad, lag, moved := s.down || s.refused[p.node], s.watchLag[p.node], s.moved
		var news []state.Event
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key+e.Drop, prefix) {
				news = append(news, e)
			}
		}
		epoch, gone := s.epoch, !bad && s.tooOld[p.node]
		if gone {
			delete(s.tooOld, p.node)
		}
		s.mu.Unlock()
		if gone {
			return nil, 0, state.ErrGone
		}
		if !bad && (len(news) > 0 || time.Now().After(end)) {
			if err := state.Pause(ctx, lag+time.Millisecond); err != nil {
				return nil, 0, state.ErrUnknown
			}
			return news, epoch, nil
		}
		wait := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil, 0, state.ErrUnknown
		case <-moved:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// Grant gives a lease.
func (p *Port) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := p.enter(ctx); err != nil {
		return 0, err
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.nextID++
	p.s.grants[p.s.nextID] = &grant{ttl, time.Now().Add(ttl)}
	return p.s.nextID, nil
}

// Touch renews a lease.
func (p *Port) Touch(ctx context.Context, permit uint64) error {
	if err := p.enter(ctx); err != nil {
		return err
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	g := p.s.grants[permit]
	if g == nil {
		return state.ErrGone
	}
	g.end = time.Now().Add(g.ttl)
	return nil
}
