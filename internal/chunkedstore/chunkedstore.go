// Package parts keeps records that are larger than one value of the state service may be:
// their parts are written first, each in a value of its own and never changed, and then the
// record's own key names them, in one conditional write. Who uses it sees whole records.
//
// A write that comes late can't name parts that are no more: it is made on the condition
// that the first of them is there, and the first is what is dropped first.
package chunkedstore

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
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Service is the state service.
type Service = kvstore.Service

// Store is a state service that takes larger records. It may be used from anywhere.
type Store struct {
	Service
	log              *slog.Logger
	incarnation      uint64
	maxValueBytes    int // bytes; what is longer is kept in parts
	maxTxnOps        int // changes a transaction
	enabled          atomic.Bool
	sequence         atomic.Uint64
	recordCache      *lru.Cache[string, json.RawMessage] // records by the id of their parts
	orphanCandidates map[string]bool                     // see Sweep
}

// chunkRef names the parts of a record.
type chunkRef struct {
	ID    string `json:"id"`
	Count int    `json:"n"`
}

type chunkPointer struct {
	Chunks *chunkRef `json:"$parts"`
}

// New makes a store for a run of a controller's process, which keeps values longer than
// whole bytes in parts, with so many changes a transaction at most.
func New(s Service, incarnation uint64, whole, ops int, log *slog.Logger) *Store {
	read, err := lru.New[string, json.RawMessage](tuning.MaxCachedChunkedRecords)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	return &Store{Service: s, incarnation: incarnation, maxValueBytes: whole, maxTxnOps: ops, log: log, recordCache: read, orphanCandidates: map[string]bool{}}
}

// EnableChunking has records kept in parts from now on: all controllers can read them. Before that
// a record is written whole, and refused if it is too large.
func (s *Store) EnableChunking() { s.enabled.Store(true) }

func chunkKey(id string, k int, of string) string {
	return fmt.Sprintf("%s%s/%04d/%s", jobs.ChunkPrefix, id, k, of)
}

// Commit runs a transaction, in which values may be large.
func (s *Store) Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	cloned := false
	for i, write := range txn.Writes {
		if len(write.Value) <= s.maxValueBytes || !s.enabled.Load() {
			continue
		}
		if !cloned {
			cloned = true
			txn.Writes, txn.Conditions = slices.Clone(txn.Writes), slices.Clone(txn.Conditions)
		}
		ref, first, err := s.writeChunks(ctx, priority, write.Key, write.Value)
		if err != nil {
			// Whatever became of the parts: what was asked for is certainly not done.
			if !errors.Is(err, kvstore.ErrRejected) {
				err = fmt.Errorf("%w: parts of %s: %v", kvstore.ErrUnavailable, write.Key, err)
			}
			return kvstore.TxnResult{}, err
		}
		txn.Writes[i].Value = kvstore.Encode(chunkPointer{ref})
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: chunkKey(ref.ID, 0, write.Key), Revision: first})
	}
	return s.Service.Commit(ctx, priority, txn)
}

// writeChunks writes a record's parts; first is the stamp of the first one.
func (s *Store) writeChunks(ctx context.Context, priority kvstore.Priority, key string, value json.RawMessage) (ref *chunkRef, first uint64, err error) {
	ref = &chunkRef{ID: fmt.Sprintf("%x-%d", s.incarnation, s.sequence.Add(1))}
	var writes []kvstore.Write
	size := 0
	flush := func() error {
		result, err := s.Service.Commit(ctx, priority, kvstore.Txn{Writes: writes})
		if err != nil {
			return err
		}
		if first == 0 {
			first = result.Revision
		}
		writes, size = nil, 0
		return nil
	}
	// In JSON bytes take a third more, and two quotes.
	for part := range slices.Chunk([]byte(value), (s.maxValueBytes-2)/4*3) {
		if len(writes) == s.maxTxnOps || size+s.maxValueBytes > tuning.MaxTxnBytes {
			if err := flush(); err != nil {
				return nil, 0, err
			}
		}
		writes = append(writes, kvstore.Write{Key: chunkKey(ref.ID, ref.Count, key), Value: kvstore.Encode(part)})
		size += s.maxValueBytes
		ref.Count++
	}
	if err := flush(); err != nil {
		return nil, 0, err
	}
	s.recordCache.Add(ref.ID, value)
	return ref, first, nil
}

// chunkRefOf is where the parts of a record are, nil if it is whole.
func chunkRefOf(value json.RawMessage) *chunkRef {
	if len(value) > tuning.MaxChunkPointerBytes || !bytes.Contains(value, []byte(`"$parts"`)) {
		return nil
	}
	var at chunkPointer
	if json.Unmarshal(value, &at) != nil {
		return nil
	}
	return at.Chunks
}

// errChunkMissing means that parts are no more: their record was written anew, or dropped.
var errChunkMissing = errors.New("a part is missing")

// readChunks reads a record's parts; some may be known.
func (s *Store) readChunks(ctx context.Context, priority kvstore.Priority, key string, ref *chunkRef, known map[string]json.RawMessage) (json.RawMessage, error) {
	if value, ok := s.recordCache.Get(ref.ID); ok {
		return value, nil
	}
	var value []byte
	for k := range ref.Count {
		raw, ok := known[chunkKey(ref.ID, k, key)]
		if !ok {
			row, found, _, err := s.Service.Get(ctx, priority, chunkKey(ref.ID, k, key))
			if err != nil {
				return nil, err
			}
			if !found {
				return nil, errChunkMissing
			}
			raw = row.Value
		}
		var part []byte
		if err := json.Unmarshal(raw, &part); err != nil {
			return nil, fmt.Errorf("part %d of %s: %w", k, key, err)
		}
		value = append(value, part...)
	}
	s.recordCache.Add(ref.ID, value)
	return value, nil
}

