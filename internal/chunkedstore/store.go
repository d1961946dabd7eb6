// Package chunkedstore keeps records that are larger than one value of the key-value store may
// be. Such a record is split into chunks: they are written first, each under a key of its own and
// never changed, and then one conditional write stores a pointer to them under the record's own
// key. Users of the package see whole records.
//
// A pointer that is written late can't name chunks that were deleted meanwhile: its write has
// the precondition that the first chunk exists, and that one is deleted first.
package chunkedstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Service is the key-value store.
type Service = kvstore.Service

// Store is a key-value store that takes records larger than one value. It is safe for concurrent
// use, except that RunGarbageCollector must not run more than once.
type Store struct {
	Service
	log           *slog.Logger
	incarnation   uint64
	maxValueBytes int // longer values are kept in chunks
	maxTxnOps     int
	enabled       atomic.Bool
	sequence      atomic.Uint64                       // of the ids of chunked records
	recordCache   *lru.Cache[string, json.RawMessage] // records by the id of their chunks

	orphanCandidates map[string]bool // by id, see collectGarbage
}

// chunkRef names the chunks of a record: they are numbered from 0 to Count-1.
type chunkRef struct {
	ID    string `json:"id"`
	Count int    `json:"n"`
}

// chunkPointer is what is stored under the key of a chunked record.
type chunkPointer struct {
	Chunks *chunkRef `json:"$parts"`
}

// New makes a store for an incarnation of a controller's process. It keeps values longer than
// maxValueBytes in chunks, and writes at most maxTxnOps of these in a transaction.
func New(service Service, incarnation uint64, maxValueBytes, maxTxnOps int, log *slog.Logger) *Store {
	recordCache, err := lru.New[string, json.RawMessage](tuning.MaxCachedChunkedRecords)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	return &Store{
		Service:          service,
		log:              log,
		incarnation:      incarnation,
		maxValueBytes:    maxValueBytes,
		maxTxnOps:        maxTxnOps,
		recordCache:      recordCache,
		orphanCandidates: map[string]bool{},
	}
}

// EnableChunking has large records written in chunks from now on. It may be called only once all
// controllers run a version that can read chunks (see package featuregate).
// Before that a record is written whole, and rejected by the service if it is too large.
func (s *Store) EnableChunking() { s.enabled.Store(true) }

// Commit executes a transaction, whose values may be large. The chunks are written before it; if
// that fails, the transaction was certainly not executed.
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
		ref, firstRevision, err := s.writeChunks(ctx, priority, write.Key, write.Value)
		if err != nil {
			return kvstore.TxnResult{}, chunkWriteError(write.Key, err)
		}
		txn.Writes[i].Value = kvstore.Encode(chunkPointer{Chunks: ref})
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: chunkKey(ref.ID, 0, write.Key), Revision: firstRevision})
	}
	return s.Service.Commit(ctx, priority, txn)
}

// chunkWriteError returns the error of a transaction whose chunks could not be written. The
// transaction itself was certainly not executed, which is kvstore.ErrUnavailable, even if it is
// unknown whether the chunks were written: err is not wrapped, so that callers do not find a
// kvstore.ErrOutcomeUnknown in it. A rejected value stays so, since a retry would be of no use.
func chunkWriteError(key string, err error) error {
	if errors.Is(err, kvstore.ErrRejected) {
		return err
	}
	return fmt.Errorf("%w: chunks of %s: %s", kvstore.ErrUnavailable, key, err.Error())
}

// chunkWriter writes the chunks of one record in as few transactions as the limits allow.
type chunkWriter struct {
	store    *Store
	priority kvstore.Priority

	writes        []kvstore.Write // of the next transaction
	bytes         int             // an upper bound of their size
	firstRevision uint64          // of the first chunk, 0 until it was written
}

// writeChunks writes a record's chunks; firstRevision is the revision of the first one.
func (s *Store) writeChunks(ctx context.Context, priority kvstore.Priority, key string, value json.RawMessage) (ref *chunkRef, firstRevision uint64, err error) {
	ref = &chunkRef{ID: fmt.Sprintf("%x-%d", s.incarnation, s.sequence.Add(1))}
	w := &chunkWriter{store: s, priority: priority}
	for chunk := range slices.Chunk([]byte(value), maxRawBytes(s.maxValueBytes)) {
		if err := w.add(ctx, kvstore.Write{Key: chunkKey(ref.ID, ref.Count, key), Value: kvstore.Encode(chunk)}); err != nil {
			return nil, 0, err
		}
		ref.Count++
	}
	if err := w.flush(ctx); err != nil {
		return nil, 0, err
	}
	s.recordCache.Add(ref.ID, value)
	return ref, w.firstRevision, nil
}

// maxRawBytes returns how many bytes of a record fit into one value of at most maxValueBytes. JSON
// encodes bytes as base64, which takes a third more, in quotes.
func maxRawBytes(maxValueBytes int) int { return (maxValueBytes - 2) / 4 * 3 }

// add queues a write for the next transaction, and first commits the queued ones if they fill it.
func (w *chunkWriter) add(ctx context.Context, write kvstore.Write) error {
	if len(w.writes) == w.store.maxTxnOps || w.bytes+w.store.maxValueBytes > tuning.MaxTxnBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.writes = append(w.writes, write)
	w.bytes += w.store.maxValueBytes
	return nil
}

// flush commits the queued writes.
func (w *chunkWriter) flush(ctx context.Context) error {
	result, err := w.store.Service.Commit(ctx, w.priority, kvstore.Txn{Writes: w.writes})
	if err != nil {
		return err
	}
	if w.firstRevision == 0 {
		w.firstRevision = result.Revision
	}
	w.writes, w.bytes = nil, 0
	return nil
}

// chunkKey returns the key of a chunk: keys of the same record sort in the order of its chunks.
func chunkKey(id string, number int, recordKey string) string {
	return fmt.Sprintf("%s%s/%04d/%s", jobs.ChunkPrefix, id, number, recordKey)
}

// chunkRefOf returns where the chunks of a stored value are, nil if the value is whole.
func chunkRefOf(value json.RawMessage) *chunkRef {
	// Most values are whole, and need not be decoded to find that.
	if len(value) > tuning.MaxChunkPointerBytes || !bytes.Contains(value, []byte(`"$parts"`)) {
		return nil
	}
	var pointer chunkPointer
	if json.Unmarshal(value, &pointer) != nil {
		return nil
	}
	return pointer.Chunks
}
