//go:build review

// Package standin2 has the stand-ins of the second review: a state service, a cloud, workers, users and the start of
// the controllers as separate processes. They follow the protocol page and listen on loopback addresses only.
package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxEvents is the number of changes that the state service keeps for watches.
const maxEvents = 10000

type row struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type event struct {
	Write string          `json:"write,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Stamp uint64          `json:"stamp"`
	Drop  string          `json:"drop,omitempty"`
}

type grant struct {
	ttl     time.Duration
	expires time.Time
}

// State is a stand-in of the state service.
type State struct {
	limits Limits

	mu       sync.Mutex
	epoch    uint64
	rows     map[string]row
	events   []event
	dropped  uint64 // revision of the newest event that is no longer kept
	grants   map[uint64]*grant
	lastID   uint64
	changed  chan struct{} // closed at the next change
	requests bucket
	writes   bucket
}

// bucket allows a rate with bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if !b.at.IsZero() {
		b.tokens += b.rate * now.Sub(b.at).Seconds()
	} else {
		b.tokens = b.rate
	}
	b.at = now
	b.tokens = min(b.tokens, b.rate)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Limits are the limits of the state service, as in the settings.
type Limits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// NewState returns an empty state service.
func NewState(limits Limits) *State {
	s := &State{limits: limits, rows: map[string]row{}, grants: map[uint64]*grant{}, changed: make(chan struct{})}
	s.requests.rate, s.writes.rate = limits.RPS, limits.WriteRPS
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireGrants()
		}
	}()
	return s
}

func (s *State) expireGrants() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.grants {
		if time.Now().After(g.expires) {
			s.endGrant(id)
		}
	}
}

// endGrant removes a lease and its keys. The caller holds the lock.
func (s *State) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, r := range s.rows {
		if r.Permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.epoch++
	for _, key := range keys {
		delete(s.rows, key)
		s.addEvent(event{Drop: key, Stamp: s.epoch})
	}
	s.wake()
}

func (s *State) addEvent(e event) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.dropped = s.events[0].Stamp
		s.events = s.events[1:]
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]string{"error": text})
}

// ServeHTTP serves the state service.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	allowed := s.requests.take(1)
	s.mu.Unlock()
	if !allowed {
		fail(w, http.StatusTooManyRequests, "too many requests")
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/kv":
		s.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case r.Method == http.MethodPost && path == "/txn":
		s.txn(w, r)
	case r.Method == http.MethodGet && path == "/changes":
		s.watch(w, r)
	case r.Method == http.MethodPost && path == "/grants":
		s.grant(w, r)
	case strings.HasPrefix(path, "/grants/"):
		s.touch(w, r, strings.TrimPrefix(path, "/grants/"))
	default:
		fail(w, http.StatusBadRequest, "no such path")
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.rows[key]
	epoch := s.epoch
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"epoch": epoch})
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []row{}, 0, false
	for _, key := range keys {
		size += len(key) + len(s.rows[key].Value)
		if len(rows) == limit || size > 512<<10 {
			truncated = true
			break
		}
		rows = append(rows, s.rows[key])
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "epoch": s.epoch})
}

func (s *State) txn(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	var txn struct {
		If []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Writes []struct {
			Write  string          `json:"write"`
			Value  json.RawMessage `json:"value"`
			Permit uint64          `json:"permit"`
			Drop   string          `json:"drop"`
		} `json:"writes"`
	}
	if err != nil || len(raw) > 64<<10 || json.Unmarshal(raw, &txn) != nil || len(txn.Writes) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps {
		fail(w, http.StatusBadRequest, "malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(txn.Writes))) {
		fail(w, http.StatusTooManyRequests, "too many changes")
		return
	}
	for _, write := range txn.Writes {
		if float64(len(write.Value)) > s.limits.ValueKB*1024 || len(write.Write+write.Drop) == 0 || len(write.Write+write.Drop) > 200 {
			fail(w, http.StatusBadRequest, "too large")
			return
		}
		if write.Permit != 0 && s.grants[write.Permit] == nil {
			fail(w, http.StatusBadRequest, "no such lease")
			return
		}
	}
	failed := []string{}
	for _, condition := range txn.If {
		if s.rows[condition.Key].Stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(txn.Writes) > 0 {
		s.epoch++
		for _, write := range txn.Writes {
			if write.Drop != "" {
				if _, exists := s.rows[write.Drop]; exists {
					delete(s.rows, write.Drop)
					s.addEvent(event{Drop: write.Drop, Stamp: s.epoch})
				}
				continue
			}
			s.rows[write.Write] = row{Key: write.Write, Value: write.Value, Stamp: s.epoch, Permit: write.Permit}
			s.addEvent(event{Write: write.Write, Value: write.Value, Stamp: s.epoch})
		}
		s.wake()
	}
	reply(w, http.StatusOK, map[string]uint64{"epoch": s.epoch})
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs float64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMs < 100 || request.TTLMs > 600000 {
		fail(w, http.StatusBadRequest, "malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.grants[s.lastID] = &grant{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]uint64{"permit": s.lastID})
}

func (s *State) touch(w http.ResponseWriter, r *http.Request, rest string) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(rest, "/touch"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grants[id]
	switch {
	case g == nil:
		fail(w, http.StatusNotFound, "no such lease")
	case r.Method == http.MethodDelete:
		s.endGrant(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		g.expires = time.Now().Add(g.ttl)
		reply(w, http.StatusOK, map[string]any{})
	}
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.dropped {
			s.mu.Unlock()
			fail(w, http.StatusGone, "too old")
			return
		}
		news := []event{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Write+e.Drop, query.Get("starts")) {
				news = append(news, e)
			}
		}
		epoch, changed := s.epoch, s.changed
		s.mu.Unlock()
		if len(news) > 0 {
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "news": news})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "news": news})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// LateWrites makes the state service leave transactions without an answer and carry them out late. It does so for the
// transactions of one controller for which selects returns true; their body is passed to it.
func (w *World) LateWrites(node string, delay time.Duration, selects func(body string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateNode, w.lateDelay, w.lateSelects = node, delay, selects
}

// stateFor returns the state service as one controller sees it.
func (w *World) stateFor(node string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/txn" {
			w.State.ServeHTTP(rw, r)
			return
		}
		raw, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		isLate := w.lateNode == node && w.lateSelects != nil && w.lateSelects(string(raw))
		delay := w.lateDelay
		w.mu.Unlock()
		forwarded := r.Clone(context.WithoutCancel(r.Context()))
		forwarded.Body = io.NopCloser(bytes.NewReader(raw))
		if !isLate {
			w.State.ServeHTTP(rw, forwarded)
			return
		}
		w.Logf("state service: a transaction of %s gets no answer: %s", node, raw)
		time.AfterFunc(delay, func() {
			discarded := &statusRecorder{header: http.Header{}}
			w.State.ServeHTTP(discarded, forwarded)
			w.Logf("state service: the transaction of %s is carried out %v late: status %d", node, delay, discarded.status)
		})
		<-r.Context().Done() // no answer
	})
}

// statusRecorder keeps the status of a response that nobody gets.
type statusRecorder struct {
	header http.Header
	status int
}

func (s *statusRecorder) Header() http.Header         { return s.header }
func (s *statusRecorder) Write(b []byte) (int, error) { return len(b), nil }
func (s *statusRecorder) WriteHeader(status int)      { s.status = status }