// whole makes a record whole that was read. If its parts are no more it has changed since,
// and is read as it is now; found is false if it is gone.
func (s *Store) assembleRecord(ctx context.Context, priority kvstore.Priority, row kvstore.KeyValue, known map[string]json.RawMessage) (_ kvstore.KeyValue, found bool, err error) {
	for range tuning.RateLimitedAttempts {
		ref := chunkRefOf(row.Value)
		if ref == nil {
			return row, true, nil
		}
		value, err := s.readChunks(ctx, priority, row.Key, ref, known)
		if err == nil {
			row.Value = value
			return row, true, nil
		}
		if !errors.Is(err, errChunkMissing) {
			return kvstore.KeyValue{}, false, err
		}
		if row, found, _, err = s.Service.Get(ctx, priority, row.Key); err != nil || !found {
			return kvstore.KeyValue{}, false, err
		}
	}
	return kvstore.KeyValue{}, false, fmt.Errorf("%w: %s changes too often", kvstore.ErrUnavailable, row.Key)
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, priority kvstore.Priority, key string) (kvstore.KeyValue, bool, uint64, error) {
	row, found, revision, err := s.Service.Get(ctx, priority, key)
	if err != nil || !found {
		return row, found, revision, err
	}
	row, found, err = s.assembleRecord(ctx, priority, row, nil)
	return row, found, revision, err
}

// List reads a prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error) {
	rows, revision, err := s.Service.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var known map[string]json.RawMessage
	out := rows[:0]
	for _, row := range rows {
		ref := chunkRefOf(row.Value)
		if ref == nil {
			out = append(out, row)
			continue
		}
		if _, ok := s.recordCache.Peek(ref.ID); !ok && known == nil {
			// One reading of all instead of one for each part.
			all, _, err := s.Service.List(ctx, jobs.ChunkPrefix)
			if err != nil {
				return nil, 0, err
			}
			known = make(map[string]json.RawMessage, len(all))
			for _, x := range all {
				known[x.Key] = x.Value
			}
		}
		row, found, err := s.assembleRecord(ctx, kvstore.Normal, row, known)
		if err != nil {
			return nil, 0, err
		}
		if found {
			out = append(out, row)
		}
	}
	return out, revision, nil
}

// Watch waits for changes after a revision. A record that has changed again since may be
// told as it is by then.
func (s *Store) Watch(ctx context.Context, prefix string, from uint64) ([]kvstore.Event, uint64, error) {
	events, revision, err := s.Service.Watch(ctx, prefix, from)
	if err != nil {
		return nil, 0, err
	}
	known := map[string]json.RawMessage{}
	out := events[:0]
	for _, event := range events {
		switch ref := chunkRefOf(event.Value); {
		case strings.HasPrefix(event.Key, jobs.ChunkPrefix):
			known[event.Key] = event.Value // written before the record that names it
		case strings.HasPrefix(event.DeletedKey, jobs.ChunkPrefix):
		case ref == nil:
			out = append(out, event)
		default:
			row, found, err := s.assembleRecord(ctx, kvstore.Urgent, kvstore.KeyValue{Key: event.Key, Value: event.Value, Revision: event.Revision}, known)
			if err != nil {
				return nil, 0, err
			}
			if found {
				out = append(out, kvstore.Event{Key: event.Key, Value: row.Value, Revision: row.Revision})
			}
		}
	}
	return out, revision, nil
}

// RunGarbageCollector drops parts that no record names, from time to time until the context ends; mine
// tells whether that is this controller's to do at the moment. That a record does not name
// them yet proves nothing: only what is found so twice goes, and under the condition that
// the record is still the one that was looked at.
func (s *Store) RunGarbageCollector(ctx context.Context, mine func() bool) {
	for kvstore.Pause(ctx, tuning.ChunkCleanupInterval) == nil {
		if !s.enabled.Load() || !mine() {
			continue
		}
		if err := s.collectGarbage(ctx); err != nil && ctx.Err() == nil {
			s.log.Info("parts of records not swept", "error", err)
		}
	}
}

func (s *Store) collectGarbage(ctx context.Context) error {
	rows, _, err := s.Service.List(ctx, jobs.ChunkPrefix)
	if err != nil {
		return err
	}
	type found struct {
		of  string
		all []kvstore.KeyValue
	}
	by := map[string]*found{}
	for _, r := range rows {
		id, rest, _ := strings.Cut(r.Key[len(jobs.ChunkPrefix):], "/")
		if _, of, ok := strings.Cut(rest, "/"); ok {
			if by[id] == nil {
				by[id] = &found{of: of}
			}
			by[id].all = append(by[id].all, r)
		}
	}
	doubt := map[string]bool{}
	for id, f := range by {
		row, _, _, err := s.Service.Get(ctx, kvstore.Background, f.of)
		if err != nil {
			return err
		}
		if ref := chunkRefOf(row.Value); ref != nil && ref.ID == id {
			continue
		}
		if !s.orphanCandidates[id] {
			doubt[id] = true
			continue
		}
		for part := range slices.Chunk(f.all, s.maxTxnOps) { // in the order of their keys, the first part first
			txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: f.of, Revision: row.Revision}}}
			for _, r := range part {
				txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: r.Key})
			}
			if result, err := s.Service.Commit(ctx, kvstore.Background, txn); err != nil {
				return err
			} else if !result.Succeeded {
				break
			}
		}
	}
	s.orphanCandidates = doubt
	return nil
}
