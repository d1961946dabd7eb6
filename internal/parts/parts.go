// Package parts keeps records that are larger than one value of the state service may be:
// their parts are written first, each in a value of its own and never changed, and then the
// record's own key names them, in one conditional write. Who uses it sees whole records.
//
// A write that comes late can't name parts that are no more: it is made on the condition
// that the first of them is there, and the first is what is dropped first.
package parts

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"

	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Service is the state service.
type Service = state.Service

// Store is a state service that takes larger records. It may be used from anywhere.
type Store struct {
	Service
	log   *slog.Logger
	boot  uint64
	whole int // bytes; what is longer is kept in parts
	ops   int // changes a transaction
	may   atomic.Bool
	count atomic.Uint64
	read  *lru.Cache[string, json.RawMessage] // records by the id of their parts
	doubt map[string]bool                     // see Sweep
}

// where names the parts of a record.
type where struct {
	ID string `json:"id"`
	N  int    `json:"n"`
}

type pointer struct {
	Parts *where `json:"$parts"`
}

// New makes a store for a run of a controller's process, which keeps values longer than
// whole bytes in parts, with so many changes a transaction at most.
func New(s Service, boot uint64, whole, ops int, log *slog.Logger) *Store {
	read, err := lru.New[string, json.RawMessage](tuning.PartsRead)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	return &Store{Service: s, boot: boot, whole: whole, ops: ops, log: log, read: read, doubt: map[string]bool{}}
}

// Allow has records kept in parts from now on: all controllers can read them. Before that
// a record is written whole, and refused if it is too large.
func (s *Store) Allow() { s.may.Store(true) }

func partKey(id string, k int, of string) string {
	return fmt.Sprintf("%s%s/%04d/%s", jobs.PartPrefix, id, k, of)
}

// Do runs a transaction, in which values may be large.
func (s *Store) Do(ctx context.Context, p state.Priority, t state.Txn) (state.Result, error) {
	cloned := false
	for i, w := range t.Writes {
		if len(w.Value) <= s.whole || !s.may.Load() {
			continue
		}
		if !cloned {
			cloned = true
			t.Writes, t.If = slices.Clone(t.Writes), slices.Clone(t.If)
		}
		at, first, err := s.put(ctx, p, w.Key, w.Value)
		if err != nil {
			// Whatever became of the parts: what was asked for is certainly not done.
			if !errors.Is(err, state.ErrRefused) {
				err = fmt.Errorf("%w: parts of %s: %v", state.ErrUnavailable, w.Key, err)
			}
			return state.Result{}, err
		}
		t.Writes[i].Value = state.Encode(pointer{at})
		t.If = append(t.If, state.Cond{Key: partKey(at.ID, 0, w.Key), Stamp: first})
	}
	return s.Service.Do(ctx, p, t)
}

// put writes a record's parts; first is the stamp of the first one.
func (s *Store) put(ctx context.Context, p state.Priority, key string, value json.RawMessage) (at *where, first uint64, err error) {
	at = &where{ID: fmt.Sprintf("%x-%d", s.boot, s.count.Add(1))}
	var writes []state.Write
	size := 0
	flush := func() error {
		res, err := s.Service.Do(ctx, p, state.Txn{Writes: writes})
		if err != nil {
			return err
		}
		if first == 0 {
			first = res.Epoch
		}
		writes, size = nil, 0
		return nil
	}
	// In JSON bytes take a third more, and two quotes.
	for part := range slices.Chunk([]byte(value), (s.whole-2)/4*3) {
		if len(writes) == s.ops || size+s.whole > tuning.TxnBytes {
			if err := flush(); err != nil {
				return nil, 0, err
			}
		}
		writes = append(writes, state.Write{Key: partKey(at.ID, at.N, key), Value: state.Encode(part)})
		size += s.whole
		at.N++
	}
	if err := flush(); err != nil {
		return nil, 0, err
	}
	s.read.Add(at.ID, value)
	return at, first, nil
}

// named is where the parts of a record are, nil if it is whole.
func named(value json.RawMessage) *where {
	if len(value) > tuning.PointerBytes || !bytes.Contains(value, []byte(`"$parts"`)) {
		return nil
	}
	var at pointer
	if json.Unmarshal(value, &at) != nil {
		return nil
	}
	return at.Parts
}

// errMissing means that parts are no more: their record was written anew, or dropped.
var errMissing = errors.New("a part is missing")

// join reads a record's parts; some may be known.
func (s *Store) join(ctx context.Context, p state.Priority, key string, at *where, known map[string]json.RawMessage) (json.RawMessage, error) {
	if value, ok := s.read.Get(at.ID); ok {
		return value, nil
	}
	var value []byte
	for k := range at.N {
		raw, ok := known[partKey(at.ID, k, key)]
		if !ok {
			row, found, _, err := s.Service.Get(ctx, p, partKey(at.ID, k, key))
			if err != nil {
				return nil, err
			}
			if !found {
				return nil, errMissing
			}
			raw = row.Value
		}
		var part []byte
		if err := json.Unmarshal(raw, &part); err != nil {
			return nil, fmt.Errorf("part %d of %s: %w", k, key, err)
		}
		value = append(value, part...)
	}
	s.read.Add(at.ID, value)
	return value, nil
}

