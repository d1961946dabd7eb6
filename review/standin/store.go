//go:build review

// Package standin has the stand-ins that the cases of the review start: a state service, a cloud,
// workers and users that follow the protocol page, and the controllers' processes.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Verdict says what the state service does with one transaction.
type Verdict int

// The verdicts. Late applies the transaction when Store.ApplyLate is called, and LateAfter after
// a delay; neither of them is answered. Lost applies it at once and sends no answer.
const (
	Now Verdict = iota
	Lost
	Late
	LateAfter
)

// Cond is a precondition of a transaction.
type Cond struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Op is a change of a transaction.
type Op struct {
	Write  string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Drop   string          `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If     []Cond `json:"if"`
	Writes []Op   `json:"writes"`
}

type item struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type change struct {
	op    Op
	stamp uint64
}

type grant struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the state service.
type Store struct {
	log *Recorder

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	changes []change
	grants  map[uint64]*grant
	nextID  uint64
	wake    chan struct{}
	down    bool
	refused map[string]bool
	hung    map[string]bool
	late    []Txn

	// OnTxn decides what happens with a transaction of a controller; nil: all are applied at once.
	OnTxn func(node string, t *Txn) (Verdict, time.Duration)
	// WatchDelay delays the answers to open watches of a controller.
	WatchDelay func(node string) time.Duration
	// OnOutcome is told of each answered transaction.
	OnOutcome func(node string, t *Txn, ok bool)
}

// NewStore returns an empty state service.
func NewStore(log *Recorder) *Store {
	s := &Store{log: log, items: map[string]item{}, grants: map[uint64]*grant{}, wake: make(chan struct{}), refused: map[string]bool{}, hung: map[string]bool{}}
	go s.expire()
	return s
}

// SetDown makes the state service answer 503 to all controllers, or ends that outage. Leases get
// their full time back.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, g := range s.grants {
			g.expires = time.Now().Add(g.ttl)
		}
	}
	s.down = down
	s.signal()
}

// Refuse makes the state service answer 503 to one controller.
func (s *Store) Refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	s.signal()
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Value returns the value of a key, "" if there is none.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].value)
}

func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if !s.down {
			for id, g := range s.grants {
				if time.Now().After(g.expires.Add(30 * time.Millisecond)) {
					s.endGrant(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endGrant(id uint64) {
	delete(s.grants, id)
	for k, it := range s.items {
		if it.permit == id {
			s.rev++
			delete(s.items, k)
			s.changes = append(s.changes, change{Op{Drop: k}, s.rev})
		}
	}
	s.signal()
}

// ApplyLate applies the transactions that were held back.
func (s *Store) ApplyLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	for i := range late {
		_, failed := s.apply(&late[i])
		s.log.Printf("state: late transaction applied, failed conditions %v, writes %s", failed, describe(&late[i]))
	}
	s.mu.Unlock()
}

func (s *Store) apply(t *Txn) (rev uint64, failed []string) {
	for _, c := range t.If {
		if s.items[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	for _, w := range t.Writes {
		if w.Permit != 0 && s.grants[w.Permit] == nil {
			failed = append(failed, w.Write)
		}
	}
	if len(failed) > 0 || len(t.Writes) == 0 {
		return s.rev, failed
	}
	s.rev++
	for _, w := range t.Writes {
		if w.Drop != "" {
			if _, ok := s.items[w.Drop]; ok {
				delete(s.items, w.Drop)
				s.changes = append(s.changes, change{Op{Drop: w.Drop}, s.rev})
			}
			continue
		}
		s.items[w.Write] = item{w.Value, s.rev, w.Permit}
		s.changes = append(s.changes, change{w, s.rev})
	}
	s.signal()
	return s.rev, nil
}

func describe(t *Txn) string {
	var keys []string
	for _, w := range t.Writes {
		if w.Drop != "" {
			keys = append(keys, "-"+w.Drop)
		} else {
			keys = append(keys, w.Write)
		}
	}
	return strings.Join(keys, " ")
}

// Serve serves the state service for one controller and returns the address.
func (s *Store) Serve(node string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", func(w http.ResponseWriter, r *http.Request) { s.get(w, r) })
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) { s.txn(node, w, r) })
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/touch", s.touch)
	mux.HandleFunc("DELETE /grants/{id}", s.endGrantRequest)
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) { s.watch(node, w, r) })
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		if s.isHung(node) {
			<-r.Context().Done()
			return
		}
		if r.URL.Path != "/changes" && s.isRefused(node) {
			reply(w, 503, map[string]string{"error": "unavailable"})
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// Hang cuts a controller from the state service: its requests get no answer.
func (s *Store) Hang(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung[node] = on
	s.signal()
}

func (s *Store) isHung(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hung[node]
}

func (s *Store) isRefused(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.refused[node]
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]uint64{"epoch": rev})
		return
	}
	reply(w, 200, row(key, it))
}

func row(key string, it item) map[string]any {
	m := map[string]any{"key": key, "value": it.value, "stamp": it.stamp}
	if it.permit != 0 {
		m["permit"] = it.permit
	}
	return m
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []map[string]any{}, 0, false
	for _, k := range keys {
		if len(rows) == limit || size > 500<<10 {
			truncated = true
			break
		}
		size += len(s.items[k].value) + len(k) + 60
		rows = append(rows, row(k, s.items[k]))
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"rows": rows, "truncated": truncated, "epoch": rev})
}

func (s *Store) txn(node string, w http.ResponseWriter, r *http.Request) {
	var t Txn
	if !read(w, r, &t) {
		return
	}
	verdict, delay := Now, time.Duration(0)
	if s.OnTxn != nil {
		verdict, delay = s.OnTxn(node, &t)
	}
	switch verdict {
	case Late:
		s.mu.Lock()
		s.late = append(s.late, t)
		s.mu.Unlock()
		<-r.Context().Done()
		return
	case LateAfter:
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(&t)
		})
		<-r.Context().Done()
		return
	case Lost:
		s.mu.Lock()
		s.apply(&t)
		s.mu.Unlock()
		<-r.Context().Done()
		return
	case Now:
	}
	s.mu.Lock()
	for _, op := range t.Writes {
		if op.Permit != 0 && s.grants[op.Permit] == nil {
			s.mu.Unlock()
			reply(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	rev, failed := s.apply(&t)
	s.mu.Unlock()
	if s.OnOutcome != nil {
		s.OnOutcome(node, &t, len(failed) == 0)
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "epoch": rev})
		return
	}
	reply(w, 200, map[string]uint64{"epoch": rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if !read(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	ttl := time.Duration(req.TTLMs) * time.Millisecond
	s.grants[id] = &grant{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, map[string]uint64{"permit": id})
}

func (s *Store) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	g := s.grants[id]
	if g != nil {
		g.expires = time.Now().Add(g.ttl)
	}
	s.mu.Unlock()
	if g == nil {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	reply(w, 200, struct{}{})
}

func (s *Store) endGrantRequest(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endGrant(id)
	s.mu.Unlock()
	reply(w, 200, struct{}{})
}

func (s *Store) watch(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for ended := false; ; {
		s.mu.Lock()
		blocked, rev, wake := s.down || s.refused[node] || s.hung[node], s.rev, s.wake
		news := []map[string]any{}
		first := max(0, len(s.changes)-10000)
		tooOld := first > 0 && s.changes[first-1].stamp > from
		for i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].stamp > from }); i < len(s.changes); i++ {
			c := s.changes[i]
			switch {
			case !strings.HasPrefix(c.op.Write+c.op.Drop, q.Get("starts")):
			case c.op.Drop != "":
				news = append(news, map[string]any{"drop": c.op.Drop, "stamp": c.stamp})
			default:
				news = append(news, map[string]any{"write": c.op.Write, "value": c.op.Value, "stamp": c.stamp})
			}
		}
		s.mu.Unlock()
		if !blocked && tooOld {
			reply(w, 410, map[string]string{"error": "too old"})
			return
		}
		if !blocked && (len(news) > 0 || ended) {
			if s.WatchDelay != nil {
				if d := s.WatchDelay(node); d > 0 {
					time.Sleep(d)
				}
			}
			reply(w, 200, map[string]any{"epoch": rev, "news": news})
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			ended = true
			if blocked {
				<-r.Context().Done()
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// serve serves a handler on a free loopback port and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func reply(w http.ResponseWriter, code int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(raw)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil && len(raw) > 64<<10 {
		err = fmt.Errorf("body of %d bytes", len(raw))
	}
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return false
	}
	return true
}
