// Package chunkedstore stores records that are larger than the key-value store allows for one value.
// Such a record is split into chunks. The chunks are written first, each under its own key, and are
// never changed. Then one conditional write stores a pointer to the chunks under the record's own key.
// Users of the package see whole records.
//
// Even if the write of a pointer is delayed, the pointer never refers to deleted chunks: the write has
// the precondition that the first chunk exists, and the first chunk is deleted first.
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

// Service is the underlying key-value store.
type Service = kvstore.Service

// Store is a key-value store that accepts records larger than one value. It is safe for concurrent use,
// except that RunGarbageCollector must not run more than once at a time.
type Store struct {
	Service
	log             *slog.Logger
	incarnation     uint64
	maxValueBytes   int                                 // longer values are stored in chunks
	maxTxnOps       int                                 // maximum number of chunks that a transaction writes or deletes
	chunkingEnabled atomic.Bool                         // whether large records are written in chunks
	sequence        atomic.Uint64                       // last number that was used in a chunkRef.ID
	recordCache     *lru.Cache[string, json.RawMessage] // records by the id of their chunks

	orphanCandidates map[string]bool // ids of chunks to which no record pointed in the last pass of collectGarbage
}

// chunkRef refers to the chunks of a record, which are numbered from 0 to Count-1.
type chunkRef struct {
	ID    string `json:"id"`
	Count int    `json:"n"`
}

// chunkPointer is the value stored under the key of a chunked record.
type chunkPointer struct {
	Chunks *chunkRef `json:"$parts"`
}

// New returns a store for an incarnation of a controller's process. Once EnableChunking is called, the
// store writes values longer than maxValueBytes in chunks, at most maxTxnOps chunks in a transaction.
func New(service Service, incarnation uint64, maxValueBytes, maxTxnOps int, log *slog.Logger) *Store {
	recordCache, err := lru.New[string, json.RawMessage](tuning.MaxCachedChunkedRecords)
	if err != nil {
		panic(err) // lru.New fails only for sizes below 1
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

// EnableChunking makes the store write large records in chunks from now on. It must not be called
// before all controllers run a version that can read chunks (see package featuregate). Until it is
// called, each record is written whole, and the service rejects records that are too large.
func (s *Store) EnableChunking() { s.chunkingEnabled.Store(true) }

// Commit executes a transaction, whose values may be larger than maxValueBytes. It first writes the
// chunks of such values; if that fails, the transaction was certainly not executed.
func (s *Store) Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	cloned := false
	for i, write := range txn.Writes {
		if len(write.Value) <= s.maxValueBytes || !s.chunkingEnabled.Load() {
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
		txn.Writes[i].Value = kvstore.MustEncode(chunkPointer{Chunks: ref})
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: chunkKey(ref.ID, 0, write.Key), Revision: firstRevision})
	}
	return s.Service.Commit(ctx, priority, txn)
}

// chunkWriteError returns the error of a transaction whose chunks could not be written. It wraps
// kvstore.ErrUnavailable, since the transaction itself was certainly not executed, even if it is
// unknown whether the chunks were written. It does not wrap err, so that callers do not find a
// kvstore.ErrOutcomeUnknown in it. Only kvstore.ErrRejected is returned unchanged, since a retry would
// be rejected again.
func chunkWriteError(key string, err error) error {
	if errors.Is(err, kvstore.ErrRejected) {
		return err
	}
	return fmt.Errorf("%w: write chunks of %s: %s", kvstore.ErrUnavailable, key, err.Error())
}

// chunkWriter writes the chunks of one record, in as few transactions as the limits of a transaction
// allow.
type chunkWriter struct {
	store    *Store
	priority kvstore.Priority

	queuedWrites  []kvstore.Write // for the next transaction
	queuedBytes   int             // upper bound of the size of queuedWrites
	firstRevision uint64          // the revision of the first chunk, 0 until it is written
}

// writeChunks splits a record's value into chunks and writes them; firstRevision is the revision of the
// first chunk.
func (s *Store) writeChunks(ctx context.Context, priority kvstore.Priority, key string, value json.RawMessage) (ref *chunkRef, firstRevision uint64, err error) {
	ref = &chunkRef{ID: fmt.Sprintf("%x-%d", s.incarnation, s.sequence.Add(1))}
	w := &chunkWriter{store: s, priority: priority}
	for chunk := range slices.Chunk([]byte(value), maxRawBytes(s.maxValueBytes)) {
		if err := w.add(ctx, kvstore.Write{Key: chunkKey(ref.ID, ref.Count, key), Value: kvstore.MustEncode(chunk)}); err != nil {
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

// maxRawBytes returns how many bytes of a record fit into one chunk, whose value has at most
// maxValueBytes. JSON encodes bytes as base64, which takes a third more space, between
// quotes.
func maxRawBytes(maxValueBytes int) int { return (maxValueBytes - 2) / 4 * 3 }

// add queues a write for the next transaction. If the queued writes fill that transaction already, it
// commits them first.
func (w *chunkWriter) add(ctx context.Context, write kvstore.Write) error {
	if len(w.queuedWrites) == w.store.maxTxnOps || w.queuedBytes+w.store.maxValueBytes > tuning.MaxTxnBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.queuedWrites = append(w.queuedWrites, write)
	w.queuedBytes += w.store.maxValueBytes
	return nil
}

// flush commits the queued writes in one transaction.
func (w *chunkWriter) flush(ctx context.Context) error {
	result, err := w.store.Service.Commit(ctx, w.priority, kvstore.Txn{Writes: w.queuedWrites})
	if err != nil {
		return err
	}
	if w.firstRevision == 0 {
		w.firstRevision = result.Revision
	}
	w.queuedWrites, w.queuedBytes = nil, 0
	return nil
}

// chunkKey returns the key of a chunk. The keys of a record's chunks sort in the order of the chunks.
func chunkKey(id string, number int, recordKey string) string {
	return fmt.Sprintf("%s%s/%04d/%s", jobs.ChunkPrefix, id, number, recordKey)
}

// chunkRefOf returns the reference to chunks that a stored value contains, nil if the value is a whole
// record.
func chunkRefOf(value json.RawMessage) *chunkRef {
	// Most values are whole records. This check recognizes them without decoding.
	if len(value) > tuning.MaxChunkPointerBytes || !bytes.Contains(value, []byte(`"$parts"`)) {
		return nil
	}
	var pointer chunkPointer
	if json.Unmarshal(value, &pointer) != nil {
		return nil
	}
	return pointer.Chunks
}