// whole makes a record whole that was read. If its parts are no more it has changed since,
// and is read as it is now; found is false if it is gone.
func (s *Store) wholeRow(ctx context.Context, p state.Priority, row state.Row, known map[string]json.RawMessage) (_ state.Row, found bool, err error) {
	for range tuning.BusyTries {
		at := named(row.Value)
		if at == nil {
			return row, true, nil
		}
		value, err := s.join(ctx, p, row.Key, at, known)
		if err == nil {
			row.Value = value
			return row, true, nil
		}
		if !errors.Is(err, errMissing) {
			return state.Row{}, false, err
		}
		if row, found, _, err = s.Service.Get(ctx, p, row.Key); err != nil || !found {
			return state.Row{}, false, err
		}
	}
	return state.Row{}, false, fmt.Errorf("%w: %s changes too often", state.ErrUnavailable, row.Key)
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, p state.Priority, key string) (state.Row, bool, uint64, error) {
	row, found, epoch, err := s.Service.Get(ctx, p, key)
	if err != nil || !found {
		return row, found, epoch, err
	}
	row, found, err = s.wholeRow(ctx, p, row, nil)
	return row, found, epoch, err
}

// List reads a prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]state.Row, uint64, error) {
	rows, epoch, err := s.Service.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var known map[string]json.RawMessage
	out := rows[:0]
	for _, row := range rows {
		at := named(row.Value)
		if at == nil {
			out = append(out, row)
			continue
		}
		if _, ok := s.read.Peek(at.ID); !ok && known == nil {
			// One reading of all instead of one for each part.
			all, _, err := s.Service.List(ctx, jobs.PartPrefix)
			if err != nil {
				return nil, 0, err
			}
			known = make(map[string]json.RawMessage, len(all))
			for _, x := range all {
				known[x.Key] = x.Value
			}
		}
		row, found, err := s.wholeRow(ctx, state.Normal, row, known)
		if err != nil {
			return nil, 0, err
		}
		if found {
			out = append(out, row)
		}
	}
	return out, epoch, nil
}

// Watch waits for changes after a revision. A record that has changed again since may be
// told as it is by then.
func (s *Store) Watch(ctx context.Context, prefix string, from uint64) ([]state.Event, uint64, error) {
	news, epoch, err := s.Service.Watch(ctx, prefix, from)
	if err != nil {
		return nil, 0, err
	}
	known := map[string]json.RawMessage{}
	out := news[:0]
	for _, e := range news {
		switch at := named(e.Value); {
		case strings.HasPrefix(e.Key, jobs.PartPrefix):
			known[e.Key] = e.Value // written before the record that names it
		case strings.HasPrefix(e.Drop, jobs.PartPrefix):
		case at == nil:
			out = append(out, e)
		default:
			row, found, err := s.wholeRow(ctx, state.Urgent, state.Row{Key: e.Key, Value: e.Value, Stamp: e.Stamp}, known)
			if err != nil {
				return nil, 0, err
			}
			if found {
				out = append(out, state.Event{Key: e.Key, Value: row.Value, Stamp: row.Stamp})
			}
		}
	}
	return out, epoch, nil
}

// Sweep drops parts that no record names, from time to time until the context ends; mine
// tells whether that is this controller's to do at the moment. That a record does not name
// them yet proves nothing: only what is found so twice goes, and under the condition that
// the record is still the one that was looked at.
func (s *Store) Sweep(ctx context.Context, mine func() bool) {
	for state.Pause(ctx, tuning.PartsSweep) == nil {
		if !s.may.Load() || !mine() {
			continue
		}
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			s.log.Info("parts of records not swept", "error", err)
		}
	}
}

func (s *Store) sweep(ctx context.Context) error {
	rows, _, err := s.Service.List(ctx, jobs.PartPrefix)
	if err != nil {
		return err
	}
	type found struct {
		of  string
		all []state.Row
	}
	by := map[string]*found{}
	for _, r := range rows {
		id, rest, _ := strings.Cut(r.Key[len(jobs.PartPrefix):], "/")
		if _, of, ok := strings.Cut(rest, "/"); ok {
			if by[id] == nil {
				by[id] = &found{of: of}
			}
			by[id].all = append(by[id].all, r)
		}
	}
	doubt := map[string]bool{}
	for id, f := range by {
		row, _, _, err := s.Service.Get(ctx, state.Background, f.of)
		if err != nil {
			return err
		}
		if at := named(row.Value); at != nil && at.ID == id {
			continue
		}
		if !s.doubt[id] {
			doubt[id] = true
			continue
		}
		for part := range slices.Chunk(f.all, s.ops) { // in the order of their keys, the first part first
			t := state.Txn{If: []state.Cond{{Key: f.of, Stamp: row.Stamp}}}
			for _, r := range part {
				t.Writes = append(t.Writes, state.Write{Drop: r.Key})
			}
			if res, err := s.Service.Do(ctx, state.Background, t); err != nil {
				return err
			} else if !res.OK {
				break
			}
		}
	}
	s.doubt = doubt
	return nil
}
